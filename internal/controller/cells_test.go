package controller

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/cells"
	"example.org/ivytrestle/internal/cluster"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/loan"
	"example.org/ivytrestle/internal/records"
)

// cellGroup is a simulated group of cells that lend each other capacity. It has machines that run tasks,
// and checks invariants over all cells.
type cellGroup struct {
	t     *testing.T
	cells []*cell
	// goroutines counts the goroutines that must end before the nodes are stopped.
	goroutines sync.WaitGroup

	// mu guards the fields below, the fields of jobs, and nodes and hangUntil of the cells.
	mu sync.Mutex
	// jobs holds all submitted jobs by id.
	jobs map[string]*cellJob
	// cut holds the links, as "from>to", on which requests are lost.
	cut map[string]bool
	// responseCut holds the links on which responses are lost.
	responseCut map[string]bool
	// maxRepeatDelay is the maximum random delay after which a second copy of each request is
	// delivered; 0 means that requests are not repeated.
	maxRepeatDelay time.Duration
	// requestDelay is added to the time that each request takes.
	requestDelay time.Duration
	random       *rand.Rand
	// requests is the number of requests sent, including lost ones.
	requests int
}

// cell is one cell of a group.
type cell struct {
	*simulatedCluster
	group  *cellGroup
	name   string
	nodes  []*node
	agents []*worker
	// taskStartedAt holds when tasks started, by machine and task.
	taskStartedAt map[string]time.Time
	// hangUntil is the time until which the machines neither send heartbeats nor apply commands.
	hangUntil time.Time
}

// cellJob is a job with the answers that its user got.
type cellJob struct {
	home *cell
	spec *api.JobSpec
	// duration is how long each task runs.
	duration time.Duration
	// endPhase is the final phase that was answered to the user, or "".
	endPhase string
	// cancelledAt is when the job was first answered as cancelled.
	cancelledAt time.Time
	// lent is set once a task of the job has run in another cell.
	lent bool
}

// simulateCells runs a test on a fake clock, with one cell for each element of machines, which is the
// cell's number of machines.
func simulateCells(t *testing.T, machines []int, f func(g *cellGroup)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		g := &cellGroup{
			t:           t,
			jobs:        map[string]*cellJob{},
			cut:         map[string]bool{},
			responseCut: map[string]bool{},
			random:      rand.New(rand.NewPCG(1, 2)),
		}
		for i, n := range machines {
			g.addCell(fmt.Sprint("cell-", string(rune('a'+i))), len(machines), n)
		}
		for _, c := range g.cells {
			c.startNodes()
		}
		ctx, cancel := context.WithCancel(context.Background())
		g.goroutines.Go(func() { g.runMachines(ctx) })
		defer func() {
			cancel()
			g.goroutines.Wait()
			for _, c := range g.cells {
				for _, n := range c.currentNodes() {
					n.crash()
				}
			}
		}()
		time.Sleep(4 * time.Second)
		f(g)
	})
}

// addCell adds a cell that has all other cells of the group as its neighbours.
func (g *cellGroup) addCell(name string, cellCount, machines int) {
	w := newSimulatedCluster(g.t)
	w.teams = []config.Team{{Name: "red", CPUs: 8, LimitCPUs: 16}, {Name: "blue", CPUs: 4, LimitCPUs: 12}}
	c := &cell{simulatedCluster: w, group: g, name: name, taskStartedAt: map[string]time.Time{}}
	w.late = newLateMessages(w.ctx, g.t.Name()+name)
	w.cells = &cells.Settings{Cell: name, MaxLoans: 50}
	for i := range cellCount {
		if other := fmt.Sprint("cell-", string(rune('a'+i))); other != name {
			w.cells.Neighbours = append(w.cells.Neighbours, cells.Neighbour{Cell: other})
		}
	}
	w.cellClient = cellLink{g, name}
	for i := range machines {
		c.agents = append(c.agents, w.worker(fmt.Sprintf("i-%s%02d", name[5:], i), "a", true))
	}
	g.cells = append(g.cells, c)
}

// startNodes starts the cell's two controllers.
func (c *cell) startNodes() {
	for i := range 2 {
		c.startNode(i)
	}
}

