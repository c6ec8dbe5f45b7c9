package controller

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
)

// host is a simulated machine whose agent follows the worker protocol on the fake clock: it sends
// heartbeats, runs tasks and lets its task lease expire without steps of the test.
type host struct {
	*worker
	s *checkedCluster
	// lastAcknowledged is when the last heartbeat that got a response was sent; the task lease runs
	// from then.
	lastAcknowledged time.Time
	// lastSent is when the last heartbeat was sent, nextHeartbeat when the next one is due.
	lastSent, nextHeartbeat time.Time
	// nodeIndex is the index of the node to which heartbeats are sent.
	nodeIndex int
	// inFlight is set while a heartbeat waits for its response.
	inFlight bool
	// changed is set if the status has changed since the last heartbeat, so that the next one is
	// sent early.
	changed bool
	// remaining maps the runs on the machine to the time until they end.
	remaining map[run]time.Duration

	// cut and the following fields are injected faults. cut drops all traffic from and to the
	// machine.
	cut bool
	// heartbeatsUndelivered drops the heartbeats that the machine sends; commands reach it.
	heartbeatsUndelivered bool
	// commandsUndelivered drops everything sent to the machine: commands, probes and heartbeat
	// responses.
	commandsUndelivered bool
	// hungUntil is when a hung machine resumes; requests and responses to it wait until then.
	hungUntil time.Time
	// commandDelay delays command batches, commandResponseDelay the responses to them, and
	// heartbeatResponseDelay the responses to heartbeats.
	commandDelay, commandResponseDelay, heartbeatResponseDelay time.Duration

	// heartbeats are copies of all heartbeats that the machine has sent.
	heartbeats []api.Heartbeat
}

// step advances the machine by one tick, unless it is hung or terminated.
func (k *host) step(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now.Before(k.hungUntil) || k.s.cloud.terminated(k.status.Machine) {
		return
	}
	k.expireLease(now)
	k.advanceTasks()
	due := !now.Before(k.nextHeartbeat) || k.changed && now.Sub(k.lastSent) >= 500*time.Millisecond
	if due && !k.inFlight {
		k.postHeartbeat(now)
	}
}

// taskLease returns the duration of the task lease: 5 heartbeat intervals, and at least 10 s.
func (k *host) taskLease() time.Duration {
	return max(10*time.Second, time.Duration(5*k.s.heartbeatS*float64(time.Second)))
}

// expireLease kills all tasks and begins a new agent epoch if the task lease has expired.
func (k *host) expireLease(now time.Time) {
	if now.Sub(k.lastAcknowledged) <= k.taskLease() {
		return
	}
	for _, t := range k.status.Tasks {
		if t.Phase != api.TaskExited {
			k.s.checker.recordEnd(k, t.Task, t.Attempt, "killed")
		}
	}
	k.status.Tasks = nil
	clear(k.remaining)
	k.status.AgentEpoch++
	k.lastAcknowledged, k.changed = now, true
}

// advanceTasks runs the tasks for one tick, and makes those exit whose run time or save time is
// over.
func (k *host) advanceTasks() {
	for i := range k.status.Tasks {
		t := &k.status.Tasks[i]
		if t.Phase == api.TaskExited {
			continue
		}
		r := run{k.status.Machine, t.Task, t.Attempt}
		if k.remaining[r] -= tick; k.remaining[r] > 0 {
			continue
		}
		cause := api.CauseDone
		if t.Phase == api.TaskSaving {
			cause, t.Saved = api.CauseHalted, true
		}
		k.exitTask(t, cause)
	}
}

// exitTask records that a task exits with the given cause.
func (k *host) exitTask(t *api.TaskStatus, cause string) {
	t.Phase, t.Cause = api.TaskExited, cause
	k.changed = true
	k.s.checker.recordEnd(k, t.Task, t.Attempt, cause)
}

