package tasks

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/verbenakeel/verbenakeel/core/lifecycle"
	"github.com/verbenakeel/verbenakeel/record"
)

// endAttempt ends the current attempt of a task. The end of any other attempt is ignored, which makes it idempotent.
func (a *applier) endAttempt(e record.End) {
	task := a.Tasks[e.Task]
	if task == nil || task.Attempt != e.Attempt || !task.State.Placed() {
		return
	}
	job := a.Jobs[task.Job]
	worker := a.releaseWorker(task)
	task.CheckpointMs = max(task.CheckpointMs, e.CheckpointMs)
	if e.Outcome == record.Failed {
		task.Failures++
	}
	trigger := endTrigger(job, task, e.Outcome)
	if err := lifecycle.Task.Fire(&task.State, trigger); err != nil {
		a.emit(Voided{e.Task, err.Error()})
	}
	a.recordAttemptChange(task, worker, fmt.Sprintf("%s: %s", e.Outcome, e.Reason))
	a.emit(AttemptEnded{e, worker, task})
	switch {
	case task.State == lifecycle.TaskQueued:
		a.emit(TaskQueued{job, task})
	case task.State == lifecycle.TaskFailed:
		job.FailedTasks++
		job.Open--
	default:
		job.Open--
	}
	a.finalizeJob(job)
}

// endTrigger returns the transition of a task when its attempt ends.
func endTrigger(job *Job, task *Task, outcome record.Outcome) lifecycle.TaskTrigger {
	switch {
	case outcome == record.Finished && job.Spec.Kind == record.BatchJob:
		return lifecycle.FinishTask
	case task.State == lifecycle.TaskStopping:
		return lifecycle.EndCancelled
	case job.Spec.Kind == record.ServiceJob && outcome != record.Failed && hasSurplusReplica(job):
		return lifecycle.LoseTask
	case outcome == record.Failed && job.Spec.Kind == record.BatchJob && task.Failures >= maxTaskFailures:
		return lifecycle.FailTask
	default:
		return lifecycle.RequeueTask
	}
}

// hasSurplusReplica reports whether the job has more open tasks than specified, so that a lost replica is not replaced.
func hasSurplusReplica(job *Job) bool {
	return job.Open > job.Spec.Tasks
}

// releaseWorker removes the attempt's resources from its worker and returns the worker's id.
func (a *applier) releaseWorker(task *Task) string {
	w := a.Workers[task.Worker]
	if w != nil {
		w.Committed = w.Committed.Sub(task.Size)
		delete(w.Tasks, task.ID)
	}
	worker := task.Worker
	task.Worker = ""
	return worker
}

// finalizeJob sets the final state of a job whose tasks have all ended.
func (a *applier) finalizeJob(job *Job) {
	if job.State != JobOpen || job.Open > 0 {
		return
	}
	switch {
	case job.Cancelling:
		job.State = JobCancelled
	case job.FailedTasks > 0:
		job.State = JobFailed
	default:
		job.State = JobFinished
	}
	a.recordJobChange(job, fmt.Sprintf("all %d tasks ended", len(job.Tasks)))
	a.closeJob(job)
}

func (a *applier) closeJob(job *Job) {
	delete(a.openServices, job.Spec.ID)
	a.EndedJobs = append(a.EndedJobs, job.Spec.ID)
	a.endedTasks += len(job.Tasks)
	a.emit(JobEnded{job})
}

// trimEnded removes the oldest ended jobs beyond the limits and leaves tombstones for them. The newest one is always kept,
// whatever its size.
func (s *State) trimEnded() {
	for len(s.EndedJobs) > maxEndedJobs || (s.endedTasks > maxEndedTasks && len(s.EndedJobs) > 1) {
		id := s.EndedJobs[0]
		s.EndedJobs = s.EndedJobs[1:]
		s.endedTasks -= len(s.Jobs[id].Tasks)
		for _, task := range s.Jobs[id].Tasks {
			delete(s.Tasks, task)
		}
		delete(s.Jobs, id)
		s.addTombstone(id)
	}
}

func (s *State) addTombstone(id string) {
	h := xxhash.Sum64String(id)
	s.tombstoneSet[h] = struct{}{}
	s.Tombstones = append(s.Tombstones, h)
	if len(s.Tombstones) > maxTombstones {
		delete(s.tombstoneSet, s.Tombstones[0])
		s.Tombstones = s.Tombstones[1:]
	}
}

func (a *applier) recordJobChange(job *Job, cause string) {
	job.History = appendChange(job.History, Change{Offset: a.offset, AtMs: a.atMs, State: string(job.State), Cause: cause})
}

func (a *applier) recordTaskChange(task *Task, cause string) {
	a.recordAttemptChange(task, task.Worker, cause)
}

func (a *applier) recordAttemptChange(task *Task, worker, cause string) {
	task.History = appendChange(task.History, Change{
		Offset: a.offset, AtMs: a.atMs, State: string(task.State), Cause: cause, Worker: worker, Attempt: task.Attempt,
		CheckpointMs: task.CheckpointMs,
	})
}

// appendChange appends a change to a history of at most MaxHistory changes, of which the first and the newest are kept.
func appendChange(history []Change, c Change) []Change {
	if len(history) >= MaxHistory {
		copy(history[1:], history[2:])
		history = history[:len(history)-1]
	}
	return append(history, c)
}
