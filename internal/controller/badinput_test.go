package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/kv/kvtest"
	"example.org/ivytrestle/internal/records"
)

// serveRequest sends a node a user's request.
func serveRequest(n *node, method, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	api.Handler(n.Controller, slog.New(slog.DiscardHandler)).ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w
}

// submissionBody is the body of a submission, changed. A field that is changed to "@..." is
// written as what follows.
func (w *cluster) submissionBody(id string, change map[string]any) string {
	m := map[string]any{"NameId": id, "Jobclass": "c", "Owner": "red", "Shape": "array", "Precedence": "low", "Shoots": 5,
		"Cores": 1.0, "Cards": 0.0, "MemoryGb": 1.0, "Rootstock": "img", "PullGb": 1.0, "Frames": nil, "Bed": nil,
		"SamePlace": false, "Scatter": false, "Windfall": true, "ExpectS": 30.0, "GraftS": 0.0, "PressS": 0.0, "DueS": nil}
	maps.Copy(m, change)
	for field, v := range m {
		if s, ok := v.(string); ok && strings.HasPrefix(s, "@") {
			m[field] = json.RawMessage(s[1:])
		}
	}
	raw, err := json.Marshal(m)
	if err != nil {
		w.t.Fatal(err)
	}
	return string(raw)
}

// jobRevisions is what the store holds of jobs, with the marks, so that nothing that
// is written again goes unseen.
func (w *cluster) jobRevisions() map[string]uint64 {
	marks := map[string]uint64{}
	for _, prefix := range []string{records.ActivePrefix, records.TerminalPrefix, records.CompletionPrefix} {
		p, _ := w.store.Range(context.Background(), prefix, "", 1<<20) // in an outage as well
		for _, e := range p.Entries {
			marks[e.Key] = e.ModRevision
		}
	}
	return marks
}

// stalledReads is a store in which a new leader never comes to the end of its reading.
type stalledReads struct{ *kvtest.Fake }

func (stalledReads) Range(ctx context.Context, _, _ string, _ int) (kv.Page, error) {
	<-ctx.Done()
	return kv.Page{}, kv.ErrOutcomeUnknown
}

// seedJobs makes job-1 done, job-2 cancelled and job-3 wait.
func (w *cluster) seedJobs(n *node) {
	w.t.Helper()
	k := w.worker("i-1", "a", false)
	w.submit(n, spec("job-1", 1))
	k.serve(n, 3)
	k.exit(api.CauseDone)
	k.serve(n, 3)
	w.submit(n, spec("job-2", 1))
	if _, err := n.Cancel(context.Background(), "job-2"); err != nil {
		w.t.Fatal(err)
	}
	w.submit(n, spec("job-3", 1))
	time.Sleep(time.Second)
	w.same("jobs", []string{w.phase(n, "job-1"), w.phase(n, "job-2"), w.phase(n, "job-3")}, []string{"done", "withdrawn", "pending"})
}

// nodeStates are how a node can stand when a request comes.
var nodeStates = []struct {
	name string
	// untyped is set if the node does not know the machine types, down in
	// an outage of the state service.
	untyped, down bool
	make          func(w *cluster) *node
}{
	{"leader", false, false, func(w *cluster) *node {
		n := w.start("n0")
		w.seedJobs(n)
		return n
	}},
	{"follower", false, false, func(w *cluster) *node {
		_, a, b, _, _ := w.pair()
		w.seedJobs(a)
		b.look(func(c *Controller) { w.same("follows", c.leaderTerm == nil && c.leader == "n0", true) })
		return b
	}},
	{"taking over", false, false, func(w *cluster) *node {
		a := w.start("n0")
		w.seedJobs(a)
		a.crash()
		b := w.startWith("n0", stalledReads{w.store}, nil)
		b.look(func(c *Controller) { w.same("takes over", c.leaderTerm != nil && !c.leaderTerm.loaded, true) })
		return b
	}},
	{"without machine types", true, false, func(w *cluster) *node {
		n := w.start("n0")
		w.seedJobs(n)
		n.types.byName.Store(nil)
		return n
	}},
	{"outage", false, true, func(w *cluster) *node {
		n := w.start("n0")
		w.seedJobs(n)
		w.store.SetDown(true)
		return n
	}},
}

