// Package election elects one of the controllers as the leader. The leader holds the key "leader"
// under a lease of the key-value store. In the transaction that writes this key, it also
// increments the number in the key "term". Every transaction of a leader compares the version of
// "term", so that a transaction of an earlier leader fails however late it arrives. With the term
// the leader gets the fencing tokens that it gives to machines.
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

// Term identifies a term in which this process is the leader.
type Term struct {
	Number uint64
	// FirstToken is the first fencing token of the term, or 0 if Number is its only one.
	FirstToken uint64
	// ModRevision is the version of the term key that the leader's transactions compare.
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
	// FirstToken is the first fencing token of the term, or 0 if Number is its only one.
	FirstToken uint64 `json:"first_token,omitempty"`
}

// Observer receives the events of the election. All its methods are called by one goroutine.
type Observer interface {
	// LeaderChanged is called with the current leader, or "" if there is none.
	LeaderChanged(node string)
	// ElectionWon is called when this process becomes the leader. Its lease is valid until
	// leaseExpiry unless it is renewed.
	ElectionWon(term Term, leaseExpiry time.Time)
	// LeaseRenewed is called when the lease of the term has been extended to leaseExpiry.
	LeaseRenewed(term Term, leaseExpiry time.Time)
	// LeadershipLost is called when the term has ended, for whatever reason. The process does
	// not lead in this term again.
	LeadershipLost(term Term)
}

// Elector runs the election on behalf of one process.
type Elector struct {
	Node        string
	Incarnation string
	Store       kv.Service
	// LeaseDuration is the lifetime of the leader lease.
	LeaseDuration time.Duration
	// RenewInterval is the time between two renewals of the leader lease.
	RenewInterval time.Duration
	// TokensPerTerm is the number of fencing tokens that each term reserves; 0 means 1.
	TokensPerTerm uint64
	Observer      Observer
	Log           *slog.Logger
	// StepDowns delivers the numbers of terms that the controller has found to be over. The
	// elector steps down if it leads in that term.
	StepDowns <-chan uint64
	// Resignations delivers the leaders that no longer act, or are no longer allowed to. The
	// elector campaigns without waiting for their lease to expire.
	Resignations <-chan Resignation
}

// Resignation reports that a node no longer acts as leader of a term.
type Resignation struct {
	Node string
	Term uint64
}

const (
	// callTimeout is the time limit of one request to the key-value store.
	callTimeout = 2 * time.Second
	// clockDriftDivisor determines the safety margin for clock drift: 1/200 (0.5%) of a lease.
	// Monotonic clocks drift apart by up to 0.05%, a tenth of that.
	clockDriftDivisor = 200
	// actionMargin is the safety margin for the time between checking the lease and the moment
	// at which an action that depends on it takes effect.
	actionMargin = 250 * time.Millisecond
	// retryDelay is the shortest wait after a failed round.
	retryDelay = 200 * time.Millisecond
	// maxRetryJitter is the upper bound of the random time that is added to retryDelay.
	maxRetryJitter = 300 * time.Millisecond
)

// leaseValidity returns for how long a lease is relied on, counted from the moment at which its
// grant or renewal was requested.
func leaseValidity(lease time.Duration) time.Duration {
	return lease - lease/clockDriftDivisor - actionMargin
}

// Run campaigns, leads or follows until the context ends.
func (e *Elector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := e.runRound(ctx); err != nil {
			e.Log.Debug("election round failed", "err", err)
			sleep(ctx, retryDelay+rand.N(maxRetryJitter))
		}
	}
}

// runRound reads the leader key once. It campaigns if the key does not exist or was written by
// this node. Otherwise it follows the leader until the key changes or the leader resigns.
func (e *Elector) runRound(ctx context.Context) error {
	leaderEntry, err := e.get(ctx, LeaderKey)
	if err != nil {
		return err
	}
	if leaderEntry.ModRevision == 0 {
		e.Observer.LeaderChanged("")
		return e.campaign(ctx, leaderEntry.ModRevision, anyTerm)
	}
	var record LeaderRecord
	if err := json.Unmarshal(leaderEntry.Value, &record); err != nil {
		return fmt.Errorf("decode leader key: %w", err)
	}
	if record.Node == e.Node {
		// Either an earlier process of this node wrote the key and has ended, or this process
		// wrote it and lost the response to its transaction. In both cases no other node leads,
		// so a new term can begin before the lease expires.
		return e.campaign(ctx, leaderEntry.ModRevision, anyTerm)
	}
	e.Observer.LeaderChanged(record.Node)
	resignedTerm, err := e.follow(ctx, record.Node, leaderEntry.ModRevision)
	if resignedTerm != anyTerm {
		// The resignation may be an old one that arrived late. The campaign does nothing if
		// the leader has begun another term since.
		return e.campaign(ctx, leaderEntry.ModRevision, resignedTerm)
	}
	return err
}

