// Package record defines the records on the platform's log and their codec.
//
// Every record carries its writer, the writer's incarnation and a sequence number. A writer has at most one append in
// flight per stream, so a reader drops each record whose sequence number is not above the last one of that writer: an
// append that is retried after a lost response takes effect once.
package record

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/verbenakeel/verbenakeel/errdefs"
)

// SchemaVersion is the schema version that this program writes and the newest one that it reads.
const SchemaVersion = 1

// Record is one record on a stream. The stream determines which fields after the header are set.
type Record struct {
	// Version is the schema version.
	Version int `cbor:"1,keyasint"`
	// Writer is the id of the process that wrote the record.
	Writer string `cbor:"2,keyasint"`
	// Incarnation is the writer's incarnation.
	Incarnation uint64 `cbor:"3,keyasint"`
	// Seq is the writer's sequence number on this stream, from 1.
	Seq uint64 `cbor:"4,keyasint"`
	// AtMs is the writer's wall clock in Unix milliseconds. It is for reports only; no decision depends on it.
	AtMs int64 `cbor:"5,keyasint"`
	// Config holds configuration changes, on stream config.
	Config []ConfigChange `cbor:"6,keyasint,omitempty"`
	// DeciderClaim makes the writer the decider of a region, on stream sched.<region>.
	DeciderClaim *DeciderClaim `cbor:"7,keyasint,omitempty"`
	// Submits holds accepted jobs, on stream sched.<region>.
	Submits []Job `cbor:"8,keyasint,omitempty"`
	// Cancels holds cancellations of jobs, on stream sched.<region>.
	Cancels []Cancel `cbor:"9,keyasint,omitempty"`
	// Batch holds decisions, on stream sched.<region>.
	Batch *Batch `cbor:"10,keyasint,omitempty"`
	// RequestClaims holds claims of non-repeatable requests, on stream claims.<region>.
	RequestClaims []RequestClaim `cbor:"11,keyasint,omitempty"`
	// RequestAnswers holds responses stored for repeated requests, on stream claims.<region>.
	RequestAnswers []RequestAnswer `cbor:"12,keyasint,omitempty"`
	// Snapshot holds one piece of a snapshot of the stream that the record is on.
	Snapshot *SnapshotPiece `cbor:"13,keyasint,omitempty"`
}

