package httpserver

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"gotest.tools/v3/assert"
)

// boundedServer runs a server whose handler returns the body of the request, within limits.
type boundedServer struct {
	address string
	intake  *Intake
	server  *Server
	stop    func() error

	mu       sync.Mutex
	refusals map[Reason]int
	calls    []string
}

const testBodyLimit = 100_000

func startBounded(t *testing.T, change func(*IntakeLimits)) *boundedServer {
	t.Helper()
	b := &boundedServer{refusals: map[Reason]int{}}
	limits := DefaultIntakeLimits(64<<20, 4096)
	if change != nil {
		change(&limits)
	}
	b.intake = NewIntake(limits, func(r Reason) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.refusals[r]++
	})
	s, err := ListenBounded("127.0.0.1:0", Bounded{Intake: b.intake, BodyLimit: func() int { return testBodyLimit }})
	assert.NilError(t, err)
	b.server, b.address = s, s.Address()
	s.NoRoute(func(_ context.Context, c *app.RequestContext) {
		b.mu.Lock()
		b.calls = append(b.calls, string(c.Path()))
		b.mu.Unlock()
		c.SetStatusCode(200)
		c.SetBodyString(string(c.Request.Body()))
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, cutOffTimeout) }()
	b.stop = sync.OnceValue(func() error { cancel(); return <-done })
	t.Cleanup(func() { _ = b.stop() })
	return b
}

func (b *boundedServer) refused(r Reason) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refusals[r]
}

func (b *boundedServer) paths() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Join(b.calls, " ")
}

// until polls a condition.
func until(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(cutOffTimeout); !cond(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s did not happen", what)
		}
	}
}

// chunksOf encodes data in chunks of n bytes.
func chunksOf(data string, n int) string {
	var b strings.Builder
	for len(data) > 0 {
		m := min(n, len(data))
		fmt.Fprintf(&b, "%X;ext=1\r\n%s\r\n", m, data[:m])
		data = data[m:]
	}
	return b.String() + "0\r\nX-Trailer: y\r\n\r\n"
}

