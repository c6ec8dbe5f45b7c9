package controller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cells"
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/loan"
	"example.org/ivytrestle/internal/membership"
	"example.org/ivytrestle/internal/records"
)

// putsActive returns a function that reports whether a transaction puts an active record that matches.
func putsActive(match func(records.ActiveRecord) bool) func(kv.Txn) bool {
	return func(txn kv.Txn) bool {
		return slices.ContainsFunc(txn.Ops, func(op kv.Op) bool {
			rec, ok := op.Value.(records.ActiveRecord)
			return ok && strings.HasPrefix(op.Put, records.ActivePrefix) && match(rec)
		})
	}
}

// Whether a transaction puts the active record of a lent job, of a guest, or of a reclaimed job.
var (
	putsLent      = putsActive(func(rec records.ActiveRecord) bool { return rec.Lent != nil })
	putsGuest     = putsActive(func(rec records.ActiveRecord) bool { return rec.Guest != nil })
	putsReclaimed = putsActive(func(rec records.ActiveRecord) bool { return rec.Spec.ID != "" && rec.LoanCount > 0 })
)

// putsUnder returns a function that reports whether a transaction puts a record, other than an active
// record, under a prefix.
func putsUnder(prefix string) func(kv.Txn) bool {
	return func(txn kv.Txn) bool {
		return slices.ContainsFunc(txn.Ops, func(op kv.Op) bool {
			_, isActive := op.Value.(records.ActiveRecord)
			return !isActive && strings.HasPrefix(op.Put, prefix)
		})
	}
}

// deletesUnder returns a function that reports whether a transaction deletes a record under a prefix.
func deletesUnder(prefix string) func(kv.Txn) bool {
	return func(txn kv.Txn) bool {
		return slices.ContainsFunc(txn.Ops, func(op kv.Op) bool { return strings.HasPrefix(op.Delete, prefix) })
	}
}

// loanStep is a step of a loan: the index of the cell that writes it, and which transactions write it.
type loanStep struct {
	name  string
	cell  int
	match func(kv.Txn) bool
	// hostBusy is set if the step occurs only while the host has jobs of its own, so that it rejects
	// or returns loans.
	hostBusy bool
}

// storeFault is a fault of a cell's key-value store.
type storeFault struct {
	name   string
	inject func(c *cell, match func(kv.Txn) bool)
	// restart is set if the test is repeated with a restart of the leader during the fault.
	restart bool
}

// The transaction of each step of a loan loses its response or is applied late, with and without a
// restart of the leader that sent it, or fails during an outage of the key-value store. Each job must
// still run in only one cell at a time and end once.
func TestLoanStepsThatFail(t *testing.T) {
	steps := []loanStep{
		{name: "lend", cell: 0, match: putsLent},
		{name: "accept", cell: 1, match: putsGuest},
		{name: "close", cell: 1, match: putsUnder(loan.MinEpochKey("")), hostBusy: true},
		{name: "reclaim", cell: 0, match: putsReclaimed, hostBusy: true},
		{name: "end at host", cell: 1, match: putsUnder(loan.EndKey("", "")[:len("loan/end/")])},
		{name: "end at home", cell: 0, match: putsUnder(records.TerminalPrefix)},
		{name: "forget", cell: 1, match: deletesUnder("loan/end/")},
	}
	faults := []storeFault{
		{
			name:    "response lost",
			inject:  func(c *cell, match func(kv.Txn) bool) { c.store.LoseResponses(match) },
			restart: true,
		},
		{
			name:    "applied late",
			inject:  func(c *cell, match func(kv.Txn) bool) { c.store.Delay(match) },
			restart: true,
		},
		{
			name: "outage",
			inject: func(c *cell, _ func(kv.Txn) bool) {
				time.AfterFunc(2500*time.Millisecond, func() { c.store.SetDown(true) })
			},
		},
	}
	for _, step := range steps {
		for _, fault := range faults {
			for _, restart := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, restart %v", step.name, fault.name, restart), func(t *testing.T) {
					simulateCells(t, []int{1, 1}, func(g *cellGroup) {
						testLoanStep(t, g, step, fault, restart && fault.restart)
					})
				})
			}
		}
	}
}

