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

// CellLink sends requests to other cells.
type CellLink interface {
	// Loans sends the desired states of the loans to a cell to the leader of that cell, and
	// returns its response.
	Loans(ctx context.Context, cell string, req *loan.Request) (*loan.Response, error)
}

// loans is the leader's state of the jobs that its cell has lent to other cells and of the
// guests that it runs for them. docs/spillover.md explains the protocol.
type loans struct {
	leaderTerm *leaderTerm
	// count is the number of loans made in this term, from which epochs are derived.
	count uint32
	// neighbours are the cells that jobs may be lent to, by name.
	neighbours map[string]*neighbour
	// minEpochs are the minimum epochs on record in this cell, by home cell.
	minEpochs map[string]minEpoch
	// ends are the records of ended guests, by loanName.
	ends *iradix.Tree[loanEnd]
	// guestTeams are the queues of guests, by home cell.
	guestTeams map[string]*queue.Team[*cluster.Job]
	// guestFairShareOrder holds the same queues in the order in which they are served.
	guestFairShareOrder []*queue.Team[*cluster.Job]

	counts         LoanCounts
	cachedCapacity schedulableCapacity
	changeQueue    []*loanChange
	writeInFlight  bool
	limiter        *rate.Limiter
	// pendingChanges has the loanName of each job with a change that is queued or being
	// written.
	pendingChanges map[string]bool
	// endedIDs are the ids of jobs for which this cell was found to have a terminal record.
	// Guests with these ids are not accepted.
	endedIDs map[string]bool
	// loggedOnce are the warnings about rejected requests and loans that have been logged.
	loggedOnce map[string]bool
	// shortageSince is when the guarantees of the cell's teams began to lack capacity, or
	// zero while they do not.
	shortageSince time.Time
	nextScan      time.Time
}

// minEpoch is the minimum epoch of a home cell's loans and the mod revision of its record.
type minEpoch struct {
	epoch       loan.Epoch
	modRevision uint64
}

// loanEnd is the record of a guest's end and the mod revision of that record.
type loanEnd struct {
	loan.End
	home, job   string
	modRevision uint64
}

const (
	// loanWriteShare is the share of the store's write rate that changes of loans may use.
	loanWriteShare = 0.1
	// loanScanInterval is the interval between decisions on which loans to make, reclaim
	// and end.
	loanScanInterval = time.Second
	loanWriteTimeout = 2 * time.Second
	loanReadTimeout  = 4 * time.Second
	// loanRetryInterval is the delay before a failed read or transaction is retried.
	loanRetryInterval = 300 * time.Millisecond
	// maxRememberedRefusals bounds loans.endedIDs and loans.loggedOnce.
	maxRememberedRefusals = 4096
	// maxLoanOps is the largest number of operations in the transaction of a loanChange.
	maxLoanOps = 3
)

// init resets the state for a new term.
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

// enabled reports whether new loans may be made and accepted, which requires that every node
// of the cell has announced support for loans.
func (l *loans) enabled() bool {
	if l.leaderTerm.c.Cells == nil {
		return false
	}
	for _, member := range l.leaderTerm.c.membership.Members {
		if !member.SupportsLoans {
			return false
		}
	}
	return true
}

// tick starts the next queued change, exchanges states with the neighbours and, once per
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

// loanChange is a queued change of the records of a loan.
type loanChange struct {
	home, job string
	// build returns the transaction, built from the state at the time when it is written. It
	// returns false if the change is no longer needed.
	build func() (kv.Txn, bool)
	// done updates the state after the transaction was applied at the given revision.
	done func(revision uint64)
}

// loanName returns the name that identifies a job of a home cell in maps.
func loanName(home, job string) string { return home + "/" + job }

// enqueueChange queues a change and reports whether it did. A change is dropped while another
// one of the same job is pending: whether it is still needed depends on that one's outcome.
func (l *loans) enqueueChange(change *loanChange) bool {
	name := loanName(change.home, change.job)
	if l.pendingChanges[name] {
		return false
	}
	l.pendingChanges[name] = true
	l.changeQueue = append(l.changeQueue, change)
	return true
}

// writeNext starts the next needed change if none is being written and the write rate allows.
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
		txn.SelfLimited = true
		go l.writeUntilOutcomeKnown(change, txn)
	}
}

// writeUntilOutcomeKnown retries a transaction until its outcome is known. A transaction that
// may still be applied is not abandoned, because later decisions would assume that it was not.
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
		lt.c.Log.Debug("loan record write failed", "job", change.job, "home", change.home, "err", err)
		if errors.Is(err, kv.ErrInvalid) {
			lt.sendToOwner(loanWrittenMsg{leaderTerm: lt, change: change})
			return
		}
		sleep(lt.ctx, loanRetryInterval)
	}
}

// loanWrittenMsg carries the result of the transaction of a change.
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
		// The store rejected the transaction as invalid, or a compare failed: either an
		// earlier attempt was applied and its response was lost, or the records were
		// changed otherwise. Reading them shows which.
		go l.readRecords(m.change)
		return
	}
	l.writeNext(time.Now())
}

// completeChange marks a change as no longer pending, so that the next can be written.
func (l *loans) completeChange(change *loanChange) {
	l.writeInFlight = false
	delete(l.pendingChanges, loanName(change.home, change.job))
}

// readRecords reads all records of the loan that a change is about, and retries until it
// succeeds.
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

// getEntries reads the entries of keys in their order.
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

// loanReadMsg carries the records of the loan that a change is about.
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
		j.HandoverPending = false
	}
	switch {
	case m.active.ModRevision != 0:
		lt.applyActiveRecord(m.active.Key, m.active.Value, m.active.ModRevision)
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

// addRecord updates the state from a record about guests: a minimum epoch or a guest's end.
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

// applyLoan updates a job from the Lent part of a newer version of its active record, whichever
// node wrote that version. Older versions are ignored.
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
