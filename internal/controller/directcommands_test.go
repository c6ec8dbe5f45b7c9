package controller

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
)

// wire carries orders straight to machines: at once, or not until released.
type wire struct {
	mu       sync.Mutex
	machines map[string]*worker
	refuse   bool
	hold     bool
	held     []func() uint64
	sent     int
}

func (d *wire) SendCommands(ctx context.Context, addr string, o *api.CommandBatch) (uint64, error) {
	d.mu.Lock()
	d.sent++
	if d.refuse {
		d.mu.Unlock()
		return 0, api.ErrCommandsNotApplied
	}
	k := d.machines[addr]
	carryOut := func() uint64 {
		k.mu.Lock()
		defer k.mu.Unlock()
		// As a machine does: its token must not be higher, its session the same.
		if k.status.Term > o.Term || k.status.AgentEpoch != o.AgentEpoch {
			return 0
		}
		k.status.Term = o.Term
		k.applyCommandsLocked(o.Commands)
		k.status.Seq++
		return k.status.Seq
	}
	if d.hold {
		d.held = append(d.held, carryOut)
		d.mu.Unlock()
		<-ctx.Done()
		return 0, api.ErrCommandsOutcomeUnknown
	}
	defer d.mu.Unlock()
	if seq := carryOut(); seq != 0 {
		return seq, nil
	}
	return 0, api.ErrCommandsNotApplied
}

// Resync tells a machine of a term. One that is dead does not answer.
func (d *wire) Resync(_ context.Context, addr string, term uint64) (*api.Heartbeat, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	k := d.machines[addr]
	if _, dead := k.w.dead.Load(addr); dead {
		return nil, api.ErrCommandsNotApplied
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.status.Term > term {
		return nil, api.ErrCommandsNotApplied
	}
	k.status.Term = term
	k.status.Seq++
	hb := k.status
	hb.Tasks = slices.Clone(k.status.Tasks)
	return &hb, nil
}

func (d *wire) set(refuse, hold bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refuse, d.hold = refuse, hold
}

// taken is how many orders were sent since it was last asked.
func (d *wire) taken() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.sent
	d.sent = 0
	return n
}

// release carries out what was held back, and tells how much of it was.
func (d *wire) release() (done int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, f := range d.held {
		if f() != 0 {
			done++
		}
	}
	d.held = nil
	return done
}

// seldom is a cluster whose machines report every 5 s, with n of them.
func (w *simulatedCluster) seldom(n int) (*node, *wire, []*worker) {
	d := &wire{machines: map[string]*worker{}}
	w.commandSender, w.heartbeatS = d, 5
	a := w.start("n0")
	var ks []*worker
	for i := range n {
		k := w.worker(fmt.Sprint("i-", i), "a", false)
		d.machines[k.status.Machine] = k
		ks = append(ks, k)
		k.serve(a, 3)
	}
	return a, d, ks
}

// Work is begun at once where reports are seldom. A report that was on its way
// as the order was carried out, and so does not show it, changes nothing.
func TestStartsGoStraightToMachines(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n, d, ks := w.seldom(2)
		stale := ks[0].status // on its way while the order is carried out
		stale.Seq++
		ks[0].status.Seq++
		w.submit(n, spec("job-1", 6))
		time.Sleep(time.Second)
		w.checkEqual("begun", len(ks[0].running())+len(ks[1].running()), 6)
		if _, err := ks[0].deliver(n, &stale); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		for _, k := range ks {
			for _, o := range k.heartbeat(n) {
				w.checkEqual("order", o, nil)
			}
		}
		w.checkEqual("still", len(ks[0].running())+len(ks[1].running()), 6)
		d.set(true, false)
		w.submit(n, spec("job-2", 1))
		time.Sleep(time.Second)
		ks[0].serve(n, 6)
		ks[1].serve(n, 1)
		w.checkEqual("refused, begun by a report's answer", len(ks[0].running())+len(ks[1].running()), 7)
	})
}

