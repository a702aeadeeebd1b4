package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/fleet/work"
)

// failingMs is how long a run takes until it fails.
const failingMs = 300

// failingJob returns a job of the first priority whose runs all fail.
func (sim *simulation) failingJob(n, tasks int) *work.Job {
	id := jobID(n)
	sim.failing[id] = true
	return &work.Job{ID: id, Queue: work.Queue{Name: "lookup", Service: "app", Attempts: 2, Stretch: 1.5, TargetMs: 250},
		Steps: []work.Step{{Count: tasks, CPU: 240, MemMB: 480, EstMs: failingMs}}}
}

// report returns a job of a lower priority.
func report(n int, s work.Step) *work.Job {
	return &work.Job{ID: jobID(n), Queue: work.Queue{Name: "report", Service: "app", Priority: 2, Attempts: 3, Stretch: 2, TargetMs: 1000}, Steps: []work.Step{s}}
}

// newCalmSimulation returns a simulation without faults, in which the rule on LOST is asked from now on.
func newCalmSimulation(t *testing.T, workers int) *simulation {
	sim := newConnectedSimulation(t, workers)
	sim.faultFree, sim.soundTasks, sim.listedEnds = true, true, 500
	sim.standstills.calmFromMs = sim.now
	return sim
}

// run advances the simulation by a time.
func (sim *simulation) run(ms int64) {
	for until := sim.now + ms; sim.now < until; {
		sim.advance()
	}
}

// Guards against jobs that stand still on idle workers (review/11, LOST): runs that fail by the fault of their jobs put all workers into
// quarantine, and the one task that each of them takes after it keeps others out until it has ended, or fails again. The rule is asked of
// every accepted job.
func TestJobsGoOnBesideFailingJobs(t *testing.T) {
	const workers = 11
	steps := map[string]work.Step{
		"long":         {Count: workers + 5, CPU: 1000, MemMB: 100, EstMs: 80_000},
		"short":        {Count: 8, CPU: 1000, MemMB: 100, EstMs: 2700},
		"long running": {Count: 6, CPU: 200, MemMB: 100, EstMs: 400, LongRunning: true, TargetMs: 50, Image: "sa"},
		"best effort":  {Count: 16, CPU: 500, MemMB: 100, EstMs: 20_000, BestEffort: true, Image: "fa"},
		"gang":         {Count: 2 * workers, CPU: 300, MemMB: 100, EstMs: 20_000, Gang: true},
		"one label":    {Count: 4, CPU: 300, MemMB: 100, EstMs: 20_000, Requires: "gold"},
	}
	for _, failing := range []struct{ jobs, tasks int }{{2, 36}, {60, 6}, {60, 2}, {60, 1}} {
		for name, step := range steps {
			t.Run(fmt.Sprintf("%d jobs of %d failing tasks, %s", failing.jobs, failing.tasks, name), func(t *testing.T) {
				t.Parallel()
				sim := newCalmSimulation(t, workers)
				sim.requireLabel("gold", sim.workers[0])
				sim.run(1000)
				sim.standstills.calmFromMs = sim.now
				n := 0
				for range failing.jobs {
					n++
					sim.submit(sim.failingJob(n, failing.tasks))
				}
				sim.run(1000)
				n++
				sim.submit(report(n, step))
				for range 5 {
					sim.run(2000)
					n++
					sim.submit(report(n, work.Step{Count: 6, CPU: 240, MemMB: 480, EstMs: 640}))
				}
				sim.run(20_000)
				assert.Assert(t, sim.standstills.judged > 0)
				for i := failing.jobs + 2; i <= n; i++ {
					assert.Assert(t, sim.hasEnded(jobID(i)), "job %d has not ended", i)
				}
			})
		}
	}
}

// Guards against the same where runs of a job make no progress: each is stopped, and two of them put a worker into quarantine.
func TestJobsGoOnBesideStuckJobs(t *testing.T) {
	const workers = 11
	sim := newCalmSimulation(t, workers)
	for n := 1; n <= 4; n++ {
		j := report(n, work.Step{Count: 3 * workers, CPU: 240, MemMB: 480, EstMs: 1000})
		sim.stuck[j.ID] = true
		sim.submit(j)
	}
	sim.run(4000)
	quarantined := 0
	for _, w := range sim.state.sortedWorkers {
		if sim.state.unavailability(w) == ObstacleQuarantined {
			quarantined++
		}
	}
	assert.Equal(t, quarantined, workers)
	for n := 5; n <= 14; n++ {
		sim.submit(report(n, work.Step{Count: 6, CPU: 240, MemMB: 480, EstMs: 640}))
		sim.run(2000)
	}
	sim.run(15_000)
	for n := 5; n <= 14; n++ {
		assert.Assert(t, sim.hasEnded(jobID(n)), "job %d has not ended", n)
	}
}