// testLoanStep injects a fault into a step of a loan, and checks that all jobs are done in the end.
func testLoanStep(t *testing.T, g *cellGroup, step loanStep, fault storeFault, restart bool) {
	t.Helper()
	c := g.cells[step.cell]
	fault.inject(c, step.match)
	ids := g.submitBurst(g.cells[0], 100, 8, 6*time.Second)
	if step.hostBusy {
		g.submitBurst(g.cells[1], 200, 6, 6*time.Second)
	}
	time.Sleep(8 * time.Second)
	if restart {
		c.restartNode(0, 40*time.Second)
	}
	time.Sleep(3 * time.Second)
	c.healStore()
	g.awaitAllEnded(6 * time.Minute)
	for _, id := range ids {
		if got := g.job(id).endPhase; got != api.JobDone {
			t.Errorf("%s: got end %q, want %q", id, got, api.JobDone)
		}
	}
}

// healStore ends all faults of the cell's store and applies the delayed transactions.
func (c *cell) healStore() {
	c.store.SetDown(false)
	c.store.LoseResponses(nil)
	c.store.Delay(nil)
	c.store.ApplyDelayed()
}

// The transaction that accepts a loan gets no response and is applied almost a minute later, when the
// host has closed the loan and home runs the job itself. It must fail, because the term of the
// leader that sent it has ended and the record of the minimum epoch has changed.
func TestAcceptanceAppliedLate(t *testing.T) {
	simulateCells(t, []int{1, 2}, func(g *cellGroup) {
		home, host := g.cells[0], g.cells[1]
		host.store.Delay(putsGuest)
		g.submitBurst(home, 100, 6, 8*time.Second)
		time.Sleep(6 * time.Second)
		// The next leader of the host rejects offers.
		host.nodes[0].crash()
		host.setNode(0, host.start("n0"))
		host.store.Delay(nil)
		for _, n := range host.nodes {
			n.inspect(func(c *Controller) { c.Policy.Spill.GuestShare = 0 })
		}
		time.Sleep(50 * time.Second)
		late := host.store.ApplyDelayed()
		if len(late) == 0 {
			t.Error("no transaction was delayed")
		}
		for _, res := range late {
			host.checkEqual("applied late", res.Succeeded, false)
		}
		g.awaitAllEnded(5 * time.Minute)
	})
}

// The transaction that accepts a loan is delayed, and a second copy is applied first. The host then
// returns the loan, and the first copy is applied in the same term of the host's leader. Only the
// minimum epoch prevents the loan from being accepted again.
func TestAcceptanceAppliedAgain(t *testing.T) {
	simulateCells(t, []int{1, 2}, func(g *cellGroup) {
		home, host := g.cells[0], g.cells[1]
		delayed := false
		host.store.Delay(func(txn kv.Txn) bool {
			delay := !delayed && putsGuest(txn)
			delayed = delayed || delay
			return delay
		})
		ids := g.submitBurst(home, 100, 6, 8*time.Second)
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			if host.returnGuests() {
				break
			}
		}
		host.nodes[0].inspect(func(c *Controller) { c.Policy.Spill.GuestShare = 0 })
		time.Sleep(10 * time.Second)
		late := host.store.ApplyDelayed()
		if len(late) != 1 {
			t.Errorf("got %d delayed transactions, want 1", len(late))
		}
		for _, res := range late {
			host.checkEqual("applied again", res.Succeeded, false)
		}
		g.awaitAllEnded(5 * time.Minute)
		host.checkEqual("jobs", len(ids), 6)
	})
}

// returnGuests has node 0, the leader, return all guests that have not started, and reports whether
// there were any.
func (c *cell) returnGuests() (returned bool) {
	c.nodes[0].inspect(func(ctl *Controller) {
		for _, j := range ctl.leaderTerm.jobs {
			if j.Guest != nil && !j.Started() {
				ctl.leaderTerm.loans.returnGuest(j)
				returned = true
			}
		}
	})
	return returned
}

