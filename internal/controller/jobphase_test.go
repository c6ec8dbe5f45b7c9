package controller

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/membership"
	"example.org/ivytrestle/internal/records"
)

// phaseOutage is a situation in which users ask about a job all of whose tasks run. Node n0 leads and the only
// machine sends it heartbeats.
type phaseOutage struct {
	name string
	// disturb begins the fault, and heal ends it after healAfter.
	disturb, heal func(tn *userCluster)
	healAfter     time.Duration
	// at is the node at which users ask.
	at int
	// unanswered is for how long they may get no answer. If it is 0, each request has to be answered.
	unanswered time.Duration
	// withoutStore is set if the store does not answer the node at which users ask. Repeated submissions are
	// answered only after heal then.
	withoutStore bool
}

// limit returns for how long requests may get no answer.
func (c *phaseOutage) limit(isPoll bool) time.Duration {
	if c.withoutStore && !isPoll {
		return c.healAfter + 2*time.Second
	}
	return c.unanswered
}

// rerouteTime is heartbeatRerouteTime in the simulated cluster: within it, a machine that can reach a node
// has sent it a heartbeat.
const rerouteTime = time.Second*5/4 + agentResponseTimeout + agentRetryDelay

// storeQueryTime is how long nodes take to notice that they do not reach each other, and to exchange a query and its
// response through the store.
const storeQueryTime = 3*membership.PingInterval + storeRoundInterval + storeRoundTimeout

// crashAll returns a fault in which all nodes crash, and are back after the given time.
func crashAll(d time.Duration) func(tn *userCluster) {
	return func(tn *userCluster) {
		for i := range 3 {
			tn.crash(i)
		}
		time.Sleep(d)
		for i := range 3 {
			tn.startNode(i)
		}
	}
}

var phaseOutages = []phaseOutage{
	{name: "sound leader", disturb: doNothing, heal: doNothing},
	{name: "beside a sound leader", disturb: doNothing, heal: doNothing, at: 2},
	{name: "leader whose writes wait", disturb: delayEnd, heal: writeEnd, healAfter: 9 * time.Second},
	{name: "beside a leader whose writes wait", disturb: delayEnd, heal: writeEnd, healAfter: 9 * time.Second, at: 1},
	{
		name:    "leader crashed, at the node that gets the heartbeats",
		disturb: crashNode0, heal: startNode0, healAfter: 5 * time.Second, at: 1, unanswered: rerouteTime,
	},
	{
		name:    "leader crashed, at a node that hears nothing",
		disturb: both(muteFor(2), crashNode0), heal: both(unmute, startNode0), healAfter: 5 * time.Second, at: 2,
		unanswered: rerouteTime,
	},
	{name: "leader crashed for good", disturb: crashNode0, heal: doNothing, at: 1, unanswered: rerouteTime},
	{name: "leader hangs", disturb: hangNode0, heal: doNothing, at: 1, unanswered: rerouteTime},
	{
		name:    "leader hangs, at a node that hears nothing",
		disturb: both(muteFor(2), hangNode0), heal: unmute, healAfter: 9 * time.Second, at: 2,
		unanswered: rerouteTime,
	},
	{
		name:    "store rejects the leader alone, at another node",
		disturb: rejectNode0, heal: acceptNode0, healAfter: 25 * time.Second, at: 1, unanswered: rerouteTime,
	},
	{
		name:    "store rejects the leader alone, at the leader",
		disturb: rejectNode0, heal: acceptNode0, healAfter: 25 * time.Second, unanswered: rerouteTime,
		withoutStore: true,
	},
	{
		name:    "silent machine, which answers probes",
		disturb: muteFor(0, 1, 2), heal: unmute, healAfter: 7 * time.Second,
	},
	{
		name:    "leader crashed, the machine's heartbeats reach nobody",
		disturb: both(muteFor(0, 1, 2), crashNode0), heal: unmute, healAfter: 7 * time.Second, at: 1,
		unanswered: 7*time.Second + rerouteTime,
	},
	{
		name:    "connections between the nodes are cut, at another node",
		disturb: partition, heal: endPartition, healAfter: 25 * time.Second, at: 1, unanswered: storeQueryTime,
	},
	{
		name:    "connections between the nodes are cut, at the leader",
		disturb: partition, heal: endPartition, healAfter: 25 * time.Second,
	},
	{
		name:    "all nodes restarted",
		disturb: crashAll(2 * time.Second), heal: doNothing, at: 1, unanswered: 2*time.Second + rerouteTime,
	},
}

