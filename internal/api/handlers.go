package api

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	fast "github.com/segmentio/encoding/json"
)

// Errors of a Backend.
var (
	// ErrUnavailable means that the node cannot serve the request at the moment.
	ErrUnavailable = errors.New("not available just now")
	// ErrUnknownJob means that no job of this ID was accepted.
	ErrUnknownJob = errors.New("unknown job")
)

// UnschedulableError gives the reason why no machine could ever run a job.
type UnschedulableError struct{ Reason string }

// Error implements error; users see the text.
func (e *UnschedulableError) Error() string { return "the job can never run: " + e.Reason }

// NotLeaderError redirects a worker agent to the leader; Leader is empty if it is not known.
type NotLeaderError struct{ Leader string }

// Error implements error.
func (e *NotLeaderError) Error() string { return "not the leader" }

// Backend serves the requests that the handlers decode.
type Backend interface {
	// Submit accepts a job; created is unset if it was accepted before.
	Submit(ctx context.Context, spec *JobSpec) (st JobState, created bool, err error)
	// RecordedJob reads the state of a job whose repeated submission is invalid.
	RecordedJob(ctx context.Context, id string) (JobState, error)
	// Job reads the state of a job.
	Job(ctx context.Context, id string) (JobState, error)
	// Cancel cancels a job and returns its state.
	Cancel(ctx context.Context, id string) (JobState, error)
	// Heartbeat applies a worker agent's heartbeat and returns its commands.
	Heartbeat(ctx context.Context, hb *Heartbeat) (HeartbeatResponse, error)
	// Ready reports whether the node passes its health check.
	Ready() bool
	// Status returns the operators' view of the node.
	Status(ctx context.Context) (any, error)
}

// Timeouts of the senders, less the time that a response takes to reach them.
const (
	submitTimeout = 2500 * time.Millisecond
	pollTimeout   = 1500 * time.Millisecond
	cancelTimeout = 3 * time.Second
)

// Handler serves users, worker agents and health checks.
func Handler(b Backend, log *slog.Logger) http.Handler {
	s := &server{
		backend:     b,
		log:         log,
		submitSlots: make(chan struct{}, maxSubmits),
		pollSlots:   make(chan struct{}, maxPolls),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/jobs", s.withSlot(s.submitSlots, s.submitJob))
	mux.HandleFunc("GET /api/jobs/{id}", s.withSlot(s.pollSlots, s.getJob))
	mux.HandleFunc("POST /api/jobs/{id}/abort", s.withSlot(s.submitSlots, s.cancelJob))
	mux.HandleFunc("POST /v1/report", s.heartbeat)
	mux.HandleFunc("GET /ready", s.ready)
	mux.HandleFunc("GET /status", s.status)
	return mux
}

type server struct {
	backend Backend
	log     *slog.Logger
	// submitSlots and pollSlots bound the users' requests in flight: one without a
	// slot is rejected at once with a Retry-After.
	submitSlots, pollSlots chan struct{}
}

// Submissions and polls in flight, at most. Each submission holds a body of up to
// MaxBodyBytes in limited memory; polls wait for the leader or the key-value store.
const (
	maxSubmits = 48
	maxPolls   = 160
)

// MaxInFlightBytes is about how many bytes the requests in flight hold: a submission's
// body as received and as decoded, or a poll.
const MaxInFlightBytes = maxSubmits*(2*MaxBodyBytes) + maxPolls*(8<<10)

// withSlot serves a request if a slot is free and rejects it otherwise.
func (s *server) withSlot(slots chan struct{}, serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
			serve(w, r)
		default:
			w.Header().Set("Retry-After", strconv.Itoa(int(overloadRetryAfter/time.Second)))
			s.writeError(w, http.StatusTooManyRequests, errors.New("too many requests just now"))
		}
	}
}

func (s *server) ready(w http.ResponseWriter, _ *http.Request) {
	if !s.backend.Ready() {
		s.writeError(w, http.StatusServiceUnavailable, ErrUnavailable)
		return
	}
	s.writeJSON(w, http.StatusOK, map[string]bool{"ready": true})
}

func (s *server) status(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), pollTimeout)
	defer cancel()
	st, err := s.backend.Status(ctx)
	if err != nil {
		s.writeUnavailable(w, err)
		return
	}
	s.writeJSON(w, http.StatusOK, st)
}

