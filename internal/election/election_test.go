package election

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"example.org/ivytrestle/internal/kv/kvtest"
)

// observer stores the term in which an elector leads, or 0.
type observer struct{ term atomic.Uint64 }

func (*observer) LeaderChanged(string)                 {}
func (o *observer) ElectionWon(term Term, _ time.Time) { o.term.Store(term.Number) }
func (*observer) LeaseRenewed(Term, time.Time)         {}
func (o *observer) LeadershipLost(Term)                { o.term.Store(0) }

// A resignation is valid only for the term that it names. If it arrives late, when the same node
// already leads in a later term, the other electors must ignore it.
func TestResignationOfEarlierTermIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := kvtest.New()
		var a, b observer
		startElector := func(node string, o *observer) (chan<- Resignation, context.CancelFunc) {
			ctx, cancel := context.WithCancel(t.Context())
			resigned := make(chan Resignation, 1)
			e := &Elector{
				Node:          node,
				Incarnation:   node,
				Store:         store,
				LeaseDuration: 30 * time.Second,
				RenewInterval: 3 * time.Second,
				Observer:      o,
				Log:           slog.New(slog.DiscardHandler),
				Resignations:  resigned,
			}
			go e.Run(ctx)
			time.Sleep(time.Second)
			return resigned, cancel
		}
		_, stopA := startElector("a", &a)
		resigned, stopB := startElector("b", &b)
		stopA()
		time.Sleep(time.Second)
		_, stopA = startElector("a", &a) // begins term 2
		if a.term.Load() != 2 || b.term.Load() != 0 {
			t.Fatalf("got terms %d and %d, want 2 and 0", a.term.Load(), b.term.Load())
		}
		resigned <- Resignation{Node: "a", Term: 1}
		time.Sleep(3 * time.Second)
		if b.term.Load() != 0 {
			t.Errorf("got term %d after a resignation of an earlier term, want 0", b.term.Load())
		}
		resigned <- Resignation{Node: "a", Term: 2}
		time.Sleep(3 * time.Second)
		if b.term.Load() != 3 {
			t.Errorf("got term %d after the leader resigned, want 3", b.term.Load())
		}
		stopA()
		stopB()
		time.Sleep(time.Minute)
	})
}
