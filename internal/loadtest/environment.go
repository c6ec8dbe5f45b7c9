// Package loadtest is a small deployment around one controller, in a process of
// its own and in real time: a state service, a cloud that rents nothing, machines
// that report and run tasks, and users. With it the processor time and memory of
// a whole controller are measured and profiled. It is a tool for that, not a
// test: nothing of it decides whether the program is right.
package loadtest

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/kv/kvtest"
)

// Plan is what the environment does.
type Plan struct {
	// API is the controller's address for users and machines.
	API               string
	Machines          int
	CPUs              float64
	HeartbeatInterval time.Duration
	// JobEvery is how often a job is submitted, of Tasks tasks that run for
	// about Run each.
	JobEvery time.Duration
	Tasks    int
	Run      time.Duration
	// Polls is how many questions users ask a second.
	Polls float64
}

// Counts is what the environment has seen.
type Counts struct {
	Heartbeats, Started, Done, Jobs, Polls, Failed int64
}

// Environment is the outside of a controller.
type Environment struct {
	State, Cloud string

	plan     Plan
	counts   struct{ reports, started, done, jobs, polls, failed atomic.Int64 }
	jobIDsMu sync.Mutex
	jobIDs   []string
}

// New starts the state service and the cloud on loopback.
func New(typ api.MachineType) (*Environment, error) {
	env := &Environment{}
	var err error
	if env.State, err = serve(kvHandler(kvtest.New())); err != nil {
		return nil, err
	}
	env.Cloud, err = serve(cloudHandler(typ))
	return env, err
}

func serve(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go http.Serve(ln, h) // until the process ends
	return ln.Addr().String(), nil
}

// Start lets machines and users loose on a controller.
func (env *Environment) Start(p Plan) {
	env.plan = p
	for i := range p.Machines {
		m := newMachine(env, fmt.Sprintf("i-%06d", i), "m", "a")
		addr, err := serve(m)
		if err != nil {
			env.counts.failed.Add(1)
			continue
		}
		m.heartbeat.Addr = addr
		go m.run()
	}
	go env.submitJobs()
	for range 16 {
		go env.pollJobs()
	}
}

// Counts is what has happened so far.
func (env *Environment) Counts() Counts {
	c := &env.counts
	return Counts{c.reports.Load(), c.started.Load(), c.done.Load(), c.jobs.Load(), c.polls.Load(), c.failed.Load()}
}

func (env *Environment) submitJobs() {
	for i := 0; ; i++ {
		id := fmt.Sprintf("job-%06d", i)
		body, err := json.Marshal(map[string]any{"NameId": id, "Jobclass": "c", "Owner": "red", "Shape": "array", "Precedence": "standard",
			"Shoots": env.plan.Tasks, "Cores": 1.0, "Cards": 0.0, "MemoryGb": 1.0, "Rootstock": fmt.Sprint("img-", i%5), "PullGb": 1.5,
			"SamePlace": false, "Scatter": false, "Windfall": true, "ExpectS": env.plan.Run.Seconds(), "GraftS": 0.0, "PressS": 0.0, "DueS": 300.0})
		if err != nil {
			panic(err) // plain values
		}
		resp, err := http.Post("http://"+env.plan.API+"/api/jobs", "application/json", bytes.NewReader(body))
		if err == nil {
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		if err != nil || resp.StatusCode >= 300 {
			env.counts.failed.Add(1)
		} else {
			env.counts.jobs.Add(1)
			env.jobIDsMu.Lock()
			env.jobIDs = append(env.jobIDs, id)
			env.jobIDsMu.Unlock()
		}
		time.Sleep(env.plan.JobEvery)
	}
}

func (env *Environment) pollJobs() {
	c := &http.Client{Transport: &http.Transport{}}
	for {
		time.Sleep(time.Duration(float64(16*time.Second) / max(env.plan.Polls, 0.1) * (0.5 + rand.Float64())))
		env.jobIDsMu.Lock()
		id := ""
		if n := len(env.jobIDs); n > 0 {
			id = env.jobIDs[max(0, n-1-rand.IntN(40))]
		}
		env.jobIDsMu.Unlock()
		if id == "" {
			continue
		}
		resp, err := c.Get("http://" + env.plan.API + "/api/jobs/" + id)
		if err != nil {
			env.counts.failed.Add(1)
			continue
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		env.counts.polls.Add(1)
	}
}

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

// cloudHandler is a cloud with one type of machine, of which none are to be had.
func cloudHandler(typ api.MachineType) http.Handler {
	mux := http.NewServeMux()
	answer := func(pattern string, status int, body any) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			json.NewEncoder(w).Encode(body)
		})
	}
	answer("GET /flavors", 200, map[string]any{"Frames": []api.MachineType{typ}})
	answer("GET /machines", 200, map[string]any{"Hosts": []any{}, "Truncated": false})
	answer("POST /machines", 503, map[string]string{"error": "no capacity"})
	answer("POST /machines/return", 200, map[string]any{})
	return mux
}

