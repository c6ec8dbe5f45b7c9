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
	// finals are the final states that the user was told, one after the other, and lost
	// is set if he was told that there is no such job.
	finals  []string
	lost    bool
	endedAt time.Time
}

// load crowds on one cell after the other, for so long each.
func (tb *testbed) load(c *cli) {
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
			tb.ledger.home[j.id] = cell
			tb.ledger.mu.Unlock()
			tb.users.Add(1)
			go tb.user(j)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// user submits a job, and asks for it until it is over.
func (tb *testbed) user(j *userJob) {
	defer tb.users.Done()
	tb.waiting.Add(1)
	defer tb.waiting.Add(-1)
	client := &http.Client{Timeout: 3 * time.Second}
	body, err := json.Marshal(map[string]any{"NameId": j.id, "Jobclass": "c", "Owner": []string{"red", "blue"}[rand.IntN(2)], "Shape": "array", "Precedence": "standard",
		"Shoots": jobTasks, "Cores": float64(taskCPUs), "Cards": 0.0, "MemoryGb": 1.0, "Rootstock": "img-1", "PullGb": 0.1,
		"SamePlace": false, "Scatter": false, "Windfall": true, "ExpectS": taskTime.Seconds(), "GraftS": 0.0, "PressS": 0.0, "DueS": 120.0})
	if err != nil {
		panic(err) // plain values
	}
	for at := rand.IntN(controllers); !j.accepted; at++ {
		resp, err := client.Post("http://"+j.home.nodes[at%controllers].api+"/api/jobs", "application/json", bytes.NewReader(body))
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
	for until := time.Now().Add(8 * time.Minute); time.Now().Before(until) && len(j.finals) == 0 && !j.lost; {
		time.Sleep(time.Duration(1500+rand.IntN(1000)) * time.Millisecond)
		tb.ask(client, j, rand.IntN(controllers))
	}
}

// ask asks one controller for a job.
func (tb *testbed) ask(client *http.Client, j *userJob, node int) {
	resp, err := client.Get("http://" + j.home.nodes[node].api + "/api/jobs/" + j.id)
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
	case st.Final() || len(j.finals) > 0:
		if len(j.finals) == 0 {
			j.endedAt = time.Now()
		}
		if len(j.finals) == 0 || j.finals[len(j.finals)-1] != st.Phase {
			j.finals = append(j.finals, st.Phase)
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
			for node := range controllers {
				tb.ask(client, j, node)
			}
		}
	}
}

// result is what was counted.
type result struct {
	seed                                                 uint64
	took                                                 time.Duration
	jobs, refused, unavailable                           int
	lent, reclaimed                                      int
	ranTwice, doneTwice, lost, unanswered, answeredTwice int
	kills, cuts                                          int
	wait50, wait95, wait99                               time.Duration
	over50, over95                                       time.Duration
	idle                                                 float64
	unexpectedExits                                      int64
}

// hasViolations tells whether anything happened that must not.
func (r *result) hasViolations() bool {
	return r.ranTwice+r.doneTwice+r.lost+r.unanswered+r.answeredTwice > 0 || r.unexpectedExits > 0
}

func (r *result) String() string {
	return fmt.Sprintf("seed %d: %d jobs in %.0f s (%d not accepted), %d ran in another cell, %d loans, %d taken back, %d kills, %d cuts; "+
		"wrong: %d tasks on two machines, %d done twice, %d jobs lost, %d without and %d with two final answers, %d controllers ended by themselves; "+
		"first start after %.1f s (median), %.1f s (95%%), %.1f s (99%%); done after %.1f s, %.1f s (95%%); idle while jobs waited %.0f%%",
		r.seed, r.jobs, r.took.Seconds(), r.refused, r.unavailable, r.lent, r.reclaimed, r.kills, r.cuts,
		r.ranTwice, r.doneTwice, r.lost, r.unanswered, r.answeredTwice, r.unexpectedExits,
		r.wait50.Seconds(), r.wait95.Seconds(), r.wait99.Seconds(), r.over50.Seconds(), r.over95.Seconds(), 100*r.idle)
}

func (tb *testbed) result(seed uint64, took time.Duration) *result {
	l := tb.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &result{seed: seed, took: took, jobs: len(tb.jobs), unavailable: len(l.unavailable), ranTwice: l.twice, doneTwice: l.doneTwice, kills: tb.kills, cuts: tb.cuts, idle: tb.idle / max(1, tb.samples)}
	var waits, overs []time.Duration
	for _, j := range tb.jobs {
		switch {
		case !j.accepted:
			r.refused++
			continue
		case j.lost:
			r.lost++
		case len(j.finals) == 0:
			r.unanswered++
		case len(j.finals) > 1:
			r.answeredTwice++
		}
		if begun := l.begun[j.id]; !begun.IsZero() {
			waits = append(waits, begun.Sub(j.submitted))
		}
		if !j.endedAt.IsZero() {
			overs = append(overs, j.endedAt.Sub(j.submitted))
		}
	}
	r.wait50, r.wait95, r.wait99 = quantile(waits, 0.5), quantile(waits, 0.95), quantile(waits, 0.99)
	r.over50, r.over95 = quantile(overs, 0.5), quantile(overs, 0.95)
	r.lent, r.reclaimed = tb.logged("msg=loan job="), tb.logged(`msg="loan taken back"`)
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

// logged counts the lines of all controllers' logs that hold a text.
func (tb *testbed) logged(text string) (count int) {
	for _, c := range tb.cells {
		for _, p := range c.nodes {
			raw, err := os.ReadFile(p.log)
			if err != nil {
				continue
			}
			count += strings.Count(string(raw), text)
		}
	}
	return count
}
