// Package config reads and checks the settings file that the platform hands
// to every controller.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"strings"
	"time"

	"example.org/ivytrestle/internal/jsonerror"
)

// Settings is the platform's settings file.
type Settings struct {
	Node       string   `json:"node"`
	Zone       string   `json:"site"`
	APIAddr    string   `json:"api_addr"`
	PeerListen string   `json:"peer_listen"`
	Peers      []Peer   `json:"peers"`
	Outside    Outside  `json:"outside"`
	Site       SiteInfo `json:"settings"`
}

// Peer is another controller.
type Peer struct {
	Node string `json:"node"`
	Zone string `json:"site"`
	Addr string `json:"addr"`
}

// Outside holds the addresses of the services that the region provides.
type Outside struct {
	Cloud string `json:"cloud"`
	State string `json:"state"`
}

// SiteInfo describes the deployment.
type SiteInfo struct {
	Nodes      int         `json:"nodes"`
	Zones      []string    `json:"zones"`
	Teams      []Team      `json:"teams"`
	Objectives []Objective `json:"objectives"`
	Workers    Workers     `json:"workers"`
	State      StateLimits `json:"state"`
	Cloud      CloudLimits `json:"cloud"`
	Limits     Limits      `json:"limits"`
	ClockOffMs float64     `json:"clock_off_ms"`
}

// Team is a share of the cluster: a guarantee and a limit.
type Team struct {
	Name      string  `json:"name"`
	CPUs      float64 `json:"cpus"`
	LimitCPUs float64 `json:"cpus_max"`
	GPUs      float64 `json:"gpus"`
	LimitGPUs float64 `json:"gpus_max"`
}

// Objective is one of the users' aims.
type Objective struct {
	Kind     string  `json:"kind"`
	Class    string  `json:"class"`
	Share    float64 `json:"share"`
	Times    float64 `json:"times"`
	WithinS  float64 `json:"within_s"`
	WithinMs float64 `json:"within_ms"`
}

// Workers holds the workers' intervals.
type Workers struct {
	HeartbeatS float64 `json:"report_s"`
	LeaseS     float64 `json:"lease_s"`
	CancelS    float64 `json:"cancel_s"`
}

// StateLimits bounds the use of the state service. Once the settings are parsed
// it holds the smaller of the present limits and those to come: the service
// changes over without notice, and refuses what is beyond its limits for good.
type StateLimits struct {
	RPS      float64 `json:"rps"`
	WriteRPS float64 `json:"write_rps"`
	ValueKB  float64 `json:"value_kb"`
	TxnOps   int     `json:"txn_ops"`
	// Next are the limits to come as the settings tell them.
	Next *NextStateLimits `json:"next"`
}

// NextStateLimits are limits that the state service will have from some moment
// on. What is absent stays as it is.
type NextStateLimits struct {
	RPS      *float64 `json:"rps"`
	WriteRPS *float64 `json:"write_rps"`
	ValueKB  *float64 `json:"value_kb"`
	TxnOps   *int     `json:"txn_ops"`
}

// lower takes the limits to come into the present ones.
func (l *StateLimits) lower() {
	n := l.Next
	if n == nil {
		return
	}
	lowerTo(&l.RPS, n.RPS)
	lowerTo(&l.WriteRPS, n.WriteRPS)
	lowerTo(&l.ValueKB, n.ValueKB)
	lowerTo(&l.TxnOps, n.TxnOps)
}

func lowerTo[T int | float64](limit, next *T) {
	if next != nil {
		*limit = min(*limit, *next)
	}
}

