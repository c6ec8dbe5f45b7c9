package autoscaler

import (
	"time"

	"example.org/ivytrestle/internal/cluster"
)

// Demand returns the CPUs that the teams need now to meet their objectives. Each team's demand is capped
// at its limit. Demand within a team's guarantee counts in full, because those tasks should start at
// once. Beyond the guarantee, a job whose tasks can run one after the other and still meet its objective
// counts only with the tasks that must run at the same time. A job in backoff counts with one task.
func (a *Autoscaler) Demand(view *View) float64 {
	bootedAt := view.Now.Add(LongestBoot(view.Types))
	sum := 0.0
	for _, t := range view.Teams {
		// The CPUs that the team needs to run all tasks at once, and to finish them in time.
		atOnce, inTime := t.UsedCPUs, t.UsedCPUs
		for _, j := range t.Items() {
			cpus := float64(neededTasks(j)) * j.Spec.CPUs
			atOnce += cpus
			inTime += cpus / j.RunsPerCPU(bootedAt)
		}
		guaranteed := min(atOnce, t.GuaranteedCPUs)
		sum += min(max(inTime, guaranteed), t.LimitCPUs)
	}
	return sum
}

// neededTasks returns for how many tasks of a queued job capacity is needed now. A job in backoff needs
// capacity for one task, to find out whether it still fails: with none it would never run, and with more it
// would launch machines for all its tasks while they fail.
func neededTasks(j *cluster.Job) int {
	switch {
	case j.Finishing:
		return 0
	case j.BackoffCount > 0:
		return min(j.Flight.Untaken(), 1)
	}
	return j.Flight.Untaken()
}

// demandPeak tracks the maximum demand in a sliding window. Jobs arrive in bursts that are shorter than
// the boot time of a machine, so the fleet is kept large enough for another burst of the same size.
type demandPeak struct {
	times []time.Time
	cpus  []float64
}

// add adds the current demand and returns the maximum in the window.
func (p *demandPeak) add(now time.Time, cpus float64, window time.Duration) float64 {
	// Values are kept in descending order: a value that is followed by one at least as high cannot
	// become the maximum.
	for len(p.cpus) > 0 && p.cpus[len(p.cpus)-1] <= cpus {
		p.times, p.cpus = p.times[:len(p.times)-1], p.cpus[:len(p.cpus)-1]
	}
	p.times, p.cpus = append(p.times, now), append(p.cpus, cpus)
	for now.Sub(p.times[0]) > window {
		p.times, p.cpus = p.times[1:], p.cpus[1:]
	}
	return p.cpus[0]
}
