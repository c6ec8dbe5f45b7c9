package controller

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/records"
)

// storeQueries asks the leader about jobs through the key-value store, while the store answers this node and
// the leader does not. The leader responds in the same way (queryResponder). A round asks about all jobs of
// which users have asked meanwhile. Rounds are at least storeRoundInterval apart, since writes are limited, and
// pause for longer while none is responded to: the leader may have ended, or be of the version in production.
type storeQueries struct {
	controller *Controller
	// lastID is the ID of the last query.
	lastID records.QueryID
	// waiting holds, by job, the requests for the next round, and asked those of the present one.
	waiting, asked map[string][]chan<- error
	// waitingCount is the number of requests in waiting.
	waitingCount int
	// busy is set from the start of a round until the next one may start.
	busy bool
	// unanswered is the number of rounds since the last one that the leader responded to.
	unanswered int
	// pausedUntil is the time until which no round is started. It does not count once another node leads
	// than leader.
	pausedUntil time.Time
	leader      string
}

const (
	storeRoundInterval = time.Second
	// storeRoundTimeout is the time limit of a round. It leaves a poll the time to read the store before.
	storeRoundTimeout = 1200 * time.Millisecond
	// maxStoreRoundPause is the longest pause after rounds without a response. The pauses double.
	maxStoreRoundPause = 16 * time.Second
	// maxStoreQueries is the maximum number of requests that wait for the next round. With those of the present
	// one, they leave slots of users' polls to jobs that have ended.
	maxStoreQueries = 48
)

// errNoStoreResponse means that the leader has not responded to a query in the store.
var errNoStoreResponse = errors.New("no response to the query in the key-value store")

// phaseThroughStore asks the leader through the store for the phase of a job that has not ended.
func (c *Controller) phaseThroughStore(ctx context.Context, id string) (api.JobState, error) {
	m := storeQueryMsg{id: id, reply: make(chan error, 1)}
	result, err := request(ctx, c, m, m.reply)
	if err = errors.Join(err, result); err == nil {
		if state, ok := c.leaderStates.recent(id); ok {
			return state, nil
		}
	}
	return api.JobState{}, errors.Join(errPhaseUnknown, err)
}

// storeQueryMsg requests that the leader is asked about a job. The reply is nil once it has responded, whether
// or not it knows the job's phase.
type storeQueryMsg struct {
	id    string
	reply chan error
}

func (m storeQueryMsg) apply(c *Controller) {
	q, now := &c.storeQueries, time.Now()
	if leader := c.currentLeader(now); leader != q.leader {
		q.leader, q.unanswered, q.pausedUntil = leader, 0, time.Time{}
	}
	if now.Before(q.pausedUntil) || q.waitingCount >= maxStoreQueries {
		m.reply <- errNoStoreResponse
		return
	}
	q.waiting[m.id] = append(q.waiting[m.id], m.reply)
	q.waitingCount++
	q.startRound()
}

// startRound asks the leader about the jobs that wait, as many as a record holds.
func (q *storeQueries) startRound() {
	if q.busy || len(q.waiting) == 0 {
		return
	}
	q.busy, q.asked = true, map[string][]chan<- error{}
	q.lastID.Number++
	query := records.QueryRecord{QueryID: q.lastID}
	most := records.MaxQueriedJobs(q.controller.Settings.Site.State.ValueKB)
	for id, requests := range q.waiting {
		if len(query.Jobs) == most {
			break
		}
		query.Jobs = append(query.Jobs, id)
		q.asked[id] = requests
		q.waitingCount -= len(requests)
		delete(q.waiting, id)
	}
	go q.ask(query)
}

// ask writes a query and waits for the response.
func (q *storeQueries) ask(query records.QueryRecord) {
	c, askedAt := q.controller, time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), storeRoundTimeout)
	defer cancel()
	states, err := c.exchangeThroughStore(ctx, query)
	c.sendOrDrop(context.Background(), storeResponseMsg{states: states, err: err, askedAt: askedAt})
	sleep(context.Background(), storeRoundInterval-time.Since(askedAt))
	c.sendOrDrop(context.Background(), storeRoundEndedMsg{})
}

// exchangeThroughStore writes a query and returns the states in the leader's response.
func (c *Controller) exchangeThroughStore(
	ctx context.Context, query records.QueryRecord,
) ([]records.QueriedState, error) {
	node := c.Settings.Node
	result, err := c.UserStore.Txn(ctx, kv.Txn{Ops: []kv.Op{{Put: records.QueryPrefix + node, Value: query}}})
	if err != nil {
		return nil, err
	}
	key := records.ResponsePrefix + node
	for from := result.Revision; ; {
		changes, err := c.UserStore.Watch(ctx, key, from, storeRoundTimeout)
		if err != nil {
			return nil, err
		}
		for _, event := range changes.Events {
			var response records.ResponseRecord
			isResponse := event.Put == key && json.Unmarshal(event.Value, &response) == nil
			if isResponse && response.QueryID == query.QueryID {
				return response.States, nil
			}
		}
		if ctx.Err() != nil || len(changes.Events) == 0 {
			return nil, errNoStoreResponse
		}
		from = max(from, changes.Revision)
	}
}

// storeResponseMsg carries the result of a round.
type storeResponseMsg struct {
	states  []records.QueriedState
	err     error
	askedAt time.Time
}

func (m storeResponseMsg) apply(c *Controller) {
	q := &c.storeQueries
	for _, state := range m.states {
		if state.Phase != "" {
			c.leaderStates.add(state.JobState(), m.askedAt)
		}
	}
	if m.err == nil {
		q.unanswered = 0
	} else {
		pause := min(storeRoundInterval<<min(q.unanswered, 8), maxStoreRoundPause)
		q.unanswered++
		q.pausedUntil = time.Now().Add(pause)
		q.replyAll(q.waiting, m.err)
		q.waitingCount = 0
		c.Log.Debug("leader has not responded through the key-value store", "rounds", q.unanswered, "err", m.err)
	}
	q.replyAll(q.asked, m.err)
}

// replyAll replies to requests and removes them.
func (*storeQueries) replyAll(requests map[string][]chan<- error, err error) {
	for _, replies := range requests {
		for _, reply := range replies {
			reply <- err
		}
	}
	clear(requests)
}

// storeRoundEndedMsg ends the time of a round, and starts the next one if requests wait.
type storeRoundEndedMsg struct{}

func (storeRoundEndedMsg) apply(c *Controller) {
	c.storeQueries.busy = false
	c.storeQueries.startRound()
}
