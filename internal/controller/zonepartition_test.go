package controller

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
)

// pair is a leader n0 and a follower n1, each with its own way to the store.
func (w *simulatedCluster) pair(zones ...string) (l *links, a, b *node, ga, gb *gate) {
	if len(zones) == 2 {
		w.zones = map[string]string{"n0": zones[0], "n1": zones[1]}
	}
	l, ga, gb = &links{}, &gate{Fake: w.store}, &gate{Fake: w.store}
	a = l.add("n0", w.startWith("n0", ga, l))
	b = l.add("n1", w.startWith("n1", gb, l))
	time.Sleep(12 * time.Second)
	return l, a, b, ga, gb
}

// answered is a worker's report to whichever node answers it.
func (k *worker) either(nodes ...*node) {
	for _, n := range nodes {
		if commands, err := k.sendHeartbeat(n); err == nil {
			k.applyCommands(commands)
			return
		}
	}
}

// A leader that the store refuses while it answers others resigns, instead of
// holding the leadership until its lease ends: the other takes over at once
// and the work goes on, with no task on two machines. Users' polls are answered
// at both, and new users are sent to the other.
func TestLeaderRefusedByTheStoreResigns(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		_, a, b, ga, _ := w.pair()
		k := w.worker("i-1", "", false)
		w.submit(a, spec("job-1", 6))
		k.serve(a, 3)
		w.checkEqual("running", len(k.running()), 4)
		term := k.status.Term
		ga.set(true)
		for range 10 {
			k.either(a, b)
			time.Sleep(time.Second)
		}
		w.checkEqual("next term", k.status.Term > term, true)
		w.checkEqual("goes on", len(k.running()), 4)
		w.checkEqual("refused node ready", a.Ready(), false)
		w.checkEqual("other node ready", b.Ready(), true)
		w.checkEqual("poll at the refused node", w.phase(a, "job-1"), "running")
		if _, err := b.Cancel(context.Background(), "job-1"); err != nil {
			t.Error(err)
		}
		w.checkEqual("cancelled, at the refused node", w.phase(a, "job-1"), "withdrawn")
		for range 4 { // the next leader hears of it through its watch
			k.either(a, b)
			time.Sleep(time.Second)
		}
		w.checkEqual("stopped", len(k.running()), 0)
		ga.set(false)
		time.Sleep(20 * time.Second)
		w.checkEqual("ready again", a.Ready(), true)
		if _, err := k.sendHeartbeat(a); err == nil {
			t.Error("the former leader answered a machine")
		}
	})
}

// An outage is not mistaken for being shut out: nobody resigns, and all stay
// ready, or users would find no node when it ends.
func TestOutageIsNotMistakenForBeingShutOut(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		_, a, b, _, _ := w.pair()
		k := w.worker("i-1", "", false)
		k.serve(a, 2)
		term := k.status.Term
		w.store.SetDown(true)
		for range 25 {
			k.either(a, b)
			w.checkEqual("ready", a.Ready() && b.Ready(), true)
			time.Sleep(time.Second)
		}
		w.store.SetDown(false)
		for range 12 {
			k.either(a, b)
			time.Sleep(time.Second)
		}
		w.checkEqual("term", k.status.Term, term)
	})
}

