package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"example.org/ivytrestle/internal/api"
)

// userJob is a job as its user knows it.
type userJob struct {
	id        string
	home      *cell
	submitted time.Time
	accepted  bool
	// finalPhases are the final states that the user was told, one after the other, and lost
	// is set if he was told that there is no such job.
	finalPhases []string
	lost        bool
	endedAt     time.Time
}

// submitJobs crowds on one cell after the other, for so long each.
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
			tb.ledger.mu.Lock()
			tb.ledger.homeCells[j.id] = cell
			tb.ledger.mu.Unlock()
			tb.users.Add(1)
			go tb.runUser(j)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// runUser submits a job, and asks for it until it is over.
func (tb *testbed) runUser(j *userJob) {
	defer tb.users.Done()
	tb.waitingUsers.Add(1)
	defer tb.waitingUsers.Add(-1)
	client := &http.Client{Timeout: 3 * time.Second}
	body, err := json.Marshal(map[string]any{"NameId": j.id, "Jobclass": "c", "Owner": []string{"red", "blue"}[rand.IntN(2)], "Shape": "array", "Precedence": "standard",
		"Shoots": tasksPerJob, "Cores": float64(taskCPUs), "Cards": 0.0, "MemoryGb": 1.0, "Rootstock": "img-1", "PullGb": 0.1,
		"SamePlace": false, "Scatter": false, "Windfall": true, "ExpectS": taskDuration.Seconds(), "GraftS": 0.0, "PressS": 0.0, "DueS": 120.0})
	if err != nil {
		panic(err) // plain values
	}
	for at := rand.IntN(controllersPerCell); !j.accepted; at++ {
		resp, err := client.Post("http://"+j.home.nodes[at%controllersPerCell].apiAddr+"/api/jobs", "application/json", bytes.NewReader(body))
		if err == nil {
			j.accepted = resp.StatusCode == http.StatusCreated || resp.StatusCode == http.StatusOK
			resp.Body.Close()
		}
		if !j.accepted {
			time.Sleep(time.Second)
		}
		if time.Since(j.submitted) > time.Minute {
			return
		}
	}
	for until := time.Now().Add(8 * time.Minute); time.Now().Before(until) && len(j.finalPhases) == 0 && !j.lost; {
		time.Sleep(time.Duration(1500+rand.IntN(1000)) * time.Millisecond)
		tb.poll(client, j, rand.IntN(controllersPerCell))
	}
}

// poll asks one controller for a job.
func (tb *testbed) poll(client *http.Client, j *userJob, node int) {
	resp, err := client.Get("http://" + j.home.nodes[node].apiAddr + "/api/jobs/" + j.id)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	var st api.JobState
	switch {
	case err != nil:
	case resp.StatusCode == http.StatusNotFound:
		j.lost = true
	case resp.StatusCode != http.StatusOK || json.Unmarshal(raw, &st) != nil:
	case st.Final() || len(j.finalPhases) > 0:
		if len(j.finalPhases) == 0 {
			j.endedAt = time.Now()
		}
		if len(j.finalPhases) == 0 || j.finalPhases[len(j.finalPhases)-1] != st.Phase {
			j.finalPhases = append(j.finalPhases, st.Phase)
		}
	}
}

// awaitResults waits until all users have their answers, and asks each controller once more.
func (tb *testbed) awaitResults(most time.Duration) {
	done := make(chan struct{})
	go func() { tb.users.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(most):
		return
	}
	client := &http.Client{Timeout: 3 * time.Second}
	for _, j := range tb.jobs {
		if j.accepted {
			for node := range controllersPerCell {
				tb.poll(client, j, node)
			}
		}
	}
}

// result is what was counted.
type result struct {
	seed                                                       uint64
	duration                                                   time.Duration
	jobs, notAccepted, ranElsewhere                            int
	loans, reclaimed                                           int
	startedTwice, doneTwice, lost, withoutFinal, withTwoFinals int
	kills, cuts                                                int
	wait50, wait95, wait99                                     time.Duration
	done50, done95                                             time.Duration
	idleShare                                                  float64
	unexpectedExits                                            int64
}

// hasViolations tells whether anything happened that must not.
func (r *result) hasViolations() bool {
	return r.startedTwice+r.doneTwice+r.lost+r.withoutFinal+r.withTwoFinals > 0 || r.unexpectedExits > 0
}

func (r *result) String() string {
	return fmt.Sprintf("seed %d: %d jobs in %.0f s (%d not accepted), %d ran in another cell, %d loans, %d taken back, %d kills, %d cuts; "+
		"wrong: %d tasks on two machines, %d done twice, %d jobs lost, %d without and %d with two final answers, %d controllers ended by themselves; "+
		"first start after %.1f s (median), %.1f s (95%%), %.1f s (99%%); done after %.1f s, %.1f s (95%%); idle while jobs waited %.0f%%",
		r.seed, r.jobs, r.duration.Seconds(), r.notAccepted, r.ranElsewhere, r.loans, r.reclaimed, r.kills, r.cuts,
		r.startedTwice, r.doneTwice, r.lost, r.withoutFinal, r.withTwoFinals, r.unexpectedExits,
		r.wait50.Seconds(), r.wait95.Seconds(), r.wait99.Seconds(), r.done50.Seconds(), r.done95.Seconds(), 100*r.idleShare)
}

func (tb *testbed) result(seed uint64, took time.Duration) *result {
	l := tb.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &result{seed: seed, duration: took, jobs: len(tb.jobs), ranElsewhere: len(l.ranElsewhere), startedTwice: l.startedTwice, doneTwice: l.doneTwice, kills: tb.kills, cuts: tb.cuts, idleShare: tb.idleSum / max(1, tb.idleSamples)}
	var waits, overs []time.Duration
	for _, j := range tb.jobs {
		switch {
		case !j.accepted:
			r.notAccepted++
			continue
		case j.lost:
			r.lost++
		case len(j.finalPhases) == 0:
			r.withoutFinal++
		case len(j.finalPhases) > 1:
			r.withTwoFinals++
		}
		if begun := l.jobStarts[j.id]; !begun.IsZero() {
			waits = append(waits, begun.Sub(j.submitted))
		}
		if !j.endedAt.IsZero() {
			overs = append(overs, j.endedAt.Sub(j.submitted))
		}
	}
	r.wait50, r.wait95, r.wait99 = quantile(waits, 0.5), quantile(waits, 0.95), quantile(waits, 0.99)
	r.done50, r.done95 = quantile(overs, 0.5), quantile(overs, 0.95)
	r.loans, r.reclaimed = tb.countLogLines("msg=loan job="), tb.countLogLines(`msg="loan taken back"`)
	for _, c := range tb.cells {
		for _, p := range c.nodes {
			r.unexpectedExits += p.unexpectedExits.Load()
		}
	}
	for _, p := range l.problems {
		fmt.Println(p)
	}
	return r
}

func quantile(all []time.Duration, q float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[min(len(all)-1, int(q*float64(len(all))))]
}

// countLogLines counts the lines of all controllers' logs that hold a text.
func (tb *testbed) countLogLines(text string) (count int) {
	for _, c := range tb.cells {
		for _, p := range c.nodes {
			raw, err := os.ReadFile(p.logPath)
			if err != nil {
				continue
			}
			count += strings.Count(string(raw), text)
		}
	}
	return count
}
