package dispatch

import (
	"cmp"
	"slices"

	"github.com/verbenakeel/verbenakeel/fleet/work"
)

const (
	// openAheadMs is how long before its start time the stages of an occurrence are created.
	openAheadMs = 1000
	// maxClockSkewMs is by how much the wall clocks of two deciders may differ. Clocks jump by seconds.
	maxClockSkewMs = 3_600_000
	// maxKeptOccurrences is the number of occurrences up to which a job keeps finished ones as well, if it has few tasks.
	maxKeptOccurrences = 256
)

// windowed reports whether a job has so many occurrences that only unfinished ones are kept, and only so many of them
// (work.Job.MaxOpen).
func windowed(def *work.Job) bool {
	return def.Occurrences() > 1 && (def.Occurrences() > maxKeptOccurrences || def.Occurrences() > work.MaxOpenTasks/def.Tasks())
}

// openOccurrences creates the stages of occurrences that are due within openAheadMs. Of a windowed job those beyond the bound wait
// until others have finished or are suspended. Once occurrences are suspended, refill chooses which ones to open.
func (s *State) openOccurrences(j *job) {
	if j.state.Final() || len(j.suspended.ranges) > 0 {
		return
	}
	for s.nextIsDue(j) && (!j.windowed || len(j.open) < j.maxOpen) {
		s.openOccurrence(j)
	}
}

// nextIsDue reports whether an occurrence that was never opened is due within openAheadMs.
func (s *State) nextIsDue(j *job) bool {
	return j.opened < j.def.Occurrences() && s.occurrenceDue(j, j.opened)-s.now.BootMs <= openAheadMs
}

// openOccurrence creates the stages of the next occurrence.
func (s *State) openOccurrence(j *job) {
	s.addOccurrence(j, j.opened)
	j.opened++
}

// addOccurrence creates the stages of an occurrence that is not open.
func (s *State) addOccurrence(j *job, occurrence int) {
	k, _ := slices.BinarySearch(j.open, occurrence)
	j.open = slices.Insert(j.open, k, occurrence)
	stages := make([]*stage, len(j.def.Steps))
	for i := range stages {
		stages[i] = s.newStage(j, occurrence, i)
	}
	j.stages = slices.Insert(j.stages, k*len(stages), stages...)
	s.stages = append(s.stages, stages...)
	s.ranksStale = true
}

// removeOccurrence drops the stages of an open occurrence of which no task has an active run.
func (j *job) removeOccurrence(occurrence int) {
	k, _ := slices.BinarySearch(j.open, occurrence)
	steps := len(j.def.Steps)
	for _, st := range j.stages[k*steps : (k+1)*steps] {
		st.removed = true
	}
	j.open = slices.Delete(j.open, k, k+1)
	j.stages = slices.Delete(j.stages, k*steps, (k+1)*steps)
}

// closeOccurrence drops the stages of an occurrence of a windowed job once all its tasks are done and none has a run left.
func (s *State) closeOccurrence(j *job, occurrence int) {
	if !j.windowed || j.state.Final() || !j.occurrenceDone(occurrence) {
		return
	}
	j.removeOccurrence(occurrence)
	s.openOccurrences(j)
}

// occurrenceDone reports whether an occurrence is open, all its tasks are done and none has a run left.
func (j *job) occurrenceDone(occurrence int) bool {
	for i := range j.def.Steps {
		st := j.stage(occurrence, i)
		if st == nil || st.done < len(st.tasks) {
			return false
		}
		for k := range st.tasks {
			if st.tasks[k].worker != nil {
				return false
			}
		}
	}
	return true
}

// occurrenceDue returns the boot time at which an occurrence is due.
func (s *State) occurrenceDue(j *job, k int) int64 {
	if j.def.Repeat == 0 && j.def.StartAtMs == 0 {
		return j.dueMs
	}
	return s.now.BootMs + j.def.StartAtMs + int64(k)*j.def.IntervalMs - s.now.WallMs
}

func (s *State) newStage(j *job, occurrence, index int) *stage {
	st := &stage{job: j, step: &j.def.Steps[index], occurrence: occurrence, index: index, dueMs: s.occurrenceDue(j, occurrence)}
	st.tasks = make([]task, st.step.Count)
	for i := range st.tasks {
		st.tasks[i] = task{stage: st, index: i, cpuShare: fullCPUShare, sentCPUShare: fullCPUShare}
	}
	st.waiting = len(st.tasks)
	return st
}

// stage returns the stage of a step, or nil if its occurrence is not open or the job has no such step.
func (j *job) stage(occurrence, index int) *stage {
	if index < 0 || index >= len(j.def.Steps) {
		return nil
	}
	k, ok := slices.BinarySearch(j.open, occurrence)
	if !ok {
		return nil
	}
	return j.stages[k*len(j.def.Steps)+index]
}

// openDueOccurrences opens the due occurrences of all jobs, in the order of their IDs: the order in which stages are opened
// decides ties, and the same events have to lead to the same decisions.
func (s *State) openDueOccurrences() {
	var due []*job
	for _, j := range s.jobs {
		if j.opened < j.def.Occurrences() {
			due = append(due, j)
		}
	}
	slices.SortFunc(due, func(a, b *job) int { return cmp.Compare(a.def.ID, b.def.ID) })
	for _, j := range due {
		s.openOccurrences(j)
	}
}

// closedOccurrences returns the occurrences below opened that are not open, in ascending order: finished ones and suspended ones. The
// second result is the progress that the suspended ones refer to.
func (j *job) closedOccurrences() ([]work.OccurrenceRange, []work.SuspendedProgress) {
	var ranges []work.OccurrenceRange
	var suspended []work.SuspendedProgress
	references := map[*suspendedKind]int{}
	next := 0
	finishedUpTo := func(k int) {
		if k > next {
			ranges = append(ranges, work.OccurrenceRange{From: next, To: k})
		}
	}
	openUpTo := func(k int) {
		i, _ := slices.BinarySearch(j.open, next)
		for ; i < len(j.open) && j.open[i] < k; i++ {
			finishedUpTo(j.open[i])
			next = j.open[i] + 1
		}
		finishedUpTo(k)
	}
	for _, r := range j.suspended.ranges {
		openUpTo(r.from)
		if references[r.kind] == 0 {
			suspended = append(suspended, r.kind.progress)
			references[r.kind] = len(suspended)
		}
		ranges = append(ranges, work.OccurrenceRange{From: r.from, To: r.to, Progress: references[r.kind]})
		next = r.to
	}
	openUpTo(j.opened)
	return ranges, suspended
}