// startNode starts controller i of the cell. Its policy lends jobs early and scales in no machines.
func (c *cell) startNode(i int) {
	n := c.start(fmt.Sprintf("n%d", i))
	n.inspect(func(ctl *Controller) {
		spill := &ctl.Policy.Spill
		spill.MinWait, spill.MinGain, spill.GuestShare = 2*time.Second, 2*time.Second, 1
		ctl.Policy.MinCPUs = 1000
	})
	c.setNode(i, n)
}

// restartNode crashes controller i of the cell and starts it again after a downtime.
func (c *cell) restartNode(i int, downtime time.Duration) {
	c.currentNodes()[i].crash()
	time.Sleep(downtime)
	c.startNode(i)
}

// leader returns the cell's leader, or nil if it has none.
func (c *cell) leader() *node {
	for _, n := range c.currentNodes() {
		leads := false
		n.tryInspect(func(c *Controller) { leads = c.holdsLease() && c.leaderTerm.loaded })
		if leads {
			return n
		}
	}
	return nil
}

// cellLink implements CellLink for one cell of a group.
type cellLink struct {
	group *cellGroup
	from  string
}

// errCut is the error of a request that was lost, or whose response was lost.
var errCut = errors.New("cut")

// Loans implements CellLink.
func (l cellLink) Loans(ctx context.Context, to string, req *loan.Request) (*loan.Response, error) {
	g := l.group
	g.mu.Lock()
	delay := g.requestDelay
	g.mu.Unlock()
	time.Sleep(3*time.Millisecond + delay)
	g.mu.Lock()
	link := l.from + ">" + to
	cut, responseCut, repeat := g.cut[link], g.responseCut[link], g.maxRepeatDelay
	if repeat > 0 {
		repeat = time.Duration(g.random.Int64N(int64(repeat)))
	}
	g.requests++
	g.mu.Unlock()
	if cut {
		return nil, errCut
	}
	target := g.cells[slices.IndexFunc(g.cells, func(c *cell) bool { return c.name == to })]
	if repeat > 0 {
		// Nothing waits for the response to the second copy.
		time.AfterFunc(repeat, func() { _, _ = target.deliverLoans(req) })
	}
	response, err := target.deliverLoans(req)
	if responseCut {
		return nil, errCut
	}
	return response, err
}

// deliverLoans delivers a request to the cell's nodes in turn until one, the leader, responds.
func (c *cell) deliverLoans(req *loan.Request) (*loan.Response, error) {
	for _, n := range c.currentNodes() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		response, err := n.Loans(ctx, req)
		cancel()
		if err == nil {
			return response, nil
		}
	}
	return nil, api.ErrUnavailable
}

// setCut sets whether requests from one cell to another are lost.
func (g *cellGroup) setCut(from, to string, cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut[from+">"+to] = cut
}

// setResponseCut sets whether the responses to requests from one cell to another are lost.
func (g *cellGroup) setResponseCut(from, to string, cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.responseCut[from+">"+to] = cut
}

// runMachines has all machines that do not hang run their tasks and send heartbeats every 300 ms, and
// checks the invariants each time.
func (g *cellGroup) runMachines(ctx context.Context) {
	for ctx.Err() == nil {
		for _, c := range g.cells {
			for _, agent := range c.responsiveAgents() {
				if ctx.Err() != nil {
					return
				}
				c.runAgent(agent)
			}
		}
		g.check()
		time.Sleep(300 * time.Millisecond)
	}
}

// responsiveAgents returns the cell's agents, or nil while they hang.
func (c *cell) responsiveAgents() []*worker {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	if time.Now().Before(c.hangUntil) {
		return nil
	}
	return c.agents
}

// currentNodes returns a copy of the list of the cell's controllers.
func (c *cell) currentNodes() []*node {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	return slices.Clone(c.nodes)
}

// setNode sets controller i of the cell.
func (c *cell) setNode(i int, n *node) {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	for len(c.nodes) <= i {
		c.nodes = append(c.nodes, nil)
	}
	c.nodes[i] = n
}

