// Package pages checks that the pages for operators match the code.
package pages

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const root = "../../.."

// readSources returns the code of the service without its tests.
func readSources(t *testing.T) string {
	t.Helper()
	var code strings.Builder
	err := filepath.WalkDir(filepath.Join(root, "internal"), func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		raw, err := os.ReadFile(path)
		code.Write(raw)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return code.String()
}

// tableRow matches a row of the table of log messages; its first cell has the messages.
var (
	tableRow = regexp.MustCompile("(?m)^\\| (`[^|]+`[^|]*) \\|")
	quoted   = regexp.MustCompile("`([^`]+)`")
)

// An operator searches the log for the messages of the page: one that the code no longer writes is
// never found.
func TestLogMessagesOfOperationsPageExist(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs", "operations.md"))
	if err != nil {
		t.Fatal(err)
	}
	_, section, found := strings.Cut(string(page), "## Log messages\n")
	section, _, foundEnd := strings.Cut(section, "\n## ")
	if !found || !foundEnd {
		t.Fatal("docs/operations.md has no section of log messages")
	}
	code := readSources(t)
	checked := 0
	for _, row := range tableRow.FindAllStringSubmatch(section, -1) {
		for _, message := range quoted.FindAllStringSubmatch(row[1], -1) {
			checked++
			if !strings.Contains(code, `"`+message[1]+`"`) {
				t.Errorf("message %q of docs/operations.md is in no source file", message[1])
			}
		}
	}
	if checked < 15 {
		t.Errorf("found %d messages in docs/operations.md, want 15 or more", checked)
	}
}
