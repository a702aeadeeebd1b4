package httpserver

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	hconfig "github.com/cloudwego/hertz/pkg/common/config"
	errs "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/network"

	"github.com/verbenakeel/verbenakeel/errdefs"
)

// Bounded are the bounds of one listener.
type Bounded struct {
	// Intake holds the bounds of the process; the listeners of a process share it.
	Intake *Intake
	// BodyLimit returns the largest body that is read, in bytes, at the time of the call; nil for MaxBody.
	BodyLimit func() int
	// RefusalBody returns the JSON body of a refusal; nil for that of a Problem.
	RefusalBody func(message string) []byte
}

// ListenBounded is like Listen, but requests are read whole before they are parsed, within the bounds. The listener has no TLS.
func ListenBounded(address string, b Bounded) (*Server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", errdefs.New(errdefs.Unavailable, err.Error(), "choose a free address in the settings"))
	}
	t := &boundedTransport{ln: ln, intake: b.Intake, bodyLimit: b.BodyLimit, refusalBody: b.RefusalBody}
	if t.bodyLimit == nil {
		t.bodyLimit = func() int { return MaxBody }
	}
	if t.refusalBody == nil {
		t.refusalBody = problemBody
	}
	s := newServer(ln, server.WithTransport(func(*hconfig.Options) network.Transporter { return t }),
		// The transport waits for the next request itself, with no buffer and no request context.
		server.WithIdleTimeout(0),
		// The transport has applied the limits of the configuration in force, which may be above MaxBody.
		server.WithMaxRequestBodySize(0), server.WithMaxHeaderBytes(0),
		// Forms would be parsed into memory and files before any handler.
		server.WithDisablePreParseMultipartForm(true))
	s.pending = func() int { return int(t.requests.Load()) }
	return s, nil
}

func problemBody(message string) []byte {
	body, err := json.Marshal(Problem{Error: ProblemError{Kind: "refused", Message: message, Remedy: "see the status"}, NotRun: true})
	if err != nil {
		return nil
	}
	return append(body, '\n')
}

// acceptRetry is the pause after a failed accept, for example while no descriptor is free.
const acceptRetry = 50 * time.Millisecond

// boundedTransport is a transport of hertz that admits connections and requests by the intake.
type boundedTransport struct {
	ln          net.Listener
	intake      *Intake
	bodyLimit   func() int
	refusalBody func(message string) []byte

	// active counts open connections, requests those with a request of which a part has arrived and that is not answered.
	active, requests atomic.Int64
}

// ListenAndServe implements network.Transporter.
func (t *boundedTransport) ListenAndServe(handle network.OnData) error {
	for {
		raw, err := t.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// A lack of descriptors passes. It must not end the process.
			time.Sleep(acceptRetry)
			continue
		}
		if admitted := t.intake.accept(raw); admitted != nil {
			t.active.Add(1)
			go t.serve(&requestConn{intakeConn: admitted, server: t}, handle)
		}
	}
}

// serve hands the requests of a connection to hertz until one is not complete, or hertz asks for the end of the connection.
func (t *boundedTransport) serve(c *requestConn, handle network.OnData) {
	defer t.active.Add(-1)
	defer func() {
		c.drop(&c.in)
		_ = c.Release()
		_ = c.intakeConn.Close()
		c.setPending(false)
	}()
	for c.readRequest() == nil {
		err := handle(context.Background(), c)
		_ = c.Release()
		if errors.Is(err, errs.ErrShortConnection) {
			// The response is written. Unread bytes behind the request would reset the connection before the client has read it.
			c.linger()
		}
		c.setPending(false)
		if err != nil {
			return
		}
	}
}

// Close implements network.Transporter.
func (t *boundedTransport) Close() error {
	return t.ln.Close()
}

// shutdownPoll is the interval at which Shutdown looks for open connections.
const shutdownPoll = 5 * time.Millisecond

// Shutdown implements network.Transporter. Requests on connections that are still open when ctx ends are served on.
func (t *boundedTransport) Shutdown(ctx context.Context) error {
	_ = t.Close()
	for t.active.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(shutdownPoll):
		}
	}
	return nil
}

// Listener returns a listener whose connections the intake admits, for protocols other than HTTP. They count as reading until
// Protect is called.
func (in *Intake) Listener(ln net.Listener) net.Listener { return &intakeListener{ln, in} }

type intakeListener struct {
	net.Listener
	in *Intake
}

// Accept implements net.Listener.
func (l *intakeListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.in.accept(raw); c != nil {
			c.enter(reading)
			return c, nil
		}
	}
}

// Reserve admits n more bytes for a message that is read from the connection.
func (c *intakeConn) Reserve(n int) bool {
	if !c.reserve(n) {
		c.in.onRefusal(ReasonBudget)
		return false
	}
	return true
}

// Unreserve frees bytes that Reserve admitted.
func (c *intakeConn) Unreserve(n int) { c.release(n) }

// Protect excludes a connection of an intake's listener from being closed in favour of others. It returns false if it was
// closed already. Other connections need no protection.
func Protect(conn net.Conn) bool {
	c, ok := conn.(*intakeConn)
	return !ok || c.enter(running)
}

// Read implements net.Conn.
func (c *intakeConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.received()
	}
	return n, err
}

// SetReadDeadline implements net.Conn.
func (c *intakeConn) SetReadDeadline(t time.Time) error {
	c.setReadDeadline(t)
	return nil
}
