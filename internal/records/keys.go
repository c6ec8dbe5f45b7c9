package records

import (
	"fmt"
	"strconv"
	"strings"
)

// Prefixes and names of the keys. Active and terminal records are apart, so that a new
// leader reads only the jobs that have not ended.
const (
	ActivePrefix       = "a/"
	TerminalPrefix     = "f/"
	CompletionPrefix   = "p/"
	MachinePrefix      = "m/"
	LeaseRenewalPrefix = "keep/"
	RelayPrefix        = "relay/"
	MachineTypesKey    = "types"
	// CancelKey changes in every transaction that cancels a job. It lies under
	// ActivePrefix, so that one watch shows it together with the jobs cancelled.
	CancelKey = ActivePrefix + "!cancel"
)

// DependencyPrefix is the prefix of the records that list the dependencies of jobs whose
// active record has no space for them.
const DependencyPrefix = "awaits/"

// CompletionKey is the key of the part of a job's completion that begins at task.
func CompletionKey(id string, task int) string {
	return CompletionPrefix + id + "/" + strconv.Itoa(task)
}

// ParseCompletionKey is the reverse of CompletionKey.
func ParseCompletionKey(key string) (id string, task int, ok bool) {
	id, first, ok := strings.Cut(strings.TrimPrefix(key, CompletionPrefix), "/")
	if !ok {
		return "", 0, false
	}
	task, err := strconv.Atoi(first)
	return id, task, err == nil && task >= 0
}

// prefix is the prefix of the records of a job's list.
func (l *DependencyList) prefix(id string) string {
	return DependencyPrefix + id + "/" + l.Digest + "/"
}

// Keys are the keys of the records of a job's list, in order.
func (l *DependencyList) Keys(id string) []string {
	keys := make([]string, l.RecordCount)
	for i := range keys {
		keys[i] = fmt.Sprintf("%s%05d", l.prefix(id), i)
	}
	return keys
}

// ParseDependencyKey returns the job and the digest of the list that a record belongs to.
func ParseDependencyKey(key string) (id, digest string, ok bool) {
	parts := strings.Split(strings.TrimPrefix(key, DependencyPrefix), "/")
	if len(parts) != 3 { // job, digest, number
		return "", "", false
	}
	return parts[0], parts[1], true
}
