// Package history holds the events of a test run and the one checker of the system's invariants.
//
// Times are on one monotonic clock of the test machine, counted from any common origin. The checker has no clock.
package history

import (
	"sync"
	"time"

	"github.com/verbenakeel/verbenakeel/record"
)

// Event is one of the event types of this package.
type Event interface{ at() time.Duration }

// Request is a request as a caller sent it. Retries of the caller have IDs of their own.
type Request struct {
	// At is when the caller sent it.
	At time.Duration
	// ID is unique per request and is echoed in its answer.
	ID string
	// Key is the idempotency key of a non-repeatable request, with its customer; empty for repeatable ones.
	Key string
}

// Verdict is what a caller learned about a request.
type Verdict string

// Verdicts.
const (
	// Answered means that an answer of the endpoint arrived.
	Answered Verdict = "answered"
	// NotRun means that the request was refused with the statement that it did not run.
	NotRun Verdict = "not_run"
	// Refused means an error answer that says nothing on whether the request ran.
	Refused Verdict = "refused"
	// Unknown means that no whole answer arrived, or one that says the outcome is unknown.
	Unknown Verdict = "unknown"
)

// Answer is what the caller got for a request.
type Answer struct {
	// At is when the answer was complete.
	At time.Duration
	// ID is the ID of the request.
	ID string
	// Verdict is what the answer says.
	Verdict Verdict
	// Status is the HTTP status.
	Status int
	// EchoID is the request ID that the endpoint put into the answer; checked for Answered.
	EchoID string
	// Sum is the checksum of the body as received, and StatedSum the one that the endpoint computed; checked for
	// Answered.
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

// EndpointLeaving says that an endpoint began a graceful shutdown that was not cancelled later.
type EndpointLeaving struct {
	// At is when the order was accepted, or the process was told to end.
	At time.Duration
	// Endpoint is the endpoint as executions name it.
	Endpoint string
}

// Worker introduces a worker or changes its capacity.
type Worker struct {
	// At is when the worker had this capacity first.
	At time.Duration
	// ID is the worker's id.
	ID string
	// Zone is the worker's availability zone.
	Zone string
	// Capacity is what may be committed.
	Capacity record.Resources
}

// AttemptStart is the start of an attempt as the worker stand-in reports it.
type AttemptStart struct {
	// At is when the attempt began to run.
	At time.Duration
	// Task is the job's id, '#' and an index; Attempt counts from 1.
	Task    string
	Attempt uint32
	// Worker is where it runs.
	Worker string
	// Size is what it is committed.
	Size record.Resources
}

// AttemptEnd is the end of an attempt as the worker stand-in reports it. An attempt without one runs to the end of the
// history, so a test that kills a worker adds the ends of its attempts, with outcome Lapsed.
type AttemptEnd struct {
	// At is when the attempt stopped running.
	At time.Duration
	// Task and Attempt name the attempt.
	Task    string
	Attempt uint32
	// Worker is where it ran.
	Worker string
	// Outcome says how it ended. After Checkpointed, Stopped and Lapsed the task must resume.
	Outcome record.Outcome
}

// Commitment is what a process claims to be committed on a worker.
type Commitment struct {
	// At is when the process reported it.
	At time.Duration
	// Worker is the worker.
	Worker string
	// Committed is the sum of commitments.
	Committed record.Resources
}

// ZoneState is an operator's order on an availability zone.
type ZoneState struct {
	// At is when the order was accepted; for Out false, when it was sent.
	At time.Duration
	// Zone is the zone.
	Zone string
	// Out is true if the zone was taken out of service and false if it was brought back.
	Out bool
}

// JobAccepted says that a submission was answered with acceptance.
type JobAccepted struct {
	// At is when the answer arrived.
	At time.Duration
	// Job is the job's id.
	Job string
	// Kind is the job's kind.
	Kind record.JobKind
}

// JobState is the state of a job in the system's accounts. Take the last one of a history from an entry that is up to
// date.
type JobState struct {
	// At is when the account was read.
	At time.Duration
	// Job is the job's id.
	Job string
	// State is the accounted state.
	State JobAccount
}

// JobAccount is an accounted state of a job.
type JobAccount string

// Accounted states of jobs.
const (
	// JobWaiting means that tasks of the job wait.
	JobWaiting JobAccount = "waiting"
	// JobRunning means that tasks of the job run and none waits.
	JobRunning JobAccount = "running"
	// JobFinished means that all tasks are done.
	JobFinished JobAccount = "finished"
	// JobFailed means that tasks ended with errors and are not tried again.
	JobFailed JobAccount = "failed"
	// JobCancelled means that the job was cancelled.
	JobCancelled JobAccount = "cancelled"
	// JobRefused means that the job can never run.
	JobRefused JobAccount = "refused"
	// JobLost means that the job was lost and the account says why.
	JobLost JobAccount = "lost"
)

// RevisionSeen is the configuration revision that a process reported. Accepted changes must reach every process that
// reported once and is not gone, so a test reports each process again at its end.
type RevisionSeen struct {
	// At is when the report arrived.
	At time.Duration
	// Process names one incarnation of a process.
	Process string
	// Revision is the revision in force there.
	Revision uint64
}

// ChangeAccepted says that a configuration change was answered with acceptance.
type ChangeAccepted struct {
	// At is when the answer arrived.
	At time.Duration
	// Revision is the revision that includes the change.
	Revision uint64
}

// ChangeDecided is an accepted configuration change as one reader folded it.
type ChangeDecided struct {
	// At is when the reader folded it.
	At time.Duration
	// Process names the reader.
	Process string
	// Object is what was changed, Base the revision it was changed from and Revision the one that the change made.
	Object         string
	Base, Revision uint64
}

// RecordApplied says that a record had an effect on the state of a reader.
type RecordApplied struct {
	// At is when the reader folded it.
	At time.Duration
	// Process names one incarnation of the reader, Stream the stream.
	Process, Stream string
	// Writer, Incarnation and Seq identify the record.
	Writer           string
	Incarnation, Seq uint64
}

// ProcessGone says that an incarnation of a process ended or is cut off for the rest of the history.
type ProcessGone struct {
	// At is when it ended.
	At time.Duration
	// Process names the incarnation.
	Process string
}

func (e Request) at() time.Duration         { return e.At }
func (e Answer) at() time.Duration          { return e.At }
func (e Execution) at() time.Duration       { return e.At }
func (e EndpointLeaving) at() time.Duration { return e.At }
func (e Worker) at() time.Duration          { return e.At }
func (e AttemptStart) at() time.Duration    { return e.At }
func (e AttemptEnd) at() time.Duration      { return e.At }
func (e Commitment) at() time.Duration      { return e.At }
func (e ZoneState) at() time.Duration       { return e.At }
func (e JobAccepted) at() time.Duration     { return e.At }
func (e JobState) at() time.Duration        { return e.At }
func (e RevisionSeen) at() time.Duration    { return e.At }
func (e ChangeAccepted) at() time.Duration  { return e.At }
func (e ChangeDecided) at() time.Duration   { return e.At }
func (e RecordApplied) at() time.Duration   { return e.At }
func (e ProcessGone) at() time.Duration     { return e.At }

// Recorder collects events from many goroutines. The zero value is ready for use.
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
