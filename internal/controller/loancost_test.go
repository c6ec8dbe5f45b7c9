package controller

import (
	"fmt"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cells"
	"example.org/ivytrestle/internal/loan"
	"example.org/ivytrestle/internal/records"
)

// What a loan costs the two key-value stores is bounded: at home one change more than a job
// that runs there, at the host five.
func TestWritesOfLoan(t *testing.T) {
	simulateCells(t, []int{1, 4}, func(g *cellGroup) {
		home, host := g.cells[0], g.cells[1]
		ids := g.submitBurst(home, 100, 9, 5*time.Second)
		g.awaitAllEnded(4 * time.Minute)
		counts := func(c *cell) (s CellsStatus) {
			c.leader().inspect(func(o *Controller) { s = *o.leaderTerm.loans.status(time.Now()) })
			return s
		}
		out, in := counts(home).Counts, counts(host).Counts
		if out.Lent == 0 || out.Done+out.Reclaimed != out.Lent || in.Accepted != out.Lent {
			t.Fatalf("home %+v, host %+v of %d jobs", out, in, len(ids))
		}
		// Each is lent and ended or reclaimed at home; accepted, ended and forgotten at the host.
		home.checkEqual("changes at home", out.Written, 2*out.Lent)
		if in.Written > 3*out.Lent {
			t.Errorf("got %d changes at the host for %d loans, want at most %d", in.Written, out.Lent, 3*out.Lent)
		}
	})
}

// lendingLeader is the leader of a full cell with a neighbour that has free capacity.
func lendingLeader(b *testing.B, machines, jobs int) *leaderTerm {
	b.Helper()
	lt, _ := newBusyTerm(b, machines, 40)
	c := lt.c
	c.Cells = &cells.Settings{Cell: "cell-a", MaxLoans: 100, Neighbours: []cells.Neighbour{{Cell: "cell-b"}}}
	c.Policy.Spill.After = time.Hour // it scans its jobs, and lends nothing
	lt.loans.init(lt)
	n := lt.loans.neighbours["cell-b"]
	n.lastResponse = time.Now().Add(time.Hour)
	n.advert = loan.Advert{
		Accepting: true,
		CPUs:      1e4,
		CancelS:   30,
		Types:     []api.MachineType{{Name: "small", CPUs: 16, MemoryGB: 64, Zones: []string{"a"}}},
	}
	now := time.Now()
	for i := range jobs {
		s := spec(fmt.Sprint("job-9", i), 10)
		s.Team = []string{"red", "blue"}[i%2]
		lt.addRecord(records.ActivePrefix+s.ID, records.ActiveRecord{Spec: *s, Accepted: now}, uint64(10_000+i))
	}
	for i := range 100 {
		s := spec(fmt.Sprint("job-8", i), 10)
		s.Team = "guest"
		guest := &loan.Guest{Home: "cell-b", Epoch: 1, Spec: *s, Budget: loan.Budget{CPUs: 10}}
		lt.addRecord(records.ActivePrefix+s.ID, records.ActiveRecord{Guest: guest, Accepted: now}, uint64(50_000+i))
	}
	return lt
}

// What the loans cost a leader in a second: what to lend and to reclaim, which guests to
// preempt, and one request of a neighbour.
func BenchmarkLoansSecond(b *testing.B) {
	for _, n := range []struct{ machines, jobs int }{
		{250, 100},
		{250, 1000},
		{1000, 1000},
		{4000, 1000},
		{4000, 5000},
	} {
		b.Run(fmt.Sprintf("%d machines, %d jobs", n.machines, n.jobs), func(b *testing.B) {
			lt := lendingLeader(b, n.machines, n.jobs)
			for b.Loop() {
				now := time.Now()
				lt.loans.reviewLending(now)
				lt.loans.reviewGuests(now)
				lt.loans.respond(&loan.Request{Home: "cell-b", Term: 1}, now)
			}
		})
	}
}

