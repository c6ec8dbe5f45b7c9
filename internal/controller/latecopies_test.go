package controller

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/election"
	"example.org/ivytrestle/internal/records"
)

// Guards against a late copy of a direct start that runs an ended attempt once more, so that its task runs
// on two machines or after the cancellation of its job.
func TestLateCopyOfDirectStart(t *testing.T) {
	for _, end := range []struct {
		name string
		// end ends the attempts of job-1 on the first machine.
		end func(w *simulatedCluster, leader *node, agent *worker)
	}{
		{"done", func(_ *simulatedCluster, _ *node, agent *worker) { agent.exit(api.CauseDone) }},
		{"failed", func(_ *simulatedCluster, _ *node, agent *worker) { agent.exit(api.CauseError) }},
		{"refused", func(_ *simulatedCluster, _ *node, agent *worker) { agent.exit(api.CauseNoCapacity) }},
		{"moved", func(_ *simulatedCluster, leader *node, agent *worker) {
			leader.inspect(func(c *Controller) {
				m := c.leaderTerm.machines[agent.status.Machine]
				m.CordonedUntil = time.Now().Add(time.Hour)
				for _, a := range m.Attempts {
					c.leaderTerm.requestStop(a, 0, time.Now())
				}
			})
		}},
		{"cancelled", func(w *simulatedCluster, leader *node, _ *worker) {
			if _, err := leader.Cancel(w.t.Context(), "job-1"); err != nil {
				w.t.Fatal(err)
			}
		}},
	} {
		for _, leader := range []struct {
			name string
			// change is what happens to the leader between the end of the attempts and the copy.
			change func(w *simulatedCluster, leader *node)
		}{
			{"same leader", func(*simulatedCluster, *node) {}},
			{"leader gone", func(_ *simulatedCluster, leader *node) { leader.crash() }},
			{"leader back within a second", func(w *simulatedCluster, leader *node) {
				leader.crash()
				w.start("n0")
			}},
			{"another leader", func(w *simulatedCluster, leader *node) {
				leader.crash()
				w.start("n1")
				time.Sleep(30 * time.Second)
			}},
		} {
			t.Run(fmt.Sprint(end.name, ", ", leader.name), func(t *testing.T) {
				simulate(t, func(w *simulatedCluster) {
					n, sender, agents := w.startWithSlowHeartbeats(1)
					w.submit(n, spec("job-1", 2))
					time.Sleep(time.Second)
					started := attemptsOn(agents[0])
					w.checkEqual("tasks started directly", len(started), 2)
					other := w.worker("i-9", "a", false)
					sender.addMachine(other)
					end.end(w, n, agents[0])
					heartbeatAll([]*worker{agents[0], other}, n, 12)
					leader.change(w, n)
					before := attemptsOn(agents[0])
					for _, attempt := range started {
						w.checkEqual("ended attempt was reaped", slices.Contains(before, attempt), false)
					}
					sender.deliverCopies()
					w.checkEqual("attempts after the copies", attemptsOn(agents[0]), before)
				})
			})
		}
	}
}

// attemptsOn returns the numbers of the attempts that a machine knows.
func attemptsOn(agent *worker) []uint64 {
	agent.mu.Lock()
	defer agent.mu.Unlock()
	attempts := make([]uint64, 0, len(agent.status.Tasks))
	for _, task := range agent.status.Tasks {
		attempts = append(attempts, task.Attempt)
	}
	return attempts
}

const (
	// soakSeedsVariable is the environment variable with the number of seeds of a long run of
	// TestRulesHoldUnderLateMessages.
	soakSeedsVariable = "IVYTRESTLE_SOAK_SEEDS"
	// defaultSoakSeeds is the number of seeds without that variable.
	defaultSoakSeeds = 500
	// soakLateShare is the share of messages of which a copy is delivered late.
	soakLateShare = 0.3
)

