// Package failuredetector decides which machines a leader probes, resyncs and terminates. It
// determines which machines are suspect, whether a partition of their zone is the more likely cause,
// and which are confirmed dead or unable to receive commands.
//
// The owner passes machines and the time, and carries out the returned actions: it sends the
// requests, applies heartbeats, and evacuates and terminates machines. The package does no I/O and
// reads no clock. One goroutine owns a Detector, so there are no locks.
//
// Two invariants hold between calls. Check and NextResync return no request that would exceed the
// limit of MaxDials probes and MaxDials resyncs in flight; each request counts until its result is
// passed to ProbeResult or ResyncResult. The duration of a pause of this process is not counted
// against a machine: not as a missed heartbeat, a failed request or an unapplied response.
package failuredetector