// The loans in the status name cells, phases and what they wait for.
func TestLoansInStatus(t *testing.T) {
	simulateCells(t, []int{1, 2}, func(g *cellGroup) {
		home, host := g.cells[0], g.cells[1]
		id := g.awaitLent(g.submitBurst(home, 100, 6, 20*time.Second))
		time.Sleep(2 * time.Second)
		g.setCut("cell-a", "cell-b", true)
		time.Sleep(3 * time.Second)
		home.leader().inspect(func(c *Controller) {
			s := c.leaderTerm.status(time.Now()).Cells
			n := s.Neighbours[0]
			home.checkEqual("neighbour", []any{n.Cell, n.LastError, n.Lent > 0}, []any{"cell-b", errCut.Error(), true})
			for _, l := range s.Lent {
				if l.Job == id {
					want := []any{"cell-b", "begun", "its cell does not answer: cut"}
					home.checkEqual("loan", []any{l.Cell, l.Phase, l.Waits}, want)
				}
			}
			home.checkEqual("cell of the job", c.leaderTerm.jobs[id].State().Cell, "cell-b")
		})
		host.leader().inspect(func(c *Controller) {
			s := c.leaderTerm.status(time.Now()).Cells
			got := []any{len(s.Guests) > 0, s.Neighbours[0].Guests > 0, s.Guests[0].Cell}
			host.checkEqual("guests", got, []any{true, true, "cell-a"})
		})
		g.setCut("cell-a", "cell-b", false)
		g.awaitAllEnded(4 * time.Minute)
	})
}

// Two cells offer to each other at the same moment: both jobs run, each once.
func TestTwoCellsOfferAtOnce(t *testing.T) {
	simulateCells(t, []int{2, 2}, func(g *cellGroup) {
		for i, c := range g.cells {
			ids := g.submitBurst(c, 100*(i+1), 2, 5*time.Second)
			for range 100 {
				if c.lendPending(ids, g.cells[1-i].name) {
					break
				}
				time.Sleep(5 * time.Millisecond)
			}
		}
		g.awaitAllEnded(4 * time.Minute)
		for id, j := range g.jobs {
			if j.endPhase != api.JobDone {
				t.Errorf("%s: got end %q, want %q", id, j.endPhase, api.JobDone)
			}
		}
		if got := g.countLent(); got < 2 {
			t.Errorf("got %d jobs that ran in the other cell, want at least 2", got)
		}
	})
}

// lendPending has the leader lend to a neighbour those of some jobs that have not started and
// were never lent, and reports whether there were any.
func (c *cell) lendPending(ids []string, to string) (lent bool) {
	c.leader().inspect(func(ctl *Controller) {
		l := &ctl.leaderTerm.loans
		for _, id := range ids {
			j := ctl.leaderTerm.jobs[id]
			if j != nil && !j.Started() && j.LoanCount == 0 && !j.HandoverPending {
				l.lendJob(j, l.neighbours[to], loan.Budget{CPUs: j.Spec.CPUs})
				lent = true
			}
		}
	})
	return lent
}

// Over a slow link work is lent all the same, and none of it is lost.
func TestSlowLink(t *testing.T) {
	simulateCells(t, []int{1, 3}, func(g *cellGroup) {
		g.mu.Lock()
		g.requestDelay = 1200 * time.Millisecond
		g.mu.Unlock()
		g.submitBurst(g.cells[0], 100, 8, 15*time.Second)
		g.awaitAllEnded(5 * time.Minute)
		if g.countLent() == 0 {
			t.Error("nothing was lent")
		}
	})
}

// A budget is whole tasks, within what the neighbour can spare and what the team's limits
// leave, of CPUs and of GPUs; a guest never uses more than it.
func TestBudgetsInWholeTasks(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		w.teams[0].LimitGPUs = 3
		n := w.start("n0")
		n.inspect(func(c *Controller) {
			l := &c.leaderTerm.loans
			for _, g := range []struct {
				tasks      int
				cpus, gpus float64
				used       float64
				spare      float64
				want       loan.Budget
			}{
				{10, 3, 0, 0, 100, loan.Budget{CPUs: 15}},         // the limit is 16
				{10, 3, 0, 8, 100, loan.Budget{CPUs: 6}},          // of which 8 are in use
				{10, 3, 0, 0, 7, loan.Budget{CPUs: 6}},            // the neighbour spares 7
				{2, 3, 0, 0, 100, loan.Budget{CPUs: 6}},           // it has two tasks
				{10, 1, 1, 0, 100, loan.Budget{CPUs: 3, GPUs: 3}}, // three GPUs are allowed
				{10, 3, 0, 14, 100, loan.Budget{}},
			} {
				s := spec("job-1", g.tasks)
				s.CPUs, s.GPUs = g.cpus, g.gpus
				team := c.leaderTerm.teams["red"]
				team.UsedCPUs = g.used
				j := newJob(*s, team)
				got := l.budget(j, g.spare)
				w.checkEqual(fmt.Sprint(g), got, g.want)
				j.Guest = &loan.Guest{Budget: got}
				started := 0
				for j.WithinBudget() && started < 100 {
					started++
					j.AttemptsByZone["a"]++
				}
				w.checkEqual("CPUs started of "+fmt.Sprint(g), float64(started)*g.cpus, got.CPUs)
			}
			c.leaderTerm.teams["red"].UsedCPUs = 0
		})
	})
}
