package controller

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/records"
)

// A machine that shows no order carried out in report after report gets no
// more work and is returned, whether or not it answers probes; one lost answer
// condemns nobody.
func TestDeafMachineIsReturned(t *testing.T) {
	for _, answersProbes := range []bool{false, true} {
		simulate(t, func(w *cluster) {
			n := w.start("n0")
			deaf, well := w.worker("i-1", "a", false), w.worker("i-2", "a", false)
			deaf.serve(n, 2)
			w.submit(n, spec("job-1", 1))
			if !answersProbes {
				w.dead.Store("i-1", true)
			}
			starts, reports := 0, 0
			for ; reports < 60 && !w.cloud.gone("i-1"); reports++ {
				commands, err := deaf.send(n)
				if err != nil {
					break
				}
				for _, o := range commands {
					if o.Verb == api.VerbStart {
						starts++
					}
				}
				time.Sleep(time.Second)
			}
			w.same("returned", w.cloud.gone("i-1"), true)
			if starts < 2 || starts > 5 {
				t.Errorf("answers probes %v: %d starts in %d reports", answersProbes, starts, reports)
			}
			well.serve(n, 5)
			w.same("runs elsewhere", len(well.running()), 1)
		})
	}
	simulate(t, func(w *cluster) {
		n := w.start("n0")
		k := w.worker("i-1", "a", false)
		k.serve(n, 2)
		for i := range 12 {
			w.submit(n, spec("job-"+string(rune('1'+i)), 1))
			if _, err := k.send(n); err != nil { // its answer is lost
				t.Fatal(err)
			}
			k.serve(n, 2)
			k.exit(api.CauseDone)
			k.serve(n, 2)
		}
		w.same("kept", w.cloud.gone("i-1"), false)
	})
}

// A machine whose lease ends although it is answered does not hear the answers,
// even if there was nothing to order.
func TestSessionsThatEndShowADeafMachine(t *testing.T) {
	simulate(t, func(w *cluster) {
		n := w.start("n0")
		k := w.worker("i-1", "a", false)
		k.serve(n, 2)
		w.dead.Store("i-1", true)
		for range 10 {
			if w.cloud.gone("i-1") {
				return
			}
			k.rep.AgentEpoch++
			if _, err := k.send(n); err != nil {
				break
			}
			time.Sleep(time.Second)
		}
		w.same("returned", w.cloud.gone("i-1"), true)
	})
}

// A deaf machine on the roster shows the old token in report after report. A
// takeover must not wait for it without end, and its capacity must not stay
// charged against every team.
func TestTakeoverDoesNotWaitForADeafMachine(t *testing.T) {
	for _, answersProbes := range []bool{false, true} {
		simulate(t, func(w *cluster) {
			a := w.start("n0")
			deaf, well := w.worker("i-1", "a", false), w.worker("i-2", "a", false)
			deaf.serve(a, 2)
			w.submit(a, spec("job-1", 4))
			deaf.serve(a, 2)
			w.same("running", len(deaf.running()), 4)
			a.crash()
			if !answersProbes {
				w.dead.Store("i-1", true)
			}
			b := w.start("n0")
			old := deaf.rep
			for range 20 {
				old.Seq++
				hb := old
				deaf.deliver(b, &hb)
				well.report(b)
				time.Sleep(time.Second)
			}
			w.same("returned", w.cloud.gone("i-1"), true)
			w.same("runs elsewhere", len(well.running()), 4)
		})
	}
}

// A copy of an old report, however late, changes nothing in this term: no sign
// of life, no attempt, no orders.
func TestLateCopyIsNoSignOfLife(t *testing.T) {
	simulate(t, func(w *cluster) {
		n := w.start("n0")
		k, other := w.worker("i-1", "a", false), w.worker("i-2", "a", false)
		w.submit(n, spec("job-1", 1))
		k.serve(n, 3)
		w.same("running", len(k.running()), 1)
		copied := k.rep
		copied.Tasks = slices.Clone(k.rep.Tasks)
		k.serve(n, 2)
		w.dead.Store("i-1", true) // dies; copies of its reports go on
		for range 12 {
			hb := copied
			if commands, err := k.deliver(n, &hb); err == nil {
				w.same("orders for a copy", len(commands), 0)
			}
			other.report(n)
			time.Sleep(time.Second)
		}
		w.same("returned", w.cloud.gone("i-1"), true)
		w.same("runs elsewhere", len(other.running()), 1)
	})
}

