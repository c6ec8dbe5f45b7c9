package failuredetector

import (
	"errors"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
)

// suspectMachine returns a fenced machine that has missed a heartbeat.
func suspectMachine() *cluster.Machine { return machineSeen(suspectAfter + time.Second) }

func TestProbesInFlightAreBounded(t *testing.T) {
	d := newDetector(t)
	var sent []Request
	for range d.settings.MaxDials + 1 {
		if r := d.Check(suspectMachine(), ZoneCount{}, now).Request; r.Kind == Probe {
			sent = append(sent, r)
		}
	}
	if len(sent) != d.settings.MaxDials {
		t.Fatalf("%d probes in flight, want %d", len(sent), d.settings.MaxDials)
	}
	unfenced := suspectMachine()
	unfenced.Fenced = false
	if r := d.Check(unfenced, ZoneCount{}, now).Request; r.Kind != NoRequest {
		t.Errorf("request kind %d with all probes in flight, want none", r.Kind)
	}
	d.ProbeResult(sent[0], nil, errTimeout, true, now)
	if r := d.Check(suspectMachine(), ZoneCount{}, now).Request; r.Kind != Probe {
		t.Errorf("request kind %d after a probe has ended, want a probe", r.Kind)
	}
}

func TestResyncsInFlightAreBounded(t *testing.T) {
	d := newDetector(t)
	for range d.settings.MaxDials + 1 {
		m := suspectMachine()
		m.Fenced = false
		d.QueueResync(m)
	}
	var sent []Request
	for r := d.NextResync(now); r.Kind != NoRequest; r = d.NextResync(now) {
		sent = append(sent, r)
	}
	if len(sent) != d.settings.MaxDials {
		t.Fatalf("%d resyncs in flight, want %d", len(sent), d.settings.MaxDials)
	}
	unfenced := suspectMachine()
	unfenced.Fenced = false
	if r := d.Check(unfenced, ZoneCount{}, now).Request; r.Kind != NoRequest {
		t.Errorf("request kind %d with all resyncs in flight, want none", r.Kind)
	}
	if !unfenced.NextProbe.IsZero() {
		t.Error("a resync that was not sent delays the next one")
	}
	if r := d.Check(suspectMachine(), ZoneCount{}, now).Request; r.Kind != Probe {
		t.Errorf("request kind %d for a fenced machine with all resyncs in flight, want a probe", r.Kind)
	}
	d.ResyncResult(sent[0], nil, errTimeout, now)
	if r := d.NextResync(now); r.Kind != Resync {
		t.Errorf("request kind %d after a resync has ended, want a resync", r.Kind)
	}
}

func TestRequestsOfOneMachineAreSpaced(t *testing.T) {
	for _, c := range []struct {
		name   string
		fenced bool
		want   RequestKind
	}{
		{"probes", true, Probe},
		{"resyncs", false, Resync},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newDetector(t)
			m := suspectMachine()
			m.Fenced = c.fenced
			for _, step := range []struct {
				after time.Duration
				want  RequestKind
			}{
				{0, c.want}, {probeInterval - 1, NoRequest}, {probeInterval, c.want},
			} {
				if r := d.Check(m, ZoneCount{}, now.Add(step.after)).Request; r.Kind != step.want {
					t.Errorf("after %v: request kind %d, want %d", step.after, r.Kind, step.want)
				}
			}
		})
	}
}

func TestProbeThatCannotBeSentFails(t *testing.T) {
	for _, c := range []struct {
		name      string
		settings  Settings
		addr      string
		fenced    bool
		wantKind  RequestKind
		wantFails int
	}{
		{"no prober", Settings{CanResync: true}, "x", true, NoRequest, 1},
		{"no address", Settings{CanResync: true, CanProbe: true}, "", true, NoRequest, 1},
		{"no address, unfenced", Settings{CanResync: true, CanProbe: true}, "", false, NoRequest, 1},
		{"unfenced, probed without resyncs", Settings{CanProbe: true}, "x", false, Probe, 0},
		{"unfenced, neither probes nor resyncs", Settings{}, "x", false, NoRequest, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.settings.Workers, c.settings.MaxDials = workers, 1
			d := New(c.settings)
			m := suspectMachine()
			m.Addr, m.Fenced = c.addr, c.fenced
			got := d.nextRequest(m, now)
			if got.Kind != c.wantKind || m.ProbeFails != c.wantFails {
				t.Errorf("request kind %d, %d failed probes; want %d, %d",
					got.Kind, m.ProbeFails, c.wantKind, c.wantFails)
			}
			if want := now.Add(probeInterval); !m.NextProbe.Equal(want) {
				t.Errorf("next probe at %v, want %v", m.NextProbe, want)
			}
		})
	}
}

