package controller

import (
	"fmt"
	"testing"
	"time"
)

// The store refuses the leader alone and then everybody, for longer than a
// cancellation has, while users cancel and ask at all nodes: what was told holds,
// and once the store is back all is answered.
func TestAnswersAroundAnOutage(t *testing.T) {
	aloneThenOut(t, func(tn *userCluster, want map[string]string) { tn.checkFinalPhases(want) })
}

// Nor does a task run on for longer than a cancellation has: the leader hears of what
// was cancelled through the others while it alone was refused.
func TestCancelledTasksAroundAnOutage(t *testing.T) {
	aloneThenOut(t, func(tn *userCluster, _ map[string]string) { tn.checkNoneOverdue() })
}

func aloneThenOut(t *testing.T, judge func(tn *userCluster, want map[string]string)) {
	for _, alone := range []time.Duration{0, 300 * time.Millisecond, time.Second, 3 * time.Second, 6 * time.Second, 8 * time.Second, 11 * time.Second, 15 * time.Second} {
		t.Run(fmt.Sprint("alone for ", alone), func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				tn := newUserCluster(w, 6)
				defer tn.close()
				time.Sleep(10 * time.Second) // all nodes know each other
				const jobs = 20
				want := map[string]string{}
				for i := range jobs {
					s := spec(fmt.Sprint("job-", i), 1)
					if want[s.ID] = "done"; i%2 == 0 {
						want[s.ID] = "withdrawn"
					} else {
						tn.takes.Store(s.ID, time.Duration(10+i)*time.Second)
					}
					tn.accept(i, s)
				}
				time.Sleep(3 * time.Second)
				w.checkEqual("running", tn.tasksOnMachines(), jobs)
				tn.background(func() {
					tn.ways[0].set(true)
					time.Sleep(alone)
					w.store.SetDown(true)
					time.Sleep(35 * time.Second)
					w.store.SetDown(false)
					tn.ways[0].set(false)
				})
				for i := range jobs {
					id := fmt.Sprint("job-", i)
					tn.pollAll(spec(id, 1), 300*time.Millisecond, alone+40*time.Second)
					if i%2 == 0 {
						tn.background(func() {
							time.Sleep(time.Duration(i) * alone / 14) // the last ones in the outage
							tn.cancel(i/2, id)
						})
					}
				}
				time.Sleep(alone + 43*time.Second)
				for i := range jobs {
					id := fmt.Sprint("job-", i)
					for k := range 3 {
						if _, err := tn.checker.ask(tn.nodeAt(k), id); err != nil {
							t.Errorf("%s at node %d, 8 s after the outage: %v", id, k, err)
						}
					}
				}
				time.Sleep(60 * time.Second)
				w.checkEqual("on machines", tn.tasksOnMachines(), 0)
				judge(tn, want)
			})
		})
	}
}
