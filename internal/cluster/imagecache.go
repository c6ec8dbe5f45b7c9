package cluster

import (
	"time"

	"example.org/ivytrestle/internal/api"
)

// ImageCache is the leader's model of a machine's image cache: the images used last, up to the
// capacity for them.
type ImageCache struct {
	Used map[string]cachedImage
	// GB is the sum of the images' sizes.
	GB float64
}

// cachedImage is when an image was last used, and its size.
type cachedImage struct {
	at time.Time
	GB float64
}

// Has tells whether an image is cached.
func (c *ImageCache) Has(image string) bool { _, ok := c.Used[image]; return ok }

// Add records that a job's image is on the machine, and evicts the least recently used images
// that exceed the capacity.
func (c *ImageCache) Add(s *api.JobSpec, capacityGB float64, now time.Time) {
	if c.Used == nil {
		c.Used = map[string]cachedImage{}
	}
	c.GB += s.ImageGB - c.Used[s.Image].GB
	c.Used[s.Image] = cachedImage{at: now, GB: s.ImageGB}
	for capacityGB > 0 && c.GB > capacityGB && len(c.Used) > 1 {
		oldest := ""
		for name, entry := range c.Used {
			if name != s.Image && (oldest == "" || entry.at.Before(c.Used[oldest].at)) {
				oldest = name
			}
		}
		c.GB -= c.Used[oldest].GB
		delete(c.Used, oldest)
	}
}
