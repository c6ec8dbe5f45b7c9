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

// cellGroup is some cells that lend each other capacity, with machines that run tasks, and a
// checker over all of them.
type cellGroup struct {
	t     *testing.T
	cells []*cell
	// tasks are the group's own goroutines, which end before its nodes do.
	tasks sync.WaitGroup

	// mu guards what follows, and the jobs' own fields.
	mu   sync.Mutex
	jobs map[string]*cellJob
	// cut are the links, from cell to cell, on which no request arrives; responseCut those on
	// which no response does.
	cut, responseCut map[string]bool
	// repeat is within what time a request is delivered once more, with the age that it then
	// has; 0 means never.
	repeat time.Duration
	// delay is how long a request takes to arrive.
	delay  time.Duration
	random *rand.Rand
	// requests counts the requests sent, also those that were cut.
	requests int
}

// cell is one of the cells.
type cell struct {
	*simulatedCluster
	group  *cellGroup
	name   string
	nodes  []*node
	agents []*worker
	// startedAt is when tasks started, by machine and task.
	startedAt map[string]time.Time
	// hangUntil is until when its machines neither send heartbeats nor apply commands.
	hangUntil time.Time
}

// cellJob is a job as its user observes it.
type cellJob struct {
	home *cell
	spec *api.JobSpec
	// duration is how long its tasks run.
	duration time.Duration
	// endPhase is the final phase that a user got as an answer, or "".
	endPhase string
	// cancelledAt is when a cancellation was confirmed.
	cancelledAt time.Time
	lent        bool
}

