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
	cut, deaf map[string]bool
	// repeat has requests arrive again later, with the age that they then have.
	repeat time.Duration
	// delay is how long a request takes to arrive.
	delay  time.Duration
	random *rand.Rand
	// took counts the requests that arrived.
	took int
}

// cell is one of the cells.
type cell struct {
	*cluster
	group *cellGroup
	name  string
	nodes []*node
	ks    []*worker
	// began is when tasks began, by machine and task.
	began map[string]time.Time
	// hangUntil is until when its machines neither report nor carry anything out.
	hangUntil time.Time
}

// cellJob is a job as its user knows it.
type cellJob struct {
	home *cell
	spec *api.JobSpec
	// takes is how long its tasks run.
	takes time.Duration
	// over is the final state that a user was told.
	over string
	// cancelled is set once a cancellation was confirmed.
	cancelled time.Time
	ranAway   bool
}

// simulateCells runs a test with cells of so many machines each.
func simulateCells(t *testing.T, machines []int, f func(g *cellGroup)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		g := &cellGroup{t: t, jobs: map[string]*cellJob{}, cut: map[string]bool{}, deaf: map[string]bool{}, random: rand.New(rand.NewPCG(1, 2))}
		for i, n := range machines {
			g.add(fmt.Sprint("cell-", string(rune('a'+i))), len(machines), n)
		}
		for _, c := range g.cells {
			c.begin()
		}
		ctx, cancel := context.WithCancel(context.Background())
		g.tasks.Go(func() { g.live(ctx) })
		defer func() {
			cancel()
			g.tasks.Wait()
			for _, c := range g.cells {
				for _, n := range c.at() {
					n.crash()
				}
			}
		}()
		time.Sleep(4 * time.Second)
		f(g)
	})
}

func (g *cellGroup) add(name string, of, machines int) {
	w := newCluster(g.t)
	w.teams = []config.Team{{Name: "red", CPUs: 8, LimitCPUs: 16}, {Name: "blue", CPUs: 4, LimitCPUs: 12}}
	c := &cell{cluster: w, group: g, name: name, began: map[string]time.Time{}}
	w.cells = &cells.Settings{Cell: name, MaxLoans: 50}
	for i := range of {
		if other := fmt.Sprint("cell-", string(rune('a'+i))); other != name {
			w.cells.Neighbours = append(w.cells.Neighbours, cells.Neighbour{Cell: other})
		}
	}
	w.link = cellLink{g, name}
	for i := range machines {
		c.ks = append(c.ks, w.worker(fmt.Sprintf("i-%s%02d", name[5:], i), "a", true))
	}
	g.cells = append(g.cells, c)
}

// begin starts the cell's two controllers.
func (c *cell) begin() {
	for i := range 2 {
		n := c.start(fmt.Sprintf("n%d", i))
		n.look(func(o *Controller) {
			o.Policy.Spill.After, o.Policy.Spill.Gain, o.Policy.Spill.GuestShare = 2*time.Second, 2*time.Second, 1
			o.Policy.MinCPUs = 1000
		})
		c.set(i, n)
	}
}

// crash ends a controller and starts it anew after a while.
func (c *cell) crash(i int, away time.Duration) {
	c.at()[i].crash()
	time.Sleep(away)
	n := c.start(fmt.Sprintf("n%d", i))
	n.look(func(o *Controller) {
		o.Policy.Spill.After, o.Policy.Spill.Gain, o.Policy.Spill.GuestShare = 2*time.Second, 2*time.Second, 1
		o.Policy.MinCPUs = 1000
	})
	c.set(i, n)
}

