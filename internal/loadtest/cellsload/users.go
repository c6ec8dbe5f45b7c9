package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/loadtest"
)

const (
	requestTimeout = 3 * time.Second
	submitTimeout  = time.Minute
	pollTimeout    = 8 * time.Minute
	jobDeadline    = 2 * time.Minute
)

// userJob is a job and what its user has observed of it.
type userJob struct {
	id        string
	home      *cell
	submitted time.Time
	accepted  bool
	// finalPhases lists the first final phase that polls returned and every change after it.
	finalPhases []string
	// lost is set if a controller reported that the job does not exist.
	lost    bool
	endedAt time.Time
}

// submitJobs submits jobs to all cells at random intervals, at the high rate to one cell at a time
// and at the low rate to the others. The cell under high load changes after each phase.
func (tb *testbed) submitJobs(c *cli) {
	start := time.Now()
	next := make([]time.Time, len(tb.cells))
	for n := 0; time.Since(start) < c.Load; {
		highLoadCell := int(time.Since(start)/c.Phase) % len(tb.cells)
		for i, cell := range tb.cells {
			rate := c.Low
			if i == highLoadCell {
				rate = c.High
			}
			if time.Now().Before(next[i]) || rate <= 0 {
				continue
			}
			next[i] = time.Now().Add(time.Duration(float64(time.Second) / rate * (0.5 + rand.Float64())))
			n++
			j := &userJob{id: fmt.Sprintf("job-%06d", n), home: cell, submitted: time.Now()}
			tb.mu.Lock()
			tb.jobs = append(tb.jobs, j)
			tb.mu.Unlock()
			tb.ledger.setHome(j.id, cell)
			tb.users.Add(1)
			go tb.runUser(j)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// runUser submits a job and polls it until it has ended, is lost, or pollTimeout has passed.
func (tb *testbed) runUser(j *userJob) {
	defer tb.users.Done()
	tb.waitingUsers.Add(1)
	defer tb.waitingUsers.Add(-1)
	client := &http.Client{Timeout: requestTimeout}
	if !j.submit(client) {
		return
	}
	deadline := time.Now().Add(pollTimeout)
	for time.Now().Before(deadline) && len(j.finalPhases) == 0 && !j.lost {
		time.Sleep(time.Duration(1500+rand.IntN(1000)) * time.Millisecond)
		j.poll(client, rand.IntN(controllersPerCell))
	}
}

// submit sends the job to one controller of its home cell after another until one accepts it. It
// reports whether the job was accepted within submitTimeout.
func (j *userJob) submit(client *http.Client) bool {
	submission := loadtest.Submission{
		ID:       j.id,
		Team:     []string{"red", "blue"}[rand.IntN(2)],
		Tasks:    tasksPerJob,
		TaskCPUs: taskCPUs,
		Image:    "img-1",
		ImageGB:  0.1,
		Estimate: taskDuration,
		Deadline: jobDeadline,
	}
	body := submission.Body()
	for node := rand.IntN(controllersPerCell); !j.accepted; node++ {
		addr := j.home.nodes[node%controllersPerCell].apiAddr
		resp, err := post(client, "http://"+addr+"/api/jobs", body)
		if err == nil {
			j.accepted = resp.StatusCode == http.StatusCreated || resp.StatusCode == http.StatusOK
			closeQuietly(resp.Body)
		}
		if !j.accepted {
			time.Sleep(time.Second)
		}
		if time.Since(j.submitted) > submitTimeout {
			return false
		}
	}
	return true
}

// poll queries the job's state at one controller and records what it returns.
func (j *userJob) poll(client *http.Client, node int) {
	resp, err := get(client, "http://"+j.home.nodes[node].apiAddr+"/api/jobs/"+j.id)
	if err != nil {
		return
	}
	defer closeQuietly(resp.Body)
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return
	}
	if resp.StatusCode == http.StatusNotFound {
		j.lost = true
		return
	}
	var state api.JobState
	if resp.StatusCode != http.StatusOK || json.Unmarshal(raw, &state) != nil {
		return
	}
	recorded := len(j.finalPhases)
	switch {
	case recorded == 0 && state.Final():
		j.endedAt = time.Now()
		j.finalPhases = append(j.finalPhases, state.Phase)
	case recorded > 0 && j.finalPhases[recorded-1] != state.Phase:
		j.finalPhases = append(j.finalPhases, state.Phase)
	}
}

// awaitResults waits until all users have finished and then polls each accepted job once more at each
// controller. It returns early after the timeout.
func (tb *testbed) awaitResults(timeout time.Duration) {
	done := make(chan struct{})
	go func() { tb.users.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(timeout):
		return
	}
	client := &http.Client{Timeout: requestTimeout}
	for _, j := range tb.jobs {
		if j.accepted {
			for node := range controllersPerCell {
				j.poll(client, node)
			}
		}
	}
}
