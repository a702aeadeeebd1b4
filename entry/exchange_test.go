package entry

import (
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/verbenakeel/verbenakeel/control"
	"github.com/verbenakeel/verbenakeel/core"
	"github.com/verbenakeel/verbenakeel/core/members"
	"github.com/verbenakeel/verbenakeel/external/memlog"
	"github.com/verbenakeel/verbenakeel/settings"
)

// Guards against repeated or stale exchanges that overwrite what a newer one reported, against changes lost in a gap,
// and against a run that is ignored without learning the incarnation that superseded it.
func TestPeerTableObserve(t *testing.T) {
	type message struct {
		inc, seq, after, count, revision uint64
	}
	for _, tc := range []struct {
		name     string
		before   []message
		m        message
		want     peerUpdate
		revision uint64
	}{
		{"first", nil, message{5, 1, 0, 3, 7}, peerUpdate{newRun: true, sendPeers: true}, 7},
		{"next", []message{{5, 1, 0, 3, 7}}, message{5, 2, 3, 4, 8}, peerUpdate{}, 8},
		{"repeated", []message{{5, 1, 0, 3, 7}, {5, 2, 3, 4, 8}}, message{5, 2, 3, 4, 8}, peerUpdate{stale: true}, 8},
		{"late", []message{{5, 1, 0, 3, 7}, {5, 3, 3, 4, 8}}, message{5, 2, 3, 3, 7}, peerUpdate{stale: true}, 8},
		{"one was lost but is in the next", []message{{5, 1, 0, 3, 7}}, message{5, 3, 3, 9, 8}, peerUpdate{}, 8},
		{"gap", []message{{5, 1, 0, 3, 7}}, message{5, 2, 4, 5, 8}, peerUpdate{gap: true}, 8},
		{"still a gap", []message{{5, 1, 0, 3, 7}, {5, 2, 4, 5, 8}}, message{5, 3, 5, 6, 8}, peerUpdate{gap: true}, 8},
		{"everything after a gap", []message{{5, 1, 0, 3, 7}, {5, 2, 4, 5, 8}}, message{5, 3, 0, 6, 8}, peerUpdate{}, 8},
		{"gap at a receiver that restarted", nil, message{5, 9, 4, 5, 8}, peerUpdate{newRun: true, sendPeers: true, gap: true}, 8},
		{"answer", []message{{5, 4, 0, 3, 7}}, message{5, 0, 0, 0, 8}, peerUpdate{}, 8},
		{"restart", []message{{5, 4, 0, 3, 7}}, message{6, 1, 0, 1, 7}, peerUpdate{newRun: true, sendPeers: true}, 7},
		{"restart with a clock set back", []message{{5, 4, 0, 3, 7}}, message{4, 1, 0, 1, 9}, peerUpdate{supersededBy: 5}, 7},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table := newPeerTable(nil)
			observe := func(m message) peerUpdate {
				return table.observe(peer{id: "p", incarnation: m.inc, sequence: m.seq, revision: m.revision}, m.after, m.count)
			}
			for _, m := range tc.before {
				observe(m)
			}
			assert.Equal(t, observe(tc.m), tc.want)
			assert.Equal(t, table.byID["p"].revision, tc.revision)
		})
	}
}

// Guards against a stale exchange that counts as a heartbeat of an unresponsive entry.
func TestStaleExchangeIsNoHeartbeat(t *testing.T) {
	table := newPeerTable(nil)
	table.observe(peer{id: "p", incarnation: 5, sequence: 2}, 0, 0)
	table.byID["p"].lastContact = time.Now().Add(-peerTimeout)
	table.observe(peer{id: "p", incarnation: 5, sequence: 1}, 0, 0)
	table.observe(peer{id: "p", incarnation: 4, sequence: 9}, 0, 0)
	assert.Equal(t, len(table.live()), 0)
}

// runEntry runs an entry with peers until the returned function is called.
func runEntry(t *testing.T, id string, log *memlog.Log, change func(*Entry), peers ...string) (*Entry, func()) {
	t.Helper()
	set := settings.DefaultEntry()
	set.ID, set.Region, set.Zone, set.Peers = id, "midshire", "midshire-a", peers
	e, err := New(set, log, io.Discard)
	assert.NilError(t, err)
	change(e)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Run(ctx) }()
	stopped := false
	stop := func() {
		if !stopped {
			stopped = true
			cancel()
			assert.NilError(t, <-done)
		}
	}
	t.Cleanup(stop)
	return e, stop
}

