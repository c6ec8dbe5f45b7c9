package controller

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
	"golang.org/x/time/rate"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/loan"
	"example.org/ivytrestle/internal/queue"
	"example.org/ivytrestle/internal/records"
)

// CellLink is the way to other cells.
type CellLink interface {
	// Loans tells a cell's leader of the loans to that cell.
	Loans(ctx context.Context, cell string, req *loan.Request) (*loan.Response, error)
}

// loans are the jobs that the leader's cell has lent to others, and those that it runs
// for others. docs/spillover.md explains how a job moves.
type loans struct {
	leaderTerm *leaderTerm
	// count numbers this leader's loans.
	count uint32
	// neighbours are the cells that jobs may be lent to.
	neighbours map[string]*neighbour
	// minEpochs and ends are this cell's records about the guests of each home cell.
	minEpochs map[string]minEpoch
	ends      *iradix.Tree[loanEnd]
	// guestTeams are the queues of guests, one for each home cell, and guestFairShareOrder the
	// same in the order in which they are served.
	guestTeams          map[string]*queue.Team[*job]
	guestFairShareOrder []*queue.Team[*job]

	counts       LoanCounts
	openCapacity openCapacity
	queue        []*loanChange
	busy         bool
	limiter      *rate.Limiter
	// changing are the jobs, by home cell and name, with a change that is queued or on
	// its way.
	changing map[string]bool
	// reclaiming are names that this cell's records were found to know.
	reclaiming map[string]bool
	// loggedOnce holds what was said of refused requests, each once.
	loggedOnce map[string]bool
	// shortageSince is since when a team's guarantee lacks room that guests use.
	shortageSince time.Time
	nextScan      time.Time
}

// minEpoch is the floor of a home cell's loans with the version of its record.
type minEpoch struct {
	epoch       loan.Epoch
	modRevision uint64
}

// loanEnd is how a guest ended, with the version of its record.
type loanEnd struct {
	loan.End
	home, job   string
	modRevision uint64
}

// loanWriteShare is the part of the write rate that changes of loans may take.
const loanWriteShare = 0.1

func (l *loans) init(lt *leaderTerm) {
	*l = loans{leaderTerm: lt, neighbours: map[string]*neighbour{}, minEpochs: map[string]minEpoch{}, ends: iradix.New[loanEnd](),
		guestTeams: map[string]*queue.Team[*job]{}, changing: map[string]bool{}, reclaiming: map[string]bool{}, loggedOnce: map[string]bool{},
		limiter: rate.NewLimiter(rate.Limit(lt.c.Settings.Site.State.WriteRPS*loanWriteShare), maxLoanOps)}
	if lt.c.Cells == nil {
		return
	}
	for _, n := range lt.c.Cells.Neighbours {
		l.neighbours[n.Cell] = &neighbour{cell: n.Cell, unreachable: n.Unreachable, forget: map[string]loan.Epoch{}}
	}
}

// maxLoanNames bounds what is remembered of refused loans.
const maxLoanNames = 4096

// maxLoanOps is what the largest change of a loan takes.
const maxLoanOps = 3

// enabled tells whether new loans may be made and accepted: only once every node of the
// cell has told that it knows of them.
func (l *loans) enabled() bool {
	if l.leaderTerm.c.Cells == nil {
		return false
	}
	for _, mb := range l.leaderTerm.c.membership.members {
		if !mb.SupportsLoans {
			return false
		}
	}
	return true
}

// tick is called once a tick of the leader.
func (l *loans) tick(now time.Time) {
	l.writeNext(now)
	if l.leaderTerm.c.Cells == nil {
		return
	}
	l.exchangeWithNeighbours(now)
	if now.Before(l.nextScan) {
		return
	}
	l.nextScan = now.Add(time.Second)
	l.scanHome(now)
	l.scanHost(now)
}

// loanChange is a change of a loan's records.
type loanChange struct {
	home, job string
	// build makes the transaction, when its turn has come, from what is known then; it
	// returns false if the change has become needless.
	build func() (kv.Txn, bool)
	// done takes in that it was carried out, at a revision.
	done func(revision uint64)
}

func loanName(home, job string) string { return home + "/" + job }

// enqueueChange queues a change. It returns false if there is one of that job already, whose
// outcome decides what comes next.
func (l *loans) enqueueChange(c *loanChange) bool {
	name := loanName(c.home, c.job)
	if l.changing[name] {
		return false
	}
	l.changing[name] = true
	l.queue = append(l.queue, c)
	return true
}

// writeNext starts the next change if the write rate allows.
func (l *loans) writeNext(now time.Time) {
	for !l.busy && len(l.queue) > 0 {
		c := l.queue[0]
		txn, needed := c.build()
		if !needed {
			l.queue = l.queue[1:]
			delete(l.changing, loanName(c.home, c.job))
			continue
		}
		if !l.limiter.AllowN(now, len(txn.Ops)) {
			return
		}
		l.queue = l.queue[1:]
		l.busy = true
		txn.Records = true
		go l.writeUntilKnown(c, txn)
	}
}

// loanRetryInterval is how long after a failure a transaction is sent again.
const loanRetryInterval = 300 * time.Millisecond

