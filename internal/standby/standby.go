// Package standby loads and validates the failover settings file. With this file, the other
// controllers can replace a failed leader before its lease at the key-value store expires.
package standby

import (
	_ "embed"
	"time"

	"example.org/ivytrestle/internal/config"
	"example.org/ivytrestle/internal/deployfile"
)

// Settings are the settings of the failover.
type Settings struct {
	// VoteLifetimeS is the time, in seconds, for which another controller's vote for the leader
	// is valid.
	VoteLifetimeS float64 `json:"grant_s"`
}

// VoteLifetime returns the time for which a vote is valid.
func (s *Settings) VoteLifetime() time.Duration { return config.Duration(s.VoteLifetimeS) }

//go:embed schema.json
var schema []byte

// Load reads a settings file and validates it against the schema.
func Load(path string) (*Settings, error) {
	s := &Settings{}
	return s, deployfile.Load("standby", path, schema, s, func() error { return nil })
}
