package standby

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func TestLoadExample(t *testing.T) {
	settings, err := Load("../../deploy/standby-example.toml")
	if err != nil || settings.VoteLifetime() != 3*time.Second {
		t.Fatalf("got %+v, %v, want a vote lifetime of 3s", settings, err)
	}
}

// An invalid file is rejected with an error of one line that names the file and the field, or the
// line if the file is not valid TOML.
func TestLoadInvalidFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "standby.toml")
	for _, c := range []struct{ name, text, want string }{
		{"empty", "", "field (file): missing property 'grant_s'"},
		{"too short", "grant_s = 0.5", "field grant_s: "},
		{"wrong type", "grant_s = \"3\"", "field grant_s: "},
		{"unknown field", "grant_s = 3.0\ngrant = 1", "field (file): additional properties 'grant' not allowed"},
		{"not TOML", "grant_s 3", "line 1: "},
	} {
		t.Run(c.name, func(t *testing.T) {
			if err := os.WriteFile(path, []byte(c.text), 0o644); err != nil {
				t.Fatal(err)
			}
			_, err := Load(path)
			if err == nil {
				t.Fatalf("file %q was accepted, want an error", c.text)
			}
			want := "standby " + path + ": " + c.want
			if !strings.HasPrefix(err.Error(), want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got error %v, want a single line that begins with %s", err, want)
			}
		})
	}
}

func TestLoadMissingFile(t *testing.T) {
	_, err := Load(filepath.Join(t.TempDir(), "none.toml"))
	if err == nil || !strings.HasPrefix(err.Error(), "standby: open ") {
		t.Errorf("got error %v, want one that begins with \"standby: open \"", err)
	}
}