// phaseQuestion is a way in which a user asks for the state of a job.
type phaseQuestion struct {
	name string
	ask  func(tn *userCluster, n *node, s *api.JobSpec) (api.JobState, error)
}

var phaseQuestions = []phaseQuestion{
	{"poll", func(tn *userCluster, n *node, s *api.JobSpec) (api.JobState, error) {
		return tn.checker.queryJob(n, s.ID)
	}},
	{"repeated submission", func(tn *userCluster, n *node, s *api.JobSpec) (api.JobState, error) {
		return tn.checker.repeat(n, s)
	}},
	{"invalid repeated submission", func(tn *userCluster, n *node, s *api.JobSpec) (api.JobState, error) {
		return tn.checker.repeatInvalid(n, s.ID)
	}},
}

// Guards against calling a running job pending, as polls did while the leader could not be asked, and repeated
// submissions at any time (review cases 7 and 8). Each answer has to be "running", and users get one soon.
func TestRunningJobIsNotCalledPending(t *testing.T) {
	for _, c := range phaseOutages {
		for _, question := range phaseQuestions {
			t.Run(c.name+", "+question.name, func(t *testing.T) {
				simulate(t, func(w *simulatedCluster) { c.run(w, question) })
			})
		}
	}
}

// run plays the situation, in which a user asks once a second.
func (c *phaseOutage) run(w *simulatedCluster, question phaseQuestion) {
	tn := newUserCluster(w, 1)
	defer tn.close()
	job := spec("job-1", 2)
	tn.submitUntilAccepted(c.at, job)
	time.Sleep(stateLag + 2*time.Second)
	tn.runInBackground(func() {
		c.disturb(tn)
		time.Sleep(c.healAfter)
		c.heal(tn)
	})
	lastAnswer, limit := time.Now(), c.limit(question.name == "poll")
	for end := lastAnswer.Add(40 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		if len(tn.runningNodes()) == 0 {
			continue
		}
		asked := time.Now()
		state, err := question.ask(tn, tn.nodeAt(c.at), job)
		if took := time.Since(asked); took > cancelAnswerLimit {
			tn.t.Errorf("response after %v, want within %v", took, cancelAnswerLimit)
		}
		since := time.Since(lastAnswer)
		switch {
		case err == nil:
			tn.checkEqual("phase", state.Phase, api.JobRunning)
			lastAnswer = time.Now()
		case since > limit:
			tn.t.Errorf("no answer for %v, want one within %v: %v", since, limit, err)
		}
	}
	tn.completeJob(job.ID)
	time.Sleep(stateLag)
	tn.checkFinalPhases(map[string]string{job.ID: api.JobDone})
}

// A new job is accepted at once in each of the situations in which the store answers, although nobody can tell
// whether other jobs run.
func TestNewJobIsAcceptedAtOnceWithoutLeader(t *testing.T) {
	for _, c := range phaseOutages {
		if c.withoutStore || c.name == "all nodes restarted" {
			continue // nothing can be accepted
		}
		t.Run(c.name, func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				tn := newUserCluster(w, 1)
				defer tn.close()
				tn.submitUntilAccepted(c.at, spec("job-1", 2))
				time.Sleep(4 * time.Second)
				tn.runInBackground(func() { c.disturb(tn) })
				for i := range 20 {
					time.Sleep(500 * time.Millisecond)
					asked := time.Now()
					err := tn.checker.submit(tn.nodeAt(c.at), spec(fmt.Sprint("job-1", i), 1))
					if took := time.Since(asked); err != nil || took > 200*time.Millisecond {
						t.Errorf("submission %d: got %v after %v, want none within 200 ms", i, err, took)
					}
				}
				c.heal(tn)
				tn.store.Delay(nil)
			})
		})
	}
}