// An order that was not answered may be carried out minutes later. Its task
// begins nowhere else, and its machine gets nothing more, until the machine's
// session has ended or it is returned; reports that do not show it prove
// nothing.
func TestUnansweredOrderKeepsItsTask(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n, d, ks := w.seldom(2)
		busy := spec("job-1", 4)
		busy.Zone = "a"
		w.submit(n, busy)
		time.Sleep(time.Second)
		k, other := ks[0], ks[1]
		if len(k.running()) == 0 {
			k, other = other, k
		}
		w.checkEqual("one machine is full", len(k.running()), 4)
		w.cloud.rejectTerminate = true
		d.set(false, true)
		w.submit(n, spec("job-2", 1))
		time.Sleep(500 * time.Millisecond)
		w.checkEqual("while it is on its way", len(other.heartbeat(n)), 0)
		time.Sleep(2500 * time.Millisecond)
		d.set(false, false)
		k.exit(api.CauseDone)
		for range 20 {
			for _, o := range append(k.heartbeat(n), other.heartbeat(n)...) {
				w.checkEqual("started again", o.Verb == api.VerbStart, false)
			}
			time.Sleep(time.Second)
		}
		w.submit(n, spec("job-4", 6))
		k.serve(n, 2)
		other.serve(n, 2)
		w.checkEqual("more work there", len(other.running()), 0)
		w.checkEqual("carried out late", d.release(), 1)
		w.checkEqual("there", other.running(), []string{"job-2/0"})
		other.serve(n, 2)
		other.exit(api.CauseDone)
		other.serve(n, 3)
		w.checkEqual("phase", w.phase(n, "job-2"), "done")
		// A new session refuses the order for good.
		k.exit(api.CauseDone)
		k.serve(n, 3)
		k.exit(api.CauseDone)
		k.serve(n, 2)
		third := w.worker("i-3", "a", false)
		d.machines["i-3"] = third
		third.serve(n, 3)
		k.serve(n, 1)
		d.set(false, true)
		w.submit(n, spec("job-3", 1))
		time.Sleep(3 * time.Second)
		d.set(false, false)
		victim := k
		n.inspect(func(c *Controller) {
			for _, a := range c.leaderTerm.jobs["job-3"].ActiveAttempts {
				victim = d.machines[a.Machine.Name]
			}
		})
		victim.status.AgentEpoch++
		victim.status.Tasks = nil
		victim.heartbeat(n)
		w.checkEqual("not carried out in a new session", d.release(), 0)
		k.serve(n, 3)
		third.serve(n, 3)
		w.checkEqual("begun elsewhere", len(k.running())+len(third.running()), 1)
	})
}

// Guards against paying for machines without end: an order that was not answered
// is carried out late, its tasks run and end, and the machine is then returned.
// Found in an upgrade whose direct commands were held up: about a hundred of 240
// machines got no more work, and up to 55 were never returned.
func TestUnansweredOrderCarriedOutLateFreesItsMachine(t *testing.T) {
	for _, cause := range []string{api.CauseDone, api.CauseError} {
		simulate(t, func(w *simulatedCluster) {
			n, d, ks := w.seldom(1)
			late := ks[0]
			w.submit(n, spec("job-0", 1)) // keeps the machine in use
			late.serve(n, 2)
			d.set(false, true)
			w.submit(n, spec("job-1", 1))
			time.Sleep(3 * time.Second)
			d.set(false, false)
			w.checkEqual("carried out late", d.release(), 1)
			late.serve(n, 2)
			w.checkEqual("there", late.running(), []string{"job-0/0", "job-1/0"})
			w.checkEqual("returned while its tasks run", w.cloud.terminated("i-0"), false)
			late.exit(cause)
			late.serve(n, 6)
			w.checkEqual("returned after its tasks", w.cloud.terminated("i-0"), true)
		})
	}
}

// A job cancelled while an order for it is unanswered: only the machine's
// return keeps the task from beginning too late.
func TestUnansweredOrderOfACancelledJob(t *testing.T) {
	for _, cancelFirst := range []bool{false, true} {
		simulate(t, func(w *simulatedCluster) {
			n, d, ks := w.seldom(1)
			w.submit(n, spec("job-0", 1)) // keeps the machine in use
			time.Sleep(time.Second)
			ks[0].heartbeat(n)
			d.set(false, true)
			w.submit(n, spec("job-1", 1))
			if !cancelFirst {
				time.Sleep(3 * time.Second)
				w.checkEqual("waits", w.cloud.terminated("i-0"), false)
			}
			if _, err := n.Cancel(context.Background(), "job-1"); err != nil {
				t.Fatal(err)
			}
			for range 4 {
				ks[0].heartbeat(n)
				time.Sleep(time.Second)
			}
			w.checkEqual("returned", w.cloud.terminated("i-0"), true)
		})
	}
}

// Under a new leader an earlier one's order is refused by every machine that
// the new one has heard, so it needs no memory of it.
func TestUnansweredOrderOfAnEarlierLeader(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		a, d, ks := w.seldom(2)
		d.set(false, true)
		w.submit(a, spec("job-1", 1))
		time.Sleep(time.Second)
		a.crash()
		d.set(false, false)
		b := w.start("n0")
		for range 4 {
			ks[0].heartbeat(b)
			ks[1].heartbeat(b)
			time.Sleep(time.Second)
		}
		w.checkEqual("begun once", len(ks[0].running())+len(ks[1].running()), 1)
		w.checkEqual("carried out late", d.release(), 0)
	})
}

