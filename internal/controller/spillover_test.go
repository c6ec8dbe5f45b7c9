package controller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cells"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/loan"
	"example.org/ivytrestle/internal/records"
)

// has tells whether a transaction puts a record under a prefix that holds some text.
func has(prefix, text string) func(kv.Txn) bool {
	return func(txn kv.Txn) bool {
		for _, op := range txn.Ops {
			if !strings.HasPrefix(op.Put, prefix) {
				continue
			}
			switch rec := op.Value.(type) {
			case records.ActiveRecord:
				if text == "lent" && rec.Lent != nil || text == "guest" && rec.Guest != nil || text == "plain" && rec.Spec.ID != "" && rec.LoanCount > 0 {
					return true
				}
			default:
				if text == "" {
					return true
				}
			}
		}
		return false
	}
}

// drops tells whether a transaction removes a record under a prefix.
func drops(prefix string) func(kv.Txn) bool {
	return func(txn kv.Txn) bool {
		for _, op := range txn.Ops {
			if strings.HasPrefix(op.Delete, prefix) {
				return true
			}
		}
		return false
	}
}

// Each step of a loan has its answer lost, is carried out late or fails for a while, also
// while the leader that sent it ends: the job still comes to one end, in one cell.
func TestLoanStepsThatFail(t *testing.T) {
	steps := map[string]struct {
		cell  int
		match func(kv.Txn) bool
	}{
		"lend":      {0, has(records.ActivePrefix, "lent")},
		"accept":    {1, has(records.ActivePrefix, "guest")},
		"close":     {1, has(loan.MinEpochKey(""), "")},
		"take back": {0, has(records.ActivePrefix, "plain")},
		"end there": {1, has(loan.EndKey("", "")[:len("loan/end/")], "")},
		"end here":  {0, has(records.TerminalPrefix, "")},
		"forget":    {1, drops("loan/end/")},
	}
	troubles := map[string]func(c *cell, match func(kv.Txn) bool){
		"lost": func(c *cell, match func(kv.Txn) bool) { c.store.Lose(match) },
		"late": func(c *cell, match func(kv.Txn) bool) { c.store.Hold(match) },
		"outage": func(c *cell, _ func(kv.Txn) bool) {
			time.AfterFunc(2500*time.Millisecond, func() { c.store.SetDown(true) })
		},
	}
	for step, s := range steps {
		for trouble, begin := range troubles {
			for _, change := range []bool{false, true} {
				t.Run(fmt.Sprint(step, " ", trouble, " ", change), func(t *testing.T) {
					simulateCells(t, []int{1, 1}, func(g *cellGroup) {
						c := g.cells[s.cell]
						begin(c, s.match)
						ids := g.submitBurst(g.cells[0], 100, 8, 6*time.Second)
						if step == "close" || step == "take back" {
							// The host is full of its own work, so it refuses or gives back.
							g.submitBurst(g.cells[1], 200, 6, 6*time.Second)
						}
						time.Sleep(8 * time.Second)
						if change && trouble != "outage" {
							c.restartNode(0, 40*time.Second)
						}
						time.Sleep(3 * time.Second)
						c.store.SetDown(false)
						c.store.Hold(nil)
						c.store.Lose(nil)
						c.store.Release()
						g.awaitAllEnded(6 * time.Minute)
						for _, id := range ids {
							if g.job(id).endPhase != api.JobDone {
								t.Errorf("%s: %s", id, g.job(id).endPhase)
							}
						}
					})
				})
			}
		}
	}
}

