package httpserver

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app/client"
	herrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1"

	"github.com/verbenakeel/verbenakeel/errdefs"
)

// HeaderAttempt is the header with the id of one attempt of a request. It is unique per attempt, so that each can be tracked.
const HeaderAttempt = "X-Try"

// Errors of Pool.Do.
var (
	// ErrNotSent means that no byte of the request left this process.
	ErrNotSent = errors.New("the request was not sent")
	// ErrIncompleteResponse means that only the end of the connection marked the end of the response, so that the response
	// may be truncated.
	ErrIncompleteResponse = errors.New("the answer has neither a length nor chunks, so it may have been cut short")
	// ErrBusy means that all connections of the pool are in use. It is always wrapped together with ErrNotSent.
	ErrBusy = errors.New("all connections are in use")
	// errAborted is the error of an exchange whose connection was aborted.
	errAborted = errors.New("the connection was given up")
)

// maxIdleTime is how long an idle connection stays in the pool. Servers commonly close idle connections after 20 s or
// more, and a request sent while its server closes the connection would have an unknown outcome.
const maxIdleTime = 10 * time.Second

// Pool is a connection pool and HTTP client for one peer. It sends each request once, can abort connections, and never
// returns a truncated response as a complete one.
type Pool struct {
	client *client.Client

	mu sync.Mutex
	// conns holds the open connections, and attempts holds the attempts in progress by id.
	conns    map[*pooledConn]struct{}
	attempts map[string]*trackedAttempt

	// idle counts the idle connections that were not aborted.
	idle atomic.Int64
}

// trackedAttempt is an attempt in progress. It is guarded by Pool.mu.
type trackedAttempt struct {
	// conn is the connection in use; nil until the headers of the request are written.
	conn    *pooledConn
	aborted bool
}

// NewPool returns a pool of at most conns connections. Without keepAlive, every request uses a fresh connection.
func NewPool(dialTimeout time.Duration, conns int, keepAlive bool) (*Pool, error) {
	return newPool(standard.NewDialer(), dialTimeout, conns, keepAlive)
}

func newPool(dialer network.Dialer, dialTimeout time.Duration, conns int, keepAlive bool) (*Pool, error) {
	p := &Pool{conns: make(map[*pooledConn]struct{}), attempts: make(map[string]*trackedAttempt)}
	c, err := client.NewClient(
		client.WithDialer(pooledDialer{dialer, p}), client.WithDialTimeout(dialTimeout),
		client.WithMaxConnsPerHost(conns), client.WithMaxIdleConnDuration(maxIdleTime), client.WithNoDefaultUserAgentHeader(true),
		client.WithKeepAlive(keepAlive), client.WithDisablePathNormalizing(true),
		client.WithHostClientConfigHook(func(hc any) error {
			if h, ok := hc.(*http1.HostClient); ok {
				h.MaxResponseBodySize = MaxBody
			}
			return nil
		}),
	)
	if err != nil {
		return nil, fmt.Errorf("set up HTTP client: %w", errdefs.New(errdefs.Invalid, err.Error(), "report this"))
	}
	p.client = c
	return p, nil
}

// Do sends the request once and reads the complete response. Its error wraps ErrNotSent only if the request certainly was
// not sent.
func (p *Pool) Do(ctx context.Context, req *protocol.Request, resp *protocol.Response, deadline time.Time) error {
	if !time.Now().Before(deadline) {
		return fmt.Errorf("%w: the deadline has passed", ErrNotSent)
	}
	attemptID := string(req.Header.Peek(HeaderAttempt))
	s := p.track(attemptID)
	defer p.untrack(attemptID)
	for {
		err := p.client.DoDeadline(ctx, req, resp, deadline)
		// Nothing was sent on a connection that was aborted while idle, so the request can use another one.
		if errors.Is(err, errAborted) && errors.Is(err, ErrNotSent) && time.Now().Before(deadline) && !p.isAborted(s) {
			continue
		}
		if errors.Is(err, herrors.ErrNoFreeConns) {
			return fmt.Errorf("%w: %w", ErrNotSent, ErrBusy)
		}
		if err != nil {
			return err
		}
		if a, ok := resp.LocalAddr().(*pooledAddr); ok && a.conn.hasReadFailed() {
			return ErrIncompleteResponse
		}
		return nil
	}
}

// track registers an attempt, so that it can be aborted before it is assigned to a connection.
func (p *Pool) track(attemptID string) *trackedAttempt {
	s := new(trackedAttempt)
	if attemptID == "" {
		return s
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.attempts[attemptID] = s
	return s
}

func (p *Pool) untrack(attemptID string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.attempts, attemptID)
}

func (p *Pool) isAborted(s *trackedAttempt) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return s.aborted
}

// Idle reports whether there is an idle connection, so that the next request need not dial.
func (p *Pool) Idle() bool { return p.idle.Load() > 0 }

// Abort aborts an attempt in progress together with its connection. Its Do returns immediately, or once the dial of its
// connection has completed.
func (p *Pool) Abort(attemptID string) {
	p.mu.Lock()
	var c *pooledConn
	if s := p.attempts[attemptID]; s != nil {
		s.aborted = true
		c = s.conn
	}
	p.mu.Unlock()
	if c != nil {
		c.abort()
	}
}

// AbortIdle aborts the idle connections, so that the next requests use fresh ones.
func (p *Pool) AbortIdle() {
	for _, c := range p.openConns() {
		c.abortIdle()
	}
}

// AbortAll aborts all connections.
func (p *Pool) AbortAll() {
	for _, c := range p.openConns() {
		c.abort()
	}
}

