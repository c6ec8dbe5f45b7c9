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
