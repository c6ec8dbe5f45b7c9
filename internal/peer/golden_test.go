package peer

import (
	"bytes"
	"compress/flate"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"example.org/ivytrestle/internal/relay"
)

// shapes are the messages of the first version that others had to work beside: a
// message on each line, with its fields as name:number:type. A + marks a repeated
// field, a ? one that tells absent from zero. They are never changed.
const shapes = `
Request seq:1:uint64 job:2:JobQuery ping:3:Ping report:4:Report resignation:5:Resignation
JobQuery id:1:string
Ping incarnation:1:string cancel_number:2:uint64
Pong term:1:uint64 leader:2:string store_ok_ms:3:uint64 incarnation:4:string cancelled:5:string+ cancel_first:6:uint64 cancel_more:7:bool cancel_whole_ms:8:uint64 known_age_ms:9:uint64?
Report machine:1:string addr:2:string type:3:string zone:4:string spot:5:bool session:6:uint64 seq:7:uint64 term:8:uint64 notice_s:9:double? tasks:10:TaskReport+
TaskReport task:1:string attempt:2:uint64 phase:3:string cause:4:string saved:5:bool
ReportAnswer term:1:uint64 orders:2:Order+
Order verb:1:string task:2:string attempt:3:uint64 grace_s:4:double?
Resignation node:1:string term:2:uint64
Response seq:1:uint64 unable:2:bool job:3:JobStatus pong:4:Pong report:5:ReportAnswer
JobStatus known:1:bool phase:2:string done:3:uint32 running:4:uint32
RelayUp term:1:uint64 incarnation:2:string batch:3:uint64 got:4:uint64 reports:5:Report+ outcomes:6:RelayOutcome+
RelayOutcome machine:1:string session:2:uint64 base:3:uint64 handed:4:uint64
RelayDown term:1:uint64 incarnation:2:string batch:3:uint64 seen:4:uint64 orders:5:RelayOrders+
RelayOrders machine:1:string session:2:uint64 base:3:uint64 orders:4:Order+
`

// shapeField is a field as the earlier version knows it.
type shapeField struct {
	name, typ      string
	list, optional bool
}

// parseShapes reads the shapes: the fields of each message by their numbers.
func parseShapes(t *testing.T) map[string]map[protowire.Number]shapeField {
	t.Helper()
	out := map[string]map[protowire.Number]shapeField{}
	for _, line := range strings.Split(strings.TrimSpace(shapes), "\n") {
		words := strings.Fields(line)
		out[words[0]] = map[protowire.Number]shapeField{}
		for _, w := range words[1:] {
			p := strings.Split(w, ":")
			n, err := strconv.Atoi(p[1])
			if err != nil {
				t.Fatal(w, err)
			}
			typ := strings.TrimRight(p[2], "+?")
			out[words[0]][protowire.Number(n)] = shapeField{p[0], typ, strings.HasSuffix(p[2], "+"), strings.HasSuffix(p[2], "?")}
		}
	}
	return out
}

// tell decodes a message as the earlier version would, passing over what it does
// not know, and tells what it means in one line. It notes the fields seen.
func tell(t *testing.T, all map[string]map[protowire.Number]shapeField, message string, raw []byte, seen map[string]bool) string {
	t.Helper()
	type decoded struct {
		num  protowire.Number
		text string
	}
	var out []decoded
	for len(raw) > 0 {
		num, wire, n := protowire.ConsumeTag(raw)
		if n < 0 {
			t.Fatalf("%s: %v", message, protowire.ParseError(n))
		}
		raw = raw[n:]
		f, known := all[message][num]
		value := ""
		if !known {
			n = protowire.ConsumeFieldValue(num, wire, raw)
		} else {
			seen[message+"."+f.name] = true
			want := map[string]protowire.Type{"uint64": protowire.VarintType, "uint32": protowire.VarintType, "bool": protowire.VarintType, "double": protowire.Fixed64Type}
			if w, scalar := want[f.typ]; (scalar && w != wire) || (!scalar && wire != protowire.BytesType) {
				t.Fatalf("%s.%s: of wire type %d", message, f.name, wire)
			}
			var v uint64
			var b []byte
			switch f.typ {
			case "uint64", "uint32":
				v, n = protowire.ConsumeVarint(raw)
				value = strconv.FormatUint(v, 10)
			case "bool":
				v, n = protowire.ConsumeVarint(raw)
				value = strconv.FormatBool(v != 0)
			case "double":
				v, n = protowire.ConsumeFixed64(raw)
				value = fmt.Sprint(math.Float64frombits(v))
			case "string":
				b, n = protowire.ConsumeBytes(raw)
				value = string(b)
			default:
				b, n = protowire.ConsumeBytes(raw)
				if n >= 0 {
					value = "{" + tell(t, all, f.typ, b, seen) + "}"
				}
			}
		}
		if n < 0 {
			t.Fatalf("%s.%d: %v", message, num, protowire.ParseError(n))
		}
		if raw = raw[n:]; known {
			out = append(out, decoded{num, f.name + "=" + value})
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].num < out[j].num })
	var words []string
	for _, o := range out {
		words = append(words, o.text)
	}
	return strings.Join(words, " ")
}

