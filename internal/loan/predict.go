package loan

import (
	"math"
	"time"
)

// maxPredictedWait is the prediction for a cell without CPUs, and the longest one.
const maxPredictedWait = 24 * time.Hour

// PredictedWait predicts how long a job waits for its first start: 0 while CPUs are free,
// else the time that the CPUs take for the work queued before it, in CPU seconds.
func PredictedWait(work, cpus, free float64) time.Duration {
	if free > 0 {
		return 0
	}
	if cpus <= 0 {
		return maxPredictedWait
	}
	return time.Duration(math.Min(work/cpus, maxPredictedWait.Seconds()) * float64(time.Second))
}
