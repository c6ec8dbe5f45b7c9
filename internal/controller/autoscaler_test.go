package controller

import (
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/config"
)

// requestedMachines returns the number of machines in all launch requests.
func (f *fakeCloud) requestedMachines() (machines int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, request := range f.launches {
		machines += request.Count
	}
	return machines
}

// Launching machines for all tasks of a burst at once is wasteful: some of the tasks have already run
// when the machines are up, and idle machines are kept for half a minute. So tasks that can run one
// after the other and still meet their objective must share machines, unless they are within a
// guarantee.
func TestTasksThatCanRunSequentiallyShareMachines(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(s *api.JobSpec)
		want   int // machines launched
	}{
		// The tasks need 16 CPUs, of which 8 are guaranteed, on machines with 4 CPUs.
		{"some time to spare", func(s *api.JobSpec) { s.EstimateS = 50 }, 3},
		{"much time to spare but guaranteed CPUs", func(s *api.JobSpec) { s.EstimateS = 10 }, 2},
		{"no time to spare", func(s *api.JobSpec) { s.DeadlineS = 40 }, 4},
		{"start objective", func(s *api.JobSpec) { s.Class = "soon" }, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				w.teams = []config.Team{{Name: "red", CPUs: 8, LimitCPUs: 64}}
				n := w.start("n0")
				n.inspect(func(c *Controller) {
					c.Policy.MinCPUs, c.Policy.Headroom = 0, 0
					c.Settings.Site.Objectives = append(c.Settings.Site.Objectives,
						config.Objective{Kind: "finished", Class: "soon", WithinS: 90},
						config.Objective{Kind: "wait", Class: "soon", WithinS: 30},
					)
				})
				time.Sleep(20 * time.Second) // until rejected launch requests may be retried
				w.cloud.mu.Lock()
				w.cloud.capacity, w.cloud.launches = 10, nil
				w.cloud.mu.Unlock()
				s := spec("job-1", 16)
				c.change(s)
				w.submit(n, s)
				time.Sleep(2 * time.Second)
				w.checkEqual("machines launched", w.cloud.requestedMachines(), c.want)
			})
		})
	}
}