// After a takeover a copy may come before the machine's own report, or from a
// machine that an earlier leader has returned, which this one cannot know.
func TestLateCopyAfterATakeover(t *testing.T) {
	simulate(t, func(w *cluster) {
		a := w.start("n0")
		gone, k, other := w.worker("i-1", "a", false), w.worker("i-2", "a", false), w.worker("i-3", "a", false)
		fresh := gone.rep // its very first report, with no token
		fresh.Seq = 1
		w.submit(a, spec("job-1", 1))
		gone.serve(a, 3)
		w.same("first run", len(gone.running()), 1)
		copied := gone.rep
		copied.Tasks = slices.Clone(gone.rep.Tasks)
		w.dead.Store("i-1", true)
		for range 8 {
			k.report(a)
			time.Sleep(time.Second)
		}
		w.same("returned", w.cloud.gone("i-1"), true)
		w.same("second run", len(k.running()), 1)
		a.crash()
		b := w.start("n0")
		for i := range 12 {
			for _, hb := range []api.Heartbeat{fresh, copied} {
				hb.Seq += uint64(i % 2)
				if commands, err := gone.deliver(b, &hb); err == nil {
					w.same("orders for a copy", len(commands), 0)
				}
			}
			for _, o := range append(k.report(b), other.report(b)...) {
				w.same("order", o, nil)
			}
			time.Sleep(time.Second)
		}
		w.same("second run goes on", len(k.running()), 1)
		w.same("roster", w.roster(), []string{"i-2", "i-3"})
		w.same("returned", w.cloud.returned, []string{"i-1"})
		w.same("phase", w.phase(b, "job-1"), "running")
	})
}

// While reports are held up by a cut, runs seem long that have ended: neither
// are they restarted, nor are their machines taken for slow.
func TestRunsBeyondACutAreNotSlow(t *testing.T) {
	simulate(t, func(w *cluster) {
		n := w.start("n0")
		near, far := w.worker("i-1", "a", false), w.worker("i-2", "b", false)
		s := spec("job-1", 40)
		s.EstimateS = 4
		w.submit(n, s)
		round := func(cut bool) {
			for range 5 {
				near.report(n)
				if !cut {
					far.report(n)
				}
				time.Sleep(time.Second)
			}
			near.exit(api.CauseDone)
			far.exit(api.CauseDone)
		}
		round(false)
		round(false)
		for range 5 {
			round(true)
		}
		held := far.rep // sent as the cut began, delivered as it ends
		held.Tasks = nil
		for _, task := range far.rep.Tasks {
			task.Phase, task.Cause = api.TaskRunning, ""
			held.Tasks = append(held.Tasks, task)
		}
		far.rep.Seq++
		far.deliver(n, &held)
		n.look(func(c *Controller) { w.same("restarted", len(c.leaderTerm.jobs["job-1"].restarted), 0) })
		round(false)
		round(false)
		round(false)
		w.same("taken for slow", w.cloud.gone("i-2"), false)
	})
}

