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

// tasksIn counts the tasks of a step that are done and that wait. An occurrence that was opened and is neither open nor suspended is
// finished.
func (j *job) tasksIn(occurrence, step int) (done, waiting int) {
	if st := j.stage(occurrence, step); st != nil {
		return st.done, st.waiting
	}
	if i, ok := j.suspended.search(occurrence); ok {
		held := &job{def: j.def}
		(&State{jobs: map[string]*job{}}).addOccurrence(held, occurrence)
		held.restoreSuspended(occurrence, j.suspended.ranges[i].kind.progress)
		st := held.stage(occurrence, step)
		return st.done, st.waiting
	}
	if occurrence < j.opened {
		return j.def.Steps[step].Count, 0
	}
	return -1, -1
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
				done, waiting := restored.tasksIn(k, i)
				assert.Equal(t, done, want, "occurrence %d, step %d", k, i)
				assert.Equal(t, waiting, 2-want)
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
	stored := &work.Progress{State: work.Running, Closed: []work.OccurrenceRange{{From: -5, To: 2}, {From: 1, To: 2}, {From: 3, To: 1 << 60}, {From: 9, To: 1}},
		Stages: []work.StageProgress{{Occurrence: 1, Step: 0, Done: []byte{0b11}}, {Occurrence: 1, Step: 0, Done: []byte{0b11}}}}
	sim.step(JobSubmitted{Job: j, Progress: stored})
	restored := sim.state.jobs[j.ID]
	assert.Equal(t, restored.opened, 4, "the occurrences that are due within the difference of clocks")
	for k, want := range []int{2, 2, 0, 2} {
		for i := range j.Steps {
			done, waiting := restored.tasksIn(k, i)
			assert.Equal(t, done, want)
			assert.Equal(t, waiting, 2-want)
		}
	}
}

// scheduled returns a job of which all occurrences are due.
func (sim *simulation) scheduled(n, occurrences int, steps ...work.Step) *work.Job {
	return &work.Job{ID: jobID(n), Repeat: occurrences, IntervalMs: 1000, StartAtMs: sim.at().WallMs - int64(occurrences)*1000, Steps: steps}
}

// progressBytes returns the size of the job's stored progress.
func (j *job) progressBytes() int { return len(work.Encode(j.progress())) }

// Guards against one client's job that stops everybody's work: with a year of due occurrences every decider ran out of memory (review-2
// schedule), and with half a day of which the second step can never be done its progress outgrew the store's limit (review/6, LOST).
func TestOpenOccurrencesAreBounded(t *testing.T) {
	for _, steps := range []int{1, 2} {
		t.Run(fmt.Sprint(steps, " steps"), func(t *testing.T) {
			sim := newConnectedSimulation(t, 4)
			sim.soundTasks, sim.listedEnds = true, 500
			j := sim.scheduled(1, 525_600, work.Step{Count: 1, CPU: 10, MemMB: 1, EstMs: 1})
			if steps == 2 {
				j.Steps = append(j.Steps, work.Step{Count: 1, CPU: 10, MemMB: 1, EstMs: 1, DependsOn: []int{0}, Requires: "nobody"})
			}
			sim.submit(j)
			for i := range 200 {
				if i == 100 {
					sim.electDecider()
				}
				sim.advance()
				held := sim.state.jobs[j.ID]
				assert.Assert(t, len(held.stages) <= steps*work.MaxOpenOccurrences, "%d stages are open", len(held.stages))
				assert.Assert(t, len(sim.state.stages) <= 3*steps*work.MaxOpenOccurrences, "%d stages are kept", len(sim.state.stages))
				assert.Assert(t, held.progressBytes() < maxRecordBytes/2, "the progress takes %d bytes", held.progressBytes())
			}
			sim.submit(&work.Job{ID: jobID(2), Steps: []work.Step{{Count: 1, CPU: 1000, MemMB: 10, EstMs: 300}}})
			submitted := sim.now
			for sim.state.jobs[jobID(2)] != nil && sim.now < submitted+5000 {
				sim.advance()
			}
			assert.Assert(t, sim.state.jobs[jobID(2)] == nil, "the other client's job has not ended after 5 s")
		})
	}
}

