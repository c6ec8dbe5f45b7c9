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
	use := func(image string, gb float64, at int) {
		c.Add(&api.JobSpec{Image: image, ImageGB: gb}, 10, t0.Add(time.Duration(at)*time.Second))
	}
	use("a", 4, 0)
	use("b", 4, 1)
	use("a", 4, 2)
	use("c", 4, 3)
	if !c.Has("a") || c.Has("b") || !c.Has("c") || c.GB != 8 {
		t.Errorf("%v, %v GB", c.Used, c.GB)
	}
	use("d", 20, 4) // larger than the room: it is there all the same
	if !c.Has("d") || c.Has("a") || c.Has("c") {
		t.Errorf("%v", c.Used)
	}
}

// Work that machines without its image pass over must still start in time.
func TestPassedOverWorkStartsInTime(t *testing.T) {
	for _, c := range []struct{ within, fetch, want int }{
		{0, 6, 12}, {10, 6, 4}, {5, 2, 3}, {60, 6, 12}, {5, 6, 5},
	} {
		lt := &leaderTerm{startWithin: time.Duration(c.within) * time.Second}
		if got := lt.skipWindow(time.Duration(c.fetch) * time.Second); got != time.Duration(c.want)*time.Second {
			t.Errorf("within %d s, fetch of %d s: %v", c.within, c.fetch, got)
		}
	}
}
