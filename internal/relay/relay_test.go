package relay

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"example.org/ivytrestle/internal/peer"
)

// uplinkWithHeartbeats are those of machines with 40 tasks each.
func uplinkWithHeartbeats(n int) *peer.RelayUp {
	uplink := &peer.RelayUp{Term: 7, Batch: 3}
	for i := range n {
		r := &peer.Report{Machine: fmt.Sprintf("i-%06d", i), Addr: fmt.Sprintf("10.1.0.%d:9000", i), Type: "small", Zone: "b", Session: 1, Seq: uint64(100 + i), Term: 7}
		for j := range 40 {
			r.Tasks = append(r.Tasks, &peer.TaskReport{Task: fmt.Sprintf("job-%06d/%d", 1000+(i*7+j)/9, i+j), Attempt: 7<<32 | uint64(i*40+j), Phase: "running"})
		}
		uplink.Reports = append(uplink.Reports, r)
	}
	return uplink
}

func TestUnpackRestoresMessage(t *testing.T) {
	uplink := uplinkWithHeartbeats(60)
	parts, err := Pack(uplink, 3, 4, 8<<10)
	if err != nil || len(parts) < 2 {
		t.Fatalf("%d parts, %v", len(parts), err)
	}
	for _, p := range parts {
		if raw, _ := json.Marshal(p); len(raw) > 8<<10 {
			t.Errorf("a record of %d bytes", len(raw))
		}
	}
	// Records come in any order, beside one of an earlier, longer message.
	mixed := append([]Part{{Batch: 2, Index: len(parts), Of: len(parts) + 1}}, parts[1:]...)
	mixed = append(mixed, parts[0])
	var unpacked peer.RelayUp
	if err := Unpack(mixed, &unpacked); err != nil || !proto.Equal(uplink, &unpacked) {
		t.Errorf("not the same: %v", err)
	}
	// A process that is started anew counts from the first batch again, beside what an
	// earlier one has left.
	left := append([]Part{{Batch: 57, Index: len(parts), Of: len(parts) + 1}}, parts...)
	if err := Unpack(left, &unpacked); err != nil || !proto.Equal(uplink, &unpacked) {
		t.Errorf("beside a higher batch: %v", err)
	}
	if err := Unpack(parts[1:], &unpacked); err == nil {
		t.Error("put together without its first record")
	}
	if err := Unpack(nil, &unpacked); err == nil {
		t.Error("put together from nothing")
	}
	if _, err := Pack(uplinkWithHeartbeats(400), 3, 2, 8<<10); !errors.Is(err, ErrTooLarge) {
		t.Errorf("too large: %v", err)
	}
}
