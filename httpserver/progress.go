package httpserver

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
)

// inProgressKey marks a request context whose handler has begun.
const inProgressKey = "verbenakeel.in_progress"

// afterWriteKey holds what is to be done once the answer was written.
const afterWriteKey = "verbenakeel.after_write"

// AfterWrite calls f once the answer was written, or its connection failed.
func AfterWrite(c *app.RequestContext, f func()) { c.Set(afterWriteKey, f) }

// progress counts requests from the begin of their handler until their answer was written. It is a tracer of hertz,
// because only tracers are told after the answer was flushed.
type progress struct {
	mu      sync.Mutex
	running int
	idle    chan struct{}
}

func (p *progress) begin(ctx context.Context, c *app.RequestContext) {
	p.mu.Lock()
	p.running++
	p.mu.Unlock()
	c.Set(inProgressKey, true)
	c.Next(ctx)
}

// Start implements tracer.Tracer.
func (p *progress) Start(ctx context.Context, _ *app.RequestContext) context.Context { return ctx }

// Finish implements tracer.Tracer.
func (p *progress) Finish(_ context.Context, c *app.RequestContext) {
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

func (p *progress) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running
}

// wait returns true once nothing is in progress, and false after the grace time. Zero waits without limit.
func (p *progress) wait(grace time.Duration) bool {
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

// over reports whether more connections are open than allowed.
func (l *limitedListener) over() bool { return l.open.Load() > l.max }

// Accept implements net.Listener. A connection that is closed at once would leave the outcome of a request sent on it
// unknown, so those beyond the bound are served and closed after their answer, and only those beyond twice the bound are
// closed at once.
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

// limitedConn gives its place back when it is closed.
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
