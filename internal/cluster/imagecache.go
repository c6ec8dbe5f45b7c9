package cluster

import (
	"time"

	"example.org/ivytrestle/internal/api"
)

// ImageCache is the leader's model of a machine's image cache, which evicts the least recently used
// images when it is full.
type ImageCache struct {
	Entries map[string]cachedImage
	// TotalGB is the total size of the images.
	TotalGB float64
}

// cachedImage is the last use and the size of an image.
type cachedImage struct {
	lastUsed time.Time
	sizeGB   float64
}

// Has reports whether an image is in the cache.
func (c *ImageCache) Has(image string) bool { _, ok := c.Entries[image]; return ok }

// Add records that a job's image is in use on the machine, and evicts the least recently used other
// images while the cache exceeds its capacity. With a capacity of 0 nothing is evicted.
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
