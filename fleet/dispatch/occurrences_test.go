package dispatch

import (
	"fmt"
	"sort"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/fleet/work"
)

// Guards against decisions that differ between two runs of the same events: occurrences that are due at once are opened in
// the order of their jobs, which decides ties between them.
func TestDueOccurrencesAreOpenedInOrder(t *testing.T) {
	sim := newConnectedSimulation(t, 1)
	for i := range 30 {
		sim.submit(&work.Job{ID: jobID(i + 1), Repeat: 2, IntervalMs: 5000, StartAtMs: sim.at().WallMs, Steps: []work.Step{{Count: 1, CPU: 1, MemMB: 1, EstMs: 10}}})
	}
	opened := len(sim.state.stages)
	sim.now += 5000
	sim.state.now = sim.at()
	sim.state.openDueOccurrences()
	var ids []string
	for _, st := range sim.state.stages[opened:] {
		ids = append(ids, st.job.def.ID)
	}
	assert.Equal(t, len(ids), 30, fmt.Sprint(ids))
	assert.Assert(t, sort.StringsAreSorted(ids), "%v", ids)
}
