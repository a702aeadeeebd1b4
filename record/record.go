// Package record defines the records on the platform's log and their codec.
//
// Every record names its writer, the writer's incarnation and a sequence number. A writer has one append in flight per
// stream, so a reader drops each record whose sequence number is not above the last one of that writer: a repeat after
// a lost reply takes effect once.
package record

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/verbenakeel/verbenakeel/errdefs"
)

// SchemaVersion is the newest schema that this program reads and the one it writes.
const SchemaVersion = 1

// Record is one record on a stream. Fields beyond the header are set according to the stream.
type Record struct {
	// Version is the schema version.
	Version int `cbor:"1,keyasint"`
	// Writer is the id of the process that wrote the record.
	Writer string `cbor:"2,keyasint"`
	// Incarnation is the writer's incarnation.
	Incarnation uint64 `cbor:"3,keyasint"`
	// Seq is the writer's sequence number on this stream, from 1.
	Seq uint64 `cbor:"4,keyasint"`
	// AtMs is the writer's wall clock in Unix milliseconds. It is for accounts only; no decision rests on it.
	AtMs int64 `cbor:"5,keyasint"`
	// Config holds changes of configuration, on stream config.
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
	// RequestAnswers holds answers kept for repeats, on stream claims.<region>.
	RequestAnswers []RequestAnswer `cbor:"12,keyasint,omitempty"`
	// Snapshot holds one piece of a snapshot of the stream it stands on.
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

// Sub returns r less o.
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
	// Batch jobs end by themselves.
	BatchJob JobKind = "batch"
	// StandingJob tasks run until cancelled and are restarted when they stop.
	StandingJob JobKind = "standing"
	// ServiceJob tasks are replicas of a latency-critical service.
	ServiceJob JobKind = "service"
)

// Job is a request to run tasks.
type Job struct {
	// ID is unique per region: customer, a slash, and the customer's own name for the job.
	ID string `cbor:"1,keyasint" json:"id"`
	// Customer names the contract.
	Customer string `cbor:"2,keyasint" json:"customer"`
	// Kind is batch, standing or service.
	Kind JobKind `cbor:"3,keyasint" json:"kind"`
	// Class groups jobs of a customer that behave alike; learning is per customer and class.
	Class string `cbor:"4,keyasint,omitempty" json:"class"`
	// Tasks is the number of tasks, at least 1.
	Tasks int `cbor:"5,keyasint" json:"tasks"`
	// Size is the declared size of each task.
	Size Resources `cbor:"6,keyasint" json:"size"`
	// RunMs is the declared run time of each task in milliseconds; 0 for standing and service jobs.
	RunMs int64 `cbor:"7,keyasint,omitempty" json:"run_ms"`
	// DeadlineMs is the Unix time in milliseconds by which all tasks must have ended; 0 for none.
	DeadlineMs int64 `cbor:"8,keyasint,omitempty" json:"deadline_ms"`
	// Urgent jobs start before all others; the users' limit is 8.2 s.
	Urgent bool `cbor:"9,keyasint,omitempty" json:"urgent"`
	// Checkpoint is true when the tasks can be checkpointed.
	Checkpoint bool `cbor:"10,keyasint,omitempty" json:"checkpoint"`
	// Command is passed to the worker unread.
	Command string `cbor:"11,keyasint,omitempty" json:"command"`
	// SubmittedMs is the Unix time in milliseconds at which an entry received the job.
	SubmittedMs int64 `cbor:"12,keyasint,omitempty" json:"submitted_ms"`
}