// anyTerm is the zero term number, which no term has. campaign accepts it if the number of the
// current term does not matter, and follow returns it if the leader has not resigned.
const anyTerm = 0

const (
	// watchTimeout is how long the store waits for a change of the leader key before it responds
	// to a watch.
	watchTimeout = 20 * time.Second
	// watchResponseMargin is the time, beyond watchTimeout, in which the response must arrive.
	watchResponseMargin = 10 * time.Second
)

// follow waits until the leader key changes after fromRevision, or the leader resigns. It returns
// the term in which the leader has resigned, or anyTerm if it has not.
func (e *Elector) follow(
	ctx context.Context, leader string, fromRevision uint64,
) (resignedTerm uint64, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for {
		result := e.awaitWatch(e.watchLeaderKey(ctx, fromRevision), leader)
		if result.resignedTerm != anyTerm {
			return result.resignedTerm, nil
		}
		if result.err != nil || len(result.changes.Events) > 0 {
			return anyTerm, result.err
		}
		fromRevision = max(fromRevision, result.changes.Revision)
	}
}

// watchResult is the outcome of a watch of the leader key, or the resignation that arrived before
// the watch had ended.
type watchResult struct {
	changes kv.Changes
	err     error
	// resignedTerm is the term in which the leader has resigned, or anyTerm.
	resignedTerm uint64
}

// watchLeaderKey starts one watch of the leader key, and returns the channel that receives its
// result.
func (e *Elector) watchLeaderKey(ctx context.Context, fromRevision uint64) <-chan watchResult {
	done := make(chan watchResult, 1)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, watchTimeout+watchResponseMargin)
		defer cancel()
		changes, err := e.Store.Watch(ctx, LeaderKey, fromRevision, watchTimeout)
		done <- watchResult{changes: changes, err: err}
	}()
	return done
}

// awaitWatch waits for the result of a watch or the leader's resignation, whichever comes first.
// Resignations of other nodes are dropped.
func (e *Elector) awaitWatch(watch <-chan watchResult, leader string) watchResult {
	for {
		select {
		case result := <-watch:
			return result
		case resignation := <-e.Resignations:
			if resignation.Node == leader && resignation.Term != anyTerm {
				return watchResult{resignedTerm: resignation.Term}
			}
		}
	}
}

// campaign begins a new term, and leads in it until it ends, if the leader key still has the
// version leaderRevision and the term key still has the number expectedTerm. With anyTerm the
// number of the term key is not checked.
func (e *Elector) campaign(ctx context.Context, leaderRevision, expectedTerm uint64) error {
	termEntry, err := e.get(ctx, TermKey)
	if err != nil {
		return err
	}
	var termRecord TermRecord
	if termEntry.ModRevision != 0 {
		if err := json.Unmarshal(termEntry.Value, &termRecord); err != nil {
			return fmt.Errorf("decode term key: %w", err)
		}
	}
	if expectedTerm != anyTerm && termRecord.Number != expectedTerm {
		return nil
	}
	termRecord = termRecord.next(e.TokensPerTerm)
	sentAt := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	lease, err := e.Store.GrantLease(callCtx, e.LeaseDuration)
	cancel()
	if err != nil {
		return fmt.Errorf("grant leader lease: %w", err)
	}
	callCtx, cancel = context.WithTimeout(ctx, callTimeout)
	result, err := e.Store.Txn(callCtx, kv.Txn{
		Compares: []kv.Compare{
			{Key: LeaderKey, ModRevision: leaderRevision},
			{Key: TermKey, ModRevision: termEntry.ModRevision},
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
	if !result.Succeeded {
		return nil
	}
	term := Term{Number: termRecord.Number, FirstToken: termRecord.FirstToken, ModRevision: result.Revision}
	e.lead(ctx, term, lease, sentAt.Add(leaseValidity(e.LeaseDuration)))
	return nil
}

// lead notifies the observer of the new term, and renews the lease at intervals until the context
// ends, the lease has expired, or a notice on StepDowns names the term.
func (e *Elector) lead(ctx context.Context, term Term, lease uint64, leaseExpiry time.Time) {
	e.Log.Info("leadership won", "term", term.Number, "firstToken", term.Tokens().First, "revision", term.ModRevision)
	e.Observer.LeaderChanged(e.Node)
	e.Observer.ElectionWon(term, leaseExpiry)
	defer e.Observer.LeadershipLost(term)
	for {
		select {
		case <-ctx.Done():
			return
		case endedTerm := <-e.StepDowns:
			if endedTerm == term.Number {
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
			e.Log.Debug("leader lease renewal failed", "term", term.Number, "err", err)
		}
	}
}

// get reads one key with the time limit callTimeout.
func (e *Elector) get(ctx context.Context, key string) (kv.Entry, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return e.Store.Get(callCtx, key)
}

// sleep waits for d or the end of the context.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
