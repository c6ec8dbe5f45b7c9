package controller

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/bits-and-blooms/bitset"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/flight"
	"example.org/ivytrestle/internal/loan"
	"example.org/ivytrestle/internal/queue"
	"example.org/ivytrestle/internal/records"
)

// job is an active job in the leader's memory.
type job struct {
	spec        api.JobSpec
	modRevision uint64
	accepted    time.Time
	// runnableSince is from when on its user expects it to run: when it was accepted, or
	// when the last job that it needs was done.
	runnableSince time.Time
	// dependsOn are the jobs that are to be done before it starts; while there are
	// any, or while its cancellation with one of them is pending, it is in no queue.
	dependsOn     map[string]bool
	cancelPending bool
	// dependencyList tells which records list what it awaits, if its own does not;
	// dependenciesRead is set once they are read.
	dependencyList   *records.DependencyList
	dependenciesRead bool
	// lastDependencyEnd is when the last of the awaited jobs that are done was done.
	lastDependencyEnd time.Time
	// dependentDeadlines is when it should be complete for those that need it.
	dependentDeadlines []time.Time
	// objectives are when the job should be complete, by the aims of its class;
	// latest is when to begin to meet the next that can still be met.
	objectives  []time.Time
	latestStart time.Time
	infeasible  bool
	// startBy is when its tasks should have started, if the aims say so.
	startBy time.Time
	// starved is set while none of its tasks has begun for too long.
	starved    bool
	load       queue.Load
	rank       int
	preference float64
	team       *queue.Team[*job]

	flight *flight.Flight
	// activeAttempts holds for each task that may be on a machine its current attempt.
	activeAttempts map[int]*attempt
	// done is what has completed; durable is the part of it on record.
	done      *bitset.BitSet
	doneCount int
	recorded  *bitset.BitSet
	// completionChunks are the progress records written, by their first task.
	completionChunks map[int]bool
	// chunkSizes is how many tasks they may speak of, and moving what has to be on
	// record elsewhere before one is written over by a shorter one.
	chunkSizes      map[int]int
	moving          map[int]*bitset.BitSet
	completionDirty bool

	runs      jobRuns
	zones     map[string]int
	restarted map[int]bool
	excluded  map[int]string
	// failuresByMachine counts failures by machine; backoffUntil keeps a job that fails
	// everywhere from eating the machines.
	failuresByMachine map[string]int
	failureRounds     int
	backoffUntil      time.Time

	// waitingSince is when tasks of the job last began to wait, and passed when a
	// machine without its image first passed it over since its last start.
	waitingSince, skippedSince time.Time
	// capacity is where the fleet has room for it, as last looked at.
	capacity capacity
	// What the log says of a job at its end.
	lostTasks             int
	firstStart, lastStart time.Time
	longest               time.Duration

	// lent is set while the job is lent to another cell, and guest if it runs here for
	// one. handover is set while a transaction that moves it is queued or on its way.
	lent     *loan.Lent
	guest    *loan.Guest
	handover bool
	// remote is how a lent job stands, reclaimRequested is set while it is called back, and
	// reserved is what it counts for in its team's limit.
	remote           loan.State
	reclaimRequested bool
	reservedBudget   loan.Budget
	// loanCount is how often it was lent, and lastReclaimed when cells last gave it back.
	loanCount     int
	lastReclaimed map[string]time.Time

	finishing bool
	// ending is set once a transaction that records its end may be on its way.
	ending bool
	ended  bool
}

// Rank, Latest and ID make a job an item of its team's queue.
func (j *job) Rank() int              { return j.rank }
func (j *job) LatestStart() time.Time { return j.latestStart }

// Preference makes a job an item of its team's queue.
func (j *job) Preference() float64 { return j.preference }

// Feasibility makes a job an item of its team's queue.
func (j *job) Feasibility() queue.Feasibility {
	switch {
	case j.infeasible:
		return queue.Infeasible
	case j.load.Defer:
		return queue.Deferred
	}
	return queue.Feasible
}
func (j *job) ID() string { return j.spec.ID }

// updateFeasibility finds the next aim that can still be met by starting now.
func (j *job) updateFeasibility(now time.Time) {
	est := j.spec.Estimate()
	for _, aim := range j.objectives {
		j.latestStart = aim.Add(-est)
		if !now.After(j.latestStart) {
			j.infeasible = false
			return
		}
	}
	j.infeasible = true
}

