package controller

// AnswerStatus is the part of a node's status about the answers that its users got since the process
// began. Its JSON names must not change.
type AnswerStatus struct {
	Answered int64 `json:"answered"`
	// Unknown counts polls and cancellations of jobs that were never accepted, and Rejected the
	// submissions that were rejected for good although they named a job.
	Unknown  int64 `json:"unknown"`
	Rejected int64 `json:"rejected"`
	// Unavailable counts requests that were to be repeated.
	Unavailable int64 `json:"unavailable"`
	// Contradictions counts requests for acknowledged jobs that were not found. It must be 0.
	Contradictions int64 `json:"contradictions"`
	// FailingJobs is the number of jobs whose last poll failed.
	FailingJobs   int                `json:"failing_jobs"`
	Phases        PhaseStatus        `json:"phases"`
	Lookups       LookupStatus       `json:"lookups"`
	Cancellations CancellationStatus `json:"cancellations"`
}

// PhaseStatus counts requests about jobs that had not ended and of which nothing showed whether they run.
type PhaseStatus struct {
	// Unknown counts those that were to be repeated.
	Unknown int64 `json:"unknown"`
	// Assumed counts those that were answered as pending after maxPhaseWait.
	Assumed int64 `json:"assumed"`
}

// CancellationStatus counts requests to cancel a job for which the leader's answer did not suffice.
type CancellationStatus struct {
	// Checked counts all of them.
	Checked int64 `json:"checked"`
	// Finished counts those that were to be repeated because the job is finished, and its end is yet to be
	// recorded.
	Finished int64 `json:"finished"`
	// Undecided counts those that were carried out although nobody knew within completionWait whether the
	// job was finished.
	Undecided int64 `json:"undecided"`
}

// LookupStatus is the state of the lookups in the store for users' requests. Dropped lookups were not
// started before the requests that waited for them had timed out.
type LookupStatus struct {
	Running   int   `json:"running"`
	Queued    int   `json:"queued"`
	Completed int64 `json:"completed"`
	Failed    int64 `json:"failed"`
	Dropped   int64 `json:"dropped"`
}

// answerStatus returns the part of the status about users' answers. Only the owner may call it.
func (c *Controller) answerStatus() AnswerStatus {
	counts := &c.answers.counts
	c.answers.mu.Lock()
	failing := c.answers.failing.Len()
	c.answers.mu.Unlock()
	return AnswerStatus{
		Answered:       counts.answered.Load(),
		Unknown:        counts.unknown.Load(),
		Rejected:       counts.rejected.Load(),
		Unavailable:    counts.unavailable.Load(),
		Contradictions: counts.contradictions.Load(),
		FailingJobs:    failing,
		Phases:         PhaseStatus{Unknown: counts.unknownPhases.Load(), Assumed: counts.assumedPhases.Load()},
		Lookups: LookupStatus{
			Running:   c.lookups.running,
			Queued:    len(c.lookups.queue),
			Completed: c.lookups.counts.completed,
			Failed:    c.lookups.counts.failed,
			Dropped:   c.lookups.counts.dropped,
		},
		Cancellations: CancellationStatus{
			Checked:   counts.checkedCancels.Load(),
			Finished:  counts.finishedCancels.Load(),
			Undecided: counts.undecidedCancels.Load(),
		},
	}
}