// The response to the transaction that creates a job is lost, while no node leads: the node finds its own
// record, and answers the submission as that of a new job.
func TestNewJobWithLostResponseIsAcceptedAtOnce(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		tn := newUserCluster(w, 1)
		defer tn.close()
		tn.crash(0)
		tn.store.LoseResponses(writesPrefix("a/"))
		if err := tn.checker.submit(tn.nodeAt(1), spec("job-1", 1)); err != nil {
			t.Errorf("got %v, want none", err)
		}
	})
}

// While many repeated submissions wait for a leader that hangs, further ones are to be repeated, and a new job is
// accepted at once.
func TestConcurrentRepeatedSubmissionsAreBounded(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		tn := newUserCluster(w, 1)
		defer tn.close()
		const repeats = maxRepeatedPolls + 20
		job := spec("job-1", 2)
		tn.submitUntilAccepted(1, job)
		time.Sleep(2 * stateLag)
		hangNode0(tn)
		errs := make(chan error, repeats)
		for range repeats {
			tn.runInBackground(func() {
				_, err := tn.checker.repeat(tn.nodeAt(1), job)
				errs <- err
			})
		}
		time.Sleep(100 * time.Millisecond)
		if err := tn.checker.submit(tn.nodeAt(1), spec("job-2", 1)); err != nil {
			t.Errorf("new job: got %v, want no error", err)
		}
		rejected := 0
		for range repeats {
			if errors.Is(<-errs, errTooManyRepeats) {
				rejected++
			}
		}
		tn.checkEqual("rejected", rejected, repeats-maxRepeatedPolls)
	})
}

// A job whose phase nobody can tell is reported as pending in the end: its user would take it for lost.
func TestUnknownPhaseIsAnsweredBeforeJobCountsAsForgotten(t *testing.T) {
	for _, question := range phaseQuestions {
		t.Run(question.name, func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				tn := newUserCluster(w, 1)
				defer tn.close()
				job := spec("job-1", 2)
				tn.submitUntilAccepted(1, job)
				time.Sleep(4 * time.Second)
				partition(tn)
				tn.store.Delay(writesPrefix(records.ResponsePrefix)) // as from a leader of the version in production
				lastAnswer, answers := time.Now(), 0
				for range 180 / 5 {
					time.Sleep(5 * time.Second)
					state, err := question.ask(tn, tn.nodeAt(1), job)
					if err != nil {
						continue
					}
					tn.checkEqual("phase", state.Phase, api.JobPending)
					if since := time.Since(lastAnswer); since < maxPhaseWait || since >= forgottenAfter {
						t.Errorf("answer after %v, want after %v to %v", since, maxPhaseWait, forgottenAfter)
					}
					lastAnswer, answers = time.Now(), answers+1
				}
				tn.checkEqual("answers", answers, 4)
				endPartition(tn)
			})
		})
	}
}

// A new leader that has not heard of a machine yet does not call older jobs pending, neither to its own users
// nor to those of other nodes, until the machine's lease has expired. Newer jobs are pending.
func TestNewLeaderWaitsForMachinesBeforeJobsArePending(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		tn := newUserCluster(w, 1)
		defer tn.close()
		tn.submitUntilAccepted(1, spec("job-1", 2))
		time.Sleep(4 * time.Second)
		muteFor(0, 1, 2)(tn)
		w.unresponsive.Store("i-1", true)
		tn.crash(0)
		next := tn.awaitLeader()
		time.Sleep(time.Second)
		tn.submitUntilAccepted(next, spec("job-2", 1))
		time.Sleep(time.Second)
		for _, at := range []int{next, 3 - next} {
			_, err := tn.checker.queryJob(tn.nodeAt(at), "job-1")
			tn.checkEqual("phase of the older job is unknown", errors.Is(err, errPhaseUnknown), true)
			state, err := tn.checker.queryJob(tn.nodeAt(at), "job-2")
			tn.checkEqual("phase of the newer job", []any{state.Phase, err}, []any{api.JobPending, nil})
		}
		time.Sleep(simulatedLease)
		for _, at := range []int{next, 3 - next} {
			state, err := tn.checker.queryJob(tn.nodeAt(at), "job-1")
			tn.checkEqual("phase after the lease", []any{state.Phase, err}, []any{api.JobPending, nil})
		}
	})
}

