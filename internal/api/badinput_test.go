package api

import (
	"strings"
	"testing"
)

// The names of fields are told apart by case: what only resembles one is an
// unknown field, which is ignored and neither replaces it nor stands for it.
func TestNamesOfFieldsAreExact(t *testing.T) {
	for _, c := range []struct{ field, like, literal string }{
		{"Shoots", "shoots", "99"}, {"Bed", "BED", `"z"`}, {"NameId", "nameid", `"job-000007"`}, {"Cores", "cores", `"many"`},
		{"Frames", "frames", "[]"}, {"Windfall", "windfall", "null"},
	} {
		for _, more := range []string{strings.Replace(body(nil), "{", `{"`+c.like+`":`+c.literal+",", 1),
			strings.TrimSuffix(body(nil), "}") + `,"` + c.like + `":` + c.literal + "}"} {
			s := &stub{}
			if w := call(t, s, "POST", "/api/jobs", more); w.Code != 201 || len(s.submitted) != 1 || s.submitted[0].ID != "job-000412" ||
				s.submitted[0].Tasks != 16 || s.submitted[0].Zone != "" || s.submitted[0].CPUs != 8 || len(s.submitted[0].Types) != 1 || !s.submitted[0].Spot {
				t.Errorf("with %s as well: %d (%s), %+v", c.like, w.Code, w.Body, s.submitted)
			}
		}
		if c.field == "Bed" || c.field == "Frames" {
			continue // may be left out
		}
		s := &stub{}
		if w := call(t, s, "POST", "/api/jobs", strings.Replace(body(nil), `"`+c.field+`"`, `"`+c.like+`"`, 1)); w.Code != 400 || len(s.submitted) > 0 {
			t.Errorf("%s in place of %s: %d", c.like, c.field, w.Code)
		}
	}
}

// Of a field that comes twice the last counts, for the id and the rest alike: a
// job must not be checked by one id and stored under another.
func TestFieldsThatComeTwice(t *testing.T) {
	twice := func(first string) string { return strings.Replace(body(nil), "{", "{"+first+",", 1) }
	last := func(more string) string { return strings.TrimSuffix(body(nil), "}") + "," + more + "}" }
	for _, c := range []struct {
		name, body string
		want       int
	}{
		{"no tasks, then 16", twice(`"Shoots":0`), 201},
		{"16 tasks, then none", last(`"Shoots":0`), 400},
		{"a string, then 8 cores", twice(`"Cores":"x"`), 201},
		{"8 cores, then a string", last(`"Cores":"x"`), 400},
		{"8 cores, then null", last(`"Cores":null`), 400},
		{"another id, then a new one", twice(`"NameId":"job-000007"`), 201},
		{"a new id, then that of a known job", strings.Replace(last(`"NameId":"job-000007"`), `"Shoots":16`, `"Shoots":0`, 1), 200},
		{"an id, then a malformed one", last(`"NameId":"x"`), 400},
	} {
		s := &stub{}
		w := call(t, s, "POST", "/api/jobs", c.body)
		if w.Code != c.want || (len(s.submitted) > 0) != (c.want == 201) {
			t.Errorf("%s: %d, want %d (%s)", c.name, w.Code, c.want, w.Body)
		}
		for _, got := range s.submitted {
			if got.ID != "job-000412" || got.Tasks != 16 || got.CPUs != 8 {
				t.Errorf("%s: %+v", c.name, got)
			}
		}
	}
}
