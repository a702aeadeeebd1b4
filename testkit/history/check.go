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
	// Malformed means that the history itself is incomplete or contradictory, so that no verdict rests on it.
	Malformed Rule = "malformed history"
	// ExecutedTwice means that a non-repeatable request was executed more than once.
	ExecutedTwice Rule = "non-repeatable request executed more than once"
	// NotRunExecuted means that a request was executed and its refusal said "not run".
	NotRunExecuted Rule = "refusal says not run, but the request was executed"
	// WorkAtLeaving means that a request began at an endpoint more than LeavingLimit after it began to leave.
	WorkAtLeaving Rule = "new work at a leaving endpoint"
	// CutOff means that a request at a leaving endpoint got no whole answer. A test that also breaks connections or ends
	// processes otherwise does not introduce the endpoint as leaving.
	CutOff Rule = "request in progress was cut off by a graceful shutdown"
	// AnswerNotWhole means that the body does not match the endpoint's checksum.
	AnswerNotWhole Rule = "answer is not whole"
	// AnswerOfOther means that a caller got the answer to another request.
	AnswerOfOther Rule = "answer belongs to another request"
	// AnswersDiffer means that requests with one key got different answers.
	AnswersDiffer Rule = "answers of one key differ"
	// TaskOverlap means that a task ran in two places at once.
	TaskOverlap Rule = "attempts of one task overlap"
	// NotResumed means that an evicted attempt was not resumed although its job is not accounted as waiting or ended.
	NotResumed Rule = "evicted attempt was not resumed"
	// ResumedTwice means that a task started again after it was finished, or with an attempt number that is not new.
	ResumedTwice Rule = "task was resumed more than once"
	// StartInZoneOut means that a task started more than ZoneLimit after its zone was taken out.
	StartInZoneOut Rule = "start in a zone out of service"
	// OverCapacity means that a worker was committed beyond its capacity.
	OverCapacity Rule = "worker committed beyond capacity"
	// JobUnaccounted means that an accepted job has no account.
	JobUnaccounted Rule = "accepted job has no account"
	// JobAccountChanged means that a job left a final state.
	JobAccountChanged Rule = "job left its final state"
	// RevisionDecreased means that the configuration of a process reverted.
	RevisionDecreased Rule = "configuration reverted"
	// UpdateLost means that a change was accepted that was not made from the newest version of its object.
	UpdateLost Rule = "accepted change overwrote one it was not made from"
	// RecordTwice means that a reader took one record of a writer twice.
	RecordTwice Rule = "record took effect twice"
	// ChangeNotSeen means that an accepted change did not reach a process.
	ChangeNotSeen Rule = "accepted change was not seen"
)

// ZoneLimit is the longest time from an order to take a zone out to the last start there.
const ZoneLimit = 3 * time.Second

// LeavingLimit is the longest time from the begin of an endpoint's shutdown to the last new work there.
const LeavingLimit = 3 * time.Second

// Violation is one breach of an invariant.
type Violation struct {
	// Rule is the invariant.
	Rule Rule
	// At is the time of the event that shows the breach.
	At time.Duration
	// Subject is the request, key, task, worker, job or process concerned.
	Subject string
	// Detail says what was seen.
	Detail string
}

// String returns the violation on one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s: %s at %v: %s", v.Rule, v.Subject, v.At, v.Detail)
}

// Check returns all violations in the events, ordered by time and subject. Events need not be ordered; those at one time count in
// the order given, except that an attempt that ends at a time precedes one that starts then.
func Check(events []Event) []Violation {
	c := newChecker()
	for _, e := range sorted(events) {
		c.apply(e)
	}
	c.finish()
	slices.SortStableFunc(c.violations, func(a, b Violation) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Subject, b.Subject), cmp.Compare(a.Rule, b.Rule))
	})
	return c.violations
}

func sorted(events []Event) []Event {
	out := slices.Clone(events)
	slices.SortStableFunc(out, func(a, b Event) int {
		if d := cmp.Compare(a.at(), b.at()); d != 0 {
			return d
		}
		return cmp.Compare(startsLast(a), startsLast(b))
	})
	return out
}

func startsLast(e Event) int {
	if _, ok := e.(AttemptStart); ok {
		return 1
	}
	return 0
}

// checker folds events in time order.
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
		c.request(e)
	case Answer:
		c.requests.answers = append(c.requests.answers, e)
	case Execution:
		c.execution(e)
	case EndpointLeaving:
		c.requests.leaving[e.Endpoint] = e
	case Worker:
		c.tasks.workers[e.ID] = e
	case AttemptStart:
		c.attemptStart(e)
	case AttemptEnd:
		c.attemptEnd(e)
	case Commitment:
		c.commitment(e)
	case ZoneState:
		c.zoneState(e)
	case JobAccepted:
		c.tasks.accepted[e.Job] = e
	case JobState:
		c.jobState(e)
	case RevisionSeen:
		c.revisionSeen(e)
	case ChangeAccepted:
		c.config.accepted = max(c.config.accepted, e.Revision)
		c.config.acceptedAt = e.At
	case ChangeDecided:
		c.changeDecided(e)
	case RecordApplied:
		c.recordApplied(e)
	case ProcessGone:
		c.config.gone[e.Process] = true
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
