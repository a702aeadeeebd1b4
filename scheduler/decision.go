package scheduler

import "github.com/verbenakeel/verbenakeel/record"

// Decision is something the policy wants done. It has no effect on the policy's state until the caller applies the
// event that confirms it; a decision that is dropped is made again when it is still wanted.
type Decision interface{ schedulerDecision() }

// StartTask places an attempt on a worker. It takes effect when TaskStarted is applied.
type StartTask struct{ record.Start }

// EvictTask asks an attempt to leave its worker, after a checkpoint if it can be checkpointed.
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
	// Reason says why.
	Reason string
}

// RefuseJob ends a job that can never run. It takes effect when JobDone is applied.
type RefuseJob struct{ record.Refusal }

// Alert tells operators of something that needs attention. Fields that do not apply are empty.
type Alert struct {
	// Code is one of the Alert constants.
	Code string
	// Job is the job's id.
	Job string
	// Task is the task's id.
	Task string
	// Worker is the worker's id.
	Worker string
	// Message says what was seen and what is done about it.
	Message string
}

// Codes of alerts.
const (
	// AlertDeadlineRisk means that a job is expected to miss its deadline.
	AlertDeadlineRisk = "deadline_risk"
	// AlertStandingStopped means that a standing task or service replica stopped and is restarted.
	AlertStandingStopped = "standing_stopped"
	// AlertStandingHung means that a standing task made no progress and is restarted.
	AlertStandingHung = "standing_hung"
	// AlertStandingLost means that a standing task's worker is out of contact.
	AlertStandingLost = "standing_lost"
	// AlertWorkerProbation means that a worker fails nearly everything and gets one small task at a time.
	AlertWorkerProbation = "worker_probation"
	// AlertUrgentLate means that an urgent task has not started within the limit.
	AlertUrgentLate = "urgent_late"
	// AlertJobFailsEverywhere means that a job's tasks fail on several workers that run other work well.
	AlertJobFailsEverywhere = "job_fails_everywhere"
)

func (StartTask) schedulerDecision()    {}
func (EvictTask) schedulerDecision()    {}
func (ThrottleTask) schedulerDecision() {}
func (RefuseJob) schedulerDecision()    {}
func (Alert) schedulerDecision()        {}
