package entry

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/fleet/work"
	"github.com/verbenakeel/verbenakeel/settings"
)

// takeoverModel is a set of elections that read the records of deciders on a virtual clock.
type takeoverModel struct {
	nowMs     int64
	elections []*election
	epoch     uint64
	holder    int
	claimedMs []int64
}

func newTakeoverModel(entries int) *takeoverModel {
	m := &takeoverModel{holder: -1}
	for i := range entries {
		set := settings.DefaultFleet()
		set.Instance, set.Bounds = fmt.Sprint("entry-", i), set.Bounds.Derive()
		el := newElection(set)
		el.lastHeartbeatMs = 0
		m.elections = append(m.elections, el)
	}
	return m
}

// run advances the clock. alive reports whether the decider that claimed at a time sends heartbeats now.
func (m *takeoverModel) run(ms int64, alive func(claims int, ageMs int64) bool) {
	lastSentMs := m.nowMs
	for end := m.nowMs + ms; m.nowMs < end; m.nowMs += 10 {
		claims := len(m.claimedMs)
		if claims > 0 && m.nowMs-lastSentMs >= heartbeatInterval.Milliseconds() && alive(claims, m.nowMs-m.claimedMs[claims-1]) {
			lastSentMs = m.nowMs
			m.observe(&work.Claim{Epoch: m.epoch, Instance: m.elections[m.holder].instance})
		}
		for i, el := range m.elections {
			el.observeCaughtUp(m.nowMs)
			if epoch, due := el.claimDue(false); due && i != m.holder {
				m.epoch, m.holder, lastSentMs = epoch, i, m.nowMs
				m.claimedMs = append(m.claimedMs, m.nowMs)
				m.observe(&work.Claim{Epoch: epoch, Instance: el.instance, Nonce: epoch})
				break
			}
		}
	}
}

func (m *takeoverModel) observe(c *work.Claim) {
	for _, el := range m.elections {
		el.observeRecords(m.nowMs, c)
	}
}

// maxReplacementMs is the time within which a decider that stops sending heartbeats is replaced.
const maxReplacementMs = 2500

// Guards against a decider that is replaced while it loads for 5 s, and against one that is stuck and keeps its place.
func TestOneTakeoverWhileTheStateLoads(t *testing.T) {
	m := newTakeoverModel(3)
	m.run(20_000, func(int, int64) bool { return true })
	assert.Equal(t, len(m.claimedMs), 1, "claims at %v", m.claimedMs)
	stuckMs := m.nowMs
	m.run(maxReplacementMs, func(claims int, _ int64) bool { return claims > 1 })
	assert.Equal(t, len(m.claimedMs), 2, "a decider that is stuck since %d was not replaced", stuckMs)
	m.run(20_000, func(int, int64) bool { return true })
	assert.Equal(t, len(m.claimedMs), 2)
}

// Guards against deciders that replace each other every second or two for good, each overloaded by the state that it has to load (review/6 on
// arm64: 14 within 40 s): the pauses between them grow, up to a bound, and shrink again once one has held its place.
func TestFailedTakeoversSpaceOut(t *testing.T) {
	m := newTakeoverModel(3)
	m.run(60_000, func(_ int, ageMs int64) bool { return ageMs < 1000 })
	assert.Assert(t, len(m.claimedMs) >= 5 && len(m.claimedMs) <= 12, "%d claims in 60 s", len(m.claimedMs))
	pauses := []int64{}
	for i := 1; i < len(m.claimedMs); i++ {
		pauses = append(pauses, m.claimedMs[i]-m.claimedMs[i-1])
	}
	last := pauses[len(pauses)-1]
	assert.Assert(t, last >= 8000 && last <= 8000+maxReplacementMs+1000, "pauses of %v", pauses)
	assert.Assert(t, pauses[0] <= maxReplacementMs+1000, "the first replacement took %d ms", pauses[0])
	m.run(30_000, func(int, int64) bool { return true })
	claims := len(m.claimedMs)
	m.run(maxReplacementMs, func(n int, _ int64) bool { return n > claims })
	assert.Equal(t, len(m.claimedMs), claims+1, "the decider that had held its place was not replaced in time")
}

// slowLoading delays the reads with which a decider loads the jobs.
type slowLoading struct {
	work.Store
	delay time.Duration
}

func (s slowLoading) Read(ctx context.Context, topic string, from int64, wait time.Duration) (work.Page, error) {
	if topic == work.TopicJobs && wait == 0 {
		timer := time.NewTimer(s.delay)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return work.Page{}, ctx.Err()
		case <-timer.C:
		}
	}
	return s.Store.Read(ctx, topic, from, wait)
}

// Guards against a decider that sends no heartbeat while it loads the state, so that others claim meanwhile and load it in turn.
func TestLoadingDeciderKeepsItsPlace(t *testing.T) {
	s := newSite(t)
	// More than AuthorityTimeout: a read that takes long is no failure.
	s.wrap = func(st work.Store) work.Store { return slowLoading{st, 7 * time.Second} }
	a, _ := s.entry("entry-1")
	b, _ := s.entry("entry-2")
	newest := func(e *Entry) uint64 {
		e.election.mu.Lock()
		defer e.election.mu.Unlock()
		if e.election.newest == nil {
			return 0
		}
		return e.election.newest.Epoch
	}
	s.until("a decider", func() bool { return a.currentDecider() != nil || b.currentDecider() != nil })
	assert.Equal(t, max(newest(a), newest(b)), uint64(1), "another entry claimed while the first decider loaded")
}

// Guards against a decider whose loop is stuck in one event and which keeps its place, as if it worked.
func TestStuckDeciderIsReplaced(t *testing.T) {
	s := newSite(t)
	a, _ := s.entry("entry-1")
	b, _ := s.entry("entry-2")
	s.until("a decider", func() bool { return a.currentDecider() != nil || b.currentDecider() != nil })
	first, other := a, b
	if first.currentDecider() == nil {
		first, other = b, a
	}
	release := make(chan struct{})
	defer close(release)
	first.currentDecider().post(func() { <-release })
	s.until("the other entry to decide", func() bool { return other.currentDecider() != nil })
}
