package entry

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/errdefs"
	"github.com/verbenakeel/verbenakeel/fleet/clock"
	"github.com/verbenakeel/verbenakeel/fleet/link"
	"github.com/verbenakeel/verbenakeel/fleet/work"
)

// scriptedStore is a store that returns a given error.
type scriptedStore struct {
	mu    sync.Mutex
	err   error
	calls int
}

func (s *scriptedStore) set(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = err
}

func (s *scriptedStore) Append(context.Context, work.Append) (work.Appended, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return work.Appended{Offset: 1, End: 2}, s.err
}

func (s *scriptedStore) Read(context.Context, string, int64, time.Duration) (work.Page, error) {
	return work.Page{Next: 7, End: 7, Records: []work.Record{{Key: "k", Value: []byte("v"), Offset: 6}}}, s.err
}

func (s *scriptedStore) Newest(context.Context, string) (work.Snapshot, error) {
	return work.Snapshot{Next: 9}, s.err
}

func refusal() error { return errdefs.New(errdefs.Unavailable, "refused", "try later") }
func lost() error    { return errdefs.New(errdefs.Unknown, "lost", "repeat") }

// peerEntry starts an entry with the given store that serves calls of other entries, and returns its address.
func peerEntry(t *testing.T, store work.Store, deciding uint64) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	e := &Entry{peer: ln, relay: newRelay(store, "peer")}
	e.deciding.Store(deciding)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go e.servePeers(ctx)
	return ln.Addr().String()
}

// Guards against an entry that fails its callers, or a decider that stops, while the store refuses only its instance.
func TestRelayThroughPeer(t *testing.T) {
	direct, other := &scriptedStore{err: refusal()}, &scriptedStore{}
	r := newRelay(direct, "self")
	r.setPeer(work.ProcessAddress{Instance: "peer", Address: peerEntry(t, other, 0)})
	for range 5 {
		got, err := r.Append(context.Background(), work.Append{Topic: "t"})
		assert.NilError(t, err)
		assert.DeepEqual(t, got, work.Appended{Offset: 1, End: 2})
	}
	assert.Equal(t, direct.calls, 1, "the store was called again although it refuses this entry")
	page, err := r.Read(context.Background(), "t", 6, 0)
	assert.NilError(t, err)
	assert.DeepEqual(t, page.Records, []work.Record{{Key: "k", Value: []byte("v"), Offset: 6}})
}

// Guards against errors of the store that change when relayed: a fenced decider has to be told, and a record that may have
// been stored must not be reported as refused.
func TestStoreErrorsPassThroughPeer(t *testing.T) {
	direct, other := &scriptedStore{err: refusal()}, &scriptedStore{}
	r := newRelay(direct, "self")
	r.setPeer(work.ProcessAddress{Instance: "peer", Address: peerEntry(t, other, 0)})
	for _, want := range []error{work.ErrFenced, work.ErrConditionFailed, work.ErrSequence, work.ErrExpired} {
		other.set(want)
		_, err := r.Append(context.Background(), work.Append{Topic: "t"})
		assert.ErrorIs(t, err, want)
	}
	other.set(lost())
	_, err := r.Append(context.Background(), work.Append{Topic: "t"})
	assert.Equal(t, errdefs.KindOf(err), errdefs.Unknown)
	assert.Assert(t, !work.NotAppended(err))
}

// Guards against a submission reported as not stored although its first attempt got no answer.
func TestLostAttemptStaysUnknown(t *testing.T) {
	direct, other := &scriptedStore{err: lost()}, &scriptedStore{err: refusal()}
	r := newRelay(direct, "self")
	r.setPeer(work.ProcessAddress{Instance: "peer", Address: peerEntry(t, other, 0)})
	_, err := r.Append(context.Background(), work.Append{Topic: "t"})
	assert.Assert(t, !work.NotAppended(err), "%v", err)
}

// deadlineStore is a store that records the deadlineStore of its calls.
type deadlineStore struct {
	scriptedStore
	until []time.Time
}

func (d *deadlineStore) Append(ctx context.Context, a work.Append) (work.Appended, error) {
	until, _ := ctx.Deadline()
	d.until = append(d.until, until)
	return d.scriptedStore.Append(ctx, a)
}

// Guards against a call to the store that outlasts the caller: direct and relayed attempts together took 4 s while callers
// wait 3 s.
func TestNoAttemptOutlastsTheCaller(t *testing.T) {
	store := &deadlineStore{scriptedStore: scriptedStore{err: lost()}}
	e := &Entry{store: store, relay: newRelay(store, "self"), jobs: &topicReader{}, schedule: &topicReader{}}
	until := time.Now().Add(300 * time.Millisecond)
	err := e.storeRecord(context.Background(), work.Record{Key: "j"}, until)
	assert.Assert(t, err != nil && !work.NotAppended(err), "%v", err)
	assert.Assert(t, len(store.until) > 0)
	for _, u := range store.until {
		assert.Assert(t, !u.IsZero() && !u.After(until), "an attempt may outlast the caller's deadline by %s", u.Sub(until))
	}
}

