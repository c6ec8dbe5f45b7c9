package failuredetector

import (
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
)

// responseMaxAge is the age at which worker agents drop a response. A process pause within that
// time before a response may have delayed it so far.
const responseMaxAge = 4 * time.Second

// MaxCordon is how long a machine is cordoned at most.
const MaxCordon = 30 * time.Second

// maxCordonDoublings bounds the cordon of a machine that does not apply responses: it starts from
// the heartbeat interval and doubles with each response.
const maxCordonDoublings = 5

// CheckApplied checks whether a heartbeat, whose tasks are already among the machine's attempts,
// shows that any command of the last response was applied, and reports false if it counts that
// response as unapplied. To a machine whose heartbeats arrive while responses do not reach it,
// starts would otherwise be sent again and again. The heartbeat arrived at arrivedAt.
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
	// One response may be lost; after a second one the machine gets no tasks for a while.
	if m.UnappliedResponses++; m.UnappliedResponses > 1 {
		cordon := d.settings.Workers.HeartbeatInterval() << min(m.UnappliedResponses, maxCordonDoublings)
		m.CordonedUntil = arrivedAt.Add(min(cordon, MaxCordon))
	}
	m.NextProbe = arrivedAt
	return false
}

// showsApplied tells whether the newest heartbeat shows that a command was applied.
func showsApplied(m *cluster.Machine, command api.Command) bool {
	a := m.Attempts[cluster.AttemptKey{Ref: command.Task, ID: command.Attempt}]
	shown := a != nil && a.LastSeenHeartbeat == m.HeartbeatCount
	stopping := shown && command.Verb == api.VerbStop && a.Phase != api.TaskRunning
	return (command.Verb == api.VerbStart) == shown || stopping
}

// AgentEpochChanged records that a heartbeat that arrived at arrivedAt shows a new agent epoch. The
// machine's task lease has expired although it was answered, unless a pause of this process kept
// the answers back.
func (d *Detector) AgentEpochChanged(m *cluster.Machine, arrivedAt, now time.Time) {
	if d.RanContinuouslySince(arrivedAt.Add(-d.settings.Workers.Lease()-d.HeartbeatTimeout()), now) {
		m.UnappliedResponses++
	}
	m.LastCommands = nil
}
