package integration

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/testkit/faultproxy"
	"github.com/verbenakeel/verbenakeel/testkit/history"
)

// Guards against lost repeatable requests when the open connections stop passing data for good while new ones work:
// between entries and side processes, between side processes and endpoints, and for announcements.
func TestSilentConnectionsLoseNothing(t *testing.T) {
	d := deployment(t, nil)
	publish(t, d)
	for name, silence := range map[string]func(){
		"data": func() {
			for _, in := range d.Instances {
				in.Side.Proxies["data"].StallOpen(faultproxy.Both)
			}
		},
		"endpoint": func() {
			for _, in := range d.Instances {
				in.EndpointProxy.StallOpen(faultproxy.Both)
			}
		},
		"replies": func() {
			for _, in := range d.Instances {
				in.Side.Proxies["data"].StallOpen(faultproxy.ToClient)
			}
		},
		"control": func() {
			for _, e := range d.Entries {
				e.Proxies["control"].StallOpen(faultproxy.Both)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			tr := newTraffic(d)
			const n = 300
			finish := tr.start(t, tr.noLossConfig(100, n, repeatableRequests(name, "")))
			time.Sleep(time.Second)
			silence()
			r := finish()
			t.Log(r.Outcomes, "p99 ms:", r.All.ValueAtQuantile(99)/1000, "max ms:", r.All.Max()/1000)
			assert.Equal(t, r.Outcomes[history.Answered], n, "%v", r.Outcomes)
			tr.check(t)
		})
	}
}

// Guards against requests that are lost at an endpoint whose side process is paused: the endpoint must be ejected, and get
// requests again afterwards.
func TestPausedSideLosesNothing(t *testing.T) {
	d := deployment(t, nil)
	publish(t, d)
	tr := newTraffic(d)
	const n = 400
	finish := tr.start(t, tr.noLossConfig(100, n, repeatableRequests("paused", "")))
	time.Sleep(time.Second)
	assert.NilError(t, d.Instances[0].Side.Process().Pause())
	time.Sleep(1500 * time.Millisecond)
	assert.NilError(t, d.Instances[0].Side.Process().Resume())
	r := finish()
	assert.Equal(t, r.Outcomes[history.Answered], n, "%v", r.Outcomes)
	tr.check(t)
	before := len(tr.executionsAt(t, 0))
	wait(t, "request at the resumed endpoint", func() bool {
		<-get(t, d.Entries[0], "/fitcheck/seat")
		return len(tr.executionsAt(t, 0)) > before
	})
}
