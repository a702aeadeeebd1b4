package dispatch

import (
	"slices"

	"github.com/verbenakeel/verbenakeel/fleet/work"
)

// progress returns the stored form of the job. Finished occurrences of a windowed job are stored as ranges, those of others are named.
func (j *job) progress() *work.Progress {
	p := &work.Progress{State: j.state}
	if !j.state.Final() && j.started {
		p.State = work.Running
	}
	if j.windowed && !j.state.Final() {
		p.Done = j.finishedRanges()
	}
	refs := map[string]int{}
	for _, st := range j.stages {
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

// restoreProgress restores the progress that an earlier decider stored. All occurrences up to the latest one that it names
// were open, and the steps that it does not name had not started.
func (s *State) restoreProgress(j *job, p *work.Progress) {
	j.state = p.State
	j.started = p.State != work.Queued
	finished := s.restoreOccurrences(j, p)
	if !j.windowed {
		for _, r := range finished {
			j.restoreFinished(r)
		}
	}
	for _, sp := range p.Stages {
		st := j.stage(sp.Occurrence, sp.Step)
		if st == nil {
			continue
		}
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
	for _, k := range slices.Clone(j.open) {
		s.closeOccurrence(j, k)
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
