// Package failuredetector decides which machines a leader probes, resyncs and terminates: which
// are suspect, whether a partition of their zone is the more likely cause, and which are confirmed
// dead or cannot be sent commands.
//
// The owner passes machines and the time, and carries out what is returned: it sends the requests,
// applies heartbeats, evacuates and scales in. The package does no I/O and has no clock. One
// goroutine owns a Detector, so nothing here locks.
//
// Two invariants hold between calls. Check and NextResync return no request beyond MaxDials probes
// and as many resyncs in flight: each request counts until its result is passed to ProbeResult or
// ResyncResult. And the time of a pause of this process counts neither as a missed heartbeat nor as
// a failed request or an unapplied response.
package failuredetector
