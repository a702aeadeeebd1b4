package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/fleet/link"
	"github.com/verbenakeel/verbenakeel/fleet/work"
)

// Guards against delayed orders of an earlier connection or incarnation of a worker: the fence must rise with each
// connection, incarnation and decider, so that the worker refuses them.
func TestFenceRisesWithConnectionsIncarnationsAndDeciders(t *testing.T) {
	sim := newConnectedSimulation(t, 1)
	sw := sim.workers[0]
	last := sim.state.fence(sim.state.ensureWorker(sw.instance))
	rises := func(what string) {
		t.Helper()
		now := sim.state.fence(sim.state.ensureWorker(sw.instance))
		assert.Assert(t, now > last, "%s: %d after %d", what, now, last)
		last = now
	}
	sim.step(SideDisconnected{Instance: sw.instance})
	sim.step(SideConnected{Instance: sw.instance})
	rises("a new connection")
	info := sw.info
	info.Incarnation = link.Incarnation{ID: info.Incarnation.ID, StartedMs: info.Incarnation.StartedMs + 1}
	sim.step(Reported{Instance: sw.instance, Report: &link.Report{Worker: &info, LeaseLeftMs: 4000}})
	rises("a new incarnation under the same id")
	sim.electDecider()
	sim.step(SideConnected{Instance: sw.instance})
	rises("a new decider")
}

// Guards against a worker overcommitted by runs that are not accounted for: a worker that lists unknown runs gets no
// work until they have ended.
func TestWorkerWithUnknownRunsGetsNoWork(t *testing.T) {
	sim := newConnectedSimulation(t, 1)
	sw, s := sim.workers[0], sim.state
	report := func(runs ...link.Run) {
		info := sw.info
		sim.step(Reported{Instance: sw.instance, Report: &link.Report{Worker: &info, Listed: true, Complete: true, Fence: s.fence(s.ensureWorker(sw.instance)),
			OrdersDone: 1 << 40, LeaseLeftMs: 4000, Runs: runs}})
	}
	report(link.Run{Task: jobID(99) + ".0.0.0", Run: 3, ProgressPercent: 10})
	assert.Assert(t, !s.schedulable(s.ensureWorker(sw.instance)))
	sim.submit(&work.Job{ID: jobID(1), Steps: []work.Step{{Count: 1, CPU: 100, MemMB: 10, EstMs: 500}}})
	sim.step(Place{})
	assert.Equal(t, s.jobs[jobID(1)].active, 0)
	report()
	sim.step(Place{})
	assert.Equal(t, s.jobs[jobID(1)].active, 1)
}

// Guards against a task with two active runs (TWICE in seed 1 of the soak test): an unanswered start was carried out by
// the next incarnation of its worker under the same id, which had received no fence, while the task was started
// elsewhere as soon as that incarnation was known.
func TestUnansweredStartMayReachNextIncarnation(t *testing.T) {
	sim := newConnectedSimulation(t, 1)
	sw, s := sim.workers[0], sim.state
	sim.submit(&work.Job{ID: jobID(1), Steps: []work.Step{{Count: 1, CPU: 100, MemMB: 10, EstMs: 5000}}})
	s.Step(sim.at(), Place{})
	s.Step(sim.at(), Committed{Batch: s.Collect()})
	tk := &s.jobs[jobID(1)].stages[0].tasks[0]
	assert.Assert(t, tk.recorded && tk.phase == starting)
	info := sw.info
	info.Incarnation = link.Incarnation{ID: info.Incarnation.ID, StartedMs: info.Incarnation.StartedMs + 1}
	s.Step(sim.at(), Reported{Instance: sw.instance, Report: &link.Report{Worker: &info, LeaseLeftMs: 4000}})
	assert.Equal(t, tk.phase, starting, "the task was requeued although its start may still be carried out")
	s.Step(sim.at(), Reported{Instance: sw.instance, Report: &link.Report{Worker: &info, Listed: true, Complete: true, Fence: s.fence(s.ensureWorker(sw.instance)), OrdersDone: 1 << 40, LeaseLeftMs: 4000}})
	assert.Equal(t, tk.phase, waiting, "a list under the raised fence shows that the start was not carried out")
}

