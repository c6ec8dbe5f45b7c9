package controller

import (
	"time"
)

// A tick that comes pauseThreshold late shows that this process was held up, and one
// that comes longPauseThreshold late that it cannot have heard its machines.
const (
	pauseThreshold     = 400 * time.Millisecond
	longPauseThreshold = 2 * time.Second
)

// commandsUndelivered notices that this node could not hear its machines for a while: it may
// not have been entitled to answer them, or it was held up itself. None of them
// is silent on that account, or the first thing after an outage of the state
// service would be to give the whole fleet back. On a controller with too little
// processor time that happens in small: what it was late by is no silence either,
// and no answer that it waited for meanwhile is missing.
func (lt *leaderTerm) commandsUndelivered(now time.Time) bool {
	gap := now.Sub(lt.lastTick)
	first := lt.lastTick.IsZero()
	lt.lastTick = now
	if first || gap < pauseThreshold {
		return false
	}
	lt.lastPause = now
	lost := gap >= longPauseThreshold
	if lost {
		lt.heartbeatsSince = now
	}
	for _, m := range lt.machines {
		if m.lastSeen = m.lastSeen.Add(gap); lost || m.lastSeen.After(now) {
			m.lastSeen = now
		}
	}
	return lost
}

// notPausedSince tells whether this node has not been held up since it asked something.
// If it was, an answer may wait to be read although the time for it has passed.
func (lt *leaderTerm) notPausedSince(sentAt time.Time) bool {
	return !lt.lastPause.After(sentAt) && time.Since(lt.lastTick) < pauseThreshold
}
