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
	// Addrs are the addresses of some machines that hold other tasks of the job. Only a leader that
	// cannot tell whether these tasks have completed returns any.
	Addrs []string
}

const (
	// stateLag is how far the state of a job that users are told may lag (PROTOCOL, "GET
	// /api/jobs/{id}").
	stateLag = 3 * time.Second
	// maxCompletionAddrs is the maximum number of addresses in a CompletionStatus.
	maxCompletionAddrs = 3
)

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
}

func (m completionQueryMsg) apply(c *Controller) {
	now := time.Now()
	reply := completionReply{status: c.completionStatus(m.id, m.known, now)}
	if c.leaderTerm == nil {
		reply.leader = c.currentLeader(now)
	}
	m.reply <- reply
}

// recordCompletions adds the completed tasks that a heartbeat shows to the completion log.
func (c *Controller) recordCompletions(hb *api.Heartbeat, now time.Time) {
	for i := range hb.Tasks {
		status := &hb.Tasks[i]
		if status.Phase != api.TaskExited || status.Cause != api.CauseDone {
			continue
		}
		if id, task, ok := cluster.ParseTaskRef(status.Task); ok && task < api.MaxTasks {
			c.completions.Add(id, task, now)
		}
	}
}

// completionStatus returns what this node knows about the completed tasks of a job, including those that
// are known to others.
func (c *Controller) completionStatus(id string, known completion.Tasks, now time.Time) CompletionStatus {
	if c.finalStates.Contains(id) {
		return CompletionStatus{Verdict: completion.Ended}
	}
	known = known.Union(c.completions.Tasks(id))
	lt := c.leaderTerm
	if lt == nil || !lt.loaded || lt.jobs[id] == nil {
		return CompletionStatus{Done: known}
	}
	return lt.completionStatus(lt.jobs[id], known, now)
}

// completionStatus returns what this leader knows about the completed tasks of a job, with those that are
// known from elsewhere. What has completed stays completed, so it counts even after the leader lease has
// expired; what has not counts only until then.
func (lt *leaderTerm) completionStatus(j *cluster.Job, known completion.Tasks, now time.Time) CompletionStatus {
	leads := lt.c.holdsLease()
	if j.CancelPending || leads && (j.Guest != nil || j.Lent != nil) {
		return CompletionStatus{Verdict: completion.Unfinished}
	}
	if leads {
		lt.applyCompletions(j, known, now)
	}
	switch {
	case j.DoneCount == j.Spec.Tasks:
		return CompletionStatus{Verdict: completion.Finished}
	case leads && lt.isUnfinished(j, now):
		return CompletionStatus{Verdict: completion.Unfinished}
	}
	done := completion.Tasks(j.CompletionBitmap(0, j.Spec.Tasks))
	return CompletionStatus{Done: done.Union(known), Addrs: unfinishedAddrs(j)}
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

// unfinishedAddrs returns the addresses of up to maxCompletionAddrs machines with attempts at tasks that
// are not known to have completed.
func unfinishedAddrs(j *cluster.Job) (addrs []string) {
	for task, a := range j.ActiveAttempts {
		if len(addrs) == maxCompletionAddrs {
			break
		}
		if !j.Done.Test(uint(task)) && a.Machine.Addr != "" {
			addrs = append(addrs, a.Machine.Addr)
		}
	}
	return addrs
}