var (
	goldenReport = &Report{Machine: "i-000001", Addr: "10.1.0.1:9000", Type: "nod-sexton", Zone: "norrland", Spot: true, Session: 3, Seq: 400, Term: 41,
		NoticeS: proto.Float64(12.5), Tasks: []*TaskReport{{Task: "job-1/2", Attempt: 41<<32 | 9, Phase: "exited", Cause: "halted", Saved: true},
			{Task: "job-1/3", Attempt: 41<<32 | 10, Phase: "running"}}}
	goldenOrders = []*Order{{Verb: "start", Task: "job-1/4", Attempt: 41<<32 | 11}, {Verb: "stop", Task: "job-1/3", Attempt: 41<<32 | 10, GraceS: proto.Float64(0)}}
)

// goldens are messages as the earlier version sent or stored them, what they mean
// to it, and what to this one.
var goldens = []struct {
	name, raw, decoded string
	message            proto.Message
}{
	{"question about a job", "080512070a056a6f622d31",
		`seq=5 job={id=job-1}`,
		&Request{Seq: 5, Kind: &Request_Job{Job: &JobQuery{Id: "job-1"}}}},
	{"ping", "08061a080a03515a3710ac02",
		`seq=6 ping={incarnation=QZ7 cancel_number=300}`,
		&Request{Seq: 6, Kind: &Request_Ping{Ping: &Ping{Incarnation: "QZ7", CancelNumber: 300}}}},
	{"passed report", "08072280010a08692d303030303031120d31302e312e302e313a393030301a0a6e6f642d736578746f6e22086e6f72726c616e6428013003389003402949000000000000294052220a076a6f622d312f32108980808090051a06657869746564220668616c746564280152190a076a6f622d312f33108a80808090051a0772756e6e696e67",
		`seq=7 report={machine=i-000001 addr=10.1.0.1:9000 type=nod-sexton zone=norrland spot=true session=3 seq=400 term=41 notice_s=12.5 tasks={task=job-1/2 attempt=176093659145 phase=exited cause=halted saved=true} tasks={task=job-1/3 attempt=176093659146 phase=running}}`,
		&Request{Seq: 7, Kind: &Request_Report{Report: goldenReport}}},
	{"resignation", "08082a060a026e301029",
		`seq=8 resignation={node=n0 term=41}`,
		&Request{Seq: 8, Kind: &Request_Resignation{Resignation: &Resignation{Node: "n0", Term: 41}}}},
	{"unable", "08051001",
		`seq=5 unable=true`,
		&Response{Seq: 5, Unable: true}},
	{"job", "08051a0f0801120772756e6e696e6718462009",
		`seq=5 job={known=true phase=running done=70 running=9}`,
		&Response{Seq: 5, Job: &JobStatus{Known: true, Phase: "running", Done: 70, Running: 9}}},
	{"unknown job", "08051a00",
		`seq=5 job={}`,
		&Response{Seq: 5, Job: &JobStatus{}}},
	{"pong", "08062227082912026e3018dc0b2203515a372a056a6f622d312a056a6f622d3230ac0238014090bf054800",
		`seq=6 pong={term=41 leader=n0 store_ok_ms=1500 incarnation=QZ7 cancelled=job-1 cancelled=job-2 cancel_first=300 cancel_more=true cancel_whole_ms=90000 known_age_ms=0}`,
		&Response{Seq: 6, Pong: &Pong{Term: 41, Leader: "n0", StoreOkMs: 1500, Incarnation: "QZ7", Cancelled: []string{"job-1", "job-2"}, CancelFirst: 300, CancelMore: true, CancelWholeMs: 90000, KnownAgeMs: proto.Uint64(0)}}},
	{"pong of a follower", "0806220412026e30",
		`seq=6 pong={leader=n0}`,
		&Response{Seq: 6, Pong: &Pong{Leader: "n0"}}},
	{"answer to a report", "08072a3c082912170a05737461727412076a6f622d312f34188b8080809005121f0a0473746f7012076a6f622d312f33188a8080809005210000000000000000",
		`seq=7 report={term=41 orders={verb=start task=job-1/4 attempt=176093659147} orders={verb=stop task=job-1/3 attempt=176093659146 grace_s=0}}`,
		&Response{Seq: 7, Report: &ReportAnswer{Term: 41, Orders: goldenOrders}}},
	{"relayed reports", "08291203515a37180c200b2a80010a08692d303030303031120d31302e312e302e313a393030301a0a6e6f642d736578746f6e22086e6f72726c616e6428013003389003402949000000000000294052220a076a6f622d312f32108980808090051a06657869746564220668616c746564280152190a076a6f622d312f33108a80808090051a0772756e6e696e6732120a08692d3030303030311003188e03208f03",
		`term=41 incarnation=QZ7 batch=12 got=11 reports={machine=i-000001 addr=10.1.0.1:9000 type=nod-sexton zone=norrland spot=true session=3 seq=400 term=41 notice_s=12.5 tasks={task=job-1/2 attempt=176093659145 phase=exited cause=halted saved=true} tasks={task=job-1/3 attempt=176093659146 phase=running}} outcomes={machine=i-000001 session=3 base=398 handed=399}`,
		&RelayUp{Term: 41, Incarnation: "QZ7", Batch: 12, Got: 11, Reports: []*Report{goldenReport}, Outcomes: []*RelayOutcome{{Machine: "i-000001", Session: 3, Base: 398, Handed: 399}}}},
	{"relayed orders", "08291203515a37180c200b2a490a08692d303030303031100318900322170a05737461727412076a6f622d312f34188b8080809005221f0a0473746f7012076a6f622d312f33188a8080809005210000000000000000",
		`term=41 incarnation=QZ7 batch=12 seen=11 orders={machine=i-000001 session=3 base=400 orders={verb=start task=job-1/4 attempt=176093659147} orders={verb=stop task=job-1/3 attempt=176093659146 grace_s=0}}`,
		&RelayDown{Term: 41, Incarnation: "QZ7", Batch: 12, Seen: 11, Orders: []*RelayOrders{{Machine: "i-000001", Session: 3, Base: 400, Orders: goldenOrders}}}},
}

