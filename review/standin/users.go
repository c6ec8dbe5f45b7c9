package main

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// job is a submission, as a user sends it.
type job struct {
	NameID                             string `json:"NameId"`
	Jobclass, Owner, Shape, Precedence string
	Shoots                             int
	Cores, Cards, MemoryGb             float64
	Rootstock                          string
	PullGb                             float64
	Frames                             []string
	Bed                                *string
	SamePlace, Scatter, Windfall       bool
	ExpectS, GraftS, PressS            float64
	DueS                               *float64

	// vary is by how much the run times of the tasks differ from ExpectS, up and down.
	vary float64
}

// runTime returns the run time of a task.
func (j *job) runTime() time.Duration {
	return seconds(j.ExpectS * (1 - j.vary + 2*j.vary*rand.Float64()))
}

// newJob returns a job of a class and team, with tasks of some CPUs that run for a time.
func newJob(id, class, owner string, tasks int, cores, memory, run float64) *job {
	return &job{
		NameID: id, Jobclass: class, Owner: owner, Shape: "array", Precedence: "standard", Shoots: tasks,
		Cores: cores, MemoryGb: memory, Rootstock: "img-" + class, PullGb: 0.5, Windfall: true, ExpectS: run,
	}
}

// jobState is a job's state as a user sees it.
type jobState struct {
	NameID        string `json:"NameId"`
	Phase         string
	Done, Running int
}

// ask sends a user's request to a node. A state of "" means that there is no usable answer.
func (w *world) ask(node int, path string, body []byte, limit time.Duration) (int, jobState) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	status, raw := post(ctx, w.users, "http://"+w.nodes[node].api+path, body)
	var state jobState
	_ = json.Unmarshal(raw, &state) // an error has no state
	return status, state
}

// submit submits a job until it is accepted, for up to 60 s, at one node after the other.
func (w *world) submit(j *job) bool {
	body, err := json.Marshal(j)
	if err != nil {
		w.broken("submission: %v", err)
		return false
	}
	w.mu.Lock()
	w.jobs[j.NameID] = j
	w.mu.Unlock()
	for i := range 60 {
		node := i % len(w.nodes)
		status, state := w.ask(node, "/api/jobs", body, 5*time.Second)
		w.rec.add("user: submits %s at %s: %d %s", j.NameID, w.nodes[node].name, status, state.Phase)
		if status == http.StatusCreated || status == http.StatusOK {
			return true
		}
		if !w.sleep(time.Second) {
			break
		}
	}
	w.broken("%s was not accepted", j.NameID)
	return false
}

// poll asks for a job at a node.
func (w *world) poll(node int, id string) jobState {
	status, state := w.ask(node, "/api/jobs/"+id, nil, 2*time.Second)
	w.rec.add("user: asks %s for %s: %d %s, %d done, %d running",
		w.nodes[node].name, id, status, state.Phase, state.Done, state.Running)
	return state
}

// abort cancels a job at a node, and returns when the user was told, or the zero time.
func (w *world) abort(node int, id string) time.Time {
	status, state := w.ask(node, "/api/jobs/"+id+"/abort", []byte("{}"), 5*time.Second)
	told := time.Now()
	w.rec.add("user: cancels %s at %s: %d %s", id, w.nodes[node].name, status, state.Phase)
	if status != http.StatusOK || state.Phase != "withdrawn" {
		return time.Time{}
	}
	return told
}

// jobOf returns the job of a task, or nil.
func (w *world) jobOf(ref string) *job {
	id, _, _ := strings.Cut(ref, "/")
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.jobs[id]
}