// runsPerCPU is how many tasks of the job a CPU could run one after the other from some
// time on, so that the last still ends by the job's next aim. It is 1 where there is
// no time for a second, and where the aims say when every task should have started.
func (j *job) runsPerCPU(from time.Time) float64 {
	estimate := j.spec.Estimate()
	if !j.startBy.IsZero() || estimate <= 0 {
		return 1
	}
	return 1 + max(0, j.latestStart.Sub(from).Seconds()/estimate.Seconds())
}

// started tells whether any task has begun or is about to.
func (j *job) started() bool {
	return len(j.activeAttempts) > 0 || j.doneCount > 0 || !j.firstStart.IsZero()
}

// sinceRunnable is how long after its acceptance something happened to the job, for the
// log; 0 if this leader has not seen it.
func (j *job) sinceRunnable(at time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	return at.Sub(j.runnableSince).Round(time.Second / 10)
}

// starving tells whether the job gives way to others although it has waited long.
func (j *job) starving(now time.Time) bool {
	return (j.infeasible || j.load.Defer) && now.Sub(j.runnableSince) > starvingAfter
}

func (j *job) taskRef(task int) string { return j.spec.ID + "/" + strconv.Itoa(task) }

// splitRef is the reverse of taskRef.
func splitRef(ref string) (id string, task int, ok bool) {
	id, num, ok := strings.Cut(ref, "/")
	if !ok {
		return "", 0, false
	}
	task, err := strconv.Atoi(num)
	return id, task, err == nil && task >= 0
}

func (j *job) state() api.JobState {
	if j.lent != nil {
		st := api.JobState{ID: j.spec.ID, Phase: api.JobPending, Done: j.remote.Done, Running: j.remote.Running, Cell: j.lent.Host}
		if j.remote.Phase == loan.PhaseStarted {
			st.Phase = api.JobRunning
		}
		return st
	}
	st := api.JobState{ID: j.spec.ID, Phase: api.JobPending, Done: j.doneCount}
	for _, a := range j.activeAttempts {
		if a.phase == api.TaskRunning || a.phase == api.TaskSaving {
			st.Running++
		}
	}
	st.DependsOn = j.unfinishedDependencies()
	if st.Running > 0 || st.Done > 0 {
		st.Phase = api.JobRunning
	}
	return st
}

// attemptKey names an attempt on its machine.
type attemptKey struct {
	ref string
	id  uint64
}

// attempt is one try at a task on one machine.
type attempt struct {
	key     attemptKey
	machine *machine
	// job is nil for an attempt whose job is not active: its team is not
	// known, so the whole machine counts as in use.
	job  *job
	task int
	// phase is the worker's, or "" while only the order has been sent.
	phase string
	// sentAgentEpoch is the session in which the start was ordered.
	sentAgentEpoch uint64
	sentAt         time.Time
	runningAt      time.Time
	// unmeasured is set if the machine was out of hearing during the run.
	unmeasured bool
	stop       *stopOrder
	// direct is set if the start was sent straight to the machine.
	direct *directCommand
	exited bool
	// lastSeenIn is the last of the machine's reports that showed the attempt.
	lastSeenIn int
	// exitHandled is set once the exit has been handled.
	exitHandled bool
}

// startInFlight tells whether the answer with the start may still be on its way to
// the worker. Only a report of its own shows that it is not, or a new session.
func (a *attempt) startInFlight(hb *api.Heartbeat) bool {
	return a.lastSeenIn == 0 && a.sentAgentEpoch == hb.AgentEpoch
}

type stopOrder struct {
	grace time.Duration
	since time.Time
}

type registrationState int

const (
	unregistered registrationState = iota
	registering
	registered
)

