package controller

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cancellation"
	"example.org/ivytrestle/internal/election"
	"example.org/ivytrestle/internal/loan"
)

// mailboxCalls are calls that send a message to the controller's goroutine. All except
// "resignation" wait for its reply.
var mailboxCalls = map[string]func(ctx context.Context, n *node) error{
	"heartbeat": func(ctx context.Context, n *node) error {
		_, err := n.Heartbeat(ctx, &api.Heartbeat{
			Machine:    "i-1",
			Addr:       "i-1",
			Type:       "small",
			Zone:       "a",
			AgentEpoch: 1,
			Seq:        1,
		})
		return err
	},
	"job":      func(ctx context.Context, n *node) error { _, err := n.Job(ctx, "job-1"); return err },
	"recorded": func(ctx context.Context, n *node) error { _, err := n.RecordedJob(ctx, "job-1"); return err },
	"status":   func(ctx context.Context, n *node) error { _, err := n.Status(ctx); return err },
	"loans": func(ctx context.Context, n *node) error {
		_, err := n.Loans(ctx, &loan.Request{Home: "south"})
		return err
	},
	"vote":        func(ctx context.Context, n *node) error { _, err := n.PeerVote(ctx, 1); return err },
	"promise":     func(ctx context.Context, n *node) error { _, err := n.PeerPromise(ctx, 1); return err },
	"resignation": func(ctx context.Context, n *node) error { return n.LeaderResigned(ctx, "n1", 1) },
	"peer status": func(ctx context.Context, n *node) error {
		_, err := n.PeerStatus(ctx, cancellation.Position{})
		return err
	},
}

// A controller that has ended rejects calls at once, whether or not its mailbox is full. Otherwise
// the calls would block, because messages are no longer received.
func TestEndedControllerRejectsCalls(t *testing.T) {
	for name, call := range mailboxCalls {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				n := w.start("n0")
				n.crash()
				time.Sleep(time.Second)
				startTime := time.Now()
				for range 2 * cap(n.mailbox) {
					if err := call(context.Background(), n); !errors.Is(err, api.ErrUnavailable) {
						t.Fatalf("got %v, want %v", err, api.ErrUnavailable)
					}
				}
				w.checkEqual("time taken", time.Since(startTime), time.Duration(0))
			})
		})
	}
}

// Calls whose messages are in the mailbox when the controller ends return at once, instead of
// waiting until they time out.
func TestQueuedCallsEndWithController(t *testing.T) {
	for name, call := range mailboxCalls {
		if name == "resignation" {
			continue // waits for no reply
		}
		t.Run(name, func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				n := w.start("n0")
				w.nodeGoroutines.Go(func() { n.tryInspect(func(*Controller) { time.Sleep(time.Second); n.crash() }) })
				time.Sleep(time.Millisecond)
				startTime, calls := time.Now(), 2*cap(n.mailbox)
				returned := make(chan struct{}, calls)
				for range calls {
					go func() {
						// Some calls may succeed, because the select in Run chooses at random
						// between the end of the context and the next message.
						_ = call(context.Background(), n)
						returned <- struct{}{}
					}()
				}
				for range calls {
					<-returned
				}
				if took := time.Since(startTime); took > 2*time.Second {
					t.Errorf("calls returned after %v, want at most 2s", took)
				}
			})
		})
	}
}

// An elector that notifies a controller after its end does not block, even if there are more
// notices than the mailbox can hold.
func TestEndedControllerDoesNotBlockElector(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		n.crash()
		time.Sleep(time.Second)
		for i := range uint64(cap(n.mailbox)) {
			n.LeaderChanged(fmt.Sprint("n", i))
			n.ElectionWon(election.Term{Number: i}, time.Now())
			n.LeaseRenewed(election.Term{Number: i}, time.Now())
			n.LeadershipLost(election.Term{Number: i})
		}
	})
}

// A cancellation that is recorded in the key-value store is reported as successful, even by a
// controller that has just ended and no longer applies it to its own state.
func TestRecordedRequestsSucceedAtEndedController(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		w.submit(n, spec("job-1", 1))
		n.crash()
		time.Sleep(time.Second)
		for range 2 * cap(n.mailbox) {
			st, err := n.Cancel(context.Background(), "job-1")
			if err != nil || st.Phase != api.JobCancelled {
				t.Fatalf("got phase %q, %v, want %q", st.Phase, err, api.JobCancelled)
			}
		}
	})
}
