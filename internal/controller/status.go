package controller

import (
	"context"
	"log/slog"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"example.org/ivytrestle/internal/api"
)

// Status is the operators' view of a node.
type Status struct {
	Node    string        `json:"node"`
	Leader  string        `json:"leader"`
	Leading *LeaderStatus `json:"leading,omitempty"`
}

// LeaderStatus is what only the leader knows.
type LeaderStatus struct {
	Term       uint64       `json:"term"`
	ValidS     float64      `json:"valid_s"`
	Machines   int          `json:"machines"`
	Unfenced   int          `json:"unheard"`
	Draining   int          `json:"draining"`
	Evacuating int          `json:"leaving"`
	Booting    int          `json:"booting"`
	CPUs       float64      `json:"cpus"`
	UsedCPUs   float64      `json:"used_cpus"`
	Teams      []TeamStatus `json:"teams"`
	Started    int64        `json:"started"`
	Lost       int64        `json:"lost"`
	Done       int64        `json:"done"`
	// Waits is how many jobs wait for their first start, by why.
	Waits      map[string]int `json:"waits"`
	FirstStart Latency        `json:"first_start_ms"`
	Recorded   Latency        `json:"recorded_ms"`
	// Quorum tell whether the leader decides by the grants of others, if that is on.
	Quorum *QuorumStatus `json:"grants,omitempty"`
	// Cells are the loans to and from other cells, if there are any.
	Cells *CellsStatus `json:"cells,omitempty"`
}

// QuorumStatus tells whether a leader decides only while it is granted that, and whether
// it is at present.
type QuorumStatus struct {
	Required bool `json:"bound"`
	Held     bool `json:"held"`
}

// TeamStatus is one team's queue and use.
type TeamStatus struct {
	Name      string  `json:"name"`
	Jobs      int     `json:"jobs"`
	Waiting   int     `json:"waiting_tasks"`
	UsedCPUs  float64 `json:"used_cpus"`
	CPUs      float64 `json:"guaranteed_cpus"`
	LimitCPUs float64 `json:"limit_cpus"`
}

// Latency sums up a histogram, in milliseconds.
type Latency struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P95   int64 `json:"p95"`
	Max   int64 `json:"max"`
}

// counters are the leader's counts since its term began.
type counters struct {
	started, lost, done  int64
	firstStart, recorded *hdrhistogram.Histogram
}

// maxLatency bounds the histograms.
const maxLatency = 10 * time.Minute

func newCounters() counters {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatency.Milliseconds(), 2) }
	return counters{firstStart: h(), recorded: h()}
}

// record adds a time to a histogram, cut to its bounds.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	// The bounds are the histogram's own, so this cannot fail.
	_ = h.RecordValue(min(max(d.Milliseconds(), 1), h.HighestTrackableValue()))
}

func summarizeLatency(h *hdrhistogram.Histogram) Latency {
	return Latency{h.TotalCount(), h.ValueAtQuantile(50), h.ValueAtQuantile(95), h.Max()}
}

// Status implements api.Backend.
func (c *Controller) Status(ctx context.Context) (any, error) {
	m := statusMsg{make(chan Status, 1)}
	if err := c.send(ctx, m); err != nil {
		return nil, err
	}
	s, err := await(ctx, c, m.reply)
	if err != nil {
		return nil, err
	}
	return s, nil
}

type statusMsg struct{ reply chan Status }

func (m statusMsg) apply(c *Controller) {
	s := Status{Node: c.Settings.Node, Leader: c.leader}
	if c.leaderTerm != nil {
		s.Leading = c.leaderTerm.status(time.Now())
	}
	m.reply <- s
}

func (lt *leaderTerm) status(now time.Time) *LeaderStatus {
	s := &LeaderStatus{Term: lt.term.Number, ValidS: max(0, lt.leaseExpiry.Sub(now).Seconds()), Machines: len(lt.machines),
		Unfenced: lt.unfenced, Booting: len(lt.provisioning), Started: lt.counts.started, Lost: lt.counts.lost,
		Done: lt.counts.done, FirstStart: summarizeLatency(lt.counts.firstStart), Recorded: summarizeLatency(lt.counts.recorded)}
	s.Waits, _ = lt.pendingReasons(now)
	s.Cells = lt.loans.status(now)
	if lt.c.Standby != nil {
		s.Quorum = &QuorumStatus{Required: lt.quorumRequired, Held: lt.voteQuorum(now)}
	}
	for _, m := range lt.machines {
		s.CPUs += m.cpus
		s.UsedCPUs += m.usedCPUs
		switch {
		case m.evacuating:
			s.Evacuating++
		case m.draining:
			s.Draining++
		}
	}
	for _, t := range lt.c.Settings.Site.Teams {
		q := lt.teams[t.Name]
		ts := TeamStatus{Name: t.Name, Jobs: len(q.Items()), UsedCPUs: q.UsedCPUs, CPUs: q.CPUs, LimitCPUs: q.LimitCPUs}
		for _, j := range q.Items() {
			ts.Waiting += j.flight.Untaken()
		}
		s.Teams = append(s.Teams, ts)
	}
	return s
}

