package load

import (
	"crypto/tls"
	"fmt"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
)

// onceDialer keeps hertz from sending a request twice. When a pooled connection ends before the reply, hertz repeats
// GET, HEAD, PUT, DELETE, OPTIONS and TRACE by itself, and no client option turns this off. It recognizes the case by
// the bare error value, so the connection wraps the error. Hiding the connection's ErrorNormalization does the same for
// errors of writes. Responses must have a length or be chunked: one that ends with its connection reads as an error.
type onceDialer struct{ network.Dialer }

// DialConnection implements network.Dialer.
func (d onceDialer) DialConnection(n, address string, timeout time.Duration, config *tls.Config) (network.Conn, error) {
	c, err := d.Dialer.DialConnection(n, address, timeout, config)
	if err != nil {
		return nil, err
	}
	return onceConn{c}, nil
}

type onceConn struct{ network.Conn }

// Peek implements network.Reader.
func (c onceConn) Peek(n int) ([]byte, error) {
	data, err := c.Conn.Peek(n)
	if err != nil {
		err = fmt.Errorf("read reply: %w", err)
	}
	return data, err
}
