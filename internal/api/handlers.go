package api

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	fastjson "github.com/segmentio/encoding/json"
)

// Errors that a Backend returns.
var (
	// ErrUnavailable means that the node cannot serve the request at the moment.
	ErrUnavailable = errors.New("temporarily unavailable")
	// ErrUnknownJob means that no job with the given ID was ever accepted.
	ErrUnknownJob = errors.New("unknown job")
)

// UnschedulableError means that no machine could ever run a job, and gives the reason.
type UnschedulableError struct{ Reason string }

// Error implements error. Users see the message.
func (e *UnschedulableError) Error() string { return "the job can never run: " + e.Reason }

// NotLeaderError redirects a worker agent to the leader. Leader is empty if the leader is unknown.
type NotLeaderError struct{ Leader string }

// Error implements error.
func (e *NotLeaderError) Error() string { return "not the leader" }

// Backend serves the requests that the handlers decode.
type Backend interface {
	// Submit accepts a job. It returns created as false if the job was already accepted earlier.
	Submit(ctx context.Context, spec *JobSpec) (state JobState, created bool, err error)
	// RecordedJob returns the state of a job for a repeated submission that is invalid.
	RecordedJob(ctx context.Context, id string) (JobState, error)
	// Job returns the state of a job.
	Job(ctx context.Context, id string) (JobState, error)
	// Cancel cancels a job and returns its state.
	Cancel(ctx context.Context, id string) (JobState, error)
	// Heartbeat applies a worker agent's heartbeat and returns commands for the agent.
	Heartbeat(ctx context.Context, heartbeat *Heartbeat) (HeartbeatResponse, error)
	// Ready reports whether the node passes its health check.
	Ready() bool
	// Status returns the node's status for operators.
	Status(ctx context.Context) (any, error)
}

// Timeouts of requests. Each is the client's timeout, less the time that a response takes to reach
// the client.
const (
	submitTimeout = 4250 * time.Millisecond
	pollTimeout   = 1500 * time.Millisecond
	cancelTimeout = 4750 * time.Millisecond
)

// Handler returns the handler of the HTTP API for users, worker agents and health checks.
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
	// submitSlots and pollSlots limit the users' requests in flight. If no slot is free, a
	// request is rejected immediately with a Retry-After header.
	submitSlots, pollSlots chan struct{}
}

// Limits of users' requests in flight.
const (
	// maxSubmits limits submissions and cancellations: a submission holds a body of up to
	// MaxBodyBytes, and memory is limited.
	maxSubmits = 48
	// maxPolls limits polls, which wait for the leader or the key-value store.
	maxPolls = 160
)

// MaxInFlightBytes is the approximate memory that the maximum number of users' requests in flight
// uses. A submission counts twice its maximum body, as received and as decoded, and a poll 8 KiB.
const MaxInFlightBytes = maxSubmits*(2*MaxBodyBytes) + maxPolls*(8<<10)

// withSlot returns a handler that serves a request if a slot is free and rejects it otherwise.
func (s *server) withSlot(slots chan struct{}, serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
			serve(w, r)
		default:
			w.Header().Set("Retry-After", strconv.Itoa(int(overloadRetryAfter/time.Second)))
			s.writeError(w, http.StatusTooManyRequests, errors.New("too many requests in progress"))
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
	status, err := s.backend.Status(ctx)
	if err != nil {
		s.writeUnavailable(w, err)
		return
	}
	s.writeJSON(w, http.StatusOK, status)
}

func (s *server) submitJob(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(w, r, MaxBodyBytes)
	switch {
	case isTooLarge(err):
		s.writeError(w, http.StatusBadRequest, fmt.Errorf("read body of at most %d bytes: %w", MaxBodyBytes, err))
		return
	case err != nil:
		// The user may have sent a valid submission, of which a part was lost.
		w.Header().Set("Connection", "close")
		s.writeUnavailable(w, fmt.Errorf("read body: %w", err))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), submitTimeout)
	defer cancel()
	spec, id, err := ParseSubmission(body)
	if err != nil {
		s.rejectSubmission(ctx, w, id, http.StatusBadRequest, err)
		return
	}
	state, created, err := s.backend.Submit(ctx, spec)
	var unschedulable *UnschedulableError
	switch {
	case errors.As(err, &unschedulable):
		s.rejectSubmission(ctx, w, spec.ID, http.StatusUnprocessableEntity, err)
	case err != nil:
		s.writeUnavailable(w, err)
	case created:
		s.writeJSON(w, http.StatusCreated, state)
	default:
		s.writeJSON(w, http.StatusOK, state)
	}
}

