package scheduler

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/record"
)

// Guards against lending capacity to long tasks while many short tasks of another customer wait, and against starving
// the customer with the long tasks.
func TestLentCapacityGoesToShortTasksFirst(t *testing.T) {
	s := fleetState(1, "short", "long")
	s.workerOrder[0].startWindow = maxStartWindow
	long, short := batchJob("long", "j", 20), batchJob("short", "j", 20)
	long.Size.CPUMilli, long.RunMs = 2000, 600_000
	for _, j := range []record.Job{long, short} {
		s.classOf(60_000, &j).measured = minSizeTasks
		queue(s, 60_000, j)
	}
	run(s, 60_000, 60_500)
	assert.Equal(t, s.customers["long"].used.CPUMilli, int64(2000))
	assert.Equal(t, s.customers["short"].used.CPUMilli, int64(14_000))
}