// Guards against a task with two active runs (TWICE in seed 1 of the soak test): the next incarnation of a worker under
// the same id answers a start before its first heartbeat, so that the answer seems to be one of the incarnation before. A
// run that the earlier incarnation listed may start again in the same way, by a delayed attempt of its start.
func TestAnsweredStartMayReachNextIncarnation(t *testing.T) {
	for _, listed := range []bool{false, true} {
		sim := newConnectedSimulation(t, 2)
		s := sim.state
		sim.submit(&work.Job{ID: jobID(1), Steps: []work.Step{{Count: 1, CPU: 100, MemMB: 10, EstMs: 5000}}})
		s.Step(sim.at(), Place{})
		s.Step(sim.at(), Committed{Batch: s.Collect()})
		tk := &s.jobs[jobID(1)].stages[0].tasks[0]
		w := tk.worker
		info := *w.info
		runs := []link.Run{{Task: tk.name().String(), Run: tk.run, ProgressPercent: 10}}
		report := func(rep *link.Report) {
			reported := info
			rep.Worker, rep.LeaseLeftMs, rep.OrdersDone = &reported, 4000, w.ordersSent
			s.Step(sim.at(), Reported{Instance: w.instance, Report: rep})
		}
		if listed {
			report(&link.Report{Listed: true, Complete: true, Fence: s.fence(w), Runs: runs})
			assert.Equal(t, tk.phase, running)
		}
		before := s.fence(w)
		info.Incarnation.StartedMs++
		report(&link.Report{})
		report(&link.Report{Listed: true, Complete: true, Fence: before})
		s.Step(sim.at(), Place{})
		assert.Assert(t, tk.worker == w && tk.run == 1, "the task was given up although the next incarnation may run it")
		report(&link.Report{Listed: true, Complete: true, Fence: s.fence(w), Runs: runs})
		assert.Assert(t, tk.worker == w && tk.phase == running, "the run that the next incarnation lists was given up")
		report(&link.Report{Listed: true, Complete: true, Fence: s.fence(w)})
		assert.Equal(t, tk.phase, waiting, "a list under the raised fence shows that the run has ended")
	}
}

// Guards against a start that is ordered twice (TWICE): a task was placed, given up and placed again before its record was
// stored. The worker refused the first order for lack of capacity and carried out the second, while the task was started
// elsewhere.
func TestTaskPlacedAgainBeforeStoreIsOrderedOnce(t *testing.T) {
	sim := newConnectedSimulation(t, 2)
	s := sim.state
	sim.submit(&work.Job{ID: jobID(1), Steps: []work.Step{{Count: 1, CPU: 100, MemMB: 10, EstMs: 5000}}})
	s.Step(sim.at(), Place{})
	tk := &s.jobs[jobID(1)].stages[0].tasks[0]
	first := tk.worker
	info := *first.info
	info.Incarnation.StartedMs++
	s.Step(sim.at(), Reported{Instance: first.instance, Report: &link.Report{Worker: &info, LeaseLeftMs: 4000}})
	s.Step(sim.at(), Place{})
	assert.Equal(t, tk.run, 2)
	starts := 0
	for _, o := range s.Step(sim.at(), Committed{Batch: s.Collect()}).Orders {
		starts += len(o.Orders.Starts)
	}
	assert.Equal(t, starts, 1)
}

