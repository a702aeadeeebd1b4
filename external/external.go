// Package external defines the interfaces of the platform that verbenakeel runs on: an append-only log and workers.
package external

import (
	"context"
	"errors"
	"time"

	"github.com/verbenakeel/verbenakeel/record"
)

// Errors of a Log.
var (
	// ErrNotAppended means that the append certainly had no effect.
	ErrNotAppended = errors.New("the log did not append the record; try again later")
	// ErrOutcomeUnknown means that the append may have taken effect.
	ErrOutcomeUnknown = errors.New("the log's reply was lost; repeat the append with the same sequence number")
	// ErrLogDown means that the log is unavailable.
	ErrLogDown = errors.New("the log does not answer; try again later")
	// ErrOffsetExpired means that the record at the requested offset is past its retention.
	ErrOffsetExpired = errors.New("the offset has expired; restore a snapshot")
)

// Entry is one record as stored by the log.
type Entry struct {
	// Offset starts at 1 and has no gaps within a stream.
	Offset uint64
	// Data is the encoded record.
	Data []byte
}

// Page is the result of one read.
type Page struct {
	// Entries holds the records from the requested offset on, in order.
	Entries []Entry
	// First is the oldest retained offset.
	First uint64
	// Next is the offset that the next append will get.
	Next uint64
}

// Log is the platform's append-only log service.
type Log interface {
	// Append appends data to the stream and returns its offset. Its errors wrap ErrNotAppended or ErrOutcomeUnknown.
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	// Read returns up to max records from the offset on. If there are none it waits for new records for at most wait. A
	// read from an expired offset returns ErrOffsetExpired with First and Next set.
	Read(ctx context.Context, stream string, from uint64, max int, wait time.Duration) (Page, error)
}

// TaskState is the state of an attempt on a worker.
type TaskState string

// States of attempts on a worker.
const (
	// TaskRunning means that the attempt is running.
	TaskRunning TaskState = "running"
	// TaskEnded means that the attempt has ended; Outcome is its result.
	TaskEnded TaskState = "ended"
)

// TaskSpec describes an attempt for a worker to run.
type TaskSpec struct {
	// Task is the task's id.
	Task string `json:"task"`
	// Attempt is the number of the attempt, from 1.
	Attempt uint32 `json:"attempt"`
	// Epoch is the epoch of the decider that ordered the start.
	Epoch uint64 `json:"epoch"`
	// Customer is the owner of the task.
	Customer string `json:"customer"`
	// Kind is the kind of job.
	Kind record.JobKind `json:"kind"`
	// Size is the resources that the attempt may use.
	Size record.Resources `json:"size"`
	// CheckpointMs is the progress to resume from, in milliseconds of run time.
	CheckpointMs int64 `json:"checkpoint_ms"`
	// RunMs is the declared run time in milliseconds; 0 for long-running tasks.
	RunMs int64 `json:"run_ms"`
	// Command is opaque and passed on unchanged.
	Command string `json:"command"`
	// ExpiresMs is the worker's monotonic time in milliseconds at which the lease ends.
	ExpiresMs int64 `json:"expires_ms"`
	// StartByMs is the worker's monotonic time in milliseconds after which the start is refused.
	StartByMs int64 `json:"start_by_ms"`
}

// TaskStatus is a worker's report on one attempt.
type TaskStatus struct {
	TaskSpec
	// State is running or ended.
	State TaskState `json:"state"`
	// Outcome is set when the attempt ended.
	Outcome record.Outcome `json:"outcome,omitempty"`
	// Reason explains the outcome.
	Reason string `json:"reason,omitempty"`
	// ProgressMs is the progress in milliseconds of run time.
	ProgressMs int64 `json:"progress_ms"`
	// SavedMs is the progress of the last checkpoint.
	SavedMs int64 `json:"saved_ms"`
	// RanMs is how long this attempt ran, in milliseconds.
	RanMs int64 `json:"ran_ms"`
}

// TaskUsage is a measurement of one attempt. It lags behind; AgeMs is its age.
type TaskUsage struct {
	// Task and Attempt identify the measured attempt.
	Task    string `json:"task"`
	Attempt uint32 `json:"attempt"`
	// AgeMs is the age of the measurement in milliseconds.
	AgeMs int64 `json:"age_ms"`
	// Used is the resources that the attempt used.
	Used record.Resources `json:"used"`
	// SpeedMilli is the speed of progress relative to running without neighbours, in thousandths.
	SpeedMilli int64 `json:"speed_milli"`
	// LatencyP99Us is the p99 latency of a service task in microseconds.
	LatencyP99Us int64 `json:"latency_p99_us"`
}

// WorkerStatus is a worker's report.
type WorkerStatus struct {
	// NowMs is the worker's monotonic clock in milliseconds when the report was made.
	NowMs int64 `json:"now_ms"`
	// Capacity is the worker's total resources.
	Capacity record.Resources `json:"capacity"`
	// Epoch is the highest epoch of the starts and renewals that the worker accepted.
	Epoch uint64 `json:"epoch"`
	// Tasks holds the running attempts, and the ended ones until Forget removes them.
	Tasks []TaskStatus `json:"tasks"`
	// Usage holds the measurements of running attempts.
	Usage []TaskUsage `json:"usage"`
}

// Lease extends the lease of one attempt.
type Lease struct {
	// Task and Attempt identify the attempt.
	Task    string `json:"task"`
	Attempt uint32 `json:"attempt"`
	// ExpiresMs is the worker's monotonic time in milliseconds at which the lease ends.
	ExpiresMs int64 `json:"expires_ms"`
}

// Worker is the interface of the platform's worker on one instance.
type Worker interface {
	// Status reports capacity, attempts and usage.
	Status(ctx context.Context) (WorkerStatus, error)
	// Start starts an attempt. It is idempotent.
	Start(ctx context.Context, spec TaskSpec) error
	// Renew extends leases by order of the epoch's decider. The worker refuses renewals and starts of an epoch below the
	// highest one it has accepted. Leases may be empty.
	Renew(ctx context.Context, epoch uint64, leases []Lease) error
	// Checkpoint saves progress and stops the attempt.
	Checkpoint(ctx context.Context, task string, attempt uint32, reason string) error
	// Stop stops the attempt.
	Stop(ctx context.Context, task string, attempt uint32, reason string) error
	// Throttle limits the attempt to a share of its CPUs, in thousandths.
	Throttle(ctx context.Context, task string, attempt uint32, shareMilli int64) error
	// Forget removes an ended attempt whose outcome is recorded in the log.
	Forget(ctx context.Context, task string, attempt uint32) error
}
