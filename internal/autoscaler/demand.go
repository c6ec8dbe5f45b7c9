package autoscaler

import (
	"time"
)

// Demand is the CPUs that the teams need now to meet their objectives, each within its limit. What
// is within a team's guarantee should start at once and counts in full; beyond it, a job whose
// tasks can run one after the other counts for the part of its tasks that must run at the same
// time.
func (as *Autoscaler) Demand(v *View) float64 {
	bootedAt := v.Now.Add(LongestBoot(v.Types))
	sum := 0.0
	for _, t := range v.Teams {
		atOnce, inTime := t.UsedCPUs, t.UsedCPUs
		for _, j := range t.Items() {
			if j.Finishing || j.FailureRounds > 0 {
				continue
			}
			cpus := float64(j.Flight.Untaken()) * j.Spec.CPUs
			atOnce += cpus
			inTime += cpus / j.RunsPerCPU(bootedAt)
		}
		guaranteed := min(atOnce, t.GuaranteedCPUs)
		sum += min(max(inTime, guaranteed), t.LimitCPUs)
	}
	return sum
}

// demandPeak is the highest demand of a sliding window. Jobs arrive in bursts that use the fleet for
// less time than a machine takes to boot, so machines are kept for the next burst of that size.
type demandPeak struct {
	times []time.Time
	cpus  []float64
}

// add adds the present demand, and returns the highest in the window.
func (p *demandPeak) add(now time.Time, cpus float64, window time.Duration) float64 {
	// Only falling values are kept: a lower one before a higher one can never
	// be the highest again.
	for len(p.cpus) > 0 && p.cpus[len(p.cpus)-1] <= cpus {
		p.times, p.cpus = p.times[:len(p.times)-1], p.cpus[:len(p.cpus)-1]
	}
	p.times, p.cpus = append(p.times, now), append(p.cpus, cpus)
	for now.Sub(p.times[0]) > window {
		p.times, p.cpus = p.times[1:], p.cpus[1:]
	}
	return p.cpus[0]
}
