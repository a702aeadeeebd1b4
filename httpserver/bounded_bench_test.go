package httpserver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/cloudwego/hertz/pkg/app"
	"gotest.tools/v3/assert"
)

// BenchmarkRequest measures an ordinary request of 1 KB on an open connection, with and without the bounds.
func BenchmarkRequest(b *testing.B) {
	servers := map[string]func() (*Server, error){
		"plain": func() (*Server, error) { return Listen("127.0.0.1:0") },
		"bounded": func() (*Server, error) {
			return ListenBounded("127.0.0.1:0", Bounded{Intake: NewIntake(DefaultIntakeLimits(184<<20, 4100), nil)})
		},
	}
	for _, name := range []string{"plain", "bounded"} {
		b.Run(name, func(b *testing.B) {
			s, err := servers[name]()
			assert.NilError(b, err)
			s.NoRoute(func(_ context.Context, c *app.RequestContext) { c.String(200, "ok") })
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan error, 1)
			go func() { done <- s.Serve(ctx, cutOffTimeout) }()
			defer func() { cancel(); <-done }()
			conn, err := net.Dial("tcp", s.Address())
			assert.NilError(b, err)
			defer conn.Close()
			request := fmt.Appendf(nil, "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n%01000d", 0)
			r := bufio.NewReader(conn)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := conn.Write(request); err != nil {
					b.Fatal(err)
				}
				resp, err := http.ReadResponse(r, nil)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
			}
		})
	}
}
