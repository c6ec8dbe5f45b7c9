package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/BurntSushi/toml"
)

// world is a deployment: controllers, and the stand-ins of all that is around them.
type world struct {
	rec   *record
	site  *site
	state *stateService
	cloud *cloud
	nodes []*node
	users *http.Client
	dir   string
	ends  time.Time

	mu      sync.Mutex
	jobs    map[string]*job
	starts  []start
	problem string
}

// start is the start of a task, as a worker saw it.
type start struct {
	host, ref, from string
	sprout          uint64
	// asked is when the worker sent the report whose answer held the command, or got the command.
	asked, at time.Time
	ended     string
}

// node is a controller.
type node struct {
	name, zone, api, peer string
	settings              string
	process               *exec.Cmd
}

// site holds the settings of a deployment.
type site struct {
	zones           []string
	teams           []map[string]any
	objectives      []map[string]any
	reportS, leaseS float64
	cancelS         float64
	state           map[string]any
	cloudRPS        float64
	listLagS        float64
	limits          map[string]any
	clockOffMs      float64
	frames          []frame
	free            map[pool]int
	upAtTheStart    []pool
}

func (s *site) lease() time.Duration { return seconds(s.leaseS) }

// newWorld prepares a deployment of three controllers in a temporary folder.
func newWorld(rec *record, s *site, dir string, limit time.Duration) (*world, error) {
	w := &world{
		rec: rec, site: s, dir: dir, users: &http.Client{}, jobs: map[string]*job{},
		state: newStateService(), ends: rec.start.Add(limit),
	}
	w.cloud = newCloud(w, s.frames, s.free)
	cloudAddr, err := serve(w.cloud.handler())
	if err != nil {
		return nil, err
	}
	stateAddr, err := serve(w.state.handler())
	if err != nil {
		return nil, err
	}
	chosen := map[string]bool{}
	for i := range 3 {
		n := &node{name: fmt.Sprint("trellis-", i), zone: s.zones[i%len(s.zones)]}
		if n.api, err = freeAddr(chosen); err != nil {
			return nil, err
		}
		if n.peer, err = freeAddr(chosen); err != nil {
			return nil, err
		}
		w.nodes = append(w.nodes, n)
	}
	for _, n := range w.nodes {
		if err := w.writeSettings(n, cloudAddr, stateAddr); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// Ports of the controllers are below those that the system gives out by itself, and each run takes
// them from a range of its own, so that nobody takes one between its choice and the controller's start.
const (
	lowestPort    = 20000
	portsPerRange = 25
	portRanges    = 400
)

// freeAddr returns a loopback address that nobody listens on, and that is not among those chosen
// before.
func freeAddr(chosen map[string]bool) (string, error) {
	var config net.ListenConfig
	err := errors.New("no free port")
	first := lowestPort + os.Getpid()%portRanges*portsPerRange
	for port := first; port < first+portsPerRange; port++ {
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		if chosen[addr] {
			continue
		}
		var listener net.Listener
		if listener, err = config.Listen(context.Background(), "tcp", addr); err == nil {
			chosen[addr] = true
			return addr, listener.Close()
		}
	}
	return "", err
}

// writeSettings writes the settings file of a controller.
func (w *world) writeSettings(n *node, cloudAddr, stateAddr string) error {
	peers := []map[string]any{}
	for _, other := range w.nodes {
		if other == n {
			continue
		}
		peers = append(peers, map[string]any{"node": other.name, "site": other.zone, "addr": other.peer})
	}
	s := w.site
	raw, err := json.MarshalIndent(map[string]any{
		"node": n.name, "site": n.zone, "api_addr": n.api, "peer_listen": n.peer, "peers": peers,
		"outside": map[string]any{"cloud": cloudAddr, "state": stateAddr},
		"settings": map[string]any{
			"nodes": len(w.nodes), "zones": s.zones, "teams": s.teams, "objectives": s.objectives,
			"workers": map[string]any{
				"report_s": s.reportS, "lease_s": s.leaseS, "gang_wait_s": 40.0, "gang_peer_s": 8.0,
				"cancel_s": s.cancelS,
			},
			"state":  s.state,
			"cloud":  map[string]any{"rps": s.cloudRPS, "list_lag_s": s.listLagS},
			"limits": s.limits, "clock_off_ms": s.clockOffMs,
		},
	}, "", "  ")
	if err != nil {
		return err
	}
	n.settings = filepath.Join(w.dir, n.name+".json")
	return os.WriteFile(n.settings, raw, 0o600)
}

// run starts a controller with the command of the deploy file.
func (w *world) run(n *node) error {
	var deploy struct{ Run string }
	if _, err := toml.DecodeFile("deploy/service.toml", &deploy); err != nil {
		return err
	}
	args := append(strings.Fields(deploy.Run), n.settings)
	if len(args) < 2 {
		return fmt.Errorf("deploy/service.toml: no command to start the service: %q", deploy.Run)
	}
	logFile, err := os.OpenFile(filepath.Join(w.dir, n.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	n.process = exec.Command(args[0], args[1:]...) //nolint:noctx // ended by stop
	n.process.Stderr = logFile
	if err := n.process.Start(); err != nil {
		return err
	}
	w.rec.add("%s (%s): started", n.name, n.zone)
	return logFile.Close()
}

// runAll starts all controllers and waits until one leads and all take requests.
func (w *world) runAll() error {
	for _, n := range w.nodes {
		if err := w.run(n); err != nil {
			return err
		}
	}
	for w.sleep(100 * time.Millisecond) {
		ready := 0
		for i := range w.nodes {
			if status, _ := w.ask(i, "/ready", nil, time.Second); status == http.StatusOK {
				ready++
			}
		}
		if ready == len(w.nodes) && w.leader() >= 0 {
			w.rec.add("all controllers are ready, %s leads", w.nodes[w.leader()].name)
			// By then the machines that are up have reported, and are known to the leader.
			w.sleep(seconds(2 * w.site.reportS))
			return nil
		}
	}
	return fmt.Errorf("the controllers did not become ready")
}

// stop ends all controllers.
func (w *world) stop() {
	for _, n := range w.nodes {
		if n.process != nil {
			_ = n.process.Process.Kill() // may have ended
			_ = n.process.Wait()         // its status does not matter
		}
	}
}

// leader returns the index of the node that the state service shows as the leader, or -1.
func (w *world) leader() int {
	var record struct{ Node string }
	_ = json.Unmarshal(w.state.value("leader"), &record) // no leader without a value
	for i, n := range w.nodes {
		if n.name == record.Node {
			return i
		}
	}
	return -1
}

// sleep waits, and reports whether the case has time left.
func (w *world) sleep(d time.Duration) bool {
	time.Sleep(min(d, time.Until(w.ends)))
	return time.Now().Before(w.ends)
}

// until waits until a condition holds, and reports whether it did in time.
func (w *world) until(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); {
		if holds() {
			return true
		}
		if !w.sleep(50 * time.Millisecond) {
			return false
		}
	}
	return holds()
}

// broken records that the case could not run.
func (w *world) broken(format string, args ...any) {
	w.mu.Lock()
	w.problem = fmt.Sprintf(format, args...)
	w.mu.Unlock()
	w.rec.add("could not run: "+format, args...)
}

// ordered records a start command that a worker got.
func (w *world) ordered(a *agent, t *task, from string, asked time.Time) {
	w.mu.Lock()
	w.starts = append(w.starts, start{
		host: a.host, ref: t.ref, from: from, sprout: t.sprout, asked: asked, at: time.Now(),
	})
	w.mu.Unlock()
	w.rec.add("%s: told to start %s, attempt %d (%s, asked at %.2f)", a.host, t.ref, t.sprout, from, w.rec.since(asked))
}

// started records that a task runs.
func (w *world) started(a *agent, t *task) { w.rec.add("%s: %s runs", a.host, t.ref) }

// exited records that a task ended.
func (w *world) exited(a *agent, t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.starts {
		if s := &w.starts[i]; s.host == a.host && s.ref == t.ref && s.sprout == t.sprout {
			s.ended = t.cause
		}
	}
	w.rec.add("%s: %s ended: %s", a.host, t.ref, t.cause)
}

// startsOf returns the start commands for a job's tasks so far.
func (w *world) startsOf(id string) []start {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []start
	for _, s := range w.starts {
		if strings.HasPrefix(s.ref, id+"/") {
			found = append(found, s)
		}
	}
	return found
}

// kill ends a controller with no signal that it could handle.
func (w *world) kill(i int) {
	n := w.nodes[i]
	w.rec.add("%s: killed", n.name)
	_ = n.process.Process.Kill() // may have ended
	_ = n.process.Wait()         // its status does not matter
	n.process = nil
}

// cardsInUse returns how many cards the tasks of a team use, on all machines: a task is on its machine
// from when it has its image until it exits or the machine is gone.
func (w *world) cardsInUse(owner string) float64 {
	w.cloud.mu.Lock()
	machines := slices.Clone(w.cloud.machines)
	w.cloud.mu.Unlock()
	used := 0.0
	for _, m := range machines {
		m.agent.mu.Lock()
		for _, t := range m.agent.live() {
			if t.phase != "pulling" && t.job.Owner == owner {
				used += t.job.Cards
			}
		}
		m.agent.mu.Unlock()
	}
	return used
}

// mostCards returns the most cards that the tasks of a team use within a time, for at least three
// looks in a row, 5 ms apart.
func (w *world) mostCards(owner string, limit time.Duration) float64 {
	most, last, looks := 0.0, 0.0, 0
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		used := w.cardsInUse(owner)
		if used != last {
			w.rec.add("the tasks of %s use %v cards", owner, used)
			last, looks = used, 0
		}
		if looks++; looks >= 3 {
			most = max(most, used)
		}
	}
	return most
}
