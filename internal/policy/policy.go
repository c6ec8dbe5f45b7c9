// Package policy reads the operators' settings from a Starlark script. The script runs once, at startup,
// with a limited number of steps and without access to files or the network. All settings are validated
// before any of them is applied.
package policy

import (
	_ "embed"
	"errors"
	"fmt"
	"math"
	"os"
	"sort"
	"strings"
	"time"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

//go:embed defaults.star
var defaults string

// Policy holds the operators' settings. No setting can weaken a safety rule.
type Policy struct {
	// TeamShares holds the fair-share weights of the teams that have one set; see Share.
	TeamShares map[string]float64
	// UseSpot is set if spot machines may be launched for jobs that allow them.
	UseSpot bool
	// Headroom is the capacity kept in addition to the demand, as a fraction of the demand.
	Headroom float64
	// MinCPUs is the smallest size of the fleet, in CPUs.
	MinCPUs float64
	// IdleTimeout is how long a machine that is not draining must be empty before it may be
	// terminated.
	IdleTimeout time.Duration
	// DemandWindow is the sliding window whose peak demand the fleet is kept large enough for.
	DemandWindow time.Duration
	// LeaderLease is the lifetime of the leader lease without renewal.
	LeaderLease time.Duration
	// ClassPreferences holds the preferences of job classes. Among equally urgent jobs of a team,
	// those with higher values are served first.
	ClassPreferences map[string]float64
	// RestartLimit is the multiple of its estimated run time after which a task may be restarted as
	// a straggler; 0 disables such restarts.
	RestartLimit float64
	// Spill holds the conditions for loans to and from other cells.
	Spill Spill
}

// Spill holds the conditions for lending jobs to other cells and for running the jobs of other cells.
type Spill struct {
	// MinWait is how long a job must have waited before it is lent.
	MinWait time.Duration
	// MinGain is how much sooner a job must be expected to start in the other cell.
	MinGain time.Duration
	// MaxLoansPerJob is how many times a job may be lent.
	MaxLoansPerJob int
	// Cooldown is how long after it was reclaimed a job may not be lent to the same cell again.
	Cooldown time.Duration
	// GuestShare is the fraction of this cell's CPUs that the jobs of other cells may use.
	GuestShare float64
}

// Share returns the team's fair-share weight, or the fallback if the operators set none.
func (p *Policy) Share(team string, fallback float64) float64 {
	if share, ok := p.TeamShares[team]; ok {
		return share
	}
	return fallback
}

// fileOptions allows conditions and loops outside functions.
var fileOptions = &syntax.FileOptions{TopLevelControl: true}

// maxSteps is the maximum number of execution steps of a script.
const maxSteps = 1_000_000

// Load reads the operators' script from a file. If the path is empty, all settings have their defaults.
func Load(path string) (*Policy, error) {
	if path == "" {
		return Parse("defaults.star", "")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("policy: read script: %w", err)
	}
	return Parse(path, string(raw))
}

// Parse runs the script, overrides the defaults with the settings that it assigns, and validates the
// result. name is the script's file name in errors.
func Parse(name, script string) (*Policy, error) {
	values, err := execute("defaults.star", defaults, nil)
	if err != nil {
		return nil, err
	}
	known := values.Keys()
	if script == "" {
		return validate(values, nil, name)
	}
	overrides, err := execute(name, script, values)
	if err != nil {
		return nil, err
	}
	lines := assignmentLines(name, script)
	for _, key := range overrides.Keys() {
		if _, ok := overrides[key].(starlark.Callable); ok || key[0] == '_' {
			continue // a function or private variable of the script, not a setting
		}
		if _, ok := values[key]; !ok {
			sort.Strings(known)
			return nil, fmt.Errorf("policy %s: unknown setting %s (known: %s)",
				position(name, lines, key), key, strings.Join(known, ", "))
		}
		values[key] = overrides[key]
	}
	return validate(values, lines, name)
}

// assignmentLines returns, for each global variable that a script assigns, the line of the last
// assignment.
func assignmentLines(name, script string) map[string]int32 {
	lines := map[string]int32{}
	file, err := fileOptions.Parse(name, script, 0)
	if err != nil {
		return lines // unreachable: the script has been executed before
	}
	syntax.Walk(file, func(n syntax.Node) bool {
		switch n := n.(type) {
		case *syntax.DefStmt:
			return false // assignments in functions are local
		case *syntax.AssignStmt:
			start, _ := n.Span()
			syntax.Walk(n.LHS, func(target syntax.Node) bool {
				if ident, ok := target.(*syntax.Ident); ok {
					lines[ident.Name] = start.Line
				}
				return true
			})
		}
		return true
	})
	return lines
}

// position returns the position at which a script assigns a setting, as file:line, or only the file if
// the script does not assign it.
func position(file string, lines map[string]int32, setting string) string {
	if line, ok := lines[setting]; ok {
		return fmt.Sprintf("%s:%d", file, line)
	}
	return file
}

// execute runs a script and returns its global variables. The script can read each of the predeclared
// values under its name with the prefix default_.
func execute(name, script string, predeclared starlark.StringDict) (starlark.StringDict, error) {
	thread := &starlark.Thread{Name: name, Print: func(*starlark.Thread, string) {}}
	thread.SetMaxExecutionSteps(maxSteps)
	env := starlark.StringDict{}
	for key, value := range predeclared {
		env["default_"+key] = value
	}
	globals, err := starlark.ExecFileOptions(fileOptions, thread, name, script, env)
	if err != nil {
		var evalErr *starlark.EvalError
		if errors.As(err, &evalErr) && len(evalErr.CallStack) > 0 {
			return nil, fmt.Errorf("policy %s: %w", evalErr.CallStack.At(0).Pos, err)
		}
		return nil, fmt.Errorf("policy: %w", err)
	}
	return globals, nil
}

// validate converts the values of all settings to a Policy. file and lines, the result of
// assignmentLines, are used only for the positions in errors.
func validate(values starlark.StringDict, lines map[string]int32, file string) (*Policy, error) {
	p := &Policy{}
	invalid := func(key, want string) (*Policy, error) {
		return nil, fmt.Errorf("policy %s: %s must be %s, found %s",
			position(file, lines, key), key, want, values[key])
	}
	spot, ok := values["use_spot"].(starlark.Bool)
	if !ok {
		return invalid("use_spot", "True or False")
	}
	p.UseSpot = bool(spot)
	const secondsPerDay = 86400
	var idleTimeout, demandWindow, leaderLease, minWait, minGain, maxLoans, cooldown float64
	var err error
	for _, setting := range []struct {
		key      string
		target   *float64
		min, max float64
	}{
		{"headroom", &p.Headroom, 0, 10},
		{"min_cpus", &p.MinCPUs, 0, 1e6},
		{"idle_return_s", &idleTimeout, 0, secondsPerDay},
		{"hold_s", &demandWindow, 0, secondsPerDay},
		{"leader_lease_s", &leaderLease, 2, 600},
		{"restart_limit", &p.RestartLimit, 0, 1000},
		{"spill_after_s", &minWait, 0, secondsPerDay},
		{"spill_gain_s", &minGain, 0, secondsPerDay},
		{"spill_lends", &maxLoans, 0, 100},
		{"spill_cooldown_s", &cooldown, 0, secondsPerDay},
		{"guest_share", &p.Spill.GuestShare, 0, 1},
	} {
		x, ok := starlark.AsFloat(values[setting.key])
		if !ok || math.IsNaN(x) || x < setting.min || x > setting.max {
			return invalid(setting.key, fmt.Sprintf("a number from %v to %v", setting.min, setting.max))
		}
		*setting.target = x
	}
	p.Spill.MinWait, p.Spill.MinGain = seconds(minWait), seconds(minGain)
	p.Spill.MaxLoansPerJob, p.Spill.Cooldown = int(maxLoans), seconds(cooldown)
	p.IdleTimeout = seconds(idleTimeout)
	p.DemandWindow = seconds(demandWindow)
	p.LeaderLease = seconds(leaderLease)
	if p.RestartLimit > 0 && p.RestartLimit < 1 {
		return invalid("restart_limit", "0 or a number from 1 to 1000")
	}
	if p.TeamShares, err = numberDict(values["team_shares"], 0); err != nil {
		return invalid("team_shares", "a dict of team names and shares above 0")
	}
	if p.ClassPreferences, err = numberDict(values["class_preference"], math.Inf(-1)); err != nil {
		return invalid("class_preference", "a dict of class names and numbers")
	}
	return p, nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// numberDict converts a Starlark dict of names and finite numbers above a bound.
func numberDict(value starlark.Value, above float64) (map[string]float64, error) {
	dict, isDict := value.(*starlark.Dict)
	if !isDict {
		return nil, errors.New("value is not a dict")
	}
	numbers := map[string]float64{}
	for _, item := range dict.Items() {
		name, isString := starlark.AsString(item[0])
		x, isNumber := starlark.AsFloat(item[1])
		if !isString || !isNumber || !(x > above) || math.IsInf(x, 0) {
			return nil, fmt.Errorf("entry %s is not a name with a number in range", item[0])
		}
		numbers[name] = x
	}
	return numbers, nil
}
