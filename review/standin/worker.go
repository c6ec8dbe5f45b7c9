package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

// agent is the worker of one machine.
type agent struct {
	w     *world
	host  string
	frame frame
	pool  pool
	addr  string

	mu      sync.Mutex
	up      bool
	gone    bool
	sick    bool // every task that starts fails
	mute    bool // no connection to a controller can be opened
	season  uint64
	tally   uint64
	warrant uint64
	tasks   []*task
	images  map[string]time.Time // when each image is there
	// leaseFrom is when the last answered report was sent, or when the session began.
	leaseFrom time.Time
	changed   chan struct{}
	node      int
}

// task is one attempt at a task on a machine.
type task struct {
	ref     string
	sprout  uint64
	phase   string
	cause   string
	kept    bool
	job     *job
	begun   time.Time
	ends    time.Time
	savedAt time.Time
}

// order is a command of a controller.
type order struct {
	Verb   string
	Shoot  string
	Sprout uint64
	GraceS float64
}

func newAgent(w *world, host string, f frame, p pool) *agent {
	a := &agent{
		w: w, host: host, frame: f, pool: p, season: 1,
		images: map[string]time.Time{}, changed: make(chan struct{}, 1),
	}
	var err error
	if a.addr, err = serve(a.handler()); err != nil {
		w.broken("worker of %s: %v", host, err)
	}
	return a
}

// start starts the worker: the machine is up.
func (a *agent) start() {
	a.mu.Lock()
	a.up, a.leaseFrom, a.node = true, time.Now(), rand.N(len(a.w.nodes))
	a.mu.Unlock()
	a.w.rec.add("%s: up", a.host)
	go a.reportLoop()
	go a.clock()
}

// end ends the machine and all that is on it.
func (a *agent) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.gone {
		return
	}
	a.gone = true
	a.w.rec.add("%s: gone, with %d tasks", a.host, len(a.live()))
	a.tasks = nil
}

// setSick begins or ends a spell in which every task that starts here fails.
func (a *agent) setSick(sick bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sick = sick
	a.w.rec.add("%s: fails every task that it starts: %v", a.host, sick)
}

// setMute begins or ends a spell in which the worker reaches no controller.
func (a *agent) setMute(mute bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.mute = mute
	a.w.rec.add("%s: reaches no controller, direct commands reach it: %v", a.host, mute)
}

// room returns the CPUs that no task uses, and whether the machine is up.
func (a *agent) room() (cores float64, up bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	cores, _ = a.free()
	return cores, a.up && !a.gone
}

// live returns the tasks that have not exited.
func (a *agent) live() []*task {
	var live []*task
	for _, t := range a.tasks {
		if t.phase != "exited" {
			live = append(live, t)
		}
	}
	return live
}

// free returns the CPUs and the memory that no task uses.
func (a *agent) free() (cores, memory float64) {
	cores, memory = a.frame.Cores, a.frame.MemoryGb
	for _, t := range a.live() {
		cores -= t.job.Cores
		memory -= t.job.MemoryGb
	}
	return cores, memory
}

// freeCards returns the cards that no task uses.
func (a *agent) freeCards() float64 {
	cards := a.frame.Cards
	for _, t := range a.live() {
		cards -= t.job.Cards
	}
	return cards
}

// clock lets tasks go on and ends the session when the lease is over.
func (a *agent) clock() {
	for range time.Tick(20 * time.Millisecond) {
		a.mu.Lock()
		if a.gone {
			a.mu.Unlock()
			return
		}
		now := time.Now()
		if now.Sub(a.leaseFrom) > a.w.site.lease() {
			a.w.rec.add("%s: lease over, session %d ends with %d tasks", a.host, a.season, len(a.live()))
			a.season, a.tasks, a.leaseFrom = a.season+1, nil, now
			a.notify()
		}
		for _, t := range a.tasks {
			a.advance(t, now)
		}
		a.mu.Unlock()
	}
}

