package controller

import (
	"context"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/completion"
)

// CompletionStatus is what a node knows about the completed tasks of a job.
type CompletionStatus struct {
	Verdict completion.Verdict
	// Done are the tasks that the node knows to have completed.
	Done completion.Tasks
	// Addrs are the addresses of some machines that hold, or have lately held, other tasks of the job.
	Addrs []string
	// Leads is set if the node leads and has had time to hear from its machines.
	Leads bool
}

// stateLag is how far the state of a job that users are told may lag (PROTOCOL, "GET /api/jobs/{id}").
const stateLag = 3 * time.Second

// PeerCompletion returns what this node knows about the completed tasks of a job, for another node that
// knows some of them.
func (c *Controller) PeerCompletion(
	ctx context.Context, id string, known completion.Tasks,
) (CompletionStatus, error) {
	reply, err := c.queryCompletion(ctx, id, known)
	return reply.status, err
}

// queryCompletion asks the owner goroutine about the completed tasks of a job.
func (c *Controller) queryCompletion(
	ctx context.Context, id string, known completion.Tasks,
) (completionReply, error) {
	m := completionQueryMsg{id: id, known: known, reply: make(chan completionReply, 1)}
	return request(ctx, c, m, m.reply)
}

// completionQueryMsg asks the owner goroutine what this node knows about the completed tasks of a job.
// known are tasks that have completed according to other nodes.
type completionQueryMsg struct {
	id    string
	known completion.Tasks
	reply chan completionReply
}

// completionReply is the reply to completionQueryMsg.
type completionReply struct {
	status CompletionStatus
	// leader is the node to ask, or "" if this node leads or knows no leader.
	leader string
	// leaderHeardAt is when this node last led or heard from the leader.
	leaderHeardAt time.Time
}

func (m completionQueryMsg) apply(c *Controller) {
	now := time.Now()
	reply := completionReply{status: c.completionStatus(m.id, m.known, now), leaderHeardAt: now}
	if c.leaderTerm == nil {
		reply.leader = c.currentLeader(now)
		reply.leaderHeardAt = later(c.ledAt, c.membership.LeaderAnsweredAt())
	}
	m.reply <- reply
}

// later returns the later one of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// recordCompletions adds the tasks that a heartbeat shows to the completion log.
func (c *Controller) recordCompletions(hb *api.Heartbeat, now time.Time) {
	for i := range hb.Tasks {
		status := &hb.Tasks[i]
		id, task, ok := cluster.ParseTaskRef(status.Task)
		switch {
		case !ok || task >= api.MaxTasks:
		case status.Phase != api.TaskExited:
			c.completions.AddUnfinished(id, hb.Addr, now)
		case status.Cause == api.CauseDone:
			c.completions.AddDone(id, task, now)
		}
	}
}

// completionStatus returns what this node knows about the completed tasks of a job, with those that are
// known to others.
func (c *Controller) completionStatus(id string, known completion.Tasks, now time.Time) CompletionStatus {
	if c.finalStates.Contains(id) {
		return CompletionStatus{Verdict: completion.Ended}
	}
	known = known.Union(c.completions.Tasks(id))
	status := CompletionStatus{Done: known, Addrs: c.completions.Addrs(id)}
	if lt := c.leaderTerm; lt != nil && lt.loaded {
		lt.addCompletionStatus(&status, id, now)
	}
	return status
}

// addCompletionStatus adds to a status what this leader knows about the completed tasks of a job. What has
// completed stays completed, so it counts even after the leader lease has expired; what has not counts only
// until then.
func (lt *leaderTerm) addCompletionStatus(status *CompletionStatus, id string, now time.Time) {
	holdsLease := lt.c.holdsLease()
	status.Leads = holdsLease && (lt.unfenced == 0 || now.Sub(lt.startedAt) >= completionWait)
	j := lt.jobs[id]
	if j == nil {
		return
	}
	if holdsLease {
		lt.applyCompletions(j, status.Done, now)
	}
	switch {
	case j.CancelPending, holdsLease && (j.Guest != nil || j.Lent != nil):
		status.Verdict = completion.Unfinished
	case j.DoneCount == j.Spec.Tasks:
		status.Verdict, status.Done = completion.Finished, j.CompletionBitmap(0, j.Spec.Tasks)
	case holdsLease && lt.isUnfinished(j, now):
		status.Verdict = completion.Unfinished
	default:
		status.Done = status.Done.Union(j.CompletionBitmap(0, j.Spec.Tasks))
		status.Addrs = append(unfinishedAddrs(j), status.Addrs...)
	}
}

// applyCompletions applies the tasks of a job that have completed according to heartbeats to other nodes.
// Between cells that lend jobs, an ended guest may have had the id of the job.
func (lt *leaderTerm) applyCompletions(j *cluster.Job, known completion.Tasks, now time.Time) {
	if lt.c.Cells != nil {
		return
	}
	for task := range known.All() {
		if task < j.Spec.Tasks {
			lt.completeTask(j, task, now)
		}
	}
}

// keepCompletions adds the completed tasks whose completion is not recorded to this node's completion log, as
// their machines may not be able to show them to the next leader, and the machines of other tasks.
func (lt *leaderTerm) keepCompletions(now time.Time) {
	for id, j := range lt.jobs {
		if j.Guest != nil {
			continue // its home cell decides on its cancellation
		}
		for _, addr := range unfinishedAddrs(j) {
			lt.c.completions.AddUnfinished(id, addr, now)
		}
		unrecorded := j.Done.Difference(j.Recorded)
		for task, ok := unrecorded.NextSet(0); ok; task, ok = unrecorded.NextSet(task + 1) {
			lt.c.completions.AddDone(id, int(task), now)
		}
	}
}

// completionsKnownMsg adds completed tasks of a job that another node knows of to the completion log.
type completionsKnownMsg struct {
	id    string
	tasks completion.Tasks
}

func (m completionsKnownMsg) apply(c *Controller) {
	now := time.Now()
	for task := range m.tasks.All() {
		c.completions.AddDone(m.id, task, now)
	}
}

// isUnfinished reports whether some task of a job had certainly not completed stateLag ago: a task that is
// on no machine, or one that a machine has reported as not exited, or was sent, since then.
func (lt *leaderTerm) isUnfinished(j *cluster.Job, now time.Time) bool {
	if len(j.DependsOn) > 0 {
		return true // no task has started
	}
	// An unfenced machine may run, or have completed, any task of a job accepted before this term.
	mayBeOnUnfenced := lt.unfenced > 0 && j.ModRevision <= lt.term.ModRevision
	if j.Flight.Untaken() > 0 && !mayBeOnUnfenced {
		return true
	}
	for task, a := range j.ActiveAttempts {
		if !j.Done.Test(uint(task)) && a.WasUnfinishedSince(now.Add(-stateLag)) {
			return true
		}
	}
	return false
}

// unfinishedAddrs returns the addresses of up to completion.MaxAddrs machines with attempts at tasks that
// are not known to have completed.
func unfinishedAddrs(j *cluster.Job) (addrs []string) {
	for task, a := range j.ActiveAttempts {
		if len(addrs) == completion.MaxAddrs {
			break
		}
		if !j.Done.Test(uint(task)) && a.Machine.Addr != "" {
			addrs = append(addrs, a.Machine.Addr)
		}
	}
	return addrs
}
