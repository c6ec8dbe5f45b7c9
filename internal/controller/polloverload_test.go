package controller

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/kv/kvtest"
	"example.org/ivytrestle/internal/records"
)

const (
	// userPollInterval, userPollTimeout and forgottenAfter are those of the protocol's users.
	userPollInterval = 5 * time.Second
	userPollTimeout  = 2 * time.Second
	forgottenAfter   = 75 * time.Second
)

// storeConnections is how many connections kv.Client opens for requests.
const storeConnections = 12

// slowStore is a node's access to a slow store: reads and transactions take readTime. The rate of reads
// and the number of requests at a time are limited like those of kv.Client.
type slowStore struct {
	*kvtest.Fake
	readLimiter *rate.Limiter
	connections chan struct{}
	// readTime is a time.Duration.
	readTime atomic.Int64
}

// newSlowStore returns an access to a store with a limit on the reads per second.
func newSlowStore(fake *kvtest.Fake, readsPerS int, readTime time.Duration) *slowStore {
	s := &slowStore{
		Fake:        fake,
		readLimiter: rate.NewLimiter(rate.Limit(readsPerS), readsPerS),
		connections: make(chan struct{}, storeConnections),
	}
	s.readTime.Store(int64(readTime))
	return s
}

// Get reads one key after readTime, within the rate limit and the deadline of ctx.
func (s *slowStore) Get(ctx context.Context, key string) (kv.Entry, error) {
	if err := s.readLimiter.Wait(ctx); err != nil {
		return kv.Entry{}, fmt.Errorf("%w: %w", kv.ErrNotApplied, err)
	}
	release, err := s.connect(ctx)
	defer release()
	if err != nil {
		return kv.Entry{}, err
	}
	return s.Fake.Get(ctx, key)
}

// Txn applies a transaction after readTime.
func (s *slowStore) Txn(ctx context.Context, txn kv.Txn) (kv.Result, error) {
	release, err := s.connect(ctx)
	defer release()
	if err != nil {
		return kv.Result{}, err
	}
	return s.Fake.Txn(ctx, txn)
}

// connect takes a connection, and waits for readTime. The caller releases the connection.
func (s *slowStore) connect(ctx context.Context) (release func(), err error) {
	select {
	case <-ctx.Done():
		return func() {}, kv.ErrNotApplied
	case s.connections <- struct{}{}:
		release = func() { <-s.connections }
	}
	select {
	case <-ctx.Done():
		return release, kv.ErrOutcomeUnknown
	case <-time.After(time.Duration(s.readTime.Load())):
		return release, nil
	}
}

// recordEndedJobs writes the terminal records of jobs that an earlier leader completed.
func (w *simulatedCluster) recordEndedJobs(ids []string) {
	w.t.Helper()
	for _, id := range ids {
		terminal := records.TerminalRecord{Phase: api.JobDone, Tasks: 1}
		txn := kv.Txn{Ops: []kv.Op{{Put: records.TerminalPrefix + id, Value: terminal}}}
		if _, err := w.store.Txn(w.t.Context(), txn); err != nil {
			w.t.Fatal(err)
		}
	}
}

// pollUntilDone polls a job as its user does, and returns how long it takes until it is called done.
// It gives up after forgottenAfter.
func pollUntilDone(n *node, id string) time.Duration {
	start := time.Now()
	for time.Since(start) < forgottenAfter {
		polledAt := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), userPollTimeout)
		state, err := n.Job(ctx, id)
		cancel()
		if err == nil && state.Phase == api.JobDone {
			break
		}
		time.Sleep(userPollInterval - time.Since(polledAt))
	}
	return time.Since(start)
}

// A new leader knows no ended job, so each poll of one takes reads of the store. However many such
// polls arrive, and however slowly the store answers, each job's user gets an answer.
func TestEndedJobsStayKnownToManyUsersOfNewLeader(t *testing.T) {
	tests := []struct {
		name      string
		jobs      int
		readsPerS int
		readTime  time.Duration
	}{
		{"few, fast store", 20, 48, 10 * time.Millisecond},
		{"more than the request rate allows", 300, 48, 10 * time.Millisecond},
		{"far more than the request rate allows", 1200, 48, 10 * time.Millisecond},
		{"one read takes more than half of a lookup's time", 20, 48, 550 * time.Millisecond},
		{"many, slow store", 150, 48, 350 * time.Millisecond},
		{"many, slower store", 300, 48, 550 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				ids := make([]string, test.jobs)
				for i := range ids {
					ids[i] = fmt.Sprint("job-", 1000+i)
				}
				w.recordEndedJobs(ids)
				n := w.start("n0")
				n.records.Store = newSlowStore(w.store, test.readsPerS, test.readTime)
				var forgotten atomic.Int32
				var users sync.WaitGroup
				for i, id := range ids {
					users.Go(func() {
						time.Sleep(userPollInterval * time.Duration(i) / time.Duration(len(ids)))
						if pollUntilDone(n, id) >= forgottenAfter {
							forgotten.Add(1)
						}
					})
				}
				users.Wait()
				if count := forgotten.Load(); count > 0 {
					t.Errorf("%d of %d jobs: no question answered for %v", count, len(ids), forgottenAfter)
				}
			})
		})
	}
}

