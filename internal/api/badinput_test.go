package api

import (
	"slices"
	"strings"
	"testing"
)

// submissionWithLiteral is a valid submission with one field set to a JSON literal.
func submissionWithLiteral(id, field, literal string) string {
	change := map[string]any{"NameId": id}
	change[field] = "@@"
	return strings.Replace(submissionWith(change), `"@@"`, literal, 1)
}

// checkInvalidSubmission checks that an invalid submission, as made for a job ID, gets
// 400 and does not reach the backend; that the repeat of a known job gets its state
// whatever else it holds; and that nothing is final while the job may be known.
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

// A submission with an invalid field is rejected, unless it repeats a known job.
func TestInvalidFieldsGetBadRequest(t *testing.T) {
	text := []string{"null", "5", "true", "[]", "{}", `["x"]`, `""`}
	amount := []string{"null", `"1.0"`, `""`, "true", "[]", "{}", "[1.0]", "-1", "-0.001", "-1e400", "1e400", "1e10",
		`"NaN"`, `"Infinity"`}
	// A requirement of 1e10 is well-formed, see TestOversizedRequirementsReachBackend.
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

// Only the fields that may be null may be left out.
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

// Field names are case-sensitive: a name that differs in case is an unknown field, which
// is ignored and neither replaces nor provides the known one.
func TestFieldNamesAreCaseSensitive(t *testing.T) {
	for _, c := range []struct{ field, like, literal string }{
		{"Shoots", "shoots", "99"}, {"Bed", "BED", `"z"`}, {"NameId", "nameid", `"job-000007"`},
		{"Cores", "cores", `"many"`}, {"Frames", "frames", "[]"}, {"Windfall", "windfall", "null"},
	} {
		for _, more := range []string{strings.Replace(submissionWith(nil), "{", `{"`+c.like+`":`+c.literal+",", 1),
			strings.TrimSuffix(submissionWith(nil), "}") + `,"` + c.like + `":` + c.literal + "}"} {
			s := &stubBackend{}
			w := submit(t, s, more)
			if w.Code != 201 || len(s.submitted) != 1 {
				t.Errorf("with %s as well: got status %d (%s), accepted %+v; want 201, one",
					c.like, w.Code, w.Body, s.submitted)
				continue
			}
			if got := s.submitted[0]; got.ID != newJobID || got.Tasks != 16 || got.Zone != "" || got.CPUs != 8 ||
				len(got.Types) != 1 || !got.Spot {
				t.Errorf("with %s as well: got %+v, want the job without it", c.like, got)
			}
		}
		if c.field == "Bed" || c.field == "Frames" {
			continue // may be left out
		}
		s := &stubBackend{}
		w := submit(t, s, strings.Replace(submissionWith(nil), `"`+c.field+`"`, `"`+c.like+`"`, 1))
		if w.Code != 400 || len(s.submitted) > 0 {
			t.Errorf("%s in place of %s: got status %d, %d accepted; want 400",
				c.like, c.field, w.Code, len(s.submitted))
		}
	}
}

// Of duplicate fields the last counts, for the ID and the others alike: a job must not
// be validated under one ID and stored under another.
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

// A body that is no JSON object of the protocol's size names no job: it gets 400 from
// every node, also while the backend is unavailable.
func TestNonObjectBodiesGetBadRequest(t *testing.T) {
	good := submissionWith(nil)
	nested := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	for name, b := range map[string]string{
		"empty":            "",
		"blank":            " \n",
		"text":             "job-000412",
		"form":             "NameId=job-000412",
		"null":             "null",
		"list":             "[" + good + "]",
		"string":           `"job-000412"`,
		"number":           "412",
		"boolean":          "true",
		"cut short":        good[:len(good)-1],
		"two":              good + good,
		"more after it":    good + "x",
		"byte order mark":  "\ufeff" + good,
		"comment":          "/**/" + good,
		"comma at the end": good[:len(good)-1] + ",}",
		"NaN":              submissionWithLiteral(newJobID, "Cores", "NaN"),
		"infinite":         submissionWithLiteral(newJobID, "Cores", "Infinity"),
		"minus infinite":   submissionWithLiteral(newJobID, "Cores", "-Infinity"),
		"hexadecimal":      submissionWithLiteral(newJobID, "Shoots", "0x10"),
		"leading zero":     submissionWithLiteral(newJobID, "Shoots", "016"),
		"plus":             submissionWithLiteral(newJobID, "Cores", "+8.0"),
		"too deep":         strings.Replace(good, "{", `{"X":`+nested+",", 1),
		"too large":        good + strings.Repeat(" ", MaxBodyBytes-len(good)+1),
	} {
		for _, s := range []*stubBackend{{}, {unavailable: true}} {
			if w := submit(t, s, b); w.Code != 400 || len(s.submitted) > 0 {
				t.Errorf("%s, backend down %v: got status %d (%s), %d accepted; want 400",
					name, s.unavailable, w.Code, w.Body, len(s.submitted))
			}
		}
	}
	if w := submit(t, &stubBackend{}, good+strings.Repeat(" ", MaxBodyBytes-len(good))); w.Code != 201 {
		t.Errorf("largest body: got status %d, want 201", w.Code)
	}
}

// No job with a malformed ID was ever accepted: its submission is invalid and its job
// unknown, also while the backend is unavailable.
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
		return // the path would be another one
	}
	path := "/api/jobs/" + strings.NewReplacer(" ", "%20", "\n", "%0A", "/", "%2F").Replace(id)
	if w := serve(t, b, "GET", path, ""); w.Code != 404 {
		t.Errorf("poll of %q: got status %d, want 404", id, w.Code)
	}
	if w := serve(t, b, "POST", path+"/abort", ""); w.Code != 404 {
		t.Errorf("cancel of %q: got status %d, want 404", id, w.Code)
	}
}

// While the backend is unavailable no response is final: neither that a job is unknown
// nor that it is cancelled.
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

// A requirement that no machine could ever meet is not malformed: the backend, which
// knows the machine types, decides whether a job is schedulable.
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

// The error of an invalid submission is one line without Go's type names.
func TestInvalidSubmissionErrorsAreReadable(t *testing.T) {
	for _, c := range []struct{ submission, want string }{
		{"[]", "not a valid job: expected an object, found array"},
		{"{", `not a valid job: not valid JSON: unexpected end of JSON input, after \"{\"`},
		{submissionWithLiteral(newJobID, "Shoots", `"many"`),
			"not a valid job: field Shoots: expected a whole number, found string"},
		{submissionWithLiteral(newJobID, "Frames", `"g8"`),
			"not a valid job: field Frames: expected a list, found string"},
	} {
		w := submit(t, &stubBackend{}, c.submission)
		got := w.Body.String()
		if w.Code != 400 || !strings.Contains(got, c.want) || strings.Contains(strings.TrimSpace(got), "\n") {
			t.Errorf("%s: got %d %s, want 400 %s", c.submission, w.Code, w.Body, c.want)
		}
	}
}
