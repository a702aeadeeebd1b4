package slots

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/verbenakeel/verbenakeel/core/clock"
	_ "github.com/verbenakeel/verbenakeel/testkit/fixedseed"
)

// Guards against more concurrent requests than slots, a queue beyond its limit, a slot that is never freed, and a request
// admitted after its deadline or while the endpoint is draining.
func TestSlotsAreKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slotCount, queueMax = 3, 4
		s := New(slotCount, queueMax)
		now := time.Duration(0)
		running := 0
		waiting := make(map[uint64]time.Duration)
		applyGrants := func(grants []Grant) {
			for _, g := range grants {
				if g.Refusal == "" {
					running++
					if waiting[g.ID] <= now {
						t.Fatalf("request %d got a slot after its deadline", g.ID)
					}
				}
				delete(waiting, g.ID)
			}
		}
		for id := range uint64(rapid.IntRange(1, 150).Draw(t, "steps")) {
			now += time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 6).Draw(t, "op") {
			case 0, 1, 2:
				deadline := now + time.Duration(rapid.IntRange(0, 300).Draw(t, "deadline"))*time.Millisecond
				admission, _ := s.Arrive(clock.Now{Mono: now}, id, deadline)
				if admission != Refuse && (s.Draining() || deadline <= now) {
					t.Fatal("admitted while draining or after the deadline")
				}
				switch admission {
				case Run:
					running++
				case Wait:
					waiting[id] = deadline
				}
			case 3:
				if running > 0 {
					running--
					applyGrants(s.Finish(clock.Now{Mono: now}, 10*time.Millisecond))
				}
			case 4:
				if running > 0 {
					running--
					applyGrants(s.Cancel(clock.Now{Mono: now}))
				}
			case 5:
				s.Drain(!s.Draining())
			case 6:
				if s.AcquireExtra() {
					running++
				}
			}
			if running > slotCount || s.Queued() > queueMax || s.Free() != slotCount-running || s.Queued() != len(waiting) {
				t.Fatalf("running %d, free %d, queued %d of %d", running, s.Free(), s.Queued(), len(waiting))
			}
		}
	})
}