// Guards against the same under random jobs of which many fail everywhere, some tasks fail by themselves and all kinds of steps come.
func TestJobsGoOnBesideRandomFailingJobs(t *testing.T) {
	seeds := simulatedSeeds(nil)
	judged := make([]int, len(seeds))
	t.Run("seeds", func(t *testing.T) {
		for i, seed := range seeds {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				rng := rand.New(rand.NewPCG(seed, 11))
				sim := newCalmSimulation(t, 6)
				sim.rng, sim.soundTasks = rand.New(rand.NewPCG(seed, 12)), seed%2 == 0
				for n := 1; sim.now < 100_000+30_000; {
					if rng.IntN(8) == 0 {
						j := sim.randomJob(n)
						sim.failing[j.ID] = rng.IntN(2) == 0
						sim.submit(j)
						n++
					}
					if rng.IntN(100) == 0 {
						for range rng.IntN(20) {
							sim.submit(sim.failingJob(n, 1+rng.IntN(6)))
							n++
						}
					}
					sim.advance()
				}
				sim.run(20_000)
				judged[i] = sim.standstills.judged
			})
		}
	})
	assert.Assert(t, slices.Max(judged) > 0)
}

// Guards against a broken worker that gets much work: it fails every run, and each run that fails is one attempt less for its task.
func TestBrokenWorkerGetsLittleWork(t *testing.T) {
	for _, broken := range []int{1, 2} {
		for _, step := range []work.Step{{Count: 6, EstMs: 640}, {Count: 6, EstMs: 2700}, {Count: 6, EstMs: 6800}, {Count: 1, EstMs: 640}} {
			t.Run(fmt.Sprintf("%d broken, %d tasks of %d ms", broken, step.Count, step.EstMs), func(t *testing.T) {
				t.Parallel()
				sim := newCalmSimulation(t, 11)
				for _, sw := range sim.workers[:broken] {
					sim.broken[sw.instance] = true
				}
				step.CPU, step.MemMB = 240, 480
				for n := 1; n <= 60; n++ {
					j := report(n, step)
					j.Queue.Attempts = 2 // so that two broken workers fail a whole step of one task
					sim.submit(j)
					sim.run(500)
				}
				sim.run(25_000)
				sound, bad := 0, 0
				for i, sw := range sim.workers {
					if i < broken {
						bad = max(bad, sim.startsOn[sw.instance])
					} else {
						sound += sim.startsOn[sw.instance]
					}
				}
				t.Logf("%d starts on a broken worker, %d on %d sound ones", bad, sound, 11-broken)
				// Three failures show that it is broken. Then one task tests it every five seconds; more start before the first has failed.
				assert.Assert(t, bad <= 20, "%d starts on a broken worker", bad)
				for n := 1; n <= 60; n++ {
					assert.Assert(t, sim.hasEnded(jobID(n)))
				}
			})
		}
	}
}

// Guards against a worker on trial that stays closed because its one task shows nothing (LOST): it gets no CPU, waits for the rest of its
// gang, works for hours, or is on a worker that was out of reach. Another job that only this worker may run goes on all the same.
func TestTrialThatShowsNothingKeepsNobodyOut(t *testing.T) {
	occupants := map[string]work.Step{
		"hours":       {Count: 1, CPU: 100, MemMB: 10, EstMs: 4 * 3600 * 1000},
		"best effort": {Count: 1, CPU: 100, MemMB: 10, EstMs: 600_000, BestEffort: true, Image: "fa"},
		"gang":        {Count: 1, CPU: 100, MemMB: 10, EstMs: 600_000, Gang: true},
		"starts":      {Count: 1, CPU: 100, MemMB: 10, EstMs: 600_000, LongRunning: true},
	}
	for name, step := range occupants {
		for _, cutOffMs := range []int64{0, 2500} {
			t.Run(fmt.Sprintf("%s, out of reach for %d ms", name, cutOffMs), func(t *testing.T) {
				sim := newCalmSimulation(t, 1)
				w := sim.state.sortedWorkers[0]
				w.health.stalls = failuresToQuarantine
				sim.submit(report(1, step))
				for i := 0; i < 40 && sim.state.jobs[jobID(1)].active == 0; i++ {
					sim.advance()
				}
				assert.Equal(t, w.health.trialTasks, 1)
				if r := sim.workers[0].runs[jobID(1)+".0.0.0"]; r != nil {
					r.beganAt, r.endsAt = sim.now, sim.now+1_000_000_000 // no report shows any progress
				}
				sim.run(minTrialStepMs + 500)
				if cutOffMs > 0 {
					sim.workers[0].connected = false
					sim.step(SideDisconnected{Instance: w.instance})
					sim.workers[0].disconnectedUntil = sim.now + cutOffMs
					sim.run(cutOffMs + 500)
				}
				sim.submit(report(2, work.Step{Count: 2, CPU: 100, MemMB: 10, EstMs: 400}))
				if step.BestEffort || step.Gang {
					assert.Equal(t, w.health.trialLimit(), 1, "a task without progress shows that its worker is sound")
				}
				sim.run(standstillMs)
				assert.Assert(t, sim.hasEnded(jobID(2)) || sim.state.jobs[jobID(2)].active > 0)
				sim.run(10_000)
				assert.Assert(t, sim.hasEnded(jobID(2)))
			})
		}
	}
}

