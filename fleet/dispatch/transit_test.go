package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/fleet/work"
)

// Guards against a task that runs on two workers (issue 45, TWICE): the connection ends before the start of a run is answered. The worker may
// have restarted under its id meanwhile and carried the start out with a deadline by the earlier life's clock, so that the run goes on for
// the longest lease and not for the one that was granted.
func TestUnansweredStartIsAwaitedForTheLongestLease(t *testing.T) {
	sim := newConnectedSimulation(t, 2)
	sim.submit(&work.Job{ID: jobID(1), Steps: []work.Step{{Count: 1, CPU: 1000, EstMs: 600_000}}})
	tk := &sim.state.jobs[jobID(1)].stages[0].tasks[0]
	ordered := func() bool { return tk.worker != nil && tk.recorded && tk.orderNumber > tk.worker.ordersDone }
	for range 100 {
		if sim.advance(); ordered() {
			break
		}
	}
	assert.Assert(t, ordered(), "the start was not ordered, or answered at once")
	first := tk.worker
	for _, sw := range sim.workers {
		if sw.instance == first.instance {
			sw.connected, sw.disconnectedUntil = false, 1<<60
		}
	}
	sim.step(SideDisconnected{Instance: first.instance})
	lost, longest := sim.now, sim.bounds.MaxLease.Milliseconds()
	for tk.worker == first && sim.now < lost+60_000 {
		sim.advance()
	}
	assert.Assert(t, sim.now-lost >= longest, "given up after %d ms, the lease may last %d ms", sim.now-lost, longest)
}
