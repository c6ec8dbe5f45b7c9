// Package loadtest is a small deployment around one controller, in a process of
// its own and in real time: a state service, a cloud that rents nothing, machines
// that report and run tasks, and users. With it the processor time and memory of
// a whole controller are measured and profiled. It is a tool for that, not a
// test: nothing of it decides whether the program is right.
package loadtest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"example.org/ivytrestle/internal/api"
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
