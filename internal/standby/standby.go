// Package standby reads and checks the file that lets other controllers replace a leader
// which is gone before its lease at the state service ends.
package standby

import (
	_ "embed"
	"time"

	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/deployfile"
)

// Settings say how a leader is replaced.
type Settings struct {
	// VoteLifetimeS is for how long the other controllers grant the leader that it decides.
	VoteLifetimeS float64 `json:"grant_s"`
}

// VoteLifetime is how long a grant lasts.
func (s *Settings) VoteLifetime() time.Duration { return config.Duration(s.VoteLifetimeS) }

//go:embed schema.json
var schema []byte

// Load reads and checks the file.
func Load(path string) (*Settings, error) {
	s := &Settings{}
	return s, deployfile.Load("standby", path, schema, s, func() error { return nil })
}
