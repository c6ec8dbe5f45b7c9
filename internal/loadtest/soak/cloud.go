package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"example.org/ivytrestle/internal/api"
	cloudapi "example.org/ivytrestle/internal/cloud"
)

// cloud simulates the cloud by the published protocol. Its list lags.
type cloud struct {
	site  *site
	types []api.MachineType
	// maxMachines is how many machines there may be at a time.
	maxMachines int

	mu       sync.Mutex
	machines []*rentedMachine
	created  int
	// launched holds the machines of each launch request, by its name.
	launched map[string][]string
}

// rentedMachine is a machine of the cloud.
type rentedMachine struct {
	spec      *machineSpec
	createdAt time.Time
	// worker is nil until the machine is up.
	worker *worker
	// goneAt is when the machine was deleted, or zero, and lostAt when it failed on its own.
	goneAt, lostAt time.Time
}

const (
	machineStarting = "starting"
	machineRunning  = "running"
	// listLag is by how much the list of machines lags behind.
	listLag = time.Second
	// lostListedFor is how long a machine that has failed is still listed as running.
	lostListedFor = 5 * time.Second
	maxListed     = 500
)

// rent creates a machine that is up after a boot time, or at once if that is zero.
func (c *cloud) rent(typ api.MachineType, zone string, spot bool, boot time.Duration) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.created++
	m := &rentedMachine{
		spec: &machineSpec{
			name:        fmt.Sprintf("i-%06d", c.created),
			machineType: typ.Name,
			zone:        zone,
			spot:        spot,
		},
		createdAt: time.Now(),
	}
	c.machines = append(c.machines, m)
	go func() {
		if !c.site.sleep(boot) {
			return
		}
		w, err := newWorker(c.site, m.spec, typ)
		if err != nil {
			panic(err) // no port is free
		}
		c.mu.Lock()
		m.worker = w
		gone := !m.goneAt.IsZero()
		c.mu.Unlock()
		if gone {
			w.terminate()
		}
	}()
	return m.spec.name
}

// workers returns the machines that are up.
func (c *cloud) workers() []*worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var up []*worker
	for _, m := range c.machines {
		if m.worker != nil && m.goneAt.IsZero() && m.worker.isUp() {
			up = append(up, m.worker)
		}
	}
	return up
}

// lose makes a machine fail for good.
func (c *cloud) lose(w *worker) {
	w.setFault(workerLost)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.worker == w {
			m.lostAt = time.Now()
		}
	}
}

// close ends all machines.
func (c *cloud) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.goneAt.IsZero() {
			m.goneAt = time.Now()
		}
		if m.worker != nil {
			m.worker.terminate()
		}
	}
}

func (c *cloud) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /flavors", func(w http.ResponseWriter, _ *http.Request) {
		respondJSON(w, map[string]any{"Frames": c.types})
	})
	mux.HandleFunc("GET /machines", c.list)
	mux.HandleFunc("POST /machines", c.launch)
	mux.HandleFunc("POST /machines/return", c.terminate)
	return mux
}

func (c *cloud) launch(w http.ResponseWriter, r *http.Request) {
	var request cloudapi.LaunchRequest
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		respondError(w, http.StatusBadRequest)
		return
	}
	typ := slices.IndexFunc(c.types, func(t api.MachineType) bool { return t.Name == request.Type })
	if typ < 0 || !slices.Contains(c.types[typ].Zones, request.Zone) {
		respondError(w, http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	names, repeated := c.launched[request.Name]
	room := c.maxMachines
	for _, m := range c.machines {
		if m.goneAt.IsZero() {
			room--
		}
	}
	c.mu.Unlock()
	if !repeated {
		boot := time.Duration(c.types[typ].BootS * (0.5 + c.site.random.float64()) * float64(time.Second))
		for range min(request.Count, room) {
			names = append(names, c.rent(c.types[typ], request.Zone, request.Spot, boot))
		}
	}
	if len(names) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		respondJSON(w, map[string]string{"error": "no capacity"})
		return
	}
	c.mu.Lock()
	c.launched[request.Name] = names
	c.mu.Unlock()
	respondJSON(w, map[string]any{"Hosts": names})
}

// terminate deletes machines. They are gone when the response is sent.
func (c *cloud) terminate(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Machines []string `json:"Hosts"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		respondError(w, http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if !m.goneAt.IsZero() || !slices.Contains(request.Machines, m.spec.name) {
			continue
		}
		m.goneAt = time.Now()
		if m.worker != nil {
			m.worker.terminate()
		}
	}
	respondJSON(w, map[string]any{})
}

// list responds with the machines as they were listLag ago.
func (c *cloud) list(w http.ResponseWriter, r *http.Request) {
	from, at := r.URL.Query().Get("From"), time.Now().Add(-listLag)
	most, err := strconv.Atoi(r.URL.Query().Get("Most"))
	if err != nil {
		most = maxListed
	}
	hosts := []cloudapi.Machine{}
	c.mu.Lock()
	for _, m := range c.machines {
		gone := !m.goneAt.IsZero() && m.goneAt.Before(at)
		if m.spec.name > from && m.createdAt.Before(at) && !gone {
			hosts = append(hosts, m.listed(at))
		}
	}
	c.mu.Unlock()
	slices.SortFunc(hosts, func(a, b cloudapi.Machine) int { return cmp.Compare(a.Name, b.Name) })
	truncated := len(hosts) > min(most, maxListed)
	if truncated {
		hosts = hosts[:min(most, maxListed)]
	}
	respondJSON(w, map[string]any{"Hosts": hosts, "Truncated": truncated})
}

// listed returns the entry of the machine in a list of its state at a time. The caller holds the lock.
func (m *rentedMachine) listed(at time.Time) cloudapi.Machine {
	entry := cloudapi.Machine{
		Name:  m.spec.name,
		Type:  m.spec.machineType,
		Zone:  m.spec.zone,
		Spot:  m.spec.spot,
		Phase: machineStarting,
		AgeS:  at.Sub(m.createdAt).Seconds(),
	}
	if m.worker != nil {
		entry.Addr, entry.Phase = m.worker.heartbeat.Addr, machineRunning
	}
	if !m.lostAt.IsZero() && at.Sub(m.lostAt) > lostListedFor {
		entry.Phase = cloudapi.PhaseFailed
	}
	return entry
}

func respondJSON(w http.ResponseWriter, body any) {
	_ = json.NewEncoder(w).Encode(body) // fails only if the controller has closed the connection
}
