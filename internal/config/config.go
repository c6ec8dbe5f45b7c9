// Package config reads and validates the settings file that the platform provides to each
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

// Settings holds the contents of the settings file.
type Settings struct {
	Node       string   `json:"node"`
	Zone       string   `json:"site"`
	APIAddr    string   `json:"api_addr"`
	PeerListen string   `json:"peer_listen"`
	Peers      []Peer   `json:"peers"`
	Services   Services `json:"outside"`
	Site       SiteInfo `json:"settings"`
}

// Peer identifies another controller and the address of its peer listener.
type Peer struct {
	Node string `json:"node"`
	Zone string `json:"site"`
	Addr string `json:"addr"`
}

// Services holds the addresses of the external services: the cloud and the key-value store.
type Services struct {
	Cloud string `json:"cloud"`
	State string `json:"state"`
}

// SiteInfo holds the settings that describe the deployment.
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

// Team holds a team's resources: CPUs and GPUs are guaranteed to it, and LimitCPUs and LimitGPUs
// bound its use.
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

// Workers holds the timing of worker agents in seconds: the heartbeat interval, the task lease
// and the time within which a cancellation must take effect.
type Workers struct {
	HeartbeatS float64 `json:"report_s"`
	LeaseS     float64 `json:"lease_s"`
	CancelS    float64 `json:"cancel_s"`
}

// KVLimits holds the limits of the key-value store, which rejects every request beyond them.
// Parse lowers each limit to the announced one if that is smaller, because the time at which the
// store switches to the announced limits is not known.
type KVLimits struct {
	RPS      float64 `json:"rps"`
	WriteRPS float64 `json:"write_rps"`
	ValueKB  float64 `json:"value_kb"`
	TxnOps   int     `json:"txn_ops"`
	// Next holds the announced limits as read from the settings.
	Next *NextKVLimits `json:"next"`
}

// NextKVLimits holds the announced limits, which will apply to the key-value store at some later
// time. A nil limit does not change.
type NextKVLimits struct {
	RPS      *float64 `json:"rps"`
	WriteRPS *float64 `json:"write_rps"`
	ValueKB  *float64 `json:"value_kb"`
	TxnOps   *int     `json:"txn_ops"`
}

// applyNext lowers each limit to the announced one if that is smaller.
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

// lowerLimit sets *limit to *next if next is not nil and *next is smaller.
func lowerLimit[T int | float64](limit, next *T) {
	if next != nil {
		*limit = min(*limit, *next)
	}
}

// check returns an error if a deployment cannot work within the limits. field is the path of
// the limits in the settings file, which the error names.
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
		return fmt.Errorf("field %s.txn_ops: must be at least %d, found %d", field, minTxnOps, l.TxnOps)
	}
	if l.ValueKB < minValueKB {
		return fmt.Errorf("field %s.value_kb: must be at least %v to hold a job record, found %v",
			field, minValueKB, l.ValueKB)
	}
	return nil
}

// checkNext checks the limits that will apply after the announced change. field is the path of
// the announced limits in the settings file.
func (l *KVLimits) checkNext(field string) error {
	if l.Next == nil {
		return nil
	}
	next := *l // already checked, so an error can only be about an announced limit
	overrideLimit(&next.RPS, l.Next.RPS)
	overrideLimit(&next.WriteRPS, l.Next.WriteRPS)
	overrideLimit(&next.ValueKB, l.Next.ValueKB)
	overrideLimit(&next.TxnOps, l.Next.TxnOps)
	return next.check(field)
}

// overrideLimit sets *limit to *next if next is not nil.
func overrideLimit[T int | float64](limit, next *T) {
	if next != nil {
		*limit = *next
	}
}

// CloudLimits holds the request rate limit of the cloud API and the time in seconds by which its
// listings may lag behind.
type CloudLimits struct {
	RPS      float64 `json:"rps"`
	ListLagS float64 `json:"list_lag_s"`
}

// Limits holds the resource limits of the controller process.
type Limits struct {
	Cores   float64 `json:"cores"`
	RAMMB   float64 `json:"ram_mb"`
	FDLimit int     `json:"fd_limit"`
}

// minTableEntries is the minimum capacity of a table with an entry per machine, regardless of
// the memory limit: a cell may have about 4,000 machines.
const minTableEntries = 4096

// MaxEntries returns how many entries of entryBytes each fit in a fraction of the memory limit,
// but at least minTableEntries.
func (l Limits) MaxEntries(memoryFraction float64, entryBytes int) int {
	return max(minTableEntries, int(l.RAMMB*(1<<20)*memoryFraction)/entryBytes)
}

// Duration converts seconds to a duration.
func Duration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// HeartbeatInterval returns the interval at which worker agents send heartbeats.
func (w Workers) HeartbeatInterval() time.Duration { return Duration(w.HeartbeatS) }

// Lease returns the duration of the task lease: how long a worker agent continues to run its
// tasks without a response to its heartbeats.
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

