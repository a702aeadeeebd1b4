package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/fleet/link"
	"github.com/verbenakeel/verbenakeel/fleet/work"
)

// Guards against orders of an earlier connection or life of a worker that are carried out late: the fence must rise with each
// connection, life and decider, so that the worker refuses them.
func TestFenceRisesWithConnectionsLivesAndDeciders(t *testing.T) {
	w := settleWorld(t, 1)
	sw := w.workers[0]
	last := w.state.fence(w.state.ensureWorker(sw.instance))
	rises := func(what string) {
		t.Helper()
		now := w.state.fence(w.state.ensureWorker(sw.instance))
		assert.Assert(t, now > last, "%s: %d after %d", what, now, last)
		last = now
	}
	w.step(SideLost{Instance: sw.instance})
	w.step(SideConnected{Instance: sw.instance})
	rises("a new connection")
	info := sw.info
	info.Life = link.Life{ID: info.Life.ID, BornMs: info.Life.BornMs + 1}
	w.step(Reported{Instance: sw.instance, Report: &link.Report{Worker: &info, LeaseLeftMs: 4000}})
	rises("a new life under the old id")
	w.elect()
	w.step(SideConnected{Instance: sw.instance})
	rises("a new decider")
}

// Guards against a worker over its capacity by runs that are not accounted for: one that lists runs of no task gets no work until
// they have ended.
func TestWorkerWithUnknownRunsGetsNoWork(t *testing.T) {
	w := settleWorld(t, 1)
	sw, s := w.workers[0], w.state
	report := func(runs ...link.Run) {
		info := sw.info
		w.step(Reported{Instance: sw.instance, Report: &link.Report{Worker: &info, Listed: true, Fence: s.fence(s.ensureWorker(sw.instance)),
			OrdersDone: 1 << 40, LeaseLeftMs: 4000, Runs: runs}})
	}
	report(link.Run{Task: jobID(99) + ".0.0.0", Run: 3, Percent: 10})
	assert.Assert(t, !s.schedulable(s.ensureWorker(sw.instance)))
	w.submit(&work.Job{ID: jobID(1), Steps: []work.Step{{Count: 1, CPU: 100, MemMB: 10, EstMs: 500}}})
	w.step(Place{})
	assert.Equal(t, s.jobs[jobID(1)].active, 0)
	report()
	w.step(Place{})
	assert.Equal(t, s.jobs[jobID(1)].active, 1)
}

// Guards against a task that runs twice (TWICE in seed 1 of the soak): a start without an answer was carried out by the next life of
// its worker under the old id, which has seen no fence, and the task was started elsewhere as soon as that life was known.
func TestUnansweredStartMayReachTheNextLife(t *testing.T) {
	w := settleWorld(t, 1)
	sw, s := w.workers[0], w.state
	w.submit(&work.Job{ID: jobID(1), Steps: []work.Step{{Count: 1, CPU: 100, MemMB: 10, EstMs: 5000}}})
	s.Step(w.at(), Place{})
	s.Step(w.at(), Committed{Batch: s.Collect()})
	tk := &s.jobs[jobID(1)].stages[0].tasks[0]
	assert.Assert(t, tk.recorded && tk.phase == starting)
	info := sw.info
	info.Life = link.Life{ID: info.Life.ID, BornMs: info.Life.BornMs + 1}
	s.Step(w.at(), Reported{Instance: sw.instance, Report: &link.Report{Worker: &info, LeaseLeftMs: 4000}})
	assert.Equal(t, tk.phase, starting, "the task is free although its start may still be carried out")
	s.Step(w.at(), Reported{Instance: sw.instance, Report: &link.Report{Worker: &info, Listed: true, Fence: s.fence(s.ensureWorker(sw.instance)), OrdersDone: 1 << 40, LeaseLeftMs: 4000}})
	assert.Equal(t, tk.phase, waiting, "a list under the raised fence shows that it was not")
}