// Under lasting overload the largest job gives way again and again to others
// that can be in time, and those that are hopeless to those that are not. Each
// must begin all the same, and go on.
func TestLargestJobBeginsUnderLastingOverload(t *testing.T) {
	simulate(t, func(w *cluster) {
		n := w.start("n0")
		k := w.worker("i-1", "a", false)
		k.serve(n, 2)
		big := spec("job-1", 60)
		big.EstimateS = 60
		w.submit(n, big)
		begun, started := time.Duration(0), 0
		t0 := time.Now()
		for i := range 1200 {
			if i%2 == 0 {
				s := spec(fmt.Sprint("job-", 100+i), 8)
				s.EstimateS = 5
				w.submit(n, s)
			}
			for _, o := range k.report(n) {
				if o.Verb == api.VerbStart && strings.HasPrefix(o.Task, "job-1/") {
					if started++; begun == 0 {
						begun = time.Since(t0)
					}
				}
			}
			if i%5 == 4 {
				k.exit(api.CauseDone)
			}
			time.Sleep(800 * time.Millisecond)
		}
		if begun == 0 || begun > 4*time.Minute {
			t.Errorf("begun after %v", begun)
		}
		if started < 40 {
			t.Errorf("only %d of its tasks started", started)
		}
	})
}

// Where many machines seem slow at once, it is not the machines: only a few
// are quarantined.
func TestFewMachinesAreTakenForSlow(t *testing.T) {
	simulate(t, func(w *cluster) {
		var ks []*worker
		for i := range 12 {
			ks = append(ks, w.worker(fmt.Sprint("i-", i), "a", false))
		}
		w.teams[0].CPUs, w.teams[0].LimitCPUs = 100, 100
		n := w.start("n0")
		s := spec("job-1", 400)
		s.EstimateS = 60
		w.submit(n, s)
		for second := range 60 {
			for i, k := range ks {
				k.report(n)
				if i < 3 && second%4 == 3 || second%20 == 19 {
					k.exit(api.CauseDone)
				}
			}
			time.Sleep(time.Second)
		}
		if gone := len(w.cloud.returned); gone < 1 || gone > 3 { // nine without the guard
			t.Errorf("%d machines returned", gone)
		}
	})
}

// A controller that is back within a fraction of a second, in the middle of its
// own election: what its earlier incarnation sent and is carried out late must
// not end or share the new one's term, nor change a job accepted meanwhile.
func TestLateRequestsOfAnEarlierIncarnation(t *testing.T) {
	simulate(t, func(w *cluster) {
		w.store.Hold(touches("leader"))
		a := w.start("n0")
		w.same("takeover on its way", w.store.Held(), 1)
		a.crash()
		time.Sleep(100 * time.Millisecond)
		w.store.Hold(nil)
		b := w.start("n0")
		k := w.worker("i-1", "a", false)
		k.serve(b, 2)
		term := k.rep.Term
		w.same("new incarnation leads", term > 0, true)
		for _, res := range w.store.Release() {
			w.same("late takeover carried out", res.Succeeded, false)
		}
		k.serve(b, 8)
		w.same("term", k.rep.Term, term)

		w.store.Hold(touches(records.ActivePrefix))
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if _, _, err := b.Submit(ctx, spec("job-1", 1)); err == nil {
			t.Error("accepted without a record")
		}
		b.crash()
		time.Sleep(100 * time.Millisecond)
		w.store.Hold(nil)
		c := w.start("n0")
		w.submit(c, spec("job-1", 1))
		k.serve(c, 4)
		k.exit(api.CauseDone)
		k.serve(c, 4)
		w.same("phase", w.phase(c, "job-1"), "done")
		for _, res := range w.store.Release() {
			w.same("late record carried out", res.Succeeded, false)
		}
		w.same("phase", w.phase(c, "job-1"), "done")
		k.serve(c, 3)
		w.same("started again", len(k.running()), 0)
	})
	// The late takeover may also come first: the new incarnation finds its own
	// name, and must take a term of its own.
	simulate(t, func(w *cluster) {
		w.store.Lose(touches("leader"))
		a := w.start("n0")
		a.crash()
		time.Sleep(100 * time.Millisecond)
		w.store.Lose(nil)
		b := w.start("n0")
		k := w.worker("i-1", "a", false)
		k.serve(b, 2)
		w.same("term of its own", k.rep.Term, 2)
	})
}