// An acceptance without an answer is carried out minutes later, when the host has closed
// the loan and home runs the job itself: it fails by the floor.
func TestAcceptanceMinutesLate(t *testing.T) {
	simulateCells(t, []int{1, 2}, func(g *cellGroup) {
		home, host := g.cells[0], g.cells[1]
		host.store.Hold(has(records.ActivePrefix, "guest"))
		g.submitBurst(home, 100, 6, 8*time.Second)
		time.Sleep(6 * time.Second)
		// The next leader of the host refuses what it is offered.
		host.nodes[0].crash()
		host.setNode(0, host.start("n0"))
		host.store.Hold(nil)
		for _, n := range host.nodes {
			n.look(func(c *Controller) { c.Policy.Spill.GuestShare = 0 })
		}
		time.Sleep(50 * time.Second)
		late := host.store.Release()
		if len(late) == 0 {
			t.Error("nothing was held")
		}
		for _, res := range late {
			host.same("carried out late", res.Succeeded, false)
		}
		g.awaitAllEnded(5 * time.Minute)
	})
}

// The first copy of an acceptance is carried out after a second one, when the host has
// given the loan back, under the same leader: only the floor stands against it.
func TestAcceptanceCarriedOutAgain(t *testing.T) {
	simulateCells(t, []int{1, 2}, func(g *cellGroup) {
		home, host := g.cells[0], g.cells[1]
		held := false
		host.store.Hold(func(txn kv.Txn) bool {
			hold := !held && has(records.ActivePrefix, "guest")(txn)
			held = held || hold
			return hold
		})
		ids := g.submitBurst(home, 100, 6, 8*time.Second)
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			given := false
			host.nodes[0].look(func(c *Controller) {
				for _, j := range c.leaderTerm.jobs {
					if j.guest != nil && !j.started() {
						c.leaderTerm.loans.returnGuest(j)
						given = true
					}
				}
			})
			if given {
				break
			}
		}
		host.nodes[0].look(func(c *Controller) { c.Policy.Spill.GuestShare = 0 })
		time.Sleep(10 * time.Second)
		late := host.store.Release()
		if len(late) != 1 {
			t.Errorf("%d held", len(late))
		}
		for _, res := range late {
			host.same("carried out again", res.Succeeded, false)
		}
		g.awaitAllEnded(5 * time.Minute)
		host.same("jobs", len(ids), 6)
	})
}

// The next leader at home counts what is lent against the limits of its teams.
func TestLoansCountAgainstLimitsAfterATakeover(t *testing.T) {
	simulateCells(t, []int{1, 4}, func(g *cellGroup) {
		home := g.cells[0]
		g.submitBurst(home, 100, 8, 30*time.Second)
		time.Sleep(10 * time.Second)
		lent := func() (grants, used float64) {
			home.leader().look(func(c *Controller) {
				for _, j := range c.leaderTerm.jobs {
					if j.lent != nil {
						grants += j.lent.Budget.CPUs
					}
				}
				for _, team := range c.leaderTerm.teams {
					used += team.UsedCPUs
				}
			})
			return grants, used
		}
		before, _ := lent()
		home.restartNode(0, 100*time.Millisecond)
		time.Sleep(3 * time.Second)
		grants, used := lent()
		if before == 0 || grants != before || used < grants {
			t.Errorf("lent %v before, %v after; %v in use", before, grants, used)
		}
		g.awaitAllEnded(5 * time.Minute)
	})
}

// Links fail in all ways while both cells change their leaders, lend to each other, and
// users cancel: seeds of random troubles, three cells of which each lends to the next.
func TestSpilloverUnderRandomTroubles(t *testing.T) {
	away, lends := 0, 0
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			simulateCells(t, []int{2, 2, 2}, func(g *cellGroup) {
				g.mu.Lock()
				g.random = rand.New(rand.NewPCG(seed, 11))
				g.repeat = 20 * time.Second
				g.mu.Unlock()
				random := rand.New(rand.NewPCG(seed, 12))
				var ids []string
				for round := range 6 {
					c := g.cells[(int(seed)+round/2)%3]
					ids = append(ids, g.submitBurst(c, 100*(round+1), 6, time.Duration(4+random.IntN(12))*time.Second)...)
					g.trouble(random)
					time.Sleep(time.Duration(random.IntN(8000)) * time.Millisecond)
					if random.IntN(2) == 0 {
						g.cancel(ids[random.IntN(len(ids))], 3)
					}
					for _, id := range ids {
						g.poll(id)
					}
				}
				g.mend()
				g.awaitAllEnded(12 * time.Minute)
				for _, c := range g.cells {
					if n := c.leader(); n != nil {
						n.look(func(o *Controller) { lends += int(o.leaderTerm.loans.count) })
					}
				}
				away += g.countLent()
			})
		})
	}
	if away < 20 {
		t.Errorf("only %d jobs ran in another cell: little was tested", away)
	}
	t.Logf("%d jobs ran in another cell, %d loans by the last leaders", away, lends)
}

