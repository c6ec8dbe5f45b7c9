package api

import (
	"slices"
	"strings"
	"testing"
)

// submissionWithLiteral returns a valid submission with one field set to a JSON literal.
func submissionWithLiteral(id, field, literal string) string {
	changes := map[string]any{"NameId": id}
	changes[field] = "@@"
	return strings.Replace(submissionWith(changes), `"@@"`, literal, 1)
}

// checkInvalidSubmission checks the responses to an invalid submission, which it builds for
// different job IDs. For a new job, the response is 400 and the backend is not called. For a known
// job, it is the job's state. While the backend is unavailable, it is 503 with a Retry-After
// header, since the job may be known.
func checkInvalidSubmission(t *testing.T, name string, submission func(id string) string) {
	t.Helper()
	b := &stubBackend{}
	if w := submit(t, b, submission(newJobID)); w.Code != 400 || len(b.submitted) > 0 {
		t.Errorf("%s: got status %d (%s), %d accepted; want 400, none", name, w.Code, w.Body, len(b.submitted))
	}
	const state = `{"NameId":"job-000007","Phase":"done","done":3,"running":0}`
	if w := submit(t, b, submission("job-000007")); w.Code != 200 || w.Body.String() != state {
		t.Errorf("%s, of a known job: got %d (%s), want 200 (%s)", name, w.Code, w.Body, state)
	}
	w := submit(t, &stubBackend{unavailable: true}, submission(newJobID))
	if w.Code != 503 || w.Header().Get("Retry-After") == "" {
		t.Errorf("%s, of a job that may be known: got status %d, want 503 with Retry-After", name, w.Code)
	}
}

// A submission with an invalid field is rejected, unless it repeats one of a known job.
func TestInvalidFieldsGetBadRequest(t *testing.T) {
	text := []string{"null", "5", "true", "[]", "{}", `["x"]`, `""`}
	amount := []string{"null", `"1.0"`, `""`, "true", "[]", "{}", "[1.0]", "-1", "-0.001", "-1e400", "1e400", "1e10",
		`"NaN"`, `"Infinity"`}
	// A requirement of 1e10 is valid, see TestOversizedRequirementsReachBackend.
	requirement := slices.DeleteFunc(slices.Clone(amount), func(s string) bool { return s == "1e10" })
	flag := []string{"null", "0", "1", `"true"`, `""`, "[]", "{}"}
	for field, literals := range map[string][]string{
		"Jobclass": text, "Owner": text, "Rootstock": text,
		"Shape":      append([]string{`"Array"`, `"ring"`}, text...),
		"Precedence": append([]string{`"Prod"`, `"soon"`, `"urgent "`, "0"}, text...),
		"Shoots": {"null", `"16"`, `""`, "true", "[]", "{}", "0", "-0", "-1", "1.5", "16.0", "1e2", "100001", "1e400",
			"18446744073709551615", "18446744073709551616", "-18446744073709551617"},
		"Cores": requirement, "Cards": requirement, "MemoryGb": requirement,
		"PullGb": amount, "ExpectS": amount, "GraftS": amount, "PressS": amount,
		"DueS":      append([]string{"0", "0.0"}, amount[1:]...),
		"Frames":    {`"g8"`, "5", "true", "{}", "[5]", `["g8",5]`, `[["g8"]]`, `["g8",null]`, "[null]"},
		"Bed":       {"5", "true", "[]", "{}", `["a"]`, `""`},
		"SamePlace": flag, "Scatter": flag, "Windfall": flag,
	} {
		for _, literal := range literals {
			checkInvalidSubmission(t, field+": "+literal, func(id string) string {
				return submissionWithLiteral(id, field, literal)
			})
		}
	}
}

// Only the nullable fields may be missing.
func TestOnlyNullableFieldsMayBeMissing(t *testing.T) {
	for _, c := range []struct {
		want   int
		fields string
	}{
		{201, "Frames Bed DueS"},
		{400, "NameId Jobclass Owner Shape Precedence Shoots Cores Cards MemoryGb Rootstock PullGb " +
			"SamePlace Scatter Windfall ExpectS GraftS PressS"},
	} {
		for _, field := range strings.Fields(c.fields) {
			s := &stubBackend{}
			w := submit(t, s, submissionWith(map[string]any{field: "drop"}))
			if w.Code != c.want || (len(s.submitted) > 0) != (c.want == 201) {
				t.Errorf("without %s: got status %d, %d accepted; want %d", field, w.Code, len(s.submitted), c.want)
			}
		}
	}
}

