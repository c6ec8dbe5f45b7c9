package main

import (
	"fmt"
	"strings"
	"time"
)

// scenario is a case.
type scenario struct {
	settings func() siteSettings
	frame    flavor
	machines int
	// play returns errBroken if the rule was broken, nil if it held, and another error if the case could
	// not run.
	play func(w *world, trouble bool) error
}

// nodSexton is the machine type of Studiekraft.
var nodSexton = flavor{
	Label: "nod-sexton", Cores: 16, MemoryGB: 128, LocalGB: 80, PullGBPerS: 1, Hourly: 0.84, LowPrice: 0.37,
	StartupS: 25, Beds: []string{"norrland"},
}

// studiekraft returns the settings of Studiekraft at its first size, with six teams.
func studiekraft() siteSettings {
	var s siteSettings
	s.Nodes, s.Zones, s.ClockOffMs = 3, []string{"norrland"}, 250
	for i := range 6 {
		s.Teams = append(s.Teams, team{Name: fmt.Sprintf("antagning-%02d", i), CPUs: 72, CPUsMax: 224})
	}
	s.Objectives = []any{map[string]any{"kind": "guarantee", "within_s": 10.0, "share": 0.93}}
	s.Workers.ReportS, s.Workers.LeaseS, s.Workers.CancelS = 3, 24, 49
	s.State = storeLimits{RPS: 80, WriteRPS: 25, ValueKB: 16, TxnOps: 20}
	s.Cloud.RPS, s.Cloud.ListLagS = 5, 8
	s.Limits.Cores, s.Limits.RAMMB, s.Limits.FDLimit = 0.06, 98, 800
	return s
}

// cases are the cases by name.
var cases = map[string]*scenario{
	"guarantee-waits":    {settings: borrowingTeam, frame: nodSexton, machines: 5, play: playGuaranteeWaits},
	"faulty-job":         {settings: memoryTeam, frame: nodSexton, machines: 4, play: playFaultyJob},
	"abort-of-done-job":  {settings: studiekraft, frame: nodSexton, machines: 4, play: playAbortOfDoneJob},
	"poll-says-pending":  {settings: studiekraft, frame: nodSexton, machines: 4, play: playPollSaysPending},
	"retry-says-pending": {settings: studiekraft, frame: nodSexton, machines: 4, play: playRetrySaysPending},
}

// stateLag is how far a job's state may lag, by PROTOCOL.
const stateLag = 3 * time.Second

// runLongJob submits a job with long tasks, and waits until all of them run.
func runLongJob(w *world, n *controller, shoots int) (*job, error) {
	j := &job{id: "job-000412", team: w.settings.Teams[0].Name, shoots: shoots, cores: 2, runTime: 100 * time.Second}
	if err := w.submit(n, j); err != nil {
		return nil, err
	}
	return j, w.awaitAllRun(j)
}

// awaitAllRun waits until all tasks of a job have run for longer than a state may lag.
func (w *world) awaitAllRun(j *job) error {
	return await(j.id+" to run", 30*time.Second, func() bool {
		n, shortest := w.runningSince(j.id)
		return n == j.shoots && shortest > stateLag+time.Second
	})
}

// checkPhase returns errBroken if an answer calls a job pending although all its tasks have run for longer
// than a state may lag.
func (w *world) checkPhase(j *job, r reply) error {
	n, shortest := w.runningSince(j.id)
	if r.code != 200 || r.phase != "pending" || n < j.shoots || shortest < stateLag {
		return nil
	}
	return fmt.Errorf("%w: %s is called pending, while all its %d tasks have run for %.1f s or more",
		errBroken, j.id, n, shortest.Seconds())
}

// playPollSaysPending has connections between controllers refused, and a user ask about a running job.
func playPollSaysPending(w *world, trouble bool) error {
	_, other := w.leaderNode()
	j, err := runLongJob(w, other, 8)
	if err != nil {
		return err
	}
	if r := w.poll(other, j.id); r.phase != "running" {
		return fmt.Errorf("%s is not called running before the disruption: %s", j.id, r)
	}
	if trouble {
		w.record("connections between controllers: refused")
		for _, n := range w.nodes {
			for _, l := range n.peers {
				l.refuse()
			}
		}
	}
	for range 3 {
		time.Sleep(5 * time.Second)
		if err := w.checkPhase(j, w.poll(other, j.id)); err != nil {
			return err
		}
	}
	return nil
}

