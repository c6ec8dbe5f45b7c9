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

// teamSpec returns the spec of a job of the given team that may run on any machine.
func teamSpec(id, team string, tasks int) *api.JobSpec {
	jobSpec := spec(id, tasks)
	jobSpec.Team = team
	return jobSpec
}

// alternatingTeam returns the team of the i-th job; the two teams alternate.
func alternatingTeam(i int) string { return []string{"red", "blue"}[i%2] }

// leaderChanges are the kinds of leader change: the key-value store rejects the leader's requests, so
// that the other node is elected, or the leader crashes and restarts after the given time.
var leaderChanges = []struct {
	name   string
	change func(*checkedCluster)
}{
	{"handover", (*checkedCluster).handOver},
	{"restart at once", func(s *checkedCluster) { s.restartLeader(0) }},
	{"restart after 1s", func(s *checkedCluster) { s.restartLeader(time.Second) }},
	{"restart after 6s", func(s *checkedCluster) { s.restartLeader(6 * time.Second) }},
}

// leaderChangeCase is a leader change at a given offset. The test defines what the offset, which may
// be negative, is relative to.
type leaderChangeCase struct {
	name   string
	offset time.Duration
	change func(*checkedCluster)
}

// leaderChangeCases returns a case for each kind of leader change and each offset from one time up to
// another.
func leaderChangeCases(from, to, step time.Duration) []leaderChangeCase {
	var cases []leaderChangeCase
	for _, kind := range leaderChanges {
		for offset := from; offset < to; offset += step {
			cases = append(cases, leaderChangeCase{fmt.Sprint(kind.name, " ", offset), offset, kind.change})
		}
	}
	return cases
}

// runAround makes the change, and runs f at the case's offset from its start; if the offset is negative,
// f returns that long before the change.
func (c leaderChangeCase) runAround(s *checkedCluster, f func()) {
	if c.offset < 0 {
		f()
		time.Sleep(-c.offset)
		c.change(s)
		return
	}
	s.goroutines.Go(func() { c.change(s) })
	time.Sleep(c.offset)
	f()
}

// startDeliveries are the two ways in which starts reach machines: in heartbeat responses, or in direct
// commands, which the leader sends if the heartbeat interval is long.
var startDeliveries = []struct {
	name     string
	simulate func(*testing.T, int, func(*checkedCluster))
}{
	{"responses", simulateChecked},
	{"direct", simulateSlowHeartbeats},
}

// The functions below are faults for host.injectFaults.

// cutConnections disconnects a machine in both directions.
func cutConnections(machine *host) { machine.cut = true }

// loseResponses loses what is sent to a machine; its heartbeats arrive.
func loseResponses(machine *host) { machine.commandsUndelivered = true }

// loseHeartbeats loses a machine's heartbeats; direct commands arrive there.
func loseHeartbeats(machine *host) { machine.heartbeatsUndelivered = true }

// delayMessages delays direct commands and heartbeat responses, each by its own time.
func delayMessages(command, response time.Duration) func(*host) {
	return func(machine *host) { machine.commandDelay, machine.heartbeatResponseDelay = command, response }
}

func delayCommands(d time.Duration) func(*host) {
	return func(machine *host) { machine.commandDelay = d }
}

func delayCommandResponses(d time.Duration) func(*host) {
	return func(machine *host) { machine.commandResponseDelay = d }
}

func hangFor(d time.Duration) func(*host) {
	return func(machine *host) { machine.hungUntil = time.Now().Add(d) }
}

// healMachines ends the faults of all machines.
func (s *checkedCluster) healMachines() {
	for _, machine := range s.hosts {
		machine.heal()
	}
}

