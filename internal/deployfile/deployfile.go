// Package deployfile reads the files that enable optional features of the program. They are TOML
// and validated against a JSON schema. An error is one line. It names the line of a syntax error and
// the first field that violates the schema.
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

// Load decodes a file into settings, whose JSON tags are the names of the fields in the file. It
// then calls check for what the schema cannot express. Errors start with kind, the name of the
// feature, and contain the path.
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

// Parse validates the contents of a file against the schema and decodes them into settings.
func Parse(raw, schema []byte, settings any) error {
	var document map[string]any
	if err := toml.Unmarshal(raw, &document); err != nil {
		return describeSyntaxError(err)
	}
	// The schema and the struct tags of the settings are for JSON, so the document is converted.
	text, err := json.Marshal(document)
	if err != nil {
		return err
	}
	if err := validateAgainstSchema(text, schema); err != nil {
		return err
	}
	return json.Unmarshal(text, settings)
}

// describeSyntaxError reduces a syntax error to one line. It returns any other error unchanged.
func describeSyntaxError(err error) error {
	var syntax toml.ParseError
	if errors.As(err, &syntax) {
		return fmt.Errorf("line %d: %s", syntax.Position.Line, syntax.Message)
	}
	return err
}

// validateAgainstSchema validates a JSON document. Its error names the first invalid field.
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
	// The innermost cause is the error about a field.
	for len(invalid.Causes) > 0 {
		invalid = invalid.Causes[0]
	}
	message := strings.TrimSpace(strings.SplitN(invalid.Error(), "\n", 2)[0])
	if _, after, found := strings.Cut(message, ": "); found {
		message = after
	}
	return fmt.Errorf("field %s: %s", fieldName(invalid.InstanceLocation), message)
}

// fieldName formats a location in a document as a path, for example cell[0].name. The document
// itself is "(file)".
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

// compileSchema parses and compiles a JSON schema.
func compileSchema(schemaText []byte) (*jsonschema.Schema, error) {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaText))
	if err != nil {
		return nil, fmt.Errorf("parse schema: %w", err)
	}
	const name = "schema.json"
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(name, document); err != nil {
		return nil, fmt.Errorf("add schema: %w", err)
	}
	return compiler.Compile(name)
}