// runAgent ends the tasks of a machine that have run for their duration, and sends a heartbeat to the
// first node that responds.
func (c *cell) runAgent(agent *worker) {
	agent.mu.Lock()
	for i := range agent.status.Tasks {
		task := &agent.status.Tasks[i]
		name := agent.status.Machine + " " + task.Task
		if task.Phase == api.TaskExited {
			delete(c.taskStartedAt, name)
			continue
		}
		if c.taskStartedAt[name].IsZero() {
			c.taskStartedAt[name] = time.Now()
		}
		id, _, _ := cluster.ParseTaskRef(task.Task)
		if j := c.group.job(id); j != nil && time.Since(c.taskStartedAt[name]) >= j.duration {
			task.Phase, task.Cause = api.TaskExited, api.CauseDone
		}
	}
	agent.mu.Unlock()
	for _, n := range c.currentNodes() {
		if commands, err := agent.sendHeartbeat(n); err == nil {
			agent.applyCommands(commands)
			return
		}
	}
}

// check checks the invariants over all cells: each task runs on at most one machine, no team exceeds its
// limit, and no task of a cancelled or done job runs except as checkMayRun allows.
func (g *cellGroup) check() {
	g.mu.Lock()
	defer g.mu.Unlock()
	machineOf := map[string]string{}
	used := map[string]float64{}
	for _, c := range g.cells {
		for _, agent := range c.agents {
			machine := c.name + "/" + agent.status.Machine
			for _, task := range agent.running() {
				if machineOf[task] != "" {
					g.t.Errorf("task %s runs on %s and on %s", task, machineOf[task], machine)
				}
				machineOf[task] = machine
				id, _, _ := cluster.ParseTaskRef(task)
				j := g.jobs[id]
				used[j.home.name+" "+j.spec.Team] += j.spec.CPUs
				g.checkMayRun(j, c, task, machine)
			}
		}
	}
	for _, c := range g.cells {
		for _, team := range c.teams {
			if cpus := used[c.name+" "+team.Name]; cpus > team.LimitCPUs {
				g.t.Errorf("team %s of %s uses %v CPUs, limit %v", team.Name, c.name, cpus, team.LimitCPUs)
			}
		}
	}
}

// checkMayRun checks that a task of a job may run on a machine of cell c, and records whether the job
// was lent. After a job is answered as cancelled, its tasks may run for 30 seconds more, but only in
// its home cell. The caller holds g.mu.
func (g *cellGroup) checkMayRun(j *cellJob, c *cell, task, machine string) {
	if c != j.home {
		j.lent = true
	}
	if !j.cancelledAt.IsZero() && time.Since(j.cancelledAt) > 30*time.Second {
		g.t.Errorf("task %s runs %v after its cancellation", task, time.Since(j.cancelledAt))
	}
	if j.endPhase == api.JobDone || j.endPhase != "" && c != j.home {
		g.t.Errorf("task %s runs on %s although its job was answered as %s", task, machine, j.endPhase)
	}
}

// job returns the job with an id, or nil.
func (g *cellGroup) job(id string) *cellJob {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.jobs[id]
}

// recordPhase records a phase of a job that was answered to the user. It checks that no other phase
// follows a final one.
func (g *cellGroup) recordPhase(j *cellJob, phase string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if j.endPhase != "" && phase != j.endPhase {
		g.t.Errorf("job %s was answered as %s, and now as %s", j.spec.ID, j.endPhase, phase)
	}
	if phase == api.JobDone || phase == api.JobCancelled {
		j.endPhase = phase
	}
	if phase == api.JobCancelled && j.cancelledAt.IsZero() {
		j.cancelledAt = time.Now()
	}
}

// submit submits a job in a cell, and retries until it is accepted, for up to 20 rounds over the cell's
// nodes. The job's tasks run for duration.
func (g *cellGroup) submit(c *cell, s *api.JobSpec, duration time.Duration) {
	g.t.Helper()
	g.mu.Lock()
	g.jobs[s.ID] = &cellJob{home: c, spec: s, duration: duration}
	g.mu.Unlock()
	for range 20 {
		for _, n := range c.currentNodes() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_, _, err := n.Submit(ctx, s)
			cancel()
			if err == nil {
				return
			}
		}
		time.Sleep(time.Second)
	}
	g.t.Fatalf("job %s was not accepted", s.ID)
}

// poll requests a job's phase from each node of its home cell, records the answers with recordPhase, and
// returns the last one, or "" if no node answered.
func (g *cellGroup) poll(id string) string {
	g.t.Helper()
	j := g.job(id)
	last := ""
	for _, n := range j.home.currentNodes() {
		phase := j.home.phase(n, id)
		switch phase {
		case api.JobPending, api.JobRunning, api.JobDone, api.JobCancelled:
		case api.ErrUnknownJob.Error():
			g.t.Errorf("job %s is unknown at %s", id, j.home.name)
		default:
			continue // an error
		}
		last = phase
		g.recordPhase(j, phase)
	}
	return last
}