// Guards against due occurrences beyond the bound that never run, run twice or are forgotten by the next decider, whatever the order in
// which the ones before them end.
func TestOccurrencesBeyondTheBoundRun(t *testing.T) {
	sim := newConnectedSimulation(t, 8)
	j := sim.scheduled(1, 2500, work.Step{Count: 1, CPU: 20, MemMB: 1, EstMs: 400}, work.Step{Count: 1, CPU: 20, MemMB: 1, EstMs: 20, DependsOn: []int{0}})
	// One run in fifteen fails, and one task in 3,375 three times: with more attempts the job does not fail in any course of the simulation.
	j.Queue = work.Queue{Name: "q", Service: "app", Priority: 1, Attempts: 20, Stretch: 2, TargetMs: 1000}
	sim.submit(j)
	for i := range 4000 {
		if i%70 == 35 {
			sim.electDecider()
		}
		sim.advance()
		if sim.state.jobs[j.ID] == nil {
			break
		}
	}
	assert.Assert(t, sim.state.jobs[j.ID] == nil, "the job has not ended")
	for _, name := range taskNames(j) {
		assert.Assert(t, sim.done[name.String()], "%s was never done", name)
	}
}

// Guards against a record that the store refuses: the largest progress of a job by the checks at submission and the bounds on what is
// open, with the longest ranges, names of instances and numbers.
func TestLargestProgressFitsARecord(t *testing.T) {
	for _, c := range []struct{ occurrences, steps, count int }{{1_000_000, 1, 1}, {1_000_000, 4, 1}, {1_000_000, 64, 1}, {1_000_000, 1, 8000}, {1_000_000, 2, 2000}, {257, 15, 1}, {256, 15, 1}, {1, 1, 8000}, {1, 64, 125}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			sim := newConnectedSimulation(t, 1)
			s := sim.state
			var steps []work.Step
			for range c.steps {
				steps = append(steps, work.Step{Count: c.count, CPU: 1, MemMB: 1, EstMs: 1})
			}
			j := sim.scheduled(1, c.occurrences, steps...)
			if c.occurrences == 1 {
				j.Repeat = 0
			}
			j.Queue = work.Queue{Name: "q", Service: "app", Attempts: 5}
			assert.NilError(t, work.Check(j))
			held := &job{def: j, windowed: windowed(j)}
			s.jobs[j.ID] = held
			for len(held.open) < j.MaxOpen() && held.opened < c.occurrences {
				if held.windowed {
					held.opened = max(held.opened, c.occurrences-2*j.MaxOpen()) + 1 // every other one has finished
				}
				if held.opened >= c.occurrences {
					break
				}
				s.openOccurrence(held)
			}
			for _, st := range held.stages {
				for i := range st.tasks {
					tk := &st.tasks[i]
					tk.worker, tk.run = s.ensureWorker(fmt.Sprintf("side-midshire-a-%d", (st.occurrence+i)%710)), 300
					tk.failed = []int{296, 297, 298, 299}
				}
			}
			size := held.progressBytes()
			t.Logf("%d bytes, %d occurrences open", size, len(held.open))
			assert.Assert(t, size < maxRecordBytes, "the progress takes %d bytes", size)
		})
	}
}

// Guards against an accepted job whose later occurrences can never be opened, as those before them do not end.
func TestLongRunningOccurrencesFitTheBound(t *testing.T) {
	j := &work.Job{ID: jobID(1), Repeat: 400, IntervalMs: 1000, Steps: []work.Step{{Count: 10, LongRunning: true}}}
	assert.NilError(t, work.Check(j))
	j.Repeat = 401
	assert.ErrorContains(t, work.Check(j), "send at most 400")
	j.Steps[0].LongRunning = false
	assert.NilError(t, work.Check(j))
}