// Field names are case-sensitive: a name that differs in case is an unknown field. It is ignored,
// and sets no value of the known field.
func TestFieldNamesAreCaseSensitive(t *testing.T) {
	for _, c := range []struct{ field, variant, literal string }{
		{"Shoots", "shoots", "99"}, {"Bed", "BED", `"z"`}, {"NameId", "nameid", `"job-000007"`},
		{"Cores", "cores", `"many"`}, {"Frames", "frames", "[]"}, {"Windfall", "windfall", "null"},
	} {
		for _, body := range []string{
			strings.Replace(submissionWith(nil), "{", `{"`+c.variant+`":`+c.literal+",", 1),
			strings.TrimSuffix(submissionWith(nil), "}") + `,"` + c.variant + `":` + c.literal + "}",
		} {
			s := &stubBackend{}
			w := submit(t, s, body)
			if w.Code != 201 || len(s.submitted) != 1 {
				t.Errorf("with %s as well: got status %d (%s), accepted %+v; want 201, one",
					c.variant, w.Code, w.Body, s.submitted)
				continue
			}
			if got := s.submitted[0]; got.ID != newJobID || got.Tasks != 16 || got.Zone != "" || got.CPUs != 8 ||
				len(got.Types) != 1 || !got.Spot {
				t.Errorf("with %s as well: got %+v, want the job without it", c.variant, got)
			}
		}
		if c.field == "Bed" || c.field == "Frames" {
			continue // nullable, so it may be missing
		}
		s := &stubBackend{}
		w := submit(t, s, strings.Replace(submissionWith(nil), `"`+c.field+`"`, `"`+c.variant+`"`, 1))
		if w.Code != 400 || len(s.submitted) > 0 {
			t.Errorf("%s in place of %s: got status %d, %d accepted; want 400",
				c.variant, c.field, w.Code, len(s.submitted))
		}
	}
}

// The last of duplicate fields counts, also for the ID: a job must not be validated under one ID
// and stored under another.
func TestLastOfDuplicateFieldsCounts(t *testing.T) {
	withFirst := func(first string) string { return strings.Replace(submissionWith(nil), "{", "{"+first+",", 1) }
	withLast := func(more string) string { return strings.TrimSuffix(submissionWith(nil), "}") + "," + more + "}" }
	for _, c := range []struct {
		name, body string
		want       int
	}{
		{"no tasks, then 16", withFirst(`"Shoots":0`), 201},
		{"16 tasks, then none", withLast(`"Shoots":0`), 400},
		{"a string, then 8 cores", withFirst(`"Cores":"x"`), 201},
		{"8 cores, then a string", withLast(`"Cores":"x"`), 400},
		{"8 cores, then null", withLast(`"Cores":null`), 400},
		{"another id, then a new one", withFirst(`"NameId":"job-000007"`), 201},
		{"a new id, then that of a known job",
			strings.Replace(withLast(`"NameId":"job-000007"`), `"Shoots":16`, `"Shoots":0`, 1), 200},
		{"an id, then a malformed one", withLast(`"NameId":"x"`), 400},
	} {
		s := &stubBackend{}
		w := submit(t, s, c.body)
		if w.Code != c.want || (len(s.submitted) > 0) != (c.want == 201) {
			t.Errorf("%s: got status %d, %d accepted; want %d (%s)", c.name, w.Code, len(s.submitted), c.want, w.Body)
		}
		for _, got := range s.submitted {
			if got.ID != newJobID || got.Tasks != 16 || got.CPUs != 8 {
				t.Errorf("%s: got %+v, want %s with 16 tasks of 8 cores", c.name, got, newJobID)
			}
		}
	}
}

// A body that is not a JSON object, or is too large, identifies no job. So the response is 400 even
// while the backend is unavailable.
func TestNonObjectBodiesGetBadRequest(t *testing.T) {
	good := submissionWith(nil)
	nested := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	for name, body := range map[string]string{
		"empty":           "",
		"white space":     " \n",
		"text":            "job-000412",
		"form":            "NameId=job-000412",
		"null":            "null",
		"array":           "[" + good + "]",
		"string":          `"job-000412"`,
		"number":          "412",
		"boolean":         "true",
		"truncated":       good[:len(good)-1],
		"two objects":     good + good,
		"trailing text":   good + "x",
		"byte order mark": "\ufeff" + good,
		"comment":         "/**/" + good,
		"trailing comma":  good[:len(good)-1] + ",}",
		"NaN":             submissionWithLiteral(newJobID, "Cores", "NaN"),
		"infinity":        submissionWithLiteral(newJobID, "Cores", "Infinity"),
		"minus infinity":  submissionWithLiteral(newJobID, "Cores", "-Infinity"),
		"hexadecimal":     submissionWithLiteral(newJobID, "Shoots", "0x10"),
		"leading zero":    submissionWithLiteral(newJobID, "Shoots", "016"),
		"plus sign":       submissionWithLiteral(newJobID, "Cores", "+8.0"),
		"nested too deep": strings.Replace(good, "{", `{"X":`+nested+",", 1),
		"too large":       good + strings.Repeat(" ", MaxBodyBytes-len(good)+1),
	} {
		for _, s := range []*stubBackend{{}, {unavailable: true}} {
			if w := submit(t, s, body); w.Code != 400 || len(s.submitted) > 0 {
				t.Errorf("%s, backend unavailable %v: got status %d (%s), %d accepted; want 400",
					name, s.unavailable, w.Code, w.Body, len(s.submitted))
			}
		}
	}
	if w := submit(t, &stubBackend{}, good+strings.Repeat(" ", MaxBodyBytes-len(good))); w.Code != 201 {
		t.Errorf("largest body: got status %d, want 201", w.Code)
	}
}

