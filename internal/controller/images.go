package controller

import (
	"time"

	"example.org/ivytrestle/internal/api"
)

// imageCache is the leader's model of a machine's image cache: the images used last, up to the
// capacity for them.
type imageCache struct {
	used map[string]cachedImage
	// gb is the sum of the images' sizes.
	gb float64
}

// cachedImage is when an image was last used, and its size.
type cachedImage struct {
	at time.Time
	gb float64
}

// has tells whether an image is cached.
func (c *imageCache) has(image string) bool { _, ok := c.used[image]; return ok }

// add records that a job's image is on the machine, and evicts the least recently used images
// that exceed the capacity.
func (c *imageCache) add(s *api.JobSpec, capacityGB float64, now time.Time) {
	if c.used == nil {
		c.used = map[string]cachedImage{}
	}
	c.gb += s.ImageGB - c.used[s.Image].gb
	c.used[s.Image] = cachedImage{at: now, gb: s.ImageGB}
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

// countImageLocations counts the CPUs of the schedulable machines that have each image.
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
	rate := lt.c.types.load()[m.machineType].FetchGBs
	if rate <= 0 || m.images.has(j.spec.Image) || m.fetching[j.spec.Image] {
		return 0
	}
	return time.Duration(j.spec.ImageGB / rate * float64(time.Second))
}

// prefers tells whether a machine should serve a job before others because it has the image, or
// because waiting for machines that have it would take longer than the fetch. On a full fleet,
// capacity becomes free where tasks end; if images were fetched everywhere, much of it would be
// idle meanwhile.
func (lt *leaderTerm) prefers(j *job, m *machine, now time.Time) bool {
	fetch := lt.fetchTime(j, m)
	if fetch == 0 {
		return true
	}
	if j.skippedSince.IsZero() {
		j.skippedSince = now
	}
	// The CPUs that become free at the image's locations during the fetch, if each does once
	// in an estimated run of this job.
	freed := lt.imageLocations[j.spec.Image] * fetch.Seconds() / max(j.spec.EstimateS, 1)
	return freed < float64(j.flight.Untaken())*j.spec.CPUs || now.Sub(j.skippedSince) > lt.skipWindow(fetch)
}

// skipWindow is for how long a job may be skipped by machines that would take a time to fetch its
// image: skipFetches times that, but no longer than leaves time to fetch it and still start
// within what the guarantee allows.
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

// isUrgent tells whether a job has a time by which its tasks should start and that is still
// ahead. Until then not even a machine without other work should fetch its image, as those that
// have it may still serve it in time.
func (j *job) isUrgent(now time.Time) bool { return now.Before(j.startBy) }

// skipFetches is for how many times the duration of the fetch a job may be skipped by machines
// without its image.
const skipFetches = 2
