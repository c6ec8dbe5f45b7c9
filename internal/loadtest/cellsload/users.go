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

// userJob is a job as its user knows it.
type userJob struct {
	id        string
	home      *cell
	submitted time.Time
	accepted  bool
	// finalPhases are the final states that polls returned, without repetitions in a row.
	finalPhases []string
	// lost is set if a poll returned that there is no such job.
	lost    bool
	endedAt time.Time
}

// submitJobs crowds on one cell after the other, for a phase each.
func (tb *testbed) submitJobs(c *cli) {
	began := time.Now()
	next := make([]time.Time, len(tb.cells))
	for n := 0; time.Since(began) < c.Load; {
		crowded := int(time.Since(began)/c.Phase) % len(tb.cells)
		for i, cell := range tb.cells {
			rate := c.Low
			if i == crowded {
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

// runUser submits a job and polls it until it has ended.
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

// submit submits the job to one controller after the other until one accepts it. It reports
// false if that takes too long.
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

// poll queries the job at one controller.
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
	polled := len(j.finalPhases)
	switch {
	case polled == 0 && state.Final():
		j.endedAt = time.Now()
		j.finalPhases = append(j.finalPhases, state.Phase)
	case polled > 0 && j.finalPhases[polled-1] != state.Phase:
		j.finalPhases = append(j.finalPhases, state.Phase)
	}
}

// awaitResults waits until all users have their results, and polls each job once more at
// each controller.
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