// playRetrySaysPending loses the answer to a submission, and has the user retry it.
func playRetrySaysPending(w *world, trouble bool) error {
	_, other := w.leaderNode()
	l, err := newLink(other.apiAddr)
	if err != nil {
		return err
	}
	j := &job{id: "job-000412", team: w.settings.Teams[0].Name, shoots: 8, cores: 2, runTime: 100 * time.Second}
	l.mute(trouble)
	first := w.send(l.addr, j)
	l.mute(false)
	if trouble != (first.code == 0) {
		return fmt.Errorf("first submission: %s", first)
	}
	if err := w.awaitAllRun(j); err != nil {
		return err
	}
	for first.code == 0 {
		time.Sleep(retryDelay)
		first = w.send(l.addr, j)
		err := w.checkPhase(j, first)
		w.poll(other, j.id)
		if err != nil {
			return err
		}
	}
	return nil
}

// restartDelay is how long a controller that has ended takes to come back, by the pages of the deployments.
const restartDelay = 5 * time.Second

// playAbortOfDoneJob has the leader crash shortly before the last task of a job completes, and a user cancel
// the job longer after that than a job's state may lag. The leader comes back as the pages say. Another job
// awaits the cancelled one; what becomes of it is recorded.
func playAbortOfDoneJob(w *world, trouble bool) error {
	leader, other := w.leaderNode()
	j := &job{id: "job-000412", team: w.settings.Teams[0].Name, shoots: 8, cores: 2, runTime: 14 * time.Second}
	next := &job{id: "job-000413", team: j.team, shoots: 1, cores: 1, runTime: time.Second, awaits: []string{j.id}}
	for _, submitted := range []*job{j, next} {
		if err := w.submit(other, submitted); err != nil {
			return err
		}
	}
	const left = 500 * time.Millisecond
	if err := await(j.id+" to near its end", 40*time.Second, func() bool {
		n, shortest := w.runningSince(j.id)
		return n > 0 && n+w.tasksDone(j) == j.shoots && shortest > j.runTime-left
	}); err != nil {
		return err
	}
	if trouble {
		w.kill(leader)
		time.AfterFunc(restartDelay, func() { w.restart(leader) })
	}
	if err := await(j.id+" to be done", 10*time.Second, func() bool { return w.tasksDone(j) == j.shoots }); err != nil {
		return err
	}
	doneAt := time.Now()
	w.record("all tasks of %s have completed", j.id)
	time.Sleep(stateLag + 300*time.Millisecond)
	asked := time.Now()
	r, err := w.abort(other, j.id)
	if err != nil {
		return err
	}
	for range 4 {
		time.Sleep(2 * time.Second)
		w.poll(other, j.id)
		w.poll(other, next.id)
	}
	if r.phase == "done" {
		return nil
	}
	return fmt.Errorf("%w: the abort of %s, whose %d tasks had completed %.1f s before it was asked, is answered %q",
		errBroken, j.id, j.shoots, asked.Sub(doneAt).Seconds(), r.phase)
}

// tasksDone returns how many tasks of a job have completed.
func (w *world) tasksDone(j *job) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for shoot, done := range w.finished {
		if id, _, _ := strings.Cut(shoot, "/"); id == j.id && done {
			count++
		}
	}
	return count
}

// borrowingTeam returns the settings with a second team that may use more than its guarantee.
func borrowingTeam() siteSettings {
	s := studiekraft()
	s.Teams[1].CPUs, s.Teams[1].CPUsMax = 16, 40
	return s
}

const (
	// longestStart is more than what it takes to notice that a machine has stopped (its lease), and to
	// boot another (1.5 times StartupS), with some reports in between.
	longestStart = 80 * time.Second
	// watchedFor is how long the job is watched.
	watchedFor = 92 * time.Second
)

