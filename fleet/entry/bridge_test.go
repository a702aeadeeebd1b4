package entry

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/fleet/link"
	"github.com/verbenakeel/verbenakeel/fleet/work"
)

// Guards against bytes that a bridge loses or changes, and against connections of side processes that outlive it.
func TestBridgeForwardsBothWays(t *testing.T) {
	s := newSite(t)
	e, _ := s.entry("entry-1")
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	ended := make(chan error, 1)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			ended <- err
			return
		}
		var hello link.Hello
		if err := link.ReadMessage(conn, &hello); err != nil {
			ended <- err
			return
		}
		_ = link.WriteMessage(conn, link.Report{Epoch: hello.Epoch, SentMs: 7})
		ended <- link.ReadMessage(conn, &hello)
	}()
	conn, err := openBridge(context.Background(), e.peer.Addr().String(), ln.Addr().String())
	assert.NilError(t, err)
	assert.NilError(t, link.WriteMessage(conn, link.Hello{Epoch: 3, Entry: "entry-2"}))
	var rep link.Report
	assert.NilError(t, link.ReadMessage(conn, &rep))
	assert.Equal(t, rep.Epoch, uint64(3))
	assert.NilError(t, conn.Close())
	assert.ErrorContains(t, <-ended, "EOF", "the side process kept the connection")

	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := closed.Addr().String()
	assert.NilError(t, closed.Close())
	_, err = openBridge(context.Background(), e.peer.Addr().String(), address)
	assert.Assert(t, err != nil)
}

// Guards against bridges through an entry that is cut off like the decider or the instance, and against one entry that
// carries the connections of a whole zone.
func TestBridgesUseEntriesOfThirdZones(t *testing.T) {
	r := newRelay(&scriptedStore{}, "self")
	for _, p := range []work.ProcessAddress{{Instance: "own", Zone: "a"}, {Instance: "cut", Zone: "b"}, {Instance: "c-1", Zone: "c"}, {Instance: "c-2", Zone: "c"}, {Instance: "d-1", Zone: "d"}} {
		r.setPeer(p)
	}
	first := map[string]int{}
	for _, side := range strings.Split("s1 s2 s3 s4 s5 s6 s7 s8 s9 s10 s11 s12", " ") {
		peers := r.bridgePeers("a", "b", side)
		assert.Equal(t, len(peers), maxPeersPerCall)
		for _, p := range peers {
			assert.Assert(t, p.Zone == "c" || p.Zone == "d", "%s is in zone %s", p.Instance, p.Zone)
		}
		first[peers[0].Instance]++
	}
	assert.Equal(t, len(first), 3, "the first choices are %v", first)
}

// Guards against work that is lost and started again in a zone that the decider cannot reach while a third zone reaches
// both (bridge_cut on hartwell-keel-large): the decider gives its orders through an entry there, and directly again after
// the cut.
func TestDeciderReachesCutZoneThroughThirdZone(t *testing.T) {
	s := newSite(t)
	first, _ := s.entry("entry-1")
	s.until("a decider", func() bool { return deciders(first) == 1 })
	third, _ := s.entryIn("entry-3", "c")
	s.until("the other entry", func() bool { _, ok := first.relay.peerAddress("entry-3"); return ok })
	d := first.currentDecider()
	var cut atomic.Bool
	cut.Store(true)
	address := reservedAddress(t)
	d.post(func() {
		d.dialSide = func(ctx context.Context, address string) (net.Conn, error) {
			if cut.Load() {
				return nil, context.DeadlineExceeded
			}
			return dialSide(ctx, address)
		}
		d.connectSide(work.ProcessAddress{Instance: "side-1", Zone: "b", Address: address})
	})
	w := s.workerAt("side-1", address)
	status, _, _ := s.call(first, http.MethodPost, jobPath, jobBody)
	assert.Equal(t, status, http.StatusOK)
	s.until("both tasks to run", func() bool { return len(running(w)) == 2 })
	assert.Equal(t, len(third.bridges), 1)
	cut.Store(false)
	s.until("the direct connection", func() bool { return len(third.bridges) == 0 })
	for _, name := range running(w) {
		w.Finish(name, 1)
	}
	s.until("the job's completion", func() bool {
		_, body, _ := s.call(first, http.MethodGet, jobPath, "")
		return body == `{"state":"completed"}`
	})
}

// reservedAddress returns a loopback address on which nothing listens.
func reservedAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	return ln.Addr().String()
}
