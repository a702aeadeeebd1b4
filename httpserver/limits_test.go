package httpserver

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"
)

// cutOffTimeout bounds how long a test waits for the server to close a connection.
const cutOffTimeout = time.Minute

// echo runs a server whose handler counts its calls.
func echo(t *testing.T) (string, *atomic.Int64) {
	t.Helper()
	s, err := Listen("127.0.0.1:0")
	assert.NilError(t, err)
	calls := new(atomic.Int64)
	s.NoRoute(func(_ context.Context, c *app.RequestContext) {
		calls.Add(1)
		c.String(200, "ok")
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, time.Second) }()
	t.Cleanup(func() { cancel(); <-done })
	return s.Address(), calls
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(cutOffTimeout)))
	return conn
}

// The memory that a request takes must be bounded.
func TestLargeRequestsAreRefused(t *testing.T) {
	address, calls := echo(t)
	for _, c := range []struct {
		name, head string
		body       int
		refused    bool
	}{
		{"small", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\n", 3, false},
		{"large body", fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", MaxBody+1), 0, true},
		{"large header", "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 2*maxHeader) + "\r\n\r\n", 0, true},
		{"endless header", "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 2*maxHeader), 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			before := calls.Load()
			conn := dial(t, address)
			_, err := io.WriteString(conn, c.head+strings.Repeat("b", c.body))
			assert.NilError(t, err)
			if !c.refused {
				buf := make([]byte, 12)
				_, err := io.ReadFull(conn, buf)
				assert.NilError(t, err)
				assert.Equal(t, string(buf), "HTTP/1.1 200")
				return
			}
			// A connection reset counts as a refusal: the server closes the connection while the client is still sending.
			answer, _ := io.ReadAll(conn)
			assert.Assert(t, !strings.HasPrefix(string(answer), "HTTP/1.1 200"), "answered %.80s", answer)
			assert.Equal(t, calls.Load(), before)
		})
	}
	// A chunked body has no declared length, so it must be bounded as it arrives.
	t.Run("endless chunks", func(t *testing.T) {
		before := calls.Load()
		conn := dial(t, address)
		_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n")
		assert.NilError(t, err)
		chunk := fmt.Sprintf("%x\r\n%s\r\n", 64<<10, strings.Repeat("b", 64<<10))
		for sent := 0; sent < 64<<20; sent += 64 << 10 {
			if _, err = io.WriteString(conn, chunk); err != nil {
				break
			}
		}
		assert.Assert(t, err != nil, "the server accepted 64 MiB")
		assert.Equal(t, calls.Load(), before)
	})
}

// A sender that trickles single bytes must not hold a connection forever.
func TestSlowSendersAreCutOff(t *testing.T) {
	address, calls := echo(t)
	for _, head := range []string{"GET / HTTP/1.1\r\nHost: a\r\nX: ", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n"} {
		t.Run(head[:4], func(t *testing.T) {
			t.Parallel()
			conn := dial(t, address)
			_, err := io.WriteString(conn, head)
			assert.NilError(t, err)
			closed := make(chan struct{})
			go func() {
				_, _ = io.Copy(io.Discard, conn)
				close(closed)
			}()
			limit := time.After(cutOffTimeout)
			for {
				select {
				case <-closed:
					assert.Equal(t, calls.Load(), int64(0))
					return
				case <-limit:
					t.Fatal("the connection is still open")
				case <-time.After(200 * time.Millisecond):
					_, _ = io.WriteString(conn, "x")
				}
			}
		})
	}
}

// A refusal must contain the fields that callers rely on.
func TestJSON(t *testing.T) {
	c := app.NewContext(0)
	JSON(c, 429, Problem{Error: ProblemError{Kind: "refused", Message: "m", Remedy: "r"}, NotRun: true})
	assert.Equal(t, c.Response.StatusCode(), 429)
	assert.Assert(t, is.Contains(string(c.Response.Body()), `"not_run":true`))
}

// A fault in the handler of one request must not end the process or the requests of others.
func TestPanicEndsOneRequestOnly(t *testing.T) {
	s, err := Listen("127.0.0.1:0")
	assert.NilError(t, err)
	var seen atomic.Int64
	s.OnPanic = func(any, []byte) { seen.Add(1) }
	s.NoRoute(func(_ context.Context, c *app.RequestContext) {
		if string(c.Path()) == "/odd" {
			panic("odd request")
		}
		c.String(200, "ok")
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	defer cancel()
	go func() { done <- s.Serve(ctx, cutOffTimeout) }()
	for path, want := range map[string]string{"/odd": "HTTP/1.1 500", "/": "HTTP/1.1 200"} {
		conn := dial(t, s.Address())
		_, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: a\r\n\r\n")
		assert.NilError(t, err)
		buf := make([]byte, len(want))
		_, err = io.ReadFull(conn, buf)
		assert.NilError(t, err)
		assert.Equal(t, string(buf), want)
	}
	assert.Equal(t, seen.Load(), int64(1))
	cancel()
	assert.NilError(t, <-done, "the failed request still counts as in progress")
}
