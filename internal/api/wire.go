// Package api defines the wire types of the HTTP API for users and worker agents, and the
// handlers that serve it. Elsewhere, code uses names on the wire only in the clients of this API
// and of external services, in package records (Awaits), and in the simulations of package loadtest.
package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"time"

	fastjson "github.com/segmentio/encoding/json"

	"example.org/ivytrestle/internal/jsonerror"
)

// Phases of a job.
const (
	JobPending   = "pending"
	JobRunning   = "running"
	JobDone      = "done"
	JobCancelled = "withdrawn"
)

// Phases of a task on a machine.
const (
	TaskPulling = "pulling"
	TaskRunning = "running"
	TaskSaving  = "saving"
	TaskExited  = "exited"
)

// Causes of a task's exit. With the last three the machine rejected the task's start.
const (
	CauseDone       = "done"
	CauseHalted     = "halted"
	CauseError      = "error"
	CauseNoCapacity = "no_room"
	CauseBusy       = "busy"
	CauseNoSuch     = "no_such"
)

// Verbs of commands.
const (
	VerbStart = "start"
	VerbStop  = "stop"
	VerbReap  = "reap"
)

// MaxTasks is the maximum number of tasks of a job.
const MaxTasks = 100_000

// MaxBodyBytes is the maximum size of the body of a user's request.
const MaxBodyBytes = 64 << 10

// JobSpec is a job as submitted by its user.
type JobSpec struct {
	ID          string   `json:"NameId"`
	Class       string   `json:"Jobclass"`
	Team        string   `json:"Owner"`
	Shape       string   `json:"Shape"`
	Priority    string   `json:"Precedence"`
	Tasks       int      `json:"Shoots"`
	CPUs        float64  `json:"Cores"`
	GPUs        float64  `json:"Cards"`
	MemoryGB    float64  `json:"MemoryGb"`
	Image       string   `json:"Rootstock"`
	ImageGB     float64  `json:"PullGb"`
	Types       []string `json:"Frames,omitempty"`
	Zone        string   `json:"Bed,omitempty"`
	OneZone     bool     `json:"SamePlace,omitempty"`
	Spread      bool     `json:"Scatter,omitempty"`
	Spot        bool     `json:"Windfall,omitempty"`
	EstimateS   float64  `json:"ExpectS"`
	CheckpointS float64  `json:"GraftS,omitempty"`
	SaveS       float64  `json:"PressS,omitempty"`
	DeadlineS   float64  `json:"DueS,omitempty"`
	// DependsOn lists the jobs that must be done before any task of this job starts,
	// without duplicates.
	DependsOn []string `json:"Awaits,omitempty"`
}

// Estimate returns the owner's estimate of a task's run time.
func (s *JobSpec) Estimate() time.Duration { return time.Duration(s.EstimateS * float64(time.Second)) }

// SaveDuration returns how long a task takes to save a checkpoint.
func (s *JobSpec) SaveDuration() time.Duration { return time.Duration(s.SaveS * float64(time.Second)) }

// AllowsType reports whether the job's tasks may run on machines of the given type.
func (s *JobSpec) AllowsType(typ string) bool { return s.Types == nil || slices.Contains(s.Types, typ) }

// MaxTasksPerZone returns how many tasks of a job with Spread may be in the same zone: half of them,
// rounded up.
func (s *JobSpec) MaxTasksPerZone() int { return (s.Tasks + 1) / 2 }

// submission is the decoded form of a JobSpec. Its fields are pointers to distinguish a missing
// field from a zero value.
type submission struct {
	ID          *string   `json:"NameId"`
	Class       *string   `json:"Jobclass"`
	Team        *string   `json:"Owner"`
	Shape       *string   `json:"Shape"`
	Priority    *string   `json:"Precedence"`
	Tasks       *int      `json:"Shoots"`
	CPUs        *float64  `json:"Cores"`
	GPUs        *float64  `json:"Cards"`
	MemoryGB    *float64  `json:"MemoryGb"`
	Image       *string   `json:"Rootstock"`
	ImageGB     *float64  `json:"PullGb"`
	Types       []*string `json:"Frames"`
	Zone        *string   `json:"Bed"`
	OneZone     *bool     `json:"SamePlace"`
	Spread      *bool     `json:"Scatter"`
	Spot        *bool     `json:"Windfall"`
	EstimateS   *float64  `json:"ExpectS"`
	CheckpointS *float64  `json:"GraftS"`
	SaveS       *float64  `json:"PressS"`
	DeadlineS   *float64  `json:"DueS"`
	DependsOn   []*string `json:"Awaits"`
}

