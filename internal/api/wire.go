// Package api holds the wire types of the interfaces of users and worker agents and
// the handlers that serve them. Wire names appear only in this package and in the
// clients of external services.
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

	fast "github.com/segmentio/encoding/json"

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

// Causes of a task's exit.
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

// MaxTasks is the largest number of tasks of a job.
const MaxTasks = 100_000

// MaxBodyBytes is the largest body of a user's request.
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
	// DependsOn lists the jobs that must be done before a task of this one starts,
	// without duplicates.
	DependsOn []string `json:"Awaits,omitempty"`
}

// Estimate returns the owner's estimate of a task's run time.
func (s *JobSpec) Estimate() time.Duration { return time.Duration(s.EstimateS * float64(time.Second)) }

// SaveDuration returns the time that a task needs to save a checkpoint.
func (s *JobSpec) SaveDuration() time.Duration { return time.Duration(s.SaveS * float64(time.Second)) }

// AllowsType reports whether the job's tasks may run on machines of a type.
func (s *JobSpec) AllowsType(typ string) bool { return s.Types == nil || slices.Contains(s.Types, typ) }

// submission is a JobSpec as decoded: pointers tell a missing field from a zero one.
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

// ValidJobID reports whether a job ID has the protocol's form.
func ValidJobID(id string) bool { return jobIDPattern.MatchString(id) }

// ParseSubmission decodes and validates a submission. If the body is invalid but
// holds a well-formed ID, that ID is returned with the error, since the repeat of a
// known job gets its state whatever else it holds.
func ParseSubmission(body []byte) (spec *JobSpec, id string, err error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, "", fmt.Errorf("not a valid job: %w", jsonerror.Describe(body, err))
	}
	// The decoder would match field names regardless of case; by the protocol a name
	// that differs in case is an unknown field. Of duplicate fields the map has kept
	// the last.
	for name := range fields {
		if !submissionFields[name] {
			delete(fields, name)
		}
	}
	if json.Unmarshal(fields["NameId"], &id) != nil || !ValidJobID(id) {
		id = ""
	}
	known, err := json.Marshal(fields)
	if err != nil {
		return nil, id, fmt.Errorf("not a valid job: %w", err)
	}
	var in submission
	if err := json.Unmarshal(known, &in); err != nil {
		return nil, id, fmt.Errorf("not a valid job: %w", jsonerror.Describe(known, err))
	}
	spec, err = in.toSpec()
	return spec, id, err
}

// submissionFields is the set of a submission's field names.
var submissionFields = func() map[string]bool {
	names := map[string]bool{}
	for _, f := range reflect.VisibleFields(reflect.TypeFor[submission]()) {
		names[f.Tag.Get("json")] = true
	}
	return names
}()

// checkRequired returns an error that names the first required field that is missing.
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
			return fmt.Errorf("field %s is missing", f.name)
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
		s.Types = make([]string, len(in.Types)) // an empty list allows no type, a missing one any
	}
	for i, typ := range in.Types {
		if typ == nil {
			// The decoder would read it as a type with an empty name.
			return nil, errors.New("field Frames holds null")
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
			return nil, errors.New("field DueS must be above 0")
		}
	}
	if err := s.validate(); err != nil {
		return s, err
	}
	dependencies, err := in.dependencies()
	s.DependsOn = dependencies
	return s, err
}

// dependencies returns the jobs that a submission depends on, without duplicates, in
// the order of first mention.
func (in *submission) dependencies() ([]string, error) {
	var ids []string
	seen := make(map[string]bool, len(in.DependsOn))
	for _, id := range in.DependsOn {
		switch {
		case id == nil:
			return nil, errors.New("field Awaits holds null")
		case !ValidJobID(*id):
			return nil, fmt.Errorf("field Awaits: %q is no job id", *id)
		case *id == *in.ID:
			return nil, errors.New("field Awaits names the job itself")
		case !seen[*id]:
			seen[*id] = true
			ids = append(ids, *id)
		}
	}
	return ids, nil
}

// maxAmount is the largest size of an image in GB, and the longest duration in seconds.
const maxAmount = 1e9

func (s *JobSpec) validate() error {
	switch {
	case !ValidJobID(s.ID):
		return errors.New("field NameId has the wrong form")
	case s.Class == "":
		return errors.New("field Jobclass is empty")
	case s.Team == "":
		return errors.New("field Owner is empty")
	case s.Shape != "array":
		return fmt.Errorf("field Shape: %q is not served", s.Shape)
	case PriorityRank(s.Priority) < 0:
		return fmt.Errorf("field Precedence: %q is unknown", s.Priority)
	case s.Tasks < 1 || s.Tasks > MaxTasks:
		return fmt.Errorf("field Shoots must be 1 to %d", MaxTasks)
	case s.Image == "":
		return errors.New("field Rootstock is empty")
	}
	for _, f := range []struct {
		name string
		v    float64
		max  float64
	}{
		// More than any machine has is well-formed: the job is unschedulable, not invalid.
		{"Cores", s.CPUs, math.MaxFloat64}, {"Cards", s.GPUs, math.MaxFloat64},
		{"MemoryGb", s.MemoryGB, math.MaxFloat64},
		// Sums and durations of larger values would overflow.
		{"PullGb", s.ImageGB, maxAmount}, {"ExpectS", s.EstimateS, maxAmount},
		{"GraftS", s.CheckpointS, maxAmount}, {"PressS", s.SaveS, maxAmount}, {"DueS", s.DeadlineS, maxAmount},
	} {
		if !(f.v >= 0 && f.v <= f.max) {
			return fmt.Errorf("field %s must be from 0 to %g", f.name, f.max)
		}
	}
	return nil
}