// kvHandler is the state service's protocol over the scripted one.
func kvHandler(f *kvtest.Fake) http.Handler {
	s := kvServer{f}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv/{key...}", s.get)
	mux.HandleFunc("GET /kv", s.list)
	mux.HandleFunc("POST /txn", s.txn)
	mux.HandleFunc("POST /leases", s.grantLease)
	mux.HandleFunc("POST /leases/{id}/extend", s.renewLease)
	mux.HandleFunc("GET /watch", s.watch)
	return mux
}

// kvServer answers a controller's requests to the state service.
type kvServer struct{ fake *kvtest.Fake }

func answer(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}

func (s kvServer) get(w http.ResponseWriter, r *http.Request) {
	e, _ := s.fake.Get(r.Context(), r.PathValue("key"))
	if e.ModRevision == 0 {
		answer(w, 404, map[string]int{"Ring": 1})
		return
	}
	answer(w, 200, e)
}

func (s kvServer) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	most, _ := strconv.Atoi(q.Get("Most"))
	p, _ := s.fake.Range(r.Context(), q.Get("Prefix"), q.Get("From"), max(most, 1))
	answer(w, 200, p)
}

func (s kvServer) txn(w http.ResponseWriter, r *http.Request) {
	var txn kv.Txn
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		answer(w, 400, map[string]string{"error": err.Error()})
		return
	}
	res, err := s.fake.Txn(r.Context(), txn)
	switch {
	case err != nil:
		answer(w, 400, map[string]string{"error": "no such lease"})
	case res.Succeeded:
		answer(w, 200, map[string]uint64{"Ring": res.Revision})
	default:
		answer(w, 409, map[string]any{"Ring": res.Revision, "failed": res.FailedKeys})
	}
}

func (s kvServer) grantLease(w http.ResponseWriter, r *http.Request) {
	var in struct{ LifeMs int64 }
	json.NewDecoder(r.Body).Decode(&in)
	id, _ := s.fake.GrantLease(r.Context(), time.Duration(in.LifeMs)*time.Millisecond)
	answer(w, 200, map[string]uint64{"Tenure": id})
}

func (s kvServer) renewLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if s.fake.RenewLease(r.Context(), id) != nil {
		answer(w, 404, map[string]int{})
		return
	}
	answer(w, 200, map[string]int{})
}

func (s kvServer) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseUint(q.Get("From"), 10, 64)
	block, _ := strconv.Atoi(q.Get("BlockMs"))
	ch, err := s.fake.Watch(r.Context(), q.Get("Prefix"), from, time.Duration(block)*time.Millisecond)
	if err != nil {
		answer(w, 503, map[string]string{"error": strings.TrimSpace(err.Error())})
		return
	}
	answer(w, 200, ch)
}
