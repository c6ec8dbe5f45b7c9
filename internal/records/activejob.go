package records

import (
	"context"
	"fmt"
	"time"

	"example.org/ivytrestle/internal/completion"
	"example.org/ivytrestle/internal/kv"
)

// ActiveJob is what the active record of a job tells about its end.
type ActiveJob struct {
	// Tasks is the number of its tasks.
	Tasks int
	// Accepted is when the job was accepted, by the clock of the node that accepted it.
	Accepted time.Time
	// OtherCellDecides is set if another cell decides how the job ends: it is lent to that cell, or runs
	// here on that cell's behalf.
	OtherCellDecides bool
}

// ActiveJob reads the active record of a job.
func (r *Records) ActiveJob(ctx context.Context, id string) (job ActiveJob, found bool, err error) {
	var rec ActiveRecord
	err = kv.Retry(ctx, func() error {
		e, err := r.getEntry(ctx, ActivePrefix+id)
		if found = err == nil && e.ModRevision != 0; !found {
			return err
		}
		return decodeRecord(e, &rec)
	})
	job = ActiveJob{
		Tasks:            rec.Spec.Tasks,
		Accepted:         rec.Accepted,
		OtherCellDecides: rec.Lent != nil || rec.Guest != nil,
	}
	return job, found, wrapError("read active record of", id, err)
}

// CompletedTasks reads the tasks of a job whose completion is recorded.
func (r *Records) CompletedTasks(ctx context.Context, id string) (completion.Tasks, error) {
	entries, err := r.readRange(ctx, CompletionPrefix+id+"/")
	if err != nil {
		return nil, wrapError("read completed tasks of", id, err)
	}
	var tasks completion.Tasks
	for _, e := range entries {
		_, first, ok := ParseCompletionKey(e.Key)
		if !ok {
			return nil, wrapError("read completed tasks of", id, fmt.Errorf("invalid key %s", e.Key))
		}
		var rec CompletionRecord
		if err := decodeRecord(e, &rec); err != nil {
			return nil, wrapError("read completed tasks of", id, err)
		}
		for task := range completion.Tasks(rec.Done).All() {
			tasks = tasks.With(first + task)
		}
	}
	return tasks, nil
}
