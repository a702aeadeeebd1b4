package dispatch

import (
	"fmt"
	"sort"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/fleet/work"
)

// Guards against decisions that differ between two runs of the same events: occurrences that are due at once are opened in
// the order of their jobs, which decides ties between them.
func TestDueOccurrencesAreOpenedInOrder(t *testing.T) {
	sim := newConnectedSimulation(t, 1)
	for i := range 30 {
		sim.submit(&work.Job{ID: jobID(i + 1), Repeat: 2, IntervalMs: 5000, StartAtMs: sim.at().WallMs, Steps: []work.Step{{Count: 1, CPU: 1, MemMB: 1, EstMs: 10}}})
	}
	opened := len(sim.state.stages)
	sim.now += 5000
	sim.state.now = sim.at()
	sim.state.openDueOccurrences()
	var ids []string
	for _, st := range sim.state.stages[opened:] {
		ids = append(ids, st.job.def.ID)
	}
	assert.Equal(t, len(ids), 30, fmt.Sprint(ids))
	assert.Assert(t, sort.StringsAreSorted(ids), "%v", ids)
}

// overlappingJob returns a job of three overlapping occurrences, whose second step depends on the first.
func overlappingJob(sim *simulation) *work.Job {
	return &work.Job{ID: jobID(1), Repeat: 3, IntervalMs: 1000, StartAtMs: sim.at().WallMs,
		Steps: []work.Step{{Count: 2, CPU: 100, MemMB: 10, EstMs: 4000}, {Count: 2, CPU: 100, MemMB: 10, EstMs: 100, DependsOn: []int{0}}}}
}

// Guards against steps that never run, of a job that is shown as completed: the decider changes while occurrences overlap,
// and the stored progress does not name a step of which no task has started (review/2, MIXED).
func TestStepsOfOverlappingOccurrencesSurviveDeciderChange(t *testing.T) {
	sim := newConnectedSimulation(t, 2)
	j := overlappingJob(sim)
	sim.submit(j)
	occurrences := func() int {
		started := map[int]bool{}
		for _, sw := range sim.workers {
			for task := range sw.runs {
				name, _ := work.ParseTaskName(task)
				started[name.Occurrence] = true
			}
		}
		return len(started)
	}
	for range 2400 {
		if occurrences() == j.Repeat {
			break
		}
		sim.advance()
	}
	assert.Equal(t, occurrences(), j.Repeat, "all occurrences run their first step")
	sim.electDecider()
	for range 2400 {
		sim.advance()
	}
	sim.checkFinalStates(1)
}

// Guards against occurrences that a later decider leaves out: a record names only steps of which a task has started, and
// the clock of the next decider may be behind.
func TestUnnamedStepsAreOpenAfterRestore(t *testing.T) {
	sim := newConnectedSimulation(t, 1)
	j := overlappingJob(sim)
	j.Queue = work.Queue{Name: "q", Service: "app", Attempts: 3}
	j.StartAtMs += 60_000
	stored := &work.Progress{State: work.Running, Stages: []work.StageProgress{
		{Occurrence: 1, Step: 0, Done: []byte{0b01}, Tasks: []work.TaskProgress{{Index: 1, Run: 4}}},
		{Occurrence: 7, Step: 0, Done: []byte{0b11}},
		{Occurrence: 1, Step: 9, Done: []byte{0b11}},
	}}
	sim.step(JobSubmitted{Job: j, Progress: stored})
	restored := sim.state.jobs[j.ID]
	assert.Equal(t, restored.opened, 2)
	for k := range 2 {
		for i := range j.Steps {
			st := restored.stage(k, i)
			assert.Assert(t, st != nil, "occurrence %d, step %d", k, i)
			assert.Assert(t, st.occurrence == k && st.index == i)
		}
	}
	assert.Equal(t, restored.stage(1, 0).done, 1)
	assert.Equal(t, restored.stage(1, 0).tasks[1].run, 4)
	assert.Equal(t, restored.stage(0, 0).waiting, 2)
	for _, absent := range [][2]int{{2, 0}, {0, 2}, {-1, 0}, {0, -1}} {
		assert.Assert(t, restored.stage(absent[0], absent[1]) == nil, "%v", absent)
	}
	assert.Assert(t, !restored.state.Final())
}

// Guards against a damaged record that makes every decider in turn run out of memory: it names an occurrence that is years
// ahead, and all before it would be opened.
func TestDistantOccurrenceIsNotRestored(t *testing.T) {
	sim := newConnectedSimulation(t, 1)
	j := overlappingJob(sim)
	j.Queue = work.Queue{Name: "q", Service: "app", Attempts: 3}
	j.Repeat, j.IntervalMs = 1_000_000, 60_000
	stored := &work.Progress{State: work.Running, Stages: []work.StageProgress{
		{Occurrence: 30, Step: 0, Done: []byte{0b11}}, {Occurrence: 999_999, Step: 0, Done: []byte{0b11}}}}
	sim.step(JobSubmitted{Job: j, Progress: stored})
	assert.Equal(t, sim.state.jobs[j.ID].opened, 31)
}
