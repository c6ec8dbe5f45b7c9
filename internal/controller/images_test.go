package controller

import (
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
)

func TestImageCacheDropsTheLeastRecentlyUsed(t *testing.T) {
	var c cluster.ImageCache
	t0 := time.Unix(0, 0)
	use := func(image string, sizeGB float64, atS int) {
		c.Add(&api.JobSpec{Image: image, ImageGB: sizeGB}, 10, t0.Add(time.Duration(atS)*time.Second))
	}
	use("a", 4, 0)
	use("b", 4, 1)
	use("a", 4, 2)
	use("c", 4, 3)
	if !c.Has("a") || c.Has("b") || !c.Has("c") || c.TotalGB != 8 {
		t.Errorf("got images %v of %v GB, want a and c of 8 GB", c.Entries, c.TotalGB)
	}
	use("d", 20, 4) // larger than the cache, but still kept
	if !c.Has("d") || c.Has("a") || c.Has("c") {
		t.Errorf("got images %v, want d, and neither a nor c", c.Entries)
	}
}

// A job that is skipped by machines without its image must still meet its start objective.
func TestSkippedJobStartsInTime(t *testing.T) {
	for _, c := range []struct {
		name                     string
		startWithin, fetch, want time.Duration
	}{
		{"no objective", 0, 6 * time.Second, 12 * time.Second},
		{"objective leaves less than two fetches", 10 * time.Second, 6 * time.Second, 4 * time.Second},
		{"objective leaves more than one fetch", 5 * time.Second, 2 * time.Second, 3 * time.Second},
		{"distant objective", time.Minute, 6 * time.Second, 12 * time.Second},
		{"objective before the end of a fetch", 5 * time.Second, 6 * time.Second, 5 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			lt := &leaderTerm{startObjective: c.startWithin}
			if got := lt.maxSkipTime(c.fetch); got != c.want {
				t.Errorf("skipWindow(%v) with a start within %v: got %v, want %v", c.fetch, c.startWithin, got, c.want)
			}
		})
	}
}