// A new leader resyncs the machines on the roster, and so hears them without
// waiting for their reports; one that does not answer is returned, and only
// then its tasks begin elsewhere. Orders cannot go in a resync's answer, so
// none are given there.
func TestTakeoverResyncsMachines(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		a, d, ks := w.seldom(40)
		w.submit(a, spec("job-1", 8))
		time.Sleep(2 * time.Second)
		for _, k := range ks {
			k.heartbeat(a)
		}
		var busy, idle []*worker
		for _, k := range ks {
			if len(k.running()) > 0 {
				busy = append(busy, k)
			} else {
				idle = append(idle, k)
			}
		}
		w.checkEqual("busy machines", len(busy), 2)
		a.crash()
		w.dead.Store(busy[0].status.Machine, true)
		b := w.start("n0")
		w.submit(b, spec("job-2", 3))
		time.Sleep(time.Second)
		b.inspect(func(c *Controller) { w.checkEqual("unheard after a second", c.leaderTerm.unfenced, 1) })
		w.checkEqual("goes on", len(busy[1].running()) >= 4, true)
		time.Sleep(4 * time.Second)
		w.checkEqual("returned", w.cloud.terminated(busy[0].status.Machine), true)
		for _, k := range idle {
			k.heartbeat(b)
		}
		running := len(busy[1].running())
		for _, k := range idle {
			running += len(k.running())
		}
		w.checkEqual("all run", running, 11)
		d.set(true, false) // the next job waits for reports
		w.submit(b, spec("job-3", 1))
		time.Sleep(4 * time.Second)
		b.inspect(func(c *Controller) {
			m := c.leaderTerm.machines[idle[5].status.Machine]
			hb := idle[5].status
			hb.Seq, hb.AgentEpoch = m.HeartbeatSeq+1, m.AgentEpoch
			request := c.leaderTerm.detector.BeginResync(m, time.Now())
			resyncResultMsg{c.leaderTerm, request, &hb, nil}.apply(c)
			w.checkEqual("given in a resync", len(m.Attempts), 0)
		})
	})
}

// A resync's answer may be drawn up while the answer to the machine's own
// report, with a start in it, is still on its way to the machine. It is the
// newer message and does not show the task; taken for proof that the start was
// lost, the task would begin elsewhere while it begins here. Seen when a leader
// had 700 machines to resync and answered late.
func TestResyncBesideAnAnswer(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		a, d, ks := w.seldom(2)
		a.crash()
		d.set(true, false) // only answers bring starts
		b := w.start("n0")
		ks[0].serve(b, 2)
		ks[1].serve(b, 2)
		w.submit(b, spec("job-1", 4))
		time.Sleep(6 * time.Second) // the refused orders keep the machines back
		commands, err := ks[0].sendHeartbeat(b)
		if err != nil || len(commands) != 4 {
			t.Fatalf("orders %v, error %v", commands, err)
		}
		resynced := func(k *worker) {
			b.inspect(func(c *Controller) {
				m := c.leaderTerm.machines[k.status.Machine]
				hb, err := d.Resync(context.Background(), m.Addr, c.leaderTerm.term.Number)
				if err != nil {
					t.Fatal(err)
				}
				request := c.leaderTerm.detector.BeginResync(m, time.Now())
				resyncResultMsg{c.leaderTerm, request, hb, nil}.apply(c)
			})
		}
		resynced(ks[0])
		ks[1].serve(b, 3)
		w.checkEqual("begun elsewhere", ks[1].running(), []string(nil))
		ks[0].applyCommands(commands)
		ks[0].serve(b, 2)
		w.checkEqual("begun", len(ks[0].running()), 4)

		// An answer that is lost is known by the machine's next own report, or
		// by its next session, even if a resync shows that.
		w.submit(b, spec("job-2", 2))
		time.Sleep(6 * time.Second)
		lost, err := ks[1].sendHeartbeat(b)
		if err != nil || len(lost) != 2 {
			t.Fatalf("orders %v, error %v", lost, err)
		}
		ks[1].status.AgentEpoch, ks[1].status.Seq = ks[1].status.AgentEpoch+1, 0
		resynced(ks[1])
		b.inspect(func(c *Controller) { w.checkEqual("untaken again", c.leaderTerm.jobs["job-2"].Flight.Untaken(), 2) })
		ks[1].serve(b, 6)
		w.checkEqual("repeated", len(ks[1].running()), 2)
	})
}

