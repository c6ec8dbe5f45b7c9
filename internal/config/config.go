// Package config reads and validates the settings file that the platform gives to each
// controller.
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
	Services   Services `json:"outside"`
	Site       SiteInfo `json:"settings"`
}

// Peer is another controller.
type Peer struct {
	Node string `json:"node"`
	Zone string `json:"site"`
	Addr string `json:"addr"`
}

// Services holds the addresses of the region's services: the cloud and the key-value store.
type Services struct {
	Cloud string `json:"cloud"`
	State string `json:"state"`
}

// SiteInfo describes the deployment.
type SiteInfo struct {
	Nodes         int         `json:"nodes"`
	Zones         []string    `json:"zones"`
	Teams         []Team      `json:"teams"`
	Objectives    []Objective `json:"objectives"`
	Workers       Workers     `json:"workers"`
	State         KVLimits    `json:"state"`
	Cloud         CloudLimits `json:"cloud"`
	Limits        Limits      `json:"limits"`
	ClockOffsetMs float64     `json:"clock_off_ms"`
}

// Team is a share of the cluster: a guarantee and a limit.
type Team struct {
	Name      string  `json:"name"`
	CPUs      float64 `json:"cpus"`
	LimitCPUs float64 `json:"cpus_max"`
	GPUs      float64 `json:"gpus"`
	LimitGPUs float64 `json:"gpus_max"`
}

// Objective is a service-level objective of a class of jobs.
type Objective struct {
	Kind     string  `json:"kind"`
	Class    string  `json:"class"`
	Share    float64 `json:"share"`
	Times    float64 `json:"times"`
	WithinS  float64 `json:"within_s"`
	WithinMs float64 `json:"within_ms"`
}

// Workers holds the intervals of worker agents.
type Workers struct {
	HeartbeatS float64 `json:"report_s"`
	LeaseS     float64 `json:"lease_s"`
	CancelS    float64 `json:"cancel_s"`
}

// KVLimits bounds the use of the key-value store. Once the settings are parsed it holds
// the smaller of the current limits and the announced ones: the store changes over without
// notice, and always rejects what is beyond its limits.
type KVLimits struct {
	RPS      float64 `json:"rps"`
	WriteRPS float64 `json:"write_rps"`
	ValueKB  float64 `json:"value_kb"`
	TxnOps   int     `json:"txn_ops"`
	// Next holds the announced limits as read from the settings.
	Next *NextKVLimits `json:"next"`
}

// NextKVLimits holds limits that the key-value store will have at some later time. An
// absent one does not change.
type NextKVLimits struct {
	RPS      *float64 `json:"rps"`
	WriteRPS *float64 `json:"write_rps"`
	ValueKB  *float64 `json:"value_kb"`
	TxnOps   *int     `json:"txn_ops"`
}

// applyNext lowers the limits to the announced ones.
func (l *KVLimits) applyNext() {
	next := l.Next
	if next == nil {
		return
	}
	lowerLimit(&l.RPS, next.RPS)
	lowerLimit(&l.WriteRPS, next.WriteRPS)
	lowerLimit(&l.ValueKB, next.ValueKB)
	lowerLimit(&l.TxnOps, next.TxnOps)
}

func lowerLimit[T int | float64](limit, next *T) {
	if next != nil {
		*limit = min(*limit, *next)
	}
}

// check returns an error if a deployment cannot work within the limits; field is their
// place in the settings.
func (l *KVLimits) check(field string) error {
	for _, limit := range []struct {
		name  string
		value float64
	}{
		{"rps", l.RPS},
		{"write_rps", l.WriteRPS},
		{"value_kb", l.ValueKB},
		{"txn_ops", float64(l.TxnOps)},
	} {
		if !isFinitePositive(limit.value) {
			return fmt.Errorf("field %s.%s: must be above 0, found %v", field, limit.name, limit.value)
		}
	}
	if l.TxnOps < minTxnOps {
		return fmt.Errorf("field %s.txn_ops: at least %d are needed, found %d", field, minTxnOps, l.TxnOps)
	}
	if l.ValueKB < minValueKB {
		return fmt.Errorf("field %s.value_kb: at least %v is needed for one record, found %v",
			field, minValueKB, l.ValueKB)
	}
	return nil
}

// checkNext checks the announced limits, the absent ones replaced by the current ones.
func (l *KVLimits) checkNext(field string) error {
	if l.Next == nil {
		return nil
	}
	next := *l // the current limits have been checked
	overrideLimit(&next.RPS, l.Next.RPS)
	overrideLimit(&next.WriteRPS, l.Next.WriteRPS)
	overrideLimit(&next.ValueKB, l.Next.ValueKB)
	overrideLimit(&next.TxnOps, l.Next.TxnOps)
	return next.check(field)
}

