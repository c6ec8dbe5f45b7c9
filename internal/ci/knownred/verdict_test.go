package main

import (
	"encoding/json"
	"strings"
	"testing"
)

// eventStream returns the events of go test -json for one package m/p. Each word is a test and how
// it ended, such as "TestA:fail"; "TestA:open" did not end, "TestA:prints" is a line that TestA
// prints. The other words are the package's own ends: "ok", "FAIL" (reached its end), "died"
// (did not), "unbuilt", "cut".
func eventStream(words string) string {
	var out strings.Builder
	emit := func(action, pkg, test, output string) {
		raw, err := json.Marshal(map[string]string{"Action": action, "Package": pkg, "Test": test, "Output": output})
		if err != nil {
			panic(err)
		}
		out.Write(append(raw, '\n'))
	}
	begun := map[string]bool{}
	begin := func(test string) {
		if !begun[test] {
			begun[test] = true
			emit("run", "m/p", test, "")
			emit("output", "m/p", test, "=== RUN   "+test+"\n")
		}
	}
	for _, word := range strings.Fields(words) {
		test, how, isTest := strings.Cut(word, ":")
		if isTest {
			begin(test)
		}
		switch {
		case isTest && how == "prints":
			emit("output", "m/p", test, "    p_test.go:5: "+test+" speaks\n")
		case isTest && how != "open" && how != "begin":
			emit("output", "m/p", test, "--- "+strings.ToUpper(how)+": "+test+" (0.00s)\n")
			emit(how, "m/p", test, "")
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

// verdictCases are runs of go test with the verdict on them.
var verdictCases = []struct {
	name, list, events string
	passes             bool
	// prints is part of the output.
	prints string
}{
	{
		name:   "all pass, none listed",
		events: "TestA:pass TestB:skip ok",
		passes: true,
		prints: "ok  \tm/p\t0.003s\n",
	},
	{
		name:   "one fails, none listed",
		events: "TestA:prints TestA:fail TestB:pass FAIL",
		passes: false,
		prints: "not passed over: m/p TestA failed and is not listed\nFAIL\n",
	},
	{
		name:   "the listed one fails",
		list:   listA,
		events: "TestA:prints TestA:fail TestB:pass FAIL",
		passes: true,
		prints: "known failure: m/p TestA | slow disk | issue 7\n",
	},
	{
		name:   "the listed one of another package fails",
		list:   "m/q TestA | slow disk | issue 7\n",
		events: "TestA:fail FAIL",
		passes: false,
		prints: "TestA failed and is not listed",
	},
	{
		name:   "the listed one and another fail",
		list:   listA,
		events: "TestA:fail TestB:fail FAIL",
		passes: false,
		prints: "m/p TestB failed and is not listed",
	},
	{
		name:   "one whose name the listed one begins fails",
		list:   listA,
		events: "TestA:fail TestAB:fail FAIL",
		passes: false,
		prints: "m/p TestAB failed and is not listed",
	},
	{
		name:   "the listed one passes",
		list:   listA,
		events: "TestA:pass ok",
		passes: false,
		prints: "TestA is listed but does not fail: pass",
	},
	{
		name:   "the listed one is skipped",
		list:   listA,
		events: "TestA:skip ok",
		passes: false,
		prints: "TestA is listed but does not fail: skip",
	},
	{
		name:   "the listed one does not exist",
		list:   listA,
		events: "TestB:pass ok",
		passes: false,
		prints: "TestA is listed but did not run",
	},
	{
		name:   "the listed one's package does not exist",
		list:   "m/q TestA | slow disk | issue 7\n",
		events: "TestB:pass ok",
		passes: false,
		prints: "m/q TestA is listed but did not run",
	},
	{
		name:   "the listed subtest fails its parent",
		list:   listSub,
		events: "TestA:begin TestA/one:fail TestA/two:pass TestA:fail FAIL",
		passes: true,
		prints: "known failure: m/p TestA/one",
	},
	{
		name:   "another subtest fails as well",
		list:   listSub,
		events: "TestA:begin TestA/one:fail TestA/two:fail TestA:fail FAIL",
		passes: false,
		prints: "m/p TestA/two failed",
	},
	{
		name:   "the parent fails by itself as well",
		list:   listSub,
		events: "TestA:begin TestA/one:fail TestA:prints TestA:fail FAIL",
		passes: false,
		prints: "m/p TestA failed",
	},
	{
		name:   "the parent fails alone",
		list:   listSub,
		events: "TestA:begin TestA/one:pass TestA:fail FAIL",
		passes: false,
		prints: "m/p TestA failed",
	},
	{
		name:   "a listed parent's subtest fails",
		list:   listA,
		events: "TestA:begin TestA/one:fail TestA:fail FAIL",
		passes: false,
		prints: "m/p TestA/one failed",
	},
	{
		name:   "a subtest's subtest fails",
		list:   listSub,
		events: "TestA:begin TestA/one:begin TestA/one/deep:fail TestA/one:fail TestA:fail FAIL",
		passes: false,
		prints: "TestA/one/deep failed",
	},
	{
		name:   "a listed subtest with a slash",
		list:   "m/p TestA/x/y | c | issue 1",
		events: "TestA:begin TestA/x/y:fail TestA:fail FAIL",
		passes: true,
		prints: "known failure",
	},
	{
		name:   "the listed one ends the run",
		list:   listA,
		events: "TestA:prints TestA:fail died",
		passes: false,
		prints: "m/p failed by more than listed tests",
	},
	{
		name:   "another ends the run",
		list:   listA,
		events: "TestA:fail TestB:prints TestB:open died",
		passes: false,
		prints: "m/p TestB did not end",
	},
	{
		name:   "the package fails without a test",
		list:   listA,
		events: "TestB:pass FAIL",
		passes: false,
		prints: "m/p failed by more than listed tests",
	},
	{
		name:   "the package is not built",
		events: "unbuilt",
		passes: false,
		prints: "p/p.go:3: undefined: x\n",
	},
	{
		name:   "the listed one's package is not built",
		list:   listA,
		events: "unbuilt",
		passes: false,
		prints: "m/p failed by more than listed tests",
	},
	{
		name:   "the events break off",
		events: "TestA:pass cut",
		passes: false,
		prints: "m/p did not end",
	},
	{
		name:   "no events",
		events: "",
		passes: false,
		prints: "no test was run",
	},
}

func TestOnlyListedFailuresAreTolerated(t *testing.T) {
	for _, c := range verdictCases {
		t.Run(c.name, func(t *testing.T) {
			out, passes := evaluate(t, c.list, eventStream(c.events), strings.HasSuffix(c.events, "ok"))
			if passes != c.passes {
				t.Errorf("passes: got %v, want %v\n%s", passes, c.passes, out)
			}
			if !strings.Contains(out, c.prints) {
				t.Errorf("output lacks %q:\n%s", c.prints, out)
			}
			if !c.passes && !strings.HasSuffix(out, "\nFAIL\n") {
				t.Errorf("output does not end with FAIL:\n%s", out)
			}
		})
	}
}

// evaluate returns the output and the verdict on events under a list of known failures; clean is
// go test's own result.
func evaluate(t *testing.T, list, events string, clean bool) (out string, passes bool) {
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
	passes = v.verdict(clean)
	return buf.String(), passes
}

// A package that could not even be listed has no events, so go test's own result must agree
// with those of its tests either way.
func TestResultOfGoTestMustAgreeWithItsTests(t *testing.T) {
	for _, c := range []struct {
		name, list, events string
		clean              bool
	}{
		{name: "go test fails, its tests pass", events: "TestA:pass ok", clean: false},
		{
			name:   "go test succeeds, a listed test fails",
			list:   "m/p TestA | c | issue 1",
			events: "TestA:fail FAIL",
			clean:  true,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			if out, passes := evaluate(t, c.list, eventStream(c.events), c.clean); passes {
				t.Errorf("passes: got true, want false\n%s", out)
			}
		})
	}
}

// The output is that of go test without -json.
func TestOutputMatchesGoTest(t *testing.T) {
	const (
		list         = "m/p TestA | slow disk | issue 7\n"
		failedOutput = "    p_test.go:5: TestA speaks\n--- FAIL: TestA (0.00s)\nFAIL\n"
	)
	for _, c := range []struct{ name, list, events, want string }{
		{
			name:   "a package that passes",
			events: "TestA:prints TestA:pass ok",
			want:   "ok  \tm/p\t0.003s\n",
		},
		{
			name:   "a failure that is not listed",
			events: "TestA:prints TestA:fail TestB:prints TestB:pass FAIL",
			want: failedOutput + "FAIL\tm/p\t0.003s\n" +
				"not passed over: m/p TestA failed and is not listed\n" + "FAIL\n",
		},
		{
			name:   "a listed failure",
			list:   list,
			events: "TestA:prints TestA:fail TestB:prints TestB:pass FAIL",
			want: failedOutput + "known failure: m/p TestA | slow disk | issue 7\n" +
				"ok  \tm/p\t0.003s [known failures passed over]\n",
		},
		{
			name:   "a test that does not end",
			events: "TestA:prints TestA:open died",
			want: "    p_test.go:5: TestA speaks\nFAIL\tm/p\t0.003s\n" +
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
		entries    int
		// fault is part of the error, or "" for none.
		fault string
	}{
		{"empty", "", 0, ""},
		{"comments", "# known\n\n  # more\n", 0, ""},
		{"one", ok, 1, ""},
		{"three", ok + "m/p TestB/x_y | c | issue 8\nm/q TestA | c | issue 9", 3, ""},
		{
			"four",
			ok + "m/p TestB | c | issue 8\nm/p TestC | c | issue 8\nm/p TestD | c | issue 8",
			0, "4 tests are listed",
		},
		{"twice", ok + ok, 0, "line 2: m/p TestA is listed twice"},
		{"no issue", "m/p TestA | slow disk\n", 0, "line 1: not of the form"},
		{"empty issue", "m/p TestA | slow disk |\n", 0, "names no issue"},
		{"issue without a number", "m/p TestA | slow disk | issue\n", 0, "names no issue"},
		{"issue 0", "m/p TestA | slow disk | issue 0\n", 0, "names no issue"},
		{"no cause", "m/p TestA | | issue 7\n", 0, "names no cause"},
		{"no package", "TestA | c | issue 7\n", 0, "package and a test"},
		{"no test", "m/p | c | issue 7\n", 0, "package and a test"},
		{"all tests", "m/p Test.* extra | c | issue 7\n", 0, "package and a test"},
		{"no test's name", "m/p BenchmarkA | c | issue 7\n", 0, "package and a test"},
		{"one part more", "m/p TestA | a | b | issue 7\n", 0, "not of the form"},
	} {
		t.Run(c.name, func(t *testing.T) {
			list, err := parseList(c.text)
			switch {
			case (err != nil) != (c.fault != ""), err != nil && !strings.Contains(err.Error(), c.fault):
				t.Errorf("error: got %v, want %q", err, c.fault)
			case len(list) != c.entries:
				t.Errorf("entries: got %d, want %d", len(list), c.entries)
			}
		})
	}
}
