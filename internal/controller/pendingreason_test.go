package controller

import (
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
)

// The status reports each reason for which jobs are pending.
func TestPendingReasons(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		w.teams[0].LimitCPUs = 100
		n := w.start("n0")
		large := spec("job-1", 8)
		large.Team = "blue" // limited to 8 CPUs
		w.submit(n, large)
		workers := w.workers("i-1", "i-2", "i-3")
		heartbeatAll(workers, n, 4)
		more := spec("job-2", 1)
		more.Team = "blue"
		w.submit(n, more) // the team's limit is used up
		w.submit(n, spec("job-3", 4))
		heartbeatAll(workers, n, 3)
		w.submit(n, spec("job-4", 1)) // the capacity of all machines is used up
		n.inspect(func(c *Controller) {
			reasons, oldest := c.leaderTerm.pendingReasons(time.Now())
			w.checkEqual("reasons", reasons, map[string]int{"team limit": 1, "no room": 1})
			w.checkEqual("oldest pending job", oldest.Spec.ID, "job-2")
			c.leaderTerm.unfenced++
			oldest.ModRevision = c.leaderTerm.term.ModRevision // accepted before this term
			w.checkEqual("reason during a takeover", c.leaderTerm.pendingReason(oldest, time.Now()), "takeover")
			c.leaderTerm.unfenced--
			oldest.BackoffUntil = time.Now().Add(time.Second)
			w.checkEqual("reason during a backoff", c.leaderTerm.pendingReason(oldest, time.Now()), "fails everywhere")
		})
	})
}

// Runs beyond the policy's restart limit must be restarted, and none without such a limit.
// Tests with slow machines cover the other conditions for a straggler.
func TestRestartLimitOfThePolicy(t *testing.T) {
	for _, c := range []struct {
		name  string
		limit float64
		want  bool
	}{
		{"exceeded", 2, true},
		{"not exceeded", 4, false},
		{"no limit", 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				n := w.start("n0")
				n.inspect(func(controller *Controller) { controller.Policy.RestartLimit = c.limit })
				slow, fast := w.worker("i-1", "a", false), w.worker("i-2", "a", false)
				s := spec("job-1", 8)
				s.EstimateS = 10
				w.submit(n, s)
				stops := 0
				for second := range 32 {
					stops += countStops(slow.heartbeat(n))
					fast.heartbeat(n)
					if second == 14 {
						fast.exit(api.CauseDone)
					}
					time.Sleep(time.Second)
				}
				w.checkEqual("restarted", stops > 0, c.want)
			})
		})
	}
}
