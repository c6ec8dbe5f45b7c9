// World2 plays the cases of the second review: it starts the project's controllers as processes, with
// stand-ins of the state service, the cloud, the workers and the users around them, and checks one rule
// by what users, workers and the cloud see.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	caseTimeout = 112 * time.Second
)

// errBroken means that the rule was broken.
var errBroken = errors.New("the rule is broken")

// play runs a case and returns its exit code.
func play(name, path string, trouble bool) int {
	record, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer closeQuietly(record)
	c, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		return exitNotRun
	}
	w, err := newWorld(c.settings(), c.frame, record)
	if w != nil {
		defer w.end()
	}
	if err == nil {
		err = w.playWithin(c, trouble)
	}
	code := exitHeld
	switch {
	case errors.Is(err, errBroken):
		code = exitBroken
	case err != nil:
		code = exitNotRun
	}
	verdict := fmt.Sprintf("case %s, trouble %v: exit code %d", name, trouble, code)
	if err != nil {
		verdict += ": " + err.Error()
	}
	if w != nil {
		w.record("%s", verdict)
	}
	fmt.Println(verdict)
	return code
}

// playWithin runs a case, unless it takes too long or is interrupted.
func (w *world) playWithin(c *scenario, trouble bool) error {
	result := make(chan error, 1)
	go func() {
		err := w.cloud.addWorkers(c.machines)
		if err == nil {
			err = w.awaitReady()
		}
		if err == nil {
			err = w.awaitMachines(c.machines)
		}
		if err == nil {
			err = c.play(w, trouble)
		}
		result <- err
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	select {
	case err := <-result:
		return err
	case <-stop:
		return errors.New("interrupted")
	case <-time.After(caseTimeout):
		return errors.New("out of time")
	}
}

func main() {
	name := flag.String("case", "", "the case")
	path := flag.String("record", "record.txt", "the record")
	flag.Parse()
	os.Exit(play(*name, *path, os.Getenv("TROUBLE") != "0"))
}
