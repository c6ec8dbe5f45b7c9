package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
)

// event is one of go test -json.
type event struct {
	Action, Package, Test, Output string
}

// line is one of a package's output; test is "" if no test printed it.
type line struct{ test, text string }

// packageRun is what is known of one package's tests.
type packageRun struct {
	name string
	// started lists the tests in order, and results how each ended.
	started []string
	results map[string]string
	output  []line
	ended   bool
}

// verdictReader reads the events of go test, shows them as go test without -json would
// and decides whether what failed may be passed over.
type verdictReader struct {
	list     []entry
	out      io.Writer
	packages map[string]*packageRun
	// failed is set once a package failed, for whatever reason.
	failed bool
	// passedOver are the packages whose failures are passed over: their closing
	// lines, to be printed last.
	passedOver []string
	problems   []string
}

func newVerdictReader(list []entry, out io.Writer) *verdictReader {
	return &verdictReader{list: list, out: out, packages: map[string]*packageRun{}}
}

// read takes the events in as they come.
func (v *verdictReader) read(events io.Reader) error {
	in := bufio.NewReader(events)
	for {
		raw, err := in.ReadBytes('\n')
		if len(raw) > 0 {
			v.handleEvent(raw)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (v *verdictReader) handleEvent(raw []byte) {
	var e event
	if !bytes.HasPrefix(raw, []byte("{")) || json.Unmarshal(raw, &e) != nil {
		v.out.Write(raw) // what is no event is shown as it is
		return
	}
	if e.Package == "" {
		io.WriteString(v.out, e.Output) // of a build
		return
	}
	p := v.packages[e.Package]
	if p == nil {
		p = &packageRun{name: e.Package, results: map[string]string{}}
		v.packages[e.Package] = p
	}
	switch e.Action {
	case "run":
		p.started = append(p.started, e.Test)
	case "output":
		p.output = append(p.output, line{e.Test, e.Output})
	case "pass", "fail", "skip":
		if e.Test != "" {
			p.results[e.Test] = e.Action
			return
		}
		p.ended = true
		v.endPackage(p, e.Action == "fail")
	}
}

// endPackage shows a package that has ended, and judges it if it failed.
func (v *verdictReader) endPackage(p *packageRun, failed bool) {
	for _, l := range p.output {
		if p.isShown(l, failed) && !(failed && p.isFailLine(l) && v.onlyListedFailed(p)) {
			io.WriteString(v.out, l.text)
		}
	}
	if failed {
		v.judgeFailure(p)
	}
	p.output = nil
}

// isShown tells whether go test without -v shows a line.
func (p *packageRun) isShown(l line, failed bool) bool {
	switch {
	case !failed:
		return l.test == "" && (strings.HasPrefix(l.text, "ok  \t") || strings.HasPrefix(l.text, "?   \t"))
	case l.test == "":
		return true
	case isFraming(l.text):
		return false
	}
	// A test that never ended may be what ended the others.
	return p.results[l.test] != "pass" && p.results[l.test] != "skip"
}

// isFraming tells whether a line only says which test prints next.
func isFraming(text string) bool {
	return strings.HasPrefix(text, "=== ")
}

// isFailLine tells whether a line is the last of a package that failed.
func (p *packageRun) isFailLine(l line) bool {
	return l.test == "" && strings.HasPrefix(l.text, "FAIL\t"+p.name+"\t")
}

func (v *verdictReader) judgeFailure(p *packageRun) {
	v.failed = true
	if v.onlyListedFailed(p) {
		for _, l := range p.output {
			if p.isFailLine(l) {
				took := strings.TrimSpace(strings.TrimPrefix(l.text, "FAIL\t"+p.name+"\t"))
				v.passedOver = append(v.passedOver, fmt.Sprintf("ok  \t%s\t%s [known failures passed over]", p.name, took))
			}
		}
		return
	}
	n := len(v.problems)
	for _, test := range p.started {
		switch r := p.results[test]; {
		case r == "":
			v.addProblem("%s %s did not end", p.name, test)
		case r == "fail" && !v.mayFail(p, test):
			v.addProblem("%s %s failed and is not listed", p.name, test)
		}
	}
	if len(v.problems) == n {
		// Not built, ended by a panic, a time limit or os.Exit, or failed by
		// something else than a test: whatever is listed, tests were not run.
		v.addProblem("%s failed by more than listed tests", p.name)
	}
}

// onlyListedFailed tells whether only listed tests made a package fail.
func (v *verdictReader) onlyListedFailed(p *packageRun) bool {
	failures := 0
	for _, test := range p.started {
		switch p.results[test] {
		case "":
			return false
		case "fail":
			if !v.mayFail(p, test) {
				return false
			}
			failures++
		}
	}
	// This line alone shows that the run came to its end: after a panic or
	// os.Exit, tests that did not begin leave no other trace.
	return failures > 0 && slices.Contains(p.output, line{"", "FAIL\n"})
}

// mayFail tells whether a failed test is listed, or failed only since subtests
// did, which are looked at by themselves.
func (v *verdictReader) mayFail(p *packageRun, test string) bool {
	if slices.ContainsFunc(v.list, func(e entry) bool { return e.testName == testName{p.name, test} }) {
		return true
	}
	subtests := slices.ContainsFunc(p.started, func(other string) bool {
		return strings.HasPrefix(other, test+"/") && p.results[other] == "fail"
	})
	// The events do not tell whether a parent failed by itself as well; but it
	// would have said why.
	return subtests && !slices.ContainsFunc(p.output, func(l line) bool {
		return l.test == test && !isFraming(l.text) && !strings.HasPrefix(strings.TrimLeft(l.text, " "), "--- FAIL: "+test+" ")
	})
}

func (v *verdictReader) addProblem(format string, args ...any) {
	v.problems = append(v.problems, fmt.Sprintf(format, args...))
}

// verdict says at the end what was passed over and what was not, and tells
// whether the tests pass. Clean is set if go test itself was content.
func (v *verdictReader) verdict(clean bool) bool {
	for _, p := range v.packages {
		if !p.ended {
			v.addProblem("%s did not end", p.name)
			for _, l := range p.output {
				io.WriteString(v.out, l.text)
			}
		}
	}
	if len(v.packages) == 0 {
		v.addProblem("no test was run")
	}
	if clean == v.failed {
		v.addProblem("go test ended otherwise than its tests")
	}
	for _, e := range v.list {
		result := ""
		if p := v.packages[e.pkg]; p != nil {
			result = p.results[e.test]
		}
		switch result {
		case "fail":
			fmt.Fprintf(v.out, "known failure: %s | %s | %s\n", e.testName, e.cause, e.issue)
		case "":
			v.addProblem("%s is listed but did not run to its end", e.testName)
		default:
			v.addProblem("%s is listed but does not fail: %s", e.testName, result)
		}
	}
	slices.Sort(v.problems)
	for _, p := range v.problems {
		fmt.Fprintln(v.out, "not passed over:", p)
	}
	if len(v.problems) > 0 {
		for _, p := range v.passedOver {
			fmt.Fprintln(v.out, strings.Replace(p, "ok  \t", "FAIL\t", 1))
		}
		fmt.Fprintln(v.out, "FAIL")
		return false
	}
	for _, p := range v.passedOver {
		fmt.Fprintln(v.out, p)
	}
	return true
}
