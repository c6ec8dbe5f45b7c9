package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/loadtest"
)

// Status codes and phases that users get.
const (
	statusOK            = http.StatusOK
	statusCreated       = http.StatusCreated
	statusBadRequest    = http.StatusBadRequest
	statusUnschedulable = http.StatusUnprocessableEntity
	statusNotFound      = http.StatusNotFound

	phasePending   = api.JobPending
	phaseRunning   = api.JobRunning
	phaseDone      = api.JobDone
	phaseCancelled = api.JobCancelled
)

// How long users wait for answers and between requests, by the protocol. Polls are more frequent, so
// that a short run has many.
const (
	submitTimeout = 5 * time.Second
	pollTimeout   = 2 * time.Second
	submitRetry   = time.Second
	submitGiveUp  = 60 * time.Second
	pollInterval  = 1200 * time.Millisecond
)

// Shares of what users do besides waiting for their jobs.
const (
	cancelShare  = 0.25
	repeatShare  = 0.12
	invalidShare = 0.08
	unknownShare = 0.05
	endedShare   = 0.1
	// lateCancelShare is the share of jobs that their users cancel once they are done, unless they have been
	// told so.
	lateCancelShare = 0.3
)

// lateCancelDelay is how long after the end of a job such a user cancels it: longer than its state may lag.
const lateCancelDelay = stateLag + 200*time.Millisecond

// users submit jobs, ask about them, repeat and cancel them, at all nodes.
type users struct {
	site   *site
	client *http.Client
	// stop ends the submission of new jobs.
	stop chan struct{}
	wait sync.WaitGroup

	mu      sync.Mutex
	created int
	// ended holds the jobs that have ended, about which users ask later.
	ended []string
	// pending is the number of accepted jobs that have not been called done or cancelled.
	pending int
}

func newUsers(st *site) *users {
	return &users{
		site:   st,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}},
		stop:   make(chan struct{}),
	}
}

// start starts a number of users. Each has one job at a time.
func (u *users) start(count int) {
	for range count {
		u.wait.Go(func() {
			for u.mayContinue(u.site.random.between(0, 2*time.Second)) {
				u.runJob()
			}
		})
	}
}

// mayContinue waits, and reports whether new jobs are to be submitted.
func (u *users) mayContinue(pause time.Duration) bool {
	select {
	case <-u.stop:
		return false
	case <-u.site.done:
		return false
	case <-time.After(pause):
		return true
	}
}

// newJob returns a job with random requirements.
func (u *users) newJob() *jobSpec {
	u.mu.Lock()
	u.created++
	id := fmt.Sprintf("job-%06d", u.created)
	u.mu.Unlock()
	random := u.site.random
	spec := &jobSpec{
		Submission: loadtest.Submission{
			ID:       id,
			Team:     u.site.info.Teams[random.intN(len(u.site.info.Teams))].Name,
			Tasks:    1 + random.intN(6),
			TaskCPUs: float64(1 + random.intN(4)),
			Image:    fmt.Sprint("img-", random.intN(4)),
			ImageGB:  0.1,
			Deadline: 2 * time.Minute,
		},
		duration: random.between(500*time.Millisecond, 6*time.Second),
	}
	spec.Estimate = spec.duration
	switch random.intN(8) {
	case 0:
		spec.Zone = zones[random.intN(len(zones))]
	case 1:
		spec.Types = []string{smallType}
	case 2:
		spec.OneZone = true
	case 3:
		spec.Spread = true
	case 4:
		spec.NoSpot = true
	}
	return spec
}

// runJob submits a job and follows it until it has ended.
func (u *users) runJob() {
	spec := u.newJob()
	u.site.history.addJob(spec)
	if !u.submitUntilAccepted(spec) {
		return
	}
	u.mu.Lock()
	u.pending++
	u.mu.Unlock()
	random := u.site.random
	cancelAfter := -1
	if random.chance(cancelShare) {
		cancelAfter = random.intN(6)
	}
	cancelsLate := random.chance(lateCancelShare)
	for poll := 0; ; poll++ {
		if a := u.ask(opPoll, spec.ID); a.isFinal() {
			break
		}
		isLate := cancelsLate && u.hasBeenDone(spec, lateCancelDelay)
		if (poll == cancelAfter || isLate) && u.cancelUntilConfirmed(spec.ID) {
			u.ask(opPoll, spec.ID)
			break
		}
		u.actAtRandom(spec)
		if !u.site.sleep(random.between(pollInterval/2, 3*pollInterval/2)) {
			return
		}
	}
	u.mu.Lock()
	u.pending--
	u.ended = append(u.ended, spec.ID)
	u.mu.Unlock()
	u.actAtRandom(spec)
}

