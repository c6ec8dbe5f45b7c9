package controller

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/completion"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/records"
)

// The records of a job show that it has not ended, and not whether any of its tasks runs. A node reports a
// phase to a user only if one of these shows it:
//
//   - The leader, which hears of tasks by the heartbeats of their machines (leaderTerm.jobState).
//   - What the leader has answered to this node within stateLag, or maxPendingAge if no task ran.
//   - The records, if the job waits for another one, or was accepted within stateLag.
//   - A machine that runs a task according to its answer to a probe. A heartbeat to a node that does not
//     lead only names the machine to probe: the heartbeat may be a late copy.
//   - Another node that reaches the leader or a machine.
//   - The leader, asked through the key-value store while this node cannot reach it.
//
// Otherwise the user is to repeat the request. After maxPhaseWait the job is reported as pending, since a
// user who gets no answer for longer takes the job for lost.

const (
	// maxLeaderStates is the number of jobs whose last state according to the leader a node remembers.
	maxLeaderStates = 4096
	// maxPendingAge is for how long the leader's answer that no task of a job runs is repeated to users. A task
	// may begin at any time, and the answer lags already.
	maxPendingAge = time.Second
	// maxPhaseProbes is the maximum number of jobs whose machines are probed at a time.
	maxPhaseProbes = 16
	// phaseProbeTimeout limits a probe of a machine, and a query of the leader on behalf of another node.
	phaseProbeTimeout = 300 * time.Millisecond
	// phaseQueryTimeout limits the queries of other nodes for a phase.
	phaseQueryTimeout = phaseProbeTimeout + 100*time.Millisecond
	// maxPhaseWait is for how long the polls or repeated submissions of a job may fail because its phase is
	// not known. Users poll every 5 s, and count a job as forgotten after 75 s without an answer.
	maxPhaseWait = 40 * time.Second
)

var (
	// errPhaseUnknown means that a job has not ended and nothing shows whether any of its tasks runs.
	errPhaseUnknown = fmt.Errorf("%w: nothing shows whether the job runs", api.ErrUnavailable)
	// errLeaderPhaseUnknown means that the leader has answered so.
	errLeaderPhaseUnknown = fmt.Errorf("%w, not even to the leader", errPhaseUnknown)
	// errStateUnconfirmed means that the leader's answer holds unless the job has ended.
	errStateUnconfirmed = fmt.Errorf("%w: state not confirmed by the records", api.ErrUnavailable)
)

// pendingState returns the state of a job of which no task runs.
func pendingState(id string) api.JobState { return api.JobState{ID: id, Phase: api.JobPending} }

// leaderStates holds what the leader has last answered about jobs that had not ended. Methods may be called
// by any goroutine.
type leaderStates struct {
	byJob *lru.Cache[string, leaderState]
}

// leaderState is a job's state when the leader was asked.
type leaderState struct {
	state   api.JobState
	askedAt time.Time
}

func newLeaderStates() leaderStates {
	byJob, err := lru.New[string, leaderState](maxLeaderStates)
	if err != nil {
		panic(err) // lru.New fails only for a size that is not positive
	}
	return leaderStates{byJob}
}

// add adds the leader's answer to a query that was sent at askedAt.
func (s leaderStates) add(state api.JobState, askedAt time.Time) {
	state.DependsOn = nil // may list thousands of jobs
	s.byJob.Add(state.ID, leaderState{state, askedAt})
}

// recent returns the leader's last answer about a job, if the leader was asked within stateLag, or within
// maxPendingAge if no task of the job ran.
func (s leaderStates) recent(id string) (api.JobState, bool) {
	last, ok := s.byJob.Peek(id)
	maxAge := stateLag
	if last.state.Phase == api.JobPending {
		maxAge = maxPendingAge
	}
	return last.state, ok && time.Since(last.askedAt) <= maxAge
}

// recordedState returns a job's state as shown by its records and, if it has not ended, by what this node
// and others know about its tasks.
func (c *Controller) recordedState(
	ctx context.Context, id string, reply pollReply, failingSince time.Time,
) (api.JobState, error) {
	record, err := c.lookup(ctx, id, failingSince)
	switch {
	case err != nil:
		return api.JobState{}, err
	case record.Status == records.Ended:
		return record.Final, nil
	}
	return c.activeState(ctx, record, reply)
}