// runAtLimits submits jobs up to the teams' limits, disconnects or hangs the machines of two of the
// jobs, cancels these two jobs and changes the leader.
func (s *checkedCluster) runAtLimits(c leaderChangeCase) {
	s.t.Helper()
	for _, j := range []*api.JobSpec{
		teamSpec("job-1", "red", 8), teamSpec("job-2", "red", 8),
		teamSpec("job-3", "blue", 4), teamSpec("job-4", "blue", 4),
	} {
		s.submitJob(4*time.Minute, j)
		time.Sleep(2 * time.Second)
	}
	for i, id := range []string{"job-1", "job-3"} {
		for n, machine := range s.machinesRunning(id) {
			if (n+i)%2 == 0 {
				machine.injectFaults(cutConnections)
			} else {
				machine.hang(8 * time.Second)
			}
		}
	}
	s.cancel("job-1", "job-3")
	time.Sleep(c.offset)
	c.change(s)
	for i := range 12 { // jobs of the next term
		s.submitJob(10*time.Second, teamSpec(fmt.Sprint("job-1", i), alternatingTeam(i), 4))
		time.Sleep(700 * time.Millisecond)
	}
	time.Sleep(12 * time.Second)
	s.healMachines()
	s.cancel("job-2", "job-4")
	s.awaitAllEnded(3 * time.Minute)
}

// Guards against a team exceeding its limit. Each team is at its limit, jobs are cancelled while their
// machines are disconnected or hang, and the leader changes. Their tasks must count as used until they
// are off those machines, including on machines that the new leader has not fenced and on machines
// that hold tasks of an ended job.
func TestTeamLimitsHoldWithUnreachableMachinesAcrossLeaderChanges(t *testing.T) {
	for _, mode := range startDeliveries {
		t.Run(mode.name, func(t *testing.T) {
			for _, c := range leaderChangeCases(0, 5*time.Second, 700*time.Millisecond) {
				t.Run(c.name, func(t *testing.T) {
					mode.simulate(t, 9, func(s *checkedCluster) { s.runAtLimits(c) })
				})
			}
		})
	}
}

// runCancellations cancels six of eight running jobs around a leader change.
func (s *checkedCluster) runCancellations(c leaderChangeCase) {
	s.t.Helper()
	const jobs, cancelled = 8, 6
	for i := range jobs {
		s.submitJob(5*time.Minute, teamSpec(fmt.Sprint("job-", i), alternatingTeam(i), 2))
	}
	time.Sleep(4 * time.Second)
	c.runAround(s, func() {
		for i := range cancelled {
			s.cancel(fmt.Sprint("job-", i))
			time.Sleep(70 * time.Millisecond)
		}
	})
	time.Sleep(40 * time.Second)
	for i := range cancelled {
		id := fmt.Sprint("job-", i)
		s.checkEqual("tasks of "+id+" on machines", s.checker.tasksOnMachines(id), []string(nil))
	}
	s.cancel("job-6", "job-7")
	s.awaitAllEnded(time.Minute)
}

// Guards against cancellations that are lost in a leader change. Jobs are cancelled in the seconds
// around it: at the former leader, at the next one, and while there is no leader.
func TestCancellationDuringLeaderChange(t *testing.T) {
	for _, mode := range startDeliveries {
		t.Run(mode.name, func(t *testing.T) {
			for _, c := range leaderChangeCases(-2*time.Second, 4*time.Second, 270*time.Millisecond) {
				t.Run(c.name, func(t *testing.T) {
					mode.simulate(t, 5, func(s *checkedCluster) { s.runCancellations(c) })
				})
			}
		})
	}
}

// runDelayedRegistration adds machines whose registration is delayed until after the leader restarts.
func (s *checkedCluster) runDelayedRegistration(restartAfter time.Duration) {
	s.t.Helper()
	s.submitJob(2*time.Minute, teamSpec("job-1", "red", 14))
	time.Sleep(3 * time.Second)
	s.store.Delay(writesPrefix(records.MachinePrefix))
	added := []*host{s.addMachine("i-8", "a", false), s.addMachine("i-9", "b", false)}
	time.Sleep(restartAfter)
	for _, machine := range added {
		s.checkEqual("tasks on "+machine.status.Machine, machine.running(), []string(nil))
		machine.injectFaults(cutConnections)
	}
	s.restartLeader(0)
	for _, result := range s.store.ApplyDelayed() {
		s.checkEqual("delayed registration applied", result.Succeeded, false)
	}
	s.addMachine("i-5", "a", false)
	s.addMachine("i-6", "b", false)
	time.Sleep(8 * time.Second)
	for _, machine := range added {
		machine.heal()
	}
	s.awaitAllEnded(4 * time.Minute)
}

