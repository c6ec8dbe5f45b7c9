// Package grant lets a group of controllers replace a leader that is gone without waiting
// for its lease at the state service. A leader that is bound to grants decides only while
// enough of the others grant it that, each for a short time. Those who want to replace it
// get promises of enough of them to grant its term nothing more, and wait until what was
// granted has run out. The package is pure; docs/standby.md explains the protocol.
package leasequorum

import "time"

const (
	// driftMargin is kept back for clocks that run apart, ten times what they may.
	driftMargin = 1.0 / 200
	// effectDelay is kept back for the time between the leader's check and its effect.
	effectDelay = 500 * time.Millisecond
)

// RequiredVotes is how many of the other controllers a leader needs the grants of.
func RequiredVotes(controllers int) int { return controllers / 2 }

// RequiredPromises is how many controllers, with the one that asks, must promise to grant a
// leader nothing more: so many that the rest cannot make up the grants that it needs.
func RequiredPromises(controllers int) int { return controllers - RequiredVotes(controllers) }

// Voter is a controller's memory of what it has granted and promised. All of it ends with
// the process; Begin says how the next one makes up for that.
type Voter struct {
	voteLifetime time.Duration
	started      time.Time
	ready        bool
	// promisedTerm is the highest term that is granted nothing.
	promisedTerm uint64
	// lastVote is when it granted last, whatever term.
	lastVote time.Time
}

// NewVoter makes the voter of a process that begins now, with the life of a grant.
func NewVoter(voteLifetime time.Duration, now time.Time) *Voter {
	return &Voter{voteLifetime: voteLifetime, started: now}
}

// Begin tells the voter of the latest term as the state service has shown it since the
// process began. Earlier processes of this controller may have promised to grant that
// term, or an earlier one, nothing more; so it grants them nothing.
func (v *Voter) Begin(term uint64) {
	v.ready = true
	v.promisedTerm = max(v.promisedTerm, term)
}

// Vote answers a leader that asks for a grant in its term.
func (v *Voter) Vote(term uint64, now time.Time) bool {
	if !v.ready || term <= v.promisedTerm {
		return false
	}
	v.lastVote = now
	return true
}

// Promise makes the voter grant a term, and all before it, nothing more. It returns for how
// long what it, or an earlier process of this controller, has granted may still be valid.
func (v *Voter) Promise(term uint64, now time.Time) (wait time.Duration) {
	v.promisedTerm = max(v.promisedTerm, term)
	latest := v.started
	if v.lastVote.After(latest) {
		latest = v.lastVote
	}
	valid := v.voteLifetime + time.Duration(float64(v.voteLifetime)*driftMargin) + effectDelay
	return max(0, latest.Add(valid).Sub(now))
}

// VoteSet is what a leader has been granted in its term.
type VoteSet struct {
	voteLifetime time.Duration
	expiries     map[string]time.Time
}

// NewVoteSet makes the holder of a term that begins, with the life of a grant.
func NewVoteSet(voteLifetime time.Duration) *VoteSet {
	return &VoteSet{voteLifetime: voteLifetime, expiries: map[string]time.Time{}}
}

// Add notes another controller's grant, which counts from when it was asked for.
func (s *VoteSet) Add(controller string, sentAt time.Time) {
	if expiry := sentAt.Add(s.voteLifetime); expiry.After(s.expiries[controller]) {
		s.expiries[controller] = expiry
	}
}

// HasQuorum tells whether the leader holds so many grants.
func (s *VoteSet) HasQuorum(required int, now time.Time) bool {
	count := 0
	for _, expiry := range s.expiries {
		if now.Before(expiry) {
			count++
		}
	}
	return count >= required
}
