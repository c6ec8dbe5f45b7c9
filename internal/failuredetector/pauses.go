package failuredetector

import (
	"time"

	"example.org/ivytrestle/internal/cluster"
)

// A tick that is pauseThreshold late shows a process pause, and one that is longPauseThreshold late
// that this node cannot have received its machines' heartbeats.
const (
	pauseThreshold     = 400 * time.Millisecond
	longPauseThreshold = 2 * time.Second
)

// DetectPause detects process pauses, by the time since the last tick, and reports whether this
// node has just been unable to handle its machines' heartbeats for a while: it may not have been
// allowed to answer them, or its process was paused.
// No machine counts as suspect for that, or the first act after an outage of the key-value store
// would be to terminate the whole fleet. On a controller with too little processor time short
// pauses are frequent: the time of a pause counts as no missed heartbeat either, and a response
// that was due meanwhile is not taken for missing.
func (d *Detector) DetectPause(machines map[string]*cluster.Machine, now time.Time) bool {
	gap := now.Sub(d.lastTick)
	first := d.lastTick.IsZero()
	d.lastTick = now
	if first || gap < pauseThreshold {
		return false
	}
	d.lastPause = now
	longPause := gap >= longPauseThreshold
	if longPause {
		d.heartbeatsSince = now
	}
	for _, m := range machines {
		if m.LastSeen = m.LastSeen.Add(gap); longPause || m.LastSeen.After(now) {
			m.LastSeen = now
		}
	}
	return longPause
}

// RanContinuouslySince reports whether there was no process pause since a request was sent. After one, a
// response may wait to be read although its time limit has passed. Unlike other arguments, now must
// be read from the clock when this is called: the last tick may be long ago.
func (d *Detector) RanContinuouslySince(sentAt, now time.Time) bool {
	return !d.lastPause.After(sentAt) && now.Sub(d.lastTick) < pauseThreshold
}
