package config

import (
	"fmt"
	"strings"
	"testing"
)

const validSettings = `{"node":"n0","site":"a","api_addr":"10.0.0.1:80","peer_listen":"10.0.0.1:81","new_field":1,
"peers":[{"node":"n1","site":"a","addr":"10.0.0.2:81"}],
"outside":{"cloud":"10.2.0.2:8443","state":"10.2.0.1:2379"},
"settings":{"nodes":2,"zones":["a"],"teams":[{"name":"t","cpus":1,"cpus_max":2}],
"workers":{"report_s":3,"lease_s":24,"cancel_s":49},
"state":{"rps":80,"write_rps":25,"value_kb":16,"txn_ops":20},"cloud":{"rps":5,"list_lag_s":8},
"limits":{"cores":0.06,"ram_mb":98,"fd_limit":800},"clock_off_ms":250}}`

func TestValidSettings(t *testing.T) {
	s, err := Parse([]byte(validSettings))
	if err != nil || s.Site.Workers.Lease().Seconds() != 24 || s.Peers[0].Addr != "10.0.0.2:81" {
		t.Errorf("got settings %+v, error %v; want a lease of 24 s, the peer 10.0.0.2:81", s, err)
	}
}

// Limits with which a controller works with a few machines must not be rejected.
func TestSmallLimitsAreValid(t *testing.T) {
	small := strings.NewReplacer(`"cores":0.06`, `"cores":0.001`, `"ram_mb":98`, `"ram_mb":4`).Replace(validSettings)
	if _, err := Parse([]byte(small)); err != nil {
		t.Errorf("got error %v, want none", err)
	}
}

func TestLargeSettingsAreValid(t *testing.T) {
	const count = 2000
	teams := make([]string, 0, count)
	for i := range count {
		teams = append(teams, fmt.Sprintf(`{"name":"t%d","cpus":1e5,"cpus_max":1e7}`, i))
	}
	large := strings.NewReplacer(
		`{"name":"t","cpus":1,"cpus_max":2}`, strings.Join(teams, ","),
		`"rps":80,"write_rps":25,"value_kb":16,"txn_ops":20`,
		`"rps":1e6,"write_rps":1e6,"value_kb":1e4,"txn_ops":100000`,
		`"fd_limit":800`, `"fd_limit":1000000`,
	).Replace(validSettings)
	s, err := Parse([]byte(large))
	if err != nil || len(s.Site.Teams) != count {
		t.Errorf("got settings %+v, error %v; want %d teams", s, err, count)
	}
}

