package controller

import (
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/config"
)

// A machine no longer knows an attempt that it has reaped, so a late copy of a direct start would run
// the attempt again, however long ago it ended. A copy is rejected once the machine has a higher
// fencing token. Therefore the leader holds a range of tokens, and the response that reaps an attempt
// which was started directly also raises the machine's token above that of the start. Each machine has
// its own position in the range.

// directTokensPerTerm is the number of fencing tokens of a term in which starts are sent directly.
const directTokensPerTerm = 1 << 14

// TokensPerTerm returns how many fencing tokens a leader needs for each term.
func TokensPerTerm(workers config.Workers) uint64 {
	if !sendsStartsDirectly(workers) {
		return 1
	}
	return directTokensPerTerm
}

// tokenFor returns the fencing token of the response to a heartbeat. m is nil if the machine is not
// known. The token is never lower than the one reported, since the machine would drop the response.
func (lt *leaderTerm) tokenFor(m *cluster.Machine, hb *api.Heartbeat) uint64 {
	token := max(lt.term.Tokens().First, hb.Token)
	if m != nil {
		token = max(token, m.Token)
	}
	return token
}

// rejectCopies makes a machine reject late copies of an attempt's start, and reports whether the next
// response to the machine may reap the attempt. If the machine has no higher token than the start,
// that response raises its token. It does not while a command batch with the present token is in
// flight, which the machine would reject.
func (lt *leaderTerm) rejectCopies(a *cluster.Attempt) bool {
	m := a.Machine
	if a.DirectStart == nil || a.DirectStart.Token < m.Token {
		return true
	}
	if m.CommandInFlight || m.Token >= lt.term.Tokens().Last {
		lt.counts.reapsWithheld++
		return false
	}
	m.Token++
	lt.counts.tokensRaised++
	lt.tokensExhausted = lt.tokensExhausted || m.Token == lt.term.Tokens().Last
	return true
}

// isUnsafeRelayedReap reports whether a command reaps an attempt although its machine may accept a
// copy of the attempt's start. The node that relays the command does not raise the machine's token.
func isUnsafeRelayedReap(m *cluster.Machine, cmd api.Command, reportedToken uint64) bool {
	a := m.Attempts[cluster.AttemptKey{Ref: cmd.Task, ID: cmd.Attempt}]
	return cmd.Verb == api.VerbReap && a != nil && a.DirectStart != nil && a.DirectStart.Token >= reportedToken
}

// renewTokens begins a new term, with new fencing tokens, once a machine has the last one of this
// term. Until then the machine gets its starts in heartbeat responses.
func (lt *leaderTerm) renewTokens(now time.Time) {
	if !lt.tokensExhausted || !lt.c.membership.KVReachable || now.Sub(lt.startedAt) < minNewTermInterval {
		return
	}
	lt.c.Log.Info("leader steps down to get fencing tokens in a new term", "term", lt.term.Number)
	lt.stepDown()
}
