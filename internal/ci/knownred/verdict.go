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

// event is an event in the output of go test -json.
type event struct {
	Action, Package, Test, Output string
}

// line is a line of a package's output. test is empty if the line belongs to no test.
type line struct{ test, text string }

// packageRun collects the events of one package's tests.
type packageRun struct {
	name string
	// started lists the tests in the order in which they started.
	started []string
	// results maps each test that has ended to its result: pass, fail or skip.
	results map[string]string
	output  []line
	// ended is set once the package itself has a result.
	ended bool
}

// verdictReader reads the events of go test -json, prints the output that go test without -json
// would print, and decides whether all failures are known. Such failures are tolerated; the printed
// messages call them "passed over".
type verdictReader struct {
	knownFailures []knownFailure
	out           io.Writer
	packages      map[string]*packageRun
	// failed is set once a package has failed, whether tolerated or not.
	failed bool
	// toleratedLines holds the result lines of the packages whose failures are tolerated. They are
	// printed last.
	toleratedLines []string
	// problems lists the reasons why the tests do not pass.
	problems []string
}

func newVerdictReader(list []knownFailure, out io.Writer) *verdictReader {
	return &verdictReader{knownFailures: list, out: out, packages: map[string]*packageRun{}}
}

// read handles events until the end of the input.
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
		v.print(string(raw)) // not an event
		return
	}
	if e.Package == "" {
		v.print(e.Output) // output of the build
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

// print writes to the output. Write errors are ignored, since they do not affect the verdict.
func (v *verdictReader) print(text string) { _, _ = io.WriteString(v.out, text) }

// endPackage prints the output of a package that has ended, and evaluates its failure if it failed.
func (v *verdictReader) endPackage(p *packageRun, failed bool) {
	passedOver := failed && v.onlyListedFailed(p)
	for _, l := range p.output {
		if p.isShown(l, failed) && (!passedOver || !p.isFailLine(l)) {
			v.print(l.text)
		}
	}
	if failed {
		v.evaluateFailure(p)
	}
	p.output = nil
}

// isShown reports whether go test without -v prints a line of a package that has ended.
func (p *packageRun) isShown(l line, failed bool) bool {
	switch {
	case !failed:
		return l.test == "" && (strings.HasPrefix(l.text, "ok  \t") || strings.HasPrefix(l.text, "?   \t"))
	case l.test == "":
		return true
	case isFraming(l.text):
		return false
	}
	// The output of a test that did not end is shown too: that test may have aborted the run.
	return p.results[l.test] != "pass" && p.results[l.test] != "skip"
}

// isFraming reports whether a line only marks which test the following output belongs to.
func isFraming(text string) bool {
	return strings.HasPrefix(text, "=== ")
}

// isFailLine reports whether a line is the result line of a failed package.
func (p *packageRun) isFailLine(l line) bool {
	return l.test == "" && strings.HasPrefix(l.text, "FAIL\t"+p.name+"\t")
}

// evaluateFailure tolerates the failure of a package if only listed tests caused it, and otherwise
// adds the problems.
func (v *verdictReader) evaluateFailure(p *packageRun) {
	v.failed = true
	if v.onlyListedFailed(p) {
		for _, l := range p.output {
			if p.isFailLine(l) {
				duration := strings.TrimSpace(strings.TrimPrefix(l.text, "FAIL\t"+p.name+"\t"))
				resultLine := fmt.Sprintf("ok  \t%s\t%s [known failures passed over]", p.name, duration)
				v.toleratedLines = append(v.toleratedLines, resultLine)
			}
		}
		return
	}
	problemsBefore := len(v.problems)
	for _, test := range p.started {
		switch r := p.results[test]; {
		case r == "":
			v.addProblem("%s %s did not end", p.name, test)
		case r == "fail" && !v.isTolerated(p, test):
			v.addProblem("%s %s failed and is not listed", p.name, test)
		}
	}
	if len(v.problems) == problemsBefore {
		// Either the package did not build, or a panic, a timeout or os.Exit aborted the run, or
		// something other than a test failed. In each case some tests may not have run, so the
		// failure is not tolerated even if all failed tests are listed.
		v.addProblem("%s failed by more than listed tests", p.name)
	}
}

// onlyListedFailed reports whether a package ran all its tests and failed only because of listed
// tests.
func (v *verdictReader) onlyListedFailed(p *packageRun) bool {
	failures := 0
	for _, test := range p.started {
		switch p.results[test] {
		case "":
			return false
		case "fail":
			if !v.isTolerated(p, test) {
				return false
			}
			failures++
		}
	}
	// Only the FAIL line shows that the run was complete: after a panic or os.Exit, tests that had
	// not started leave no events.
	return failures > 0 && slices.Contains(p.output, line{"", "FAIL\n"})
}

// isTolerated reports whether a failed test is listed, or failed only because of its subtests, which
// are evaluated separately.
func (v *verdictReader) isTolerated(p *packageRun, test string) bool {
	if slices.ContainsFunc(v.knownFailures, func(e knownFailure) bool { return e.testName == testName{p.name, test} }) {
		return true
	}
	hasFailedSubtest := slices.ContainsFunc(p.started, func(other string) bool {
		return strings.HasPrefix(other, test+"/") && p.results[other] == "fail"
	})
	// The events do not show whether the parent itself failed as well, but in that case it would
	// have printed a message.
	failLine := "--- FAIL: " + test + " "
	printed := slices.ContainsFunc(p.output, func(l line) bool {
		return l.test == test && !isFraming(l.text) && !strings.HasPrefix(strings.TrimLeft(l.text, " "), failLine)
	})
	return hasFailedSubtest && !printed
}

func (v *verdictReader) addProblem(format string, args ...any) {
	v.problems = append(v.problems, fmt.Sprintf(format, args...))
}

// verdict prints the tolerated failures and the problems, and reports whether the tests pass.
// goTestPassed is whether go test itself succeeded.
func (v *verdictReader) verdict(goTestPassed bool) bool {
	v.checkPackages()
	if goTestPassed == v.failed {
		v.addProblem("go test ended otherwise than its tests")
	}
	v.checkKnownFailures()
	slices.Sort(v.problems)
	for _, problem := range v.problems {
		v.print("not passed over: " + problem + "\n")
	}
	if len(v.problems) > 0 {
		for _, line := range v.toleratedLines {
			v.print(strings.Replace(line, "ok  \t", "FAIL\t", 1) + "\n")
		}
		v.print("FAIL\n")
		return false
	}
	for _, line := range v.toleratedLines {
		v.print(line + "\n")
	}
	return true
}

// checkPackages adds a problem for each package that did not end and prints its output. It also adds
// a problem if no package ran.
func (v *verdictReader) checkPackages() {
	for _, p := range v.packages {
		if !p.ended {
			v.addProblem("%s did not end", p.name)
			for _, l := range p.output {
				v.print(l.text)
			}
		}
	}
	if len(v.packages) == 0 {
		v.addProblem("no test was run")
	}
}

// checkKnownFailures prints the listed tests that failed, and adds a problem for each listed test
// that did not.
func (v *verdictReader) checkKnownFailures() {
	for _, e := range v.knownFailures {
		result := ""
		if p := v.packages[e.pkg]; p != nil {
			result = p.results[e.test]
		}
		switch result {
		case "fail":
			v.print(fmt.Sprintf("known failure: %s | %s | %s\n", e.testName, e.cause, e.issue))
		case "":
			v.addProblem("%s is listed but did not run to its end", e.testName)
		default:
			v.addProblem("%s is listed but does not fail: %s", e.testName, result)
		}
	}
}
