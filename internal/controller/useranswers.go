package controller

import (
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"example.org/ivytrestle/internal/api"
)

// userRequest is the kind of a user's request about a job.
type userRequest string

// The kinds of requests whose answers userAnswers decides.
const (
	submitRequest userRequest = "submit"
	// repeatRequest is a submission that is to be rejected unless its job is known.
	repeatRequest userRequest = "repeat"
	pollRequest   userRequest = "poll"
	cancelRequest userRequest = "cancel"
)

// answerSource is where the answer to a request was found.
type answerSource string

// The sources of answers.
const (
	fromMemory  answerSource = "memory"
	fromLeader  answerSource = "leader"
	fromStore   answerSource = "store"
	fromPeer    answerSource = "peer"
	fromMachine answerSource = "machine"
)

// userAnswers decides what the users of this node are told about jobs. It is the only source of a
// job's state, of "unknown", and so of every permanent rejection, which requires that the job is
// unknown. It remembers the jobs that this node has acknowledged: none of them may be called unknown
// later. Methods may be called by any goroutine.
type userAnswers struct {
	log *slog.Logger
	// acknowledged holds the last jobs that this node has called accepted, in whatever state.
	acknowledged *lru.Cache[string, struct{}]
	counts       answerCounters

	mu sync.Mutex
	// failing holds the jobs whose last poll, or repeated submission, failed.
	failing *lru.Cache[string, *failingPolls]
	// failingLoggedAt is when failing polls of any job were last logged.
	failingLoggedAt time.Time
}

// failingPolls describes the failed polls of a job since the last one that was answered.
type failingPolls struct {
	since time.Time
	count int
}

// answerCounters counts the answers since the process began.
type answerCounters struct {
	answered, unknown, rejected, unavailable, contradictions atomic.Int64
	// unknownPhases and assumedPhases are those of PhaseStatus.
	unknownPhases, assumedPhases atomic.Int64
	// checkedCancels, finishedCancels and undecidedCancels are those of CancellationStatus.
	checkedCancels, finishedCancels, undecidedCancels atomic.Int64
}

const (
	// maxAcknowledgedJobs and maxFailingJobs bound the memory of userAnswers.
	maxAcknowledgedJobs = 8192
	maxFailingJobs      = 4096
	// failingPollsLogDelay is for how long polls of a job must fail to be logged.
	failingPollsLogDelay = 30 * time.Second
	// failingPollsLogInterval is the least time between two such log lines.
	failingPollsLogInterval = 10 * time.Second
)

func newUserAnswers(log *slog.Logger) *userAnswers {
	acknowledged, err := lru.New[string, struct{}](maxAcknowledgedJobs)
	if err != nil {
		panic(err) // lru.New fails only for a size that is not positive
	}
	failing, err := lru.New[string, *failingPolls](maxFailingJobs)
	if err != nil {
		panic(err)
	}
	return &userAnswers{log: log, acknowledged: acknowledged, failing: failing}
}

// pendingAnswer is a request that has not been answered yet.
type pendingAnswer struct {
	answers *userAnswers
	request userRequest
	id      string
	// acknowledged is set if the job had been called accepted when the request arrived.
	acknowledged bool
	// failingSince is when the first of the polls failed that have not been answered since, or zero.
	failingSince time.Time
}

// begin notes the arrival of a request. It must be called before anything is read for the answer.
func (a *userAnswers) begin(request userRequest, id string) pendingAnswer {
	p := pendingAnswer{answers: a, request: request, id: id, acknowledged: a.acknowledged.Contains(id)}
	a.mu.Lock()
	defer a.mu.Unlock()
	if polls, ok := a.failing.Peek(id); ok {
		p.failingSince = polls.since
	}
	return p
}

// decide returns the answer to a request about a job, whose state or error was found at a source. If
// a job that this node has acknowledged was not found, it returns api.ErrUnavailable.
func (p pendingAnswer) decide(source answerSource, state api.JobState, err error) (api.JobState, error) {
	a := p.answers
	switch {
	case err == nil:
		a.acknowledged.Add(p.id, struct{}{})
		a.counts.answered.Add(1)
		a.pollAnswered(p.id)
	case errors.Is(err, api.ErrUnknownJob):
		return state, p.decideUnknown(source, err)
	case !isUnschedulable(err): // else the job is yet to be looked up, as repeatRequest
		a.counts.unavailable.Add(1)
		if errors.Is(err, errPhaseUnknown) {
			a.counts.unknownPhases.Add(1)
		}
		p.pollFailed(err)
	}
	return state, err
}

// decideUnknown returns the error of a request for a job that was not found.
func (p pendingAnswer) decideUnknown(source answerSource, err error) error {
	a := p.answers
	if p.acknowledged {
		p.contradicted(source)
		return api.ErrUnavailable
	}
	if p.request == repeatRequest {
		a.counts.rejected.Add(1)
	} else {
		a.counts.unknown.Add(1)
	}
	a.log.Debug("job unknown", "job", p.id, "request", p.request, "source", source)
	return err
}

// contradicted notes that a job which this node has acknowledged was not found.
func (p pendingAnswer) contradicted(source answerSource) {
	p.answers.counts.contradictions.Add(1)
	p.answers.log.Error("acknowledged job not found", "job", p.id, "request", p.request, "source", source)
}

func isUnschedulable(err error) bool {
	var unschedulable *api.UnschedulableError
	return errors.As(err, &unschedulable)
}

// pollAnswered notes that a question about a job was answered.
func (a *userAnswers) pollAnswered(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.failing.Len() > 0 {
		a.failing.Remove(id)
	}
}

// pollFailed notes a failed poll, or a repeated submission that failed as the job's phase is not known. It
// logs a job whose requests have failed for failingPollsLogDelay, one of them at a time.
func (p pendingAnswer) pollFailed(err error) {
	if p.request != pollRequest && !errors.Is(err, errPhaseUnknown) {
		return
	}
	a := p.answers
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	polls, ok := a.failing.Get(p.id)
	if !ok {
		polls = &failingPolls{since: now}
		a.failing.Add(p.id, polls)
	}
	polls.count++
	if now.Sub(polls.since) < failingPollsLogDelay || now.Sub(a.failingLoggedAt) < failingPollsLogInterval {
		return
	}
	a.failingLoggedAt = now
	a.log.Info("polls of a job keep failing", "job", p.id, "count", polls.count, "since", polls.since,
		"acknowledged", p.acknowledged, "failingJobs", a.failing.Len(), "err", err)
}
