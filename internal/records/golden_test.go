package records_test

import (
	"bytes"
	"context"
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"example.org/ivytrestle/internal/api"
	"example.org/ivytrestle/internal/election"
	"example.org/ivytrestle/internal/kv/kvtest"
	"example.org/ivytrestle/internal/records"
	"example.org/ivytrestle/internal/relay"
)

// The shapes below are those of the first version that others had to work beside.
// They are never changed: its processes read and write these while a newer version
// comes up, and its records are still there afterwards.

type oldSpec struct {
	ID          string   `json:"NameId"`
	Class       string   `json:"Jobclass"`
	Team        string   `json:"Owner"`
	Shape       string   `json:"Shape"`
	Priority    string   `json:"Precedence"`
	Tasks       int      `json:"Shoots"`
	CPUs        float64  `json:"Cores"`
	GPUs        float64  `json:"Cards"`
	MemoryGB    float64  `json:"MemoryGb"`
	Image       string   `json:"Rootstock"`
	ImageGB     float64  `json:"PullGb"`
	Types       []string `json:"Frames,omitempty"`
	Zone        string   `json:"Bed,omitempty"`
	OneZone     bool     `json:"SamePlace,omitempty"`
	Spread      bool     `json:"Scatter,omitempty"`
	Spot        bool     `json:"Windfall,omitempty"`
	EstimateS   float64  `json:"ExpectS"`
	CheckpointS float64  `json:"GraftS,omitempty"`
	SaveS       float64  `json:"PressS,omitempty"`
	DeadlineS   float64  `json:"DueS,omitempty"`
}

type oldActive struct {
	Spec     oldSpec   `json:"spec"`
	Accepted time.Time `json:"accepted"`
}

type oldFinal struct {
	Phase string `json:"phase"`
	Tasks int    `json:"tasks"`
}

type oldProgress struct {
	Done []byte `json:"done"`
}

type oldRoster struct {
	Machines []oldMachine `json:"machines"`
}

type oldMachine struct {
	Name     string  `json:"name"`
	Addr     string  `json:"addr"`
	Type     string  `json:"type"`
	Zone     string  `json:"zone"`
	Spot     bool    `json:"spot"`
	CPUs     float64 `json:"cpus"`
	GPUs     float64 `json:"gpus"`
	MemoryGB float64 `json:"memory_gb"`
}

type oldLeaseExtension struct {
	Term  uint64   `json:"term"`
	Hosts []string `json:"hosts"`
}

type oldPart struct {
	Batch uint64 `json:"batch"`
	Index int    `json:"index"`
	Of    int    `json:"of"`
	Data  []byte `json:"data"`
}

type oldType struct {
	Name      string   `json:"Label"`
	CPUs      float64  `json:"Cores"`
	GPUs      float64  `json:"Cards"`
	MemoryGB  float64  `json:"MemoryGb"`
	CacheGB   float64  `json:"LocalGb"`
	FetchGBs  float64  `json:"PullGbPerS"`
	Price     float64  `json:"Hourly"`
	SpotPrice float64  `json:"LowPrice"`
	BootS     float64  `json:"StartupS"`
	Zones     []string `json:"Beds"`
}

type oldHolder struct {
	Node        string `json:"node"`
	Incarnation string `json:"incarnation"`
}

type oldTerm struct {
	Number uint64 `json:"number"`
}

var (
	accepted = time.Date(2026, 3, 1, 12, 0, 5, 250000000, time.UTC)

	fullSpec = api.JobSpec{ID: "job-000398", Class: "merit", Team: "antagning", Shape: "array", Priority: "standard", Tasks: 80,
		CPUs: 1.5, GPUs: 2, MemoryGB: 6.6, Image: "merit:7", ImageGB: 2.5, Types: []string{"nod-sexton", "nod-tio"}, Zone: "norrland",
		OneZone: true, Spread: true, Spot: true, EstimateS: 20.5, CheckpointS: 25.5, SaveS: 30.5, DeadlineS: 35.5}
	oldFullSpec = oldSpec{ID: "job-000398", Class: "merit", Team: "antagning", Shape: "array", Priority: "standard", Tasks: 80,
		CPUs: 1.5, GPUs: 2, MemoryGB: 6.6, Image: "merit:7", ImageGB: 2.5, Types: []string{"nod-sexton", "nod-tio"}, Zone: "norrland",
		OneZone: true, Spread: true, Spot: true, EstimateS: 20.5, CheckpointS: 25.5, SaveS: 30.5, DeadlineS: 35.5}
	plainSpec = api.JobSpec{ID: "job-1", Class: "betyg", Team: "antagning", Shape: "array", Priority: "low", Tasks: 1, CPUs: 2, MemoryGB: 14,
		Image: "betyg", ImageGB: 1.5, EstimateS: 50}
	oldPlainSpec = oldSpec{ID: "job-1", Class: "betyg", Team: "antagning", Shape: "array", Priority: "low", Tasks: 1, CPUs: 2, MemoryGB: 14,
		Image: "betyg", ImageGB: 1.5, EstimateS: 50}
)

