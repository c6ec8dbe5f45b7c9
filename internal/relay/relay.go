// Package relay encodes the messages between a node and a leader that cannot connect to each
// other as records of the key-value store. It performs no I/O: its callers write and read the
// records.
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

// Part is one of the records that a message is split into.
type Part struct {
	// Batch is the number of the message.
	Batch uint64 `json:"batch"`
	// Index is the position of the part within the message, starting at 0.
	Index int `json:"index"`
	// Of is the number of parts of the message.
	Of int `json:"of"`
	// Data is a section of the compressed message.
	Data []byte `json:"data"`
}

// maxUnpackedBytes bounds the size of a decompressed message.
const maxUnpackedBytes = 4 << 20

// ErrTooLarge means that a message does not fit into the allowed number of records.
var ErrTooLarge = errors.New("relay: message too large")

// errMissingPart means that not all parts of a message were given.
var errMissingPart = errors.New("part missing")

// partOverheadBytes is an upper bound for the size of a part in JSON without its data.
const partOverheadBytes = 128

// Pack compresses a message and splits it into at most maxParts parts, each of which takes at most
// maxPartBytes bytes in JSON. It returns ErrTooLarge if the message does not fit.
func Pack(m proto.Message, batch uint64, maxParts, maxPartBytes int) ([]Part, error) {
	raw, err := proto.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("relay: encode batch %d: %w", batch, err)
	}
	buf, err := compress(raw)
	if err != nil {
		return nil, fmt.Errorf("relay: compress batch %d: %w", batch, err)
	}
	maxDataBytes := (maxPartBytes - partOverheadBytes) / 4 * 3 // base64 encodes 3 bytes as 4 characters
	if maxDataBytes <= 0 || buf.Len() > maxParts*maxDataBytes {
		return nil, ErrTooLarge
	}
	count := max(1, (buf.Len()+maxDataBytes-1)/maxDataBytes)
	parts := make([]Part, count)
	for i := range parts {
		parts[i] = Part{Batch: batch, Index: i, Of: count, Data: buf.Next(maxDataBytes)}
	}
	return parts, nil
}

// Unpack restores a message from its parts, which may be in any order and include parts of other
// batches. Each batch is written as a whole, so the current batch is that of the part with index
// 0. It need not be the highest one, since a restarted process numbers its batches from the start.
func Unpack(parts []Part, m proto.Message) error {
	first := slices.IndexFunc(parts, func(p Part) bool { return p.Index == 0 })
	if first < 0 {
		return fmt.Errorf("relay: %w: index 0", errMissingPart)
	}
	batch, count := parts[first].Batch, parts[first].Of
	var data []byte
	for i := range count {
		index := slices.IndexFunc(parts, func(p Part) bool { return p.Batch == batch && p.Index == i })
		if index < 0 {
			return fmt.Errorf("relay: %w: index %d of batch %d", errMissingPart, i, batch)
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

// compress returns the DEFLATE compression of raw.
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
