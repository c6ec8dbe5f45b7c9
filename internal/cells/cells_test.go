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

// The example is good, and says what it seems to say.
func TestExample(t *testing.T) {
	s, err := Load("../../deploy/cells-example.toml", "trellis-1")
	if err != nil {
		t.Fatal(err)
	}
	if s.Cell != "norrland" || s.MaxLoans != 100 || s.Listen["trellis-1"] != "10.0.0.2:8082" || s.Neighbour("gdynia") == nil || len(s.Neighbours[0].Addresses) != 3 || s.Neighbours[0].Unreachable {
		t.Errorf("%+v", s)
	}
	if s, err = Parse([]byte(validFile), "n0"); err != nil || s.MaxLoans != defaultMaxLoans {
		t.Errorf("%+v %v", s, err)
	}
}

// What is wrong with a file is said in one line that names the field.
func TestInvalidFiles(t *testing.T) {
	for name, c := range map[string]struct{ old, new, want string }{
		"no cell":           {`cell = "a"`, ``, "field (file): missing property 'cell'"},
		"bad name":          {`cell = "a"`, `cell = "A b"`, "field cell: "},
		"a typo":            {`addresses =`, `adresses =`, "field neighbour[0]: "},
		"unknown field":     {`cell = "a"`, "cell = \"a\"\nmax_loan = 3", "field (file): additional properties 'max_loan' not allowed"},
		"no neighbours":     {"[[neighbour]]\ncell = \"b\"\naddresses = [\"127.0.0.1:2\"]", "", "field (file): missing property 'neighbour'"},
		"no addresses":      {`["127.0.0.1:2"]`, `[]`, "field neighbour[0].addresses: "},
		"bad address":       {`["127.0.0.1:2"]`, `["127.0.0.1"]`, `field neighbour[0].addresses[0]: "127.0.0.1" is not an address`},
		"bad listener":      {`n0 = "127.0.0.1:1"`, `n0 = ":1"`, `field listen.n0: ":1" is not an address`},
		"another node":      {`n0 =`, `n1 =`, "field listen: no address for this controller, n0"},
		"itself":            {`cell = "b"`, `cell = "a"`, "field neighbour[0].cell: a is this cell itself"},
		"named twice":       {`[listen]`, "[listen]\n", ""},
		"limit of zero":     {`cell = "a"`, "cell = \"a\"\nmax_loans = 0", "field max_loans: "},
		"limit too large":   {`cell = "a"`, "cell = \"a\"\nmax_loans = 1000000", "field max_loans: "},
		"limit is a string": {`cell = "a"`, "cell = \"a\"\nmax_loans = \"3\"", "field max_loans: "},
		"no TOML":           {`cell = "a"`, `cell = `, "line 2: "},
	} {
		text := strings.Replace(validFile, c.old, c.new, 1)
		if name == "named twice" {
			text = validFile + "[[neighbour]]\ncell = \"b\"\naddresses = [\"127.0.0.1:3\"]\n"
			c.want = "field neighbour[1].cell: b is named twice"
		}
		_, err := Parse([]byte(text), "n0")
		if err == nil || !strings.HasPrefix(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want %s", name, err, c.want)
		}
	}
	if _, err := Load(t.TempDir()+"/none.toml", "n0"); err == nil || !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("a missing file: %v", err)
	}
}
