package controller

import (
	"context"
	"fmt"
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/election"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/leasequorum"
	"example.org/ivytrestle/internal/queue"
)

// leaderTerm is everything a node knows as leader of one term. It is dropped whole
// when the term is over, so nothing of one term reaches into another.
type leaderTerm struct {
	c           *Controller
	ctx         context.Context
	cancel      context.CancelFunc
	term        election.Term
	leaseExpiry time.Time
	startedAt   time.Time

	loaded bool
	// cancellationsConfirmedAt is when the store was last asked that has answered that all
	// cancellations were known.
	cancellationsConfirmedAt time.Time
	cancelRevision           uint64
	attemptCount             uint32

	jobs           map[string]*job
	teams          map[string]*queue.Team[*job]
	fairShareOrder []*queue.Team[*job]
	machines       map[string]*machine
	// provisioning are machines that were rented or listed but have not reported.
	provisioning map[string]*provisioning
	// terminated remembers machines that are gone, whose reports may still
	// arrive.
	terminated *lru.Cache[string, bool]

	// unfenced are the machines on the roster that may still carry out orders
	// of earlier terms.
	unfenced     int
	unfencedCPUs float64
	unfencedGPUs float64
	// unattributedCPUs is the whole capacity of machines that hold tasks of jobs
	// that are over: whose team they count for is not known.
	unattributedCPUs float64

	readIndex    readIndexer
	dependencies dependencyGraph
	// dependencyLists are the records that list awaited jobs.
	dependencyLists dependencyLists
	loans           loans
	// votes are what the other nodes let this one decide by, and bound is set once it
	// decides only with enough of them; ungranted is since when it lacks them.
	votes          *leasequorum.VoteSet
	quorumRequired bool
	quorumLostAt   time.Time
	downlink       relayDownlink
	recordWriter   recordWriter
	autoscaler     autoscaler
	counts         counters
	// dispatchUntil is until when free machines are looked for that could be
	// given work directly; ordering is to how many such orders are on the way.
	dispatchUntil    time.Time
	commandsInFlight int
	// directFailures is how many direct orders in a row have failed, and
	// nextDirectCommand from when on the next may be sent.
	directFailures    int
	nextDirectCommand time.Time
	// startWithin is within what time work within a guarantee should start.
	startWithin time.Duration
	// grace is how long what waits is left to better machines.
	grace time.Duration
	// imageLocations are the CPUs of open machines by the images that they have.
	imageLocations map[string]float64
	// maxFetches is how many images a machine may fetch at the same time now.
	maxFetches int
	// starved is how many jobs have had no start for too long.
	starved        int
	nextScan       time.Time
	nextUsageLog   time.Time
	nextPendingLog time.Time
	lastTick       time.Time
	// heartbeatsSince is since when this node can hear its machines.
	heartbeatsSince time.Time
	// lastPause is when it last noticed that it was late.
	lastPause time.Time
	probing   int
	// maxDials bounds each of probing, resyncing and ordering.
	maxDials int
	// toResync are the machines that a new leader has yet to resync.
	toResync  []*machine
	resyncing int
	// Whose leases other nodes extend was last read at renewalsReadAt, at renewalRevisions.
	renewalsReadAt   time.Time
	renewalRevisions map[string]uint64
}

// terminatedMemory is the part of the memory that the names of machines that are gone
// may take, and terminatedBytes about what one of them takes.
const (
	terminatedMemory = 1.0 / 32
	terminatedBytes  = 256
)