// A task on a machine that has gone deaf cannot be stopped by orders. If its
// job is cancelled, the machine is returned in the time that a cancellation
// has, although its reports go on.
func TestCancelledJobOnADeafMachine(t *testing.T) {
	simulate(t, func(w *cluster) {
		n := w.start("n0")
		deaf := w.worker("i-1", "a", false)
		w.submit(n, spec("job-1", 2))
		deaf.serve(n, 3)
		w.same("running", len(deaf.running()), 2)
		w.dead.Store("i-1", true)
		if _, err := n.Cancel(context.Background(), "job-1"); err != nil {
			t.Fatal(err)
		}
		t0 := time.Now()
		for !w.cloud.gone("i-1") && time.Since(t0) < time.Minute {
			deaf.send(n) // what it is answered does not reach it
			time.Sleep(time.Second)
		}
		if took := time.Since(t0); took >= 30*time.Second {
			t.Errorf("returned after %v", took)
		}
	})
}

// Once troubles are over every job is answered for within seconds, at every
// node: no job may be left out because of what went on before.
func TestAllPollsAreAnsweredAfterTroubles(t *testing.T) {
	simulate(t, func(w *cluster) {
		l, a, b, ga, gb := w.pair()
		for i := range 12 {
			w.submit([]*node{a, b}[i%2], spec(fmt.Sprint("job-", i), 1))
		}
		k := w.worker("i-1", "", false)
		k.serve(a, 3)
		l.cut.Store(true)
		ga.set(true)
		time.Sleep(20 * time.Second)
		w.store.SetDown(true)
		gb.set(true)
		time.Sleep(15 * time.Second)
		w.store.SetDown(false)
		ga.set(false)
		gb.set(false)
		l.cut.Store(false)
		k.exit(api.CauseDone)
		for range 15 {
			k.either(a, b)
			k.exit(api.CauseDone)
			time.Sleep(time.Second)
		}
		for i := range 12 {
			for _, n := range []*node{a, b} {
				w.same(fmt.Sprint("job ", i), w.phase(n, fmt.Sprint("job-", i)), "done")
			}
		}
		w.same("ready", a.Ready() && b.Ready(), true)
	})
}

// A machine that is started anew under its name, back before it was missed,
// counts its reports from the first again: all would be dropped as older ones,
// its tasks would be thought to run, and probes would find it alive. It is
// returned, and only then do its tasks begin elsewhere.
func TestMachineStartedAnew(t *testing.T) {
	simulate(t, func(w *cluster) {
		a := w.start("n0")
		k, other := w.worker("i-1", "a", false), w.worker("i-2", "a", false)
		k.serve(a, 3)
		w.submit(a, spec("job-1", 4))
		k.serve(a, 6)
		w.same("running", len(k.running()), 4)
		other.serve(a, 3)
		k.rep.Seq, k.rep.Term, k.rep.Tasks = 0, 0, nil
		for range 15 {
			if !w.cloud.gone("i-1") {
				w.same("begun elsewhere before the return", other.running(), []string(nil))
				k.report(a)
			}
			other.report(a)
			time.Sleep(time.Second)
		}
		w.same("returned", w.cloud.gone("i-1"), true)
		w.same("begun elsewhere", len(other.running()), 4)
	})
}

// A leader that still holds itself for entitled hears from a machine that another
// has begun a later term: it stops to lead, and does not end over the report.
func TestReportOfALaterTermEndsTheLeadership(t *testing.T) {
	simulate(t, func(w *cluster) {
		n := w.start("n0")
		k := w.worker("i-1", "a", false)
		k.serve(n, 2)
		hb := k.rep
		hb.Term, hb.Seq = hb.Term+1, hb.Seq+1
		n.look(func(c *Controller) {
			defer func() {
				if p := recover(); p != nil {
					t.Errorf("ends over a report: %v", p)
				}
			}()
			m := heartbeatMsg{heartbeat: &hb, reply: make(chan heartbeatReply, 1), receivedAt: time.Now()}
			m.apply(c)
			w.same("refused", (<-m.reply).err, &api.NotLeaderError{})
			w.same("leads", c.leaderTerm != nil, false)
		})
	})
}