// rejectSubmission rejects a submission permanently, unless a job with its ID was already
// accepted: the response to a repeated submission is the job's state, even if the repeat is
// invalid.
func (s *server) rejectSubmission(ctx context.Context, w http.ResponseWriter, id string, status int, cause error) {
	if id == "" {
		s.writeError(w, status, cause)
		return
	}
	state, err := s.backend.RecordedJob(ctx, id)
	switch {
	case errors.Is(err, ErrUnknownJob):
		s.log.Debug("submission rejected", "job", id, "status", status, "err", cause)
		s.writeError(w, status, cause)
	case err != nil:
		s.writeUnavailable(w, err)
	default:
		s.writeJSON(w, http.StatusOK, state)
	}
}

func (s *server) getJob(w http.ResponseWriter, r *http.Request) {
	s.serveJob(w, r, pollTimeout, s.backend.Job)
}

func (s *server) cancelJob(w http.ResponseWriter, r *http.Request) {
	s.serveJob(w, r, cancelTimeout, s.backend.Cancel)
}

// serveJob serves a request that names a job and is answered with its state.
func (s *server) serveJob(
	w http.ResponseWriter, r *http.Request, timeout time.Duration,
	find func(ctx context.Context, id string) (JobState, error),
) {
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	id := r.PathValue("id")
	if !ValidJobID(id) {
		s.writeUnknownJob(w, id)
		return
	}
	state, err := find(ctx, id)
	s.writeJobState(w, id, state, err)
}

// writeJobState responds with a job's state, or with the error of looking it up.
func (s *server) writeJobState(w http.ResponseWriter, id string, state JobState, err error) {
	switch {
	case errors.Is(err, ErrUnknownJob):
		s.writeUnknownJob(w, id)
	case err != nil:
		s.writeUnavailable(w, err)
	default:
		s.writeJSON(w, http.StatusOK, state)
	}
}

func (s *server) heartbeat(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(w, r, maxHeartbeatBytes)
	if err != nil {
		s.writeError(w, http.StatusBadRequest, fmt.Errorf("read body of at most %d bytes: %w", maxHeartbeatBytes, err))
		return
	}
	heartbeat, err := ParseHeartbeat(body)
	if err != nil {
		s.writeError(w, http.StatusBadRequest, err)
		return
	}
	response, err := s.backend.Heartbeat(r.Context(), heartbeat)
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

// maxHeartbeatBytes is the maximum size of the body of a heartbeat.
const maxHeartbeatBytes = 4 * MaxBodyBytes

// readBody reads the body of a request, which may have at most limit bytes.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	limited := http.MaxBytesReader(w, r.Body, limit)
	if r.ContentLength < 0 || r.ContentLength > limit {
		return io.ReadAll(limited)
	}
	body := make([]byte, r.ContentLength)
	_, err := io.ReadFull(limited, body)
	return body, err
}

// isTooLarge reports whether readBody failed because the body exceeds the limit.
func isTooLarge(err error) bool {
	var tooLarge *http.MaxBytesError
	return errors.As(err, &tooLarge)
}

// retryAfter is the Retry-After of a response if the node cannot serve the request.
const retryAfter = time.Second

// overloadRetryAfter is the Retry-After of a response if no slot is free.
const overloadRetryAfter = 2 * time.Second

func (s *server) writeUnavailable(w http.ResponseWriter, err error) {
	s.log.Debug("request not served", "err", err)
	w.Header().Set("Retry-After", strconv.Itoa(int(retryAfter/time.Second)))
	s.writeError(w, http.StatusServiceUnavailable, ErrUnavailable)
}

// writeUnknownJob responds that no job with an ID exists.
func (s *server) writeUnknownJob(w http.ResponseWriter, id string) {
	s.writeError(w, http.StatusNotFound, fmt.Errorf("%w %q", ErrUnknownJob, id))
}

func (s *server) writeError(w http.ResponseWriter, status int, err error) {
	s.writeJSON(w, status, map[string]string{"error": err.Error()})
}

func (s *server) writeJSON(w http.ResponseWriter, status int, body any) {
	raw, err := fastjson.Marshal(body)
	if err != nil {
		s.log.Error("response encoding failed", "err", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	h := w.Header()
	h["Content-Type"] = []string{"application/json"}
	h["Content-Length"] = []string{strconv.Itoa(len(raw))}
	h["Date"] = nil
	w.WriteHeader(status)
	// A write fails only if the connection is closed, so there is no client to report it to.
	_, _ = w.Write(raw)
}
