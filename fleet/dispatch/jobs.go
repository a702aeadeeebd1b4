package dispatch

import (
	"fmt"
	"strconv"

	"github.com/verbenakeel/verbenakeel/fleet/work"
)

const (
	// openAheadMs is how long before its time an occurrence is prepared.
	openAheadMs = 1000
	// maxAgeMs bounds the age of a submission as it is derived from two clocks that may differ by seconds.
	maxAgeMs = 30_000
	// defaultEstMs stands for an estimate that a step does not give.
	defaultEstMs = 1000
)

// JobSubmitted is an accepted job. Progress is nil if none is on record.
type JobSubmitted struct {
	Job      *work.Job
	Progress *work.Progress
}

func (e JobSubmitted) apply(s *State) {
	id := e.Job.ID
	if s.jobs[id] != nil {
		return
	}
	if _, over := s.over[id]; over {
		return
	}
	if e.Progress != nil && e.Progress.State.Final() && !e.Progress.Unfinished() {
		s.over[id] = s.now.BootMs
		return
	}
	j := &job{def: e.Job}
	age := min(max(s.now.WallMs-e.Job.AcceptedMs, 0), maxAgeMs)
	j.dueMs = s.now.BootMs - age
	j.plan()
	s.jobs[id] = j
	s.allow(e.Job.Queue)
	if e.Progress != nil {
		s.restore(j, e.Progress)
	}
	s.note(Note{Kind: NoteJobTaken, Job: id, AgeMs: age,
		Reason: fmt.Sprintf("queue %s, objective %d ms, state %s", e.Job.Queue.Name, j.objectiveMs, j.state)})
	s.open(j)
	s.settle(j)
	s.placePending = true
}

// plan works out the objective and the time from each step to the end of the job.
func (j *job) plan() {
	n := len(j.def.Steps)
	j.tailMs = make([]int64, n)
	chain := int64(0)
	for i := n - 1; i >= 0; i-- {
		j.tailMs[i] += est(&j.def.Steps[i])
		chain = max(chain, j.tailMs[i])
		for _, d := range j.def.Steps[i].DependsOn {
			j.tailMs[d] = max(j.tailMs[d], j.tailMs[i])
		}
	}
	j.objectiveMs = int64(j.def.Queue.Stretch*float64(chain)) + j.def.Queue.TargetMs
}

func est(s *work.Step) int64 {
	if s.EstMs <= 0 {
		return defaultEstMs
	}
	return s.EstMs
}

// open makes the stages of occurrences that are due soon.
func (s *State) open(j *job) {
	if j.state.Final() {
		return
	}
	for ; j.opened < j.def.Occurrences(); j.opened++ {
		due := s.occurrenceDue(j, j.opened)
		if due-s.now.BootMs > openAheadMs {
			return
		}
		for i := range j.def.Steps {
			if j.stage(j.opened, i) == nil {
				s.addStage(j, j.opened, i)
			}
		}
	}
}

// occurrenceDue returns the boot time at which an occurrence is due.
func (s *State) occurrenceDue(j *job, k int) int64 {
	if j.def.Repeat == 0 && j.def.StartAtMs == 0 {
		return j.dueMs
	}
	return s.now.BootMs + j.def.StartAtMs + int64(k)*j.def.IntervalMs - s.now.WallMs
}

func (s *State) addStage(j *job, occurrence, index int) *stage {
	st := &stage{job: j, step: &j.def.Steps[index], occurrence: occurrence, index: index, dueMs: s.occurrenceDue(j, occurrence)}
	st.tasks = make([]task, st.step.Count)
	for i := range st.tasks {
		st.tasks[i] = task{stage: st, index: i, pace: fullPace, pacedTo: fullPace}
	}
	st.idle = len(st.tasks)
	j.stages = append(j.stages, st)
	s.stages = append(s.stages, st)
	return st
}

func (j *job) stage(occurrence, index int) *stage {
	for _, st := range j.stages {
		if st.occurrence == occurrence && st.index == index {
			return st
		}
	}
	return nil
}

// openDue opens occurrences of timed jobs.
func (s *State) openDue() {
	for _, j := range s.jobs {
		if j.opened < j.def.Occurrences() {
			s.open(j)
		}
	}
}

// ready reports whether the stage's turn has come.
func (st *stage) ready(now int64) bool {
	if st.job.state.Final() || now < st.dueMs {
		return false
	}
	for _, d := range st.step.DependsOn {
		if before := st.job.stage(st.occurrence, d); before == nil || before.done < len(before.tasks) {
			return false
		}
	}
	return true
}

// JobCancelled is a cancellation.
type JobCancelled struct{ ID string }

func (e JobCancelled) apply(s *State) {
	j := s.jobs[e.ID]
	if j == nil || j.state.Final() {
		return
	}
	s.finish(j, work.Cancelled, "cancelled by the caller")
}

