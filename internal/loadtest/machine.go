package loadtest

import (
	"bufio"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"example.org/ivytrestle/internal/api"
)

// machine reports, and runs what it is told to.
type machine struct {
	env          *Environment
	mu           sync.Mutex
	heartbeat    api.Heartbeat
	taskEnds     map[string]time.Time
	tasksChanged chan struct{}
	// terminated is set once the machine is returned.
	terminated atomic.Bool
}

func newMachine(env *Environment, name, typ, zone string) *machine {
	return &machine{
		env:          env,
		heartbeat:    api.Heartbeat{Machine: name, Type: typ, Zone: zone, AgentEpoch: 1, Tasks: []api.TaskStatus{}},
		taskEnds:     map[string]time.Time{},
		tasksChanged: make(chan struct{}, 1),
	}
}

func (m *machine) run() {
	time.Sleep(rand.N(m.env.plan.HeartbeatInterval))
	for !m.terminated.Load() {
		if err := m.sendHeartbeats(); err != nil {
			m.env.counts.failed.Add(1)
			time.Sleep(time.Second)
		}
	}
}

// sendHeartbeats reports over one connection until it fails.
func (m *machine) sendHeartbeats() error {
	conn, err := net.Dial("tcp", m.env.plan.API)
	if err != nil {
		return err
	}
	defer conn.Close()
	r := bufio.NewReader(conn)
	for !m.terminated.Load() {
		m.mu.Lock()
		m.completeTasks()
		m.heartbeat.Seq++
		body, err := json.Marshal(m.heartbeat)
		m.mu.Unlock()
		if err != nil {
			return err
		}
		head := "POST /v1/report HTTP/1.1\r\nHost: " + m.env.plan.API + "\r\nContent-Type: application/json\r\nContent-Length: " +
			strconv.Itoa(len(body)) + "\r\n\r\n"
		if _, err := conn.Write(append([]byte(head), body...)); err != nil {
			return err
		}
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return err
		}
		raw, err := io.ReadAll(resp.Body)
		if err != nil {
			return err
		}
		var response api.HeartbeatResponse
		if resp.StatusCode == http.StatusOK && json.Unmarshal(raw, &response) == nil {
			m.mu.Lock()
			m.applyCommands(response.Term, response.Commands)
			m.mu.Unlock()
			m.env.counts.reports.Add(1)
		} else {
			m.env.counts.failed.Add(1)
		}
		time.Sleep(500 * time.Millisecond)
		m.waitForNextHeartbeat(time.Duration(float64(m.env.plan.HeartbeatInterval)*(0.75+rand.Float64()/2)) - 500*time.Millisecond)
	}
	return nil
}

// waitForNextHeartbeat waits for the next report's time, or until something changes.
func (m *machine) waitForNextHeartbeat(d time.Duration) {
	m.mu.Lock()
	for _, end := range m.taskEnds {
		d = min(d, time.Until(end))
	}
	m.mu.Unlock()
	if d <= 0 {
		return
	}
	select {
	case <-m.tasksChanged:
	case <-time.After(d):
	}
}

// completeTasks ends the tasks whose time has come.
func (m *machine) completeTasks() {
	now := time.Now()
	for i := range m.heartbeat.Tasks {
		t := &m.heartbeat.Tasks[i]
		if end, ok := m.taskEnds[t.Task]; ok && now.After(end) {
			delete(m.taskEnds, t.Task)
			t.Phase, t.Cause = api.TaskExited, api.CauseDone
			m.env.counts.done.Add(1)
		}
	}
}

func (m *machine) applyCommands(term uint64, orders []api.Command) {
	m.heartbeat.Term = max(m.heartbeat.Term, term)
	for _, o := range orders {
		at := -1
		for i, t := range m.heartbeat.Tasks {
			if t.Task == o.Task && t.Attempt == o.Attempt {
				at = i
			}
		}
		switch {
		case o.Verb == api.VerbStart && at < 0:
			m.heartbeat.Tasks = append(m.heartbeat.Tasks, api.TaskStatus{Task: o.Task, Attempt: o.Attempt, Phase: api.TaskRunning})
			m.taskEnds[o.Task] = time.Now().Add(time.Duration(float64(m.env.plan.Run) * (0.5 + rand.Float64())))
			m.env.counts.started.Add(1)
		case o.Verb == api.VerbStop && at >= 0:
			delete(m.taskEnds, o.Task)
			m.heartbeat.Tasks[at].Phase, m.heartbeat.Tasks[at].Cause = api.TaskExited, api.CauseHalted
		case o.Verb == api.VerbReap && at >= 0:
			m.heartbeat.Tasks = append(m.heartbeat.Tasks[:at], m.heartbeat.Tasks[at+1:]...)
		}
	}
	if len(orders) > 0 {
		select {
		case m.tasksChanged <- struct{}{}:
		default:
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
