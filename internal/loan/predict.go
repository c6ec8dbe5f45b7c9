package loan

import (
	"math"
	"time"
)

// maxPredictedWait bounds predictions, and is the prediction for a cell without CPUs.
const maxPredictedWait = 24 * time.Hour

// PredictedWait predicts how long a job waits for its first start. It is 0 while CPUs are free,
// and otherwise the time that all CPUs of the cell take for the work queued before the job, which
// is given in CPU seconds.
func PredictedWait(work, cpus, free float64) time.Duration {
	if free > 0 {
		return 0
	}
	if cpus <= 0 {
		return maxPredictedWait
	}
	return time.Duration(math.Min(work/cpus, maxPredictedWait.Seconds()) * float64(time.Second))
}