// activeState returns the state of a job that has not ended, or errPhaseUnknown.
func (c *Controller) activeState(
	ctx context.Context, record records.JobRecord, reply pollReply,
) (api.JobState, error) {
	if reply.whileActive != nil {
		return *reply.whileActive, nil
	}
	if state, ok := c.leaderStates.recent(record.ID); ok {
		return state, nil
	}
	if record.Status == records.Waiting || c.wasAcceptedLately(record.Accepted) {
		return pendingState(record.ID), nil
	}
	if state, err := c.phaseFromMachines(ctx, record.ID, reply.addrs); err == nil {
		return state, nil
	}
	state, err := c.phaseFromNodes(ctx, record.ID, reply.otherNodes)
	if err != nil && reply.mayAskThroughStore {
		return c.phaseThroughStore(ctx, record.ID)
	}
	return state, err
}

// wasAcceptedLately reports whether a job was accepted within stateLag, by the clock of any node.
func (c *Controller) wasAcceptedLately(accepted time.Time) bool {
	clockOffset := config.Duration(2 * c.Settings.Site.ClockOffsetMs / 1000) // between two nodes
	return time.Since(accepted) < stateLag-clockOffset
}

// phaseFromMachines probes machines that have lately shown tasks of a job. If any of them runs one, the job
// is running, else the error is errPhaseUnknown.
func (c *Controller) phaseFromMachines(ctx context.Context, id string, addrs []string) (api.JobState, error) {
	if len(addrs) == 0 || c.Prober == nil {
		return api.JobState{}, errPhaseUnknown
	}
	select {
	case c.phaseProbes <- struct{}{}:
		defer func() { <-c.phaseProbes }()
	default:
		return api.JobState{}, errPhaseUnknown
	}
	ctx, cancel := context.WithTimeout(ctx, phaseProbeTimeout)
	defer cancel()
	addrs = addrs[:min(len(addrs), completion.MaxAddrs)]
	running := make([]int, len(addrs))
	var probes sync.WaitGroup
	for i, addr := range addrs {
		probes.Go(func() { running[i] = c.probeRunning(ctx, id, addr) })
	}
	probes.Wait()
	state := api.JobState{ID: id, Phase: api.JobRunning}
	for _, count := range running {
		state.Running += count
	}
	if state.Running == 0 {
		return api.JobState{}, errPhaseUnknown
	}
	return state, nil
}

// probeRunning returns how many tasks of a job run on the machine at an address according to its answer to
// a probe, or 0 if there is none.
func (c *Controller) probeRunning(ctx context.Context, id, addr string) (count int) {
	hb, err := c.Prober.Probe(ctx, addr)
	if err != nil {
		return 0
	}
	c.sendOrDrop(ctx, completionsShownMsg{heartbeat: hb})
	for _, status := range hb.Tasks {
		if strings.HasPrefix(status.Task, id+"/") && cluster.IsRunning(status.Phase) {
			count++
		}
	}
	return count
}

// phaseFromNodes asks other nodes for the phase of a job that has not ended, all at the same time.
func (c *Controller) phaseFromNodes(ctx context.Context, id string, nodes []string) (api.JobState, error) {
	if c.Peers == nil || len(nodes) == 0 {
		return api.JobState{}, errPhaseUnknown
	}
	ctx, cancel := context.WithTimeout(ctx, phaseQueryTimeout)
	defer cancel()
	answers := make(chan JobAnswer, len(nodes))
	for _, node := range nodes {
		go func() {
			answer, err := c.Peers.Job(ctx, node, JobQuery{ID: id, Scope: PhaseScope})
			if err != nil {
				answer = JobAnswer{}
			}
			answers <- answer
		}()
	}
	for range nodes {
		select {
		case answer := <-answers:
			if answer.Certainty == Confirmed {
				return answer.State, nil
			}
		case <-ctx.Done():
			return api.JobState{}, errPhaseUnknown
		}
	}
	return api.JobState{}, errPhaseUnknown
}

// assumePending returns the answer to a request whose job has not ended. If its phase has been unknown to
// all requests since failingSince, for maxPhaseWait, the job is reported as pending.
func (c *Controller) assumePending(id string, failingSince time.Time, err error) (api.JobState, error) {
	if failingSince.IsZero() || time.Since(failingSince) < maxPhaseWait || !errors.Is(err, errPhaseUnknown) {
		return api.JobState{}, err
	}
	c.answers.counts.assumedPhases.Add(1)
	c.Log.Info("job reported as pending although its phase is not known", "job", id, "failingSince", failingSince)
	return pendingState(id), nil
}
