// Package policy holds the operators' settings, written in Starlark. A script runs once,
// at the start, with bounded steps and without access to files or the network; all its
// settings are validated before any is applied.
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

// Policy holds the operators' settings. None of them can weaken a safety rule.
type Policy struct {
	// TeamShares holds the teams' shares; see Share.
	TeamShares   map[string]float64
	UseSpot      bool
	Headroom     float64
	MinCPUs      float64
	IdleTimeout  time.Duration
	DemandWindow time.Duration
	LeaderLease  time.Duration
	// ClassPreferences orders the classes of jobs, the highest first.
	ClassPreferences map[string]float64
	// RestartLimit is how many times its estimate a task may run; 0 is without limit.
	RestartLimit float64
	// Spill holds the conditions of loans to other cells, if there are any.
	Spill Spill
}

// Spill holds the conditions of loans to other cells.
type Spill struct {
	// MinWait is how long a job must have waited, and Gain how much sooner it must be
	// expected to start there.
	MinWait, MinGain time.Duration
	// MaxLoansPerJob is how often a job may be lent, and Cooldown the time before it may be lent
	// to the same cell again.
	MaxLoansPerJob int
	Cooldown       time.Duration
	// GuestShare is the share of a cell's CPUs that guests may use.
	GuestShare float64
}

// Share returns a team's share, or the fallback if the operators set none.
func (p *Policy) Share(team string, fallback float64) float64 {
	if s, ok := p.TeamShares[team]; ok {
		return s
	}
	return fallback
}

// fileOptions lets a script use conditions and loops outside functions.
var fileOptions = &syntax.FileOptions{TopLevelControl: true}

// maxSteps bounds the execution steps of a script.
const maxSteps = 1_000_000

// Load reads the operators' script; an empty path means the defaults alone.
func Load(path string) (*Policy, error) {
	if path == "" {
		return Parse("defaults.star", "")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("policy: %w", err)
	}
	return Parse(path, string(raw))
}

// Parse runs a script over the defaults and validates the result.
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
	for _, k := range overrides.Keys() {
		if _, ok := overrides[k].(starlark.Callable); ok || k[0] == '_' {
			continue // a helper of the script
		}
		if _, ok := values[k]; !ok {
			sort.Strings(known)
			return nil, fmt.Errorf("policy %s: unknown setting %s (known: %s)",
				position(name, lines, k), k, strings.Join(known, ", "))
		}
		values[k] = overrides[k]
	}
	return validate(values, lines, name)
}

// assignmentLines returns the line on which a script last assigns each name.
func assignmentLines(name, script string) map[string]int32 {
	lines := map[string]int32{}
	file, err := fileOptions.Parse(name, script, 0)
	if err != nil {
		return lines // does not happen: the script has been executed
	}
	syntax.Walk(file, func(n syntax.Node) bool {
		switch n := n.(type) {
		case *syntax.DefStmt:
			return false // its assignments are local
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

// position returns where a script assigns a setting: the file, and the line if it is known.
func position(file string, lines map[string]int32, setting string) string {
	if line, ok := lines[setting]; ok {
		return fmt.Sprintf("%s:%d", file, line)
	}
	return file
}

// execute runs a script. It can read each of the predeclared values with the prefix
// default_.
func execute(name, script string, predeclared starlark.StringDict) (starlark.StringDict, error) {
	thread := &starlark.Thread{Name: name, Print: func(*starlark.Thread, string) {}}
	thread.SetMaxExecutionSteps(maxSteps)
	env := starlark.StringDict{}
	for k, v := range predeclared {
		env["default_"+k] = v
	}
	out, err := starlark.ExecFileOptions(fileOptions, thread, name, script, env)
	if err != nil {
		var eval *starlark.EvalError
		if errors.As(err, &eval) && len(eval.CallStack) > 0 {
			return nil, fmt.Errorf("policy %s: %w", eval.CallStack.At(0).Pos, err)
		}
		return nil, fmt.Errorf("policy: %w", err)
	}
	return out, nil
}

// validate converts the values of all settings to a Policy.
func validate(v starlark.StringDict, lines map[string]int32, file string) (*Policy, error) {
	p := &Policy{}
	invalid := func(key, want string) (*Policy, error) {
		return nil, fmt.Errorf("policy %s: %s must be %s, found %s", position(file, lines, key), key, want, v[key])
	}
	spot, ok := v["use_spot"].(starlark.Bool)
	if !ok {
		return invalid("use_spot", "True or False")
	}
	p.UseSpot = bool(spot)
	const secondsPerDay = 86400
	var idle, lease, drainDelay, after, gain, lends, cooldown float64
	var err error
	for _, f := range []struct {
		key      string
		target   *float64
		min, max float64
	}{
		{"headroom", &p.Headroom, 0, 10},
		{"min_cpus", &p.MinCPUs, 0, 1e6},
		{"idle_return_s", &idle, 0, secondsPerDay},
		{"hold_s", &drainDelay, 0, secondsPerDay},
		{"leader_lease_s", &lease, 2, 600},
		{"restart_limit", &p.RestartLimit, 0, 1000},
		{"spill_after_s", &after, 0, secondsPerDay},
		{"spill_gain_s", &gain, 0, secondsPerDay},
		{"spill_lends", &lends, 0, 100},
		{"spill_cooldown_s", &cooldown, 0, secondsPerDay},
		{"guest_share", &p.Spill.GuestShare, 0, 1},
	} {
		x, ok := starlark.AsFloat(v[f.key])
		if !ok || math.IsNaN(x) || x < f.min || x > f.max {
			return invalid(f.key, fmt.Sprintf("a number from %v to %v", f.min, f.max))
		}
		*f.target = x
	}
	p.Spill.MinWait, p.Spill.MinGain = seconds(after), seconds(gain)
	p.Spill.MaxLoansPerJob, p.Spill.Cooldown = int(lends), seconds(cooldown)
	p.IdleTimeout = seconds(idle)
	p.DemandWindow = seconds(drainDelay)
	p.LeaderLease = seconds(lease)
	if p.RestartLimit > 0 && p.RestartLimit < 1 {
		return invalid("restart_limit", "0 or a number from 1 to 1000")
	}
	if p.TeamShares, err = numberDict(v["team_shares"], 0); err != nil {
		return invalid("team_shares", "a dict of team names and shares above 0")
	}
	if p.ClassPreferences, err = numberDict(v["class_preference"], math.Inf(-1)); err != nil {
		return invalid("class_preference", "a dict of class names and numbers")
	}
	return p, nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// numberDict converts a dict of names and finite numbers above a bound.
func numberDict(v starlark.Value, above float64) (map[string]float64, error) {
	dict, isDict := v.(*starlark.Dict)
	if !isDict {
		return nil, errors.New("not a dict")
	}
	out := map[string]float64{}
	for _, item := range dict.Items() {
		name, isString := starlark.AsString(item[0])
		x, isNumber := starlark.AsFloat(item[1])
		if !isString || !isNumber || !(x > above) || math.IsInf(x, 0) {
			return nil, fmt.Errorf("entry %s", item[0])
		}
		out[name] = x
	}
	return out, nil
}
