package controller

import (
	"time"

	"example.org/ivytrestle/internal/cluster"
)

// updateImageLocations recomputes, for each image, the CPUs of the schedulable machines that have it.
func (lt *leaderTerm) updateImageLocations(now time.Time) {
	clear(lt.imageLocations)
	for _, m := range lt.machines {
		if !m.IsSchedulable(now) {
			continue
		}
		for image := range m.Images.Entries {
			lt.imageLocations[image] += m.CPUs
		}
	}
}

// fetchTime returns how long a machine takes to fetch a job's image, or 0 if it has the image, is
// already fetching it, or has an unknown fetch rate.
func (lt *leaderTerm) fetchTime(j *cluster.Job, m *cluster.Machine) time.Duration {
	rate := lt.c.machineTypes.load()[m.Type].FetchGBs
	if rate <= 0 || m.Images.Has(j.Spec.Image) || m.Fetching[j.Spec.Image] {
		return 0
	}
	return time.Duration(j.Spec.ImageGB / rate * float64(time.Second))
}

// isPreferredMachine reports whether a job's tasks should start on this machine rather than wait for
// another: it has the image, or waiting for machines that have it would take longer than the fetch,
// or the job has been skipped for too long. On a full fleet, capacity becomes free wherever a task
// ends. If each of these machines fetched another image, much of the capacity would be idle during
// the fetches. SkippedSince is set at the first machine that would have to fetch the image.
func (lt *leaderTerm) isPreferredMachine(j *cluster.Job, m *cluster.Machine, now time.Time) bool {
	fetch := lt.fetchTime(j, m)
	if fetch == 0 {
		return true
	}
	if j.SkippedSince.IsZero() {
		j.SkippedSince = now
	}
	// freedCPUs is the number of CPUs that become free during the fetch on machines with the
	// image, if each of them becomes free once in the estimated run time of this job.
	freedCPUs := lt.imageLocations[j.Spec.Image] * fetch.Seconds() / max(j.Spec.EstimateS, 1)
	return freedCPUs < float64(j.Flight.Untaken())*j.Spec.CPUs || now.Sub(j.SkippedSince) > lt.maxSkipTime(fetch)
}

// maxSkipTime returns how long a job may be skipped by machines that would have to fetch its image:
// maxSkipFetches times the fetch time, but short enough that the image can still be fetched within
// the start objective of guaranteed work. If the fetch alone takes longer than the objective, the
// limit is the objective itself.
func (lt *leaderTerm) maxSkipTime(fetch time.Duration) time.Duration {
	limit := maxSkipFetches * fetch
	switch {
	case lt.startObjective == 0:
	case fetch < lt.startObjective:
		limit = min(limit, lt.startObjective-fetch)
	default:
		limit = min(limit, lt.startObjective)
	}
	return limit
}

// maxSkipFetches is how long a job may be skipped by machines without its image, in multiples of the
// fetch time.
const maxSkipFetches = 2
