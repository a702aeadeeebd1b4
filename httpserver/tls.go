package httpserver

import (
	"crypto/tls"
	"fmt"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	hconfig "github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"

	"github.com/verbenakeel/verbenakeel/tlsconf"
)

// WithTLS returns the options of a listener that accepts peers with one of the roles. Without keys it accepts all peers.
func WithTLS(keys *tlsconf.Keys, roles ...tlsconf.Role) []hconfig.Option {
	if keys == nil {
		return nil
	}
	return []hconfig.Option{server.WithTLS(keys.Server(roles...))}
}

// NewTLSPool is like NewPool, but all connections use TLS, also those to http URLs. Without keys it returns a plain pool.
func NewTLSPool(keys *tlsconf.Keys, dialTimeout time.Duration, conns int, keepAlive bool, roles ...tlsconf.Role) (*Pool, error) {
	if keys == nil {
		return NewPool(dialTimeout, conns, keepAlive)
	}
	return newPool(&tlsDialer{standard.NewDialer(), keys.Client(roles...)}, dialTimeout, conns, keepAlive)
}

// tlsDialer dials TLS connections. The handshake is part of the dial, so that a failed handshake shows that no byte of a
// request was sent.
type tlsDialer struct {
	network.Dialer
	config *tls.Config
}

// DialConnection implements network.Dialer.
func (d *tlsDialer) DialConnection(n, address string, timeout time.Duration, _ *tls.Config) (network.Conn, error) {
	conn, err := d.Dialer.DialConnection(n, address, timeout, d.config)
	if err != nil {
		return nil, err
	}
	if err := handshake(conn, timeout); err != nil {
		_ = conn.Close()
		return nil, &net.OpError{Op: "dial", Net: n, Err: err}
	}
	return conn, nil
}

func handshake(conn network.Conn, timeout time.Duration) error {
	t, ok := conn.(network.ConnTLSer)
	if !ok {
		return fmt.Errorf("connection %T has no TLS", conn)
	}
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	if err := t.Handshake(); err != nil {
		return err
	}
	return conn.SetDeadline(time.Time{})
}

// PeerName returns the common name in the peer certificate of a request's connection; empty without TLS.
func PeerName(c *app.RequestContext) string {
	t, ok := c.GetConn().(network.ConnTLSer)
	if !ok {
		return ""
	}
	return tlsconf.PeerName(t.ConnectionState())
}

// PeerInstances returns the instances named in the peer certificate of a request's connection; none without TLS.
func PeerInstances(c *app.RequestContext) []string {
	t, ok := c.GetConn().(network.ConnTLSer)
	if !ok {
		return nil
	}
	return tlsconf.Instances(t.ConnectionState())
}
