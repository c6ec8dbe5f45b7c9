package controller

import (
	"time"

	"example.org/ivytrestle/internal/api"
)

// imageCache is what a leader believes a machine to have cached: the images
// used last, up to the room for them.
type imageCache struct {
	used map[string]cachedImage
	gb   float64
}

type cachedImage struct {
	at time.Time
	gb float64
}

// has tells whether an image is cached.
func (c *imageCache) has(image string) bool { _, ok := c.used[image]; return ok }

// use notes that a job's image is on the machine, and drops the images used
// longest ago for which there is no more room.
func (c *imageCache) use(s *api.JobSpec, capacityGB float64, now time.Time) {
	if c.used == nil {
		c.used = map[string]cachedImage{}
	}
	c.gb += s.ImageGB - c.used[s.Image].gb
	c.used[s.Image] = cachedImage{now, s.ImageGB}
	for capacityGB > 0 && c.gb > capacityGB && len(c.used) > 1 {
		oldest := ""
		for name, entry := range c.used {
			if name != s.Image && (oldest == "" || entry.at.Before(c.used[oldest].at)) {
				oldest = name
			}
		}
		c.gb -= c.used[oldest].gb
		delete(c.used, oldest)
	}
}

// hold counts the CPUs of the open machines that have each image.
func (lt *leaderTerm) countImageLocations(now time.Time) {
	clear(lt.imageLocations)
	for _, m := range lt.machines {
		if !m.isSchedulable(now) {
			continue
		}
		for image := range m.images.used {
			lt.imageLocations[image] += m.cpus
		}
	}
}

// fetchTime is how long a machine takes to fetch a job's image, if it must.
func (lt *leaderTerm) fetchTime(j *job, m *machine) time.Duration {
	rate := lt.c.types.load()[m.typ].FetchGBs
	if rate <= 0 || m.images.has(j.spec.Image) || m.fetching[j.spec.Image] {
		return 0
	}
	return time.Duration(j.spec.ImageGB / rate * float64(time.Second))
}

// prefers tells whether a machine should serve a job before others because it
// has the image, or because waiting for machines that have it would take longer
// than the fetch. Room on a full fleet comes free where tasks end; fetching
// images everywhere would hold much of it idle.
func (lt *leaderTerm) prefers(j *job, m *machine, now time.Time) bool {
	fetch := lt.fetchTime(j, m)
	if fetch == 0 {
		return true
	}
	if j.skippedSince.IsZero() {
		j.skippedSince = now
	}
	// What the holders free in the time of the fetch, if their CPUs come free
	// once in an estimated run of this job.
	freed := lt.imageLocations[j.spec.Image] * fetch.Seconds() / max(j.spec.EstimateS, 1)
	return freed < float64(j.flight.Untaken())*j.spec.CPUs || now.Sub(j.skippedSince) > lt.skipWindow(fetch)
}

// skipWindow is for how long a job may be passed over by machines that would take
// a time to fetch its image: twice that, but no longer than leaves time to fetch
// it and still start within what the guarantee allows.
func (lt *leaderTerm) skipWindow(fetch time.Duration) time.Duration {
	limit := skipFetches * fetch
	switch {
	case lt.startWithin == 0:
	case fetch < lt.startWithin:
		limit = min(limit, lt.startWithin-fetch)
	default:
		limit = min(limit, lt.startWithin)
	}
	return limit
}

// isUrgent tells whether a job's tasks should start sooner than a fetch takes:
// then not even a machine with nothing better to do should fetch its image, as
// long as those that have it may still serve it in time.
func (j *job) isUrgent(now time.Time) bool { return now.Before(j.startBy) }

// skipFetches is for how many times the fetch a job may be passed over by
// machines without its image.
const skipFetches = 2