// cancel requests a job's cancellation until it is confirmed. It makes at most as many attempts as
// seconds says, with pauses of one second. It returns the phase that was answered, or "not confirmed".
func (g *cellGroup) cancel(id string, seconds int) string {
	j := g.job(id)
	for i := range seconds {
		ctx, cancel := context.WithTimeout(context.Background(), userCancelTimeout)
		st, err := j.home.currentNodes()[i%2].Cancel(ctx, id)
		cancel()
		if err == nil {
			g.recordPhase(j, st.Phase)
			return st.Phase
		}
		time.Sleep(time.Second)
	}
	return "not confirmed"
}

// awaitAllEnded waits until all jobs have ended and no cell has records of active jobs or ended guests.
func (g *cellGroup) awaitAllEnded(within time.Duration) {
	g.t.Helper()
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(2 * time.Second) {
		active := 0
		for id := range g.jobs {
			if p := g.poll(id); p != api.JobDone && p != api.JobCancelled {
				active++
			}
		}
		if active == 0 && len(g.loanRecords()) == 0 {
			return
		}
	}
	g.t.Errorf("not ended within %v: jobs %v, records %v", within, g.unfinished(), g.loanRecords())
}

// unfinished lists the jobs for which no final phase was answered, with their home cells.
func (g *cellGroup) unfinished() (ids []string) {
	for id, j := range g.jobs {
		if j.endPhase == "" {
			ids = append(ids, id+" of "+j.home.name)
		}
	}
	slices.Sort(ids)
	return ids
}

// loanRecords lists the records of active jobs and of ended guests in all cells.
func (g *cellGroup) loanRecords() (keys []string) {
	for _, c := range g.cells {
		for _, prefix := range []string{records.ActivePrefix + "job-", loan.EndKey("", "")[:len("loan/end/")]} {
			for _, key := range c.keysUnder(prefix) {
				keys = append(keys, c.name+" "+key)
			}
		}
	}
	return keys
}

// countLent returns how many jobs have had tasks running in another cell.
func (g *cellGroup) countLent() (count int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, j := range g.jobs {
		if j.lent {
			count++
		}
	}
	return count
}

// wasLent reports whether a task of a job has run in another cell.
func (g *cellGroup) wasLent(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.jobs[id].lent
}

// submitBurst submits jobs of three to six tasks in a cell, with ids numbered from first, and returns
// their ids. Each task runs for duration.
func (g *cellGroup) submitBurst(c *cell, first, jobs int, duration time.Duration) (ids []string) {
	for i := range jobs {
		s := spec(fmt.Sprintf("job-%d", first+i), 3+i%4) // some jobs start only part of their tasks at first
		if i%3 == 2 {
			s.Team = "blue"
		}
		g.submit(c, s, duration)
		ids = append(ids, s.ID)
	}
	return ids
}

// A cell with more work than its machines can run lends jobs to its neighbours. All jobs are done in
// the end, and no cell keeps records of the loans.
func TestSpillover(t *testing.T) {
	simulateCells(t, []int{1, 3, 3}, func(g *cellGroup) {
		g.submitBurst(g.cells[0], 100, 12, 20*time.Second)
		g.awaitAllEnded(5 * time.Minute)
		if g.countLent() < 3 {
			t.Errorf("got %d of %d jobs that ran in another cell, want at least 3", g.countLent(), len(g.jobs))
		}
		for id, j := range g.jobs {
			if j.endPhase != api.JobDone {
				t.Errorf("%s: got end %q, want %q", id, j.endPhase, api.JobDone)
			}
		}
	})
}

// awaitLent waits until one of the jobs has run in another cell, and returns its id.
func (g *cellGroup) awaitLent(ids []string) string {
	g.t.Helper()
	for range 60 {
		for _, id := range ids {
			if g.wasLent(id) {
				return id
			}
		}
		time.Sleep(time.Second)
	}
	g.t.Fatalf("none of the jobs was lent: %s", strings.Join(ids, " "))
	return ""
}
