package main

import (
	"encoding/json"
	"strings"
	"testing"
)

// eventStream returns the events of go test -json for a package m/p, described by words. A word with
// a colon starts the test if it has not started yet, and then:
//
//   - "TestA:pass", "TestA:fail" and "TestA:skip" end the test with this result.
//   - "TestA:prints" is a line of output of the test.
//   - "TestA:begin" and "TestA:open" add nothing; the latter marks a test that never ends.
//
// The other words are the results of the package:
//
//   - "ok" is a complete run without failures, "FAIL" one with failures.
//   - "died" is a run that was aborted, "unbuilt" a package that did not build.
//   - "cut" stands for a missing result: the events are truncated.
func eventStream(words string) string {
	var out strings.Builder
	emit := func(action, pkg, test, output string) {
		raw, err := json.Marshal(map[string]string{"Action": action, "Package": pkg, "Test": test, "Output": output})
		if err != nil {
			panic(err)
		}
		out.Write(append(raw, '\n'))
	}
	started := map[string]bool{}
	start := func(test string) {
		if !started[test] {
			started[test] = true
			emit("run", "m/p", test, "")
			emit("output", "m/p", test, "=== RUN   "+test+"\n")
		}
	}
	for _, word := range strings.Fields(words) {
		test, outcome, isTest := strings.Cut(word, ":")
		if isTest {
			start(test)
		}
		switch {
		case isTest && outcome == "prints":
			emit("output", "m/p", test, "    p_test.go:5: "+test+" log line\n")
		case isTest && outcome != "open" && outcome != "begin":
			emit("output", "m/p", test, "--- "+strings.ToUpper(outcome)+": "+test+" (0.00s)\n")
			emit(outcome, "m/p", test, "")
		case word == "ok":
			emit("output", "m/p", "", "PASS\n")
			emit("output", "m/p", "", "ok  \tm/p\t0.003s\n")
			emit("pass", "m/p", "", "")
		case word == "FAIL":
			emit("output", "m/p", "", "FAIL\n")
			fallthrough
		case word == "died":
			emit("output", "m/p", "", "FAIL\tm/p\t0.003s\n")
			emit("fail", "m/p", "", "")
		case word == "unbuilt":
			emit("build-output", "", "", "p/p.go:3: undefined: x\n")
			emit("output", "m/p", "", "FAIL\tm/p [build failed]\n")
			emit("fail", "m/p", "", "")
		}
	}
	return out.String()
}

const (
	listA   = "m/p TestA | slow disk | issue 7\n"
	listSub = "m/p TestA/one | slow disk | issue 8\n"
)