// No job with a malformed ID can have been accepted. So its submission is invalid and the job is
// unknown, even while the backend is unavailable.
func TestMalformedIDs(t *testing.T) {
	for _, id := range []string{"", "job", "job-", "job-x", "job--1", "job-+1", "job-1.5", "job-1 ", " job-1",
		"job-1\n", "Job-1", "JOB-1", "job_1", "job-1/2", "job-1/../job-2", "xjob-1", "job-1x", "job-\u0661",
		"job-" + strings.Repeat("1", 21), "!cancel"} {
		for _, b := range []*stubBackend{{}, {unavailable: true}} {
			checkMalformedID(t, b, id)
		}
	}
	for _, literal := range []string{"5", "null", "true", "[]", "{}", `["job-000412"]`} {
		s := &stubBackend{}
		w := submit(t, s, submissionWithLiteral("", "NameId", literal))
		if w.Code != 400 || len(s.submitted) > 0 {
			t.Errorf("submission of %s: got status %d, %d accepted; want 400", literal, w.Code, len(s.submitted))
		}
	}
}

func checkMalformedID(t *testing.T, b *stubBackend, id string) {
	t.Helper()
	w := submit(t, b, submissionWith(map[string]any{"NameId": id}))
	if w.Code != 400 || len(b.submitted) > 0 {
		t.Errorf("submission of %q: got status %d, %d accepted; want 400", id, w.Code, len(b.submitted))
	}
	if id == "" || strings.Contains(id, "/..") {
		return // the URL's path would be a different one
	}
	path := "/api/jobs/" + strings.NewReplacer(" ", "%20", "\n", "%0A", "/", "%2F").Replace(id)
	if w := serve(t, b, "GET", path, ""); w.Code != 404 {
		t.Errorf("poll of %q: got status %d, want 404", id, w.Code)
	}
	if w := serve(t, b, "POST", path+"/abort", ""); w.Code != 404 {
		t.Errorf("cancel of %q: got status %d, want 404", id, w.Code)
	}
}

// While the backend is unavailable, the response to every request about a job is 503 with a
// Retry-After header: it must not say that a job is unknown or cancelled.
func TestOutageGetsRetryAfter(t *testing.T) {
	for _, c := range []struct{ method, path, body string }{
		{"POST", "/api/jobs", submissionWith(nil)},
		{"POST", "/api/jobs", submissionWith(map[string]any{"Owner": "nobody"})},
		{"GET", "/api/jobs/job-000412", ""}, {"POST", "/api/jobs/job-000412/abort", ""},
	} {
		w := serve(t, &stubBackend{unavailable: true}, c.method, c.path, c.body)
		if after := w.Header().Get("Retry-After"); w.Code != 503 || after != "1" {
			t.Errorf("%s %s: got status %d, Retry-After %q; want 503 and \"1\"", c.method, c.path, w.Code, after)
		}
	}
}

// A requirement that no machine could ever meet is a valid value: the backend decides by the machine
// types whether the job is schedulable.
func TestOversizedRequirementsReachBackend(t *testing.T) {
	for _, field := range []string{"Cores", "Cards", "MemoryGb"} {
		for _, literal := range []string{"1000000001", "1e10", "1e308"} {
			s := &stubBackend{}
			w := submit(t, s, submissionWithLiteral(newJobID, field, literal))
			if w.Code != 201 || len(s.submitted) != 1 {
				t.Errorf("%s: %s: got status %d (%s), %d submitted; want 201, one",
					field, literal, w.Code, w.Body, len(s.submitted))
			}
		}
	}
}

// The error message of an invalid submission is one line that a user can understand: it names the
// field, the value found and the values allowed, and no Go types.
func TestInvalidSubmissionErrorsAreReadable(t *testing.T) {
	for _, c := range []struct{ submission, want string }{
		{"[]", "not a valid job: expected an object, found array"},
		{"{", `not a valid job: not valid JSON: unexpected end of JSON input, after \"{\"`},
		{submissionWithLiteral(newJobID, "Shoots", `"many"`),
			"not a valid job: field Shoots: expected a whole number, found string"},
		{submissionWithLiteral(newJobID, "Frames", `"g8"`),
			"not a valid job: field Frames: expected a list, found string"},
		{submissionWithLiteral(newJobID, "Cores", "-2"), "field Cores: must be 0 or more, found -2"},
		{submissionWithLiteral(newJobID, "PullGb", "1e10"), "field PullGb: must be from 0 to 1e+09, found 1e+10"},
		{submissionWithLiteral(newJobID, "Shoots", "0"), "field Shoots: must be from 1 to 100000, found 0"},
		{submissionWithLiteral(newJobID, "Precedence", `"soon"`),
			`field Precedence: must be prod, urgent, standard or low, found \"soon\"`},
	} {
		w := submit(t, &stubBackend{}, c.submission)
		got := w.Body.String()
		if w.Code != 400 || !strings.Contains(got, c.want) || strings.Contains(strings.TrimSpace(got), "\n") {
			t.Errorf("%s: got %d %s, want 400 %s", c.submission, w.Code, w.Body, c.want)
		}
	}
}
