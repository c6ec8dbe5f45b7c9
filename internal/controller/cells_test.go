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
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/loan"
	"example.org/ivytrestle/internal/records"
)

// cellGroup is some cells that lend each other capacity, with machines that run tasks, and
// with a checker over all of them.
type cellGroup struct {
	t     *testing.T
	cells []*cell
	// tasks are the group's own goroutines, which end before its nodes do.
	tasks sync.WaitGroup

	// mu guards what follows, and the jobs' own fields.
	mu   sync.Mutex
	jobs map[string]*cellJob
	// cut are the ways, from cell to cell, on which nothing arrives; deaf those on which
	// no answer comes back.
	cut, responseCut map[string]bool
	// repeat has requests arrive again later, with the age that they then have.
	repeat time.Duration
	// delay is how long a request takes to arrive.
	delay  time.Duration
	random *rand.Rand
	// delivered counts the requests that arrived.
	delivered int
}

// cell is one of the cells.
type cell struct {
	*cluster
	group  *cellGroup
	name   string
	nodes  []*node
	agents []*worker
	// startedAt is when tasks began, by machine and task.
	startedAt map[string]time.Time
	// hangUntil is until when its machines neither report nor carry anything out.
	hangUntil time.Time
}

// cellJob is a job as its user knows it.
type cellJob struct {
	home *cell
	spec *api.JobSpec
	// duration is how long its tasks run.
	duration time.Duration
	// endPhase is the final state that a user was told.
	endPhase string
	// cancelledAt is set once a cancellation was confirmed.
	cancelledAt time.Time
	lent        bool
}

// simulateCells runs a test with cells of so many machines each.
func simulateCells(t *testing.T, machines []int, f func(g *cellGroup)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		g := &cellGroup{t: t, jobs: map[string]*cellJob{}, cut: map[string]bool{}, responseCut: map[string]bool{}, random: rand.New(rand.NewPCG(1, 2))}
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
	w := newCluster(g.t)
	w.teams = []config.Team{{Name: "red", CPUs: 8, LimitCPUs: 16}, {Name: "blue", CPUs: 4, LimitCPUs: 12}}
	c := &cell{cluster: w, group: g, name: name, startedAt: map[string]time.Time{}}
	w.cells = &cells.Settings{Cell: name, MaxLoans: 50}
	for i := range of {
		if other := fmt.Sprint("cell-", string(rune('a'+i))); other != name {
			w.cells.Neighbours = append(w.cells.Neighbours, cells.Neighbour{Cell: other})
		}
	}
	w.link = cellLink{g, name}
	for i := range machines {
		c.agents = append(c.agents, w.worker(fmt.Sprintf("i-%s%02d", name[5:], i), "a", true))
	}
	g.cells = append(g.cells, c)
}

// startNodes starts the cell's two controllers.
func (c *cell) startNodes() {
	for i := range 2 {
		n := c.start(fmt.Sprintf("n%d", i))
		n.look(func(o *Controller) {
			o.Policy.Spill.After, o.Policy.Spill.Gain, o.Policy.Spill.GuestShare = 2*time.Second, 2*time.Second, 1
			o.Policy.MinCPUs = 1000
		})
		c.setNode(i, n)
	}
}

// restartNode ends a controller and starts it anew after a while.
func (c *cell) restartNode(i int, away time.Duration) {
	c.currentNodes()[i].crash()
	time.Sleep(away)
	n := c.start(fmt.Sprintf("n%d", i))
	n.look(func(o *Controller) {
		o.Policy.Spill.After, o.Policy.Spill.Gain, o.Policy.Spill.GuestShare = 2*time.Second, 2*time.Second, 1
		o.Policy.MinCPUs = 1000
	})
	c.setNode(i, n)
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

// cellLink is one cell's way to the others.
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
	way := k.from + ">" + to
	cut, deaf, repeat := g.cut[way], g.responseCut[way], g.repeat
	if repeat > 0 {
		repeat = time.Duration(g.random.Int64N(int64(repeat)))
	}
	g.delivered++
	g.mu.Unlock()
	if cut {
		return nil, errCut
	}
	target := g.cells[slices.IndexFunc(g.cells, func(c *cell) bool { return c.name == to })]
	if repeat > 0 {
		time.AfterFunc(repeat, func() { target.deliverLoans(req) }) // a copy that comes late
	}
	answer, err := target.deliverLoans(req)
	if deaf {
		return nil, errCut
	}
	return answer, err
}

// deliverLoans has the cell's leader take a request in.
func (c *cell) deliverLoans(req *loan.Request) (*loan.Response, error) {
	for _, n := range c.currentNodes() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		answer, err := n.Loans(ctx, req)
		cancel()
		if err == nil {
			return answer, nil
		}
	}
	return nil, api.ErrUnavailable
}

func (g *cellGroup) setCut(from, to string, cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut[from+">"+to] = cut
}

func (g *cellGroup) setResponseCut(from, to string, deaf bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.responseCut[from+">"+to] = deaf
}

