// Package localprocess runs controllers as processes on the loopback interface, for load and soak
// tests.
package localprocess

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"syscall"
)

// Process is the process of a controller, which can be ended and started again.
type Process struct {
	Name string
	// Args are the arguments of the program, and LogPath is the file to which its standard error is
	// appended.
	Args    []string
	LogPath string
	// Env holds variables, as NAME=value, that are added to the environment.
	Env []string

	mu  sync.Mutex
	cmd *exec.Cmd
	// exited is closed once the process has exited.
	exited chan struct{}
	// stopRequested is set before the process is killed or stopped. An exit while it is not set is
	// counted in unexpectedExits.
	stopRequested   atomic.Bool
	unexpectedExits atomic.Int64
}

// Start starts the process.
func (p *Process) Start(binary string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.LogPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer closeQuietly(log) // the child process has its own descriptor
	p.cmd, p.exited = exec.CommandContext(context.Background(), binary, p.Args...), make(chan struct{})
	p.cmd.Stderr = log
	p.cmd.Env = append(os.Environ(), p.Env...)
	// The process must not outlive the test.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	go p.waitForExit(p.cmd, p.exited)
	return nil
}

// waitForExit waits until a process has exited, and counts the exit if it was not requested.
func (p *Process) waitForExit(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	close(exited)
	if !p.stopRequested.Swap(false) {
		p.unexpectedExits.Add(1)
		fmt.Fprintf(os.Stderr, "%s exited unexpectedly: %v\n", p.Name, err)
	}
}

// UnexpectedExits returns how often the process has exited without a request.
func (p *Process) UnexpectedExits() int64 { return p.unexpectedExits.Load() }

// Kill sends SIGKILL, which the process cannot handle, and waits for the exit.
func (p *Process) Kill() { p.signalAndWait(syscall.SIGKILL) }

// Stop requests a graceful stop with SIGTERM and waits for the exit.
func (p *Process) Stop() { p.signalAndWait(syscall.SIGTERM) }

// Pause makes the process stand still until Resume. Its clocks run on.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Resume ends a Pause.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

func (p *Process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(signal) // fails only if the process has exited already
}

// signalAndWait sends a signal and waits until the process has exited. It does nothing if the process
// has exited already.
func (p *Process) signalAndWait(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	select {
	case <-p.exited:
		return
	default:
	}
	p.stopRequested.Store(true)
	_ = p.cmd.Process.Signal(signal)
	<-p.exited
}

// Listen listens on a free loopback port.
func Listen() (net.Listener, error) { return ListenOn("127.0.0.1:0") }

// ListenOn listens on an address.
func ListenOn(addr string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(context.Background(), "tcp", addr)
}

// loopbackHost returns a loopback address that depends on the process ID and that the system does
// not assign to listeners and connections. A controller's port must be free again when the
// controller is restarted. Otherwise a simulated machine can get the port of a stopped controller,
// which has happened: machines accept any request, so users considered their jobs accepted and
// other machines sent their heartbeats there.
func loopbackHost() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1", 1+pid>>8&0x7f, pid&0xff)
}

// firstPort is the base of the ports of NextAddr. They are outside the range from which the system
// assigns ports to listeners and connections.
const firstPort = 10000

var addrCount atomic.Int64

// NextAddr returns an address that is not used by anything else in this process.
func NextAddr() string { return fmt.Sprintf("%s:%d", loopbackHost(), firstPort+addrCount.Add(1)) }

// closeQuietly closes a resource that is no longer used and ignores the error, which has no effect.
func closeQuietly(c io.Closer) { _ = c.Close() }