// golden is a record as the version that is the measure wrote it.
type golden struct {
	name, raw string
	// present and old are what it means to this version and to that one.
	present, old any
}

var goldens = []golden{
	{"active job", `{"spec":{"NameId":"job-000398","Jobclass":"merit","Owner":"antagning","Shape":"array","Precedence":"standard","Shoots":80,"Cores":1.5,"Cards":2,"MemoryGb":6.6,"Rootstock":"merit:7","PullGb":2.5,"Frames":["nod-sexton","nod-tio"],"Bed":"norrland","SamePlace":true,"Scatter":true,"Windfall":true,"ExpectS":20.5,"GraftS":25.5,"PressS":30.5,"DueS":35.5},"accepted":"2026-03-01T12:00:05.25Z"}`,
		records.ActiveRecord{Spec: fullSpec, Accepted: accepted},
		oldActive{oldFullSpec, accepted}},
	{"plain active job", `{"spec":{"NameId":"job-1","Jobclass":"betyg","Owner":"antagning","Shape":"array","Precedence":"low","Shoots":1,"Cores":2,"Cards":0,"MemoryGb":14,"Rootstock":"betyg","PullGb":1.5,"ExpectS":50},"accepted":"2026-03-01T12:00:05.25Z"}`,
		records.ActiveRecord{Spec: plainSpec, Accepted: accepted},
		oldActive{oldPlainSpec, accepted}},
	{"done job", `{"phase":"done","tasks":80}`,
		records.TerminalRecord{Phase: api.JobDone, Tasks: 80},
		oldFinal{"done", 80}},
	{"cancelled job", `{"phase":"withdrawn","tasks":3}`,
		records.TerminalRecord{Phase: api.JobCancelled, Tasks: 3},
		oldFinal{"withdrawn", 3}},
	{"progress", `{"done":"/wEAgA=="}`,
		records.CompletionRecord{Done: []byte{0xff, 0x01, 0, 0x80}},
		oldProgress{[]byte{0xff, 0x01, 0, 0x80}}},
	{"shard", `{"machines":[{"name":"i-000001","addr":"10.1.0.1:9000","type":"nod-sexton","zone":"norrland","spot":true,"cpus":16,"gpus":1.5,"memory_gb":128},{"name":"i-000002","addr":"10.1.0.2:9000","type":"nod-sexton","zone":"norrland","spot":false,"cpus":16,"gpus":0,"memory_gb":128}]}`,
		records.RegistryShardRecord{Machines: []records.MachineRecord{{Name: "i-000001", Addr: "10.1.0.1:9000", Type: "nod-sexton", Zone: "norrland", Spot: true, CPUs: 16, GPUs: 1.5, MemoryGB: 128},
			{Name: "i-000002", Addr: "10.1.0.2:9000", Type: "nod-sexton", Zone: "norrland", CPUs: 16, MemoryGB: 128}}},
		oldRoster{[]oldMachine{{"i-000001", "10.1.0.1:9000", "nod-sexton", "norrland", true, 16, 1.5, 128}, {"i-000002", "10.1.0.2:9000", "nod-sexton", "norrland", false, 16, 0, 128}}}},
	{"kept machines", `{"term":7,"hosts":["i-000001","i-000002"]}`,
		records.LeaseRenewalRecord{Term: 7, Hosts: []string{"i-000001", "i-000002"}},
		oldLeaseExtension{7, []string{"i-000001", "i-000002"}}},
	{"relayed part", `{"batch":12,"index":1,"of":2,"data":"Af9kYXRh"}`,
		relay.Part{Batch: 12, Index: 1, Of: 2, Data: []byte("\x01\xffdata")},
		oldPart{12, 1, 2, []byte("\x01\xffdata")}},
	{"machine types", `[{"Label":"nod-sexton","Cores":16,"Cards":1,"MemoryGb":128,"LocalGb":60,"PullGbPerS":0.25,"Hourly":0.84,"LowPrice":0.37,"StartupS":25,"Beds":["norrland"]}]`,
		[]api.MachineType{{Name: "nod-sexton", CPUs: 16, GPUs: 1, MemoryGB: 128, CacheGB: 60, FetchGBs: 0.25, Price: 0.84, SpotPrice: 0.37, BootS: 25, Zones: []string{"norrland"}}},
		[]oldType{{"nod-sexton", 16, 1, 128, 60, 0.25, 0.84, 0.37, 25, []string{"norrland"}}}},
	{"leader", `{"node":"n0","incarnation":"QZ7"}`,
		election.LeaderRecord{Node: "n0", Incarnation: "QZ7"},
		oldHolder{"n0", "QZ7"}},
	{"term", `{"number":41}`,
		election.TermRecord{Number: 41},
		oldTerm{41}},
	{"cancel", `"job-000398"`,
		"job-000398",
		"job-000398"},
}

