package main

import (
	"errors"
	"fmt"
	"regexp"
	"strings"
)

// maxKnownFailures is the maximum number of tests that may be listed at a time.
const maxKnownFailures = 3

// testName identifies a test or subtest of a package.
type testName struct{ pkg, test string }

func (n testName) String() string { return n.pkg + " " + n.test }

// knownFailure is a test that is known to fail.
type knownFailure struct {
	testName
	cause, issue string
}

var (
	testPattern  = regexp.MustCompile(`^Test[^\s/]*(/\S+)?$`)
	issuePattern = regexp.MustCompile(`^issue [1-9][0-9]*$`)
)

// parseList parses a list of known failures, one per line:
//
//	package TestName[/subtest] | cause | issue N
//
// Empty lines and lines that start with # are ignored.
func parseList(text string) ([]knownFailure, error) {
	var list []knownFailure
	seen := map[testName]bool{}
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		e, err := parseEntry(line)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", i+1, err)
		}
		if seen[e.testName] {
			return nil, fmt.Errorf("line %d: %s is listed twice", i+1, e.testName)
		}
		seen[e.testName] = true
		list = append(list, e)
	}
	if len(list) > maxKnownFailures {
		return nil, fmt.Errorf("%d tests are listed, and at most %d may be", len(list), maxKnownFailures)
	}
	return list, nil
}

func parseEntry(line string) (knownFailure, error) {
	parts := strings.Split(line, "|")
	if len(parts) != 3 {
		return knownFailure{}, errors.New("not of the form: package TestName[/subtest] | cause | issue N")
	}
	name := strings.Fields(parts[0])
	e := knownFailure{cause: strings.TrimSpace(parts[1]), issue: strings.TrimSpace(parts[2])}
	switch {
	case len(name) != 2 || !testPattern.MatchString(name[1]):
		return knownFailure{}, errors.New("does not begin with a package and a test")
	case e.cause == "":
		return knownFailure{}, errors.New("names no cause")
	case !issuePattern.MatchString(e.issue):
		return knownFailure{}, errors.New("names no issue")
	}
	e.testName = testName{name[0], name[1]}
	return e, nil
}
