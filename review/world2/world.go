package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// team is a team of the settings.
type team struct {
	Name    string  `json:"name"`
	CPUs    float64 `json:"cpus"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMax float64 `json:"gpus_max"`
}

// storeLimits are the limits of the state service.
type storeLimits struct {
	RPS      float64 `json:"rps"`
	WriteRPS float64 `json:"write_rps"`
	ValueKB  float64 `json:"value_kb"`
	TxnOps   int     `json:"txn_ops"`
}

// siteSettings is the field "settings" of the settings file of DEPLOY.
type siteSettings struct {
	Nodes      int      `json:"nodes"`
	Zones      []string `json:"zones"`
	Teams      []team   `json:"teams"`
	Objectives []any    `json:"objectives"`
	Workers    struct {
		ReportS float64 `json:"report_s"`
		LeaseS  float64 `json:"lease_s"`
		CancelS float64 `json:"cancel_s"`
	} `json:"workers"`
	State storeLimits `json:"state"`
	Cloud struct {
		RPS      float64 `json:"rps"`
		ListLagS float64 `json:"list_lag_s"`
	} `json:"cloud"`
	Limits struct {
		Cores   float64 `json:"cores"`
		RAMMB   float64 `json:"ram_mb"`
		FDLimit int     `json:"fd_limit"`
	} `json:"limits"`
	ClockOffMs float64 `json:"clock_off_ms"`
}

// job is a job that a user submits.
type job struct {
	id, team string
	shoots   int
	cores    float64
	// runTime is how long a task really runs.
	runTime time.Duration
	// spread is by what share of that the tasks differ at most.
	spread float64
	// memoryGB is what a task takes; 0 stands for 1.
	memoryGB float64
	// windfall is set if the job may use cheap machines, and fails if it was submitted with a mistake, so that
	// its tasks fail on every machine.
	windfall, fails bool
	// awaits are the jobs that must be done before.
	awaits []string
}

// controller is a controller process with its addresses and links.
type controller struct {
	name, zone        string
	apiAddr, peerAddr string
	// peers are the links to the other controllers.
	peers    map[string]*link
	settings string
	cmd      *exec.Cmd
}

// startEvent is a start command that a worker carried out.
type startEvent struct{ machine, shoot string }

// world is a small deployment: real controllers, and stand-ins of all else.
type world struct {
	settings siteSettings
	flavor   flavor
	store    *store
	cloud    *cloud
	nodes    []*controller
	servers  []*http.Server
	client   *http.Client
	dir      string
	run      []string
	began    time.Time
	// procs protects the processes of the controllers, and over is set once none is to be started.
	procs sync.Mutex
	over  bool

	mu     sync.Mutex
	out    io.Writer
	jobs   map[string]*job
	starts []startEvent
	// onMachine holds the tasks that run, with the time of their start.
	onMachine map[string]time.Time
	finished  map[string]bool
	// failedOn holds the machines on which tasks of a job have failed, by job.
	failedOn map[string]map[string]bool
	// leader is the index of the node that last answered a report, and warrant is its token.
	leader  int
	warrant uint64
}

var portCount atomic.Int64

// nextAddr returns a loopback address that nothing else in this process uses. The host depends on the
// process, and the ports are none that the system assigns.
func nextAddr() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.2:%d", 1+pid>>8&0x7f, pid&0xff, 12000+portCount.Add(1))
}

func listen() (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(context.Background(), "tcp", nextAddr())
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// closeQuietly closes what is no longer used. The error has no effect.
func closeQuietly(c io.Closer) { _ = c.Close() }

// answer sends a JSON answer.
func answer(w http.ResponseWriter, code int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_, _ = w.Write(raw) // fails only if the client has left
}

// clock formats a time as seconds since the begin.
func (w *world) clock(t time.Time) string { return fmt.Sprintf("%.3f s", t.Sub(w.began).Seconds()) }

// record writes a line to the record.
func (w *world) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordLocked(format, args...)
}

func (w *world) recordLocked(format string, args ...any) {
	_, _ = fmt.Fprintf(w.out, "%9s  %s\n", w.clock(time.Now()), fmt.Sprintf(format, args...)) // a lost line shows
}

func (w *world) jobNamed(id string) *job {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.jobs[id]
}

// startOrdered notes a start command that a worker carries out.
func (w *world) startOrdered(m *worker, c order, source string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts = append(w.starts, startEvent{machine: m.name, shoot: c.Shoot})
	w.recordLocked("%s: start %s, attempt %d, by the %s", m.name, c.Shoot, c.Sprout, source)
}

func (w *world) taskStarted(m *worker, shoot string, sprout uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onMachine[shoot] = time.Now()
	w.recordLocked("%s: %s runs, attempt %d", m.name, shoot, sprout)
}

func (w *world) taskEnded(m *worker, shoot, cause string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.onMachine, shoot)
	w.finished[shoot] = w.finished[shoot] || cause == causeDone
	if id, _, _ := strings.Cut(shoot, "/"); cause == causeError {
		if w.failedOn[id] == nil {
			w.failedOn[id] = map[string]bool{}
		}
		w.failedOn[id][m.name] = true
	}
	w.recordLocked("%s: %s is off the machine: %s", m.name, shoot, cause)
}

// machinesFailed returns on how many machines tasks of a job have failed.
func (w *world) machinesFailed(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.failedOn[id])
}

// runningSince returns how many tasks of a job run, and for how long the one that began last has run.
func (w *world) runningSince(id string) (count int, shortest time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for shoot, at := range w.onMachine {
		if !strings.HasPrefix(shoot, id+"/") {
			continue
		}
		if d := time.Since(at); count == 0 || d < shortest {
			shortest = d
		}
		count++
	}
	return count, shortest
}

// answeredBy notes that a node gave a report a valid answer.
func (w *world) answeredBy(node int, warrant uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if node != w.leader || warrant != w.warrant {
		w.recordLocked("%s answers reports, token %d", w.nodes[node].name, warrant)
	}
	w.leader, w.warrant = node, warrant
}

// leaderNode returns the node that answers the reports, and another one.
func (w *world) leaderNode() (leader, other *controller) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nodes[w.leader], w.nodes[(w.leader+1)%len(w.nodes)]
}

// runCommand returns the program and its arguments of the deploy file.
func runCommand() ([]string, error) {
	raw, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		return nil, err
	}
	found := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(raw)
	if found == nil {
		return nil, errors.New("deploy/service.toml has no run command")
	}
	return strings.Fields(string(found[1])), nil
}

// newWorld starts the stand-ins and the controllers.
func newWorld(settings siteSettings, frame flavor, out io.Writer) (*world, error) {
	run, err := runCommand()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{
		settings: settings, flavor: frame, store: newStore(settings.State), dir: dir, run: run, out: out,
		began: time.Now(), client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		jobs: map[string]*job{}, onMachine: map[string]time.Time{}, finished: map[string]bool{}, leader: -1,
		failedOn: map[string]map[string]bool{},
	}
	w.cloud = &cloud{world: w, gone: map[string]time.Time{}, capacity: 20, hired: map[string][]string{}}
	for i := range settings.Nodes {
		w.nodes = append(w.nodes, &controller{
			name: fmt.Sprint("trellis-", i), zone: settings.Zones[i%len(settings.Zones)],
			apiAddr: nextAddr(), peerAddr: nextAddr(), peers: map[string]*link{},
		})
	}
	for _, n := range w.nodes {
		if err := w.startNode(n); err != nil {
			return w, err
		}
	}
	return w, nil
}

// serve serves HTTP and returns the address.
func (w *world) serve(handler http.Handler) (string, error) {
	listener, err := listen()
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	w.servers = append(w.servers, server)
	go func() { _ = server.Serve(listener) }() // returns when the server is closed
	return listener.Addr().String(), nil
}

// startNode writes the settings of a controller and starts it with the command of the deploy file.
func (w *world) startNode(n *controller) error {
	storeAddr, err := w.serve(w.store.handler())
	if err != nil {
		return err
	}
	cloudAddr, err := w.serve(w.cloud.handlerFor(n.name))
	if err != nil {
		return err
	}
	var peers []map[string]string
	for _, other := range w.nodes {
		if other == n {
			continue
		}
		l, err := newLink(other.peerAddr)
		if err != nil {
			return err
		}
		n.peers[other.name] = l
		peers = append(peers, map[string]string{"node": other.name, "site": other.zone, "addr": l.addr})
	}
	raw, err := json.MarshalIndent(map[string]any{
		"node": n.name, "site": n.zone, "api_addr": n.apiAddr, "peer_listen": n.peerAddr, "peers": peers,
		"outside": map[string]string{"cloud": cloudAddr, "state": storeAddr}, "settings": w.settings,
	}, "", "  ")
	if err != nil {
		return err
	}
	n.settings = filepath.Join(w.dir, n.name+".json")
	if err := os.WriteFile(n.settings, raw, 0o600); err != nil {
		return err
	}
	return w.launch(n)
}

// launch starts the process of a controller.
func (w *world) launch(n *controller) error {
	args := append(append([]string{}, w.run[1:]...), n.settings)
	n.cmd = exec.CommandContext(context.Background(), w.run[0], args...)
	n.cmd.Env = append(os.Environ(), "LOG_LEVEL=info")
	logs, err := os.OpenFile(filepath.Join(w.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer closeQuietly(logs) // the process has a descriptor of its own
	n.cmd.Stderr = logs
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	w.record("%s starts: %s, with its settings", n.name, strings.Join(w.run, " "))
	return nil
}

// kill ends the process of a controller without a signal that it could handle.
func (w *world) kill(n *controller) {
	w.record("%s is killed", n.name)
	w.procs.Lock()
	defer w.procs.Unlock()
	_ = n.cmd.Process.Kill() // fails only if it has exited
	_ = n.cmd.Wait()         // it was killed, so there is an error
}

// restart starts a controller that was killed, unless the case is over.
func (w *world) restart(n *controller) {
	w.procs.Lock()
	defer w.procs.Unlock()
	if w.over {
		return
	}
	if err := w.launch(n); err != nil {
		w.record("%s: %v", n.name, err)
	}
}

// end ends all that was started.
func (w *world) end() {
	w.procs.Lock()
	w.over = true
	w.procs.Unlock()
	for _, n := range w.nodes {
		if n.cmd != nil && n.cmd.Process != nil {
			_ = n.cmd.Process.Kill() // fails only if it has exited
			_ = n.cmd.Wait()         // it was killed, so there is an error
		}
	}
	w.cloud.end()
	for _, server := range w.servers {
		closeQuietly(server)
	}
	_ = os.RemoveAll(w.dir) // a temporary folder
}

// reply is the answer to a user.
type reply struct {
	code     int
	phase    string
	done     int
	running  int
	received time.Time
}

// String implements fmt.Stringer.
func (r reply) String() string {
	if r.code == 0 {
		return "no answer"
	}
	return fmt.Sprintf("%d, %q, done %d, running %d", r.code, r.phase, r.done, r.running)
}

// ask sends a user's request and waits for the answer as long as a user does.
func (w *world) ask(method, addr, path string, body any, timeout time.Duration) reply {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var in io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return reply{}
		}
		in = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, in)
	if err != nil {
		return reply{}
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return reply{received: time.Now()}
	}
	defer closeQuietly(resp.Body)
	var state struct {
		Phase   string `json:"Phase"`
		Done    int    `json:"done"`
		Running int    `json:"running"`
	}
	raw, err := io.ReadAll(resp.Body)
	if err != nil || json.Unmarshal(raw, &state) != nil {
		return reply{received: time.Now()}
	}
	return reply{resp.StatusCode, state.Phase, state.Done, state.Running, time.Now()}
}

// Times that users wait for answers.
const (
	pollTimeout   = 2 * time.Second
	submitTimeout = 5 * time.Second
	retryDelay    = time.Second
)

// poll asks a node about a job.
func (w *world) poll(n *controller, id string) reply {
	r := w.ask(http.MethodGet, n.apiAddr, "/api/jobs/"+id, nil, pollTimeout)
	w.record("user: GET %s at %s: %s", id, n.name, r)
	return r
}

// abort asks a node to cancel a job, until it is answered.
func (w *world) abort(n *controller, id string) (reply, error) {
	for range 20 {
		r := w.ask(http.MethodPost, n.apiAddr, "/api/jobs/"+id+"/abort", nil, submitTimeout)
		w.record("user: POST abort of %s at %s: %s", id, n.name, r)
		if r.code == http.StatusOK {
			return r, nil
		}
		time.Sleep(retryDelay)
	}
	return reply{}, fmt.Errorf("abort of %s not answered", id)
}

// memory returns what a task takes, in GB.
func (j *job) memory() float64 { return max(j.memoryGB, 1) }

// taskTime returns how long the next task runs.
func (j *job) taskTime() time.Duration {
	return time.Duration(float64(j.runTime) * (1 + j.spread*(2*rand.Float64()-1)))
}

// body returns the submission of a job.
func (j *job) body() map[string]any {
	fields := map[string]any{
		"NameId": j.id, "Jobclass": "merit", "Owner": j.team, "Shape": "array", "Precedence": "standard",
		"Shoots": j.shoots, "Cores": j.cores, "Cards": 0.0, "MemoryGb": j.memory(),
		"Rootstock": "img-01", "PullGb": 0.1,
		"Frames": nil, "Bed": nil, "SamePlace": false, "Scatter": false, "Windfall": j.windfall,
		"ExpectS": j.runTime.Seconds(), "GraftS": 0.0, "PressS": 0.0, "DueS": nil,
	}
	if len(j.awaits) > 0 {
		fields["Awaits"] = j.awaits
	}
	return fields
}

// send submits a job once, through an address of a node.
func (w *world) send(addr string, j *job) reply {
	w.mu.Lock()
	w.jobs[j.id] = j
	w.mu.Unlock()
	r := w.ask(http.MethodPost, addr, "/api/jobs", j.body(), submitTimeout)
	w.record("user: POST %s, %d tasks of team %s: %s", j.id, j.shoots, j.team, r)
	return r
}

// submit submits a job until it is accepted.
func (w *world) submit(n *controller, j *job) error {
	for range 30 {
		if r := w.send(n.apiAddr, j); r.code == http.StatusCreated || r.code == http.StatusOK {
			return nil
		}
		time.Sleep(retryDelay)
	}
	return fmt.Errorf("%s not accepted", j.id)
}

// await waits until a condition holds.
func await(what string, limit time.Duration, holds func() bool) error {
	for begin := time.Now(); time.Since(begin) < limit; time.Sleep(50 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("waited %v for %s", limit, what)
}

// awaitReady waits until all nodes are ready and one answers the workers.
func (w *world) awaitReady() error {
	return await("the controllers", 30*time.Second, func() bool {
		for _, n := range w.nodes {
			if w.ask(http.MethodGet, n.apiAddr, "/ready", nil, time.Second).code != http.StatusOK {
				return false
			}
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.leader >= 0
	})
}

// awaitMachines waits until the controllers have answered a report of each machine, and a little longer.
func (w *world) awaitMachines(count int) error {
	err := await("answers to all machines", 30*time.Second, func() bool { return w.cloud.answered() == count })
	time.Sleep(2 * time.Second)
	return err
}
