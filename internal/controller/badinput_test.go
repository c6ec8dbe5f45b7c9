package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"net/http"
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
func (w *simulatedCluster) serveRequest(n *node, method, path, body string) *httptest.ResponseRecorder {
	w.t.Helper()
	response := httptest.NewRecorder()
	request := httptest.NewRequestWithContext(w.t.Context(), method, path, strings.NewReader(body))
	api.Handler(n.Controller, slog.New(slog.DiscardHandler)).ServeHTTP(response, request)
	return response
}

// checkResponse compares the status code, the job's phase and the presence of Retry-After,
// which belongs to 503 alone.
func (w *simulatedCluster) checkResponse(
	name string, response *httptest.ResponseRecorder, wantCode int, wantPhase string,
) {
	w.t.Helper()
	var state api.JobState
	if err := json.Unmarshal(response.Body.Bytes(), &state); err != nil {
		w.t.Errorf("%s: %v", name, err)
	}
	if response.Code != wantCode || state.Phase != wantPhase {
		w.t.Errorf("%s: got %d %q, want %d %q (%s)",
			name, response.Code, state.Phase, wantCode, wantPhase, response.Body)
	}
	retryAfter := response.Header().Get("Retry-After")
	if (retryAfter != "") != (wantCode == http.StatusServiceUnavailable) {
		w.t.Errorf("%s: got %d with Retry-After %q, want Retry-After with 503 alone", name, response.Code, retryAfter)
	}
}

// change replaces fields of a submission, by their wire names. A string "@..." stands for the
// JSON text that follows the sign.
type change = map[string]any

// submissionBody is the body of a valid submission with some fields changed.
func (w *simulatedCluster) submissionBody(id string, changed change) string {
	w.t.Helper()
	fields := map[string]any{
		"NameId": id, "Jobclass": "c", "Owner": "red", "Shape": "array", "Precedence": "low", "Shoots": 5,
		"Cores": 1.0, "Cards": 0.0, "MemoryGb": 1.0, "Rootstock": "img", "PullGb": 1.0, "Frames": nil, "Bed": nil,
		"SamePlace": false, "Scatter": false, "Windfall": true,
		"ExpectS": 30.0, "GraftS": 0.0, "PressS": 0.0, "DueS": nil,
	}
	maps.Copy(fields, changed)
	for field, v := range fields {
		if text, ok := v.(string); ok && strings.HasPrefix(text, "@") {
			fields[field] = json.RawMessage(text[1:])
		}
	}
	raw, err := json.Marshal(fields)
	if err != nil {
		w.t.Fatal(err)
	}
	return string(raw)
}

// jobRevisions are the mod revisions of all records of jobs. A record that is written again
// with the same value has a new one, so that no write stays unnoticed.
func (w *simulatedCluster) jobRevisions() map[string]uint64 {
	revisions := map[string]uint64{}
	for _, prefix := range []string{records.ActivePrefix, records.TerminalPrefix, records.CompletionPrefix} {
		// The error is dropped: this is read in an outage of the key-value store as well, when
		// the stand-in reports the outage beside the entries.
		page, _ := w.store.Range(context.Background(), prefix, "", 1<<20)
		for _, e := range page.Entries {
			revisions[e.Key] = e.ModRevision
		}
	}
	return revisions
}

// stalledReads is a key-value store from which a new leader never finishes reading its records.
type stalledReads struct{ *kvtest.Fake }

func (stalledReads) Range(ctx context.Context, _, _ string, _ int) (kv.Page, error) {
	<-ctx.Done()
	return kv.Page{}, kv.ErrOutcomeUnknown
}

// knownJob is a job that seedJobs leaves behind.
type knownJob struct{ id, phase string }

var knownJobs = []knownJob{{"job-1", "done"}, {"job-2", "withdrawn"}, {"job-3", "pending"}}

// seedJobs completes job-1, cancels job-2 and leaves job-3 pending.
func (w *simulatedCluster) seedJobs(n *node) {
	w.t.Helper()
	k := w.worker("i-1", "a", false)
	w.submit(n, spec("job-1", 1))
	k.heartbeatFor(n, 3)
	k.exit(api.CauseDone)
	k.heartbeatFor(n, 3)
	w.submit(n, spec("job-2", 1))
	if _, err := n.Cancel(context.Background(), "job-2"); err != nil {
		w.t.Fatal(err)
	}
	w.submit(n, spec("job-3", 1))
	time.Sleep(time.Second)
	for _, known := range knownJobs {
		w.checkEqual("phase of "+known.id, w.phase(n, known.id), known.phase)
	}
}

