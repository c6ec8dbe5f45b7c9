package client

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strings"
	"testing"
)

func TestAddDependencies(t *testing.T) {
	for _, c := range []struct {
		name, job, ids string
		want           string
	}{
		{"no ids: unchanged", ` {"b":1, "a":2}` + "\n", "", ` {"b":1, "a":2}` + "\n"},
		{"no ids: not parsed", "x", "", "x"},
		{"none before", `{"NameId":"job-3"}`, "job-1 job-2", `{"Awaits":["job-1","job-2"],"NameId":"job-3"}`},
		{"null before", `{"Awaits":null}`, "job-1", `{"Awaits":["job-1"]}`},
		{"empty before", `{"Awaits":[]}`, "job-1", `{"Awaits":["job-1"]}`},
		{"some before", `{"Awaits":["job-9"]}`, "job-1", `{"Awaits":["job-9","job-1"]}`},
		{"duplicate fields", `{"Awaits":["job-8"],"Awaits":["job-9"]}`, "job-1", `{"Awaits":["job-9","job-1"]}`},
		{"field name in other case", `{"awaits":["job-9"]}`, "job-1", `{"Awaits":["job-1"],"awaits":["job-9"]}`},
		{"invalid items, left to the controller", `{"Awaits":[null,5]}`, "job-1", `{"Awaits":[null,5,"job-1"]}`},
		{"numbers unchanged", `{"Cores":8.00,"Shoots":18446744073709551616}`, "job-1",
			`{"Awaits":["job-1"],"Cores":8.00,"Shoots":18446744073709551616}`},
	} {
		got, err := AddDependencies([]byte(c.job), strings.Fields(c.ids))
		if err != nil || string(got) != c.want {
			t.Errorf("%s: got %s, error %v; want %s", c.name, got, err, c.want)
		}
	}
	for _, c := range []struct{ name, job, ids, want string }{
		{"empty", "", "job-1", "not a JSON object"},
		{"not JSON", "{", "job-1", "not a JSON object"},
		{"null", "null", "job-1", "not a JSON object"},
		{"list", `[{"NameId":"job-3"}]`, "job-1", "not a JSON object"},
		{"two objects", "{}{}", "job-1", "not a JSON object"},
		{"string for a list", `{"Awaits":"job-9"}`, "job-1", "field Awaits is not a list"},
		{"object for a list", `{"Awaits":{}}`, "job-1", "field Awaits is not a list"},
		{"malformed id", "{}", "job-1 train", `"train" is no job id (job-NUMBER)`},
		{"id with a quote", "{}", `job-1","job-2`, `"job-1\",\"job-2" is no job id (job-NUMBER)`},
	} {
		got, err := AddDependencies([]byte(c.job), strings.Fields(c.ids))
		if err == nil || err.Error() != c.want || got != nil {
			t.Errorf("%s: got %s, error %v; want error %s", c.name, got, err, c.want)
		}
	}
}

func TestAddDependenciesDoesNotModifyItsInput(t *testing.T) {
	job := []byte(`{"Awaits": ["job-9"], "NameId": "job-3"}`)
	before := bytes.Clone(job)
	got, err := AddDependencies(job, []string{"job-1"})
	if err != nil || !bytes.Equal(job, before) {
		t.Fatalf("got input %s, error %v; want it unchanged: %s", job, err, before)
	}
	var fields struct{ Awaits []string }
	err = json.Unmarshal(got, &fields)
	if err != nil || !reflect.DeepEqual(fields.Awaits, []string{"job-9", "job-1"}) {
		t.Errorf("got %s, error %v; want job-9 and job-1", got, err)
	}
}
