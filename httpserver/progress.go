package httpserver

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
)

// inProgressKey marks a request context whose handler was started.
const inProgressKey = "verbenakeel.in_progress"

// afterWriteKey holds the function that AfterWrite registered.
const afterWriteKey = "verbenakeel.after_write"

// AfterWrite calls f once the response is written or its connection has failed.
func AfterWrite(c *app.RequestContext, f func()) { c.Set(afterWriteKey, f) }

// requestTracker counts requests from the start of their handler until their response is written. It is a hertz tracer,
// because hertz calls only tracers after the response is flushed.
type requestTracker struct {
	mu      sync.Mutex
	running int
	idle    chan struct{}
}

func (p *requestTracker) begin(ctx context.Context, c *app.RequestContext) {
	p.mu.Lock()
	p.running++
	p.mu.Unlock()
	c.Set(inProgressKey, true)
	c.Next(ctx)
}

// Start implements tracer.Tracer.
func (p *requestTracker) Start(ctx context.Context, _ *app.RequestContext) context.Context {
	return ctx
}

// Finish implements tracer.Tracer.
func (p *requestTracker) Finish(_ context.Context, c *app.RequestContext) {
	if _, ok := c.Get(inProgressKey); !ok {
		return
	}
	if f, ok := c.Get(afterWriteKey); ok {
		f.(func())()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
	if p.running == 0 && p.idle != nil {
		close(p.idle)
		p.idle = nil
	}
}

func (p *requestTracker) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running
}

// wait returns true once no request is in progress, and false after the grace time. Zero waits without limit.
func (p *requestTracker) wait(grace time.Duration) bool {
	var end <-chan time.Time
	if grace > 0 {
		timer := time.NewTimer(grace)
		defer timer.Stop()
		end = timer.C
	}
	for {
		p.mu.Lock()
		if p.running == 0 {
			p.mu.Unlock()
			return true
		}
		if p.idle == nil {
			p.idle = make(chan struct{})
		}
		idle := p.idle
		p.mu.Unlock()
		select {
		case <-idle:
		case <-end:
			return false
		}
	}
}

// limitedListener bounds open connections.
type limitedListener struct {
	net.Listener
	max  int64
	open atomic.Int64
}

// overLimit reports whether more connections are open than the bound allows.
func (l *limitedListener) overLimit() bool { return l.open.Load() > l.max }

// Accept implements net.Listener. Closing a connection immediately would leave the outcome of a request sent on it
// unknown, so connections above the bound are served and closed after their response, and only those above twice the
// bound are closed immediately.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) > 2*l.max {
			l.open.Add(-1)
			_ = c.Close()
			continue
		}
		return &limitedConn{Conn: c, listener: l}, nil
	}
}

// limitedConn is a connection that the listener counts as open until it is closed.
type limitedConn struct {
	net.Conn
	listener *limitedListener
	once     sync.Once
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}
