package controller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/records"
)

// teamSpec is a job of a team that may use all machines.
func teamSpec(id, team string, tasks int) *api.JobSpec {
	s := spec(id, tasks)
	s.Team = team
	return s
}

// leaderChanges are the ways in which the leadership passes on: the leader is
// refused by the store and the other node follows, or it ends and is back within
// a second, or later.
var leaderChanges = map[string]func(s *checkedCluster){
	"handover": (*checkedCluster).handOver,
	"at once":  func(s *checkedCluster) { s.restart(0) },
	"second":   func(s *checkedCluster) { s.restart(time.Second) },
	"late":     func(s *checkedCluster) { s.restart(6 * time.Second) },
}

// deliveryModes are the two ways in which starts reach machines.
var deliveryModes = map[string]func(*testing.T, int, func(*checkedCluster)){"answers": simulateChecked, "direct": simulateSeldom}

// forEachLeaderChange sweeps the moment of a leader change, of each kind.
func forEachLeaderChange(t *testing.T, from, to, step time.Duration, f func(t *testing.T, off time.Duration, change func(*checkedCluster))) {
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
func TestTeamLimitsHoldWithUnreachableMachinesAcrossLeaderChanges(t *testing.T) {
	for way, simulate := range deliveryModes {
		t.Run(way, func(t *testing.T) {
			forEachLeaderChange(t, 0, 5*time.Second, 700*time.Millisecond, func(t *testing.T, off time.Duration, change func(*checkedCluster)) {
				simulate(t, 9, func(s *checkedCluster) {
					for _, j := range []*api.JobSpec{teamSpec("job-1", "red", 8), teamSpec("job-2", "red", 8), teamSpec("job-3", "blue", 4), teamSpec("job-4", "blue", 4)} {
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
						s.order(10*time.Second, teamSpec(fmt.Sprint("job-1", i), []string{"red", "blue"}[i%2], 4))
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
		})
	}
}

// Jobs are cancelled in the seconds in which one controller's work changes hands:
// at the one that ends, at the one that begins, and before anybody leads.
func TestCancellationDuringLeaderChange(t *testing.T) {
	for way, simulate := range deliveryModes {
		t.Run(way, func(t *testing.T) {
			forEachLeaderChange(t, -2*time.Second, 4*time.Second, 270*time.Millisecond, func(t *testing.T, off time.Duration, change func(*checkedCluster)) {
				simulate(t, 5, func(s *checkedCluster) {
					for i := range 8 {
						s.order(5*time.Minute, teamSpec(fmt.Sprint("job-", i), []string{"red", "blue"}[i%2], 2))
					}
					time.Sleep(4 * time.Second)
					cancels := func() {
						for i := range 6 {
							s.cancel(fmt.Sprint("job-", i))
							time.Sleep(70 * time.Millisecond)
						}
					}
					if off < 0 {
						cancels()
						time.Sleep(-off)
						change(s)
					} else {
						s.tasks.Go(func() { change(s) })
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
		})
	}
}

// New machines are up within two seconds and get work at once while writes lag,
// and the leader ends. Nothing may start on a machine before its place on the
// roster is durable: the next leader would not know that it may hold tasks, and
// would begin them elsewhere.
func TestNoStartBeforeRegistrationIsDurable(t *testing.T) {
	for way, simulate := range deliveryModes {
		for off := 500 * time.Millisecond; off <= 5*time.Second; off += 500 * time.Millisecond {
			t.Run(fmt.Sprint(way, " ", off), func(t *testing.T) {
				simulate(t, 2, func(s *checkedCluster) {
					s.order(2*time.Minute, teamSpec("job-1", "red", 14))
					time.Sleep(3 * time.Second)
					s.store.Hold(touches(records.MachinePrefix))
					fresh := []*host{s.add("i-8", "a", false), s.add("i-9", "b", false)}
					time.Sleep(off)
					for _, k := range fresh {
						s.same("on "+k.rep.Machine, k.running(), []string(nil))
						k.trouble(func(k *host) { k.cut = true })
					}
					s.restart(0)
					for _, res := range s.store.Release() {
						s.same("late record carried out", res.Succeeded, false)
					}
					s.add("i-5", "a", false)
					s.add("i-6", "b", false)
					time.Sleep(8 * time.Second)
					for _, k := range fresh {
						k.well()
					}
					s.settle(4 * time.Minute)
				})
			})
		}
	}
}

// replayHeartbeats brings copies of a machine's reports to every controller, latest first.
// Their answers reach nobody.
func (k *host) replayHeartbeats(reports []api.Heartbeat) {
	for i := range reports {
		hb := reports[len(reports)-1-i]
		for _, name := range k.s.names {
			if n := k.s.node(name); n != nil {
				own := hb
				own.Tasks = slices.Clone(hb.Tasks)
				k.s.tasks.Go(func() {
					ctx, cancel := context.WithTimeout(k.s.ctx, 4*time.Second)
					defer cancel()
					n.Heartbeat(ctx, &own) // whatever it says, the machine has gone on
				})
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// sentHeartbeats are copies of the reports that a machine has sent.
func (k *host) sentHeartbeats() []api.Heartbeat {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Clone(k.reports)
}

// Old reports arrive after newer ones: of an earlier session, of an earlier
// attempt, from before tasks began and from while they ran, within a term, just
// as a new leader begins, and after it has acted. They are no news: no task is
// taken for gone, or for being there, on their account, and no machine for alive.
func TestReorderedHeartbeatsAreIgnored(t *testing.T) {
	forEachLeaderChange(t, -time.Second, 5*time.Second, 500*time.Millisecond, func(t *testing.T, off time.Duration, change func(*checkedCluster)) {
		simulateChecked(t, 5, func(s *checkedCluster) {
			gone := s.hosts[4]
			gone.trouble(func(k *host) { k.cut = true }) // dies, and is returned
			s.order(25*time.Second, teamSpec("job-1", "red", 4))
			s.order(3*time.Minute, teamSpec("job-2", "red", 4))
			time.Sleep(3 * time.Second)
			late := map[*host][]api.Heartbeat{}
			// The first machine's session ends, and its tasks begin anew.
			first := s.holders("job-2")[0]
			first.trouble(func(k *host) { k.mute = true })
			time.Sleep(13 * time.Second)
			first.well()
			time.Sleep(3 * time.Second)
			for _, k := range s.hosts {
				late[k] = k.sentHeartbeats()
			}
			replay := func() {
				for k, reports := range late {
					s.tasks.Go(func() { k.replayHeartbeats(reports) })
				}
				time.Sleep(700 * time.Millisecond)
			}
			replay()
			time.Sleep(2 * time.Second)
			if off < 0 {
				replay()
				time.Sleep(-off)
				change(s)
			} else {
				s.tasks.Go(func() { change(s) })
				time.Sleep(off)
				replay()
			}
			time.Sleep(10 * time.Second)
			replay()
			s.same("roster", s.roster(), []string{"i-1", "i-2", "i-3", "i-4"})
			s.cancel("job-2")
			time.Sleep(5 * time.Second)
			replay()
			s.order(5*time.Second, teamSpec("job-3", "red", 12))
			s.order(5*time.Second, teamSpec("job-4", "blue", 8))
			time.Sleep(2 * time.Second)
			replay()
			s.settle(2 * time.Minute)
			s.same("returned", s.cloud.returned, []string{"i-5"})
			s.same("begun after completion", s.h.begunWhenDone(), []string(nil))
		})
	})
}

// Jobs of two or three tasks end far apart across a change of leader, while their
// progress may not be on record yet: what is done stays done, nothing is lost and
// nothing runs again.
func TestCompletionsAcrossLeaderChange(t *testing.T) {
	for _, lag := range []bool{false, true} {
		forEachLeaderChange(t, 0, 5*time.Second, 500*time.Millisecond, func(t *testing.T, off time.Duration, change func(*checkedCluster)) {
			simulateChecked(t, 4, func(s *checkedCluster) {
				for i := range 6 {
					j := teamSpec(fmt.Sprint("job-", i), []string{"red", "blue"}[i%2], 2+i%2)
					s.order(4*time.Second+time.Duration(i)*700*time.Millisecond, j)
					s.h.mu.Lock()
					s.h.jobs[j.ID].apart = 20 * time.Second
					s.h.mu.Unlock()
				}
				if lag {
					time.Sleep(2 * time.Second)
					s.store.Hold(touches(records.CompletionPrefix))
				}
				time.Sleep(off)
				change(s)
				time.Sleep(time.Second)
				s.store.Release()
				s.settle(2 * time.Minute)
				s.same("begun twice", s.h.begunTwice(), []string(nil))
			})
		})
	}
}

// Controllers hand over and back, all end and one returns, all are away for
// longer than a lease, and leaders change ten times in two minutes, also inside
// an outage. Each script begins at several offsets from the work.
func TestControllerRestartsAndHandovers(t *testing.T) {
	scripts := map[string]func(s *checkedCluster){
		"over and back": func(s *checkedCluster) {
			for range 4 {
				s.handOver()
				time.Sleep(12 * time.Second)
			}
		},
		"all end, one returns at once": func(s *checkedCluster) {
			s.crash("n0")
			s.crash("n1")
			s.begin("n1")
			time.Sleep(35 * time.Second)
			s.begin("n0")
		},
		"all end, the leader returns within a second": func(s *checkedCluster) {
			last := s.leader()
			s.crash("n0")
			s.crash("n1")
			time.Sleep(700 * time.Millisecond)
			s.begin(last)
			time.Sleep(10 * time.Second)
			s.begin(map[string]string{"n0": "n1", "n1": "n0"}[last])
		},
		"all away for longer than a lease": func(s *checkedCluster) {
			s.crash("n0")
			s.crash("n1")
			time.Sleep(14 * time.Second)
			s.begin("n1")
			s.begin("n0")
		},
		"ten times": func(s *checkedCluster) {
			for i := range 10 {
				if i%3 == 2 {
					s.handOver()
				} else {
					s.restart(time.Duration(i%4) * 300 * time.Millisecond)
				}
				time.Sleep(11 * time.Second)
			}
		},
		"ten times, inside an outage": func(s *checkedCluster) {
			for i := range 10 {
				if i == 3 || i == 7 {
					s.store.SetDown(true)
				}
				s.restart(time.Duration(i%4) * 300 * time.Millisecond)
				time.Sleep(11 * time.Second)
				if i == 4 || i == 8 {
					s.store.SetDown(false)
					time.Sleep(5 * time.Second)
				}
			}
		},
	}
	for name, script := range scripts {
		for off := time.Duration(0); off < 3*time.Second; off += 400 * time.Millisecond {
			t.Run(fmt.Sprint(name, " ", off), func(t *testing.T) {
				simulateChecked(t, 7, func(s *checkedCluster) {
					s.order(3*time.Second, teamSpec("job-0", "blue", 30))
					s.order(90*time.Second, teamSpec("job-1", "red", 10))
					s.order(15*time.Second, teamSpec("job-2", "red", 20))
					s.order(4*time.Minute, teamSpec("job-3", "blue", 4))
					time.Sleep(off)
					s.tasks.Go(func() {
						time.Sleep(4 * time.Second)
						s.cancel("job-3")
					})
					script(s)
					s.settle(6 * time.Minute)
				})
			})
		}
	}
}

// A leader ends while machines with long tasks can't be reached, don't hear the
// next leader's answer (deaf), reach no controller while direct commands reach
// them (mute), or hear answers and commands late, in any order (slow). Their tasks begin
// elsewhere only when they are off these machines, and do begin once the troubles are over.
func TestLeaderChangeWhileMachinesAreUnreachable(t *testing.T) {
	troubles := map[string]func(*host){
		"cut":  func(k *host) { k.cut = true },
		"deaf": func(k *host) { k.deaf = true },
		"mute": func(k *host) { k.mute = true },
		"slow": func(k *host) { k.orderDelay, k.linkDelay = 600*time.Millisecond, 1300*time.Millisecond },
	}
	for name, trouble := range troubles {
		for _, long := range []time.Duration{6 * time.Second, 25 * time.Second} {
			forEachLeaderChange(t, -2*time.Second, 3*time.Second, time.Second, func(t *testing.T, off time.Duration, change func(*checkedCluster)) {
				t.Run(fmt.Sprint(name, " ", long), func(t *testing.T) {
					simulateChecked(t, 7, func(s *checkedCluster) {
						s.order(70*time.Second, teamSpec("job-1", "red", 12))
						s.order(2*time.Minute, teamSpec("job-2", "blue", 8))
						time.Sleep(4 * time.Second)
						if off < 0 {
							change(s)
							time.Sleep(-off)
						}
						for _, k := range s.holders("job-1")[:2] {
							k.trouble(trouble)
						}
						if off >= 0 {
							time.Sleep(off)
							change(s)
						}
						time.Sleep(time.Second)
						s.cancel("job-2")
						s.order(20*time.Second, teamSpec("job-3", "blue", 8))
						time.Sleep(long)
						for _, k := range s.hosts {
							k.well()
						}
						s.add("i-8", "a", false)
						s.add("i-9", "b", false)
						s.settle(4 * time.Minute)
					})
				})
			})
		}
	}
}

// A direct command or its answer is held up for seconds, or the machine hangs
// within its lease and then goes on, while its job is cancelled, and perhaps the
// leader changes. What may still begin counts as begun, and a task that begins late
// is gone from its machine in the time that a cancellation has.
func TestDelayedDirectCommands(t *testing.T) {
	troubles := map[string]func(*host){
		"order":  func(k *host) { k.orderDelay = 9 * time.Second },
		"held":   func(k *host) { k.orderDelay = 50 * time.Second },
		"short":  func(k *host) { k.orderDelay = 1200 * time.Millisecond },
		"answer": func(k *host) { k.answerDelay = 6 * time.Second },
		"slow":   func(k *host) { k.orderDelay, k.linkDelay = 900*time.Millisecond, 1500*time.Millisecond },
		"hang":   func(k *host) { k.hung = time.Now().Add(12 * time.Second) },
		"long":   func(k *host) { k.hung = time.Now().Add(24 * time.Second) },
	}
	for name, trouble := range troubles {
		for _, change := range []bool{false, true} {
			for off := time.Duration(0); off < 4*time.Second; off += 400 * time.Millisecond {
				t.Run(fmt.Sprint(name, " ", change, " ", off), func(t *testing.T) {
					simulateSeldom(t, 5, func(s *checkedCluster) {
						wide := teamSpec("job-0", "red", 3) // keeps three machines in use
						wide.CPUs = 3
						s.order(3*time.Minute, wide)
						time.Sleep(6 * time.Second)
						for _, k := range s.holders("job-0") {
							k.trouble(trouble)
						}
						s.order(4*time.Minute, teamSpec("job-1", "red", 12))
						s.order(30*time.Second, teamSpec("job-2", "blue", 6))
						time.Sleep(off)
						// Small jobs come first, where there is the least room.
						s.cancel([]string{"job-1", "job-2"}[:1+off/(400*time.Millisecond)%2]...)
						if change {
							time.Sleep(300 * time.Millisecond)
							s.restart(300 * time.Millisecond)
						}
						s.order(20*time.Second, teamSpec("job-3", "red", 16))
						time.Sleep(55 * time.Second)
						for _, k := range s.hosts {
							k.well()
						}
						s.add("i-7", "a", false)
						s.add("i-8", "b", false)
						s.settle(4 * time.Minute)
					})
				})
			}
		}
	}
}

// Jobs bound to one zone, arrays too, lose machines, with and without a change of
// leader: their other tasks at that moment say where the next may start, also
// those on machines that are not heard.
func TestZoneBoundJobsLoseMachines(t *testing.T) {
	forEachLeaderChange(t, 0, 4*time.Second, time.Second, func(t *testing.T, off time.Duration, change func(*checkedCluster)) {
		for lost := range 3 {
			t.Run(fmt.Sprint(lost, " lost"), func(t *testing.T) {
				simulateChecked(t, 8, func(s *checkedCluster) {
					one, zone, apart := teamSpec("job-1", "red", 7), teamSpec("job-2", "red", 3), teamSpec("job-3", "blue", 8)
					one.OneZone, zone.Zone, apart.Spread = true, "b", true
					for _, j := range []*api.JobSpec{one, zone, apart} {
						s.order(time.Minute, j)
						time.Sleep(1500 * time.Millisecond)
					}
					in := ""
					for _, k := range s.holders("job-1") {
						in = k.rep.Zone
					}
					n := 0
					for _, k := range s.hosts {
						if k.rep.Zone == in && n <= lost {
							n++
							k.trouble(func(k *host) { k.cut = true }) // for good
						}
					}
					time.Sleep(off)
					change(s)
					time.Sleep(15 * time.Second)
					s.add("i-91", "a", false)
					s.add("i-92", "b", false)
					s.add("i-93", "a", true)
					s.settle(5 * time.Minute)
				})
			})
		}
	})
}

// After all sorts of troubles no job is left waiting for 90 s while a machine that
// fits has room and its team is under its limit: what the troubles left uncertain
// (machines not heard, tasks that may be there) is cleared up in the end.
func TestNoJobIsStarvedAfterFaults(t *testing.T) {
	for seed := range 24 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			with := simulateChecked
			if seed%3 == 2 {
				with = simulateSeldom
			}
			with(t, 8, func(s *checkedCluster) {
				rnd := rand.New(rand.NewPCG(uint64(seed), 1))
				for i := range 30 {
					j := teamSpec(fmt.Sprint("job-", i), []string{"red", "blue"}[i%2], 1+rnd.IntN(6))
					switch rnd.IntN(8) {
					case 0:
						j.Zone = "a"
					case 1:
						j.OneZone = true
					case 2:
						j.Spread = true
					}
					s.order(time.Duration(5+rnd.IntN(40))*time.Second, j)
					k := s.hosts[rnd.IntN(len(s.hosts))]
					switch rnd.IntN(12) {
					case 0:
						k.trouble(func(k *host) { k.cut = true })
					case 1:
						k.trouble(func(k *host) { k.deaf = true })
					case 2:
						k.trouble(func(k *host) { k.mute = true })
					case 3, 4:
						k.hang(time.Duration(rnd.IntN(9)) * time.Second)
					case 5, 6:
						k.well()
					case 7:
						s.handOver()
					case 8:
						s.restart(time.Duration(rnd.IntN(2000)) * time.Millisecond)
					case 9:
						s.cancel(fmt.Sprint("job-", rnd.IntN(i+1)))
					case 10:
						s.tasks.Go(func() { k.replayHeartbeats(k.sentHeartbeats()) })
					case 11:
						s.store.Hold(touches(records.MachinePrefix))
						s.tasks.Go(func() {
							idle(s.ctx, 5*time.Second)
							s.store.Release()
						})
					}
					time.Sleep(time.Duration(rnd.IntN(3000)) * time.Millisecond)
				}
				for _, k := range s.hosts {
					k.well()
				}
				for i := range 4 {
					s.add(fmt.Sprint("i-9", i), []string{"a", "b"}[i%2], false)
				}
				s.settle(8 * time.Minute)
			})
		})
	}
}

// A machine that reaches no controller while it answers direct questions loses its
// tasks with its session. Its answers show that: its tasks begin elsewhere while it
// is still mute, and are not called running for as long as that lasts.
func TestMachineWithoutUplinkLosesItsTasks(t *testing.T) {
	for way, simulate := range deliveryModes {
		for off := time.Duration(0); off < 3*time.Second; off += 300 * time.Millisecond {
			t.Run(fmt.Sprint(way, " ", off), func(t *testing.T) {
				simulate(t, 3, func(s *checkedCluster) {
					s.order(3*time.Minute, teamSpec("job-1", "red", 4))
					time.Sleep(5*time.Second + off)
					for _, k := range s.holders("job-1") {
						k.trouble(func(k *host) { k.mute = true })
					}
					time.Sleep(time.Minute)
					s.same("begun elsewhere", len(s.h.onMachines("job-1")), 4)
					for _, k := range s.hosts {
						k.well()
					}
					s.settle(4 * time.Minute)
				})
			})
		}
	}
}

// There is more work than room, urgent and not, over slow links: answers take long
// to reach the machines, some so long that they are dropped. No rule breaks, urgent
// work is done before the rest, and all is done in the end.
func TestOverloadOverSlowLinks(t *testing.T) {
	for _, delay := range []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second, 3900 * time.Millisecond} {
		for _, change := range []bool{false, true} {
			t.Run(fmt.Sprint(delay, " ", change), func(t *testing.T) {
				simulateChecked(t, 4, func(s *checkedCluster) {
					for _, k := range s.hosts {
						k.trouble(func(k *host) { k.linkDelay = delay })
					}
					var urgent, low []string
					for i := range 20 {
						j := teamSpec(fmt.Sprint("job-", i), []string{"red", "blue"}[i%2], 6)
						if i >= 12 {
							j.Priority = "urgent"
							urgent = append(urgent, j.ID)
						} else {
							low = append(low, j.ID)
							j.DeadlineS = 70 // sooner than the others' aim
						}
						s.order(9*time.Second, j)
					}
					time.Sleep(5 * time.Second)
					if change {
						s.restart(time.Second)
					}
					s.cancel("job-0", "job-15")
					time.Sleep(35 * time.Second)
					count := func(ids []string) (n int) {
						s.h.mu.Lock()
						defer s.h.mu.Unlock()
						for _, id := range ids {
							n += len(s.h.jobs[id].done)
						}
						return n * 100 / len(ids)
					}
					if u, l := count(urgent), count(low); u <= l {
						t.Errorf("tasks done of each hundred jobs: %d of urgent ones, %d of others", u, l)
					}
					for _, k := range s.hosts {
						k.well()
					}
					s.settle(10 * time.Minute)
				})
			})
		}
	}
}
