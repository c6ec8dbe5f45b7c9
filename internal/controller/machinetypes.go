package controller

import (
	"sync/atomic"

	"example.org/ivytrestle/internal/api"
)

// typesCell holds the machine types. They are replaced whole, so that the
// handlers read them without asking the owner.
type typesCell struct {
	byName atomic.Pointer[map[string]api.MachineType]
}

func (t *typesCell) load() map[string]api.MachineType {
	if p := t.byName.Load(); p != nil {
		return *p
	}
	return nil
}

func (t *typesCell) set(types []api.MachineType) {
	m := make(map[string]api.MachineType, len(types))
	for _, mt := range types {
		m[mt.Name] = mt
	}
	t.byName.Store(&m)
}