// A message of an earlier version is read with the meaning that it had, and what
// this version sends has the same meaning to the earlier one: fields are added, and
// none is used for another thing.
func TestMessagesOfEarlierVersions(t *testing.T) {
	all, seen := parseShapes(t), map[string]bool{}
	for _, g := range goldens {
		raw, err := hex.DecodeString(g.raw)
		if err != nil {
			t.Fatal(err)
		}
		name := string(g.message.ProtoReflect().Descriptor().Name())
		if got := tell(t, all, name, raw, seen); got != g.decoded {
			t.Errorf("%s was read as %s, not %s: the copy is wrong", g.name, got, g.decoded)
		}
		got := g.message.ProtoReflect().New().Interface()
		if err := proto.Unmarshal(raw, got); err != nil || !proto.Equal(got, g.message) {
			t.Errorf("%s is read as %v, meant %v (%v)", g.name, got, g.message, err)
		}
		now, err := proto.Marshal(g.message)
		if err != nil {
			t.Fatal(err)
		}
		if got := tell(t, all, name, now, map[string]bool{}); got != g.decoded {
			t.Errorf("%s sent now is read by the earlier version as %s, meant %s", g.name, got, g.decoded)
		}
	}
	for message, fields := range all {
		for _, f := range fields {
			if !seen[message+"."+f.name] {
				t.Errorf("no example holds %s.%s", message, f.name)
			}
		}
	}
}

