package controller

import (
	"fmt"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
)

// job1 is a job of a team that may use all machines.
func job1(id, team string, tasks int) *api.JobSpec {
	s := spec(id, tasks)
	s.Team = team
	return s
}

// leaderChanges are the ways in which the leadership passes on: the leader is
// refused by the store and the other node follows, or it ends and is back within
// a second, or later.
var leaderChanges = map[string]func(s *stage){
	"handover": (*stage).handOver,
	"at once":  func(s *stage) { s.restart(0) },
	"second":   func(s *stage) { s.restart(time.Second) },
	"late":     func(s *stage) { s.restart(6 * time.Second) },
}

// eachChange sweeps the moment of a leader change, of each kind.
func eachChange(t *testing.T, from, to, step time.Duration, f func(t *testing.T, off time.Duration, change func(*stage))) {
	for kind, change := range leaderChanges {
		for off := from; off < to; off += step {
			t.Run(fmt.Sprint(kind, " ", off), func(t *testing.T) { f(t, off, change) })
		}
	}
}

// Every team is at its limit while jobs are cancelled whose machines are cut off
// or hang, and the leader changes. What is on those machines counts until it is
// off them: neither a machine that the new leader has not heard nor one that holds
// tasks of a job that is over may be left out of the teams' use.
func TestLimitsWhileMachinesAreCutAndTheLeaderChanges(t *testing.T) {
	eachChange(t, 0, 5*time.Second, 700*time.Millisecond, func(t *testing.T, off time.Duration, change func(*stage)) {
		playStage(t, 9, func(s *stage) {
			for _, j := range []*api.JobSpec{job1("job-1", "red", 8), job1("job-2", "red", 8), job1("job-3", "blue", 4), job1("job-4", "blue", 4)} {
				s.order(4*time.Minute, j)
				time.Sleep(2 * time.Second)
			}
			for i, id := range []string{"job-1", "job-3"} {
				for n, k := range s.holders(id) {
					if (n+i)%2 == 0 {
						k.trouble(func(k *host) { k.cut = true })
					} else {
						k.hang(8 * time.Second)
					}
				}
			}
			s.cancel("job-1", "job-3")
			time.Sleep(off)
			change(s)
			for i := range 12 { // work that is new in the next term
				s.order(10*time.Second, job1(fmt.Sprint("job-1", i), []string{"red", "blue"}[i%2], 4))
				time.Sleep(700 * time.Millisecond)
			}
			time.Sleep(12 * time.Second)
			for _, k := range s.hosts {
				k.well()
			}
			s.cancel("job-2", "job-4")
			s.settle(3 * time.Minute)
		})
	})
}

// Jobs are cancelled in the seconds in which one controller's work changes hands:
// at the one that ends, at the one that begins, and before anybody leads.
func TestCancelledWhileWorkChangesHands(t *testing.T) {
	eachChange(t, -2*time.Second, 4*time.Second, 600*time.Millisecond, func(t *testing.T, off time.Duration, change func(*stage)) {
		playStage(t, 5, func(s *stage) {
			for i := range 8 {
				s.order(5*time.Minute, job1(fmt.Sprint("job-", i), []string{"red", "blue"}[i%2], 2))
			}
			time.Sleep(4 * time.Second)
			cancels := func() {
				for i := range 6 {
					s.cancel(fmt.Sprint("job-", i))
					time.Sleep(150 * time.Millisecond)
				}
			}
			if off < 0 {
				cancels()
				time.Sleep(-off)
				change(s)
			} else {
				go change(s)
				time.Sleep(off)
				cancels()
			}
			time.Sleep(40 * time.Second)
			for i := range 6 {
				s.same("on machines", s.h.onMachines(fmt.Sprint("job-", i)), []string(nil))
			}
			s.cancel("job-6", "job-7")
			s.settle(time.Minute)
		})
	})
}
