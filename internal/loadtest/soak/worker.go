package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"math"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/loadtest/localprocess"
)

// workerFault is a fault of a machine.
type workerFault int

// The faults of machines.
const (
	workerHealthy workerFault = iota
	// workerHung does nothing and answers nothing, and goes on later.
	workerHung
	// workerDeaf gets neither responses nor direct commands, while its heartbeats arrive.
	workerDeaf
	// workerMute reaches no controller, while direct commands reach it.
	workerMute
	// workerLost has stopped for good, with all that was on it.
	workerLost
)

// worker simulates a machine and its worker agent by the published protocol.
type worker struct {
	spec   *machineSpec
	typ    api.MachineType
	site   *site
	client *http.Client
	server *http.Server
	// wake makes the agent send a heartbeat.
	wake chan struct{}
	done chan struct{}

	mu        sync.Mutex
	fault     workerFault
	heartbeat api.Heartbeat
	// running holds the tasks on the machine, by reference, with the time at which they complete.
	running map[string]*runningTask
	// completed holds the completed tasks that the heartbeats show, by reference.
	completed map[string]*taskRun
	// acknowledged is when the last heartbeat that got a valid response was sent, or when the agent
	// epoch began.
	acknowledged time.Time
	lastSent     time.Time
	// node is the index of the controller that gets the next heartbeat.
	node    int
	stopped bool
	// affected counts what a fault affected.
	affected int
}

// runningTask is a task on a machine.
type runningTask struct {
	run  *taskRun
	ends time.Time
	cpus float64
}

// Times of worker agents that the protocol sets.
const (
	heartbeatTimeout    = 4 * time.Second
	minHeartbeatGap     = 500 * time.Millisecond
	nodeRetryDelay      = time.Second
	heartbeatCopyShare  = 0.03
	commandCopyShare    = 0.05
	failedTaskShare     = 0.02
	workerCheckInterval = 50 * time.Millisecond
)

// newWorker starts a machine whose agent listens for commands.
func newWorker(st *site, spec *machineSpec, typ api.MachineType) (*worker, error) {
	listener, err := localprocess.Listen()
	if err != nil {
		return nil, err
	}
	w := &worker{
		spec:         spec,
		typ:          typ,
		site:         st,
		client:       &http.Client{Timeout: heartbeatTimeout, Transport: &http.Transport{}},
		wake:         make(chan struct{}, 1),
		done:         make(chan struct{}),
		running:      map[string]*runningTask{},
		completed:    map[string]*taskRun{},
		acknowledged: time.Now(),
		node:         st.random.intN(nodeCount),
		heartbeat: api.Heartbeat{
			Machine:    spec.name,
			Addr:       listener.Addr().String(),
			Type:       spec.machineType,
			Zone:       spec.zone,
			Spot:       spec.spot,
			AgentEpoch: 1,
			Tasks:      []api.TaskStatus{},
		},
	}
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: heartbeatTimeout}
	go w.serve(listener)
	go w.run()
	return w, nil
}

func (w *worker) serve(listener net.Listener) {
	_ = w.server.Serve(listener) // returns when the server is closed
}

// run sends heartbeats until the machine is gone.
func (w *worker) run() {
	interval := w.site.info.Workers.HeartbeatInterval()
	next := time.Now()
	for {
		select {
		case <-w.done:
			return
		case <-w.wake:
			next = time.Now()
		case <-time.After(workerCheckInterval):
		}
		w.mu.Lock()
		hung := w.fault == workerHung || w.fault == workerLost
		if !hung && w.advance() {
			next = time.Now()
		}
		due := !time.Now().Before(next) && time.Since(w.lastSent) >= minHeartbeatGap
		w.mu.Unlock()
		if hung || !due {
			continue
		}
		next = time.Now().Add(time.Duration(float64(interval) * (0.75 + w.site.random.float64()/2)))
		if !w.sendHeartbeat() {
			next = time.Now().Add(nodeRetryDelay)
		}
	}
}

// advance ends the tasks whose time has come, or all of them if the lease has expired. It reports
// whether anything changed. The caller holds the lock.
func (w *worker) advance() (changed bool) {
	now := time.Now()
	if now.Sub(w.acknowledged) > w.site.info.Workers.Lease() {
		w.endAll()
		w.heartbeat.AgentEpoch++
		w.acknowledged = now
		w.node = (w.node + 1) % nodeCount
		return true
	}
	for i := range w.heartbeat.Tasks {
		status := &w.heartbeat.Tasks[i]
		task := w.running[status.Task]
		if status.Phase != api.TaskRunning || task == nil || now.Before(task.ends) {
			continue
		}
		status.Phase, status.Cause = api.TaskExited, api.CauseDone
		if w.site.random.chance(failedTaskShare) {
			status.Cause = api.CauseError
		} else {
			w.site.tasksDone.Store(status.Task, true)
		}
		w.remove(status.Task, status.Cause == api.CauseDone)
		changed = true
	}
	return changed
}

