package failuredetector

import (
	"fmt"
	"testing"
	"time"

	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/config"
)

// now is the current time in all tests. newDetector returns a detector whose last tick was then.
var now = time.Unix(1_000_000, 0)

// workers are the settings of the worker agents in the tests. With these, a fenced machine is suspect
// if it was last seen more than 3.5 seconds ago, and an unfenced one after 1.5 seconds. A machine is
// confirmed dead after 14 seconds without a sign of life, or if it is still unfenced 14 seconds into
// the term. If its zone is likely partitioned, so that another node may renew its task lease, it is
// confirmed dead after 60 seconds without a sign of life.
var workers = config.Workers{HeartbeatS: 2, LeaseS: 10, CancelS: 60}

const (
	suspectAfter = 3500 * time.Millisecond
	deadAfter    = 14 * time.Second
)

func newDetector(tb testing.TB) *Detector {
	tb.Helper()
	d := New(Settings{Workers: workers, MaxDials: 3, CanProbe: true, CanResync: true})
	d.HeartbeatsStarted(now)
	d.DetectPause(nil, now)
	return d
}

// machineSeen returns a fenced machine that was last seen the given time ago.
func machineSeen(ago time.Duration) *cluster.Machine {
	seen := now.Add(-ago)
	return &cluster.Machine{
		Name:          "i-1",
		Addr:          "10.0.0.1:80",
		Zone:          "a",
		Fenced:        true,
		AgentEpoch:    3,
		HeartbeatSeq:  7,
		LastSeen:      seen,
		LastHeartbeat: seen,
	}
}

// instant is the shortest time by which a limit can be exceeded.
const instant = time.Nanosecond

var checkTests = []struct {
	name    string
	seenAgo time.Duration
	// change modifies a fenced machine that was last seen seenAgo before now.
	change func(m *cluster.Machine)
	zone   ZoneCount
	// termAge is how long the leader has received heartbeats.
	termAge         time.Duration
	wantRequest     RequestKind
	wantPartitioned bool
	wantReason      Reason
}{
	{name: "heartbeat in time", seenAgo: suspectAfter},
	{name: "missed heartbeat", seenAgo: suspectAfter + instant, wantRequest: Probe},
	{
		name:        "missed heartbeat, evacuating",
		seenAgo:     suspectAfter + instant,
		change:      func(m *cluster.Machine) { m.Advance(cluster.Evacuating) },
		wantRequest: Probe,
	},
	{
		name:    "missed heartbeat, terminating",
		seenAgo: time.Hour,
		change:  func(m *cluster.Machine) { m.Advance(cluster.Terminating) },
	},
	{
		name:    "missed heartbeat, terminated",
		seenAgo: time.Hour,
		change:  func(m *cluster.Machine) { m.Advance(cluster.Terminated) },
	},
	{
		name:        "one failed probe",
		seenAgo:     suspectAfter + instant,
		change:      func(m *cluster.Machine) { m.ProbeFails = 1 },
		wantRequest: Probe,
	},
	{
		name:        "two failed probes",
		seenAgo:     suspectAfter + instant,
		change:      func(m *cluster.Machine) { m.ProbeFails = 2 },
		wantRequest: Probe,
		wantReason:  "silent",
	},
	{
		name:    "two failed probes, seen again",
		seenAgo: suspectAfter,
		change:  func(m *cluster.Machine) { m.ProbeFails = 2 },
	},
	{
		name:        "probed a moment ago",
		seenAgo:     suspectAfter + instant,
		change:      func(m *cluster.Machine) { m.NextProbe = now.Add(instant) },
		wantRequest: NoRequest,
	},
	{
		name:        "next probe due",
		seenAgo:     suspectAfter + instant,
		change:      func(m *cluster.Machine) { m.NextProbe = now },
		wantRequest: Probe,
	},
	{
		name:        "second failed probe because the address is not known",
		seenAgo:     suspectAfter + instant,
		change:      func(m *cluster.Machine) { m.ProbeFails, m.Addr = 1, "" },
		wantRequest: NoRequest,
		wantReason:  "silent",
	},
	{name: "silent for the task lease", seenAgo: deadAfter, wantRequest: Probe},
	{name: "silent for longer", seenAgo: deadAfter + instant, wantRequest: Probe, wantReason: "silent"},
	{
		name:        "task lease renewed by another node",
		seenAgo:     time.Hour,
		change:      func(m *cluster.Machine) { m.ProbeFails, m.LeaseRenewedUntil = 2, now.Add(instant) },
		wantRequest: Probe,
	},
	{
		name:        "task lease no longer renewed",
		seenAgo:     suspectAfter + instant,
		change:      func(m *cluster.Machine) { m.ProbeFails, m.LeaseRenewedUntil = 2, now },
		wantRequest: Probe,
		wantReason:  "silent",
	},
	{
		name:            "most of the zone suspect",
		seenAgo:         60 * time.Second,
		change:          func(m *cluster.Machine) { m.ProbeFails = 2 },
		zone:            ZoneCount{all: 4, suspect: 3, fresh: 1},
		wantRequest:     Probe,
		wantPartitioned: true,
	},
	{
		name:            "most of the zone suspect for longer than any renewal",
		seenAgo:         60*time.Second + instant,
		zone:            ZoneCount{all: 4, suspect: 3, fresh: 1},
		wantRequest:     Probe,
		wantPartitioned: true,
		wantReason:      "silent",
	},
	{
		name:        "three fifths of the zone suspect",
		seenAgo:     suspectAfter + instant,
		change:      func(m *cluster.Machine) { m.ProbeFails = 2 },
		zone:        ZoneCount{all: 5, suspect: 3, fresh: 2},
		wantRequest: Probe,
		wantReason:  "silent",
	},
	{
		name:        "two suspect in a zone of two",
		seenAgo:     suspectAfter + instant,
		change:      func(m *cluster.Machine) { m.ProbeFails = 2 },
		zone:        ZoneCount{all: 2, suspect: 2},
		wantRequest: Probe,
		wantReason:  "silent",
	},
	{
		name:            "first machine of a zone to miss a heartbeat, few others fresh",
		seenAgo:         suspectAfter + instant,
		change:          func(m *cluster.Machine) { m.ProbeFails = 2 },
		zone:            ZoneCount{all: 10, suspect: 1, fresh: 1},
		wantRequest:     Probe,
		wantPartitioned: true,
	},
	{
		name:        "a fifth of the zone fresh",
		seenAgo:     suspectAfter + instant,
		change:      func(m *cluster.Machine) { m.ProbeFails = 2 },
		zone:        ZoneCount{all: 10, suspect: 1, fresh: 2},
		wantRequest: Probe,
		wantReason:  "silent",
	},
	{
		name:        "no machine fresh in a small zone",
		seenAgo:     suspectAfter + instant,
		change:      func(m *cluster.Machine) { m.ProbeFails = 2 },
		zone:        ZoneCount{all: 9, suspect: 1, fresh: 0},
		wantRequest: Probe,
		wantReason:  "silent",
	},
	{
		name:        "one unapplied response",
		change:      func(m *cluster.Machine) { m.UnappliedResponses = 1 },
		wantRequest: Probe,
	},
	{
		name:        "three unapplied responses",
		change:      func(m *cluster.Machine) { m.UnappliedResponses = 3 },
		wantRequest: Probe,
	},
	{
		name:        "four unapplied responses",
		change:      func(m *cluster.Machine) { m.UnappliedResponses = 4 },
		wantRequest: Probe,
		wantReason:  "deaf",
	},
	{
		name:        "unapplied response and failed probes",
		change:      func(m *cluster.Machine) { m.UnappliedResponses, m.ProbeFails = 1, 2 },
		wantRequest: Probe,
		wantReason:  "deaf",
	},
	{
		name:    "unfenced, within the grace",
		seenAgo: takeoverGrace,
		change:  func(m *cluster.Machine) { m.Fenced = false },
	},
	{
		name:        "unfenced, after the grace",
		seenAgo:     takeoverGrace + instant,
		change:      func(m *cluster.Machine) { m.Fenced = false },
		wantRequest: Resync,
	},
	{
		name:        "unfenced, no machine of its zone fresh",
		seenAgo:     takeoverGrace + instant,
		change:      func(m *cluster.Machine) { m.Fenced, m.ProbeFails = false, 2 },
		zone:        ZoneCount{all: 10, suspect: 1, fresh: 0},
		wantRequest: Resync,
		wantReason:  "silent",
	},
	{
		name:    "unfenced for the task lease, renewed by another node and partitioned",
		seenAgo: takeoverGrace + instant,
		change: func(m *cluster.Machine) {
			m.Fenced, m.LeaseRenewedUntil = false, now.Add(time.Minute)
		},
		zone:            ZoneCount{all: 4, suspect: 4},
		termAge:         deadAfter,
		wantRequest:     Resync,
		wantPartitioned: true,
	},
	{
		name:    "unfenced for longer, renewed by another node and partitioned",
		seenAgo: takeoverGrace + instant,
		change: func(m *cluster.Machine) {
			m.Fenced, m.LeaseRenewedUntil = false, now.Add(time.Minute)
		},
		zone:            ZoneCount{all: 4, suspect: 4},
		termAge:         deadAfter + instant,
		wantRequest:     Resync,
		wantPartitioned: true,
		wantReason:      "silent",
	},
}

