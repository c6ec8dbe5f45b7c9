package controller

import (
	"context"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/records"
)

// QueryScope is what a node may use to answer another node's query about a job.
type QueryScope int

const (
	// RecordsScope is the node's memory or the job's records. Nodes of the version in production always
	// answer like that, and send only such queries.
	RecordsScope QueryScope = iota
	// LeaderScope is the node's memory if it leads. The sender reads the records itself.
	LeaderScope
	// PhaseScope is the node's memory, machines and the leader. The sender has read that the job has not
	// ended, and asks for its phase.
	PhaseScope
	// ClusterScope is the node's memory, the leader, the job's records and machines. The sender cannot read
	// records.
	ClusterScope
)

// Certainty is how far a node's answer to a query about a job can be relied upon.
type Certainty int

const (
	// CertaintyUnspecified is that of a node of the version in production: the phase "pending" may have been
	// derived from the job's active record, which does not show whether a task runs.
	CertaintyUnspecified Certainty = iota
	// Confirmed means that the answer was true when it was given.
	Confirmed
	// WhileActive means that the answer is true unless the job has ended, which its records show.
	WhileActive
	// PhaseNotKnown means that the node leads, the job has not ended and its phase is not known.
	PhaseNotKnown
)

// JobQuery is a node's query about a job.
type JobQuery struct {
	ID    string
	Scope QueryScope
}

// JobAnswer is the answer to a JobQuery.
type JobAnswer struct {
	State     api.JobState
	Certainty Certainty
}

// PeerJob answers another node's query. Only the leader is queried for it, and only with LeaderScope, so
// that queries do not circulate.
func (c *Controller) PeerJob(ctx context.Context, q JobQuery) (JobAnswer, error) {
	reply, err := c.poll(ctx, q.ID)
	if err != nil {
		return JobAnswer{}, err
	}
	reply.otherNodes, reply.mayAskThroughStore = nil, false // the sender does that itself
	switch {
	case reply.answered:
		return JobAnswer{State: reply.state, Certainty: Confirmed}, nil
	case q.Scope == LeaderScope:
		return leaderAnswer(reply)
	case q.Scope == RecordsScope && (reply.kvUnreachable || reply.unconfirmed):
		return JobAnswer{}, api.ErrUnavailable // the other node reads the store itself
	}
	return c.answerForPeer(ctx, q, reply)
}

// leaderAnswer returns the answer of a node's memory to a query with LeaderScope.
func leaderAnswer(reply pollReply) (JobAnswer, error) {
	switch {
	case reply.phaseUnknown:
		return JobAnswer{Certainty: PhaseNotKnown}, nil
	case reply.whileActive != nil:
		return JobAnswer{State: *reply.whileActive, Certainty: WhileActive}, nil
	}
	return JobAnswer{}, api.ErrUnavailable
}

// answerForPeer answers a query for which this node's memory does not suffice.
func (c *Controller) answerForPeer(ctx context.Context, q JobQuery, reply pollReply) (JobAnswer, error) {
	var state api.JobState
	var err error
	switch {
	case reply.phaseUnknown:
		state, err = c.phaseFromMachines(ctx, q.ID, reply.addrs)
	case q.Scope == PhaseScope:
		state, err = c.phaseForPeer(ctx, q.ID, reply)
	case q.Scope == ClusterScope:
		state, _, err = c.queryJob(ctx, q.ID, reply, time.Time{})
	default:
		state, err = c.recordedState(ctx, q.ID, reply, time.Time{})
	}
	return JobAnswer{State: state, Certainty: Confirmed}, err
}

// phaseForPeer returns the phase of a job that has not ended according to the node that asks.
func (c *Controller) phaseForPeer(ctx context.Context, id string, reply pollReply) (api.JobState, error) {
	state, err := c.activeState(ctx, records.JobRecord{ID: id, Status: records.Active}, reply)
	if err == nil || !reply.leaderReachable || c.Peers == nil {
		return state, err
	}
	ctx, cancel := context.WithTimeout(ctx, phaseProbeTimeout)
	defer cancel()
	state, err = c.queryNode(ctx, fromLeader, reply.leader, id, reply)
	if state, ok := c.leaderStates.recent(id); err != nil && ok {
		return state, nil
	}
	return state, err
}

// queryNode queries another node about a job. An error that is not conclusive means that the records have
// to be read, or that other nodes may know more.
func (c *Controller) queryNode(
	ctx context.Context, source answerSource, node, id string, reply pollReply,
) (api.JobState, error) {
	scope := ClusterScope
	if source == fromLeader && !reply.kvUnreachable {
		scope = LeaderScope
	}
	askedAt := time.Now()
	answer, err := c.Peers.Job(ctx, node, JobQuery{ID: id, Scope: scope})
	if err != nil {
		return api.JobState{}, err
	}
	state := answer.State
	isSettledLeader := source == fromLeader && reply.leaderSettled
	mayBeFromRecord := answer.Certainty == CertaintyUnspecified && state.Phase == api.JobPending
	switch {
	case answer.Certainty == PhaseNotKnown:
		return api.JobState{}, errLeaderPhaseUnknown
	case mayBeFromRecord && !isSettledLeader:
		return api.JobState{}, errPhaseUnknown
	case state.Final():
		return state, c.publishFinalState(ctx, state)
	}
	if source == fromLeader {
		c.leaderStates.add(state, askedAt)
	}
	if answer.Certainty == WhileActive {
		return api.JobState{}, errStateUnconfirmed
	}
	return state, nil
}