// runMachines has all machines report and run their tasks, and checks what runs, ten times in
// three seconds.
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

// runAgent ends the tasks of a machine whose time is over, and has it report.
func (c *cell) runAgent(k *worker) {
	k.mu.Lock()
	for i := range k.rep.Tasks {
		task := &k.rep.Tasks[i]
		name := k.rep.Machine + " " + task.Task
		if task.Phase == api.TaskExited {
			delete(c.startedAt, name)
			continue
		}
		if c.startedAt[name].IsZero() {
			c.startedAt[name] = time.Now()
		}
		id, _, _ := splitRef(task.Task)
		if j := c.group.job(id); j != nil && time.Since(c.startedAt[name]) >= j.duration {
			task.Phase, task.Cause = api.TaskExited, api.CauseDone
		}
	}
	k.mu.Unlock()
	for _, n := range c.currentNodes() {
		if commands, err := k.send(n); err == nil {
			k.obey(commands)
			return
		}
	}
}

// check looks at all machines of all cells: each task is on one at the most, each team
// within its limit, and nothing runs long after it was cancelled.
func (g *cellGroup) check() {
	g.mu.Lock()
	defer g.mu.Unlock()
	on := map[string]string{}
	used := map[string]float64{}
	for _, c := range g.cells {
		for _, k := range c.agents {
			for _, task := range k.running() {
				machine := c.name + "/" + k.rep.Machine
				if on[task] != "" {
					g.t.Errorf("%s runs on %s and on %s", task, on[task], machine)
				}
				on[task] = machine
				id, _, _ := splitRef(task)
				j := g.jobs[id]
				used[j.home.name+" "+j.spec.Team] += j.spec.CPUs
				if c != j.home {
					j.lent = true
				}
				if !j.cancelledAt.IsZero() && time.Since(j.cancelledAt) > 30*time.Second {
					g.t.Errorf("%s runs %v after its cancellation", task, time.Since(j.cancelledAt))
				}
				if j.endPhase == api.JobDone || j.endPhase != "" && c != j.home {
					g.t.Errorf("%s runs on %s though its job is called %s", task, machine, j.endPhase)
				}
			}
		}
	}
	for _, c := range g.cells {
		for _, team := range c.teams {
			if used[c.name+" "+team.Name] > team.LimitCPUs {
				g.t.Errorf("team %s of %s uses %v of %v", team.Name, c.name, used[c.name+" "+team.Name], team.LimitCPUs)
			}
		}
	}
}

// job is a job by its name.
func (g *cellGroup) job(id string) *cellJob {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.jobs[id]
}

// recordPhase notes what a user was told of a job.
func (g *cellGroup) recordPhase(j *cellJob, phase string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if j.endPhase != "" && phase != j.endPhase {
		g.t.Errorf("%s was called %s, and now %s", j.spec.ID, j.endPhase, phase)
	}
	if phase == api.JobDone || phase == api.JobCancelled {
		j.endPhase = phase
	}
	if phase == api.JobCancelled && j.cancelledAt.IsZero() {
		j.cancelledAt = time.Now()
	}
}

// submit submits a job in a cell.
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

// poll asks each node of a job's cell, and checks what it says.
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

// cancel asks to cancel a job, until that is confirmed or for so many seconds.
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

// awaitAllEnded waits until all jobs are over and no cell knows anything more of a loan.
func (g *cellGroup) awaitAllEnded(most time.Duration) {
	g.t.Helper()
	for until := time.Now().Add(most); time.Now().Before(until); time.Sleep(2 * time.Second) {
		left := []string{}
		for id := range g.jobs {
			if p := g.poll(id); p != api.JobDone && p != api.JobCancelled {
				left = append(left, id)
			}
		}
		if len(left) == 0 && len(g.loanRecords()) == 0 {
			return
		}
	}
	g.t.Errorf("not over: %v, loans %v", g.unfinished(), g.loanRecords())
}

func (g *cellGroup) unfinished() (ids []string) {
	for id, j := range g.jobs {
		if j.endPhase == "" {
			ids = append(ids, id+" of "+j.home.name)
		}
	}
	slices.Sort(ids)
	return ids
}

// loanRecords are the records of active jobs, and of guests that have ended, in all cells.
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

func (g *cellGroup) wasLent(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.jobs[id].lent
}

// submitBurst submits jobs of four tasks at a cell.
func (g *cellGroup) submitBurst(c *cell, first, jobs int, takes time.Duration) (ids []string) {
	for i := range jobs {
		s := spec(fmt.Sprintf("job-%d", first+i), 3+i%4) // some begin in part
		if i%3 == 2 {
			s.Team = "blue"
		}
		g.submit(c, s, takes)
		ids = append(ids, s.ID)
	}
	return ids
}

// A cell with more work than machines lends to its neighbours; all comes to one end, and
// nothing of it is left anywhere.
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

// awaitLent waits until a job of a cell runs as a guest in another one, and returns it.
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
