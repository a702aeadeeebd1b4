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
	"gotest.tools/v3/poll"
)

// send sends one request and returns the body of the response.
func send(p *Pool, address, attemptID string) (string, error) {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	req.SetRequestURI("http://" + address + "/")
	req.Header.Set(HeaderAttempt, attemptID)
	err := p.Do(context.Background(), req, resp, time.Now().Add(time.Minute))
	return string(resp.Body()), err
}

// A request in progress must survive the abort of idle connections and of another request, and the stop of the server. An
// idle connection must not be used after its abort.
func TestPoolAndShutdown(t *testing.T) {
	s, err := Listen("127.0.0.1:0")
	assert.NilError(t, err)
	begun, proceed := make(chan struct{}), make(chan struct{})
	s.NoRoute(func(_ context.Context, c *app.RequestContext) {
		if string(c.GetHeader(HeaderAttempt)) != "quick" {
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
		body, err := send(p, s.Address(), "quick")
		assert.NilError(t, err)
		assert.Equal(t, body, "whole")
		p.AbortIdle()
	}
	type result struct {
		body string
		err  error
	}
	kept, dropped := make(chan result, 1), make(chan result, 1)
	go func() { b, err := send(p, s.Address(), "kept"); kept <- result{b, err} }()
	<-begun
	go func() { b, err := send(p, s.Address(), "dropped"); dropped <- result{b, err} }()
	<-begun
	p.AbortIdle()
	p.Abort("dropped")
	assert.ErrorIs(t, (<-dropped).err, errAborted)
	stop()
	// A request counts until its response was flushed, which its client may read a moment earlier: the quick requests may
	// still be counted.
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := s.InProgress(); n != 2 {
			return poll.Continue("%d requests are in progress", n)
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute), poll.WithDelay(time.Millisecond))
	close(proceed)
	e := <-kept
	assert.NilError(t, e.err)
	assert.Equal(t, e.body, "whole")
	assert.NilError(t, <-served)
}

// blockingDialer blocks every dial until the test lets it proceed.
type blockingDialer struct {
	network.Dialer
	begun, proceed chan struct{}
}

func (d blockingDialer) DialConnection(n, address string, timeout time.Duration, config *tls.Config) (network.Conn, error) {
	d.begun <- struct{}{}
	<-d.proceed
	return d.Dialer.DialConnection(n, address, timeout, config)
}

// An attempt that is aborted during its dial must not be sent, and the count of idle connections must stay exact.
func TestAbortDuringDial(t *testing.T) {
	s, err := Listen("127.0.0.1:0")
	assert.NilError(t, err)
	arrived := make(chan string, 1)
	s.NoRoute(func(_ context.Context, c *app.RequestContext) {
		arrived <- string(c.GetHeader(HeaderAttempt))
		c.String(200, "whole")
	})
	ctx, stop := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- s.Serve(ctx, 0) }()
	d := blockingDialer{standard.NewDialer(), make(chan struct{}), make(chan struct{})}
	p, err := newPool(d, time.Second, 8, true)
	assert.NilError(t, err)
	aborted := make(chan error, 1)
	go func() { _, err := send(p, s.Address(), "given up"); aborted <- err }()
	<-d.begun
	p.Abort("given up")
	d.proceed <- struct{}{}
	assert.ErrorIs(t, <-aborted, ErrNotSent)
	assert.Assert(t, !p.Idle())

	go func() { <-d.begun; d.proceed <- struct{}{} }()
	body, err := send(p, s.Address(), "sent")
	assert.NilError(t, err)
	assert.Equal(t, body, "whole")
	assert.Equal(t, <-arrived, "sent")
	assert.Assert(t, p.Idle())
	p.AbortIdle()
	assert.Assert(t, !p.Idle())
	p.Close()
	assert.Equal(t, p.idle.Load(), int64(0))
	assert.Equal(t, len(p.attempts), 0)
	stop()
	assert.NilError(t, <-served)
}
