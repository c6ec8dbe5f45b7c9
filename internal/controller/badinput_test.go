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

// serveRequest sends an HTTP request to the user API of a node, and returns the response.
func (w *simulatedCluster) serveRequest(n *node, method, path, body string) *httptest.ResponseRecorder {
	w.t.Helper()
	response := httptest.NewRecorder()
	request := httptest.NewRequestWithContext(w.t.Context(), method, path, strings.NewReader(body))
	api.Handler(n.Controller, slog.New(slog.DiscardHandler)).ServeHTTP(response, request)
	return response
}

// checkResponse checks the status code and the job's phase of a response, and that it has a
// Retry-After header if and only if the code is 503.
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
		w.t.Errorf("%s: got %d with Retry-After %q, want Retry-After only with 503", name, response.Code, retryAfter)
	}
}

// change holds replacement values for fields of a submission, by the fields' JSON names. The value
// "@TEXT" puts TEXT into the JSON as it is.
type change = map[string]any

// submissionBody returns the body of a valid submission with some fields changed.
func (w *simulatedCluster) submissionBody(id string, changed change) string {
	w.t.Helper()
	fields := map[string]any{
		"NameId": id, "Jobclass": "c", "Owner": "red", "Shape": "array", "Precedence": "low", "Shoots": 5,
		"Cores": 1.0, "Cards": 0.0, "MemoryGb": 1.0, "Rootstock": "img", "PullGb": 1.0, "Frames": nil, "Bed": nil,
		"SamePlace": false, "Scatter": false, "Windfall": true,
		"ExpectS": 30.0, "GraftS": 0.0, "PressS": 0.0, "DueS": nil,
	}
	maps.Copy(fields, changed)
	for field, value := range fields {
		if text, ok := value.(string); ok && strings.HasPrefix(text, "@") {
			fields[field] = json.RawMessage(text[1:])
		}
	}
	raw, err := json.Marshal(fields)
	if err != nil {
		w.t.Fatal(err)
	}
	return string(raw)
}

// jobRevisions returns the mod revisions of all records of jobs, by key. Unlike the values, they also
// change when a record is overwritten with the same value.
func (w *simulatedCluster) jobRevisions() map[string]uint64 {
	revisions := map[string]uint64{}
	for _, prefix := range []string{records.ActivePrefix, records.TerminalPrefix, records.CompletionPrefix} {
		// The error is ignored: during an outage the fake store returns it along with the entries.
		page, _ := w.store.Range(context.Background(), prefix, "", 1<<20)
		for _, e := range page.Entries {
			revisions[e.Key] = e.ModRevision
		}
	}
	return revisions
}

// stalledReads is a key-value store in which range reads block, so that a new leader never finishes
// loading the records.
type stalledReads struct{ *kvtest.Fake }

func (stalledReads) Range(ctx context.Context, _, _ string, _ int) (kv.Page, error) {
	<-ctx.Done()
	return kv.Page{}, kv.ErrOutcomeUnknown
}

// knownJob is a job that seedJobs submits, with its phase afterwards.
type knownJob struct{ id, phase string }

var knownJobs = []knownJob{{"job-1", "done"}, {"job-2", "withdrawn"}, {"job-3", "pending"}}

// seedJobs submits the known jobs. It completes job-1, cancels job-2 and leaves job-3 pending.
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

