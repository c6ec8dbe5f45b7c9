package controller

import (
	"context"
	"errors"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
)

// hold keeps the owner of a node from doing anything for a while, as a processor
// does whose share is used up.
func (n *node) hold(d time.Duration) {
	n.inspect(func(*Controller) { time.Sleep(d) })
}

// A leader with too little processor time finds that the time for its question
// to a machine has passed before it could read the answer. That must not have the
// machine taken for dead: it would lose its tasks, and the fleet would be given
// back just when the leader can follow least. One that is dead is found all the
// same once the leader is in time again.
func TestHeldUpLeaderTakesNobodyForDead(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		ks := []*worker{w.worker("i-1", "a", false), w.worker("i-2", "a", false), w.worker("i-3", "a", false), w.worker("i-4", "a", false)}
		for range 3 {
			for _, k := range ks {
				k.heartbeat(n)
			}
			time.Sleep(time.Second)
		}
		w.unresponsive.Store("i-1", true)
		for range 10 {
			for _, k := range ks[1:] {
				k.heartbeat(n)
			}
			time.Sleep(300 * time.Millisecond)
			n.hold(700 * time.Millisecond)
		}
		w.checkEqual("given back while held up", w.cloud.terminated("i-1"), false)
		for range 6 {
			for _, k := range ks[1:] {
				k.heartbeat(n)
			}
			time.Sleep(time.Second)
		}
		w.checkEqual("given back after", w.cloud.terminated("i-1"), true)
	})
}

// What was queued while the leader was entitled is not acted on after that: the
// clock is looked at when acting.
func TestEntitlementEndsWhileTheOwnerIsHeldUp(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		k := w.worker("i-1", "a", false)
		k.serve(n, 2)
		w.submit(n, spec("job-1", 1))
		w.store.SetDown(true) // no renewal is answered from here on
		var until time.Time
		n.inspect(func(c *Controller) { until = c.leaderTerm.leaseExpiry })
		time.Sleep(time.Until(until) - 200*time.Millisecond)
		held := make(chan struct{})
		go func() { n.hold(500 * time.Millisecond); close(held) }()
		time.Sleep(time.Millisecond)
		commands, err := k.sendHeartbeat(n) // queued in time, looked at too late
		<-held
		if err == nil || len(commands) > 0 {
			t.Errorf("answered with %v after the entitlement had ended", commands)
		}
	})
}

// A report that has waited for so long that its worker gives up is not taken in:
// starts would go out in an answer that is dropped.
func TestReportThatWaitedTooLongStartsNothing(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		k := w.worker("i-1", "a", false)
		k.serve(n, 2)
		w.submit(n, spec("job-1", 1))
		held := make(chan struct{})
		go func() { n.hold(heartbeatMaxAge + 100*time.Millisecond); close(held) }()
		time.Sleep(time.Millisecond)
		k.status.Seq++
		hb := k.status
		_, err := n.Heartbeat(context.Background(), &hb)
		<-held
		if !errors.Is(err, api.ErrUnavailable) {
			t.Errorf("answered: %v", err)
		}
		started := 0
		n.inspect(func(c *Controller) { started = len(c.leaderTerm.jobs["job-1"].ActiveAttempts) })
		w.checkEqual("starts ordered", started, 0)
		k.serve(n, 2)
		w.checkEqual("runs after the next report", len(k.running()), 1)
	})
}