func unchanged(*Entry) {}

func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !cond() {
			return poll.Continue("%s", what)
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute))
}

// zoneHeld reports whether starts in the zone are held at the entry.
func zoneHeld(e *Entry, zone string) bool {
	for _, eff := range e.step(core.ZoneHoldRequested{Zone: zone, Relayed: true, Duration: time.Nanosecond}) {
		if _, ok := eff.(core.HoldBegan); ok {
			return false
		}
	}
	return true
}

// Guards against an entry that starts during a hold, becomes the decider and starts tasks in the zone, and against
// holds that entries relay to each other beyond their duration.
func TestHoldReachesEntryThatStartsLater(t *testing.T) {
	log := memlog.New(memlog.Options{})
	a, _ := runEntry(t, "entry-1", log, unchanged)
	a.hold("midshire-b", 20*time.Second, nil)
	b, _ := runEntry(t, "entry-2", log, unchanged, a.ControlAddress())
	eventually(t, "the hold at the new entry", func() bool { return zoneHeld(b, "midshire-b") })
	assert.Assert(t, !zoneHeld(b, "midshire-c"))
	for i, out := range []string{"true", "false"} {
		status, body := post(t, "http://"+b.OperatorAddress()+"/v1/config", "", "", fmt.Sprintf(`{"base":%d,"zone":{"zone":"midshire-d","out":%s}}`, i, out))
		assert.Equal(t, status, 200, string(body))
	}
	holds := []*control.ZoneHold{{Zone: "midshire-d", RemainingMs: 20_000}}
	b.applyHolds(holds, b.revision()-1)
	assert.Assert(t, !zoneHeld(b, "midshire-d"), "the sender has not yet read that the zone is back in service")
	b.applyHolds(holds, b.revision())
	assert.Assert(t, zoneHeld(b, "midshire-d"))
	// The first entry holds the zone itself until it has read that it is back in service; a request that arrives later is
	// dropped.
	eventually(t, "the records at the first entry", func() bool { return a.revision() == b.revision() })
	assert.Equal(t, len(a.ownHolds()), 1)
	assert.Equal(t, len(b.ownHolds()), 0, "a hold received from a peer is not relayed")
}

// Guards against an entry whose clock was set back before its restart and which its peers then ignore, as peer and as
// witness.
func TestEntryRaisesItsIncarnation(t *testing.T) {
	log := memlog.New(memlog.Options{})
	a, _ := runEntry(t, "entry-1", log, unchanged)
	later := uint64(time.Now().Add(time.Hour).UnixMilli())
	a.peers.observe(peer{id: "entry-2", incarnation: later, address: "127.0.0.1:1", sequence: 7}, 0, 0)
	b, _ := runEntry(t, "entry-2", log, unchanged, a.ControlAddress())
	eventually(t, "the higher incarnation", func() bool { return b.process().Incarnation == later+1 })
	eventually(t, "the peer", func() bool {
		w, ok := a.peers.witness("midshire-a")
		return ok && w.incarnation == later+1 && w.address == b.ControlAddress()
	})
	for _, c := range []struct {
		incarnation uint64
		want        bool
	}{{later + 1, true}, {b.incarnation, true}, {later, false}} {
		r, err := (&controlServer{b}).Promise(t.Context(), &control.PromiseRequest{Epoch: 1000, WitnessIncarnation: c.incarnation})
		assert.NilError(t, err)
		assert.Equal(t, r.Promised, c.want)
		assert.Equal(t, r.Incarnation, later+1)
	}
}

