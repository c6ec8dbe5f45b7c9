package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/records"
)

// If the records of a job that a node has acknowledged are lost, the node neither calls it unknown nor
// lets a repeat be rejected, and counts each such request.
func TestAcknowledgedJobIsNeverCalledUnknown(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		w.wantContradictions = 3
		n := w.start("n0")
		n.records.Store = w.store
		w.submit(n, spec("job-1", 1))
		n.inspect(func(c *Controller) { c.endTerm() })
		txn := kv.Txn{Ops: []kv.Op{{Delete: records.ActivePrefix + "job-1"}}}
		if _, err := w.store.Txn(w.t.Context(), txn); err != nil {
			w.t.Fatal(err)
		}
		requests := map[string]func(ctx context.Context, id string) (api.JobState, error){
			"poll":   n.Job,
			"cancel": n.Cancel,
			"repeat": n.RecordedJob,
		}
		for name, request := range requests {
			for id, want := range map[string]error{"job-1": api.ErrUnavailable, "job-2": api.ErrUnknownJob} {
				ctx, cancel := context.WithTimeout(w.t.Context(), 2*time.Second)
				if _, err := request(ctx, id); !errors.Is(err, want) {
					w.t.Errorf("%s of %s: got %v, want %v", name, id, err, want)
				}
				cancel()
			}
		}
	})
}

// Polls that keep failing are logged with the reason, but not once for each job.
func TestFailingPollsAreLoggedSparingly(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		var output strings.Builder
		answers := newUserAnswers(slog.New(slog.NewTextHandler(&output, nil)))
		for range 13 {
			for job := range 100 {
				answer := answers.begin(pollRequest, fmt.Sprint("job-", job))
				_, _ = answer.decide(fromStore, api.JobState{}, errors.New("store: too slow"))
			}
			time.Sleep(5 * time.Second)
		}
		w.checkEqual("log lines in a minute", strings.Count(output.String(), "polls of a job keep failing"), 4)
		w.checkEqual("the reason is logged", strings.Contains(output.String(), "store: too slow"), true)
	})
}

// A poll that began before a job was accepted may find it unknown: that contradicts nothing.
func TestAnswerBegunBeforeAcceptanceIsNoContradiction(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		early := n.answers.begin(pollRequest, "job-1")
		w.submit(n, spec("job-1", 1))
		_, err := early.decide(fromStore, api.JobState{}, api.ErrUnknownJob)
		w.checkEqual("early poll is told that the job is unknown", errors.Is(err, api.ErrUnknownJob), true)
	})
}