// After a takeover, the new leader at home counts the budgets of loans against the limits of its teams.
func TestLoansCountAgainstLimitsAfterATakeover(t *testing.T) {
	simulateCells(t, []int{1, 4}, func(g *cellGroup) {
		home := g.cells[0]
		g.submitBurst(home, 100, 8, 30*time.Second)
		time.Sleep(10 * time.Second)
		lent := func() (budgets, used float64) {
			home.leader().inspect(func(c *Controller) {
				for _, j := range c.leaderTerm.jobs {
					if j.Lent != nil {
						budgets += j.Lent.Budget.CPUs
					}
				}
				for _, team := range c.leaderTerm.teams {
					used += team.UsedCPUs
				}
			})
			return budgets, used
		}
		before, _ := lent()
		home.restartNode(0, 100*time.Millisecond)
		time.Sleep(3 * time.Second)
		after, used := lent()
		if before == 0 || after != before || used < after {
			t.Errorf("budgets of loans: got %v CPUs before the takeover, %v after; used by teams: %v CPUs",
				before, after, used)
		}
		g.awaitAllEnded(5 * time.Minute)
	})
}

// Three cells lend jobs to each other while links, key-value stores and leaders fail at random and users
// cancel jobs. Each seed yields another sequence of faults.
func TestSpilloverUnderRandomFaults(t *testing.T) {
	lentJobs, loans := 0, 0
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			simulateCells(t, []int{2, 2, 2}, func(g *cellGroup) {
				g.runRandomFaults(seed)
				for _, c := range g.cells {
					if n := c.leader(); n != nil {
						n.inspect(func(ctl *Controller) { loans += int(ctl.leaderTerm.loans.count) })
					}
				}
				lentJobs += g.countLent()
			})
		})
	}
	if lentJobs < 20 {
		t.Errorf("got %d jobs that ran in another cell, want at least 20 for the test to be meaningful", lentJobs)
	}
	t.Logf("%d jobs ran in another cell, %d loans by the last leaders", lentJobs, loans)
}

// runRandomFaults submits jobs, injects faults and cancels jobs, all at random times, and waits until all
// jobs have ended.
func (g *cellGroup) runRandomFaults(seed uint64) {
	g.t.Helper()
	g.mu.Lock()
	g.random = rand.New(rand.NewPCG(seed, 11))
	g.maxRepeatDelay = 20 * time.Second
	g.mu.Unlock()
	random := rand.New(rand.NewPCG(seed, 12))
	ids := make([]string, 0, 36)
	for round := range 6 {
		c := g.cells[(int(seed)+round/2)%3]
		duration := time.Duration(4+random.IntN(12)) * time.Second
		ids = append(ids, g.submitBurst(c, 100*(round+1), 6, duration)...)
		g.injectFault(random)
		time.Sleep(time.Duration(random.IntN(8000)) * time.Millisecond)
		if random.IntN(2) == 0 {
			g.cancel(ids[random.IntN(len(ids))], 3)
		}
		for _, id := range ids {
			g.poll(id)
		}
	}
	g.heal()
	g.awaitAllEnded(12 * time.Minute)
}

// injectFault injects a random fault for a random time.
func (g *cellGroup) injectFault(random *rand.Rand) {
	c := g.cells[random.IntN(len(g.cells))]
	other := g.cells[random.IntN(len(g.cells))]
	duration := time.Duration(2+random.IntN(25)) * time.Second
	switch random.IntN(7) {
	case 0:
		g.setCut(c.name, other.name, true)
		time.AfterFunc(duration, func() { g.setCut(c.name, other.name, false) })
	case 1:
		g.setResponseCut(c.name, other.name, true)
		time.AfterFunc(duration, func() { g.setResponseCut(c.name, other.name, false) })
	case 2:
		c.store.SetDown(true)
		time.AfterFunc(min(duration, 9*time.Second), func() { c.store.SetDown(false) })
	case 3:
		c.restartNode(random.IntN(2), time.Duration(random.IntN(4000))*time.Millisecond)
	case 4:
		c.restartNode(0, 100*time.Millisecond)
		c.restartNode(1, 100*time.Millisecond)
	case 5:
		c.store.LoseResponses(func(kv.Txn) bool { return g.oneIn(4) })
		time.AfterFunc(duration, func() { c.store.LoseResponses(nil) })
	case 6:
		c.store.Delay(func(txn kv.Txn) bool { return txn.SelfLimited && g.oneIn(4) })
		time.AfterFunc(duration, func() { c.store.Delay(nil); c.store.ApplyDelayed() })
	}
}

