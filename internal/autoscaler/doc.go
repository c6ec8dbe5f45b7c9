// Package autoscaler scales the fleet: which machines to launch for the demand of the teams, which
// to drain and to terminate when there is a surplus. It does no I/O and has no clock: the leader's
// term passes what it reads as a View, and carries out the Commands that it gets back. One goroutine
// owns the state, so nothing here locks.
//
// Invariants: each launch request has a name of its own, which carries the term, and counts as
// capacity until LaunchEnded; no more than maxLaunchesInFlight are without an outcome, and no more
// than one request to terminate. A machine that is to be terminated stays queued until a request
// for it has succeeded. Nothing is launched while machines may still apply commands of earlier
// terms.
package autoscaler
