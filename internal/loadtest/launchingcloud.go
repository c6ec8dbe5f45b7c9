package loadtest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/kv/kvtest"
)

// launchingCloud simulates a cloud that launches machines of a single type.
type launchingCloud struct {
	env         *Environment
	machineType api.MachineType
	maxMachines int

	mu               sync.Mutex
	machines         map[string]launchedMachine
	machinesLaunched int
	// machinesByRequest maps the name of a launch request to the names of its machines, so that a
	// retried request gets the same response.
	machinesByRequest map[string][]string
}

// Phases of a machine in the cloud's machine list.
const (
	phaseStarting = "starting"
	phaseRunning  = "running"
)

// launchedMachine is a simulated machine with the properties that the cloud lists.
type launchedMachine struct {
	*machine
	spot       bool
	launchedAt time.Time
}

// NewLaunching starts, on the loopback interface, the key-value store and a cloud that runs up to
// maxMachines machines of a type. The machines send their heartbeats to the plan's controller.
func NewLaunching(machineType api.MachineType, maxMachines int, plan Plan) (*Environment, error) {
	env := &Environment{plan: plan}
	var err error
	if env.KVAddr, err = serve(KVHandler(kvtest.New())); err != nil {
		return nil, err
	}
	cloud := &launchingCloud{
		env:               env,
		machineType:       machineType,
		maxMachines:       maxMachines,
		machines:          map[string]launchedMachine{},
		machinesByRequest: map[string][]string{},
	}
	env.CloudAddr, err = serve(cloud.handler())
	return env, err
}

func (c *launchingCloud) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /flavors", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, map[string]any{"Frames": []api.MachineType{c.machineType}})
	})
	mux.HandleFunc("GET /machines", c.list)
	mux.HandleFunc("POST /machines", c.launch)
	mux.HandleFunc("POST /machines/return", c.terminate)
	return mux
}

func (c *launchingCloud) launch(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Name  string `json:"Hire"`
		Zone  string `json:"Bed"`
		Spot  bool   `json:"Windfall"`
		Count int    `json:"Count"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	names, repeated := c.machinesByRequest[request.Name]
	if !repeated {
		for range min(request.Count, c.maxMachines-len(c.machines)) {
			names = append(names, c.launchMachine(request.Zone, request.Spot))
		}
	}
	if len(names) == 0 {
		writeJSON(w, http.StatusServiceUnavailable, map[string]string{"error": "no capacity"})
		return
	}
	c.machinesByRequest[request.Name] = names
	writeJSON(w, http.StatusOK, map[string]any{"Hosts": names})
}

// launchMachine launches a machine, which sends its first heartbeat after its boot time, and returns
// its name.
func (c *launchingCloud) launchMachine(zone string, spot bool) string {
	c.machinesLaunched++
	name := fmt.Sprintf("i-%06d", c.machinesLaunched)
	m := newMachine(c.env, name, c.machineType.Name, zone)
	m.heartbeat.Spot = spot
	c.machines[name] = launchedMachine{machine: m, spot: spot, launchedAt: time.Now()}
	go func() {
		time.Sleep(time.Duration(c.machineType.BootS * float64(time.Second)))
		addr, err := serve(m)
		if err != nil {
			c.env.counts.failed.Add(1)
			return
		}
		m.mu.Lock()
		m.heartbeat.Addr = addr
		m.mu.Unlock()
		m.run()
	}()
	return name
}

func (c *launchingCloud) terminate(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Machines []string `json:"Hosts"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range request.Machines {
		if m, ok := c.machines[name]; ok {
			m.terminated.Store(true)
			delete(c.machines, name)
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{})
}

// listedMachine is an entry of the cloud's machine list.
type listedMachine struct {
	Name  string  `json:"NameId"`
	Addr  string  `json:"Addr"`
	Type  string  `json:"Frame"`
	Zone  string  `json:"Bed"`
	Spot  bool    `json:"Windfall"`
	Phase string  `json:"Phase"`
	AgeS  float64 `json:"AgeS"`
}

// list returns all machines after the requested name in one page and ignores the requested limit.
func (c *launchingCloud) list(w http.ResponseWriter, r *http.Request) {
	from := r.URL.Query().Get("From")
	hosts := []listedMachine{}
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, m := range c.machines {
		if name <= from {
			continue
		}
		m.mu.Lock()
		host := listedMachine{
			Name: name, Addr: m.heartbeat.Addr, Type: c.machineType.Name, Zone: m.heartbeat.Zone, Spot: m.spot,
			Phase: phaseStarting, AgeS: time.Since(m.launchedAt).Seconds(),
		}
		m.mu.Unlock()
		if host.Addr != "" {
			host.Phase = phaseRunning
		}
		hosts = append(hosts, host)
	}
	slices.SortFunc(hosts, func(a, b listedMachine) int { return strings.Compare(a.Name, b.Name) })
	writeJSON(w, http.StatusOK, map[string]any{"Hosts": hosts, "Truncated": false})
}
