package dispatch

import (
	"cmp"
	"slices"
	"sort"

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
// until others have finished.
func (s *State) openOccurrences(j *job) {
	if j.state.Final() {
		return
	}
	for j.opened < j.def.Occurrences() && (!j.windowed || len(j.open) < j.def.MaxOpen()) {
		if s.occurrenceDue(j, j.opened)-s.now.BootMs > openAheadMs {
			return
		}
		s.openOccurrence(j)
	}
}

// openOccurrence creates the stages of the next occurrence.
func (s *State) openOccurrence(j *job) {
	j.open = append(j.open, j.opened)
	for i := range j.def.Steps {
		s.addStage(j, j.opened, i)
	}
	j.opened++
}

// closeOccurrence drops the stages of an occurrence of a windowed job once all its tasks are done and none has a run left.
func (s *State) closeOccurrence(j *job, occurrence int) {
	if !j.windowed || j.state.Final() || !j.occurrenceDone(occurrence) {
		return
	}
	k, _ := slices.BinarySearch(j.open, occurrence)
	steps := len(j.def.Steps)
	j.open = slices.Delete(j.open, k, k+1)
	j.stages = slices.Delete(j.stages, k*steps, (k+1)*steps)
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

func (s *State) addStage(j *job, occurrence, index int) {
	st := &stage{job: j, step: &j.def.Steps[index], occurrence: occurrence, index: index, dueMs: s.occurrenceDue(j, occurrence)}
	st.tasks = make([]task, st.step.Count)
	for i := range st.tasks {
		st.tasks[i] = task{stage: st, index: i, cpuShare: fullCPUShare, sentCPUShare: fullCPUShare}
	}
	st.waiting = len(st.tasks)
	j.stages = append(j.stages, st)
	s.stages = append(s.stages, st)
	s.ranksStale = true
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

// finishedRanges returns the occurrences below opened that are not open, as ascending ranges.
func (j *job) finishedRanges() []work.OccurrenceRange {
	var ranges []work.OccurrenceRange
	next := 0
	for _, k := range append(slices.Clone(j.open), j.opened) {
		if k > next {
			ranges = append(ranges, work.OccurrenceRange{From: next, To: k})
		}
		next = k + 1
	}
	return ranges
}

// mayBeOpen returns the number of occurrences that an earlier decider may have opened. A record that names one of the distant
// future is damaged, and opening all occurrences up to it could take more memory than there is.
func (s *State) mayBeOpen(j *job) int {
	return sort.Search(j.def.Occurrences(), func(k int) bool {
		return s.occurrenceDue(j, k)-s.now.BootMs > openAheadMs+maxClockSkewMs
	})
}

// restoreOccurrences opens the occurrences that an earlier decider had open: all up to the latest one that its record names, but
// those that it names as finished if the job is windowed.
func (s *State) restoreOccurrences(j *job, p *work.Progress) (finished []work.OccurrenceRange) {
	limit, opened := s.mayBeOpen(j), 0
	for _, sp := range p.Stages {
		if sp.Step >= 0 && sp.Step < len(j.def.Steps) && sp.Occurrence >= 0 && sp.Occurrence < limit {
			opened = max(opened, sp.Occurrence+1)
		}
	}
	for _, r := range p.Done {
		r.From, r.To = max(r.From, 0), min(r.To, limit)
		if r.From < r.To {
			finished = append(finished, r)
			opened = max(opened, r.To)
		}
	}
	slices.SortFunc(finished, func(a, b work.OccurrenceRange) int { return cmp.Compare(a.From, b.From) })
	next := 0
	for j.opened < opened {
		for next < len(finished) && finished[next].To <= j.opened {
			next++
		}
		if j.windowed && next < len(finished) && finished[next].From <= j.opened {
			j.opened = finished[next].To
			continue
		}
		s.openOccurrence(j)
	}
	return finished
}