// playGuaranteeWaits stops the machine on which the only task of a team runs, while another team's tasks
// leave some room on each of the other machines, and not enough for this task on any. The cloud has machines.
func playGuaranteeWaits(w *world, trouble bool) error {
	_, other := w.leaderNode()
	big := &job{id: "job-000412", team: w.settings.Teams[0].Name, shoots: 1, cores: 16, windfall: true,
		runTime: 40 * time.Second}
	if err := w.submit(other, big); err != nil {
		return err
	}
	if err := w.awaitRunning(big, 1); err != nil {
		return err
	}
	small := &job{id: "job-000413", team: w.settings.Teams[1].Name, shoots: 4000, cores: 1, memoryGB: 12,
		windfall: true, runTime: 20 * time.Second, spread: 0.5}
	if err := w.submit(other, small); err != nil {
		return err
	}
	if err := w.awaitRunning(small, 40); err != nil {
		return err
	}
	if trouble {
		m := w.cloud.workerNamed(w.machineOf(big.id + "/0"))
		w.record("%s stops with all that is on it", m.name)
		m.die()
	}
	begin := time.Now()
	for time.Since(begin) < watchedFor {
		time.Sleep(4 * time.Second)
		if r := w.poll(other, big.id); r.phase == "done" {
			return nil
		}
		if n, _ := w.runningSince(big.id); trouble && (n > 0 || w.cloud.rentals() > 0) {
			w.record("the task started again, or a machine was rented for it")
			return nil
		}
	}
	if waited := time.Since(begin); waited > longestStart {
		return fmt.Errorf("%w: %s, the only job of a team far below its guarantee, has waited %.0f s for tasks of "+
			"another team, and the cloud was not asked for a machine", errBroken, big.id, waited.Seconds())
	}
	return fmt.Errorf("%s neither done nor watched long enough", big.id)
}

// awaitRunning waits until a number of a job's tasks run.
func (w *world) awaitRunning(j *job, tasks int) error {
	return await(j.id+" to run", 30*time.Second, func() bool {
		n, _ := w.runningSince(j.id)
		return n >= tasks
	})
}

// machineOf returns the machine on which a task was started last.
func (w *world) machineOf(shoot string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	name := ""
	for _, s := range w.starts {
		if s.shoot == shoot {
			name = s.machine
		}
	}
	return name
}

// memoryTeam returns the settings with a second team whose tasks fill the memory of four machines at its limit.
func memoryTeam() siteSettings {
	s := studiekraft()
	s.Teams[1].CPUs, s.Teams[1].CPUsMax = 16, 48
	return s
}

// faultyWatchedFor is how long the job of the next case is watched. To boot a machine takes less than half of it.
const faultyWatchedFor = 76 * time.Second

// playFaultyJob has a user submit a job with a mistake, which fails on every machine, before another team
// submits a sound job that needs a machine to be rented: the others have CPUs for it, and no memory.
func playFaultyJob(w *world, trouble bool) error {
	_, other := w.leaderNode()
	busy := &job{id: "job-000411", team: w.settings.Teams[1].Name, shoots: 4000, cores: 1, memoryGB: 10,
		windfall: true, runTime: 100 * time.Second, spread: 0.5}
	if err := w.submit(other, busy); err != nil {
		return err
	}
	if err := w.awaitRunning(busy, 48); err != nil {
		return err
	}
	faulty := &job{id: "job-000412", team: w.settings.Teams[2].Name, shoots: 8, cores: 1, windfall: true,
		runTime: 500 * time.Millisecond, fails: true}
	if trouble {
		if err := w.submit(other, faulty); err != nil {
			return err
		}
		if err := await("failures on three machines", 20*time.Second, func() bool {
			return w.machinesFailed(faulty.id) >= 3
		}); err != nil {
			return err
		}
	}
	time.Sleep(6 * time.Second)
	before := w.cloud.rentals()
	sound := &job{id: "job-000413", team: w.settings.Teams[0].Name, shoots: 1, cores: 4, memoryGB: 32,
		windfall: true, runTime: 10 * time.Second}
	if err := w.submit(other, sound); err != nil {
		return err
	}
	for begin := time.Now(); time.Since(begin) < faultyWatchedFor; time.Sleep(4 * time.Second) {
		if r := w.poll(other, sound.id); r.phase == "done" {
			return nil
		}
		if n, _ := w.runningSince(sound.id); trouble && (n > 0 || w.cloud.rentals() > before) {
			w.record("the task started, or a machine was rented for it")
			return nil
		}
	}
	if !trouble {
		return fmt.Errorf("%s not done", sound.id)
	}
	return fmt.Errorf("%w: %s, the only job of a team far below its guarantee, has waited %v, and the cloud was "+
		"not asked for a machine", errBroken, sound.id, faultyWatchedFor)
}
