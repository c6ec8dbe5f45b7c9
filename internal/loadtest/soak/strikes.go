package main

import (
	"sync/atomic"
	"time"

	"example.org/ivytrestle/internal/loadtest/localprocess"
)

// leaderOr returns the node that leads or, if that is down or there is none, the node that the fault
// selects.
func (st *site) leaderOr(f *fault) *node {
	if n := st.nodeNamed(st.store.leader()); n != nil && n.isUp() {
		return n
	}
	return st.selected(f)
}

// selected returns the node that a fault selects or, if that is down, another one that is up.
func (st *site) selected(f *fault) *node {
	for i := range nodeCount {
		if n := st.nodes[(f.target+i)%nodeCount]; n.isUp() {
			return n
		}
	}
	return st.nodes[f.target]
}

func (n *node) isUp() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.down
}

// kill ends a node unless it is down, and reports whether it did.
func (n *node) kill() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.down {
		return false
	}
	n.down = true
	n.process.Kill()
	return true
}

// restart starts a node that kill has ended.
func (n *node) restart(binary string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.process.Start(binary); err != nil {
		panic(err) // the program has been started before
	}
	n.down = false
}

// nothing is the end of a fault that did not strike.
func nothing() {}

func count(n int) func() int { return func() int { return n } }

// killNode kills the first node that is up, beginning with a preferred one.
func (st *site) killNode(preferred *node) (end func(), affected func() int) {
	for _, n := range append([]*node{preferred}, st.nodes...) {
		if n.kill() {
			return func() { n.restart(st.binary) }, count(1)
		}
	}
	return nothing, count(0)
}

func strikeKillLeader(st *site, f *fault) (end func(), affected func() int) {
	return st.killNode(st.leaderOr(f))
}

func strikeKill(st *site, f *fault) (end func(), affected func() int) {
	return st.killNode(st.selected(f))
}

// strikeKillSeries kills each leader soon after it was elected, and lets it return at once.
func strikeKillSeries(st *site, f *fault) (end func(), affected func() int) {
	const downtime, interval = 300 * time.Millisecond, 2 * time.Second
	var killed atomic.Int64
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for begin := time.Now(); time.Since(begin) < f.duration; time.Sleep(interval) {
			restart, affected := st.killNode(st.leaderOr(f))
			killed.Add(int64(affected()))
			time.Sleep(downtime)
			restart()
		}
	}()
	return func() { <-ended }, func() int { return int(killed.Load()) }
}

// pauseNode makes a node stand still.
func pauseNode(n *node) (end func(), affected func() int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.down {
		return nothing, count(0)
	}
	n.process.Pause()
	return n.process.Resume, count(1)
}

func strikePauseLeader(st *site, f *fault) (end func(), affected func() int) {
	return pauseNode(st.leaderOr(f))
}

func strikePause(st *site, f *fault) (end func(), affected func() int) {
	return pauseNode(st.selected(f))
}

// cut cuts links in the mode of a fault.
func cut(f *fault, links ...*localprocess.Link) (end func(), affected func() int) {
	before := int64(0)
	for _, l := range links {
		before += l.Affected()
		l.SetMode(f.mode)
	}
	end = func() {
		for _, l := range links {
			l.SetMode(localprocess.Open)
		}
	}
	return end, func() int {
		after := int64(0)
		for _, l := range links {
			after += l.Affected()
		}
		return int(after - before)
	}
}

func strikeCutStore(st *site, f *fault) (end func(), affected func() int) {
	return cut(f, st.selected(f).storeLink)
}

// strikeCutPeers cuts all links between a node and the other nodes, in both directions.
func strikeCutPeers(st *site, f *fault) (end func(), affected func() int) {
	n := st.selected(f)
	var links []*localprocess.Link
	for _, other := range st.nodes {
		if other != n {
			links = append(links, n.peerLinks[other.process.Name], other.peerLinks[n.process.Name])
		}
	}
	return cut(f, links...)
}

func strikeCutUsers(st *site, f *fault) (end func(), affected func() int) {
	return cut(f, st.leaderOr(f).userLink)
}

func strikeCutWorkers(st *site, f *fault) (end func(), affected func() int) {
	n := st.leaderOr(f)
	return cut(f, n.workerLinks[zones[0]], n.workerLinks[zones[1]])
}

func strikeCutAll(st *site, f *fault) (end func(), affected func() int) {
	n := st.leaderOr(f)
	links := n.links()
	for _, other := range st.nodes {
		if other != n {
			links = append(links, other.peerLinks[n.process.Name])
		}
	}
	return cut(f, links...)
}

// changeStore changes the faults of the store until the fault ends.
func changeStore(st *site, begin, end func(f *storeFaults)) (stop func(), affected func() int) {
	before := st.store.affectedCount()
	st.store.setFaults(begin)
	return func() { st.store.setFaults(end) }, func() int { return st.store.affectedCount() - before }
}

func strikeStoreDown(st *site, _ *fault) (end func(), affected func() int) {
	return changeStore(st, func(f *storeFaults) { f.down = true }, func(f *storeFaults) { f.down = false })
}

func strikeStoreSlow(st *site, f *fault) (end func(), affected func() int) {
	delay := time.Duration(f.size * float64(time.Second))
	return changeStore(st,
		func(f *storeFaults) { f.meanDelay += delay },
		func(f *storeFaults) { f.meanDelay -= delay })
}

func strikeStoreRefuses(st *site, f *fault) (end func(), affected func() int) {
	name := st.leaderOr(f).process.Name
	return changeStore(st,
		func(f *storeFaults) { f.refused[name] = true },
		func(f *storeFaults) { delete(f.refused, name) })
}

func strikeStoreRate(st *site, f *fault) (end func(), affected func() int) {
	share := f.size
	return changeStore(st, func(f *storeFaults) { f.rejectShare = share }, func(f *storeFaults) { f.rejectShare = 0 })
}

func strikeStoreLoses(st *site, f *fault) (end func(), affected func() int) {
	share := f.size
	return changeStore(st, func(f *storeFaults) { f.loseAnswers = share }, func(f *storeFaults) { f.loseAnswers = 0 })
}

func strikeStoreLate(st *site, f *fault) (end func(), affected func() int) {
	share := f.size
	return changeStore(st, func(f *storeFaults) { f.late = share }, func(f *storeFaults) { f.late = 0 })
}

// strikeMachines returns the function that gives a share of the machines a fault.
func strikeMachines(kind workerFault) strikeFunc {
	return func(st *site, f *fault) (end func(), affected func() int) {
		up := st.cloud.workers()
		chosen := make([]*worker, 0, len(up))
		for i := range max(1, int(f.size*float64(len(up)))) {
			if len(up) > 0 {
				chosen = append(chosen, up[(i+f.target)%len(up)])
			}
		}
		for _, w := range chosen {
			if kind == workerLost {
				st.cloud.lose(w)
			} else {
				w.setFault(kind)
			}
		}
		end = func() {
			for _, w := range chosen {
				w.setFault(workerHealthy)
			}
		}
		return end, count(len(chosen))
	}
}
