package loan

import (
	"math"
	"time"
)

// longestWait is told where nothing could ever begin.
const longestWait = 24 * time.Hour

// PredictedWait is how long a job is expected to wait for its first start: not at all
// while CPUs are free, else until the work before it, in CPU seconds, is through.
func PredictedWait(work, cpus, free float64) time.Duration {
	if free > 0 {
		return 0
	}
	if cpus <= 0 {
		return longestWait
	}
	return time.Duration(math.Min(work/cpus, longestWait.Seconds()) * float64(time.Second))
}
