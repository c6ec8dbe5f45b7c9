package cells

import (
	"errors"
	"io/fs"
	"strings"
	"testing"
)

const validFile = `
cell = "a"
[listen]
n0 = "127.0.0.1:1"
[[neighbour]]
cell = "b"
addresses = ["127.0.0.1:2"]
`

func TestLoadExample(t *testing.T) {
	s, err := Load("../../deploy/cells-example.toml", "trellis-1")
	if err != nil {
		t.Fatal(err)
	}
	if s.Cell != "norrland" || s.MaxLoans != 100 || s.Listen["trellis-1"] != "10.0.0.2:8082" {
		t.Errorf("got %+v, want cell norrland, 100 loans and trellis-1 listening at 10.0.0.2:8082", s)
	}
	if s.Neighbour("gdynia") == nil || len(s.Neighbours[0].Addresses) != 3 || s.Neighbours[0].Unreachable {
		t.Errorf("got neighbours %+v, want gdynia among them, the first one reachable with 3 addresses", s.Neighbours)
	}
}

func TestDefaultMaxLoans(t *testing.T) {
	s, err := Parse([]byte(validFile), "n0")
	if err != nil || s.MaxLoans != defaultMaxLoans {
		t.Errorf("got %+v, %v, want MaxLoans %d", s, err, defaultMaxLoans)
	}
}

// An invalid file is rejected with a one-line error that names the field or the line.
func TestInvalidFiles(t *testing.T) {
	const neighbour = "[[neighbour]]\ncell = \"b\"\naddresses = [\"127.0.0.1:2\"]"
	for _, c := range []struct{ name, old, new, want string }{
		{"no cell", `cell = "a"`, ``, "field (file): missing property 'cell'"},
		{"invalid name", `cell = "a"`, `cell = "A b"`, "field cell: "},
		{"misspelt field", `addresses =`, `adresses =`, "field neighbour[0]: "},
		{
			"unknown field", `cell = "a"`, "cell = \"a\"\nmax_loan = 3",
			"field (file): additional properties 'max_loan' not allowed",
		},
		{"no neighbours", neighbour, "", "field (file): missing property 'neighbour'"},
		{"no addresses", `["127.0.0.1:2"]`, `[]`, "field neighbour[0].addresses: "},
		{
			"invalid address", `["127.0.0.1:2"]`, `["127.0.0.1"]`,
			`field neighbour[0].addresses[0]: "127.0.0.1" is not an address`,
		},
		{"invalid listener", `n0 = "127.0.0.1:1"`, `n0 = ":1"`, `field listen.n0: ":1" is not an address`},
		{
			"another node", `n0 =`, `n1 =`,
			`field listen: no address for this controller, "n0"; add n0 = "host:port"`,
		},
		{
			"itself", `cell = "b"`, `cell = "a"`,
			`field neighbour[0].cell: "a" is this cell itself; a neighbour must be another cell`,
		},
		{
			"named twice", neighbour, neighbour + "\n" + neighbour,
			`field neighbour[1].cell: "b" is the cell of an earlier neighbour; list each cell once`,
		},
		{"limit of zero", `cell = "a"`, "cell = \"a\"\nmax_loans = 0", "field max_loans: "},
		{"limit too large", `cell = "a"`, "cell = \"a\"\nmax_loans = 1000000", "field max_loans: "},
		{"limit is a string", `cell = "a"`, "cell = \"a\"\nmax_loans = \"3\"", "field max_loans: "},
		{"not TOML", `cell = "a"`, `cell = `, "line 2: "},
	} {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(validFile, c.old, c.new, 1)
			if text == validFile {
				t.Fatalf("%q is not in the valid file", c.old)
			}
			_, err := Parse([]byte(text), "n0")
			if err == nil || !strings.HasPrefix(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got %v, want one line that begins with %q", err, c.want)
			}
		})
	}
}

func TestLoadMissingFile(t *testing.T) {
	if _, err := Load(t.TempDir()+"/none.toml", "n0"); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("got %v, want %v", err, fs.ErrNotExist)
	}
}
