package main

import (
	"encoding/json"
	"strings"
	"testing"
)

// stream writes the events of go test -json as it does for one package m/p. Each
// word is a test and how it ended, such as "TestA:fail"; "TestA:open" did not
// end, "TestA:says" is a line that TestA prints. The rest are the package's own
// ends: "ok", "FAIL" (came to its end), "died" (did not), "unbuilt", "cut".
func stream(words string) string {
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
		case isTest && how == "says":
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

func TestOnlyWhatIsListedIsPassedOver(t *testing.T) {
	const a, sub = "m/p TestA | slow disk | issue 7\n", "m/p TestA/one | slow disk | issue 8\n"
	for _, c := range []struct {
		name, list, events string
		passes             bool
		// says is part of what is printed.
		says string
	}{
		{"all pass, none listed", "", "TestA:pass TestB:skip ok", true, "ok  \tm/p\t0.003s\n"},
		{"one fails, none listed", "", "TestA:says TestA:fail TestB:pass FAIL", false, "not passed over: m/p TestA failed and is not listed\nFAIL\n"},
		{"the listed one fails", a, "TestA:says TestA:fail TestB:pass FAIL", true, "known failure: m/p TestA | slow disk | issue 7\n"},
		{"the listed one of another package fails", "m/q TestA | slow disk | issue 7\n", "TestA:fail FAIL", false, "TestA failed and is not listed"},
		{"the listed one and another fail", a, "TestA:fail TestB:fail FAIL", false, "m/p TestB failed and is not listed"},
		{"one whose name the listed one begins fails", a, "TestA:fail TestAB:fail FAIL", false, "m/p TestAB failed and is not listed"},
		{"the listed one passes", a, "TestA:pass ok", false, "TestA is listed but does not fail: pass"},
		{"the listed one is skipped", a, "TestA:skip ok", false, "TestA is listed but does not fail: skip"},
		{"the listed one does not exist", a, "TestB:pass ok", false, "TestA is listed but did not run"},
		{"the listed one's package does not exist", "m/q TestA | slow disk | issue 7\n", "TestB:pass ok", false, "m/q TestA is listed but did not run"},
		{"the listed subtest fails its parent", sub, "TestA:begin TestA/one:fail TestA/two:pass TestA:fail FAIL", true, "known failure: m/p TestA/one"},
		{"another subtest fails as well", sub, "TestA:begin TestA/one:fail TestA/two:fail TestA:fail FAIL", false, "m/p TestA/two failed"},
		{"the parent fails by itself as well", sub, "TestA:begin TestA/one:fail TestA:says TestA:fail FAIL", false, "m/p TestA failed"},
		{"the parent fails alone", sub, "TestA:begin TestA/one:pass TestA:fail FAIL", false, "m/p TestA failed"},
		{"a listed parent's subtest fails", a, "TestA:begin TestA/one:fail TestA:fail FAIL", false, "m/p TestA/one failed"},
		{"a subtest's subtest fails", sub, "TestA:begin TestA/one:begin TestA/one/deep:fail TestA/one:fail TestA:fail FAIL", false, "TestA/one/deep failed"},
		{"a listed subtest with a slash", "m/p TestA/x/y | c | issue 1", "TestA:begin TestA/x/y:fail TestA:fail FAIL", true, "known failure"},
		{"the listed one ends the run", a, "TestA:says TestA:fail died", false, "m/p failed by more than listed tests"},
		{"another ends the run", a, "TestA:fail TestB:says TestB:open died", false, "m/p TestB did not end"},
		{"the package fails without a test", a, "TestB:pass FAIL", false, "m/p failed by more than listed tests"},
		{"the package is not built", "", "unbuilt", false, "p/p.go:3: undefined: x\n"},
		{"the listed one's package is not built", a, "unbuilt", false, "m/p failed by more than listed tests"},
		{"the events break off", "", "TestA:pass cut", false, "m/p did not end"},
		{"no events", "", "", false, "no test was run"},
	} {
		t.Run(c.name, func(t *testing.T) {
			list, err := parseList(c.list)
			if err != nil {
				t.Fatal(err)
			}
			var out strings.Builder
			v := newVerdictReader(list, &out)
			if err := v.read(strings.NewReader(stream(c.events))); err != nil {
				t.Fatal(err)
			}
			if got := v.verdict(strings.HasSuffix(c.events, "ok")); got != c.passes {
				t.Errorf("passes: %v, want %v\n%s", got, c.passes, out.String())
			}
			if !strings.Contains(out.String(), c.says) {
				t.Errorf("%q is missing in\n%s", c.says, out.String())
			}
			if !c.passes && !strings.HasSuffix(out.String(), "\nFAIL\n") {
				t.Errorf("does not end with FAIL:\n%s", out.String())
			}
		})
	}
}

// A package that could not even be listed has no events, and go test's own
// result must agree with its tests' either way.
func TestGoTestsOwnResultCounts(t *testing.T) {
	for _, c := range []struct {
		events string
		clean  bool
	}{{"TestA:pass ok", false}, {"TestA:fail FAIL", true}} {
		v := newVerdictReader([]entry{{testName{"m/p", "TestA"}, "c", "issue 1"}}, new(strings.Builder))
		if !c.clean {
			v.list = nil
		}
		if err := v.read(strings.NewReader(stream(c.events))); err != nil {
			t.Fatal(err)
		}
		if v.verdict(c.clean) {
			t.Errorf("%s: passes although go test's own result is %v", c.events, c.clean)
		}
	}
}

// What is shown is what go test shows without -json.
func TestOutputIsReadable(t *testing.T) {
	const list = "m/p TestA | slow disk | issue 7\n"
	for _, c := range []struct{ list, events, want string }{
		{"", "TestA:says TestA:pass ok", "ok  \tm/p\t0.003s\n"},
		{"", "TestA:says TestA:fail TestB:says TestB:pass FAIL", "    p_test.go:5: TestA speaks\n--- FAIL: TestA (0.00s)\nFAIL\nFAIL\tm/p\t0.003s\n" +
			"not passed over: m/p TestA failed and is not listed\nFAIL\n"},
		{list, "TestA:says TestA:fail TestB:says TestB:pass FAIL", "    p_test.go:5: TestA speaks\n--- FAIL: TestA (0.00s)\nFAIL\n" +
			"known failure: m/p TestA | slow disk | issue 7\nok  \tm/p\t0.003s [known failures passed over]\n"},
		{"", "TestA:says TestA:open died", "    p_test.go:5: TestA speaks\nFAIL\tm/p\t0.003s\nnot passed over: m/p TestA did not end\nFAIL\n"},
	} {
		l, err := parseList(c.list)
		if err != nil {
			t.Fatal(err)
		}
		var out strings.Builder
		v := newVerdictReader(l, &out)
		if err := v.read(strings.NewReader("no event\n" + stream(c.events))); err != nil {
			t.Fatal(err)
		}
		v.verdict(strings.HasSuffix(c.events, "ok"))
		if want := "no event\n" + c.want; out.String() != want {
			t.Errorf("%s:\n%s\nwant\n%s", c.events, out.String(), want)
		}
	}
}

func TestLists(t *testing.T) {
	const ok = "m/p TestA | slow disk | issue 7\n"
	for _, c := range []struct {
		name, text string
		entries    int
		// fault is part of the error, or "".
		fault string
	}{
		{"empty", "", 0, ""},
		{"comments", "# known\n\n  # more\n", 0, ""},
		{"one", ok, 1, ""},
		{"three", ok + "m/p TestB/x_y | c | issue 8\nm/q TestA | c | issue 9", 3, ""},
		{"four", ok + "m/p TestB | c | issue 8\nm/p TestC | c | issue 8\nm/p TestD | c | issue 8", 0, "4 tests are listed"},
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
		list, err := parseList(c.text)
		switch {
		case (err != nil) != (c.fault != ""), err != nil && !strings.Contains(err.Error(), c.fault):
			t.Errorf("%s: %v, want %q", c.name, err, c.fault)
		case len(list) != c.entries:
			t.Errorf("%s: %d entries, want %d", c.name, len(list), c.entries)
		}
	}
}
