// Package relay packs the messages between a node and a leader that cannot
// reach each other into records of the state service. It is pure.
package relay

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"sort"

	"google.golang.org/protobuf/proto"
)

// Part is one record of a packed message. Data is written as base64.
type Part struct {
	Batch uint64 `json:"batch"`
	Index int    `json:"index"`
	Of    int    `json:"of"`
	Data  []byte `json:"data"`
}

// maxMessage bounds what is unpacked.
const maxMessage = 4 << 20

// ErrTooLarge means that a message does not fit the records allowed.
var ErrTooLarge = errors.New("relay: too large")

// Pack packs a message into at most parts records of at most size bytes each,
// as they are written.
func Pack(m proto.Message, batch uint64, parts, size int) ([]Part, error) {
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
	each := (size - frame) / 4 * 3
	if each <= 0 || buf.Len() > parts*each {
		return nil, ErrTooLarge
	}
	of := max(1, (buf.Len()+each-1)/each)
	out := make([]Part, of)
	for i := range out {
		out[i] = Part{Batch: batch, Index: i, Of: of, Data: buf.Next(each)}
	}
	return out, nil
}

// Unpack puts a message together from its records. Records of earlier batches
// may stand beside them.
func Unpack(parts []Part, m proto.Message) error {
	sort.Slice(parts, func(i, j int) bool {
		return parts[i].Batch > parts[j].Batch || parts[i].Batch == parts[j].Batch && parts[i].Index < parts[j].Index
	})
	var data []byte
	for i, p := range parts {
		if i == parts[0].Of {
			break
		}
		if p.Batch != parts[0].Batch || p.Index != i {
			return fmt.Errorf("relay: record %d of batch %d is missing", i, parts[0].Batch)
		}
		data = append(data, p.Data...)
	}
	if len(parts) == 0 || len(parts) < parts[0].Of {
		return errors.New("relay: records are missing")
	}
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxMessage))
	if err != nil {
		return fmt.Errorf("relay: %w", err)
	}
	return proto.Unmarshal(raw, m)
}
