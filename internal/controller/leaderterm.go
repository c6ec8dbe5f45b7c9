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

// leaderTerm holds all state of the leader in one term. It is discarded as a whole when the term
// ends, so that no state carries over into a later term.
type leaderTerm struct {
	c           *Controller
	ctx         context.Context
	cancel      context.CancelFunc
	term        election.Term
	leaseExpiry time.Time
	startedAt   time.Time

	// loaded is set once the records of the key-value store are in memory.
	loaded bool
	// cancellationsConfirmedAt is when this leader sent the latest request whose response from the
	// store confirmed that the leader had all cancellations.
	cancellationsConfirmedAt time.Time
	// cancelRevision is the last known version of the cancel key.
	cancelRevision uint64
	attemptCount   uint32

	jobs           map[string]*cluster.Job
	teams          map[string]*queue.Team[*cluster.Job]
	fairShareOrder []*queue.Team[*cluster.Job]
	machines       map[string]*cluster.Machine
	// provisioning holds, by name, the machines that were launched, or listed by the cloud, and
	// have not sent a heartbeat yet.
	provisioning map[string]*autoscaler.ProvisioningMachine
	// terminated holds the names of terminated machines, whose last heartbeats may still arrive.
	terminated *lru.Cache[string, bool]

	// unfenced is the number of machines in the registry that may still apply commands of
	// earlier terms; unfencedCPUs and unfencedGPUs are their capacity.
	unfenced     int
	unfencedCPUs float64
	unfencedGPUs float64
	// unattributed is the total capacity of the machines that hold tasks of jobs which this leader does
	// not know, because they have ended. The teams of these jobs are not known either, so the capacity
	// counts against every team's limit.
	unattributed cluster.UnattributedUsage

	readIndex    readIndexer
	dependencies dependencyGraph
	// dependencyLists manages the records that list the jobs on which other jobs depend.
	dependencyLists dependencyLists
	loans           loans
	// votes holds the votes of the other nodes for this leader's lease; nil without failover.
	votes *leasequorum.VoteSet
	// quorumRequired is set once the leader may start tasks and launch and terminate machines only
	// while it has a quorum of votes.
	quorumRequired bool
	// quorumLostAt is when the leader first noticed that it lacks a quorum of votes. It is zero while
	// there is a quorum, and while none is required because a node does not support it or is
	// unreachable.
	quorumLostAt time.Time
	downlink     relayDownlink
	// queryResponder responds to nodes that cannot reach this one.
	queryResponder queryResponder
	recordWriter   *recordwriter.Writer
	autoscaler     *autoscaler.Autoscaler
	counts         counters
	// dispatchUntil is the time until which the leader looks for machines with free capacity to
	// send start commands to directly.
	dispatchUntil time.Time
	// commandsInFlight is the number of direct command batches without a response yet.
	commandsInFlight int
	// tokensExhausted is set once a machine has been given the last fencing token of the term.
	tokensExhausted bool
	// directFailures is the number of consecutive direct command batches that failed.
	directFailures int
	// nextDirectCommand is the earliest time of the next direct command.
	nextDirectCommand time.Time
	// startObjective is the shortest start time that an objective sets for tasks covered by their
	// team's guarantee; 0 without such an objective.
	startObjective time.Duration
	// placementDelay is how long pending tasks are reserved for machines that suit them better.
	placementDelay time.Duration
	// imageLocations maps each image to the total CPUs of the schedulable machines that have it.
	imageLocations map[string]float64
	// maxFetches is the number of images that a machine may currently fetch at the same time.
	maxFetches int
	// starvedJobs is the number of jobs that have waited longer than starvedAfter without a start.
	starvedJobs    int
	nextScan       time.Time
	nextUsageLog   time.Time
	nextPendingLog time.Time
	detector       *failuredetector.Detector
	// maxDials limits commandsInFlight, the detector's probes and its resyncs, each separately.
	maxDials int
	// renewalsReadAt is when the leader last read the records of the leases that other nodes renew
	// on its behalf.
	renewalsReadAt time.Time
	// renewalRevisions holds the last read version of each lease renewal record, by key.
	renewalRevisions map[string]uint64
}

const (
	// terminatedMemoryFraction is the fraction of the memory limit that the names of terminated
	// machines may take.
	terminatedMemoryFraction = 1.0 / 32
	// terminatedEntryBytes is the approximate size of one such name in memory.
	terminatedEntryBytes = 256
)

