// Package relay packs the messages between a node and a leader that cannot
// reach each other into records of the state service. It is pure.
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

// Part is one record of a packed message. Data is written as base64.
type Part struct {
	Batch uint64 `json:"batch"`
	Index int    `json:"index"`
	Of    int    `json:"of"`
	Data  []byte `json:"data"`
}

// maxMessageBytes bounds what is unpacked.
const maxMessageBytes = 4 << 20

// ErrTooLarge means that a message does not fit the records allowed.
var ErrTooLarge = errors.New("relay: too large")

// Pack packs a message into at most parts records of at most size bytes each,
// as they are written.
func Pack(m proto.Message, batch uint64, maxParts, maxPartBytes int) ([]Part, error) {
	raw, err := proto.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	// Writes to a buffer do not fail.
	w.Write(raw)
	w.Close()
	const frame = 128 // of a record, beside its data
	maxDataBytes := (maxPartBytes - frame) / 4 * 3
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

// Unpack puts a message together from its records. Records of other batches may stand
// beside them: each batch is written as a whole, so the first record tells which is
// the present one. Its number need not be the highest, since a process that is started
// anew counts from the first again.
func Unpack(parts []Part, m proto.Message) error {
	first := slices.IndexFunc(parts, func(p Part) bool { return p.Index == 0 })
	if first < 0 {
		return errors.New("relay: the first record is missing")
	}
	batch, count := parts[first].Batch, parts[first].Of
	var data []byte
	for i := range count {
		index := slices.IndexFunc(parts, func(p Part) bool { return p.Batch == batch && p.Index == i })
		if index < 0 {
			return fmt.Errorf("relay: record %d of batch %d is missing", i, batch)
		}
		data = append(data, parts[index].Data...)
	}
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxMessageBytes))
	if err != nil {
		return fmt.Errorf("relay: %w", err)
	}
	return proto.Unmarshal(raw, m)
}
