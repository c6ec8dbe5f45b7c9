// Command knownred runs the module's tests and tolerates only the failures that KNOWN-RED.txt
// lists. .ci/run runs it in the root directory of the repository.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/exec"
)

const listFile = "KNOWN-RED.txt"

func main() {
	if err := run(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
}

// run runs the tests and prints their output and the verdict. If the tests do not pass, it exits with
// status 1.
func run(out io.Writer) error {
	raw, err := os.ReadFile(listFile)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	list, err := parseList(string(raw))
	if err != nil {
		return fmt.Errorf("%s: %w", listFile, err)
	}
	cmd := exec.CommandContext(context.Background(), "go", "test", "-count=1", "-json", "./...")
	cmd.Stderr = os.Stderr
	events, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	v := newVerdictReader(list, out)
	readErr := v.read(events)
	waitErr := cmd.Wait()
	if readErr != nil {
		return readErr
	}
	var exit *exec.ExitError
	if waitErr != nil && !errors.As(waitErr, &exit) {
		return waitErr
	}
	if !v.verdict(waitErr == nil) {
		os.Exit(1) // verdict has printed the reason
	}
	return nil
}
