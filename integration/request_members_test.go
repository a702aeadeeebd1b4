package integration

import (
	"net/http"
	"sort"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/external/memlog"
	"github.com/verbenakeel/verbenakeel/testkit/deploy"
)

// Guards against an entry that serves "no endpoint" after a restart until announcements reach it. The announcements are
// cut off here, so that only its peers can tell it.
func TestRestartedEntryLearnsFromPeers(t *testing.T) {
	// The peers do not take the endpoints for silent while the side processes are paused.
	d := deployment(t, func(o *deploy.Options) { o.EntrySettings = []deploy.Setting{{Key: "times.heartbeat", Value: "1m"}} })
	publish(t, d)
	// With this heartbeat a peer that missed the change to "up" would not hear of it for a minute.
	for _, peer := range d.Entries[:2] {
		wait(t, "all endpoints to be up at "+peer.Name, func() bool { return countUpEndpoints(t, peer) == len(d.Instances) })
	}
	e := d.Entries[2]
	assert.NilError(t, e.Process().Kill())
	for _, in := range d.Instances {
		assert.NilError(t, in.Side.Process().Pause())
	}
	assert.NilError(t, e.Start(t.Context()))
	wait(t, "members at the restarted entry", func() bool { return countUpEndpoints(t, e) == len(d.Instances) })
	for _, in := range d.Instances {
		assert.NilError(t, in.Side.Process().Resume())
	}
	wait(t, "routing", func() bool { return <-get(t, e, "/fitcheck/seat") == 200 })
}

// countUpEndpoints returns how many endpoints an entry takes for up.
func countUpEndpoints(t *testing.T, e *deploy.Node) int {
	t.Helper()
	n := 0
	for _, ep := range endpoints(t, e) {
		if ep.Up {
			n++
		}
	}
	return n
}

// Guards against membership that needs the log: newcomers, restarts and losses of endpoints are noticed while it is down.
func TestMembershipWithoutLog(t *testing.T) {
	d := deployment(t, nil)
	publish(t, d)
	assert.NilError(t, d.SetLogFaults(t.Context(), memlog.Faults{Down: true}))
	in := d.Instances[0]
	assert.NilError(t, in.Side.Process().Kill())
	wait(t, "loss to be noticed", func() bool {
		state, _, _ := endpointState(t, d.Entries[1], in.Side.Name)
		return state == "suspect"
	})
	assert.NilError(t, in.Side.Start(t.Context()))
	wait(t, "restart to be noticed", func() bool {
		state, up, _ := endpointState(t, d.Entries[1], in.Side.Name)
		return state == "up" && up
	})
	in.EndpointProxy.Cut()
	wait(t, "lost endpoint to be noticed", func() bool {
		_, up, _ := endpointState(t, d.Entries[1], in.Side.Name)
		return !up
	})
	in.EndpointProxy.Restore()
	wait(t, "endpoint to be back", func() bool {
		_, up, _ := endpointState(t, d.Entries[1], in.Side.Name)
		return up
	})
}

// Guards against callers that get past the contract's concurrency through several entries, and against an entry that may
// use only an equal part of a contract that is idle elsewhere.
func TestConcurrencyOverAllEntries(t *testing.T) {
	d := deployment(t, nil)
	const limit = 12
	publishContract(t, d, strings.Replace(contract, `"concurrency":500`, `"concurrency":12`, 1))
	tr := newTraffic(d)
	var sent []<-chan int
	for _, entries := range [][]*deploy.Node{d.Entries[:1], d.Entries} {
		for range 8 {
			for i := range 2 * limit / len(entries) {
				// Not repeatable, so that each request is sent to one endpoint once.
				sent = append(sent, call(t, http.MethodPost, entries[i%len(entries)], "/fitcheck/seat?ms=1500"))
			}
			time.Sleep(400 * time.Millisecond)
		}
		for _, s := range sent {
			<-s
		}
		sent = nil
	}
	type edge struct {
		at    int64
		delta int
	}
	var edges []edge
	for _, x := range tr.recordExecutions(t) {
		if time.Unix(0, x.StartNs).After(tr.origin) {
			edges = append(edges, edge{x.StartNs, 1}, edge{x.EndNs, -1})
		}
	}
	sort.Slice(edges, func(i, j int) bool { return edges[i].at < edges[j].at })
	inProgress, peak := 0, 0
	for _, e := range edges {
		inProgress += e.delta
		peak = max(peak, inProgress)
	}
	t.Log("most requests at once:", peak)
	assert.Assert(t, peak > limit/len(d.Entries)+1, "one entry got no more than an equal part: %d", peak)
	// Parts overlap by what changed since the last exchange; the stated error is an equal part.
	assert.Assert(t, peak <= limit+limit/len(d.Entries), "%d requests at once", peak)
}
