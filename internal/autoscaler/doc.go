// Package autoscaler scales the fleet of machines: it decides which machines to launch for the demand
// of the teams, and which to drain and terminate when there is surplus capacity. The package does no
// I/O and reads no clock: the leader passes its state and the time to the Autoscaler as a View, and
// carries out the Commands that the Autoscaler returns. An Autoscaler has no locks and must be used
// from one goroutine.
//
// Invariants:
//   - Each launch request has a unique name, which contains the leader's term.
//   - The machines of a launch request count as capacity until LaunchEnded reports its outcome.
//   - At most maxLaunchesInFlight launch requests and one termination request are in flight.
//   - The termination of a machine is requested again until a request for it has succeeded.
//   - Nothing is launched while machines may still apply commands of earlier terms, or before the list
//     of machines has been read.
package autoscaler
