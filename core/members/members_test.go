package members

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/verbenakeel/verbenakeel/core/clock"
	_ "github.com/verbenakeel/verbenakeel/testkit/fixedseed"
)

// Guards against an old announcement that takes effect: announcements arrive in any order, repeatedly and through peers,
// and the one with the highest incarnation and sequence number must win.
func TestNewestAnnouncementWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(time.Second)
		var incarnation, sequence uint64
		for range rapid.IntRange(1, 60).Draw(t, "announcements") {
			a := Announcement{
				ID: "instance-01", Incarnation: rapid.Uint64Range(1, 4).Draw(t, "incarnation"),
				Sequence: rapid.Uint64Range(1, 6).Draw(t, "sequence"), Relayed: rapid.Bool().Draw(t, "relayed"),
				Draining: rapid.Bool().Draw(t, "draining"), EndpointUp: true,
			}
			verdict, by := s.Announce(clock.Now{}, a)
			newer := a.Incarnation > incarnation || (a.Incarnation == incarnation && a.Sequence > sequence)
			switch {
			case newer && verdict != Applied:
				t.Fatalf("newer announcement %+v was not applied", a)
			case a.Incarnation < incarnation && (verdict != Superseded || by != incarnation):
				t.Fatalf("announcement of an earlier incarnation: %v, %d", verdict, by)
			case a.Incarnation == incarnation && a.Sequence < sequence && verdict != Stale:
				t.Fatalf("old announcement %+v: %v", a, verdict)
			}
			if newer {
				incarnation, sequence = a.Incarnation, a.Sequence
			}
			e, ok := s.Get("instance-01")
			if !ok || e.Incarnation != incarnation || e.Sequence != sequence {
				t.Fatalf("stored endpoint is %+v", e)
			}
		}
	})
}

// Guards against endpoints that time out because they announce less often: heartbeat timeouts must follow the interval
// that each endpoint was given.
func TestTimeoutFollowsInterval(t *testing.T) {
	s := New(time.Second)
	s.Announce(clock.Now{}, Announcement{ID: "instance-01", Incarnation: 1, Sequence: 1, EndpointUp: true, Interval: 20 * time.Second})
	assert.Equal(t, s.AdjustInterval(time.Second, 600, 4000), time.Second)
	s.Tick(clock.Now{Mono: 50 * time.Second})
	assert.Equal(t, len(s.Usable("")), 1)
	s.Tick(clock.Now{Mono: 70 * time.Second})
	assert.Equal(t, len(s.Usable("")), 0)
	assert.DeepEqual(t, s.Tick(clock.Now{Mono: 700 * time.Second}), []string{"instance-01"})
}

// Guards against a restarted entry that learns of an endpoint from no peer, because at each peer a newer copy, relayed by
// the entry before its restart, replaced the copy from the endpoint itself.
func TestRelayedCopyKeepsDirect(t *testing.T) {
	s := New(time.Minute)
	s.Announce(clock.Now{}, Announcement{ID: "instance-01", Incarnation: 1, Sequence: 1, EndpointUp: true})
	s.Announce(clock.Now{}, Announcement{ID: "instance-01", Incarnation: 1, Sequence: 2, EndpointUp: true, Relayed: true})
	s.Announce(clock.Now{}, Announcement{ID: "instance-02", Incarnation: 1, Sequence: 1, EndpointUp: true, Relayed: true})
	s.Announce(clock.Now{}, Announcement{ID: "instance-03", Incarnation: 1, Sequence: 2, EndpointUp: true, Relayed: true})
	s.Announce(clock.Now{}, Announcement{ID: "instance-03", Incarnation: 1, Sequence: 1, EndpointUp: true})
	list, _ := s.ChangedAfter(0)
	assert.Equal(t, len(list), 2)
	assert.Equal(t, list[1].ID, "instance-03")
	assert.Equal(t, list[0].ID, "instance-01")
}