// postHeartbeat sends a heartbeat to the current node, and handles the response in a goroutine.
// The time to the next one varies from 75% to 120% of the heartbeat interval.
func (k *host) postHeartbeat(now time.Time) {
	k.status.Seq++
	hb := k.status
	hb.Tasks = slices.Clone(k.status.Tasks)
	k.heartbeats = append(k.heartbeats, hb)
	k.lastSent, k.inFlight, k.changed = now, true, false
	interval := time.Duration(max(1, k.s.heartbeatS) * float64(time.Second))
	k.nextHeartbeat = now.Add(interval - interval/4 + interval/2*time.Duration(hb.Seq*7%10)/10)
	n := k.s.node(k.s.names[k.nodeIndex])
	if k.cut || k.heartbeatsUndelivered {
		n = nil
	}
	name := k.s.names[k.nodeIndex]
	k.s.late.sent("heartbeat", func(ctx context.Context) {
		if receiver := k.s.node(name); receiver != nil {
			copied := copyHeartbeat(&hb)
			_, _ = receiver.Heartbeat(ctx, &copied)
		}
	})
	k.s.goroutines.Go(func() {
		response, err := api.HeartbeatResponse{}, fmt.Errorf("heartbeat of %s: no connection", hb.Machine)
		if n != nil {
			ctx, cancel := context.WithTimeout(k.s.ctx, 4*time.Second)
			delivered := hb // k.heartbeats keeps the original
			delivered.Tasks = slices.Clone(hb.Tasks)
			response, err = n.Heartbeat(ctx, &delivered)
			cancel()
		}
		k.handleResponse(now, hb.AgentEpoch, response, err)
	})
}

// handleResponse applies the response to a heartbeat. After an error, the next heartbeat goes to
// the leader that the error names, or else to the next node.
func (k *host) handleResponse(sent time.Time, agentEpoch uint64, response api.HeartbeatResponse, err error) {
	k.mu.Lock()
	delay := k.heartbeatResponseDelay
	k.mu.Unlock()
	sleepUnlessZero(k.s.ctx, delay)
	k.lockWhenResponsive()
	defer k.mu.Unlock()
	var notLeader *api.NotLeaderError
	isLost := (k.commandsUndelivered || k.cut) && !k.heartbeatsUndelivered
	if isLost || time.Since(sent) >= 4*time.Second {
		err = fmt.Errorf("heartbeat of %s: timed out", k.status.Machine)
		k.mu.Unlock()
		sleepUnlessZero(k.s.ctx, time.Until(sent.Add(4*time.Second)))
		k.mu.Lock()
	}
	k.inFlight = false
	switch {
	case err == nil:
		if agentEpoch != k.status.AgentEpoch || response.Token < k.status.Token {
			return
		}
		k.changed = k.changed || response.Token > k.status.Token
		k.status.Token, k.lastAcknowledged = response.Token, sent
		k.applyCommands(response.Commands)
	case errors.As(err, &notLeader) && slices.Contains(k.s.names, notLeader.Leader) &&
		notLeader.Leader != k.s.names[k.nodeIndex]:
		k.nodeIndex = slices.Index(k.s.names, notLeader.Leader)
		k.nextHeartbeat = time.Now()
	default:
		k.nodeIndex = (k.nodeIndex + 1) % len(k.s.names)
		k.nextHeartbeat, k.changed = time.Now().Add(time.Second), false
		k.lastSent = time.Now().Add(500 * time.Millisecond) // status changes don't bring it forward
	}
}

// sleepUnlessZero is sleep, but sets no timer if d is not positive: the race detector fails on
// timers that are already due when a goroutine of a synctest bubble selects on them.
func sleepUnlessZero(ctx context.Context, d time.Duration) {
	if d > 0 {
		sleep(ctx, d)
	}
}

// lockWhenResponsive waits until the machine no longer hangs, and returns with its lock held.
func (k *host) lockWhenResponsive() {
	for {
		k.mu.Lock()
		remaining := time.Until(k.hungUntil)
		if remaining <= 0 || k.s.ctx.Err() != nil {
			return
		}
		k.mu.Unlock()
		sleepUnlessZero(k.s.ctx, remaining)
	}
}

