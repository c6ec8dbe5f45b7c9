// Package api holds the wire types of the users' and workers' interfaces and
// the handlers that serve them. The protocol's own words stay in this package
// and in the clients of the outside services.
package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"reflect"
	"regexp"
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

// Phases of a task on a worker.
const (
	TaskPulling = "pulling"
	TaskRunning = "running"
	TaskSaving  = "saving"
	TaskExited  = "exited"
)

// Causes of a task's exit.
const (
	CauseDone   = "done"
	CauseHalted = "halted"
	CauseError  = "error"
	CauseNoRoom = "no_room"
	CauseBusy   = "busy"
	CauseNoSuch = "no_such"
)

// Verbs of orders.
const (
	VerbStart = "start"
	VerbStop  = "stop"
	VerbReap  = "reap"
)

// MaxTasks is the largest number of tasks of a job.
const MaxTasks = 100_000

// MaxBody is the largest body of a request.
const MaxBody = 64 << 10

// JobSpec is a job as its user submitted it.
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
	// DependsOn are the jobs that must be done before a task of this one starts, each
	// named once.
	DependsOn []string `json:"Awaits,omitempty"`
}

// Estimate is the owner's estimate of a task's run time.
func (s *JobSpec) Estimate() time.Duration { return time.Duration(s.EstimateS * float64(time.Second)) }

// Save is the time a task needs to save.
func (s *JobSpec) Save() time.Duration { return time.Duration(s.SaveS * float64(time.Second)) }

// submission has a pointer for every field whose absence must be noticed.
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

var idPattern = regexp.MustCompile(`^job-[0-9]{1,20}$`)

// ValidID tells whether a job id has the protocol's form.
func ValidID(id string) bool { return idPattern.MatchString(id) }

// ParseSubmission decodes and checks a submission. Where the body is invalid
// but names a well-formed id, that id is returned with the error, since the
// repeat of a known job is answered whatever else it holds.
func ParseSubmission(body []byte) (spec *JobSpec, id string, err error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, "", fmt.Errorf("not a valid job: %w", jsonerror.Describe(body, err))
	}
	// The decoder would take a field whose name differs in case only for the
	// one that it resembles; by the protocol it is an unknown one. What comes
	// twice is here once.
	for name := range fields {
		if !submissionFields[name] {
			delete(fields, name)
		}
	}
	if json.Unmarshal(fields["NameId"], &id) != nil || !ValidID(id) {
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

// submissionFields are the names of a submission's fields.
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

// toSpec checks a submission and returns the job that it describes.
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
		s.Types = make([]string, len(in.Types)) // no type is not any type
	}
	for i, typ := range in.Types {
		if typ == nil {
			// The decoder would make it a type of no name.
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

// dependencies are the jobs that a submission names, each once, in the order in which
// they are first named.
func (in *submission) dependencies() ([]string, error) {
	var ids []string
	seen := make(map[string]bool, len(in.DependsOn))
	for _, id := range in.DependsOn {
		switch {
		case id == nil:
			return nil, errors.New("field Awaits holds null")
		case !ValidID(*id):
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

func (s *JobSpec) validate() error {
	switch {
	case !ValidID(s.ID):
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
		most float64
	}{
		// Too much for any machine is well-formed: such a job can never run.
		{"Cores", s.CPUs, math.MaxFloat64}, {"Cards", s.GPUs, math.MaxFloat64}, {"MemoryGb", s.MemoryGB, math.MaxFloat64},
		// Sums and durations of larger ones would overflow.
		{"PullGb", s.ImageGB, 1e9}, {"ExpectS", s.EstimateS, 1e9}, {"GraftS", s.CheckpointS, 1e9},
		{"PressS", s.SaveS, 1e9}, {"DueS", s.DeadlineS, 1e9},
	} {
		if !(f.v >= 0 && f.v <= f.most) {
			return fmt.Errorf("field %s must be from 0 to %g", f.name, f.most)
		}
	}
	return nil
}

// PriorityRank orders priorities, the highest first; -1 is unknown.
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

// JobState is what a user is told about a job.
type JobState struct {
	ID      string `json:"NameId"`
	Phase   string `json:"Phase"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
	// DependsOn are the jobs that an unfinished job waits for.
	DependsOn []string `json:"Awaits,omitempty"`
	// Cell is the cell that the job is lent to, if it is.
	Cell string `json:"Cell,omitempty"`
	// Ended is when the job was done, if that is known. Users are not told.
	Ended time.Time `json:"-"`
	// Derived is set if the job is cancelled since one that it needs is, and may have
	// no final record of its own yet. Users are not told.
	Derived bool `json:"-"`
}

// Final tells whether the job is over.
func (s JobState) Final() bool { return s.Phase == JobDone || s.Phase == JobCancelled }

// Heartbeat is a worker's report.
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

// TaskStatus is one task of a report.
type TaskStatus struct {
	Task    string `json:"Shoot"`
	Attempt uint64 `json:"Sprout"`
	Phase   string `json:"Phase"`
	Cause   string `json:"Cause"`
	Saved   bool   `json:"Kept"`
}

// maxFastArrays and maxFastObjects are how many of these a report may open and still be
// read by the fast decoder, which follows nesting to any depth: a report full of
// brackets would have its stack grow past the memory of the smallest controllers.
// Each task is an object of fifty bytes or more, and MaxBody has room for fewer.
const (
	maxFastArrays  = 256
	maxFastObjects = 2048
)

// ParseHeartbeat reads a report. Its strings share the memory of body, which must
// not be changed afterwards; what is kept for long is to be cloned.
func ParseHeartbeat(body []byte) (*Heartbeat, error) {
	var hb Heartbeat
	var err error
	if bytes.Count(body, []byte("[")) > maxFastArrays || bytes.Count(body, []byte("{")) > maxFastObjects {
		err = json.Unmarshal(body, &hb)
	} else {
		// Reports are most of what a leader reads, and this decoder takes a
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

// cloneString is a string that shares no memory with a report: the constants for the
// phases and causes that are known.
func cloneString(s string) string {
	for _, known := range [...]string{"", TaskRunning, TaskExited, CauseDone, TaskPulling, TaskSaving,
		CauseHalted, CauseError, CauseNoRoom, CauseBusy, CauseNoSuch} {
		if s == known {
			return known
		}
	}
	return strings.Clone(s)
}

// Command is one command to a worker.
type Command struct {
	Verb    string   `json:"Verb"`
	Task    string   `json:"Shoot"`
	Attempt uint64   `json:"Sprout"`
	GraceS  *float64 `json:"GraceS,omitempty"`
}

// Outcomes of direct orders that were not answered with success.
var (
	// ErrCommandsNotApplied means that they were not and will not be carried out.
	ErrCommandsNotApplied = errors.New("orders not carried out")
	// ErrCommandsOutcomeUnknown means that they may have been, or may yet be.
	ErrCommandsOutcomeUnknown = errors.New("orders may have been carried out")
)

// CommandBatch are orders sent straight to a machine, for one of its sessions.
type CommandBatch struct {
	Term       uint64    `json:"Warrant"`
	AgentEpoch uint64    `json:"Season"`
	Commands   []Command `json:"Orders"`
}

// HeartbeatResponse answers a report.
type HeartbeatResponse struct {
	Term     uint64    `json:"Warrant"`
	Commands []Command `json:"Orders"`
}

// MachineType is a type of machine that the cloud rents.
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
