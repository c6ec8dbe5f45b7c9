package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Times of the cloud.
const (
	cloudLatency = 80 * time.Millisecond
	listLag      = 8 * time.Second
)

// cloud is a stand-in of the cloud, as PROTOCOL describes it. It has capacity for a number of machines of
// each kind, beside those that are up at the start.
type cloud struct {
	world *world

	mu       sync.Mutex
	workers  []*worker
	gone     map[string]time.Time
	capacity int
	// hired holds the machines of each rental request, by its name.
	hired map[string][]string
}

// handlerFor returns the handler of the requests of one node.
func (c *cloud) handlerFor(node string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /flavors", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, http.StatusOK, map[string]any{"Frames": []flavor{c.world.flavor}})
	})
	mux.HandleFunc("GET /machines", c.list)
	mux.HandleFunc("POST /machines", func(w http.ResponseWriter, r *http.Request) { c.rent(w, r, node) })
	mux.HandleFunc("POST /machines/return", func(w http.ResponseWriter, r *http.Request) { c.giveBack(w, r, node) })
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(cloudLatency)
		mux.ServeHTTP(w, r)
	})
}

// flavor is a machine type.
type flavor struct {
	Label      string   `json:"Label"`
	Cores      float64  `json:"Cores"`
	Cards      float64  `json:"Cards"`
	MemoryGB   float64  `json:"MemoryGb"`
	LocalGB    float64  `json:"LocalGb"`
	PullGBPerS float64  `json:"PullGbPerS"`
	Hourly     float64  `json:"Hourly"`
	LowPrice   float64  `json:"LowPrice"`
	StartupS   float64  `json:"StartupS"`
	Beds       []string `json:"Beds"`
}

// deadListedFor is how long a machine that died still appears as running.
const deadListedFor = 30 * time.Second

// list answers with the machines as they were some seconds ago.
func (c *cloud) list(w http.ResponseWriter, r *http.Request) {
	from, at := r.URL.Query().Get("From"), time.Now().Add(-listLag)
	hosts := []map[string]any{}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.workers {
		goneAt, gone := c.gone[m.name]
		if m.name <= from || m.rented.After(at) || gone && goneAt.Before(at) {
			continue
		}
		phase := "running"
		if m.since.After(at) {
			phase = "starting"
		} else if died := m.diedAt(); !died.IsZero() && at.Sub(died) > deadListedFor {
			phase = "failed"
		}
		hosts = append(hosts, map[string]any{
			"NameId": m.name, "Addr": m.addr, "Frame": c.world.flavor.Label, "Bed": m.bed, "Windfall": m.windfall,
			"Phase": phase, "AgeS": at.Sub(m.rented).Seconds(),
		})
	}
	answer(w, http.StatusOK, map[string]any{"Hosts": hosts, "Truncated": false})
}

// rent rents machines, as many as there is capacity for.
func (c *cloud) rent(w http.ResponseWriter, r *http.Request, node string) {
	var body struct {
		Hire, Frame, Bed string
		Windfall         bool
		Count            int
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || body.Frame != c.world.flavor.Label || body.Count > 50 {
		answer(w, http.StatusBadRequest, map[string]string{"error": "malformed"})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	names, repeated := c.hired[body.Hire]
	for i := 0; !repeated && i < body.Count && c.capacity > 0; i++ {
		c.capacity--
		m := c.newWorker(body.Windfall)
		names = append(names, m.name)
		boot := seconds(c.world.flavor.StartupS * (0.6 + 0.9*rand.Float64()))
		m.since = time.Now().Add(boot)
		time.AfterFunc(boot, func() { c.boot(m) })
	}
	c.world.record("cloud: %s rents %d machines of %s, Windfall %v: %v", node, body.Count, body.Frame, body.Windfall,
		names)
	if len(names) == 0 {
		answer(w, http.StatusServiceUnavailable, map[string]string{"error": "no capacity"})
		return
	}
	c.hired[body.Hire] = names
	answer(w, http.StatusOK, map[string]any{"Hosts": names})
}

// rentals returns how many rental requests have got machines.
func (c *cloud) rentals() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.hired)
}

// boot starts the worker of a machine, unless it is gone.
func (c *cloud) boot(m *worker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, gone := c.gone[m.name]; gone {
		return
	}
	if err := m.start(); err != nil {
		c.world.record("%s: %v", m.name, err)
	}
}

// giveBack deletes machines. They are gone when the answer is sent.
func (c *cloud) giveBack(w http.ResponseWriter, r *http.Request, node string) {
	var body struct {
		Hosts []string `json:"Hosts"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		answer(w, http.StatusBadRequest, map[string]string{"error": "malformed"})
		return
	}
	c.world.record("cloud: %s returns %v", node, body.Hosts)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, name := range body.Hosts {
		for _, m := range c.workers {
			if _, gone := c.gone[name]; m.name == name && !gone {
				c.gone[name] = time.Now()
				m.end()
			}
		}
	}
	answer(w, http.StatusOK, map[string]any{})
}

// answered returns how many machines have got an answer to a report.
func (c *cloud) answered() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, m := range c.workers {
		if m.token() > 0 {
			count++
		}
	}
	return count
}

// newWorker returns a new machine that is not up yet. The caller holds the lock.
func (c *cloud) newWorker(windfall bool) *worker {
	beds := c.world.settings.Zones
	m := &worker{
		world:    c.world,
		name:     fmt.Sprintf("i-%06d", len(c.workers)+1),
		bed:      beds[len(c.workers)%len(beds)],
		windfall: windfall,
		rented:   time.Now(),
		since:    time.Now(),
		season:   1,
		wake:     make(chan struct{}, 1),
		done:     make(chan struct{}),
		running:  map[string]*task{},
	}
	c.workers = append(c.workers, m)
	return m
}

// addWorkers adds machines that are up at once.
func (c *cloud) addWorkers(count int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for range count {
		if err := c.newWorker(false).start(); err != nil {
			return err
		}
	}
	return nil
}

// workerNamed returns a machine.
func (c *cloud) workerNamed(name string) *worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.workers {
		if m.name == name {
			return m
		}
	}
	return nil
}

// end ends all machines.
func (c *cloud) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.workers {
		if _, gone := c.gone[m.name]; !gone {
			c.gone[m.name] = time.Now()
			m.end()
		}
	}
}
