package dispatch

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/fleet/work"
)

// serving returns a lasting job of an image.
func servingJob(n, count int, image string, mayMiss int) *work.Job {
	return &work.Job{ID: jobID(n), Steps: []work.Step{{Count: count, CPU: 2500, MemMB: 100, EstMs: 400, Lasting: true, TargetMs: 50,
		Image: image, MayMiss: mayMiss}}}
}

// mixed counts workers on which tasks serve that different fillers press.
func (w *world) mixed() int {
	n := 0
	for _, sw := range w.workers {
		kinds := map[byte]bool{}
		for name := range sw.runs {
			if s := w.stepOf(name); s.TargetMs > 0 {
				kinds[s.Image[len(s.Image)-1]] = true
			}
		}
		if len(kinds) > 1 {
			n++
		}
	}
	return n
}

// fill keeps fillers of two images coming, which the decider learns from.
func (w *world) fill(n *int, steps int) {
	for i := range steps {
		if i%20 == 0 {
			*n++
			w.submit(&work.Job{ID: jobID(*n), Steps: []work.Step{{Count: 4, CPU: 900, MemMB: 100, EstMs: 1500, Filler: true, Image: []string{"fa", "fb"}[*n%2]}}})
		}
		w.advance()
	}
}

// Guards against a fleet on which every filler presses someone (load: fillers of two images, serving tasks that came mixed
// because nothing was known of their images): serving tasks are moved, or change places, until those that the same fillers
// press share workers. No more tasks of a step are away than it allows.
func TestServingTasksAreRegrouped(t *testing.T) {
	for _, tasks := range []int{1, 2} { // with two tasks a worker there is no free room, so tasks change places
		t.Run(fmt.Sprint(tasks), func(t *testing.T) {
			w := settleWorld(t, 4)
			n := 0
			for i := range 4 * tasks {
				n++
				w.submit(servingJob(n, 1, []string{"s1a", "s2b"}[i%2], 1))
			}
			for i, sw := range w.workers {
				sw.info.CPU = 5500
				for k := range tasks {
					sw.runs[work.TaskName{Job: jobID(1 + tasks*i + k)}.String()] = &simRun{run: 1, lease: w.now + 4000, endsAt: lasts}
				}
			}
			// Each worker has tasks of both kinds on record.
			for i := range 4 {
				for k := range tasks {
					id := jobID(1 + tasks*i + k)
					w.stored[id] = work.Encode(&work.Progress{State: work.Running, Workers: []string{w.workers[i].instance},
						Stages: []work.StageProgress{{Tasks: []work.TaskProgress{{Run: 1, Worker: 1}}}}})
				}
			}
			if tasks == 1 { // one more of the other kind on each, and room for one task beside
				for i, sw := range w.workers {
					sw.info.CPU = 8000
					n++
					w.submit(servingJob(n, 1, []string{"s2b", "s1a"}[i%2], 1))
				}
			}
			w.elect()
			w.fill(&n, 100)
			assert.Assert(t, w.mixed() > 0, "the test begins with mixed workers")
			w.fill(&n, 1000)
			assert.Equal(t, w.mixed(), 0)
		})
	}
}

// Guards against more tasks of a step away than it allows (AVAIL): nothing is moved while another task of it is away.
func TestNothingIsMovedWhileATaskOfItsStepIsAway(t *testing.T) {
	w := settleWorld(t, 2)
	w.submit(servingJob(1, 2, "s1a", 1))
	for range 200 {
		w.advance()
	}
	st := w.state.jobs[jobID(1)].stages[0]
	assert.Assert(t, w.state.movable(&st.tasks[0]))
	st.tasks[1].phase = waiting
	assert.Assert(t, !w.state.movable(&st.tasks[0]))
	st.tasks[1].phase = running
	st.tasks[1].percent = 50
	assert.Assert(t, !w.state.movable(&st.tasks[0]))
}

// Guards against serving tasks that are stopped while the store is away: they could not start again.
func TestNothingIsMovedWithoutTheStore(t *testing.T) {
	w := settleWorld(t, 2)
	s := w.state
	s.now.BootMs += 60_000
	s.committedMs = s.now.BootMs - maxStoreAgeMs - 1
	next := s.rebalanceNext
	s.rebalance()
	assert.Equal(t, s.rebalanceNext, next)
	s.committedMs = s.now.BootMs
	s.rebalance()
	assert.Assert(t, s.rebalanceNext > next)
}