// nodeState is a state in which a node may receive a request.
type nodeState struct {
	name string
	// typesUnknown is set if the node does not know the machine types.
	typesUnknown bool
	// kvDown is set in an outage of the key-value store.
	kvDown bool
	// start returns a node in this state, with the jobs of seedJobs.
	start func(w *simulatedCluster) *node
}

var nodeStates = []nodeState{
	{name: "leader", start: startSeededLeader},
	{name: "follower", start: func(w *simulatedCluster) *node {
		_, a, b, _, _ := w.startPair()
		w.seedJobs(a)
		b.inspect(func(c *Controller) { w.checkEqual("follows n0", c.leaderTerm == nil && c.leader == "n0", true) })
		return b
	}},
	{name: "taking over", start: func(w *simulatedCluster) *node {
		startSeededLeader(w).crash()
		b := w.startWith("n0", stalledReads{w.store}, nil)
		b.inspect(func(c *Controller) {
			w.checkEqual("is taking over", c.leaderTerm != nil && !c.leaderTerm.loaded, true)
		})
		return b
	}},
	{name: "without machine types", typesUnknown: true, start: func(w *simulatedCluster) *node {
		n := startSeededLeader(w)
		n.machineTypes.byName.Store(nil)
		return n
	}},
	{name: "outage", kvDown: true, start: func(w *simulatedCluster) *node {
		n := startSeededLeader(w)
		w.store.SetDown(true)
		return n
	}},
}

func startSeededLeader(w *simulatedCluster) *node {
	w.t.Helper()
	n := w.start("n0")
	w.seedJobs(n)
	return n
}

// addMachineTypes adds machine types of which each has a resource that the others lack.
func (w *simulatedCluster) addMachineTypes() {
	w.cloud.types = append(w.cloud.types,
		api.MachineType{Name: "wide", CPUs: 8, MemoryGB: 16, Price: 2, SpotPrice: 1, BootS: 20, Zones: []string{"a"}},
		api.MachineType{Name: "cards", CPUs: 2, GPUs: 2, MemoryGB: 8, Price: 4, SpotPrice: 2, BootS: 20,
			Zones: []string{"b"}},
		api.MachineType{Name: "gone", CPUs: 64, GPUs: 64, MemoryGB: 512, Price: 4, SpotPrice: 2, BootS: 20})
	w.teams[0].GPUs, w.teams[0].LimitGPUs = 4, 4
	w.teams[1].CPUs, w.teams[1].LimitCPUs = 6, 6
}

// repeatedID is a list that names one job count times.
func repeatedID(id string, count int) []any {
	list := make([]any, count)
	for i := range list {
		list[i] = id
	}
	return list
}

// jobIDs are the ids of count jobs, numbered from first.
func jobIDs(first, count int) []any {
	list := make([]any, count)
	for i := range list {
		list[i] = fmt.Sprint("job-", first+i)
	}
	return list
}

