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
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/loan"
	"example.org/ivytrestle/internal/queue"
	"example.org/ivytrestle/internal/records"
)

// CellLink is the connection to other cells.
type CellLink interface {
	// Loans sends a cell's leader the desired state of the loans to that cell.
	Loans(ctx context.Context, cell string, req *loan.Request) (*loan.Response, error)
}

// loans are the jobs that the leader's cell has lent to other cells, and those that it
// runs for them. docs/spillover.md explains how a job moves.
type loans struct {
	leaderTerm *leaderTerm
	// count numbers the loans of this term.
	count uint32
	// neighbours are the cells that jobs may be lent to.
	neighbours map[string]*neighbour
	// minEpochs and ends are this cell's records about the guests of each home cell.
	minEpochs map[string]minEpoch
	ends      *iradix.Tree[loanEnd]
	// guestTeams are the queues of guests, one for each home cell, and guestFairShareOrder
	// are the same, in the order in which they are served.
	guestTeams          map[string]*queue.Team[*cluster.Job]
	guestFairShareOrder []*queue.Team[*cluster.Job]

	counts         LoanCounts
	cachedCapacity schedulableCapacity
	changeQueue    []*loanChange
	writeInFlight  bool
	limiter        *rate.Limiter
	// pendingChanges are the jobs, by home cell and name, with a change that is queued or being
	// written.
	pendingChanges map[string]bool
	// endedIDs are the ids of jobs of which this cell was found to have a terminal record:
	// no guest may take one of them.
	endedIDs map[string]bool
	// loggedOnce are the messages about refused requests, each of which is logged once.
	loggedOnce map[string]bool
	// shortageSince is since when a team's guarantee lacks capacity that guests use.
	shortageSince time.Time
	nextScan      time.Time
}

// minEpoch is the minimum epoch of a home cell's loans with the mod revision of its record.
type minEpoch struct {
	epoch       loan.Epoch
	modRevision uint64
}

// loanEnd is how a guest ended, with the mod revision of its record.
type loanEnd struct {
	loan.End
	home, job   string
	modRevision uint64
}

const (
	// loanWriteShare is the share of the write rate that changes of loans may take.
	loanWriteShare   = 0.1
	loanScanInterval = time.Second
	loanWriteTimeout = 2 * time.Second
	loanReadTimeout  = 4 * time.Second
	// loanRetryInterval is how long after a failure a transaction is sent again.
	loanRetryInterval = 300 * time.Millisecond
	// maxRememberedRefusals bounds what is kept of refused loans.
	maxRememberedRefusals = 4096
	// maxLoanOps is the largest number of operations of a loan's change.
	maxLoanOps = 3
)

func (l *loans) init(lt *leaderTerm) {
	*l = loans{
		leaderTerm:     lt,
		neighbours:     map[string]*neighbour{},
		minEpochs:      map[string]minEpoch{},
		ends:           iradix.New[loanEnd](),
		guestTeams:     map[string]*queue.Team[*cluster.Job]{},
		pendingChanges: map[string]bool{},
		endedIDs:       map[string]bool{},
		loggedOnce:     map[string]bool{},
		limiter:        rate.NewLimiter(rate.Limit(lt.c.Settings.Site.State.WriteRPS*loanWriteShare), maxLoanOps),
	}
	if lt.c.Cells == nil {
		return
	}
	for _, n := range lt.c.Cells.Neighbours {
		l.neighbours[n.Cell] = &neighbour{
			cell:        n.Cell,
			unreachable: n.Unreachable,
			toForget:    map[string]loan.Epoch{},
		}
	}
}

// enabled reports whether new loans may be made and accepted: only once every node of the
// cell has announced that it supports them.
func (l *loans) enabled() bool {
	if l.leaderTerm.c.Cells == nil {
		return false
	}
	for _, mb := range l.leaderTerm.c.membership.Members {
		if !mb.SupportsLoans {
			return false
		}
	}
	return true
}