// verdictCases are runs of go test with the expected verdict and output.
var verdictCases = []struct {
	name, list, events string
	wantPass           bool
	// wantOutput is a part of the expected output.
	wantOutput string
}{
	{
		name:       "all tests pass, none listed",
		events:     "TestA:pass TestB:skip ok",
		wantPass:   true,
		wantOutput: "ok  \tm/p\t0.003s\n",
	},
	{
		name:       "unlisted test fails",
		events:     "TestA:prints TestA:fail TestB:pass FAIL",
		wantPass:   false,
		wantOutput: "not passed over: m/p TestA failed and is not listed\nFAIL\n",
	},
	{
		name:       "listed test fails",
		list:       listA,
		events:     "TestA:prints TestA:fail TestB:pass FAIL",
		wantPass:   true,
		wantOutput: "known failure: m/p TestA | slow disk | issue 7\n",
	},
	{
		name:       "test listed for another package fails",
		list:       "m/q TestA | slow disk | issue 7\n",
		events:     "TestA:fail FAIL",
		wantPass:   false,
		wantOutput: "TestA failed and is not listed",
	},
	{
		name:       "listed and unlisted test fail",
		list:       listA,
		events:     "TestA:fail TestB:fail FAIL",
		wantPass:   false,
		wantOutput: "m/p TestB failed and is not listed",
	},
	{
		name:       "test fails whose name starts with a listed name",
		list:       listA,
		events:     "TestA:fail TestAB:fail FAIL",
		wantPass:   false,
		wantOutput: "m/p TestAB failed and is not listed",
	},
	{
		name:       "listed test passes",
		list:       listA,
		events:     "TestA:pass ok",
		wantPass:   false,
		wantOutput: "TestA is listed but does not fail: pass",
	},
	{
		name:       "listed test is skipped",
		list:       listA,
		events:     "TestA:skip ok",
		wantPass:   false,
		wantOutput: "TestA is listed but does not fail: skip",
	},
	{
		name:       "listed test does not exist",
		list:       listA,
		events:     "TestB:pass ok",
		wantPass:   false,
		wantOutput: "TestA is listed but did not run",
	},
	{
		name:       "package of listed test does not exist",
		list:       "m/q TestA | slow disk | issue 7\n",
		events:     "TestB:pass ok",
		wantPass:   false,
		wantOutput: "m/q TestA is listed but did not run",
	},
	{
		name:       "parent fails because of listed subtest",
		list:       listSub,
		events:     "TestA:begin TestA/one:fail TestA/two:pass TestA:fail FAIL",
		wantPass:   true,
		wantOutput: "known failure: m/p TestA/one",
	},
	{
		name:       "listed and unlisted subtest fail",
		list:       listSub,
		events:     "TestA:begin TestA/one:fail TestA/two:fail TestA:fail FAIL",
		wantPass:   false,
		wantOutput: "m/p TestA/two failed",
	},
	{
		name:       "listed subtest and its parent itself fail",
		list:       listSub,
		events:     "TestA:begin TestA/one:fail TestA:prints TestA:fail FAIL",
		wantPass:   false,
		wantOutput: "m/p TestA failed",
	},
	{
		name:       "parent fails without a failed subtest",
		list:       listSub,
		events:     "TestA:begin TestA/one:pass TestA:fail FAIL",
		wantPass:   false,
		wantOutput: "m/p TestA failed",
	},
	{
		name:       "unlisted subtest of listed parent fails",
		list:       listA,
		events:     "TestA:begin TestA/one:fail TestA:fail FAIL",
		wantPass:   false,
		wantOutput: "m/p TestA/one failed",
	},
	{
		name:       "unlisted subtest of listed subtest fails",
		list:       listSub,
		events:     "TestA:begin TestA/one:begin TestA/one/deep:fail TestA/one:fail TestA:fail FAIL",
		wantPass:   false,
		wantOutput: "TestA/one/deep failed",
	},
	{
		name:       "listed subtest with a slash in its name fails",
		list:       "m/p TestA/x/y | c | issue 1",
		events:     "TestA:begin TestA/x/y:fail TestA:fail FAIL",
		wantPass:   true,
		wantOutput: "known failure",
	},
	{
		name:       "listed test aborts the run",
		list:       listA,
		events:     "TestA:prints TestA:fail died",
		wantPass:   false,
		wantOutput: "m/p failed by more than listed tests",
	},
	{
		name:       "unlisted test aborts the run",
		list:       listA,
		events:     "TestA:fail TestB:prints TestB:open died",
		wantPass:   false,
		wantOutput: "m/p TestB did not end",
	},
	{
		name:       "package fails without a failed test",
		list:       listA,
		events:     "TestB:pass FAIL",
		wantPass:   false,
		wantOutput: "m/p failed by more than listed tests",
	},
	{
		name:       "package does not build",
		events:     "unbuilt",
		wantPass:   false,
		wantOutput: "p/p.go:3: undefined: x\n",
	},
	{
		name:       "package of listed test does not build",
		list:       listA,
		events:     "unbuilt",
		wantPass:   false,
		wantOutput: "m/p failed by more than listed tests",
	},
	{
		name:       "events are truncated",
		events:     "TestA:pass cut",
		wantPass:   false,
		wantOutput: "m/p did not end",
	},
	{
		name:       "no events",
		events:     "",
		wantPass:   false,
		wantOutput: "no test was run",
	},
}

func TestOnlyListedFailuresAreTolerated(t *testing.T) {
	for _, c := range verdictCases {
		t.Run(c.name, func(t *testing.T) {
			out, passes := evaluate(t, c.list, eventStream(c.events), strings.HasSuffix(c.events, "ok"))
			if passes != c.wantPass {
				t.Errorf("passes: got %v, want %v\n%s", passes, c.wantPass, out)
			}
			if !strings.Contains(out, c.wantOutput) {
				t.Errorf("output lacks %q:\n%s", c.wantOutput, out)
			}
			if !c.wantPass && !strings.HasSuffix(out, "\nFAIL\n") {
				t.Errorf("output does not end with FAIL:\n%s", out)
			}
		})
	}
}

// evaluate returns the output and the verdict for events and a list of known failures. goTestPassed
// is whether go test itself succeeded.
func evaluate(t *testing.T, list, events string, goTestPassed bool) (out string, passes bool) {
	t.Helper()
	entries, err := parseList(list)
	if err != nil {
		t.Fatal(err)
	}
	var buf strings.Builder
	v := newVerdictReader(entries, &buf)
	if err := v.read(strings.NewReader(events)); err != nil {
		t.Fatal(err)
	}
	passes = v.verdict(goTestPassed)
	return buf.String(), passes
}

