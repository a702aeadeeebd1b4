package telemetry

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

type idleCloser struct {
	http.RoundTripper
	closed bool
}

func (c *idleCloser) CloseIdleConnections() { c.closed = true }

// Guards against reusing connections that stopped responding: CloseIdleConnections must reach the base transport, which
// holds the connections.
func TestTransportClosesIdleConnections(t *testing.T) {
	base := &idleCloser{}
	(&http.Client{Transport: &Transport{Base: base}}).CloseIdleConnections()
	assert.Assert(t, base.closed)
}