// addMachineTypes adds machine types of which each has something that the others lack.
func (w *cluster) addMachineTypes() {
	w.cloud.types = append(w.cloud.types,
		api.MachineType{Name: "wide", CPUs: 8, MemoryGB: 16, Price: 2, SpotPrice: 1, BootS: 20, Zones: []string{"a"}},
		api.MachineType{Name: "cards", CPUs: 2, GPUs: 2, MemoryGB: 8, Price: 4, SpotPrice: 2, BootS: 20, Zones: []string{"b"}},
		api.MachineType{Name: "gone", CPUs: 64, GPUs: 64, MemoryGB: 512, Price: 4, SpotPrice: 2, BootS: 20})
	w.teams[0].GPUs, w.teams[0].LimitGPUs = 4, 4
	w.teams[1].CPUs, w.teams[1].LimitCPUs = 6, 6
}

type change = map[string]any

// repeatedID is a list that names a job so many times.
func repeatedID(id string, n int) (list []any) {
	for range n {
		list = append(list, id)
	}
	return list
}

// jobIDs is a list of so many jobs, from a number on.
func jobIDs(from, n int) (list []any) {
	for i := range n {
		list = append(list, fmt.Sprint("job-", from+i))
	}
	return list
}

// Submissions that are invalid or can never run, and repeats of known jobs: what
// each is answered wherever it comes, and that none changes what is stored. No
// node may refuse for good what it cannot tell, and none may accept what cannot run.
func TestInvalidSubmissionsAreRejectedInEveryNodeState(t *testing.T) {
	for _, place := range nodeStates {
		t.Run(place.name, func(t *testing.T) {
			simulate(t, func(w *cluster) {
				w.addMachineTypes()
				n := place.make(w)
				before := w.jobRevisions()
				check := func(name, body string, want int, phase string) {
					t.Helper()
					got := serveRequest(n, "POST", "/api/jobs", body)
					var st api.JobState
					if err := json.Unmarshal(got.Body.Bytes(), &st); err != nil {
						t.Errorf("%s: %v", name, err)
					}
					if got.Code != want || st.Phase != phase {
						t.Errorf("%s: %d %q, want %d %q (%s)", name, got.Code, st.Phase, want, phase, got.Body)
					}
					if (got.Header().Get("Retry-After") != "") != (want == 503) {
						t.Errorf("%s: %d, Retry-After %q", name, got.Code, got.Header().Get("Retry-After"))
					}
				}
				for _, c := range []struct {
					name   string
					change change
					want   int
				}{
					{"no tasks", change{"Shoots": 0}, 400},
					{"too many tasks", change{"Shoots": 100_001}, 400},
					{"part of a task", change{"Shoots": 1.5}, 400},
					{"fewer than no tasks", change{"Shoots": -5}, 400},
					{"more tasks than a number holds", change{"Shoots": "@18446744073709551616"}, 400},
					{"amount below 0", change{"Cores": -1}, 400},
					{"amount that is no number", change{"MemoryGb": "NaN"}, 400},
					{"amount beyond numbers", change{"Cores": "@1e400"}, 400},
					{"time beyond numbers", change{"DueS": "@1e400"}, 400},
					{"field null", change{"Owner": nil}, 400},
					{"field of another type", change{"Windfall": "yes"}, 400},
					{"types that are no list", change{"Frames": "small"}, 400},
					{"type null", change{"Frames": []any{"small", nil}}, 400},
					{"zone of no name", change{"Bed": ""}, 400},
					{"another shape", change{"Shape": "ring"}, 400},
					{"another priority", change{"Precedence": "Low"}, 400},

					{"awaits no list", change{"Awaits": "job-1"}, 400},
					{"awaits a number", change{"Awaits": []any{1}}, 400},
					{"awaits null", change{"Awaits": []any{"job-1", nil}}, 400},
					{"awaits no id", change{"Awaits": []any{"job-1", "job-x"}}, 400},

					{"awaits one never accepted", change{"Awaits": []any{"job-99"}}, 422},
					{"awaits it many times", change{"Awaits": repeatedID("job-99", 40)}, 422},
					{"awaits many never accepted", change{"Awaits": jobIDs(1000, 20)}, 422},

					{"unknown team", change{"Owner": "green"}, 422},
					{"team of another case", change{"Owner": "Red"}, 422},
					{"CPUs above the limit", change{"Owner": "blue", "Cores": 6.5}, 422},
					{"CPUs above any", change{"Cores": "@1e300"}, 422},
					{"GPUs above the limit", change{"Cards": 4.5}, 422},
					{"GPUs of a team that has none", change{"Owner": "blue", "Cards": 1}, 422},
					{"CPUs above any type", change{"Cores": 8.5}, 422},
					{"GPUs above any type", change{"Cards": 3}, 422},
					{"memory above any type", change{"MemoryGb": 16.5}, 422},
					{"CPUs of one type, GPUs of another", change{"Cores": 3, "Cards": 1}, 422},
					{"memory of one type, GPUs of another", change{"MemoryGb": 12, "Cards": 1}, 422},
					{"no type allowed", change{"Frames": []any{}}, 422},
					{"unknown types", change{"Frames": []any{"tiny", "Small", ""}}, 422},
					{"allowed types too small", change{"Frames": []any{"small", "cards"}, "Cores": 5}, 422},
					{"type of no zone", change{"Frames": []any{"gone"}}, 422},
					{"unknown zone", change{"Bed": "z"}, 422},
					{"zone of another case", change{"Bed": "A"}, 422},
					{"type not in the zone", change{"Frames": []any{"wide"}, "Bed": "b"}, 422},
					{"fits in the other zone", change{"Cores": 8, "Bed": "b"}, 422},
					{"GPUs in the other zone", change{"Cards": 1, "Bed": "a"}, 422},
					{"one zone, in which no type is", change{"Frames": []any{"wide"}, "Bed": "b", "SamePlace": true}, 422},
					{"spread, in which no type is", change{"Frames": []any{"cards"}, "Bed": "a", "Scatter": true}, 422},
					{"both, in which no type is", change{"Cores": 8, "Bed": "b", "SamePlace": true, "Scatter": true}, 422},
				} {
					want, again := c.want, 200
					switch {
					case place.down:
						want, again = 503, 503 // it may be known
					case place.untyped && c.want == 422:
						want, again = 503, 503 // what cannot run is not known
					}
					check(c.name, w.submissionBody("job-9", c.change), want, "")
					for id, phase := range map[string]string{"job-1": "done", "job-2": "withdrawn", "job-3": "pending"} {
						if again != 200 {
							phase = ""
						}
						check(c.name+", "+id, w.submissionBody(id, c.change), again, phase)
					}
				}
				for id, phase := range map[string]string{"job-9": "", "job-1": "done", "job-2": "withdrawn", "job-3": "pending"} {
					want := 200
					switch {
					case place.down:
						want, phase = 503, ""
					case id == "job-9":
						want = 400
					}
					check("awaits itself, "+id, w.submissionBody(id, change{"Awaits": []any{"job-99", id}}), want, phase)
					// More than are read one by one: what is known is answered all the same.
					if id != "job-9" && !place.untyped {
						check("awaits many, "+id, w.submissionBody(id, change{"Awaits": jobIDs(1000, 400)}), want, phase)
					}
				}
				for name, body := range map[string]string{
					"nothing": "", "no JSON": "{", "null": "null", "list": "[" + w.submissionBody("job-1", nil) + "]", "no id": w.submissionBody("", change{"NameId": nil}),
					"id of another form": w.submissionBody("job-1/0", nil), "two": w.submissionBody("job-1", nil) + w.submissionBody("job-1", nil),
					"too large": w.submissionBody("job-1", nil) + strings.Repeat(" ", api.MaxBody),
				} {
					check(name, body, 400, "")
				}
				// A known job repeated with another body that could run keeps its own.
				for id, phase := range map[string]string{"job-1": "done", "job-2": "withdrawn", "job-3": "pending"} {
					want := 200
					if place.untyped || place.down {
						want, phase = 503, ""
					}
					check("repeat of "+id, w.submissionBody(id, change{"Shoots": 7, "Owner": "blue"}), want, phase)
				}
				w.same("stored", w.jobRevisions(), before)

				// What is refused was not the submission at large: a good one is taken.
				want, phase := 201, "pending"
				if place.untyped || place.down {
					want, phase = 503, ""
				}
				check("good", w.submissionBody("job-9", nil), want, phase)
				_, taken := w.jobRevisions()["a/job-9"]
				w.same("good one stored", taken, want == 201)
			})
		})
	}
}

