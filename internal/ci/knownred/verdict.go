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
	list   []entry
	out    io.Writer
	suites map[string]*packageRun
	// failed is set once a package failed, for whatever reason.
	failed bool
	// passed are the packages whose failures are passed over: their closing
	// lines, to be printed last.
	passed   []string
	problems []string
}

func newJudge(list []entry, out io.Writer) *verdictReader {
	return &verdictReader{list: list, out: out, suites: map[string]*packageRun{}}
}

// read takes the events in as they come.
func (j *verdictReader) read(events io.Reader) error {
	in := bufio.NewReader(events)
	for {
		raw, err := in.ReadBytes('\n')
		if len(raw) > 0 {
			j.handleEvent(raw)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (j *verdictReader) handleEvent(raw []byte) {
	var e event
	if !bytes.HasPrefix(raw, []byte("{")) || json.Unmarshal(raw, &e) != nil {
		j.out.Write(raw) // what is no event is shown as it is
		return
	}
	if e.Package == "" {
		io.WriteString(j.out, e.Output) // of a build
		return
	}
	s := j.suites[e.Package]
	if s == nil {
		s = &packageRun{name: e.Package, results: map[string]string{}}
		j.suites[e.Package] = s
	}
	switch e.Action {
	case "run":
		s.started = append(s.started, e.Test)
	case "output":
		s.output = append(s.output, line{e.Test, e.Output})
	case "pass", "fail", "skip":
		if e.Test != "" {
			s.results[e.Test] = e.Action
			return
		}
		s.ended = true
		j.end(s, e.Action == "fail")
	}
}

// end shows a package that has ended, and judges it if it failed.
func (j *verdictReader) end(s *packageRun, failed bool) {
	for _, l := range s.output {
		if s.isShown(l, failed) && !(failed && s.closing(l) && j.isListed(s)) {
			io.WriteString(j.out, l.text)
		}
	}
	if failed {
		j.fail(s)
	}
	s.output = nil
}

// isShown tells whether go test without -v shows a line.
func (s *packageRun) isShown(l line, failed bool) bool {
	switch {
	case !failed:
		return l.test == "" && (strings.HasPrefix(l.text, "ok  \t") || strings.HasPrefix(l.text, "?   \t"))
	case l.test == "":
		return true
	case framing(l.text):
		return false
	}
	// A test that never ended may be what ended the others.
	return s.results[l.test] != "pass" && s.results[l.test] != "skip"
}

// framing tells whether a line only says which test prints next.
func framing(text string) bool {
	return strings.HasPrefix(text, "=== ")
}

// closing tells whether a line is the last of a package that failed.
func (s *packageRun) closing(l line) bool {
	return l.test == "" && strings.HasPrefix(l.text, "FAIL\t"+s.name+"\t")
}

func (j *verdictReader) fail(s *packageRun) {
	j.failed = true
	if j.isListed(s) {
		for _, l := range s.output {
			if s.closing(l) {
				took := strings.TrimSpace(strings.TrimPrefix(l.text, "FAIL\t"+s.name+"\t"))
				j.passed = append(j.passed, fmt.Sprintf("ok  \t%s\t%s [known failures passed over]", s.name, took))
			}
		}
		return
	}
	n := len(j.problems)
	for _, test := range s.started {
		switch r := s.results[test]; {
		case r == "":
			j.problem("%s %s did not end", s.name, test)
		case r == "fail" && !j.isAllowed(s, test):
			j.problem("%s %s failed and is not listed", s.name, test)
		}
	}
	if len(j.problems) == n {
		// Not built, ended by a panic, a time limit or os.Exit, or failed by
		// something else than a test: whatever is listed, tests were not run.
		j.problem("%s failed by more than listed tests", s.name)
	}
}

// isListed tells whether only listed tests made a package fail.
func (j *verdictReader) isListed(s *packageRun) bool {
	failures := 0
	for _, test := range s.started {
		switch s.results[test] {
		case "":
			return false
		case "fail":
			if !j.isAllowed(s, test) {
				return false
			}
			failures++
		}
	}
	// This line alone shows that the run came to its end: after a panic or
	// os.Exit, tests that did not begin leave no other trace.
	return failures > 0 && slices.Contains(s.output, line{"", "FAIL\n"})
}

// isAllowed tells whether a failed test is listed, or failed only since subtests
// did, which are looked at by themselves.
func (j *verdictReader) isAllowed(s *packageRun, test string) bool {
	if slices.ContainsFunc(j.list, func(e entry) bool { return e.testName == testName{s.name, test} }) {
		return true
	}
	subtests := slices.ContainsFunc(s.started, func(other string) bool {
		return strings.HasPrefix(other, test+"/") && s.results[other] == "fail"
	})
	// The events do not tell whether a parent failed by itself as well; but it
	// would have said why.
	return subtests && !slices.ContainsFunc(s.output, func(l line) bool {
		return l.test == test && !framing(l.text) && !strings.HasPrefix(strings.TrimLeft(l.text, " "), "--- FAIL: "+test+" ")
	})
}

func (j *verdictReader) problem(format string, args ...any) {
	j.problems = append(j.problems, fmt.Sprintf(format, args...))
}

// verdict says at the end what was passed over and what was not, and tells
// whether the tests pass. Clean is set if go test itself was content.
func (j *verdictReader) verdict(clean bool) bool {
	for _, s := range j.suites {
		if !s.ended {
			j.problem("%s did not end", s.name)
			for _, l := range s.output {
				io.WriteString(j.out, l.text)
			}
		}
	}
	if len(j.suites) == 0 {
		j.problem("no test was run")
	}
	if clean == j.failed {
		j.problem("go test ended otherwise than its tests")
	}
	for _, e := range j.list {
		result := ""
		if s := j.suites[e.pkg]; s != nil {
			result = s.results[e.test]
		}
		switch result {
		case "fail":
			fmt.Fprintf(j.out, "known failure: %s | %s | %s\n", e.testName, e.cause, e.issue)
		case "":
			j.problem("%s is listed but did not run to its end", e.testName)
		default:
			j.problem("%s is listed but does not fail: %s", e.testName, result)
		}
	}
	slices.Sort(j.problems)
	for _, p := range j.problems {
		fmt.Fprintln(j.out, "not passed over:", p)
	}
	if len(j.problems) > 0 {
		for _, p := range j.passed {
			fmt.Fprintln(j.out, strings.Replace(p, "ok  \t", "FAIL\t", 1))
		}
		fmt.Fprintln(j.out, "FAIL")
		return false
	}
	for _, p := range j.passed {
		fmt.Fprintln(j.out, p)
	}
	return true
}