// Guards against starts on a machine whose registration is not durable. Writes of the registry are
// delayed while new machines send heartbeats, and then the leader restarts. If tasks had started
// there, the next leader would have no record of the machines and would start the tasks elsewhere.
func TestNoStartBeforeRegistrationIsDurable(t *testing.T) {
	for _, mode := range startDeliveries {
		for after := 500 * time.Millisecond; after <= 5*time.Second; after += 500 * time.Millisecond {
			t.Run(fmt.Sprint(mode.name, " ", after), func(t *testing.T) {
				mode.simulate(t, 2, func(s *checkedCluster) { s.runDelayedRegistration(after) })
			})
		}
	}
}

// replayHeartbeats sends copies of a machine's heartbeats to every controller, latest first, and
// discards the responses.
func (k *host) replayHeartbeats(heartbeats []api.Heartbeat) {
	for _, hb := range slices.Backward(heartbeats) {
		for _, name := range k.s.names {
			n := k.s.node(name)
			if n == nil {
				continue
			}
			replayed := hb
			replayed.Tasks = slices.Clone(hb.Tasks)
			k.s.goroutines.Go(func() {
				ctx, cancel := context.WithTimeout(k.s.ctx, 4*time.Second)
				defer cancel()
				// The machine has already handled the response to the original.
				_, _ = n.Heartbeat(ctx, &replayed)
			})
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// sentHeartbeats returns copies of the heartbeats that a machine has sent.
func (k *host) sentHeartbeats() []api.Heartbeat {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Clone(k.heartbeats)
}

// recordedHeartbeats holds the heartbeats of each machine that were sent up to a point in time.
type recordedHeartbeats map[*host][]api.Heartbeat

// recordHeartbeats returns the heartbeats that all machines have sent so far.
func (s *checkedCluster) recordHeartbeats() recordedHeartbeats {
	recorded := recordedHeartbeats{}
	for _, machine := range s.hosts {
		recorded[machine] = machine.sentHeartbeats()
	}
	return recorded
}

// replay starts to send all recorded heartbeats again, and waits for a short time.
func (r recordedHeartbeats) replay(s *checkedCluster) {
	for machine, heartbeats := range r {
		s.goroutines.Go(func() { machine.replayHeartbeats(heartbeats) })
	}
	time.Sleep(700 * time.Millisecond)
}

// runReorderedHeartbeats replays old heartbeats before, during and after a leader change.
func (s *checkedCluster) runReorderedHeartbeats(c leaderChangeCase) {
	s.t.Helper()
	s.hosts[4].injectFaults(cutConnections) // never healed, so i-5 is terminated
	s.submitJob(25*time.Second, teamSpec("job-1", "red", 4))
	s.submitJob(3*time.Minute, teamSpec("job-2", "red", 4))
	time.Sleep(3 * time.Second)
	// The first machine's agent epoch ends, and its tasks start again.
	first := s.machinesRunning("job-2")[0]
	first.injectFaults(loseHeartbeats)
	time.Sleep(13 * time.Second)
	first.heal()
	time.Sleep(3 * time.Second)
	recorded := s.recordHeartbeats()
	recorded.replay(s)
	time.Sleep(2 * time.Second)
	c.runAround(s, func() { recorded.replay(s) })
	time.Sleep(10 * time.Second)
	recorded.replay(s)
	s.checkEqual("registry", s.registeredMachines(), []string{"i-1", "i-2", "i-3", "i-4"})
	s.cancel("job-2")
	time.Sleep(5 * time.Second)
	recorded.replay(s)
	s.submitJob(5*time.Second, teamSpec("job-3", "red", 12))
	s.submitJob(5*time.Second, teamSpec("job-4", "blue", 8))
	time.Sleep(2 * time.Second)
	recorded.replay(s)
	s.awaitAllEnded(2 * time.Minute)
	s.checkEqual("terminated machines", s.cloud.terminatedNames, []string{"i-5"})
	s.checkEqual("started after completion", s.checker.restartedAfterCompletion(), []string(nil))
}

// Guards against leaders that apply delayed heartbeats. Old heartbeats arrive after newer ones: of an
// earlier agent epoch or attempt, from before tasks started and from while they ran; within a term, at
// the beginning of the next one, and later in it. They must change nothing: no task counts as ended or
// running because of them, and no machine as alive.
func TestReorderedHeartbeatsAreIgnored(t *testing.T) {
	for _, c := range leaderChangeCases(-time.Second, 5*time.Second, 500*time.Millisecond) {
		t.Run(c.name, func(t *testing.T) {
			simulateChecked(t, 5, func(s *checkedCluster) { s.runReorderedHeartbeats(c) })
		})
	}
}

// runCompletions runs jobs whose tasks end 20 s apart, around a leader change. With delayRecords, the
// completion records are delayed until after the change.
func (s *checkedCluster) runCompletions(c leaderChangeCase, delayRecords bool) {
	s.t.Helper()
	for i := range 6 {
		jobSpec := teamSpec(fmt.Sprint("job-", i), alternatingTeam(i), 2+i%2)
		s.submitJob(4*time.Second+time.Duration(i)*700*time.Millisecond, jobSpec)
		s.checker.mu.Lock()
		s.checker.jobs[jobSpec.ID].durationStep = 20 * time.Second
		s.checker.mu.Unlock()
	}
	if delayRecords {
		time.Sleep(2 * time.Second)
		s.store.Delay(writesPrefix(records.CompletionPrefix))
	}
	time.Sleep(c.offset)
	c.change(s)
	time.Sleep(time.Second)
	s.store.ApplyDelayed()
	s.awaitAllEnded(2 * time.Minute)
	s.checkEqual("started twice", s.checker.startedTwice(), []string(nil))
}

// Guards against completions that a leader change loses. Jobs have two or three tasks that end far
// apart, and the leader changes while a completion may not be recorded yet. Completed tasks must
// remain completed, and no task may be started twice.
func TestCompletionsAcrossLeaderChange(t *testing.T) {
	for _, delayRecords := range []bool{false, true} {
		for _, c := range leaderChangeCases(0, 5*time.Second, 500*time.Millisecond) {
			t.Run(fmt.Sprint(c.name, ", records delayed: ", delayRecords), func(t *testing.T) {
				simulateChecked(t, 4, func(s *checkedCluster) { s.runCompletions(c, delayRecords) })
			})
		}
	}
}

func handOverRepeatedly(s *checkedCluster) {
	for range 4 {
		s.handOver()
		time.Sleep(12 * time.Second)
	}
}

func (s *checkedCluster) crashAll() {
	s.crash("n0")
	s.crash("n1")
}

// crashAllRestartOne restarts the controller n0 only after n1 has led for a while.
func crashAllRestartOne(s *checkedCluster) {
	s.crashAll()
	s.startNode("n1")
	time.Sleep(35 * time.Second)
	s.startNode("n0")
}

func crashAllRestartLeader(s *checkedCluster) {
	last := s.leader()
	s.crashAll()
	time.Sleep(700 * time.Millisecond)
	s.startNode(last)
	time.Sleep(10 * time.Second)
	s.startNode(map[string]string{"n0": "n1", "n1": "n0"}[last])
}

func crashAllBeyondLease(s *checkedCluster) {
	s.crashAll()
	time.Sleep(14 * time.Second)
	s.startNode("n1")
	s.startNode("n0")
}

func changeLeaderTenTimes(s *checkedCluster) {
	for i := range 10 {
		if i%3 == 2 {
			s.handOver()
		} else {
			s.restartLeader(time.Duration(i%4) * 300 * time.Millisecond)
		}
		time.Sleep(11 * time.Second)
	}
}

func restartTenTimesAroundOutages(s *checkedCluster) {
	for i := range 10 {
		if i == 3 || i == 7 {
			s.store.SetDown(true)
		}
		s.restartLeader(time.Duration(i%4) * 300 * time.Millisecond)
		time.Sleep(11 * time.Second)
		if i == 4 || i == 8 {
			s.store.SetDown(false)
			time.Sleep(5 * time.Second)
		}
	}
}

// Guards against lost or duplicated tasks when controllers restart: leadership is handed over and back,
// all controllers crash and restart one after the other, all are down for longer than a lease, and the
// leader changes ten times in two minutes, with and without outages of the store. Each script starts at
// several offsets from the submissions.
func TestControllerRestartsAndHandovers(t *testing.T) {
	for _, c := range []struct {
		name   string
		script func(s *checkedCluster)
	}{
		{"over and back", handOverRepeatedly},
		{"all crash, one returns at once", crashAllRestartOne},
		{"all crash, the leader returns within a second", crashAllRestartLeader},
		{"all down for longer than a lease", crashAllBeyondLease},
		{"ten times", changeLeaderTenTimes},
		{"ten times, in an outage", restartTenTimesAroundOutages},
	} {
		for offset := time.Duration(0); offset < 3*time.Second; offset += 400 * time.Millisecond {
			t.Run(fmt.Sprint(c.name, " ", offset), func(t *testing.T) {
				simulateChecked(t, 7, func(s *checkedCluster) {
					s.submitJob(3*time.Second, teamSpec("job-0", "blue", 30))
					s.submitJob(90*time.Second, teamSpec("job-1", "red", 10))
					s.submitJob(15*time.Second, teamSpec("job-2", "red", 20))
					s.submitJob(4*time.Minute, teamSpec("job-3", "blue", 4))
					time.Sleep(offset)
					s.goroutines.Go(func() {
						time.Sleep(4 * time.Second)
						s.cancel("job-3")
					})
					c.script(s)
					s.awaitAllEnded(6 * time.Minute)
				})
			})
		}
	}
}

// runUnreachableMachines injects a fault into two machines of a job, and changes the leader at the case's
// offset from the injection.
func (s *checkedCluster) runUnreachableMachines(c leaderChangeCase, fault func(*host), duration time.Duration) {
	s.t.Helper()
	s.submitJob(70*time.Second, teamSpec("job-1", "red", 12))
	s.submitJob(2*time.Minute, teamSpec("job-2", "blue", 8))
	time.Sleep(4 * time.Second)
	if c.offset < 0 {
		c.change(s)
		time.Sleep(-c.offset)
	}
	for _, machine := range s.machinesRunning("job-1")[:2] {
		machine.injectFaults(fault)
	}
	if c.offset >= 0 {
		time.Sleep(c.offset)
		c.change(s)
	}
	time.Sleep(time.Second)
	s.cancel("job-2")
	s.submitJob(20*time.Second, teamSpec("job-3", "blue", 8))
	time.Sleep(duration)
	s.healMachines()
	s.addMachine("i-8", "a", false)
	s.addMachine("i-9", "b", false)
	s.awaitAllEnded(4 * time.Minute)
}

// Guards against duplicated and stuck tasks when the leader changes while machines with long tasks are
// unreachable, receive no responses, reach no controller although direct commands reach them, or
// receive responses and commands late and out of order. Their tasks must start elsewhere only after
// they are off these machines, and must run to completion once the faults are healed.
func TestLeaderChangeWhileMachinesAreUnreachable(t *testing.T) {
	for _, f := range []struct {
		name  string
		fault func(*host)
	}{
		{"cut", cutConnections},
		{"responses lost", loseResponses},
		{"heartbeats lost", loseHeartbeats},
		{"slow", delayMessages(600*time.Millisecond, 1300*time.Millisecond)},
	} {
		for _, duration := range []time.Duration{6 * time.Second, 25 * time.Second} {
			for _, c := range leaderChangeCases(-2*time.Second, 3*time.Second, time.Second) {
				t.Run(fmt.Sprint(c.name, "/", f.name, " ", duration), func(t *testing.T) {
					simulateChecked(t, 7, func(s *checkedCluster) { s.runUnreachableMachines(c, f.fault, duration) })
				})
			}
		}
	}
}

// runDelayedCommands cancels jobs some time after their submission, while three machines have a fault.
// With restart, it also restarts the leader.
func (s *checkedCluster) runDelayedCommands(fault func(*host), cancelAfter time.Duration, cancelled []string,
	restart bool) {
	s.t.Helper()
	wide := teamSpec("job-0", "red", 3) // keeps three machines in use
	wide.CPUs = 3
	s.submitJob(3*time.Minute, wide)
	time.Sleep(6 * time.Second)
	for _, machine := range s.machinesRunning("job-0") {
		machine.injectFaults(fault)
	}
	s.submitJob(4*time.Minute, teamSpec("job-1", "red", 12))
	s.submitJob(30*time.Second, teamSpec("job-2", "blue", 6))
	time.Sleep(cancelAfter)
	s.cancel(cancelled...)
	if restart {
		time.Sleep(300 * time.Millisecond)
		s.restartLeader(300 * time.Millisecond)
	}
	s.submitJob(20*time.Second, teamSpec("job-3", "red", 16))
	time.Sleep(55 * time.Second)
	s.healMachines()
	s.addMachine("i-7", "a", false)
	s.addMachine("i-8", "b", false)
	s.awaitAllEnded(4 * time.Minute)
}

// Guards against duplicated tasks and late cancellations when a direct command or its response is
// delayed by up to 50 s, or the machine hangs within its lease and then continues. Meanwhile its job is
// cancelled, in some cases with a restart of the leader. A task that may still start must count as
// started, and a task that starts late must be off its machine within the time limit of a
// cancellation.
func TestDelayedDirectCommands(t *testing.T) {
	const step = 400 * time.Millisecond
	for _, f := range []struct {
		name  string
		fault func(*host)
	}{
		{"commands 9s late", delayCommands(9 * time.Second)},
		{"commands 50s late", delayCommands(50 * time.Second)},
		{"commands 1.2s late", delayCommands(1200 * time.Millisecond)},
		{"responses to commands late", delayCommandResponses(6 * time.Second)},
		{"slow", delayMessages(900*time.Millisecond, 1500*time.Millisecond)},
		{"hangs for 12s", hangFor(12 * time.Second)},
		{"hangs for 24s", hangFor(24 * time.Second)},
	} {
		for _, restart := range []bool{false, true} {
			for offset := time.Duration(0); offset < 4*time.Second; offset += step {
				// Every second case also cancels job-2, which is the smaller job. Small jobs start
				// first, on the machines with the least free capacity.
				cancelled := []string{"job-1", "job-2"}[:1+offset/step%2]
				t.Run(fmt.Sprint(f.name, ", restart ", restart, " ", offset), func(t *testing.T) {
					simulateSlowHeartbeats(t, 5, func(s *checkedCluster) {
						s.runDelayedCommands(f.fault, offset, cancelled, restart)
					})
				})
			}
		}
	}
}

// zoneOf returns the zone of a machine that runs tasks of a job, or "".
func (s *checkedCluster) zoneOf(job string) (zone string) {
	for _, machine := range s.machinesRunning(job) {
		zone = machine.status.Zone
	}
	return zone
}

// cutMachines disconnects the given number of machines of a zone.
func (s *checkedCluster) cutMachines(zone string, count int) {
	for _, machine := range s.hosts {
		if machine.status.Zone == zone && count > 0 {
			count--
			machine.injectFaults(cutConnections)
		}
	}
}

// runZoneBoundJobs permanently disconnects machines in the zone of a job that is bound to one zone, and
// changes the leader.
func (s *checkedCluster) runZoneBoundJobs(c leaderChangeCase, cut int) {
	s.t.Helper()
	oneZone, zone, spread := teamSpec("job-1", "red", 7), teamSpec("job-2", "red", 3), teamSpec("job-3", "blue", 8)
	oneZone.OneZone, zone.Zone, spread.Spread = true, "b", true
	for _, jobSpec := range []*api.JobSpec{oneZone, zone, spread} {
		s.submitJob(time.Minute, jobSpec)
		time.Sleep(1500 * time.Millisecond)
	}
	s.cutMachines(s.zoneOf("job-1"), cut)
	time.Sleep(c.offset)
	c.change(s)
	time.Sleep(15 * time.Second)
	s.addMachine("i-91", "a", false)
	s.addMachine("i-92", "b", false)
	s.addMachine("i-93", "a", true)
	s.awaitAllEnded(5 * time.Minute)
}

// Guards against tasks in the wrong zone. Jobs with placement constraints, arrays included, lose
// machines around a leader change. The zones where their tasks may start follow from their other
// tasks, including those on machines that miss heartbeats.
func TestZoneBoundJobsLoseMachines(t *testing.T) {
	for _, c := range leaderChangeCases(0, 4*time.Second, time.Second) {
		for _, cut := range []int{1, 2, 3} {
			t.Run(fmt.Sprint(c.name, "/", cut, " cut off"), func(t *testing.T) {
				simulateChecked(t, 8, func(s *checkedCluster) { s.runZoneBoundJobs(c, cut) })
			})
		}
	}
}

// randomSpec returns the spec of a job of the i-th round. Three of eight jobs on average have a
// placement constraint: a given zone, any one zone, or spread.
func randomSpec(rnd *rand.Rand, i int) *api.JobSpec {
	jobSpec := teamSpec(fmt.Sprint("job-", i), alternatingTeam(i), 1+rnd.IntN(6))
	switch rnd.IntN(8) {
	case 0:
		jobSpec.Zone = "a"
	case 1:
		jobSpec.OneZone = true
	case 2:
		jobSpec.Spread = true
	}
	return jobSpec
}

// injectRandomFault injects a fault of a machine, of a controller or of the key-value store,
// replays a machine's heartbeats, heals a machine, or cancels one of the jobs submitted so far.
func (s *checkedCluster) injectRandomFault(rnd *rand.Rand, jobs int) {
	s.t.Helper()
	machine := s.hosts[rnd.IntN(len(s.hosts))]
	switch rnd.IntN(12) {
	case 0:
		machine.injectFaults(cutConnections)
	case 1:
		machine.injectFaults(loseResponses)
	case 2:
		machine.injectFaults(loseHeartbeats)
	case 3, 4:
		machine.hang(time.Duration(rnd.IntN(9)) * time.Second)
	case 5, 6:
		machine.heal()
	case 7:
		s.handOver()
	case 8:
		s.restartLeader(time.Duration(rnd.IntN(2000)) * time.Millisecond)
	case 9:
		s.cancel(fmt.Sprint("job-", rnd.IntN(jobs)))
	case 10:
		s.goroutines.Go(func() { machine.replayHeartbeats(machine.sentHeartbeats()) })
	case 11:
		s.store.Delay(writesPrefix(records.MachinePrefix))
		s.goroutines.Go(func() {
			sleepUnlessZero(s.ctx, 5*time.Second)
			s.store.ApplyDelayed()
		})
	}
}

// healAndAwaitAllEnded heals all machines, adds four more, and waits until all jobs have ended.
func (s *checkedCluster) healAndAwaitAllEnded() {
	s.t.Helper()
	s.healMachines()
	for i := range 4 {
		s.addMachine(fmt.Sprint("i-9", i), []string{"a", "b"}[i%2], false)
	}
	s.awaitAllEnded(8 * time.Minute)
}

// Guards against starved jobs after faults of all kinds. No job may stay pending for 90 s while a
// machine that fits has free capacity and its team is below its limit. The leader must therefore
// resolve what the faults left uncertain, such as machines that miss heartbeats and tasks that may be
// on them.
func TestNoJobIsStarvedAfterFaults(t *testing.T) {
	for seed := range 24 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			simulateMode := simulateChecked
			if seed%3 == 2 {
				simulateMode = simulateSlowHeartbeats
			}
			simulateMode(t, 8, func(s *checkedCluster) {
				rnd := rand.New(rand.NewPCG(uint64(seed), 1))
				for i := range 30 {
					jobSpec := randomSpec(rnd, i)
					s.submitJob(time.Duration(5+rnd.IntN(40))*time.Second, jobSpec)
					s.injectRandomFault(rnd, i+1)
					time.Sleep(time.Duration(rnd.IntN(3000)) * time.Millisecond)
				}
				s.healAndAwaitAllEnded()
			})
		})
	}
}

