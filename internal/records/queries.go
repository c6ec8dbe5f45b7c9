package records

import "example.org/ivytrestle/internal/api"

// Prefixes of the records by which a node that cannot reach the leader asks it about jobs. Each node has one
// key under each prefix.
const (
	QueryPrefix    = "query/"
	ResponsePrefix = "response/"
)

// QueryID identifies a query. A response to an earlier one, or to one of an earlier process of the node, may
// arrive late.
type QueryID struct {
	Incarnation string `json:"incarnation"`
	Number      uint64 `json:"number"`
}

// QueryRecord is a node's query about jobs.
type QueryRecord struct {
	QueryID

	Jobs []string `json:"jobs"`
}

// ResponseRecord is the leader's response to a QueryRecord.
type ResponseRecord struct {
	QueryID

	States []QueriedState `json:"states"`
}

// QueriedState is the state of a job in the leader's memory. It holds unless the job has ended. Phase is empty
// if it is not known.
type QueriedState struct {
	Job     string `json:"job"`
	Phase   string `json:"phase"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// JobState returns the state as shown to users.
func (s QueriedState) JobState() api.JobState {
	return api.JobState{ID: s.Job, Phase: s.Phase, Done: s.Done, Running: s.Running}
}

// queriedStateBytes is more than the size of a QueriedState.
const queriedStateBytes = 160

// MaxQueriedJobs returns how many jobs a query may have so that the records fit in a value of valueKB KiB.
func MaxQueriedJobs(valueKB float64) int {
	return max(1, int(valueKB*1024)/queriedStateBytes)
}
