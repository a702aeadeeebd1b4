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

// HeaderTry names one sending of a request. It is unique per sending, so that a lost one can be told apart.
const HeaderTry = "X-Try"

// Errors of Pool.Do.
var (
	// ErrNotSent means that no byte of the request left this process.
	ErrNotSent = errors.New("the request was not sent")
	// ErrNotWhole means that the answer ended with its connection, so that nothing shows that it is whole.
	ErrNotWhole = errors.New("the answer has neither a length nor chunks, so it may have been cut short")
	// ErrBusy means that all connections of the pool are in use. It comes with ErrNotSent.
	ErrBusy = errors.New("all connections are in use")
	// errAborted ends an exchange whose connection was given up.
	errAborted = errors.New("the connection was given up")
)

// maxIdle is how long a connection stays in the pool unused. Servers commonly close idle connections after 20 s or more;
// a request sent while its server closes the connection would have an unknown outcome.
const maxIdle = 10 * time.Second

// Pool is an HTTP client of one peer. It sends each request once, gives up connections on demand, and never takes an
// answer that was cut short for a whole one.
type Pool struct {
	client *client.Client

	mu sync.Mutex
	// conns holds the open connections, and tries the sendings in progress.
	conns map[*pooledConn]struct{}
	tries map[string]*inProgress

	// idle counts connections that wait for a request and were not given up.
	idle atomic.Int64
}

// inProgress is a sending in progress. It is guarded by Pool.mu.
type inProgress struct {
	// conn carries the sending; nil until its headers are written.
	conn    *pooledConn
	aborted bool
}

// NewPool returns a pool of at most conns connections. Without keepAlive every request uses a fresh connection.
func NewPool(dialTimeout time.Duration, conns int, keepAlive bool) (*Pool, error) {
	return newPool(standard.NewDialer(), dialTimeout, conns, keepAlive)
}

func newPool(dialer network.Dialer, dialTimeout time.Duration, conns int, keepAlive bool) (*Pool, error) {
	p := &Pool{conns: make(map[*pooledConn]struct{}), tries: make(map[string]*inProgress)}
	c, err := client.NewClient(
		client.WithDialer(pooledDialer{dialer, p}), client.WithDialTimeout(dialTimeout),
		client.WithMaxConnsPerHost(conns), client.WithMaxIdleConnDuration(maxIdle), client.WithNoDefaultUserAgentHeader(true),
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

// Do sends the request once and reads the whole answer. Its error wraps ErrNotSent if the request certainly was not sent.
func (p *Pool) Do(ctx context.Context, req *protocol.Request, resp *protocol.Response, deadline time.Time) error {
	if !time.Now().Before(deadline) {
		return fmt.Errorf("%w: the deadline has passed", ErrNotSent)
	}
	try := string(req.Header.Peek(HeaderTry))
	s := p.begin(try)
	defer p.end(try)
	for {
		err := p.client.DoDeadline(ctx, req, resp, deadline)
		// A connection that was given up while idle is replaced by the next one; nothing was sent on it.
		if errors.Is(err, errAborted) && errors.Is(err, ErrNotSent) && time.Now().Before(deadline) && !p.gaveUp(s) {
			continue
		}
		if errors.Is(err, herrors.ErrNoFreeConns) {
			return fmt.Errorf("%w: %w", ErrNotSent, ErrBusy)
		}
		if err != nil {
			return err
		}
		if a, ok := resp.LocalAddr().(*pooledAddr); ok && a.conn.failed() {
			return ErrNotWhole
		}
		return nil
	}
}

// begin notes a sending, so that it can be given up before a connection carries it.
func (p *Pool) begin(try string) *inProgress {
	s := new(inProgress)
	if try == "" {
		return s
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tries[try] = s
	return s
}

func (p *Pool) end(try string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.tries, try)
}

func (p *Pool) gaveUp(s *inProgress) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return s.aborted
}

// Idle reports whether a connection waits for a request, so that the next one need not dial.
func (p *Pool) Idle() bool { return p.idle.Load() > 0 }

// Abort gives up a sending in progress and the connection that carries it, so that its Do returns at once, or once its
// connection was dialled.
func (p *Pool) Abort(try string) {
	p.mu.Lock()
	var c *pooledConn
	if s := p.tries[try]; s != nil {
		s.aborted = true
		c = s.conn
	}
	p.mu.Unlock()
	if c != nil {
		c.abort()
	}
}

// AbortIdle gives up the connections that carry no request, so that the next requests use fresh ones.
func (p *Pool) AbortIdle() {
	for _, c := range p.all() {
		c.abortIdle()
	}
}

// AbortAll gives up all connections.
func (p *Pool) AbortAll() {
	for _, c := range p.all() {
		c.abort()
	}
}

func (p *Pool) all() []*pooledConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]*pooledConn, 0, len(p.conns))
	for c := range p.conns {
		list = append(list, c)
	}
	return list
}