// Guards against tasks that count as running although they were killed. A machine that reaches no
// controller, but responds to direct requests, kills its tasks when its lease expires and begins a new
// agent epoch. Its responses show this, so its tasks must start elsewhere while the fault lasts.
func TestMachineWithoutUplinkLosesItsTasks(t *testing.T) {
	for _, mode := range startDeliveries {
		for offset := time.Duration(0); offset < 3*time.Second; offset += 300 * time.Millisecond {
			t.Run(fmt.Sprint(mode.name, " ", offset), func(t *testing.T) {
				mode.simulate(t, 3, func(s *checkedCluster) {
					s.submitJob(3*time.Minute, teamSpec("job-1", "red", 4))
					time.Sleep(5*time.Second + offset)
					for _, machine := range s.machinesRunning("job-1") {
						machine.injectFaults(loseHeartbeats)
					}
					time.Sleep(time.Minute)
					s.checkEqual("started elsewhere", len(s.checker.tasksOnMachines("job-1")), 4)
					s.healMachines()
					s.awaitAllEnded(4 * time.Minute)
				})
			})
		}
	}
}

// submitOverload submits more jobs than the machines can run at a time, and returns the ids of the
// jobs of low and of urgent priority.
func (s *checkedCluster) submitOverload() (low, urgent []string) {
	s.t.Helper()
	for i := range 20 {
		jobSpec := teamSpec(fmt.Sprint("job-", i), alternatingTeam(i), 6)
		if i >= 12 {
			jobSpec.Priority = "urgent"
			urgent = append(urgent, jobSpec.ID)
		} else {
			low = append(low, jobSpec.ID)
			jobSpec.DeadlineS = 70 // sooner than the objective of the urgent jobs
		}
		s.submitJob(9*time.Second, jobSpec)
	}
	return low, urgent
}

