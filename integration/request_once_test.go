package integration

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/external/memlog"
	"github.com/verbenakeel/verbenakeel/httpserver"
	"github.com/verbenakeel/verbenakeel/testkit/deploy"
	"github.com/verbenakeel/verbenakeel/testkit/faultproxy"
	"github.com/verbenakeel/verbenakeel/testkit/history"
)

// Guards against a second execution of a non-repeatable request, a false "not run" and an answer to another request.
// Meanwhile callers repeat their requests through other entries, an entry and a side process are killed, replies of the
// log, the side processes and the endpoints are lost, and open connections stop passing data.
func TestOnceUnderFaults(t *testing.T) {
	d := deployment(t, nil)
	publish(t, d)
	tr := newTraffic(d)
	finish := tr.start(t, tr.config(150, 900, onceRequests("faults", "4000")))
	time.Sleep(time.Second)
	assert.NilError(t, d.SetLogFaults(t.Context(), memlog.Faults{LoseReplies: 5}))
	for _, in := range d.Instances {
		in.Side.Proxies["data"].DropReplies(5, "clearance")
		in.EndpointProxy.DropReplies(2, "clearance")
	}
	time.Sleep(time.Second)
	d.Instances[0].Side.Proxies["data"].StallOpen(faultproxy.Both)
	time.Sleep(500 * time.Millisecond)
	assert.NilError(t, d.Entries[1].Process().Kill())
	time.Sleep(time.Second)
	assert.NilError(t, d.Entries[1].Start(t.Context()))
	assert.NilError(t, d.Instances[2].Side.Process().Kill())
	time.Sleep(500 * time.Millisecond)
	assert.NilError(t, d.Instances[2].Side.Start(t.Context()))
	r := finish()
	t.Log(r.Outcomes)
	assert.Assert(t, r.Outcomes[history.Answered] > 0)
	tr.check(t)
}

// Guards against a non-repeatable request that starts after its caller's deadline, because an entry or a side process was
// paused or because a partition delayed its data.
func TestOnceNeverStartsLate(t *testing.T) {
	d := deployment(t, nil)
	publish(t, d)
	tr := newTraffic(d)
	finish := tr.start(t, tr.config(100, 600, onceRequests("late", "400")))
	time.Sleep(500 * time.Millisecond)
	for _, n := range []*deploy.Node{d.Entries[0], d.Instances[1].Side} {
		assert.NilError(t, n.Process().Pause())
		time.Sleep(1500 * time.Millisecond)
		assert.NilError(t, n.Process().Resume())
	}
	for _, in := range d.Instances {
		in.Side.Proxies["data"].StallAll(faultproxy.ToTarget)
	}
	time.Sleep(1500 * time.Millisecond)
	for _, in := range d.Instances {
		in.Side.Proxies["data"].StallAll(0)
	}
	finish()
	// Both times are of the same clock. The margin allows for the time between the side process's check of the deadline and
	// the start of the endpoint's handler.
	const margin = 900 * time.Millisecond
	sent := make(map[string]time.Duration)
	for _, ev := range tr.recorder.Events() {
		if r, ok := ev.(history.Request); ok {
			sent[r.ID] = r.At
		}
	}
	for _, x := range tr.recordExecutions(t) {
		at, ok := sent[x.RequestID]
		if delay := time.Unix(0, x.StartNs).Sub(tr.origin) - at; ok && delay > 400*time.Millisecond+margin {
			t.Errorf("request %s started %v after it was sent", x.RequestID, delay)
		}
	}
	for _, v := range history.Check(tr.recorder.Events()) {
		t.Error(v)
	}
}

// Guards against requests that run without a claim while the log is down, and against repeated requests that do not get
// the recorded answer then.
func TestOnceWhileLogIsDown(t *testing.T) {
	d := deployment(t, nil)
	publish(t, d)
	post := func(i int, key string) (int, httpserver.Problem, string) {
		status, body, err := deploy.Call(t.Context(), http.MethodPost, d.Entries[i].URL("public")+"/fitcheck/clearance",
			map[string]string{"Idempotency-Key": key}, []byte("seat"))
		assert.NilError(t, err)
		var p httpserver.Problem
		_ = json.Unmarshal(body, &p)
		return status, p, string(body)
	}
	status, _, first := post(0, "before")
	assert.Equal(t, status, 200, first)
	assert.NilError(t, d.SetLogFaults(t.Context(), memlog.Faults{Down: true}))
	status, p, body := post(1, "during")
	assert.Equal(t, status, 503, body)
	assert.Assert(t, p.NotRun, body)
	assert.Equal(t, p.Scope, "this_sending", body)
	status, _, again := post(0, "before")
	assert.Equal(t, status, 200, again)
	assert.Equal(t, again, first)
	assert.Equal(t, <-get(t, d.Entries[2], "/fitcheck/seat"), 200)
	assert.NilError(t, d.SetLogFaults(t.Context(), memlog.Faults{}))
	wait(t, "claims to be accepted again", func() bool {
		status, _, _ := post(2, "after-"+time.Now().String())
		return status == 200
	})
	tr := newTraffic(d)
	for _, x := range tr.recordExecutions(t) {
		assert.Assert(t, x.Key != "during", "a request refused as not run was executed")
	}
}
