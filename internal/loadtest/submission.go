package loadtest

import (
	"encoding/json"
	"maps"
	"time"
)

// Submission is a job that a simulated user submits. Its tasks are identical. Unless it says otherwise,
// they may run on any machine.
type Submission struct {
	ID       string
	Team     string
	Tasks    int
	TaskCPUs float64
	Image    string
	ImageGB  float64
	Estimate time.Duration
	Deadline time.Duration
	// Types and Zone restrict the machines, if set. OneZone and Spread restrict the zones of the tasks
	// that run at the same time, and NoSpot keeps them off spot machines.
	Types                   []string
	Zone                    string
	OneZone, Spread, NoSpot bool
}

// Body returns the JSON body of the submission request.
func (s *Submission) Body() []byte { return s.BodyWith(nil) }

// BodyWith returns the JSON body of the submission request with some fields changed, by their names on
// the wire.
func (s *Submission) BodyWith(changes map[string]any) []byte {
	fields := map[string]any{
		"NameId":     s.ID,
		"Jobclass":   "c",
		"Owner":      s.Team,
		"Shape":      "array",
		"Precedence": "standard",
		"Shoots":     s.Tasks,
		"Cores":      s.TaskCPUs,
		"Cards":      0.0,
		"MemoryGb":   1.0,
		"Rootstock":  s.Image,
		"PullGb":     s.ImageGB,
		"Frames":     s.Types,
		"SamePlace":  s.OneZone,
		"Scatter":    s.Spread,
		"Windfall":   !s.NoSpot,
		"ExpectS":    s.Estimate.Seconds(),
		"GraftS":     0.0,
		"PressS":     0.0,
		"DueS":       s.Deadline.Seconds(),
	}
	if s.Zone != "" {
		fields["Bed"] = s.Zone
	}
	maps.Copy(fields, changes)
	body, err := json.Marshal(fields)
	if err != nil {
		panic(err) // strings, numbers and booleans always encode
	}
	return body
}
