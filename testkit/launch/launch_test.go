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

// bound is how long a test waits for something that must happen.
const bound = 60 * time.Second

func TestMain(m *testing.M) {
	code := m.Run()
	RemoveBuilds()
	os.Exit(code)
}

func child(t *testing.T, spec Spec) (context.Context, *Process) {
	t.Helper()
	path, err := Build("./testdata/child")
	assert.NilError(t, err)
	spec.Name, spec.Path = "child", path
	spec.HealthListener, spec.HealthPath = "http", "/health"
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	t.Cleanup(cancel)
	p, err := ForTest(t).Start(spec)
	assert.NilError(t, err)
	return ctx, p
}

// Guards against a launcher that calls a process ready before its health answers 200, and against lost output.
func TestReady(t *testing.T) {
	var log bytes.Buffer
	ctx, p := child(t, Spec{Args: []string{"3"}, Log: &log})
	assert.NilError(t, p.WaitReady(ctx))
	address, err := p.Address(ctx, "http")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(p.Output(), "listening name=http address="+address))
	assert.NilError(t, p.Kill())
	assert.Assert(t, strings.Contains(p.Output(), "a line on stderr"))
	assert.Equal(t, log.String(), p.Output())
}

// Guards against a test that waits for its bound when the process ended at once, and that hides the reason.
func TestExitBeforeReady(t *testing.T) {
	ctx, p := child(t, Spec{Args: []string{"none"}})
	err := p.WaitReady(ctx)
	assert.Assert(t, errors.Is(err, ErrExited), "got %v", err)
	assert.ErrorContains(t, err, "argument must be a number")
	code, err := p.Wait(ctx)
	assert.NilError(t, err)
	assert.Equal(t, code, 2)
}

// Guards against a pause that does not stop the process, or a resume that does not continue it.
func TestPauseResume(t *testing.T) {
	ctx, p := child(t, Spec{Args: []string{"0"}})
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

// Guards against a terminate that kills, so that graceful shutdown would not be tested.
func TestTerminate(t *testing.T) {
	ctx, p := child(t, Spec{Args: []string{"0"}})
	assert.NilError(t, p.WaitReady(ctx))
	assert.NilError(t, p.Terminate())
	code, err := p.Wait(ctx)
	assert.NilError(t, err)
	assert.Equal(t, code, 7)
	assert.NilError(t, p.Terminate(), "a process that ended is no error")
}

// Guards against processes that outlive their test, paused ones included.
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

// Guards against a listener line that is missed because the pipe split it, and against other lines taken for one.
func TestOutputLines(t *testing.T) {
	o := newOutput()
	s := &stream{output: o, parse: true}
	for _, part := range []string{"listening na", "me=http address=127.0.0.1:9\nlistening x y\nrea", "dy\nlog listening name=a address=b\n"} {
		_, err := s.Write([]byte(part))
		assert.NilError(t, err)
	}
	address, ready, _ := o.state("http")
	assert.Equal(t, address, "127.0.0.1:9")
	assert.Assert(t, ready)
	assert.Equal(t, len(o.listeners), 1)
}

// Guards against a build for each start, and against a build error without the compiler's message.
func TestBuild(t *testing.T) {
	first, err := Build("./testdata/child")
	assert.NilError(t, err)
	second, err := Build("./testdata/child")
	assert.NilError(t, err)
	assert.Equal(t, first, second)
	_, err = Build("./testdata/missing")
	assert.ErrorContains(t, err, "missing")
}
