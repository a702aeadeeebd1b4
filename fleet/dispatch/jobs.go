package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"

	"github.com/verbenakeel/verbenakeel/fleet/work"
)

const (
	// openAheadMs is how long before its start time the stages of an occurrence are created.
	openAheadMs = 1000
	// maxClockSkewMs is by how much the wall clocks of two deciders may differ. Clocks jump by seconds.
	maxClockSkewMs = 3_600_000
	// maxAgeMs bounds the age of a submission, which is derived from two clocks that may differ by seconds.
	maxAgeMs = 30_000
	// defaultEstMs is the duration estimate of a step that has none.
	defaultEstMs = 1000
)

// JobSubmitted is an accepted job. Progress and Checkpoints are nil if none are stored.
type JobSubmitted struct {
	Job         *work.Job
	Progress    *work.Progress
	Checkpoints *work.Checkpoints
}

func (e JobSubmitted) apply(s *State) {
	id := e.Job.ID
	if s.jobs[id] != nil {
		return
	}
	if _, finished := s.finished[id]; finished {
		return
	}
	if e.Progress != nil && e.Progress.State.Final() && !e.Progress.HasActiveRuns() {
		s.finished[id] = s.now.BootMs
		return
	}
	j := &job{def: e.Job}
	j.load.series = s.newSeries(j)
	age := min(max(s.now.WallMs-e.Job.AcceptedMs, 0), maxAgeMs)
	j.dueMs = s.now.BootMs - age
	j.computeObjective(func(i int) int64 { return s.stepMs(j, i) })
	s.classifySize(j)
	s.jobs[id] = j
	s.addQueueService(e.Job.Queue)
	if e.Progress != nil {
		s.restoreProgress(j, e.Progress)
	}
	s.logDecision(Decision{Kind: DecisionJobAccepted, Job: id, AgeMs: age,
		Reason: fmt.Sprintf("queue %s, objective %d ms, state %s, %d of %d occurrences open", e.Job.Queue.Name, j.objectiveMs, j.state, j.opened, e.Job.Occurrences())})
	s.openOccurrences(j)
	if e.Checkpoints != nil {
		j.restoreCheckpoints(e.Checkpoints)
	}
	s.finalizeJob(j)
	s.placePending = true
}

// computeObjective computes the objective and, for each step, the time from its start to the end of the job.
func (j *job) computeObjective(stepMs func(index int) int64) {
	n := len(j.def.Steps)
	j.remainingPathMs = make([]int64, n)
	criticalPathMs := int64(0)
	for i := n - 1; i >= 0; i-- {
		j.remainingPathMs[i] += stepMs(i)
		criticalPathMs = max(criticalPathMs, j.remainingPathMs[i])
		for _, d := range j.def.Steps[i].DependsOn {
			j.remainingPathMs[d] = max(j.remainingPathMs[d], j.remainingPathMs[i])
		}
	}
	j.objectiveMs = int64(j.def.Queue.Stretch*float64(criticalPathMs)) + j.def.Queue.TargetMs
}

func estimateMs(s *work.Step) int64 {
	if s.EstMs <= 0 {
		return defaultEstMs
	}
	return s.EstMs
}

// openOccurrences creates the stages of occurrences that are due within openAheadMs.
func (s *State) openOccurrences(j *job) {
	if j.state.Final() {
		return
	}
	for j.opened < j.def.Occurrences() {
		if s.occurrenceDue(j, j.opened)-s.now.BootMs > openAheadMs {
			return
		}
		s.openOccurrence(j)
	}
}

