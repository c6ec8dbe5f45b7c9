// Package loadtest is a small deployment around one controller, in a process of
// its own and in real time: a key-value store, a cloud that launches nothing, worker
// agents that send heartbeats and run tasks, and users. With it the processor time and
// memory of a whole controller are measured and profiled. It is a tool for that, not a
// test: nothing of it decides whether the program is right.
package loadtest

import (
	"bytes"
	"context"
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

const (
	// pollerCount is the number of users that poll at the same time.
	pollerCount = 16
	// recentJobCount is how many of the latest jobs are polled.
	recentJobCount = 40
	// imageCount is how many images the jobs use in turn.
	imageCount = 5
)

// Plan is the load that the environment puts on a controller.
type Plan struct {
	// API is the controller's address for users and machines.
	API               string
	Machines          int
	CPUs              float64
	HeartbeatInterval time.Duration
	// JobInterval is the interval between submissions, of jobs of Tasks tasks that run for
	// about Run each.
	JobInterval  time.Duration
	Tasks        int
	TaskDuration time.Duration
	// PollsPerSecond is how many queries users send a second.
	PollsPerSecond float64
}

// Counts is what has happened since the environment was started.
type Counts struct {
	Heartbeats, Started, Done, Jobs, Polls, Failed int64
}

// Environment is all that a controller needs around it.
type Environment struct {
	// KVAddr is the address of the key-value store, Cloud that of the cloud.
	KVAddr, CloudAddr string

	plan     Plan
	counts   struct{ heartbeats, started, done, jobs, polls, failed atomic.Int64 }
	jobIDsMu sync.Mutex
	jobIDs   []string
}

// New starts the key-value store and a cloud without capacity on loopback.
func New(typ api.MachineType) (*Environment, error) {
	env := &Environment{}
	var err error
	if env.KVAddr, err = serve(kvHandler(kvtest.New())); err != nil {
		return nil, err
	}
	env.CloudAddr, err = serve(cloudHandler(typ))
	return env, err
}

// serve serves on a free port of loopback until the process ends, and returns the address.
func serve(h http.Handler) (string, error) {
	var config net.ListenConfig
	ln, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(ln, h) }() // its error could only be that the listener was closed
	return ln.Addr().String(), nil
}

// Start starts machines and users against a controller. They run until the process ends.
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
	for range pollerCount {
		go env.pollJobs()
	}
}

// Counts returns what has happened so far.
func (env *Environment) Counts() Counts {
	c := &env.counts
	return Counts{
		Heartbeats: c.heartbeats.Load(),
		Started:    c.started.Load(),
		Done:       c.done.Load(),
		Jobs:       c.jobs.Load(),
		Polls:      c.polls.Load(),
		Failed:     c.failed.Load(),
	}
}

func (env *Environment) submitJobs() {
	for i := 0; ; i++ {
		submission := Submission{
			ID:       fmt.Sprintf("job-%06d", i),
			Team:     "red",
			Tasks:    env.plan.Tasks,
			TaskCPUs: 1,
			Image:    fmt.Sprint("img-", i%imageCount),
			ImageGB:  1.5,
			Estimate: env.plan.TaskDuration,
			Deadline: 5 * time.Minute,
		}
		if env.submit(&submission) {
			env.counts.jobs.Add(1)
			env.jobIDsMu.Lock()
			env.jobIDs = append(env.jobIDs, submission.ID)
			env.jobIDsMu.Unlock()
		} else {
			env.counts.failed.Add(1)
		}
		time.Sleep(env.plan.JobInterval)
	}
}

// submit reports whether the controller accepted a job.
func (env *Environment) submit(s *Submission) bool {
	url := "http://" + env.plan.API + "/api/jobs"
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, bytes.NewReader(s.Body()))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	drainAndClose(resp)
	return resp.StatusCode < http.StatusMultipleChoices
}

// drainAndClose reads a response to its end, so that its connection can be used again. A failure
// shows in the next request.
func drainAndClose(resp *http.Response) {
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}

// pollJobs polls jobs over a connection of its own, at its share of the plan's rate.
func (env *Environment) pollJobs() {
	client := &http.Client{Transport: &http.Transport{}}
	interval := float64(pollerCount*time.Second) / max(env.plan.PollsPerSecond, 0.1)
	for {
		time.Sleep(time.Duration(interval * (0.5 + rand.Float64())))
		id := env.recentJob()
		if id == "" {
			continue
		}
		url := "http://" + env.plan.API + "/api/jobs/" + id
		req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
		if err != nil {
			env.counts.failed.Add(1)
			continue
		}
		resp, err := client.Do(req)
		if err != nil {
			env.counts.failed.Add(1)
			continue
		}
		drainAndClose(resp)
		env.counts.polls.Add(1)
	}
}

// recentJob returns one of the latest jobs at random, or "" if there is none yet.
func (env *Environment) recentJob() string {
	env.jobIDsMu.Lock()
	defer env.jobIDsMu.Unlock()
	n := len(env.jobIDs)
	if n == 0 {
		return ""
	}
	return env.jobIDs[max(0, n-1-rand.IntN(recentJobCount))]
}

// cloudHandler is a cloud with one machine type, of which it has no capacity.
func cloudHandler(typ api.MachineType) http.Handler {
	mux := http.NewServeMux()
	respond := func(pattern string, status int, body any) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, status, body) })
	}
	respond("GET /flavors", http.StatusOK, map[string]any{"Frames": []api.MachineType{typ}})
	respond("GET /machines", http.StatusOK, map[string]any{"Hosts": []any{}, "Truncated": false})
	respond("POST /machines", http.StatusServiceUnavailable, map[string]string{"error": "no capacity"})
	respond("POST /machines/return", http.StatusOK, map[string]any{})
	return mux
}

// writeJSON writes a response. An error of the connection is the client's to notice.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