// hangingStore is a store whose appends return only when they are cancelled.
type hangingStore struct {
	scriptedStore
	called chan struct{}
}

func (s *hangingStore) Append(ctx context.Context, _ work.Append) (work.Appended, error) {
	s.called <- struct{}{}
	<-ctx.Done()
	return work.Appended{}, lost()
}

// Guards against callers that wait until their deadline for an attempt that began before the store was known to be down
// (2.8 s in the outage of inc-60ca).
func TestAttemptIsCancelledWhenStoreIsDown(t *testing.T) {
	store := &hangingStore{called: make(chan struct{}, 1)}
	e := &Entry{store: store, relay: newRelay(store, "self")}
	ended := make(chan error, 1)
	go func() { ended <- e.storeRecord(context.Background(), work.Record{Key: "j"}, time.Now().Add(time.Hour)) }()
	<-store.called
	for range minTopicFailures {
		e.relay.recordTopic(context.Background(), work.TopicJobs, clock.BootMs()-storeDownAfterMs-1, lost())
	}
	err := <-ended
	assert.Assert(t, err != nil && !work.NotAppended(err), "a possibly successful attempt was reported as refused: %v", err)
}

// Guards against a decider that is taken for stopped because it is busy or cut off, and against waiting for one whose
// process has ended.
func TestProbeDecider(t *testing.T) {
	e := &Entry{relay: newRelay(&scriptedStore{}, "self"), election: &election{instance: "self"}}
	claim := &work.Claim{Epoch: 4, Instance: "other"}
	e.relay.setPeer(work.ProcessAddress{Instance: "other", Address: peerEntry(t, &scriptedStore{}, 4)})
	e.probeDecider(context.Background(), claim)
	assert.Equal(t, e.election.lostEpoch, uint64(0))
	e.relay.setPeer(work.ProcessAddress{Instance: "other", Address: peerEntry(t, &scriptedStore{}, 0)})
	e.probeDecider(context.Background(), claim)
	assert.Equal(t, e.election.lostEpoch, uint64(4))
	e.election.lostEpoch = 0
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	e.relay.setPeer(work.ProcessAddress{Instance: "other", Address: ln.Addr().String()})
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	e.probeDecider(ctx, claim) // accepts and never answers
	assert.Equal(t, e.election.lostEpoch, uint64(0))
	assert.NilError(t, ln.Close())
	e.probeDecider(context.Background(), claim)
	assert.Equal(t, e.election.lostEpoch, uint64(4))
}

// Guards against errors of the store that change their kind when another entry relays them.
func TestProblemsKeepTheirKind(t *testing.T) {
	for _, err := range []error{nil, work.ErrFenced, work.ErrConditionFailed, work.ErrSequence, work.ErrExpired, refusal(), lost(), errors.New("other")} {
		got := link.ProblemOf(err).Err()
		if err == nil {
			assert.NilError(t, got)
			continue
		}
		assert.Equal(t, work.NotAppended(got), work.NotAppended(err), "%v became %v", err, got)
	}
}

// Guards against a refusal that is not true: a call through another entry had an unknown outcome, and the direct call after
// it was given up by the caller before it was sent. The whole has an unknown outcome.
func TestUnknownOutcomeOfPeerIsKept(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		var call link.PeerCall
		_ = link.ReadMessage(conn, &call)
		cancel() // the caller gives up while the other entry stores the record
		_ = conn.Close()
	}()
	r := newRelay(&scriptedStore{err: errdefs.OfKind(errdefs.Unavailable)}, "self")
	r.directBackoffUntilMs = clock.BootMs() + 60_000
	r.setPeer(work.ProcessAddress{Instance: "other", Address: ln.Addr().String()})
	_, err = r.Append(ctx, work.Append{Topic: work.TopicJobs, Records: []work.Record{{Key: "a"}}})
	assert.Equal(t, errdefs.KindOf(err), errdefs.Unknown, "%v", err)
}

// Guards against a submission that is refused although it was stored (REFUSED): the direct call was refused, the call through another entry, which
// may have stored the record, got no answer.
func TestUnknownOutcomeAfterARefusalIsKept(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		var call link.PeerCall
		_ = link.ReadMessage(conn, &call)
		_ = conn.Close()
	}()
	r := newRelay(&scriptedStore{err: errdefs.OfKind(errdefs.Unavailable)}, "self")
	r.setPeer(work.ProcessAddress{Instance: "other", Address: ln.Addr().String()})
	_, err = r.Append(context.Background(), work.Append{Topic: work.TopicJobs, Records: []work.Record{{Key: "a"}}})
	assert.Equal(t, errdefs.KindOf(err), errdefs.Unknown, "%v", err)
}
