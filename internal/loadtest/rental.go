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
	"example.org/ivytrestle/internal/store/storetest"
)

// rentalCloud is a cloud of one machine type that rents simulated machines.
type rentalCloud struct {
	environment *Environment
	typ         api.MachineType
	most        int

	mu       sync.Mutex
	machines map[string]rentedMachine
	created  int
	// rentals holds the answer to each request name, which is given again when
	// the request is repeated.
	rentals map[string][]string
}

// Phases of a machine in the cloud's list.
const (
	phaseStarting = "starting"
	phaseRunning  = "running"
)

type rentedMachine struct {
	*machine
	spot   bool
	rented time.Time
}

// NewRenting starts the state service and a cloud that rents up to most machines of
// a type on loopback. The machines report to the plan's controller.
func NewRenting(typ api.MachineType, most int, plan Plan) (*Environment, error) {
	w := &Environment{plan: plan}
	var err error
	if w.State, err = serve(stateHandler(storetest.New())); err != nil {
		return nil, err
	}
	cloud := &rentalCloud{environment: w, typ: typ, most: most, machines: map[string]rentedMachine{}, rentals: map[string][]string{}}
	w.Cloud, err = serve(cloud.handler())
	return w, err
}

func (c *rentalCloud) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /flavors", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, map[string]any{"Frames": []api.MachineType{c.typ}})
	})
	mux.HandleFunc("GET /machines", c.list)
	mux.HandleFunc("POST /machines", c.rent)
	mux.HandleFunc("POST /machines/return", c.giveBack)
	return mux
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body) // the connection's error is the client's to notice
}

func (c *rentalCloud) rent(w http.ResponseWriter, r *http.Request) {
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
	names, repeated := c.rentals[request.Name]
	if !repeated {
		for range min(request.Count, c.most-len(c.machines)) {
			names = append(names, c.boot(request.Zone, request.Spot))
		}
	}
	if len(names) == 0 {
		writeJSON(w, http.StatusServiceUnavailable, map[string]string{"error": "no capacity"})
		return
	}
	c.rentals[request.Name] = names
	writeJSON(w, http.StatusOK, map[string]any{"Hosts": names})
}

// boot starts a machine, which reports once its boot time is over.
func (c *rentalCloud) boot(zone string, spot bool) string {
	c.created++
	name := fmt.Sprintf("i-%06d", c.created)
	m := newMachine(c.environment, name, c.typ.Name, zone)
	m.rep.Spot = spot
	c.machines[name] = rentedMachine{machine: m, spot: spot, rented: time.Now()}
	go func() {
		time.Sleep(time.Duration(c.typ.BootS * float64(time.Second)))
		addr, err := serve(m)
		if err != nil {
			c.environment.counts.failed.Add(1)
			return
		}
		m.mu.Lock()
		m.rep.Addr = addr
		m.mu.Unlock()
		m.run()
	}()
	return name
}

func (c *rentalCloud) giveBack(w http.ResponseWriter, r *http.Request) {
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
			m.gone.Store(true)
			delete(c.machines, name)
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{})
}

// listedMachine is an entry of the cloud's list.
type listedMachine struct {
	Name  string  `json:"NameId"`
	Addr  string  `json:"Addr"`
	Type  string  `json:"Frame"`
	Zone  string  `json:"Bed"`
	Spot  bool    `json:"Windfall"`
	Phase string  `json:"Phase"`
	AgeS  float64 `json:"AgeS"`
}

// list answers with all machines in one part, whatever the caller asks for at most.
func (c *rentalCloud) list(w http.ResponseWriter, r *http.Request) {
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
			Name: name, Addr: m.rep.Addr, Type: c.typ.Name, Zone: m.rep.Zone, Spot: m.spot,
			Phase: phaseStarting, AgeS: time.Since(m.rented).Seconds(),
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
