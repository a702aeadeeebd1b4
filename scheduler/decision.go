package scheduler

import "github.com/verbenakeel/verbenakeel/record"

// Decision is an action that the policy requests. It has no effect on the policy's state until the caller applies the
// event that confirms it; a dropped decision is made again if it is still needed.
type Decision interface{ schedulerDecision() }

// StartTask places an attempt on a worker. It takes effect when TaskStarted is applied.
type StartTask struct{ record.Start }

// EvictTask evicts an attempt from its worker, after a checkpoint if it can be checkpointed.
type EvictTask struct{ record.Eviction }

// ThrottleTask sets the share of its committed processors that an attempt may use.
type ThrottleTask struct {
	// Task is the task's id.
	Task string
	// Attempt is the attempt to throttle.
	Attempt uint32
	// Worker is where it runs.
	Worker string
	// ShareMilli is the share in thousandths; 1000 removes the throttle.
	ShareMilli int64
	// Reason is the cause, for operators.
	Reason string
}

// RefuseJob refuses a job that can never run. It takes effect when JobDone is applied.
type RefuseJob struct{ record.Refusal }

// Alert notifies operators of a condition that needs attention. Fields that do not apply are empty.
type Alert struct {
	// Code is one of the Alert constants.
	Code string
	// Job is the job's id.
	Job string
	// Task is the task's id.
	Task string
	// Worker is the worker's id.
	Worker string
	// Message describes the condition and the response to it.
	Message string
}

// Codes of alerts.
const (
	// AlertDeadlineRisk means that a job is expected to miss its deadline.
	AlertDeadlineRisk = "deadline_risk"
	// AlertLongRunningStopped means that a long-running task or service replica stopped and is restarted.
	AlertLongRunningStopped = "standing_stopped"
	// AlertLongRunningHung means that a long-running task made no progress and is restarted.
	AlertLongRunningHung = "standing_hung"
	// AlertLongRunningLost means that the worker of a long-running task is out of contact or sends no usage reports.
	AlertLongRunningLost = "standing_lost"
	// AlertWorkerProbation means that nearly all attempts on a worker fail and that it gets one small task at a time.
	AlertWorkerProbation = "worker_probation"
	// AlertUrgentLate means that an urgent task has not started within UrgentAlertMs.
	AlertUrgentLate = "urgent_late"
	// AlertJobFailsEverywhere means that a job's tasks fail on several workers on which other jobs succeed.
	AlertJobFailsEverywhere = "job_fails_everywhere"
)

func (StartTask) schedulerDecision()    {}
func (EvictTask) schedulerDecision()    {}
func (ThrottleTask) schedulerDecision() {}
func (RefuseJob) schedulerDecision()    {}
func (Alert) schedulerDecision()        {}