func (p *Pool) openConns() []*pooledConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]*pooledConn, 0, len(p.conns))
	for c := range p.conns {
		list = append(list, c)
	}
	return list
}

// Close aborts all connections and closes them.
func (p *Pool) Close() {
	p.AbortAll()
	p.client.CloseIdleConnections()
}

// assign records that the attempt uses c. It returns false if the attempt was already aborted.
func (p *Pool) assign(c *pooledConn, attemptID string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.attempts[attemptID]
	if s == nil {
		return true
	}
	if s.aborted {
		return false
	}
	s.conn, c.attempt = c, s
	return true
}

// release records that no attempt uses c.
func (p *Pool) release(c *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.attempt != nil && c.attempt.conn == c {
		c.attempt.conn = nil
	}
	c.attempt = nil
}

func (p *Pool) remove(c *pooledConn) {
	p.release(c)
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setIdle(false)
}

// pooledDialer opens the connections of a pool.
type pooledDialer struct {
	network.Dialer
	pool *Pool
}

// DialConnection implements network.Dialer.
func (d pooledDialer) DialConnection(n, address string, timeout time.Duration, config *tls.Config) (network.Conn, error) {
	inner, err := d.Dialer.DialConnection(n, address, timeout, config)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	c := &pooledConn{Conn: inner, pool: d.pool}
	c.addr = &pooledAddr{inner.LocalAddr(), c}
	d.pool.mu.Lock()
	d.pool.conns[c] = struct{}{}
	d.pool.mu.Unlock()
	return c, nil
}

// pooledAddr gives access to the connection that a response was read from.
type pooledAddr struct {
	net.Addr
	conn *pooledConn
}

// pooledConn is one connection of a pool. It wraps errors, because hertz retries GET, HEAD, PUT, DELETE, OPTIONS and TRACE
// by itself if a pooled connection fails with a bare io.EOF, and no client option turns this off.
type pooledConn struct {
	network.Conn
	pool *Pool
	addr *pooledAddr
	// attempt is the attempt that uses the connection. It is guarded by Pool.mu.
	attempt *trackedAttempt

	mu sync.Mutex
	// busy is true during an exchange. idle is true from the end of an exchange until the next one begins or the connection
	// is aborted.
	busy       bool
	idle       bool
	aborted    bool
	readFailed bool
}

var attemptHeaderPrefix = []byte("\r\n" + HeaderAttempt + ": ")

// LocalAddr implements net.Conn.
func (c *pooledConn) LocalAddr() net.Addr { return c.addr }

// abort makes all further reads and writes fail.
func (c *pooledConn) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abortLocked()
}

// abortIdle aborts the connection unless it has an exchange in progress.
func (c *pooledConn) abortIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy {
		c.abortLocked()
	}
}

// abortLocked is abort for callers that hold c.mu.
func (c *pooledConn) abortLocked() {
	c.aborted = true
	c.setIdle(false)
	_ = c.SetDeadline(time.Unix(1, 0))
}

// setIdle sets the idle state and updates the pool's count of idle connections. c.mu must be held.
func (c *pooledConn) setIdle(idle bool) {
	switch {
	case idle && !c.idle:
		c.pool.idle.Add(1)
	case !idle && c.idle:
		c.pool.idle.Add(-1)
	}
	c.idle = idle
}

func (c *pooledConn) hasReadFailed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readFailed
}

// SetWriteTimeout implements network.Conn. hertz calls it at the start of every exchange. Bytes that are already buffered
// belong to no request, and would be read as the next response, so such a connection is not used.
func (c *pooledConn) SetWriteTimeout(t time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.aborted || c.Len() > 0 {
		return fmt.Errorf("%w: %w", ErrNotSent, errAborted)
	}
	c.busy = true
	c.setIdle(false)
	return c.Conn.SetWriteTimeout(t)
}

// SetReadTimeout implements network.Conn. hertz calls it before it reads a response.
func (c *pooledConn) SetReadTimeout(t time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.aborted {
		return errAborted
	}
	return c.Conn.SetReadTimeout(t)
}

// WriteBinary implements network.Writer. hertz writes all headers of a request in one call.
func (c *pooledConn) WriteBinary(b []byte) (int, error) {
	if _, rest, ok := bytes.Cut(b, attemptHeaderPrefix); ok {
		attemptID, _, _ := bytes.Cut(rest, []byte("\r\n"))
		if !c.pool.assign(c, string(attemptID)) {
			return 0, fmt.Errorf("%w: %w", ErrNotSent, errAborted)
		}
	}
	return c.Conn.WriteBinary(b)
}

// Flush implements network.Writer.
func (c *pooledConn) Flush() error {
	if err := c.Conn.Flush(); err != nil {
		return fmt.Errorf("send request: %w", err)
	}
	return nil
}

// Peek implements network.Reader.
func (c *pooledConn) Peek(n int) ([]byte, error) {
	data, err := c.Conn.Peek(n)
	if err != nil {
		c.mu.Lock()
		c.readFailed = true
		aborted := c.aborted
		c.mu.Unlock()
		if aborted {
			return data, errAborted
		}
		return data, fmt.Errorf("read answer: %w", err)
	}
	return data, nil
}

// Release implements network.Reader. hertz calls it at the end of every exchange.
func (c *pooledConn) Release() error {
	c.pool.release(c)
	c.mu.Lock()
	c.busy = false
	c.setIdle(!c.aborted && !c.readFailed)
	c.mu.Unlock()
	return c.Conn.Release()
}

// Close implements net.Conn.
func (c *pooledConn) Close() error {
	c.pool.remove(c)
	return c.Conn.Close()
}
