package controller

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/completion"
	"example.org/ivytrestle/internal/records"
)

// A job whose tasks have all completed must not be cancelled, although its end is not on record yet: the
// leader's write waits, the leader is away and another node has received the heartbeat that shows it, or
// the heartbeat is still on its way. So a node cancels a job only after one of these:
//
//   - The leader has seen a task that had not completed stateLag ago, or no task has ever started.
//   - A machine has answered a probe with a task that has not completed.
//   - Nobody has known of the completion within completionWait: neither the leader, or for a while after
//     its loss (heartbeatRerouteTime) nobody at all, nor the other nodes and the records. In that time the
//     heartbeat of a machine that can reach a node arrives there.
//
// If the job turns out to be finished, its user repeats the request until the leader has recorded the
// end, with the help of the tasks that the query names. Only the leader records it: another leader's
// memory could still hold the job as running, and would report that to users.

const (
	// completionWait is how long a node looks for the completion of a job before it cancels the job. A
	// heartbeat to a node that hangs times out after 4 s and reaches the next one a second later, while
	// the users of a job that is done request its cancellation stateLag after its end or later.
	completionWait = stateLag
	// leaderQueryTimeout limits the first query of the leader, whose answer suffices in most cases.
	leaderQueryTimeout = 600 * time.Millisecond
	// completionQueryTimeout limits every other query of a node or machine.
	completionQueryTimeout = 300 * time.Millisecond
	// minCompletionPause and maxCompletionPause bound the pause between two rounds of queries, which
	// doubles.
	minCompletionPause = 50 * time.Millisecond
	maxCompletionPause = 500 * time.Millisecond
	// agentResponseTimeout and agentRetryDelay are how long a worker agent waits for the response to a
	// heartbeat, and before it tries the next node (PROTOCOL, "Workers -> controller nodes").
	agentResponseTimeout = 4 * time.Second
	agentRetryDelay      = time.Second
	// maxProbedAddrs is the maximum number of machines that one check probes.
	maxProbedAddrs = 8
	// recordsReadMargin is how long after the end of a check its read of completion records may take. The
	// cancellation takes the rest of the time that its user waits.
	recordsReadMargin = 500 * time.Millisecond
	// maxCompletionChecks is the maximum number of concurrent checks that take more than one query. It
	// leaves slots of users' requests to submissions.
	maxCompletionChecks = 32
)

// errEndNotRecorded means that all tasks of a job have completed and its end is yet to be recorded.
var errEndNotRecorded = fmt.Errorf("%w: the job is done, and its end is yet to be recorded", api.ErrUnavailable)

// errCompletionUnknown means that the leader was lost so lately that a machine may not have reached another
// node yet.
var errCompletionUnknown = fmt.Errorf("%w: no leader, and the job may be done", api.ErrUnavailable)

// errRecordsNotRead means that tasks of a job have completed, and those on record could not be read.
var errRecordsNotRead = fmt.Errorf("%w: completed tasks not read", api.ErrUnavailable)

// errTooManyChecks means that maxCompletionChecks checks are in progress.
var errTooManyChecks = fmt.Errorf("%w: too many cancellations in progress", api.ErrUnavailable)

// Cancel implements api.Backend. It writes the cancellation to the store, whichever node leads, unless
// the job is known to be finished.
func (c *Controller) Cancel(ctx context.Context, id string) (api.JobState, error) {
	answer := c.answers.begin(cancelRequest, id)
	state, err := c.cancelUnlessFinished(ctx, id)
	return answer.decide(fromStore, state, err)
}

// cancelUnlessFinished cancels a job and returns its final state. If the job is finished and the end is
// not recorded yet, the error is errEndNotRecorded.
func (c *Controller) cancelUnlessFinished(ctx context.Context, id string) (api.JobState, error) {
	check := completionCheck{controller: c, id: id, deadline: time.Now().Add(completionWait)}
	if err := check.run(ctx); err != nil {
		return api.JobState{}, err
	}
	state, found, err := c.records.Cancel(ctx, id)
	if err == nil && !found {
		err = api.ErrUnknownJob
	}
	if err == nil {
		err = c.publishFinalState(ctx, state)
	}
	return state, err
}

// completionCheck finds out whether a job is finished, for a request to cancel it.
type completionCheck struct {
	controller *Controller
	id         string
	// deadline is when the check ends, completionWait after its begin.
	deadline time.Time
	// job is the job's active record.
	job records.ActiveJob
	// done are the tasks that are known to have completed. finished is set once a node or done has shown
	// that these are all tasks; that never changes again.
	done     completion.Tasks
	finished bool
	// leader is the leader, or "" if this node leads or knows no leader. leaderHeardAt is when this node
	// last led or heard from the leader. leaderAnswered is set if a leader answered in the last round.
	leader         string
	leaderHeardAt  time.Time
	leaderAnswered bool
	// recordsRead is set once done contains the tasks whose completion is recorded.
	recordsRead bool
	// addrs are the addresses of machines to probe.
	addrs []string
}