// trouble lets one thing go wrong for a while.
func (g *cellGroup) trouble(random *rand.Rand) {
	c := g.cells[random.IntN(len(g.cells))]
	other := g.cells[random.IntN(len(g.cells))]
	lasting := time.Duration(2+random.IntN(25)) * time.Second
	switch random.IntN(7) {
	case 0:
		g.setCut(c.name, other.name, true)
		time.AfterFunc(lasting, func() { g.setCut(c.name, other.name, false) })
	case 1:
		g.setResponseCut(c.name, other.name, true)
		time.AfterFunc(lasting, func() { g.setResponseCut(c.name, other.name, false) })
	case 2:
		c.store.SetDown(true)
		time.AfterFunc(min(lasting, 9*time.Second), func() { c.store.SetDown(false) })
	case 3:
		c.restartNode(random.IntN(2), time.Duration(random.IntN(4000))*time.Millisecond)
	case 4:
		c.restartNode(0, 100*time.Millisecond)
		c.restartNode(1, 100*time.Millisecond)
	case 5:
		c.store.Lose(func(kv.Txn) bool { return g.chance(4) })
		time.AfterFunc(lasting, func() { c.store.Lose(nil) })
	case 6:
		c.store.Hold(func(txn kv.Txn) bool { return txn.Records && g.chance(4) })
		time.AfterFunc(lasting, func() { c.store.Hold(nil); c.store.Release() })
	}
}

// chance is true one time in so many; it may be asked from anywhere.
func (g *cellGroup) chance(n int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.random.IntN(n) == 0
}

func (g *cellGroup) mend() {
	time.Sleep(30 * time.Second)
	g.mu.Lock()
	clear(g.cut)
	clear(g.responseCut)
	g.repeat = 0
	g.mu.Unlock()
	for _, c := range g.cells {
		c.store.SetDown(false)
		c.store.Lose(nil)
		c.store.Hold(nil)
		c.store.Release()
	}
}

// The home cell is gone entirely while its job runs away, and comes back: the job has
// stayed where it was, and its end is told once home has recorded it.
func TestHomeRestartsWhileItsJobRunsAway(t *testing.T) {
	simulateCells(t, []int{1, 2}, func(g *cellGroup) {
		home := g.cells[0]
		id := g.awaitLent(g.submitBurst(home, 100, 6, 15*time.Second))
		for _, n := range home.nodes {
			n.crash()
		}
		time.Sleep(40 * time.Second)
		host := g.cells[1]
		if len(host.keysUnder("loan/end/")) == 0 {
			t.Error("the host has forgotten the end before home knows it")
		}
		home.startNodes()
		g.awaitAllEnded(4 * time.Minute)
		home.same("end", g.job(id).endPhase, api.JobDone)
	})
}

