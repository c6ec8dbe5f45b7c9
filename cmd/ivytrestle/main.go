// Ivytrestle is a cluster scheduler: this program runs one of its controllers, and is the
// command line of users and operators.
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

// cli holds the commands. Field names are the names of commands and flags.
type cli struct {
	Serve   serveCmd   `cmd:"" default:"withargs" help:"Run a controller."`
	Check   checkCmd   `cmd:"" help:"Check a settings file and an operators' script."`
	Submit  submitCmd  `cmd:"" help:"Submit a job."`
	Show    showCmd    `cmd:"" help:"Show a job: its phase, its tasks and the jobs that it waits for."`
	Cancel  cancelCmd  `cmd:"" help:"Cancel a job and all jobs that depend on it."`
	Status  statusCmd  `cmd:"" help:"Show a controller's status: leader, machines, queues."`
	Version versionCmd `cmd:"" help:"Print the version."`
}

// files are the paths of the files that a controller reads when it starts.
type files struct {
	Config  string `required:"" placeholder:"FILE" help:"The platform's settings file (JSON)."`
	Policy  string `placeholder:"FILE" help:"The operators' settings (Starlark)."`
	Cells   string `placeholder:"FILE" help:"The cells that lend each other capacity (TOML)."`
	Standby string `placeholder:"FILE" help:"Failover from an unreachable leader before its lease expires (TOML)."`
}

// configuration are the contents of the files.
type configuration struct {
	settings *config.Settings
	policy   *policy.Policy
	// features holds the optional parts that have a file.
	features daemon.Features
}

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
			return nil, fmt.Errorf("policy %s: team_shares names %q, which is no team of this site", f.Policy, team)
		}
	}
	out := &configuration{settings: s, policy: p}
	if f.Cells != "" {
		if out.features.Cells, err = cells.Load(f.Cells, s.Node); err != nil {
			return nil, err
		}
	}
	if f.Standby != "" {
		if out.features.Standby, err = standby.Load(f.Standby); err != nil {
			return nil, err
		}
	}
	return out, nil
}

type serveCmd struct{ files }

func (c *serveCmd) Run() error {
	files, err := c.load()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	context.AfterFunc(ctx, stop) // a second signal ends the process at once
	return daemon.Run(ctx, files.settings, files.policy, files.features, daemon.NewLogger(os.Stderr, os.Getenv("LOG_LEVEL")))
}

type checkCmd struct{ files }

func (c *checkCmd) Run() error {
	files, err := c.load()
	if err != nil {
		return err
	}
	s := files.settings
	details := ""
	if neighbours := files.features.Cells; neighbours != nil {
		details = fmt.Sprintf(", cell %s with %d neighbours", neighbours.Cell, len(neighbours.Neighbours))
	}
	if files.features.Standby != nil {
		details += fmt.Sprintf(", leaders replaced after %v without grants", files.features.Standby.VoteLifetime())
	}
	fmt.Printf("%s: good (%d teams, %d other controllers%s)\n", s.Node, len(s.Site.Teams), len(s.Peers), details)
	return nil
}

// remote is the address of the controller that a command sends its request to.
type remote struct {
	Addr string `required:"" env:"IVYTRESTLE_ADDR" placeholder:"HOST:PORT" help:"A controller's address."`
}

// helpTexts are the texts that do not fit a struct tag.
var helpTexts = kong.Vars{
	"await_help": "A job that must be done before this one starts; " +
		"several with commas or by repeating the flag. Added to the Awaits of FILE.",
}

type submitCmd struct {
	remote
	// Await holds the values of the flag, and after Validate the job IDs.
	Await []string `sep:"none" placeholder:"JOB" help:"${await_help}"`
	File  string   `arg:"" help:"The job as JSON; - is standard input."`
}

// Validate checks the job IDs before anything is read or sent. An empty one is an error,
// too: it is more likely an unset variable than a request for a job without dependencies.
func (c *submitCmd) Validate() error {
	ids := make([]string, 0, len(c.Await))
	for _, list := range c.Await {
		ids = append(ids, strings.Split(list, ",")...)
	}
	for _, id := range ids {
		if err := client.CheckID(id); err != nil {
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
		raw, err = io.ReadAll(io.LimitReader(os.Stdin, api.MaxBody+1))
	} else {
		raw, err = os.ReadFile(c.File)
	}
	if err != nil {
		return fmt.Errorf("job: %w", err)
	}
	if len(raw) > api.MaxBody {
		return fmt.Errorf("job: larger than %d bytes", api.MaxBody)
	}
	if raw, err = client.AddDependencies(raw, c.Await); err != nil {
		return fmt.Errorf("job: %w", err)
	}
	st, err := client.New(c.Addr).Submit(context.Background(), raw)
	return printState(st, err)
}

type showCmd struct {
	remote
	ID string `arg:"" help:"The job's id."`
}

func (c *showCmd) Run() error {
	st, err := client.New(c.Addr).Show(context.Background(), c.ID)
	return printState(st, err)
}

type cancelCmd struct {
	remote
	ID string `arg:"" help:"The job's id."`
}

func (c *cancelCmd) Run() error {
	st, err := client.New(c.Addr).Cancel(context.Background(), c.ID)
	return printState(st, err)
}

type statusCmd struct{ remote }

func (c *statusCmd) Run() error {
	raw, err := client.New(c.Addr).Status(context.Background())
	if err != nil {
		return err
	}
	var out bytes.Buffer
	if err := json.Indent(&out, raw, "", "  "); err != nil {
		return fmt.Errorf("status: %w", err)
	}
	fmt.Println(out.String())
	return nil
}

type versionCmd struct{}

func (versionCmd) Run() error {
	fmt.Println("ivytrestle", version)
	return nil
}

func printState(st api.JobState, err error) error {
	if err != nil {
		return err
	}
	fmt.Println(stateLine(st))
	return nil
}

// stateLine returns a job's state as shown to users.
func stateLine(st api.JobState) string {
	line := fmt.Sprintf("%s %s: %d done, %d running", st.ID, st.Phase, st.Done, st.Running)
	if st.Cell != "" {
		line += ", lent to cell " + st.Cell
	}
	if len(st.DependsOn) > 0 {
		line += ", waits for " + strings.Join(st.DependsOn, ", ")
	}
	return line
}

func main() {
	k := kong.Parse(&cli{}, helpTexts,
		kong.Name("ivytrestle"), kong.Description("A cluster scheduler for batch jobs."))
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "ivytrestle:", err)
		os.Exit(1)
	}
}
