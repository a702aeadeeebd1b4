package httpserver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/cloudwego/hertz/pkg/app"
	"gotest.tools/v3/assert"
)

// Guards against a response that the client loses to a reset, because the connection is closed while bytes that the client
// sent behind the request are unread.
func TestLastResponseArrivesWhole(t *testing.T) {
	const size = 4 << 20
	s, err := ListenBounded("127.0.0.1:0", Bounded{Intake: NewIntake(DefaultIntakeLimits(64<<20, 4096), nil)})
	assert.NilError(t, err)
	sent := make(chan struct{})
	s.NoRoute(func(_ context.Context, c *app.RequestContext) {
		<-sent
		c.String(200, strings.Repeat("r", size))
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, cutOffTimeout) }()
	defer func() { cancel(); <-done }()
	conn := dial(t, s.Address())
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	assert.NilError(t, err)
	until(t, "the request", func() bool { return s.InProgress() == 1 })
	_, err = fmt.Fprintf(conn, "GET /next HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	close(sent)
	// The server writes into the buffers of the operating system and closes before the client reads the rest.
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, len(body), size)
}
