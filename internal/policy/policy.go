// Package policy holds the operators' own settings, written in Starlark. A
// script is run once, at start, with bounded steps and without any access to
// the outside; whatever it sets is checked before anything is applied.
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

// Policy is what operators may choose. None of it can loosen a rule.
type Policy struct {
	Shares      map[string]float64
	UseSpot     bool
	Headroom    float64
	MinCPUs     float64
	IdleReturn  time.Duration
	DrainDelay  time.Duration
	LeaderLease time.Duration
	// Preferences order the classes of jobs, the highest first.
	Preferences map[string]float64
	// RestartLimit is how many estimates a task may run; 0 is without limit.
	RestartLimit float64
	// Spill says when jobs are lent to other cells, if there are any.
	Spill Spill
}

// Spill says when jobs are lent to other cells.
type Spill struct {
	// After is how long a job must have waited, and Gain by how much sooner it must be
	// expected to begin there.
	After, Gain time.Duration
	// Lends is how often a job may be lent, and Cooldown after what time again to the
	// same cell.
	Lends    int
	Cooldown time.Duration
	// GuestShare is the part of a cell's CPUs that other cells' jobs may use.
	GuestShare float64
}

// Share is a team's share, or the fallback if the operators name none.
func (p *Policy) Share(team string, fallback float64) float64 {
	if s, ok := p.Shares[team]; ok {
		return s
	}
	return fallback
}

// fileOptions lets a script use conditions and loops outside functions.
var fileOptions = &syntax.FileOptions{TopLevelControl: true}

// maxSteps bounds the work of a script.
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

// Parse runs a script over the defaults and checks the result.
func Parse(name, script string) (*Policy, error) {
	values, err := run("defaults.star", defaults, nil)
	if err != nil {
		return nil, err
	}
	known := values.Keys()
	if script == "" {
		return check(values, nil, name)
	}
	own, err := run(name, script, values)
	if err != nil {
		return nil, err
	}
	lines := assignments(name, script)
	for _, k := range own.Keys() {
		if _, ok := own[k].(starlark.Callable); ok || k[0] == '_' {
			continue // the script's own helpers
		}
		if _, ok := values[k]; !ok {
			sort.Strings(known)
			return nil, fmt.Errorf("policy %s: unknown setting %s (known: %s)", lineOf(name, lines, k), k, strings.Join(known, ", "))
		}
		values[k] = own[k]
	}
	return check(values, lines, name)
}

// assignments finds the line on which a script last sets each name.
func assignments(name, script string) map[string]int32 {
	lines := map[string]int32{}
	file, err := fileOptions.Parse(name, script, 0)
	if err != nil {
		return lines // it has been run, so it can be parsed
	}
	syntax.Walk(file, func(n syntax.Node) bool {
		switch n := n.(type) {
		case *syntax.DefStmt:
			return false // what a function sets is its own
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

// lineOf says where a script sets a name: the file, and the line if it is known.
func lineOf(file string, lines map[string]int32, setting string) string {
	if line, ok := lines[setting]; ok {
		return fmt.Sprintf("%s:%d", file, line)
	}
	return file
}

func run(name, script string, predeclared starlark.StringDict) (starlark.StringDict, error) {
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

func check(v starlark.StringDict, lines map[string]int32, file string) (*Policy, error) {
	p := &Policy{}
	fail := func(key, want string) (*Policy, error) {
		return nil, fmt.Errorf("policy %s: %s must be %s, found %s", lineOf(file, lines, key), key, want, v[key])
	}
	spot, ok := v["use_spot"].(starlark.Bool)
	if !ok {
		return fail("use_spot", "True or False")
	}
	p.UseSpot = bool(spot)
	var idle, lease, hold, after, gain, lends, cooldown float64
	var err error
	for _, f := range []struct {
		key    string
		to     *float64
		lo, hi float64
	}{
		{"headroom", &p.Headroom, 0, 10}, {"min_cpus", &p.MinCPUs, 0, 1e6},
		{"idle_return_s", &idle, 0, 86400}, {"hold_s", &hold, 0, 86400}, {"leader_lease_s", &lease, 2, 600},
		{"restart_limit", &p.RestartLimit, 0, 1000},
		{"spill_after_s", &after, 0, 86400}, {"spill_gain_s", &gain, 0, 86400}, {"spill_lends", &lends, 0, 100},
		{"spill_cooldown_s", &cooldown, 0, 86400}, {"guest_share", &p.Spill.GuestShare, 0, 1},
	} {
		x, ok := starlark.AsFloat(v[f.key])
		if !ok || math.IsNaN(x) || x < f.lo || x > f.hi {
			return fail(f.key, fmt.Sprintf("a number from %v to %v", f.lo, f.hi))
		}
		*f.to = x
	}
	p.Spill.After, p.Spill.Gain = time.Duration(after*float64(time.Second)), time.Duration(gain*float64(time.Second))
	p.Spill.Lends, p.Spill.Cooldown = int(lends), time.Duration(cooldown*float64(time.Second))
	p.IdleReturn = time.Duration(idle * float64(time.Second))
	p.DrainDelay = time.Duration(hold * float64(time.Second))
	p.LeaderLease = time.Duration(lease * float64(time.Second))
	if p.RestartLimit > 0 && p.RestartLimit < 1 {
		return fail("restart_limit", "0 or a number from 1 to 1000")
	}
	if p.Shares, err = numberDict(v["team_shares"], 0); err != nil {
		return fail("team_shares", "a dict of team names and shares above 0")
	}
	if p.Preferences, err = numberDict(v["class_preference"], math.Inf(-1)); err != nil {
		return fail("class_preference", "a dict of class names and numbers")
	}
	return p, nil
}

// numberDict reads a dict of names and finite numbers above a bound.
func numberDict(v starlark.Value, above float64) (map[string]float64, error) {
	dict, ok := v.(*starlark.Dict)
	if !ok {
		return nil, errors.New("not a dict")
	}
	out := map[string]float64{}
	for _, item := range dict.Items() {
		name, ok := starlark.AsString(item[0])
		x, isNum := starlark.AsFloat(item[1])
		if !ok || !isNum || !(x > above) || math.IsInf(x, 0) {
			return nil, fmt.Errorf("entry %s", item[0])
		}
		out[name] = x
	}
	return out, nil
}
