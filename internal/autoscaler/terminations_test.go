package autoscaler

import "testing"

// Guards against a machine that gets tasks and loses them, because it was queued for termination before its
// first heartbeat.
func TestTerminationIsCancelledUntilItIsRequested(t *testing.T) {
	f := newTestFleet(t)
	checkCancelled := func(what, name string, want bool) {
		t.Helper()
		if got := f.CancelTermination(name); got != want {
			t.Errorf("%s: cancelled: got %t, want %t", what, got, want)
		}
	}
	checkCancelled("not queued", "a", true)
	f.ScaleIn(f.addMachine("a", true)) // requested
	f.ScaleIn(f.addMachine("b", true))
	f.ScaleIn(f.addMachine("c", true))
	checkCancelled("request in flight", "a", false)
	checkCancelled("queued", "b", true)
	f.TerminationEnded([]string{"a"})
	checkCancelled("request failed", "a", false)
	checkStrings(t, "next termination request", f.NextTermination(), []string{"c", "a"})
	f.TerminationEnded(nil)
	checkCancelled("request succeeded", "a", true)
}
