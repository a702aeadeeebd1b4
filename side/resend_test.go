package side

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/control"
	"github.com/verbenakeel/verbenakeel/core/slots"
)

// A request must not be refused as not run because its resend could not connect although the first attempt reached the
// endpoint.
func TestResendAfterEndpointEnded(t *testing.T) {
	for name, slotCount := range map[string]int{"in place of the first": 1, "in a free slot": 8} {
		t.Run(name, func(t *testing.T) {
			var ln net.Listener
			release := make(chan struct{})
			srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/-/health" {
					return
				}
				// The endpoint accepts no further connections and never answers this request.
				_ = ln.Close()
				<-release
			}))
			ln = srv.Listener
			defer srv.Close()
			defer close(release)
			s := startSide(t, srv.URL, func(s *Side) { s.slots = slots.New(slotCount, 16) })
			resp, _ := send(t, s, map[string]string{control.HeaderRepeatable: "true", control.HeaderDeadline: "1500"})
			assert.Equal(t, resp.Header.Get(control.HeaderNotRun), "")
			assert.Equal(t, resp.Header.Get(control.HeaderOutcome), "unknown")
		})
	}
}
