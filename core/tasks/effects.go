package tasks

import "github.com/verbenakeel/verbenakeel/record"

// Effect is what one record changed, for those who act on it.
type Effect interface{ tasksEffect() }

// EpochChanged tells of a new decider.
type EpochChanged struct {
	Epoch       uint64
	Writer      string
	Incarnation uint64
	Claim       record.DeciderClaim
	// Older holds the epochs before it whose deciders may still act.
	Older []record.OlderEpoch
}

// EpochResigned tells that the decider of the epoch stopped acting.
type EpochResigned struct{ Epoch uint64 }

// WitnessChanged tells of a new witness of the current epoch.
type WitnessChanged struct{ Claim record.DeciderClaim }

// WorkerChanged tells of a worker that joined, changed or was lost.
type WorkerChanged struct{ Worker *Worker }

// TaskQueued tells of a task that waits for a worker.
type TaskQueued struct {
	Job  *Job
	Task *Task
}

// TaskPlaced tells of an attempt that a worker is committed to.
type TaskPlaced struct {
	Start record.Start
	Task  *Task
}

// TaskLeaving tells of an attempt that is to leave its worker.
type TaskLeaving struct {
	Task   *Task
	Reason string
}

// AttemptEnded tells of an attempt that ended. The worker that was committed to it is named.
type AttemptEnded struct {
	End    record.End
	Worker string
	Task   *Task
}

// JobEnded tells of a job in a final state.
type JobEnded struct{ Job *Job }

// JobCancelling tells of a cancel on record.
type JobCancelling struct{ Job *Job }

// Voided tells of a decision that was dropped.
type Voided struct {
	Task   string
	Reason string
}

func (EpochChanged) tasksEffect()   {}
func (EpochResigned) tasksEffect()  {}
func (WitnessChanged) tasksEffect() {}
func (WorkerChanged) tasksEffect()  {}
func (TaskQueued) tasksEffect()     {}
func (TaskPlaced) tasksEffect()     {}
func (TaskLeaving) tasksEffect()    {}
func (AttemptEnded) tasksEffect()   {}
func (JobEnded) tasksEffect()       {}
func (JobCancelling) tasksEffect()  {}
func (Voided) tasksEffect()         {}
