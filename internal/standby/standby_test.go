package standby

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// The example is good; a bad file is refused in one line that names it and the field.
func TestLoad(t *testing.T) {
	s, err := Load("../../deploy/standby-example.toml")
	if err != nil || s.VoteLifetime() != 3*time.Second {
		t.Fatalf("%+v, %v", s, err)
	}
	path := filepath.Join(t.TempDir(), "standby.toml")
	for text, want := range map[string]string{
		"":                         "field (file): missing property 'grant_s'",
		"grant_s = 0.5":            "field grant_s: ",
		"grant_s = \"3\"":          "field grant_s: ",
		"grant_s = 3.0\ngrant = 1": "field (file): additional properties 'grant' not allowed",
		"grant_s 3":                "line 1: ",
	} {
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		_, err := Load(path)
		if err == nil || !strings.HasPrefix(err.Error(), "standby "+path+": "+want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
	if _, err := Load(path + ".none"); err == nil || !strings.HasPrefix(err.Error(), "standby: open ") {
		t.Errorf("a missing file: %v", err)
	}
}
