package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/loadtest/localprocess"
)

// The simulated site.
const (
	nodeCount = 3
	smallType = "small"
	largeType = "large"
	smallCPUs = 8.0
	largeCPUs = 16.0
	// leaderLeaseS is the lifetime of the leader lease in seconds.
	leaderLeaseS = 10.0
)

var zones = []string{"a", "b"}

// site is a deployment of real controllers with simulated services, machines and users around it.
type site struct {
	binary  string
	info    config.SiteInfo
	random  *lockedRand
	history *history
	nodes   []*node
	store   *store
	cloud   *cloud
	users   *users
	// tasksDone holds the references of the tasks that have completed: results are kept.
	tasksDone sync.Map
	servers   []*http.Server
	links     []*localprocess.Link
	// done is closed at the end of the run.
	done chan struct{}
}

// node is a controller with the links to it and from it.
type node struct {
	process           *localprocess.Process
	zone              string
	apiAddr, peerAddr string
	// userLink and workerLinks, by the zone of the workers, lead to the controller, storeLink, cloudLink
	// and peerLinks, by node, from it to the others.
	userLink, storeLink, cloudLink *localprocess.Link
	workerLinks                    map[string]*localprocess.Link
	peerLinks                      map[string]*localprocess.Link

	mu   sync.Mutex
	down bool
}

// links returns all links to and from the controller.
func (n *node) links() []*localprocess.Link {
	all := []*localprocess.Link{n.userLink, n.storeLink, n.cloudLink}
	all = slices.AppendSeq(all, maps.Values(n.workerLinks))
	return slices.AppendSeq(all, maps.Values(n.peerLinks))
}

// siteInfo returns the settings of the site. Sites with odd seeds have the times of a site with
// frequent heartbeats and those with even seeds of one with rare ones, shortened in proportion.
func siteInfo(seed uint64, workers int) config.SiteInfo {
	times := config.Workers{HeartbeatS: 1, LeaseS: 7.2, CancelS: 20.5}
	if seed%2 == 0 {
		times = config.Workers{HeartbeatS: 2.5, LeaseS: 12, CancelS: 24.5}
	}
	// A hundred workers or more have the budget of a large site.
	state := config.KVLimits{RPS: 180, WriteRPS: 40, ValueKB: 8, TxnOps: 12}
	limits := config.Limits{Cores: 0.5, RAMMB: 152, FDLimit: 1183}
	if workers >= 100 {
		state = config.KVLimits{RPS: 300, WriteRPS: 100, ValueKB: 16, TxnOps: 20}
		limits = config.Limits{Cores: 0.5, RAMMB: 322, FDLimit: 2887}
	}
	guarantee := float64(workers) * smallCPUs / 4
	return config.SiteInfo{
		Nodes: nodeCount,
		Zones: zones,
		Teams: []config.Team{
			{Name: "red", CPUs: guarantee, LimitCPUs: 3 * guarantee},
			{Name: "blue", CPUs: guarantee, LimitCPUs: guarantee},
		},
		Workers: times,
		State:   state,
		Cloud:   config.CloudLimits{RPS: 10, ListLagS: listLag.Seconds()},
		Limits:  limits,
	}
}

// newSite starts the services and machines, and writes the files of the controllers into dir. It does
// not start the controllers yet.
func newSite(o options, dir string) (*site, error) {
	seed, workers := o.seed, o.workers
	st := &site{
		binary:  o.binary,
		info:    siteInfo(seed, workers),
		random:  newLockedRand(seed, 1),
		history: newHistory(),
		done:    make(chan struct{}),
	}
	st.store = newStore(st.info.State, newLockedRand(seed, 2))
	st.users = newUsers(st)
	st.cloud = &cloud{
		site: st,
		types: []api.MachineType{
			newMachineType(smallType, smallCPUs, zones...),
			newMachineType(largeType, largeCPUs, zones[0]),
		},
		maxMachines: 2 * workers,
		launched:    map[string][]string{},
	}
	for i := range nodeCount {
		if err := st.addNode(i); err != nil {
			return nil, err
		}
	}
	for i := range nodeCount {
		if err := st.writeFiles(i, workers, dir); err != nil {
			return nil, err
		}
	}
	for i := range workers {
		typ, zone := st.cloud.types[0], zones[i%len(zones)]
		if i%3 == 2 {
			typ, zone = st.cloud.types[1], zones[0]
		}
		st.cloud.rent(typ, zone, i%4 == 3, 0)
	}
	return st, nil
}

