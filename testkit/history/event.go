// Package history records the events of a test run and checks the system's invariants on them.
//
// Times are on one monotonic clock of the test machine, relative to any common origin. The checker has no clock.
package history

import (
	"sync"
	"time"

	"github.com/verbenakeel/verbenakeel/record"
)

// Event is one of the event types of this package.
type Event interface{ at() time.Duration }

// Request is a request as a caller sent it. Each retry by the caller has its own ID.
type Request struct {
	// At is when the caller sent it.
	At time.Duration
	// ID is unique per request; the answer echoes it.
	ID string
	// Key is the customer and the idempotency key of a non-repeatable request; empty for repeatable requests.
	Key string
}

// Verdict is the outcome of a request for its caller.
type Verdict string

// Verdicts.
const (
	// Answered means that an answer of the endpoint arrived.
	Answered Verdict = "answered"
	// NotRun means that the request was refused with the statement that it was not run.
	NotRun Verdict = "not_run"
	// Refused means that an error answer arrived that does not state whether the request ran.
	Refused Verdict = "refused"
	// Unknown means that no whole answer arrived, or an answer that states that the outcome is unknown.
	Unknown Verdict = "unknown"
)

// Answer is the answer to a request as its caller received it, or the lack of one.
type Answer struct {
	// At is when the answer was complete.
	At time.Duration
	// ID is the ID of the request.
	ID string
	// Verdict is the outcome according to the answer.
	Verdict Verdict
	// Status is the HTTP status.
	Status int
	// EchoID is the request ID that the endpoint wrote into the answer. The checker uses it for Answered only.
	EchoID string
	// Sum is the checksum of the body as received, and StatedSum the one that the endpoint computed. The checker uses
	// them for Answered only.
	Sum, StatedSum uint64
}

// Execution is one execution of a request at an endpoint stand-in.
type Execution struct {
	// At is when it began.
	At time.Duration
	// ID is the ID of the request, and Key its idempotency key if it has one.
	ID, Key string
	// Endpoint is where it ran.
	Endpoint string
}

// EndpointShutdown is the start of an endpoint's graceful shutdown that was not cancelled later.
type EndpointShutdown struct {
	// At is when the order was accepted or the process was signalled to stop.
	At time.Duration
	// Endpoint is the endpoint's name, as in Execution.
	Endpoint string
}

// Worker adds a worker or changes its capacity.
type Worker struct {
	// At is when the worker first had this capacity.
	At time.Duration
	// ID is the worker's id.
	ID string
	// Zone is the worker's availability zone.
	Zone string
	// Capacity is the maximum that may be committed.
	Capacity record.Resources
}

// AttemptStart is the start of an attempt as the worker stand-in reports it.
type AttemptStart struct {
	// At is when the attempt began to run.
	At time.Duration
	// Task is the job's id, '#' and an index; Attempt counts from 1.
	Task    string
	Attempt uint32
	// Worker is the worker that runs it.
	Worker string
	// Size is the resources committed to it.
	Size record.Resources
}

// AttemptEnd is the end of an attempt as the worker stand-in reports it. An attempt without one runs until the end of
// the history, so a test that kills a worker must add the ends of its attempts with the outcome LeaseExpired.
type AttemptEnd struct {
	// At is when the attempt stopped running.
	At time.Duration
	// Task and Attempt identify the attempt.
	Task    string
	Attempt uint32
	// Worker is the worker that ran it.
	Worker string
	// Outcome is how it ended. After Checkpointed, Stopped and LeaseExpired the task must be resumed.
	Outcome record.Outcome
}

// Commitment is the resources that are committed on a worker according to a process.
type Commitment struct {
	// At is when the process reported it.
	At time.Duration
	// Worker is the worker.
	Worker string
	// Committed is the sum of the committed resources.
	Committed record.Resources
}

// ZoneState is an operator's order to take an availability zone out of service or to bring it back.
type ZoneState struct {
	// At is when the order was accepted or, if Out is false, when it was sent.
	At time.Duration
	// Zone is the zone.
	Zone string
	// Out is true if the zone is taken out of service and false if it is brought back.
	Out bool
}

