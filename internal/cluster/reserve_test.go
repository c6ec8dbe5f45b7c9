package cluster

import (
	"math"
	"math/rand/v2"
	"testing"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/queue"
)

// reservations is a small cluster and the attempts on its machines.
type reservations struct {
	teams             []*queue.Team[*Job]
	jobs              []*Job
	machines          []*Machine
	attempts          []*Attempt
	totalUnattributed UnattributedUsage
}

func newReservations(rnd *rand.Rand) *reservations {
	r := &reservations{}
	for _, name := range []string{"red", "blue"} {
		r.teams = append(r.teams, &queue.Team[*Job]{Name: name})
	}
	for range 4 {
		r.jobs = append(r.jobs, &Job{
			Spec: api.JobSpec{
				CPUs:     float64(1+rnd.IntN(8)) / 2,
				GPUs:     float64(rnd.IntN(3)) / 4,
				MemoryGB: float64(1 + rnd.IntN(9)),
			},
			Team:           r.teams[rnd.IntN(len(r.teams))],
			AttemptsByZone: map[string]int{},
		})
	}
	for range 3 {
		r.machines = append(r.machines, &Machine{
			Zone:              []string{"north", "south"}[rnd.IntN(2)],
			CPUs:              16,
			GPUs:              4,
			TotalUnattributed: &r.totalUnattributed,
		})
	}
	return r
}

// reserve adds an attempt. One in five belongs to an unknown job.
func (r *reservations) reserve(rnd *rand.Rand) {
	a := &Attempt{Machine: r.machines[rnd.IntN(len(r.machines))]}
	if rnd.IntN(5) > 0 {
		a.Job = r.jobs[rnd.IntN(len(r.jobs))]
	}
	a.Reserve()
	r.attempts = append(r.attempts, a)
}

// release releases a random attempt, and one in four of them twice.
func (r *reservations) release(rnd *rand.Rand) {
	if len(r.attempts) == 0 {
		return
	}
	i := rnd.IntN(len(r.attempts))
	a := r.attempts[i]
	a.Release()
	if rnd.IntN(4) == 0 {
		a.Release()
	}
	r.attempts = append(r.attempts[:i], r.attempts[i+1:]...)
}

// check compares the usage of machines, teams and jobs with the sums over the attempts.
func (r *reservations) check(t *testing.T) {
	t.Helper()
	var total UnattributedUsage
	for _, m := range r.machines {
		used := r.checkMachine(t, m)
		total.CPUs += used.CPUs
		total.GPUs += used.GPUs
	}
	checkAmount(t, "unattributed CPUs", r.totalUnattributed.CPUs, total.CPUs)
	checkAmount(t, "unattributed GPUs", r.totalUnattributed.GPUs, total.GPUs)
	for _, team := range r.teams {
		used := r.sum(func(a *Attempt) bool { return a.Job != nil && a.Job.Team == team })
		checkAmount(t, "CPUs of a team", team.UsedCPUs, used.CPUs)
		checkAmount(t, "GPUs of a team", team.UsedGPUs, used.GPUs)
	}
	for _, j := range r.jobs {
		for _, zone := range []string{"north", "south"} {
			inZone := r.sum(func(a *Attempt) bool { return a.Job == j && a.Machine.Zone == zone })
			checkAmount(t, "attempts of a job in a zone", float64(j.AttemptsByZone[zone]), float64(inZone.Tasks))
		}
	}
}

// checkMachine checks the usage of a machine and returns its unattributed usage.
func (r *reservations) checkMachine(t *testing.T, m *Machine) UnattributedUsage {
	t.Helper()
	used := r.sum(func(a *Attempt) bool { return a.Machine == m && a.Job != nil })
	checkAmount(t, "CPUs of a machine", m.UsedCPUs, used.CPUs)
	checkAmount(t, "GPUs of a machine", m.UsedGPUs, used.GPUs)
	checkAmount(t, "memory of a machine", m.usedMemory, used.MemoryGB)
	unattributed := r.sum(func(a *Attempt) bool { return a.Machine == m && a.Job == nil }).Tasks
	checkAmount(t, "unattributed attempts of a machine", float64(m.unattributedAttempts), float64(unattributed))
	if unattributed > 0 {
		return UnattributedUsage{CPUs: m.CPUs, GPUs: m.GPUs}
	}
	return UnattributedUsage{}
}

// sum returns the total resources of the matching attempts, and their number as Tasks.
func (r *reservations) sum(match func(*Attempt) bool) api.JobSpec {
	var total api.JobSpec
	for _, a := range r.attempts {
		if !match(a) {
			continue
		}
		total.Tasks++
		if a.Job != nil {
			total.CPUs += a.Job.Spec.CPUs
			total.GPUs += a.Job.Spec.GPUs
			total.MemoryGB += a.Job.Spec.MemoryGB
		}
	}
	return total
}

func checkAmount(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > Epsilon {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

// The usage of machines and teams, and each job's attempts by zone, are the sums over the reserved
// attempts, in whatever order attempts are reserved and released. Otherwise a team would permanently
// lose capacity or exceed its limit.
func TestUsageIsSumOfReservedAttempts(t *testing.T) {
	const sequences, steps = 100, 60
	for seed := range uint64(sequences) {
		rnd := rand.New(rand.NewPCG(seed, 0))
		r := newReservations(rnd)
		for range steps {
			if rnd.IntN(3) > 0 {
				r.reserve(rnd)
			} else {
				r.release(rnd)
			}
			r.check(t)
		}
		for len(r.attempts) > 0 {
			r.release(rnd)
		}
		r.check(t)
		if t.Failed() {
			t.Fatalf("with seed %d", seed)
		}
	}
}