func (s *server) submitJob(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(w, r, MaxBodyBytes)
	if err != nil {
		s.writeError(w, http.StatusBadRequest, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), submitTimeout)
	defer cancel()
	spec, id, err := ParseSubmission(body)
	if err != nil {
		s.rejectSubmission(ctx, w, id, http.StatusBadRequest, err)
		return
	}
	st, created, err := s.backend.Submit(ctx, spec)
	var unschedulable *UnschedulableError
	switch {
	case errors.As(err, &unschedulable):
		s.rejectSubmission(ctx, w, spec.ID, http.StatusUnprocessableEntity, err)
	case err != nil:
		s.writeUnavailable(w, err)
	case created:
		s.writeJSON(w, http.StatusCreated, st)
	default:
		s.writeJSON(w, http.StatusOK, st)
	}
}

// rejectSubmission rejects a submission for good, unless it repeats a known job: the
// response to a repeat is the job's state whatever else the repeat holds.
func (s *server) rejectSubmission(ctx context.Context, w http.ResponseWriter, id string, status int, cause error) {
	if id == "" {
		s.writeError(w, status, cause)
		return
	}
	state, err := s.backend.RecordedJob(ctx, id)
	switch {
	case errors.Is(err, ErrUnknownJob):
		s.writeError(w, status, cause)
	case err != nil:
		s.writeUnavailable(w, err)
	default:
		s.writeJSON(w, http.StatusOK, state)
	}
}

func (s *server) getJob(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), pollTimeout)
	defer cancel()
	id := r.PathValue("id")
	if !ValidJobID(id) {
		s.writeError(w, http.StatusNotFound, ErrUnknownJob)
		return
	}
	st, err := s.backend.Job(ctx, id)
	s.writeJobState(w, st, err)
}

func (s *server) cancelJob(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), cancelTimeout)
	defer cancel()
	id := r.PathValue("id")
	if !ValidJobID(id) {
		s.writeError(w, http.StatusNotFound, ErrUnknownJob)
		return
	}
	st, err := s.backend.Cancel(ctx, id)
	s.writeJobState(w, st, err)
}

func (s *server) writeJobState(w http.ResponseWriter, st JobState, err error) {
	switch {
	case errors.Is(err, ErrUnknownJob):
		s.writeError(w, http.StatusNotFound, err)
	case err != nil:
		s.writeUnavailable(w, err)
	default:
		s.writeJSON(w, http.StatusOK, st)
	}
}

func (s *server) heartbeat(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(w, r, maxHeartbeatBytes)
	if err != nil {
		s.writeError(w, http.StatusBadRequest, err)
		return
	}
	hb, err := ParseHeartbeat(body)
	if err != nil {
		s.writeError(w, http.StatusBadRequest, err)
		return
	}
	response, err := s.backend.Heartbeat(r.Context(), hb)
	var notLeader *NotLeaderError
	switch {
	case errors.As(err, &notLeader) && notLeader.Leader != "":
		s.writeJSON(w, http.StatusMisdirectedRequest, map[string]string{"Gardener": notLeader.Leader})
	case err != nil:
		s.writeError(w, http.StatusServiceUnavailable, err)
	default:
		s.writeJSON(w, http.StatusOK, response)
	}
}

// maxHeartbeatBytes is the largest body of a heartbeat.
const maxHeartbeatBytes = 4 * MaxBodyBytes

// readBody reads a body of at most limit bytes.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	limited := http.MaxBytesReader(w, r.Body, limit)
	if r.ContentLength < 0 || r.ContentLength > limit {
		return io.ReadAll(limited)
	}
	body := make([]byte, r.ContentLength)
	_, err := io.ReadFull(limited, body)
	return body, err
}

// retryAfter is the Retry-After of a node that could not serve a request.
const retryAfter = time.Second

// overloadRetryAfter is the Retry-After of a request without a slot.
const overloadRetryAfter = 2 * time.Second

func (s *server) writeUnavailable(w http.ResponseWriter, err error) {
	s.log.Debug("request not served", "err", err)
	w.Header().Set("Retry-After", strconv.Itoa(int(retryAfter/time.Second)))
	s.writeError(w, http.StatusServiceUnavailable, ErrUnavailable)
}

func (s *server) writeError(w http.ResponseWriter, status int, err error) {
	s.writeJSON(w, status, map[string]string{"error": err.Error()})
}

func (s *server) writeJSON(w http.ResponseWriter, status int, body any) {
	raw, err := fast.Marshal(body)
	if err != nil {
		s.log.Error("encode response failed", "err", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	h := w.Header()
	h["Content-Type"] = []string{"application/json"}
	h["Content-Length"] = []string{strconv.Itoa(len(raw))}
	h["Date"] = nil
	w.WriteHeader(status)
	// An error means that the client has closed the connection: nobody is left to answer.
	_, _ = w.Write(raw)
}
