package controller

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cloud"
)

// fakeCloud is a cloud API with scripted responses. It records launch and termination requests and lists
// the launched machines as booting, but runs none.
type fakeCloud struct {
	mu              sync.Mutex
	types           []api.MachineType
	launches        []cloud.LaunchRequest
	terminatedNames []string
	// machines are listed in addition to the launched machines.
	machines []cloud.Machine
	// booting are the launched machines; listLag is the lag of the list.
	booting []bootingMachine
	listLag time.Duration
	// capacity is the maximum number of machines for each launch request; 0 makes all of them fail
	// with cloud.ErrNoCapacity.
	capacity int
	// loseLaunchResponse makes the next launch return an error after it has taken effect.
	loseLaunchResponse bool
	// rejectTerminate makes every termination request fail.
	rejectTerminate bool
	// launched maps the names of launch requests to the machines launched for them.
	launched map[string][]string
}

// bootingMachine is a machine that fakeCloud has launched. endedAt is when it was terminated or taken
// back, zero until then.
type bootingMachine struct {
	cloud.Machine
	launchedAt, endedAt time.Time
}

func (f *fakeCloud) Types(context.Context) ([]api.MachineType, error) { return f.types, nil }

func (f *fakeCloud) Launch(_ context.Context, request cloud.LaunchRequest) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.launches = append(f.launches, request)
	if f.capacity == 0 {
		return nil, cloud.ErrNoCapacity
	}
	if f.launched[request.Name] == nil {
		for range min(request.Count, f.capacity) {
			machine := fmt.Sprintf("i-9%05d", len(f.launched)*100+len(f.launched[request.Name]))
			f.launched[request.Name] = append(f.launched[request.Name], machine)
			listed := cloud.Machine{
				Name:  machine,
				Addr:  machine,
				Type:  request.Type,
				Zone:  request.Zone,
				Spot:  request.Spot,
				Phase: "starting",
			}
			f.booting = append(f.booting, bootingMachine{Machine: listed, launchedAt: time.Now()})
		}
	}
	if f.loseLaunchResponse {
		f.loseLaunchResponse = false
		return nil, fmt.Errorf("launch %s: response lost", request.Name)
	}
	return f.launched[request.Name], nil
}

func (f *fakeCloud) Terminate(_ context.Context, names []string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rejectTerminate {
		return fmt.Errorf("terminate %v: rejected", names)
	}
	f.terminatedNames = append(f.terminatedNames, names...)
	f.endLocked(names)
	return nil
}

// setRejectTerminate sets whether every termination request fails.
func (f *fakeCloud) setRejectTerminate(reject bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rejectTerminate = reject
}

// takeBack takes machines back without a notice.
func (f *fakeCloud) takeBack(names ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endLocked(names)
}

// endLocked ends launched machines. The caller holds the lock.
func (f *fakeCloud) endLocked(names []string) {
	for i := range f.booting {
		if slices.Contains(names, f.booting[i].Name) && f.booting[i].endedAt.IsZero() {
			f.booting[i].endedAt = time.Now()
		}
	}
}

func (f *fakeCloud) List(context.Context) ([]cloud.Machine, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := slices.Clone(f.machines)
	at := time.Now().Add(-f.listLag)
	for _, m := range f.booting {
		if m.launchedAt.After(at) || !m.endedAt.IsZero() && !m.endedAt.After(at) {
			continue
		}
		m.AgeS = at.Sub(m.launchedAt).Seconds()
		list = append(list, m.Machine)
	}
	return list, nil
}

// launchedNames returns the names of the launched machines, in the order of their launch.
func (f *fakeCloud) launchedNames() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	names := make([]string, 0, len(f.booting))
	for _, m := range f.booting {
		names = append(names, m.Name)
	}
	return names
}

// terminated reports whether the termination of a machine was requested and accepted.
func (f *fakeCloud) terminated(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Contains(f.terminatedNames, name)
}