// rejectedSubmissions are invalid (400) or can never run (422).
var rejectedSubmissions = []struct {
	name     string
	change   change
	wantCode int
}{
	{"no tasks", change{"Shoots": 0}, 400},
	{"too many tasks", change{"Shoots": 100_001}, 400},
	{"fraction of a task", change{"Shoots": 1.5}, 400},
	{"negative number of tasks", change{"Shoots": -5}, 400},
	{"more tasks than an integer holds", change{"Shoots": "@18446744073709551616"}, 400},
	{"negative amount", change{"Cores": -1}, 400},
	{"amount that is no number", change{"MemoryGb": "NaN"}, 400},
	{"amount beyond the range of numbers", change{"Cores": "@1e400"}, 400},
	{"time beyond the range of numbers", change{"DueS": "@1e400"}, 400},
	{"field null", change{"Owner": nil}, 400},
	{"field of another type", change{"Windfall": "yes"}, 400},
	{"machine types that are no list", change{"Frames": "small"}, 400},
	{"machine type null", change{"Frames": []any{"small", nil}}, 400},
	{"zone without a name", change{"Bed": ""}, 400},
	{"unknown shape", change{"Shape": "ring"}, 400},
	{"unknown priority", change{"Precedence": "Low"}, 400},

	{"dependencies that are no list", change{"Awaits": "job-1"}, 400},
	{"dependency that is a number", change{"Awaits": []any{1}}, 400},
	{"dependency null", change{"Awaits": []any{"job-1", nil}}, 400},
	{"dependency that is no id", change{"Awaits": []any{"job-1", "job-x"}}, 400},

	{"dependency never accepted", change{"Awaits": []any{"job-99"}}, 422},
	{"dependency never accepted, named many times", change{"Awaits": repeatedID("job-99", 40)}, 422},
	{"many dependencies never accepted", change{"Awaits": jobIDs(1000, 20)}, 422},

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
	{"machine type of no zone", change{"Frames": []any{"gone"}}, 422},
	{"unknown zone", change{"Bed": "z"}, 422},
	{"zone of another case", change{"Bed": "A"}, 422},
	{"type not in the zone", change{"Frames": []any{"wide"}, "Bed": "b"}, 422},
	{"fits in the other zone", change{"Cores": 8, "Bed": "b"}, 422},
	{"GPUs in the other zone", change{"Cards": 1, "Bed": "a"}, 422},
	{"one zone, in which the type does not exist", change{"Frames": []any{"wide"}, "Bed": "b", "SamePlace": true}, 422},
	{"spread in a zone without the type", change{"Frames": []any{"cards"}, "Bed": "a", "Scatter": true}, 422},
	{
		"one zone and spread in a zone without the type",
		change{"Cores": 8, "Bed": "b", "SamePlace": true, "Scatter": true}, 422,
	},
}

// submissionChecker checks the responses of one node to submissions.
type submissionChecker struct {
	*simulatedCluster
	n     *node
	state nodeState
}

func (sc *submissionChecker) check(name, body string, wantCode int, wantPhase string) {
	sc.t.Helper()
	sc.checkResponse(name, sc.serveRequest(sc.n, http.MethodPost, "/api/jobs", body), wantCode, wantPhase)
}

// checkRejected submits what must be rejected, as a new job and as a repeat of each known one.
func (sc *submissionChecker) checkRejected() {
	sc.t.Helper()
	for _, c := range rejectedSubmissions {
		wantNew, wantRepeat := c.wantCode, http.StatusOK
		cannotDecide := sc.state.typesUnknown && c.wantCode == http.StatusUnprocessableEntity
		// In an outage the job may be known.
		if sc.state.kvDown || cannotDecide {
			wantNew, wantRepeat = http.StatusServiceUnavailable, http.StatusServiceUnavailable
		}
		sc.check(c.name, sc.submissionBody("job-9", c.change), wantNew, "")
		for _, known := range knownJobs {
			phase := known.phase
			if wantRepeat != http.StatusOK {
				phase = ""
			}
			sc.check(c.name+", "+known.id, sc.submissionBody(known.id, c.change), wantRepeat, phase)
		}
	}
}

// checkSelfDependencies submits jobs that depend on themselves, and known ones with a list of
// dependencies that is longer than what is read one by one: a known job gets its state all the
// same.
func (sc *submissionChecker) checkSelfDependencies() {
	sc.t.Helper()
	wantNew := http.StatusBadRequest
	if sc.state.kvDown {
		wantNew = http.StatusServiceUnavailable
	}
	dependsOnItself := func(id string) string {
		return sc.submissionBody(id, change{"Awaits": []any{"job-99", id}})
	}
	sc.check("depends on itself, job-9", dependsOnItself("job-9"), wantNew, "")
	for _, known := range knownJobs {
		wantCode, phase := http.StatusOK, known.phase
		if sc.state.kvDown {
			wantCode, phase = http.StatusServiceUnavailable, ""
		}
		sc.check("depends on itself, "+known.id, dependsOnItself(known.id), wantCode, phase)
		if !sc.state.typesUnknown {
			body := sc.submissionBody(known.id, change{"Awaits": jobIDs(1000, 400)})
			sc.check("many dependencies, "+known.id, body, wantCode, phase)
		}
	}
}

