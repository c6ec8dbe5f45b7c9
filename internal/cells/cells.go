// Package cells reads and validates the settings file that describes a cell and the neighbours
// with which it exchanges capacity.
package cells

import (
	_ "embed"
	"fmt"
	"net"
	"slices"

	"example.org/ivytrestle/internal/deployfile"
)

// Settings is the content of the cells file.
type Settings struct {
	// Cell is the name of this cell.
	Cell string `json:"cell"`
	// Listen maps the name of each controller of this cell to the address at which it
	// listens for other cells.
	Listen map[string]string `json:"listen"`
	// MaxLoans bounds the loans to each neighbour, and the loans from each neighbour.
	MaxLoans   int         `json:"max_loans"`
	Neighbours []Neighbour `json:"neighbour"`
}

// Neighbour is another cell that jobs may be lent to and that may lend jobs to this one.
type Neighbour struct {
	Cell string `json:"cell"`
	// Addresses are the addresses at which its controllers listen for other cells.
	Addresses []string `json:"addresses"`
	// Unreachable declares that the cell and all its machines have failed permanently. Jobs
	// lent to it are reclaimed without its confirmation.
	Unreachable bool `json:"lost"`
}

// defaultMaxLoans is the value of Settings.MaxLoans if the file does not set it.
const defaultMaxLoans = 100

// Neighbour returns the neighbour with the given cell name, or nil.
func (s *Settings) Neighbour(cell string) *Neighbour {
	for i := range s.Neighbours {
		if s.Neighbours[i].Cell == cell {
			return &s.Neighbours[i]
		}
	}
	return nil
}

//go:embed schema.json
var schema []byte

// Load reads and validates the file at path for the controller named node.
func Load(path, node string) (*Settings, error) {
	s := &Settings{MaxLoans: defaultMaxLoans}
	return s, deployfile.Load("cells", path, schema, s, func() error { return s.check(node) })
}

// Parse decodes and validates the content of a file for the controller named node.
func Parse(raw []byte, node string) (*Settings, error) {
	s := &Settings{MaxLoans: defaultMaxLoans}
	if err := deployfile.Parse(raw, schema, s); err != nil {
		return nil, err
	}
	return s, s.check(node)
}

// check returns an error if the settings violate a rule that the JSON schema cannot express.
func (s *Settings) check(node string) error {
	if s.Listen[node] == "" {
		return fmt.Errorf("field listen: no address for this controller, %q; add %s = \"host:port\"", node, node)
	}
	for name, addr := range s.Listen {
		if err := checkAddr(addr); err != nil {
			return fmt.Errorf("field listen.%s: %w", name, err)
		}
	}
	seen := make([]string, 0, len(s.Neighbours))
	for i, n := range s.Neighbours {
		field := fmt.Sprintf("field neighbour[%d]", i)
		switch {
		case n.Cell == s.Cell:
			return fmt.Errorf("%s.cell: %q is this cell itself; a neighbour must be another cell", field, n.Cell)
		case slices.Contains(seen, n.Cell):
			return fmt.Errorf("%s.cell: %q is the cell of an earlier neighbour; list each cell once", field, n.Cell)
		}
		seen = append(seen, n.Cell)
		for j, addr := range n.Addresses {
			if err := checkAddr(addr); err != nil {
				return fmt.Errorf("%s.addresses[%d]: %w", field, j, err)
			}
		}
	}
	return nil
}

// checkAddr returns an error unless addr has the form host:port.
func checkAddr(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || host == "" || port == "" {
		return fmt.Errorf("%q is not an address of the form host:port", addr)
	}
	return nil
}
