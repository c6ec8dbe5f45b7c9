package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of a worker that PROTOCOL sets.
const (
	reportTimeout  = 4 * time.Second
	minReportGap   = 500 * time.Millisecond
	nextNodeDelay  = time.Second
	workerInterval = 20 * time.Millisecond
)

// States and causes of tasks.
const (
	statePulling = "pulling"
	stateRunning = "running"
	stateExited  = "exited"
	causeDone    = "done"
	causeHalted  = "halted"
	causeError   = "error"
	causeNoRoom  = "no_room"
	causeBusy    = "busy"
	causeNoSuch  = "no_such"
)

// status is a task in a report.
type status struct {
	Shoot  string `json:"Shoot"`
	Sprout uint64 `json:"Sprout"`
	Phase  string `json:"Phase"`
	Cause  string `json:"Cause,omitempty"`
}

// report is a worker's report.
type report struct {
	Host     string   `json:"Host"`
	Addr     string   `json:"Addr"`
	Frame    string   `json:"Frame"`
	Bed      string   `json:"Bed"`
	Windfall bool     `json:"Windfall"`
	Season   uint64   `json:"Season"`
	Tally    uint64   `json:"Tally"`
	Warrant  uint64   `json:"Warrant"`
	ReclaimS *float64 `json:"ReclaimS"`
	Shoots   []status `json:"Shoots"`
}

// order is a command to a worker.
type order struct {
	Verb   string  `json:"Verb"`
	Shoot  string  `json:"Shoot"`
	Sprout uint64  `json:"Sprout"`
	GraceS float64 `json:"GraceS"`
}

// orders is the answer to a report, or a direct command.
type orders struct {
	Warrant *uint64 `json:"Warrant"`
	Season  *uint64 `json:"Season"`
	Orders  []order `json:"Orders"`
}

// task is a task on a machine.
type task struct {
	job         *job
	ready, ends time.Time
	startedAt   time.Time
}

// worker is a machine and its worker, as PROTOCOL describes them. No task of the cases saves.
type worker struct {
	world      *world
	name, addr string
	bed        string
	windfall   bool
	// rented is when the machine was rented, and since when it is up.
	rented, since time.Time
	server        *http.Server
	wake, done    chan struct{}

	mu      sync.Mutex
	season  uint64
	tally   uint64
	warrant uint64
	shoots  []status
	running map[string]*task
	// leased is when the last answered report was sent, or when the session began.
	leased time.Time
	node   int
	ended  bool
	// died is when the machine stopped with all that was on it, or zero.
	died time.Time
}

// start opens the worker's address and begins to report.
func (m *worker) start() error {
	listener, err := listen()
	if err != nil {
		return err
	}
	m.addr = listener.Addr().String()
	m.leased = time.Now()
	m.server = &http.Server{Handler: m, ReadHeaderTimeout: reportTimeout}
	go func() { _ = m.server.Serve(listener) }() // returns when the server is closed
	go m.run()
	return nil
}

// end ends the machine with all that is on it.
func (m *worker) end() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended = true
	for shoot := range m.running {
		m.world.taskEnded(m, shoot, "machine gone")
	}
	clear(m.running)
	if m.died.IsZero() {
		close(m.done)
	}
	if m.server != nil {
		_ = m.server.Close() // its clients have no other use of it
	}
}

// die stops the machine with all that is on it. Connections to it are silent from then on.
func (m *worker) die() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for shoot := range m.running {
		m.world.taskEnded(m, shoot, "machine stopped")
	}
	clear(m.running)
	m.died = time.Now()
	close(m.done)
}

// token returns the highest token that the worker has seen.
func (m *worker) token() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.warrant
}

// diedAt returns when the machine died, or the zero time.
func (m *worker) diedAt() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.died
}

// run sends reports until the machine is gone.
func (m *worker) run() {
	next, lastSent := time.Now(), time.Time{}
	client := &http.Client{Timeout: reportTimeout}
	for {
		select {
		case <-m.done:
			return
		case <-m.wake:
			next = time.Now()
		case <-time.After(workerInterval):
		}
		m.mu.Lock()
		if m.advance() {
			next = time.Now()
		}
		m.mu.Unlock()
		if now := time.Now(); now.Before(next) || now.Sub(lastSent) < minReportGap {
			continue
		}
		lastSent = time.Now()
		interval := m.world.settings.Workers.ReportS * (0.75 + rand.Float64()/2)
		next = lastSent.Add(seconds(interval))
		if !m.report(client) {
			next = time.Now().Add(nextNodeDelay)
		}
	}
}

// advance ends what ends by now. It reports whether anything changed. The caller holds the lock.
func (m *worker) advance() (changed bool) {
	now := time.Now()
	if now.Sub(m.leased) > seconds(m.world.settings.Workers.LeaseS) {
		for shoot := range m.running {
			m.world.taskEnded(m, shoot, "lease over")
		}
		clear(m.running)
		m.shoots, m.leased = nil, now
		m.season++
		return true
	}
	for i := range m.shoots {
		s := &m.shoots[i]
		t := m.running[s.Shoot]
		switch {
		case t == nil || s.Phase == stateExited:
		case s.Phase == statePulling && !now.Before(t.ready):
			s.Phase, t.startedAt, t.ends = stateRunning, now, now.Add(t.job.taskTime())
			m.world.taskStarted(m, s.Shoot, s.Sprout)
			changed = true
		case s.Phase == stateRunning && !now.Before(t.ends):
			s.Phase, s.Cause = stateExited, causeDone
			if t.job.fails {
				s.Cause = causeError
			}
			m.finish(s.Shoot, s.Cause)
			changed = true
		}
	}
	return changed
}