func TestNextResyncSkipsMachinesThatNeedNone(t *testing.T) {
	d := newDetector(t)
	for _, change := range []func(m *cluster.Machine){
		func(m *cluster.Machine) { m.Fenced = true },
		func(m *cluster.Machine) { m.Advance(cluster.Terminated) },
		func(m *cluster.Machine) { m.Advance(cluster.Terminating) },
		func(m *cluster.Machine) { m.Addr = "" },
	} {
		m := suspectMachine()
		m.Fenced = false
		change(m)
		d.QueueResync(m)
	}
	needed := suspectMachine()
	needed.Fenced = false
	d.QueueResync(needed)
	if r := d.NextResync(now); r.Kind != Resync || r.Machine != needed || !r.SentAt.Equal(now) {
		t.Errorf("got %+v, want a resync of the last machine", r)
	}
	if r := d.NextResync(now); r.Kind != NoRequest {
		t.Errorf("got %+v, want no further resync", r)
	}
}

var errTimeout = errors.New("timeout")

// heartbeatFrom returns a heartbeat of the named machine.
func heartbeatFrom(machine string, epoch, seq uint64) *api.Heartbeat {
	return &api.Heartbeat{Machine: machine, AgentEpoch: epoch, Seq: seq}
}

var probeResultTests = []struct {
	name      string
	heartbeat *api.Heartbeat
	err       error
	// meanwhile modifies the machine while the probe is in flight. Its argument now is the time at
	// which the result of the probe arrives.
	meanwhile   func(m *cluster.Machine, now time.Time)
	cannotApply bool
	late        time.Duration
	want        Result
	wantFails   int
	wantSeen    bool
}{
	{name: "no answer", err: errTimeout, want: Failed, wantFails: 2},
	{name: "answer of another machine", heartbeat: heartbeatFrom("i-2", 3, 8), want: Failed, wantFails: 2},
	{
		name:      "no answer, but a heartbeat meanwhile",
		err:       errTimeout,
		meanwhile: func(m *cluster.Machine, now time.Time) { m.LastSeen = now },
		want:      Failed,
		wantFails: 1,
		wantSeen:  true,
	},
	{
		name: "no answer, and unapplied responses meanwhile",
		err:  errTimeout,
		meanwhile: func(m *cluster.Machine, now time.Time) {
			m.LastSeen, m.UnappliedResponses = now, 1
		},
		want:      Failed,
		wantFails: 2,
		wantSeen:  true,
	},
	{name: "no answer, and a late tick", err: errTimeout, late: pauseThreshold, want: Failed, wantFails: 1},
	{
		name:      "terminated",
		err:       errTimeout,
		meanwhile: func(m *cluster.Machine, _ time.Time) { m.Advance(cluster.Terminated) },
		want:      Ignored,
		wantFails: 1,
	},
	{name: "alive", heartbeat: heartbeatFrom("i-1", 3, 7), want: Alive, wantSeen: true},
	{name: "alive, newer heartbeat", heartbeat: heartbeatFrom("i-1", 3, 9), want: Alive, wantSeen: true},
	{name: "older heartbeat", heartbeat: heartbeatFrom("i-1", 3, 6), want: Restarted, wantFails: 1},
	{name: "older agent epoch", heartbeat: heartbeatFrom("i-1", 2, 99), want: Restarted, wantFails: 1},
	{
		name:      "heartbeat older than one applied meanwhile",
		heartbeat: heartbeatFrom("i-1", 3, 7),
		meanwhile: func(m *cluster.Machine, _ time.Time) { m.HeartbeatSeq = 12 },
		want:      Alive,
		wantSeen:  true,
	},
	{name: "new agent epoch", heartbeat: heartbeatFrom("i-1", 4, 1), want: NewHeartbeat, wantFails: 1},
	{
		name:        "new agent epoch, lease not held",
		heartbeat:   heartbeatFrom("i-1", 4, 1),
		cannotApply: true,
		want:        Alive,
		wantSeen:    true,
	},
	{
		name:      "new agent epoch, unfenced",
		heartbeat: heartbeatFrom("i-1", 4, 1),
		meanwhile: func(m *cluster.Machine, _ time.Time) { m.Fenced = false },
		want:      Alive,
		wantSeen:  true,
	},
	{
		name:      "agent epoch of a heartbeat applied meanwhile",
		heartbeat: heartbeatFrom("i-1", 4, 1),
		meanwhile: func(m *cluster.Machine, _ time.Time) { m.AgentEpoch = 4 },
		want:      Alive,
		wantSeen:  true,
	},
}