// A node without the store and the other nodes, but with its workers: its
// entitlement ends in time whether it leads or not, it tells users nothing
// old, and it draws no users whom it can only fail. Under the next leader
// nothing runs twice.
func TestNodeAloneWithItsWorkers(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		l, a, b, ga, _ := w.pair()
		k, other := w.worker("i-1", "", false), w.worker("i-2", "", false)
		w.submit(a, spec("job-1", 3))
		k.serve(a, 3)
		w.checkEqual("running", len(k.running()), 3)
		ga.set(true)
		l.cut.Store(true)
		last := time.Now()
		for range 60 {
			if commands, err := k.sendHeartbeat(a); err == nil {
				k.applyCommands(commands)
				last = time.Now()
			}
			if _, err := b.Cancel(context.Background(), "job-1"); err != nil {
				t.Error(err)
			}
			if got := w.phase(a, "job-1"); got == "running" || got == "pending" || got == "done" {
				t.Fatalf("told %s after the cancellation", got)
			}
			other.either(b)
			time.Sleep(time.Second)
		}
		if answered := time.Since(last); answered < 25*time.Second {
			t.Errorf("acted until %v ago", answered)
		}
		w.checkEqual("ready", a.Ready(), false)
		w.checkEqual("the other leads", other.status.Term > k.status.Term, true)
		w.checkEqual("ran twice", len(other.running()), 0)
	})
	simulate(t, func(w *simulatedCluster) {
		l, a, b, _, gb := w.pair()
		k := w.worker("i-1", "", false)
		k.serve(a, 2)
		gb.set(true)
		l.cut.Store(true)
		time.Sleep(30 * time.Second)
		if _, err := k.sendHeartbeat(b); err == nil {
			t.Error("a follower alone answered a machine")
		}
		w.checkEqual("ready", b.Ready(), false)
		w.checkEqual("leader ready", a.Ready(), true)
	})
}

// With the connections between the nodes refused, a follower answers polls of
// unfinished jobs from the store; refused by the store alone, it asks the
// leader.
func TestPollsAreAnsweredAtAFollowerInTrouble(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		l, a, b, _, gb := w.pair()
		k := w.worker("i-1", "", false)
		w.submit(a, spec("job-1", 1))
		k.serve(a, 3)
		l.cut.Store(true)
		for range 5 {
			w.checkEqual("peers refused", w.phase(b, "job-1"), "pending")
			k.serve(a, 1)
		}
		l.cut.Store(false)
		gb.set(true)
		k.serve(a, 5)
		w.checkEqual("store refused", w.phase(b, "job-1"), "running")
		w.checkEqual("unknown job", w.phase(b, "job-9"), api.ErrUnknownJob.Error())
		k.exit(api.CauseDone)
		k.serve(a, 3)
		w.checkEqual("done", w.phase(b, "job-1"), "done")
	})
}

// While nobody leads, a node refused by the store has another one read it.
func TestPollWithoutStoreAndLeader(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		dead := w.start("n9")
		w.submit(dead, spec("job-1", 1))
		dead.crash()
		_, a, _, ga, _ := w.pair()
		ga.set(true)
		time.Sleep(4 * time.Second)
		w.checkEqual("known job", w.phase(a, "job-1"), "pending")
		w.checkEqual("unknown job", w.phase(a, "job-2"), api.ErrUnknownJob.Error())
	})
}

// A machine of another zone than the leader's reports through a node of its
// own zone. When the zones cannot reach each other any more, its lease is kept
// up there without a break.
func TestReportsPassThroughANodeOfTheZone(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		l, a, b, _, _ := w.pair("a", "b")
		near, far := w.worker("i-1", "a", false), w.worker("i-2", "b", false)
		near.serve(a, 3)
		far.serve(a, 2)
		var other *api.NotLeaderError
		if _, err := far.sendHeartbeat(a); !errors.As(err, &other) || other.Leader != "n1" {
			t.Fatalf("sent on: %v", err)
		}
		far.serve(b, 2)
		w.submit(a, spec("job-1", 8))
		near.serve(a, 4)
		far.serve(b, 4)
		w.checkEqual("passed on", len(far.running()), 4)
		w.checkEqual("direct", len(near.running()), 4)
		far.exit(api.CauseDone)
		far.serve(b, 4)
		w.checkEqual("results", w.phase(a, "job-1"), "running")
		l.cut.Store(true)
		for i := range 30 {
			if _, err := far.sendHeartbeat(b); err != nil {
				b.inspect(func(c *Controller) { t.Logf("%+v", c.leaseRenewer) })
				t.Fatalf("not kept alive after %d s: %v", i, err)
			}
			near.heartbeat(a)
			time.Sleep(time.Second)
		}
		w.checkEqual("given up", w.cloud.terminated("i-2"), false)
		l.cut.Store(false)
		far.serve(b, 3)
		w.submit(a, spec("job-2", 4))
		far.serve(b, 3)
		w.checkEqual("goes on", len(far.running()), 4)
		// One node being sent to the other and back must end.
		if _, err := far.sendHeartbeat(a); err != nil {
			if _, err = far.sendHeartbeat(a); err != nil {
				t.Errorf("sent to and fro: %v", err)
			}
		}
	})
}