// Cancel asks that a job end.
type Cancel struct {
	// Job is the job's id.
	Job string `cbor:"1,keyasint"`
	// By names who asked.
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
	// WitnessIncarnation is the witness's incarnation when it was named.
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
	// Starts holds placements.
	Starts []Start `cbor:"3,keyasint,omitempty"`
	// Ends holds ends of attempts.
	Ends []End `cbor:"4,keyasint,omitempty"`
	// Evictions holds attempts that are to leave their worker.
	Evictions []Eviction `cbor:"5,keyasint,omitempty"`
	// Refusals holds jobs that can never run.
	Refusals []Refusal `cbor:"6,keyasint,omitempty"`
	// Replicas holds additional replicas of service jobs.
	Replicas []Replica `cbor:"7,keyasint,omitempty"`
	// Witness changes the witness of this epoch; nil for no change.
	Witness *DeciderClaim `cbor:"8,keyasint,omitempty"`
	// Settled tells that the deciders of all older epochs have certainly lost their authority.
	Settled bool `cbor:"9,keyasint,omitempty"`
	// Resigned ends the epoch: its decider stopped acting before it wrote this batch.
	Resigned bool `cbor:"10,keyasint,omitempty"`
}

// OlderEpoch is an epoch that ended on the log and whose decider may still act by promises of its witness.
type OlderEpoch struct {
	// Epoch is the offset of its claim.
	Epoch uint64 `cbor:"1,keyasint"`
	// Witness, WitnessIncarnation and WitnessAddress name the witness; Witness is empty for none.
	Witness            string `cbor:"2,keyasint,omitempty"`
	WitnessIncarnation uint64 `cbor:"3,keyasint,omitempty"`
	WitnessAddress     string `cbor:"4,keyasint,omitempty"`
	// Unasked is true for an entry that stands for several epochs, whose witnesses are not asked.
	Unasked bool `cbor:"5,keyasint,omitempty"`
}

// WorkerChange introduces, changes or removes a worker.
type WorkerChange struct {
	// ID is the worker's id.
	ID string `cbor:"1,keyasint"`
	// Zone is the worker's availability zone.
	Zone string `cbor:"2,keyasint,omitempty"`
	// Rack is the worker's rack.
	Rack string `cbor:"3,keyasint,omitempty"`
	// Capacity is what may be committed.
	Capacity Resources `cbor:"4,keyasint,omitempty"`
	// Incarnation is the incarnation of its side process.
	Incarnation uint64 `cbor:"5,keyasint,omitempty"`
	// Lost is true when the worker is out of contact and all its leases have ended.
	Lost bool `cbor:"6,keyasint,omitempty"`
}

// Start commits a worker to an attempt of a task.
type Start struct {
	// Task is the task's id: job id, '#', index.
	Task string `cbor:"1,keyasint"`
	// Attempt counts from 1.
	Attempt uint32 `cbor:"2,keyasint"`
	// Worker is where the attempt runs.
	Worker string `cbor:"3,keyasint"`
	// Size is what is committed, which may differ from what was declared.
	Size Resources `cbor:"4,keyasint,omitempty"`
	// Cause says why the task was placed there.
	Cause string `cbor:"5,keyasint,omitempty"`
}

// Outcome says how an attempt ended.
type Outcome string

// Outcomes of attempts.
const (
	// Finished means that the task is done.
	Finished Outcome = "finished"
	// Failed means that the task ended with an error.
	Failed Outcome = "failed"
	// Checkpointed means that the attempt stopped after a checkpoint and resumes from it.
	Checkpointed Outcome = "checkpointed"
	// Stopped means that the attempt was stopped without a new checkpoint.
	Stopped Outcome = "stopped"
	// Lapsed means that the attempt's lease ended.
	Lapsed Outcome = "lapsed"
	// NotStarted means that the worker never started the attempt and never will.
	NotStarted Outcome = "not_started"
)

// End ends an attempt.
type End struct {
	// Task is the task's id.
	Task string `cbor:"1,keyasint"`
	// Attempt is the attempt that ended.
	Attempt uint32 `cbor:"2,keyasint"`
	// Outcome says how it ended.
	Outcome Outcome `cbor:"3,keyasint"`
	// Reason explains the outcome.
	Reason string `cbor:"4,keyasint,omitempty"`
	// CheckpointMs is the progress of the last checkpoint in milliseconds of run time.
	CheckpointMs int64 `cbor:"5,keyasint,omitempty"`
	// RanMs is how long the attempt ran in milliseconds.
	RanMs int64 `cbor:"6,keyasint,omitempty"`
}

