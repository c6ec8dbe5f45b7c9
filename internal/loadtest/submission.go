package loadtest

import (
	"encoding/json"
	"time"
)

// Submission is a job that a simulated user submits. Its tasks are identical and may run on any
// machine.
type Submission struct {
	ID       string
	Team     string
	Tasks    int
	TaskCPUs float64
	Image    string
	ImageGB  float64
	Estimate time.Duration
	Deadline time.Duration
}

// Body returns the JSON body of the submission request.
func (s *Submission) Body() []byte {
	body, err := json.Marshal(map[string]any{
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
		"SamePlace":  false,
		"Scatter":    false,
		"Windfall":   true,
		"ExpectS":    s.Estimate.Seconds(),
		"GraftS":     0.0,
		"PressS":     0.0,
		"DueS":       s.Deadline.Seconds(),
	})
	if err != nil {
		panic(err) // strings, numbers and booleans always encode
	}
	return body
}
