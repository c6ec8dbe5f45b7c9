package failuredetector

import (
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
)

// responseMaxAge is the age at which worker agents drop a response. A pause of this process that ends
// less than that before the response is sent may make it that old.
const responseMaxAge = 4 * time.Second

// MaxCordon is the longest time for which a machine is cordoned.
const MaxCordon = 30 * time.Second

// maxCordonDoublings limits the cordon of a machine that applies no responses. The cordon is the
// heartbeat interval, doubled with each unapplied response.
const maxCordonDoublings = 5

// CheckApplied reports whether a heartbeat that arrived at arrivedAt shows that any command of the
// last response was applied. It also reports true if that response had no commands, or if a pause of
// this process may have delayed it. Otherwise it counts the response as unapplied: without this
// count, starts would be sent again and again to a machine whose heartbeats arrive while responses
// do not reach it. The heartbeat's tasks must already be among the machine's attempts.
func (d *Detector) CheckApplied(m *cluster.Machine, arrivedAt, now time.Time) bool {
	if len(m.LastCommands) == 0 {
		return true
	}
	for _, command := range m.LastCommands {
		if showsApplied(m, command) {
			m.UnappliedResponses = 0
			return true
		}
	}
	if !d.RanContinuouslySince(m.LastCommandsAt.Add(-responseMaxAge), now) {
		return true // the response may have arrived too late because this node was paused
	}
	// A single response may be lost. From the second one on, the machine is cordoned.
	if m.UnappliedResponses++; m.UnappliedResponses > 1 {
		cordon := d.settings.Workers.HeartbeatInterval() << min(m.UnappliedResponses, maxCordonDoublings)
		m.CordonedUntil = arrivedAt.Add(min(cordon, MaxCordon))
	}
	m.NextProbe = arrivedAt
	return false
}

// showsApplied reports whether the newest heartbeat shows that a command was applied.
func showsApplied(m *cluster.Machine, command api.Command) bool {
	a := m.Attempts[cluster.AttemptKey{Ref: command.Task, ID: command.Attempt}]
	shown := a != nil && a.LastSeenHeartbeat == m.HeartbeatCount
	stopping := shown && command.Verb == api.VerbStop && a.Phase != api.TaskRunning
	return (command.Verb == api.VerbStart) == shown || stopping
}

// AgentEpochChanged handles a heartbeat that shows a new agent epoch and arrived at arrivedAt. A new
// epoch means that the machine's task lease expired although its heartbeats were answered. It is
// counted like an unapplied response, unless a pause of this process delayed the answers.
func (d *Detector) AgentEpochChanged(m *cluster.Machine, arrivedAt, now time.Time) {
	if d.RanContinuouslySince(arrivedAt.Add(-d.settings.Workers.Lease()-d.HeartbeatTimeout()), now) {
		m.UnappliedResponses++
	}
	m.LastCommands = nil
}
