package controller

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
)

// Status is the status of a node as shown to operators.
type Status struct {
	Node    string        `json:"node"`
	Leader  string        `json:"leader"`
	Answers AnswerStatus  `json:"answers"`
	Leading *LeaderStatus `json:"leading,omitempty"`
}

// LeaderStatus is the part of the status that only the leader has. Its JSON names must not change;
// see docs/glossary.md.
type LeaderStatus struct {
	Term uint64 `json:"term"`
	// ValidS is the number of seconds for which the leader lease is still valid.
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
	// FirstToken is the first fencing token of the term.
	FirstToken uint64 `json:"first_token"`
	// StartsRejected is the number of direct starts that were not applied.
	StartsRejected int64 `json:"starts_rejected"`
	// TokensRaised is how often a machine's fencing token was raised so that an attempt could be
	// reaped, and ReapsWithheld how often that was not possible yet.
	TokensRaised  int64 `json:"tokens_raised"`
	ReapsWithheld int64 `json:"reaps_withheld"`
	// StartedAgain is the number of attempts of this term that a machine reported although the
	// leader no longer knew them.
	StartedAgain int64 `json:"started_again"`
	// Waits is the number of jobs that wait for their first start, by pending reason.
	Waits      map[string]int `json:"waits"`
	FirstStart Latency        `json:"first_start_ms"`
	Recorded   Latency        `json:"recorded_ms"`
	// Quorum is the state of the lease quorum; nil without failover.
	Quorum *QuorumStatus `json:"grants,omitempty"`
	// Cells holds the loans to and from other cells; nil if no neighbours are configured.
	Cells *CellsStatus `json:"cells,omitempty"`
}

// QuorumStatus is the state of a leader's lease quorum.
type QuorumStatus struct {
	// Required is set if the leader may act only while it has a lease quorum.
	Required bool `json:"bound"`
	// Held is set if the leader currently has a lease quorum.
	Held bool `json:"held"`
}

// TeamStatus is one team's queue and resource usage.
type TeamStatus struct {
	Name      string  `json:"name"`
	Jobs      int     `json:"jobs"`
	Waiting   int     `json:"waiting_tasks"`
	UsedCPUs  float64 `json:"used_cpus"`
	CPUs      float64 `json:"guaranteed_cpus"`
	LimitCPUs float64 `json:"limit_cpus"`
}

// Latency summarizes a latency histogram, in milliseconds.
type Latency struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P95   int64 `json:"p95"`
	Max   int64 `json:"max"`
}

// counters holds the leader's statistics since its term began.
type counters struct {
	started, lost, done int64
	// startsRejected counts the direct starts that were not applied, tokensRaised how often a
	// machine's fencing token was raised within the term, and reapsWithheld how often an attempt was
	// not reaped because its machine's token could not be raised. startedAgain counts the attempts of
	// this term that a machine reported although the leader no longer knew them.
	startsRejected, tokensRaised, reapsWithheld, startedAgain int64

	firstStart, recorded *hdrhistogram.Histogram
}

// maxLatency is the largest value of the histograms. Longer latencies are recorded as this value.
const maxLatency = 10 * time.Minute

func newCounters() counters {
	newHistogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatency.Milliseconds(), 2) }
	return counters{firstStart: newHistogram(), recorded: newHistogram()}
}

// recordLatency adds a duration to a histogram, clamped to its range.
func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	// RecordValue fails only for values out of range.
	_ = h.RecordValue(min(max(d.Milliseconds(), 1), h.HighestTrackableValue()))
}

// summarizeLatency returns the summary of a histogram for the status.
func summarizeLatency(h *hdrhistogram.Histogram) Latency {
	return Latency{
		Count: h.TotalCount(),
		P50:   h.ValueAtQuantile(50),
		P95:   h.ValueAtQuantile(95),
		Max:   h.Max(),
	}
}

// Status implements api.Backend.
func (c *Controller) Status(ctx context.Context) (any, error) {
	m := statusMsg{make(chan Status, 1)}
	s, err := request(ctx, c, m, m.reply)
	if err != nil {
		return nil, err
	}
	return s, nil
}

// statusMsg requests this node's status.
type statusMsg struct{ reply chan Status }

func (m statusMsg) apply(c *Controller) {
	s := Status{Node: c.Settings.Node, Leader: c.leader, Answers: c.answerStatus()}
	if c.leaderTerm != nil {
		s.Leading = c.leaderTerm.status(time.Now())
	}
	m.reply <- s
}

// status returns the status of the leader.
func (lt *leaderTerm) status(now time.Time) *LeaderStatus {
	s := &LeaderStatus{
		Term:     lt.term.Number,
		ValidS:   max(0, lt.leaseExpiry.Sub(now).Seconds()),
		Machines: len(lt.machines),
		Unfenced: lt.unfenced,
		Booting:  len(lt.provisioning),
		Started:  lt.counts.started,
		Lost:     lt.counts.lost,
		Done:     lt.counts.done,

		FirstToken:     lt.term.Tokens().First,
		StartsRejected: lt.counts.startsRejected,
		TokensRaised:   lt.counts.tokensRaised,
		ReapsWithheld:  lt.counts.reapsWithheld,
		StartedAgain:   lt.counts.startedAgain,

		FirstStart: summarizeLatency(lt.counts.firstStart),
		Recorded:   summarizeLatency(lt.counts.recorded),
	}
	s.Waits, _ = lt.pendingReasons(now)
	s.Cells = lt.loans.status(now)
	if lt.c.Standby != nil {
		s.Quorum = &QuorumStatus{Required: lt.quorumRequired, Held: lt.hasVoteQuorum(now)}
	}
	for _, m := range lt.machines {
		s.CPUs += m.CPUs
		s.UsedCPUs += m.UsedCPUs
		switch {
		case m.Phase() != cluster.Active:
			s.Evacuating++
		case m.Draining:
			s.Draining++
		}
	}
	for _, t := range lt.c.Settings.Site.Teams {
		s.Teams = append(s.Teams, lt.teamStatus(t.Name))
	}
	return s
}

// teamStatus returns the status of a team.
func (lt *leaderTerm) teamStatus(name string) TeamStatus {
	team := lt.teams[name]
	s := TeamStatus{
		Name:      name,
		Jobs:      len(team.Items()),
		UsedCPUs:  team.UsedCPUs,
		CPUs:      team.GuaranteedCPUs,
		LimitCPUs: team.LimitCPUs,
	}
	for _, j := range team.Items() {
		s.Waiting += j.Flight.Untaken()
	}
	return s
}

var _ api.Backend = (*Controller)(nil)
