package faultproxy

import (
	"bufio"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// eventTimeout bounds the wait for an event that must happen.
const eventTimeout = 20 * time.Second

// absenceWait is how long a test waits for an event that must not happen.
const absenceWait = 100 * time.Millisecond

// lineServer replies to each line with a prefix and the line, and counts lines.
type lineServer struct {
	net.Listener
	lines atomic.Int64
}

func serveLines(t *testing.T, prefix string) *lineServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &lineServer{Listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				lines := bufio.NewScanner(c)
				for lines.Scan() {
					s.lines.Add(1)
					if _, err := io.WriteString(c, prefix+lines.Text()+"\n"); err != nil {
						return
					}
				}
			}()
		}
	}()
	return s
}

// assertLines waits until the server has received want lines, which may take long on a loaded machine, and fails if it
// has received more.
func (s *lineServer) assertLines(t *testing.T, want int64) {
	t.Helper()
	for end := time.Now().Add(eventTimeout); s.lines.Load() < want && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, s.lines.Load(), want)
}

func start(t *testing.T, target string) *Proxy {
	t.Helper()
	p, err := New(target)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, p.Close()) })
	return p
}

type client struct {
	net.Conn
	in *bufio.Reader
}

func connect(t *testing.T, p *Proxy) *client {
	t.Helper()
	c, err := net.Dial("tcp", p.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return &client{c, bufio.NewReader(c)}
}

func (c *client) exchange(line string, wait time.Duration) (string, error) {
	_ = c.SetDeadline(time.Now().Add(wait))
	if _, err := io.WriteString(c, line+"\n"); err != nil {
		return "", err
	}
	return c.in.ReadString('\n')
}

func (c *client) mustReply(t *testing.T, line, want string) {
	t.Helper()
	got, err := c.exchange(line, eventTimeout)
	assert.NilError(t, err)
	assert.Equal(t, got, want+"\n")
}

func isTimeout(err error) bool {
	e, ok := err.(net.Error)
	return ok && e.Timeout()
}

// Guards against a change of target that has no effect or breaks open connections.
func TestTargetChange(t *testing.T) {
	a, b := serveLines(t, "a"), serveLines(t, "b")
	p := start(t, a.Addr().String())
	first := connect(t, p)
	first.mustReply(t, "1", "a1")
	p.SetTarget(b.Addr().String())
	connect(t, p).mustReply(t, "2", "b2")
	first.mustReply(t, "3", "a3")
}

// Guards against a cut after which open or new connections still work, and against a cut that Restore does not end.
func TestCut(t *testing.T) {
	p := start(t, serveLines(t, "").Addr().String())
	c := connect(t, p)
	c.mustReply(t, "1", "1")
	p.Cut()
	_, err := c.exchange("2", eventTimeout)
	assert.Assert(t, err != nil && !isTimeout(err), "got %v", err)
	if dialed, err := net.Dial("tcp", p.Address()); err == nil {
		_, err = (&client{dialed, bufio.NewReader(dialed)}).exchange("3", eventTimeout)
		assert.Assert(t, err != nil && !isTimeout(err), "got %v", err)
	}
	p.Restore()
	connect(t, p).mustReply(t, "4", "4")
}

// Guards against a stall that affects the wrong direction, closes the connection or affects new connections.
func TestStallOpen(t *testing.T) {
	for name, tc := range map[string]struct {
		silence Direction
		reached int64
	}{
		"to target": {ToTarget, 1},
		"to client": {ToClient, 2},
		"both":      {Both, 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := serveLines(t, "")
			p := start(t, s.Addr().String())
			c := connect(t, p)
			c.mustReply(t, "1", "1")
			p.StallOpen(tc.silence)
			_, err := c.exchange("2", absenceWait)
			assert.Assert(t, isTimeout(err), "got %v", err)
			s.assertLines(t, tc.reached)
			connect(t, p).mustReply(t, "3", "3")
			p.Restore()
			_, err = c.exchange("4", absenceWait)
			assert.Assert(t, isTimeout(err), "the stall of open connections must be permanent, got %v", err)
		})
	}
}