// After a machine has been silent for a lease, its tasks neither count as running nor as ended, until the
// cloud has terminated it.
func TestTasksOnSilentMachineAreUnknownAfterItsLease(t *testing.T) {
	simulate(t, func(w *simulatedCluster) {
		n := w.start("n0")
		agent := w.worker("i-1", "a", false)
		agent.heartbeat(n)
		w.submit(n, spec("job-1", 1))
		agent.heartbeatFor(n, 3)
		w.unresponsive.Store("i-1", true)
		w.cloud.setRejectTerminate(true)
		time.Sleep(simulatedLease - time.Second)
		w.checkEqual("within the lease", w.phase(n, "job-1"), api.JobRunning)
		time.Sleep(2 * time.Second)
		_, err := n.Job(context.Background(), "job-1")
		w.checkEqual("unknown after the lease", errors.Is(err, errPhaseUnknown), true)
		w.cloud.setRejectTerminate(false)
		time.Sleep(20 * time.Second)
		w.checkEqual("after the termination", w.phase(n, "job-1"), api.JobPending)
	})
}

// A task of which no heartbeat has shown the beginning may run: its start was sent, or it waited for its image, and its
// machine has been silent since. Its job is pending only while that is news.
func TestStartedTaskOnSilentMachineIsUnknown(t *testing.T) {
	for _, fetching := range []bool{false, true} {
		simulate(t, func(w *simulatedCluster) {
			w.heartbeatS = 3
			n := w.start("n0")
			agent := w.worker("i-1", "a", false)
			agent.heartbeatFor(n, 2)
			w.submit(n, spec("job-1", 1))
			agent.heartbeat(n)
			w.checkEqual("tasks", len(agent.running()), 1)
			if fetching {
				agent.mu.Lock()
				agent.status.Tasks[0].Phase = api.TaskPulling
				agent.mu.Unlock()
				agent.heartbeat(n)
			}
			w.unresponsive.Store("i-1", true)
			time.Sleep(time.Second)
			w.checkEqual("phase at first", w.phase(n, "job-1"), api.JobPending)
			time.Sleep(4 * time.Second)
			_, err := n.Job(context.Background(), "job-1")
			w.checkEqual("unknown later", errors.Is(err, errPhaseUnknown), true)
			agent.mu.Lock()
			agent.status.Tasks[0].Phase = api.TaskRunning
			agent.mu.Unlock()
			agent.heartbeat(n)
			w.checkEqual("phase after a heartbeat", w.phase(n, "job-1"), api.JobRunning)
		})
	}
}

// peerAnswer is a PeerClient whose nodes all give one answer about jobs, with an error or not.
type peerAnswer struct {
	PeerClient
	answer JobAnswer
	err    error
}

func (p peerAnswer) Job(context.Context, string, JobQuery) (JobAnswer, error) { return p.answer, p.err }