// check tells whether a deployment can work within limits.
func (l *StateLimits) check(field string) error {
	for _, p := range []struct {
		field string
		v     float64
	}{{"rps", l.RPS}, {"write_rps", l.WriteRPS}, {"value_kb", l.ValueKB}, {"txn_ops", float64(l.TxnOps)}} {
		if !(p.v > 0) || math.IsInf(p.v, 0) {
			return fmt.Errorf("field %s.%s: must be above 0, found %v", field, p.field, p.v)
		}
	}
	if l.TxnOps < minTxnOps {
		return fmt.Errorf("field %s.txn_ops: at least %d are needed, found %d", field, minTxnOps, l.TxnOps)
	}
	if l.ValueKB < minValueKB {
		return fmt.Errorf("field %s.value_kb: at least %v is needed for one record, found %v", field, minValueKB, l.ValueKB)
	}
	return nil
}

// checkNext checks the limits to come, each where it is told.
func (l *StateLimits) checkNext(field string) error {
	if l.Next == nil {
		return nil
	}
	next := *l // what is absent has been checked with the present limits
	n := l.Next
	for _, p := range []struct{ to, from *float64 }{{&next.RPS, n.RPS}, {&next.WriteRPS, n.WriteRPS}, {&next.ValueKB, n.ValueKB}} {
		if p.from != nil {
			*p.to = *p.from
		}
	}
	if n.TxnOps != nil {
		next.TxnOps = *n.TxnOps
	}
	return next.check(field)
}

// CloudLimits bounds the use of the cloud.
type CloudLimits struct {
	RPS      float64 `json:"rps"`
	ListLagS float64 `json:"list_lag_s"`
}

// Limits bounds the process itself.
type Limits struct {
	Cores   float64 `json:"cores"`
	RAMMB   float64 `json:"ram_mb"`
	FDLimit int     `json:"fd_limit"`
}

// minEntries is what a table of machines or of what concerns them holds at the
// least, however little memory there is: a cell may have some 4,000 machines.
const minEntries = 4096

// Entries is how many entries of so many bytes each fit a share of the memory.
func (l Limits) Entries(share float64, bytes int) int {
	return max(minEntries, int(l.RAMMB*(1<<20)*share)/bytes)
}

// Duration turns a number of seconds into a duration.
func Duration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// HeartbeatInterval is the interval at which workers report.
func (w Workers) HeartbeatInterval() time.Duration { return Duration(w.HeartbeatS) }

// Lease is how long a worker keeps its tasks without an answer.
func (w Workers) Lease() time.Duration { return Duration(w.LeaseS) }

// Load reads and checks a settings file.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s, err := Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	return s, nil
}

// Parse checks the contents of a settings file. Unknown fields are ignored.
func Parse(raw []byte) (*Settings, error) {
	var s Settings
	if err := json.Unmarshal(raw, &s); err != nil {
		return nil, jsonerror.Describe(raw, err)
	}
	if err := s.check(); err != nil {
		return nil, err
	}
	s.Site.State.lower()
	return &s, nil
}

func (s *Settings) check() error {
	if s.Node == "" {
		return errors.New("field node: missing")
	}
	for _, a := range []struct{ field, addr string }{
		{"api_addr", s.APIAddr}, {"peer_listen", s.PeerListen},
		{"outside.cloud", s.Outside.Cloud}, {"outside.state", s.Outside.State},
	} {
		if err := checkAddr(a.addr); err != nil {
			return fmt.Errorf("field %s: %w", a.field, err)
		}
	}
	seen := map[string]bool{s.Node: true}
	for i, p := range s.Peers {
		if p.Node == "" || seen[p.Node] {
			return fmt.Errorf("field peers[%d].node: %q is empty or named twice", i, p.Node)
		}
		seen[p.Node] = true
		if err := checkAddr(p.Addr); err != nil {
			return fmt.Errorf("field peers[%d].addr: %w", i, err)
		}
	}
	return s.Site.check()
}