// Users cancel a lent job: before it is accepted, while it waits there, while it runs,
// while it is called back, and as it ends. While the host cannot be reached they get 503
// at once, and once it can the cancellation is confirmed.
func TestCancellationOfALentJob(t *testing.T) {
	for name, when := range map[string]func(g *cellGroup, ids []string) string{
		"before acceptance": func(g *cellGroup, ids []string) string {
			g.cells[1].store.Hold(has(records.ActivePrefix, "guest"))
			id := g.onRecord(ids)
			time.AfterFunc(4*time.Second, func() { g.cells[1].store.Hold(nil); g.cells[1].store.Release() })
			return id
		},
		"while it runs": func(g *cellGroup, ids []string) string { return g.awaitLent(ids) },
		"while its machines hang": func(g *cellGroup, ids []string) string {
			id := g.awaitLent(ids)
			g.mu.Lock()
			g.cells[1].hangUntil = time.Now().Add(6 * time.Second)
			g.mu.Unlock()
			return id
		},
		"as it ends": func(g *cellGroup, ids []string) string {
			id := g.awaitLent(ids)
			time.Sleep(11500 * time.Millisecond)
			return id
		},
		"called back": func(g *cellGroup, ids []string) string {
			id := g.onRecord(ids)
			g.cells[0].leader().look(func(c *Controller) {
				if j := c.leaderTerm.jobs[id]; j != nil {
					j.reclaimRequested = true
				}
			})
			return id
		},
	} {
		for _, crash := range []int{-1, 0, 1} {
			t.Run(fmt.Sprint(name, " ", crash), func(t *testing.T) {
				simulateCells(t, []int{1, 2}, func(g *cellGroup) {
					takes := time.Minute
					if name == "as it ends" {
						takes = 12 * time.Second
					}
					id := when(g, g.submitBurst(g.cells[0], 100, 6, takes))
					if crash >= 0 {
						g.tasks.Go(func() { g.cells[crash].restartNode(0, 200*time.Millisecond) })
					}
					told := g.cancel(id, 60)
					if told != api.JobCancelled && !(told == api.JobDone && name == "as it ends") {
						t.Errorf("told %s", told)
					}
					e, err := g.cells[1].store.Get(context.Background(), records.CancelKey)
					if marked := err == nil && strings.Contains(string(e.Value), loan.GuestMarker+id); strings.HasPrefix(name, "while") && !marked {
						t.Errorf("the host's cancel key says %s", e.Value)
					}
					g.awaitAllEnded(10 * time.Minute)
				})
			})
		}
	}
	t.Run("host out of reach", func(t *testing.T) {
		simulateCells(t, []int{1, 2}, func(g *cellGroup) {
			id := g.awaitLent(g.submitBurst(g.cells[0], 100, 6, 12*time.Second))
			g.setCut("cell-a", "cell-b", true)
			began := time.Now()
			_, err := g.cells[0].nodes[0].Cancel(context.Background(), id)
			if err == nil || time.Since(began) > time.Second {
				t.Errorf("answered %v after %v", err, time.Since(began))
			}
			g.cells[0].same("meanwhile", g.cancel(id, 5), "not confirmed")
			g.setCut("cell-a", "cell-b", false)
			if told := g.cancel(id, 20); told != api.JobCancelled && told != api.JobDone {
				t.Errorf("told %s", told)
			}
			g.awaitAllEnded(4 * time.Minute)
		})
	})
}

// onRecord waits until one of some jobs is lent on record, and returns it.
func (g *cellGroup) onRecord(ids []string) (lent string) {
	g.t.Helper()
	for range 100 {
		if n := g.job(ids[0]).home.leader(); n != nil {
			n.look(func(c *Controller) {
				for _, id := range ids {
					if j := c.leaderTerm.jobs[id]; j != nil && j.lent != nil {
						lent = id
					}
				}
			})
		}
		if lent != "" {
			return lent
		}
		time.Sleep(200 * time.Millisecond)
	}
	g.t.Fatal("nothing was lent")
	return ""
}