// run returns nil if the job may be cancelled or its end is recorded. The leader's answer suffices in most
// cases.
func (cc *completionCheck) run(ctx context.Context) error {
	verdict, err := cc.askLeader(ctx)
	if err != nil || verdict == completion.Unfinished || verdict == completion.Ended {
		return err
	}
	select {
	case cc.controller.completionChecks <- struct{}{}:
		defer func() { <-cc.controller.completionChecks }()
	default:
		return errTooManyChecks
	}
	job, found, err := cc.controller.records.ActiveJob(ctx, cc.id)
	switch {
	case err != nil:
		return err
	case !found || !cc.finished && cc.mayCancelAtOnce(job):
		return nil
	}
	cc.job = job
	cc.controller.answers.counts.checkedCancels.Add(1)
	return cc.askInRounds(ctx)
}

// mayCancelAtOnce reports whether a job cannot have been finished for stateLag, or another cell decides.
func (cc *completionCheck) mayCancelAtOnce(job records.ActiveJob) bool {
	return job.OtherCellDecides || cc.controller.wasAcceptedLately(job.Accepted)
}

// askSelf asks this node, which knows nothing after the end of its owner goroutine.
func (cc *completionCheck) askSelf(ctx context.Context) (completionReply, error) {
	reply, err := cc.controller.queryCompletion(ctx, cc.id, cc.done)
	if err != nil && cc.controller.hasEnded() {
		return completionReply{}, nil
	}
	return reply, err
}

// askLeader asks this node and, if that does not lead, the leader.
func (cc *completionCheck) askLeader(ctx context.Context) (completion.Verdict, error) {
	reply, err := cc.askSelf(ctx)
	if err != nil {
		return completion.Unknown, err
	}
	cc.leader, cc.leaderHeardAt = reply.leader, reply.leaderHeardAt
	verdict := cc.add(reply.status)
	if verdict != completion.Unknown || reply.leader == "" || cc.controller.Peers == nil {
		return verdict, nil
	}
	status := cc.askNode(ctx, reply.leader, reply.leader, time.Now().Add(leaderQueryTimeout))
	return cc.add(status), nil
}

// add adds what a node knows, and returns its verdict.
func (cc *completionCheck) add(status CompletionStatus) completion.Verdict {
	cc.done = cc.done.Union(status.Done)
	cc.finished = cc.finished || status.Verdict == completion.Finished
	cc.leaderAnswered = cc.leaderAnswered || status.Leads
	for _, addr := range status.Addrs {
		if !slices.Contains(cc.addrs, addr) && len(cc.addrs) < maxProbedAddrs {
			cc.addrs = append(cc.addrs, addr)
		}
	}
	return status.Verdict
}

// askInRounds asks until the job may be cancelled, its end is recorded, or the deadline has passed.
func (cc *completionCheck) askInRounds(ctx context.Context) error {
	for pause := minCompletionPause; ; pause = min(2*pause, maxCompletionPause) {
		verdict := cc.askRound(ctx)
		remaining := time.Until(cc.deadline)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case verdict == completion.Ended || verdict == completion.Unfinished && !cc.finished:
			return nil
		case remaining <= 0:
			return cc.decideAtDeadline(ctx)
		}
		sleep(ctx, min(pause, remaining))
	}
}

// decideAtDeadline returns nil if the job may be cancelled although nobody has shown that it is unfinished.
// This node keeps the tasks that it knows to have completed: when the request is repeated, those from which
// it knows them may be away.
func (cc *completionCheck) decideAtDeadline(ctx context.Context) error {
	if len(cc.done) > 0 {
		cc.controller.sendOrDrop(ctx, completionsKnownMsg{id: cc.id, tasks: cc.done})
	}
	counts, log := &cc.controller.answers.counts, cc.controller.Log
	isRecent := time.Since(cc.leaderHeardAt) < cc.controller.heartbeatRerouteTime()
	switch {
	case cc.finished:
		counts.finishedCancels.Add(1)
		log.Debug("cancellation waits for the end of a finished job", "job", cc.id)
		return errEndNotRecorded
	case len(cc.done) > 0 && !cc.recordsRead:
		return errRecordsNotRead
	case !cc.leaderAnswered && isRecent && cc.controller.Peers != nil:
		log.Debug("cancellation waits for heartbeats after the loss of the leader", "job", cc.id)
		return errCompletionUnknown
	}
	counts.undecidedCancels.Add(1)
	log.Debug("job cancelled without an answer about its completion", "job", cc.id)
	return nil
}

// heartbeatRerouteTime returns how long after the loss of the leader a machine that can reach another node
// may take to send it a heartbeat.
func (c *Controller) heartbeatRerouteTime() time.Duration {
	return c.Settings.Site.Workers.HeartbeatInterval()*5/4 + agentResponseTimeout + agentRetryDelay
}

