package dispatch

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/fleet/estimate"
	"github.com/verbenakeel/verbenakeel/fleet/link"
	"github.com/verbenakeel/verbenakeel/fleet/work"
)

// newRunningStep returns a simulation in which the tasks of one step run, one on each of three of four workers, with a declared
// duration, and a function that sets how far a task is after a time in milliseconds.
func newRunningStep(t *testing.T, declaredMs int64) (s *State, st *stage, progress func(index, percent int, ageMs int64)) {
	sim := newConnectedSimulation(t, 4)
	sim.submit(&work.Job{ID: jobID(1), Steps: []work.Step{{Count: 3, CPU: 500, MemMB: 10, EstMs: declaredMs, MaxPerWorker: 1}}})
	s = sim.state
	s.Step(sim.at(), Place{})
	st = s.jobs[jobID(1)].stages[0]
	assert.Equal(t, st.waiting, 0)
	return s, st, func(index, percent int, ageMs int64) {
		task := &st.tasks[index]
		task.phase, task.recorded, task.percent = running, true, percent
		task.startedMs, task.orderedMs, task.progressedMs = s.now.BootMs-ageMs, s.now.BootMs-ageMs, s.now.BootMs
		task.worker.lastReportMs = s.now.BootMs
		st.durationMs = 0
	}
}

// Guards against remaining work and objectives by the declared durations of turbine monitoring, which are off by up to 0.9,
// when the progress of tasks of the step shows their durations, and against durations of throttled runs.
func TestProgressTellsDurationOfTheStep(t *testing.T) {
	s, st, progress := newRunningStep(t, 400)
	before := st.job.objectiveMs
	progress(0, 25, 1000)
	progress(1, 24, 1000)
	progress(2, 0, 1000)
	ms := s.taskMs(st)
	assert.Assert(t, ms > 3000 && ms < 4500, "%d", ms)
	r := s.remainingWork(st.job)
	assert.Assert(t, r.spanMs > 3000 && st.job.objectiveMs > 2*before, "%+v, objective %d", r, st.job.objectiveMs)
	s.options.Durations = DurationsDeclared
	assert.Equal(t, s.taskMs(st), int64(400))
	s.options.Durations = DurationsLearned
	st.tasks[0].wasThrottled, st.tasks[1].wasThrottled, st.durationMs = true, true, 0
	assert.Equal(t, s.taskMs(st), int64(400))
}

// Guards against durations that are not learned from one job for the next, with a slow worker and throttled runs left out.
func TestDurationsAreLearnedForTheNextJob(t *testing.T) {
	s, st, progress := newRunningStep(t, 400)
	for i := range st.tasks {
		progress(i, 90, 2000)
	}
	st.tasks[2].worker.health.slowdown = 4
	st.tasks[0].checkpoint = "saved by this run"
	for i := range st.tasks {
		s.markTaskDone(st.tasks[i].worker, &st.tasks[i], st.tasks[i].run, true)
	}
	assert.Equal(t, len(st.samples), 2)
	e := s.durations.Duration(durationKey(st.job, 0), 400)
	assert.Assert(t, e.Weight > 0 && e.MeanMs > 450, "%+v", e)
}

// Guards against a sound worker that looks slow, and runs that are stopped over and over, because a declared duration is a
// tenth of the real one, and against a slow worker that is no longer found if the declared duration is ten times too long.
func TestWrongDeclaredDurationDoesNotHideOrInventSlowWorkers(t *testing.T) {
	for declaredMs, slow := range map[int64]bool{200: false, 20_000: true} {
		s, st, progress := newRunningStep(t, declaredMs)
		progress(0, 50, 1000)
		progress(1, 50, 1000)
		progress(2, 50, 1000)
		if slow {
			progress(2, 8, 2000)
		}
		w := st.tasks[2].worker
		s.moveSlowRuns(w)
		if slow {
			assert.Assert(t, w.health.slowdownFactor() > 3, "declared %d ms: slowdown %g", declaredMs, w.health.slowdown)
			assert.Equal(t, st.tasks[2].phase, stopping, "declared %d ms", declaredMs)
		} else {
			assert.Equal(t, w.health.slowdownFactor(), 1.0, "declared %d ms", declaredMs)
			assert.Equal(t, st.tasks[2].phase, running, "declared %d ms", declaredMs)
		}
	}
}

