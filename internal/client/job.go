package client

import (
	"encoding/json"
	"errors"
	"fmt"

	"example.org/ivytrestle/internal/api"
)

// ValidateJobID returns an error for users if a job ID is malformed.
func ValidateJobID(id string) error {
	if !api.ValidJobID(id) {
		return fmt.Errorf("%q is no job id (job-NUMBER)", id)
	}
	return nil
}

// AddDependencies returns a job, encoded as JSON, with more job IDs in its list of dependencies. It
// validates these IDs, and checks that the job is an object and Awaits a list. The controller
// validates the rest. Without IDs, it returns the job unchanged and unchecked.
func AddDependencies(job []byte, ids []string) ([]byte, error) {
	if len(ids) == 0 {
		return job, nil
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(job, &fields); err != nil || fields == nil {
		return nil, errors.New("not a JSON object")
	}
	var dependencies []json.RawMessage
	if existing, ok := fields["Awaits"]; ok && json.Unmarshal(existing, &dependencies) != nil {
		return nil, errors.New("field Awaits is not a list")
	}
	for _, id := range ids {
		if err := ValidateJobID(id); err != nil {
			return nil, err
		}
		dependencies = append(dependencies, json.RawMessage(`"`+id+`"`))
	}
	raw, err := json.Marshal(dependencies)
	if err != nil {
		return nil, fmt.Errorf("field Awaits: %w", err)
	}
	fields["Awaits"] = raw
	return json.Marshal(fields)
}
