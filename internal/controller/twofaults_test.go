package controller

import (
	"context"
	"strings"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
)

// faultCluster is a leader a and a follower b, and a machine with two tasks of job-1
// and one of job-2 that keeps its lease like a worker.
type faultCluster struct {
	*cluster
	links                    *links
	leader, follower         *node
	leaderGate, followerGate *gate
	k                        *worker
	startedAt                time.Time
	// cancelledAt is when a user was told that job-1 is cancelled.
	cancelledAt time.Time
	// renewedAt is when the last answered report was sent.
	renewedAt time.Time
	// lostAt is when job-2 was lost with the lease, without being cancelled.
	lostAt time.Time
}

const gapLease = 10 * time.Second

// runFaultScript runs a script of what happens when, in milliseconds, for some seconds. The
// machine reports once a second to whoever answers. Whatever happens, job-1 is
// gone in the time that its cancellation has.
func runFaultScript(t *testing.T, seconds int, script map[int]func(g *faultCluster)) (lost time.Duration) {
	t.Helper()
	simulate(t, func(w *cluster) {
		g := &faultCluster{cluster: w}
		g.links, g.leader, g.follower, g.leaderGate, g.followerGate = w.pair()
		g.k = w.worker("i-1", "", false)
		w.submit(g.leader, spec("job-1", 2))
		w.submit(g.leader, spec("job-2", 1))
		g.k.serve(g.leader, 4)
		w.same("running", len(g.k.running()), 3)
		g.startedAt, g.renewedAt = time.Now(), time.Now()
		for ms := 0; ms < seconds*1000; ms += 50 {
			if f := script[ms]; f != nil {
				f(g)
			}
			if ms%1000 == 450 {
				g.heartbeat()
			}
			g.check()
			time.Sleep(50 * time.Millisecond)
		}
		w.same("cancellation told", g.cancelledAt.IsZero(), false)
		if !g.lostAt.IsZero() {
			lost = g.lostAt.Sub(g.startedAt)
		}
	})
	return lost
}

// heartbeat is one report, and the end of the lease if none was answered.
func (g *faultCluster) heartbeat() {
	for _, n := range []*node{g.leader, g.follower} {
		sent := time.Now()
		if commands, err := g.k.send(n); err == nil {
			g.k.obey(commands)
			g.renewedAt = sent
			break
		}
	}
	g.expire()
}

func (g *faultCluster) expire() {
	if time.Since(g.renewedAt) <= gapLease {
		return
	}
	g.k.mu.Lock()
	defer g.k.mu.Unlock()
	if len(g.k.rep.Tasks) > 0 && g.lostAt.IsZero() {
		g.lostAt = time.Now()
	}
	g.k.rep.Tasks, g.renewedAt = nil, time.Now()
	g.k.rep.AgentEpoch++
}

func (g *faultCluster) check() {
	g.expire()
	if g.cancelledAt.IsZero() || time.Since(g.cancelledAt) <= 30*time.Second {
		return
	}
	for _, task := range g.k.running() {
		if strings.HasPrefix(task, "job-1/") {
			g.t.Fatalf("%s runs %v after its cancellation was told", task, time.Since(g.cancelledAt))
		}
	}
}

func (g *faultCluster) cancelAt(n *node) {
	st, err := n.Cancel(context.Background(), "job-1")
	if err != nil {
		g.t.Fatal(err)
	}
	g.same("cancelled", st.Phase, api.JobCancelled)
	g.cancelledAt = time.Now()
}

