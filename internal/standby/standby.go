// Package standby reads and checks the file that lets other controllers replace a failed leader
// before its lease at the key-value store expires.
package standby

import (
	_ "embed"
	"time"

	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/deployfile"
)

// Settings say how a leader is replaced.
type Settings struct {
	// VoteLifetimeS is for how long, in seconds, a vote of another controller for the leader
	// is valid.
	VoteLifetimeS float64 `json:"grant_s"`
}

// VoteLifetime is for how long a vote is valid.
func (s *Settings) VoteLifetime() time.Duration { return config.Duration(s.VoteLifetimeS) }

//go:embed schema.json
var schema []byte

// Load reads and checks the file.
func Load(path string) (*Settings, error) {
	s := &Settings{}
	return s, deployfile.Load("standby", path, schema, s, func() error { return nil })
}