// sickTime is how long a task runs on a sick machine before it fails.
const sickTime = 500 * time.Millisecond

// advance moves a task to its next state when it is time.
func (a *agent) advance(t *task, now time.Time) {
	switch {
	case t.phase == "pulling" && !now.Before(a.images[t.job.Rootstock]):
		t.phase, t.begun, t.ends = "running", now, now.Add(t.job.runTime())
		if a.sick {
			t.cause, t.ends = "error", now.Add(sickTime)
		}
		a.w.started(a, t)
		a.notify()
	case t.phase == "running" && !now.Before(t.ends):
		if t.cause == "" {
			t.cause = "done"
		}
		a.exit(t, t.cause, false)
	case t.phase == "saving" && !now.Before(t.savedAt):
		a.exit(t, "halted", true)
	}
}

func (a *agent) exit(t *task, cause string, kept bool) {
	t.phase, t.cause, t.kept = "exited", cause, kept
	a.w.exited(a, t)
	a.notify()
}

// notify makes the worker report soon.
func (a *agent) notify() {
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// report builds a report. The caller holds the lock.
func (a *agent) report() []byte {
	a.tally++
	shoots := make([]map[string]any, 0, len(a.tasks))
	for _, t := range a.tasks {
		s := map[string]any{"Shoot": t.ref, "Sprout": t.sprout, "Phase": t.phase}
		if t.phase == "exited" {
			s["Cause"] = t.cause
			if t.kept {
				s["Kept"] = true
			}
		}
		shoots = append(shoots, s)
	}
	raw, err := json.Marshal(map[string]any{
		"Host": a.host, "Addr": a.addr, "Frame": a.pool.frame, "Bed": a.pool.bed, "Windfall": a.pool.spot,
		"Season": a.season, "Tally": a.tally, "Warrant": a.warrant, "ReclaimS": nil, "Shoots": shoots,
	})
	if err != nil {
		a.w.broken("report of %s: %v", a.host, err)
	}
	return raw
}

const (
	reportTimeout = 4 * time.Second
	minReportGap  = 500 * time.Millisecond
)

// reportLoop reports until the machine is gone.
func (a *agent) reportLoop() {
	client := &http.Client{}
	for {
		sent := time.Now()
		a.mu.Lock()
		if a.gone {
			a.mu.Unlock()
			return
		}
		body, season, node := a.report(), a.season, a.node
		a.mu.Unlock()
		if wait := a.send(client, node, body, season, sent); wait > 0 {
			client.CloseIdleConnections()
			time.Sleep(wait)
			continue
		}
		interval := time.Duration(a.w.site.reportS * (0.75 + rand.Float64()/2) * float64(time.Second))
		time.Sleep(time.Until(sent.Add(minReportGap)))
		select {
		case <-a.changed:
		case <-time.After(time.Until(sent.Add(interval))):
		}
	}
}

// send sends a report to a node and carries out the answer. It returns how long to wait before the
// next report goes to another node, or 0.
func (a *agent) send(c *http.Client, node int, body []byte, season uint64, sent time.Time) time.Duration {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	a.mu.Lock()
	mute := a.mute
	a.mu.Unlock()
	status, raw := 0, []byte(nil)
	if !mute {
		status, raw = post(ctx, c, "http://"+a.w.nodes[node].api+"/v1/report", body)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	switch status {
	case http.StatusOK:
		a.accept(raw, node, season, sent)
		return 0
	case http.StatusMisdirectedRequest:
		var redirect struct{ Gardener string }
		_ = json.Unmarshal(raw, &redirect) // without a name, the next node is tried
		for i, n := range a.w.nodes {
			if n.name == redirect.Gardener && i != node {
				a.node = i
				return rand.N(500*time.Millisecond) + 1
			}
		}
	}
	a.node = (node + 1) % len(a.w.nodes)
	return time.Second
}

// accept carries out the answer to a report.
func (a *agent) accept(raw []byte, node int, season uint64, sent time.Time) {
	var response struct {
		Warrant *uint64
		Orders  []order
	}
	if a.gone || season != a.season || json.Unmarshal(raw, &response) != nil ||
		response.Warrant == nil || *response.Warrant < a.warrant {
		return
	}
	a.warrant, a.leaseFrom = *response.Warrant, sent
	for _, o := range response.Orders {
		a.carryOut(o, a.w.nodes[node].name+", report", sent)
	}
}

// carryOut carries out one command. from says by which way it came, and asked when the report was
// sent, or the command arrived.
func (a *agent) carryOut(o order, from string, asked time.Time) {
	i := slices.IndexFunc(a.tasks, func(t *task) bool { return t.ref == o.Shoot && t.sprout == o.Sprout })
	switch {
	case o.Verb == "start" && i < 0:
		a.begin(o, from, asked)
	case o.Verb == "stop" && i >= 0 && a.tasks[i].phase != "exited":
		t := a.tasks[i]
		if t.phase == "running" && t.job.GraftS > 0 && o.GraceS >= t.job.PressS {
			t.phase, t.savedAt = "saving", time.Now().Add(seconds(t.job.PressS))
			a.notify()
		} else if t.phase != "saving" || o.GraceS == 0 {
			a.exit(t, "halted", false)
		}
	case o.Verb == "reap" && i >= 0 && a.tasks[i].phase == "exited":
		a.tasks = slices.Delete(a.tasks, i, i+1)
		a.notify()
	}
}

// begin carries out a start.
func (a *agent) begin(o order, from string, asked time.Time) {
	t := &task{ref: o.Shoot, sprout: o.Sprout, phase: "exited"}
	t.job = a.w.jobOf(o.Shoot)
	busy := slices.ContainsFunc(a.live(), func(other *task) bool { return other.ref == t.ref })
	cores, memory := a.free()
	cards := a.freeCards()
	a.tasks = append(a.tasks, t)
	a.w.ordered(a, t, from, asked)
	switch {
	case t.job == nil:
		t.job = &job{}
		a.exit(t, "no_such", false)
	case busy:
		a.exit(t, "busy", false)
	case cores < t.job.Cores || memory < t.job.MemoryGb || cards < t.job.Cards:
		a.exit(t, "no_room", false)
	default:
		t.phase = "pulling"
		if _, known := a.images[t.job.Rootstock]; !known {
			a.images[t.job.Rootstock] = time.Now().Add(seconds(t.job.PullGb / a.frame.PullGbPerS))
		}
		a.advance(t, time.Now())
		a.notify()
	}
}

// handler serves direct commands. A machine that is not up, or gone, is silent.
func (a *agent) handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body) // a broken body is malformed JSON
		a.mu.Lock()
		if !a.up || a.gone {
			a.mu.Unlock()
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		defer a.mu.Unlock()
		status := http.StatusOK
		if r.URL.Path == "/orders" {
			status = a.direct(body)
		}
		w.WriteHeader(status)
		_, _ = w.Write(a.report()) // fails only if the other side has closed the connection
	})
}

// direct carries out a batch of direct commands and returns the status.
func (a *agent) direct(body []byte) int {
	var batch struct {
		Warrant, Season *uint64
		Orders          []order
	}
	switch {
	case json.Unmarshal(body, &batch) != nil || batch.Warrant == nil || batch.Season == nil:
		return http.StatusBadRequest
	case *batch.Warrant < a.warrant || *batch.Season != a.season:
		return http.StatusConflict
	}
	if *batch.Warrant > a.warrant {
		a.warrant = *batch.Warrant
		a.notify()
	}
	for _, o := range batch.Orders {
		a.carryOut(o, "direct", time.Now())
	}
	return http.StatusOK
}

// post sends a request and returns the answer's status and body; 0 if there is none.
func post(ctx context.Context, c *http.Client, url string, body []byte) (int, []byte) {
	method := http.MethodGet
	if body != nil {
		method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	resp, err := c.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }() // the body is read below
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, raw
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