// A leader that loses the way to its machines, but not to the other nodes, keeps
// them: they come to another node, which passes their reports on. One that may
// not know who leads is told first, and after a while all are.
func TestMachinesThatCannotReachTheLeader(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		_, a, b, _, _ := w.pair()
		k := w.worker("i-1", "", false)
		k.serve(a, 3)
		redirected := func() bool {
			var other *api.NotLeaderError
			_, err := k.sendHeartbeat(b)
			return errors.As(err, &other) && other.Leader == "n0"
		}
		w.checkEqual("told who leads, though it must know", redirected(), false)
		k.status.Machine, k.status.Term = "i-2", 0
		w.checkEqual("told who leads", redirected(), true)
		w.checkEqual("told at once again", redirected(), true)
		time.Sleep(5 * time.Second)
		w.submit(a, spec("job-1", 4))
		k.serve(b, 20)
		w.checkEqual("works", len(k.running()), 4)
		k.exit(api.CauseDone)
		k.serve(b, 3)
		w.checkEqual("done", w.phase(a, "job-1"), "done")
		time.Sleep(time.Minute)
		w.checkEqual("told again", redirected(), true)
		w.checkEqual("given up", w.cloud.terminated("i-2"), false)
	})
}

// When only the connections between the nodes are refused, machines go to the
// leader themselves, those of its own zone, too. One that comes back, because
// it cannot reach the leader either, is kept alive.
func TestConnectionsBetweenNodesRefused(t *testing.T) {
	refusedBetweenNodes(t, "b", 1)
	refusedBetweenNodes(t, "a", 1)
}

func refusedBetweenNodes(t *testing.T, zone string, times int) {
	simulate(t, func(w *simulatedCluster) {
		l, a, b, _, _ := w.pair("a", "b")
		far := w.worker("i-2", zone, false)
		far.serve(a, 3)
		far.serve(b, 3)
		l.refuseConnections.Store(true)
		l.cut.Store(true)
		var other *api.NotLeaderError
		sentOn := 0
		for range 20 {
			_, err := far.sendHeartbeat(b)
			if errors.As(err, &other) && other.Leader == "n0" {
				sentOn++
			} else if err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
		}
		w.checkEqual("sent on", sentOn, times)
		if _, err := far.sendHeartbeat(a); err != nil {
			t.Errorf("the leader sent it back: %v", err)
		}
	})
}

// far is a machine beyond the cut that reports to n1, while n0 leads.
func (w *simulatedCluster) beyondTheCut() (l *links, a, b *node, gb *gate, near, far *worker) {
	l, a, b, _, gb = w.pair("a", "b")
	near, far = w.worker("i-1", "a", false), w.worker("i-2", "b", false)
	near.serve(a, 3)
	far.serve(a, 2)
	far.serve(b, 2)
	l.cut.Store(true)
	for range 5 {
		near.heartbeat(a)
		far.heartbeat(b)
		time.Sleep(time.Second)
	}
	return l, a, b, gb, near, far
}

