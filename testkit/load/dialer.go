package load

import (
	"crypto/tls"
	"fmt"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
)

// noRetryDialer prevents hertz from sending a request twice. When a pooled connection is closed before the reply, hertz
// retries GET, HEAD, PUT, DELETE, OPTIONS and TRACE by itself, and no client option disables this. Hertz detects the case
// by comparing the unwrapped error value, so the connection wraps the error. Hiding the connection's ErrorNormalization
// has the same effect on write errors. Responses must have a length or be chunked: a response that is delimited by the
// close of its connection is read as an error.
type noRetryDialer struct{ network.Dialer }

// DialConnection implements network.Dialer.
func (d noRetryDialer) DialConnection(n, address string, timeout time.Duration, config *tls.Config) (network.Conn, error) {
	c, err := d.Dialer.DialConnection(n, address, timeout, config)
	if err != nil {
		return nil, err
	}
	return noRetryConn{c}, nil
}

type noRetryConn struct{ network.Conn }

// Peek implements network.Reader.
func (c noRetryConn) Peek(n int) ([]byte, error) {
	data, err := c.Conn.Peek(n)
	if err != nil {
		err = fmt.Errorf("read reply: %w", err)
	}
	return data, err
}
