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

	"example.org/ivytrestle/internal/store"
)

// Keys of the election.
const (
	LeaderKey = "leader"
	TermKey   = "term"
)

// Term is one leadership of this process.
type Term struct {
	Number uint64
	// Mark is the version of the term key, on which the leader's
	// transactions guard.
	Mark uint64
}

// Holder is the value of the leader key.
type Holder struct {
	Node        string `json:"node"`
	Incarnation string `json:"incarnation"`
}

// TermValue is the value of the term key.
type TermValue struct {
	Number uint64 `json:"number"`
}

// Observer is told of the election's course. Calls come from one goroutine.
type Observer interface {
	// Leader names the present leader as far as known; "" is nobody.
	Leader(node string)
	// Won begins a leadership valid until the given time.
	Won(term Term, until time.Time)
	// Extended prolongs the leadership.
	Extended(term Term, until time.Time)
	// Lost ends the leadership for good.
	Lost(term Term)
}

// Candidate takes part in the election for one process.
type Candidate struct {
	Node        string
	Incarnation string
	Store       store.Service
	Lease       time.Duration
	Renew       time.Duration
	Observer    Observer
	Log         *slog.Logger
	// Depose ends the present leadership when something else has shown that
	// the term is over.
	Depose <-chan uint64
	// Resigned names leaders that have stopped to act, or no longer may, so that
	// their lease need not be waited for.
	Resigned <-chan Resignation
}

// Resignation says that a node has stopped to act as leader of a term.
type Resignation struct {
	Node string
	Term uint64
}

const callTimeout = 2 * time.Second

// validity is how long after sending a renewal the lease can be relied on. The
// steady clocks drift apart by up to 0.05%; ten times that, and a quarter of a
// second for the time between the check and its effect, is kept back.
func validity(lease time.Duration) time.Duration {
	return lease - lease/200 - 250*time.Millisecond
}

// Run takes part until the context ends.
func (c *Candidate) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := c.round(ctx); err != nil {
			c.Log.Debug("election round", "err", err)
			sleep(ctx, 200*time.Millisecond+rand.N(300*time.Millisecond))
		}
	}
}

// round looks at the leader key once: it takes over if the key is free or
// held by an earlier incarnation of this node, and otherwise waits for it to
// change.
func (c *Candidate) round(ctx context.Context) error {
	cur, err := c.get(ctx, LeaderKey)
	if err != nil {
		return err
	}
	if cur.Mark == 0 {
		c.Observer.Leader("")
		return c.takeOver(ctx, cur.Mark, anyTerm)
	}
	var h Holder
	if err := json.Unmarshal(cur.Value, &h); err != nil {
		return fmt.Errorf("leader key: %w", err)
	}
	if h.Node == c.Node {
		// Whatever incarnation wrote it is over, or lost the answer to its
		// transaction: a new term is taken at once, without waiting for the
		// lease to end.
		return c.takeOver(ctx, cur.Mark, anyTerm)
	}
	c.Observer.Leader(h.Node)
	resigned, err := c.follow(ctx, h.Node, cur.Mark)
	if resigned != anyTerm {
		// It acts for nobody any more in that term. Should it have begun a new one
		// since, this does nothing: the notice may have come late.
		return c.takeOver(ctx, cur.Mark, resigned)
	}
	return err
}

// anyTerm is in place of a term where it does not matter which one is followed.
const anyTerm = 0

// follow waits until the leader key changes, or its holder has resigned. It returns the
// term that the holder has resigned in, or anyTerm.
func (c *Candidate) follow(ctx context.Context, holder string, from uint64) (resigned uint64, err error) {
	const block = 20 * time.Second
	type seen struct {
		ch  store.Changes
		err error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for {
		done := make(chan seen, 1)
		go func() {
			wctx, cancel := context.WithTimeout(ctx, block+10*time.Second)
			defer cancel()
			ch, err := c.Store.Watch(wctx, LeaderKey, from, block)
			done <- seen{ch, err}
		}()
		var s seen
		for s = (seen{}); ; {
			select {
			case s = <-done:
			case r := <-c.Resigned:
				if r.Node == holder && r.Term != anyTerm {
					return r.Term, nil
				}
				continue
			}
			break
		}
		if s.err != nil || len(s.ch.Events) > 0 {
			return anyTerm, s.err
		}
		from = max(from, s.ch.Ring)
	}
}

// takeOver begins a new term if the leader key still has a version, and the term on record
// is the one that is followed, or anyTerm.
func (c *Candidate) takeOver(ctx context.Context, leaderMark, followed uint64) error {
	old, err := c.get(ctx, TermKey)
	if err != nil {
		return err
	}
	var tv TermValue
	if old.Mark != 0 {
		if err := json.Unmarshal(old.Value, &tv); err != nil {
			return fmt.Errorf("term key: %w", err)
		}
	}
	if followed != anyTerm && tv.Number != followed {
		return nil
	}
	tv.Number++
	sent := time.Now()
	cctx, cancel := context.WithTimeout(ctx, callTimeout)
	lease, err := c.Store.Grant(cctx, c.Lease)
	cancel()
	if err != nil {
		return err
	}
	cctx, cancel = context.WithTimeout(ctx, callTimeout)
	res, err := c.Store.Txn(cctx, store.Txn{
		Guards: []store.Guard{{Key: LeaderKey, Mark: leaderMark}, {Key: TermKey, Mark: old.Mark}},
		Ops: []store.Op{
			{Put: LeaderKey, Value: Holder{Node: c.Node, Incarnation: c.Incarnation}, Lease: lease},
			{Put: TermKey, Value: tv},
		},
	})
	cancel()
	if err != nil {
		return err
	}
	if !res.OK {
		return nil
	}
	c.lead(ctx, Term{Number: tv.Number, Mark: res.Ring}, lease, sent.Add(validity(c.Lease)))
	return nil
}

// lead renews the lease until the term is over.
func (c *Candidate) lead(ctx context.Context, term Term, lease uint64, until time.Time) {
	c.Log.Info("leadership won", "term", term.Number)
	c.Observer.Leader(c.Node)
	c.Observer.Won(term, until)
	defer c.Observer.Lost(term)
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-c.Depose:
			if n == term.Number {
				c.Log.Info("leadership lost", "term", term.Number, "why", "term superseded")
				return
			}
			continue
		case <-time.After(c.Renew):
		}
		sent := time.Now()
		cctx, cancel := context.WithTimeout(ctx, callTimeout)
		err := c.Store.Extend(cctx, lease)
		cancel()
		switch {
		case err == nil:
			c.Observer.Extended(term, sent.Add(validity(c.Lease)))
		case errors.Is(err, store.ErrNoLease):
			c.Log.Info("leadership lost", "term", term.Number, "why", "lease ended")
			return
		default:
			c.Log.Debug("lease not renewed", "term", term.Number, "err", err)
		}
	}
}

func (c *Candidate) get(ctx context.Context, key string) (store.Entry, error) {
	cctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.Store.Get(cctx, key)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