func newLeaderTerm(c *Controller, term election.Term, until time.Time) *leaderTerm {
	ctx, cancel := context.WithCancel(context.Background())
	terminated, err := lru.New[string, bool](c.Settings.Site.Limits.Entries(terminatedMemory, terminatedBytes))
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	lt := &leaderTerm{
		c: c, ctx: ctx, cancel: cancel, term: term, leaseExpiry: until, startedAt: time.Now(),
		jobs: map[string]*job{}, teams: map[string]*queue.Team[*job]{},
		machines: map[string]*machine{}, provisioning: map[string]*provisioning{}, terminated: terminated,
	}
	lt.downlink.nodes = map[string]*relayNode{}
	lt.renewalRevisions = map[string]uint64{}
	lt.imageLocations = map[string]float64{}
	lt.counts = newCounters()
	lt.maxFetches = unlimitedFetches
	lt.maxDials = maxConcurrentDials(c.Settings.Site.Limits.FDLimit)
	lt.readIndex.leaderTerm = lt
	lt.recordWriter.init(lt)
	lt.dependencies.init(lt)
	lt.dependencyLists.leaderTerm = lt
	lt.loans.init(lt)
	lt.autoscaler.init(lt)
	if c.Standby != nil {
		lt.votes = leasequorum.NewVoteSet(c.Standby.VoteLifetime())
	}
	for _, t := range c.Settings.Site.Teams {
		q := &queue.Team[*job]{Name: t.Name, CPUs: t.CPUs, LimitCPUs: t.LimitCPUs, GPUs: t.GPUs, LimitGPUs: t.LimitGPUs,
			Share: c.Policy.Share(t.Name, max(t.CPUs, t.GPUs, 1))}
		lt.teams[t.Name] = q
		lt.fairShareOrder = append(lt.fairShareOrder, q)
	}
	// Half a round of reports, but no more than a small part of the time in
	// which work within a guarantee should start.
	lt.grace = c.Settings.Site.Workers.HeartbeatInterval() / 2
	for _, o := range c.Settings.Site.Objectives {
		if o.Kind == "guarantee" && o.WithinS > 0 {
			lt.grace = min(lt.grace, config.Duration(o.WithinS/5))
			if within := config.Duration(o.WithinS); lt.startWithin == 0 || within < lt.startWithin {
				lt.startWithin = within
			}
		}
	}
	go lt.loadLoop()
	return lt
}

func (lt *leaderTerm) termCompare() kv.Compare {
	return kv.Compare{Key: election.TermKey, ModRevision: lt.term.ModRevision}
}

// sendToOwner sends a message unless the term has ended.
func (lt *leaderTerm) sendToOwner(m message) {
	select {
	case lt.c.mailbox <- m:
	case <-lt.ctx.Done():
	}
}

// checkTermConflict ends the leadership if a failed transaction shows that another term
// has begun.
func (lt *leaderTerm) checkTermConflict(res kv.Result) bool {
	if !slices.Contains(res.FailedKeys, election.TermKey) {
		return false
	}
	lt.stepDown()
	return true
}

func (lt *leaderTerm) stepDown() {
	if lt.c.leaderTerm == lt {
		lt.c.endTerm()
		select {
		case lt.c.stepDowns <- lt.term.Number:
		default:
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

type stepDownMsg struct{ leaderTerm *leaderTerm }

func (m stepDownMsg) apply(*Controller) { m.leaderTerm.stepDown() }

func (lt *leaderTerm) tick(now time.Time) {
	if !lt.loaded || !lt.c.holdsLease() {
		return
	}
	lt.readIndex.startRound()
	lt.recordWriter.writeBatch(now)
	if lt.checkLeaseQuorum(now); lt.c.leaderTerm != lt {
		return
	}
	lt.loans.tick(now)
	if !lt.mayRenewLeases(now) || lt.commandsUndelivered(now) {
		return
	}
	lt.dispatch(now)
	lt.downlink.tick(lt, now)
	if now.Before(lt.nextScan) {
		return
	}
	lt.nextScan = now.Add(time.Second)
	lt.deferInfeasible(now)
	lt.countImageLocations(now)
	lt.scanMachines(now)
	lt.restartStragglers(now)
	if lt.hasLeaseQuorum(now) {
		lt.autoscaler.tick(now)
	}
	lt.logUsage(now)
	lt.logPending(now)
}

func (lt *leaderTerm) nextAttempt() uint64 {
	lt.attemptCount++
	return lt.term.Number<<32 | uint64(lt.attemptCount)
}

func (lt *leaderTerm) launchName(n int) string { return fmt.Sprintf("r-%d-%d", lt.term.Number, n) }
