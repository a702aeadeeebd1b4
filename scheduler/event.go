package scheduler

import "github.com/verbenakeel/verbenakeel/record"

// Event is a fact that the caller applies to the state. Repeated, late and reordered events are accepted.
type Event interface{ schedulerEvent() }

// ContractChanged gives the newest contract of a customer.
type ContractChanged struct {
	// Contract replaces the customer's contract.
	Contract record.Contract
}

// ZoneChanged takes an availability zone out of service or brings it back.
type ZoneChanged struct {
	// Zone is the zone's name.
	Zone string
	// Out is true when nothing may start in the zone.
	Out bool
}

// WorkerUp adds a worker or reports that it is in contact again.
type WorkerUp struct {
	// ID is the worker's id.
	ID string
	// Zone is the worker's availability zone.
	Zone string
	// Rack is the worker's rack.
	Rack string
	// Capacity is the most that may be committed on it.
	Capacity record.Resources
}

// WorkerDown reports that a worker is out of contact. Its tasks may still run; nothing new starts there.
type WorkerDown struct {
	// ID is the worker's id.
	ID string
}

// WorkerGone reports that a worker was removed and that all its leases have expired.
type WorkerGone struct {
	// ID is the worker's id.
	ID string
}

// TaskQueued reports that a task waits to be started: when it is new, after an eviction, or after a lost lease.
type TaskQueued struct {
	// Job is the task's job.
	Job record.Job
	// Task is the task's id.
	Task string
	// NextAttempt is the number of the attempt to start.
	NextAttempt uint32
	// CheckpointMs is the progress saved by the last checkpoint, in milliseconds of run time.
	CheckpointMs int64
}

// TaskStarted reports that a start is in force.
type TaskStarted struct {
	// Start is the placement.
	Start record.Start
}

// TaskEnded reports that an attempt has ended.
type TaskEnded struct {
	// End holds the outcome.
	End record.End
}

// JobCancelled removes all queued tasks of a job. Each running attempt ends with its own TaskEnded.
type JobCancelled struct {
	// Job is the job's id.
	Job string
}

// JobDone reports that a job has ended: it finished, failed, was refused, or was cancelled and no attempt runs.
type JobDone struct {
	// Job is the job's id.
	Job string
}

// UsageReported holds the usage that one worker measured at one time. It may arrive late or out of order.
type UsageReported struct {
	// Worker is the worker's id.
	Worker string
	// MeasuredMs is the Unix time in milliseconds of the measurement.
	MeasuredMs int64
	// Samples holds one entry per attempt that ran.
	Samples []Sample
}

// Sample is the usage of one attempt.
type Sample struct {
	// Task is the task's id.
	Task string
	// Attempt is the attempt that was measured.
	Attempt uint32
	// Used is what the attempt used.
	Used record.Resources
	// SpeedMilli is the progress per unit of time in thousandths of the progress without interference; 0 means no
	// progress.
	SpeedMilli int64
	// LatencyP99Us is the 99th percentile of a service's latency in microseconds; 0 for other tasks.
	LatencyP99Us int64
}

func (ContractChanged) schedulerEvent() {}
func (ZoneChanged) schedulerEvent()     {}
func (WorkerUp) schedulerEvent()        {}
func (WorkerDown) schedulerEvent()      {}
func (WorkerGone) schedulerEvent()      {}
func (TaskQueued) schedulerEvent()      {}
func (TaskStarted) schedulerEvent()     {}
func (TaskEnded) schedulerEvent()       {}
func (JobCancelled) schedulerEvent()    {}
func (JobDone) schedulerEvent()         {}
func (UsageReported) schedulerEvent()   {}
