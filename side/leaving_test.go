package side

import (
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/control"
	"github.com/verbenakeel/verbenakeel/internal/rule"
	"github.com/verbenakeel/verbenakeel/testkit/history"
)

// Shows that the checker reports new work at a leaving endpoint when the rule that its side process refuses it is
// switched off. The times of the history are set, so that nothing waits for the limit.
func TestCheckerSeesWorkAtLeavingEndpoint(t *testing.T) {
	for name, off := range map[string]bool{"in force": false, "off": true} {
		t.Run(name, func(t *testing.T) {
			if off {
				t.Cleanup(rule.Off(rule.Leave))
			}
			var hits atomic.Int64
			s := startSide(t, rawEndpoint(t, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", &hits), nil)
			s.mu.Lock()
			s.ordered = true
			s.applyDrain()
			s.mu.Unlock()
			rec := new(history.Recorder)
			rec.Add(history.EndpointLeaving{Endpoint: "instance-01"}, history.Request{At: time.Minute, ID: "r1"})
			resp, _ := send(t, s, map[string]string{control.HeaderRepeatable: "true"})
			for range hits.Load() {
				rec.Add(history.Execution{At: time.Minute, ID: "r1", Endpoint: "instance-01"})
			}
			found := history.Check(rec.Events())
			if !off {
				assert.Equal(t, resp.Header.Get(control.HeaderNotRun), "true")
				assert.Equal(t, len(found), 0, "%v", found)
				return
			}
			assert.Equal(t, len(found), 1)
			assert.Equal(t, found[0].Rule, history.WorkAtLeaving)
		})
	}
}
