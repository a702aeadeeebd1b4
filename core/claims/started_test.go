package claims

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/verbenakeel/verbenakeel/core/clock"
	_ "github.com/verbenakeel/verbenakeel/testkit/fixedseed"
)

// Guards against a second start of a transmission, a start after it was excluded, and a table that grows without bound.
func TestStartedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxCount, maxBytes = 8, 100
		s := NewStartTable[string](maxCount, maxBytes)
		now := time.Duration(0)
		deadline := make(map[string]time.Duration)
		allowed, excluded := make(map[string]bool), make(map[string]bool)
		for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond
			id := fmt.Sprint("s", rapid.IntRange(i/20, i/20+6).Draw(t, "id"))
			if _, ok := deadline[id]; !ok {
				deadline[id] = now + 2*time.Second
			}
			switch rapid.IntRange(0, 4).Draw(t, "op") {
			case 0:
				// The side process refuses an expired transmission without asking the table.
				if now > deadline[id] {
					continue
				}
				state, _ := s.Begin(clock.Now{Mono: now}, id, deadline[id])
				if state == StartNew && (allowed[id] || excluded[id]) {
					t.Fatalf("%s may start again", id)
				}
				allowed[id] = allowed[id] || state == StartNew
			case 1:
				if state, _ := s.Exclude(clock.Now{Mono: now}, id, deadline[id]); state == StartExcluded && now <= deadline[id] {
					if allowed[id] {
						t.Fatalf("%s is reported as not started", id)
					}
					excluded[id] = true
				}
			case 2:
				s.Answered(id, "answer", 60)
			case 3:
				s.Lost(id)
			}
			if s.Len() > maxCount || s.bytes > maxBytes || s.bytes < 0 {
				t.Fatalf("%d transmissions, %d bytes", s.Len(), s.bytes)
			}
		}
	})
}
