package controller

import (
	"context"
	"encoding/json"
	"errors"
	"hash/fnv"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cancellation"
	"example.org/ivytrestle/internal/cloud"
	"example.org/ivytrestle/internal/completion"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/membership"
)

// lateMessages is a network fault of a simulated cluster: any link may deliver any message once more,
// up to maxLateness later. Nobody waits for the answers to these copies. A nil *lateMessages delivers
// no copies.
type lateMessages struct {
	ctx        context.Context
	goroutines sync.WaitGroup

	mu     sync.Mutex
	random *rand.Rand
	// share is the share of messages of which a copy is delivered.
	share float64
	// delivered counts the copies delivered, by the name of the message.
	delivered map[string]int
	// renewedAt holds, by lease, when the last copy of a renewal was applied.
	renewedAt map[uint64]time.Time
}

const (
	// lateShare is the share of messages of which a copy is delivered, unless setShare changes it.
	lateShare = 0.05
	// minLateness and maxLateness are the bounds of the time between a message and its copy.
	minLateness = 200 * time.Millisecond
	maxLateness = 3 * time.Minute
	// copyTimeout is the time limit for the delivery of a copy.
	copyTimeout = 5 * time.Second
)

// newLateMessages returns the fault for a cluster whose context is ctx. The name of the test selects
// the messages and the times.
func newLateMessages(ctx context.Context, test string) *lateMessages {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(test)) // never fails
	return &lateMessages{
		ctx:       ctx,
		random:    rand.New(rand.NewPCG(hash.Sum64(), 45)),
		share:     lateShare,
		delivered: map[string]int{},
		renewedAt: map[uint64]time.Time{},
	}
}

// lateCopy is a copy of a message that has not been delivered yet.
type lateCopy struct {
	fault    *lateMessages
	message  string
	lateness time.Duration
}

// draw decides whether a message that is sent now will be delivered once more, and returns nil if not.
// Short and long times until then are equally likely on a logarithmic scale.
func (l *lateMessages) draw(message string) *lateCopy {
	if l == nil || l.ctx.Err() != nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	span := float64(maxLateness) / float64(minLateness)
	lateness := time.Duration(float64(minLateness) * math.Pow(span, l.random.Float64()))
	if l.random.Float64() >= l.share {
		return nil
	}
	return &lateCopy{fault: l, message: message, lateness: lateness}
}

// deliver calls the given function when the copy arrives.
func (c *lateCopy) deliver(deliver func(ctx context.Context)) {
	l := c.fault
	l.goroutines.Go(func() {
		sleepUnlessZero(l.ctx, c.lateness)
		if l.ctx.Err() != nil {
			return
		}
		l.mu.Lock()
		l.delivered[c.message]++
		l.mu.Unlock()
		ctx, cancel := context.WithTimeout(l.ctx, copyTimeout)
		defer cancel()
		deliver(ctx)
	})
}

// sent is called for each message, and may call deliver once more when a copy arrives.
func (l *lateMessages) sent(message string, deliver func(ctx context.Context)) {
	if c := l.draw(message); c != nil {
		c.deliver(deliver)
	}
}

// setShare sets the share of messages of which a copy is delivered.
func (l *lateMessages) setShare(share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.share = share
}

// leaseRenewed records that a copy of a lease renewal was applied.
func (l *lateMessages) leaseRenewed(lease uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.renewedAt[lease] = time.Now()
}

// lastRenewal returns when the last copy of a renewal of a lease was applied.
func (l *lateMessages) lastRenewal(lease uint64) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.renewedAt[lease]
}

// counts returns the number of copies delivered, by the name of the message.
func (l *lateMessages) counts() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.delivered)
}

// lateStore is a node's access to the key-value store. A transaction that the store has refused to
// carry out has no copy.
type lateStore struct {
	kv.Service
	late *lateMessages
}

func (s lateStore) Txn(ctx context.Context, txn kv.Txn) (kv.Result, error) {
	c := s.late.draw("transaction")
	if c == nil {
		return s.Service.Txn(ctx, txn)
	}
	copied := copyTransaction(txn)
	result, err := s.Service.Txn(ctx, txn)
	if !errors.Is(err, kv.ErrNotApplied) {
		c.deliver(func(ctx context.Context) { _, _ = s.Service.Txn(ctx, copied) })
	}
	return result, err
}

func (s lateStore) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	s.late.sent("lease grant", func(ctx context.Context) { _, _ = s.Service.GrantLease(ctx, ttl) })
	return s.Service.GrantLease(ctx, ttl)
}

func (s lateStore) RenewLease(ctx context.Context, lease uint64) error {
	s.late.sent("lease renewal", func(ctx context.Context) {
		if s.Service.RenewLease(ctx, lease) == nil {
			s.late.leaseRenewed(lease)
		}
	})
	return s.Service.RenewLease(ctx, lease)
}

// copyTransaction returns a copy of a transaction with the values encoded as they are now.
func copyTransaction(txn kv.Txn) kv.Txn {
	txn.Compares, txn.Ops = slices.Clone(txn.Compares), slices.Clone(txn.Ops)
	for i, op := range txn.Ops {
		if op.Put == "" {
			continue
		}
		raw, err := json.Marshal(op.Value)
		if err != nil {
			panic(err) // the node that sends the transaction encodes the same value
		}
		txn.Ops[i].Value = json.RawMessage(raw)
	}
	return txn
}

// recordingStore is a key-value store that keeps the last transaction that writes a prefix.
type recordingStore struct {
	kv.Service
	prefix string

	mu   sync.Mutex
	last *kv.Txn
}