// checkMalformed submits bodies that are no submission in any state of a node.
func (sc *submissionChecker) checkMalformed() {
	sc.t.Helper()
	valid := sc.submissionBody("job-1", nil)
	for _, c := range []struct{ name, body string }{
		{"nothing", ""},
		{"no JSON", "{"},
		{"null", "null"},
		{"list", "[" + valid + "]"},
		{"no id", sc.submissionBody("", change{"NameId": nil})},
		{"id of another form", sc.submissionBody("job-1/0", nil)},
		{"two submissions", valid + valid},
		{"too large", valid + strings.Repeat(" ", api.MaxBody)},
	} {
		sc.check(c.name, c.body, http.StatusBadRequest, "")
	}
}

// checkRepeats submits known jobs with other values that could run; they keep their own.
func (sc *submissionChecker) checkRepeats() {
	sc.t.Helper()
	for _, known := range knownJobs {
		wantCode, phase := http.StatusOK, known.phase
		if sc.state.typesUnknown || sc.state.kvDown {
			wantCode, phase = http.StatusServiceUnavailable, ""
		}
		body := sc.submissionBody(known.id, change{"Shoots": 7, "Owner": "blue"})
		sc.check("repeat of "+known.id, body, wantCode, phase)
	}
}

// checkValid submits a valid job: the node did not reject the others for another reason.
func (sc *submissionChecker) checkValid() {
	sc.t.Helper()
	wantCode, phase := http.StatusCreated, "pending"
	if sc.state.typesUnknown || sc.state.kvDown {
		wantCode, phase = http.StatusServiceUnavailable, ""
	}
	sc.check("valid", sc.submissionBody("job-9", nil), wantCode, phase)
	_, stored := sc.jobRevisions()[records.ActivePrefix+"job-9"]
	sc.checkEqual("valid job is stored", stored, wantCode == http.StatusCreated)
}

// Submissions that are invalid or can never run, and repeats of known jobs, get the same
// response in every state of a node, and none changes what is stored. No node may reject for
// good what it cannot decide, and none may accept what cannot run.
func TestInvalidSubmissionsAreRejectedInEveryNodeState(t *testing.T) {
	for _, state := range nodeStates {
		t.Run(state.name, func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				w.addMachineTypes()
				sc := &submissionChecker{simulatedCluster: w, n: state.start(w), state: state}
				before := w.jobRevisions()
				sc.checkRejected()
				sc.checkSelfDependencies()
				sc.checkMalformed()
				sc.checkRepeats()
				w.checkEqual("revisions of jobs", w.jobRevisions(), before)
				sc.checkValid()
			})
		})
	}
}

// cancelTargets are jobs that have ended, are unknown or have a malformed id.
var cancelTargets = []struct {
	id        string
	wantCode  int
	wantPhase string
}{
	{"job-1", http.StatusOK, "done"},
	{"job-2", http.StatusOK, "withdrawn"},
	{"job-9", http.StatusNotFound, ""},
	{"job-x", http.StatusNotFound, ""},
	{"!cancel", http.StatusNotFound, ""},
	{"job-1%2F0", http.StatusNotFound, ""},
}

// checkCancelTargets cancels each target twice and then asks for its state.
func (w *simulatedCluster) checkCancelTargets(n *node, state nodeState) {
	w.t.Helper()
	for _, c := range cancelTargets {
		mayBeUnavailable := state.kvDown && api.ValidID(c.id)
		wantCode, wantPhase := c.wantCode, c.wantPhase
		if mayBeUnavailable {
			wantCode, wantPhase = http.StatusServiceUnavailable, ""
		}
		for range 2 {
			response := w.serveRequest(n, http.MethodPost, "/api/jobs/"+c.id+"/abort", "")
			w.checkResponse("cancel of "+c.id, response, wantCode, wantPhase)
		}
		// The state of an ended job may be answered from memory, also in an outage.
		response := w.serveRequest(n, http.MethodGet, "/api/jobs/"+c.id, "")
		unavailable := mayBeUnavailable && response.Code == http.StatusServiceUnavailable
		if response.Code != c.wantCode && !unavailable {
			w.t.Errorf("poll of %s: got %d (%s), want %d", c.id, response.Code, response.Body, c.wantCode)
		}
		wantField := fmt.Sprintf(`"Phase":%q`, c.wantPhase)
		if response.Code == http.StatusOK && !strings.Contains(response.Body.String(), wantField) {
			w.t.Errorf("poll of %s: got %s, want %s", c.id, response.Body, wantField)
		}
	}
}