// soakSeeds returns the number of seeds to run.
func soakSeeds(t *testing.T) uint64 {
	t.Helper()
	value := os.Getenv(soakSeedsVariable)
	if value == "" {
		return defaultSoakSeeds
	}
	seeds, err := strconv.ParseUint(value, 10, 32)
	if err != nil {
		t.Fatal(err)
	}
	return seeds
}

// Guards against a late copy of any message that has a second effect, together with other faults.
func TestRulesHoldUnderLateMessages(t *testing.T) {
	for seed := range soakSeeds(t) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			usesDirectCommands := seed%3 != 2
			simulateMode := simulateChecked
			if usesDirectCommands {
				simulateMode = simulateSlowHeartbeats
			}
			simulateMode(t, 8, func(s *checkedCluster) {
				s.late.setShare(soakLateShare)
				s.runShortJobs(rand.New(rand.NewPCG(seed, 45)))
				copies := s.late.counts()
				for _, message := range []string{"heartbeat", "transaction", "ping", "user request", "direct start"} {
					if copies[message] == 0 && (message != "direct start" || usesDirectCommands) {
						t.Errorf("got no late copy of a %s, want some", message)
					}
				}
				t.Log("late copies:", copies)
			})
		})
	}
}

// runShortJobs submits jobs with short tasks while machines fail tasks and hang, jobs are cancelled, and
// leaders change, and waits until all jobs have ended.
func (s *checkedCluster) runShortJobs(random *rand.Rand) {
	s.t.Helper()
	for i := range 40 {
		s.submitJob(time.Duration(1+random.IntN(12))*time.Second, randomSpec(random, i))
		if random.IntN(3) == 0 {
			s.hosts[random.IntN(len(s.hosts))].failTasks()
		} else {
			s.injectRandomFault(random, i+1)
		}
		time.Sleep(time.Duration(random.IntN(5000)) * time.Millisecond)
	}
	s.healAndAwaitAllEnded()
}

// failTasks makes all tasks that run on the machine exit with an error.
func (k *host) failTasks() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for i := range k.status.Tasks {
		if t := &k.status.Tasks[i]; t.Phase != api.TaskExited {
			k.exitTask(t, api.CauseError)
		}
	}
}

// Guards against a machine that gets no more direct starts once it has the last fencing token of the
// term: a new term must begin.
func TestNewTermBeginsWhenTokensAreExhausted(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n, sender, agents := w.startWithSlowHeartbeats(1)
		time.Sleep(minNewTermInterval)
		agents[0].heartbeatFor(n, 2)
		first := n.leadingTerm()
		n.inspect(func(c *Controller) { c.leaderTerm.machines["i-0"].Token = first.Number - 1 })
		w.submit(n, spec("job-1", 1))
		time.Sleep(time.Second)
		w.checkEqual("started with the last token but one", countRunning(agents...), 1)
		agents[0].exit(api.CauseDone)
		agents[0].heartbeatFor(n, 4)
		second := n.leadingTerm()
		w.checkEqual("a new term has begun", second.Number > first.Number, true)
		w.checkEqual("lowest token of the new term", second.FirstToken, first.Number+1)
		agents[0].heartbeatFor(n, 4)
		sender.takeSentCount()
		w.submit(n, spec("job-2", 1))
		time.Sleep(time.Second)
		w.checkEqual("batches in the new term", sender.takeSentCount(), 1)
		sender.deliverCopies()
		w.checkEqual("running", agents[0].running(), []string{"job-2/0"})
	})
}

// Guards against a direct start with the last token of a term, which could never be reaped in that term.
func TestNoDirectStartWithTheLastToken(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n, sender, agents := w.startWithSlowHeartbeats(1)
		n.inspect(func(c *Controller) { c.leaderTerm.machines["i-0"].Token = c.leaderTerm.term.Number })
		sender.takeSentCount()
		w.submit(n, spec("job-1", 1))
		time.Sleep(time.Second)
		w.checkEqual("batches", sender.takeSentCount(), 0)
		agents[0].heartbeatFor(n, 2)
		w.checkEqual("started in a heartbeat response", countRunning(agents...), 1)
		agents[0].exit(api.CauseDone)
		agents[0].heartbeatFor(n, 3)
		w.checkEqual("attempts kept", len(agents[0].status.Tasks), 0)
	})
}

