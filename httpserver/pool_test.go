package httpserver

import (
	"context"
	"crypto/tls"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"gotest.tools/v3/assert"
)

// ask sends one request and returns the body of the answer.
func ask(p *Pool, address, try string) (string, error) {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	req.SetRequestURI("http://" + address + "/")
	req.Header.Set(HeaderTry, try)
	err := p.Do(context.Background(), req, resp, time.Now().Add(time.Minute))
	return string(resp.Body()), err
}

// Guards against a request in progress that is lost when idle connections are given up, when another request is given up
// or when the server stops, and against an idle connection that is used after it was given up.
func TestPoolAndShutdown(t *testing.T) {
	s, err := Listen("127.0.0.1:0")
	assert.NilError(t, err)
	begun, proceed := make(chan struct{}), make(chan struct{})
	s.NoRoute(func(_ context.Context, c *app.RequestContext) {
		if string(c.GetHeader(HeaderTry)) != "quick" {
			begun <- struct{}{}
			<-proceed
		}
		c.String(200, "whole")
	})
	ctx, stop := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- s.Serve(ctx, 0) }()
	p, err := NewPool(time.Second, 8, true)
	assert.NilError(t, err)
	defer p.Close()
	for range 3 {
		body, err := ask(p, s.Address(), "quick")
		assert.NilError(t, err)
		assert.Equal(t, body, "whole")
		p.AbortIdle()
	}
	type end struct {
		body string
		err  error
	}
	kept, dropped := make(chan end, 1), make(chan end, 1)
	go func() { b, err := ask(p, s.Address(), "kept"); kept <- end{b, err} }()
	<-begun
	go func() { b, err := ask(p, s.Address(), "dropped"); dropped <- end{b, err} }()
	<-begun
	p.AbortIdle()
	p.Abort("dropped")
	assert.ErrorIs(t, (<-dropped).err, errAborted)
	stop()
	assert.Equal(t, s.InProgress(), 2)
	close(proceed)
	e := <-kept
	assert.NilError(t, e.err)
	assert.Equal(t, e.body, "whole")
	assert.NilError(t, <-served)
}

// heldDialer holds back every dial.
type heldDialer struct {
	network.Dialer
	begun, proceed chan struct{}
}

func (d heldDialer) DialConnection(n, address string, timeout time.Duration, config *tls.Config) (network.Conn, error) {
	d.begun <- struct{}{}
	<-d.proceed
	return d.Dialer.DialConnection(n, address, timeout, config)
}

// Guards against a sending that is given up during its dial and sent all the same, and against a count of idle
// connections that drifts from the connections.
func TestAbortDuringDial(t *testing.T) {
	s, err := Listen("127.0.0.1:0")
	assert.NilError(t, err)
	arrived := make(chan string, 1)
	s.NoRoute(func(_ context.Context, c *app.RequestContext) {
		arrived <- string(c.GetHeader(HeaderTry))
		c.String(200, "whole")
	})
	ctx, stop := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- s.Serve(ctx, 0) }()
	d := heldDialer{standard.NewDialer(), make(chan struct{}), make(chan struct{})}
	p, err := newPool(d, time.Second, 8, true)
	assert.NilError(t, err)
	given := make(chan error, 1)
	go func() { _, err := ask(p, s.Address(), "given up"); given <- err }()
	<-d.begun
	p.Abort("given up")
	d.proceed <- struct{}{}
	assert.ErrorIs(t, <-given, ErrNotSent)
	assert.Assert(t, !p.Idle())

	go func() { <-d.begun; d.proceed <- struct{}{} }()
	body, err := ask(p, s.Address(), "sent")
	assert.NilError(t, err)
	assert.Equal(t, body, "whole")
	assert.Equal(t, <-arrived, "sent")
	assert.Assert(t, p.Idle())
	p.AbortIdle()
	assert.Assert(t, !p.Idle())
	p.Close()
	assert.Equal(t, p.idle.Load(), int64(0))
	assert.Equal(t, len(p.tries), 0)
	stop()
	assert.NilError(t, <-served)
}
