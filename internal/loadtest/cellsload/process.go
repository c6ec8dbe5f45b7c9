package main

import (
	"fmt"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"syscall"
)

// process is a controller.
type process struct {
	name, apiAddr, cellsAddr string
	args                     []string
	logPath                  string
	mu                       sync.Mutex
	cmd                      *exec.Cmd
	// exited is closed once the process has; told is set if it was told to, and unexpectedExits
	// counts the times it was not.
	exited          chan struct{}
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
	defer log.Close()
	p.cmd, p.exited = exec.Command(binary, p.args...), make(chan struct{})
	p.cmd.Stderr = log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	go p.waitForExit(p.cmd, p.exited)
	return nil
}

// waitForExit waits for a controller to end, and notes one that ended by itself.
func (p *process) waitForExit(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	close(ended)
	if !p.stopRequested.Swap(false) {
		p.unexpectedExits.Add(1)
		fmt.Fprintf(os.Stderr, "cellsload: %s ended by itself: %v\n", p.name, err)
	}
}

// kill ends the process without a signal that it could handle.
func (p *process) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopRequested.Store(true)
	p.cmd.Process.Kill()
	<-p.exited
}

// stop tells the controller to end, and waits until it has.
func (p *process) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopRequested.Store(true)
	p.cmd.Process.Signal(syscall.SIGTERM)
	<-p.exited
}
