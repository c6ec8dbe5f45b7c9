package controller

import (
	"context"
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"example.org/ivytrestle/internal/autoscaler"
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/election"
	"example.org/ivytrestle/internal/failuredetector"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/leasequorum"
	"example.org/ivytrestle/internal/queue"
	"example.org/ivytrestle/internal/recordwriter"
)

// leaderTerm is all state of a leader in one term. It is dropped as a whole when the term ends,
// so that no state of one term reaches into another.
type leaderTerm struct {
	c           *Controller
	ctx         context.Context
	cancel      context.CancelFunc
	term        election.Term
	leaseExpiry time.Time
	startedAt   time.Time

	// loaded is set once the records of the store are in memory.
	loaded bool
	// cancellationsConfirmedAt is when the last request was sent by whose response the store
	// confirmed that all cancellations were known here.
	cancellationsConfirmedAt time.Time
	// cancelRevision is the last known version of the cancel key.
	cancelRevision uint64
	attemptCount   uint32

	jobs           map[string]*cluster.Job
	teams          map[string]*queue.Team[*cluster.Job]
	fairShareOrder []*queue.Team[*cluster.Job]
	machines       map[string]*cluster.Machine
	// provisioning are machines that were launched or listed but have sent no heartbeat.
	provisioning map[string]*autoscaler.Provisioning
	// terminated are the names of terminated machines, whose heartbeats may still arrive.
	terminated *lru.Cache[string, bool]

	// unfenced is the number of machines in the registry that may still apply commands of
	// earlier terms.
	unfenced     int
	unfencedCPUs float64
	unfencedGPUs float64
	// unattributedCPUs is the whole capacity of machines that hold tasks of jobs that have
	// ended: against which team's quota they count is not known.
	unattributedCPUs float64

	readIndex    readIndexer
	dependencies dependencyGraph
	// dependencyLists are the records that list the jobs that others depend on.
	dependencyLists dependencyLists
	loans           loans
	// votes are the votes of the other nodes, nil without failover. Once quorumRequired is
	// set, the leader acts only while it has enough of them; quorumLostAt is since when it
	// does not.
	votes          *leasequorum.VoteSet
	quorumRequired bool
	quorumLostAt   time.Time
	downlink       relayDownlink
	recordWriter   *recordwriter.Writer
	autoscaler     *autoscaler.Autoscaler
	counts         counters
	// dispatchUntil is until when the leader searches for free machines that direct commands
	// could give work; commandsInFlight is how many such commands await a response.
	dispatchUntil    time.Time
	commandsInFlight int
	// directFailures is how many direct commands in a row have failed, and
	// nextDirectCommand the earliest time of the next one.
	directFailures    int
	nextDirectCommand time.Time
	// startWithin is the objective for the start of work within a guarantee.
	startWithin time.Duration
	// grace is how long pending tasks are left to machines that suit them better.
	grace time.Duration
	// imageLocations are the CPUs of schedulable machines by the images that they have.
	imageLocations map[string]float64
	// maxFetches is how many images a machine may fetch at the same time now.
	maxFetches int
	// starved is how many jobs have had no start for too long.
	starved        int
	nextScan       time.Time
	nextUsageLog   time.Time
	nextPendingLog time.Time
	detector       *failuredetector.Detector
	// maxDials is the limit of commandsInFlight, and of the detector's probes and resyncs each.
	maxDials int
	// renewalsReadAt is when the leader last read which machines' leases other nodes renew,
	// and renewalRevisions are the versions of those records then.
	renewalsReadAt   time.Time
	renewalRevisions map[string]uint64
}

// terminatedMemory is the fraction of the memory that the names of terminated machines may
// take, and terminatedBytes about the size of one of them.
const (
	terminatedMemory = 1.0 / 32
	terminatedBytes  = 256
)