func TestCheck(t *testing.T) {
	for _, c := range checkTests {
		t.Run(c.name, func(t *testing.T) {
			d := newDetector(t)
			d.HeartbeatsStarted(now.Add(-c.termAge))
			m := machineSeen(c.seenAgo)
			if c.change != nil {
				c.change(m)
			}
			got := d.Check(m, c.zone, now)
			if got.Request.Kind != c.wantRequest {
				t.Errorf("request kind %d, want %d", got.Request.Kind, c.wantRequest)
			}
			if got.Partitioned != c.wantPartitioned {
				t.Errorf("partitioned %t, want %t", got.Partitioned, c.wantPartitioned)
			}
			if got.EvacuationReason != c.wantReason {
				t.Errorf("evacuation reason %q, want %q", got.EvacuationReason, c.wantReason)
			}
		})
	}
}

func TestCountZones(t *testing.T) {
	machines := map[string]*cluster.Machine{}
	add := func(zone string, ago time.Duration) *cluster.Machine {
		m := machineSeen(ago)
		m.Zone = zone
		machines[fmt.Sprint(len(machines))] = m
		return m
	}
	add("a", 0)
	add("a", freshHeartbeatAge-1)
	add("a", freshHeartbeatAge)
	add("a", suspectAfter+1)
	add("a", 0).UnappliedResponses = 1
	add("a", 0).Advance(cluster.Terminating)
	add("b", 0).Advance(cluster.Terminated)
	add("c", time.Hour).LastSeen = now // answered a probe
	got := newDetector(t).CountZones(machines, now)
	want := map[string]ZoneCount{
		"a": {all: 5, suspect: 2, fresh: 3},
		"c": {all: 1},
	}
	if len(got) != len(want) {
		t.Errorf("%d zones, want %d", len(got), len(want))
	}
	for zone, count := range want {
		if got[zone] != count {
			t.Errorf("zone %s: got %+v, want %+v", zone, got[zone], count)
		}
	}
}
