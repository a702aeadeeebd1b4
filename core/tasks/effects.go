package tasks

import "github.com/verbenakeel/verbenakeel/record"

// Effect is a change made by one record, passed to the components that react to it.
type Effect interface{ tasksEffect() }

// EpochChanged reports a new epoch with a new decider.
type EpochChanged struct {
	Epoch       uint64
	Writer      string
	Incarnation uint64
	Claim       record.DeciderClaim
	// OlderEpochs holds the earlier epochs whose deciders may still act.
	OlderEpochs []record.OlderEpoch
}

// EpochResigned reports that the decider of the epoch resigned and no longer acts.
type EpochResigned struct{ Epoch uint64 }

// WitnessChanged reports a new witness of the current epoch.
type WitnessChanged struct{ Claim record.DeciderClaim }

// WorkerChanged reports a worker that joined, changed or was lost.
type WorkerChanged struct{ Worker *Worker }

// TaskQueued reports a task that waits for placement.
type TaskQueued struct {
	Job  *Job
	Task *Task
}

// TaskPlaced reports an attempt that was placed on a worker.
type TaskPlaced struct {
	Start record.Start
	Task  *Task
}

// TaskTerminating reports a placed attempt that was ordered to end by an eviction or a cancellation.
type TaskTerminating struct {
	Task   *Task
	Reason string
}

// AttemptEnded reports an attempt that ended, with the worker on which it was placed.
type AttemptEnded struct {
	End    record.End
	Worker string
	Task   *Task
}

// JobEnded reports a job that reached a final state.
type JobEnded struct{ Job *Job }

// JobCancelling reports an accepted cancellation of a job.
type JobCancelling struct{ Job *Job }

// Voided reports a decision that was rejected when it was applied.
type Voided struct {
	Task   string
	Reason string
}

func (EpochChanged) tasksEffect()    {}
func (EpochResigned) tasksEffect()   {}
func (WitnessChanged) tasksEffect()  {}
func (WorkerChanged) tasksEffect()   {}
func (TaskQueued) tasksEffect()      {}
func (TaskPlaced) tasksEffect()      {}
func (TaskTerminating) tasksEffect() {}
func (AttemptEnded) tasksEffect()    {}
func (JobEnded) tasksEffect()        {}
func (JobCancelling) tasksEffect()   {}
func (Voided) tasksEffect()          {}
