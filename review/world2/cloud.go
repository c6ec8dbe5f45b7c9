package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Times of the cloud.
const (
	cloudLatency = 80 * time.Millisecond
	listLag      = 8 * time.Second
)

// cloud is a stand-in of the cloud, as PROTOCOL describes it. It has the machines that are up at the
// start, and no capacity for others.
type cloud struct {
	world *world

	mu      sync.Mutex
	workers []*worker
	gone    map[string]time.Time
}

// handlerFor returns the handler of the requests of one node.
func (c *cloud) handlerFor(node string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /flavors", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, http.StatusOK, map[string]any{"Frames": []flavor{c.world.flavor}})
	})
	mux.HandleFunc("GET /machines", c.list)
	mux.HandleFunc("POST /machines", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, http.StatusServiceUnavailable, map[string]string{"error": "no capacity"})
	})
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

// list answers with the machines as they were some seconds ago.
func (c *cloud) list(w http.ResponseWriter, r *http.Request) {
	from, at := r.URL.Query().Get("From"), time.Now().Add(-listLag)
	hosts := []map[string]any{}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.workers {
		goneAt, gone := c.gone[m.name]
		if m.name <= from || gone && goneAt.Before(at) {
			continue
		}
		hosts = append(hosts, map[string]any{
			"NameId": m.name, "Addr": m.addr, "Frame": c.world.flavor.Label, "Bed": m.bed, "Windfall": false,
			"Phase": "running", "AgeS": time.Since(m.since).Seconds() + c.world.flavor.StartupS,
		})
	}
	answer(w, http.StatusOK, map[string]any{"Hosts": hosts, "Truncated": false})
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

// addWorkers starts machines.
func (c *cloud) addWorkers(count int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for range count {
		beds := c.world.settings.Zones
		m := &worker{
			world:   c.world,
			name:    fmt.Sprintf("i-%06d", len(c.workers)+1),
			bed:     beds[len(c.workers)%len(beds)],
			since:   time.Now(),
			season:  1,
			leased:  time.Now(),
			wake:    make(chan struct{}, 1),
			done:    make(chan struct{}),
			running: map[string]*task{},
		}
		if err := m.start(); err != nil {
			return err
		}
		c.workers = append(c.workers, m)
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
