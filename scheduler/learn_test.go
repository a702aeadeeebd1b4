package scheduler

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/record"
)

// Guards against committing a task with short usage peaks by those peaks, which leaves capacity unused.
func TestNoisyTaskIsCommittedByItsMean(t *testing.T) {
	s := fleetState(2, "a")
	now := int64(60_000)
	for i := range 8 {
		j := batchJob("a", fmt.Sprint(i), 1)
		queue(s, now, j)
		st := confirm(s, now, s.Decide(now))[0]
		for k := range int64(15) {
			used := record.Resources{CPUMilli: 1500, MemoryMB: 1000}
			if k%5 < 2 {
				used.CPUMilli = 4000
			}
			s.Apply(now+2000*(k+1), UsageReported{Worker: st.Worker, MeasuredMs: now + 2000*k + 1,
				Samples: []Sample{{Task: st.Task, Attempt: 1, Used: used, SpeedMilli: 1000}}})
		}
		now += 31_000
		s.Apply(now, TaskEnded{record.End{Task: st.Task, Attempt: 1, Outcome: record.Finished, RanMs: 30_000}})
	}
	queue(s, now, batchJob("a", "last", 1))
	// The mean of two fifths of the samples at 4000 and the rest at 1500 millicores.
	size := confirm(s, now, s.Decide(now))[0].Size.CPUMilli
	assert.Assert(t, size > 2300 && size < 2700, "%d", size)
}