// Guards against a task that is started elsewhere while its start is still unanswered on an open connection: the side
// process retries it, and a lease that it reports as over says nothing about a call that it has not made yet.
func TestUnansweredOrderOutlivesTheLease(t *testing.T) {
	sim := newConnectedSimulation(t, 1)
	s, sw := sim.state, sim.workers[0]
	sim.submit(&work.Job{ID: jobID(1), Steps: []work.Step{{Count: 1, CPU: 100, MemMB: 10, EstMs: 5000}}})
	s.Step(sim.at(), Place{})
	s.Step(sim.at(), Committed{Batch: s.Collect()})
	tk := &s.jobs[jobID(1)].stages[0].tasks[0]
	w := tk.worker
	assert.Assert(t, tk.orderNumber > w.ordersDone)
	report := func(ordersDone uint64) {
		info := sw.info
		s.Step(sim.at(), Reported{Instance: w.instance, Report: &link.Report{Worker: &info, UnresponsiveMs: 2 * maxUnresponsiveMs, OrdersDone: ordersDone}})
	}
	w.answeredReportMs = 0
	report(tk.orderNumber - 1)
	assert.Assert(t, tk.worker == w && tk.run == 1, "the task was given up while its start is unanswered")
	report(tk.orderNumber)
	assert.Equal(t, tk.phase, waiting)
}

// Guards against a run that is started elsewhere because the worker's list does not contain it, though the list was read
// before the worker answered its start.
func TestListFromBeforeTheAnswerDoesNotRequeue(t *testing.T) {
	sim := newConnectedSimulation(t, 1)
	s, sw := sim.state, sim.workers[0]
	sim.submit(&work.Job{ID: jobID(1), Steps: []work.Step{{Count: 1, CPU: 100, MemMB: 10, EstMs: 5000}}})
	s.Step(sim.at(), Place{})
	s.Step(sim.at(), Committed{Batch: s.Collect()})
	tk := &s.jobs[jobID(1)].stages[0].tasks[0]
	w := tk.worker
	report := func(ordersDone uint64) {
		info := sw.info
		s.Step(sim.at(), Reported{Instance: w.instance, Report: &link.Report{Worker: &info, Listed: true, Complete: true, Fence: s.fence(w), OrdersDone: ordersDone, LeaseLeftMs: 4000}})
	}
	report(tk.orderNumber - 1)
	assert.Assert(t, tk.worker == w && tk.run == 1, "the task was given up by a list from before its start was answered")
	report(tk.orderNumber)
	assert.Equal(t, tk.phase, waiting)
}

// Guards against tasks that run again after their run has ended (TWICE): the worker lists only some hundred ended runs at
// once, so that a run which is absent may be among those that are left out (review/5).
func TestRunAbsentFromCutListIsKept(t *testing.T) {
	sim := newConnectedSimulation(t, 1)
	s, sw := sim.state, sim.workers[0]
	sim.submit(&work.Job{ID: jobID(1), Steps: []work.Step{{Count: 2, CPU: 100, MemMB: 10, EstMs: 5000}}})
	s.Step(sim.at(), Place{})
	s.Step(sim.at(), Committed{Batch: s.Collect()})
	tasks := s.jobs[jobID(1)].stages[0].tasks
	w := tasks[0].worker
	report := func(complete bool, ends ...link.Completion) {
		info := sw.info
		s.Step(sim.at(), Reported{Instance: w.instance, Report: &link.Report{Worker: &info, Listed: true, Complete: complete, Fence: s.fence(w),
			OrdersDone: 1 << 40, LeaseLeftMs: 4000, Completions: ends}})
	}
	end := func(number int64, tk *task) link.Completion {
		return link.Completion{Number: number, Task: tk.name().String(), Run: 1, Outcome: link.Done}
	}
	report(false, end(1, &tasks[0]))
	assert.Equal(t, tasks[0].phase, done)
	assert.Assert(t, tasks[1].worker == w && tasks[1].run == 1, "the task was given up by a list that is cut")
	report(false, end(2, &tasks[1]))
	assert.Equal(t, tasks[1].phase, done)

	sim.submit(&work.Job{ID: jobID(2), Steps: []work.Step{{Count: 1, CPU: 100, MemMB: 10, EstMs: 5000}}})
	s.Step(sim.at(), Place{})
	s.Step(sim.at(), Committed{Batch: s.Collect()})
	tk := &s.jobs[jobID(2)].stages[0].tasks[0]
	report(false)
	assert.Assert(t, tk.worker == w)
	report(true)
	assert.Equal(t, tk.phase, waiting, "a complete list shows that the run is not there")
}
