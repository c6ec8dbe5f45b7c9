package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	couldNot   = 2
)

// caseLimit is how long a case may run. The script ends it after 120 s.
const caseLimit = 114 * time.Second

// scenario is one case: it returns whether its rule held.
type scenario struct {
	site func() *site
	play func(w *world, trouble bool) bool
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(couldNot)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// run plays a case, writes its record into a folder, and returns the exit code.
func run(name, folder string, trouble bool) int {
	s, ok := scenarios[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "standin: no case", name)
		return couldNot
	}
	rec := newRecord()
	held, err := play(rec, s, trouble)
	code := ruleHeld
	switch {
	case err != nil:
		rec.add("could not run: %v", err)
		code = couldNot
	case !held:
		code = ruleBroken
	}
	verdict := [...]string{"the rule held", "the rule was broken", "the case could not run"}[code]
	rec.add("verdict, with trouble %v: %s", trouble, verdict)
	if err := rec.write(filepath.Join(folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return couldNot
	}
	fmt.Println(verdict)
	return code
}

// play starts a deployment, plays a scenario in it and ends it.
func play(rec *record, s scenario, trouble bool) (held bool, err error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return false, err
	}
	defer func() {
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(dir) // a leftover in the temporary folder is harmless
		} else {
			fmt.Println("logs are in", dir)
		}
	}()
	w, err := newWorld(rec, s.site(), dir, caseLimit)
	if err != nil {
		return false, err
	}
	defer w.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		w.stop()
		os.Exit(couldNot)
	}()
	for _, p := range w.site.upAtTheStart {
		w.cloud.addRunning(p)
	}
	if err := w.runAll(); err != nil {
		return false, err
	}
	held = s.play(w, trouble)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.problem != "" {
		return false, errors.New(w.problem)
	}
	return held, nil
}
