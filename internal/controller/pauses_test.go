package controller

import (
	"errors"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
)

// blockOwner blocks the owner goroutine of a node for some time, as a pause of the process does.
func (n *node) blockOwner(d time.Duration) {
	n.inspect(func(*Controller) { time.Sleep(d) })
}

// blockOwnerInBackground starts to block the owner goroutine and returns a channel that is closed
// when it is no longer blocked.
func (n *node) blockOwnerInBackground(d time.Duration) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		n.blockOwner(d)
		close(ended)
	}()
	time.Sleep(time.Millisecond)
	return ended
}

// A leader with too little processor time may find that a probe has timed out before it could read
// the response. It must not treat the machine as dead, or it would terminate machines, with their
// tasks, whenever it is overloaded. Once the pauses end, it must still detect a machine that is
// dead.
func TestPausedLeaderConfirmsNoMachineDead(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		ks := w.workers("i-1", "i-2", "i-3", "i-4")
		heartbeatAll(ks, n, 3)
		w.unresponsive.Store("i-1", true)
		for range 10 {
			for _, k := range ks[1:] {
				k.heartbeat(n)
			}
			time.Sleep(300 * time.Millisecond)
			n.blockOwner(700 * time.Millisecond)
		}
		w.checkEqual("terminated during the pauses", w.cloud.terminated("i-1"), false)
		heartbeatAll(ks[1:], n, 6)
		w.checkEqual("terminated after the pauses", w.cloud.terminated("i-1"), true)
	})
}

// A heartbeat that was queued before the leader lease expired and is handled afterwards must be
// rejected: the leader must read the clock when it handles a message, not when it is queued.
func TestLeaderLeaseExpiresDuringPause(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		k := w.worker("i-1", "a", false)
		k.heartbeatFor(n, 2)
		w.submit(n, spec("job-1", 1))
		w.store.SetDown(true) // the lease is not renewed from now on
		var leaseExpiry time.Time
		n.inspect(func(c *Controller) { leaseExpiry = c.leaderTerm.leaseExpiry })
		time.Sleep(time.Until(leaseExpiry) - 200*time.Millisecond)
		pauseEnded := n.blockOwnerInBackground(500 * time.Millisecond)
		commands, err := k.sendHeartbeat(n) // queued before the expiry, handled after it
		<-pauseEnded
		if err == nil || len(commands) > 0 {
			w.t.Errorf("got commands %v, error %v after the lease expired, want an error", commands, err)
		}
	})
}

// A heartbeat that waited in the queue until its agent has timed out must not be applied: start
// commands would be assigned in a response that nobody receives.
func TestHeartbeatThatWaitedTooLongStartsNothing(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		k := w.worker("i-1", "a", false)
		k.heartbeatFor(n, 2)
		w.submit(n, spec("job-1", 1))
		pauseEnded := n.blockOwnerInBackground(maxHeartbeatQueueTime + 100*time.Millisecond)
		k.status.Seq++
		hb := k.status
		_, err := n.Heartbeat(w.t.Context(), &hb)
		<-pauseEnded
		if !errors.Is(err, api.ErrUnavailable) {
			w.t.Errorf("got error %v, want %v", err, api.ErrUnavailable)
		}
		attempts := 0
		n.inspect(func(c *Controller) { attempts = len(c.leaderTerm.jobs["job-1"].ActiveAttempts) })
		w.checkEqual("attempts", attempts, 0)
		k.heartbeatFor(n, 2)
		w.checkEqual("running after the next heartbeat", len(k.running()), 1)
	})
}
