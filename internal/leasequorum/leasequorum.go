// Package leasequorum lets a group of controllers replace a failed leader before its lease at
// the key-value store expires. The leader acts only while a quorum of the other controllers
// votes for it, each vote for a short time. Those who want to replace it collect promises of
// enough controllers to vote no more in its term, and wait until the votes given have
// expired. The package is pure; docs/standby.md explains the protocol.
package leasequorum

import "time"

const (
	// clockDriftRatio is the part of a vote's lifetime that is added for clock drift: ten times
	// what clocks may drift.
	clockDriftRatio = 1.0 / 200
	// actionMargin is added for the time between the leader's check and its effect.
	actionMargin = 500 * time.Millisecond
)

// RequiredVotes is how many of the other controllers must vote for a leader.
func RequiredVotes(controllers int) int { return controllers / 2 }

// RequiredPromises is how many controllers, including the one that requests them, must promise
// to vote for a leader no more: so many that the rest cannot be a quorum.
func RequiredPromises(controllers int) int { return controllers - RequiredVotes(controllers) }

// Voter holds what a controller has voted and promised. The state is lost with the process;
// Begin says how the next process makes up for that.
type Voter struct {
	voteLifetime time.Duration
	startedAt    time.Time
	// initialized is set by Begin. Before that the voter does not vote.
	initialized bool
	// promisedTerm is the highest term in which it does not vote.
	promisedTerm uint64
	// lastVoteAt is when it voted last, in whatever term.
	lastVoteAt time.Time
}

// NewVoter makes the voter of a process that starts now.
func NewVoter(voteLifetime time.Duration, now time.Time) *Voter {
	return &Voter{voteLifetime: voteLifetime, startedAt: now}
}

// Init makes the voter ready, with the latest term that the key-value store has shown since
// the process started. Earlier processes of this controller may have promised not to vote in
// that term or an earlier one, so the voter does not vote in them.
func (v *Voter) Init(term uint64) {
	v.initialized = true
	v.promisedTerm = max(v.promisedTerm, term)
}

// Vote reports whether the voter votes for the leader of a term.
func (v *Voter) Vote(term uint64, now time.Time) bool {
	if !v.initialized || term <= v.promisedTerm {
		return false
	}
	v.lastVoteAt = now
	return true
}

// Promise makes the voter vote no more in a term and all before it. It returns for how long the
// votes of this process, or of an earlier one of this controller, may still be valid.
func (v *Voter) Promise(term uint64, now time.Time) (wait time.Duration) {
	v.promisedTerm = max(v.promisedTerm, term)
	latest := v.startedAt
	if v.lastVoteAt.After(latest) {
		latest = v.lastVoteAt
	}
	valid := v.voteLifetime + time.Duration(float64(v.voteLifetime)*clockDriftRatio) + actionMargin
	return max(0, latest.Add(valid).Sub(now))
}

// VoteSet holds the votes for a leader in its term.
type VoteSet struct {
	voteLifetime time.Duration
	expiries     map[string]time.Time
}

// NewVoteSet makes the empty set of a term that begins.
func NewVoteSet(voteLifetime time.Duration) *VoteSet {
	return &VoteSet{voteLifetime: voteLifetime, expiries: map[string]time.Time{}}
}

// Add adds another controller's vote. Its lifetime starts when it was requested, not when it
// arrived, so that it expires here before it does at the voter.
func (s *VoteSet) Add(controller string, sentAt time.Time) {
	if expiry := sentAt.Add(s.voteLifetime); expiry.After(s.expiries[controller]) {
		s.expiries[controller] = expiry
	}
}

// HasQuorum reports whether at least required votes are valid.
func (s *VoteSet) HasQuorum(required int, now time.Time) bool {
	count := 0
	for _, expiry := range s.expiries {
		if now.Before(expiry) {
			count++
		}
	}
	return count >= required
}