// Eviction orders an attempt to leave its worker.
type Eviction struct {
	// Task is the task's id.
	Task string `cbor:"1,keyasint"`
	// Attempt is the attempt that is to leave.
	Attempt uint32 `cbor:"2,keyasint"`
	// Reason says why.
	Reason string `cbor:"3,keyasint,omitempty"`
}

// Refusal ends a job that can never run.
type Refusal struct {
	// Job is the job's id.
	Job string `cbor:"1,keyasint"`
	// Reason says why it can never run.
	Reason string `cbor:"2,keyasint,omitempty"`
}

// Replica adds a task to a service job in place of one whose worker is silent.
type Replica struct {
	// Job is the job's id.
	Job string `cbor:"1,keyasint"`
	// Replaces is the task whose worker is silent.
	Replaces string `cbor:"2,keyasint"`
}

// RequestClaim claims a non-repeatable request before it runs. The first claim of a key wins.
type RequestClaim struct {
	// Customer owns the key.
	Customer string `cbor:"1,keyasint"`
	// Key is the caller's idempotency key.
	Key string `cbor:"2,keyasint"`
	// Nonce tells claims of one entry apart.
	Nonce uint64 `cbor:"3,keyasint"`
	// Digest is a hash of method, path and body; a repeat with another digest is refused.
	Digest uint64 `cbor:"4,keyasint"`
}

// RequestAnswer keeps the answer of a claimed request.
type RequestAnswer struct {
	// Customer owns the key.
	Customer string `cbor:"1,keyasint"`
	// Key is the caller's idempotency key.
	Key string `cbor:"2,keyasint"`
	// Nonce names the claim that is answered.
	Nonce uint64 `cbor:"3,keyasint"`
	// NotRun is true when the request certainly did not run; the key stays used.
	NotRun bool `cbor:"4,keyasint,omitempty"`
	// Unknown is true when the outcome cannot be known.
	Unknown bool `cbor:"5,keyasint,omitempty"`
	// Status is the HTTP status of the answer.
	Status int `cbor:"6,keyasint,omitempty"`
	// ContentType is the answer's media type.
	ContentType string `cbor:"7,keyasint,omitempty"`
	// Body is the whole answer.
	Body []byte `cbor:"8,keyasint,omitempty"`
	// TooLarge is true when the answer was too large to keep.
	TooLarge bool `cbor:"9,keyasint,omitempty"`
}

// SnapshotPiece is one piece of a snapshot of the stream it stands on.
type SnapshotPiece struct {
	// Offset is the offset of the next record that the snapshot does not include.
	Offset uint64 `cbor:"1,keyasint"`
	// Index counts pieces from 0.
	Index int `cbor:"2,keyasint"`
	// Count is the number of pieces.
	Count int `cbor:"3,keyasint"`
	// Sum is the xxhash of the whole state.
	Sum uint64 `cbor:"4,keyasint"`
	// Data is a part of the encoded state.
	Data []byte `cbor:"5,keyasint"`
}

// Encode returns the record's encoding in the current schema version.
func Encode(r *Record) ([]byte, error) {
	r.Version = SchemaVersion
	data, err := cbor.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	return data, nil
}

// header is decoded first, so that a newer schema is recognized before its fields are read.
type header struct {
	Version int `cbor:"1,keyasint"`
}

// ErrForeign marks data that no release of this system wrote. Every reader skips it alike, so that something appended to a
// stream by mistake does not stop them all.
var ErrForeign = errdefs.New(errdefs.Invalid, "the data is not a record", "check that the stream is written by verbenakeel only")

// Decode returns the record in data. A record of a newer schema gives an error of kind Incompatible, data that is no record
// one that wraps ErrForeign, and a damaged record one of kind Invalid.
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
