// Command doccomments fails if an exported item has no doc comment. staticcheck
// only looks at the form of the comments that are there. It is run at the root of
// the repository, by .ci/run.
package main

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
)

func main() {
	missing, err := missingBelow(".")
	if err != nil {
		fmt.Fprintln(os.Stderr, "doccomments:", err)
		os.Exit(2)
	}
	for _, m := range missing {
		fmt.Println(m)
	}
	if len(missing) > 0 {
		os.Exit(1)
	}
}

// missingBelow names what lacks a doc comment in the Go files below a directory,
// except for tests.
func missingBelow(root string) (missing []string, err error) {
	err = filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() {
			if path != root && skipDir(d.Name()) {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		src, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		found, err := missingIn(path, src)
		missing = append(missing, found...)
		return err
	})
	return missing, err
}

// skipDir tells whether a directory holds no sources of this module.
func skipDir(name string) bool {
	return name == "target" || name == "testdata" || strings.HasPrefix(name, ".")
}