// newLeaderTerm creates the state of a term and starts to load the records from the store.
func newLeaderTerm(c *Controller, term election.Term, leaseExpiry time.Time) *leaderTerm {
	ctx, cancel := context.WithCancel(context.Background())
	terminated, err := lru.New[string, bool](
		c.Settings.Site.Limits.MaxEntries(terminatedMemoryFraction, terminatedEntryBytes))
	if err != nil {
		panic(err) // lru.New fails only if the size is not positive, and MaxEntries is always positive
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
		provisioning:     map[string]*autoscaler.ProvisioningMachine{},
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
	lt.autoscaler = autoscaler.New(term.Number, c.Policy, c.Settings.Site.Workers, c.Settings.Site.Cloud)
	if c.Standby != nil {
		lt.votes = leasequorum.NewVoteSet(c.Standby.VoteLifetime())
	}
	lt.initTeams()
	lt.initStartObjectives()
	go lt.loadAndWatch()
	return lt
}

// initTeams creates the queue of each team.
func (lt *leaderTerm) initTeams() {
	for _, t := range lt.c.Settings.Site.Teams {
		team := &queue.Team[*cluster.Job]{
			Name:           t.Name,
			GuaranteedCPUs: t.CPUs,
			LimitCPUs:      t.LimitCPUs,
			GuaranteedGPUs: t.GPUs,
			LimitGPUs:      t.LimitGPUs,
			Share:          lt.c.Policy.Share(t.Name, max(t.CPUs, t.GPUs, 1)),
		}
		lt.teams[t.Name] = team
		lt.fairShareOrder = append(lt.fairShareOrder, team)
	}
}

// initStartObjectives derives startObjective and placementDelay from the objectives. The placement
// delay is half a heartbeat interval, but at most a fifth of startObjective if there is one.
func (lt *leaderTerm) initStartObjectives() {
	site := lt.c.Settings.Site
	lt.placementDelay = site.Workers.HeartbeatInterval() / 2
	for _, o := range site.Objectives {
		if o.Kind != "guarantee" || o.WithinS <= 0 {
			continue
		}
		lt.placementDelay = min(lt.placementDelay, config.Duration(o.WithinS/5))
		if within := config.Duration(o.WithinS); lt.startObjective == 0 || within < lt.startObjective {
			lt.startObjective = within
		}
	}
}

// termCompare returns the condition that fences every transaction of the leader: the term key
// still has the version of this term.
func (lt *leaderTerm) termCompare() kv.Compare {
	return kv.Compare{Key: election.TermKey, ModRevision: lt.term.ModRevision}
}

// sendToOwner sends a message to the owner goroutine, unless the term has ended.
func (lt *leaderTerm) sendToOwner(m message) {
	select {
	case lt.c.mailbox <- m:
	case <-lt.ctx.Done():
	}
}

// hasEnded reports whether this is no longer the node's current term. Messages of an ended term
// must not be applied.
func (lt *leaderTerm) hasEnded() bool { return lt.c.leaderTerm != lt }

// checkTermConflict reports whether a transaction failed because another term has begun, and steps
// down if so.
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

// sleep waits for d or until the context is done.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// stepDownMsg asks the owner goroutine to end a term.
type stepDownMsg struct{ leaderTerm *leaderTerm }

func (m stepDownMsg) apply(*Controller) { m.leaderTerm.stepDown() }

// scanInterval is how often the leader scans all machines and jobs.
const scanInterval = time.Second

// tick does the leader's periodic work. It skips dispatch, the relay and the scan while the leader
// may not renew leases, and in the first tick after a long pause of the process.
func (lt *leaderTerm) tick(now time.Time) {
	if !lt.loaded || !lt.c.holdsLease() {
		return
	}
	lt.readIndex.startRound()
	lt.queryResponder.tick(lt, now)
	lt.writeRecords(now)
	lt.checkLeaseQuorum(now)
	if lt.hasEnded() {
		return
	}
	lt.loans.tick(now)
	lt.renewTokens(now)
	if lt.hasEnded() {
		return
	}
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

// attemptTermShift is the number of bits of an attempt number below that of the term.
const attemptTermShift = 32

// nextAttempt returns an attempt number that is unique across all terms.
func (lt *leaderTerm) nextAttempt() uint64 {
	lt.attemptCount++
	return lt.term.Number<<attemptTermShift | uint64(lt.attemptCount)
}