// Every field of the earlier version is still there under its number, with its type.
func TestFieldsKeepTheirNumbers(t *testing.T) {
	messages := File_internal_peer_peer_proto.Messages()
	for message, fields := range parseShapes(t) {
		d := messages.ByName(protoreflect.Name(message))
		if d == nil {
			t.Errorf("message %s is gone", message)
			continue
		}
		for num, f := range fields {
			now := d.Fields().ByNumber(num)
			if now == nil {
				t.Errorf("%s.%s is gone", message, f.name)
				continue
			}
			typ := now.Kind().String()
			if now.Message() != nil {
				typ = string(now.Message().Name())
			}
			if string(now.Name()) != f.name || typ != f.typ || now.IsList() != f.list || now.HasOptionalKeyword() != f.optional {
				t.Errorf("%s: field %d is %v, was %v", message, num, now, f)
			}
		}
	}
}

// On the connection a message stands behind its length, of four bytes.
func TestFrameOfEarlierVersions(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	go serveConn(t.Context(), far, answers{term: 9})
	far.SetDeadline(time.Now().Add(10 * time.Second))
	near.SetDeadline(time.Now().Add(10 * time.Second))
	question, _ := hex.DecodeString("00000004" + "08071a00")         // seq 7, a ping
	want, _ := hex.DecodeString("0000000a" + "08072206080912026e31") // seq 7, a pong: term 9, leader n1
	if _, err := near.Write(question); err != nil {
		t.Fatal(err)
	}
	got := make([]byte, len(want))
	if _, err := io.ReadFull(near, got); err != nil || string(got) != string(want) {
		t.Errorf("answered %x, %v; want %x", got, err, want)
	}
}

// goldenParts are two records of a packed message as the earlier version stored them.
const goldenParts = `[{"batch":12,"index":0,"of":2,"data":"RM4/C4JAGIDxkyOVq0CczEmcNNDes6E/k2tjjm3GHWXIe2AXON5aQ/mRQwh65t/wuKlPj6dNMIumS2Mxt8lgjPtzDjnPIef7HQCEDJXI7rLXCmMXVde1NYrEArodaJkeCCGEkLSsYubc1Dnjq8J7GmOGSWjLvtFSxPa1brUUiVUt"},{"batch":12,"index":1,"of":2,"data":"2M+svZcxo3G6B2KDl8L/H3g0eNPoQ78BAAD//w=="}]`

// A packed message is put together by both versions from the other's records.
func TestRelayedRecordsOfEarlierVersions(t *testing.T) {
	want := goldens[len(goldens)-2].message
	var parts []relay.Part
	if err := json.Unmarshal([]byte(goldenParts), &parts); err != nil || len(parts) != 2 {
		t.Fatal(len(parts), err)
	}
	var got RelayUp
	if err := relay.Unpack(parts, &got); err != nil || !proto.Equal(&got, want) {
		t.Errorf("read as %v, %v", &got, err)
	}
	now, err := relay.Pack(want, 12, 3, 300)
	if err != nil || len(now) < 2 {
		t.Fatal(len(now), err)
	}
	raw, err := json.Marshal(now)
	if err != nil {
		t.Fatal(err)
	}
	var old []struct {
		Batch uint64 `json:"batch"`
		Index int    `json:"index"`
		Of    int    `json:"of"`
		Data  []byte `json:"data"`
	}
	if err := json.Unmarshal(raw, &old); err != nil {
		t.Fatal(err)
	}
	var data []byte
	for i, p := range old {
		if p.Batch != 12 || p.Index != i || p.Of != len(old) {
			t.Errorf("record %d: batch %d, %d of %d", i, p.Batch, p.Index, p.Of)
		}
		data = append(data, p.Data...)
	}
	message, err := io.ReadAll(flate.NewReader(bytes.NewReader(data)))
	if err != nil {
		t.Fatal(err)
	}
	if text := tell(t, parseShapes(t), "RelayUp", message, map[string]bool{}); text != goldens[len(goldens)-2].decoded {
		t.Errorf("the earlier version reads %s", text)
	}
}