// The exit status of go test must agree with the results of its tests: a package that could not be
// loaded has no events, so that only the exit status shows the failure.
func TestResultOfGoTestMustAgreeWithItsTests(t *testing.T) {
	for _, c := range []struct {
		name, list, events string
		goTestPassed       bool
	}{
		{name: "go test fails, its tests pass", events: "TestA:pass ok", goTestPassed: false},
		{
			name:         "go test succeeds, a listed test fails",
			list:         "m/p TestA | c | issue 1",
			events:       "TestA:fail FAIL",
			goTestPassed: true,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			if out, passes := evaluate(t, c.list, eventStream(c.events), c.goTestPassed); passes {
				t.Errorf("passes: got true, want false\n%s", out)
			}
		})
	}
}

// The output is the same as that of go test without -json, apart from the lines about known failures
// and problems.
func TestOutputMatchesGoTest(t *testing.T) {
	const (
		list         = "m/p TestA | slow disk | issue 7\n"
		failedOutput = "    p_test.go:5: TestA log line\n--- FAIL: TestA (0.00s)\nFAIL\n"
	)
	for _, c := range []struct{ name, list, events, want string }{
		{
			name:   "package passes",
			events: "TestA:prints TestA:pass ok",
			want:   "ok  \tm/p\t0.003s\n",
		},
		{
			name:   "unlisted failure",
			events: "TestA:prints TestA:fail TestB:prints TestB:pass FAIL",
			want: failedOutput + "FAIL\tm/p\t0.003s\n" +
				"not passed over: m/p TestA failed and is not listed\n" + "FAIL\n",
		},
		{
			name:   "listed failure",
			list:   list,
			events: "TestA:prints TestA:fail TestB:prints TestB:pass FAIL",
			want: failedOutput + "known failure: m/p TestA | slow disk | issue 7\n" +
				"ok  \tm/p\t0.003s [known failures passed over]\n",
		},
		{
			name:   "test does not end",
			events: "TestA:prints TestA:open died",
			want: "    p_test.go:5: TestA log line\nFAIL\tm/p\t0.003s\n" +
				"not passed over: m/p TestA did not end\n" + "FAIL\n",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			out, _ := evaluate(t, c.list, "no event\n"+eventStream(c.events), strings.HasSuffix(c.events, "ok"))
			if want := "no event\n" + c.want; out != want {
				t.Errorf("output:\n%s\nwant:\n%s", out, want)
			}
		})
	}
}

func TestParseList(t *testing.T) {
	const ok = "m/p TestA | slow disk | issue 7\n"
	for _, c := range []struct {
		name, text string
		wantCount  int
		// wantErr is a part of the expected error, or empty for none.
		wantErr string
	}{
		{"empty", "", 0, ""},
		{"comments", "# known\n\n  # more\n", 0, ""},
		{"one entry", ok, 1, ""},
		{"three entries", ok + "m/p TestB/x_y | c | issue 8\nm/q TestA | c | issue 9", 3, ""},
		{
			"four entries",
			ok + "m/p TestB | c | issue 8\nm/p TestC | c | issue 8\nm/p TestD | c | issue 8",
			0, "4 tests are listed",
		},
		{"listed twice", ok + ok, 0, "line 2: m/p TestA is listed twice"},
		{"no issue", "m/p TestA | slow disk\n", 0, "line 1: not of the form"},
		{"empty issue", "m/p TestA | slow disk |\n", 0, "names no issue"},
		{"issue without a number", "m/p TestA | slow disk | issue\n", 0, "names no issue"},
		{"issue 0", "m/p TestA | slow disk | issue 0\n", 0, "names no issue"},
		{"no cause", "m/p TestA | | issue 7\n", 0, "names no cause"},
		{"no package", "TestA | c | issue 7\n", 0, "package and a test"},
		{"no test", "m/p | c | issue 7\n", 0, "package and a test"},
		{"extra word after the test", "m/p Test.* extra | c | issue 7\n", 0, "package and a test"},
		{"not the name of a test", "m/p BenchmarkA | c | issue 7\n", 0, "package and a test"},
		{"too many fields", "m/p TestA | a | b | issue 7\n", 0, "not of the form"},
	} {
		t.Run(c.name, func(t *testing.T) {
			list, err := parseList(c.text)
			switch {
			case (err != nil) != (c.wantErr != ""), err != nil && !strings.Contains(err.Error(), c.wantErr):
				t.Errorf("error: got %v, want %q", err, c.wantErr)
			case len(list) != c.wantCount:
				t.Errorf("entries: got %d, want %d", len(list), c.wantCount)
			}
		})
	}
}
