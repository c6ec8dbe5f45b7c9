// Package cells reads and checks the file that names the cells which lend each other
// capacity: this one, and its neighbours.
package cells

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/santhosh-tekuri/jsonschema/v6"
)

// Settings are the cells as one of them sees them.
type Settings struct {
	// Cell is the name of this one.
	Cell string `json:"cell"`
	// Listen is where each of its controllers, by name, listens for other cells.
	Listen map[string]string `json:"listen"`
	// MaxLoans bounds the loans out to a neighbour, and those in from one.
	MaxLoans   int         `json:"max_loans"`
	Neighbours []Neighbour `json:"neighbour"`
}

// Neighbour is another cell.
type Neighbour struct {
	Cell string `json:"cell"`
	// Addresses are those of its controllers' listeners for other cells.
	Addresses []string `json:"addresses"`
	// Lost says that the cell is gone for good, with all its machines: what was lent
	// to it is taken back without its word.
	Lost bool `json:"lost"`
}

// defaultMaxLoans is MaxLoans where the file does not say.
const defaultMaxLoans = 100

// Neighbour returns the neighbour of a name, or nil.
func (s *Settings) Neighbour(cell string) *Neighbour {
	for i := range s.Neighbours {
		if s.Neighbours[i].Cell == cell {
			return &s.Neighbours[i]
		}
	}
	return nil
}

//go:embed schema.json
var schemaText []byte

// Load reads and checks the file for one of the cell's controllers.
func Load(path, node string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("cells: %w", err)
	}
	s, err := Parse(raw, node)
	if err != nil {
		return nil, fmt.Errorf("cells %s: %w", path, err)
	}
	return s, nil
}

// Parse checks the contents of a file for one of the cell's controllers.
func Parse(raw []byte, node string) (*Settings, error) {
	var document map[string]any
	if err := toml.Unmarshal(raw, &document); err != nil {
		return nil, describe(err)
	}
	// The schema speaks of JSON, and so do the types' names.
	text, err := json.Marshal(document)
	if err != nil {
		return nil, fmt.Errorf("not a file of cells: %w", err)
	}
	if err := validate(text); err != nil {
		return nil, err
	}
	s := &Settings{MaxLoans: defaultMaxLoans}
	if err := json.Unmarshal(text, s); err != nil {
		return nil, fmt.Errorf("not a file of cells: %w", err)
	}
	return s, s.check(node)
}

// describe is one line on what is wrong with the form of a file.
func describe(err error) error {
	var parse toml.ParseError
	if errors.As(err, &parse) {
		return fmt.Errorf("line %d: %s", parse.Position.Line, parse.Message)
	}
	return err
}

// validate checks a document against the schema, and names the first field at fault.
func validate(text []byte) error {
	schema, err := compiled()
	if err != nil {
		return err
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return fmt.Errorf("not a file of cells: %w", err)
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

// fieldName is a place in a document as one would write it.
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

// compiled is the schema, ready for use.
func compiled() (*jsonschema.Schema, error) {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaText))
	if err != nil {
		return nil, fmt.Errorf("schema of cells: %w", err)
	}
	const name = "cells.json"
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(name, document); err != nil {
		return nil, fmt.Errorf("schema of cells: %w", err)
	}
	return compiler.Compile(name)
}

// check finds what a schema cannot say.
func (s *Settings) check(node string) error {
	if s.Listen[node] == "" {
		return fmt.Errorf("field listen: no address for this controller, %s", node)
	}
	for name, addr := range s.Listen {
		if err := checkAddr(addr); err != nil {
			return fmt.Errorf("field listen.%s: %w", name, err)
		}
	}
	seen := []string{}
	for i, n := range s.Neighbours {
		field := fmt.Sprintf("field neighbour[%d]", i)
		switch {
		case n.Cell == s.Cell:
			return fmt.Errorf("%s.cell: %s is this cell itself", field, n.Cell)
		case slices.Contains(seen, n.Cell):
			return fmt.Errorf("%s.cell: %s is named twice", field, n.Cell)
		}
		seen = append(seen, n.Cell)
		for k, addr := range n.Addresses {
			if err := checkAddr(addr); err != nil {
				return fmt.Errorf("%s.addresses[%d]: %w", field, k, err)
			}
		}
	}
	return nil
}

func checkAddr(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || host == "" || port == "" {
		return fmt.Errorf("%q is not an address of the form host:port", addr)
	}
	return nil
}
