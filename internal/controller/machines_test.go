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

// teamSpec is a job of the given team that may use all machines.
func teamSpec(id, team string, tasks int) *api.JobSpec {
	s := spec(id, tasks)
	s.Team = team
	return s
}

// alternatingTeam assigns jobs to the two teams by turns.
func alternatingTeam(i int) string { return []string{"red", "blue"}[i%2] }

// leaderChanges are the ways in which leadership passes on: the key-value store rejects the
// leader, so that the other node is elected, or the leader crashes and is back at once, within
// a second or later.
var leaderChanges = []struct {
	name   string
	change func(*checkedCluster)
}{
	{"handover", (*checkedCluster).handOver},
	{"at once", func(s *checkedCluster) { s.restart(0) }},
	{"second", func(s *checkedCluster) { s.restart(time.Second) }},
	{"late", func(s *checkedCluster) { s.restart(6 * time.Second) }},
}

// leaderChangeCase is a leader change at a moment of the test's script. The meaning of the
// offset, which may be negative, is the test's.
type leaderChangeCase struct {
	name   string
	offset time.Duration
	change func(*checkedCluster)
}

// leaderChangeCases sweeps the moment of a leader change, of each kind.
func leaderChangeCases(from, to, step time.Duration) []leaderChangeCase {
	var cases []leaderChangeCase
	for _, kind := range leaderChanges {
		for offset := from; offset < to; offset += step {
			cases = append(cases, leaderChangeCase{fmt.Sprint(kind.name, " ", offset), offset, kind.change})
		}
	}
	return cases
}

// runAround runs f before a change with a negative offset, and otherwise while the change goes on.
func (c leaderChangeCase) runAround(s *checkedCluster, f func()) {
	if c.offset < 0 {
		f()
		time.Sleep(-c.offset)
		c.change(s)
		return
	}
	s.tasks.Go(func() { c.change(s) })
	time.Sleep(c.offset)
	f()
}

// startDeliveries are the two ways in which starts reach machines: in heartbeat responses, or in
// direct commands since heartbeats are rare.
var startDeliveries = []struct {
	name     string
	simulate func(*testing.T, int, func(*checkedCluster))
}{
	{"answers", simulateChecked},
	{"direct", simulateSlowHeartbeats},
}

// Faults of a machine's connections.

func cutConnections(k *host) { k.cut = true }

// loseResponses lets heartbeats through, but not their responses.
func loseResponses(k *host) { k.commandsUndelivered = true }

// loseHeartbeats lets direct commands through, but no heartbeats.
func loseHeartbeats(k *host) { k.heartbeatsUndelivered = true }

// delayMessages delays direct commands by one time and heartbeat responses by another.
func delayMessages(command, response time.Duration) func(*host) {
	return func(k *host) { k.commandDelay, k.heartbeatResponseDelay = command, response }
}

func delayCommands(d time.Duration) func(*host) {
	return func(k *host) { k.commandDelay = d }
}

func delayCommandResponses(d time.Duration) func(*host) {
	return func(k *host) { k.commandResponseDelay = d }
}

func hangFor(d time.Duration) func(*host) {
	return func(k *host) { k.hungUntil = time.Now().Add(d) }
}

// healMachines ends the faults of all machines.
func (s *checkedCluster) healMachines() {
	for _, k := range s.hosts {
		k.heal()
	}
}

// runAtLimits submits jobs up to the teams' limits, cuts or hangs machines of two of them,
// cancels these two and changes the leader.
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
		for n, k := range s.machinesRunning(id) {
			if (n+i)%2 == 0 {
				k.injectFaults(cutConnections)
			} else {
				k.hang(8 * time.Second)
			}
		}
	}
	s.cancel("job-1", "job-3")
	time.Sleep(c.offset)
	c.change(s)
	for i := range 12 { // work that is new in the next term
		s.submitJob(10*time.Second, teamSpec(fmt.Sprint("job-1", i), alternatingTeam(i), 4))
		time.Sleep(700 * time.Millisecond)
	}
	time.Sleep(12 * time.Second)
	s.healMachines()
	s.cancel("job-2", "job-4")
	s.awaitAllEnded(3 * time.Minute)
}