// Resources is an amount of processors, memory and accelerators.
type Resources struct {
	// CPUMilli is processor time in thousandths of a core.
	CPUMilli int64 `cbor:"1,keyasint,omitempty" json:"cpu_milli"`
	// MemoryMB is memory in megabytes.
	MemoryMB int64 `cbor:"2,keyasint,omitempty" json:"memory_mb"`
	// Accelerators is a count of accelerators.
	Accelerators int64 `cbor:"3,keyasint,omitempty" json:"accelerators"`
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPUMilli + o.CPUMilli, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r minus o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPUMilli - o.CPUMilli, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Fits reports whether r is at most o in every dimension.
func (r Resources) Fits(o Resources) bool {
	return r.CPUMilli <= o.CPUMilli && r.MemoryMB <= o.MemoryMB && r.Accelerators <= o.Accelerators
}

// JobKind is the kind of a job.
type JobKind string

// Kinds of jobs.
const (
	// BatchJob is the kind of jobs whose tasks run to completion.
	BatchJob JobKind = "batch"
	// StandingJob is the kind of long-running jobs: their tasks run until cancelled and are restarted when they stop.
	StandingJob JobKind = "standing"
	// ServiceJob is the kind of jobs whose tasks are replicas of a latency-critical service.
	ServiceJob JobKind = "service"
)

// Job is a request to run tasks.
type Job struct {
	// ID is unique per region: the customer's name, a slash, and the customer's own name for the job.
	ID string `cbor:"1,keyasint" json:"id"`
	// Customer is the customer whose contract applies.
	Customer string `cbor:"2,keyasint" json:"customer"`
	// Kind is batch, standing or service.
	Kind JobKind `cbor:"3,keyasint" json:"kind"`
	// Class groups jobs of a customer with similar behavior; usage estimates are learned per customer and class.
	Class string `cbor:"4,keyasint,omitempty" json:"class"`
	// Tasks is the number of tasks, at least 1.
	Tasks int `cbor:"5,keyasint" json:"tasks"`
	// Size is the declared size of each task.
	Size Resources `cbor:"6,keyasint" json:"size"`
	// RunMs is the declared run time of each task in milliseconds; 0 for long-running and service jobs.
	RunMs int64 `cbor:"7,keyasint,omitempty" json:"run_ms"`
	// DeadlineMs is the Unix time in milliseconds by which all tasks must have ended; 0 for none.
	DeadlineMs int64 `cbor:"8,keyasint,omitempty" json:"deadline_ms"`
	// Urgent is true if the job starts before all others; users require a start within 8.2 s.
	Urgent bool `cbor:"9,keyasint,omitempty" json:"urgent"`
	// Checkpoint is true if the tasks can be checkpointed.
	Checkpoint bool `cbor:"10,keyasint,omitempty" json:"checkpoint"`
	// Command is passed to the worker unparsed.
	Command string `cbor:"11,keyasint,omitempty" json:"command"`
	// SubmittedMs is the Unix time in milliseconds at which an entry received the job.
	SubmittedMs int64 `cbor:"12,keyasint,omitempty" json:"submitted_ms"`
}

// Cancel requests the cancellation of a job.
type Cancel struct {
	// Job is the job's id.
	Job string `cbor:"1,keyasint"`
	// By is the name of the requester.
	By string `cbor:"2,keyasint,omitempty"`
}

// DeciderClaim makes its writer the decider of the stream's region. The claim's offset is the epoch.
type DeciderClaim struct {
	// Address is the control address of the decider.
	Address string `cbor:"1,keyasint"`
	// Zone is the decider's availability zone.
	Zone string `cbor:"2,keyasint,omitempty"`
	// Witness is the id of the entry that witnesses this epoch; empty for none.
	Witness string `cbor:"3,keyasint,omitempty"`
	// WitnessIncarnation is the witness's incarnation when it became the witness.
	WitnessIncarnation uint64 `cbor:"4,keyasint,omitempty"`
	// WitnessAddress is the control address of the witness.
	WitnessAddress string `cbor:"5,keyasint,omitempty"`
}

// Batch holds decisions of one decider. It is void if Epoch is not the stream's current epoch.
type Batch struct {
	// Epoch is the epoch the decisions were made in.
	Epoch uint64 `cbor:"1,keyasint"`
	// Workers holds workers that joined, changed or were lost.
	Workers []WorkerChange `cbor:"2,keyasint,omitempty"`
	// Starts holds placements of attempts.
	Starts []Start `cbor:"3,keyasint,omitempty"`
	// Ends holds outcomes of ended attempts.
	Ends []End `cbor:"4,keyasint,omitempty"`
	// Evictions holds evictions of attempts.
	Evictions []Eviction `cbor:"5,keyasint,omitempty"`
	// Refusals holds jobs that can never run.
	Refusals []Refusal `cbor:"6,keyasint,omitempty"`
	// Replicas holds additional replicas of service jobs.
	Replicas []Replica `cbor:"7,keyasint,omitempty"`
	// Witness changes the witness of this epoch; nil for no change.
	Witness *DeciderClaim `cbor:"8,keyasint,omitempty"`
	// OlderEpochsExpired is true if the authority of the deciders of all older epochs has certainly expired.
	OlderEpochsExpired bool `cbor:"9,keyasint,omitempty"`
	// Resigned is true if this batch ends the epoch: its decider stopped acting before it wrote the batch.
	Resigned bool `cbor:"10,keyasint,omitempty"`
}

// OlderEpoch is an epoch that was superseded on the log but whose decider may still act on promises of its witness.
type OlderEpoch struct {
	// Epoch is the offset of its claim.
	Epoch uint64 `cbor:"1,keyasint"`
	// Witness, WitnessIncarnation and WitnessAddress identify the witness; Witness is empty for none.
	Witness            string `cbor:"2,keyasint,omitempty"`
	WitnessIncarnation uint64 `cbor:"3,keyasint,omitempty"`
	WitnessAddress     string `cbor:"4,keyasint,omitempty"`
	// Merged is true for an element that summarizes several epochs, whose witnesses are not queried.
	Merged bool `cbor:"5,keyasint,omitempty"`
}

// WorkerChange adds, changes or removes a worker.
type WorkerChange struct {
	// ID is the worker's id.
	ID string `cbor:"1,keyasint"`
	// Zone is the worker's availability zone.
	Zone string `cbor:"2,keyasint,omitempty"`
	// Rack is the worker's rack.
	Rack string `cbor:"3,keyasint,omitempty"`
	// Capacity is the amount of resources that may be committed to attempts.
	Capacity Resources `cbor:"4,keyasint,omitempty"`
	// Incarnation is the incarnation of its side process.
	Incarnation uint64 `cbor:"5,keyasint,omitempty"`
	// Lost is true if the worker is unreachable and all its leases have expired.
	Lost bool `cbor:"6,keyasint,omitempty"`
}

// Start places an attempt of a task on a worker and commits the worker's resources to it.
type Start struct {
	// Task is the task's id: the job's id, '#' and the task's index.
	Task string `cbor:"1,keyasint"`
	// Attempt is the number of the attempt, from 1.
	Attempt uint32 `cbor:"2,keyasint"`
	// Worker is the id of the worker that runs the attempt.
	Worker string `cbor:"3,keyasint"`
	// Size is the amount of committed resources, which may differ from the declared size.
	Size Resources `cbor:"4,keyasint,omitempty"`
	// Cause explains the placement.
	Cause string `cbor:"5,keyasint,omitempty"`
}

// Outcome is the result of an attempt.
type Outcome string

// Outcomes of attempts.
const (
	// Finished means that the task completed.
	Finished Outcome = "finished"
	// Failed means that the task ended with an error.
	Failed Outcome = "failed"
	// Checkpointed means that the attempt was stopped after a checkpoint, from which the task can resume.
	Checkpointed Outcome = "checkpointed"
	// Stopped means that the attempt was stopped without a new checkpoint.
	Stopped Outcome = "stopped"
	// LeaseExpired means that the attempt's lease expired.
	LeaseExpired Outcome = "lapsed"
	// NotStarted means that the worker never started the attempt and never will.
	NotStarted Outcome = "not_started"
)

// End records the end of an attempt.
type End struct {
	// Task is the task's id.
	Task string `cbor:"1,keyasint"`
	// Attempt is the number of the attempt.
	Attempt uint32 `cbor:"2,keyasint"`
	// Outcome is the result of the attempt.
	Outcome Outcome `cbor:"3,keyasint"`
	// Reason explains the outcome.
	Reason string `cbor:"4,keyasint,omitempty"`
	// CheckpointMs is the progress of the last checkpoint in milliseconds of run time.
	CheckpointMs int64 `cbor:"5,keyasint,omitempty"`
	// RanMs is the run time of the attempt in milliseconds.
	RanMs int64 `cbor:"6,keyasint,omitempty"`
}

// Eviction orders the eviction of an attempt from its worker.
type Eviction struct {
	// Task is the task's id.
	Task string `cbor:"1,keyasint"`
	// Attempt is the number of the evicted attempt.
	Attempt uint32 `cbor:"2,keyasint"`
	// Reason explains the eviction.
	Reason string `cbor:"3,keyasint,omitempty"`
}

// Refusal ends a job that can never run.
type Refusal struct {
	// Job is the job's id.
	Job string `cbor:"1,keyasint"`
	// Reason says why it can never run.
	Reason string `cbor:"2,keyasint,omitempty"`
}

// Replica adds a task to a service job as a replacement for one whose worker is unresponsive.
type Replica struct {
	// Job is the job's id.
	Job string `cbor:"1,keyasint"`
	// Replaces is the id of the replaced task.
	Replaces string `cbor:"2,keyasint"`
}

// RequestClaim claims a non-repeatable request before it runs. Only the first claim of a key is valid.
type RequestClaim struct {
	// Customer is the owner of the key.
	Customer string `cbor:"1,keyasint"`
	// Key is the caller's idempotency key.
	Key string `cbor:"2,keyasint"`
	// Nonce distinguishes the claims of one entry.
	Nonce uint64 `cbor:"3,keyasint"`
	// Digest is a hash of method, path and body; a repeat with another digest is refused.
	Digest uint64 `cbor:"4,keyasint"`
}

// RequestAnswer stores the response to a claimed request.
type RequestAnswer struct {
	// Customer is the owner of the key.
	Customer string `cbor:"1,keyasint"`
	// Key is the caller's idempotency key.
	Key string `cbor:"2,keyasint"`
	// Nonce identifies the claim of the request.
	Nonce uint64 `cbor:"3,keyasint"`
	// NotRun is true if the request certainly did not run; the key remains used.
	NotRun bool `cbor:"4,keyasint,omitempty"`
	// Unknown is true if the outcome cannot be determined.
	Unknown bool `cbor:"5,keyasint,omitempty"`
	// Status is the HTTP status of the response.
	Status int `cbor:"6,keyasint,omitempty"`
	// ContentType is the media type of the response.
	ContentType string `cbor:"7,keyasint,omitempty"`
	// Body is the complete body of the response.
	Body []byte `cbor:"8,keyasint,omitempty"`
	// TooLarge is true if the response was too large to store.
	TooLarge bool `cbor:"9,keyasint,omitempty"`
}

// SnapshotPiece is one piece of a snapshot of the stream that it is on.
type SnapshotPiece struct {
	// Offset is the offset of the first record that the snapshot does not include.
	Offset uint64 `cbor:"1,keyasint"`
	// Index is the index of the piece, from 0.
	Index int `cbor:"2,keyasint"`
	// Count is the number of pieces.
	Count int `cbor:"3,keyasint"`
	// Sum is the xxhash of the whole state.
	Sum uint64 `cbor:"4,keyasint"`
	// Data is this piece of the encoded state.
	Data []byte `cbor:"5,keyasint"`
}

// Encode returns the encoding of the record in the current schema version.
func Encode(r *Record) ([]byte, error) {
	r.Version = SchemaVersion
	data, err := cbor.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	return data, nil
}

// header is decoded first, so that a newer schema is recognized before other fields are decoded.
type header struct {
	Version int `cbor:"1,keyasint"`
}

// ErrForeign means that data on a stream was not written by any release of this system. Every reader skips such data, so
// that something appended to a stream by mistake does not stop all readers.
var ErrForeign = errdefs.New(errdefs.Invalid, "the data is not a record", "check that the stream is written by verbenakeel only")

// Decode decodes a record. It returns an error of kind Incompatible for a record of a newer schema, one that wraps
// ErrForeign for data that is not a record, and one of kind Invalid for a damaged record.
func Decode(data []byte) (*Record, error) {
	var h header
	if err := cbor.Unmarshal(data, &h); err != nil {
		return nil, fmt.Errorf("decode record header: %w: %w", ErrForeign, err)
	}
	if h.Version < 1 {
		return nil, fmt.Errorf("decode record header: %w: it has no schema version", ErrForeign)
	}
	if h.Version > SchemaVersion {
		return nil, errdefs.New(errdefs.Incompatible,
			fmt.Sprintf("record has schema %d, this program reads up to %d", h.Version, SchemaVersion),
			"upgrade this process before the writers")
	}
	r := new(Record)
	if err := cbor.Unmarshal(data, r); err != nil {
		return nil, fmt.Errorf("decode record: %w", errdefs.New(errdefs.Invalid, err.Error(),
			"check that the stream is written by verbenakeel only"))
	}
	return r, nil
}