func (s *SiteInfo) check() error {
	if err := s.checkTeams(); err != nil {
		return err
	}
	if err := s.checkAmounts(); err != nil {
		return err
	}
	if err := s.State.check("settings.state"); err != nil {
		return err
	}
	if err := s.State.checkNext("settings.state.next"); err != nil {
		return err
	}
	if err := s.Limits.check(); err != nil {
		return err
	}
	if s.Workers.LeaseS <= s.Workers.HeartbeatS {
		return fmt.Errorf("field settings.workers.lease_s: %v is not longer than report_s %v", s.Workers.LeaseS, s.Workers.HeartbeatS)
	}
	if s.Cloud.ListLagS < 0 || s.ClockOffMs < 0 {
		return errors.New("field settings: cloud.list_lag_s and clock_off_ms must not be negative")
	}
	return nil
}

func (s *SiteInfo) checkTeams() error {
	if len(s.Teams) == 0 {
		return errors.New("field settings.teams: no team")
	}
	names := map[string]bool{}
	for i, t := range s.Teams {
		at := fmt.Sprintf("field settings.teams[%d]", i)
		if t.Name == "" || names[t.Name] {
			return fmt.Errorf("%s.name: %q is empty or named twice", at, t.Name)
		}
		names[t.Name] = true
		if !notNegative(t.CPUs) || !notNegative(t.LimitCPUs) || !notNegative(t.GPUs) || !notNegative(t.LimitGPUs) {
			return fmt.Errorf("%s: amounts must be finite and not negative", at)
		}
		if t.CPUs > t.LimitCPUs || t.GPUs > t.LimitGPUs {
			return fmt.Errorf("%s: the guarantee is above the limit", at)
		}
	}
	return nil
}

// checkAmounts checks that what every controller needs is there and positive.
func (s *SiteInfo) checkAmounts() error {
	for _, amount := range []struct {
		field string
		value float64
	}{
		{"workers.report_s", s.Workers.HeartbeatS},
		{"workers.lease_s", s.Workers.LeaseS},
		{"workers.cancel_s", s.Workers.CancelS},
		{"cloud.rps", s.Cloud.RPS},
		{"limits.cores", s.Limits.Cores},
		{"limits.ram_mb", s.Limits.RAMMB},
		{"limits.fd_limit", float64(s.Limits.FDLimit)},
	} {
		if !(amount.value > 0) || math.IsInf(amount.value, 0) {
			return fmt.Errorf("field settings.%s: must be above 0, found %v", amount.field, amount.value)
		}
	}
	return nil
}

// check refuses a process too small to work.
func (l Limits) check() error {
	if l.FDLimit < minSockets {
		return fmt.Errorf("field settings.limits.fd_limit: at least %d are needed, found %d", minSockets, l.FDLimit)
	}
	if l.Cores < minCores {
		return fmt.Errorf("field settings.limits.cores: at least %v are needed to answer anybody, found %v", minCores, l.Cores)
	}
	if l.RAMMB < minRAMMB {
		return fmt.Errorf("field settings.limits.ram_mb: at least %v are needed to start, found %v", minRAMMB, l.RAMMB)
	}
	return nil
}

const (
	// minValueKB holds the record of one job.
	minValueKB = 1.0
	// minTxnOps is what a cancellation takes.
	minTxnOps = 3
	// minSockets are those for the outside services, the other controllers
	// and a few users and workers.
	minSockets = 64
	// minCores was measured with five machines: at half of it nothing was ever
	// accepted, with it little. What a fleet needs is in docs/operations.md.
	minCores = 0.0005
	// minRAMMB is less than what a controller that has nothing to do holds.
	minRAMMB = 3.0
)

func notNegative(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }

func checkAddr(addr string) error {
	if addr == "" {
		return errors.New("missing")
	}
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("%q is not an address: %w", addr, err)
	}
	if host == "" || port == "" || strings.ContainsAny(addr, " \t") {
		return fmt.Errorf("%q is not an address of the form host:port", addr)
	}
	return nil
}

// HasTeam tells whether the site has a team of that name.
func (s *SiteInfo) HasTeam(name string) bool {
	for _, t := range s.Teams {
		if t.Name == name {
			return true
		}
	}
	return false
}
