// Command ivytrestle runs a controller of the ivytrestle cluster scheduler. It is also the
// command-line client of users and operators.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cells"
	"example.org/ivytrestle/internal/client"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/daemon"
	"example.org/ivytrestle/internal/policy"
	"example.org/ivytrestle/internal/standby"
)

const version = "0.1.0"

// cli declares the commands. Commands and flags take their names from the fields.
type cli struct {
	Serve   serveCmd   `cmd:"" default:"withargs" help:"Run a controller."`
	Check   checkCmd   `cmd:"" help:"Check a settings file and an operators' script."`
	Submit  submitCmd  `cmd:"" help:"Submit a job."`
	Show    showCmd    `cmd:"" help:"Show a job: its phase, its tasks and the jobs that it waits for."`
	Cancel  cancelCmd  `cmd:"" help:"Cancel a job and all jobs that depend on it."`
	Status  statusCmd  `cmd:"" help:"Show a controller's status: leader, machines, queues."`
	Version versionCmd `cmd:"" help:"Print the version."`
}

// files holds the paths of the files that a controller reads when it starts.
type files struct {
	Config  string `required:"" placeholder:"FILE" help:"The platform's settings file (JSON)."`
	Policy  string `placeholder:"FILE" help:"The operators' settings (Starlark)."`
	Cells   string `placeholder:"FILE" help:"The cells that lend each other capacity (TOML)."`
	Standby string `placeholder:"FILE" help:"Failover from an unreachable leader before its lease expires (TOML)."`
}

// configuration holds the decoded contents of the files.
type configuration struct {
	settings *config.Settings
	policy   *policy.Policy
	// features holds the settings of the optional features for which a file is given.
	features daemon.Features
}

// load reads and validates the files.
func (f *files) load() (*configuration, error) {
	s, err := config.Load(f.Config)
	if err != nil {
		return nil, err
	}
	p, err := policy.Load(f.Policy)
	if err != nil {
		return nil, err
	}
	for team := range p.TeamShares {
		if !s.Site.HasTeam(team) {
			return nil, fmt.Errorf("policy %s: team_shares: %q is not a team of this site", f.Policy, team)
		}
	}
	cfg := &configuration{settings: s, policy: p}
	if f.Cells != "" {
		if cfg.features.Cells, err = cells.Load(f.Cells, s.Node); err != nil {
			return nil, err
		}
	}
	if f.Standby != "" {
		if cfg.features.Standby, err = standby.Load(f.Standby); err != nil {
			return nil, err
		}
	}
	return cfg, nil
}

type serveCmd struct{ files }

func (c *serveCmd) Run() error {
	cfg, err := c.load()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	context.AfterFunc(ctx, stop) // after the first signal, so that a second one ends the process at once
	return daemon.Run(ctx, cfg.settings, cfg.policy, cfg.features,
		daemon.NewLogger(os.Stderr, os.Getenv("LOG_LEVEL")))
}

type checkCmd struct{ files }

func (c *checkCmd) Run() error {
	cfg, err := c.load()
	if err != nil {
		return err
	}
	s := cfg.settings
	details := ""
	if cellSettings := cfg.features.Cells; cellSettings != nil {
		details = fmt.Sprintf(", cell %s with %d neighbours", cellSettings.Cell, len(cellSettings.Neighbours))
	}
	if cfg.features.Standby != nil {
		details += fmt.Sprintf(", leader replaced after %v without votes", cfg.features.Standby.VoteLifetime())
	}
	fmt.Printf("%s: valid (%d teams, %d other controllers%s)\n", s.Node, len(s.Site.Teams), len(s.Peers), details)
	return nil
}

// remote holds the address of the controller to which a command sends its request.
type remote struct {
	Addr string `required:"" env:"IVYTRESTLE_ADDR" placeholder:"HOST:PORT" help:"A controller's address."`
}

// helpTexts holds the help texts that are too long for a struct tag.
var helpTexts = kong.Vars{
	"await_help": "A job that must be done before this one starts. " +
		"Separate several with commas or repeat the flag. They are added to the Awaits of FILE.",
}

type submitCmd struct {
	remote
	// Await holds the values of the flag as given. Validate replaces them with the job IDs.
	Await []string `sep:"none" placeholder:"JOB" help:"${await_help}"`
	File  string   `arg:"" help:"The job as JSON; - is standard input."`
}

// Validate checks the job IDs before the job is read or sent. An empty ID is an error, because an
// unset shell variable is a more likely cause than a job without dependencies.
func (c *submitCmd) Validate() error {
	ids := make([]string, 0, len(c.Await))
	for _, value := range c.Await {
		ids = append(ids, strings.Split(value, ",")...)
	}
	for _, id := range ids {
		if err := client.ValidateJobID(id); err != nil {
			return fmt.Errorf("--await: %w", err)
		}
	}
	c.Await = ids
	return nil
}

func (c *submitCmd) Run() error {
	var raw []byte
	var err error
	if c.File == "-" {
		raw, err = io.ReadAll(io.LimitReader(os.Stdin, api.MaxBodyBytes+1))
	} else {
		raw, err = os.ReadFile(c.File)
	}
	if err != nil {
		return fmt.Errorf("job: %w", err)
	}
	if len(raw) > api.MaxBodyBytes {
		return fmt.Errorf("job: larger than %d bytes", api.MaxBodyBytes)
	}
	if raw, err = client.AddDependencies(raw, c.Await); err != nil {
		return fmt.Errorf("job: %w", err)
	}
	state, err := client.New(c.Addr).Submit(context.Background(), raw)
	return printState(state, err)
}

type showCmd struct {
	remote
	ID string `arg:"" help:"The job's id."`
}

func (c *showCmd) Run() error {
	state, err := client.New(c.Addr).Show(context.Background(), c.ID)
	return printState(state, err)
}

type cancelCmd struct {
	remote
	ID string `arg:"" help:"The job's id."`
}

func (c *cancelCmd) Run() error {
	state, err := client.New(c.Addr).Cancel(context.Background(), c.ID)
	return printState(state, err)
}

type statusCmd struct{ remote }

func (c *statusCmd) Run() error {
	raw, err := client.New(c.Addr).Status(context.Background())
	if err != nil {
		return err
	}
	var out bytes.Buffer
	if err := json.Indent(&out, raw, "", "  "); err != nil {
		return fmt.Errorf("status: format the response: %w", err)
	}
	fmt.Println(out.String())
	return nil
}

type versionCmd struct{}

func (versionCmd) Run() error {
	fmt.Println("ivytrestle", version)
	return nil
}

// printState prints a job's state, or returns the error of the request.
func printState(state api.JobState, err error) error {
	if err != nil {
		return err
	}
	fmt.Println(stateLine(state))
	return nil
}

// stateLine formats a job's state for users, in one line.
func stateLine(state api.JobState) string {
	line := fmt.Sprintf("%s %s: %d done, %d running", state.ID, state.Phase, state.Done, state.Running)
	if state.Cell != "" {
		line += ", lent to cell " + state.Cell
	}
	if len(state.DependsOn) > 0 {
		line += ", waits for " + strings.Join(state.DependsOn, ", ")
	}
	return line
}

func main() {
	command := kong.Parse(&cli{}, helpTexts,
		kong.Name("ivytrestle"), kong.Description("A cluster scheduler for batch jobs."))
	if err := command.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "ivytrestle:", err)
		os.Exit(1)
	}
}
