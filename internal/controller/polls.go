package controller

import (
	"context"
	"errors"
	"time"

	"example.org/ivytrestle/internal/api"
)

// A poll queries at most the leader, the store and the other nodes, one after the other.
const (
	peerQueryTimeout = 500 * time.Millisecond
	readTimeout      = 600 * time.Millisecond
)

// Job implements api.Backend. Whichever node a user is connected to, it queries the leader, reads
// the store itself, or has another node do so.
func (c *Controller) Job(ctx context.Context, id string) (api.JobState, error) {
	r, err := c.poll(ctx, id)
	if err != nil {
		return api.JobState{}, err
	}
	if r.err != nil || r.answered {
		return r.state, r.err
	}
	if r.leader != "" && c.Peers != nil {
		if st, err := c.queryPeer(ctx, r.leader, id); isConclusive(err) {
			return st, err
		}
	}
	err = api.ErrUnavailable
	if !r.kvUnreachable {
		lctx, cancel := context.WithTimeout(ctx, readTimeout)
		st, lookupErr := c.lookup(lctx, id)
		cancel()
		if isConclusive(lookupErr) {
			return st, lookupErr
		}
		err = lookupErr
	}
	for _, node := range r.otherNodes {
		if st, err := c.queryPeer(ctx, node, id); isConclusive(err) {
			return st, err
		}
	}
	return api.JobState{}, err
}

// isConclusive reports whether a query with this error has found out what it was about: the job's
// state, or that there is no such job.
func isConclusive(err error) bool { return err == nil || errors.Is(err, api.ErrUnknownJob) }

// queryPeer requests a job's state from another node.
func (c *Controller) queryPeer(ctx context.Context, node, id string) (api.JobState, error) {
	ctx, cancel := context.WithTimeout(ctx, peerQueryTimeout)
	defer cancel()
	st, err := c.Peers.Job(ctx, node, id)
	if err == nil && st.Final() {
		return st, c.publishFinalState(ctx, st)
	}
	return st, err
}

// PeerJob responds to another node's query: the leader from its memory, others from the store.
func (c *Controller) PeerJob(ctx context.Context, id string) (api.JobState, error) {
	r, err := c.poll(ctx, id)
	switch {
	case err != nil:
		return api.JobState{}, err
	case r.err != nil || r.answered:
		return r.state, r.err
	case r.kvUnreachable:
		return api.JobState{}, api.ErrUnavailable
	}
	return c.lookup(ctx, id)
}

// poll requests what the owner knows of a job.
func (c *Controller) poll(ctx context.Context, id string) (pollReply, error) {
	m := &pollMsg{id: id, reply: make(chan pollReply, 1)}
	m.deadline, _ = ctx.Deadline()
	return request(ctx, c, m, m.reply)
}

// pollReply either answers a poll, or names the leader to query; with neither, the store must be
// read.
type pollReply struct {
	state api.JobState
	// answered is set if state answers the poll.
	answered bool
	leader   string
	// otherNodes are further nodes to query, which reach the store.
	otherNodes []string
	// kvUnreachable is set while the store does not answer this node.
	kvUnreachable bool
	err           error
}

// pollMsg requests what this node knows of a job. On a leader it waits for a ReadIndex.
type pollMsg struct {
	id string
	// deadline is when the user's request times out; zero: it has none.
	deadline time.Time
	reply    chan pollReply
}

func (m *pollMsg) apply(c *Controller) {
	if st, ok := c.finalStates.Get(m.id); ok {
		m.reply <- pollReply{state: st, answered: true}
		return
	}
	if c.leaderTerm != nil && c.holdsLease() && c.leaderTerm.loaded && c.leaderTerm.knowsJob(m.id) {
		c.leaderTerm.readIndex.enqueue(m)
		return
	}
	now := time.Now()
	reply := pollReply{kvUnreachable: !c.membership.KVReachable}
	if c.leaderTerm == nil {
		reply.leader = c.currentLeader(now)
	}
	for name, mb := range c.membership.Members {
		if name != reply.leader && mb.IsReachable(now) && mb.KVReachableFor > 0 {
			reply.otherNodes = append(reply.otherNodes, name)
		}
	}
	m.reply <- reply
}

// knowsJob reports whether a job is active and of this cell: guests are unknown to its users.
func (lt *leaderTerm) knowsJob(id string) bool {
	j := lt.jobs[id]
	return j != nil && j.Guest == nil
}

// pollReplyFor answers a poll from the leader's memory, once that is known to be up to date.
func (lt *leaderTerm) pollReplyFor(id string) pollReply {
	if st, ok := lt.c.finalStates.Get(id); ok {
		return pollReply{state: st, answered: true}
	}
	j := lt.jobs[id]
	switch {
	case j == nil || j.Guest != nil:
		return pollReply{} // read from the store instead
	case j.CancelPending:
		// A job that it depends on is cancelled on record, and stays so. However many jobs
		// are cancelled by one cancellation, their users need not wait for the writes,
		// whose rate is limited.
		return pollReply{state: api.JobState{ID: id, Phase: api.JobCancelled, DerivedCancel: true}, answered: true}
	case j.EndMayBeRecorded, len(j.DependsOn) > 0 && lt.dependencies.unresolved():
		// In the second case a job that it depends on may be cancelled, and an earlier
		// leader or another node may have responded so.
		return pollReply{}
	}
	return pollReply{state: j.State(), answered: true}
}
