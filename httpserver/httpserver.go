// Package httpserver sets up hertz servers and clients with the limits that all processes share.
package httpserver

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/app/server"
	hconfig "github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network"
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
	ln net.Listener
}

// Listen binds the address and returns a server that does not accept yet.
func Listen(address string, opts ...hconfig.Option) (*Server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", errdefs.New(errdefs.Unavailable, err.Error(), "choose a free address in the settings"))
	}
	base := []hconfig.Option{
		server.WithListener(ln), server.WithTransport(standard.NewTransporter), server.WithMaxRequestBodySize(MaxBody),
		server.WithMaxHeaderBytes(maxHeader), server.WithReadTimeout(readTimeout), server.WithIdleTimeout(idleTimeout),
		server.WithDisablePrintRoute(true), server.WithExitWaitTime(time.Second), server.WithSenseClientDisconnection(false),
	}
	return &Server{server.New(append(base, opts...)...), ln}, nil
}

// Address returns the bound address.
func (s *Server) Address() string { return s.ln.Addr().String() }

// Serve accepts connections until ctx ends, then waits for requests in progress for at most the grace time.
func (s *Server) Serve(ctx context.Context, grace time.Duration) error {
	failed := make(chan error, 1)
	go func() { failed <- s.Engine.Run() }()
	select {
	case err := <-failed:
		return fmt.Errorf("serve %s: %w", s.Address(), err)
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	if err := s.Engine.Shutdown(stop); err != nil {
		return fmt.Errorf("stop serving %s: %w", s.Address(), err)
	}
	return nil
}

// NewClient returns a hertz client that never retries by itself.
func NewClient(dialTimeout time.Duration, conns int) (*client.Client, error) {
	return newClient(standard.NewDialer(), dialTimeout, conns)
}

func newClient(dialer network.Dialer, dialTimeout time.Duration, conns int) (*client.Client, error) {
	c, err := client.NewClient(
		client.WithDialer(dialer), client.WithDialTimeout(dialTimeout), client.WithMaxConnsPerHost(conns),
		client.WithMaxIdleConnDuration(30*time.Second), client.WithNoDefaultUserAgentHeader(true),
	)
	if err != nil {
		return nil, fmt.Errorf("set up HTTP client: %w", err)
	}
	return c, nil
}

// Problem is the body of every refusal and error.
type Problem struct {
	// Error says what is wrong and what to do.
	Error ProblemError `json:"error"`
	// NotRun is true only if the request certainly did not run.
	NotRun bool `json:"not_run"`
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