// A job's name that both cells know never runs as two jobs: the host refuses the loan, and
// who submits it there while the guest is here gets no answer that is about the guest.
func TestOneNameInTwoCells(t *testing.T) {
	simulateCells(t, []int{1, 2}, func(g *cellGroup) {
		home, host := g.cells[0], g.cells[1]
		id := g.awaitLent(g.submitBurst(home, 100, 6, 12*time.Second))
		host.same("asked for at the host", host.phase(host.nodes[1], id), api.ErrUnknownJob.Error())
		host.same("asked for at its leader", host.phase(host.nodes[0], id), api.ErrUnknownJob.Error())
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		if _, _, err := host.nodes[0].Submit(ctx, spec(id, 1)); err == nil {
			t.Error("accepted at the host while the guest is there")
		}
		if _, err := host.nodes[0].Cancel(context.Background(), id); err == nil {
			t.Error("the guest was cancelled at the host")
		}
		g.awaitAllEnded(4 * time.Minute)
	})
	simulateCells(t, []int{1, 2}, func(g *cellGroup) {
		home, host := g.cells[0], g.cells[1]
		for i := range 6 { // over, and known, at the host
			host.put(records.TerminalPrefix+fmt.Sprint("job-10", i), records.TerminalRecord{Phase: api.JobDone, Tasks: 1})
		}
		g.submitBurst(home, 100, 6, 6*time.Second)
		g.awaitAllEnded(4 * time.Minute)
		home.same("ran at the host", g.countLent(), 0)
	})
}

// A host that fills up with its own work gives back what it has not begun, and stops guests
// for its teams' guarantees; nothing is lost, and nothing bounces without end.
func TestHostFillsUp(t *testing.T) {
	simulateCells(t, []int{1, 1}, func(g *cellGroup) {
		home, host := g.cells[0], g.cells[1]
		g.submitBurst(home, 100, 8, 50*time.Second)
		time.Sleep(6 * time.Second)
		g.submitBurst(host, 200, 8, 50*time.Second)
		time.Sleep(15 * time.Second)
		guests := 0.0
		for _, k := range host.agents {
			for _, task := range k.running() {
				if id, _, _ := splitRef(task); g.job(id).home == home {
					guests++
				}
			}
		}
		host.same("guests while a guarantee waits", guests, 0.0)
		g.awaitAllEnded(20 * time.Minute)
		for id, j := range g.jobs {
			if j.endPhase != api.JobDone {
				t.Errorf("%s: %s", id, j.endPhase)
			}
		}
	})
}