// Every team is at its limit while jobs are cancelled whose machines are cut off or hang, and
// the leader changes. Tasks on those machines count towards the limits until they are off them:
// neither a machine that the new leader has not fenced nor one that holds tasks of an ended job
// may be left out of the teams' use.
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
		s.checkEqual("tasks of "+id+" on machines", s.checker.onMachines(id), []string(nil))
	}
	s.cancel("job-6", "job-7")
	s.awaitAllEnded(time.Minute)
}

// Jobs are cancelled in the seconds of a leader change: at the former leader, at the next one,
// and while nobody leads.
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

// runDelayedRegistration adds machines whose registration is delayed past the leader's restart.
func (s *checkedCluster) runDelayedRegistration(restartAfter time.Duration) {
	s.t.Helper()
	s.submitJob(2*time.Minute, teamSpec("job-1", "red", 14))
	time.Sleep(3 * time.Second)
	s.store.Delay(writesPrefix(records.MachinePrefix))
	added := []*host{s.addMachine("i-8", "a", false), s.addMachine("i-9", "b", false)}
	time.Sleep(restartAfter)
	for _, k := range added {
		s.checkEqual("tasks on "+k.status.Machine, k.running(), []string(nil))
		k.injectFaults(cutConnections)
	}
	s.restart(0)
	for _, res := range s.store.ApplyDelayed() {
		s.checkEqual("delayed registration applied", res.Succeeded, false)
	}
	s.addMachine("i-5", "a", false)
	s.addMachine("i-6", "b", false)
	time.Sleep(8 * time.Second)
	for _, k := range added {
		k.heal()
	}
	s.awaitAllEnded(4 * time.Minute)
}

// New machines are up within two seconds while writes are delayed, and the leader restarts.
// Nothing may start on a machine before its registration is durable: the next leader would not
// know that it may hold tasks, and would start them elsewhere.
func TestNoStartBeforeRegistrationIsDurable(t *testing.T) {
	for _, mode := range startDeliveries {
		for after := 500 * time.Millisecond; after <= 5*time.Second; after += 500 * time.Millisecond {
			t.Run(fmt.Sprint(mode.name, " ", after), func(t *testing.T) {
				mode.simulate(t, 2, func(s *checkedCluster) { s.runDelayedRegistration(after) })
			})
		}
	}
}

