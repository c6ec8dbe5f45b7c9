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

// process manages the process of a controller.
type process struct {
	name string
	// apiAddr is the controller's address for users and machines, cellsAddr that for other cells.
	apiAddr, cellsAddr string
	args               []string
	logPath            string
	mu                 sync.Mutex
	cmd                *exec.Cmd
	// exited is closed once the process has exited.
	exited chan struct{}
	// stopRequested is set before the process is killed or stopped. An exit while it is not set is
	// counted in unexpectedExits.
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
	defer closeQuietly(log) // the child process has its own descriptor
	p.cmd, p.exited = exec.CommandContext(context.Background(), binary, p.args...), make(chan struct{})
	p.cmd.Stderr = log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	go p.waitForExit(p.cmd, p.exited)
	return nil
}

// waitForExit waits until a process has exited, and counts the exit if it was not requested.
func (p *process) waitForExit(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	close(exited)
	if !p.stopRequested.Swap(false) {
		p.unexpectedExits.Add(1)
		fmt.Fprintf(os.Stderr, "cellsload: %s exited unexpectedly: %v\n", p.name, err)
	}
}

// kill sends SIGKILL, which the process cannot handle, and waits for the exit.
func (p *process) kill() { p.signalAndWait(syscall.SIGKILL) }

// stop requests a graceful stop with SIGTERM and waits for the exit.
func (p *process) stop() { p.signalAndWait(syscall.SIGTERM) }

// signalAndWait sends a signal and waits until the process has exited.
func (p *process) signalAndWait(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopRequested.Store(true)
	_ = p.cmd.Process.Signal(signal) // fails only if the process has exited already
	<-p.exited
}