// doneTasksPer100 returns the number of completed tasks per 100 jobs.
func (s *checkedCluster) doneTasksPer100(ids []string) (count int) {
	s.checker.mu.Lock()
	defer s.checker.mu.Unlock()
	for _, id := range ids {
		count += len(s.checker.jobs[id].completions)
	}
	return count * 100 / len(ids)
}

// runOverload checks that, while heartbeat responses are delayed, more tasks are completed per urgent job
// than per job of low priority.
func (s *checkedCluster) runOverload(delay time.Duration, restart bool) {
	s.t.Helper()
	for _, machine := range s.hosts {
		machine.injectFaults(func(faulty *host) { faulty.heartbeatResponseDelay = delay })
	}
	low, urgent := s.submitOverload()
	time.Sleep(5 * time.Second)
	if restart {
		s.restartLeader(time.Second)
	}
	s.cancel("job-0", "job-15")
	time.Sleep(35 * time.Second)
	if doneUrgent, doneLow := s.doneTasksPer100(urgent), s.doneTasksPer100(low); doneUrgent <= doneLow {
		s.t.Errorf("completed tasks per 100 jobs: got %d urgent and %d low, want more urgent", doneUrgent, doneLow)
	}
	s.healMachines()
	s.awaitAllEnded(10 * time.Minute)
}

// Guards against rule violations, wrong priorities and lost jobs under overload with slow links. The
// urgent and low-priority jobs exceed the capacity, and heartbeat responses reach the machines late, some
// so late that they are discarded. Urgent jobs must make more progress than the others, and all
// jobs must end.
func TestOverloadOverSlowLinks(t *testing.T) {
	for _, delay := range []time.Duration{
		500 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second, 3900 * time.Millisecond,
	} {
		for _, restart := range []bool{false, true} {
			t.Run(fmt.Sprint(delay, ", restart ", restart), func(t *testing.T) {
				simulateChecked(t, 4, func(s *checkedCluster) { s.runOverload(delay, restart) })
			})
		}
	}
}
