// Package election decides which controller leads. The leader holds the key
// "leader" under a lease of the state service, and every new leadership bumps
// "term" in the same transaction. A late transaction of an earlier leader
// fails, since all of them guard on the version of "term".
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

// Term is one leadership of this process.
type Term struct {
	Number uint64
	// ModRevision is the version of the term key, on which the leader's
	// transactions guard.
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

// Observer is told of the election's course. Calls come from one goroutine.
type Observer interface {
	// LeaderChanged names the present leader as far as known; "" is nobody.
	LeaderChanged(node string)
	// ElectionWon begins a leadership valid until the given time.
	ElectionWon(term Term, leaseExpiry time.Time)
	// LeaseRenewed prolongs the leadership.
	LeaseRenewed(term Term, leaseExpiry time.Time)
	// LeaseLost ends the leadership for good.
	LeaseLost(term Term)
}

// Elector takes part in the election for one process.
type Elector struct {
	Node        string
	Incarnation string
	Store       kv.Service
	Lease       time.Duration
	Renew       time.Duration
	Observer    Observer
	Log         *slog.Logger
	// StepDowns ends the present leadership when something else has shown that
	// the term is over.
	StepDowns <-chan uint64
	// Resignations names leaders that have stopped to act, or no longer may, so that
	// their lease need not be waited for.
	Resignations <-chan Resignation
}

// Resignation says that a node has stopped to act as leader of a term.
type Resignation struct {
	Node string
	Term uint64
}

const callTimeout = 2 * time.Second

// leaseValidity is how long after sending a renewal the lease can be relied on. The
// steady clocks drift apart by up to 0.05%; ten times that, and a quarter of a
// second for the time between the check and its effect, is kept back.
func leaseValidity(lease time.Duration) time.Duration {
	return lease - lease/200 - 250*time.Millisecond
}

// Run takes part until the context ends.
func (e *Elector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := e.runRound(ctx); err != nil {
			e.Log.Debug("election round", "err", err)
			sleep(ctx, 200*time.Millisecond+rand.N(300*time.Millisecond))
		}
	}
}

// runRound looks at the leader key once: it takes over if the key is free or
// held by an earlier incarnation of this node, and otherwise waits for it to
// change.
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
		return fmt.Errorf("leader key: %w", err)
	}
	if record.Node == e.Node {
		// Whatever incarnation wrote it is over, or lost the answer to its
		// transaction: a new term is taken at once, without waiting for the
		// lease to end.
		return e.campaign(ctx, cur.ModRevision, anyTerm)
	}
	e.Observer.LeaderChanged(record.Node)
	resigned, err := e.follow(ctx, record.Node, cur.ModRevision)
	if resigned != anyTerm {
		// It acts for nobody any more in that term. Should it have begun a new one
		// since, this does nothing: the notice may have come late.
		return e.campaign(ctx, cur.ModRevision, resigned)
	}
	return err
}

// anyTerm is in place of a term where it does not matter which one is followed.
const anyTerm = 0

// follow waits until the leader key changes, or its holder has resigned. It returns the
// term that the holder has resigned in, or anyTerm.
func (e *Elector) follow(ctx context.Context, leader string, from uint64) (resigned uint64, err error) {
	const block = 20 * time.Second
	type seen struct {
		ch  kv.Changes
		err error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for {
		done := make(chan seen, 1)
		go func() {
			wctx, cancel := context.WithTimeout(ctx, block+10*time.Second)
			defer cancel()
			ch, err := e.Store.Watch(wctx, LeaderKey, from, block)
			done <- seen{ch, err}
		}()
		var s seen
		for s = (seen{}); ; {
			select {
			case s = <-done:
			case r := <-e.Resignations:
				if r.Node == leader && r.Term != anyTerm {
					return r.Term, nil
				}
				continue
			}
			break
		}
		if s.err != nil || len(s.ch.Events) > 0 {
			return anyTerm, s.err
		}
		from = max(from, s.ch.Revision)
	}
}

// campaign begins a new term if the leader key still has a version, and the term on record
// is the one that is followed, or anyTerm.
func (e *Elector) campaign(ctx context.Context, leaderRevision, followed uint64) error {
	old, err := e.get(ctx, TermKey)
	if err != nil {
		return err
	}
	var termRecord TermRecord
	if old.ModRevision != 0 {
		if err := json.Unmarshal(old.Value, &termRecord); err != nil {
			return fmt.Errorf("term key: %w", err)
		}
	}
	if followed != anyTerm && termRecord.Number != followed {
		return nil
	}
	termRecord.Number++
	sentAt := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	lease, err := e.Store.GrantLease(callCtx, e.Lease)
	cancel()
	if err != nil {
		return err
	}
	callCtx, cancel = context.WithTimeout(ctx, callTimeout)
	res, err := e.Store.Txn(callCtx, kv.Txn{
		Compares: []kv.Compare{{Key: LeaderKey, ModRevision: leaderRevision}, {Key: TermKey, ModRevision: old.ModRevision}},
		Ops: []kv.Op{
			{Put: LeaderKey, Value: LeaderRecord{Node: e.Node, Incarnation: e.Incarnation}, Lease: lease},
			{Put: TermKey, Value: termRecord},
		},
	})
	cancel()
	if err != nil {
		return err
	}
	if !res.Succeeded {
		return nil
	}
	e.lead(ctx, Term{Number: termRecord.Number, ModRevision: res.Revision}, lease, sentAt.Add(leaseValidity(e.Lease)))
	return nil
}

// lead renews the lease until the term is over.
func (e *Elector) lead(ctx context.Context, term Term, lease uint64, leaseExpiry time.Time) {
	e.Log.Info("leadership won", "term", term.Number)
	e.Observer.LeaderChanged(e.Node)
	e.Observer.ElectionWon(term, leaseExpiry)
	defer e.Observer.LeaseLost(term)
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-e.StepDowns:
			if n == term.Number {
				e.Log.Info("leadership lost", "term", term.Number, "why", "term superseded")
				return
			}
			continue
		case <-time.After(e.Renew):
		}
		sentAt := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := e.Store.RenewLease(callCtx, lease)
		cancel()
		switch {
		case err == nil:
			e.Observer.LeaseRenewed(term, sentAt.Add(leaseValidity(e.Lease)))
		case errors.Is(err, kv.ErrNoLease):
			e.Log.Info("leadership lost", "term", term.Number, "why", "lease ended")
			return
		default:
			e.Log.Debug("lease not renewed", "term", term.Number, "err", err)
		}
	}
}

func (e *Elector) get(ctx context.Context, key string) (kv.Entry, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return e.Store.Get(callCtx, key)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
