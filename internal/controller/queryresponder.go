package controller

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/records"
)

// queryResponder is the leader's side of storeQueries: it responds through the key-value store to queries about
// jobs from nodes that cannot reach the leader. It watches for them while another node is unreachable.
type queryResponder struct {
	// cancel ends the watch; it is nil if there is none.
	cancel context.CancelFunc
	// neededAt is when a node was last unreachable.
	neededAt time.Time
}

const (
	// responderLinger is for how long the watch goes on after the last node was unreachable. A node may notice
	// later that it reaches the leader.
	responderLinger = 10 * time.Second
	// responseTimeout is the time limit of writing responses.
	responseTimeout = time.Second
)

// tick starts or ends the watch.
func (r *queryResponder) tick(lt *leaderTerm, now time.Time) {
	for _, member := range lt.c.membership.Members {
		if !member.IsReachable(now) {
			r.neededAt = now
		}
	}
	isNeeded := now.Sub(r.neededAt) < responderLinger
	switch {
	case isNeeded && r.cancel == nil:
		var ctx context.Context
		ctx, r.cancel = context.WithCancel(lt.ctx)
		go lt.watchQueries(ctx)
	case !isNeeded && r.cancel != nil:
		r.cancel()
		r.cancel = nil
	}
}

// watchQueries sends the queries of other nodes to the owner goroutine. The first ones may have been written
// before the watch begins.
func (lt *leaderTerm) watchQueries(ctx context.Context) {
	for ctx.Err() == nil {
		readCtx, cancel := context.WithTimeout(ctx, rangeTimeout)
		page, err := lt.c.Store.Range(readCtx, records.QueryPrefix, "", rangePageSize)
		cancel()
		if err != nil {
			sleep(ctx, watchRetryDelay)
			continue
		}
		var queries []nodeQuery
		for _, e := range page.Entries {
			queries = appendQuery(queries, e.Key, e.Value)
		}
		lt.sendToOwner(nodeQueriesMsg{lt, queries})
		for from := page.Revision; err == nil && ctx.Err() == nil; {
			from, err = lt.awaitQueries(ctx, from)
		}
	}
}

// awaitQueries waits for queries that are written after a revision, and sends them to the owner goroutine. It
// returns the revision from which to go on.
func (lt *leaderTerm) awaitQueries(ctx context.Context, from uint64) (uint64, error) {
	watchCtx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	changes, err := lt.c.Store.Watch(watchCtx, records.QueryPrefix, from, watchBlock)
	if err != nil {
		sleep(ctx, watchRetryDelay)
		return from, err
	}
	var queries []nodeQuery
	for _, event := range changes.Events {
		queries = appendQuery(queries, event.Put, event.Value)
	}
	if len(queries) > 0 {
		lt.sendToOwner(nodeQueriesMsg{lt, queries})
	}
	return max(from, changes.Revision), nil
}

// nodeQuery is a node's query.
type nodeQuery struct {
	node  string
	query records.QueryRecord
}

// appendQuery appends the query of a record, unless it is invalid.
func appendQuery(queries []nodeQuery, key string, value json.RawMessage) []nodeQuery {
	node, ok := strings.CutPrefix(key, records.QueryPrefix)
	var query records.QueryRecord
	if !ok || json.Unmarshal(value, &query) != nil {
		return queries
	}
	return append(queries, nodeQuery{node, query})
}

// nodeQueriesMsg carries queries of other nodes to the owner goroutine.
type nodeQueriesMsg struct {
	leaderTerm *leaderTerm
	queries    []nodeQuery
}

func (m nodeQueriesMsg) apply(c *Controller) {
	lt := m.leaderTerm
	if lt.hasEnded() || !lt.loaded {
		return
	}
	txn := kv.Txn{Compares: []kv.Compare{lt.termCompare()}}
	for _, q := range m.queries {
		if slices.ContainsFunc(c.Settings.Peers, func(p config.Peer) bool { return p.Node == q.node }) {
			response := lt.respondToQuery(q.query, time.Now())
			txn.Ops = append(txn.Ops, kv.Op{Put: records.ResponsePrefix + q.node, Value: response})
		}
	}
	if len(txn.Ops) == 0 {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(lt.ctx, responseTimeout)
		defer cancel()
		// A node without a response asks again. The term's compare fails if another node leads.
		if _, err := c.Store.Txn(ctx, txn); err != nil {
			c.Log.Debug("response to queries of other nodes not written", "err", err)
		}
	}()
}

// respondToQuery returns the response to a query, about as many jobs as a record holds.
func (lt *leaderTerm) respondToQuery(query records.QueryRecord, now time.Time) records.ResponseRecord {
	response := records.ResponseRecord{QueryID: query.QueryID}
	most := records.MaxQueriedJobs(lt.c.Settings.Site.State.ValueKB)
	for _, id := range query.Jobs[:min(len(query.Jobs), most)] {
		queried := records.QueriedState{Job: id}
		if state := lt.c.stateWhileActive(id, now); state != nil {
			queried.Phase, queried.Done, queried.Running = state.Phase, state.Done, state.Running
		}
		response.States = append(response.States, queried)
	}
	return response
}