// Guards against a sound worker on trial that stays closed while long tasks work on it, and against a broken one that gets many long tasks
// before the first of them fails at its end.
func TestTrialWidensWithWork(t *testing.T) {
	for _, c := range []struct {
		taskMs, workedMs int64
		limit            int
	}{{300, 0, 1}, {300, 1900, 1}, {300, 2000, 2}, {300, 4000, 4}, {6800, 3300, 1}, {6800, 3400, 2}, {80_000, 4900, 1}, {80_000, 5000, 2}, {80_000, 20_000, 16}, {1 << 40, 1 << 40, 1 << maxTrialShift}} {
		var h health
		h.recordWork(1000, c.taskMs)
		h.recordWork(1000+c.workedMs, c.taskMs)
		assert.Equal(t, h.trialLimit(), c.limit, "tasks of %d ms, one at work for %d ms", c.taskMs, c.workedMs)
	}
	sim := newCalmSimulation(t, 1)
	sim.state.sortedWorkers[0].health.stalls = failuresToQuarantine
	sim.submit(report(1, work.Step{Count: 16, CPU: 100, MemMB: 10, EstMs: 400_000}))
	sim.run(25_000)
	assert.Equal(t, len(sim.workers[0].runs), 16)
}

// Guards against an accusation that outlives its reason: a step that has failed on several workers does not count against them, and counts
// again once one of its tasks has succeeded, as then the workers are at fault.
func TestFailuresOfAStepThatFailsEverywhere(t *testing.T) {
	sim := newCalmSimulation(t, workersToBlameStage+1)
	s := sim.state
	sim.submit(report(1, work.Step{Count: 40, CPU: 100, MemMB: 10, EstMs: 600_000}))
	st := s.jobs[jobID(1)].stages[0]
	for _, w := range s.sortedWorkers[:workersToBlameStage-1] {
		for range failuresToQuarantine {
			s.recordFailure(w, st)
		}
		assert.Equal(t, s.unavailability(w), ObstacleQuarantined)
	}
	s.recordFailure(s.sortedWorkers[workersToBlameStage-1], st)
	for _, w := range s.sortedWorkers {
		assert.Equal(t, s.unavailability(w), noObstacle, "%s is blamed for a step that fails everywhere", w.instance)
	}
	st.recordSuccess()
	s.recordFailure(s.sortedWorkers[0], st)
	assert.Equal(t, s.unavailability(s.sortedWorkers[0]), ObstacleQuarantined)
}

// Guards against a job that needs the adviser's permission and stands still (LOST): all workers are in quarantine, and the adviser is
// not asked about any of them before the job may use them.
func TestAdvisedJobUsesDistrustedWorkersInTime(t *testing.T) {
	sim := newCalmSimulation(t, 3)
	sim.adviser = newSimAdviser(1500, 20)
	for _, w := range sim.state.sortedWorkers {
		w.health.stalls = failuresToQuarantine
		w.health.quarantine(sim.now, false)
	}
	sim.run(100)
	j := report(1, work.Step{Count: 2, CPU: 100, MemMB: 10, EstMs: 600_000})
	j.Queue.Advice = sim.adviser.advice()
	sim.submit(j)
	sim.run(standstillMs)
	assert.Assert(t, sim.state.jobs[jobID(1)].active > 0)
}

// Guards against a move to a distrusted worker: only placement may use one for a stage that has waited for long.
func TestOnlyPlacementUsesDistrustedWorkers(t *testing.T) {
	sim := newCalmSimulation(t, 1)
	sim.state.sortedWorkers[0].health.quarantine(sim.now+5000, false)
	sim.run(100)
	sim.submit(report(1, work.Step{Count: 2, CPU: 3000, MemMB: 10, EstMs: 400, LongRunning: true}))
	sim.run(standstillMs)
	st := sim.state.jobs[jobID(1)].stages[0]
	assert.Equal(t, st.job.active, 1, "the worker has room for one task")
	assert.Assert(t, !st.overdue)
}