// addNode adds a controller with its links, except those to other controllers.
func (st *site) addNode(i int) error {
	n := &node{
		process:     &localprocess.Process{Name: fmt.Sprint("n", i)},
		zone:        zones[i%len(zones)],
		apiAddr:     localprocess.NextAddr(),
		peerAddr:    localprocess.NextAddr(),
		workerLinks: map[string]*localprocess.Link{},
		peerLinks:   map[string]*localprocess.Link{},
	}
	st.nodes = append(st.nodes, n)
	storeAddr, err := st.serve(st.store.handlerFor(n.process.Name))
	if err != nil {
		return err
	}
	cloudAddr, err := st.serve(st.cloud.handler())
	if err != nil {
		return err
	}
	if n.storeLink, err = st.newLink(storeAddr); err != nil {
		return err
	}
	if n.cloudLink, err = st.newLink(cloudAddr); err != nil {
		return err
	}
	if n.userLink, err = st.newLink(n.apiAddr); err != nil {
		return err
	}
	for _, zone := range zones {
		if n.workerLinks[zone], err = st.newLink(n.apiAddr); err != nil {
			return err
		}
	}
	return nil
}

func (st *site) newLink(target string) (*localprocess.Link, error) {
	l, err := localprocess.NewRepeatingLink(target, st.drawCopy)
	if err == nil {
		st.links = append(st.links, l)
	}
	return l, err
}

// messageCopyShare is the share of messages of which a link delivers a copy later.
const messageCopyShare = 0.02

// drawCopy decides whether a copy of a message arrives later, and after which delay.
func (st *site) drawCopy() (delay time.Duration, ok bool) {
	if !st.random.chance(messageCopyShare) {
		return 0, false
	}
	return st.random.between(minCopyDelay, maxCopyDelay), true
}

// serve serves HTTP on a free port until the end of the run, and returns the address.
func (st *site) serve(handler http.Handler) (string, error) {
	listener, err := localprocess.Listen()
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute, ErrorLog: discardLog()}
	st.servers = append(st.servers, server)
	go func(l net.Listener) { _ = server.Serve(l) }(listener) // returns when the server is closed
	return listener.Addr().String(), nil
}

// writeFiles writes the files of a controller and sets its arguments.
func (st *site) writeFiles(i, workers int, dir string) error {
	n := st.nodes[i]
	settings := config.Settings{
		Node:       n.process.Name,
		Zone:       n.zone,
		APIAddr:    n.apiAddr,
		PeerListen: n.peerAddr,
		Services:   config.Services{Cloud: n.cloudLink.Addr, State: n.storeLink.Addr},
		Site:       st.info,
	}
	for _, other := range st.nodes {
		if other == n {
			continue
		}
		l, err := st.newLink(other.peerAddr)
		if err != nil {
			return err
		}
		n.peerLinks[other.process.Name] = l
		peer := config.Peer{Node: other.process.Name, Zone: other.zone, Addr: l.Addr}
		settings.Peers = append(settings.Peers, peer)
	}
	policy := filepath.Join(dir, "policy.star")
	text := fmt.Sprintf("min_cpus = %g\nleader_lease_s = %g\n", float64(workers)*smallCPUs, leaderLeaseS)
	if err := os.WriteFile(policy, []byte(text), 0o644); err != nil {
		return err
	}
	path := filepath.Join(dir, n.process.Name+".json")
	n.process.Args = []string{"--policy", policy, "--config", path}
	n.process.LogPath = filepath.Join(dir, n.process.Name+".log")
	n.process.Env = []string{"LOG_LEVEL=debug"}
	return writeJSON(path, &settings)
}

func writeJSON(path string, value any) error {
	raw, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return os.WriteFile(path, raw, 0o644)
}

// sleep waits, and returns false if the run has ended before.
func (st *site) sleep(d time.Duration) bool {
	select {
	case <-st.done:
		return false
	case <-time.After(d):
		return true
	}
}

// nodeNamed returns the controller of a name, or nil.
func (st *site) nodeNamed(name string) *node {
	i := slices.IndexFunc(st.nodes, func(n *node) bool { return n.process.Name == name })
	if i < 0 {
		return nil
	}
	return st.nodes[i]
}

// close ends everything.
func (st *site) close() {
	for _, n := range st.nodes {
		n.process.Resume()
		n.process.Kill()
	}
	st.cloud.close()
	for _, l := range st.links {
		closeQuietly(l)
	}
	for _, server := range st.servers {
		_ = server.Close() // all its clients have ended
	}
}