// Cancellations and polls of jobs that have ended, are unknown or malformed get the same
// response in every state of a node and change nothing.
func TestCancelAndStatusOfEndedOrUnknownJobs(t *testing.T) {
	for _, state := range nodeStates {
		t.Run(state.name, func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				n := state.start(w)
				before := w.jobRevisions()
				w.checkCancelTargets(n, state)
				w.checkEqual("revisions of jobs", w.jobRevisions(), before)
				if state.kvDown || state.typesUnknown {
					return
				}
				// The cancellation before the submission has no effect on it.
				response := w.serveRequest(n, http.MethodPost, "/api/jobs", w.submissionBody("job-9", nil))
				w.checkEqual("code of a later submission", response.Code, http.StatusCreated)
			})
		})
	}
}

// Amounts that JSON cannot express fit no machine.
func TestNonFiniteResourcesAreUnschedulable(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		w.addMachineTypes()
		n := w.start("n0")
		for _, v := range []float64{math.NaN(), math.Inf(1)} {
			for name, set := range map[string]func(*api.JobSpec){
				"CPUs":   func(s *api.JobSpec) { s.CPUs = v },
				"GPUs":   func(s *api.JobSpec) { s.GPUs = v },
				"memory": func(s *api.JobSpec) { s.MemoryGB = v },
			} {
				s := spec("job-1", 1)
				set(s)
				_, _, err := n.Submit(context.Background(), s)
				//nolint:errorlint // Submit must return the error itself; a wrapped one is a failure here.
				if _, ok := err.(*api.UnschedulableError); !ok {
					w.t.Errorf("%v %s: got %v, want an UnschedulableError", v, name, err)
				}
			}
		}
		w.checkEqual("records of jobs", len(w.jobRevisions()), 0)
	})
}

// runSpread completes each running task after a second, for a minute, and checks at each
// moment how many tasks run in a zone and in how many zones.
func (w *simulatedCluster) runSpread(n *node, workers []*worker, maxPerZone, maxZones int) {
	w.t.Helper()
	for range 60 {
		running := map[string]int{}
		for _, k := range workers {
			k.heartbeat(n)
			if count := len(k.running()); count > 0 {
				running[k.status.Zone] += count
			}
		}
		for zone, count := range running {
			if count > maxPerZone || len(running) > maxZones {
				w.t.Errorf("got %d tasks in zone %s of %v, want at most %d in each of %d zones",
					count, zone, running, maxPerZone, maxZones)
			}
		}
		time.Sleep(time.Second)
		for _, k := range workers {
			k.exit(api.CauseDone)
		}
	}
}

// All tasks in one zone, and at most half of the tasks in one zone: the latter bounds each
// moment, so the job runs in parts. No such pair of flags makes a job unschedulable, and each
// that is accepted must run to its end.
func TestSpreadJobInOneZoneRunsInParts(t *testing.T) {
	for _, c := range []struct {
		name                        string
		change                      change
		tasks, maxPerZone, maxZones int
	}{
		{"one zone and spread", change{"SamePlace": true, "Scatter": true}, 5, 3, 1},
		{"one zone and spread, one task", change{"SamePlace": true, "Scatter": true}, 1, 1, 1},
		{"one zone and spread, two tasks", change{"SamePlace": true, "Scatter": true}, 2, 1, 1},
		{"spread in the only zone allowed", change{"Scatter": true, "Bed": "b"}, 5, 3, 1},
		{"spread in the only zone of the type", change{"Scatter": true, "Frames": []any{"cards"}}, 4, 2, 1},
		{
			"all of these",
			change{"SamePlace": true, "Scatter": true, "Bed": "b", "Frames": []any{"cards", "small"}},
			3, 2, 1,
		},
		{"spread", change{"Scatter": true}, 6, 3, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				w.addMachineTypes()
				n := w.start("n0")
				workers := []*worker{
					w.worker("i-1", "a", false), w.worker("i-2", "b", false), w.worker("i-3", "b", false),
				}
				workers[2].status.Type = "cards"
				for _, k := range workers {
					k.heartbeatFor(n, 2)
				}
				c.change["Shoots"] = c.tasks
				body := w.submissionBody("job-1", c.change)
				w.checkEqual("code", w.serveRequest(n, http.MethodPost, "/api/jobs", body).Code, http.StatusCreated)
				w.runSpread(n, workers, c.maxPerZone, c.maxZones)
				w.checkEqual("phase", w.phase(n, "job-1"), "done")
			})
		})
	}
}