// A fleet as large as any: a crash, machines that die together, and a second
// crash in the middle of the takeover. All that live are heard by resyncs, none
// of them is returned, and no task begins again while it may run.
func TestTakeoverOfALargeFleet(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		const fleet, fallen = 1100, 100
		w.teams[0].CPUs, w.teams[0].LimitCPUs = 5000, 5000
		d := &wire{machines: map[string]*worker{}}
		w.commandSender, w.heartbeatS = d, 5
		a := w.start("n0")
		w.submit(a, spec("job-1", 5000))
		var ks []*worker
		for i := range fleet {
			k := w.worker(fmt.Sprintf("i-%04d", i), "a", false)
			d.machines[k.status.Machine] = k
			ks = append(ks, k)
		}
		once := func(tasks map[string]bool, k *worker) {
			for _, task := range k.running() {
				if tasks[task] {
					t.Fatalf("%s runs twice", task)
				}
				tasks[task] = true
			}
		}
		round := func(n *node, ks []*worker) (running int) {
			for _, k := range ks {
				k.heartbeat(n)
			}
			time.Sleep(time.Second)
			tasks := map[string]bool{}
			for _, k := range d.machines {
				if !w.cloud.terminated(k.status.Machine) {
					once(tasks, k)
				}
			}
			return len(tasks)
		}
		for range 4 {
			round(a, ks)
		}
		w.checkEqual("running", round(a, ks), 4*fleet)
		a.crash()
		for _, k := range ks[:fallen] {
			w.dead.Store(k.status.Machine, true)
		}
		b := w.start("n0") // half a second of it
		b.crash()
		c := w.start("n0")
		time.Sleep(500 * time.Millisecond)
		c.inspect(func(c *Controller) { w.checkEqual("unheard after a second", c.leaderTerm.unfenced <= fallen, true) })
		for range 6 {
			round(c, ks[fallen:])
		}
		c.inspect(func(c *Controller) { w.checkEqual("unheard", c.leaderTerm.unfenced, 0) })
		w.checkEqual("returned", len(w.cloud.terminatedNames), fallen)
		w.checkEqual("running again", round(c, ks[fallen:]), 4*(fleet-fallen))
	})
}

// A leader that loses the way to all its machines keeps nearly all of their
// tasks and room out of direct orders that cannot arrive, and does not take the
// first machines that it misses for dead. Those that reach it through another
// node get their starts in answers.
func TestLeaderWithoutAWayToItsMachines(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		const fleet = 50
		w.teams[0].CPUs, w.teams[0].LimitCPUs = 500, 500
		d := &wire{machines: map[string]*worker{}}
		w.commandSender, w.heartbeatS = d, 5
		a := w.start("n0")
		w.submit(a, spec("job-1", fleet))
		var ks []*worker
		for i := range fleet {
			k := w.worker(fmt.Sprintf("i-%02d", i), "a", false)
			d.machines[k.status.Machine] = k
			ks = append(ks, k)
		}
		for range 4 { // reports spread over 5 s
			for _, k := range ks {
				k.heartbeat(a)
				time.Sleep(5 * time.Second / fleet)
			}
		}
		for _, k := range ks {
			w.dead.Store(k.status.Machine, true)
		}
		d.set(true, false)
		d.taken()
		w.submit(a, spec("job-2", 100))
		for range 9 {
			w.submit(a, spec(fmt.Sprint("job-3", time.Now().Unix()), 1))
			time.Sleep(800 * time.Millisecond)
		}
		if n := d.taken(); n == 0 || n > 40 {
			t.Errorf("%d direct orders", n)
		}
		w.checkEqual("taken for dead", w.cloud.terminatedNames, []string(nil))
		d.set(false, false)
		pass := func(k *worker) {
			k.status.Seq++
			hb := k.status
			hb.Tasks = slices.Clone(k.status.Tasks)
			response, err := a.ForwardedHeartbeat(context.Background(), &hb)
			if err != nil {
				t.Fatal(err)
			}
			k.applyCommands(response.Commands)
		}
		d.taken()
		for range 3 {
			for _, k := range ks {
				pass(k)
			}
			time.Sleep(2 * time.Second)
		}
		running := 0
		for _, k := range ks {
			running += len(k.running())
		}
		w.checkEqual("running", running, fleet+100+9)
		w.submit(a, spec("job-4", 4))
		time.Sleep(time.Second)
		w.checkEqual("sent straight to machines out of reach", d.taken(), 0)
	})
}
