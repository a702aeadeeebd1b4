package dispatch

import (
	"fmt"
	"strconv"

	"github.com/verbenakeel/verbenakeel/fleet/work"
)

const (
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
	j := s.newJob(e.Job, e.Progress)
	j.load.series = s.newSeries(j)
	age := min(max(s.now.WallMs-e.Job.AcceptedMs, 0), maxAgeMs)
	j.dueMs = s.now.BootMs - age
	j.computeObjective(func(i int) int64 { return s.stepMs(j, i) })
	s.classifySize(j)
	s.jobs[id] = j
	if j.windowed {
		s.windowedJobs = append(s.windowedJobs, j)
	}
	s.addQueueService(e.Job.Queue)
	if e.Progress != nil {
		s.restoreProgress(j, e.Progress)
	}
	s.logDecision(Decision{Kind: DecisionJobAccepted, Job: id, AgeMs: age,
		Reason: fmt.Sprintf("queue %s, objective %d ms, state %s, %d of %d occurrences opened, %d suspended", e.Job.Queue.Name, j.objectiveMs, j.state, j.opened, e.Job.Occurrences(), j.suspended.count())})
	s.openOccurrences(j)
	if e.Checkpoints != nil {
		j.restoreCheckpoints(e.Checkpoints)
	}
	s.finalizeJob(j)
	s.placePending = true
}

// newJob returns a job of which nothing is open.
func (s *State) newJob(def *work.Job, p *work.Progress) *job {
	j := &job{def: def}
	j.windowed = windowed(def) || def.Occurrences() > s.maxOpenOf(def) || p != nil && len(p.Suspended) > 0
	if j.windowed {
		j.maxOpen = s.initialMaxOpen(def)
		n := len(def.Steps)
		j.window = &window{triedMs: make([]int64, n), blockedUntilMs: make([]int64, n), batch: minRefill}
		j.firstSteps = readySteps(def, work.SuspendedProgress{})
	}
	return j
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
			s.stopRun(&st.tasks[i], stopJobEnded, reason)
		}
	}
	s.finalizeJob(j)
}

// finalizeJob completes a job whose tasks are all done, and removes a finished job that has no active run.
func (s *State) finalizeJob(j *job) {
	if !j.state.Final() && j.opened == j.def.Occurrences() && len(j.suspended.ranges) == 0 {
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