// The store refuses the leader alone, another node confirms a cancellation, and
// then the store is down for everybody for longer than a cancellation may take,
// while machines go on reporting to the leader. It hears of the cancellation
// from the other node, and all else goes on; or, without proof that it knows all
// of them, it renews no lease so late that a cancelled task could live too long.
func TestCancellationsWhileTheLeaderIsRejected(t *testing.T) {
	refuse := func(g *faultCluster) { g.leaderGate.set(true) }
	down := func(g *faultCluster) { g.store.SetDown(true) }
	cancel := func(g *faultCluster) { g.cancelAt(g.follower) }
	apart := func(g *faultCluster) { g.links.cut.Store(true) }
	// Cancelled by a node that has ended since, without a word.
	elsewhere := func(g *faultCluster) {
		other := g.startWith("n9", g.store, nil)
		if _, err := other.Cancel(context.Background(), "job-1"); err != nil {
			g.t.Fatal(err)
		}
		other.crash()
	}
	restart := func(g *faultCluster) {
		g.follower.crash()
		g.follower = g.links.add("n1", g.startWith("n1", g.followerGate, g.links))
	}
	for _, c := range []struct {
		name   string
		script map[int]func(g *faultCluster)
		// kept says that all that was not cancelled lives as long as the
		// leadership and a lease.
		kept bool
	}{
		{"refused, cancelled, down", map[int]func(*faultCluster){1000: refuse, 2000: cancel, 3000: down}, true},
		{"cancelled at the moment of the refusal", map[int]func(*faultCluster){1000: refuse, 1050: cancel, 1100: down}, true},
		{"cancelled just before the refusal", map[int]func(*faultCluster){1000: cancel, 1050: refuse, 1100: down}, true},
		{"nobody refused", map[int]func(*faultCluster){1000: cancel, 3000: down}, true},
		{"the confirming node ends at once", map[int]func(*faultCluster){1000: refuse, 2000: cancel, 2050: restart, 3000: down}, false},
		{"it ends in the outage", map[int]func(*faultCluster){1000: refuse, 2000: cancel, 2050: down, 2100: restart}, false},
		{"it never comes back", map[int]func(*faultCluster){1000: refuse, 2000: cancel, 2050: func(g *faultCluster) { g.follower.crash(); apart(g) }, 3000: down}, false},
		{"the nodes apart too", map[int]func(*faultCluster){1000: refuse, 1050: apart, 2000: cancel, 3000: down}, false},
		{"apart first", map[int]func(*faultCluster){1000: apart, 1050: cancel, 1100: refuse, 1150: down}, false},
		{"apart for a while", map[int]func(*faultCluster){1000: refuse, 1050: apart, 2000: cancel, 3000: down,
			5000: func(g *faultCluster) { g.links.cut.Store(false) }}, true},
		{"told by a node that only read it", map[int]func(*faultCluster){1000: refuse, 2000: elsewhere, 2550: func(g *faultCluster) {
			g.same("asked", g.phase(g.follower, "job-1"), api.JobCancelled)
			g.cancelledAt = time.Now()
		}, 2600: down}, true},
		{"told to a repeated submission", map[int]func(*faultCluster){1000: refuse, 2000: elsewhere, 2550: func(g *faultCluster) {
			st, _, err := g.follower.Submit(context.Background(), spec("job-1", 2))
			if err != nil {
				g.t.Fatal(err)
			}
			g.same("repeated", st.Phase, api.JobCancelled)
			g.cancelledAt = time.Now()
		}, 2600: down}, true},
		{"told by the leader itself, whose watch is dead", map[int]func(*faultCluster){1000: func(g *faultCluster) {
			g.store.SetBlind(true)
			g.cancelAt(g.leader)
		}, 1050: down}, true},
		{"a second leader, refused in turn", map[int]func(*faultCluster){1000: refuse, 14_000: func(g *faultCluster) {
			g.same("the other leads", g.follower.holdsLease(), true)
			g.leaderGate.set(false)
		}, 24_000: func(g *faultCluster) { g.followerGate.set(true) }, 25_000: func(g *faultCluster) { g.cancelAt(g.leader) }, 25_050: down}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			lost := runFaultScript(t, 80, c.script)
			if kept := lost == 0 || lost > 34*time.Second; kept != c.kept {
				t.Errorf("what was not cancelled lived until %v", lost)
			}
		})
	}
	// Whatever the moments, within the leader's rounds of questions.
	for ms := 50; ms <= 2400; ms += 150 {
		runFaultScript(t, 45, map[int]func(*faultCluster){1000: refuse, 1000 + ms/50*50: cancel, 1050 + ms/50*50: down})
		runFaultScript(t, 45, map[int]func(*faultCluster){1000: refuse, 1000 + ms/50*50: cancel, 1050 + ms/50*50: restart, 1100 + ms/50*50: down})
	}
}

