// Package loadtest simulates the environment of a controller in real time, in a process separate
// from the controller: a key-value store, a cloud, machines whose worker agents send heartbeats and
// run tasks, and users. It serves to measure and profile the CPU time and memory of a whole
// controller, and to try a controller on a single computer. It is not a test: it does not check
// that the controller behaves correctly.
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
	// pollerCount is the number of users that poll concurrently.
	pollerCount = 16
	// recentJobCount is the number of most recently submitted jobs that users poll.
	recentJobCount = 40
	// imageCount is the number of container images, which successive jobs use in rotation.
	imageCount = 5
)

// Plan describes the load that the environment puts on a controller.
type Plan struct {
	// API is the address at which the controller serves users and machines.
	API               string
	Machines          int
	CPUs              float64
	HeartbeatInterval time.Duration
	// JobInterval is the time between two job submissions.
	JobInterval time.Duration
	// Tasks is the number of tasks of each job.
	Tasks int
	// TaskDuration is the mean run time of a task.
	TaskDuration time.Duration
	// PollsPerSecond is the total rate of job status queries of all users.
	PollsPerSecond float64
	// CopyDelays are the times after which a copy of each applied command batch reaches its machine
	// again, as a network may deliver it.
	CopyDelays []time.Duration
}

// Counts holds the number of events since the environment was created. Failed counts failed
// requests, and machines that could not be started. Copies are the late copies of command batches,
// CopiesRejected those that the machines rejected, and StartedAgain the attempts that started more
// than once.
type Counts struct {
	Heartbeats, Started, Done, Jobs, Polls, Failed int64
	Copies, CopiesRejected, StartedAgain           int64
}

// Environment simulates the services, machines and users around a controller.
type Environment struct {
	// KVAddr and CloudAddr are the addresses of the simulated key-value store and cloud API.
	KVAddr, CloudAddr string

	plan     Plan
	counts   eventCounts
	jobIDsMu sync.Mutex
	jobIDs   []string
}

// eventCounts are the counts that are updated as the events happen.
type eventCounts struct {
	heartbeats, started, done, jobs, polls, failed atomic.Int64
	copies, copiesRejected, startedAgain           atomic.Int64
}

// New starts the key-value store and a cloud without capacity on the loopback interface.
func New(machineType api.MachineType) (*Environment, error) {
	env := &Environment{}
	var err error
	if env.KVAddr, err = serve(KVHandler(kvtest.New())); err != nil {
		return nil, err
	}
	env.CloudAddr, err = serve(cloudHandler(machineType))
	return env, err
}

// serve serves HTTP on a free loopback port until the process exits, and returns the address.
func serve(handler http.Handler) (string, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, handler) }() // the listener is never closed
	return listener.Addr().String(), nil
}

// Start starts machines and users that send requests to a controller until the process exits.
func (env *Environment) Start(plan Plan) {
	env.plan = plan
	for i := range plan.Machines {
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

// Counts returns the current counts.
func (env *Environment) Counts() Counts {
	c := &env.counts
	return Counts{
		Heartbeats: c.heartbeats.Load(),
		Started:    c.started.Load(),
		Done:       c.done.Load(),
		Jobs:       c.jobs.Load(),
		Polls:      c.polls.Load(),
		Failed:     c.failed.Load(),

		Copies:         c.copies.Load(),
		CopiesRejected: c.copiesRejected.Load(),
		StartedAgain:   c.startedAgain.Load(),
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

// drainAndClose reads the rest of a response body and closes it, so that the connection can be
// reused. Errors are ignored: if the connection has failed, the next request reports it.
func drainAndClose(resp *http.Response) {
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}

// pollJobs polls recent jobs over a separate connection, at this poller's share of the plan's rate.
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

// recentJob returns the ID of a random recent job, or "" if no job has been submitted yet.
func (env *Environment) recentJob() string {
	env.jobIDsMu.Lock()
	defer env.jobIDsMu.Unlock()
	n := len(env.jobIDs)
	if n == 0 {
		return ""
	}
	return env.jobIDs[max(0, n-1-rand.IntN(recentJobCount))]
}

// cloudHandler serves the API of a cloud that offers one machine type but has no capacity for it.
func cloudHandler(machineType api.MachineType) http.Handler {
	mux := http.NewServeMux()
	respond := func(pattern string, status int, body any) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, status, body) })
	}
	respond("GET /flavors", http.StatusOK, map[string]any{"Frames": []api.MachineType{machineType}})
	respond("GET /machines", http.StatusOK, map[string]any{"Hosts": []any{}, "Truncated": false})
	respond("POST /machines", http.StatusServiceUnavailable, map[string]string{"error": "no capacity"})
	respond("POST /machines/return", http.StatusOK, map[string]any{})
	return mux
}

// writeJSON writes a JSON response. A write error is ignored, since the client sees it as well.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