// Guards against a worker that looks slow because of the 3% of the tasks of music previews that take 7 times as long as
// their siblings, if another task of the step shows that the worker is sound.
func TestLongTaskDoesNotMakeItsWorkerSlow(t *testing.T) {
	s, st, progress := newRunningStep(t, 1000)
	progress(0, 50, 500)
	progress(1, 50, 500)
	progress(2, 10, 1000)
	w := st.tasks[2].worker
	st.samples = append(st.samples, durationSample{w, 1000})
	s.moveSlowRuns(w)
	assert.Equal(t, w.health.slowdownFactor(), 1.0)
	assert.Equal(t, st.tasks[2].phase, running)
}

// Guards against learned durations that serve fewer jobs than declared ones, with the burst of long best-effort jobs of
// turbine monitoring, whose declared durations are off by up to 0.9.
func TestLearnedDurationsServeMoreThanDeclared(t *testing.T) {
	results := map[string]served{}
	for _, source := range []string{"exact", "declared", "learned", "declared, by deadline"} {
		order := rankings[2]
		if source == "declared, by deadline" {
			order = rankings[0]
		}
		sum := served{}
		for seed := uint64(300); seed < 305; seed++ {
			jobs, l, _ := burstOfLongJobs(seed)
			rng, m, now := rand.New(rand.NewPCG(seed, 3)), estimate.New(), int64(0)
			for _, j := range jobs {
				declaredMs := max(int64(float64(j.taskMs)*(0.1+1.8*rng.Float64())), 1)
				observed := 0
				switch source {
				case "declared", "declared, by deadline":
					j.estimate = func(*loadJob) int64 { return declaredMs }
				case "learned":
					j.estimate = func(j *loadJob) int64 {
						k := estimate.Key{Queue: "long", Image: "i"}
						if n := len(j.samplesMs); observed == 0 && n >= j.tasks {
							observed, now = n, now+1
							m.Observe(k, declaredMs, estimate.Median(slices.Clone(j.samplesMs)), now)
						}
						return m.Duration(k, declaredMs).WithSiblings(declaredMs, slices.Clone(j.samplesMs)).MeanMs
					}
				}
			}
			l.run(jobs, order.rank, 100_000)
			c := countServed(jobs)
			sum.onTime, sum.late, sum.failed, sum.weight = sum.onTime+c.onTime, sum.late+c.late, sum.failed+c.failed, sum.weight+c.weight
		}
		results[source] = sum
		t.Logf("%s: %.0f on time, %.0f late, %.0f failed, %.0f core-seconds on time", source, sum.onTime, sum.late, sum.failed, sum.weight)
	}
	assert.Assert(t, results["learned"].onTime > results["declared"].onTime)
	assert.Assert(t, results["learned"].weight > results["declared"].weight)
}

// Guards against one faulty worker that reports a progress out of range: the work of its job became negative, so that all
// other jobs of the priority counted as on time, or overflowed.
func TestProgressOutOfRangeIsBounded(t *testing.T) {
	s, st, _ := newRunningStep(t, 400)
	for _, percent := range []int{math.MinInt, -1, 101, math.MaxInt} {
		for i := range st.tasks {
			s.updateRun(&st.tasks[i], link.Run{ProgressPercent: percent})
		}
		r := s.remainingWork(st.job)
		assert.Assert(t, r.coreMs >= 0 && r.coreMs <= r.wholeCoreMs && r.spanMs <= 400, "%d%%: %+v", percent, r)
	}
}

// Guards against an order or a move from a draining worker that differs by rounding from the one before durations were
// learned, where declared ones are used: 29% of 100 ms were 28 ms.
func TestDeclaredRemainingWorkIsExact(t *testing.T) {
	s, st, _ := newRunningStep(t, 100)
	s.options.Durations = DurationsDeclared
	for percent := range 101 {
		for _, declaredMs := range []int64{100, 333, 7000, 1 << 40} {
			st.step.EstMs = declaredMs
			want := 0.0
			for i := range st.tasks {
				st.tasks[i].percent = percent
				want += float64(declaredMs) * float64(100-percent) / 100 * float64(st.step.CPU) / 1000
			}
			assert.Equal(t, int64(s.remainingTaskMs(&st.tasks[0])), declaredMs*int64(100-percent)/100, "%d%% of %d ms", percent, declaredMs)
			assert.Equal(t, s.remainingWork(st.job).coreMs, want, "%d%% of %d ms", percent, declaredMs)
		}
	}
}
