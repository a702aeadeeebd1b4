// Package httpserver sets up hertz servers and clients with the limits that all processes share.
package httpserver

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	hconfig "github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/common/tracer/stats"
	"github.com/cloudwego/hertz/pkg/network/standard"

	"github.com/verbenakeel/verbenakeel/errdefs"
)

// Limits of every listener.
const (
	// MaxBody bounds request and answer bodies in bytes.
	MaxBody = 1 << 20
	// maxHeader bounds the headers of a request in bytes.
	maxHeader = 16 << 10
	// readTimeout cuts off senders that are slower than this per read.
	readTimeout = 10 * time.Second
	// idleTimeout closes connections that carry no request.
	idleTimeout = 2 * time.Minute
)

func init() { hlog.SetLevel(hlog.LevelFatal) }

// Server is a hertz server on a bound listener.
type Server struct {
	*server.Hertz
	ln       net.Listener
	progress progress
}

// Listen binds the address and returns a server that does not accept yet.
func Listen(address string, opts ...hconfig.Option) (*Server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", errdefs.New(errdefs.Unavailable, err.Error(), "choose a free address in the settings"))
	}
	return newServer(ln, opts...), nil
}

// ListenLimited is Listen with a bound on open connections. Connections beyond it are closed after one answer.
func ListenLimited(address string, conns int, opts ...hconfig.Option) (*Server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", errdefs.New(errdefs.Unavailable, err.Error(), "choose a free address in the settings"))
	}
	limited := &limitedListener{Listener: ln, max: int64(conns)}
	s := newServer(limited, opts...)
	s.Use(func(ctx context.Context, c *app.RequestContext) {
		c.Next(ctx)
		if limited.over() {
			c.Response.SetConnectionClose()
		}
	})
	return s, nil
}

func newServer(ln net.Listener, opts ...hconfig.Option) *Server {
	s := &Server{ln: ln}
	base := []hconfig.Option{
		server.WithListener(ln), server.WithTransport(standard.NewTransporter), server.WithMaxRequestBodySize(MaxBody),
		server.WithMaxHeaderBytes(maxHeader), server.WithReadTimeout(readTimeout), server.WithIdleTimeout(idleTimeout),
		server.WithDisablePrintRoute(true), server.WithExitWaitTime(closeWait), server.WithSenseClientDisconnection(false),
		server.WithOnAccept(boundFirstRead), server.WithTracer(&s.progress), server.WithTraceLevel(stats.LevelDisabled),
	}
	s.Hertz = server.New(append(base, opts...)...)
	s.Use(s.progress.begin)
	return s
}

// boundFirstRead bounds the first request of a connection and its handshake. hertz applies the read timeout to later
// requests only, so a sender of a byte now and then could hold a connection for ever.
func boundFirstRead(conn net.Conn) context.Context {
	_ = conn.SetReadDeadline(time.Now().Add(readTimeout))
	return context.Background()
}

// Address returns the bound address.
func (s *Server) Address() string { return s.ln.Addr().String() }

// closeWait is how long hertz waits for idle connections after it closed the listener. Requests in progress are waited
// for separately, because hertz gives up on them after this time.
const closeWait = 20 * time.Millisecond

// Serve accepts connections until ctx ends. It then closes the listener and waits until the answers of all requests in
// progress were written, for at most the grace time; zero waits without limit.
func (s *Server) Serve(ctx context.Context, grace time.Duration) error {
	failed := make(chan error, 1)
	go func() { failed <- s.Engine.Run() }()
	select {
	case err := <-failed:
		return fmt.Errorf("serve %s: %w", s.Address(), err)
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.Background(), closeWait)
	defer cancel()
	err := s.Engine.Shutdown(stop)
	if !s.progress.wait(grace) {
		return fmt.Errorf("stop serving %s: %w", s.Address(), errdefs.New(errdefs.Unavailable,
			"requests were still in progress when the grace time ended", "raise the grace time, or let requests end before the stop"))
	}
	if err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("stop serving %s: %w", s.Address(), err)
	}
	return nil
}

// InProgress returns the number of requests whose answer was not written whole yet.
func (s *Server) InProgress() int { return s.progress.count() }

// Problem is the body of every refusal and error.
type Problem struct {
	// Error says what is wrong and what to do.
	Error ProblemError `json:"error"`
	// NotRun is true only if the request certainly did not run.
	NotRun bool `json:"not_run"`
	// Scope is "this_sending" when NotRun is about this sending alone and an earlier one with the same key may have run.
	Scope string `json:"scope,omitempty"`
	// Outcome is "unknown" when the request may have run.
	Outcome string `json:"outcome,omitempty"`
	// Ask is the path that tells the outcome later.
	Ask string `json:"ask,omitempty"`
}

// ProblemError is the error of a Problem.
type ProblemError struct {
	Kind    string `json:"kind"`
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// JSON writes v with the status.
func JSON(c *app.RequestContext, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		c.SetStatusCode(500)
		c.SetBodyString(`{"error":{"kind":"internal","message":"encoding the answer failed","remedy":"report this"}}`)
		return
	}
	c.SetStatusCode(status)
	c.Response.Header.SetContentType("application/json")
	c.Response.SetBody(append(body, '\n'))
}
