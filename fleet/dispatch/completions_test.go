package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/fleet/link"
	"github.com/verbenakeel/verbenakeel/fleet/work"
)

// Guards against stored progress that grows with each failed run of a long-running task, until the store refuses it, also where an earlier
// version has stored many.
func TestFailuresOfLongRunningTasksAreNotKept(t *testing.T) {
	sim := newConnectedSimulation(t, 1)
	j := &work.Job{ID: jobID(1), Steps: []work.Step{{Count: 1, CPU: 100, MemMB: 10, EstMs: 400, LongRunning: true}}}
	stored := make([]int, 5000)
	for i := range stored {
		stored[i] = i + 1
	}
	sim.stored[j.ID] = work.Encode(&work.Progress{State: work.Running, Stages: []work.StageProgress{{Tasks: []work.TaskProgress{{Run: len(stored), Failed: stored}}}}})
	sim.submit(j)
	held := sim.state.jobs[j.ID]
	tk := &held.stages[0].tasks[0]
	assert.Equal(t, tk.run, len(stored))
	w := sim.state.workers[sim.workers[0].instance]
	for run := range 1000 {
		sim.state.handleCompletion(w, tk, link.Completion{Task: tk.name().String(), Run: run + 1, Outcome: link.Failed})
	}
	assert.Assert(t, held.progressBytes() < 100, "the progress takes %d bytes", held.progressBytes())
	assert.Equal(t, held.state, work.Running)
}

// Guards against a long task without an estimate that is stopped again and again because it takes longer from one percent to the next than the
// longest stall timeout.
func TestSlowProgressIsNoStallInTheEnd(t *testing.T) {
	for _, percentMs := range []int64{30_000, 60_000, 20 * 60_000} { // tasks of 50 minutes, 100 minutes and 33 hours
		s, st, progress := newRunningStep(t, 0)
		tk := &st.tasks[0]
		progress(0, 1, percentMs)
		stops := 0
		for stalled := true; stalled && stops < 20; {
			tk.progressedMs = s.now.BootMs - percentMs
			if stalled = s.stalled(tk.worker, tk); stalled {
				tk.stalls++
				stops++
			}
		}
		assert.Assert(t, stops > 0 && stops <= maxStallShift, "stopped %d times with a percent in %d ms", stops, percentMs)
	}
}
