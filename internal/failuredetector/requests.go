package failuredetector

import (
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
)

// RequestKind is the kind of a request to a machine.
type RequestKind int

const (
	// NoRequest means that there is no request to send.
	NoRequest RequestKind = iota
	// Probe requests a heartbeat to find out whether the machine is alive.
	Probe
	// Resync requests a heartbeat with this term, which fences the machine.
	Resync
)

// Request is a request for the owner to send to a machine. Apart from Machine, which is shared, its
// fields do not change after it is sent.
type Request struct {
	Kind    RequestKind
	Machine *cluster.Machine
	SentAt  time.Time
	// agentEpoch and heartbeatSeq are those of the machine's newest heartbeat when a probe is sent.
	agentEpoch, heartbeatSeq uint64
}

// nextRequest returns the next request to a suspect machine. It returns NoRequest if the last one was
// sent less than probeInterval ago, or if too many requests are in flight. An unfenced machine is
// resynced, which both fences it and shows whether it is alive; any other machine is probed.
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

// QueueResync queues a machine to be resynced.
func (d *Detector) QueueResync(m *cluster.Machine) { d.toResync = append(d.toResync, m) }

// NextResync returns a resync of the next queued machine that still needs one. It returns NoRequest
// if there is none or too many resyncs are in flight.
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

// BeginResync returns a resync of a machine and counts it as in flight. Unlike Check and NextResync,
// it does not check the limit of resyncs in flight. A machine that does not answer is resynced again
// like any suspect machine.
func (d *Detector) BeginResync(m *cluster.Machine, now time.Time) Request {
	d.resyncing++
	m.NextProbe = now.Add(probeInterval)
	return Request{Kind: Resync, Machine: m, SentAt: now}
}

// Result is the meaning of a request's outcome.
type Result int

const (
	// Ignored means that the outcome shows nothing: the machine is already terminated, or another
	// machine answered a resync.
	Ignored Result = iota
	// Failed means that there was no valid answer. The failure was counted against the machine
	// unless this node may have caused it.
	Failed
	// Restarted means that the worker agent was restarted under the same name before its absence was
	// detected. All its heartbeats would be rejected as outdated, and its former tasks would count as
	// running indefinitely. Only terminating the machine confirms that these tasks have ended, so it
	// must be evacuated with ReasonRestarted and terminated.
	Restarted
	// NewHeartbeat means that the answer is a heartbeat to apply.
	NewHeartbeat
	// Alive means that the machine is alive although its heartbeats do not arrive. The heartbeat in
	// the answer is not applied, so the outcome shows only that the machine is not dead.
	Alive
)

// ProbeResult handles the end of a probe, whose answer is a heartbeat or an error, and returns what
// it shows. canApply is set if the owner may apply heartbeats now.
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
		// The machine's task lease expired while it could reach no controller, so its tasks have
		// ended. Its own heartbeats may still not arrive for a long time.
		return NewHeartbeat
	default:
		m.ProbeFails = 0
		m.LastSeen = now
		return Alive
	}
}

// probeFailed counts a failed probe against the machine, unless the machine was seen since the probe
// was sent or this node was paused.
func (d *Detector) probeFailed(r Request, now time.Time) {
	suspect := r.Machine.LastSeen.Before(r.SentAt) || r.Machine.UnappliedResponses > 0
	if suspect && d.RanContinuouslySince(r.SentAt, now) {
		r.Machine.ProbeFails++
	}
}

// showsRestart reports whether the heartbeat is older than the newest one that was applied before the
// probe was sent, according to its agent epoch and sequence number.
func (r Request) showsRestart(hb *api.Heartbeat) bool {
	return hb.AgentEpoch < r.agentEpoch || hb.AgentEpoch == r.agentEpoch && hb.Seq < r.heartbeatSeq
}

// ResyncResult handles the end of a resync, whose answer is a heartbeat or an error, and returns what
// it shows.
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
