package controller

import (
	"context"
	"errors"
	"slices"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
)

// host is a machine whose agent runs by itself, as the protocol's worker agent does.
type host struct {
	*worker
	s *checkedCluster
	// lastAcknowledged is when the last heartbeat with a response was sent; lastSent is when
	// the last one was sent, and nextHeartbeat when the next one is due.
	lastAcknowledged, lastSent, nextHeartbeat time.Time
	nodeIndex                                 int
	inFlight, changed                         bool
	remaining                                 map[run]time.Duration
	// The injected faults. Cut and mute machines reach no controller, and nothing reaches cut
	// and deaf ones. What is sent to a hung one waits.
	cut, heartbeatsUndelivered, commandsUndelivered bool
	hungUntil                                       time.Time
	// commandDelay delays command batches, commandResponseDelay the responses to them, and heartbeatResponseDelay the
	// responses to heartbeats.
	commandDelay, commandResponseDelay, heartbeatResponseDelay time.Duration
	// heartbeats are copies of all heartbeats it sent.
	heartbeats []api.Heartbeat
}

// step runs the machine for one tick, unless it is hung or terminated.
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

func (k *host) taskLease() time.Duration {
	return max(10*time.Second, time.Duration(5*k.s.heartbeatS*float64(time.Second)))
}

// expireLease kills the tasks when the task lease has expired, and begins a new agent epoch.
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

// advanceTasks runs the tasks for one tick, and ends those whose time is up.
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

func (k *host) exitTask(t *api.TaskStatus, cause string) {
	t.Phase, t.Cause = api.TaskExited, cause
	k.changed = true
	k.s.checker.recordEnd(k, t.Task, t.Attempt, cause)
}

// postHeartbeat sends a heartbeat to the node that the machine reports to.
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
	k.s.goroutines.Go(func() {
		response, err := api.HeartbeatResponse{}, errors.New("no connection")
		if n != nil {
			ctx, cancel := context.WithTimeout(k.s.ctx, 4*time.Second)
			own := hb
			own.Tasks = slices.Clone(hb.Tasks)
			response, err = n.Heartbeat(ctx, &own)
			cancel()
		}
		k.handleResponse(now, hb.AgentEpoch, response, err)
	})
}

// handleResponse applies the response to a heartbeat, or tries another node if there was none.
func (k *host) handleResponse(sent time.Time, agentEpoch uint64, response api.HeartbeatResponse, err error) {
	k.mu.Lock()
	delay := k.heartbeatResponseDelay
	k.mu.Unlock()
	sleepUnlessZero(k.s.ctx, delay)
	k.lockWhenResponsive()
	defer k.mu.Unlock()
	var other *api.NotLeaderError
	lost := (k.commandsUndelivered || k.cut) && !k.heartbeatsUndelivered
	if lost || time.Since(sent) >= 4*time.Second {
		err = errors.New("no response")
		k.mu.Unlock()
		sleepUnlessZero(k.s.ctx, time.Until(sent.Add(4*time.Second)))
		k.mu.Lock()
	}
	k.inFlight = false
	switch {
	case err == nil:
		if agentEpoch != k.status.AgentEpoch || response.Term < k.status.Term {
			return
		}
		k.changed = k.changed || response.Term > k.status.Term
		k.status.Term, k.lastAcknowledged = response.Term, sent
		k.applyCommands(response.Commands)
	case errors.As(err, &other) && slices.Contains(k.s.names, other.Leader) && other.Leader != k.s.names[k.nodeIndex]:
		k.nodeIndex = slices.Index(k.s.names, other.Leader)
		k.nextHeartbeat = time.Now()
	default:
		k.nodeIndex = (k.nodeIndex + 1) % len(k.s.names)
		k.nextHeartbeat, k.changed = time.Now().Add(time.Second), false
		k.lastSent = time.Now().Add(500 * time.Millisecond) // not sooner, whatever changes
	}
}

// sleepUnlessZero is sleep, but sets no timer for no time: the race detector fails on timers that are due
// when a bubble's goroutine selects on them.
func sleepUnlessZero(ctx context.Context, d time.Duration) {
	if d > 0 {
		sleep(ctx, d)
	}
}

// lockWhenResponsive waits while the machine hangs, and returns with its lock held.
func (k *host) lockWhenResponsive() {
	for {
		k.mu.Lock()
		rest := time.Until(k.hungUntil)
		if rest <= 0 || k.s.ctx.Err() != nil {
			return
		}
		k.mu.Unlock()
		sleepUnlessZero(k.s.ctx, rest)
	}
}

// applyCommands applies commands as an agent does.
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

// stopTask ends a task, or has it save a checkpoint first if the grace period suffices.
func (k *host) stopTask(r run, t *api.TaskStatus, graceS *float64) {
	k.s.checker.mu.Lock()
	p := k.s.checker.jobs[r.job()].spec
	k.s.checker.mu.Unlock()
	canSave := p.CheckpointS > 0 && p.SaveS > 0 && graceS != nil && *graceS >= p.SaveS
	switch {
	case t.Phase == api.TaskRunning && canSave:
		t.Phase, k.remaining[r], k.changed = api.TaskSaving, p.Save(), true
	case t.Phase == api.TaskRunning, graceS == nil, *graceS == 0:
		k.exitTask(t, api.CauseHalted)
	}
}

// startTask starts a task, or rejects it.
func (k *host) startTask(r run) {
	t := api.TaskStatus{Task: r.task, Attempt: r.attempt, Phase: api.TaskRunning}
	k.s.checker.mu.Lock()
	p := k.s.checker.jobs[r.job()]
	used := 0.0
	for _, o := range k.status.Tasks {
		if o.Phase == api.TaskExited {
			continue
		}
		used += k.s.checker.jobs[run{task: o.Task}.job()].spec.CPUs
		if o.Task == r.task {
			t.Phase, t.Cause = api.TaskExited, api.CauseBusy
		}
	}
	k.s.checker.mu.Unlock()
	k.changed = true
	switch {
	case t.Phase == api.TaskExited:
	case p == nil:
		t.Phase, t.Cause = api.TaskExited, api.CauseNoSuch
	case used+p.spec.CPUs > 4:
		t.Phase, t.Cause = api.TaskExited, api.CauseNoCapacity
	default:
		k.s.checker.recordStart(k, r.task, r.attempt)
		_, i, _ := cluster.ParseTaskRef(r.task)
		if k.remaining[r] = p.duration + time.Duration(i)*p.durationStep; k.s.checker.isCompleted(r.task) {
			k.remaining[r] = 0 // its result is durable
		}
	}
	k.status.Tasks = append(k.status.Tasks, t)
}

// injectFaults changes the machine's injected faults. The cluster answers probes accordingly.
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
	if rest := time.Until(k.hungUntil); rest > 0 {
		k.s.unresponsive.Store(name, true)
		k.s.goroutines.Go(func() {
			sleepUnlessZero(k.s.ctx, rest)
			k.injectFaults(func(*host) {})
		})
	}
}

func (k *host) hang(d time.Duration) {
	k.injectFaults(func(k *host) { k.hungUntil = time.Now().Add(d) })
}

// heal heals all injected faults of a machine.
func (k *host) heal() {
	k.injectFaults(func(k *host) {
		k.cut, k.heartbeatsUndelivered, k.commandsUndelivered = false, false, false
		k.commandDelay, k.commandResponseDelay, k.heartbeatResponseDelay = 0, 0, 0
	})
}
