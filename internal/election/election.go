// Package election elects the leader among the controllers. The leader holds the key "leader"
// under a lease of the key-value store, and each new leader increments "term" in the same
// transaction. A late transaction of an earlier leader fails, since all of them compare the
// version of "term".
package election

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"example.org/ivytrestle/internal/kv"
)

// Keys of the election.
const (
	LeaderKey = "leader"
	TermKey   = "term"
)

// Term is a term in which this process leads.
type Term struct {
	Number uint64
	// ModRevision is the version of the term key, which the leader's transactions compare.
	ModRevision uint64
}

// LeaderRecord is the value of the leader key.
type LeaderRecord struct {
	Node        string `json:"node"`
	Incarnation string `json:"incarnation"`
}

// TermRecord is the value of the term key.
type TermRecord struct {
	Number uint64 `json:"number"`
}

// Observer receives the events of the election. All its methods are called by one goroutine.
type Observer interface {
	// LeaderChanged names the present leader as far as it is known; "" is none.
	LeaderChanged(node string)
	// ElectionWon begins a term in which this process leads until leaseExpiry.
	ElectionWon(term Term, leaseExpiry time.Time)
	// LeaseRenewed extends the lease of the term.
	LeaseRenewed(term Term, leaseExpiry time.Time)
	// LeadershipLost ends the term for good.
	LeadershipLost(term Term)
}

// Elector takes part in the election for one process.
type Elector struct {
	Node        string
	Incarnation string
	Store       kv.Service
	// LeaseDuration is the lifetime of the leader lease, and Renew the interval of its renewals.
	LeaseDuration time.Duration
	RenewInterval time.Duration
	Observer      Observer
	Log           *slog.Logger
	// StepDowns carries terms that something else has shown to be over. The elector
	// steps down if it leads in that term.
	StepDowns <-chan uint64
	// Resignations names leaders that no longer act, or no longer may, so that the
	// expiry of their lease need not be awaited.
	Resignations <-chan Resignation
}

// Resignation says that a node no longer acts as leader of a term.
type Resignation struct {
	Node string
	Term uint64
}

const (
	// callTimeout bounds one request to the store.
	callTimeout = 2 * time.Second
	// clockDriftDivisor gives the part of a lease that is kept back for clock drift. The
	// monotonic clocks drift apart by up to 0.05%; this is ten times that.
	clockDriftDivisor = 200
	// actionMargin is kept back for the time between the check of a lease and its effect.
	actionMargin = 250 * time.Millisecond
	// retryDelay is the wait after a failed round; up to maxRetryJitter is added.
	retryDelay     = 200 * time.Millisecond
	maxRetryJitter = 300 * time.Millisecond
)

// leaseValidity is how long after sending a renewal the lease can be relied on.
func leaseValidity(lease time.Duration) time.Duration {
	return lease - lease/clockDriftDivisor - actionMargin
}

// Run takes part in the election until the context ends.
func (e *Elector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := e.runRound(ctx); err != nil {
			e.Log.Debug("election round failed", "err", err)
			sleep(ctx, retryDelay+rand.N(maxRetryJitter))
		}
	}
}

// runRound reads the leader key once. It campaigns if the key is free or held by an earlier
// incarnation of this node, and otherwise waits for it to change.
func (e *Elector) runRound(ctx context.Context) error {
	cur, err := e.get(ctx, LeaderKey)
	if err != nil {
		return err
	}
	if cur.ModRevision == 0 {
		e.Observer.LeaderChanged("")
		return e.campaign(ctx, cur.ModRevision, anyTerm)
	}
	var record LeaderRecord
	if err := json.Unmarshal(cur.Value, &record); err != nil {
		return fmt.Errorf("decode leader key: %w", err)
	}
	if record.Node == e.Node {
		// The incarnation that wrote it has ended, or is this one and lost the response
		// to its transaction: a new term begins at once, before the lease expires.
		return e.campaign(ctx, cur.ModRevision, anyTerm)
	}
	e.Observer.LeaderChanged(record.Node)
	resigned, err := e.follow(ctx, record.Node, cur.ModRevision)
	if resigned != anyTerm {
		// It no longer acts in that term. If it has begun a new one since, the campaign
		// does nothing, for the resignation may have arrived late.
		return e.campaign(ctx, cur.ModRevision, resigned)
	}
	return err
}

// anyTerm stands for a term where it does not matter which one is followed.
const anyTerm = 0

const (
	// watchTimeout is how long one watch of the leader key waits for a change.
	watchTimeout = 20 * time.Second
	// watchResponseMargin is left for its response.
	watchResponseMargin = 10 * time.Second
)

