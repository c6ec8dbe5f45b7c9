package failuredetector

import (
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
)

// RequestKind is the kind of a request to a machine.
type RequestKind int

const (
	// NoRequest is that nothing is to be sent.
	NoRequest RequestKind = iota
	// Probe requests a heartbeat, to learn whether the machine is alive.
	Probe
	// Resync solicits a heartbeat with this term, and fences the machine.
	Resync
)

// Request is a request that the owner is to send to a machine. Its fields but Machine stay as they
// were when it was sent.
type Request struct {
	Kind    RequestKind
	Machine *cluster.Machine
	SentAt  time.Time
	// agentEpoch and heartbeatSeq are of the machine's newest heartbeat when a probe was sent.
	agentEpoch, heartbeatSeq uint64
}

// nextRequest returns the request to send to a suspect machine, unless one was sent less than
// probeInterval ago. A machine that is not fenced is resynced, which fences it as well; any other
// is probed.
func (d *Detector) nextRequest(m *cluster.Machine, now time.Time) Request {
	if now.Before(m.NextProbe) || d.probing >= d.settings.MaxDials {
		return Request{}
	}
	if !m.Fenced && d.settings.CanResync && m.Addr != "" {
		if d.resyncing >= d.settings.MaxDials {
			return Request{}
		}
		return d.BeginResync(m, now)
	}
	m.NextProbe = now.Add(probeInterval)
	if !d.settings.CanProbe || m.Addr == "" {
		m.ProbeFails++
		return Request{}
	}
	d.probing++
	return Request{Kind: Probe, Machine: m, SentAt: now, agentEpoch: m.AgentEpoch, heartbeatSeq: m.HeartbeatSeq}
}

// QueueResync adds a machine to those that NextResync returns.
func (d *Detector) QueueResync(m *cluster.Machine) { d.toResync = append(d.toResync, m) }

// NextResync returns the resync of the next queued machine that still needs one, or NoRequest if
// there is none or too many resyncs are in flight.
func (d *Detector) NextResync(now time.Time) Request {
	for len(d.toResync) > 0 && d.resyncing < d.settings.MaxDials {
		m := d.toResync[0]
		d.toResync = d.toResync[1:]
		if m.Fenced || m.Phase() >= cluster.Terminating || m.Addr == "" {
			continue
		}
		return d.BeginResync(m, now)
	}
	return Request{}
}

// BeginResync returns a resync of a machine and counts it as in flight, however many there are:
// Check and NextResync observe the limit. A machine that does not answer is resynced again like any
// suspect machine.
func (d *Detector) BeginResync(m *cluster.Machine, now time.Time) Request {
	d.resyncing++
	m.NextProbe = now.Add(probeInterval)
	return Request{Kind: Resync, Machine: m, SentAt: now}
}

// Result is what the outcome of a request shows.
type Result int

const (
	// Ignored shows nothing: the machine is terminated, or another one has answered a resync.
	Ignored Result = iota
	// Failed is no valid answer, which was counted against the machine if it may be its fault.
	Failed
	// Restarted shows that the machine was started anew under its name before it was missed. All
	// its heartbeats would be taken for older ones, and its tasks for running, without end. Only
	// its termination shows that they are off the machine: it is to be evacuated with
	// ReasonRestarted and terminated.
	Restarted
	// NewHeartbeat is a heartbeat to apply.
	NewHeartbeat
	// Alive shows that the machine is alive, but its heartbeats do not arrive. What they would
	// report is not known, so only its suspicion has ended.
	Alive
)

// ProbeResult ends a probe, whose answer is a heartbeat or an error, and tells what it shows.
// canApply tells whether the owner may apply heartbeats now.
func (d *Detector) ProbeResult(r Request, hb *api.Heartbeat, err error, canApply bool, now time.Time) Result {
	d.probing--
	m := r.Machine
	switch {
	case m.Phase() == cluster.Terminated:
		return Ignored
	case err != nil || hb.Machine != m.Name:
		d.probeFailed(r, now)
		return Failed
	case r.showsRestart(hb):
		return Restarted
	case m.Fenced && hb.AgentEpoch > m.AgentEpoch && canApply:
		// Its task lease has expired while it reached no controller, and its tasks have ended
		// with that. Its own heartbeats may not arrive for long.
		return NewHeartbeat
	default:
		m.ProbeFails = 0
		m.LastSeen = now
		return Alive
	}
}

// probeFailed counts the failure against the machine, unless it was seen since or this node was
// paused.
func (d *Detector) probeFailed(r Request, now time.Time) {
	suspect := r.Machine.LastSeen.Before(r.SentAt) || r.Machine.UnappliedResponses > 0
	if suspect && d.RanContinuouslySince(r.SentAt, now) {
		r.Machine.ProbeFails++
	}
}

// showsRestart tells whether the heartbeat is older, by its numbers, than one that was applied
// before the probe was sent.
func (r Request) showsRestart(hb *api.Heartbeat) bool {
	return hb.AgentEpoch < r.agentEpoch || hb.AgentEpoch == r.agentEpoch && hb.Seq < r.heartbeatSeq
}

// ResyncResult ends a resync, whose answer is a heartbeat or an error, and tells what it shows.
func (d *Detector) ResyncResult(r Request, hb *api.Heartbeat, err error, now time.Time) Result {
	d.resyncing--
	m := r.Machine
	switch {
	case m.Phase() == cluster.Terminated:
		return Ignored
	case err != nil:
		if !m.Fenced && d.RanContinuouslySince(r.SentAt, now) {
			m.ProbeFails++
		}
		return Failed
	case hb.Machine == m.Name:
		return NewHeartbeat
	default:
		return Ignored
	}
}
