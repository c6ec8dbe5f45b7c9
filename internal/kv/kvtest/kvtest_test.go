package kvtest

import (
	"errors"
	"slices"
	"strings"
	"testing"

	"example.org/ivytrestle/internal/kv"
)

// The fake must reject exactly the transactions that exceed the limits of the real store. Otherwise
// tests that rely on it prove nothing.
func TestTransactionLimits(t *testing.T) {
	deletes := func(n int) []kv.Op { return slices.Repeat([]kv.Op{{Delete: "absent"}}, n) }
	put := func(bytes int) []kv.Op { return []kv.Op{{Put: "k", Value: strings.Repeat("v", bytes-2)}} }
	threePuts := func(bytes int) []kv.Op { return slices.Repeat(put(bytes), 3) }
	failingCompare := []kv.Compare{{Key: "none", ModRevision: 7}}
	for _, c := range []struct {
		name       string
		valueBytes int
		txn        kv.Txn
		want       error
	}{
		{"operations", 100, kv.Txn{Ops: deletes(3)}, nil},
		{"too many operations", 100, kv.Txn{Ops: deletes(4)}, kv.ErrInvalid},
		{"compares", 100, kv.Txn{Compares: make([]kv.Compare, 12)}, nil},
		{"too many compares", 100, kv.Txn{Compares: make([]kv.Compare, 13)}, kv.ErrInvalid},
		{"value", 100, kv.Txn{Ops: put(100)}, nil},
		{"value too large", 100, kv.Txn{Ops: put(101)}, kv.ErrInvalid},
		{"value too large, compare fails", 100, kv.Txn{Compares: failingCompare, Ops: put(101)}, kv.ErrInvalid},
		{"transaction", 1 << 20, kv.Txn{Ops: threePuts(21000)}, nil},
		{"transaction too large", 1 << 20, kv.Txn{Ops: threePuts(22000)}, kv.ErrInvalid},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := New()
			f.SetLimits(c.valueBytes, 3)
			if _, err := f.Txn(t.Context(), c.txn); !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
			if rejected := f.RejectedAsTooLarge(); (len(rejected) > 0) != (c.want != nil) {
				t.Errorf("RejectedAsTooLarge: got %v, want an entry only for a rejected transaction", rejected)
			}
		})
	}
}

// A stored value that exceeds limits lowered later must stay readable and deletable.
func TestValueAboveLoweredLimitStaysReadable(t *testing.T) {
	ctx := t.Context()
	f := New()
	if _, err := f.Txn(ctx, kv.Txn{Ops: []kv.Op{{Put: "k", Value: strings.Repeat("v", 500)}}}); err != nil {
		t.Fatal(err)
	}
	f.SetLimits(100, 3)
	if e, err := f.Get(ctx, "k"); err != nil || len(e.Value) != 502 {
		t.Errorf("got %d bytes, %v, want 502", len(e.Value), err)
	}
	if res, err := f.Txn(ctx, kv.Txn{Ops: []kv.Op{{Delete: "k"}}}); err != nil || !res.Succeeded || f.Has("k") {
		t.Errorf("not deleted: %+v, %v", res, err)
	}
}
