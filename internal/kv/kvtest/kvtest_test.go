package kvtest

import (
	"context"
	"errors"
	"strings"
	"testing"

	"example.org/ivytrestle/internal/kv"
)

// The stand-in refuses what the real service would, and no more: or tests would
// show nothing.
func TestTransactionLimits(t *testing.T) {
	ctx := context.Background()
	ops := func(n int) (out []kv.Op) {
		for range n {
			out = append(out, kv.Op{Delete: "gone"})
		}
		return out
	}
	value := func(n int) []kv.Op { return []kv.Op{{Put: "k", Value: strings.Repeat("v", n-2)}} }
	large := func(n int) (out []kv.Op) {
		for range 3 {
			out = append(out, value(n)...)
		}
		return out
	}
	for _, c := range []struct {
		name       string
		valueBytes int
		txn        kv.Txn
		want       error
	}{
		{"changes", 100, kv.Txn{Ops: ops(3)}, nil},
		{"too many changes", 100, kv.Txn{Ops: ops(4)}, kv.ErrInvalid},
		{"conditions", 100, kv.Txn{Compares: make([]kv.Compare, 12)}, nil},
		{"too many conditions", 100, kv.Txn{Compares: make([]kv.Compare, 13)}, kv.ErrInvalid},
		{"value", 100, kv.Txn{Ops: value(100)}, nil},
		{"too large a value", 100, kv.Txn{Ops: value(101)}, kv.ErrInvalid},
		{"too large whatever the conditions", 100, kv.Txn{Compares: []kv.Compare{{Key: "none", ModRevision: 7}}, Ops: value(101)}, kv.ErrInvalid},
		{"in all", 1 << 20, kv.Txn{Ops: large(21000)}, nil},
		{"too large in all", 1 << 20, kv.Txn{Ops: large(22000)}, kv.ErrInvalid},
	} {
		f := New()
		f.SetLimits(c.valueBytes, 3)
		if _, err := f.Txn(ctx, c.txn); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
		if refused := f.TooLarge(); (len(refused) > 0) != (c.want != nil) {
			t.Errorf("%s: told %v", c.name, refused)
		}
	}
}

// What is stored when the limits change stays readable.
func TestValueAboveLoweredLimitStaysReadable(t *testing.T) {
	ctx := context.Background()
	f := New()
	if _, err := f.Txn(ctx, kv.Txn{Ops: []kv.Op{{Put: "k", Value: strings.Repeat("v", 500)}}}); err != nil {
		t.Fatal(err)
	}
	f.SetLimits(100, 3)
	if e, err := f.Get(ctx, "k"); err != nil || len(e.Value) != 502 {
		t.Errorf("%d bytes, %v", len(e.Value), err)
	}
	if res, err := f.Txn(ctx, kv.Txn{Ops: []kv.Op{{Delete: "k"}}}); err != nil || !res.Succeeded || f.Has("k") {
		t.Errorf("not dropped: %v, %v", res, err)
	}
}