// Guards against bodies that reach the handler other than they were sent: announced, chunked, after Expect, pipelined.
func TestBodiesArriveWhole(t *testing.T) {
	b := startBounded(t, nil)
	conn := dial(t, b.address)
	r := bufio.NewReader(conn)
	data := strings.Repeat("0123456789", testBodyLimit/10)
	requests := []string{
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nabcde",
		"POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTrailer: X-Trailer\r\n\r\n" + chunksOf(data, 7000),
		"POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\nHost: h\r\nExpect: 100-continue\r\n\r\n" + chunksOf(data[:300], 1),
		fmt.Sprintf("POST /d HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(data), data),
		"GET /e HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /f HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	}
	want := []string{"abcde", data, data[:300], data, "", ""}
	go func() { _, _ = io.WriteString(conn, strings.Join(requests, "")) }()
	for i := range want {
		resp, err := http.ReadResponse(r, nil)
		for err == nil && resp.StatusCode == http.StatusContinue {
			resp, err = http.ReadResponse(r, nil)
		}
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, 200)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Assert(t, string(body) == want[i], "request %d: %d bytes instead of %d", i, len(body), len(want[i]))
	}
	until(t, "the return of all buffers", func() bool { bytes, _ := b.intake.Usage(); return bytes == 0 })
	assert.Equal(t, b.server.InProgress(), 0)
}

// Guards against a refused request that runs, and against data behind it that is read as a request.
func TestRefusalsEndTheConnection(t *testing.T) {
	hidden := "POST /hidden HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
	for _, c := range []struct {
		name, request string
		status        int
	}{
		{"announced", fmt.Sprintf("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", testBodyLimit+1), 413},
		{"chunk over the limit", "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nFFFFFFFFFFFFFFFFF\r\n", 413},
		{"chunks over the limit", "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + chunksOf(strings.Repeat("a", testBodyLimit+1), 5000), 413},
		{"header", "GET /x HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("y", maxHeader) + "\r\n\r\n", 431},
		{"no chunk size", "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
		{"no request", "nonsense\r\n\r\n", 400},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := startBounded(t, nil)
			conn := dial(t, b.address)
			_, err := io.WriteString(conn, c.request+hidden)
			assert.NilError(t, err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, c.status)
			assert.Assert(t, resp.Close)
			until(t, "the end of the connection", func() bool { _, conns := b.intake.Usage(); return conns == 0 })
			assert.Equal(t, b.paths(), "")
		})
	}
}

// Guards against a crowd with incomplete bodies that keeps ordinary callers out, and against a budget that is exceeded.
func TestCrowdGivesWayToOrdinaryCallers(t *testing.T) {
	const budget = 256 << 10
	b := startBounded(t, func(l *IntakeLimits) { l.Bytes, l.SmallBytes = budget, 64<<10 })
	for range 40 {
		conn := dial(t, b.address)
		_, err := fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", testBodyLimit, make([]byte, testBodyLimit/2))
		assert.NilError(t, err)
	}
	conn := dial(t, b.address)
	body := bytes.Repeat([]byte("s"), 3000)
	_, err := fmt.Fprintf(conn, "POST /ordinary HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 200)
	used, _ := b.intake.Usage()
	assert.Assert(t, used <= budget+64<<10, "%d bytes in reading", used)
	assert.Assert(t, b.refused(ReasonBudget) > 0)
	assert.Equal(t, b.paths(), "/ordinary")
}

// Guards against open connections without a bound, and against a full listener that takes no new caller: the connection that
// was opened first and sent nothing gives way, those that were served stay.
func TestOldestUnusedConnectionGivesWay(t *testing.T) {
	const conns = 8
	b := startBounded(t, func(l *IntakeLimits) { l.Conns = conns })
	ask := func(conn io.ReadWriter, r *bufio.Reader) {
		t.Helper()
		_, err := io.WriteString(conn, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.NilError(t, err)
		resp, err := http.ReadResponse(r, nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, 200)
	}
	kept := dial(t, b.address)
	reader := bufio.NewReader(kept)
	ask(kept, reader)
	for range 4 * conns {
		_ = dial(t, b.address)
	}
	last := dial(t, b.address)
	ask(last, bufio.NewReader(last))
	ask(kept, reader)
	_, open := b.intake.Usage()
	assert.Assert(t, open <= conns, "%d connections are open", open)
}

// Guards against a body or a header that comes too slowly and holds its connection.
func TestSlowBodyIsRefused(t *testing.T) {
	b := startBounded(t, func(l *IntakeLimits) { l.BodyTimeout, l.HeaderTimeout = 50*time.Millisecond, 50*time.Millisecond })
	for _, text := range []string{"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\na", "POST /x HTTP/1.1\r\nHost: h\r\n"} {
		conn := dial(t, b.address)
		_, err := io.WriteString(conn, text)
		assert.NilError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, 408)
	}
	assert.Equal(t, b.paths(), "")
}

// Guards against a request that is cut off by a stop: its handler runs, and its response is written.
func TestBoundedServerEndsGracefully(t *testing.T) {
	s, err := ListenBounded("127.0.0.1:0", Bounded{Intake: NewIntake(DefaultIntakeLimits(64<<20, 4096), nil)})
	assert.NilError(t, err)
	started, proceed := make(chan struct{}), make(chan struct{})
	s.NoRoute(func(_ context.Context, c *app.RequestContext) {
		close(started)
		<-proceed
		c.String(200, "ok")
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, cutOffTimeout) }()
	conn := dial(t, s.Address())
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	<-started
	assert.Equal(t, s.InProgress(), 1)
	cancel()
	until(t, "the close of the listener", func() bool {
		c, err := (&http.Client{}).Get("http://" + s.Address())
		if err == nil {
			c.Body.Close()
		}
		return err != nil
	})
	close(proceed)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 200)
	assert.NilError(t, <-done)
}

// Guards against clients that do not read their responses and keep every other caller out.
func TestUnreadResponsesGiveWay(t *testing.T) {
	const conns = 4
	b := startBounded(t, func(l *IntakeLimits) { l.Conns = conns })
	// The responses exceed the buffers of the operating system, so that the server waits for the client.
	request := fmt.Sprintf("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", testBodyLimit, make([]byte, testBodyLimit))
	for range conns {
		conn := dial(t, b.address)
		go func() {
			for {
				if _, err := io.WriteString(conn, request); err != nil {
					return
				}
			}
		}()
	}
	until(t, "responses that nobody reads on all connections", func() bool {
		b.intake.mu.Lock()
		defer b.intake.mu.Unlock()
		blocked := 0
		for c := range b.intake.conns {
			if c.state == writing && time.Since(c.since) > stallTime {
				blocked++
			}
		}
		// The time limit of writes would let new callers in later too.
		return blocked == conns && b.intake.connVictim(time.Now()) != nil
	})
	until(t, "a response on a new connection", func() bool {
		conn, err := net.Dial("tcp", b.address)
		if err != nil {
			return false
		}
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(time.Second))
		if _, err := io.WriteString(conn, "GET /ordinary HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			return false
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		return err == nil && resp.StatusCode == 200
	})
}