// newLeaderTerm starts a term, and the load of its records from the store.
func newLeaderTerm(c *Controller, term election.Term, leaseExpiry time.Time) *leaderTerm {
	ctx, cancel := context.WithCancel(context.Background())
	terminated, err := lru.New[string, bool](c.Settings.Site.Limits.Entries(terminatedMemory, terminatedBytes))
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	lt := &leaderTerm{
		c:                c,
		ctx:              ctx,
		cancel:           cancel,
		term:             term,
		leaseExpiry:      leaseExpiry,
		startedAt:        time.Now(),
		jobs:             map[string]*cluster.Job{},
		teams:            map[string]*queue.Team[*cluster.Job]{},
		machines:         map[string]*cluster.Machine{},
		provisioning:     map[string]*autoscaler.Provisioning{},
		terminated:       terminated,
		downlink:         relayDownlink{nodes: map[string]*relayNode{}},
		renewalRevisions: map[string]uint64{},
		imageLocations:   map[string]float64{},
		counts:           newCounters(),
		maxFetches:       maxConcurrentFetches,
		maxDials:         maxConcurrentDials(c.Settings.Site.Limits.FDLimit),
	}
	lt.detector = failuredetector.New(failuredetector.Settings{
		Workers:   c.Settings.Site.Workers,
		MaxDials:  lt.maxDials,
		CanProbe:  c.Prober != nil,
		CanResync: c.CommandSender != nil,
	})
	lt.readIndex.leaderTerm = lt
	lt.recordWriter = recordwriter.New(c.Settings.Site.State, lt.termCompare(), term.Number)
	lt.dependencies.init(lt)
	lt.dependencyLists.leaderTerm = lt
	lt.loans.init(lt)
	lt.autoscaler = autoscaler.New(term.Number, c.Policy, c.Settings.Site.Workers)
	if c.Standby != nil {
		lt.votes = leasequorum.NewVoteSet(c.Standby.VoteLifetime())
	}
	lt.initTeams()
	lt.initStartTimes()
	go lt.loadLoop()
	return lt
}

// initTeams makes the queue of each team.
func (lt *leaderTerm) initTeams() {
	for _, t := range lt.c.Settings.Site.Teams {
		team := &queue.Team[*cluster.Job]{
			Name:      t.Name,
			CPUs:      t.CPUs,
			LimitCPUs: t.LimitCPUs,
			GPUs:      t.GPUs,
			LimitGPUs: t.LimitGPUs,
			Share:     lt.c.Policy.Share(t.Name, max(t.CPUs, t.GPUs, 1)),
		}
		lt.teams[t.Name] = team
		lt.fairShareOrder = append(lt.fairShareOrder, team)
	}
}

// initStartTimes derives startWithin and grace from the objectives. The grace is half a
// heartbeat interval, but no more than a small part of the time in which work within a
// guarantee should start.
func (lt *leaderTerm) initStartTimes() {
	site := lt.c.Settings.Site
	lt.grace = site.Workers.HeartbeatInterval() / 2
	for _, o := range site.Objectives {
		if o.Kind != "guarantee" || o.WithinS <= 0 {
			continue
		}
		lt.grace = min(lt.grace, config.Duration(o.WithinS/5))
		if within := config.Duration(o.WithinS); lt.startWithin == 0 || within < lt.startWithin {
			lt.startWithin = within
		}
	}
}

// termCompare is the condition that fences each transaction of the leader: the term key still
// has the version of this term.
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

// hasEnded reports whether the term is no longer this node's current one. A message of a term
// that has ended must not be applied.
func (lt *leaderTerm) hasEnded() bool { return lt.c.leaderTerm != lt }

// checkTermConflict steps down, and reports true, if a failed transaction shows that another
// term has begun.
func (lt *leaderTerm) checkTermConflict(res kv.Result) bool {
	if !slices.Contains(res.FailedKeys, election.TermKey) {
		return false
	}
	lt.stepDown()
	return true
}

// stepDown ends the term and notifies the election.
func (lt *leaderTerm) stepDown() {
	if lt.hasEnded() {
		return
	}
	lt.c.endTerm()
	select {
	case lt.c.stepDowns <- lt.term.Number:
	default:
	}
}

// sleep waits for d or the end of the context.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// stepDownMsg ends a term from outside the owner goroutine.
type stepDownMsg struct{ leaderTerm *leaderTerm }

func (m stepDownMsg) apply(*Controller) { m.leaderTerm.stepDown() }

// scanInterval is how often the leader goes through all machines and jobs.
const scanInterval = time.Second

// tick does the leader's periodic work. Dispatch, the relay and the scan are skipped while the
// leader may not renew leases, and right after a long process pause.
func (lt *leaderTerm) tick(now time.Time) {
	if !lt.loaded || !lt.c.holdsLease() {
		return
	}
	lt.readIndex.startRound()
	lt.writeRecords(now)
	lt.checkLeaseQuorum(now)
	if lt.hasEnded() {
		return
	}
	lt.loans.tick(now)
	if !lt.mayRenewLeases(now) || lt.detector.DetectPause(lt.machines, now) {
		return
	}
	lt.dispatch(now)
	lt.downlink.tick(lt, now)
	if now.Before(lt.nextScan) {
		return
	}
	lt.nextScan = now.Add(scanInterval)
	lt.deferInfeasible(now)
	lt.updateImageLocations(now)
	lt.scanMachines(now)
	lt.restartStragglers(now)
	if lt.hasLeaseQuorum(now) {
		lt.scaleFleet(now)
	}
	lt.logUsage(now)
	lt.logPending(now)
}

// nextAttempt returns a number that no attempt of any term has.
func (lt *leaderTerm) nextAttempt() uint64 {
	lt.attemptCount++
	return lt.term.Number<<32 | uint64(lt.attemptCount)
}
