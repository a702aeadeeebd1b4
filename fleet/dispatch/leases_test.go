package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/fleet/link"
	"github.com/verbenakeel/verbenakeel/fleet/work"
)

// startOneRun returns the task of a job of one long task whose run has begun.
func startOneRun(sim *simulation) *task {
	sim.submit(&work.Job{ID: jobID(1), Steps: []work.Step{{Count: 1, CPU: 1000, EstMs: 600_000}}})
	for range 20 {
		sim.advance()
	}
	return &sim.state.jobs[jobID(1)].stages[0].tasks[0]
}

// Guards against a run that is started elsewhere while it goes on (issue 45, TWICE): a side process that was started again, or whose worker
// was, may report a longer lease than this decider has granted, also for an incarnation that is known already.
func TestReportedLeaseIsAwaited(t *testing.T) {
	sim := newConnectedSimulation(t, 2)
	tk := startOneRun(sim)
	first := tk.worker
	var sw *simWorker
	for _, w := range sim.workers {
		if w.instance == first.instance {
			sw = w
		}
	}
	longest := sim.bounds.MaxLease.Milliseconds()
	info := sw.info
	sim.step(Reported{Instance: sw.instance, Report: &link.Report{SentMs: sim.now, Worker: &info, LeaseLeftMs: longest}})
	sw.connected, sw.disconnectedUntil = false, 1<<60
	sim.step(SideDisconnected{Instance: sw.instance})
	lost := sim.now
	for tk.worker == first && sim.now < lost+60_000 {
		sim.advance()
	}
	waited := sim.now - lost
	assert.Assert(t, waited >= longest, "given up after %d ms, the lease lasts %d ms", waited, longest)
	assert.Assert(t, waited <= longest+500, "given up after %d ms, the lease lasts %d ms", waited, longest)
}
