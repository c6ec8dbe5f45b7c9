package controller

import (
	"time"

	"example.org/ivytrestle/internal/cluster"
)

// updateImageLocations counts the CPUs of the schedulable machines that have each image.
func (lt *leaderTerm) updateImageLocations(now time.Time) {
	clear(lt.imageLocations)
	for _, m := range lt.machines {
		if !m.IsSchedulable(now) {
			continue
		}
		for image := range m.Images.Used {
			lt.imageLocations[image] += m.CPUs
		}
	}
}

// fetchTime is how long a machine takes to fetch a job's image, if it must.
func (lt *leaderTerm) fetchTime(j *cluster.Job, m *cluster.Machine) time.Duration {
	rate := lt.c.types.load()[m.Type].FetchGBs
	if rate <= 0 || m.Images.Has(j.Spec.Image) || m.Fetching[j.Spec.Image] {
		return 0
	}
	return time.Duration(j.Spec.ImageGB / rate * float64(time.Second))
}

// isPreferredMachine tells whether a machine should serve a job before others because it has the image, or
// because waiting for machines that have it would take longer than the fetch. On a full fleet,
// capacity becomes free where tasks end; if images were fetched everywhere, much of it would be
// idle meanwhile.
func (lt *leaderTerm) isPreferredMachine(j *cluster.Job, m *cluster.Machine, now time.Time) bool {
	fetch := lt.fetchTime(j, m)
	if fetch == 0 {
		return true
	}
	if j.SkippedSince.IsZero() {
		j.SkippedSince = now
	}
	// The CPUs that become free at the image's locations during the fetch, if each does once
	// in an estimated run of this job.
	freed := lt.imageLocations[j.Spec.Image] * fetch.Seconds() / max(j.Spec.EstimateS, 1)
	return freed < float64(j.Flight.Untaken())*j.Spec.CPUs || now.Sub(j.SkippedSince) > lt.maxSkipTime(fetch)
}

// maxSkipTime is for how long a job may be skipped by machines that would take a time to fetch its
// image: maxSkipFetches times that, but no longer than leaves time to fetch it and still start
// within what the guarantee allows.
func (lt *leaderTerm) maxSkipTime(fetch time.Duration) time.Duration {
	limit := maxSkipFetches * fetch
	switch {
	case lt.startWithin == 0:
	case fetch < lt.startWithin:
		limit = min(limit, lt.startWithin-fetch)
	default:
		limit = min(limit, lt.startWithin)
	}
	return limit
}

// maxSkipFetches is for how many times the duration of the fetch a job may be skipped by machines
// without its image.
const maxSkipFetches = 2