// finish gives a job its last state and stops what is at work.
func (s *State) finish(j *job, state work.JobState, reason string) {
	j.state = state
	s.touch(j)
	s.note(Note{Kind: NoteJobOver, Job: j.def.ID, Reason: state.String() + ": " + reason})
	for _, st := range j.stages {
		for i := range st.tasks {
			s.stop(&st.tasks[i], reason)
		}
	}
	s.settle(j)
}

// settle removes a job that is over and has nothing at work, and ends one whose tasks are all done.
func (s *State) settle(j *job) {
	if !j.state.Final() && j.opened == j.def.Occurrences() {
		for _, st := range j.stages {
			if st.done < len(st.tasks) {
				return
			}
		}
		j.state = work.Completed
		s.touch(j)
		s.note(Note{Kind: NoteJobOver, Job: j.def.ID, Reason: work.Completed.String()})
	}
	if j.state.Final() && j.active == 0 {
		delete(s.jobs, j.def.ID)
		s.over[j.def.ID] = s.now.BootMs
		s.touch(j)
	}
}

// progress returns what is kept of the job.
func (j *job) progress() *work.Progress {
	p := &work.Progress{State: j.state}
	if !j.state.Final() && j.begun {
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
				if t.on == nil {
					continue
				}
			}
			if t.on == nil && (t.run == 0 || j.state.Final()) {
				continue
			}
			tp := work.TaskProgress{Index: i, Run: t.run, Failed: t.failed, Checkpoint: t.checkpoint}
			if t.on != nil {
				if refs[t.on.instance] == 0 {
					p.Workers = append(p.Workers, t.on.instance)
					refs[t.on.instance] = len(p.Workers)
				}
				tp.Worker = refs[t.on.instance]
			}
			sp.Tasks = append(sp.Tasks, tp)
		}
		if sp.Done != nil || len(sp.Tasks) > 0 {
			p.Stages = append(p.Stages, sp)
		}
	}
	return p
}

// restore takes over the progress that an earlier decider recorded.
func (s *State) restore(j *job, p *work.Progress) {
	j.state = p.State
	j.begun = p.State != work.Queued
	for _, sp := range p.Stages {
		if sp.Step >= len(j.def.Steps) || sp.Step < 0 {
			continue
		}
		st := j.stage(sp.Occurrence, sp.Step)
		if st == nil {
			st = s.addStage(j, sp.Occurrence, sp.Step)
		}
		j.opened = max(j.opened, sp.Occurrence)
		for i := range st.tasks {
			if i/8 < len(sp.Done) && sp.Done[i/8]&(1<<(i%8)) != 0 {
				st.tasks[i].phase = done
				st.done++
				st.idle--
			}
		}
		for _, tp := range sp.Tasks {
			if tp.Index >= 0 && tp.Index < len(st.tasks) {
				s.restoreTask(&st.tasks[tp.Index], tp, p.Workers)
			}
		}
	}
}

func (s *State) restoreTask(t *task, tp work.TaskProgress, workers []string) {
	t.run, t.failed, t.checkpoint = tp.Run, tp.Failed, tp.Checkpoint
	t.stage.gangRun = max(t.stage.gangRun, tp.Run)
	if tp.Worker <= 0 || tp.Worker > len(workers) {
		return
	}
	if t.phase == done {
		// A run beside the one that counted; it is stopped when its worker lists it.
		return
	}
	w := s.worker(workers[tp.Worker-1])
	s.commit(t, w)
	t.phase, t.recorded = starting, true
	t.pacedTo = unknownPace
	t.startedMs, t.movedMs = s.now.BootMs, s.now.BootMs
	if t.stage.job.state.Final() {
		t.phase = stopping
	}
}

// ConfigChanged puts a configuration in force.
type ConfigChanged struct{ Config *work.Config }

func (e ConfigChanged) apply(s *State) {
	clear(s.queues)
	for _, q := range e.Config.Queues {
		s.queues[q.Name] = q
		s.allow(q)
	}
	s.services = e.Config.Services
	s.placePending = true
}

// allow notes that a queue is sent to a service.
func (s *State) allow(q work.Queue) {
	if s.sends[q.Name] == nil {
		s.sends[q.Name] = map[string]bool{}
	}
	s.sends[q.Name][q.Service] = true
}

// queue returns the settings in force for a job's queue; those at its acceptance if the queue was dropped since.
func (s *State) queue(j *job) *work.Queue {
	if q, ok := s.queues[j.def.Queue.Name]; ok {
		return &q
	}
	return &j.def.Queue
}

// ZoneEvacuated takes an availability zone out of service or brings it back.
type ZoneEvacuated struct {
	Zone      string
	Evacuated bool
}

func (e ZoneEvacuated) apply(s *State) {
	if e.Evacuated {
		s.evac[e.Zone] = true
	} else {
		delete(s.evac, e.Zone)
	}
	s.placePending = true
}

// stepName names a step for the adviser.
func (st *stage) stepName() string {
	return st.job.def.ID + "." + strconv.Itoa(st.occurrence) + "." + strconv.Itoa(st.index)
}
