package loadtest

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"example.org/ivytrestle/internal/api"
)

// minHeartbeatGap is the minimum time between a heartbeat response and the next heartbeat.
const minHeartbeatGap = 500 * time.Millisecond

// machine simulates a machine and its worker agent: it sends heartbeats and applies the commands in
// the responses.
type machine struct {
	env       *Environment
	mu        sync.Mutex
	heartbeat api.Heartbeat
	taskEnds  map[string]time.Time
	// startedAttempts are the numbers of all attempts that have started.
	startedAttempts map[uint64]bool
	tasksChanged    chan struct{}
	// terminated is set when the cloud terminates the machine.
	terminated atomic.Bool
}

func newMachine(env *Environment, name, machineType, zone string) *machine {
	return &machine{
		env: env,
		heartbeat: api.Heartbeat{
			Machine:    name,
			Type:       machineType,
			Zone:       zone,
			AgentEpoch: 1,
			Tasks:      []api.TaskStatus{},
		},
		taskEnds: map[string]time.Time{},

		startedAttempts: map[uint64]bool{},

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

// sendHeartbeats sends heartbeats over one connection until it fails or the machine is terminated.
func (m *machine) sendHeartbeats() error {
	var dialer net.Dialer
	conn, err := dialer.DialContext(context.Background(), "tcp", m.env.plan.API)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }() // the connection is no longer used
	reader := bufio.NewReader(conn)
	for !m.terminated.Load() {
		if err := m.sendHeartbeat(conn, reader); err != nil {
			return err
		}
		time.Sleep(minHeartbeatGap)
		interval := time.Duration(float64(m.env.plan.HeartbeatInterval) * (0.75 + rand.Float64()/2))
		m.waitForNextHeartbeat(interval - minHeartbeatGap)
	}
	return nil
}

// sendHeartbeat sends one heartbeat and applies the commands in the response.
func (m *machine) sendHeartbeat(conn net.Conn, reader *bufio.Reader) error {
	m.mu.Lock()
	m.completeTasks()
	m.heartbeat.Seq++
	body, err := json.Marshal(m.heartbeat)
	m.mu.Unlock()
	if err != nil {
		return err
	}
	head := "POST /v1/report HTTP/1.1\r\nHost: " + m.env.plan.API + "\r\nContent-Type: application/json\r\n" +
		"Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	if _, err := conn.Write(append([]byte(head), body...)); err != nil {
		return err
	}
	resp, err := http.ReadResponse(reader, nil)
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
		m.applyCommands(response.Token, response.Commands)
		m.mu.Unlock()
		m.env.counts.heartbeats.Add(1)
	} else {
		m.env.counts.failed.Add(1)
	}
	return nil
}

// waitForNextHeartbeat waits for d, or until a task ends or commands arrive, whichever comes first.
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

// completeTasks marks the tasks whose run time has passed as completed.
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

// applyCommands applies start, stop and reap commands, which came with a fencing token, to the tasks.
func (m *machine) applyCommands(token uint64, commands []api.Command) {
	m.heartbeat.Token = max(m.heartbeat.Token, token)
	for _, cmd := range commands {
		i := slices.IndexFunc(m.heartbeat.Tasks, func(t api.TaskStatus) bool {
			return t.Task == cmd.Task && t.Attempt == cmd.Attempt
		})
		switch {
		case cmd.Verb == api.VerbStart && i < 0:
			status := api.TaskStatus{Task: cmd.Task, Attempt: cmd.Attempt, Phase: api.TaskRunning}
			m.heartbeat.Tasks = append(m.heartbeat.Tasks, status)
			duration := time.Duration(float64(m.env.plan.TaskDuration) * (0.5 + rand.Float64()))
			m.taskEnds[cmd.Task] = time.Now().Add(duration)
			m.env.counts.started.Add(1)
			if m.startedAttempts[cmd.Attempt] {
				m.env.counts.startedAgain.Add(1)
			}
			m.startedAttempts[cmd.Attempt] = true
		case cmd.Verb == api.VerbStop && i >= 0:
			delete(m.taskEnds, cmd.Task)
			m.heartbeat.Tasks[i].Phase, m.heartbeat.Tasks[i].Cause = api.TaskExited, api.CauseHalted
		case cmd.Verb == api.VerbReap && i >= 0:
			m.heartbeat.Tasks = slices.Delete(m.heartbeat.Tasks, i, i+1)
		}
	}
	if len(commands) > 0 {
		select {
		case m.tasksChanged <- struct{}{}:
		default:
		}
	}
}

// ServeHTTP handles commands and probes that a controller sends directly to the machine. It rejects
// commands of an earlier term or for another agent epoch.
func (m *machine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heartbeat.Seq++
	status := http.StatusOK
	if r.URL.Path == "/orders" {
		var batch api.CommandBatch
		err := json.NewDecoder(r.Body).Decode(&batch)
		if err != nil || !m.applyBatch(&batch) {
			status = http.StatusConflict
		} else if len(batch.Commands) > 0 {
			m.scheduleCopies(&batch)
		}
	}
	writeJSON(w, status, m.heartbeat)
}

// applyBatch applies a command batch, and reports whether the machine accepts it. The caller holds the
// lock.
func (m *machine) applyBatch(batch *api.CommandBatch) bool {
	if batch.Token < m.heartbeat.Token || batch.AgentEpoch != m.heartbeat.AgentEpoch {
		return false
	}
	m.applyCommands(batch.Token, batch.Commands)
	return true
}

// scheduleCopies makes copies of a command batch arrive after the delays of the plan.
func (m *machine) scheduleCopies(batch *api.CommandBatch) {
	for _, delay := range m.env.plan.CopyDelays {
		time.AfterFunc(delay, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			if m.terminated.Load() {
				return
			}
			m.env.counts.copies.Add(1)
			if !m.applyBatch(batch) {
				m.env.counts.copiesRejected.Add(1)
			}
		})
	}
}
