package failuredetector

import (
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
)

// testTask and attemptID are the task and the attempt of all commands.
const (
	testTask  = "job-1.0"
	attemptID = 5
)

// singleCommand returns the commands of a response that has only one.
func singleCommand(verb string) []api.Command {
	return []api.Command{{Verb: verb, Task: testTask, Attempt: attemptID}}
}

// shownAttempt returns an attempt that the newest heartbeat shows.
func shownAttempt(phase string) *cluster.Attempt {
	return &cluster.Attempt{Phase: phase, LastSeenHeartbeat: 9}
}

// missingAttempt is an attempt that the newest heartbeat does not show.
var missingAttempt = &cluster.Attempt{LastSeenHeartbeat: 8}

var checkAppliedTests = []struct {
	name     string
	commands []api.Command
	attempt  *cluster.Attempt
	// unapplied is how many consecutive responses before this one were not applied.
	unapplied     int
	late          time.Duration
	pausedAgo     time.Duration
	want          bool
	wantUnapplied int
	wantCordon    time.Duration
}{
	{name: "no commands", unapplied: 2, want: true, wantUnapplied: 2},
	{
		name:      "start shown",
		commands:  singleCommand(api.VerbStart),
		attempt:   shownAttempt(api.TaskPulling),
		unapplied: 2,
		want:      true,
	},
	{name: "start not shown", commands: singleCommand(api.VerbStart), attempt: missingAttempt, wantUnapplied: 1},
	{name: "start of an unknown attempt", commands: singleCommand(api.VerbStart), wantUnapplied: 1},
	{
		name:          "still running after a stop",
		commands:      singleCommand(api.VerbStop),
		attempt:       shownAttempt(api.TaskRunning),
		wantUnapplied: 1,
	},
	{
		name:      "saving before it stops",
		commands:  singleCommand(api.VerbStop),
		attempt:   shownAttempt(api.TaskSaving),
		unapplied: 1,
		want:      true,
	},
	{name: "stopped", commands: singleCommand(api.VerbStop), attempt: missingAttempt, unapplied: 1, want: true},
	{
		name:          "not reaped",
		commands:      singleCommand(api.VerbReap),
		attempt:       shownAttempt(api.TaskExited),
		wantUnapplied: 1,
	},
	{name: "reaped", commands: singleCommand(api.VerbReap), unapplied: 1, want: true},
	{
		name:     "one of two applied",
		commands: append(singleCommand(api.VerbStart), singleCommand(api.VerbReap)...),
		attempt:  shownAttempt(api.TaskRunning),
		want:     true,
	},
	{name: "late tick", commands: singleCommand(api.VerbStart), late: pauseThreshold, want: true},
	{
		name:      "pause while the response may have been in flight",
		commands:  singleCommand(api.VerbStart),
		unapplied: 1,
		// The response was sent two seconds ago.
		pausedAgo:     2*time.Second + responseMaxAge - 1,
		want:          true,
		wantUnapplied: 1,
	},
	{
		name:          "pause before the response may have been in flight",
		commands:      singleCommand(api.VerbStart),
		pausedAgo:     2*time.Second + responseMaxAge,
		wantUnapplied: 1,
	},
	{
		name:          "second unapplied response",
		commands:      singleCommand(api.VerbStart),
		unapplied:     1,
		wantUnapplied: 2,
		wantCordon:    8 * time.Second,
	},
	{
		name:          "third unapplied response",
		commands:      singleCommand(api.VerbStart),
		unapplied:     2,
		wantUnapplied: 3,
		wantCordon:    16 * time.Second,
	},
	{
		name:          "fourth unapplied response",
		commands:      singleCommand(api.VerbStart),
		unapplied:     3,
		wantUnapplied: 4,
		wantCordon:    MaxCordon,
	},
	{
		name:          "hundredth unapplied response",
		commands:      singleCommand(api.VerbStart),
		unapplied:     99,
		wantUnapplied: 100,
		wantCordon:    MaxCordon,
	},
}

func TestCheckApplied(t *testing.T) {
	for _, c := range checkAppliedTests {
		t.Run(c.name, func(t *testing.T) {
			d := newDetector(t)
			if c.pausedAgo > 0 {
				d.lastPause = now.Add(-c.pausedAgo)
			}
			m := machineSeen(0)
			m.HeartbeatCount = 9
			m.LastCommands, m.LastCommandsAt = c.commands, now.Add(-2*time.Second)
			m.UnappliedResponses = c.unapplied
			m.NextProbe = now.Add(time.Hour)
			if c.attempt != nil {
				m.Attempts = map[cluster.AttemptKey]*cluster.Attempt{{Ref: testTask, ID: attemptID}: c.attempt}
			}
			if got := d.CheckApplied(m, now, now.Add(c.late)); got != c.want {
				t.Errorf("applied %t, want %t", got, c.want)
			}
			if m.UnappliedResponses != c.wantUnapplied {
				t.Errorf("%d unapplied responses, want %d", m.UnappliedResponses, c.wantUnapplied)
			}
			if probeDue := m.NextProbe.Equal(now); probeDue == c.want {
				t.Errorf("probe due at once: %t, want %t", probeDue, !c.want)
			}
			checkCordon(t, m, c.wantCordon)
		})
	}
}

// checkCordon checks how long a machine is cordoned from now on. A want of 0 means no cordon.
func checkCordon(t *testing.T, m *cluster.Machine, want time.Duration) {
	t.Helper()
	if want == 0 {
		if !m.CordonedUntil.IsZero() {
			t.Errorf("cordoned until %v, want no cordon", m.CordonedUntil)
		}
		return
	}
	if got := m.CordonedUntil.Sub(now); got != want {
		t.Errorf("cordoned for %v, want %v", got, want)
	}
}

func TestAgentEpochChanged(t *testing.T) {
	// The response that last renewed the expired task lease may be as old as the lease duration plus
	// the heartbeat timeout.
	const covered = 15 * time.Second
	for _, c := range []struct {
		name      string
		pausedAgo time.Duration
		late      time.Duration
		want      int
	}{
		{"no pause", time.Hour, 0, 1},
		{"pause before the task lease was renewed", covered, 0, 1},
		{"pause after the task lease was renewed", covered - 1, 0, 0},
		{"late tick", time.Hour, pauseThreshold, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newDetector(t)
			d.lastPause = now.Add(-c.pausedAgo)
			m := machineSeen(0)
			m.LastCommands = []api.Command{{Verb: api.VerbStart}}
			d.AgentEpochChanged(m, now, now.Add(c.late))
			if m.UnappliedResponses != c.want {
				t.Errorf("%d unapplied responses, want %d", m.UnappliedResponses, c.want)
			}
			if m.LastCommands != nil {
				t.Error("commands to the old agent epoch are kept")
			}
		})
	}
}
