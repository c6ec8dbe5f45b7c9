package client

import (
	"encoding/json"
	"errors"
	"fmt"

	"example.org/ivytrestle/internal/api"
)

// CheckID tells what is wrong with a job's id.
func CheckID(id string) error {
	if !api.ValidID(id) {
		return fmt.Errorf("%q is no job id (job-NUMBER)", id)
	}
	return nil
}

// AddDependencies adds jobs to those that a job, as JSON, awaits. What else it holds is
// left to the controller to judge.
func AddDependencies(job []byte, ids []string) ([]byte, error) {
	if len(ids) == 0 {
		return job, nil
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(job, &fields); err != nil || fields == nil {
		return nil, errors.New("not a JSON object")
	}
	var awaits []json.RawMessage
	if old, ok := fields["Awaits"]; ok && json.Unmarshal(old, &awaits) != nil {
		return nil, errors.New("field Awaits is not a list")
	}
	for _, id := range ids {
		if err := CheckID(id); err != nil {
			return nil, err
		}
		awaits = append(awaits, json.RawMessage(`"`+id+`"`))
	}
	raw, err := json.Marshal(awaits)
	if err != nil {
		return nil, fmt.Errorf("field Awaits: %w", err)
	}
	fields["Awaits"] = raw
	return json.Marshal(fields)
}
