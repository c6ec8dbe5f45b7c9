package failuredetector

import (
	"testing"
	"time"

	"example.org/ivytrestle/internal/cluster"
)

func TestDetectPause(t *testing.T) {
	for _, c := range []struct {
		name string
		gap  time.Duration
		// seenAgo is the time from LastSeen to the previous tick, negative if the machine was seen
		// after that tick. wantSeenAgo is the expected time from LastSeen to this tick.
		seenAgo, wantSeenAgo time.Duration
		// want is whether a long pause is expected.
		want      bool
		wantPause bool
	}{
		{"in time", pauseThreshold - 1, 3 * time.Second, 3*time.Second + pauseThreshold - 1, false, false},
		{"short pause", pauseThreshold, 3 * time.Second, 3 * time.Second, false, true},
		{"short pause, seen during the pause", time.Second, -700 * time.Millisecond, 0, false, true},
		{"longest short pause", longPauseThreshold - 1, 3 * time.Second, 3 * time.Second, false, true},
		{"long pause", longPauseThreshold, 3 * time.Second, 0, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newDetector(t)
			m := machineSeen(c.seenAgo)
			tick := now.Add(c.gap)
			if got := d.DetectPause(map[string]*cluster.Machine{m.Name: m}, tick); got != c.want {
				t.Errorf("long pause %t, want %t", got, c.want)
			}
			if got := tick.Sub(m.LastSeen); got != c.wantSeenAgo {
				t.Errorf("seen %v ago, want %v", got, c.wantSeenAgo)
			}
			if got := !d.RanContinuouslySince(now, tick); got != c.wantPause {
				t.Errorf("paused %t, want %t", got, c.wantPause)
			}
			if !d.RanContinuouslySince(tick, tick) {
				t.Error("a pause counts against requests sent at the tick that detected it")
			}
			if got := d.heartbeatsSince.Equal(tick); got != c.want {
				t.Errorf("start of heartbeats moved to this tick: %t, want %t", got, c.want)
			}
		})
	}
}

func TestFirstTickIsNoPause(t *testing.T) {
	d := New(Settings{Workers: workers})
	m := machineSeen(time.Minute)
	if d.DetectPause(map[string]*cluster.Machine{m.Name: m}, now) {
		t.Error("long pause at the first tick")
	}
	if got := now.Sub(m.LastSeen); got != time.Minute {
		t.Errorf("seen %v ago, want 1m0s", got)
	}
	if !d.RanContinuouslySince(now.Add(-time.Hour), now) {
		t.Error("pause at the first tick")
	}
}

func TestRanContinuouslySince(t *testing.T) {
	const pausedAgo = 5 * time.Second
	for _, c := range []struct {
		name          string
		sentAgo, late time.Duration
		want          bool
	}{
		{"sent after the pause was detected", pausedAgo - 1, 0, true},
		{"sent when the pause was detected", pausedAgo, 0, true},
		{"sent before the pause was detected", pausedAgo + 1, 0, false},
		{"next tick not overdue", 0, pauseThreshold - 1, true},
		{"next tick overdue", 0, pauseThreshold, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newDetector(t)
			d.lastPause = now.Add(-pausedAgo)
			if got := d.RanContinuouslySince(now.Add(-c.sentAgo), now.Add(c.late)); got != c.want {
				t.Errorf("got %t, want %t", got, c.want)
			}
		})
	}
}

// Right after a long pause of this process, machines that were not seen during the pause are not
// suspect. A dead machine is probed at the latest 4 seconds after the process resumes.
func TestPauseDelaysSuspicion(t *testing.T) {
	d := newDetector(t)
	m := machineSeen(0)
	machines := map[string]*cluster.Machine{m.Name: m}
	tick := now.Add(time.Minute)
	d.DetectPause(machines, tick)
	if v := d.Check(m, ZoneCount{}, tick); v != (CheckResult{}) {
		t.Errorf("after a long pause: got %+v, want no action", v)
	}
	for range 40 {
		tick = tick.Add(100 * time.Millisecond)
		d.DetectPause(machines, tick)
	}
	if v := d.Check(m, ZoneCount{}, tick); v.Request.Kind != Probe {
		t.Errorf("4 seconds later: got %+v, want a probe", v)
	}
}
