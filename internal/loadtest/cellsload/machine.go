package main

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"example.org/ivytrestle/internal/api"
)

const (
	heartbeatInterval = time.Second
	taskLease         = 10 * time.Second
	machineCPUs       = 16.0
)

// machine is a worker: it reports to one of its cell's controllers, and runs what it is
// told to.
type machine struct {
	cell      *cell
	client    *http.Client
	mu        sync.Mutex
	heartbeat api.Heartbeat
	taskEnds  map[string]time.Time
	// lastResponse is when the last answered report was sent.
	lastResponse time.Time
	node         int
	usedCPUs     atomic.Int64
}

func newMachine(c *cell, name string) (*machine, error) {
	m := &machine{cell: c, client: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{}}, taskEnds: map[string]time.Time{}, lastResponse: time.Now(),
		heartbeat: api.Heartbeat{Machine: name, Type: machineType.Name, Zone: zone, AgentEpoch: 1, Tasks: []api.TaskStatus{}}}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m.heartbeat.Addr = ln.Addr().String()
	c.testbed.closers = append(c.testbed.closers, func() { ln.Close() })
	go http.Serve(ln, m) // until the listener is closed
	return m, nil
}

func (m *machine) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(float64(heartbeatInterval) * (0.75 + rand.Float64()/2))):
		}
		m.sendHeartbeat()
	}
}

// sendHeartbeat sends a report, and carries out what the answer says.
func (m *machine) sendHeartbeat() {
	m.mu.Lock()
	m.completeTasks()
	m.heartbeat.Seq++
	body, err := json.Marshal(m.heartbeat)
	agentEpoch, sent := m.heartbeat.AgentEpoch, time.Now()
	m.mu.Unlock()
	if err != nil {
		panic(err) // plain values
	}
	resp, err := m.client.Post("http://"+m.cell.nodes[m.node].apiAddr+"/v1/report", "application/json", bytes.NewReader(body))
	if err != nil {
		m.node = (m.node + 1) % len(m.cell.nodes)
		return
	}
	defer resp.Body.Close()
	raw, _ := io.ReadAll(resp.Body)
	var answer api.HeartbeatResponse
	switch {
	case resp.StatusCode == http.StatusOK && json.Unmarshal(raw, &answer) == nil:
		m.mu.Lock()
		defer m.mu.Unlock()
		if answer.Term >= m.heartbeat.Term && agentEpoch == m.heartbeat.AgentEpoch {
			m.lastResponse = sent
			m.applyCommands(answer.Term, answer.Commands)
		}
	case resp.StatusCode == http.StatusMisdirectedRequest:
		var other struct{ Gardener string }
		json.Unmarshal(raw, &other)
		if at := slices.IndexFunc(m.cell.nodes, func(n *process) bool { return n.name == other.Gardener }); at >= 0 && at != m.node {
			m.node = at
			return
		}
		m.node = (m.node + 1) % len(m.cell.nodes)
	default:
		m.node = (m.node + 1) % len(m.cell.nodes)
	}
}

// completeTasks ends the tasks whose time has come, and all of them with the lease.
func (m *machine) completeTasks() {
	if time.Since(m.lastResponse) > taskLease {
		for _, t := range m.heartbeat.Tasks {
			if t.Phase != api.TaskExited {
				m.removeTask(t.Task, false)
			}
		}
		m.heartbeat.Tasks, m.taskEnds = []api.TaskStatus{}, map[string]time.Time{}
		m.heartbeat.AgentEpoch++
		m.lastResponse = time.Now()
		return
	}
	for i := range m.heartbeat.Tasks {
		t := &m.heartbeat.Tasks[i]
		if end, ok := m.taskEnds[t.Task]; ok && time.Now().After(end) {
			t.Phase, t.Cause = api.TaskExited, api.CauseDone
			m.removeTask(t.Task, true)
		}
	}
}

func (m *machine) removeTask(task string, done bool) {
	delete(m.taskEnds, task)
	m.usedCPUs.Add(-taskCPUs)
	m.cell.testbed.ledger.taskRemoved(task, done)
}

func (m *machine) applyCommands(term uint64, orders []api.Command) {
	m.heartbeat.Term = max(m.heartbeat.Term, term)
	m.cell.testbed.ledger.responseApplied(term)
	for _, o := range orders {
		at := slices.IndexFunc(m.heartbeat.Tasks, func(t api.TaskStatus) bool { return t.Task == o.Task && t.Attempt == o.Attempt })
		switch {
		case o.Verb == api.VerbStart && at < 0:
			m.heartbeat.Tasks = append(m.heartbeat.Tasks, api.TaskStatus{Task: o.Task, Attempt: o.Attempt, Phase: api.TaskRunning})
			m.taskEnds[o.Task] = time.Now().Add(time.Duration(float64(taskDuration) * (0.5 + rand.Float64())))
			m.usedCPUs.Add(taskCPUs)
			m.cell.testbed.ledger.taskStarted(o.Task, m.cell, m.heartbeat.Machine)
			m.cell.testbed.ledger.startApplied(term)
		case o.Verb == api.VerbStop && at >= 0:
			if m.heartbeat.Tasks[at].Phase != api.TaskExited {
				m.removeTask(o.Task, false)
			}
			m.heartbeat.Tasks[at].Phase, m.heartbeat.Tasks[at].Cause = api.TaskExited, api.CauseHalted
		case o.Verb == api.VerbReap && at >= 0:
			m.heartbeat.Tasks = slices.Delete(m.heartbeat.Tasks, at, at+1)
		}
	}
}

// ServeHTTP takes what is sent straight to the machine.
func (m *machine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heartbeat.Seq++
	if r.URL.Path == "/orders" {
		var in api.CommandBatch
		if json.NewDecoder(r.Body).Decode(&in) != nil || in.Term < m.heartbeat.Term || in.AgentEpoch != m.heartbeat.AgentEpoch {
			w.WriteHeader(http.StatusConflict)
		} else {
			m.applyCommands(in.Term, in.Commands)
		}
	}
	json.NewEncoder(w).Encode(m.heartbeat)
}