// A host gives back what it could not begin for a while.
func TestGuestThatCannotBegin(t *testing.T) {
	simulateCells(t, []int{1, 2}, func(g *cellGroup) {
		home, host := g.cells[0], g.cells[1]
		g.submitBurst(home, 100, 6, 10*time.Second)
		held := ""
		for range 200 {
			host.nodes[0].look(func(c *Controller) {
				for id, j := range c.leaderTerm.jobs {
					if held == "" && j.guest != nil && !j.started() {
						j.backoffUntil = time.Now().Add(time.Hour)
						held = id
					}
				}
			})
			if held != "" {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(returnGuestAfter + 5*time.Second)
		host.same("still a guest", host.store.Has(records.ActivePrefix+held), false)
		host.same("was one", held != "", true)
		g.awaitAllEnded(5 * time.Minute)
	})
}

// A host that does not come back keeps what was lent to it, known and waiting; once the
// operators have given it up, home takes that back and runs it.
func TestHostIsLostForGood(t *testing.T) {
	simulateCells(t, []int{1, 2}, func(g *cellGroup) {
		home, host := g.cells[0], g.cells[1]
		id := g.awaitLent(g.submitBurst(home, 100, 6, 10*time.Second))
		for _, n := range host.nodes {
			n.crash()
		}
		g.mu.Lock()
		host.agents = nil // its machines are gone with it
		g.mu.Unlock()
		time.Sleep(3 * time.Minute)
		home.same("while it is only silent", g.poll(id) == api.JobDone, false)
		n := home.leader()
		n.look(func(c *Controller) {
			st := c.leaderTerm.jobs[id].state()
			home.same("told where it is", st.Cell, host.name)
		})
		for _, n := range home.nodes {
			n.crash()
		}
		home.cells = &cells.Settings{Cell: "cell-a", MaxLoans: 50, Neighbours: []cells.Neighbour{{Cell: "cell-b", Unreachable: true}}}
		home.startNodes()
		for range 90 {
			if g.poll(id) == api.JobDone {
				break
			}
			time.Sleep(2 * time.Second)
		}
		home.same("taken back", g.job(id).endPhase, api.JobDone)
	})
}

// What is malformed, of a cell that is not configured, or larger than limits is refused
// with a reason, and changes nothing.
func TestRefusedLoanRequests(t *testing.T) {
	simulateCells(t, []int{1, 1}, func(g *cellGroup) {
		host := g.cells[1]
		offer := func(change func(o *loan.Offer)) *loan.Offer {
			o := &loan.Offer{Spec: *spec("job-1", 2), Budget: loan.Budget{CPUs: 2}, Since: time.Now()}
			change(o)
			return o
		}
		none := func(*loan.Offer) {}
		for name, c := range map[string]struct {
			req     loan.Request
			refused string
			reason  string
		}{
			"unknown cell": {loan.Request{Home: "cell-x", Entries: []loan.Entry{{Job: "job-1", Epoch: 1, Offer: offer(none)}}}, `cell "cell-x" is not configured here`, ""},
			"no job":       {loan.Request{Home: "cell-a", Entries: []loan.Entry{{Job: "../job-1", Epoch: 1}}}, `"../job-1" is no job id`, ""},
			"no epoch":     {loan.Request{Home: "cell-a", Entries: []loan.Entry{{Job: "job-1"}}}, "the loan of job-1 is malformed", ""},
			"no such wish": {loan.Request{Home: "cell-a", Entries: []loan.Entry{{Job: "job-1", Epoch: 1, Desired: 9}}}, "the loan of job-1 is malformed", ""},
			"another job":  {loan.Request{Home: "cell-a", Entries: []loan.Entry{{Job: "job-2", Epoch: 1, Offer: offer(none)}}}, "the description of job-2 is malformed", ""},
			"no grant": {loan.Request{Home: "cell-a", Entries: []loan.Entry{{Job: "job-1", Epoch: 1, Offer: offer(func(o *loan.Offer) { o.Budget.CPUs = 0.5 })}}},
				"", "the grant holds no task"},
			"too large": {loan.Request{Home: "cell-a", Entries: []loan.Entry{{Job: "job-1", Epoch: 2, Offer: offer(func(o *loan.Offer) { o.Spec.Class = strings.Repeat("c", 9000) })}}},
				"", "larger than a record"},
			"no such type": {loan.Request{Home: "cell-a", Entries: []loan.Entry{{Job: "job-1", Epoch: 3, Offer: offer(func(o *loan.Offer) { o.Spec.Types = []string{"huge"} })}}},
				"", "a task fits no machine type"},
		} {
			answer, err := host.deliverLoans(&c.req)
			if err != nil {
				t.Fatal(err)
			}
			reason := ""
			for _, s := range answer.States {
				reason = s.Reason
			}
			host.same(name, []string{answer.Refused, reason}, []string{c.refused, c.reason})
		}
		time.Sleep(2 * time.Second)
		host.same("records", host.keysUnder(records.ActivePrefix+"job-"), []string(nil))
	})
}

// Lending begins only once every node of the cell knows of loans, and stops when one is
// heard that does not.
func TestLendingWaitsForAllNodes(t *testing.T) {
	simulateCells(t, []int{1, 2}, func(g *cellGroup) {
		home := g.cells[0]
		n := home.leader()
		n.look(func(c *Controller) { c.membership.members["n9"] = &member{} })
		g.submitBurst(home, 100, 6, 10*time.Second)
		time.Sleep(8 * time.Second)
		home.same("lent", g.countLent(), 0)
		n.look(func(c *Controller) { c.membership.members["n9"].SupportsLoans = true })
		time.Sleep(8 * time.Second)
		if g.countLent() == 0 {
			t.Error("nothing was lent once all know")
		}
		g.awaitAllEnded(4 * time.Minute)
	})
}