// tick writes queued changes, exchanges states with the neighbours and, once per
// loanScanInterval, decides which loans to make, reclaim and end.
func (l *loans) tick(now time.Time) {
	l.writeNext(now)
	if l.leaderTerm.c.Cells == nil {
		return
	}
	l.exchangeWithNeighbours(now)
	if now.Before(l.nextScan) {
		return
	}
	l.nextScan = now.Add(loanScanInterval)
	l.reviewLending(now)
	l.reviewGuests(now)
}

// loanChange is a change of a loan's records.
type loanChange struct {
	home, job string
	// build builds the transaction when the change is due, from the state at that time; it
	// returns false if the change is no longer needed.
	build func() (kv.Txn, bool)
	// done updates the state after the transaction was applied at a revision.
	done func(revision uint64)
}

// loanName identifies a job of a home cell.
func loanName(home, job string) string { return home + "/" + job }

// enqueueChange queues a change. It returns false if there is one of that job already, whose
// outcome decides about the next.
func (l *loans) enqueueChange(change *loanChange) bool {
	name := loanName(change.home, change.job)
	if l.pendingChanges[name] {
		return false
	}
	l.pendingChanges[name] = true
	l.changeQueue = append(l.changeQueue, change)
	return true
}

// writeNext starts the next change if the write rate allows.
func (l *loans) writeNext(now time.Time) {
	for !l.writeInFlight && len(l.changeQueue) > 0 {
		change := l.changeQueue[0]
		txn, needed := change.build()
		if !needed {
			l.changeQueue = l.changeQueue[1:]
			delete(l.pendingChanges, loanName(change.home, change.job))
			continue
		}
		if !l.limiter.AllowN(now, len(txn.Ops)) {
			return
		}
		l.changeQueue = l.changeQueue[1:]
		l.writeInFlight = true
		txn.Records = true
		go l.writeUntilOutcomeKnown(change, txn)
	}
}

// writeUntilOutcomeKnown sends a transaction until its outcome is known. One that may yet be
// applied is never abandoned: the next decision would rest on its not being applied.
func (l *loans) writeUntilOutcomeKnown(change *loanChange, txn kv.Txn) {
	lt := l.leaderTerm
	for lt.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(lt.ctx, loanWriteTimeout)
		res, err := lt.c.Store.Txn(ctx, txn)
		cancel()
		if err == nil {
			lt.sendToOwner(loanWrittenMsg{leaderTerm: lt, change: change, result: res})
			return
		}
		lt.c.Log.Debug("loan not written", "job", change.job, "home", change.home, "err", err)
		if errors.Is(err, kv.ErrInvalid) {
			lt.sendToOwner(loanWrittenMsg{leaderTerm: lt, change: change})
			return
		}
		sleep(lt.ctx, loanRetryInterval)
	}
}

// loanWrittenMsg is the result of a change's transaction.
type loanWrittenMsg struct {
	leaderTerm *leaderTerm
	change     *loanChange
	result     kv.Result
}

func (m loanWrittenMsg) apply(c *Controller) {
	lt := m.leaderTerm
	if lt.hasEnded() {
		return
	}
	l := &lt.loans
	switch {
	case m.result.Succeeded:
		l.completeChange(m.change)
		l.counts.RecordsChanged++
		m.change.done(m.result.Revision)
	case lt.checkTermConflict(m.result):
		return
	default:
		// A compare failed, since an earlier try was applied whose response was lost or
		// since another change was: the records show which.
		go l.readRecords(m.change)
		return
	}
	l.writeNext(time.Now())
}

// completeChange removes a change, so that the next can be written.
func (l *loans) completeChange(change *loanChange) {
	l.writeInFlight = false
	delete(l.pendingChanges, loanName(change.home, change.job))
}