// What a node tells its user if another one has answered, also one of the version in production, which does
// not tell whether "pending" was derived from a record.
func TestAnswersOfOtherNodesAreCheckedForTheirSource(t *testing.T) {
	pending := api.JobState{ID: "job-1", Phase: api.JobPending}
	running := api.JobState{ID: "job-1", Phase: api.JobRunning}
	done := api.JobState{ID: "job-1", Phase: api.JobDone}
	refused := errors.New("refused")
	for _, c := range []struct {
		name    string
		source  answerSource
		settled bool
		answer  JobAnswer
		err     error
		want    error
	}{
		{"leader", fromLeader, false, JobAnswer{pending, Confirmed}, nil, nil},
		{"other node", fromPeer, false, JobAnswer{running, Confirmed}, nil, nil},
		{"leader without the store", fromLeader, false, JobAnswer{running, WhileActive}, nil, errStateUnconfirmed},
		{"new leader", fromLeader, false, JobAnswer{api.JobState{}, PhaseNotKnown}, nil, errLeaderPhaseUnknown},
		{"old version, pending", fromPeer, true, JobAnswer{pending, CertaintyUnspecified}, nil, errPhaseUnknown},
		{"old version, running", fromPeer, false, JobAnswer{running, CertaintyUnspecified}, nil, nil},
		{"old version, done", fromPeer, false, JobAnswer{done, CertaintyUnspecified}, nil, nil},
		{"leader of the old version", fromLeader, true, JobAnswer{pending, CertaintyUnspecified}, nil, nil},
		{"new leader, old version", fromLeader, false, JobAnswer{pending, CertaintyUnspecified}, nil, errPhaseUnknown},
		{"node that refuses", fromPeer, false, JobAnswer{}, refused, refused},
	} {
		t.Run(c.name, func(t *testing.T) {
			simulate(t, func(w *simulatedCluster) {
				n := w.start("n0")
				n.inspect(func(n *Controller) { n.Peers = peerAnswer{answer: c.answer, err: c.err} })
				reply := pollReply{leaderSettled: c.settled}
				state, err := n.queryNode(context.Background(), c.source, "n1", "job-1", reply)
				if !errors.Is(err, c.want) || c.want == nil && state.Phase != c.answer.State.Phase {
					t.Errorf("got %q, %v, want error %v", state.Phase, err, c.want)
				}
				_, known := n.leaderStates.recent("job-1")
				isKnown := c.answer.State.Phase != "" && !errors.Is(c.want, errPhaseUnknown)
				w.checkEqual("remembered as the leader's", known, c.source == fromLeader && isKnown)
				time.Sleep(maxPendingAge + time.Millisecond)
				_, known = n.leaderStates.recent("job-1")
				isRunning := c.answer.State.Phase == api.JobRunning
				w.checkEqual("remembered after maxPendingAge", known, c.source == fromLeader && isRunning)
				time.Sleep(stateLag)
				_, known = n.leaderStates.recent("job-1")
				w.checkEqual("remembered after stateLag", known, false)
			})
		})
	}
}

// Guards against calling a lent job running, or pending, on an old word of its host, or on that of a host that has
// not heard its machines since its restart: the phase is unknown then.
func TestPhaseOfLentJobIsThatOfItsHost(t *testing.T) {
	simulateCells(t, []int{1, 2}, func(g *cellGroup) {
		home, host := g.cells[0], g.cells[1]
		id := g.runningGuest(host, g.submitBurst(home, 100, 6, 2*time.Minute))
		time.Sleep(stateLag)
		home.checkEqual("phase while the host answers", home.phase(home.currentNodes()[0], id), api.JobRunning)
		g.setCut(home.name, host.name, true)
		time.Sleep(stateLag + 2*time.Second)
		_, err := home.currentNodes()[0].Job(context.Background(), id)
		home.checkEqual("unknown while the link is cut", errors.Is(err, errPhaseUnknown), true)
		g.setCut(home.name, host.name, false)
		time.Sleep(stateLag)
		home.checkEqual("phase afterwards", home.phase(home.currentNodes()[0], id), api.JobRunning)
		g.mu.Lock()
		host.hangUntil = time.Now().Add(2 * stateLag)
		g.mu.Unlock()
		host.restartNode(0, 200*time.Millisecond)
		time.Sleep(2*stateLag - time.Second)
		_, err = home.currentNodes()[0].Job(context.Background(), id)
		home.checkEqual("unknown while the host has not heard its machines", errors.Is(err, errPhaseUnknown), true)
		time.Sleep(2 * stateLag)
		home.checkEqual("phase after the host's restart", home.phase(home.currentNodes()[0], id), api.JobRunning)
		g.awaitAllEnded(10 * time.Minute)
	})
}