// leadingTerm returns the term in which a node leads.
func (n *node) leadingTerm() (term election.Term) {
	n.inspect(func(c *Controller) { term = c.leaderTerm.term })
	return term
}

// Guards against a start that is refused because the machine's token rose while its batch was in flight.
func TestTokenDoesNotRiseWhileABatchIsInFlight(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n, sender, agents := w.startWithSlowHeartbeats(1)
		w.submit(n, spec("job-1", 1))
		time.Sleep(time.Second)
		agents[0].heartbeat(n)
		token := agents[0].status.Token
		if _, err := n.Cancel(w.t.Context(), "job-1"); err != nil {
			w.t.Fatal(err)
		}
		sender.setMode(delayBatches)
		w.submit(n, spec("job-2", 1))
		agents[0].heartbeat(n) // stops job-1/0
		agents[0].heartbeat(n)
		w.checkEqual("token while the batch is in flight", agents[0].status.Token, token)
		w.checkEqual("applied", sender.applyDelayed(), 1)
		time.Sleep(2 * time.Second)
		agents[0].heartbeatFor(n, 3)
		w.checkEqual("running", agents[0].running(), []string{"job-2/0"})
		w.checkEqual("token afterwards", agents[0].status.Token > token, true)
		w.checkEqual("attempts kept", len(agents[0].status.Tasks), 1)
	})
}

// Guards against a follower whose answers on the leader's behalf use up the tokens of a term, or reap an
// attempt that a copy of its start could run again.
func TestFollowerAnswersWithTheMachinesToken(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		links := &peerLinks{}
		sender := w.useFakeCommandSender()
		w.cancelS = 120
		leader := links.add("n0", w.startWith("n0", w.store, links))
		follower := links.add("n1", w.startWith("n1", w.store, links))
		agent := w.worker("i-1", "a", false)
		sender.addMachine(agent)
		agent.heartbeatFor(leader, 4)
		w.submit(leader, spec("job-1", 1))
		time.Sleep(time.Second)
		w.checkEqual("started directly", len(agent.running()), 1)
		agent.heartbeatFor(leader, 1)
		token := agent.status.Token
		w.submit(leader, spec("job-2", 1))
		time.Sleep(2 * time.Second)
		links.partitioned.Store(true)
		time.Sleep(6 * time.Second)
		agent.exit(api.CauseDone)
		before := attemptsOn(agent)
		agent.heartbeatFor(follower, 8)
		w.checkEqual("token after answers on behalf", agent.status.Token, token)
		sender.deliverCopies()
		w.checkEqual("running after the copies", agent.running(), []string(nil))
		w.checkEqual("attempts kept while relayed", attemptsOn(agent), before)
		follower.inspect(func(c *Controller) {
			w.checkEqual("relayed machines", len(c.uplink.machines), 1)
		})
		links.partitioned.Store(false)
		time.Sleep(3 * time.Second)
		agent.heartbeatFor(leader, 4)
		w.checkEqual("attempts kept afterwards", len(agent.status.Tasks), 0)
		sender.deliverCopies()
		w.checkEqual("attempts after the copies", len(agent.status.Tasks), 0)
	})
}