// check validates the settings before the announced limits are applied. Its error names the
// invalid field.
func (s *Settings) check() error {
	if s.Node == "" {
		return errors.New("field node: missing")
	}
	for _, address := range []struct{ field, addr string }{
		{"api_addr", s.APIAddr}, {"peer_listen", s.PeerListen},
		{"outside.cloud", s.Services.Cloud}, {"outside.state", s.Services.State},
	} {
		if err := checkAddr(address.addr); err != nil {
			return fmt.Errorf("field %s: %w", address.field, err)
		}
	}
	nodes := map[string]bool{s.Node: true}
	for i, peer := range s.Peers {
		if peer.Node == "" || nodes[peer.Node] {
			return fmt.Errorf("field peers[%d].node: must be non-empty and unique, found %q", i, peer.Node)
		}
		nodes[peer.Node] = true
		if err := checkAddr(peer.Addr); err != nil {
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
		return fmt.Errorf("field settings.workers.lease_s: must be above report_s (%v), found %v",
			s.Workers.HeartbeatS, s.Workers.LeaseS)
	}
	if s.Cloud.ListLagS < 0 || s.ClockOffsetMs < 0 {
		return fmt.Errorf("field settings: cloud.list_lag_s and clock_off_ms must not be negative, found %v and %v",
			s.Cloud.ListLagS, s.ClockOffsetMs)
	}
	return nil
}

func (s *SiteInfo) checkTeams() error {
	if len(s.Teams) == 0 {
		return errors.New("field settings.teams: must hold at least one team")
	}
	names := map[string]bool{}
	for i, t := range s.Teams {
		field := fmt.Sprintf("field settings.teams[%d]", i)
		if t.Name == "" || names[t.Name] {
			return fmt.Errorf("%s.name: must be non-empty and unique, found %q", field, t.Name)
		}
		names[t.Name] = true
		if !isFiniteNonNegative(t.CPUs) || !isFiniteNonNegative(t.LimitCPUs) ||
			!isFiniteNonNegative(t.GPUs) || !isFiniteNonNegative(t.LimitGPUs) {
			return fmt.Errorf("%s: cpus, cpus_max, gpus and gpus_max must be finite and not negative, "+
				"found %v, %v, %v and %v", field, t.CPUs, t.LimitCPUs, t.GPUs, t.LimitGPUs)
		}
		if t.CPUs > t.LimitCPUs || t.GPUs > t.LimitGPUs {
			return fmt.Errorf("%s: cpus must not exceed cpus_max, nor gpus gpus_max, "+
				"found %v of %v CPUs and %v of %v GPUs", field, t.CPUs, t.LimitCPUs, t.GPUs, t.LimitGPUs)
		}
	}
	return nil
}

// checkPositiveFields checks the values that must be finite and above 0.
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

// check returns an error if the limits are too low for a controller to work.
func (l Limits) check() error {
	if l.FDLimit < minFDLimit {
		return fmt.Errorf("field settings.limits.fd_limit: must be at least %d, found %d", minFDLimit, l.FDLimit)
	}
	if l.Cores < minCores {
		return fmt.Errorf("field settings.limits.cores: must be at least %v, found %v", minCores, l.Cores)
	}
	if l.RAMMB < minRAMMB {
		return fmt.Errorf("field settings.limits.ram_mb: must be at least %v, found %v", minRAMMB, l.RAMMB)
	}
	return nil
}

// The lowest limits that are accepted. A controller cannot work with lower ones.
const (
	// minValueKB is the size, in KB, of a value that can hold the record of one job.
	minValueKB = 1.0
	// minTxnOps is the number of operations in the transaction of a cancellation.
	minTxnOps = 3
	// minFDLimit is enough for the connections to the external services, the other controllers
	// and a few users and worker agents.
	minFDLimit = 64
	// minCores is for fleets of five machines: controllers with this limit accepted a few jobs, and
	// controllers with half of it accepted none. docs/operations.md lists the requirements of
	// larger fleets.
	minCores = 0.0005
	// minRAMMB is less than even an idle controller uses, in MB.
	minRAMMB = 3.0
)

// isFiniteNonNegative reports whether a value is finite and not negative.
func isFiniteNonNegative(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }

// isFinitePositive reports whether a value is finite and above 0.
func isFinitePositive(v float64) bool { return v > 0 && !math.IsInf(v, 0) }

// checkAddr returns an error if an address does not have the form host:port.
func checkAddr(addr string) error {
	if addr == "" {
		return errors.New("missing")
	}
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("%q is not an address of the form host:port: %w", addr, err)
	}
	if host == "" || port == "" || strings.ContainsAny(addr, " \t") {
		return fmt.Errorf("%q is not an address of the form host:port", addr)
	}
	return nil
}

// HasTeam reports whether a team has the given name.
func (s *SiteInfo) HasTeam(name string) bool {
	for _, t := range s.Teams {
		if t.Name == name {
			return true
		}
	}
	return false
}
