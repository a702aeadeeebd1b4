package httpserver

import (
	"context"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
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
