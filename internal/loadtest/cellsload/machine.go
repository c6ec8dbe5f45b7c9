package main

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/loadtest/localprocess"
)

const (
	heartbeatInterval = time.Second
	heartbeatTimeout  = 4 * time.Second
	taskLease         = 10 * time.Second
	machineCPUs       = 16.0
)

// machine simulates a machine and its worker agent: it sends heartbeats to one of its cell's
// controllers and applies the commands in the responses.
type machine struct {
	cell      *cell
	client    *http.Client
	mu        sync.Mutex
	heartbeat api.Heartbeat
	taskEnds  map[string]time.Time
	// lastResponse is the send time of the latest heartbeat whose response was accepted, or the
	// start of the agent epoch if there is none. The task lease starts at this time.
	lastResponse time.Time
	// nodeIndex is the index of the controller to which the next heartbeat is sent.
	nodeIndex int
	usedCPUs  atomic.Int64
}

func newMachine(c *cell, name string) (*machine, error) {
	ln, err := localprocess.Listen()
	if err != nil {
		return nil, err
	}
	m := &machine{
		cell:         c,
		client:       &http.Client{Timeout: heartbeatTimeout, Transport: &http.Transport{}},
		taskEnds:     map[string]time.Time{},
		lastResponse: time.Now(),
		heartbeat: api.Heartbeat{
			Machine:    name,
			Addr:       ln.Addr().String(),
			Type:       machineType.Name,
			Zone:       zone,
			AgentEpoch: 1,
			Tasks:      []api.TaskStatus{},
		},
	}
	c.testbed.closers = append(c.testbed.closers, ln)
	go func() { _ = http.Serve(ln, m) }() // returns when the listener is closed
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

// sendHeartbeat sends a heartbeat and applies the commands in the response. If the request fails,
// the next heartbeat is sent to another controller.
func (m *machine) sendHeartbeat() {
	m.mu.Lock()
	m.completeTasks()
	m.heartbeat.Seq++
	body, err := json.Marshal(m.heartbeat)
	agentEpoch, sent := m.heartbeat.AgentEpoch, time.Now()
	m.mu.Unlock()
	if err != nil {
		panic(err) // a heartbeat always encodes
	}
	resp, err := post(m.client, "http://"+m.cell.nodes[m.nodeIndex].apiAddr+"/v1/report", body)
	if err != nil {
		m.useNextNode()
		return
	}
	defer closeQuietly(resp.Body)
	raw, err := io.ReadAll(resp.Body)
	var response api.HeartbeatResponse
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest:
		m.redirect(raw)
	case err != nil || resp.StatusCode != http.StatusOK || json.Unmarshal(raw, &response) != nil:
		m.useNextNode()
	default:
		m.mu.Lock()
		defer m.mu.Unlock()
		if response.Token >= m.heartbeat.Token && agentEpoch == m.heartbeat.AgentEpoch {
			m.lastResponse = sent
			m.applyCommands(response.Token, response.Commands)
		}
	}
}

func (m *machine) useNextNode() {
	m.nodeIndex = (m.nodeIndex + 1) % len(m.cell.nodes)
}

// redirect selects the leader named in a redirect response for the next heartbeat, or the next
// controller if the response names no other known leader.
func (m *machine) redirect(body []byte) {
	var redirect struct {
		Leader string `json:"Gardener"`
	}
	if json.Unmarshal(body, &redirect) != nil {
		m.useNextNode()
		return
	}
	leader := slices.IndexFunc(m.cell.nodes, func(p *process) bool { return p.Name == redirect.Leader })
	if leader < 0 || leader == m.nodeIndex {
		m.useNextNode()
		return
	}
	m.nodeIndex = leader
}

// completeTasks marks the tasks whose run time has passed as completed. If the task lease has
// expired, it instead stops all tasks and starts a new agent epoch.
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

// applyCommands applies the start, stop and reap commands of a leader's term to the tasks.
func (m *machine) applyCommands(term uint64, commands []api.Command) {
	m.heartbeat.Token = max(m.heartbeat.Token, term)
	m.cell.testbed.ledger.responseApplied(term)
	for _, cmd := range commands {
		i := slices.IndexFunc(m.heartbeat.Tasks, func(t api.TaskStatus) bool {
			return t.Task == cmd.Task && t.Attempt == cmd.Attempt
		})
		switch {
		case cmd.Verb == api.VerbStart && i < 0:
			m.startTask(term, cmd)
		case cmd.Verb == api.VerbStop && i >= 0:
			if m.heartbeat.Tasks[i].Phase != api.TaskExited {
				m.removeTask(cmd.Task, false)
			}
			m.heartbeat.Tasks[i].Phase, m.heartbeat.Tasks[i].Cause = api.TaskExited, api.CauseHalted
		case cmd.Verb == api.VerbReap && i >= 0:
			m.heartbeat.Tasks = slices.Delete(m.heartbeat.Tasks, i, i+1)
		}
	}
}

func (m *machine) startTask(term uint64, cmd api.Command) {
	status := api.TaskStatus{Task: cmd.Task, Attempt: cmd.Attempt, Phase: api.TaskRunning}
	m.heartbeat.Tasks = append(m.heartbeat.Tasks, status)
	m.taskEnds[cmd.Task] = time.Now().Add(time.Duration(float64(taskDuration) * (0.5 + rand.Float64())))
	m.usedCPUs.Add(taskCPUs)
	m.cell.testbed.ledger.taskStarted(cmd.Task, m.cell, m.heartbeat.Machine)
	m.cell.testbed.ledger.startApplied(term)
}

// ServeHTTP handles commands and probes that a controller sends directly to the machine. It rejects
// commands of an earlier term or for another agent epoch. Every response contains the machine's
// heartbeat.
func (m *machine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heartbeat.Seq++
	if r.URL.Path == "/orders" {
		var batch api.CommandBatch
		err := json.NewDecoder(r.Body).Decode(&batch)
		if err != nil || batch.Token < m.heartbeat.Token || batch.AgentEpoch != m.heartbeat.AgentEpoch {
			w.WriteHeader(http.StatusConflict)
		} else {
			m.applyCommands(batch.Token, batch.Commands)
		}
	}
	_ = json.NewEncoder(w).Encode(m.heartbeat) // the controller sees a write error as well
}