// nodeState is a state of a node in which a test sends it requests.
type nodeState struct {
	name string
	// typesUnknown is set if the node has not loaded the machine types.
	typesUnknown bool
	// kvDown is set during an outage of the key-value store.
	kvDown bool
	// start returns a node in this state in a cluster with the jobs of seedJobs.
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

// addMachineTypes adds machine types and sets quotas of the teams. Of the types that are in a zone,
// "wide" has the most CPUs and memory and "cards" is the only one with GPUs; "gone" is in no zone.
func (w *simulatedCluster) addMachineTypes() {
	w.cloud.types = append(w.cloud.types,
		api.MachineType{Name: "wide", CPUs: 8, MemoryGB: 16, Price: 2, SpotPrice: 1, BootS: 20, Zones: []string{"a"}},
		api.MachineType{Name: "cards", CPUs: 2, GPUs: 2, MemoryGB: 8, Price: 4, SpotPrice: 2, BootS: 20,
			Zones: []string{"b"}},
		api.MachineType{Name: "gone", CPUs: 64, GPUs: 64, MemoryGB: 512, Price: 4, SpotPrice: 2, BootS: 20})
	w.teams[0].GPUs, w.teams[0].LimitGPUs = 4, 4
	w.teams[1].CPUs, w.teams[1].LimitCPUs = 6, 6
}

// repeatedID returns a list that contains an id count times.
func repeatedID(id string, count int) []any {
	list := make([]any, count)
	for i := range list {
		list[i] = id
	}
	return list
}

// jobIDs returns the ids of count jobs, numbered from first.
func jobIDs(first, count int) []any {
	list := make([]any, count)
	for i := range list {
		list[i] = fmt.Sprint("job-", first+i)
	}
	return list
}

// rejectedSubmissions are changes that make a submission invalid (400) or its job unschedulable (422).
var rejectedSubmissions = []struct {
	name     string
	change   change
	wantCode int
}{
	{"no tasks", change{"Shoots": 0}, 400},
	{"too many tasks", change{"Shoots": 100_001}, 400},
	{"fractional number of tasks", change{"Shoots": 1.5}, 400},
	{"negative number of tasks", change{"Shoots": -5}, 400},
	{"more tasks than an integer holds", change{"Shoots": "@18446744073709551616"}, 400},
	{"negative amount", change{"Cores": -1}, 400},
	{"amount that is not a number", change{"MemoryGb": "NaN"}, 400},
	{"amount beyond the range of numbers", change{"Cores": "@1e400"}, 400},
	{"time beyond the range of numbers", change{"DueS": "@1e400"}, 400},
	{"field null", change{"Owner": nil}, 400},
	{"field of another type", change{"Windfall": "yes"}, 400},
	{"machine types that are not a list", change{"Frames": "small"}, 400},
	{"machine type null", change{"Frames": []any{"small", nil}}, 400},
	{"empty zone name", change{"Bed": ""}, 400},
	{"unknown shape", change{"Shape": "ring"}, 400},
	{"unknown priority", change{"Precedence": "Low"}, 400},

	{"dependencies that are not a list", change{"Awaits": "job-1"}, 400},
	{"dependency that is a number", change{"Awaits": []any{1}}, 400},
	{"dependency null", change{"Awaits": []any{"job-1", nil}}, 400},
	{"dependency that is not a job id", change{"Awaits": []any{"job-1", "job-x"}}, 400},

	{"dependency never accepted", change{"Awaits": []any{"job-99"}}, 422},
	{"dependency never accepted, named many times", change{"Awaits": repeatedID("job-99", 40)}, 422},
	{"many dependencies never accepted", change{"Awaits": jobIDs(1000, 20)}, 422},

	{"unknown team", change{"Owner": "green"}, 422},
	{"team name in another case", change{"Owner": "Red"}, 422},
	{"CPUs above the limit", change{"Owner": "blue", "Cores": 6.5}, 422},
	{"CPUs above any limit", change{"Cores": "@1e300"}, 422},
	{"GPUs above the limit", change{"Cards": 4.5}, 422},
	{"GPUs of a team that has none", change{"Owner": "blue", "Cards": 1}, 422},
	{"CPUs above those of any type", change{"Cores": 8.5}, 422},
	{"GPUs above those of any type", change{"Cards": 3}, 422},
	{"memory above that of any type", change{"MemoryGb": 16.5}, 422},
	{"CPUs of one type with GPUs of another", change{"Cores": 3, "Cards": 1}, 422},
	{"memory of one type with GPUs of another", change{"MemoryGb": 12, "Cards": 1}, 422},
	{"no type allowed", change{"Frames": []any{}}, 422},
	{"unknown types", change{"Frames": []any{"tiny", "Small", ""}}, 422},
	{"allowed types too small", change{"Frames": []any{"small", "cards"}, "Cores": 5}, 422},
	{"machine type in no zone", change{"Frames": []any{"gone"}}, 422},
	{"unknown zone", change{"Bed": "z"}, 422},
	{"zone name in another case", change{"Bed": "A"}, 422},
	{"type not in the zone", change{"Frames": []any{"wide"}, "Bed": "b"}, 422},
	{"CPUs only in the other zone", change{"Cores": 8, "Bed": "b"}, 422},
	{"GPUs only in the other zone", change{"Cards": 1, "Bed": "a"}, 422},
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

// checkRejected submits each of rejectedSubmissions as a new job, which must be rejected, and as a
// repeat of each known job, which must return that job's state. A node that cannot decide must respond
// with 503.
func (sc *submissionChecker) checkRejected() {
	sc.t.Helper()
	for _, c := range rejectedSubmissions {
		wantNew, wantRepeat := c.wantCode, http.StatusOK
		cannotDecide := sc.state.typesUnknown && c.wantCode == http.StatusUnprocessableEntity
		// During an outage the node cannot tell whether the job was accepted before.
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

// checkSelfDependencies submits jobs that depend on themselves: as a new job, which must be rejected,
// and as repeats of the known jobs, which must return the state of the known job. It also repeats the
// known jobs with so many dependencies (more than maxSingleReads of package records) that the node
// looks up the job before it checks them. During an outage all must get 503.
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

// checkMalformed submits malformed bodies, which must be rejected with 400 in every state of a node.
func (sc *submissionChecker) checkMalformed() {
	sc.t.Helper()
	valid := sc.submissionBody("job-1", nil)
	for _, c := range []struct{ name, body string }{
		{"empty body", ""},
		{"incomplete JSON", "{"},
		{"null", "null"},
		{"list", "[" + valid + "]"},
		{"no id", sc.submissionBody("", change{"NameId": nil})},
		{"id of a task", sc.submissionBody("job-1/0", nil)},
		{"two submissions", valid + valid},
		{"too large", valid + strings.Repeat(" ", api.MaxBodyBytes)},
	} {
		sc.check(c.name, c.body, http.StatusBadRequest, "")
	}
}

// checkRepeats submits the known jobs again with other valid values, which must return the state of
// the known job, or 503 if the node cannot decide.
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

// checkValid submits a valid job. That it is accepted shows that the node rejected the other
// submissions for what is wrong with them.
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

// Invalid or unschedulable submissions and repeats of known jobs do not change any record, whatever the
// state of the node. Every node gives the same response, except that a node that cannot decide on a
// submission responds with 503. It must not reject the submission permanently, with 400 or 422, nor
// accept a job that can never run.
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

// cancelTargets are ids of jobs that have ended, ids of unknown jobs, and malformed ids.
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

// checkCancelTargets cancels each target twice and then polls its state.
func (w *simulatedCluster) checkCancelTargets(n *node, state nodeState) {
	w.t.Helper()
	for _, c := range cancelTargets {
		mayBeUnavailable := state.kvDown && api.ValidJobID(c.id)
		wantCode, wantPhase := c.wantCode, c.wantPhase
		if mayBeUnavailable {
			wantCode, wantPhase = http.StatusServiceUnavailable, ""
		}
		for range 2 {
			response := w.serveRequest(n, http.MethodPost, "/api/jobs/"+c.id+"/abort", "")
			w.checkResponse("cancel of "+c.id, response, wantCode, wantPhase)
		}
		// Even during an outage a node may answer a poll of an ended job from memory.
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

// Cancellations and polls of ended jobs, unknown jobs and malformed ids get the same response in every
// state of a node, apart from 503 during an outage. They do not change any record.
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
				// A job can still be submitted after a cancellation of its then unknown id.
				response := w.serveRequest(n, http.MethodPost, "/api/jobs", w.submissionBody("job-9", nil))
				w.checkEqual("code of a later submission", response.Code, http.StatusCreated)
			})
		})
	}
}

