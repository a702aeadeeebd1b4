package entry

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/fleet/clock"
	"github.com/verbenakeel/verbenakeel/fleet/dispatch"
	"github.com/verbenakeel/verbenakeel/fleet/work"
	"github.com/verbenakeel/verbenakeel/logevent"
	"github.com/verbenakeel/verbenakeel/platform"
	"github.com/verbenakeel/verbenakeel/settings"
)

// Guards against a decider that goes on although it can no longer make workers refuse delayed orders: the count of connections in the fence of a
// worker is used up.
func TestDeciderEndsOnceAFenceCannotRise(t *testing.T) {
	set := settings.DefaultFleet()
	set.Bounds = set.Bounds.Derive()
	d := &decider{entry: &Entry{set: set, log: logevent.Nop()}, confirmedMs: clock.BootMs()}
	d.state = dispatch.New(set.Bounds, 1, d.now(), dispatch.Options{})
	connections := 0
	for ; !d.claimLost && connections < 1<<17; connections++ {
		d.applyEvent(dispatch.SideConnected{Instance: "side-1"})
	}
	assert.Equal(t, connections, 1<<16)
	assert.Assert(t, !d.hasAuthority())
}

// slowStore answers appends late.
type slowStore struct {
	work.Store
	by time.Duration
}

func (s slowStore) Append(ctx context.Context, a work.Append) (work.Appended, error) {
	got, err := s.Store.Append(ctx, a)
	time.Sleep(s.by)
	return got, err
}

// Guards against a decider that renews leases after its successor has counted on their end (TWICE): its process was paused, or the store slow,
// between its claim and the answer, and its authority counted from the answer.
func TestAuthorityCountsFromTheClaim(t *testing.T) {
	const late = 300 * time.Millisecond
	s := newSite(t)
	e := &Entry{set: s.settings("entry-1"), store: slowStore{platform.NewStore(s.addr), late}, log: logevent.Nop(), view: newView(logevent.Nop())}
	e.election = newElection(e.set)
	e.schedule = &topicReader{topic: work.TopicSchedule, store: e.store, log: e.log, loaded: true, apply: e.applySchedule}
	sent := clock.BootMs()
	e.tryClaim(context.Background(), 1)
	claim := e.election.wonClaim()
	assert.Assert(t, claim != nil)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := e.newDecider(ctx, cancel, claim)
	assert.Assert(t, clock.BootMs()-sent >= late.Milliseconds())
	assert.Assert(t, d.confirmedMs-sent < late.Milliseconds()/2, "the authority counts from %d ms after the claim", d.confirmedMs-sent)
	e.election.consumeClaim()
	time.Sleep(late)
	assert.Assert(t, e.newDecider(ctx, cancel, claim).confirmedMs-sent < late.Milliseconds()/2)
}