var jobIDPattern = regexp.MustCompile(`^job-[0-9]{1,20}$`)

// ValidJobID reports whether a job ID has the form that the protocol requires.
func ValidJobID(id string) bool { return jobIDPattern.MatchString(id) }

// ParseSubmission decodes and validates a submission. If the body is invalid but contains a
// well-formed ID, that ID is returned with the error: the response to a repeated submission is
// the job's state, even if the repeat is otherwise invalid.
func ParseSubmission(body []byte) (spec *JobSpec, id string, err error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, "", fmt.Errorf("not a valid job: %w", jsonerror.Describe(body, err))
	}
	// The decoder matches field names regardless of case, but in the protocol a name that
	// differs in case is an unknown field. The map has kept the last of duplicate fields.
	for name := range fields {
		if !submissionFields[name] {
			delete(fields, name)
		}
	}
	if json.Unmarshal(fields["NameId"], &id) != nil || !ValidJobID(id) {
		id = ""
	}
	knownFields, err := json.Marshal(fields)
	if err != nil {
		return nil, id, fmt.Errorf("not a valid job: %w", err)
	}
	var in submission
	if err := json.Unmarshal(knownFields, &in); err != nil {
		return nil, id, fmt.Errorf("not a valid job: %w", jsonerror.Describe(knownFields, err))
	}
	spec, err = in.toSpec()
	return spec, id, err
}

// submissionFields is the set of the JSON field names of a submission.
var submissionFields = func() map[string]bool {
	names := map[string]bool{}
	for _, f := range reflect.VisibleFields(reflect.TypeFor[submission]()) {
		names[f.Tag.Get("json")] = true
	}
	return names
}()

// checkRequired returns an error that names the first missing required field, if any.
func (in *submission) checkRequired() error {
	for _, f := range []struct {
		name    string
		missing bool
	}{
		{"NameId", in.ID == nil}, {"Jobclass", in.Class == nil}, {"Owner", in.Team == nil},
		{"Shape", in.Shape == nil}, {"Precedence", in.Priority == nil}, {"Shoots", in.Tasks == nil},
		{"Cores", in.CPUs == nil}, {"Cards", in.GPUs == nil}, {"MemoryGb", in.MemoryGB == nil},
		{"Rootstock", in.Image == nil}, {"PullGb", in.ImageGB == nil}, {"SamePlace", in.OneZone == nil},
		{"Scatter", in.Spread == nil}, {"Windfall", in.Spot == nil}, {"ExpectS", in.EstimateS == nil},
		{"GraftS", in.CheckpointS == nil}, {"PressS", in.SaveS == nil},
	} {
		if f.missing {
			return fmt.Errorf("field %s is missing or null", f.name)
		}
	}
	return nil
}

// toSpec validates a submission and returns the job that it describes.
func (in *submission) toSpec() (*JobSpec, error) {
	if err := in.checkRequired(); err != nil {
		return nil, err
	}
	s := &JobSpec{
		ID: *in.ID, Class: *in.Class, Team: *in.Team, Shape: *in.Shape, Priority: *in.Priority,
		Tasks: *in.Tasks, CPUs: *in.CPUs, GPUs: *in.GPUs, MemoryGB: *in.MemoryGB,
		Image: *in.Image, ImageGB: *in.ImageGB, OneZone: *in.OneZone,
		Spread: *in.Spread, Spot: *in.Spot, EstimateS: *in.EstimateS,
		CheckpointS: *in.CheckpointS, SaveS: *in.SaveS,
	}
	if in.Types != nil {
		s.Types = make([]string, len(in.Types)) // not nil: an empty list allows no type, a missing list any
	}
	for i, typ := range in.Types {
		if typ == nil {
			// Without this check, null would decode as a type with an empty name.
			return nil, errors.New("field Frames: must list names of machine types, found null")
		}
		s.Types[i] = *typ
	}
	if in.Zone != nil {
		s.Zone = *in.Zone
		if s.Zone == "" {
			return nil, errors.New("field Bed is empty")
		}
	}
	if in.DeadlineS != nil {
		s.DeadlineS = *in.DeadlineS
		if !(s.DeadlineS > 0) {
			return nil, fmt.Errorf("field DueS: must be above 0, found %g", s.DeadlineS)
		}
	}
	if err := s.validate(); err != nil {
		return s, err
	}
	dependencies, err := in.dependencies()
	s.DependsOn = dependencies
	return s, err
}

