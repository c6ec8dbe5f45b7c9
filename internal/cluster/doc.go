// Package cluster is the leader's memory of the deployment: jobs, their attempts, machines and
// what they hold. It does no I/O and has no clock: times are arguments. One goroutine owns all of
// it, so nothing here locks.
//
// Two invariants hold between calls. What a machine and a team count as used, and the attempts of a
// job by zone, are the sums over the attempts that are reserved and not yet released. And a machine
// only moves forward through its phases.
package cluster