// Close gives up everything.
func (p *Pool) Close() {
	p.AbortAll()
	p.client.CloseIdleConnections()
}

// assign notes that c carries the sending. It returns false if the sending was given up before.
func (p *Pool) assign(c *pooledConn, try string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.tries[try]
	if s == nil {
		return true
	}
	if s.aborted {
		return false
	}
	s.conn, c.sending = c, s
	return true
}

// release notes that c carries no sending.
func (p *Pool) release(c *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.sending != nil && c.sending.conn == c {
		c.sending.conn = nil
	}
	c.sending = nil
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

// pooledAddr lets a response lead to its connection.
type pooledAddr struct {
	net.Addr
	conn *pooledConn
}

// pooledConn is one connection of a pool. Its errors are wrapped, because hertz repeats GET, HEAD, PUT, DELETE, OPTIONS
// and TRACE by itself when a pooled connection ends with a bare io.EOF, and no client option turns this off.
type pooledConn struct {
	network.Conn
	pool *Pool
	addr *pooledAddr
	// sending is what the connection carries. It is guarded by Pool.mu.
	sending *inProgress

	mu sync.Mutex
	// busy is true during an exchange, idle from its end until the next begins or the connection is given up.
	busy     bool
	idle     bool
	aborted  bool
	readFail bool
}

var tryHeader = []byte("\r\n" + HeaderTry + ": ")

// LocalAddr implements net.Conn.
func (c *pooledConn) LocalAddr() net.Addr { return c.addr }

// abort makes reads and writes fail from now on.
func (c *pooledConn) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.giveUp()
}

// abortIdle is abort for a connection without an exchange. An exchange that has begun is not disturbed.
func (c *pooledConn) abortIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy {
		c.giveUp()
	}
}

// giveUp makes reads and writes fail. The lock is held.
func (c *pooledConn) giveUp() {
	c.aborted = true
	c.setIdle(false)
	_ = c.SetDeadline(time.Unix(1, 0))
}

// setIdle keeps the pool's count of idle connections. The lock is held.
func (c *pooledConn) setIdle(idle bool) {
	switch {
	case idle && !c.idle:
		c.pool.idle.Add(1)
	case !idle && c.idle:
		c.pool.idle.Add(-1)
	}
	c.idle = idle
}

func (c *pooledConn) failed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readFail
}

// SetWriteTimeout implements network.Conn. Every exchange begins with it. Bytes that wait here belong to no request, so
// the connection is given up rather than have them taken for the next answer.
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

// SetReadTimeout implements network.Conn. An answer is read after it.
func (c *pooledConn) SetReadTimeout(t time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.aborted {
		return errAborted
	}
	return c.Conn.SetReadTimeout(t)
}

// WriteBinary implements network.Writer. The headers of a request come in one call.
func (c *pooledConn) WriteBinary(b []byte) (int, error) {
	if _, rest, ok := bytes.Cut(b, tryHeader); ok {
		try, _, _ := bytes.Cut(rest, []byte("\r\n"))
		if !c.pool.assign(c, string(try)) {
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
		c.readFail = true
		aborted := c.aborted
		c.mu.Unlock()
		if aborted {
			return data, errAborted
		}
		return data, fmt.Errorf("read answer: %w", err)
	}
	return data, nil
}

// Release implements network.Reader. An exchange ends with it.
func (c *pooledConn) Release() error {
	c.pool.release(c)
	c.mu.Lock()
	c.busy = false
	c.setIdle(!c.aborted && !c.readFail)
	c.mu.Unlock()
	return c.Conn.Release()
}

// Close implements net.Conn.
func (c *pooledConn) Close() error {
	c.pool.remove(c)
	return c.Conn.Close()
}
