package cluster

import (
	"time"

	"example.org/ivytrestle/internal/api"
)

// ImageCache is the leader's model of a machine's image cache: the images used last, up to the
// capacity for them.
type ImageCache struct {
	Entries map[string]cachedImage
	// TotalGB is the sum of the images' sizes.
	TotalGB float64
}

// cachedImage is when an image was last used, and its size.
type cachedImage struct {
	lastUsed time.Time
	sizeGB   float64
}

// Has tells whether an image is cached.
func (c *ImageCache) Has(image string) bool { _, ok := c.Entries[image]; return ok }

// Add records that a job's image is on the machine, and evicts the least recently used images
// that exceed the capacity.
func (c *ImageCache) Add(s *api.JobSpec, capacityGB float64, now time.Time) {
	if c.Entries == nil {
		c.Entries = map[string]cachedImage{}
	}
	c.TotalGB += s.ImageGB - c.Entries[s.Image].sizeGB
	c.Entries[s.Image] = cachedImage{lastUsed: now, sizeGB: s.ImageGB}
	for capacityGB > 0 && c.TotalGB > capacityGB && len(c.Entries) > 1 {
		oldest := ""
		for name, entry := range c.Entries {
			if name != s.Image && (oldest == "" || entry.lastUsed.Before(c.Entries[oldest].lastUsed)) {
				oldest = name
			}
		}
		c.TotalGB -= c.Entries[oldest].sizeGB
		delete(c.Entries, oldest)
	}
}