// Guards against a partition that does not affect new connections, and against bytes lost when it ends.
func TestStallAll(t *testing.T) {
	p := start(t, serveLines(t, "").Addr().String())
	old := connect(t, p)
	old.mustReply(t, "1", "1")
	p.StallAll(Both)
	fresh := connect(t, p)
	for _, c := range []*client{old, fresh} {
		_, err := c.exchange("2", absenceWait)
		assert.Assert(t, isTimeout(err), "got %v", err)
	}
	p.StallAll(0)
	for _, c := range []*client{old, fresh} {
		_ = c.SetDeadline(time.Now().Add(eventTimeout))
		late, err := c.in.ReadString('\n')
		assert.NilError(t, err)
		assert.Equal(t, late, "2\n")
	}
}

// Guards against a dropped reply whose request did not reach the target, and against drops in other exchanges or in
// more than n.
func TestDropReplies(t *testing.T) {
	s := serveLines(t, "")
	p := start(t, s.Addr().String())
	p.DropReplies(2, "append")
	connect(t, p).mustReply(t, "read", "read")
	for range 2 {
		_, err := connect(t, p).exchange("append", eventTimeout)
		assert.Assert(t, err != nil && !isTimeout(err), "got %v", err)
	}
	assert.Equal(t, s.lines.Load(), int64(3))
	connect(t, p).mustReply(t, "append", "append")
	assert.Equal(t, p.Stats().RepliesDropped, 2)
}

// Guards against a delay that is not applied in both directions or that is added per chunk: 2,000 lines sent without
// waiting would then take at least 2,000 x 10 ms.
func TestDelayPipelines(t *testing.T) {
	const delay, lines = 10 * time.Millisecond, 2000
	p := start(t, serveLines(t, "").Addr().String())
	p.SetDelay(Both, delay)
	// The proxy delays the handshake from the moment at which the connection is opened.
	begin := time.Now()
	c := connect(t, p)
	c.mustReply(t, "1", "1")
	assert.Assert(t, time.Since(begin) >= 4*delay, "handshake and exchange need two round trips")
	begin = time.Now()
	go func() {
		for range lines {
			_, _ = io.WriteString(c, "x\n")
		}
	}()
	_ = c.SetDeadline(time.Now().Add(eventTimeout))
	for range lines {
		_, err := c.in.ReadString('\n')
		assert.NilError(t, err)
	}
	took := time.Since(begin)
	assert.Assert(t, took >= 2*delay && took < lines*delay/2, "took %v", took)
}

// Guards against a delay applied to the wrong direction, and against a Close that waits for delayed bytes.
func TestDelayPerDirection(t *testing.T) {
	for d, reached := range map[Direction]int64{ToTarget: 1, ToClient: 2} {
		s := serveLines(t, "")
		p := start(t, s.Addr().String())
		c := connect(t, p)
		c.mustReply(t, "1", "1")
		p.SetDelay(d, time.Hour)
		_, err := c.exchange("2", absenceWait)
		assert.Assert(t, isTimeout(err), "got %v", err)
		s.assertLines(t, reached)
	}
}

// BenchmarkThroughput reports the one-way throughput with a delay of 3 ms.
func BenchmarkThroughput(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	defer func() { _ = l.Close() }()
	p, err := New(l.Addr().String())
	assert.NilError(b, err)
	defer func() { _ = p.Close() }()
	p.SetDelay(Both, 3*time.Millisecond)
	out, err := net.Dial("tcp", p.Address())
	assert.NilError(b, err)
	in, err := l.Accept()
	assert.NilError(b, err)
	block := make([]byte, 16<<10)
	b.SetBytes(int64(len(block)))
	b.ResetTimer()
	go func() {
		for range b.N {
			_, _ = out.Write(block)
		}
	}()
	_, err = io.CopyN(io.Discard, in, int64(b.N)*int64(len(block)))
	assert.NilError(b, err)
}

// BenchmarkRoundTrip reports the duration of one exchange with a one-way delay of 1.5 ms; the ideal is 3 ms.
func BenchmarkRoundTrip(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	defer func() { _ = l.Close() }()
	go func() {
		if c, err := l.Accept(); err == nil {
			_, _ = io.Copy(c, c)
		}
	}()
	p, err := New(l.Addr().String())
	assert.NilError(b, err)
	defer func() { _ = p.Close() }()
	p.SetDelay(Both, 1500*time.Microsecond)
	c, err := net.Dial("tcp", p.Address())
	assert.NilError(b, err)
	one := make([]byte, 1)
	for b.Loop() {
		_, _ = c.Write(one)
		_, err = io.ReadFull(c, one)
		assert.NilError(b, err)
	}
}
