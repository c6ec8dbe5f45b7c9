package relay

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"example.org/ivytrestle/internal/peer"
)

// uplinkWithHeartbeats returns a message with the heartbeats of n machines that have 40 tasks each.
func uplinkWithHeartbeats(n int) *peer.RelayUp {
	uplink := &peer.RelayUp{Term: 7, Batch: 3}
	for i := range n {
		heartbeat := &peer.Report{
			Machine: fmt.Sprintf("i-%06d", i),
			Addr:    fmt.Sprintf("10.1.0.%d:9000", i),
			Type:    "small",
			Zone:    "b",
			Session: 1,
			Seq:     uint64(100 + i),
			Term:    7,
		}
		for j := range 40 {
			heartbeat.Tasks = append(heartbeat.Tasks, &peer.TaskReport{
				Task:    fmt.Sprintf("job-%06d/%d", 1000+(i*7+j)/9, i+j),
				Attempt: 7<<32 | uint64(i*40+j),
				Phase:   "running",
			})
		}
		uplink.Reports = append(uplink.Reports, heartbeat)
	}
	return uplink
}

func TestUnpackRestoresMessage(t *testing.T) {
	uplink := uplinkWithHeartbeats(60)
	parts, err := Pack(uplink, 3, 4, 8<<10)
	if err != nil || len(parts) < 2 {
		t.Fatalf("Pack: got %d parts, %v, want at least 2 parts", len(parts), err)
	}
	for _, p := range parts {
		raw, err := json.Marshal(p)
		if err != nil || len(raw) > 8<<10 {
			t.Errorf("part %d: got %d bytes, %v, want at most %d bytes", p.Index, len(raw), err, 8<<10)
		}
	}
	// Parts may be in any order, with a part of an earlier, longer message among them.
	mixed := append([]Part{{Batch: 2, Index: len(parts), Of: len(parts) + 1}}, parts[1:]...)
	mixed = append(mixed, parts[0])
	var unpacked peer.RelayUp
	if err := Unpack(mixed, &unpacked); err != nil || !proto.Equal(uplink, &unpacked) {
		t.Errorf("Unpack of parts in another order: got error %v or another message", err)
	}
	// A restarted process numbers its batches from the start, while parts of higher batches
	// of the previous process remain in the store.
	withLeftover := append([]Part{{Batch: 57, Index: len(parts), Of: len(parts) + 1}}, parts...)
	if err := Unpack(withLeftover, &unpacked); err != nil || !proto.Equal(uplink, &unpacked) {
		t.Errorf("Unpack with a part of a higher batch: got error %v or another message", err)
	}
	if err := Unpack(parts[1:], &unpacked); !errors.Is(err, errMissingPart) {
		t.Errorf("Unpack without the first part: got %v, want %v", err, errMissingPart)
	}
	if err := Unpack(nil, &unpacked); !errors.Is(err, errMissingPart) {
		t.Errorf("Unpack without parts: got %v, want %v", err, errMissingPart)
	}
	if _, err := Pack(uplinkWithHeartbeats(400), 3, 2, 8<<10); !errors.Is(err, ErrTooLarge) {
		t.Errorf("Pack of a message that is too large: got %v, want %v", err, ErrTooLarge)
	}
}
