package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"
)

const (
	// electionTime is long enough to elect the first leader.
	electionTime = 8 * time.Second
	// warmUpTime is how long jobs are submitted before the first takeover, so that some are queued.
	warmUpTime = 5 * time.Second
	// rejoinTime is long enough for a restarted controller to rejoin the others.
	rejoinTime = 6 * time.Second

	takeoverTimeout = 2 * time.Minute
)

// measureTakeovers repeatedly ends the leader of one cell under load, and prints the time until a
// machine first gets a response and first starts a task in a later term.
func (c *cli) measureTakeovers() error {
	dir, err := os.MkdirTemp("", "cellsload")
	if err != nil {
		return err
	}
	defer removeQuietly(dir)
	c.Cells, c.Alone, c.High, c.Load, c.Phase = 1, true, 1.2, 24*time.Hour, 24*time.Hour
	tb, err := newTestbed(c, dir)
	if err != nil {
		return err
	}
	defer tb.close()
	time.Sleep(electionTime)
	go tb.submitJobs(c)
	time.Sleep(warmUpTime)
	var responses, starts []time.Duration
	for range c.Takeovers {
		response, start, err := tb.takeover(c)
		if err != nil {
			return err
		}
		fmt.Printf("first response to a machine after %.2f s, first start after %.2f s\n",
			response.Seconds(), start.Seconds())
		responses, starts = append(responses, response), append(starts, start)
	}
	fmt.Printf("%d takeovers: first response after %.2f s (median), %.2f s (longest); "+
		"first start after %.2f s, %.2f s; %d tasks on two machines, %d done twice\n",
		len(responses),
		quantile(responses, 0.5).Seconds(), quantile(responses, 1).Seconds(),
		quantile(starts, 0.5).Seconds(), quantile(starts, 1).Seconds(),
		tb.ledger.startedTwice, tb.ledger.doneTwice)
	return nil
}

// removeQuietly removes a temporary directory and ignores errors, since the system cleans up
// temporary files.
func removeQuietly(dir string) { _ = os.RemoveAll(dir) }

// leader returns the controller whose own status reports a valid leadership, or nil.
func (c *cell) leader() *process {
	client := &http.Client{Timeout: time.Second}
	for _, p := range c.nodes {
		resp, err := get(client, "http://"+p.apiAddr+"/status")
		if err != nil {
			continue
		}
		var status struct {
			Leading *struct {
				ValidS float64 `json:"valid_s"`
			} `json:"leading"`
		}
		err = json.NewDecoder(resp.Body).Decode(&status)
		closeQuietly(resp.Body)
		if err == nil && status.Leading != nil && status.Leading.ValidS > 0 {
			return p
		}
	}
	return nil
}

// takeover ends the leader, waits for the first response and the first task start in a later term,
// and starts the ended controller again. It returns both times since the leader was ended.
func (tb *testbed) takeover(c *cli) (response, start time.Duration, err error) {
	leader := tb.cells[0].leader()
	if leader == nil {
		return 0, 0, errors.New("takeover: no controller reports that it is the leader")
	}
	term, ended := tb.ledger.latestTerm(), time.Now()
	if c.Graceful {
		leader.Stop()
	} else {
		leader.Kill()
	}
	var firstResponse, firstStart time.Time
	for firstStart.IsZero() {
		if time.Since(ended) >= takeoverTimeout {
			return 0, 0, errors.New("takeover: no task was started in a later term before the timeout")
		}
		time.Sleep(5 * time.Millisecond)
		firstResponse, firstStart = tb.ledger.firstAfter(term)
	}
	time.Sleep(max(0, c.Away-time.Since(ended)))
	if err := leader.Start(c.Binary); err != nil {
		return 0, 0, err
	}
	time.Sleep(rejoinTime)
	return firstResponse.Sub(ended), firstStart.Sub(ended), nil
}