// oneIn returns true with a probability of 1/n. It may be called from any goroutine.
func (g *cellGroup) oneIn(n int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.random.IntN(n) == 0
}

// heal waits for the injected faults to end, and ends any that have not.
func (g *cellGroup) heal() {
	time.Sleep(30 * time.Second)
	g.mu.Lock()
	clear(g.cut)
	clear(g.responseCut)
	g.maxRepeatDelay = 0
	g.mu.Unlock()
	for _, c := range g.cells {
		c.healStore()
	}
}

// All controllers of the home cell crash while a job is lent and are started 40 s later. The job stays
// at its host, which keeps the record of the job's end until home has recorded the end too.
func TestHomeRestartsWhileItsJobIsLent(t *testing.T) {
	simulateCells(t, []int{1, 2}, func(g *cellGroup) {
		home := g.cells[0]
		id := g.awaitLent(g.submitBurst(home, 100, 6, 15*time.Second))
		for _, n := range home.nodes {
			n.crash()
		}
		time.Sleep(40 * time.Second)
		host := g.cells[1]
		if len(host.keysUnder("loan/end/")) == 0 {
			t.Error("host has deleted the record of the job's end before home has read it")
		}
		home.startNodes()
		g.awaitAllEnded(4 * time.Minute)
		home.checkEqual("end", g.job(id).endPhase, api.JobDone)
	})
}

// lentCancellation is a situation in which a user cancels a lent job.
type lentCancellation struct {
	name     string
	duration time.Duration
	// await waits for the situation and returns the id of the job to cancel.
	await func(g *cellGroup, ids []string) string
	// mayBeDone is set if the job may be done before it is cancelled.
	mayBeDone bool
	// wantMarker is set if the host must have written the guest's cancellation to its cancel key.
	wantMarker bool
}

// lentCancellations are the cases of TestCancellationOfLentJob.
var lentCancellations = []lentCancellation{
	{
		name:     "before acceptance",
		duration: time.Minute,
		await: func(g *cellGroup, ids []string) string {
			g.cells[1].store.Delay(putsGuest)
			id := g.awaitLentOnRecord(ids)
			time.AfterFunc(4*time.Second, func() { g.cells[1].store.Delay(nil); g.cells[1].store.ApplyDelayed() })
			return id
		},
	},
	{
		name:       "while it runs",
		duration:   time.Minute,
		await:      (*cellGroup).awaitLent,
		wantMarker: true,
	},
	{
		name:     "while its machines hang",
		duration: time.Minute,
		await: func(g *cellGroup, ids []string) string {
			id := g.awaitLent(ids)
			g.mu.Lock()
			g.cells[1].hangUntil = time.Now().Add(6 * time.Second)
			g.mu.Unlock()
			return id
		},
		wantMarker: true,
	},
	{
		name:     "as it ends",
		duration: 12 * time.Second,
		await: func(g *cellGroup, ids []string) string {
			id := g.awaitLent(ids)
			time.Sleep(11500 * time.Millisecond)
			return id
		},
		mayBeDone: true,
	},
	{
		name:     "reclaim requested",
		duration: time.Minute,
		await: func(g *cellGroup, ids []string) string {
			id := g.awaitLentOnRecord(ids)
			g.cells[0].leader().inspect(func(c *Controller) {
				if j := c.leaderTerm.jobs[id]; j != nil {
					j.ReclaimRequested = true
				}
			})
			return id
		},
	},
}

// A user cancels a lent job in each of the lentCancellations, without a restart and with a restart of
// the leader at home or at the host.
func TestCancellationOfLentJob(t *testing.T) {
	for _, c := range lentCancellations {
		for _, crashedCell := range []int{-1, 0, 1} {
			t.Run(fmt.Sprint(c.name, " ", crashedCell), func(t *testing.T) {
				simulateCells(t, []int{1, 2}, func(g *cellGroup) { testLentCancellation(t, g, c, crashedCell) })
			})
		}
	}
}