// remove records that a task is off the machine. The caller holds the lock.
func (w *worker) remove(ref string, done bool) {
	if task := w.running[ref]; task != nil {
		w.site.history.taskEnded(task.run, done)
		delete(w.running, ref)
		if done {
			w.completed[ref] = task.run
		}
	}
}

// endAll ends all tasks and forgets them. The caller holds the lock.
func (w *worker) endAll() {
	for ref := range w.running {
		w.remove(ref, false)
	}
	for _, run := range w.completed {
		w.site.history.completionForgotten(run)
	}
	clear(w.completed)
	w.heartbeat.Tasks = []api.TaskStatus{}
}

// sendHeartbeat sends a heartbeat and applies the response. It returns false if the agent should wait
// before it tries the next controller.
func (w *worker) sendHeartbeat() bool {
	w.mu.Lock()
	w.heartbeat.Seq++
	body, err := json.Marshal(w.heartbeat)
	epoch, node, sent, fault := w.heartbeat.AgentEpoch, w.node, time.Now(), w.fault
	completed := slices.Collect(maps.Values(w.completed))
	w.lastSent = sent
	w.mu.Unlock()
	if err != nil {
		panic(err) // a heartbeat always encodes
	}
	if fault == workerMute {
		w.countAffected()
		w.useNextNode()
		return false
	}
	if w.site.random.chance(heartbeatCopyShare) {
		w.sendCopyLater(body)
	}
	status, raw := w.post(node, body)
	switch status {
	case http.StatusOK:
		for _, run := range completed {
			w.site.history.completionShown(run)
		}
		return w.applyResponse(raw, epoch, sent)
	case http.StatusMisdirectedRequest:
		return w.redirect(raw)
	}
	w.useNextNode()
	return false
}

// post sends a heartbeat to a controller and returns the response, or status 0 without one.
func (w *worker) post(node int, body []byte) (status int, raw []byte) {
	url := "http://" + w.site.nodes[node].workerLinks[w.spec.zone].Addr + "/v1/report"
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		panic(err) // the URL is valid
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer closeQuietly(resp.Body)
	if raw, err = io.ReadAll(resp.Body); err != nil {
		return 0, nil
	}
	return resp.StatusCode, raw
}

// sendCopyLater sends a copy of a heartbeat to any controller after a delay, and drops the response.
func (w *worker) sendCopyLater(body []byte) {
	delay := w.site.random.between(minCopyDelay, maxCopyDelay)
	node := w.site.random.intN(nodeCount)
	go func() {
		if w.site.sleep(delay) {
			w.post(node, body)
		}
	}()
}

// applyResponse applies the response to a heartbeat, unless its token is outdated or the agent epoch
// has ended.
func (w *worker) applyResponse(raw []byte, epoch uint64, sent time.Time) bool {
	var response api.HeartbeatResponse
	if json.Unmarshal(raw, &response) != nil {
		w.useNextNode()
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fault != workerHealthy {
		w.affected++
		w.node = (w.node + 1) % nodeCount
		return false
	}
	if w.stopped || response.Token < w.heartbeat.Token || epoch != w.heartbeat.AgentEpoch ||
		time.Since(w.acknowledged) > w.site.info.Workers.Lease() {
		return true
	}
	w.acknowledged = sent
	w.apply(response.Token, response.Commands)
	return true
}

// redirect selects the controller that a response names.
func (w *worker) redirect(raw []byte) bool {
	var redirect struct {
		Leader string `json:"Gardener"`
	}
	_ = json.Unmarshal(raw, &redirect) // without a name, the next node is used
	w.mu.Lock()
	defer w.mu.Unlock()
	named := slices.IndexFunc(w.site.nodes, func(n *node) bool { return n.process.Name == redirect.Leader })
	if named < 0 || named == w.node {
		w.node = (w.node + 1) % nodeCount
		return false
	}
	w.node = named
	w.wakeUp()
	return true
}

func (w *worker) useNextNode() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.node = (w.node + 1) % nodeCount
}

func (w *worker) wakeUp() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *worker) countAffected() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.affected++
}

// apply executes commands in their order. The caller holds the lock.
func (w *worker) apply(token uint64, commands []api.Command) {
	if token > w.heartbeat.Token {
		w.heartbeat.Token = token
		w.wakeUp()
	}
	for _, command := range commands {
		i := slices.IndexFunc(w.heartbeat.Tasks, func(t api.TaskStatus) bool {
			return t.Task == command.Task && t.Attempt == command.Attempt
		})
		switch {
		case command.Verb == api.VerbStart && i < 0:
			w.start(command)
		case command.Verb == api.VerbStop && i >= 0 && w.heartbeat.Tasks[i].Phase != api.TaskExited:
			w.remove(command.Task, false)
			w.heartbeat.Tasks[i].Phase, w.heartbeat.Tasks[i].Cause = api.TaskExited, api.CauseHalted
		case command.Verb == api.VerbReap && i >= 0 && w.heartbeat.Tasks[i].Phase == api.TaskExited:
			w.heartbeat.Tasks = slices.Delete(w.heartbeat.Tasks, i, i+1)
			delete(w.completed, command.Task)
		default:
			continue
		}
		w.wakeUp()
	}
}