// openOccurrence creates the stages of the next occurrence.
func (s *State) openOccurrence(j *job) {
	for i := range j.def.Steps {
		s.addStage(j, j.opened, i)
	}
	j.opened++
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
	if occurrence < 0 || occurrence >= j.opened || index < 0 || index >= len(j.def.Steps) {
		return nil
	}
	return j.stages[occurrence*len(j.def.Steps)+index]
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

// ready reports whether the stage is due and the steps that it depends on are done.
func (st *stage) ready(now int64) bool {
	if st.job.state.Final() || now < st.dueMs {
		return false
	}
	for _, d := range st.step.DependsOn {
		if dependency := st.job.stage(st.occurrence, d); dependency == nil || dependency.done < len(dependency.tasks) {
			return false
		}
	}
	return true
}

// JobCancelled is the cancellation of a job.
type JobCancelled struct{ ID string }

func (e JobCancelled) apply(s *State) {
	j := s.jobs[e.ID]
	if j == nil || j.state.Final() {
		return
	}
	s.finishJob(j, work.Cancelled, "cancelled by the caller")
}

// finishJob sets the final state of a job and stops its active runs.
func (s *State) finishJob(j *job, state work.JobState, reason string) {
	j.state = state
	s.markDirty(j)
	s.logDecision(Decision{Kind: DecisionJobFinished, Job: j.def.ID, Reason: state.String() + ": " + reason})
	for _, st := range j.stages {
		for i := range st.tasks {
			s.stopRun(&st.tasks[i], reason)
		}
	}
	s.finalizeJob(j)
}

// finalizeJob completes a job whose tasks are all done, and removes a finished job that has no active run.
func (s *State) finalizeJob(j *job) {
	if !j.state.Final() && j.opened == j.def.Occurrences() {
		for _, st := range j.stages {
			if st.done < len(st.tasks) {
				return
			}
		}
		j.state = work.Completed
		s.recordServed(j, true)
		s.markDirty(j)
		s.logDecision(Decision{Kind: DecisionJobFinished, Job: j.def.ID, Reason: work.Completed.String()})
	}
	if j.state.Final() && j.active == 0 {
		delete(s.jobs, j.def.ID)
		s.finished[j.def.ID] = s.now.BootMs
		s.markDirty(j)
	}
}

// progress returns the stored form of the job.
func (j *job) progress() *work.Progress {
	p := &work.Progress{State: j.state}
	if !j.state.Final() && j.started {
		p.State = work.Running
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
				st.tasks[i].phase = done
				st.done++
				st.waiting--
			}
		}
		for _, tp := range sp.Tasks {
			if tp.Index >= 0 && tp.Index < len(st.tasks) {
				s.restoreTask(&st.tasks[tp.Index], tp, p.Workers)
			}
		}
	}
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

// ConfigChanged applies a configuration.
type ConfigChanged struct{ Config *work.Config }

func (e ConfigChanged) apply(s *State) {
	clear(s.queues)
	for _, q := range e.Config.Queues {
		s.queues[q.Name] = q
		s.addQueueService(q)
	}
	s.services = e.Config.Services
	s.rescan()
}

// addQueueService records that a queue is assigned to a service.
func (s *State) addQueueService(q work.Queue) {
	if s.queueServices[q.Name] == nil {
		s.queueServices[q.Name] = map[string]bool{}
	}
	s.queueServices[q.Name][q.Service] = true
}

// queue returns the current settings of a job's queue, or those at the job's acceptance if the queue was removed since.
func (s *State) queue(j *job) *work.Queue {
	if q, ok := s.queues[j.def.Queue.Name]; ok {
		return &q
	}
	return &j.def.Queue
}

// ZoneEvacuated takes an availability zone out of service or returns it to service.
type ZoneEvacuated struct {
	Zone      string
	Evacuated bool
}

func (e ZoneEvacuated) apply(s *State) {
	if e.Evacuated {
		s.evacuatedZones[e.Zone] = true
	} else {
		delete(s.evacuatedZones, e.Zone)
	}
	s.rescan()
}

// stepName returns the name of a step in questions to the adviser.
func (st *stage) stepName() string {
	return st.job.def.ID + "." + strconv.Itoa(st.occurrence) + "." + strconv.Itoa(st.index)
}
