package dispatch

import (
	"fmt"
	"testing"

	"github.com/verbenakeel/verbenakeel/fleet/link"
	"github.com/verbenakeel/verbenakeel/fleet/work"
)

// BenchmarkDueOccurrences measures the cost of an event while occurrences of one job are due and wait in their second step, which can
// never be done: a placement pass, an order of 10 runs that end, and the record that follows. The cost may not grow with the
// number of occurrences that are due.
func BenchmarkDueOccurrences(b *testing.B) {
	for _, due := range []int{1000, 10_000, 40_000} {
		b.Run(fmt.Sprint(due), func(b *testing.B) {
			l := newCostLoad(15)
			j := &work.Job{ID: jobID(1_000_000), Queue: work.Queue{Name: "q", Service: "app", Priority: 1, Attempts: 3, Stretch: 2, TargetMs: 1000},
				Repeat: due, IntervalMs: 1000, StartAtMs: l.at().WallMs - int64(due)*1000, AcceptedMs: l.at().WallMs,
				Steps: []work.Step{{Count: 1, CPU: 1, MemMB: 1, EstMs: 1}, {Count: 1, CPU: 1, MemMB: 1, EstMs: 1, DependsOn: []int{0}, Requires: "nobody"}}}
			s := l.state
			s.Step(l.at(), JobSubmitted{Job: j})
			held := s.jobs[j.ID]
			w := s.sortedWorkers[0]
			number := int64(1 << 20)
			for b.Loop() {
				l.now++
				var ends []link.Completion
				for _, st := range held.stages {
					if len(ends) == 10 {
						break
					}
					if tk := &st.tasks[0]; st.index == 0 && tk.phase != done {
						number++
						ends = append(ends, link.Completion{Number: number, Task: tk.name().String(), Run: tk.run, Outcome: link.Done})
					}
				}
				s.handleCompletions(w, ends)
				s.Step(l.at(), Place{})
				s.markDirty(held)
				s.Step(l.at(), Committed{Batch: s.Collect()})
			}
		})
	}
}