// Guards against a task that stays reserved although the command that starts it can no longer be
// applied, because the machine has a higher token.
func TestUnknownOutcomeIsResolvedByAHigherToken(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n, sender, agents := w.startWithSlowHeartbeats(1)
		w.cloud.rejectTerminate = true
		other := w.worker("i-9", "a", false)
		w.submit(n, spec("job-1", 1))
		time.Sleep(time.Second)
		agents[0].heartbeat(n)
		sender.setMode(delayBatches)
		w.submit(n, spec("job-2", 1))
		time.Sleep(3 * time.Second)
		sender.setMode(rejectBatches)
		other.heartbeatFor(n, 4)
		w.checkEqual("started elsewhere while the command may be applied", len(other.running()), 0)
		agents[0].exit(api.CauseDone)
		agents[0].heartbeatFor(n, 4)
		other.heartbeatFor(n, 4)
		w.checkEqual("started elsewhere", other.running(), []string{"job-2/0"})
		w.checkEqual("applied late", sender.applyDelayed(), 0)
	})
}

// Guards against an attempt that a copy runs again, or an older version's leader whose commands machines
// reject, when versions with and without ranges of tokens lead in turn.
func TestTokensAcrossRolloutAndRollback(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		links := &peerLinks{}
		sender := w.useFakeCommandSender()
		leader := links.add("n1", w.startWith("n1", w.store, links))
		agent := w.worker("i-1", "a", false)
		sender.addMachine(agent)
		agent.heartbeatFor(leader, 3)
		w.submit(leader, spec("job-1", 2))
		time.Sleep(time.Second)
		w.checkEqual("started directly", len(agent.running()), 2)
		agent.exit(api.CauseDone)
		agent.heartbeatFor(leader, 4)
		raised := agent.status.Token
		leader.crash()
		links.nodes.Delete("n1")
		old := w.startOld("n0", &gate{Fake: w.store}, links)
		time.Sleep(40 * time.Second)
		w.checkEqual("the old node leads", old.leads(), true)
		sender.deliverCopies()
		w.checkEqual("attempts before the rollback is complete", len(agent.status.Tasks), 0)
		agent.heartbeatFor(old, 3)
		w.checkEqual("the old leader's token is higher", agent.status.Token > raised, true)
		previous := agent.status.Token
		old.crash()
		links.nodes.Delete("n0")
		leader = links.add("n1", w.startWith("n1", w.store, links))
		time.Sleep(40 * time.Second)
		agent.heartbeatFor(leader, 3)
		w.checkEqual("the new leader's token is higher", agent.status.Token > previous, true)
		w.submit(leader, spec("job-2", 1))
		time.Sleep(time.Second)
		w.checkEqual("started after the rollout", agent.running(), []string{"job-2/0"})
		sender.deliverCopies()
		w.checkEqual("attempts after the copies", len(agent.status.Tasks), 1)
	})
}

// Guards against a late copy of a completion record that replaces a later one, so that the next leader
// starts completed tasks again.
func TestLateCopyOfCompletionRecord(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		store := &recordingStore{Service: w.store, prefix: records.CompletionPrefix}
		n := w.startWith("n0", store, nil)
		agent := w.worker("i-1", "a", false)
		w.submit(n, spec("job-1", 4))
		agent.heartbeatFor(n, 4)
		w.checkEqual("running", len(agent.running()), 4)
		agent.exitTasks(api.CauseDone, "job-1/0")
		agent.heartbeatFor(n, 5)
		first := store.lastTransaction()
		agent.exitTasks(api.CauseDone, "job-1/1", "job-1/2")
		agent.heartbeatFor(n, 5)
		w.checkEqual("attempts kept once the completions are on record", len(agent.status.Tasks), 1)
		store.apply(t, first)
		n.crash()
		n = w.start("n0")
		for range 4 {
			w.checkNoStart("completed task started again", agent.heartbeat(n))
			time.Sleep(time.Second)
		}
	})
}

// exitTasks makes the named tasks exit with the given cause.
func (k *worker) exitTasks(cause string, tasks ...string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for i := range k.status.Tasks {
		if t := &k.status.Tasks[i]; slices.Contains(tasks, t.Task) {
			t.Phase, t.Cause = api.TaskExited, cause
		}
	}
}