// A plain outage that is longer than a cancellation may take costs no task as
// long as the leadership and a lease cover it, since the nodes
// tell each other what they know. Should one of them not answer, leases end in time.
func TestOutageLongerThanACancellation(t *testing.T) {
	confirmed := func(g *faultCluster) { g.cancelAt(g.follower) }
	down, up := func(g *faultCluster) { g.store.SetDown(true) }, func(g *faultCluster) { g.store.SetDown(false) }
	if lost := runFaultScript(t, 60, map[int]func(*faultCluster){500: confirmed, 3000: down, 35_500: up}); lost != 0 {
		t.Errorf("lost after %v", lost)
	}
	lost := runFaultScript(t, 60, map[int]func(*faultCluster){500: confirmed, 3000: down, 4000: func(g *faultCluster) { g.follower.crash(); g.links.cut.Store(true) }, 35_500: up})
	if lost < 20*time.Second || lost > 34*time.Second {
		t.Errorf("a node missing: lost after %v", lost)
	}
}

// A leader that has lost the store and the other nodes, but not its workers,
// soon starts nothing any more, since anything may have been called off; in an
// outage that another node sees as well it goes on.
func TestLeaderWithoutCancellationLogStartsNothing(t *testing.T) {
	for _, alone := range []bool{true, false} {
		for ms := 0; ms < 3000; ms += 300 {
			simulate(t, func(w *cluster) {
				l, a, b, ga, _ := w.pair()
				k := w.worker("i-1", "", false)
				w.submit(a, spec("job-1", 6))
				k.serve(a, 3)
				w.same("running", len(k.running()), 4)
				time.Sleep(time.Duration(ms) * time.Millisecond)
				if alone {
					ga.set(true)
					l.cut.Store(true)
					if _, err := b.Cancel(context.Background(), "job-1"); err != nil {
						t.Fatal(err)
					}
				} else {
					w.store.SetDown(true)
				}
				k.serve(a, 4)
				k.exit(api.CauseDone)
				before := len(k.running())
				k.serve(a, 4)
				if started := len(k.running()) - before; started > 0 == alone {
					t.Errorf("alone %v after %d ms: %d started", alone, ms, started)
				}
			})
		}
	}
}

// With a lease as long as a cancellation may take nothing can be promised of it,
// but machines are served while the store answers.
func TestServiceWithShortCancellationLimit(t *testing.T) {
	for _, cancel := range []float64{0.5, 9, 10, 10.6, 12, 20.5} {
		simulate(t, func(w *cluster) {
			w.cancelS = cancel
			_, a, b, _, _ := w.pair()
			k := w.worker("i-1", "", false)
			w.submit(a, spec("job-1", 2))
			for range 30 {
				commands, err := k.send(a)
				if err != nil {
					t.Fatalf("cancel_s %v: not answered: %v", cancel, err)
				}
				k.obey(commands)
				time.Sleep(time.Second)
			}
			k.serve(a, 3)
			w.same("running", len(k.running()), 2)
			if _, err := b.Cancel(context.Background(), "job-1"); err != nil {
				t.Fatal(err)
			}
			k.serve(a, 3)
			w.same("stopped", len(k.running()), 0)
		})
	}
}

// A leader that has just begun knows of earlier cancellations only by what is
// left in the store: its answers to pings do not bring them. So a node that
// extends leases relies on them only when each machine that is still alive
// must have been answered in this term.
func TestFollowerDoesNotRelyOnANewLeader(t *testing.T) {
	for after := 9 * time.Second; after < gapLease; after += 100 * time.Millisecond {
		simulate(t, func(w *cluster) {
			l, a, b, _, gb := w.pair()
			k := w.worker("i-1", "", false)
			w.submit(a, spec("job-1", 2))
			k.serve(a, 4)
			w.same("running", len(k.running()), 2)
			gone := w.startWith("n9", w.store, nil) // tells the user, and then nobody
			k.report(a)
			a.crash()
			if _, err := gone.Cancel(context.Background(), "job-1"); err != nil {
				t.Fatal(err)
			}
			confirmed := time.Now()
			gone.crash()
			a = l.add("n0", w.startWith("n0", w.store, l))
			time.Sleep(after - time.Since(confirmed))
			a.look(func(c *Controller) { k.rep.Term = c.leaderTerm.term.Number }) // it was resynced
			w.same("second term", k.rep.Term > 1, true)
			l.cut.Store(true)
			gb.set(true)
			var heard time.Time
			for range 300 {
				if commands, err := k.send(b); err == nil {
					k.obey(commands)
					heard = time.Now()
				}
				time.Sleep(100 * time.Millisecond)
			}
			if end := heard.Add(gapLease); len(k.running()) > 0 && end.After(confirmed.Add(30*time.Second)) {
				t.Errorf("cut after %v: a cancelled task may run for %v", after, end.Sub(confirmed))
			}
		})
	}
}