// hasBeenDone reports whether all tasks of a job completed at least the given time ago.
func (u *users) hasBeenDone(spec *jobSpec, since time.Duration) bool {
	doneAt := u.site.history.doneAt(spec)
	return !doneAt.IsZero() && time.Since(doneAt) >= since
}

// actAtRandom repeats a submission, repeats it with mistakes, or asks about a job that has ended or
// never existed.
func (u *users) actAtRandom(spec *jobSpec) {
	random := u.site.random
	if random.chance(repeatShare) {
		u.send(opRepeat, spec.ID, spec.Body())
	}
	if random.chance(invalidShare) {
		u.send(opMalformed, spec.ID, spec.BodyWith(map[string]any{"Cores": nil}))
	}
	if random.chance(invalidShare) {
		u.send(opOversized, spec.ID, spec.BodyWith(map[string]any{"Cores": 1e6}))
	}
	if random.chance(unknownShare) {
		u.ask(opPoll, fmt.Sprintf("job-9%06d", random.intN(1000)))
	}
	if id := u.endedJob(); id != "" && random.chance(endedShare) {
		u.ask(opPoll, id)
		if random.chance(0.3) {
			u.ask(opCancel, id)
		}
	}
}

// endedJob returns a random job that has ended, or "".
func (u *users) endedJob() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.ended) == 0 {
		return ""
	}
	return u.ended[u.site.random.intN(len(u.ended))]
}

// pendingJobs returns the number of accepted jobs that have not ended as far as their users know.
func (u *users) pendingJobs() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.pending
}

// submitUntilAccepted reports whether the job was accepted.
func (u *users) submitUntilAccepted(spec *jobSpec) bool {
	body := spec.Body()
	for first := time.Now(); time.Since(first) < submitGiveUp; {
		operation := opSubmit
		if a := u.send(operation, spec.ID, body); a.isState() {
			return true
		}
		if !u.site.sleep(submitRetry) {
			return false
		}
	}
	return false
}

// cancelUntilConfirmed reports whether the job is confirmed as cancelled or done.
func (u *users) cancelUntilConfirmed(id string) bool {
	for {
		if a := u.ask(opCancel, id); a.isFinal() {
			return true
		}
		if !u.site.sleep(submitRetry) {
			return false
		}
	}
}

// send sends a submission to a random node.
func (u *users) send(op operation, id string, body []byte) answer {
	return u.request(op, id, u.site.random.intN(nodeCount), body)
}

// ask polls or cancels a job at a random node.
func (u *users) ask(op operation, id string) answer {
	return u.request(op, id, u.site.random.intN(nodeCount), nil)
}

// request sends a request to a node, and records the answer.
func (u *users) request(op operation, id string, index int, body []byte) answer {
	n := u.site.nodes[index]
	method, path, timeout := http.MethodPost, "/api/jobs", submitTimeout
	switch op {
	case opPoll:
		method, path, timeout = http.MethodGet, "/api/jobs/"+id, pollTimeout
	case opCancel:
		path = "/api/jobs/" + id + "/abort"
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	a := answer{operation: op, job: id, node: n.process.Name, sent: time.Now()}
	a.status, a.phase = u.roundTrip(ctx, method, "http://"+n.userLink.Addr+path, body)
	a.received = time.Now()
	u.site.history.addAnswer(a)
	return a
}

// roundTrip returns the status of a response and the phase in it, or status 0 without a response.
func (u *users) roundTrip(ctx context.Context, method, url string, body []byte) (status int, phase string) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		panic(err) // the URL is valid
	}
	resp, err := u.client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer closeQuietly(resp.Body)
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	var state api.JobState
	if resp.StatusCode == statusOK || resp.StatusCode == statusCreated {
		if json.Unmarshal(raw, &state) != nil {
			return 0, ""
		}
	}
	return resp.StatusCode, state.Phase
}

// askEverywhere asks each node about all jobs until it answers or the time is over.
func (u *users) askEverywhere(limit time.Duration) {
	deadline := time.Now().Add(limit)
	var asking sync.WaitGroup
	for index := range nodeCount {
		asking.Go(func() {
			u.mu.Lock()
			ids := append([]string{}, u.ended...)
			u.mu.Unlock()
			for _, id := range ids {
				for !u.request(opPoll, id, index, nil).answersQuestion() && time.Now().Before(deadline) {
					if !u.site.sleep(submitRetry) {
						return
					}
				}
			}
		})
	}
	asking.Wait()
}