// PriorityRank orders priorities, the highest first; it is -1 for an unknown one.
func PriorityRank(p string) int {
	switch p {
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
	// DependsOn lists the jobs that an unfinished job waits for.
	DependsOn []string `json:"Awaits,omitempty"`
	// Cell is the cell that hosts the job, if it is on loan.
	Cell string `json:"Cell,omitempty"`
	// EndedAt is when the job was done, if that is known. It is not shown to users.
	EndedAt time.Time `json:"-"`
	// DerivedCancel is set if the job is cancelled because one that it depends on is, and may
	// have no terminal record of its own yet. It is not shown to users.
	DerivedCancel bool `json:"-"`
}

// Final reports whether the job has ended.
func (s JobState) Final() bool { return s.Phase == JobDone || s.Phase == JobCancelled }

// Heartbeat is a worker agent's message with the status of its tasks.
type Heartbeat struct {
	Machine           string       `json:"Host"`
	Addr              string       `json:"Addr"`
	Type              string       `json:"Frame"`
	Zone              string       `json:"Bed"`
	Spot              bool         `json:"Windfall"`
	AgentEpoch        uint64       `json:"Season"`
	Seq               uint64       `json:"Tally"`
	Term              uint64       `json:"Warrant"`
	PreemptionNoticeS *float64     `json:"ReclaimS"`
	Tasks             []TaskStatus `json:"Shoots"`
}

// TaskStatus is one task of a heartbeat.
type TaskStatus struct {
	Task    string `json:"Shoot"`
	Attempt uint64 `json:"Sprout"`
	Phase   string `json:"Phase"`
	Cause   string `json:"Cause"`
	Saved   bool   `json:"Kept"`
}

// maxFastArrays and maxFastObjects limit the arrays and objects that a heartbeat may
// open to be read by the fast decoder. That recurses to any depth: on a body full of
// brackets its stack would grow beyond the memory of the smallest controllers. Each
// task is an object of fifty bytes or more, so MaxBodyBytes holds fewer of them.
const (
	maxFastArrays  = 256
	maxFastObjects = 2048
)

// ParseHeartbeat decodes a heartbeat. Its strings share the memory of body, which must
// not change afterwards; clone what outlives the request.
func ParseHeartbeat(body []byte) (*Heartbeat, error) {
	var hb Heartbeat
	var err error
	if bytes.Count(body, []byte("[")) > maxFastArrays || bytes.Count(body, []byte("{")) > maxFastObjects {
		err = json.Unmarshal(body, &hb)
	} else {
		// Heartbeats are most of what a leader reads, and this decoder takes a
		// quarter of the standard library's time for them.
		var rest []byte
		rest, err = fast.Parse(body, &hb, fast.ZeroCopy)
		if err == nil && len(rest) > 0 {
			err = errors.New("more than one value")
		}
	}
	if err != nil {
		return nil, fmt.Errorf("not a valid report: %w", err)
	}
	if hb.Machine == "" {
		return nil, errors.New("field Host is missing")
	}
	for i := range hb.Tasks {
		t := &hb.Tasks[i]
		t.Phase, t.Cause = cloneString(t.Phase), cloneString(t.Cause)
	}
	return &hb, nil
}

// cloneString returns a string that shares no memory with a heartbeat's body: a
// constant for a known phase or cause, and a copy otherwise.
func cloneString(s string) string {
	for _, known := range [...]string{"", TaskRunning, TaskExited, CauseDone, TaskPulling, TaskSaving,
		CauseHalted, CauseError, CauseNoCapacity, CauseBusy, CauseNoSuch} {
		if s == known {
			return known
		}
	}
	return strings.Clone(s)
}

// Command starts, stops or reaps a task of a machine.
type Command struct {
	Verb    string   `json:"Verb"`
	Task    string   `json:"Shoot"`
	Attempt uint64   `json:"Sprout"`
	GraceS  *float64 `json:"GraceS,omitempty"`
}

// Outcomes of a command batch without a successful response.
var (
	// ErrCommandsNotApplied means that the commands were not and will not be applied.
	ErrCommandsNotApplied = errors.New("commands not applied")
	// ErrCommandsOutcomeUnknown means that they may have been applied, or may yet be.
	ErrCommandsOutcomeUnknown = errors.New("outcome of commands unknown")
)

// CommandBatch holds commands sent to a machine outside a heartbeat response. It is
// valid for one agent epoch.
type CommandBatch struct {
	Term       uint64    `json:"Warrant"`
	AgentEpoch uint64    `json:"Season"`
	Commands   []Command `json:"Orders"`
}

// HeartbeatResponse is the response to a heartbeat.
type HeartbeatResponse struct {
	Term     uint64    `json:"Warrant"`
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