// While the zones cannot reach each other but both reach the store, work goes
// on beyond the cut: reports and orders go through the store.
func TestWorkGoesOnBeyondTheCut(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		l, a, b, _, near, far := w.beyondTheCut()
		w.submit(a, spec("job-1", 12))
		for range 8 {
			near.heartbeat(a)
			far.heartbeat(b)
			time.Sleep(time.Second)
		}
		w.checkEqual("begun on both sides", len(near.running())+len(far.running()), 8)
		for range 2 {
			far.exit(api.CauseDone)
			for range 8 {
				near.heartbeat(a)
				far.heartbeat(b)
				time.Sleep(time.Second)
			}
		}
		w.checkEqual("the rest ran there", len(far.running()), 0)
		near.exit(api.CauseDone)
		near.serve(a, 3)
		w.checkEqual("phase", w.phase(a, "job-1"), "done")
		w.submit(a, spec("job-2", 8))
		for range 6 {
			near.heartbeat(a)
			far.heartbeat(b)
			time.Sleep(time.Second)
		}
		if _, err := b.Cancel(context.Background(), "job-2"); err != nil {
			t.Error(err)
		}
		for range 6 {
			near.heartbeat(a)
			far.heartbeat(b)
			time.Sleep(time.Second)
		}
		w.checkEqual("cancelled on both sides", len(near.running())+len(far.running()), 0)
		l.cut.Store(false)
		time.Sleep(2 * time.Second)
		far.serve(b, 3)
		w.submit(a, spec("job-3", 8))
		for range 4 {
			near.heartbeat(a)
			far.heartbeat(b)
			time.Sleep(time.Second)
		}
		w.checkEqual("after the cut", len(near.running())+len(far.running()), 8)
	})
}

// Orders that are on their way through the store may be handed out later than
// any report shows: until the node has told what became of them, their tasks
// begin nowhere else.
func TestRelayedOrdersBeginOnce(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		l, a, b, _, near, far := w.beyondTheCut()
		busy := spec("job-0", 4)
		busy.Zone = "a"
		w.submit(a, busy)
		near.serve(a, 2)
		w.submit(a, spec("job-1", 2))
		time.Sleep(3 * time.Second) // ordered through the store, not handed out yet
		pending := false
		a.inspect(func(c *Controller) { pending = len(c.leaderTerm.downlink.nodes["n1"].pending) > 0 })
		far.heartbeat(b) // hands them out, if they came by now
		if !pending && len(far.running()) == 0 {
			far.heartbeat(b)
			time.Sleep(1500 * time.Millisecond)
		}
		// The machine also reaches the leader, with a report that shows nothing.
		blank := far.status
		blank.Tasks = nil
		blank.Seq++
		far.status.Seq++
		if commands, err := far.deliver(a, &blank); err == nil {
			far.applyCommands(commands)
		}
		near.exit(api.CauseDone)
		starts := map[string]int{}
		for range 12 {
			for _, o := range near.heartbeat(a) {
				if o.Verb == api.VerbStart {
					starts[o.Task]++
				}
			}
			far.heartbeat(b)
			time.Sleep(time.Second)
		}
		for _, task := range far.running() {
			starts[task]++
		}
		w.checkEqual("begun once each", starts, map[string]int{"job-1/0": 1, "job-1/1": 1})
		l.cut.Store(false)
	})
}

// A node that is started anew has forgotten the orders it was given, and one
// that loses the store hands out none that are old.
func TestRelayedOrdersAreForgottenOrExpire(t *testing.T) {
	for _, crash := range []bool{true, false} {
		simulate(t, func(w *simulatedCluster) {
			l, a, b, gb, near, far := w.beyondTheCut()
			busy := spec("job-0", 4)
			busy.Zone = "a"
			w.submit(a, busy)
			near.serve(a, 2)
			w.submit(a, spec("job-1", 2))
			given := func(c *Controller) int {
				if m := c.uplink.machines["i-2"]; m != nil {
					return len(m.commands)
				}
				return 0
			}
			n := 0
			for i := 0; n == 0 && i < 8; i++ {
				if i == 0 {
					far.heartbeat(b)
				}
				time.Sleep(time.Second)
				b.inspect(func(c *Controller) { n = max(n, given(c)) })
			}
			w.checkEqual("given to the node", n > 0, true)
			if crash {
				b.crash()
				time.Sleep(200 * time.Millisecond)
				b = l.add("n1", w.startWith("n1", gb, l))
			} else {
				time.Sleep(relayCommandLifetime + 2*time.Second)
			}
			commands, _ := far.sendHeartbeat(b)
			for _, o := range commands {
				w.checkEqual("handed out late", o.Verb == api.VerbStart, false)
			}
			l.cut.Store(false)
			near.exit(api.CauseDone)
			for range 12 {
				near.heartbeat(a)
				far.either(a, b)
				time.Sleep(time.Second)
			}
			w.checkEqual("begun once", len(near.running())+len(far.running()), 2)
		})
	}
}

