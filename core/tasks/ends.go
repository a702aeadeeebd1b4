package tasks

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/verbenakeel/verbenakeel/core/lifecycle"
	"github.com/verbenakeel/verbenakeel/record"
)

// end closes the current attempt of a task. An end of any other attempt changes nothing, so a repeat is harmless.
func (f *folder) end(e record.End) {
	task := f.Tasks[e.Task]
	if task == nil || task.Attempt != e.Attempt || !task.State.Placed() {
		return
	}
	job := f.Jobs[task.Job]
	worker := f.release(task)
	task.CheckpointMs = max(task.CheckpointMs, e.CheckpointMs)
	if e.Outcome == record.Failed {
		task.Failures++
	}
	trigger := endTrigger(job, task, e.Outcome)
	if err := lifecycle.Task.Fire(&task.State, trigger); err != nil {
		f.emit(Voided{e.Task, err.Error()})
	}
	f.noteAttempt(task, worker, fmt.Sprintf("%s: %s", e.Outcome, e.Reason))
	f.emit(AttemptEnded{e, worker, task})
	switch {
	case task.State == lifecycle.TaskQueued:
		f.emit(TaskQueued{job, task})
	case task.State == lifecycle.TaskFailed:
		job.Bad++
		job.Open--
	default:
		job.Open--
	}
	f.settle(job)
}

// endTrigger decides what the end of an attempt means for its task.
func endTrigger(job *Job, task *Task, outcome record.Outcome) lifecycle.TaskTrigger {
	switch {
	case outcome == record.Finished && job.Spec.Kind == record.BatchJob:
		return lifecycle.FinishTask
	case task.State == lifecycle.TaskStopping:
		return lifecycle.EndCancelled
	case job.Spec.Kind == record.ServiceJob && outcome != record.Failed && replaced(job):
		return lifecycle.LoseTask
	case outcome == record.Failed && job.Spec.Kind == record.BatchJob && task.Failures >= maxFailures:
		return lifecycle.FailTask
	default:
		return lifecycle.RequeueTask
	}
}

// replaced reports whether the job has more open tasks than it asked for, so that a lost replica needs no successor.
func replaced(job *Job) bool {
	return job.Open > job.Spec.Tasks
}

// release takes the commitment of an attempt off its worker.
func (f *folder) release(task *Task) string {
	w := f.Workers[task.Worker]
	if w != nil {
		w.Committed = w.Committed.Sub(task.Size)
		delete(w.Tasks, task.ID)
	}
	worker := task.Worker
	task.Worker = ""
	return worker
}

// settle closes a job whose tasks have all ended.
func (f *folder) settle(job *Job) {
	if job.State != JobOpen || job.Open > 0 {
		return
	}
	switch {
	case job.Cancelling:
		job.State = JobCancelled
	case job.Bad > 0:
		job.State = JobFailed
	default:
		job.State = JobFinished
	}
	f.noteJob(job, fmt.Sprintf("all %d tasks ended", len(job.Tasks)))
	f.close(job)
}

func (f *folder) close(job *Job) {
	delete(f.services, job.Spec.ID)
	f.Ended = append(f.Ended, job.Spec.ID)
	f.endedTasks += len(job.Tasks)
	f.emit(JobEnded{job})
}

// trim forgets the oldest ended jobs beyond the limits. The newest one stays whatever its size.
func (s *State) trim() {
	for len(s.Ended) > maxEndedJobs || (s.endedTasks > maxEndedTasks && len(s.Ended) > 1) {
		id := s.Ended[0]
		s.Ended = s.Ended[1:]
		s.endedTasks -= len(s.Jobs[id].Tasks)
		for _, task := range s.Jobs[id].Tasks {
			delete(s.Tasks, task)
		}
		delete(s.Jobs, id)
		s.expire(id)
	}
}

func (s *State) expire(id string) {
	h := xxhash.Sum64String(id)
	s.expired[h] = struct{}{}
	s.Expired = append(s.Expired, h)
	if len(s.Expired) > maxExpired {
		delete(s.expired, s.Expired[0])
		s.Expired = s.Expired[1:]
	}
}

func (f *folder) noteJob(job *Job, cause string) {
	job.History = appendChange(job.History, Change{Offset: f.offset, AtMs: f.atMs, State: string(job.State), Cause: cause})
}

func (f *folder) noteTask(task *Task, cause string) {
	f.noteAttempt(task, task.Worker, cause)
}

func (f *folder) noteAttempt(task *Task, worker, cause string) {
	task.History = appendChange(task.History, Change{
		Offset: f.offset, AtMs: f.atMs, State: string(task.State), Cause: cause, Worker: worker, Attempt: task.Attempt,
		CheckpointMs: task.CheckpointMs,
	})
}

// appendChange keeps the first change and the newest ones.
func appendChange(history []Change, c Change) []Change {
	if len(history) >= MaxHistory {
		copy(history[1:], history[2:])
		history = history[:len(history)-1]
	}
	return append(history, c)
}
