package autoscaler

import (
	"slices"

	"example.org/ivytrestle/internal/cloud"
	"example.org/ivytrestle/internal/cluster"
)

// terminations are the machines whose termination the cloud has not confirmed.
type terminations struct {
	// queued are the machines of no request in flight.
	queued []string
	// requested are the machines of the request in flight.
	requested []string
	// mayBeApplied holds the queued machines of failed requests, which may still be carried out.
	mayBeApplied map[string]bool
}

// ScaleIn queues a machine for termination. It returns the machines of the termination request to send
// now, none while another request is in flight.
func (a *Autoscaler) ScaleIn(m *cluster.Machine) []string {
	m.Advance(cluster.Terminating)
	a.terminations.queued = append(a.terminations.queued, m.Name)
	return a.NextTermination()
}

// NextTermination returns the machines of the next termination request, none while another request is
// in flight or if no machine is queued. The caller passes the outcome to TerminationEnded.
func (a *Autoscaler) NextTermination() []string {
	t := &a.terminations
	if len(t.requested) > 0 || len(t.queued) == 0 {
		return nil
	}
	n := min(len(t.queued), cloud.MaxTerminate)
	t.requested = slices.Clone(t.queued[:n])
	t.queued = t.queued[n:]
	return slices.Clone(t.requested)
}

// TerminationEnded applies the outcome of a termination request. The machines for which it failed are
// queued again, for a request that a later Tick, ScaleIn or NextTermination returns.
func (a *Autoscaler) TerminationEnded(failed []string) {
	t := &a.terminations
	for _, name := range t.requested {
		delete(t.mayBeApplied, name)
	}
	for _, name := range failed {
		t.mayBeApplied[name] = true
	}
	t.requested = nil
	t.queued = append(t.queued, failed...)
}

// CancelTermination takes a machine that has sent its first heartbeat out of the queue of terminations. It
// reports whether the machine may be used: if a request for its termination has been sent, it may be carried
// out at any time, and the tasks of the machine would be lost.
func (a *Autoscaler) CancelTermination(name string) bool {
	t := &a.terminations
	if slices.Contains(t.requested, name) || t.mayBeApplied[name] {
		return false
	}
	t.queued = slices.DeleteFunc(t.queued, func(queued string) bool { return queued == name })
	return true
}
