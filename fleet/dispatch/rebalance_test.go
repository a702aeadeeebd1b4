package dispatch

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/fleet/work"
)

// criticalJob returns a long-running, latency-critical job of an image.
func criticalJob(n, count int, image string, mayMiss int) *work.Job {
	return &work.Job{ID: jobID(n), Steps: []work.Step{{Count: count, CPU: 2500, MemMB: 100, EstMs: 400, LongRunning: true, TargetMs: 50,
		Image: image, MaxUnavailable: mayMiss}}}
}

// countMixedWorkers counts workers with latency-critical tasks that suffer interference from different best-effort
// images.
func (sim *simulation) countMixedWorkers() int {
	n := 0
	for _, sw := range sim.workers {
		kinds := map[byte]bool{}
		for name := range sw.runs {
			if s := sim.stepOf(name); s.TargetMs > 0 {
				kinds[s.Image[len(s.Image)-1]] = true
			}
		}
		if len(kinds) > 1 {
			n++
		}
	}
	return n
}

// submitBestEffort keeps submitting best-effort jobs of two images, so that the decider can update its model.
func (sim *simulation) submitBestEffort(n *int, steps int) {
	for i := range steps {
		if i%20 == 0 {
			*n++
			sim.submit(&work.Job{ID: jobID(*n), Steps: []work.Step{{Count: 4, CPU: 900, MemMB: 100, EstMs: 1500, BestEffort: true, Image: []string{"fa", "fb"}[*n%2]}}})
		}
		sim.advance()
	}
}

// Guards against a fleet on which every best-effort task interferes with some latency-critical task, because the
// latency-critical tasks were placed before their images were measured: they are moved or swapped until tasks with
// interference from the same best-effort images share workers. No more tasks of a step are down than it allows.
func TestCriticalTasksAreRebalanced(t *testing.T) {
	for _, tasks := range []int{1, 2} { // with two tasks per worker there is no free capacity, so tasks are swapped
		t.Run(fmt.Sprint(tasks), func(t *testing.T) {
			sim := newConnectedSimulation(t, 4)
			n := 0
			for i := range 4 * tasks {
				n++
				sim.submit(criticalJob(n, 1, []string{"s1a", "s2b"}[i%2], 1))
			}
			for i, sw := range sim.workers {
				sw.info.CPU = 5500
				for k := range tasks {
					sw.runs[work.TaskName{Job: jobID(1 + tasks*i + k)}.String()] = &simRun{run: 1, endsAt: neverEnds}
				}
			}
			// Each worker is recorded with tasks of both kinds.
			for i := range 4 {
				for k := range tasks {
					id := jobID(1 + tasks*i + k)
					sim.stored[id] = work.Encode(&work.Progress{State: work.Running, Workers: []string{sim.workers[i].instance},
						Stages: []work.StageProgress{{Tasks: []work.TaskProgress{{Run: 1, Worker: 1}}}}})
				}
			}
			if tasks == 1 { // one task of the other kind on each worker, and capacity for one more
				for i, sw := range sim.workers {
					sw.info.CPU = 8000
					n++
					sim.submit(criticalJob(n, 1, []string{"s2b", "s1a"}[i%2], 1))
				}
			}
			sim.electDecider()
			sim.submitBestEffort(&n, 100)
			assert.Assert(t, sim.countMixedWorkers() > 0, "the test starts with mixed workers")
			sim.submitBestEffort(&n, 1000)
			assert.Equal(t, sim.countMixedWorkers(), 0)
		})
	}
}

// Guards against more tasks of a step down than it allows (AVAIL): no task is moved while another task of its step is
// down.
func TestNoMoveWhileTaskOfStepIsDown(t *testing.T) {
	sim := newConnectedSimulation(t, 2)
	sim.submit(criticalJob(1, 2, "s1a", 1))
	for range 200 {
		sim.advance()
	}
	st := sim.state.jobs[jobID(1)].stages[0]
	assert.Assert(t, sim.state.movable(&st.tasks[0]))
	st.tasks[1].phase = waiting
	assert.Assert(t, !sim.state.movable(&st.tasks[0]))
	st.tasks[1].phase = running
	st.tasks[1].percent = 50
	assert.Assert(t, !sim.state.movable(&st.tasks[0]))
}

// Guards against latency-critical tasks that are stopped while the store is unavailable: they could not start again.
func TestNoMoveWithoutStore(t *testing.T) {
	sim := newConnectedSimulation(t, 2)
	s := sim.state
	s.now.BootMs += 60_000
	s.committedMs = s.now.BootMs - maxStoreAgeMs - 1
	next := s.rebalanceNext
	s.rebalance()
	assert.Equal(t, s.rebalanceNext, next)
	s.committedMs = s.now.BootMs
	s.rebalance()
	assert.Assert(t, s.rebalanceNext > next)
}
