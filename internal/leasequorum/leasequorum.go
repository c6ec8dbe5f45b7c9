// Package leasequorum lets a group of controllers replace a failed leader before its lease at
// the key-value store expires. The leader acts only while it has valid votes from a quorum of the
// other controllers, and each vote is valid for a short time. A controller that wants to replace
// the leader first collects promises from enough controllers not to vote in the leader's term any
// longer, and then waits until the votes that they have given have expired.
//
// The package does no I/O and reads no clock; docs/standby.md explains the protocol.
package leasequorum

import "time"

const (
	// clockDriftRatio is the fraction of a vote's lifetime that is added as a safety margin for
	// clock drift. It is ten times the maximum drift of the clocks.
	clockDriftRatio = 1.0 / 200
	// actionMargin is the safety margin for the time between the leader's check of its quorum and
	// the moment at which an action that depends on it takes effect.
	actionMargin = 500 * time.Millisecond
)

// RequiredVotes returns how many of the other controllers must vote for a leader.
func RequiredVotes(controllers int) int { return controllers / 2 }

// RequiredPromises returns how many controllers, including the one that requests the promises, must
// promise not to vote for a leader any longer, so that too few remain for a quorum.
func RequiredPromises(controllers int) int { return controllers - RequiredVotes(controllers) }

// Voter holds the votes and promises of a controller. The state is not persistent: after a restart,
// Init ensures that the promises of earlier processes are kept.
type Voter struct {
	voteLifetime time.Duration
	startedAt    time.Time
	// initialized is set by Init. The voter does not vote before.
	initialized bool
	// promisedTerm is the highest term in which the voter has promised not to vote.
	promisedTerm uint64
	// lastVoteAt is the time of the last vote, in any term.
	lastVoteAt time.Time
}

// NewVoter returns the voter of a process that starts now.
func NewVoter(voteLifetime time.Duration, now time.Time) *Voter {
	return &Voter{voteLifetime: voteLifetime, startedAt: now}
}

// Init allows the voter to vote in terms later than term, which was read from the key-value store
// after the process started. In this term and earlier ones it does not vote, because an earlier
// process of this controller may have promised not to.
func (v *Voter) Init(term uint64) {
	v.initialized = true
	v.promisedTerm = max(v.promisedTerm, term)
}

// Vote reports whether the voter grants its vote to the leader of a term, and records the vote.
func (v *Voter) Vote(term uint64, now time.Time) bool {
	if !v.initialized || term <= v.promisedTerm {
		return false
	}
	v.lastVoteAt = now
	return true
}

// Promise stops the voter from voting in this and all earlier terms. It returns for how long votes
// that this process, or an earlier one of this controller, has given may still be valid.
func (v *Voter) Promise(term uint64, now time.Time) (wait time.Duration) {
	v.promisedTerm = max(v.promisedTerm, term)
	latest := v.startedAt
	if v.lastVoteAt.After(latest) {
		latest = v.lastVoteAt
	}
	valid := v.voteLifetime + time.Duration(float64(v.voteLifetime)*clockDriftRatio) + actionMargin
	return max(0, latest.Add(valid).Sub(now))
}

// VoteSet holds the votes that a leader has received in its term.
type VoteSet struct {
	voteLifetime time.Duration
	// expiries holds, by controller, when its latest vote expires.
	expiries map[string]time.Time
}

// NewVoteSet returns the empty vote set of a new term.
func NewVoteSet(voteLifetime time.Duration) *VoteSet {
	return &VoteSet{voteLifetime: voteLifetime, expiries: map[string]time.Time{}}
}

// Add adds another controller's vote. The lifetime of the vote is counted from the time of the
// request, not of the response, so that it expires at the leader before it does at the voter.
func (s *VoteSet) Add(controller string, sentAt time.Time) {
	if expiry := sentAt.Add(s.voteLifetime); expiry.After(s.expiries[controller]) {
		s.expiries[controller] = expiry
	}
}

// HasQuorum reports whether at least the required number of votes is valid.
func (s *VoteSet) HasQuorum(required int, now time.Time) bool {
	count := 0
	for _, expiry := range s.expiries {
		if now.Before(expiry) {
			count++
		}
	}
	return count >= required
}