// If the store is slow, the leader confirms its memory slowly. Users of another node get the leader's
// answers nevertheless, since that node's own reads suffice for a few of them only.
func TestFollowerAnswersManyUsersWhileStoreIsSlow(t *testing.T) {
	const jobs = 400
	simulate(t, func(w *simulatedCluster) {
		links := &peerLinks{}
		stores := []*slowStore{newSlowStore(w.store, 48, 0), newSlowStore(w.store, 48, 0)}
		leader := links.add("n0", w.startWith("n0", stores[0], links))
		follower := links.add("n1", w.startWith("n1", stores[1], links))
		for i := range jobs {
			w.submit(leader, spec(fmt.Sprint("job-", 1000+i), 1))
		}
		time.Sleep(3 * time.Second)
		for _, store := range stores {
			store.readTime.Store(int64(550 * time.Millisecond))
		}
		var forgotten atomic.Int32
		var users sync.WaitGroup
		for i := range jobs {
			users.Go(func() {
				time.Sleep(userPollInterval * time.Duration(i) / jobs)
				if !isAnswered(follower, fmt.Sprint("job-", 1000+i)) {
					forgotten.Add(1)
				}
			})
		}
		users.Wait()
		if count := forgotten.Load(); count > 0 {
			w.t.Errorf("%d of %d jobs: no question answered for %v", count, jobs, forgottenAfter)
		}
	})
}

// While more users poll than a node has requests to the store for, for however long, each of them is
// answered in turn.
func TestOverloadedNodeAnswersUsersInTurn(t *testing.T) {
	const jobs = 1000
	simulate(t, func(w *simulatedCluster) {
		leader := w.start("n0")
		alone := w.start("n1")
		alone.records.Store = newSlowStore(w.store, 48, 10*time.Millisecond)
		for i := range jobs {
			w.submit(leader, spec(fmt.Sprint("job-", 1000+i), 1))
		}
		end := time.Now().Add(3 * forgottenAfter)
		var forgotten atomic.Int32
		var users sync.WaitGroup
		for i := range jobs {
			users.Go(func() {
				time.Sleep(userPollInterval * time.Duration(i) / jobs)
				for time.Now().Before(end) {
					if !isAnswered(alone, fmt.Sprint("job-", 1000+i)) {
						forgotten.Add(1)
					}
					time.Sleep(userPollInterval)
				}
			})
		}
		users.Wait()
		if count := forgotten.Load(); count > 0 {
			w.t.Errorf("%d times no question about a job was answered for %v", count, forgottenAfter)
		}
	})
}

// isAnswered polls a job as its user does, and reports whether a poll is answered within forgottenAfter.
func isAnswered(n *node, id string) bool {
	for start := time.Now(); time.Since(start) < forgottenAfter; {
		polledAt := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), userPollTimeout)
		_, err := n.Job(ctx, id)
		cancel()
		if err == nil {
			return true
		}
		time.Sleep(userPollInterval - time.Since(polledAt))
	}
	return false
}

// A full queue loses lookups for which nobody waits before those of users who still do.
func TestFullQueueOfLookupsKeepsThoseStillWaitedFor(t *testing.T) {
	q := jobLookups{byJob: map[string]*sharedLookup{}, running: maxConcurrentLookups}
	now := time.Now()
	request := func(id string, deadline time.Time) lookupMsg {
		m := lookupMsg{id: id, deadline: deadline, reply: make(chan lookupReply, 1)}
		q.add(m)
		return m
	}
	oldest := request("job-0", now.Add(time.Hour))
	for i := range maxQueuedLookups {
		request(fmt.Sprint("job-", 1+i), now.Add(-time.Second))
	}
	if len(oldest.reply) > 0 || q.byJob["job-0"] == nil {
		t.Error("the oldest lookup was dropped, want those that have timed out")
	}
	if len(q.queue) > maxQueuedLookups {
		t.Errorf("got %d queued lookups, want at most %d", len(q.queue), maxQueuedLookups)
	}
}