func overrideLimit[T int | float64](limit, next *T) {
	if next != nil {
		*limit = *next
	}
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

// minTableEntries is the least capacity of a table with entries per machine, however little
// memory there is: a cell may have some 4,000 machines.
const minTableEntries = 4096

// MaxEntries returns how many entries of some bytes each fit in a share of the memory.
func (l Limits) MaxEntries(share float64, bytes int) int {
	return max(minTableEntries, int(l.RAMMB*(1<<20)*share)/bytes)
}

// Duration converts seconds to a duration.
func Duration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// HeartbeatInterval returns the interval at which worker agents send heartbeats.
func (w Workers) HeartbeatInterval() time.Duration { return Duration(w.HeartbeatS) }

// Lease returns the task lease: how long a worker agent runs its tasks without a response.
func (w Workers) Lease() time.Duration { return Duration(w.LeaseS) }

// Load reads and validates a settings file.
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

// Parse decodes and validates the contents of a settings file. Unknown fields are ignored.
func Parse(raw []byte) (*Settings, error) {
	var s Settings
	if err := json.Unmarshal(raw, &s); err != nil {
		return nil, jsonerror.Describe(raw, err)
	}
	if err := s.check(); err != nil {
		return nil, err
	}
	s.Site.State.applyNext()
	return &s, nil
}

func (s *Settings) check() error {
	if s.Node == "" {
		return errors.New("field node: missing")
	}
	for _, a := range []struct{ field, addr string }{
		{"api_addr", s.APIAddr}, {"peer_listen", s.PeerListen},
		{"outside.cloud", s.Services.Cloud}, {"outside.state", s.Services.State},
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
	if err := s.checkPositiveFields(); err != nil {
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
		return fmt.Errorf("field settings.workers.lease_s: %v is not longer than report_s %v",
			s.Workers.LeaseS, s.Workers.HeartbeatS)
	}
	if s.Cloud.ListLagS < 0 || s.ClockOffsetMs < 0 {
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
		field := fmt.Sprintf("field settings.teams[%d]", i)
		if t.Name == "" || names[t.Name] {
			return fmt.Errorf("%s.name: %q is empty or named twice", field, t.Name)
		}
		names[t.Name] = true
		if !isFiniteNonNegative(t.CPUs) || !isFiniteNonNegative(t.LimitCPUs) || !isFiniteNonNegative(t.GPUs) || !isFiniteNonNegative(t.LimitGPUs) {
			return fmt.Errorf("%s: amounts must be finite and not negative", field)
		}
		if t.CPUs > t.LimitCPUs || t.GPUs > t.LimitGPUs {
			return fmt.Errorf("%s: the guarantee is above the limit", field)
		}
	}
	return nil
}

// checkPositiveFields checks that the amounts that every controller needs are positive.
func (s *SiteInfo) checkPositiveFields() error {
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
		if !isFinitePositive(amount.value) {
			return fmt.Errorf("field settings.%s: must be above 0, found %v", amount.field, amount.value)
		}
	}
	return nil
}

// check returns an error if the process is too small to work.
func (l Limits) check() error {
	if l.FDLimit < minFDLimit {
		return fmt.Errorf("field settings.limits.fd_limit: at least %d are needed, found %d", minFDLimit, l.FDLimit)
	}
	if l.Cores < minCores {
		return fmt.Errorf("field settings.limits.cores: at least %v are needed to answer anybody, found %v",
			minCores, l.Cores)
	}
	if l.RAMMB < minRAMMB {
		return fmt.Errorf("field settings.limits.ram_mb: at least %v are needed to start, found %v", minRAMMB, l.RAMMB)
	}
	return nil
}

// The least limits with which a controller can work.
const (
	// minValueKB holds the record of one job.
	minValueKB = 1.0
	// minTxnOps is the number of operations of a cancellation.
	minTxnOps = 3
	// minFDLimit suffices for the external services, the other controllers and a few
	// users and worker agents.
	minFDLimit = 64
	// minCores was measured with five machines: at half of it no job was ever accepted,
	// with it few. The requirements of a fleet are in docs/operations.md.
	minCores = 0.0005
	// minRAMMB is less than the memory of an idle controller.
	minRAMMB = 3.0
)

// isFiniteNonNegative reports whether a value is finite and not negative.
func isFiniteNonNegative(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }

// isFinitePositive reports whether a value is finite and above 0.
func isFinitePositive(v float64) bool { return v > 0 && !math.IsInf(v, 0) }

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

// HasTeam reports whether the site has a team of that name.
func (s *SiteInfo) HasTeam(name string) bool {
	for _, t := range s.Teams {
		if t.Name == name {
			return true
		}
	}
	return false
}