// dependencies returns the IDs of the jobs that a submission depends on, without duplicates,
// in the order in which they first appear.
func (in *submission) dependencies() ([]string, error) {
	var ids []string
	seen := make(map[string]bool, len(in.DependsOn))
	for _, id := range in.DependsOn {
		switch {
		case id == nil:
			return nil, errors.New("field Awaits: must list job IDs (job-NUMBER), found null")
		case !ValidJobID(*id):
			return nil, fmt.Errorf("field Awaits: must list job IDs (job-NUMBER), found %q", *id)
		case *id == *in.ID:
			return nil, fmt.Errorf("field Awaits: must list other jobs, found the job itself, %s", *id)
		case !seen[*id]:
			seen[*id] = true
			ids = append(ids, *id)
		}
	}
	return ids, nil
}

// maxAmount is the maximum size of an image in GB, and the maximum duration in seconds. Larger
// values would overflow sums and time.Duration.
const maxAmount = 1e9

// validate checks the values that toSpec copies without a check.
func (s *JobSpec) validate() error {
	switch {
	case !ValidJobID(s.ID):
		return fmt.Errorf("field NameId: must be job-NUMBER with 1 to 20 digits, found %q", s.ID)
	case s.Class == "":
		return errors.New("field Jobclass is empty")
	case s.Team == "":
		return errors.New("field Owner is empty")
	case s.Shape != "array":
		return fmt.Errorf("field Shape: must be array, found %q", s.Shape)
	case PriorityRank(s.Priority) < 0:
		return fmt.Errorf("field Precedence: must be prod, urgent, standard or low, found %q", s.Priority)
	case s.Tasks < 1 || s.Tasks > MaxTasks:
		return fmt.Errorf("field Shoots: must be from 1 to %d, found %d", MaxTasks, s.Tasks)
	case s.Image == "":
		return errors.New("field Rootstock is empty")
	}
	for _, f := range []struct {
		name  string
		value float64
		max   float64
	}{
		// A requirement that exceeds every machine is valid here: the backend rejects the job
		// as unschedulable.
		{"Cores", s.CPUs, math.MaxFloat64}, {"Cards", s.GPUs, math.MaxFloat64},
		{"MemoryGb", s.MemoryGB, math.MaxFloat64},
		{"PullGb", s.ImageGB, maxAmount}, {"ExpectS", s.EstimateS, maxAmount},
		{"GraftS", s.CheckpointS, maxAmount}, {"PressS", s.SaveS, maxAmount}, {"DueS", s.DeadlineS, maxAmount},
	} {
		if !(f.value >= 0 && f.value <= f.max) {
			allowed := fmt.Sprintf("from 0 to %g", f.max)
			if f.max == math.MaxFloat64 {
				allowed = "0 or more"
			}
			return fmt.Errorf("field %s: must be %s, found %g", f.name, allowed, f.value)
		}
	}
	return nil
}

// PriorityRank returns the rank of a priority, 0 for the highest, or -1 for an unknown one.
func PriorityRank(priority string) int {
	switch priority {
	case "prod":
		return 0
	case "urgent":
		return 1
	case "standard":
		return 2
	case "low":
		return 3
	}
	return -1
}

