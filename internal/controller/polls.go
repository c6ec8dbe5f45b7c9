package controller

import (
	"context"
	"errors"
	"time"

	"example.org/ivytrestle/internal/api"
)

// Times of the steps of a poll, which queries the leader, the store and the other nodes until one of
// them gives a conclusive response. A step that has not responded after its time goes on beside the
// next one: if the store is slow, so is the leader, and its response would still be in time.
const (
	peerQueryDelay = 500 * time.Millisecond
	lookupDelay    = 600 * time.Millisecond
	// unreachableQueryDelay is peerQueryDelay for a leader that has not answered the last ping.
	unreachableQueryDelay = 50 * time.Millisecond
)

// Job implements api.Backend.
func (c *Controller) Job(ctx context.Context, id string) (api.JobState, error) {
	answer := c.answers.begin(pollRequest, id)
	state, source, err := c.findJob(ctx, id, answer.failingSince)
	return answer.decide(source, state, err)
}

// findJob returns a job's state and where it was found. A node that cannot respond from its memory
// queries the leader, then reads the store, and then queries the other nodes that reach the store. If
// all fail, the error has those of all steps.
func (c *Controller) findJob(
	ctx context.Context, id string, failingSince time.Time,
) (api.JobState, answerSource, error) {
	reply, err := c.poll(ctx, id)
	if err != nil {
		return api.JobState{}, fromMemory, err
	}
	if reply.answered {
		return reply.state, fromMemory, nil
	}
	state, source, err := c.queryJob(ctx, id, reply, failingSince)
	if err != nil {
		state, err = c.assumePending(id, failingSince, err)
	}
	return state, source, err
}

// queryJob finds a job's state for a poll that this node cannot answer from its memory.
func (c *Controller) queryJob(
	ctx context.Context, id string, reply pollReply, failingSince time.Time,
) (api.JobState, answerSource, error) {
	if reply.phaseUnknown {
		state, err := c.phaseFromMachines(ctx, id, reply.addrs)
		return state, fromMachine, err
	}
	var steps []pollStep
	if reply.leader != "" && c.Peers != nil {
		steps = append(steps, c.peerStep(fromLeader, reply.leader, id, reply))
	}
	if !reply.kvUnreachable {
		steps = append(steps, c.storeStep(id, reply, failingSince))
	}
	for _, node := range reply.otherNodes {
		steps = append(steps, c.peerStep(fromPeer, node, id, reply))
	}
	state, source, err := runPollSteps(ctx, steps)
	if errors.Is(err, errLeaderPhaseUnknown) {
		if state, err := c.phaseFromMachines(ctx, id, reply.addrs); err == nil {
			return state, fromMachine, nil
		}
	}
	return state, source, err
}

// isConclusive reports whether a query that returned err has found the job's state, or has found that the
// job does not exist, or that not even the leader knows its phase.
func isConclusive(err error) bool {
	return err == nil || errors.Is(err, api.ErrUnknownJob) || errors.Is(err, errLeaderPhaseUnknown)
}

// storeStep returns the step of a poll that reads the store.
func (c *Controller) storeStep(id string, reply pollReply, failingSince time.Time) pollStep {
	return pollStep{fromStore, "store", lookupDelay, func(ctx context.Context) (api.JobState, error) {
		return c.recordedState(ctx, id, reply, failingSince)
	}}
}

// peerStep returns the step of a poll that queries another node.
func (c *Controller) peerStep(source answerSource, node, id string, reply pollReply) pollStep {
	delay := peerQueryDelay
	if source == fromLeader && !reply.leaderReachable {
		delay = unreachableQueryDelay
	}
	return pollStep{source, "node " + node, delay, func(ctx context.Context) (api.JobState, error) {
		return c.queryNode(ctx, source, node, id, reply)
	}}
}

// poll requests a job's state from the owner goroutine.
func (c *Controller) poll(ctx context.Context, id string) (pollReply, error) {
	m := &pollMsg{id: id, reply: make(chan pollReply, 1)}
	m.deadline, _ = ctx.Deadline()
	return request(ctx, c, m, m.reply)
}