// Resource requests of NaN and infinity, which JSON cannot express, are unschedulable.
func TestNonFiniteResourcesAreUnschedulable(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		w.addMachineTypes()
		n := w.start("n0")
		for _, amount := range []float64{math.NaN(), math.Inf(1)} {
			for name, set := range map[string]func(*api.JobSpec){
				"CPUs":   func(s *api.JobSpec) { s.CPUs = amount },
				"GPUs":   func(s *api.JobSpec) { s.GPUs = amount },
				"memory": func(s *api.JobSpec) { s.MemoryGB = amount },
			} {
				s := spec("job-1", 1)
				set(s)
				_, _, err := n.Submit(context.Background(), s)
				//nolint:errorlint // Submit must return the error itself; a wrapped one is a failure here.
				if _, ok := err.(*api.UnschedulableError); !ok {
					w.t.Errorf("%v %s: got %v, want an UnschedulableError", amount, name, err)
				}
			}
		}
		w.checkEqual("records of jobs", len(w.jobRevisions()), 0)
	})
}

// runSpread runs the workers for a minute and completes each task after a second. Every second it
// checks how many tasks run in each zone and in how many zones.
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

// A job may require that all its tasks run in one zone (SamePlace) and also that at most half of them,
// rounded up, run in one zone (Scatter). Scatter limits only how many tasks run at the same time, so a
// job with both flags runs its tasks in parts. No combination of these flags makes a job unschedulable,
// and every accepted job must run to its end.
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
