package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"
)

// frame is a machine type as the cloud publishes it.
type frame struct {
	Label      string
	Cores      float64
	Cards      float64
	MemoryGb   float64
	LocalGb    float64
	PullGbPerS float64
	Hourly     float64
	LowPrice   float64
	StartupS   float64
	Beds       []string
}

// pool is a kind of machine with a capacity of its own.
type pool struct {
	frame, bed string
	spot       bool
}

// cloud rents machines.
type cloud struct {
	w      *world
	frames []frame

	mu       sync.Mutex
	free     map[pool]int
	last     int
	machines []*machine
	hires    map[string][]string
}

// machine is a rented machine, with the worker that runs on it.
type machine struct {
	name   string
	pool   pool
	rented time.Time
	upAt   time.Time
	goneAt time.Time
	agent  *agent
}

func newCloud(w *world, frames []frame, free map[pool]int) *cloud {
	return &cloud{w: w, frames: frames, free: free, hires: map[string][]string{}}
}

func (c *cloud) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /flavors", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, http.StatusOK, map[string]any{"Frames": c.frames})
	})
	mux.HandleFunc("GET /machines", c.list)
	mux.HandleFunc("POST /machines", c.rent)
	mux.HandleFunc("POST /machines/return", c.giveBack)
	return mux
}

func (c *cloud) frame(label string) frame {
	for _, f := range c.frames {
		if f.Label == label {
			return f
		}
	}
	return frame{}
}

// add adds a machine that is up after a boot time. The caller holds the lock.
func (c *cloud) add(p pool, boot time.Duration) *machine {
	c.last++
	c.free[p]--
	now := time.Now()
	m := &machine{name: fmt.Sprintf("i-%06d", c.last), pool: p, rented: now, upAt: now.Add(boot)}
	m.agent = newAgent(c.w, m.name, c.frame(p.frame), p)
	c.machines = append(c.machines, m)
	go func() {
		time.Sleep(boot)
		c.mu.Lock()
		gone := !m.goneAt.IsZero()
		c.mu.Unlock()
		if !gone {
			m.agent.start()
		}
	}()
	return m
}

// addRunning adds a machine that is up at the start.
func (c *cloud) addRunning(p pool) *machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.add(p, 0)
	m.rented = m.rented.Add(-time.Minute)
	m.upAt = m.rented.Add(30 * time.Second)
	c.w.rec.add("cloud: %s (%s, %s, spot %v) is up at the start", m.name, p.frame, p.bed, p.spot)
	return m
}

func (c *cloud) rent(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Hire, Frame, Bed string
		Windfall         bool
		Count            int
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil || request.Count < 1 || request.Count > 50 {
		answer(w, http.StatusBadRequest, map[string]any{"error": "malformed"})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if names := c.hires[request.Hire]; len(names) > 0 {
		answer(w, http.StatusOK, map[string]any{"Hosts": names})
		return
	}
	p := pool{request.Frame, request.Bed, request.Windfall}
	var names []string
	for len(names) < request.Count && c.free[p] > 0 {
		boot := time.Duration(c.frame(p.frame).StartupS * float64(time.Second))
		names = append(names, c.add(p, boot).name)
	}
	c.w.rec.add("cloud: asked for %d of %s in %s, spot %v (%s): rented %v",
		request.Count, p.frame, p.bed, p.spot, request.Hire, names)
	if len(names) == 0 {
		answer(w, http.StatusServiceUnavailable, map[string]any{"error": "no capacity"})
		return
	}
	c.hires[request.Hire] = names
	answer(w, http.StatusOK, map[string]any{"Hosts": names})
}

func (c *cloud) giveBack(w http.ResponseWriter, r *http.Request) {
	var request struct{ Hosts []string }
	if json.NewDecoder(r.Body).Decode(&request) != nil || len(request.Hosts) > 100 {
		answer(w, http.StatusBadRequest, map[string]any{"error": "malformed"})
		return
	}
	c.w.rec.add("cloud: asked to delete %v", request.Hosts)
	for _, name := range request.Hosts {
		if m := c.find(name); m != nil {
			c.end(m)
		}
	}
	answer(w, http.StatusOK, map[string]any{})
}

// find returns a machine by its name, or nil.
func (c *cloud) find(name string) *machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.name == name {
			return m
		}
	}
	return nil
}

// end ends a machine and all that is on it, as a deletion or as the cloud's taking it back.
func (c *cloud) end(m *machine) {
	c.mu.Lock()
	if m.goneAt.IsZero() {
		m.goneAt = time.Now()
		c.free[m.pool]++
	}
	c.mu.Unlock()
	m.agent.end()
}

// newest returns the machine of a pool that was rented last and is not gone, or nil.
func (c *cloud) newest(p pool) *machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(c.machines) - 1; i >= 0; i-- {
		if m := c.machines[i]; m.pool == p && m.goneAt.IsZero() {
			return m
		}
	}
	return nil
}

// list lists the machines as they were list_lag_s ago.
func (c *cloud) list(w http.ResponseWriter, r *http.Request) {
	at := time.Now().Add(-time.Duration(c.w.site.listLagS * float64(time.Second)))
	from := r.URL.Query().Get("From")
	c.mu.Lock()
	defer c.mu.Unlock()
	hosts := []map[string]any{}
	for _, m := range c.machines {
		if m.name <= from || m.rented.After(at) || (!m.goneAt.IsZero() && m.goneAt.Before(at)) {
			continue
		}
		phase := "starting"
		if m.upAt.Before(at) {
			phase = "running"
		}
		hosts = append(hosts, map[string]any{
			"NameId": m.name, "Addr": m.agent.addr, "Frame": m.pool.frame, "Bed": m.pool.bed,
			"Windfall": m.pool.spot, "Phase": phase, "AgeS": at.Sub(m.rented).Seconds(),
		})
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i]["NameId"].(string) < hosts[j]["NameId"].(string) })
	answer(w, http.StatusOK, map[string]any{"Hosts": hosts, "Truncated": false})
}
