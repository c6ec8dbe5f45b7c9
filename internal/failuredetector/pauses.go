package failuredetector

import (
	"time"

	"example.org/ivytrestle/internal/cluster"
)

const (
	// pauseThreshold is the time between two ticks from which this process counts as paused.
	pauseThreshold = 400 * time.Millisecond
	// longPauseThreshold is the time between two ticks from which this node cannot have handled its
	// machines' heartbeats.
	longPauseThreshold = 2 * time.Second
)

// DetectPause detects pauses of this process from the time since the last tick. It reports whether
// this node has been unable to handle heartbeats for a while, because its process was paused or it
// was not allowed to answer them. All machines then count as seen now; otherwise the first action
// after an outage of the key-value store would be to terminate the whole fleet.
//
// Short pauses are frequent on a controller with too little CPU time. Their duration does not count
// towards missed heartbeats, and a response due during one does not count as missing.
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

// RanContinuouslySince reports whether this process was not paused since a request was sent. After a
// pause, a response may be waiting to be read although its timeout has passed. Unlike in other
// methods, now must be read from the clock for this call, because the last tick may be long ago.
func (d *Detector) RanContinuouslySince(sentAt, now time.Time) bool {
	return !d.lastPause.After(sentAt) && now.Sub(d.lastTick) < pauseThreshold
}
