package main

import (
	"errors"
	"fmt"
	"regexp"
	"strings"
)

// maxListed is how many tests may be known to fail at a time.
const maxListed = 3

// testName is one test of a package.
type testName struct{ pkg, test string }

func (n testName) String() string { return n.pkg + " " + n.test }

// entry is a test that is known to fail.
type entry struct {
	testName
	cause, issue string
}

var (
	testForm  = regexp.MustCompile(`^Test[^\s/]*(/\S+)?$`)
	issueForm = regexp.MustCompile(`^issue [1-9][0-9]*$`)
)

// parseList parses a list of known failures, one in each line:
//
//	package TestName[/subtest] | cause | issue N
func parseList(text string) ([]entry, error) {
	var list []entry
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
	if len(list) > maxListed {
		return nil, fmt.Errorf("%d tests are listed, and at most %d may be", len(list), maxListed)
	}
	return list, nil
}

func parseEntry(line string) (entry, error) {
	parts := strings.Split(line, "|")
	if len(parts) != 3 {
		return entry{}, errors.New("not of the form: package TestName[/subtest] | cause | issue N")
	}
	name := strings.Fields(parts[0])
	e := entry{cause: strings.TrimSpace(parts[1]), issue: strings.TrimSpace(parts[2])}
	switch {
	case len(name) != 2 || !testForm.MatchString(name[1]):
		return entry{}, errors.New("does not begin with a package and a test")
	case e.cause == "":
		return entry{}, errors.New("names no cause")
	case !issueForm.MatchString(e.issue):
		return entry{}, errors.New("names no issue")
	}
	e.testName = testName{name[0], name[1]}
	return e, nil
}
