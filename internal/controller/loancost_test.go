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

// A loan takes one more write at home than a job that runs there, and five writes at the host, in
// at most three transactions.
func TestWritesOfLoan(t *testing.T) {
	simulateCells(t, []int{1, 4}, func(g *cellGroup) {
		home, host := g.cells[0], g.cells[1]
		ids := g.submitBurst(home, 100, 9, 5*time.Second)
		g.awaitAllEnded(4 * time.Minute)
		status := func(c *cell) (s CellsStatus) {
			c.leader().inspect(func(o *Controller) { s = *o.leaderTerm.loans.status(time.Now()) })
			return s
		}
		atHome, atHost := status(home).Counts, status(host).Counts
		if atHome.Lent == 0 || atHome.Done+atHome.Reclaimed != atHome.Lent || atHost.Accepted != atHome.Lent {
			t.Fatalf("got counts %+v at home, %+v at the host for %d jobs, want some lent, all accepted and ended",
				atHome, atHost, len(ids))
		}
		// Changes at home: lent, then ended or reclaimed. At the host: accepted, ended, and the
		// record of the end deleted.
		home.checkEqual("changes at home", atHome.RecordsChanged, 2*atHome.Lent)
		if atHost.RecordsChanged > 3*atHome.Lent {
			t.Errorf("got %d changes at the host for %d loans, want at most %d",
				atHost.RecordsChanged, atHome.Lent, 3*atHome.Lent)
		}
	})
}

// newLendingTerm returns the leader term of a cell without free capacity that has a neighbour with
// spare capacity and 100 guests of that neighbour.
func newLendingTerm(b *testing.B, machines, jobs int) *leaderTerm {
	b.Helper()
	lt, _ := newBusyTerm(b, machines, 40)
	c := lt.c
	c.Cells = &cells.Settings{Cell: "cell-a", MaxLoans: 100, Neighbours: []cells.Neighbour{{Cell: "cell-b"}}}
	c.Policy.Spill.MinWait = time.Hour // the jobs are scanned, but none is lent
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
		lt.addActiveJob(records.ActivePrefix+s.ID, records.ActiveRecord{Spec: *s, Accepted: now}, uint64(10_000+i))
	}
	for i := range 100 {
		s := spec(fmt.Sprint("job-8", i), 10)
		s.Team = "guest"
		guest := &loan.Guest{Home: "cell-b", Epoch: 1, Spec: *s, Budget: loan.Budget{CPUs: 10}}
		lt.addActiveJob(records.ActivePrefix+s.ID, records.ActiveRecord{Guest: guest, Accepted: now}, uint64(50_000+i))
	}
	return lt
}

// BenchmarkLoansSecond measures a leader's work for loans in one second: the decisions on what to
// lend, to reclaim and to preempt, and one request of a neighbour.
func BenchmarkLoansSecond(b *testing.B) {
	for _, n := range []struct{ machines, jobs int }{
		{250, 100},
		{250, 1000},
		{1000, 1000},
		{4000, 1000},
		{4000, 5000},
	} {
		b.Run(fmt.Sprintf("%d machines, %d jobs", n.machines, n.jobs), func(b *testing.B) {
			lt := newLendingTerm(b, n.machines, n.jobs)
			for b.Loop() {
				now := time.Now()
				lt.loans.reviewLending(now)
				lt.loans.reviewGuests(now)
				lt.loans.respond(&loan.Request{Home: "cell-b", Term: 1}, now)
			}
		})
	}
}

// The status lists the cell, phase and pending reason of each loan, also while the home cell
// cannot reach the host.
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
					home.checkEqual("loan", []any{l.Cell, l.Phase, l.PendingReason}, want)
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

// If two cells lend jobs to each other at the same time, every job runs once and is done.
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
				t.Errorf("%s: got final phase %q, want %q", id, j.endPhase, api.JobDone)
			}
		}
		if got := g.countLent(); got < 2 {
			t.Errorf("%d jobs ran in the other cell, want at least 2", got)
		}
	})
}

// lendPending makes the leader lend to a neighbour those of the given jobs that have not started
// and have not been lent before, and reports whether there were any.
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

// Jobs are lent over a link with a delay of 1.2 s, and none of them is lost.
func TestSlowLink(t *testing.T) {
	simulateCells(t, []int{1, 3}, func(g *cellGroup) {
		g.mu.Lock()
		g.requestDelay = 1200 * time.Millisecond
		g.mu.Unlock()
		g.submitBurst(g.cells[0], 100, 8, 15*time.Second)
		g.awaitAllEnded(5 * time.Minute)
		if g.countLent() == 0 {
			t.Error("no job was lent")
		}
	})
}

// A budget is a whole number of tasks, within the neighbour's spare CPUs and the rest of the
// team's limits on CPUs and GPUs. A guest does not start more tasks than its budget allows.
func TestBudgetsInWholeTasks(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		w.teams[0].LimitGPUs = 3
		n := w.start("n0")
		n.inspect(func(c *Controller) {
			l := &c.leaderTerm.loans
			for _, tt := range []struct {
				tasks      int
				cpus, gpus float64
				used       float64
				spare      float64
				want       loan.Budget
			}{
				{10, 3, 0, 0, 100, loan.Budget{CPUs: 15}},         // the team's limit is 16 CPUs
				{10, 3, 0, 8, 100, loan.Budget{CPUs: 6}},          // 8 of the 16 CPUs are in use
				{10, 3, 0, 0, 7, loan.Budget{CPUs: 6}},            // the neighbour has 7 spare CPUs
				{2, 3, 0, 0, 100, loan.Budget{CPUs: 6}},           // the job has two tasks
				{10, 1, 1, 0, 100, loan.Budget{CPUs: 3, GPUs: 3}}, // the team's limit is 3 GPUs
				{10, 3, 0, 14, 100, loan.Budget{}},                // 2 CPUs are left, a task needs 3
			} {
				s := spec("job-1", tt.tasks)
				s.CPUs, s.GPUs = tt.cpus, tt.gpus
				team := c.leaderTerm.teams["red"]
				team.UsedCPUs = tt.used
				j := newJob(*s, team)
				got := l.computeBudget(j, tt.spare)
				w.checkEqual(fmt.Sprint(tt), got, tt.want)
				j.Guest = &loan.Guest{Budget: got}
				started := 0
				for j.WithinBudget() && started < 100 {
					started++
					j.AttemptsByZone["a"]++
				}
				w.checkEqual("CPUs of started tasks, "+fmt.Sprint(tt), float64(started)*tt.cpus, got.CPUs)
			}
			c.leaderTerm.teams["red"].UsedCPUs = 0
		})
	})
}
