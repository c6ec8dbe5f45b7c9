// Package cells reads and checks the file that names the cells which lend each other capacity:
// this one and its neighbours.
package cells

import (
	_ "embed"
	"fmt"
	"net"
	"slices"

	"example.org/ivytrestle/internal/deployfile"
)

// Settings are a cell's name, its listeners for other cells and its neighbours.
type Settings struct {
	// Cell is the name of this cell.
	Cell string `json:"cell"`
	// Listen is the address at which each of its controllers, by name, listens for other
	// cells.
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
	// Unreachable says that the cell has failed for good, with all its machines: what was
	// lent to it is reclaimed without its confirmation.
	Unreachable bool `json:"lost"`
}

// defaultMaxLoans is MaxLoans if the file does not set it.
const defaultMaxLoans = 100

// Neighbour returns the neighbour with a name, or nil.
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

// Load reads and checks the file for one of the cell's controllers.
func Load(path, node string) (*Settings, error) {
	s := &Settings{MaxLoans: defaultMaxLoans}
	return s, deployfile.Load("cells", path, schema, s, func() error { return s.check(node) })
}

// Parse checks the contents of a file for one of the cell's controllers.
func Parse(raw []byte, node string) (*Settings, error) {
	s := &Settings{MaxLoans: defaultMaxLoans}
	if err := deployfile.Parse(raw, schema, s); err != nil {
		return nil, err
	}
	return s, s.check(node)
}

// check checks what a schema cannot express.
func (s *Settings) check(node string) error {
	if s.Listen[node] == "" {
		return fmt.Errorf("field listen: no address for this controller, %s", node)
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
			return fmt.Errorf("%s.cell: %s is this cell itself", field, n.Cell)
		case slices.Contains(seen, n.Cell):
			return fmt.Errorf("%s.cell: %s is named twice", field, n.Cell)
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

// checkAddr checks that an address has the form host:port.
func checkAddr(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || host == "" || port == "" {
		return fmt.Errorf("%q is not an address of the form host:port", addr)
	}
	return nil
}
