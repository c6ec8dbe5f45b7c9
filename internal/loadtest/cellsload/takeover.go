package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"
)

// measureTakeovers ends the leader of one cell under load, again and again, and tells how
// long it takes until machines are answered and tasks started in the next term.
func (c *cli) measureTakeovers() error {
	dir, err := os.MkdirTemp("", "cellsload")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	c.Cells, c.Alone, c.High, c.Load, c.Phase = 1, true, 1.2, 24*time.Hour, 24*time.Hour
	tb, err := newTestbed(c, dir)
	if err != nil {
		return err
	}
	defer tb.close()
	time.Sleep(8 * time.Second)
	go tb.submitJobs(c)
	time.Sleep(5 * time.Second)
	var answers, starts []time.Duration
	for range c.Takeovers {
		answer, start, err := tb.takeover(c)
		if err != nil {
			return err
		}
		fmt.Printf("first answer to a machine after %.2f s, first start after %.2f s\n", answer.Seconds(), start.Seconds())
		answers, starts = append(answers, answer), append(starts, start)
	}
	fmt.Printf("%d takeovers: first answer after %.2f s (median), %.2f s (longest); first start after %.2f s, %.2f s; %d tasks on two machines, %d done twice\n", len(answers),
		quantile(answers, 0.5).Seconds(), quantile(answers, 1).Seconds(), quantile(starts, 0.5).Seconds(), quantile(starts, 1).Seconds(), tb.ledger.startedTwice, tb.ledger.doneTwice)
	return nil
}

// leader is the controller that leads, by the status of each.
func (c *cell) leader() *process {
	client := &http.Client{Timeout: time.Second}
	for _, p := range c.nodes {
		resp, err := client.Get("http://" + p.apiAddr + "/status")
		if err != nil {
			continue
		}
		var status struct {
			Leading *struct {
				ValidS float64 `json:"valid_s"`
			} `json:"leading"`
		}
		err = json.NewDecoder(resp.Body).Decode(&status)
		resp.Body.Close()
		if err == nil && status.Leading != nil && status.Leading.ValidS > 0 {
			return p
		}
	}
	return nil
}

// takeover ends the leader, and waits for the next one's first answer and start.
func (tb *testbed) takeover(c *cli) (answer, start time.Duration, err error) {
	l := tb.ledger
	leader := tb.cells[0].leader()
	if leader == nil {
		return 0, 0, errors.New("nobody leads")
	}
	term, killed := l.latestTerm(), time.Now()
	if c.Orderly {
		leader.stop()
	} else {
		leader.kill()
	}
	for time.Since(killed) < 2*time.Minute {
		time.Sleep(5 * time.Millisecond)
		l.mu.Lock()
		for t, at := range l.firstResponses {
			if t > term {
				answer = at.Sub(killed)
			}
		}
		for t, at := range l.firstStarts {
			if t > term {
				start = at.Sub(killed)
			}
		}
		l.mu.Unlock()
		if start > 0 {
			break
		}
	}
	if start == 0 {
		return 0, 0, errors.New("nobody took over")
	}
	time.Sleep(max(0, c.Away-time.Since(killed)))
	if err := leader.start(c.Binary); err != nil {
		return 0, 0, err
	}
	time.Sleep(6 * time.Second)
	return answer, start, nil
}
