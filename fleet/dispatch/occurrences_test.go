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

// maxRecordBytes is the size above which the store refuses a record.
const maxRecordBytes = 256 << 10

// Guards against a scheduled job whose stored progress outgrows the store's limit, so that no decider can store anything any
// more, and against occurrences that run again, or never, after the next decider has read the shorter form.
func TestProgressOfManyOccurrencesFitsARecord(t *testing.T) {
	const ended, open, gap = 10_000, 3, 4321
	sim := newConnectedSimulation(t, 1)
	j := &work.Job{ID: jobID(1), Repeat: ended + open, IntervalMs: 1000, StartAtMs: sim.at().WallMs - (ended+open)*1000,
		Queue: work.Queue{Name: "q", Service: "app", Attempts: 3}}
	for i := range 4 {
		j.Steps = append(j.Steps, work.Step{Count: 2, CPU: 1 << 30, MemMB: 10, EstMs: 100})
		if i > 0 {
			j.Steps[i].DependsOn = []int{i - 1}
		}
	}
	stored := &work.Progress{State: work.Running}
	for k := range ended {
		for i := range j.Steps {
			if k != gap || i == 0 {
				stored.Stages = append(stored.Stages, work.StageProgress{Occurrence: k, Step: i, Done: []byte{0b11}})
			}
		}
	}
	stored.Stages[len(stored.Stages)-1].Tasks = []work.TaskProgress{{Index: 1, Run: 2, Worker: 1}}
	stored.Workers = []string{sim.workers[0].instance}
	collect := func() []byte {
		s := sim.state
		s.markDirty(s.jobs[j.ID])
		for _, r := range s.Collect().Schedule {
			if r.Key == work.PrefixProgress+j.ID {
				return r.Value
			}
		}
		return nil
	}
	sim.step(JobSubmitted{Job: j, Progress: stored})
	first := collect()
	assert.Assert(t, len(first) < maxRecordBytes, "the progress takes %d bytes", len(first))
	for range 2 {
		sim.electDecider()
		var p work.Progress
		assert.NilError(t, work.Decode(first, &p))
		sim.state.Step(sim.at(), JobSubmitted{Job: j, Progress: &p})
		restored := sim.state.jobs[j.ID]
		assert.Equal(t, restored.opened, ended+open)
		for k := range ended + open {
			for i := range j.Steps {
				want := 2
				if k >= ended || k == gap && i > 0 {
					want = 0
				}
				assert.Equal(t, restored.stage(k, i).done, want, "occurrence %d, step %d", k, i)
				assert.Equal(t, restored.stage(k, i).waiting, 2-want)
			}
		}
		assert.DeepEqual(t, collect(), first)
	}
}

// Guards against a damaged range that makes every decider in turn run out of memory, and against tasks that count as done
// twice because a record names their occurrence twice.
func TestDamagedOccurrenceRangesAreBounded(t *testing.T) {
	sim := newConnectedSimulation(t, 1)
	j := overlappingJob(sim)
	j.Queue = work.Queue{Name: "q", Service: "app", Attempts: 3}
	j.Repeat, j.IntervalMs = 1_000_000, 1_000_000
	stored := &work.Progress{State: work.Running, Done: []work.OccurrenceRange{{From: -5, To: 2}, {From: 1, To: 2}, {From: 3, To: 1 << 60}, {From: 9, To: 1}},
		Stages: []work.StageProgress{{Occurrence: 1, Step: 0, Done: []byte{0b11}}, {Occurrence: 1, Step: 0, Done: []byte{0b11}}}}
	sim.step(JobSubmitted{Job: j, Progress: stored})
	restored := sim.state.jobs[j.ID]
	assert.Equal(t, restored.opened, 4, "the occurrences that are due within the difference of clocks")
	for k, want := range []int{2, 2, 0, 2} {
		for i := range j.Steps {
			assert.Equal(t, restored.stage(k, i).done, want)
			assert.Equal(t, restored.stage(k, i).waiting, 2-want)
		}
	}
}
