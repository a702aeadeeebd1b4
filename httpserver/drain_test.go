package httpserver

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"gotest.tools/v3/assert"
)

// Guards against a stop that cuts off a request whose body is still arriving: Serve returns after its response only.
func TestStopWaitsForBodyThatArrives(t *testing.T) {
	s, err := ListenBounded("127.0.0.1:0", Bounded{Intake: NewIntake(DefaultIntakeLimits(64<<20, 4096), nil)})
	assert.NilError(t, err)
	s.NoRoute(func(_ context.Context, c *app.RequestContext) { c.String(200, string(c.Request.Body())) })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, cutOffTimeout) }()
	conn := dial(t, s.Address())
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab")
	assert.NilError(t, err)
	until(t, "the arrival of a part", func() bool { return s.Pending() == 1 })
	cancel()
	until(t, "the close of the listener", func() bool {
		c, err := net.Dial("tcp", s.Address())
		if err == nil {
			c.Close()
		}
		return err != nil
	})
	select {
	case <-done:
		t.Fatal("the server ended before the request was complete")
	case <-time.After(10 * idleCloseWait):
	}
	_, err = io.WriteString(conn, "cd")
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "abcd")
	assert.NilError(t, <-done)
	assert.Equal(t, s.Pending(), 0)
}
