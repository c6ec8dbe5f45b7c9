package autoscaler

import (
	"testing"
	"time"

	"example.org/ivytrestle/internal/cloud"
)

// Guards against machines that count as booting although the cloud took them back before their first
// heartbeat, and against machines that are given up because a list is too old to show them. The list
// lags behind by up to 8 s here.
func TestMachinesMissingInTheListHaveVanished(t *testing.T) {
	const launchedS = 100
	for _, c := range []struct {
		name       string
		requestedS int
		listed     bool
		want       []string
	}{
		{"list may be older than the launch", launchedS + 7, false, nil},
		{"list is newer than the launch", launchedS + 8, false, []string{"m"}},
		{"listed", launchedS + 60, true, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newTestFleet(t)
			at := func(second int) time.Time { return start.Add(time.Duration(second) * time.Second) }
			f.view.Provisioning["m"] = &ProvisioningMachine{Type: "s", Zone: "a", CPUs: 4, LaunchedBy: at(launchedS)}
			list := MachineList{RequestedAt: at(c.requestedS)}
			if c.listed {
				list.Machines = []cloud.Machine{{Name: "m"}}
			}
			checkStrings(t, "vanished", f.RemoveVanished(f.view.Provisioning, list, at(c.requestedS+1)), c.want)
			gone := c.want != nil
			if got := f.HasVanished("m"); got != gone {
				t.Errorf("HasVanished: got %t, want %t", got, gone)
			}
			if got := f.view.Provisioning["m"] == nil; got != gone {
				t.Errorf("removed: got %t, want %t", got, gone)
			}
		})
	}
}

// A list that may be older than the one that showed that a machine is gone must not bring it back. A list
// that is certainly newer shows that the machine exists.
func TestOlderListDoesNotRestoreVanishedMachines(t *testing.T) {
	f := newTestFleet(t)
	at := func(second int) time.Time { return start.Add(time.Duration(second) * time.Second) }
	f.view.Provisioning["m"] = &ProvisioningMachine{Type: "s", Zone: "a", CPUs: 4, LaunchedBy: at(0)}
	f.RemoveVanished(f.view.Provisioning, MachineList{RequestedAt: at(20)}, at(21))
	for _, c := range []struct {
		requestedS int
		want       bool
	}{{25, true}, {28, true}, {29, false}} {
		list := MachineList{RequestedAt: at(c.requestedS), Machines: []cloud.Machine{{Name: "m"}}}
		f.RemoveVanished(f.view.Provisioning, list, at(c.requestedS))
		if got := f.HasVanished("m"); got != c.want {
			t.Errorf("vanished for a list requested at %d s: got %t, want %t", c.requestedS, got, c.want)
		}
	}
}