// simulateCells runs a test with one cell for each number of machines.
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
		g.tasks.Go(func() { g.runMachines(ctx) })
		defer func() {
			cancel()
			g.tasks.Wait()
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

func (g *cellGroup) addCell(name string, of, machines int) {
	w := newSimulatedCluster(g.t)
	w.teams = []config.Team{{Name: "red", CPUs: 8, LimitCPUs: 16}, {Name: "blue", CPUs: 4, LimitCPUs: 12}}
	c := &cell{simulatedCluster: w, group: g, name: name, startedAt: map[string]time.Time{}}
	w.cells = &cells.Settings{Cell: name, MaxLoans: 50}
	for i := range of {
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

// startNode starts a controller with the spillover policy of these tests, which scales
// nothing in.
func (c *cell) startNode(i int) {
	n := c.start(fmt.Sprintf("n%d", i))
	n.inspect(func(ctl *Controller) {
		spill := &ctl.Policy.Spill
		spill.MinWait, spill.MinGain, spill.GuestShare = 2*time.Second, 2*time.Second, 1
		ctl.Policy.MinCPUs = 1000
	})
	c.setNode(i, n)
}

// restartNode crashes a controller and starts it again after a while.
func (c *cell) restartNode(i int, away time.Duration) {
	c.currentNodes()[i].crash()
	time.Sleep(away)
	c.startNode(i)
}

// leader is the controller that leads, or nil.
func (c *cell) leader() *node {
	for _, n := range c.currentNodes() {
		leads := false
		n.tryInspect(func(o *Controller) { leads = o.holdsLease() && o.leaderTerm.loaded })
		if leads {
			return n
		}
	}
	return nil
}

// cellLink is one cell's link to the others.
type cellLink struct {
	group *cellGroup
	from  string
}

var errCut = errors.New("cut")

// Loans implements CellLink.
func (k cellLink) Loans(ctx context.Context, to string, req *loan.Request) (*loan.Response, error) {
	g := k.group
	g.mu.Lock()
	delay := g.delay
	g.mu.Unlock()
	time.Sleep(3*time.Millisecond + delay)
	g.mu.Lock()
	link := k.from + ">" + to
	cut, responseCut, repeat := g.cut[link], g.responseCut[link], g.repeat
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
		// The response to a late copy reaches nobody.
		time.AfterFunc(repeat, func() { _, _ = target.deliverLoans(req) })
	}
	response, err := target.deliverLoans(req)
	if responseCut {
		return nil, errCut
	}
	return response, err
}

// deliverLoans delivers a request to the cell's leader.
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

func (g *cellGroup) setCut(from, to string, cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut[from+">"+to] = cut
}

func (g *cellGroup) setResponseCut(from, to string, cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.responseCut[from+">"+to] = cut
}

// runMachines has all machines send heartbeats and run their tasks, and checks what runs, ten
// times in three seconds.
func (g *cellGroup) runMachines(ctx context.Context) {
	for ctx.Err() == nil {
		for _, c := range g.cells {
			for _, k := range c.responsiveAgents() {
				if ctx.Err() != nil {
					return
				}
				c.runAgent(k)
			}
		}
		g.check()
		time.Sleep(300 * time.Millisecond)
	}
}

// responsiveAgents are the machines that do not hang.
func (c *cell) responsiveAgents() []*worker {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	if time.Now().Before(c.hangUntil) {
		return nil
	}
	return c.agents
}

// currentNodes are the cell's controllers as they are at present.
func (c *cell) currentNodes() []*node {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	return slices.Clone(c.nodes)
}

func (c *cell) setNode(i int, n *node) {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	for len(c.nodes) <= i {
		c.nodes = append(c.nodes, nil)
	}
	c.nodes[i] = n
}

// runAgent ends the tasks of a machine whose time is up, and sends a heartbeat to the first
// node that responds.
func (c *cell) runAgent(k *worker) {
	k.mu.Lock()
	for i := range k.status.Tasks {
		task := &k.status.Tasks[i]
		name := k.status.Machine + " " + task.Task
		if task.Phase == api.TaskExited {
			delete(c.startedAt, name)
			continue
		}
		if c.startedAt[name].IsZero() {
			c.startedAt[name] = time.Now()
		}
		id, _, _ := cluster.ParseTaskRef(task.Task)
		if j := c.group.job(id); j != nil && time.Since(c.startedAt[name]) >= j.duration {
			task.Phase, task.Cause = api.TaskExited, api.CauseDone
		}
	}
	k.mu.Unlock()
	for _, n := range c.currentNodes() {
		if commands, err := k.sendHeartbeat(n); err == nil {
			k.applyCommands(commands)
			return
		}
	}
}

// check checks all machines of all cells: each task is on at most one, each team is within its
// limit, and nothing runs for long after it was cancelled.
func (g *cellGroup) check() {
	g.mu.Lock()
	defer g.mu.Unlock()
	machineOf := map[string]string{}
	used := map[string]float64{}
	for _, c := range g.cells {
		for _, k := range c.agents {
			machine := c.name + "/" + k.status.Machine
			for _, task := range k.running() {
				if machineOf[task] != "" {
					g.t.Errorf("%s runs on %s and on %s", task, machineOf[task], machine)
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

// checkMayRun checks that a task may still run on a machine of a cell, and records that its
// job was lent. The caller holds the lock.
func (g *cellGroup) checkMayRun(j *cellJob, c *cell, task, machine string) {
	if c != j.home {
		j.lent = true
	}
	if !j.cancelledAt.IsZero() && time.Since(j.cancelledAt) > 30*time.Second {
		g.t.Errorf("%s runs %v after its cancellation", task, time.Since(j.cancelledAt))
	}
	if j.endPhase == api.JobDone || j.endPhase != "" && c != j.home {
		g.t.Errorf("%s runs on %s though its job is answered as %s", task, machine, j.endPhase)
	}
}

// job returns a job by its id, or nil.
func (g *cellGroup) job(id string) *cellJob {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.jobs[id]
}

// recordPhase checks and records the phase of a job that a user got as an answer.
func (g *cellGroup) recordPhase(j *cellJob, phase string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if j.endPhase != "" && phase != j.endPhase {
		g.t.Errorf("%s was answered as %s, and now as %s", j.spec.ID, j.endPhase, phase)
	}
	if phase == api.JobDone || phase == api.JobCancelled {
		j.endPhase = phase
	}
	if phase == api.JobCancelled && j.cancelledAt.IsZero() {
		j.cancelledAt = time.Now()
	}
}

// submit submits a job in a cell until it is accepted.
func (g *cellGroup) submit(c *cell, s *api.JobSpec, takes time.Duration) {
	g.t.Helper()
	g.mu.Lock()
	g.jobs[s.ID] = &cellJob{home: c, spec: s, duration: takes}
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
	g.t.Fatalf("%s not accepted", s.ID)
}

// poll requests a job's state at each node of its cell, and checks the answers. It returns the
// last of them.
func (g *cellGroup) poll(id string) string {
	g.t.Helper()
	j := g.job(id)
	last := ""
	for _, n := range j.home.currentNodes() {
		phase := j.home.phase(n, id)
		switch phase {
		case api.JobPending, api.JobRunning, api.JobDone, api.JobCancelled:
		case api.ErrUnknownJob.Error():
			g.t.Errorf("%s is forgotten", id)
		default:
			continue // not answered
		}
		last = phase
		g.recordPhase(j, phase)
	}
	return last
}

// cancel requests to cancel a job, until that is confirmed or for so many seconds.
func (g *cellGroup) cancel(id string, seconds int) string {
	j := g.job(id)
	for i := range seconds {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
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

// awaitAllEnded waits until all jobs have ended and no cell has a record of a loan left.
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
	g.t.Errorf("not ended within %v: %v, loans %v", within, g.unfinished(), g.loanRecords())
}

// unfinished lists the jobs of which no end was answered, with their cells.
func (g *cellGroup) unfinished() (ids []string) {
	for id, j := range g.jobs {
		if j.endPhase == "" {
			ids = append(ids, id+" of "+j.home.name)
		}
	}
	slices.Sort(ids)
	return ids
}

// loanRecords lists the records of active jobs, and of guests that have ended, in all cells.
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

// countLent counts the jobs of which tasks ran in another cell.
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

// wasLent reports whether a task of a job ran in another cell.
func (g *cellGroup) wasLent(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.jobs[id].lent
}

// submitBurst submits jobs of three to six tasks in a cell.
func (g *cellGroup) submitBurst(c *cell, first, jobs int, takes time.Duration) (ids []string) {
	for i := range jobs {
		s := spec(fmt.Sprintf("job-%d", first+i), 3+i%4) // some start in part
		if i%3 == 2 {
			s.Team = "blue"
		}
		g.submit(c, s, takes)
		ids = append(ids, s.ID)
	}
	return ids
}

// A cell with more work than machines lends to its neighbours; all jobs end, and no cell keeps
// a record of a loan.
func TestSpillover(t *testing.T) {
	simulateCells(t, []int{1, 3, 3}, func(g *cellGroup) {
		g.submitBurst(g.cells[0], 100, 12, 20*time.Second)
		g.awaitAllEnded(5 * time.Minute)
		if g.countLent() < 3 {
			t.Errorf("%d of %d jobs ran in another cell", g.countLent(), len(g.jobs))
		}
		for id, j := range g.jobs {
			if j.endPhase != api.JobDone {
				t.Errorf("%s: %s", id, j.endPhase)
			}
		}
	})
}

// awaitLent waits until one of some jobs runs as a guest in another cell, and returns its id.
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
	g.t.Fatalf("nothing was lent of %s", strings.Join(ids, " "))
	return ""
}