// pollReply holds the job's state if answered is set, or else where to look it up: at the leader, in
// the store or at other nodes.
type pollReply struct {
	state api.JobState
	// answered is set if state is the response to the poll.
	answered bool
	// phaseUnknown is set if this node leads, the job has not ended, and heartbeats do not show whether any
	// of its tasks runs.
	phaseUnknown bool
	// whileActive is the job's state in the memory of this node, which leads. It holds unless the job has
	// ended, which its records show. It is nil if it is not known.
	whileActive *api.JobState
	// addrs are the addresses of machines that have lately shown unfinished tasks of the job.
	addrs []string
	// leader is the node to query first, or "".
	leader string
	// leaderReachable is set if the leader has answered the last ping, and leaderSettled if it has also had
	// time to hear of the tasks on its machines.
	leaderReachable, leaderSettled bool
	// mayAskThroughStore is set if the store answers this node, and the leader does not.
	mayAskThroughStore bool
	// otherNodes are other reachable nodes to query; they can reach the store.
	otherNodes []string
	// kvUnreachable is set while this node cannot reach the store.
	kvUnreachable bool
	// unconfirmed is set if this node leads and has the job in memory, but the store did not confirm
	// in time that this memory is up to date.
	unconfirmed bool
}

// pollMsg requests a job's state from this node's memory. On the leader it waits for a ReadIndex, so
// that the response is linearizable.
type pollMsg struct {
	id string
	// deadline is when the user's request times out. It is zero if there is no timeout.
	deadline time.Time
	reply    chan pollReply
}

func (m *pollMsg) apply(c *Controller) {
	if st, ok := c.finalStates.Get(m.id); ok {
		m.reply <- pollReply{state: st, answered: true}
		return
	}
	if c.leaderTerm != nil && c.holdsLease() && c.leaderTerm.loaded && c.leaderTerm.ownsJob(m.id) {
		c.leaderTerm.readIndex.enqueue(m)
		return
	}
	m.reply <- c.whereToLookUp(m.id)
}

// whereToLookUp returns the reply to a poll that this node cannot answer from its memory.
func (c *Controller) whereToLookUp(id string) pollReply {
	now := time.Now()
	reply := pollReply{
		whileActive:   c.stateWhileActive(id, now),
		addrs:         c.completions.Addrs(id),
		kvUnreachable: !c.membership.KVReachable,
	}
	if c.leaderTerm == nil {
		reply.leader = c.currentLeader(now)
		member := c.membership.Members[reply.leader]
		reply.leaderReachable = member.IsReachable(now)
		reply.leaderSettled = reply.leaderReachable && member.Term > 0 &&
			now.Sub(member.TermSeenAt) >= c.Settings.Site.Workers.Lease()
	}
	reply.mayAskThroughStore = reply.leader != "" && !reply.leaderReachable && !reply.kvUnreachable
	for name, member := range c.membership.Members {
		if name != reply.leader && member.IsReachable(now) && member.KVReachableFor > 0 {
			reply.otherNodes = append(reply.otherNodes, name)
		}
	}
	return reply
}

// ownsJob reports whether a job is active and was submitted in this cell. Jobs that run here for
// another cell (guests) are not visible to this cell's users.
func (lt *leaderTerm) ownsJob(id string) bool {
	j := lt.jobs[id]
	return j != nil && j.Guest == nil
}

// pollReplyFor returns the reply to a poll from the leader's memory. It must be called only after a
// ReadIndex has confirmed that this memory is up to date.
func (lt *leaderTerm) pollReplyFor(id string) pollReply {
	if st, ok := lt.c.finalStates.Get(id); ok {
		return pollReply{state: st, answered: true}
	}
	j := lt.jobs[id]
	switch {
	case j == nil || j.Guest != nil:
		return lt.c.whereToLookUp(id)
	case j.CancelPending:
		// The cancellation of a job that it depends on is on record and final. So users get the
		// response before the derived cancellation is written: one cancellation may cause many of
		// these writes, and their rate is limited.
		return pollReply{state: api.JobState{ID: id, Phase: api.JobCancelled, DerivedCancel: true}, answered: true}
	case j.EndMayBeRecorded, len(j.DependsOn) > 0 && lt.dependencies.unresolved():
		// The store must be read in both cases. If the job is ending, other nodes may already read
		// its terminal record. While dependencies are unresolved, one that is not in memory may be
		// cancelled, and an earlier leader or another node may have reported this job as cancelled.
		return lt.c.whereToLookUp(id)
	}
	state, known := lt.jobState(j, time.Now())
	if !known {
		reply := lt.c.whereToLookUp(id)
		reply.phaseUnknown = true
		return reply
	}
	return pollReply{state: state, answered: true}
}