// testLentCancellation cancels a lent job. Unless crashedCell is -1, node 0 of the cell with that index
// restarts at the same time.
func testLentCancellation(t *testing.T, g *cellGroup, c lentCancellation, crashedCell int) {
	t.Helper()
	id := c.await(g, g.submitBurst(g.cells[0], 100, 6, c.duration))
	if crashedCell >= 0 {
		g.goroutines.Go(func() { g.cells[crashedCell].restartNode(0, 200*time.Millisecond) })
	}
	if got := g.cancel(id, 60); got != api.JobCancelled && (got != api.JobDone || !c.mayBeDone) {
		t.Errorf("got phase %q, want %q", got, api.JobCancelled)
	}
	e, err := g.cells[1].store.Get(context.Background(), records.CancelKey)
	marked := err == nil && strings.Contains(string(e.Value), loan.GuestMarker+id)
	if c.wantMarker && !marked {
		t.Errorf("host's cancel key: got %s, error %v; want it to contain %s", e.Value, err, id)
	}
	g.awaitAllEnded(10 * time.Minute)
}

// While home cannot reach the host of a lent job, a cancellation fails immediately. Once home reaches
// the host again, the cancellation is confirmed.
func TestCancellationOfLentJobWithHostUnreachable(t *testing.T) {
	simulateCells(t, []int{1, 2}, func(g *cellGroup) {
		id := g.awaitLent(g.submitBurst(g.cells[0], 100, 6, 12*time.Second))
		g.setCut("cell-a", "cell-b", true)
		startTime := time.Now()
		_, err := g.cells[0].nodes[0].Cancel(context.Background(), id)
		if err == nil || time.Since(startTime) > time.Second {
			t.Errorf("cancel: got error %v after %v, want an error within 1s", err, time.Since(startTime))
		}
		g.cells[0].checkEqual("cancellation while the host is unreachable", g.cancel(id, 5), "not confirmed")
		g.setCut("cell-a", "cell-b", false)
		if got := g.cancel(id, 20); got != api.JobCancelled && got != api.JobDone {
			t.Errorf("got phase %q, want %q or %q", got, api.JobCancelled, api.JobDone)
		}
		g.awaitAllEnded(4 * time.Minute)
	})
}

