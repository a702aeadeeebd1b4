package launch

import (
	"bytes"
	"context"
	"errors"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	"gotest.tools/v3/assert"
)

// testTimeout limits the duration of a test that waits for a process.
const testTimeout = 60 * time.Second

func TestMain(m *testing.M) {
	code := m.Run()
	RemoveBuilds()
	os.Exit(code)
}

func startChild(t *testing.T, spec Spec) (context.Context, *Process) {
	t.Helper()
	path, err := Build("./testdata/child")
	assert.NilError(t, err)
	spec.Name, spec.Path = "child", path
	spec.HealthListener, spec.HealthPath = "http", "/health"
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	p, err := ForTest(t).Start(spec)
	assert.NilError(t, err)
	return ctx, p
}

// Guards against WaitReady returning before the health path answers 200, and against lost output.
func TestReady(t *testing.T) {
	var log bytes.Buffer
	ctx, p := startChild(t, Spec{Args: []string{"3"}, Log: &log})
	assert.NilError(t, p.WaitReady(ctx))
	address, err := p.Address(ctx, "http")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(p.Output(), "listening name=http address="+address))
	assert.NilError(t, p.Kill())
	assert.Assert(t, strings.Contains(p.Output(), "a line on stderr"))
	assert.Equal(t, log.String(), p.Output())
}

// Guards against WaitReady waiting for its timeout after the process has exited, and against an error without the
// process's output.
func TestExitBeforeReady(t *testing.T) {
	ctx, p := startChild(t, Spec{Args: []string{"none"}})
	err := p.WaitReady(ctx)
	assert.Assert(t, errors.Is(err, ErrExited), "got %v", err)
	assert.ErrorContains(t, err, "argument must be a number")
	code, err := p.Wait(ctx)
	assert.NilError(t, err)
	assert.Equal(t, code, 2)
}

// Guards against a Pause that does not stop the process, and a Resume that does not continue it.
func TestPauseResume(t *testing.T) {
	ctx, p := startChild(t, Spec{Args: []string{"0"}})
	assert.NilError(t, p.WaitReady(ctx))
	address, err := p.Address(ctx, "http")
	assert.NilError(t, err)
	c, err := client.NewClient(client.WithKeepAlive(false))
	assert.NilError(t, err)
	assert.NilError(t, p.Pause())
	_, _, err = c.GetTimeout(ctx, nil, "http://"+address+"/health", 200*time.Millisecond)
	assert.Assert(t, err != nil, "a paused process answered")
	assert.NilError(t, p.Resume())
	assert.NilError(t, p.WaitReady(ctx))
}

// Guards against a Terminate that kills the process, so that tests would not cover graceful shutdown.
func TestTerminate(t *testing.T) {
	ctx, p := startChild(t, Spec{Args: []string{"0"}})
	assert.NilError(t, p.WaitReady(ctx))
	assert.NilError(t, p.Terminate())
	code, err := p.Wait(ctx)
	assert.NilError(t, err)
	assert.Equal(t, code, 7)
	assert.NilError(t, p.Terminate(), "Terminate after the exit of the process must not fail")
}

// Guards against processes, including paused ones, that are still running after their test.
func TestCloseKillsAll(t *testing.T) {
	path, err := Build("./testdata/child")
	assert.NilError(t, err)
	var g Group
	var pids []int
	for range 3 {
		p, err := g.Start(Spec{Name: "child", Path: path, Args: []string{"0"}})
		assert.NilError(t, err)
		assert.NilError(t, p.Pause())
		pids = append(pids, p.PID())
	}
	g.Close()
	for _, pid := range pids {
		assert.ErrorIs(t, syscall.Kill(pid, 0), syscall.ESRCH)
	}
	_, err = g.Start(Spec{Name: "late", Path: path})
	assert.ErrorContains(t, err, "the group is closed")
}

// Guards against missing a listener line that the pipe split, and against parsing other lines as listener lines.
func TestOutputLines(t *testing.T) {
	o := newOutput()
	s := &stream{output: o, parse: true}
	for _, chunk := range []string{"listening na", "me=http address=127.0.0.1:9\nlistening x y\nrea", "dy\nlog listening name=a address=b\n"} {
		_, err := s.Write([]byte(chunk))
		assert.NilError(t, err)
	}
	address, ready, _ := o.state("http")
	assert.Equal(t, address, "127.0.0.1:9")
	assert.Assert(t, ready)
	assert.Equal(t, len(o.listeners), 1)
}

// Guards against a build for each call, and against a build error without the compiler's message.
func TestBuild(t *testing.T) {
	first, err := Build("./testdata/child")
	assert.NilError(t, err)
	second, err := Build("./testdata/child")
	assert.NilError(t, err)
	assert.Equal(t, first, second)
	_, err = Build("./testdata/missing")
	assert.ErrorContains(t, err, "missing")
}
