package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"syscall"
)

// process is a controller's process.
type process struct {
	name string
	// apiAddr and cellsAddr are its addresses for users and machines, and for other cells.
	apiAddr, cellsAddr string
	args               []string
	logPath            string
	mu                 sync.Mutex
	cmd                *exec.Cmd
	// exited is closed once the process has exited.
	exited chan struct{}
	// stopRequested is set before the process is killed or stopped; an exit without it
	// counts in unexpectedExits.
	stopRequested   atomic.Bool
	unexpectedExits atomic.Int64
}

func (p *process) start(binary string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer closeQuietly(log) // the process has it open by itself
	p.cmd, p.exited = exec.CommandContext(context.Background(), binary, p.args...), make(chan struct{})
	p.cmd.Stderr = log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	go p.waitForExit(p.cmd, p.exited)
	return nil
}

// waitForExit waits until a process has exited, and counts an exit that nobody requested.
func (p *process) waitForExit(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	close(exited)
	if !p.stopRequested.Swap(false) {
		p.unexpectedExits.Add(1)
		fmt.Fprintf(os.Stderr, "cellsload: %s ended by itself: %v\n", p.name, err)
	}
}

// kill ends the process with a signal that it cannot handle.
func (p *process) kill() { p.signalAndWait(syscall.SIGKILL) }

// stop requests a graceful stop.
func (p *process) stop() { p.signalAndWait(syscall.SIGTERM) }

// signalAndWait sends a signal and waits until the process has exited.
func (p *process) signalAndWait(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopRequested.Store(true)
	_ = p.cmd.Process.Signal(signal) // fails only if the process has exited already
	<-p.exited
}
