package dispatch

import "github.com/verbenakeel/verbenakeel/fleet/work"

// maxNamedProgressBytes is the size of a job's progress above which the occurrences that are done are stored as ranges: half of
// the 256 KB that the store takes. Below it they are named one by one, which earlier versions can read.
const maxNamedProgressBytes = 128 << 10

// encodeProgress returns the record with the job's progress.
func (j *job) encodeProgress() []byte {
	value := work.Encode(j.progress())
	if len(value) > maxNamedProgressBytes && !j.doneAsRanges && j.opened > 1 {
		j.doneAsRanges = true
		value = work.Encode(j.progress())
	}
	return value
}

// progress returns the stored form of the job.
func (j *job) progress() *work.Progress {
	p := &work.Progress{State: j.state}
	if !j.state.Final() && j.started {
		p.State = work.Running
	}
	refs := map[string]int{}
	for i, st := range j.stages {
		if j.doneAsRanges && !j.state.Final() {
			if i%len(j.def.Steps) == 0 && j.occurrenceDone(st.occurrence) {
				p.Done = appendOccurrence(p.Done, st.occurrence)
			}
			if n := len(p.Done); n > 0 && p.Done[n-1].To > st.occurrence {
				continue
			}
		}
		sp := work.StageProgress{Occurrence: st.occurrence, Step: st.index}
		if !j.state.Final() && st.done > 0 {
			sp.Done = make([]byte, (len(st.tasks)+7)/8)
		}
		for i := range st.tasks {
			t := &st.tasks[i]
			if t.phase == done {
				if sp.Done != nil {
					sp.Done[i/8] |= 1 << (i % 8)
				}
				if t.worker == nil {
					continue
				}
			}
			if t.worker == nil && (t.run == 0 || j.state.Final()) {
				continue
			}
			tp := work.TaskProgress{Index: i, Run: t.run, Failed: t.failed}
			if t.worker != nil {
				if refs[t.worker.instance] == 0 {
					p.Workers = append(p.Workers, t.worker.instance)
					refs[t.worker.instance] = len(p.Workers)
				}
				tp.Worker = refs[t.worker.instance]
			}
			sp.Tasks = append(sp.Tasks, tp)
		}
		if sp.Done != nil || len(sp.Tasks) > 0 {
			p.Stages = append(p.Stages, sp)
		}
	}
	return p
}

// occurrenceDone reports whether all tasks of an open occurrence are done and none has a run left.
func (j *job) occurrenceDone(occurrence int) bool {
	for i := range j.def.Steps {
		st := j.stage(occurrence, i)
		if st.done < len(st.tasks) {
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

// appendOccurrence appends an occurrence to ascending ranges that end before it.
func appendOccurrence(ranges []work.OccurrenceRange, occurrence int) []work.OccurrenceRange {
	if n := len(ranges); n > 0 && ranges[n-1].To == occurrence {
		ranges[n-1].To++
		return ranges
	}
	return append(ranges, work.OccurrenceRange{From: occurrence, To: occurrence + 1})
}

// restoreProgress restores the progress that an earlier decider stored. All occurrences up to the latest one that it names
// were open, and the steps that it does not name had not started.
func (s *State) restoreProgress(j *job, p *work.Progress) {
	j.state = p.State
	j.started = p.State != work.Queued
	for _, r := range p.Done {
		s.restoreDone(j, r)
	}
	for _, sp := range p.Stages {
		if sp.Step >= len(j.def.Steps) || sp.Step < 0 || !s.mayBeOpen(j, sp.Occurrence) {
			continue
		}
		for j.opened <= sp.Occurrence {
			s.openOccurrence(j)
		}
		st := j.stage(sp.Occurrence, sp.Step)
		for i := range st.tasks {
			if i/8 < len(sp.Done) && sp.Done[i/8]&(1<<(i%8)) != 0 {
				st.restoreDone(&st.tasks[i])
			}
		}
		for _, tp := range sp.Tasks {
			if tp.Index >= 0 && tp.Index < len(st.tasks) {
				s.restoreTask(&st.tasks[tp.Index], tp, p.Workers)
			}
		}
	}
}

// restoreDone restores a range of occurrences that are done.
func (s *State) restoreDone(j *job, r work.OccurrenceRange) {
	for k := max(r.From, 0); k < r.To && s.mayBeOpen(j, k); k++ {
		for j.opened <= k {
			s.openOccurrence(j)
		}
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

// mayBeOpen reports whether an earlier decider may have opened an occurrence. A record that names one of the distant future
// is damaged, and opening all occurrences up to it could take more memory than there is.
func (s *State) mayBeOpen(j *job, occurrence int) bool {
	return occurrence >= 0 && occurrence < j.def.Occurrences() && s.occurrenceDue(j, occurrence)-s.now.BootMs <= openAheadMs+maxClockSkewMs
}

func (s *State) restoreTask(t *task, tp work.TaskProgress, workers []string) {
	t.run, t.failed, t.checkpoint = tp.Run, tp.Failed, tp.Checkpoint
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
