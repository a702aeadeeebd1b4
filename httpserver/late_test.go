package httpserver

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a process that takes every client for slow when it runs again after a pause: the deadline of a read passed
// meanwhile, but the bytes had arrived. A client that sends nothing is still refused.
func TestPauseOfTheProcessIsNotTheClients(t *testing.T) {
	refused := map[Reason]int{}
	in := NewIntake(DefaultIntakeLimits(64<<20, 4096), func(r Reason) { refused[r]++ })
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	client := dial(t, ln.Addr().String())
	raw, err := ln.Accept()
	assert.NilError(t, err)
	c := &requestConn{intakeConn: in.accept(raw), server: &boundedTransport{intake: in, refusalBody: problemBody}}
	defer c.intakeConn.Close()
	c.enter(reading)
	_, err = io.WriteString(client, "abc")
	assert.NilError(t, err)
	pausedSince := time.Now().Add(-10 * time.Second)
	got := make([]byte, 0, 10)
	assert.NilError(t, c.receive(&got, pausedSince))
	assert.Equal(t, string(got), "abc")
	// The pause moves the later deadlines of the request too.
	_, err = io.WriteString(client, "de")
	assert.NilError(t, err)
	assert.NilError(t, c.receive(&got, pausedSince))
	assert.Equal(t, string(got), "abcde")
	assert.ErrorIs(t, c.receive(&got, pausedSince), errRefused)
	assert.Equal(t, refused[ReasonSlow], 1)
}
