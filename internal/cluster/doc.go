// Package cluster holds the leader's in-memory state of the cluster: jobs, their attempts, machines
// and the resources in use on them. It does no I/O and reads no clock; times are arguments. All of
// it belongs to one goroutine, so there are no locks.
//
// Two invariants hold between calls. The used resources of machines and teams, and each job's
// attempts by zone, are the sums over the attempts that are reserved and not yet released. Machines
// move only forward through their phases.
package cluster