// Cancelling and asking about jobs that are over, unknown or malformed, wherever
// it comes.
func TestCancelAndStatusOfEndedOrUnknownJobs(t *testing.T) {
	for _, place := range nodeStates {
		t.Run(place.name, func(t *testing.T) {
			simulate(t, func(w *cluster) {
				n := place.make(w)
				before := w.jobRevisions()
				for _, c := range []struct {
					id    string
					want  int
					phase string
				}{
					{"job-1", 200, "done"}, {"job-2", 200, "withdrawn"}, {"job-9", 404, ""}, {"job-x", 404, ""}, {"!cancel", 404, ""}, {"job-1%2F0", 404, ""},
				} {
					want, phase := c.want, c.phase
					if place.down && api.ValidID(c.id) {
						want, phase = 503, ""
					}
					for range 2 {
						got := serveRequest(n, "POST", "/api/jobs/"+c.id+"/abort", "")
						var st api.JobState
						if err := json.Unmarshal(got.Body.Bytes(), &st); err != nil {
							t.Error(err)
						}
						if got.Code != want || st.Phase != phase || (got.Header().Get("Retry-After") != "") != (want == 503) {
							t.Errorf("cancel of %s: %d %q, want %d %q", c.id, got.Code, st.Phase, want, phase)
						}
					}
					// What is over may be told from memory, also in an outage.
					got := serveRequest(n, "GET", "/api/jobs/"+c.id, "")
					if ok := got.Code == c.want || place.down && got.Code == 503 && api.ValidID(c.id); !ok ||
						got.Code == 200 && !strings.Contains(got.Body.String(), `"Phase":"`+c.phase+`"`) {
						t.Errorf("poll of %s: %d (%s), want %d %q", c.id, got.Code, got.Body, c.want, c.phase)
					}
				}
				w.same("stored", w.jobRevisions(), before)
				// A job that is cancelled before it is submitted is not cancelled.
				if place.down || place.untyped {
					return
				}
				got := serveRequest(n, "POST", "/api/jobs", w.submissionBody("job-9", nil))
				w.same("submitted later", got.Code, 201)
			})
		})
	}
}