// start executes a start command, or refuses it. The caller holds the lock.
func (w *worker) start(command api.Command) {
	status := api.TaskStatus{Task: command.Task, Attempt: command.Attempt, Phase: api.TaskExited}
	id, index, ok := cluster.ParseTaskRef(command.Task)
	spec := w.site.history.job(id)
	_, known := w.site.tasksDone.Load(command.Task)
	switch {
	case !ok || spec == nil || index >= spec.Tasks:
		status.Cause = api.CauseNoSuch
	case w.running[command.Task] != nil:
		status.Cause = api.CauseBusy
	case known:
		status.Cause = api.CauseDone
	case w.usedCPUs()+spec.TaskCPUs > w.typ.CPUs:
		status.Cause = api.CauseNoCapacity
	default:
		status.Phase = api.TaskRunning
		w.running[command.Task] = &runningTask{
			run:  w.site.history.taskStarted(id, index, w.spec),
			ends: time.Now().Add(time.Duration(float64(spec.duration) * (0.7 + 0.6*w.site.random.float64()))),
			cpus: spec.TaskCPUs,
		}
	}
	w.heartbeat.Tasks = append(w.heartbeat.Tasks, status)
}

func (w *worker) usedCPUs() float64 {
	used := 0.0
	for _, task := range w.running {
		used += task.cpus
	}
	return math.Round(used*1000) / 1000
}

// ServeHTTP serves direct commands and probes. Every response holds the machine's heartbeat.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var batch api.CommandBatch
	isBatch := r.URL.Path == "/orders"
	if isBatch && json.NewDecoder(r.Body).Decode(&batch) != nil {
		respondError(rw, http.StatusBadRequest)
		return
	}
	if !w.awaitReachable(r.Context()) {
		abort()
	}
	status := http.StatusOK
	w.mu.Lock()
	w.advance()
	if isBatch && !w.applyBatch(&batch) {
		status = http.StatusConflict
	} else if isBatch && len(batch.Commands) > 0 && w.site.random.chance(commandCopyShare) {
		w.applyCopyLater(&batch)
	}
	w.heartbeat.Seq++
	raw, err := json.Marshal(w.heartbeat)
	w.mu.Unlock()
	if err != nil {
		panic(err) // a heartbeat always encodes
	}
	rw.WriteHeader(status)
	_, _ = rw.Write(raw) // fails only if the controller has closed the connection
}

// awaitReachable waits while the machine gets no requests. It returns false if this request is lost.
// What is sent to a hung machine arrives when the machine goes on.
func (w *worker) awaitReachable(request context.Context) bool {
	for first := true; ; first = false {
		w.mu.Lock()
		fault, stopped := w.fault, w.stopped
		reachable := fault == workerHealthy || fault == workerMute
		if first && !reachable {
			w.affected++
		}
		w.mu.Unlock()
		switch {
		case stopped || fault != workerHung && request.Err() != nil:
			return false
		case reachable:
			return true
		case !w.site.sleep(workerCheckInterval):
			return false
		}
	}
}

// applyBatch applies a batch if its token and agent epoch are valid. The caller holds the lock.
func (w *worker) applyBatch(batch *api.CommandBatch) bool {
	if batch.Token < w.heartbeat.Token || batch.AgentEpoch != w.heartbeat.AgentEpoch || w.stopped {
		return false
	}
	w.apply(batch.Token, batch.Commands)
	return true
}

// applyCopyLater makes a copy of a batch arrive after a delay.
func (w *worker) applyCopyLater(batch *api.CommandBatch) {
	delay := w.site.random.between(minCopyDelay, maxCopyDelay)
	go func() {
		if !w.site.sleep(delay) {
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.fault == workerHealthy || w.fault == workerMute {
			w.advance()
			w.applyBatch(batch)
		}
	}()
}

// setFault changes the fault of the machine. A lost machine stays lost.
func (w *worker) setFault(fault workerFault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fault == workerLost || w.stopped {
		return
	}
	w.fault = fault
	if fault == workerLost {
		w.affected++
		w.endAll()
	}
	w.wakeUp()
}

// terminate ends the machine with all that is on it.
func (w *worker) terminate() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	w.stopped = true
	w.endAll()
	close(w.done)
	_ = w.server.Close() // the machine is gone either way
}

// isUp reports whether the machine runs and has no fault.
func (w *worker) isUp() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.stopped && w.fault == workerHealthy
}

var _ http.Handler = (*worker)(nil)

// newMachineType returns a machine type of the simulated site.
func newMachineType(name string, cpus float64, zones ...string) api.MachineType {
	return api.MachineType{
		Name:      name,
		CPUs:      cpus,
		MemoryGB:  4 * cpus,
		CacheGB:   80,
		FetchGBs:  100,
		Price:     cpus / 16,
		SpotPrice: cpus / 40,
		BootS:     1,
		Zones:     zones,
	}
}
