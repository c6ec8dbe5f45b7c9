package client

import (
	"encoding/json"
	"errors"
	"fmt"

	"example.org/ivytrestle/internal/api"
)

// ValidateJobID returns an error if a job ID is malformed.
func ValidateJobID(id string) error {
	if !api.ValidJobID(id) {
		return fmt.Errorf("%q is no job id (job-NUMBER)", id)
	}
	return nil
}

// AddDependencies adds jobs to those that a job, as JSON, depends on. The controller
// validates all its other fields.
func AddDependencies(job []byte, ids []string) ([]byte, error) {
	if len(ids) == 0 {
		return job, nil
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(job, &fields); err != nil || fields == nil {
		return nil, errors.New("not a JSON object")
	}
	var dependencies []json.RawMessage
	if present, ok := fields["Awaits"]; ok && json.Unmarshal(present, &dependencies) != nil {
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
