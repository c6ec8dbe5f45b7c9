package records_test

import (
	"slices"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/kv"
	"example.org/ivytrestle/internal/kv/kvtest"
	"example.org/ivytrestle/internal/loan"
	"example.org/ivytrestle/internal/records"
)

// Records of one job do not count for another one whose id begins in the same way, and chunks add up.
func TestActiveJobAndCompletedTasks(t *testing.T) {
	store := kvtest.New()
	accepted := time.Unix(1_000_000, 0).UTC()
	txn := kv.Txn{Ops: []kv.Op{
		{Put: "a/job-1", Value: records.ActiveRecord{Spec: api.JobSpec{ID: "job-1", Tasks: 40}, Accepted: accepted}},
		{Put: "a/job-2", Value: records.ActiveRecord{Lent: &loan.Lent{Spec: api.JobSpec{Tasks: 3}}}},
		{Put: "a/job-3", Value: records.ActiveRecord{Guest: &loan.Guest{Spec: api.JobSpec{Tasks: 3}}}},
		{Put: records.CompletionKey("job-1", 0), Value: records.CompletionRecord{Done: []byte{0b101}}},
		{Put: records.CompletionKey("job-1", 16), Value: records.CompletionRecord{Done: []byte{0, 0b10}}},
		{Put: records.CompletionKey("job-10", 0), Value: records.CompletionRecord{Done: []byte{0xff}}},
	}}
	if _, err := store.Txn(t.Context(), txn); err != nil {
		t.Fatal(err)
	}
	r := records.Records{Store: store}
	for id, want := range map[string]records.ActiveJob{
		"job-1": {Tasks: 40, Accepted: accepted},
		"job-2": {OtherCellDecides: true},
		"job-3": {OtherCellDecides: true},
		"job-4": {},
	} {
		job, found, err := r.ActiveJob(t.Context(), id)
		if err != nil || found != (id != "job-4") || job != want {
			t.Errorf("%s: got %+v, found %v, error %v, want %+v", id, job, found, err, want)
		}
	}
	tasks, err := r.CompletedTasks(t.Context(), "job-1")
	if got := slices.Collect(tasks.All()); err != nil || !slices.Equal(got, []int{0, 2, 25}) {
		t.Errorf("completed tasks: got %v, error %v, want 0, 2 and 25", got, err)
	}
}
