// Package relay packs the messages between a node and a leader that cannot reach each other
// into records of the key-value store. It is pure.
package relay

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"slices"

	"google.golang.org/protobuf/proto"
)

// Part is one record of a packed message.
type Part struct {
	// Batch is the number of the message.
	Batch uint64 `json:"batch"`
	// Index is the number of the part, from 0 on, and Of how many there are.
	Index int `json:"index"`
	Of    int `json:"of"`
	// Data is base64 in JSON.
	Data []byte `json:"data"`
}

// maxUnpackedBytes bounds an unpacked message.
const maxUnpackedBytes = 4 << 20

// ErrTooLarge means that a message does not fit the records allowed.
var ErrTooLarge = errors.New("relay: message too large")

// errMissingPart means that a record of a message is missing.
var errMissingPart = errors.New("part missing")

// partOverheadBytes is what a record takes besides its data.
const partOverheadBytes = 128

// Pack packs a message into at most maxParts records of at most maxPartBytes bytes each, as they
// are written.
func Pack(m proto.Message, batch uint64, maxParts, maxPartBytes int) ([]Part, error) {
	raw, err := proto.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("relay: encode batch %d: %w", batch, err)
	}
	buf, err := compress(raw)
	if err != nil {
		return nil, fmt.Errorf("relay: compress batch %d: %w", batch, err)
	}
	maxDataBytes := (maxPartBytes - partOverheadBytes) / 4 * 3 // four characters of base64 hold three bytes
	if maxDataBytes <= 0 || buf.Len() > maxParts*maxDataBytes {
		return nil, ErrTooLarge
	}
	count := max(1, (buf.Len()+maxDataBytes-1)/maxDataBytes)
	packed := make([]Part, count)
	for i := range packed {
		packed[i] = Part{Batch: batch, Index: i, Of: count, Data: buf.Next(maxDataBytes)}
	}
	return packed, nil
}

// Unpack restores a message from its records. Records of other batches may be among them: each
// batch is written as a whole, so the part with index 0 shows which is the present one. Its
// number need not be the highest, since a restarted process counts from the first again.
func Unpack(parts []Part, m proto.Message) error {
	first := slices.IndexFunc(parts, func(p Part) bool { return p.Index == 0 })
	if first < 0 {
		return fmt.Errorf("relay: %w: the first", errMissingPart)
	}
	batch, count := parts[first].Batch, parts[first].Of
	var data []byte
	for i := range count {
		index := slices.IndexFunc(parts, func(p Part) bool { return p.Batch == batch && p.Index == i })
		if index < 0 {
			return fmt.Errorf("relay: %w: %d of batch %d", errMissingPart, i, batch)
		}
		data = append(data, parts[index].Data...)
	}
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxUnpackedBytes))
	if err != nil {
		return fmt.Errorf("relay: decompress batch %d: %w", batch, err)
	}
	if err := proto.Unmarshal(raw, m); err != nil {
		return fmt.Errorf("relay: decode batch %d: %w", batch, err)
	}
	return nil
}

func compress(raw []byte) (*bytes.Buffer, error) {
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(raw); err != nil {
		return nil, err
	}
	return &buf, w.Close()
}