func (s *recordingStore) Txn(ctx context.Context, txn kv.Txn) (kv.Result, error) {
	if writesPrefix(s.prefix)(txn) {
		copied := copyTransaction(txn)
		s.mu.Lock()
		s.last = &copied
		s.mu.Unlock()
	}
	return s.Service.Txn(ctx, txn)
}

// lastTransaction returns the last transaction.
func (s *recordingStore) lastTransaction() kv.Txn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return *s.last
}

// apply delivers a late copy of a transaction, whose conditions must still hold.
func (s *recordingStore) apply(t *testing.T, txn kv.Txn) {
	t.Helper()
	if result, err := s.Service.Txn(t.Context(), txn); err != nil || !result.Succeeded {
		t.Fatalf("late copy of a transaction: got %v, error %v, want it applied", result, err)
	}
}

// lateCommandSender sends commands to machines. A batch for which there was no connection has no copy.
type lateCommandSender struct {
	CommandSender
	late *lateMessages
}

func (s lateCommandSender) SendCommands(ctx context.Context, addr string, batch *api.CommandBatch) (uint64, error) {
	seq, err := s.CommandSender.SendCommands(ctx, addr, batch)
	if !errors.Is(err, errNoConnection) {
		s.late.sent("direct start", func(ctx context.Context) { _, _ = s.CommandSender.SendCommands(ctx, addr, batch) })
	}
	return seq, err
}

func (s lateCommandSender) Resync(ctx context.Context, addr string, token uint64) (*api.Heartbeat, error) {
	s.late.sent("resync", func(ctx context.Context) { _, _ = s.CommandSender.Resync(ctx, addr, token) })
	return s.CommandSender.Resync(ctx, addr, token)
}

// lateCloud launches and terminates machines. As the cloud ignores names of machines that are gone, a
// copy of a termination leaves them out.
type lateCloud struct {
	*fakeCloud
	late *lateMessages
}

func (c lateCloud) Launch(ctx context.Context, request cloud.LaunchRequest) ([]string, error) {
	c.late.sent("launch", func(ctx context.Context) { _, _ = c.fakeCloud.Launch(ctx, request) })
	return c.fakeCloud.Launch(ctx, request)
}

func (c lateCloud) Terminate(ctx context.Context, names []string) error {
	copied := slices.Clone(names)
	c.late.sent("termination", func(ctx context.Context) {
		if left := slices.DeleteFunc(copied, c.terminated); len(left) > 0 {
			_ = c.fakeCloud.Terminate(ctx, left)
		}
	})
	return c.fakeCloud.Terminate(ctx, names)
}

// latePeers is a node's access to the other nodes.
type latePeers struct {
	PeerClient
	late *lateMessages
}

func (p latePeers) Job(ctx context.Context, name string, q JobQuery) (JobAnswer, error) {
	p.late.sent("peer query", func(ctx context.Context) { _, _ = p.PeerClient.Job(ctx, name, q) })
	return p.PeerClient.Job(ctx, name, q)
}

func (p latePeers) Completion(
	ctx context.Context, name, id string, known completion.Tasks,
) (CompletionStatus, error) {
	p.late.sent("completion query", func(ctx context.Context) {
		_, _ = p.PeerClient.Completion(ctx, name, id, known)
	})
	return p.PeerClient.Completion(ctx, name, id, known)
}

func (p latePeers) Ping(ctx context.Context, name string, from cancellation.Position) (membership.PeerStatus, error) {
	p.late.sent("ping", func(ctx context.Context) { _, _ = p.PeerClient.Ping(ctx, name, from) })
	return p.PeerClient.Ping(ctx, name, from)
}

func (p latePeers) ForwardHeartbeat(
	ctx context.Context, name string, hb *api.Heartbeat,
) (api.HeartbeatResponse, error) {
	copied := copyHeartbeat(hb)
	p.late.sent("forwarded heartbeat", func(ctx context.Context) {
		_, _ = p.PeerClient.ForwardHeartbeat(ctx, name, &copied)
	})
	return p.PeerClient.ForwardHeartbeat(ctx, name, hb)
}

func (p latePeers) Resign(ctx context.Context, name, self string, term uint64) error {
	p.late.sent("resignation", func(ctx context.Context) { _ = p.PeerClient.Resign(ctx, name, self, term) })
	return p.PeerClient.Resign(ctx, name, self, term)
}

func (p latePeers) Vote(ctx context.Context, name string, term uint64) (bool, error) {
	p.late.sent("vote request", func(ctx context.Context) { _, _ = p.PeerClient.Vote(ctx, name, term) })
	return p.PeerClient.Vote(ctx, name, term)
}

func (p latePeers) Promise(ctx context.Context, name string, term uint64) (time.Duration, error) {
	p.late.sent("promise request", func(ctx context.Context) { _, _ = p.PeerClient.Promise(ctx, name, term) })
	return p.PeerClient.Promise(ctx, name, term)
}

// copyHeartbeat returns a copy of a heartbeat that shares nothing with it.
func copyHeartbeat(hb *api.Heartbeat) api.Heartbeat {
	copied := *hb
	copied.Tasks = slices.Clone(hb.Tasks)
	return copied
}

// addLateMessages wraps the connections of a node so that copies of its messages may arrive late.
func (w *simulatedCluster) addLateMessages(config *Config) {
	if w.late == nil {
		return
	}
	config.Store = lateStore{config.Store, w.late}
	config.Cloud = lateCloud{w.cloud, w.late}
	if config.Peers != nil {
		config.Peers = latePeers{config.Peers, w.late}
	}
	if config.CommandSender != nil {
		config.CommandSender = lateCommandSender{config.CommandSender, w.late}
	}
}
