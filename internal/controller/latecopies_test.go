package controller

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
)

// Guards against a late copy of a direct start that runs an ended attempt once more, so that its task runs
// on two machines or after the cancellation of its job.
func TestLateCopyOfDirectStart(t *testing.T) {
	for _, end := range []struct {
		name string
		// end ends the attempts of job-1 on the first machine.
		end func(w *simulatedCluster, leader *node, agent *worker)
	}{
		{"done", func(_ *simulatedCluster, _ *node, agent *worker) { agent.exit(api.CauseDone) }},
		{"failed", func(_ *simulatedCluster, _ *node, agent *worker) { agent.exit(api.CauseError) }},
		{"refused", func(_ *simulatedCluster, _ *node, agent *worker) { agent.exit(api.CauseNoCapacity) }},
		{"moved", func(_ *simulatedCluster, leader *node, agent *worker) {
			leader.inspect(func(c *Controller) {
				m := c.leaderTerm.machines[agent.status.Machine]
				m.CordonedUntil = time.Now().Add(time.Hour)
				for _, a := range m.Attempts {
					c.leaderTerm.requestStop(a, 0, time.Now())
				}
			})
		}},
		{"cancelled", func(w *simulatedCluster, leader *node, _ *worker) {
			if _, err := leader.Cancel(w.t.Context(), "job-1"); err != nil {
				w.t.Fatal(err)
			}
		}},
	} {
		for _, leader := range []struct {
			name string
			// change is what happens to the leader between the end of the attempts and the copy.
			change func(w *simulatedCluster, leader *node)
		}{
			{"same leader", func(*simulatedCluster, *node) {}},
			{"leader gone", func(_ *simulatedCluster, leader *node) { leader.crash() }},
			{"leader back within a second", func(w *simulatedCluster, leader *node) {
				leader.crash()
				w.start("n0")
			}},
			{"another leader", func(w *simulatedCluster, leader *node) {
				leader.crash()
				w.start("n1")
				time.Sleep(30 * time.Second)
			}},
		} {
			t.Run(fmt.Sprint(end.name, ", ", leader.name), func(t *testing.T) {
				simulate(t, func(w *simulatedCluster) {
					n, sender, agents := w.startWithSlowHeartbeats(1)
					w.submit(n, spec("job-1", 2))
					time.Sleep(time.Second)
					started := attemptsOn(agents[0])
					w.checkEqual("tasks started directly", len(started), 2)
					other := w.worker("i-9", "a", false)
					sender.addMachine(other)
					end.end(w, n, agents[0])
					heartbeatAll([]*worker{agents[0], other}, n, 12)
					leader.change(w, n)
					before := attemptsOn(agents[0])
					for _, attempt := range started {
						w.checkEqual("ended attempt was reaped", slices.Contains(before, attempt), false)
					}
					sender.deliverCopies()
					w.checkEqual("attempts after the copies", attemptsOn(agents[0]), before)
				})
			})
		}
	}
}

// attemptsOn returns the numbers of the attempts that a machine knows.
func attemptsOn(agent *worker) []uint64 {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	attempts := make([]uint64, 0, len(agent.status.Tasks))
	for _, task := range agent.status.Tasks {
		attempts = append(attempts, task.Attempt)
	}
	return attempts
}
