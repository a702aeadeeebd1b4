// Package httpserver provides hertz servers and HTTP client pools with the limits that all processes share.
package httpserver

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"runtime/debug"
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
	// MaxBody bounds request and response bodies, in bytes.
	MaxBody = 1 << 20
	// maxHeader bounds the headers of a request, in bytes.
	maxHeader = 16 << 10
	// readTimeout bounds one read from a connection.
	readTimeout = 10 * time.Second
	// idleTimeout closes connections that carry no request.
	idleTimeout = 2 * time.Minute
)

func init() { hlog.SetLevel(hlog.LevelFatal) }

// Server is a hertz server on a bound listener.
type Server struct {
	*server.Hertz
	ln       net.Listener
	requests requestTracker
	// pending returns the number of requests of which a part has arrived and that are not answered; nil if unknown.
	pending func() int
	// OnPanic is called with the value and the stack of a panic of a handler; nil for none. It must be set before Serve.
	OnPanic func(value any, stack []byte)
}

// Listen binds the address and returns a server, which accepts connections once Serve is called.
func Listen(address string, opts ...hconfig.Option) (*Server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", errdefs.New(errdefs.Unavailable, err.Error(), "choose a free address in the settings"))
	}
	return newServer(ln, opts...), nil
}

// ListenLimited is like Listen, but bounds the open connections. Connections above the bound are closed after one response.
func ListenLimited(address string, conns int, opts ...hconfig.Option) (*Server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", errdefs.New(errdefs.Unavailable, err.Error(), "choose a free address in the settings"))
	}
	limited := &limitedListener{Listener: ln, max: int64(conns)}
	s := newServer(limited, opts...)
	s.Use(func(ctx context.Context, c *app.RequestContext) {
		c.Next(ctx)
		if limited.overLimit() {
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
		server.WithDisablePrintRoute(true), server.WithExitWaitTime(idleCloseWait), server.WithSenseClientDisconnection(false),
		server.WithOnAccept(limitFirstRead), server.WithTracer(&s.requests), server.WithTraceLevel(stats.LevelDisabled),
	}
	s.Hertz = server.New(append(base, opts...)...)
	s.Use(s.requests.begin, s.recoverPanic)
	return s
}

// recoverPanic answers a request whose handler panicked, so that one request does not end the process.
func (s *Server) recoverPanic(ctx context.Context, c *app.RequestContext) {
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		if s.OnPanic != nil {
			s.OnPanic(v, debug.Stack())
		}
		JSON(c, 500, Problem{Error: ProblemError{Kind: "internal", Message: "the request failed unexpectedly", Remedy: "query its outcome before sending it again"}, Outcome: "unknown"})
	}()
	c.Next(ctx)
}

// limitFirstRead sets the read deadline for the handshake and the first request of a connection. hertz applies the read
// timeout to later requests only, so a slow sender could hold a connection forever.
func limitFirstRead(conn net.Conn) context.Context {
	_ = conn.SetReadDeadline(time.Now().Add(readTimeout))
	return context.Background()
}

// Address returns the bound address.
func (s *Server) Address() string { return s.ln.Addr().String() }

// idleCloseWait is how long hertz waits for idle connections after it closed the listener. Serve waits for requests in
// progress itself, because hertz abandons them after this time.
const idleCloseWait = 20 * time.Millisecond

// Serve accepts connections until ctx ends. It then closes the listener and waits for at most the grace time until the
// responses of all requests in progress are written; a grace time of zero waits without limit. A bounded server waits for
// requests of which a part has arrived as well; those that are still incomplete at the end are no error.
func (s *Server) Serve(ctx context.Context, grace time.Duration) error {
	failed := make(chan error, 1)
	go func() { failed <- s.Engine.Run() }()
	select {
	case err := <-failed:
		return fmt.Errorf("serve %s: %w", s.Address(), err)
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.Background(), idleCloseWait)
	defer cancel()
	err := s.Engine.Shutdown(stop)
	if !s.drain(grace) {
		return fmt.Errorf("stop serving %s: %w", s.Address(), errdefs.New(errdefs.Unavailable,
			"requests were still in progress when the grace time ended", "raise the grace time, or let requests end before the stop"))
	}
	if err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("stop serving %s: %w", s.Address(), err)
	}
	return nil
}

// drain returns true once no request is pending or in progress, and false if one is in progress after the grace time.
func (s *Server) drain(grace time.Duration) bool {
	began := time.Now()
	for s.Pending() > 0 && (grace == 0 || time.Since(began) < grace) {
		time.Sleep(shutdownPoll)
	}
	if grace > 0 {
		grace = max(grace-time.Since(began), time.Nanosecond)
	}
	return s.requests.wait(grace)
}

// Pending returns the number of requests that a stop would cut off: those of which a part has arrived and that are not
// answered. If the server is not bounded it counts those whose handler was started only.
func (s *Server) Pending() int {
	if s.pending == nil {
		return s.requests.count()
	}
	return max(s.pending(), s.requests.count())
}

// InProgress returns the number of requests whose response is not completely written yet. A client may read its response
// a moment before the request is no longer counted.
func (s *Server) InProgress() int { return s.requests.count() }

// Problem is the response body of every refusal and error.
type Problem struct {
	// Error describes the error and its remedy.
	Error ProblemError `json:"error"`
	// NotRun is true only if the request certainly did not run.
	NotRun bool `json:"not_run"`
	// Scope is "this_sending" if NotRun applies to this attempt only and an earlier one with the same key may have run.
	Scope string `json:"scope,omitempty"`
	// Outcome is "unknown" when the request may have run.
	Outcome string `json:"outcome,omitempty"`
	// OutcomePath is the path to query for the outcome later.
	OutcomePath string `json:"ask,omitempty"`
}

// ProblemError is the error of a Problem.
type ProblemError struct {
	Kind    string `json:"kind"`
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// JSON writes v as a JSON response with the status.
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
