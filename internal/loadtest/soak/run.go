package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"
)

// options are those of a run.
type options struct {
	seed uint64
	// binary is the controller's program.
	binary string
	// faults is how long faults begin, workers the number of machines at the start, and users how many
	// jobs there are at a time.
	faults  time.Duration
	workers int
	users   int
	// only restricts the kinds of faults, if set.
	only []string
}

// result is the outcome of a run.
type result struct {
	options
	started    time.Time
	took       time.Duration
	faults     []*fault
	operations map[string]int
	violations []violation
	// late counts the late transactions that the store applied, copies the messages that links delivered
	// once more, and runs the tasks that were started.
	late, copies, runs, jobsDone int
	unexpectedExits              int64
	// failure says why the run is worth nothing, or is "".
	failure string
	// logs is the directory with the logs and settings of the controllers.
	logs string
}

// Times of a run.
const (
	startTimeout = 30 * time.Second
	// warmUp is how long users act before the first fault.
	warmUp = 3 * time.Second
	// calm is how long users go on to submit jobs after the last fault.
	calm = 4 * time.Second
	// endLimit is how long after the troubles all jobs may take.
	endLimit      = 4 * time.Minute
	endPoll       = 200 * time.Millisecond
	requestLeeway = 6 * time.Second
)

// run plays the run of a seed and checks its history.
func run(o options) (*result, error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return nil, err
	}
	st, err := newSite(o, dir)
	if err != nil {
		return nil, err
	}
	defer st.close()
	faults, err := scheduleFaults(st.info, o)
	if err != nil {
		return nil, err
	}
	r := &result{options: o, started: time.Now(), faults: faults, logs: dir}
	for _, n := range st.nodes {
		if err := n.process.Start(o.binary); err != nil {
			return nil, err
		}
	}
	if err := st.awaitReady(); err != nil {
		return nil, fmt.Errorf("seed %d: %w; logs in %s", o.seed, err, dir)
	}
	st.users.start(o.users)
	time.Sleep(warmUp)
	st.injectFaults(r.faults)
	st.history.troublesEnded = time.Now()
	time.Sleep(calm)
	close(st.users.stop)
	for st.users.pendingJobs() > 0 && time.Since(st.history.troublesEnded) < endLimit {
		time.Sleep(endPoll)
	}
	st.users.askEverywhere(notAnsweredLimit + requestLeeway)
	close(st.done)
	st.users.wait.Wait()
	st.collect(r)
	return r, nil
}

// awaitReady waits until all controllers are ready and one leads.
func (st *site) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for begin := time.Now(); time.Since(begin) < startTimeout; time.Sleep(endPoll) {
		ready := 0
		for _, n := range st.nodes {
			if isReady(client, n.apiAddr) {
				ready++
			}
		}
		if ready == nodeCount && st.store.leader() != "" {
			return nil
		}
	}
	return errors.New("controllers not ready")
}

func isReady(client *http.Client, addr string) bool {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+addr+"/ready", nil)
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	closeQuietly(resp.Body)
	return resp.StatusCode == http.StatusOK
}

// collect checks the history and fills in the result. Controllers and machines must not act any more.
func (st *site) collect(r *result) {
	for _, n := range st.nodes {
		n.process.Resume()
		n.process.Kill()
		r.unexpectedExits += n.process.UnexpectedExits()
	}
	h := st.history
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = time.Now()
	r.took = h.ended.Sub(r.started)
	r.violations = check(st.info, h)
	r.operations = map[string]int{}
	for _, a := range h.answers {
		r.operations[fmt.Sprintf("%s %d", a.operation, a.status)]++
	}
	done := map[string]bool{}
	for _, a := range h.answers {
		if a.isState() && a.phase == phaseDone {
			done[a.job] = true
		}
	}
	r.runs, r.jobsDone = len(h.runs), len(done)
	for _, l := range st.links {
		r.copies += int(l.Copies())
	}
	st.store.mu.Lock()
	r.late = st.store.lateApplied
	st.store.mu.Unlock()
	switch missed := unstruck(r.faults); {
	case len(r.faults) == 0 || len(missed) == len(r.faults):
		r.failure = "no fault struck"
	case len(missed) > 0:
		r.failure = "faults that affected nothing: " + strings.Join(missed, "; ")
	case r.unexpectedExits > 0:
		r.failure = "a controller exited by itself"
	}
}

// failed reports whether the run found a violation or was worth nothing.
func (r *result) failed() bool { return len(r.violations) > 0 || r.failure != "" }

// String lists the seed, the faults with their times, the operations and the verdict.
func (r *result) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "seed %d: %d workers, %d users, %.0f s; %d jobs done, %d starts, "+
		"%d late transactions, %d copies of messages\n",
		r.seed, r.workers, r.users, r.took.Seconds(), r.jobsDone, r.runs, r.late, r.copies)
	fmt.Fprintf(&text, "%s\n", describeFaults(r.faults, r.started))
	fmt.Fprintf(&text, "  operations, by status:")
	for _, name := range slices.Sorted(maps.Keys(r.operations)) {
		fmt.Fprintf(&text, " %s: %d;", name, r.operations[name])
	}
	fmt.Fprintf(&text, "\n  verdict: violations:%s\n", summarize(r.violations))
	const mostListed = 20
	for i, v := range r.violations {
		if i == mostListed {
			fmt.Fprintf(&text, "  and %d more\n", len(r.violations)-mostListed)
			break
		}
		fmt.Fprintf(&text, "  %s\n", v)
	}
	if r.failure != "" {
		fmt.Fprintf(&text, "  failed: %s\n", r.failure)
	}
	if r.failed() {
		fmt.Fprintf(&text, "  settings and logs are in %s\n", r.logs)
	}
	return strings.TrimSuffix(text.String(), "\n")
}

// discardLog returns a logger of which nothing is kept.
func discardLog() *log.Logger { return log.New(io.Discard, "", 0) }

// closeQuietly closes a resource that is no longer used and ignores the error, which has no effect.
func closeQuietly(c io.Closer) { _ = c.Close() }
