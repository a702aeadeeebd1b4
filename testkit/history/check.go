package history

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Rule names an invariant.
type Rule string

// Rules.
const (
	// Malformed means that the history itself is incomplete or inconsistent, so that the other rules cannot be checked.
	Malformed Rule = "malformed history"
	// ExecutedTwice means that a non-repeatable request was executed more than once.
	ExecutedTwice Rule = "non-repeatable request executed more than once"
	// NotRunExecuted means that a request was executed although its refusal stated that it was not run.
	NotRunExecuted Rule = "refusal says not run, but the request was executed"
	// RequestAfterShutdown means that an endpoint began a request more than ShutdownWorkLimit after the start of its graceful
	// shutdown.
	RequestAfterShutdown Rule = "new work at a leaving endpoint"
	// RequestInterrupted means that a request in progress at an endpoint in graceful shutdown got no whole answer. A test that also
	// breaks connections or kills processes must not record the start of the shutdown.
	RequestInterrupted Rule = "request in progress was cut off by a graceful shutdown"
	// AnswerCorrupt means that the received body does not match the checksum that the endpoint computed.
	AnswerCorrupt Rule = "answer is not whole"
	// AnswerMismatched means that a caller received the answer to another request.
	AnswerMismatched Rule = "answer belongs to another request"
	// AnswersDiffer means that requests with the same idempotency key received different answers.
	AnswersDiffer Rule = "answers of one key differ"
	// TaskOverlap means that two attempts of a task ran at the same time.
	TaskOverlap Rule = "attempts of one task overlap"
	// NotResumed means that an evicted task was not resumed although the state of its job is neither waiting nor an end
	// without the task.
	NotResumed Rule = "evicted attempt was not resumed"
	// ResumedTwice means that a task started again after it had finished, or with an attempt number that is not higher
	// than all earlier ones.
	ResumedTwice Rule = "task was resumed more than once"
	// StartInZoneOut means that a task started in a zone more than ZoneLimit after the zone was taken out of service.
	StartInZoneOut Rule = "start in a zone out of service"
	// OverCapacity means that the resources committed on a worker exceeded its capacity.
	OverCapacity Rule = "worker committed beyond capacity"
	// JobUnaccounted means that no state was reported for an accepted job.
	JobUnaccounted Rule = "accepted job has no account"
	// JobAccountChanged means that the reported state of a job changed after it was final.
	JobAccountChanged Rule = "job left its final state"
	// RevisionDecreased means that a process reported a lower configuration revision than before.
	RevisionDecreased Rule = "configuration reverted"
	// UpdateLost means that a change was accepted although it was not based on the newest version of its object.
	UpdateLost Rule = "accepted change overwrote one it was not made from"
	// RecordAppliedTwice means that a reader applied the same record of a writer twice.
	RecordAppliedTwice Rule = "record took effect twice"
	// ChangeNotPropagated means that an accepted change did not reach a process.
	ChangeNotPropagated Rule = "accepted change was not seen"
)

// ZoneLimit bounds the time from an order to take a zone out of service until the last start in the zone.
const ZoneLimit = 3 * time.Second

// ShutdownWorkLimit bounds the time from the start of an endpoint's graceful shutdown until its last new request.
const ShutdownWorkLimit = 3 * time.Second

// Violation is one violation of an invariant.
type Violation struct {
	// Rule is the invariant.
	Rule Rule
	// At is the time of the event that shows the violation.
	At time.Duration
	// Subject is the request, key, task, worker, job or process concerned.
	Subject string
	// Detail describes what the history contains.
	Detail string
}

// String returns the violation on one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s: %s at %v: %s", v.Rule, v.Subject, v.At, v.Detail)
}

// Check returns all violations in the events, sorted by time, subject and rule. The events may be in any order; events
// at the same time are applied in the order given, but starts of attempts after all other events.
func Check(events []Event) []Violation {
	c := newChecker()
	for _, e := range sortEvents(events) {
		c.apply(e)
	}
	c.finish()
	slices.SortStableFunc(c.violations, func(a, b Violation) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Subject, b.Subject), cmp.Compare(a.Rule, b.Rule))
	})
	return c.violations
}

func sortEvents(events []Event) []Event {
	out := slices.Clone(events)
	slices.SortStableFunc(out, func(a, b Event) int {
		if d := cmp.Compare(a.at(), b.at()); d != 0 {
			return d
		}
		return cmp.Compare(startsAfterEnds(a), startsAfterEnds(b))
	})
	return out
}

func startsAfterEnds(e Event) int {
	if _, ok := e.(AttemptStart); ok {
		return 1
	}
	return 0
}

// checker applies events in time order.
type checker struct {
	requests   requests
	tasks      tasks
	config     configuration
	records    records
	violations []Violation
}

func newChecker() *checker {
	return &checker{requests: newRequests(), tasks: newTasks(), config: newConfiguration(), records: newRecords()}
}

func (c *checker) apply(event Event) {
	switch e := event.(type) {
	case Request:
		c.onRequest(e)
	case Answer:
		c.requests.answers = append(c.requests.answers, e)
	case Execution:
		c.onExecution(e)
	case EndpointShutdown:
		c.requests.shutdowns[e.Endpoint] = e
	case Worker:
		c.tasks.workers[e.ID] = e
	case AttemptStart:
		c.onAttemptStart(e)
	case AttemptEnd:
		c.onAttemptEnd(e)
	case Commitment:
		c.onCommitment(e)
	case ZoneState:
		c.onZoneState(e)
	case JobAccepted:
		c.tasks.accepted[e.Job] = e
	case JobState:
		c.onJobState(e)
	case RevisionReported:
		c.onRevisionReported(e)
	case ChangeAccepted:
		c.config.accepted = max(c.config.accepted, e.Revision)
		c.config.acceptedAt = e.At
	case ChangeApplied:
		c.onChangeApplied(e)
	case RecordApplied:
		c.onRecordApplied(e)
	case ProcessEnded:
		c.config.ended[e.Process] = true
	}
}

// finish applies the rules that need the whole history.
func (c *checker) finish() {
	c.finishRequests()
	c.finishTasks()
	c.finishConfiguration()
}

func (c *checker) report(rule Rule, at time.Duration, subject, format string, args ...any) {
	c.violations = append(c.violations, Violation{rule, at, subject, fmt.Sprintf(format, args...)})
}