// JobState is a job's state as shown to users.
type JobState struct {
	ID      string `json:"NameId"`
	Phase   string `json:"Phase"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
	// DependsOn lists the jobs that an unfinished job is waiting for.
	DependsOn []string `json:"Awaits,omitempty"`
	// Cell names the cell that hosts the job, if the job is on loan.
	Cell string `json:"Cell,omitempty"`
	// EndedAt is when the job was done, or zero if that is unknown. It is not shown to users.
	EndedAt time.Time `json:"-"`
	// DerivedCancel is set if the job is cancelled because a job that it depends on is
	// cancelled; its own terminal record may not be written yet. It is not shown to users.
	DerivedCancel bool `json:"-"`
}

// Final reports whether the job is done or cancelled.
func (s JobState) Final() bool { return s.Phase == JobDone || s.Phase == JobCancelled }

// Heartbeat is a worker agent's message about its machine and the status of its tasks.
type Heartbeat struct {
	Machine           string       `json:"Host"`
	Addr              string       `json:"Addr"`
	Type              string       `json:"Frame"`
	Zone              string       `json:"Bed"`
	Spot              bool         `json:"Windfall"`
	AgentEpoch        uint64       `json:"Season"`
	Seq               uint64       `json:"Tally"`
	Token             uint64       `json:"Warrant"`
	PreemptionNoticeS *float64     `json:"ReclaimS"`
	Tasks             []TaskStatus `json:"Shoots"`
}

// TaskStatus is the status of one task in a heartbeat.
type TaskStatus struct {
	Task    string `json:"Shoot"`
	Attempt uint64 `json:"Sprout"`
	Phase   string `json:"Phase"`
	Cause   string `json:"Cause"`
	Saved   bool   `json:"Kept"`
}

// Limits of a heartbeat that is decoded by fastjson, whose recursion has no depth limit: on a body
// of nested brackets its stack would grow beyond the memory of the smallest controllers.
const (
	// maxFastArrays is the maximum number of arrays.
	maxFastArrays = 256
	// maxFastObjects is the maximum number of objects. A task is an object of 50 bytes or more,
	// so a heartbeat of MaxBodyBytes has fewer of them.
	maxFastObjects = 2048
)

// ParseHeartbeat decodes a heartbeat. Its strings, except phases and causes, may share memory with
// body, which must not be modified afterwards. Clone those that outlive the request.
func ParseHeartbeat(body []byte) (*Heartbeat, error) {
	var heartbeat Heartbeat
	var err error
	if bytes.Count(body, []byte("[")) > maxFastArrays || bytes.Count(body, []byte("{")) > maxFastObjects {
		err = json.Unmarshal(body, &heartbeat)
	} else {
		// Heartbeats are most of a leader's input, and fastjson decodes them in a quarter of
		// the time that the standard library takes.
		var rest []byte
		rest, err = fastjson.Parse(body, &heartbeat, fastjson.ZeroCopy)
		if err == nil && len(rest) > 0 {
			err = errors.New("more than one JSON value")
		}
	}
	if err != nil {
		return nil, fmt.Errorf("not a valid heartbeat: %w", err)
	}
	if heartbeat.Machine == "" {
		return nil, errors.New("field Host is missing or empty")
	}
	for i := range heartbeat.Tasks {
		t := &heartbeat.Tasks[i]
		t.Phase, t.Cause = cloneString(t.Phase), cloneString(t.Cause)
	}
	return &heartbeat, nil
}

// cloneString returns a copy of a phase or cause that shares no memory with a heartbeat's body.
// For known values it returns a constant, to avoid the allocation.
func cloneString(s string) string {
	for _, known := range [...]string{"", TaskRunning, TaskExited, CauseDone, TaskPulling, TaskSaving,
		CauseHalted, CauseError, CauseNoCapacity, CauseBusy, CauseNoSuch} {
		if s == known {
			return known
		}
	}
	return strings.Clone(s)
}

// Command instructs a worker agent to start, stop or reap a task.
type Command struct {
	Verb    string   `json:"Verb"`
	Task    string   `json:"Shoot"`
	Attempt uint64   `json:"Sprout"`
	GraceS  *float64 `json:"GraceS,omitempty"`
}

// Errors of a command batch that got no successful response.
var (
	// ErrCommandsNotApplied means that the commands were not applied, and never will be.
	ErrCommandsNotApplied = errors.New("commands not applied")
	// ErrCommandsOutcomeUnknown means that the commands may have been applied, or may still be
	// applied later.
	ErrCommandsOutcomeUnknown = errors.New("outcome of commands unknown")
)

// CommandBatch is a batch of commands that is sent to a machine directly, not in a heartbeat
// response. It is valid for one agent epoch.
type CommandBatch struct {
	Token      uint64    `json:"Warrant"`
	AgentEpoch uint64    `json:"Season"`
	Commands   []Command `json:"Orders"`
}

// HeartbeatResponse is the response to a heartbeat.
type HeartbeatResponse struct {
	Token    uint64    `json:"Warrant"`
	Commands []Command `json:"Orders"`
}

// MachineType is a type of machine that the cloud offers.
type MachineType struct {
	Name      string   `json:"Label"`
	CPUs      float64  `json:"Cores"`
	GPUs      float64  `json:"Cards"`
	MemoryGB  float64  `json:"MemoryGb"`
	CacheGB   float64  `json:"LocalGb"`
	FetchGBs  float64  `json:"PullGbPerS"`
	Price     float64  `json:"Hourly"`
	SpotPrice float64  `json:"LowPrice"`
	BootS     float64  `json:"StartupS"`
	Zones     []string `json:"Beds"`
}
