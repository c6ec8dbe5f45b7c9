package cluster

import (
	"testing"
	"time"

	"github.com/bits-and-blooms/bitset"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/flight"
)

// newTestJob returns a job of which no task has started.
func newTestJob(tasks int) *Job {
	return &Job{
		Spec:           api.JobSpec{ID: "job-1", Tasks: tasks, CPUs: 1, Spot: true},
		Flight:         flight.New(tasks),
		ActiveAttempts: map[int]*Attempt{},
		AttemptsByZone: map[string]int{},
		Done:           bitset.New(uint(tasks)),
	}
}

// Guards against exclusions that never end: a job would wait for ever next to a machine that has recovered.
// They must end early enough for a start within 90 s of the last failure.
func TestExclusionsEnd(t *testing.T) {
	start := time.Unix(0, 0)
	at := func(second int) time.Time { return start.Add(time.Duration(second) * time.Second) }
	for _, c := range []struct {
		name     string
		tasks    int
		exclude  func(e *Exclusions)
		wantEndS int // 0: the job is not excluded
	}{
		{"one of several tasks failed", 4, func(e *Exclusions) { e.RecordFailure(0, "m", at(0)) }, 0},
		{"the only task failed", 1, func(e *Exclusions) { e.RecordFailure(0, "m", at(0)) }, 30},
		{"several tasks failed", 4, func(e *Exclusions) {
			e.RecordFailure(0, "m", at(0))
			e.RecordFailure(1, "m", at(2))
		}, 32},
		{"failed again after the exclusion", 4, func(e *Exclusions) {
			e.RecordFailure(0, "m", at(0))
			e.RecordFailure(1, "m", at(0))
			e.RecordFailure(1, "m", at(30))
		}, 90},
		{"failed for the third time", 1, func(e *Exclusions) {
			e.RecordFailure(0, "m", at(0))
			e.RecordFailure(0, "m", at(30))
			e.RecordFailure(0, "m", at(100))
		}, 160},
		{"completed a task in between", 4, func(e *Exclusions) {
			e.RecordFailure(0, "m", at(0))
			e.RecordFailure(1, "m", at(0))
			e.RecordSuccess("m")
			e.RecordFailure(1, "m", at(30))
		}, 0},
		{"straggler", 1, func(e *Exclusions) { e.ExcludeStraggler(0, "m", at(0)) }, 60},
	} {
		t.Run(c.name, func(t *testing.T) {
			j := newTestJob(c.tasks)
			c.exclude(&j.Exclusions)
			if j.Avoids("other", at(0)) {
				t.Error("the job avoids another machine")
			}
			if got := j.Avoids("m", at(c.wantEndS)); got {
				t.Errorf("still excluded after %d s", c.wantEndS)
			}
			if c.wantEndS > 0 && !j.Avoids("m", at(c.wantEndS-1)) {
				t.Errorf("no longer excluded after %d s, want %d s", c.wantEndS-1, c.wantEndS)
			}
		})
	}
}

// Exclusions of tasks are kept only while they last, and for at most a minute longer: every start of a task
// looks at them.
func TestEndedExclusionsOfTasksAreRemoved(t *testing.T) {
	var e Exclusions
	now := time.Unix(0, 0)
	for task := range 1000 {
		e.RecordFailure(task, "m", now)
		now = now.Add(time.Second)
		if most := int(2 * maxExclusion / time.Second); len(e.tasks) > most {
			t.Fatalf("after %d failures: %d exclusions, want at most %d", task+1, len(e.tasks), most)
		}
	}
}

// Guards against a faulty machine that gets every task of a job again whenever an exclusion ends.
func TestMachineOnProbationGetsOneTask(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name    string
		attempt *Attempt
		success bool
		want    bool
	}{
		{"no task on the machine", nil, false, true},
		{"a task that has not started", &Attempt{}, false, false},
		{"a task that has just started", &Attempt{RunningAt: now.Add(-9 * time.Second)}, false, false},
		{"a task that has run for long", &Attempt{RunningAt: now.Add(-probationRun)}, false, true},
		{"a task that has exited", &Attempt{Exited: true}, false, true},
		{"a task has completed since", &Attempt{}, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			j := newTestJob(4)
			m := &Machine{Name: "m", Attempts: map[AttemptKey]*Attempt{{Ref: "other/0"}: {Job: newTestJob(1)}}}
			for task := range 2 {
				j.Exclusions.RecordFailure(task, "m", now.Add(-time.Minute))
			}
			if c.success {
				j.Exclusions.RecordSuccess("m")
			}
			if c.attempt != nil {
				c.attempt.Job = j
				m.Attempts[AttemptKey{Ref: "job-1/0"}] = c.attempt
			}
			if got := j.MayStartMoreOn(m, now); got != c.want {
				t.Errorf("got %t, want %t", got, c.want)
			}
		})
	}
}
