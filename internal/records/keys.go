package records

import (
	"fmt"
	"strconv"
	"strings"
)

// Keys and key prefixes. Active and terminal records have different prefixes, so that a new leader
// reads only the jobs that have not ended.
const (
	ActivePrefix       = "a/"
	TerminalPrefix     = "f/"
	CompletionPrefix   = "p/"
	MachinePrefix      = "m/"
	LeaseRenewalPrefix = "keep/"
	RelayPrefix        = "relay/"
	MachineTypesKey    = "types"
	// CancelKey is written in every transaction in which Cancel ends a job. It begins with
	// ActivePrefix, so that a watch on that prefix returns it together with the deletion of the
	// job's active record.
	CancelKey = ActivePrefix + "!cancel"
)

// DependencyPrefix is the prefix of the records that list the dependencies of jobs whose active
// record has no room for them.
const DependencyPrefix = "awaits/"

// CompletionKey returns the key of the completion record for the part of a job that begins at task.
func CompletionKey(id string, task int) string {
	return CompletionPrefix + id + "/" + strconv.Itoa(task)
}

// ParseCompletionKey parses a key returned by CompletionKey. ok is false if the key is malformed.
func ParseCompletionKey(key string) (id string, task int, ok bool) {
	id, taskText, ok := strings.Cut(strings.TrimPrefix(key, CompletionPrefix), "/")
	if !ok {
		return "", 0, false
	}
	task, err := strconv.Atoi(taskText)
	return id, task, err == nil && task >= 0
}

// prefix returns the prefix of the keys of a job's list.
func (l *DependencyList) prefix(id string) string {
	return DependencyPrefix + id + "/" + l.Digest + "/"
}

// Keys returns the keys of the records of a job's list, in order.
func (l *DependencyList) Keys(id string) []string {
	keys := make([]string, l.RecordCount)
	for i := range keys {
		keys[i] = fmt.Sprintf("%s%05d", l.prefix(id), i)
	}
	return keys
}

// ParseDependencyKey returns the job and the digest of the list to which the record with a key
// belongs. ok is false if the key is malformed.
func ParseDependencyKey(key string) (id, digest string, ok bool) {
	parts := strings.Split(strings.TrimPrefix(key, DependencyPrefix), "/")
	if len(parts) != 3 { // job, digest, index
		return "", "", false
	}
	return parts[0], parts[1], true
}