// leader is the controller that leads, or nil.
func (c *cell) leader() *node {
	for _, n := range c.at() {
		leads := false
		n.tryLook(func(o *Controller) { leads = o.holdsLease() && o.leaderTerm.loaded })
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
	cut, deaf, repeat := g.cut[way], g.deaf[way], g.repeat
	if repeat > 0 {
		repeat = time.Duration(g.random.Int64N(int64(repeat)))
	}
	g.took++
	g.mu.Unlock()
	if cut {
		return nil, errCut
	}
	target := g.cells[slices.IndexFunc(g.cells, func(c *cell) bool { return c.name == to })]
	if repeat > 0 {
		time.AfterFunc(repeat, func() { target.take(req) }) // a copy that comes late
	}
	answer, err := target.take(req)
	if deaf {
		return nil, errCut
	}
	return answer, err
}

// take has the cell's leader take a request in.
func (c *cell) take(req *loan.Request) (*loan.Response, error) {
	for _, n := range c.at() {
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

func (g *cellGroup) setDeaf(from, to string, deaf bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deaf[from+">"+to] = deaf
}

// live has all machines report and run their tasks, and checks what runs, ten times in
// three seconds.
func (g *cellGroup) live(ctx context.Context) {
	for ctx.Err() == nil {
		for _, c := range g.cells {
			for _, k := range c.working() {
				if ctx.Err() != nil {
					return
				}
				c.work(k)
			}
		}
		g.check()
		time.Sleep(300 * time.Millisecond)
	}
}

// working are the machines that do not hang.
func (c *cell) working() []*worker {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	if time.Now().Before(c.hangUntil) {
		return nil
	}
	return c.ks
}

// at are the cell's controllers as they are at present.
func (c *cell) at() []*node {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	return slices.Clone(c.nodes)
}

func (c *cell) set(i int, n *node) {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	for len(c.nodes) <= i {
		c.nodes = append(c.nodes, nil)
	}
	c.nodes[i] = n
}

// work ends the tasks of a machine whose time is over, and has it report.
func (c *cell) work(k *worker) {
	k.mu.Lock()
	for i := range k.rep.Tasks {
		task := &k.rep.Tasks[i]
		name := k.rep.Machine + " " + task.Task
		if task.Phase == api.TaskExited {
			delete(c.began, name)
			continue
		}
		if c.began[name].IsZero() {
			c.began[name] = time.Now()
		}
		id, _, _ := splitRef(task.Task)
		if j := c.group.job(id); j != nil && time.Since(c.began[name]) >= j.takes {
			task.Phase, task.Cause = api.TaskExited, api.CauseDone
		}
	}
	k.mu.Unlock()
	for _, n := range c.at() {
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
		for _, k := range c.ks {
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
					j.ranAway = true
				}
				if !j.cancelled.IsZero() && time.Since(j.cancelled) > 30*time.Second {
					g.t.Errorf("%s runs %v after its cancellation", task, time.Since(j.cancelled))
				}
				if j.over == api.JobDone || j.over != "" && c != j.home {
					g.t.Errorf("%s runs on %s though its job is called %s", task, machine, j.over)
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

// told notes what a user was told of a job.
func (g *cellGroup) told(j *cellJob, phase string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if j.over != "" && phase != j.over {
		g.t.Errorf("%s was called %s, and now %s", j.spec.ID, j.over, phase)
	}
	if phase == api.JobDone || phase == api.JobCancelled {
		j.over = phase
	}
	if phase == api.JobCancelled && j.cancelled.IsZero() {
		j.cancelled = time.Now()
	}
}

// order submits a job in a cell.
func (g *cellGroup) order(c *cell, s *api.JobSpec, takes time.Duration) {
	g.t.Helper()
	g.mu.Lock()
	g.jobs[s.ID] = &cellJob{home: c, spec: s, takes: takes}
	g.mu.Unlock()
	for range 20 {
		for _, n := range c.at() {
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
	for _, n := range j.home.at() {
		phase := j.home.phase(n, id)
		switch phase {
		case api.JobPending, api.JobRunning, api.JobDone, api.JobCancelled:
		case api.ErrUnknownJob.Error():
			g.t.Errorf("%s is forgotten", id)
		default:
			continue // not answered
		}
		last = phase
		g.told(j, phase)
	}
	return last
}

// cancel asks to cancel a job, until that is confirmed or for so many seconds.
func (g *cellGroup) cancel(id string, seconds int) string {
	j := g.job(id)
	for i := range seconds {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		st, err := j.home.at()[i%2].Cancel(ctx, id)
		cancel()
		if err == nil {
			g.told(j, st.Phase)
			return st.Phase
		}
		time.Sleep(time.Second)
	}
	return "not confirmed"
}

// settle waits until all jobs are over and no cell knows anything more of a loan.
func (g *cellGroup) settle(most time.Duration) {
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
		if j.over == "" {
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

// away counts the jobs of which tasks ran in another cell.
func (g *cellGroup) away() (count int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, j := range g.jobs {
		if j.ranAway {
			count++
		}
	}
	return count
}

func (g *cellGroup) ranAway(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.jobs[id].ranAway
}

// burst submits jobs of four tasks at a cell.
func (g *cellGroup) burst(c *cell, first, jobs int, takes time.Duration) (ids []string) {
	for i := range jobs {
		s := spec(fmt.Sprintf("job-%d", first+i), 3+i%4) // some begin in part
		if i%3 == 2 {
			s.Team = "blue"
		}
		g.order(c, s, takes)
		ids = append(ids, s.ID)
	}
	return ids
}

// A cell with more work than machines lends to its neighbours; all comes to one end, and
// nothing of it is left anywhere.
func TestSpillover(t *testing.T) {
	simulateCells(t, []int{1, 3, 3}, func(g *cellGroup) {
		g.burst(g.cells[0], 100, 12, 20*time.Second)
		g.settle(5 * time.Minute)
		if g.away() < 3 {
			t.Errorf("%d of %d jobs ran in another cell", g.away(), len(g.jobs))
		}
		for id, j := range g.jobs {
			if j.over != api.JobDone {
				t.Errorf("%s: %s", id, j.over)
			}
		}
	})
}

// lentOut waits until a job of a cell runs as a guest in another one, and returns it.
func (g *cellGroup) lentOut(ids []string) string {
	g.t.Helper()
	for range 60 {
		for _, id := range ids {
			if g.ranAway(id) {
				return id
			}
		}
		time.Sleep(time.Second)
	}
	g.t.Fatalf("nothing was lent of %s", strings.Join(ids, " "))
	return ""
}