// readRecords reads all records that a change is about.
func (l *loans) readRecords(change *loanChange) {
	lt := l.leaderTerm
	keys := []string{
		records.ActivePrefix + change.job,
		loan.EndKey(change.home, change.job),
		loan.MinEpochKey(change.home),
	}
	for lt.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(lt.ctx, loanReadTimeout)
		entries, err := getEntries(ctx, lt.c.Store, keys)
		recordStore := records.Records{Store: lt.c.Store}
		var terminal api.JobState
		var hasEnded bool
		if err == nil {
			terminal, hasEnded, err = recordStore.TerminalState(ctx, change.job)
		}
		cancel()
		if err == nil {
			lt.sendToOwner(loanReadMsg{
				leaderTerm: lt,
				change:     change,
				active:     entries[0],
				end:        entries[1],
				minEpoch:   entries[2],
				terminal:   terminal,
				hasEnded:   hasEnded,
			})
			return
		}
		sleep(lt.ctx, loanRetryInterval)
	}
}

// getEntries reads keys one after the other.
func getEntries(ctx context.Context, store kv.Service, keys []string) ([]kv.Entry, error) {
	entries := make([]kv.Entry, 0, len(keys))
	for _, key := range keys {
		e, err := store.Get(ctx, key)
		if err != nil {
			return nil, err
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// loanReadMsg carries the records that a change is about.
type loanReadMsg struct {
	leaderTerm            *leaderTerm
	change                *loanChange
	active, end, minEpoch kv.Entry
	terminal              api.JobState
	hasEnded              bool
}

func (m loanReadMsg) apply(c *Controller) {
	lt := m.leaderTerm
	if lt.hasEnded() {
		return
	}
	l := &lt.loans
	l.completeChange(m.change)
	l.addRecord(m.minEpoch)
	if m.end.ModRevision == 0 {
		l.ends, _, _ = l.ends.Delete([]byte(loanName(m.change.home, m.change.job)))
	} else {
		l.addRecord(m.end)
	}
	if m.hasEnded && len(l.endedIDs) < maxRememberedRefusals {
		l.endedIDs[m.change.job] = true
	}
	j := lt.jobs[m.change.job]
	if j != nil {
		j.Handover = false
	}
	switch {
	case m.active.ModRevision != 0:
		lt.addJob(m.active.Key, m.active.Value, m.active.ModRevision)
	case j == nil:
	case j.Guest != nil:
		l.removeGuest(j, m.end)
	case m.hasEnded && m.terminal.Phase == api.JobDone:
		lt.jobFinished(j)
	case m.hasEnded:
		lt.cancelJob(j)
	}
	l.writeNext(time.Now())
}

// addRecord adds one of the cell's records about guests to the state.
func (l *loans) addRecord(e kv.Entry) {
	if e.ModRevision == 0 {
		return
	}
	var err error
	if home, ok := strings.CutPrefix(e.Key, loan.MinEpochKey("")); ok {
		var rec loan.MinEpochRecord
		if err = json.Unmarshal(e.Value, &rec); err == nil && e.ModRevision >= l.minEpochs[home].modRevision {
			l.minEpochs[home] = minEpoch{epoch: rec.Epoch, modRevision: e.ModRevision}
		}
	} else if home, job, ok := strings.Cut(strings.TrimPrefix(e.Key, loan.Prefix+"end/"), "/"); ok {
		end := loanEnd{home: home, job: job, modRevision: e.ModRevision}
		if err = json.Unmarshal(e.Value, &end.End); err == nil {
			l.ends, _, _ = l.ends.Insert([]byte(loanName(home, job)), end)
		}
	}
	if err != nil {
		l.leaderTerm.c.Log.Error("loan record malformed", "key", e.Key, "err", err)
	}
}

// applyLoan applies the loan of a job's active record. It is called for each newer version
// of the record, whoever wrote it.
func (lt *leaderTerm) applyLoan(j *cluster.Job, rec records.ActiveRecord, modRevision uint64) {
	if modRevision <= j.ModRevision {
		return
	}
	j.ModRevision, j.LoanCount = modRevision, rec.LoanCount
	switch {
	case rec.Lent != nil:
		lt.loans.applyLent(j, rec.Lent)
	case j.Lent != nil:
		lt.loans.jobReclaimed(j)
	}
}
