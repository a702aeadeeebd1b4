package side

import (
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/control"
	"github.com/verbenakeel/verbenakeel/testkit/history"
)

// The history checker must report a request that is refused as not run after it was sent to the endpoint, when the rule
// that only unsent requests are refused so is switched off. The endpoint reads the request and closes the connection.
func TestCheckerSeesFalseNotRun(t *testing.T) {
	for _, off := range []bool{false, true} {
		var hits atomic.Int64
		s := startSide(t, rawEndpoint(t, "", &hits), func(s *Side) { s.skipSentCheck = off })
		rec := new(history.Recorder)
		rec.Add(history.Request{ID: "r1"})
		resp, _ := send(t, s, map[string]string{control.HeaderRepeatable: "false"})
		answer := history.Answer{At: time.Hour, ID: "r1", Verdict: history.Unknown, Status: resp.StatusCode}
		if resp.Header.Get(control.HeaderNotRun) == "true" {
			answer.Verdict = history.NotRun
		}
		assert.Equal(t, hits.Load(), int64(1))
		rec.Add(history.Execution{At: time.Second, ID: "r1", Endpoint: "instance-01"}, answer)
		found := history.Check(rec.Events())
		if !off {
			assert.Equal(t, len(found), 0, "%v", found)
			continue
		}
		assert.Equal(t, len(found), 1)
		assert.Equal(t, found[0].Rule, history.NotRunExecuted)
	}
}
