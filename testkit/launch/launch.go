// Package launch starts and controls separate processes for tests and the demo.
//
// Each process prints `listening name=<listener> address=<ip:port>` on stdout for each listener and then `ready`.
package launch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
)

const (
	// pollInterval is the time between readiness requests.
	pollInterval = 20 * time.Millisecond
	// pollTimeout bounds one readiness request; a paused process accepts connections but never answers.
	pollTimeout = time.Second
	// outputTimeout bounds the wait for output after a process exited, in case another process still holds its pipe open.
	outputTimeout = 2 * time.Second
	// stopTimeout bounds the wait until a process stops after SIGSTOP.
	stopTimeout = 10 * time.Second
)

// ErrExited means that the process exited before it was ready.
var ErrExited = errors.New("the process exited before it was ready; read its output")

// Spec describes a process to start.
type Spec struct {
	// Name is used in errors.
	Name string
	// Path is the path of the binary.
	Path string
	// Args are the arguments without the binary's name.
	Args []string
	// Env is appended to the environment of the calling process.
	Env []string
	// Log receives a copy of stdout and stderr; it may be nil. A writer that several processes share must be safe for
	// concurrent use.
	Log io.Writer
	// HealthListener is the name of the listener that WaitReady polls; if empty, WaitReady waits only for the ready line.
	HealthListener string
	// HealthPath is the path on HealthListener that answers 200 when the process is healthy.
	HealthPath string
}

// Group is a set of processes that are killed together.
type Group struct {
	mu        sync.Mutex
	processes []*Process
	closed    bool
}

// Cleaner is the part of testing.TB that ForTest needs.
type Cleaner interface {
	Cleanup(func())
	Failed() bool
	Logf(format string, args ...any)
}

// ForTest returns a group that is closed at the end of the test. If the test failed, it logs the output of the processes.
func ForTest(t Cleaner) *Group {
	g := new(Group)
	t.Cleanup(func() {
		g.Close()
		if !t.Failed() {
			return
		}
		for _, p := range g.processes {
			t.Logf("output of %s:\n%s", p.spec.Name, p.Output())
		}
	})
	return g
}

// Start starts a process and does not wait for it to be ready.
func (g *Group) Start(spec Spec) (*Process, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return nil, fmt.Errorf("start %s: the group is closed; start processes before Close", spec.Name)
	}
	p := &Process{spec: spec, out: newOutput(), done: make(chan struct{})}
	p.cmd = exec.Command(spec.Path, spec.Args...)
	p.cmd.Env = append(os.Environ(), spec.Env...)
	p.cmd.SysProcAttr = processAttributes()
	p.cmd.WaitDelay = outputTimeout
	p.cmd.Stdout = &stream{output: p.out, log: spec.Log, parse: true}
	p.cmd.Stderr = &stream{output: p.out, log: spec.Log}
	if err := startOnPersistentThread(p.cmd); err != nil {
		return nil, fmt.Errorf("start %s: %w", spec.Name, err)
	}
	go p.reap()
	g.processes = append(g.processes, p)
	return p, nil
}

// Close kills all processes of the group and waits until they have exited.
func (g *Group) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for _, p := range g.processes {
		_ = p.signal(syscall.SIGKILL)
	}
	for _, p := range g.processes {
		<-p.done
	}
}

var (
	startThreadOnce sync.Once
	startRequests   = make(chan func())
)

// startOnPersistentThread starts the command on a thread that never exits before the calling process: the kernel sends the
// parent death signal when the thread that forked the child exits.
func startOnPersistentThread(cmd *exec.Cmd) error {
	startThreadOnce.Do(func() {
		go func() {
			runtime.LockOSThread()
			for request := range startRequests {
				request()
			}
		}()
	})
	result := make(chan error)
	startRequests <- func() { result <- cmd.Start() }
	return <-result
}

// Process is a started process. All methods are safe for concurrent use.
type Process struct {
	spec Spec
	cmd  *exec.Cmd
	out  *output
	done chan struct{} // closed after the process exited and its output was read
}

func (p *Process) reap() {
	_ = p.cmd.Wait() // the exit code is in ProcessState
	close(p.done)
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Output returns stdout and stderr so far.
func (p *Process) Output() string { return p.out.String() }

// Done returns a channel that is closed when the process has exited.
func (p *Process) Done() <-chan struct{} { return p.done }

// Address waits until the process has printed the address of the listener and returns the address.
func (p *Process) Address(ctx context.Context, listener string) (string, error) {
	for {
		address, _, changed := p.out.state(listener)
		if address != "" {
			return address, nil
		}
		if err := waitForEvent(ctx, p, changed); err != nil {
			return "", fmt.Errorf("wait for listener %s: %w", listener, err)
		}
	}
}

// WaitReady waits for the ready line and, if the Spec names a HealthListener, until HealthPath answers 200.
func (p *Process) WaitReady(ctx context.Context) error {
	for {
		_, ready, changed := p.out.state("")
		if ready {
			break
		}
		if err := waitForEvent(ctx, p, changed); err != nil {
			return fmt.Errorf("wait for ready line: %w", err)
		}
	}
	if p.spec.HealthListener == "" {
		return nil
	}
	address, err := p.Address(ctx, p.spec.HealthListener)
	if err != nil {
		return err
	}
	return p.waitHealthy(ctx, "http://"+address+p.spec.HealthPath)
}

func (p *Process) waitHealthy(ctx context.Context, url string) error {
	c, err := client.NewClient(client.WithDialTimeout(pollTimeout), client.WithKeepAlive(false))
	if err != nil {
		return fmt.Errorf("create HTTP client: %w", err)
	}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		status, _, err := c.GetTimeout(ctx, nil, url, pollTimeout)
		if err == nil && status == 200 {
			return nil
		}
		if stop := waitForEvent(ctx, p, ticker.C); stop != nil {
			return fmt.Errorf("wait for 200 from %s, last status %d, last error %v: %w", url, status, err, stop)
		}
	}
}

// waitForEvent returns nil when the event occurs, and an error if the process exits or ctx ends first.
func waitForEvent[T any](ctx context.Context, p *Process, event <-chan T) error {
	select {
	case <-event:
		return nil
	case <-p.done:
		return fmt.Errorf("%s: %w: %s\n%s", p.spec.Name, ErrExited, p.cmd.ProcessState, p.Output())
	case <-ctx.Done():
		return fmt.Errorf("%s: %w; its output:\n%s", p.spec.Name, ctx.Err(), p.Output())
	}
}

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() error {
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.done
	return nil
}

// Pause stops the process with SIGSTOP to simulate a long pause of its instance. It waits until all threads have
// stopped: the signal takes effect after the call that sends it, and without the wait a paused process has answered a
// request.
func (p *Process) Pause() error {
	if err := p.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	for end := time.Now().Add(stopTimeout); !isStopped(p.PID()); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("pause %s: still running %v after SIGSTOP", p.spec.Name, stopTimeout)
		}
	}
	return nil
}

// Resume continues a paused process.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

// Terminate sends SIGTERM and does not wait.
func (p *Process) Terminate() error { return p.signal(syscall.SIGTERM) }

// Wait waits until the process has exited and returns its exit code, or -1 if a signal terminated it.
func (p *Process) Wait(ctx context.Context) (int, error) {
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode(), nil
	case <-ctx.Done():
		return 0, fmt.Errorf("wait for the exit of %s: %w", p.spec.Name, ctx.Err())
	}
}

// signal sends a signal. It is no error if the process has already exited.
func (p *Process) signal(s syscall.Signal) error {
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("send %v to %s: %w", s, p.spec.Name, err)
	}
	return nil
}
