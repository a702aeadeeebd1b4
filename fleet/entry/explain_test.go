package entry

import (
	"bytes"
	"context"
	"net"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/errdefs"
	"github.com/verbenakeel/verbenakeel/fleet/link"
	"github.com/verbenakeel/verbenakeel/fleet/work"
	"github.com/verbenakeel/verbenakeel/platform/platformtest"
)

func explainCall() *link.ExplainCall {
	return &link.ExplainCall{Job: work.Job{ID: "00112233445566aa", Steps: []work.Step{{Count: 2, CPU: 100, MemMB: 10, EstMs: 300}}}, Queue: "q", Workers: true}
}

// Guards against an explanation that only the decider's entry gives, that differs between entries, or that stores or starts
// something.
func TestExplainAtDeciderAndOtherEntry(t *testing.T) {
	s := newSite(t)
	a, _ := s.entry("entry-1")
	b, _ := s.entry("entry-2")
	w := s.worker("side-1")
	s.until("a decider", func() bool { return deciders(a, b) == 1 })
	for _, e := range []*Entry{a, b} {
		var x *Explanation
		s.until("a worker for the job", func() bool {
			var err error
			x, err = AskExplanation(context.Background(), e.peer.Addr().String(), explainCall())
			return err == nil && x.Steps[0].Worker != ""
		})
		assert.Equal(t, x.Steps[0].Worker, "side-1")
		assert.Equal(t, x.Steps[0].Able, 1)
		assert.Equal(t, len(x.Steps[0].Workers), 1)
		assert.Equal(t, x.Service, "s")
		assert.Assert(t, !x.Admission.Refused && x.Admission.BacklogAgeMs == -1)
		assert.Equal(t, x.Order.Class, "on_time")
		assert.Assert(t, x.Times.Known && x.Times.EndMs > 0 && x.Times.EndUntilMs >= x.Times.EndMs)
		decider := a
		if b.currentDecider() != nil {
			decider = b
		}
		assert.Equal(t, x.Entry, decider.set.Instance)
		var text bytes.Buffer
		assert.NilError(t, x.WriteText(&text))
		assert.Assert(t, strings.Contains(text.String(), "worker: side-1"), text.String())
	}
	assert.Equal(t, len(s.store.Keys(work.TopicJobs)), 0)
	assert.Equal(t, len(running(w)), 0)

	wrong := explainCall()
	wrong.Queue = "absent"
	for _, e := range []*Entry{a, b} {
		_, err := AskExplanation(context.Background(), e.peer.Addr().String(), wrong)
		assert.Equal(t, errdefs.KindOf(err), errdefs.Invalid, "%v", err)
	}
}

// Guards against an answer without a basis, and against a wait without end, while there is no decider.
func TestExplainWithoutDecider(t *testing.T) {
	s := newSite(t)
	s.setFault(platformtest.Busy, platformtest.PathAppend)
	e, _ := s.entry("entry-1")
	_, err := AskExplanation(context.Background(), e.peer.Addr().String(), explainCall())
	assert.Equal(t, errdefs.KindOf(err), errdefs.Unavailable, "%v", err)
	assert.ErrorContains(t, err, "ask again in some seconds")

	// The same entry is told of a decider that does not answer.
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := ln.Addr().String()
	assert.NilError(t, ln.Close())
	e.relay.setPeer(work.ProcessAddress{Instance: "entry-2", Address: address})
	e.election.mu.Lock()
	e.election.newest = &work.Claim{Epoch: 1, Instance: "entry-2"}
	e.election.mu.Unlock()
	_, err = AskExplanation(context.Background(), e.peer.Addr().String(), explainCall())
	assert.Equal(t, errdefs.KindOf(err), errdefs.Unavailable, "%v", err)
}

// Guards against several explanations at once, which together would keep the decider from its work.
func TestExplanationsAreBounded(t *testing.T) {
	s := newSite(t)
	e, _ := s.entry("entry-1")
	s.until("a decider", func() bool { return deciders(e) == 1 })
	e.explains <- struct{}{}
	_, err := AskExplanation(context.Background(), e.peer.Addr().String(), explainCall())
	assert.Equal(t, errdefs.KindOf(err), errdefs.Unavailable, "%v", err)
	<-e.explains
	_, err = AskExplanation(context.Background(), e.peer.Addr().String(), explainCall())
	assert.NilError(t, err)
}

// earlierPeerCall is a PeerCall as entries read it that do not know explanations.
type earlierPeerCall struct {
	Append *work.Append   `cbor:"1,keyasint,omitempty"`
	Read   *link.ReadCall `cbor:"2,keyasint,omitempty"`
	Newest string         `cbor:"3,keyasint,omitempty"`
	Bridge string         `cbor:"4,keyasint,omitempty"`
}

// Guards against an entry of an earlier version that is disturbed by the question, or is taken to have answered it.
func TestExplainAtEarlierVersion(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	got := make(chan earlierPeerCall, 1)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		var call earlierPeerCall
		if link.ReadMessage(conn, &call) == nil {
			got <- call
			_ = link.WriteMessage(conn, link.PeerReply{Deciding: 1})
		}
	}()
	_, err = AskExplanation(context.Background(), ln.Addr().String(), explainCall())
	assert.Equal(t, errdefs.KindOf(err), errdefs.Incompatible, "%v", err)
	assert.ErrorContains(t, err, "earlier version")
	assert.DeepEqual(t, <-got, earlierPeerCall{})
}
