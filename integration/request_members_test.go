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

// Guards against a restarted entry that refuses requests for lack of endpoints until announcements arrive. The side
// processes are paused here and send none, so that the entry can learn the endpoints only from its peers.
func TestRestartedEntryLearnsFromPeers(t *testing.T) {
	// With this heartbeat interval the peers do not mark the paused side processes unresponsive.
	d := deployment(t, func(o *deploy.Options) { o.EntrySettings = []deploy.Setting{{Key: "times.heartbeat", Value: "1m"}} })
	publish(t, d)
	// A peer that missed the change to "up" would be notified of it only by the next heartbeat, a minute later.
	for _, peer := range d.Entries[:2] {
		wait(t, "all endpoints to be up at "+peer.Name, func() bool { return countUpEndpoints(t, peer) == len(d.Instances) })
	}
	e := d.Entries[2]
	assert.NilError(t, e.Process().Kill())
	for _, in := range d.Instances {
		assert.NilError(t, in.Side.Process().Pause())
	}
	assert.NilError(t, e.Start(t.Context()))
	wait(t, "all endpoints to be up at the restarted entry", func() bool { return countUpEndpoints(t, e) == len(d.Instances) })
	for _, in := range d.Instances {
		assert.NilError(t, in.Side.Process().Resume())
	}
	wait(t, "routing", func() bool { return <-get(t, e, "/fitcheck/seat") == 200 })
}

// countUpEndpoints returns the number of endpoints that an entry lists as up.
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

// Guards against membership that depends on the log: losses, restarts and the return of endpoints must be detected while
// the log is down.
func TestMembershipWithoutLog(t *testing.T) {
	d := deployment(t, nil)
	publish(t, d)
	assert.NilError(t, d.SetLogFaults(t.Context(), memlog.Faults{Down: true}))
	in := d.Instances[0]
	assert.NilError(t, in.Side.Process().Kill())
	wait(t, "loss of the side process to be detected", func() bool {
		state, _, _ := endpointState(t, d.Entries[1], in.Side.Name)
		return state == "suspect"
	})
	assert.NilError(t, in.Side.Start(t.Context()))
	wait(t, "restart of the side process to be detected", func() bool {
		state, up, _ := endpointState(t, d.Entries[1], in.Side.Name)
		return state == "up" && up
	})
	in.EndpointProxy.Cut()
	wait(t, "loss of the endpoint to be detected", func() bool {
		_, up, _ := endpointState(t, d.Entries[1], in.Side.Name)
		return !up
	})
	in.EndpointProxy.Restore()
	wait(t, "endpoint to be up again", func() bool {
		_, up, _ := endpointState(t, d.Entries[1], in.Side.Name)
		return up
	})
}

// Guards against callers that exceed the concurrency of a contract by using several entries, and against an entry that is
// limited to an equal share of the contract although the other entries are idle.
func TestConcurrencyOverAllEntries(t *testing.T) {
	d := deployment(t, nil)
	const limit = 12
	publishContract(t, d, strings.Replace(contract, `"concurrency":500`, `"concurrency":12`, 1))
	tr := newTraffic(d)
	var sent []<-chan int
	for _, entries := range [][]*deploy.Node{d.Entries[:1], d.Entries} {
		for range 8 {
			for i := range 2 * limit / len(entries) {
				// The requests are not repeatable, so that each is sent to an endpoint once only.
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
	t.Log("peak of concurrent requests:", peak)
	assert.Assert(t, peak > limit/len(d.Entries)+1, "one entry got no more than an equal share: %d", peak)
	// The entries' shares may overlap by what changed since their last exchange. The stated error is one equal share.
	assert.Assert(t, peak <= limit+limit/len(d.Entries), "%d concurrent requests", peak)
}
