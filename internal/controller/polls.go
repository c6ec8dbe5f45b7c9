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
	var steps []pollStep
	if reply.leader != "" && c.Peers != nil {
		steps = append(steps, c.peerStep(fromLeader, reply.leader, id))
	}
	if !reply.kvUnreachable {
		steps = append(steps, c.storeStep(id, failingSince))
	}
	for _, node := range reply.otherNodes {
		steps = append(steps, c.peerStep(fromPeer, node, id))
	}
	return runPollSteps(ctx, steps)
}

// isConclusive reports whether a query that returned err has found the job's state, or has found that
// the job does not exist.
func isConclusive(err error) bool { return err == nil || errors.Is(err, api.ErrUnknownJob) }

// storeStep returns the step of a poll that reads the store.
func (c *Controller) storeStep(id string, failingSince time.Time) pollStep {
	return pollStep{fromStore, "store", lookupDelay, func(ctx context.Context) (api.JobState, error) {
		return c.lookup(ctx, id, failingSince)
	}}
}

// peerStep returns the step of a poll that queries another node.
func (c *Controller) peerStep(source answerSource, node, id string) pollStep {
	return pollStep{source, "node " + node, peerQueryDelay, func(ctx context.Context) (api.JobState, error) {
		state, err := c.Peers.Job(ctx, node, id)
		if err == nil && state.Final() {
			return state, c.publishFinalState(ctx, state)
		}
		return state, err
	}}
}

// PeerJob responds to another node's query: from memory if possible, otherwise from the store. It
// queries no other node.
func (c *Controller) PeerJob(ctx context.Context, id string) (api.JobState, error) {
	reply, err := c.poll(ctx, id)
	switch {
	case err != nil:
		return api.JobState{}, err
	case reply.answered:
		return reply.state, nil
	case reply.kvUnreachable || reply.unconfirmed:
		return api.JobState{}, api.ErrUnavailable // the other node reads the store itself
	}
	return c.lookup(ctx, id, time.Time{})
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
	// leader is the node to query first, or "".
	leader string
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
	m.reply <- c.whereToLookUp()
}

// whereToLookUp returns the reply to a poll that this node cannot answer from its memory.
func (c *Controller) whereToLookUp() pollReply {
	now := time.Now()
	reply := pollReply{kvUnreachable: !c.membership.KVReachable}
	if c.leaderTerm == nil {
		reply.leader = c.currentLeader(now)
	}
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
		return lt.c.whereToLookUp()
	case j.CancelPending:
		// The cancellation of a job that it depends on is on record and final. So users get the
		// response before the derived cancellation is written: one cancellation may cause many of
		// these writes, and their rate is limited.
		return pollReply{state: api.JobState{ID: id, Phase: api.JobCancelled, DerivedCancel: true}, answered: true}
	case j.EndMayBeRecorded, len(j.DependsOn) > 0 && lt.dependencies.unresolved():
		// The store must be read in both cases. If the job is ending, other nodes may already read
		// its terminal record. While dependencies are unresolved, one that is not in memory may be
		// cancelled, and an earlier leader or another node may have reported this job as cancelled.
		return lt.c.whereToLookUp()
	}
	return pollReply{state: j.State(), answered: true}
}