// replayHeartbeats sends copies of a machine's heartbeats to every controller, latest first.
// Their responses reach nobody.
func (k *host) replayHeartbeats(heartbeats []api.Heartbeat) {
	for _, hb := range slices.Backward(heartbeats) {
		for _, name := range k.s.names {
			n := k.s.node(name)
			if n == nil {
				continue
			}
			own := hb
			own.Tasks = slices.Clone(hb.Tasks)
			k.s.tasks.Go(func() {
				ctx, cancel := context.WithTimeout(k.s.ctx, 4*time.Second)
				defer cancel()
				// Response and error are dropped: the machine has long continued.
				_, _ = n.Heartbeat(ctx, &own)
			})
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// sentHeartbeats are copies of the heartbeats that a machine has sent.
func (k *host) sentHeartbeats() []api.Heartbeat {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Clone(k.heartbeats)
}

// recordedHeartbeats are the heartbeats that machines have sent up to a moment.
type recordedHeartbeats map[*host][]api.Heartbeat

func (s *checkedCluster) recordHeartbeats() recordedHeartbeats {
	recorded := recordedHeartbeats{}
	for _, k := range s.hosts {
		recorded[k] = k.sentHeartbeats()
	}
	return recorded
}

// replay starts to send all of them again.
func (r recordedHeartbeats) replay(s *checkedCluster) {
	for k, heartbeats := range r {
		s.tasks.Go(func() { k.replayHeartbeats(heartbeats) })
	}
	time.Sleep(700 * time.Millisecond)
}

// runReorderedHeartbeats replays old heartbeats before, during and after a leader change.
func (s *checkedCluster) runReorderedHeartbeats(c leaderChangeCase) {
	s.t.Helper()
	s.hosts[4].injectFaults(cutConnections) // for good: i-5 is terminated
	s.submitJob(25*time.Second, teamSpec("job-1", "red", 4))
	s.submitJob(3*time.Minute, teamSpec("job-2", "red", 4))
	time.Sleep(3 * time.Second)
	// The first machine's agent epoch ends, and its tasks start anew.
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
	s.checkEqual("started after completion", s.checker.restartedWhenDone(), []string(nil))
}

// Old heartbeats arrive after newer ones: of an earlier agent epoch, of an earlier attempt, from
// before tasks started and from while they ran, within a term, just as a new leader begins, and
// after it has acted. They change nothing: no task counts as ended or as running because of
// them, and no machine as alive.
func TestReorderedHeartbeatsAreIgnored(t *testing.T) {
	for _, c := range leaderChangeCases(-time.Second, 5*time.Second, 500*time.Millisecond) {
		t.Run(c.name, func(t *testing.T) {
			simulateChecked(t, 5, func(s *checkedCluster) { s.runReorderedHeartbeats(c) })
		})
	}
}

// runCompletions has tasks of a job end 20 s apart around a leader change, perhaps while
// completion records are delayed.
func (s *checkedCluster) runCompletions(c leaderChangeCase, delayRecords bool) {
	s.t.Helper()
	for i := range 6 {
		j := teamSpec(fmt.Sprint("job-", i), alternatingTeam(i), 2+i%2)
		s.submitJob(4*time.Second+time.Duration(i)*700*time.Millisecond, j)
		s.checker.mu.Lock()
		s.checker.jobs[j.ID].durationStep = 20 * time.Second
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

// Tasks of jobs of two or three end far apart across a leader change, while their completion
// may not be on record yet: what is done stays done, nothing is lost and nothing runs again.
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
			s.restart(time.Duration(i%4) * 300 * time.Millisecond)
		}
		time.Sleep(11 * time.Second)
	}
}

func restartTenTimesAroundOutages(s *checkedCluster) {
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
}

// Controllers hand over and back, all crash and one returns, all are down for longer than a
// lease, and leaders change ten times in two minutes, also in an outage. Each script begins at
// several offsets from the work.
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
					s.tasks.Go(func() {
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

// runUnreachableMachines changes the leader while two machines of a job have a fault.
func (s *checkedCluster) runUnreachableMachines(c leaderChangeCase, fault func(*host), lasts time.Duration) {
	s.t.Helper()
	s.submitJob(70*time.Second, teamSpec("job-1", "red", 12))
	s.submitJob(2*time.Minute, teamSpec("job-2", "blue", 8))
	time.Sleep(4 * time.Second)
	if c.offset < 0 {
		c.change(s)
		time.Sleep(-c.offset)
	}
	for _, k := range s.machinesRunning("job-1")[:2] {
		k.injectFaults(fault)
	}
	if c.offset >= 0 {
		time.Sleep(c.offset)
		c.change(s)
	}
	time.Sleep(time.Second)
	s.cancel("job-2")
	s.submitJob(20*time.Second, teamSpec("job-3", "blue", 8))
	time.Sleep(lasts)
	s.healMachines()
	s.addMachine("i-8", "a", false)
	s.addMachine("i-9", "b", false)
	s.awaitAllEnded(4 * time.Minute)
}

// The leader changes while machines with long tasks are unreachable, receive no response of the
// next leader, reach no controller while direct commands reach them, or receive responses and
// commands late, in any order. Their tasks start elsewhere only when they are off these
// machines, and do start once the faults are over.
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
		for _, lasts := range []time.Duration{6 * time.Second, 25 * time.Second} {
			for _, c := range leaderChangeCases(-2*time.Second, 3*time.Second, time.Second) {
				t.Run(fmt.Sprint(c.name, "/", f.name, " ", lasts), func(t *testing.T) {
					simulateChecked(t, 7, func(s *checkedCluster) { s.runUnreachableMachines(c, f.fault, lasts) })
				})
			}
		}
	}
}

// runDelayedCommands cancels jobs some time after their submission, while three machines have a
// fault, and perhaps restarts the leader.
func (s *checkedCluster) runDelayedCommands(fault func(*host), cancelAfter time.Duration, cancelled []string,
	restart bool) {
	s.t.Helper()
	wide := teamSpec("job-0", "red", 3) // keeps three machines in use
	wide.CPUs = 3
	s.submitJob(3*time.Minute, wide)
	time.Sleep(6 * time.Second)
	for _, k := range s.machinesRunning("job-0") {
		k.injectFaults(fault)
	}
	s.submitJob(4*time.Minute, teamSpec("job-1", "red", 12))
	s.submitJob(30*time.Second, teamSpec("job-2", "blue", 6))
	time.Sleep(cancelAfter)
	s.cancel(cancelled...)
	if restart {
		time.Sleep(300 * time.Millisecond)
		s.restart(300 * time.Millisecond)
	}
	s.submitJob(20*time.Second, teamSpec("job-3", "red", 16))
	time.Sleep(55 * time.Second)
	s.healMachines()
	s.addMachine("i-7", "a", false)
	s.addMachine("i-8", "b", false)
	s.awaitAllEnded(4 * time.Minute)
}

// A direct command or its response is delayed for seconds, or the machine hangs within its lease
// and then continues, while its job is cancelled, and perhaps the leader changes. What may still
// start counts as started, and a task that starts late is off its machine within the time limit
// of a cancellation.
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
				// Small jobs start first, where the least capacity is free.
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

// zoneOf is the zone of a machine that runs tasks of a job, or "".
func (s *checkedCluster) zoneOf(job string) (zone string) {
	for _, k := range s.machinesRunning(job) {
		zone = k.status.Zone
	}
	return zone
}

// cutMachines cuts some machines of a zone off.
func (s *checkedCluster) cutMachines(zone string, count int) {
	for _, k := range s.hosts {
		if k.status.Zone == zone && count > 0 {
			count--
			k.injectFaults(cutConnections)
		}
	}
}

// runZoneBoundJobs cuts machines off for good that may run jobs bound to a zone, and changes
// the leader.
func (s *checkedCluster) runZoneBoundJobs(c leaderChangeCase, cut int) {
	s.t.Helper()
	oneZone, zone, spread := teamSpec("job-1", "red", 7), teamSpec("job-2", "red", 3), teamSpec("job-3", "blue", 8)
	oneZone.OneZone, zone.Zone, spread.Spread = true, "b", true
	for _, j := range []*api.JobSpec{oneZone, zone, spread} {
		s.submitJob(time.Minute, j)
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

// Jobs bound to one zone, arrays too, lose machines around a leader change: their
// other tasks at that moment determine where the next may start, also those on machines that
// miss heartbeats.
func TestZoneBoundJobsLoseMachines(t *testing.T) {
	for _, c := range leaderChangeCases(0, 4*time.Second, time.Second) {
		for _, cut := range []int{1, 2, 3} {
			t.Run(fmt.Sprint(c.name, "/", cut, " cut off"), func(t *testing.T) {
				simulateChecked(t, 8, func(s *checkedCluster) { s.runZoneBoundJobs(c, cut) })
			})
		}
	}
}

// randomSpec is a job of the i-th round; three of eight are bound to a zone, to one zone or
// spread.
func randomSpec(rnd *rand.Rand, i int) *api.JobSpec {
	j := teamSpec(fmt.Sprint("job-", i), alternatingTeam(i), 1+rnd.IntN(6))
	switch rnd.IntN(8) {
	case 0:
		j.Zone = "a"
	case 1:
		j.OneZone = true
	case 2:
		j.Spread = true
	}
	return j
}

// injectRandomFault injects a fault of a machine, of a controller or of the key-value store,
// heals a machine, or cancels one of the jobs submitted so far.
func (s *checkedCluster) injectRandomFault(rnd *rand.Rand, jobs int) {
	s.t.Helper()
	k := s.hosts[rnd.IntN(len(s.hosts))]
	switch rnd.IntN(12) {
	case 0:
		k.injectFaults(cutConnections)
	case 1:
		k.injectFaults(loseResponses)
	case 2:
		k.injectFaults(loseHeartbeats)
	case 3, 4:
		k.hang(time.Duration(rnd.IntN(9)) * time.Second)
	case 5, 6:
		k.heal()
	case 7:
		s.handOver()
	case 8:
		s.restart(time.Duration(rnd.IntN(2000)) * time.Millisecond)
	case 9:
		s.cancel(fmt.Sprint("job-", rnd.IntN(jobs)))
	case 10:
		s.tasks.Go(func() { k.replayHeartbeats(k.sentHeartbeats()) })
	case 11:
		s.store.Delay(writesPrefix(records.MachinePrefix))
		s.tasks.Go(func() {
			sleepUnlessZero(s.ctx, 5*time.Second)
			s.store.ApplyDelayed()
		})
	}
}

// After faults of all kinds no job stays pending for 90 s while a machine that fits has free
// capacity and its team is below its limit: what the faults left uncertain (machines that miss
// heartbeats, tasks that may be there) is resolved in the end.
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
					j := randomSpec(rnd, i)
					s.submitJob(time.Duration(5+rnd.IntN(40))*time.Second, j)
					s.injectRandomFault(rnd, i+1)
					time.Sleep(time.Duration(rnd.IntN(3000)) * time.Millisecond)
				}
				s.healMachines()
				for i := range 4 {
					s.addMachine(fmt.Sprint("i-9", i), []string{"a", "b"}[i%2], false)
				}
				s.awaitAllEnded(8 * time.Minute)
			})
		})
	}
}

