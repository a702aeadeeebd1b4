// Package external defines what verbenakeel needs from the platform: an append-only log and workers.
package external

import (
	"context"
	"errors"
	"time"

	"github.com/verbenakeel/verbenakeel/record"
)

// Errors of a Log.
var (
	// ErrNotAppended means that the append certainly did not take effect.
	ErrNotAppended = errors.New("the log did not append the record; try again later")
	// ErrOutcomeUnknown means that the append may have taken effect.
	ErrOutcomeUnknown = errors.New("the log's reply was lost; repeat the append with the same sequence number")
	// ErrLogDown means that the log does not answer.
	ErrLogDown = errors.New("the log does not answer; try again later")
	// ErrOffsetExpired means that the record asked for is past its retention.
	ErrOffsetExpired = errors.New("the offset has expired; restore a snapshot")
)

// Entry is one record as the log holds it.
type Entry struct {
	// Offset counts from 1 without gaps per stream.
	Offset uint64
	// Data is the encoded record.
	Data []byte
}

// Page is the result of one read.
type Page struct {
	// Entries holds the records from the offset asked for, in order.
	Entries []Entry
	// First is the oldest offset still kept.
	First uint64
	// Next is the offset that the next append will get.
	Next uint64
}

// Log is the platform's append-only log service.
type Log interface {
	// Append appends data to the stream and returns its offset. Its errors wrap ErrNotAppended or ErrOutcomeUnknown.
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	// Read returns up to max records from the offset. If there are none it waits for at most wait. A read from an
	// expired offset returns ErrOffsetExpired with First and Next set.
	Read(ctx context.Context, stream string, from uint64, max int, wait time.Duration) (Page, error)
}

// TaskState is the state of an attempt on a worker.
type TaskState string

// States of attempts on a worker.
const (
	// TaskRunning means the attempt makes progress.
	TaskRunning TaskState = "running"
	// TaskEnded means the attempt stopped; Outcome says how.
	TaskEnded TaskState = "ended"
)

// TaskSpec tells a worker what to run.
type TaskSpec struct {
	// Task is the task's id.
	Task string `json:"task"`
	// Attempt counts from 1.
	Attempt uint32 `json:"attempt"`
	// Epoch is the epoch of the decider that ordered the start.
	Epoch uint64 `json:"epoch"`
	// Customer owns the task.
	Customer string `json:"customer"`
	// Kind is the kind of job.
	Kind record.JobKind `json:"kind"`
	// Size is what the attempt may use.
	Size record.Resources `json:"size"`
	// CheckpointMs is the progress to resume from, in milliseconds of run time.
	CheckpointMs int64 `json:"checkpoint_ms"`
	// RunMs is the run time in milliseconds as declared; 0 for endless tasks.
	RunMs int64 `json:"run_ms"`
	// Command is passed unread.
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

// TaskUsage is a lagging measurement of one attempt.
type TaskUsage struct {
	// Task and Attempt name what was measured.
	Task    string `json:"task"`
	Attempt uint32 `json:"attempt"`
	// AgeMs is the age of the measurement.
	AgeMs int64 `json:"age_ms"`
	// Used is what the attempt used.
	Used record.Resources `json:"used"`
	// SpeedMilli is progress relative to running alone, in thousandths.
	SpeedMilli int64 `json:"speed_milli"`
	// LatencyP99Us is the p99 latency of a service task in microseconds.
	LatencyP99Us int64 `json:"latency_p99_us"`
}

// WorkerStatus is a worker's report.
type WorkerStatus struct {
	// NowMs is the worker's monotonic clock in milliseconds when the report was made.
	NowMs int64 `json:"now_ms"`
	// Capacity is what the worker has.
	Capacity record.Resources `json:"capacity"`
	// Epoch is the highest epoch that the worker took a start or a renewal of.
	Epoch uint64 `json:"epoch"`
	// Tasks holds running attempts and ended ones that were not forgotten yet.
	Tasks []TaskStatus `json:"tasks"`
	// Usage holds measurements.
	Usage []TaskUsage `json:"usage"`
}

// Lease extends the lease of one attempt.
type Lease struct {
	// Task and Attempt name the attempt.
	Task    string `json:"task"`
	Attempt uint32 `json:"attempt"`
	// ExpiresMs is the worker's monotonic time in milliseconds at which the lease ends.
	ExpiresMs int64 `json:"expires_ms"`
}

// Worker is the platform's worker on one instance.
type Worker interface {
	// Status reports capacity, attempts and usage.
	Status(ctx context.Context) (WorkerStatus, error)
	// Start starts an attempt. Starting the same attempt twice has no further effect.
	Start(ctx context.Context, spec TaskSpec) error
	// Renew extends leases as ordered in the epoch. The worker refuses renewals and starts of an epoch below the highest
	// one it has seen. Leases may be empty.
	Renew(ctx context.Context, epoch uint64, leases []Lease) error
	// Checkpoint saves progress and stops the attempt.
	Checkpoint(ctx context.Context, task string, attempt uint32, reason string) error
	// Stop stops the attempt.
	Stop(ctx context.Context, task string, attempt uint32, reason string) error
	// Throttle limits the attempt to a share of its processors, in thousandths.
	Throttle(ctx context.Context, task string, attempt uint32, shareMilli int64) error
	// Forget drops ended attempts whose end is on record.
	Forget(ctx context.Context, task string, attempt uint32) error
}