// awaitLentOnRecord waits until the home leader has recorded one of the jobs as lent, and returns its id.
func (g *cellGroup) awaitLentOnRecord(ids []string) (lent string) {
	g.t.Helper()
	for range 100 {
		if n := g.job(ids[0]).home.leader(); n != nil {
			n.inspect(func(c *Controller) {
				for _, id := range ids {
					if j := c.leaderTerm.jobs[id]; j != nil && j.Lent != nil {
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
	g.t.Fatal("no job was lent")
	return ""
}

// The same job id is used in both cells. While the host has a guest with that id, its own users cannot
// see or cancel the guest, or submit a job with the id. If the host has had a job with that id, it
// rejects the loan.
func TestSameJobIDInTwoCells(t *testing.T) {
	simulateCells(t, []int{1, 2}, func(g *cellGroup) {
		home, host := g.cells[0], g.cells[1]
		id := g.awaitLent(g.submitBurst(home, 100, 6, 12*time.Second))
		host.checkEqual("phase at the host", host.phase(host.nodes[1], id), api.ErrUnknownJob.Error())
		host.checkEqual("phase at its leader", host.phase(host.nodes[0], id), api.ErrUnknownJob.Error())
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		if _, _, err := host.nodes[0].Submit(ctx, spec(id, 1)); err == nil {
			t.Error("host accepted a job with the id of its guest")
		}
		if _, err := host.nodes[0].Cancel(context.Background(), id); err == nil {
			t.Error("user of the host cancelled the guest")
		}
		g.awaitAllEnded(4 * time.Minute)
	})
	simulateCells(t, []int{1, 2}, func(g *cellGroup) {
		home, host := g.cells[0], g.cells[1]
		for i := range 6 { // the host has had jobs with these ids
			terminal := records.TerminalRecord{Phase: api.JobDone, Tasks: 1}
			host.put(records.TerminalPrefix+fmt.Sprint("job-10", i), terminal)
		}
		g.submitBurst(home, 100, 6, 6*time.Second)
		g.awaitAllEnded(4 * time.Minute)
		home.checkEqual("jobs that ran at the host", g.countLent(), 0)
	})
}

// A host whose capacity is taken by its own jobs returns the guests that it has not started, and
// preempts guests as long as a team is below its guarantee. All jobs are done in the end, and none is
// lent back and forth forever.
func TestHostFillsUp(t *testing.T) {
	simulateCells(t, []int{1, 1}, func(g *cellGroup) {
		home, host := g.cells[0], g.cells[1]
		g.submitBurst(home, 100, 8, 50*time.Second)
		time.Sleep(6 * time.Second)
		g.submitBurst(host, 200, 8, 50*time.Second)
		time.Sleep(15 * time.Second)
		guestTasks := 0.0
		for _, agent := range host.agents {
			for _, task := range agent.running() {
				if id, _, _ := cluster.ParseTaskRef(task); g.job(id).home == home {
					guestTasks++
				}
			}
		}
		host.checkEqual("guest tasks while a team is below its guarantee", guestTasks, 0.0)
		g.awaitAllEnded(20 * time.Minute)
		for id, j := range g.jobs {
			if j.endPhase != api.JobDone {
				t.Errorf("%s: got end %q, want %q", id, j.endPhase, api.JobDone)
			}
		}
	})
}

// A host returns a guest that it could not start within guestStartTimeout.
func TestGuestThatCannotStart(t *testing.T) {
	simulateCells(t, []int{1, 2}, func(g *cellGroup) {
		home, host := g.cells[0], g.cells[1]
		g.submitBurst(home, 100, 6, 10*time.Second)
		guest := ""
		for range 200 {
			host.nodes[0].inspect(func(c *Controller) {
				for id, j := range c.leaderTerm.jobs {
					if guest == "" && j.Guest != nil && !j.Started() {
						j.BackoffUntil = time.Now().Add(time.Hour)
						guest = id
					}
				}
			})
			if guest != "" {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(guestStartTimeout + 5*time.Second)
		host.checkEqual("still a guest", host.store.Has(records.ActivePrefix+guest), false)
		host.checkEqual("was a guest", guest != "", true)
		g.awaitAllEnded(5 * time.Minute)
	})
}

// A host fails permanently. Its loans stay lent until the operators declare the host unreachable in the
// settings of home, which then reclaims the job and runs it.
func TestHostLostPermanently(t *testing.T) {
	simulateCells(t, []int{1, 2}, func(g *cellGroup) {
		home, host := g.cells[0], g.cells[1]
		id := g.awaitLent(g.submitBurst(home, 100, 6, 10*time.Second))
		for _, n := range host.nodes {
			n.crash()
		}
		g.mu.Lock()
		host.agents = nil // its machines have failed too
		g.mu.Unlock()
		time.Sleep(3 * time.Minute)
		home.checkEqual("done while the host is not declared unreachable", g.poll(id) == api.JobDone, false)
		n := home.leader()
		n.inspect(func(c *Controller) {
			st := c.leaderTerm.jobs[id].State()
			home.checkEqual("cell of the job", st.Cell, host.name)
		})
		for _, n := range home.nodes {
			n.crash()
		}
		home.cells = &cells.Settings{
			Cell:       "cell-a",
			MaxLoans:   50,
			Neighbours: []cells.Neighbour{{Cell: "cell-b", Unreachable: true}},
		}
		home.startNodes()
		for range 90 {
			if g.poll(id) == api.JobDone {
				break
			}
			time.Sleep(2 * time.Second)
		}
		home.checkEqual("end after the reclaim", g.job(id).endPhase, api.JobDone)
	})
}

// rejectedLoan is a loan that a host must reject. If refused is set, the host rejects the whole request
// for that reason. If reason is set, it rejects only the loan.
type rejectedLoan struct {
	name    string
	home    string
	entry   loan.Entry
	refused string
	reason  string
}

// offeredLoan returns an entry that offers a job of two tasks with a budget for both. A change that is
// not nil modifies the offer.
func offeredLoan(epoch loan.Epoch, change func(o *loan.Offer)) loan.Entry {
	o := &loan.Offer{Spec: *spec("job-1", 2), Budget: loan.Budget{CPUs: 2}, Since: time.Now()}
	if change != nil {
		change(o)
	}
	return loan.Entry{Job: "job-1", Epoch: epoch, Offer: o}
}

// rejectedLoans returns the cases of TestRejectedLoanRequests.
func rejectedLoans() []rejectedLoan {
	otherJob := offeredLoan(1, nil)
	otherJob.Job = "job-2"
	return []rejectedLoan{
		{
			name:    "unknown cell",
			home:    "cell-x",
			entry:   offeredLoan(1, nil),
			refused: `cell "cell-x" is not configured here`,
		},
		{
			name:    "no job id",
			home:    "cell-a",
			entry:   loan.Entry{Job: "../job-1", Epoch: 1},
			refused: `"../job-1" is no job id`,
		},
		{
			name:    "no epoch",
			home:    "cell-a",
			entry:   loan.Entry{Job: "job-1"},
			refused: "the loan of job-1 is malformed",
		},
		{
			name:    "unknown desired state",
			home:    "cell-a",
			entry:   loan.Entry{Job: "job-1", Epoch: 1, Desired: 9},
			refused: "the loan of job-1 is malformed",
		},
		{
			name:    "spec of another job",
			home:    "cell-a",
			entry:   otherJob,
			refused: "the description of job-2 is malformed",
		},
		{
			name:   "budget below a task",
			home:   "cell-a",
			entry:  offeredLoan(1, func(o *loan.Offer) { o.Budget.CPUs = 0.5 }),
			reason: "the grant holds no task",
		},
		{
			name:   "too large",
			home:   "cell-a",
			entry:  offeredLoan(2, func(o *loan.Offer) { o.Spec.Class = strings.Repeat("c", 9000) }),
			reason: "larger than a record",
		},
		{
			name:   "unknown machine type",
			home:   "cell-a",
			entry:  offeredLoan(3, func(o *loan.Offer) { o.Spec.Types = []string{"huge"} }),
			reason: "a task fits no machine type",
		},
	}
}

// A host rejects loans that are malformed, are too large, come from a cell that is not configured, or
// could not run. The response contains the reason, and the host writes no active record.
func TestRejectedLoanRequests(t *testing.T) {
	simulateCells(t, []int{1, 1}, func(g *cellGroup) {
		host := g.cells[1]
		for _, c := range rejectedLoans() {
			response, err := host.deliverLoans(&loan.Request{Home: c.home, Entries: []loan.Entry{c.entry}})
			if err != nil {
				t.Fatal(err)
			}
			reason := ""
			for _, s := range response.States {
				reason = s.Reason
			}
			host.checkEqual(c.name, []string{response.Refused, reason}, []string{c.refused, c.reason})
		}
		time.Sleep(2 * time.Second)
		host.checkEqual("records", host.keysUnder(records.ActivePrefix+"job-"), []string(nil))
	})
}

// A cell lends jobs only while all its nodes support loans.
func TestLendingWaitsForAllNodes(t *testing.T) {
	simulateCells(t, []int{1, 2}, func(g *cellGroup) {
		home := g.cells[0]
		n := home.leader()
		n.inspect(func(c *Controller) { c.membership.Members["n9"] = &membership.Member{} })
		g.submitBurst(home, 100, 6, 10*time.Second)
		time.Sleep(8 * time.Second)
		home.checkEqual("lent", g.countLent(), 0)
		n.inspect(func(c *Controller) { c.membership.Members["n9"].SupportsLoans = true })
		time.Sleep(8 * time.Second)
		if g.countLent() == 0 {
			t.Error("no job was lent after all nodes supported loans")
		}
		g.awaitAllEnded(4 * time.Minute)
	})
}