// JobAccepted is an answer that accepted the submission of a job.
type JobAccepted struct {
	// At is when the answer arrived.
	At time.Duration
	// Job is the job's id.
	Job string
	// Kind is the job's kind.
	Kind record.JobKind
}

// JobState is the state of a job as the system reports it. The last one of a job must come from an entry that is up to
// date.
type JobState struct {
	// At is when the state was read.
	At time.Duration
	// Job is the job's id.
	Job string
	// State is the reported state.
	State JobAccount
}

// JobAccount is a state of a job as the system reports it.
type JobAccount string

// Reported states of jobs.
const (
	// JobWaiting means that tasks of the job wait.
	JobWaiting JobAccount = "waiting"
	// JobRunning means that tasks of the job run and none waits.
	JobRunning JobAccount = "running"
	// JobFinished means that all tasks are done.
	JobFinished JobAccount = "finished"
	// JobFailed means that tasks ended with errors and are not retried.
	JobFailed JobAccount = "failed"
	// JobCancelled means that the job was cancelled.
	JobCancelled JobAccount = "cancelled"
	// JobRefused means that the job can never run.
	JobRefused JobAccount = "refused"
	// JobLost means that the job was lost and the system reports why.
	JobLost JobAccount = "lost"
)

// RevisionReported is the configuration revision that a process reported. Accepted changes must reach every process that
// has reported a revision and has not ended, so a test must add the final revision of each process at its end.
type RevisionReported struct {
	// At is when the report arrived.
	At time.Duration
	// Process identifies one incarnation of a process.
	Process string
	// Revision is the revision that the process uses.
	Revision uint64
}

// ChangeAccepted is an answer that accepted a configuration change.
type ChangeAccepted struct {
	// At is when the answer arrived.
	At time.Duration
	// Revision is the revision that includes the change.
	Revision uint64
}

// ChangeApplied is an accepted configuration change as one reader applied it.
type ChangeApplied struct {
	// At is when the reader applied it.
	At time.Duration
	// Process identifies the reader.
	Process string
	// Object is the changed object, Base the revision that the change is based on and Revision the one that it created.
	Object         string
	Base, Revision uint64
}

// RecordApplied is a log record that changed the state of a reader.
type RecordApplied struct {
	// At is when the reader applied it.
	At time.Duration
	// Process identifies one incarnation of the reader, Stream the stream.
	Process, Stream string
	// Writer, Incarnation and Seq identify the record.
	Writer           string
	Incarnation, Seq uint64
}

// ProcessEnded is the end of an incarnation of a process, or its disconnection for the rest of the history.
type ProcessEnded struct {
	// At is when it ended or was disconnected.
	At time.Duration
	// Process identifies the incarnation.
	Process string
}

func (e Request) at() time.Duration          { return e.At }
func (e Answer) at() time.Duration           { return e.At }
func (e Execution) at() time.Duration        { return e.At }
func (e EndpointShutdown) at() time.Duration { return e.At }
func (e Worker) at() time.Duration           { return e.At }
func (e AttemptStart) at() time.Duration     { return e.At }
func (e AttemptEnd) at() time.Duration       { return e.At }
func (e Commitment) at() time.Duration       { return e.At }
func (e ZoneState) at() time.Duration        { return e.At }
func (e JobAccepted) at() time.Duration      { return e.At }
func (e JobState) at() time.Duration         { return e.At }
func (e RevisionReported) at() time.Duration { return e.At }
func (e ChangeAccepted) at() time.Duration   { return e.At }
func (e ChangeApplied) at() time.Duration    { return e.At }
func (e RecordApplied) at() time.Duration    { return e.At }
func (e ProcessEnded) at() time.Duration     { return e.At }

// Recorder collects events. It is safe for concurrent use, and its zero value is ready for use.
type Recorder struct {
	mu     sync.Mutex
	events []Event
}

// Add appends events.
func (r *Recorder) Add(events ...Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, events...)
}

// Events returns a copy of the events so far.
func (r *Recorder) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Event(nil), r.events...)
}
