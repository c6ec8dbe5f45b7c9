package relay

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"example.org/ivytrestle/internal/peer"
)

// reports are those of machines with 40 tasks each.
func reports(n int) *peer.RelayUp {
	up := &peer.RelayUp{Term: 7, Batch: 3}
	for i := range n {
		r := &peer.Report{Machine: fmt.Sprintf("i-%06d", i), Addr: fmt.Sprintf("10.1.0.%d:9000", i), Type: "small", Zone: "b", Session: 1, Seq: uint64(100 + i), Term: 7}
		for j := range 40 {
			r.Tasks = append(r.Tasks, &peer.TaskReport{Task: fmt.Sprintf("job-%06d/%d", 1000+(i*7+j)/9, i+j), Attempt: 7<<32 | uint64(i*40+j), Phase: "running"})
		}
		up.Reports = append(up.Reports, r)
	}
	return up
}

func TestPackedMessagesComeBack(t *testing.T) {
	up := reports(60)
	parts, err := Pack(up, 3, 4, 8<<10)
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
	var back peer.RelayUp
	if err := Unpack(mixed, &back); err != nil || !proto.Equal(up, &back) {
		t.Errorf("not the same: %v", err)
	}
	// A process that is started anew counts from the first batch again, beside what an
	// earlier one has left.
	left := append([]Part{{Batch: 57, Index: len(parts), Of: len(parts) + 1}}, parts...)
	if err := Unpack(left, &back); err != nil || !proto.Equal(up, &back) {
		t.Errorf("beside a higher batch: %v", err)
	}
	if err := Unpack(parts[1:], &back); err == nil {
		t.Error("put together without its first record")
	}
	if err := Unpack(nil, &back); err == nil {
		t.Error("put together from nothing")
	}
	if _, err := Pack(reports(400), 3, 2, 8<<10); !errors.Is(err, ErrTooLarge) {
		t.Errorf("too large: %v", err)
	}
}