func TestProbeResult(t *testing.T) {
	for _, c := range probeResultTests {
		t.Run(c.name, func(t *testing.T) {
			d := newDetector(t)
			m := suspectMachine()
			m.ProbeFails = 1
			request := d.Check(m, ZoneCount{}, now).Request
			if request.Kind != Probe {
				t.Fatalf("request kind %d, want a probe", request.Kind)
			}
			arrivedAt := now.Add(200*time.Millisecond + c.late)
			d.lastTick = arrivedAt.Add(-c.late)
			if c.meanwhile != nil {
				c.meanwhile(m, arrivedAt)
			}
			if got := d.ProbeResult(request, c.heartbeat, c.err, !c.cannotApply, arrivedAt); got != c.want {
				t.Errorf("result %d, want %d", got, c.want)
			}
			if m.ProbeFails != c.wantFails {
				t.Errorf("%d failed probes, want %d", m.ProbeFails, c.wantFails)
			}
			if seen := m.LastSeen.Equal(arrivedAt); seen != c.wantSeen {
				t.Errorf("seen %t, want %t", seen, c.wantSeen)
			}
			if d.probing != 0 {
				t.Errorf("%d probes in flight, want none", d.probing)
			}
		})
	}
}

func TestResyncResult(t *testing.T) {
	for _, c := range []struct {
		name      string
		heartbeat *api.Heartbeat
		err       error
		fenced    bool
		ended     bool
		late      time.Duration
		want      Result
		wantFails int
	}{
		{name: "no answer", err: errTimeout, want: Failed, wantFails: 1},
		{name: "no answer, fenced meanwhile", err: errTimeout, fenced: true, want: Failed},
		{name: "no answer, and a late tick", err: errTimeout, late: pauseThreshold, want: Failed},
		{name: "terminated", err: errTimeout, ended: true, want: Ignored},
		{name: "terminated, answered", heartbeat: heartbeatFrom("i-1", 3, 8), ended: true, want: Ignored},
		{name: "answer", heartbeat: heartbeatFrom("i-1", 3, 8), want: NewHeartbeat},
		{name: "answer of another machine", heartbeat: heartbeatFrom("i-2", 3, 8), want: Ignored},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newDetector(t)
			m := suspectMachine()
			m.Fenced = false
			request := d.BeginResync(m, now)
			m.Fenced = c.fenced
			if c.ended {
				m.Advance(cluster.Terminated)
			}
			if got := d.ResyncResult(request, c.heartbeat, c.err, now.Add(c.late)); got != c.want {
				t.Errorf("result %d, want %d", got, c.want)
			}
			if m.ProbeFails != c.wantFails {
				t.Errorf("%d failed probes, want %d", m.ProbeFails, c.wantFails)
			}
			if d.resyncing != 0 {
				t.Errorf("%d resyncs in flight, want none", d.resyncing)
			}
		})
	}
}