// decode reads a record into a new value of the type of one.
func decode(t *testing.T, name string, raw []byte, like any) any {
	t.Helper()
	v := reflect.New(reflect.TypeOf(like))
	if err := json.Unmarshal(raw, v.Interface()); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return v.Elem().Interface()
}

// What an earlier version has stored is read with the meaning that it had, and
// what this one stores has the same meaning to the earlier one.
func TestRecordsOfEarlierVersions(t *testing.T) {
	for _, g := range goldens {
		if got := decode(t, g.name, []byte(g.raw), g.present); !reflect.DeepEqual(got, g.present) {
			t.Errorf("%s is read as %+v, meant %+v", g.name, got, g.present)
		}
		if got := decode(t, g.name, []byte(g.raw), g.old); !reflect.DeepEqual(got, g.old) {
			t.Errorf("%s was read as %+v, not %+v: the copy is wrong", g.name, got, g.old)
		}
		raw, err := json.Marshal(g.present)
		if err != nil {
			t.Fatal(err)
		}
		if got := decode(t, g.name, raw, g.old); !reflect.DeepEqual(got, g.old) {
			t.Errorf("%s written now is read by the earlier version as %+v, meant %+v", g.name, got, g.old)
		}
		// Fields that only one side knows would be lost in the comparison above.
		for _, field := range fields(t, g.raw) {
			if !bytes.Contains(raw, []byte(`"`+field+`":`)) {
				t.Errorf("%s: field %s is written no more", g.name, field)
			}
		}
	}
}

// fields lists the names of the fields of a record, if it is an object.
func fields(t *testing.T, raw string) (names []string) {
	t.Helper()
	var m map[string]json.RawMessage
	if raw[0] != '{' {
		return nil
	}
	if err := json.Unmarshal([]byte(raw), &m); err != nil {
		t.Fatal(err)
	}
	for name := range m {
		names = append(names, name)
	}
	return names
}

// The keys are part of what versions share.
func TestKeysOfEarlierVersions(t *testing.T) {
	for _, c := range []struct{ got, want string }{
		{records.ActivePrefix, "a/"}, {records.TerminalPrefix, "f/"}, {records.CompletionPrefix, "p/"}, {records.MachinePrefix, "m/"},
		{records.QueryPrefix, "query/"}, {records.ResponsePrefix, "response/"},
		{records.LeaseRenewalPrefix, "keep/"}, {records.RelayPrefix, "relay/"}, {records.MachineTypesKey, "types"}, {records.CancelKey, "a/!cancel"},
		{records.DependencyPrefix, "awaits/"},
		{(&records.DependencyList{Digest: "ab", RecordCount: 3}).Keys("job-1")[2], "awaits/job-1/ab/00002"}, {records.DependencyListPlaceholder, "job-"},
		{election.LeaderKey, "leader"}, {election.TermKey, "term"}, {records.CompletionKey("job-1", 4096), "p/job-1/4096"},
	} {
		if c.got != c.want {
			t.Errorf("%s, was %s", c.got, c.want)
		}
	}
	if id, first, ok := records.ParseCompletionKey("p/job-1/4096"); id != "job-1" || first != 4096 || !ok {
		t.Errorf("p/job-1/4096 is read as %s, %d, %v", id, first, ok)
	}
}

// What is written when a job is accepted and cancelled, key by key, and in the
// order in which watches tell it.
func TestAcceptAndCancelAsBefore(t *testing.T) {
	ctx := context.Background()
	st := kvtest.New()
	r := records.Records{Store: st}
	if _, created, err := r.Accept(ctx, &fullSpec, accepted); !created || err != nil {
		t.Fatal(created, err)
	}
	e, _ := st.Get(ctx, "a/job-000398")
	if got := decode(t, "a/", e.Value, oldActive{}); !reflect.DeepEqual(got, oldActive{oldFullSpec, accepted}) {
		t.Errorf("accepted: %+v", got)
	}
	if _, found, err := r.Cancel(ctx, "job-000398"); !found || err != nil {
		t.Fatal(found, err)
	}
	e, _ = st.Get(ctx, "f/job-000398")
	if got := decode(t, "f/", e.Value, oldFinal{}); !reflect.DeepEqual(got, oldFinal{"withdrawn", 80}) {
		t.Errorf("cancelled: %+v", got)
	}
	ch, err := st.Watch(ctx, "a/", e.ModRevision-1, time.Second)
	if err != nil || len(ch.Events) != 2 {
		t.Fatalf("%+v, %v", ch, err)
	}
	if first := ch.Events[0]; first.Put != "a/!cancel" || string(first.Value) != `"job-000398"` {
		t.Errorf("told first: %+v", first)
	}
	if then := ch.Events[1]; then.Delete != "a/job-000398" {
		t.Errorf("told then: %+v", then)
	}
}