// finish takes a task off the machine. The caller holds the lock.
func (m *worker) finish(shoot, cause string) {
	if t := m.running[shoot]; t != nil && !t.startedAt.IsZero() {
		m.world.taskEnded(m, shoot, cause)
	}
	delete(m.running, shoot)
}

// nextReport returns the next report. The caller holds the lock.
func (m *worker) nextReport() report {
	m.tally++
	return report{
		Host: m.name, Addr: m.addr, Frame: m.world.flavor.Label, Bed: m.bed, Windfall: m.windfall,
		Season: m.season, Tally: m.tally, Warrant: m.warrant, Shoots: append([]status{}, m.shoots...),
	}
}

// report sends a report and carries out the answer. It returns false if the worker waits before it tries
// the next node.
func (m *worker) report(client *http.Client) bool {
	m.mu.Lock()
	node, current, sent := m.node, m.nextReport(), time.Now()
	m.mu.Unlock()
	code, raw := m.post(client, node, current)
	m.mu.Lock()
	defer m.mu.Unlock()
	var body struct {
		orders
		Gardener string `json:"Gardener"`
	}
	if code != 0 && json.Unmarshal(raw, &body) != nil {
		code = 0
	}
	named := slices.IndexFunc(m.world.nodes, func(n *controller) bool { return n.name == body.Gardener })
	switch {
	case code == http.StatusOK:
		m.accept(&body.orders, node, current.Season, sent)
		return true
	case code == http.StatusMisdirectedRequest && named >= 0 && named != node:
		m.node = named
		m.poke()
		return true
	}
	m.node = (node + 1) % len(m.world.nodes)
	return false
}

// post sends a report and returns the answer, or 0 without one.
func (m *worker) post(client *http.Client, node int, current report) (code int, raw []byte) {
	body, err := json.Marshal(current)
	if err != nil {
		return 0, nil
	}
	url := "http://" + m.world.nodes[node].apiAddr + "/v1/report"
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer closeQuietly(resp.Body)
	if raw, err = io.ReadAll(resp.Body); err != nil {
		return 0, nil
	}
	return resp.StatusCode, raw
}

// accept carries out the answer to a report, unless its token is too low. The caller holds the lock.
func (m *worker) accept(body *orders, node int, season uint64, sent time.Time) {
	if m.ended || !m.died.IsZero() || body.Warrant == nil || *body.Warrant < m.warrant || season != m.season {
		return
	}
	m.leased = sent
	m.world.answeredBy(node, *body.Warrant)
	source := fmt.Sprintf("answer of %s to the report sent at %s", m.world.nodes[node].name, m.world.clock(sent))
	m.carryOut(*body.Warrant, body.Orders, source)
}

// carryOut executes commands that came from a source. The caller holds the lock.
func (m *worker) carryOut(warrant uint64, commands []order, source string) {
	if warrant > m.warrant {
		m.warrant = warrant
		m.poke()
	}
	for _, c := range commands {
		i := slices.IndexFunc(m.shoots, func(s status) bool { return s.Shoot == c.Shoot && s.Sprout == c.Sprout })
		switch {
		case c.Verb == "start" && i < 0:
			m.begin(c, source)
		case c.Verb == "stop" && i >= 0 && m.shoots[i].Phase != stateExited:
			m.shoots[i].Phase, m.shoots[i].Cause = stateExited, causeHalted
			m.finish(c.Shoot, causeHalted)
		case c.Verb == "reap" && i >= 0 && m.shoots[i].Phase == stateExited:
			m.shoots = slices.Delete(m.shoots, i, i+1)
		default:
			continue
		}
		m.poke()
	}
}

// begin carries out a start command, or refuses it. The caller holds the lock.
func (m *worker) begin(c order, source string) {
	s := status{Shoot: c.Shoot, Sprout: c.Sprout, Phase: stateExited}
	id, number, _ := strings.Cut(c.Shoot, "/")
	index, err := strconv.Atoi(number)
	j := m.world.jobNamed(id)
	cores, memory := 0.0, 0.0
	for _, t := range m.running {
		cores, memory = cores+t.job.cores, memory+t.job.memory()
	}
	switch {
	case err != nil || j == nil || index >= j.shoots:
		s.Cause = causeNoSuch
	case m.running[c.Shoot] != nil:
		s.Cause = causeBusy
	case cores+j.cores > m.world.flavor.Cores || memory+j.memory() > m.world.flavor.MemoryGB:
		s.Cause = causeNoRoom
	default:
		s.Phase = statePulling
		m.running[c.Shoot] = &task{job: j, ready: time.Now()}
		m.world.startOrdered(m, c, source)
	}
	m.shoots = append(m.shoots, s)
}

// poke makes the worker report a change.
func (m *worker) poke() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// ServeHTTP serves the direct commands and the inspection.
func (m *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if !m.diedAt().IsZero() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	var body orders
	direct := r.Method == http.MethodPost
	if direct && json.NewDecoder(r.Body).Decode(&body) != nil || direct && (body.Warrant == nil || body.Season == nil) {
		answer(w, http.StatusBadRequest, map[string]string{"error": "malformed"})
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance()
	code := http.StatusOK
	if direct && (*body.Warrant < m.warrant || *body.Season != m.season) {
		code = http.StatusConflict
	} else if direct {
		m.carryOut(*body.Warrant, body.Orders, "direct command that arrived at "+m.world.clock(arrived))
	}
	answer(w, code, m.nextReport())
}