// follow waits until the leader key changes, or the leader has resigned. It returns the term
// in which the leader has resigned, or anyTerm.
func (e *Elector) follow(ctx context.Context, leader string, from uint64) (resigned uint64, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for {
		result := e.awaitWatch(e.watchLeaderKey(ctx, from), leader)
		if result.resignedTerm != anyTerm {
			return result.resignedTerm, nil
		}
		if result.err != nil || len(result.changes.Events) > 0 {
			return anyTerm, result.err
		}
		from = max(from, result.changes.Revision)
	}
}

// watchResult is what ended the wait for a change of the leader key.
type watchResult struct {
	changes      kv.Changes
	err          error
	resignedTerm uint64
}

// watchLeaderKey sends the result of one watch when it has ended.
func (e *Elector) watchLeaderKey(ctx context.Context, from uint64) <-chan watchResult {
	done := make(chan watchResult, 1)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, watchTimeout+watchResponseMargin)
		defer cancel()
		changes, err := e.Store.Watch(ctx, LeaderKey, from, watchTimeout)
		done <- watchResult{changes: changes, err: err}
	}()
	return done
}

// awaitWatch waits for the result of a watch, or for the leader's resignation. Those of other
// nodes are dropped.
func (e *Elector) awaitWatch(watch <-chan watchResult, leader string) watchResult {
	for {
		select {
		case result := <-watch:
			return result
		case r := <-e.Resignations:
			if r.Node == leader && r.Term != anyTerm {
				return watchResult{resignedTerm: r.Term}
			}
		}
	}
}

// campaign begins a new term if the leader key still has the version leaderRevision, and the
// term on record is the followed one or followed is anyTerm.
func (e *Elector) campaign(ctx context.Context, leaderRevision, followed uint64) error {
	old, err := e.get(ctx, TermKey)
	if err != nil {
		return err
	}
	var termRecord TermRecord
	if old.ModRevision != 0 {
		if err := json.Unmarshal(old.Value, &termRecord); err != nil {
			return fmt.Errorf("decode term key: %w", err)
		}
	}
	if followed != anyTerm && termRecord.Number != followed {
		return nil
	}
	termRecord.Number++
	sentAt := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	lease, err := e.Store.GrantLease(callCtx, e.LeaseDuration)
	cancel()
	if err != nil {
		return fmt.Errorf("grant leader lease: %w", err)
	}
	callCtx, cancel = context.WithTimeout(ctx, callTimeout)
	res, err := e.Store.Txn(callCtx, kv.Txn{
		Compares: []kv.Compare{
			{Key: LeaderKey, ModRevision: leaderRevision},
			{Key: TermKey, ModRevision: old.ModRevision},
		},
		Ops: []kv.Op{
			{Put: LeaderKey, Value: LeaderRecord{Node: e.Node, Incarnation: e.Incarnation}, Lease: lease},
			{Put: TermKey, Value: termRecord},
		},
	})
	cancel()
	if err != nil {
		return fmt.Errorf("begin term %d: %w", termRecord.Number, err)
	}
	if !res.Succeeded {
		return nil
	}
	e.lead(ctx, Term{Number: termRecord.Number, ModRevision: res.Revision}, lease, sentAt.Add(leaseValidity(e.LeaseDuration)))
	return nil
}

// lead renews the lease until the term ends.
func (e *Elector) lead(ctx context.Context, term Term, lease uint64, leaseExpiry time.Time) {
	e.Log.Info("leadership won", "term", term.Number)
	e.Observer.LeaderChanged(e.Node)
	e.Observer.ElectionWon(term, leaseExpiry)
	defer e.Observer.LeadershipLost(term)
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-e.StepDowns:
			if n == term.Number {
				e.Log.Info("leadership lost", "term", term.Number, "reason", "term superseded")
				return
			}
			continue
		case <-time.After(e.RenewInterval):
		}
		sentAt := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := e.Store.RenewLease(callCtx, lease)
		cancel()
		switch {
		case err == nil:
			e.Observer.LeaseRenewed(term, sentAt.Add(leaseValidity(e.LeaseDuration)))
		case errors.Is(err, kv.ErrNoLease):
			e.Log.Info("leadership lost", "term", term.Number, "reason", "lease expired")
			return
		default:
			e.Log.Debug("lease not renewed", "term", term.Number, "err", err)
		}
	}
}

// get reads one key.
func (e *Elector) get(ctx context.Context, key string) (kv.Entry, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return e.Store.Get(callCtx, key)
}

// sleep waits for a time, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