// Amounts that JSON cannot hold fit nothing.
func TestNonFiniteResourcesAreUnschedulable(t *testing.T) {
	simulate(t, func(w *cluster) {
		w.addMachineTypes()
		n := w.start("n0")
		for _, v := range []float64{math.NaN(), math.Inf(1)} {
			for name, set := range map[string]func(*api.JobSpec){
				"CPUs": func(s *api.JobSpec) { s.CPUs = v }, "GPUs": func(s *api.JobSpec) { s.GPUs = v }, "memory": func(s *api.JobSpec) { s.MemoryGB = v },
			} {
				s := spec("job-1", 1)
				set(s)
				_, _, err := n.Submit(context.Background(), s)
				if _, never := err.(*api.UnschedulableError); !never {
					t.Errorf("%v %s: %v", v, name, err)
				}
			}
		}
		w.same("stored", len(w.jobRevisions()), 0)
	})
}

// Tasks in one zone of which at most half may be in one zone: that is a bound
// at each moment, so the job runs part by part. No such pair of flags makes a
// job one that can never run, and each that is accepted must run to its end.
func TestSpreadJobInOneZoneRunsInParts(t *testing.T) {
	for _, c := range []struct {
		name   string
		change change
		tasks  int
		most   int // at a time in one zone
		zones  int // at a time
	}{
		{"one zone and spread", change{"SamePlace": true, "Scatter": true}, 5, 3, 1},
		{"one zone and spread, one task", change{"SamePlace": true, "Scatter": true}, 1, 1, 1},
		{"one zone and spread, two tasks", change{"SamePlace": true, "Scatter": true}, 2, 1, 1},
		{"spread in the only zone allowed", change{"Scatter": true, "Bed": "b"}, 5, 3, 1},
		{"spread in the only zone of the type", change{"Scatter": true, "Frames": []any{"cards"}}, 4, 2, 1},
		{"all of it", change{"SamePlace": true, "Scatter": true, "Bed": "b", "Frames": []any{"cards", "small"}}, 3, 2, 1},
		{"spread", change{"Scatter": true}, 6, 3, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			simulate(t, func(w *cluster) {
				w.addMachineTypes()
				n := w.start("n0")
				workers := []*worker{w.worker("i-1", "a", false), w.worker("i-2", "b", false), w.worker("i-3", "b", false)}
				workers[2].rep.Type = "cards"
				for _, k := range workers {
					k.serve(n, 2)
				}
				c.change["Shoots"] = c.tasks
				got := serveRequest(n, "POST", "/api/jobs", w.submissionBody("job-1", c.change))
				w.same("accepted", got.Code, 201)
				for range 60 {
					ran := map[string]int{}
					for _, k := range workers {
						k.report(n)
						if r := len(k.running()); r > 0 {
							ran[k.rep.Zone] += r
						}
					}
					for zone, r := range ran {
						if r > c.most || len(ran) > c.zones {
							t.Errorf("%d tasks in zone %s of %v", r, zone, ran)
						}
					}
					time.Sleep(time.Second)
					for _, k := range workers {
						k.exit(api.CauseDone)
					}
				}
				w.same("phase", w.phase(n, "job-1"), "done")
			})
		})
	}
}