// A machine that reaches no controller while it answers direct requests loses its tasks with its
// agent epoch. Its answers show that: its tasks start elsewhere while the fault lasts, and do not
// count as running until then.
func TestMachineWithoutUplinkLosesItsTasks(t *testing.T) {
	for _, mode := range startDeliveries {
		for offset := time.Duration(0); offset < 3*time.Second; offset += 300 * time.Millisecond {
			t.Run(fmt.Sprint(mode.name, " ", offset), func(t *testing.T) {
				mode.simulate(t, 3, func(s *checkedCluster) {
					s.submitJob(3*time.Minute, teamSpec("job-1", "red", 4))
					time.Sleep(5*time.Second + offset)
					for _, k := range s.machinesRunning("job-1") {
						k.injectFaults(loseHeartbeats)
					}
					time.Sleep(time.Minute)
					s.checkEqual("started elsewhere", len(s.checker.onMachines("job-1")), 4)
					s.healMachines()
					s.awaitAllEnded(4 * time.Minute)
				})
			})
		}
	}
}

// submitOverload submits more work than the machines can run, and returns the ids of the jobs of
// low and of urgent priority.
func (s *checkedCluster) submitOverload() (low, urgent []string) {
	s.t.Helper()
	for i := range 20 {
		j := teamSpec(fmt.Sprint("job-", i), alternatingTeam(i), 6)
		if i >= 12 {
			j.Priority = "urgent"
			urgent = append(urgent, j.ID)
		} else {
			low = append(low, j.ID)
			j.DeadlineS = 70 // sooner than the others' objective
		}
		s.submitJob(9*time.Second, j)
	}
	return low, urgent
}

