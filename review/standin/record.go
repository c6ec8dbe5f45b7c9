// Command standin plays everything around the controllers of a small deployment on loopback
// addresses: the state service, the cloud, the workers and the users. It starts the controllers as
// separate processes, plays one case of the review, and checks the rule of that case from outside.
package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record collects what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	start time.Time
	lines []string
}

func newRecord() *record { return &record{start: time.Now()} }

// since returns the time since the start of the record, in seconds.
func (r *record) since(at time.Time) float64 { return at.Sub(r.start).Seconds() }

// add adds a line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%7.2f  ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
	r.lines = append(r.lines, line)
}

// write writes the record to a file.
func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}
