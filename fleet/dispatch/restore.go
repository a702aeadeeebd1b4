package dispatch

import (
	"cmp"
	"slices"
	"sort"

	"github.com/verbenakeel/verbenakeel/fleet/work"
)

// restoreProgress restores the progress that an earlier decider stored. All occurrences up to the latest one that it names had been
// opened, and the steps that it does not name had not started.
func (s *State) restoreProgress(j *job, p *work.Progress) {
	j.state = p.State
	j.started = p.State != work.Queued
	if j.windowed {
		s.restoreWindow(j, p)
		return
	}
	finished, opened := s.closedRanges(j, p)
	for j.opened < opened {
		s.openOccurrence(j)
	}
	for _, r := range finished {
		if r.Progress == 0 {
			j.restoreFinished(r)
		}
	}
	for i := range p.Stages {
		s.restoreStage(j, &p.Stages[i], p.Workers)
	}
}

// closedRanges returns the closed occurrences that a record names, in ascending order, and the number of occurrences that were opened.
func (s *State) closedRanges(j *job, p *work.Progress) (closed []work.OccurrenceRange, opened int) {
	limit := s.mayBeOpen(j)
	for _, sp := range p.Stages {
		if sp.Step >= 0 && sp.Step < len(j.def.Steps) && sp.Occurrence >= 0 && sp.Occurrence < limit {
			opened = max(opened, sp.Occurrence+1)
		}
	}
	for _, r := range p.Closed {
		r.From, r.To = max(r.From, 0), min(r.To, limit)
		if r.From < r.To {
			closed = append(closed, r)
			opened = max(opened, r.To)
		}
	}
	slices.SortFunc(closed, func(a, b work.OccurrenceRange) int { return cmp.Compare(a.From, b.From) })
	return closed, opened
}

// restoreWindow restores a windowed job. Occurrences that the record does not name have not started; they are kept as suspended ones, so
// that one that is named far behind the others takes no memory for those between. Named occurrences beyond the bound on open ones are
// suspended unless they have active runs.
func (s *State) restoreWindow(j *job, p *work.Progress) {
	closed, opened := s.closedRanges(j, p)
	named := namedOccurrences(j, p, opened)
	kinds := make([]*suspendedKind, len(p.Suspended))
	notStarted := work.SuspendedProgress{}
	for j.opened < opened {
		for len(closed) > 0 && closed[0].To <= j.opened {
			closed = closed[1:]
		}
		for len(named) > 0 && named[0].Occurrence < j.opened {
			named = named[1:]
		}
		switch {
		case len(closed) > 0 && closed[0].From <= j.opened:
			r := closed[0]
			if r.Progress > 0 && r.Progress <= len(kinds) {
				if kinds[r.Progress-1] == nil {
					kinds[r.Progress-1] = j.suspended.kindOf(j.def, p.Suspended[r.Progress-1])
				}
				j.suspended.add(j.opened, r.To, kinds[r.Progress-1])
			}
			j.opened = r.To
		case len(named) > 0 && named[0].Occurrence == j.opened:
			s.openOccurrence(j)
			for len(named) > 0 && named[0].Occurrence == j.opened-1 {
				s.restoreStage(j, named[0], p.Workers)
				named = named[1:]
			}
			s.settleRestored(j, j.opened-1)
		default:
			until := opened
			if len(closed) > 0 {
				until = min(until, closed[0].From)
			}
			if len(named) > 0 {
				until = min(until, named[0].Occurrence)
			}
			j.suspended.add(j.opened, until, j.suspended.kindOf(j.def, notStarted))
			j.opened = until
		}
	}
	s.fillWindow(j)
}

// namedOccurrences returns the steps that a record names of occurrences that may have been opened, in the order of these.
func namedOccurrences(j *job, p *work.Progress, opened int) []*work.StageProgress {
	var named []*work.StageProgress
	for i := range p.Stages {
		sp := &p.Stages[i]
		if sp.Step >= 0 && sp.Step < len(j.def.Steps) && sp.Occurrence >= 0 && sp.Occurrence < opened {
			named = append(named, sp)
		}
	}
	slices.SortStableFunc(named, func(a, b *work.StageProgress) int { return cmp.Compare(a.Occurrence, b.Occurrence) })
	return named
}

// settleRestored closes a restored occurrence that is finished, and suspends one without active runs beyond the bound on open ones.
func (s *State) settleRestored(j *job, occurrence int) {
	switch {
	case j.occurrenceDone(occurrence):
		j.removeOccurrence(occurrence)
	case len(j.open) > j.maxOpen && !j.occurrenceActive(occurrence):
		k := j.suspended.kindOf(j.def, j.suspendedProgress(occurrence))
		j.removeOccurrence(occurrence)
		j.suspended.add(occurrence, occurrence+1, k)
	}
}

// mayBeOpen returns the number of occurrences that an earlier decider may have opened. A record that names one of the distant
// future is damaged.
func (s *State) mayBeOpen(j *job) int {
	return sort.Search(j.def.Occurrences(), func(k int) bool {
		return s.occurrenceDue(j, k)-s.now.BootMs > openAheadMs+maxClockSkewMs
	})
}

// restoreStage restores a step of an open occurrence.
func (s *State) restoreStage(j *job, sp *work.StageProgress, workers []string) {
	st := j.stage(sp.Occurrence, sp.Step)
	if st == nil {
		return
	}
	for i := range st.tasks {
		if i/8 < len(sp.Done) && sp.Done[i/8]&(1<<(i%8)) != 0 {
			st.restoreDone(&st.tasks[i])
		}
	}
	for _, tp := range sp.Tasks {
		if tp.Index >= 0 && tp.Index < len(st.tasks) {
			s.restoreTask(&st.tasks[tp.Index], tp, workers)
		}
	}
}

// restoreFinished restores a range of occurrences of which all tasks are done.
func (j *job) restoreFinished(r work.OccurrenceRange) {
	for k := r.From; k < r.To; k++ {
		for i := range j.def.Steps {
			st := j.stage(k, i)
			for n := range st.tasks {
				st.restoreDone(&st.tasks[n])
			}
		}
	}
}

// restoreDone restores a task that is done. A damaged record may name it twice.
func (st *stage) restoreDone(t *task) {
	if t.phase == done {
		return
	}
	t.phase = done
	st.done++
	st.waiting--
}

func (s *State) restoreTask(t *task, tp work.TaskProgress, workers []string) {
	t.run, t.checkpoint = tp.Run, tp.Checkpoint
	if !t.stage.step.LongRunning { // earlier versions stored those of long-running tasks too
		t.failed = tp.Failed
	}
	t.stage.gangRun = max(t.stage.gangRun, tp.Run)
	if t.stage.step.Gang && tp.Checkpoint != "" {
		t.stage.gangCheckpoint = tp.Checkpoint
	}
	if tp.Worker <= 0 || tp.Worker > len(workers) {
		return
	}
	if t.phase == done {
		// A redundant run of a done task. It is stopped when its worker lists it.
		return
	}
	w := s.ensureWorker(workers[tp.Worker-1])
	s.reserve(t, w)
	t.phase, t.recorded = starting, true
	t.sentCPUShare = unknownCPUShare
	t.startedMs, t.progressedMs = s.now.BootMs, s.now.BootMs
	if t.stage.job.state.Final() {
		t.phase = stopping
	}
}