// pendingReason says why a job's next task is on no machine.
func (lt *leaderTerm) pendingReason(j *job, now time.Time) string {
	s := &j.spec
	switch {
	case j.lent != nil || j.handover:
		return "lent to another cell"
	case j.guest != nil:
		return "guest"
	case j.cancelPending:
		return "cancelled with another"
	case len(j.dependsOn) > 0:
		return "awaits others"
	case now.Before(j.backoffUntil):
		return "fails everywhere"
	case lt.unfenced > 0 && j.modRevision <= lt.term.ModRevision:
		return "takeover"
	case !j.team.Allowed(s.CPUs, s.GPUs, lt.unfencedCPUs+lt.unattributedCPUs, lt.unfencedGPUs):
		return "team limit"
	case j.load.Defer || j.infeasible:
		return "gives way"
	}
	return "no room"
}

// pendingReasons counts the jobs that wait for their first start, by why, and returns the
// one that has waited longest.
func (lt *leaderTerm) pendingReasons(now time.Time) (counts map[string]int, oldest *job) {
	counts = map[string]int{}
	for _, j := range lt.jobs {
		if j.finishing || j.started() || j.flight.Untaken() == 0 {
			continue
		}
		counts[lt.pendingReason(j, now)]++
		if len(j.dependsOn) > 0 || j.lent != nil || j.guest != nil {
			continue // not for room
		}
		if oldest == nil || j.runnableSince.Before(oldest.runnableSince) {
			oldest = j
		}
	}
	return counts, oldest
}

// The log tells why work waits every pendingLogInterval while a job has waited for
// longer than longPending.
const (
	pendingLogInterval = 15 * time.Second
	longPending        = 20 * time.Second
)

// logPending tells why work waits.
func (lt *leaderTerm) logPending(now time.Time) {
	if now.Before(lt.nextPendingLog) {
		return
	}
	lt.nextPendingLog = now.Add(pendingLogInterval)
	counts, oldest := lt.pendingReasons(now)
	if oldest == nil || now.Sub(oldest.runnableSince) < longPending {
		return
	}
	lt.c.Log.Info("work waits", "jobs", counts, "longest", oldest.spec.ID, "class", oldest.spec.Class, "team", oldest.spec.Team,
		"for", now.Sub(oldest.runnableSince).Round(time.Second), "why", lt.pendingReason(oldest, now))
}

// usageLogInterval is how often the log tells how the fleet is used.
const usageLogInterval = 5 * time.Second

// logUsage tells at debug what the fleet's CPUs are doing and how much waits.
func (lt *leaderTerm) logUsage(now time.Time) {
	if now.Before(lt.nextUsageLog) || !lt.c.Log.Enabled(lt.ctx, slog.LevelDebug) {
		return
	}
	lt.nextUsageLog = now.Add(usageLogInterval)
	var total, open, running, pulling, ordered, saving, kept float64
	for _, m := range lt.machines {
		total += m.cpus
		if m.isSchedulable(now) {
			open += m.cpus
		}
		for _, a := range m.attempts {
			switch {
			case a.job == nil:
			case a.exited:
				kept += a.job.spec.CPUs
			case a.phase == api.TaskRunning:
				running += a.job.spec.CPUs
			case a.phase == api.TaskPulling:
				pulling += a.job.spec.CPUs
			case a.phase == api.TaskSaving:
				saving += a.job.spec.CPUs
			default:
				ordered += a.job.spec.CPUs
			}
		}
	}
	waiting := map[string]float64{}
	for _, j := range lt.jobs {
		waiting[j.spec.Class] += float64(j.flight.Untaken()) * j.spec.CPUs
	}
	lt.c.Log.Debug("fleet use", "machines", len(lt.machines), "unheard", lt.unfenced, "expected", len(lt.provisioning), "cpus", total, "open", open,
		"running", running, "pulling", pulling, "ordered", ordered, "saving", saving, "kept", kept, "jobs", len(lt.jobs), "waiting", waiting)
}

var _ api.Backend = (*Controller)(nil)