// writeUntilKnown sends a transaction until its outcome is known. One that may yet be carried out
// is never left alone: what is decided next would rest on its not being so.
func (l *loans) writeUntilKnown(c *loanChange, txn kv.Txn) {
	lt := l.leaderTerm
	for lt.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(lt.ctx, 2*time.Second)
		res, err := lt.c.Store.Txn(ctx, txn)
		cancel()
		if err == nil {
			lt.sendToOwner(loanWrittenMsg{lt, c, res})
			return
		}
		lt.c.Log.Debug("loan not written", "job", c.job, "home", c.home, "err", err)
		if errors.Is(err, kv.ErrInvalid) {
			lt.sendToOwner(loanWrittenMsg{lt, c, kv.Result{}})
			return
		}
		sleep(lt.ctx, loanRetryInterval)
	}
}

type loanWrittenMsg struct {
	leaderTerm *leaderTerm
	change     *loanChange
	result     kv.Result
}

func (m loanWrittenMsg) apply(c *Controller) {
	lt := m.leaderTerm
	if c.leaderTerm != lt {
		return
	}
	l := &lt.loans
	switch {
	case m.result.Succeeded:
		l.endChange(m.change)
		l.counts.Written++
		m.change.done(m.result.Revision)
	case lt.checkTermConflict(m.result):
		return
	default:
		// By an earlier try whose answer was lost, or since something else has
		// changed: the records tell.
		go l.readRecords(m.change)
		return
	}
	l.writeNext(time.Now())
}

// endChange lets the next change have its turn.
func (l *loans) endChange(c *loanChange) {
	l.busy = false
	delete(l.changing, loanName(c.home, c.job))
}

// readRecords reads all records that a change is about.
func (l *loans) readRecords(c *loanChange) {
	lt := l.leaderTerm
	keys := []string{records.ActivePrefix + c.job, loan.EndKey(c.home, c.job), loan.MinEpochKey(c.home)}
	for lt.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(lt.ctx, 4*time.Second)
		entries, err := getAll(ctx, lt.c.Store, keys)
		recordStore := records.Records{Store: lt.c.Store}
		var final api.JobState
		var isFinal bool
		if err == nil {
			final, isFinal, err = recordStore.TerminalState(ctx, c.job)
		}
		cancel()
		if err == nil {
			lt.sendToOwner(loanReadMsg{lt, c, entries[0], entries[1], entries[2], final, isFinal})
			return
		}
		sleep(lt.ctx, loanRetryInterval)
	}
}

func getAll(ctx context.Context, st kv.Service, keys []string) (entries []kv.Entry, err error) {
	for _, key := range keys {
		e, err := st.Get(ctx, key)
		if err != nil {
			return nil, err
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// loanReadMsg brings the records that a change is about.
type loanReadMsg struct {
	leaderTerm            *leaderTerm
	change                *loanChange
	active, end, minEpoch kv.Entry
	terminal              api.JobState
	hasEnded              bool
}

func (m loanReadMsg) apply(c *Controller) {
	lt := m.leaderTerm
	if c.leaderTerm != lt {
		return
	}
	l := &lt.loans
	l.endChange(m.change)
	l.addRecord(m.minEpoch)
	if m.end.ModRevision == 0 {
		l.ends, _, _ = l.ends.Delete([]byte(loanName(m.change.home, m.change.job)))
	} else {
		l.addRecord(m.end)
	}
	if m.hasEnded && len(l.reclaiming) < maxLoanNames {
		l.reclaiming[m.change.job] = true
	}
	j := lt.jobs[m.change.job]
	if j != nil {
		j.handover = false
	}
	switch {
	case m.active.ModRevision != 0:
		lt.addJob(m.active.Key, m.active.Value, m.active.ModRevision)
	case j == nil:
	case j.guest != nil:
		l.removeGuest(j, m.end)
	case m.hasEnded && m.terminal.Phase == api.JobDone:
		lt.jobFinished(j)
	case m.hasEnded:
		lt.cancelJob(j)
	}
	l.writeNext(time.Now())
}

// addRecord takes in one of the cell's records about guests.
func (l *loans) addRecord(e kv.Entry) {
	if e.ModRevision == 0 {
		return
	}
	var err error
	if home, ok := strings.CutPrefix(e.Key, loan.MinEpochKey("")); ok {
		var rec loan.MinEpochRecord
		if err = json.Unmarshal(e.Value, &rec); err == nil && e.ModRevision >= l.minEpochs[home].modRevision {
			l.minEpochs[home] = minEpoch{rec.Epoch, e.ModRevision}
		}
	} else if home, job, ok := strings.Cut(strings.TrimPrefix(e.Key, loan.Prefix+"end/"), "/"); ok {
		end := loanEnd{home: home, job: job, modRevision: e.ModRevision}
		if err = json.Unmarshal(e.Value, &end.End); err == nil {
			l.ends, _, _ = l.ends.Insert([]byte(loanName(home, job)), end)
		}
	}
	if err != nil {
		l.leaderTerm.c.Log.Error("loan record", "key", e.Key, "err", err)
	}
}

// applyLoan takes in what a job's record says of loans. It is called for each newer
// version of the record, whoever wrote it.
func (lt *leaderTerm) applyLoan(j *job, rec records.ActiveRecord, modRevision uint64) {
	if modRevision <= j.modRevision {
		return
	}
	j.modRevision, j.loanCount = modRevision, rec.LoanCount
	switch {
	case rec.Lent != nil:
		lt.loans.jobLent(j, rec.Lent)
	case j.lent != nil:
		lt.loans.jobReclaimed(j)
	}
}