// machine is a rented machine that has reported or is on the roster.
type machine struct {
	name, addr string
	typ        string
	zone       string
	spot       bool
	cpus, gpus float64
	memory     float64

	usedCPUs, usedGPUs, usedMemory float64

	agentEpoch, heartbeatSeq uint64
	// heartbeats counts the reports processed.
	heartbeats int
	// lastCommands are the orders of the last answer. unheeded counts the reports in
	// a row that showed none of their orders carried out, and the sessions
	// that ended although the machine was answered: answers do not reach it.
	lastCommands       []api.Command
	lastCommandsAt     time.Time
	unappliedResponses int
	registration       registrationState
	shard              *shard
	// fenced is set once the machine reports with this term: from then on it
	// carries out no earlier leader's orders.
	fenced   bool
	lastSeen time.Time
	// lastHeartbeat is when the last report came.
	lastHeartbeat time.Time
	// nextProbe and probeFails belong to the watch over silent machines.
	nextProbe  time.Time
	probeFails int
	// commandInFlight is set while orders are on their way straight to the machine.
	commandInFlight bool
	// relayPending keeps new tasks off while orders for it are on their way through the
	// state service.
	relayPending bool
	// lastForwarded is set if its last report was passed on by another node: it may
	// be out of this node's reach.
	lastForwarded bool
	// redirectedAt is when the machine was last told to report to a nearer node.
	redirectedAt time.Time
	// leaseRenewedUntil is until when another node is known to extend its leases.
	leaseRenewedUntil time.Time
	addedAt           time.Time
	idleSince         time.Time
	preemptAt         time.Time

	attempts map[attemptKey]*attempt
	// unattributed counts tasks whose team is not known; unattributedCPUs is what the
	// machine adds to unattributedTotal for them.
	unattributed      int
	unattributedCPUs  float64
	unattributedTotal *float64
	images            imageCache
	// fetching are the images that tasks on the machine wait for.
	fetching map[string]bool

	// draining machines get no tasks while there is room elsewhere; unlike
	// leaving ones they are taken back into use when that room is needed.
	draining    bool
	evacuating  bool
	terminating bool
	reason      string

	// slowdown is how long runs take here against elsewhere, over minMeasuredRuns.
	slowdown     float64
	measuredRuns int

	errorJobs      map[string]int
	cordonedUntil  time.Time
	cordonDuration time.Duration
	terminated     bool
}

func (m *machine) freeCPUs() float64 { return m.cpus - m.usedCPUs }

const epsilon = 1e-6

func (m *machine) fits(s *api.JobSpec) bool {
	return len(m.attempts) < maxAttempts && m.usedCPUs+s.CPUs <= m.cpus+epsilon && m.usedGPUs+s.GPUs <= m.gpus+epsilon &&
		m.usedMemory+s.MemoryGB <= m.memory+epsilon
}

// maxAttempts bounds what is on a machine, and so its report: one that does not
// fit a request's body of 64 KiB cannot be sent, and all tasks would end with the
// lease. Only tasks that take next to nothing of a machine come that many.
const maxAttempts = 450

// slots is how many more tasks of a job the machine has room for.
func (m *machine) slots(s *api.JobSpec) int {
	n := float64(max(0, maxAttempts-len(m.attempts)))
	for _, f := range []struct{ free, each float64 }{
		{m.cpus - m.usedCPUs, s.CPUs}, {m.gpus - m.usedGPUs, s.GPUs}, {m.memory - m.usedMemory, s.MemoryGB},
	} {
		if f.each > 0 {
			n = min(n, math.Floor(f.free/f.each+epsilon))
		}
	}
	return int(min(n, api.MaxTasks))
}

// updateFetching finds the images that the machine is fetching.
func (m *machine) updateFetching() {
	m.fetching = map[string]bool{}
	for _, a := range m.attempts {
		if a.exited || a.job == nil || (a.phase != "" && a.phase != api.TaskPulling) {
			continue
		}
		if !m.images.has(a.job.spec.Image) {
			m.fetching[a.job.spec.Image] = true
		}
	}
}

// canFetch tells whether the machine has an image, or may begin to fetch it
// beside at most others.
func (m *machine) canFetch(image string, most int) bool {
	return m.images.has(image) || m.fetching[image] || len(m.fetching) < most
}

// isSchedulable tells whether the machine may be given tasks.
func (m *machine) isSchedulable(now time.Time) bool {
	return m.fenced && m.registration == registered && !m.draining && !m.evacuating && !m.terminated && !m.relayPending && m.cpus > 0 &&
		m.preemptAt.IsZero() && m.unattributed == 0 && !now.Before(m.cordonedUntil)
}

// countUnattributed counts tasks whose team is not known, and keeps the sum of the
// capacity that they may use.
func (m *machine) countUnattributed(n int) {
	m.unattributed += n
	held := 0.0
	if m.unattributed > 0 {
		held = m.cpus
	}
	*m.unattributedTotal += held - m.unattributedCPUs
	m.unattributedCPUs = held
}

// reserve adds an attempt's resources to its machine, team and job, or takes
// them off again with sign -1.
func (a *attempt) reserve(sign float64) {
	if a.job == nil {
		a.machine.countUnattributed(int(sign))
		return
	}
	s, m, t := &a.job.spec, a.machine, a.job.team
	m.usedCPUs += sign * s.CPUs
	m.usedGPUs += sign * s.GPUs
	m.usedMemory += sign * s.MemoryGB
	t.UsedCPUs += sign * s.CPUs
	t.UsedGPUs += sign * s.GPUs
	a.job.zones[m.zone] += int(sign)
}
