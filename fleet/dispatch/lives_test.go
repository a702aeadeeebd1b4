package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/fleet/link"
	"github.com/verbenakeel/verbenakeel/fleet/work"
)

// Guards against fences that fall, so that a worker refuses all orders for good (LOST): connections and lives under one decider are counted in
// the low part of the fence, and a connection that ends every second exhausts that in 18 hours. The fences of the next decider must be higher too.
func TestFenceNeverFalls(t *testing.T) {
	sim := newConnectedSimulation(t, 1)
	s, sw := sim.state, sim.workers[0]
	w := s.ensureWorker(sw.instance)
	last := s.fence(w)
	for range 1<<fenceSeqBits + 10 {
		s.Step(sim.at(), SideConnected{Instance: sw.instance})
		fence := s.fence(w)
		assert.Assert(t, fence >= last, "%d after %d", fence, last)
		last = fence
	}
	assert.Assert(t, s.FencesExhausted(), "nobody is told that delayed orders are no longer refused")
	next := New(sim.bounds, sim.epoch+1, sim.at(), sim.options)
	next.Step(sim.at(), SideConnected{Instance: sw.instance})
	assert.Assert(t, next.fence(next.ensureWorker(sw.instance)) > last, "the fence of the next decider is not higher")
}

// Guards against what is known of a run being applied to the run that the next life of its worker has begun anew: it works at its full CPU share
// (HARM), has made no progress, and was away (AVAIL).
func TestRunOfTheNextLifeBeginsAnew(t *testing.T) {
	sim := newConnectedSimulation(t, 1)
	s, sw := sim.state, sim.workers[0]
	sim.submit(&work.Job{ID: jobID(1), Steps: []work.Step{{Count: 1, CPU: 100, MemMB: 10, EstMs: 50_000, BestEffort: true}}})
	s.Step(sim.at(), Place{})
	s.Step(sim.at(), Committed{Batch: s.Collect()})
	tk := &s.jobs[jobID(1)].stages[0].tasks[0]
	w, info := tk.worker, sw.info
	report := func(listed bool, percent int) {
		reported := info
		rep := &link.Report{Worker: &reported, LeaseLeftMs: 4000, OrdersDone: w.ordersSent}
		if listed {
			rep.Listed, rep.Complete, rep.Fence = true, true, s.fence(w)
			rep.Runs = []link.Run{{Task: tk.name().String(), Run: tk.run, ProgressPercent: percent, Load: 50}}
		}
		s.Step(sim.at(), Reported{Instance: w.instance, Report: rep})
	}
	report(true, 1)
	sim.now += 20_000
	report(true, 100)
	assert.Assert(t, s.atWork(tk))
	tk.cpuShare, tk.sentCPUShare = 20, 20
	info.Incarnation.StartedMs++
	report(false, 0)
	assert.Assert(t, tk.worker == w, "the run may have begun anew")
	assert.Assert(t, !s.atWork(tk), "a run that ended with its worker counts as at work")
	assert.Equal(t, tk.sentCPUShare, fullCPUShare, "the share that was sent to the earlier life counts for the next one")
	report(true, 2)
	assert.Equal(t, tk.phase, running)
	assert.Equal(t, tk.startedMs, sim.now, "the run counts from its start on the earlier life")
	assert.Equal(t, tk.firstPercent, 2)
}
