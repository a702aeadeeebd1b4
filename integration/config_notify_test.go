package integration

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/testkit/deploy"
)

// Guards against configuration changes that reach side processes only with the next heartbeat. The heartbeat interval is
// 1 min here, and the change has to be in force within half of that.
func TestChangeInForceBeforeNextHeartbeat(t *testing.T) {
	slow := []deploy.Setting{{Key: "times.heartbeat", Value: "1m"}}
	d := deployment(t, func(o *deploy.Options) { o.EntrySettings, o.SideSettings = slow, slow })
	for _, e := range d.Entries {
		wait(t, "the endpoints at "+e.Name, func() bool { return len(endpoints(t, e)) == len(d.Instances) })
	}
	// No request is sent, because the pings to side processes in use would notify them of the change.
	code, body := changeZone(t, d, 0, "midshire-b", true, 0)
	assert.Equal(t, code, 200, string(body))
	revision := zoneRevision(t, d, "midshire-b")
	for _, e := range d.Entries {
		url := fmt.Sprintf("%s/v1/inforce?revision=%d&wait_ms=30000", e.URL("operator"), revision)
		code, body, err := deploy.Call(t.Context(), http.MethodGet, url, nil, nil)
		assert.NilError(t, err)
		assert.Assert(t, code == 200 && strings.Contains(string(body), `"everyone":true`), "%s: %s", e.Name, body)
	}
}
