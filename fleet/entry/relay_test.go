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

// scripted is a store whose appends end as scripted.
type scripted struct {
	mu    sync.Mutex
	err   error
	calls int
}

func (s *scripted) set(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = err
}

func (s *scripted) Append(context.Context, work.Append) (work.Appended, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return work.Appended{Offset: 1, End: 2}, s.err
}

func (s *scripted) Read(context.Context, string, int64, time.Duration) (work.Page, error) {
	return work.Page{Next: 7, End: 7, Records: []work.Record{{Key: "k", Value: []byte("v"), Offset: 6}}}, s.err
}

func (s *scripted) Newest(context.Context, string) (work.Page, error) {
	return work.Page{Next: 9}, s.err
}

func refusal() error { return errdefs.New(errdefs.Unavailable, "refused", "try later") }
func lost() error    { return errdefs.New(errdefs.Unknown, "lost", "repeat") }

// peerEntry serves calls of other entries with a store.
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

// Guards against an entry that serves nobody, or a decider that stops, while the store refuses its instance alone.
func TestRefusedEntryGoesThroughAnother(t *testing.T) {
	direct, other := &scripted{err: refusal()}, &scripted{}
	r := newRelay(direct, "self")
	r.setPeer(work.SideAddress{Instance: "peer", Address: peerEntry(t, other, 0)})
	for range 5 {
		got, err := r.Append(context.Background(), work.Append{Topic: "t"})
		assert.NilError(t, err)
		assert.DeepEqual(t, got, work.Appended{Offset: 1, End: 2})
	}
	assert.Equal(t, direct.calls, 1, "the store that refuses was asked again and again")
	page, err := r.Read(context.Background(), "t", 6, 0)
	assert.NilError(t, err)
	assert.DeepEqual(t, page.Records, []work.Record{{Key: "k", Value: []byte("v"), Offset: 6}})
}

// Guards against verdicts of the store that change on their way: a decider that is fenced must learn it, and a record
// that may have been stored must not be called refused.
func TestVerdictsPassThroughAnotherEntry(t *testing.T) {
	direct, other := &scripted{err: refusal()}, &scripted{}
	r := newRelay(direct, "self")
	r.setPeer(work.SideAddress{Instance: "peer", Address: peerEntry(t, other, 0)})
	for _, want := range []error{work.ErrFenced, work.ErrConditionFailed, work.ErrSequence, work.ErrExpired} {
		other.set(want)
		_, err := r.Append(context.Background(), work.Append{Topic: "t"})
		assert.ErrorIs(t, err, want)
	}
	other.set(lost())
	_, err := r.Append(context.Background(), work.Append{Topic: "t"})
	assert.Equal(t, errdefs.KindOf(err), errdefs.Unknown)
	assert.Assert(t, !work.NotDone(err))
}

// Guards against "not run" for a submission of which the first attempt went without an answer.
func TestLostAttemptStaysUnknown(t *testing.T) {
	direct, other := &scripted{err: lost()}, &scripted{err: refusal()}
	r := newRelay(direct, "self")
	r.setPeer(work.SideAddress{Instance: "peer", Address: peerEntry(t, other, 0)})
	_, err := r.Append(context.Background(), work.Append{Topic: "t"})
	assert.Assert(t, !work.NotDone(err), "%v", err)
}

// deadlines is a store that notes until when its calls may last.
type deadlines struct {
	scripted
	until []time.Time
}

func (d *deadlines) Append(ctx context.Context, a work.Append) (work.Appended, error) {
	until, _ := ctx.Deadline()
	d.until = append(d.until, until)
	return d.scripted.Append(ctx, a)
}

// Guards against a call to the store that outlasts the caller: direct and relayed attempts took 4 s together while callers
// wait 3 s.
func TestNoAttemptOutlastsTheCaller(t *testing.T) {
	store := &deadlines{scripted: scripted{err: lost()}}
	e := &Entry{store: store, relay: newRelay(store, "self"), jobs: &follower{}, sched: &follower{}}
	until := time.Now().Add(300 * time.Millisecond)
	err := e.keep(context.Background(), work.Record{Key: "j"}, until)
	assert.Assert(t, err != nil && !work.NotDone(err), "%v", err)
	assert.Assert(t, len(store.until) > 0)
	for _, u := range store.until {
		assert.Assert(t, !u.IsZero() && !u.After(until), "an attempt may last until %s after the caller's deadline", u.Sub(until))
	}
}

// silentStore is a store whose appends end only when they are given up.
type silentStore struct {
	scripted
	called chan struct{}
}

func (s *silentStore) Append(ctx context.Context, _ work.Append) (work.Appended, error) {
	s.called <- struct{}{}
	<-ctx.Done()
	return work.Appended{}, lost()
}

// Guards against callers that are held until their deadline by one attempt that began before the store was known to be away
// (2.8 s in the outage of inc-60ca).
func TestAttemptIsGivenUpOnceTheStoreIsAway(t *testing.T) {
	store := &silentStore{called: make(chan struct{}, 1)}
	e := &Entry{store: store, relay: newRelay(store, "self")}
	ended := make(chan error, 1)
	go func() { ended <- e.keep(context.Background(), work.Record{Key: "j"}, time.Now().Add(time.Hour)) }()
	<-store.called
	for range lostLeast {
		e.relay.noteTopic(context.Background(), work.TopicJobs, clock.BootMs()-awayMs-1, lost())
	}
	err := <-ended
	assert.Assert(t, err != nil && !work.NotDone(err), "the attempt may have been carried out: %v", err)
}

// Guards against a decider that is taken for gone because it is busy or cut off, and against waiting for one whose
// process has ended.
func TestWhetherADeciderIsGone(t *testing.T) {
	e := &Entry{relay: newRelay(&scripted{}, "self"), election: &election{instance: "self"}}
	claim := &work.Claim{Epoch: 4, Instance: "other"}
	e.relay.setPeer(work.SideAddress{Instance: "other", Address: peerEntry(t, &scripted{}, 4)})
	e.askDecider(context.Background(), claim)
	assert.Equal(t, e.election.goneEpoch, uint64(0))
	e.relay.setPeer(work.SideAddress{Instance: "other", Address: peerEntry(t, &scripted{}, 0)})
	e.askDecider(context.Background(), claim)
	assert.Equal(t, e.election.goneEpoch, uint64(4))
	e.election.goneEpoch = 0
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	e.relay.setPeer(work.SideAddress{Instance: "other", Address: ln.Addr().String()})
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	e.askDecider(ctx, claim) // accepts and never answers
	assert.Equal(t, e.election.goneEpoch, uint64(0))
	assert.NilError(t, ln.Close())
	e.askDecider(context.Background(), claim)
	assert.Equal(t, e.election.goneEpoch, uint64(4))
}

// Guards against errors of the store that another entry would read as another error.
func TestProblemsKeepTheirKind(t *testing.T) {
	for _, err := range []error{nil, work.ErrFenced, work.ErrConditionFailed, work.ErrSequence, work.ErrExpired, refusal(), lost(), errors.New("other")} {
		got := link.ProblemOf(err).Err()
		if err == nil {
			assert.NilError(t, got)
			continue
		}
		assert.Equal(t, work.NotDone(got), work.NotDone(err), "%v became %v", err, got)
	}
}
