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

// Guards against connections that went silent and are used again, because the counting transport hides the one that keeps
// them.
func TestTransportClosesIdleConnections(t *testing.T) {
	base := &idleCloser{}
	(&http.Client{Transport: &Transport{Base: base}}).CloseIdleConnections()
	assert.Assert(t, base.closed)
}