// Guards against a relayed endpoint that looks down because it has no slots, looks up because its sender is of a later
// version, or counts as still working after it has drained.
func TestRelayedEndpointKeepsState(t *testing.T) {
	log := memlog.New(memlog.Options{})
	a, _ := runEntry(t, "entry-1", log, unchanged)
	for i, up := range []bool{true, false} {
		_, err := (&controlServer{a}).Announce(t.Context(), &control.AnnounceRequest{
			Process: &control.Process{Id: fmt.Sprintf("instance-%d", i), Incarnation: 1}, Sequence: 1, Slots: 8, EndpointUp: up,
			Draining: !up, Drained: !up,
		})
		assert.NilError(t, err)
	}
	b, _ := runEntry(t, "entry-2", log, unchanged, a.ControlAddress())
	var list []members.Endpoint
	eventually(t, "the endpoints", func() bool {
		list = nil
		b.read(func(s *core.State) {
			for _, ep := range s.Members.All() {
				list = append(list, *ep)
			}
		})
		return len(list) == 2
	})
	assert.Assert(t, list[0].EndpointUp && !list[0].Drained)
	assert.Assert(t, !list[1].EndpointUp && list[1].Drained)
	assert.Equal(t, list[1].Slots, 8)
	// The end of a drain alone is a change that is sent to peers.
	_, err := (&controlServer{a}).Announce(t.Context(), &control.AnnounceRequest{
		Process: &control.Process{Id: "instance-0", Incarnation: 1}, Sequence: 2, Slots: 8, EndpointUp: true, Drained: true,
	})
	assert.NilError(t, err)
	eventually(t, "the drained endpoint", func() bool {
		drained := false
		b.read(func(s *core.State) {
			ep, _ := s.Members.Get("instance-0")
			drained = ep.Drained
		})
		return drained
	})
	b.applyMembers([]*control.Member{{Process: &control.Process{Id: "old", Incarnation: 1}, Sequence: 1, Slots: 0}})
	b.read(func(s *core.State) {
		ep, _ := s.Members.Get("old")
		assert.Assert(t, !ep.EndpointUp, "an earlier version reports a down endpoint by zero slots")
	})
}

// Guards against a hold request that arrives after the record that ends it and then stops starts in a zone that is in
// service, for its whole duration. A request without a revision comes from an earlier version and is kept.
func TestLateHoldIsDropped(t *testing.T) {
	e, _ := runEntry(t, "entry-1", memlog.New(memlog.Options{}), unchanged)
	made := e.revision()
	for i, out := range []string{"true", "false"} {
		status, body := post(t, "http://"+e.OperatorAddress()+"/v1/config", "", "", fmt.Sprintf(`{"base":%d,"zone":{"zone":"midshire-d","out":%s}}`, i, out))
		assert.Equal(t, status, 200, string(body))
	}
	request := func(revision *uint64) bool {
		r, err := (&controlServer{e}).Hold(t.Context(), &control.HoldRequest{Zone: "midshire-d", DurationMs: 20_000, Revision: revision})
		assert.NilError(t, err)
		return r.Held
	}
	assert.Assert(t, !request(&made), "made before the zone was taken out of service")
	assert.Assert(t, !request(proto.Uint64(e.revision()-1)), "made before the zone was back in service")
	assert.Equal(t, len(e.ownHolds()), 0)
	assert.Assert(t, !zoneHeld(e, "midshire-d"))
	assert.Assert(t, request(nil), "made by an earlier version")
	assert.Equal(t, len(e.ownHolds()), 1)
	assert.Assert(t, request(proto.Uint64(e.revision())), "made for a new order")
}

// holdRecorder is a peer that records the hold requests that it receives.
type holdRecorder struct {
	control.Entry
	requests chan *control.HoldRequest
}

func (h *holdRecorder) Hold(_ context.Context, r *control.HoldRequest) (*control.HoldResponse, error) {
	h.requests <- r
	return &control.HoldResponse{Held: true}, nil
}

func (h *holdRecorder) Exchange(context.Context, *control.ExchangeRequest) (*control.ExchangeResponse, error) {
	return &control.ExchangeResponse{}, nil
}

// Guards against a hold request without the revision that it belongs to, which peers keep however late it arrives.
func TestHoldRequestCarriesRevision(t *testing.T) {
	e, _ := runEntry(t, "entry-1", memlog.New(memlog.Options{}), unchanged)
	recorder := &holdRecorder{requests: make(chan *control.HoldRequest, 1)}
	server := httptest.NewServer(control.NewEntryServer(recorder))
	defer server.Close()
	e.peers.observe(peer{id: "entry-2", incarnation: 1, sequence: 1, address: server.Listener.Addr().String()}, 0, 0)
	made := e.revision()
	status, body := post(t, "http://"+e.OperatorAddress()+"/v1/config", "", "", `{"base":0,"zone":{"zone":"midshire-d","out":true}}`)
	assert.Equal(t, status, 200, string(body))
	r := <-recorder.requests
	assert.Equal(t, r.Zone, "midshire-d")
	assert.Assert(t, r.Revision != nil && *r.Revision == made, "%v", r)
}
