package controller

import (
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
)

// An operator is told why jobs wait: each reason by itself.
func TestWhyWorkWaits(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		w.teams[0].LimitCPUs = 100
		n := w.start("n0")
		large := spec("job-1", 8)
		large.Team = "blue" // whose limit is 8
		w.submit(n, large)
		ks := []*worker{w.worker("i-1", "a", false), w.worker("i-2", "a", false), w.worker("i-3", "a", false)}
		for range 4 {
			for _, k := range ks {
				k.heartbeat(n)
			}
			time.Sleep(time.Second)
		}
		more := spec("job-2", 1)
		more.Team = "blue"
		w.submit(n, more) // the team's limit is in use
		w.submit(n, spec("job-3", 4))
		for range 3 {
			for _, k := range ks {
				k.heartbeat(n)
			}
			time.Sleep(time.Second)
		}
		w.submit(n, spec("job-4", 1)) // all machines are in use
		n.inspect(func(c *Controller) {
			got, oldest := c.leaderTerm.pendingReasons(time.Now())
			w.checkEqual("waits", got, map[string]int{"team limit": 1, "no room": 1})
			w.checkEqual("oldest", oldest.Spec.ID, "job-2")
			c.leaderTerm.unfenced++
			oldest.ModRevision = c.leaderTerm.term.ModRevision // accepted before this term
			w.checkEqual("before a takeover is over", c.leaderTerm.pendingReason(oldest, time.Now()), "takeover")
			c.leaderTerm.unfenced--
			oldest.BackoffUntil = time.Now().Add(time.Second)
			w.checkEqual("held", c.leaderTerm.pendingReason(oldest, time.Now()), "fails everywhere")
		})
	})
}

// A run past the operators' limit is restarted once, and never where they set
// none; what makes a run overdue besides is tested with the machines that are slow.
func TestRestartLimitIsTheOperators(t *testing.T) {
	for _, c := range []struct {
		limit float64
		want  bool
	}{{2, true}, {4, false}, {0, false}} {
		simulate(t, func(w *simulatedCluster) {
			n := w.start("n0")
			n.inspect(func(o *Controller) { o.Policy.RestartLimit = c.limit })
			slow, well := w.worker("i-1", "a", false), w.worker("i-2", "a", false)
			sp := spec("job-1", 8)
			sp.EstimateS = 10
			w.submit(n, sp)
			stopped := false
			for second := range 32 {
				for _, o := range slow.heartbeat(n) {
					stopped = stopped || o.Verb == api.VerbStop
				}
				well.heartbeat(n)
				if second == 14 {
					well.exit(api.CauseDone)
				}
				time.Sleep(time.Second)
			}
			w.checkEqual("stopped", stopped, c.want)
		})
	}
}