// applyCommands applies commands as an agent does, unless the machine is terminated. The caller
// holds the lock.
func (k *host) applyCommands(commands []api.Command) {
	if k.s.cloud.terminated(k.status.Machine) {
		return
	}
	for _, cmd := range commands {
		i := taskIndex(k.status.Tasks, cmd)
		r := run{machine: k.status.Machine, task: cmd.Task, attempt: cmd.Attempt}
		switch {
		case cmd.Verb == api.VerbStart && i < 0:
			k.startTask(r)
		case cmd.Verb == api.VerbStop && i >= 0 && k.status.Tasks[i].Phase != api.TaskExited:
			k.stopTask(r, &k.status.Tasks[i], cmd.GraceS)
		case cmd.Verb == api.VerbReap && i >= 0 && k.status.Tasks[i].Phase == api.TaskExited:
			k.status.Tasks = slices.Delete(k.status.Tasks, i, i+1)
		}
	}
}

// stopTask makes a task exit, or lets it save a checkpoint first if the grace period is long
// enough.
func (k *host) stopTask(r run, t *api.TaskStatus, graceS *float64) {
	k.s.checker.mu.Lock()
	jobSpec := k.s.checker.jobs[r.job()].spec
	k.s.checker.mu.Unlock()
	canSave := jobSpec.CheckpointS > 0 && jobSpec.SaveS > 0 && graceS != nil && *graceS >= jobSpec.SaveS
	switch {
	case t.Phase == api.TaskRunning && canSave:
		t.Phase, k.remaining[r], k.changed = api.TaskSaving, jobSpec.SaveDuration(), true
	case t.Phase == api.TaskRunning, graceS == nil, *graceS == 0:
		k.exitTask(t, api.CauseHalted)
	}
}

// startTask starts a task, or rejects it by recording it as exited. The result of a task that has
// completed is durable, so a repeated run of it ends at once.
func (k *host) startTask(r run) {
	t := api.TaskStatus{Task: r.task, Attempt: r.attempt, Phase: api.TaskRunning}
	k.s.checker.mu.Lock()
	job := k.s.checker.jobs[r.job()]
	usedCPUs := 0.0
	for _, other := range k.status.Tasks {
		if other.Phase == api.TaskExited {
			continue
		}
		usedCPUs += k.s.checker.jobs[run{task: other.Task}.job()].spec.CPUs
		if other.Task == r.task {
			t.Phase, t.Cause = api.TaskExited, api.CauseBusy
		}
	}
	k.s.checker.mu.Unlock()
	k.changed = true
	switch {
	case t.Phase == api.TaskExited:
	case job == nil:
		t.Phase, t.Cause = api.TaskExited, api.CauseNoSuch
	case usedCPUs+job.spec.CPUs > 4:
		t.Phase, t.Cause = api.TaskExited, api.CauseNoCapacity
	default:
		k.s.checker.recordStart(k, r.task, r.attempt)
		_, i, _ := cluster.ParseTaskRef(r.task)
		if k.remaining[r] = job.duration + time.Duration(i)*job.durationStep; k.s.checker.isCompleted(r.task) {
			k.remaining[r] = 0
		}
	}
	k.status.Tasks = append(k.status.Tasks, t)
}

// injectFaults lets f change the machine's injected faults, and updates how probes of it fail.
func (k *host) injectFaults(f func(*host)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	f(k)
	name := k.status.Machine
	k.s.dead.Delete(name)
	k.s.unresponsive.Delete(name)
	if k.cut {
		k.s.dead.Store(name, true)
	}
	if k.commandsUndelivered {
		k.s.unresponsive.Store(name, true)
	}
	if remaining := time.Until(k.hungUntil); remaining > 0 {
		k.s.unresponsive.Store(name, true)
		k.s.goroutines.Go(func() {
			sleepUnlessZero(k.s.ctx, remaining)
			if k.s.ctx.Err() == nil {
				k.injectFaults(func(*host) {})
			}
		})
	}
}

// hang makes the machine hang for the given duration.
func (k *host) hang(d time.Duration) {
	k.injectFaults(func(k *host) { k.hungUntil = time.Now().Add(d) })
}

// heal ends all injected faults of the machine except a hang, which ends at hungUntil.
func (k *host) heal() {
	k.injectFaults(func(k *host) {
		k.cut, k.heartbeatsUndelivered, k.commandsUndelivered = false, false, false
		k.commandDelay, k.commandResponseDelay, k.heartbeatResponseDelay = 0, 0, 0
	})
}