// doneTasksPer100 is the number of completed tasks for each hundred jobs.
func (s *checkedCluster) doneTasksPer100(ids []string) (count int) {
	s.checker.mu.Lock()
	defer s.checker.mu.Unlock()
	for _, id := range ids {
		count += len(s.checker.jobs[id].completions)
	}
	return count * 100 / len(ids)
}

// runOverload checks that urgent work is done first while heartbeat responses are delayed.
func (s *checkedCluster) runOverload(delay time.Duration, restart bool) {
	s.t.Helper()
	for _, k := range s.hosts {
		k.injectFaults(func(k *host) { k.heartbeatResponseDelay = delay })
	}
	low, urgent := s.submitOverload()
	time.Sleep(5 * time.Second)
	if restart {
		s.restart(time.Second)
	}
	s.cancel("job-0", "job-15")
	time.Sleep(35 * time.Second)
	if u, l := s.doneTasksPer100(urgent), s.doneTasksPer100(low); u <= l {
		s.t.Errorf("tasks done of each hundred jobs: got %d of urgent and %d of low ones, want more urgent", u, l)
	}
	s.healMachines()
	s.awaitAllEnded(10 * time.Minute)
}

// There is more work than capacity, urgent and not, over slow links: responses take long to reach
// the machines, some so long that they are dropped. No rule is violated, urgent work is done
// before the rest, and all is done in the end.
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