func TestInvalidSettingsNameTheField(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`{"node"`, `"node"`, "not valid JSON"},
		{`"n0"`, `""`, "node"},
		{`"10.0.0.1:80"`, `"10.0.0.1"`, "api_addr"},
		{`"10.2.0.1:2379"`, `""`, "outside.state"},
		{`"n1"`, `"n0"`, "peers[0].node"},
		{`"cpus":1`, `"cpus":3`, "teams[0]"},
		{`"cpus":1`, `"cpus":"many"`, "teams.cpus: expected a number, found string"},
		{`"settings":{`, `"settings":[],"old":{`, "settings: expected an object, found array"},
		{`"ram_mb":98`, `"ram_mb":[98]`, "ram_mb: expected a number, found array"},
		{`"lease_s":24`, `"lease_s":2`, "lease_s"},
		{`"write_rps":25`, `"write_rps":0`, "write_rps"},
		{`"txn_ops":20`, `"txn_ops":2`, "txn_ops"},
		{`"cores":0.06`, `"cores":0`, "limits.cores"},
		{`"cores":0.06`, `"cores":0.0004`, "limits.cores"},
		{`"ram_mb":98`, `"ram_mb":2.5`, "limits.ram_mb"},
		{`"value_kb":16`, `"value_kb":0.5`, "value_kb"},
		{`"fd_limit":800`, `"fd_limit":3`, "fd_limit"},
		{`[{"name":"t","cpus":1,"cpus_max":2}]`, `[]`, "teams"},
	} {
		_, err := Parse([]byte(strings.Replace(validSettings, c.old, c.new, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got error %v, want one line with %q", c.new, err, c.want)
		}
	}
	if _, err := Load("no/such/file"); err == nil || !strings.Contains(err.Error(), "no/such/file") {
		t.Errorf("missing file: got error %v, want its path", err)
	}
}

// settingsWithNext returns valid settings with the announced limits next, a JSON value.
func settingsWithNext(next string) []byte {
	return []byte(strings.Replace(validSettings, `"txn_ops":20`, `"txn_ops":20,"next":`+next, 1))
}

// The key-value store switches to its announced limits without notice, so a controller must use
// the smaller of the current and the announced value of each limit from the start.
func TestSmallerOfCurrentAndAnnouncedLimitsApplies(t *testing.T) {
	for _, c := range []struct {
		next string
		want [4]float64
	}{
		{`null`, [4]float64{80, 25, 16, 20}},
		{`{}`, [4]float64{80, 25, 16, 20}},
		{`{"rps":40,"write_rps":12.5,"value_kb":4,"txn_ops":6}`, [4]float64{40, 12.5, 4, 6}},
		{`{"rps":400,"write_rps":250,"value_kb":64,"txn_ops":60}`, [4]float64{80, 25, 16, 20}},
		{`{"value_kb":1,"txn_ops":5,"another":{}}`, [4]float64{80, 25, 1, 5}},
		{`{"rps":null,"write_rps":2,"value_kb":null,"txn_ops":null}`, [4]float64{80, 2, 16, 20}},
		{`{"rps":3,"write_rps":1e9}`, [4]float64{3, 25, 16, 20}},
		{`{"txn_ops":7}`, [4]float64{80, 25, 16, 7}},
	} {
		s, err := Parse(settingsWithNext(c.next))
		if err != nil {
			t.Errorf("%s: got error %v, want none", c.next, err)
			continue
		}
		l := s.Site.State
		if got := [4]float64{l.RPS, l.WriteRPS, l.ValueKB, float64(l.TxnOps)}; got != c.want {
			t.Errorf("%s: got limits %v, want %v", c.next, got, c.want)
		}
	}
}

// A transaction limit that equals the operations of a cancellation must be valid. The earlier
// minimum of five was more than any transaction needs: with it, a node would have failed to start
// once an upgrade of the key-value store to a limit of four operations was announced.
func TestAnnouncedOperationsOfOneCancellationSuffice(t *testing.T) {
	for _, ops := range []int{3, 4} {
		s, err := Parse(settingsWithNext(fmt.Sprintf(`{"value_kb":2,"txn_ops":%d,"write_rps":18}`, ops)))
		if err != nil || s.Site.State.TxnOps != ops || s.Site.State.ValueKB != 2 || s.Site.State.WriteRPS != 18 {
			t.Errorf("%d operations: got settings %+v, error %v; want them with 2 kB and 18 writes/s", ops, s, err)
		}
	}
}

// An invalid announced limit must fail the start, not surface when the limit takes effect.
func TestInvalidAnnouncedLimitsNameTheField(t *testing.T) {
	for _, c := range []struct{ next, want string }{
		{`{"rps":-1}`, "settings.state.next.rps"},
		{`{"rps":0}`, "settings.state.next.rps"},
		{`{"rps":"40"}`, "settings.state.next.rps"},
		{`{"rps":NaN}`, "rps"},
		{`{"write_rps":0}`, "settings.state.next.write_rps"},
		{`{"write_rps":1e400}`, "settings.state.next.write_rps"},
		{`{"write_rps":[]}`, "settings.state.next.write_rps"},
		{`{"value_kb":-8}`, "settings.state.next.value_kb"},
		{`{"value_kb":0.5}`, "settings.state.next.value_kb"},
		{`{"value_kb":true}`, "settings.state.next.value_kb"},
		{`{"txn_ops":2}`, "settings.state.next.txn_ops"},
		{`{"txn_ops":-20}`, "settings.state.next.txn_ops"},
		{`{"txn_ops":7.5}`, "settings.state.next.txn_ops: expected a whole number, found number 7.5"},
		{`{"txn_ops":{}}`, "settings.state.next.txn_ops"},
		{`5`, "settings.state.next: expected an object, found number"},
		{`[{"rps":4}]`, "settings.state.next"},
		{`"none"`, "settings.state.next"},
	} {
		_, err := Parse(settingsWithNext(c.next))
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got error %v, want one line with %q", c.next, err, c.want)
		}
	}
}