// askRound asks the other nodes, this node, the records and one machine.
func (cc *completionCheck) askRound(ctx context.Context) completion.Verdict {
	cc.leaderAnswered = false
	verdicts := cc.askNodes(ctx)
	reply, err := cc.askSelf(ctx)
	if err != nil {
		return completion.Unknown
	}
	verdicts = append(verdicts, cc.add(reply.status))
	cc.leader, cc.leaderHeardAt = reply.leader, reply.leaderHeardAt
	cc.addRecorded(ctx)
	switch {
	case slices.Contains(verdicts, completion.Ended):
		return completion.Ended
	case cc.finished:
		return completion.Finished
	case slices.Contains(verdicts, completion.Unfinished):
		return completion.Unfinished
	}
	return cc.probeMachine(ctx)
}

// askNodes asks all other nodes at the same time.
func (cc *completionCheck) askNodes(ctx context.Context) []completion.Verdict {
	if cc.controller.Peers == nil {
		return nil
	}
	peers := cc.controller.Settings.Peers
	statuses := make([]CompletionStatus, len(peers))
	timeout := cc.queryDeadline()
	var queries sync.WaitGroup
	for i, peer := range peers {
		queries.Go(func() { statuses[i] = cc.askNode(ctx, peer.Node, cc.leader, timeout) })
	}
	queries.Wait()
	verdicts := make([]completion.Verdict, 0, len(peers)+1)
	for _, status := range statuses {
		verdicts = append(verdicts, cc.add(status))
	}
	return verdicts
}

// queryDeadline returns the deadline of a query that is sent now.
func (cc *completionCheck) queryDeadline() time.Time {
	deadline := time.Now().Add(completionQueryTimeout)
	if cc.deadline.Before(deadline) {
		return cc.deadline
	}
	return deadline
}

// askNode asks another node. If it does not answer by the deadline, its status is that of a node which
// knows nothing. The version in production does not support the query; if such a node leads, its answer
// to a poll is used, if it has one.
func (cc *completionCheck) askNode(ctx context.Context, node, leader string, deadline time.Time) CompletionStatus {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	peers := cc.controller.Peers
	status, err := peers.Completion(ctx, node, cc.id, cc.done)
	if errors.Is(err, ErrUnsupported) && node == leader {
		var answer JobAnswer
		if answer, err = peers.Job(ctx, node, JobQuery{ID: cc.id}); err == nil {
			return cc.statusFromState(answer.State)
		}
		status.Leads = true
	}
	if err != nil {
		cc.controller.Log.Debug("asking for completed tasks failed", "node", node, "job", cc.id, "err", err)
	}
	return status
}

// statusFromState returns what a job's state, as a leader of the version in production has it, shows.
func (cc *completionCheck) statusFromState(state api.JobState) CompletionStatus {
	status := CompletionStatus{Leads: true}
	switch {
	case state.Running > 0 || state.DerivedCancel:
		status.Verdict = completion.Unfinished
	case state.Final():
		status.Verdict = completion.Ended
	case cc.job.Tasks > 0 && state.Done == cc.job.Tasks:
		status.Verdict = completion.Finished
	}
	return status
}

// addRecorded adds the tasks whose completion is recorded, if a node knows of others. They are read once.
func (cc *completionCheck) addRecorded(ctx context.Context) {
	if len(cc.done) > 0 && !cc.recordsRead {
		ctx, cancel := context.WithDeadline(ctx, cc.deadline.Add(recordsReadMargin))
		defer cancel()
		recorded, err := cc.controller.records.CompletedTasks(ctx, cc.id)
		if err != nil {
			cc.controller.Log.Debug("reading completed tasks failed", "job", cc.id, "err", err)
			return
		}
		cc.done, cc.recordsRead = cc.done.Union(recorded), true
	}
	cc.finished = cc.finished || cc.done.ContainsAll(cc.job.Tasks)
}

// probeMachine probes one of the machines that hold tasks which may have completed, another one in each
// round. Its answer is newer than the request, so a task that runs according to it is evidence.
func (cc *completionCheck) probeMachine(ctx context.Context) completion.Verdict {
	c := cc.controller
	if len(cc.addrs) == 0 || c.Prober == nil {
		return completion.Unknown
	}
	addr := cc.addrs[0]
	cc.addrs = append(cc.addrs[1:], addr)
	ctx, cancel := context.WithDeadline(ctx, cc.queryDeadline())
	defer cancel()
	hb, err := c.Prober.Probe(ctx, addr)
	if err != nil {
		return completion.Unknown
	}
	c.sendOrDrop(ctx, completionsShownMsg{heartbeat: hb})
	for _, status := range hb.Tasks {
		id, task, ok := cluster.ParseTaskRef(status.Task)
		if ok && id == cc.id && status.Phase != api.TaskExited && !cc.done.Has(task) {
			return completion.Unfinished
		}
	}
	return completion.Unknown
}

// completionsShownMsg carries the answer to a probe for completed tasks.
type completionsShownMsg struct{ heartbeat *api.Heartbeat }

func (m completionsShownMsg) apply(c *Controller) { c.recordCompletions(m.heartbeat, time.Now()) }
