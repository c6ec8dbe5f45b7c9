// Package deployfile reads the files that turn on optional parts of the program: TOML,
// validated against a JSON schema. An error is one line that names the field.
package deployfile

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/santhosh-tekuri/jsonschema/v6"
)

// Load decodes a file of some kind into settings, whose JSON tags are the names of the
// file's fields, and calls check to validate them further.
func Load(kind, path string, schema []byte, settings any, check func() error) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("%s: %w", kind, err)
	}
	if err = Parse(raw, schema, settings); err == nil {
		err = check()
	}
	if err != nil {
		return fmt.Errorf("%s %s: %w", kind, path, err)
	}
	return nil
}

// Parse decodes the contents of a file into settings.
func Parse(raw, schema []byte, settings any) error {
	var document map[string]any
	if err := toml.Unmarshal(raw, &document); err != nil {
		return describeSyntaxError(err)
	}
	// The schema and the tags of the settings are those of JSON.
	text, err := json.Marshal(document)
	if err != nil {
		return err
	}
	if err := validateAgainstSchema(text, schema); err != nil {
		return err
	}
	return json.Unmarshal(text, settings)
}

// describeSyntaxError returns a syntax error as one line.
func describeSyntaxError(err error) error {
	var parse toml.ParseError
	if errors.As(err, &parse) {
		return fmt.Errorf("line %d: %s", parse.Position.Line, parse.Message)
	}
	return err
}

// validateAgainstSchema validates a document against the schema; its error names the first invalid
// field.
func validateAgainstSchema(text, schemaText []byte) error {
	schema, err := compileSchema(schemaText)
	if err != nil {
		return err
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return err
	}
	var invalid *jsonschema.ValidationError
	err = schema.Validate(value)
	if !errors.As(err, &invalid) {
		return err
	}
	for len(invalid.Causes) > 0 {
		invalid = invalid.Causes[0]
	}
	message := strings.TrimSpace(strings.SplitN(invalid.Error(), "\n", 2)[0])
	if _, after, found := strings.Cut(message, ": "); found {
		message = after
	}
	return fmt.Errorf("field %s: %s", fieldName(invalid.InstanceLocation), message)
}

// fieldName returns a location in a document as a path, such as cell[0].name.
func fieldName(location []string) string {
	if len(location) == 0 {
		return "(file)"
	}
	name := ""
	for i, part := range location {
		switch {
		case part != "" && strings.Trim(part, "0123456789") == "":
			name += "[" + part + "]"
		case i > 0:
			name += "." + part
		default:
			name = part
		}
	}
	return name
}

// compileSchema compiles a schema.
func compileSchema(schemaText []byte) (*jsonschema.Schema, error) {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaText))
	if err != nil {
		return nil, fmt.Errorf("schema: %w", err)
	}
	const name = "schema.json"
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(name, document); err != nil {
		return nil, fmt.Errorf("schema: %w", err)
	}
	return compiler.Compile(name)
}
