// Package grant lets a group of controllers replace a leader that is gone without waiting
// for its lease at the state service. A leader that is bound to grants decides only while
// enough of the others grant it that, each for a short time. Those who want to replace it
// get promises of enough of them to grant its term nothing more, and wait until what was
// granted has run out. The package is pure; docs/standby.md explains the protocol.
package grant

import "time"

const (
	// driftShare is kept back for clocks that run apart, ten times what they may.
	driftShare = 1.0 / 200
	// effectTime is kept back for the time between the leader's check and its effect.
	effectTime = 500 * time.Millisecond
)

// NeededGrants is how many of the other controllers a leader needs the grants of.
func NeededGrants(controllers int) int { return controllers / 2 }

// NeededPromises is how many controllers, with the one that asks, must promise to grant a
// leader nothing more: so many that the rest cannot make up the grants that it needs.
func NeededPromises(controllers int) int { return controllers - NeededGrants(controllers) }

// Voter is a controller's memory of what it has granted and promised. All of it ends with
// the process; Begin says how the next one makes up for that.
type Voter struct {
	life    time.Duration
	started time.Time
	ready   bool
	// closed is the highest term that is granted nothing.
	closed uint64
	// last is when it granted last, whatever term.
	last time.Time
}

// NewVoter makes the voter of a process that begins now, with the life of a grant.
func NewVoter(life time.Duration, now time.Time) *Voter {
	return &Voter{life: life, started: now}
}

// Begin tells the voter of the latest term as the state service has shown it since the
// process began. Earlier processes of this controller may have promised to grant that
// term, or an earlier one, nothing more; so it grants them nothing.
func (v *Voter) Begin(term uint64) {
	v.ready = true
	v.closed = max(v.closed, term)
}

// Grant answers a leader that asks for a grant in its term.
func (v *Voter) Grant(term uint64, now time.Time) bool {
	if !v.ready || term <= v.closed {
		return false
	}
	v.last = now
	return true
}

// Promise makes the voter grant a term, and all before it, nothing more. It returns for how
// long what it, or an earlier process of this controller, has granted may still be valid.
func (v *Voter) Promise(term uint64, now time.Time) (wait time.Duration) {
	v.closed = max(v.closed, term)
	latest := v.started
	if v.last.After(latest) {
		latest = v.last
	}
	valid := v.life + time.Duration(float64(v.life)*driftShare) + effectTime
	return max(0, latest.Add(valid).Sub(now))
}

// Holder is what a leader has been granted in its term.
type Holder struct {
	life  time.Duration
	until map[string]time.Time
}

// NewHolder makes the holder of a term that begins, with the life of a grant.
func NewHolder(life time.Duration) *Holder {
	return &Holder{life: life, until: map[string]time.Time{}}
}

// Granted notes another controller's grant, which counts from when it was asked for.
func (h *Holder) Granted(controller string, asked time.Time) {
	if until := asked.Add(h.life); until.After(h.until[controller]) {
		h.until[controller] = until
	}
}

// Valid tells whether the leader holds so many grants.
func (h *Holder) Valid(needed int, now time.Time) bool {
	count := 0
	for _, until := range h.until {
		if now.Before(until) {
			count++
		}
	}
	return count >= needed
}