// A node that was given orders and never comes back tells nothing more: its
// machine is returned, and only then the tasks begin elsewhere.
func TestRelayingNodeNeverComesBack(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		_, a, b, _, near, far := w.beyondTheCut()
		busy := spec("job-0", 4)
		busy.Zone = "a"
		w.submit(a, busy)
		near.serve(a, 2)
		w.submit(a, spec("job-1", 2))
		pending := false
		for i := 0; !pending && i < 40; i++ {
			if i%5 == 0 {
				far.heartbeat(b)
			}
			time.Sleep(200 * time.Millisecond)
			a.inspect(func(c *Controller) { pending = len(c.leaderTerm.downlink.nodes["n1"].pending) > 0 })
		}
		w.checkEqual("ordered", pending, true)
		b.crash()
		near.exit(api.CauseDone)
		for range 40 {
			if w.cloud.terminated("i-2") {
				break
			}
			for _, o := range near.heartbeat(a) {
				w.checkEqual("begun while it may begin there", o.Verb == api.VerbStart, false)
			}
			far.heartbeat(a)
			time.Sleep(time.Second)
		}
		w.checkEqual("returned", w.cloud.terminated("i-2"), true)
		near.serve(a, 3)
		w.checkEqual("begun", len(near.running()), 2)
	})
}

// A machine beyond the cut that reports more often than orders take to come,
// while work keeps coming: no order is overwritten by a later one, and none is
// handed out to a new session.
func TestRelayedOrdersAreNotLost(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		l, a, b, _, _, far := w.beyondTheCut()
		for i := range 60 {
			if i < 20 {
				w.submit(a, spec(fmt.Sprint("job-", i), 1))
			}
			if i%4 == 3 {
				far.exit(api.CauseDone)
			}
			if i == 30 {
				far.mu.Lock()
				far.status.AgentEpoch++
				far.status.Tasks = nil
				far.mu.Unlock()
				commands, _ := far.sendHeartbeat(b)
				for _, o := range commands {
					w.checkEqual("handed to a new session", o.Verb == api.VerbStart, false)
				}
			}
			far.heartbeat(b)
			time.Sleep(200 * time.Millisecond)
		}
		l.cut.Store(false)
		for range 12 {
			far.exit(api.CauseDone)
			far.either(a, b)
			time.Sleep(time.Second)
		}
		for i := range 20 {
			w.checkEqual(fmt.Sprint("job ", i), w.phase(a, fmt.Sprint("job-", i)), "done")
		}
		w.checkEqual("machine kept", w.cloud.terminated("i-2"), false)
	})
}

// During a cut the leader is started anew, and then the node beyond the cut:
// the machines there keep their tasks, learn the new term, and are heard
// through the store.
func TestRestartsDuringACut(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		l, a, b, gb, near, far := w.beyondTheCut()
		w.submit(a, spec("job-1", 8))
		round := func(n int) {
			for range n {
				near.heartbeat(a)
				far.heartbeat(b)
				time.Sleep(time.Second)
			}
		}
		round(8)
		w.checkEqual("begun", len(near.running())+len(far.running()), 8)
		term := far.status.Term
		a.crash()
		time.Sleep(200 * time.Millisecond)
		a = l.add("n0", w.startWith("n0", w.store, l))
		round(8)
		w.checkEqual("new term beyond the cut", far.status.Term > term, true)
		w.checkEqual("kept", len(far.running()), 4)
		b.crash()
		time.Sleep(200 * time.Millisecond)
		b = l.add("n1", w.startWith("n1", gb, l))
		time.Sleep(4 * time.Second)
		round(4)
		if _, err := far.sendHeartbeat(b); err != nil {
			t.Errorf("not kept alive by the node started anew: %v", err)
		}
		w.checkEqual("kept again", len(far.running()), 4)
	})
}
