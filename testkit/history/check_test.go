package history

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/record"
)

const s = time.Second

var (
	small = record.Resources{CPUMilli: 4000, MemoryMB: 1000}
	half  = record.Resources{CPUMilli: 2000, MemoryMB: 100}
	more  = record.Resources{CPUMilli: 2001, MemoryMB: 100}
)

func twoWorkers(events ...Event) []Event {
	return append([]Event{
		Worker{At: 0, ID: "w1", Zone: "a", Capacity: small},
		Worker{At: 0, ID: "w2", Zone: "b", Capacity: small},
	}, events...)
}

func begin(at time.Duration, task string, attempt uint32, worker string) AttemptStart {
	return AttemptStart{At: at, Task: task, Attempt: attempt, Worker: worker, Size: half}
}

func end(at time.Duration, task string, attempt uint32, worker string, outcome record.Outcome) AttemptEnd {
	return AttemptEnd{At: at, Task: task, Attempt: attempt, Worker: worker, Outcome: outcome}
}

func answer(at time.Duration, id, echo string, sum uint64) Answer {
	return Answer{At: at, ID: id, Verdict: Answered, Status: 200, EchoID: echo, Sum: sum, StatedSum: sum}
}

// cases are histories, each named after the failure that it guards against. An empty rule means that the history is good.
var cases = []struct {
	guards string
	rule   Rule
	events []Event
}{
	{"a retried request with the same key that is executed twice", ExecutedTwice, []Event{
		Request{1 * s, "r1", "h/k"}, Request{2 * s, "r2", "h/k"},
		Execution{2 * s, "r1", "h/k", "e1"}, Execution{3 * s, "r2", "h/k", "e2"}}},
	{"one request that reaches two endpoints", ExecutedTwice, []Event{
		Request{1 * s, "r1", "h/k"}, Execution{2 * s, "r1", "h/k", "e1"}, Execution{2 * s, "r1", "h/k", "e2"}}},
	{"good: hedges of a repeatable request", "", []Event{
		Request{1 * s, "r1", ""}, Execution{2 * s, "r1", "", "e1"}, Execution{2 * s, "r1", "", "e2"}, answer(3*s, "r1", "r1", 5)}},
	{"good: different keys", "", []Event{
		Request{1 * s, "r1", "h/k"}, Request{2 * s, "r2", "h/l"},
		Execution{2 * s, "r1", "h/k", "e1"}, Execution{3 * s, "r2", "h/l", "e2"}}},
	{"a refusal after the request ran", NotRunExecuted, []Event{
		Request{1 * s, "r1", ""}, Execution{2 * s, "r1", "", "e1"}, Answer{At: 3 * s, ID: "r1", Verdict: NotRun}}},
	{"a refused request that runs late", NotRunExecuted, []Event{
		Request{1 * s, "r1", "h/k"}, Answer{At: 2 * s, ID: "r1", Verdict: NotRun}, Execution{9 * s, "r1", "h/k", "e1"}}},
	{"good: a refusal, and a repeat under the same key that runs", "", []Event{
		Request{1 * s, "r1", "h/k"}, Answer{At: 2 * s, ID: "r1", Verdict: NotRun},
		Request{3 * s, "r2", "h/k"}, Execution{4 * s, "r2", "h/k", "e1"}, answer(5*s, "r2", "r2", 5)}},
	{"good: an unknown outcome may have run", "", []Event{
		Request{1 * s, "r1", "h/k"}, Execution{2 * s, "r1", "h/k", "e1"}, Answer{At: 3 * s, ID: "r1", Verdict: Unknown}}},
	{"an answer cut off by a lost connection", AnswerCorrupt, []Event{
		Request{1 * s, "r1", ""}, Answer{At: 2 * s, ID: "r1", Verdict: Answered, EchoID: "r1", Sum: 1, StatedSum: 2}}},
	{"a late answer given to the next caller", AnswerMismatched, []Event{
		Request{1 * s, "r1", ""}, Request{1 * s, "r2", ""}, answer(2*s, "r2", "r1", 5)}},
	{"an answer of another key", AnswerMismatched, []Event{
		Request{1 * s, "r1", "h/k"}, Request{1 * s, "r2", "h/l"}, answer(2*s, "r2", "r1", 5)}},
	{"an answer that names no request", AnswerMismatched, []Event{Request{1 * s, "r1", "h/k"}, answer(2*s, "r1", "", 5)}},
	{"a repeat that gets a new answer", AnswersDiffer, []Event{
		Request{1 * s, "r1", "h/k"}, answer(2*s, "r1", "r1", 5), Request{3 * s, "r2", "h/k"}, answer(4*s, "r2", "r1", 6)}},
	{"good: a repeat that gets the kept answer", "", []Event{
		Request{1 * s, "r1", "h/k"}, answer(2*s, "r1", "r1", 5), Request{3 * s, "r2", "h/k"}, answer(4*s, "r2", "r1", 5)}},
	{"an answer recorded without its request", Malformed, []Event{answer(2*s, "r1", "r1", 5)}},
	{"a request ID used twice", Malformed, []Event{Request{1 * s, "r1", ""}, Request{2 * s, "r1", ""}}},

	{"a task started elsewhere before its lease ended", TaskOverlap, twoWorkers(
		begin(1*s, "h/j#0", 1, "w1"), begin(5*s, "h/j#0", 2, "w2"), end(6*s, "h/j#0", 1, "w1", record.LeaseExpired))},
	{"an overlap hidden by the order of the events", TaskOverlap, twoWorkers(
		begin(1*s, "h/j#0", 1, "w1"), end(6*s, "h/j#0", 1, "w1", record.LeaseExpired), begin(5*s, "h/j#0", 2, "w2"))},
	{"good: a task that resumes elsewhere at the time at which it is evicted", "", twoWorkers(
		begin(1*s, "h/j#0", 1, "w1"), begin(5*s, "h/j#0", 2, "w2"), end(5*s, "h/j#0", 1, "w1", record.Checkpointed),
		end(9*s, "h/j#0", 2, "w2", record.Finished))},
	{"good: two tasks of a job at once", "", twoWorkers(begin(1*s, "h/j#0", 1, "w1"), begin(1*s, "h/j#1", 1, "w2"))},
	{"an evicted task that is not resumed", NotResumed, twoWorkers(
		begin(1*s, "h/j#0", 1, "w1"), end(2*s, "h/j#0", 1, "w1", record.Checkpointed), JobState{9 * s, "h/j", JobRunning})},
	{"good: a surplus replica is stopped while another one runs", "", twoWorkers(
		JobAccepted{0, "h/j", record.ServiceJob}, JobState{9 * s, "h/j", JobRunning}, begin(1*s, "h/j#0", 1, "w1"),
		begin(2*s, "h/j#1", 1, "w2"), end(3*s, "h/j#1", 1, "w2", record.Checkpointed))},
	{"a service left without any replica", NotResumed, twoWorkers(
		JobAccepted{0, "h/j", record.ServiceJob}, JobState{9 * s, "h/j", JobRunning}, begin(1*s, "h/j#0", 1, "w1"),
		end(3*s, "h/j#0", 1, "w1", record.LeaseExpired))},
	{"a task lost with its worker whose job is reported as finished", NotResumed, twoWorkers(
		begin(1*s, "h/j#0", 1, "w1"), end(2*s, "h/j#0", 1, "w1", record.LeaseExpired), JobState{9 * s, "h/j", JobFinished})},
	{"good: an evicted task that waits", "", twoWorkers(
		begin(1*s, "h/j#0", 1, "w1"), end(2*s, "h/j#0", 1, "w1", record.Stopped), JobState{9 * s, "h/j", JobWaiting})},
	{"good: a cancelled job's task is not resumed", "", twoWorkers(
		begin(1*s, "h/j#0", 1, "w1"), end(2*s, "h/j#0", 1, "w1", record.Stopped), JobState{9 * s, "h/j", JobCancelled})},
	{"an eviction resumed twice, one after the other", ResumedTwice, twoWorkers(
		begin(1*s, "h/j#0", 1, "w1"), end(2*s, "h/j#0", 1, "w1", record.Checkpointed),
		begin(3*s, "h/j#0", 2, "w2"), end(4*s, "h/j#0", 2, "w2", record.Finished), begin(5*s, "h/j#0", 3, "w1"))},
	{"a repeated start message that runs the attempt again", ResumedTwice, twoWorkers(
		begin(1*s, "h/j#0", 1, "w1"), end(2*s, "h/j#0", 1, "w1", record.Failed), begin(3*s, "h/j#0", 1, "w1"))},
	{"a late start message of an earlier attempt", ResumedTwice, twoWorkers(
		begin(1*s, "h/j#0", 2, "w1"), end(2*s, "h/j#0", 2, "w1", record.Failed), begin(3*s, "h/j#0", 1, "w2"))},
	{"good: an expired service task is replaced under a new id", "", twoWorkers(
		JobAccepted{0, "h/j", record.ServiceJob}, JobState{9 * s, "h/j", JobRunning},
		begin(1*s, "h/j#0", 1, "w1"), end(2*s, "h/j#0", 1, "w1", record.LeaseExpired), begin(2*s, "h/j#1", 1, "w2"))},
	{"an evicted service task that is not resumed", NotResumed, twoWorkers(
		JobAccepted{0, "h/j", record.ServiceJob}, JobState{9 * s, "h/j", JobRunning},
		begin(1*s, "h/j#0", 1, "w1"), end(2*s, "h/j#0", 1, "w1", record.Checkpointed))},
	{"good: a long-running task is restarted when it stops", "", twoWorkers(
		JobAccepted{0, "h/j", record.StandingJob}, JobState{9 * s, "h/j", JobRunning},
		begin(1*s, "h/j#0", 1, "w1"), end(2*s, "h/j#0", 1, "w1", record.Finished), begin(3*s, "h/j#0", 2, "w2"))},
	{"a start in a zone out of service", StartInZoneOut, twoWorkers(
		ZoneState{1 * s, "a", true}, begin(4*s+1, "h/j#0", 1, "w1"))},
	{"a repeated order that extends the limit", StartInZoneOut, twoWorkers(
		ZoneState{1 * s, "a", true}, ZoneState{4 * s, "a", true}, begin(5*s, "h/j#0", 1, "w1"))},
	{"good: starts within the limit, in another zone and after the zone is back", "", twoWorkers(
		ZoneState{1 * s, "a", true}, begin(4*s, "h/j#0", 1, "w1"), begin(9*s, "h/j#1", 1, "w2"),
		ZoneState{20 * s, "a", false}, begin(21*s, "h/j#2", 1, "w1"))},
	{"three tasks that each need half of a worker's CPU on one worker", OverCapacity, twoWorkers(
		begin(1*s, "h/j#0", 1, "w1"), begin(2*s, "h/j#1", 1, "w1"), begin(3*s, "h/j#2", 1, "w1"))},
	{"a commitment beyond capacity before any start", OverCapacity, twoWorkers(
		Commitment{1 * s, "w1", half.Add(more)})},
	{"good: a full worker that is used again", "", twoWorkers(
		begin(1*s, "h/j#0", 1, "w1"), begin(2*s, "h/j#1", 1, "w1"), end(3*s, "h/j#0", 1, "w1", record.Finished),
		begin(3*s, "h/j#2", 1, "w1"), Commitment{4 * s, "w1", half.Add(half)})},
	{"a start on an unknown worker", Malformed, []Event{begin(1*s, "h/j#0", 1, "w1")}},
	{"a commitment on an unknown worker", Malformed, []Event{Commitment{1 * s, "w1", half}}},
	{"an end without its start", Malformed, twoWorkers(end(1*s, "h/j#0", 1, "w1", record.Finished))},

	{"an accepted job without a reported state", JobUnaccounted, []Event{JobAccepted{1 * s, "h/j", record.BatchJob}}},
	{"a finished job that is reported as failed later", JobAccountChanged, []Event{
		JobAccepted{1 * s, "h/j", record.BatchJob}, JobState{2 * s, "h/j", JobFinished}, JobState{3 * s, "h/j", JobFailed}}},
	{"a cancelled job that runs again", JobAccountChanged, []Event{
		JobAccepted{1 * s, "h/j", record.BatchJob}, JobState{2 * s, "h/j", JobCancelled}, JobState{3 * s, "h/j", JobRunning}}},
	{"good: a job that waits, runs, waits and finishes", "", []Event{
		JobAccepted{1 * s, "h/j", record.BatchJob}, JobState{2 * s, "h/j", JobWaiting}, JobState{3 * s, "h/j", JobRunning},
		JobState{4 * s, "h/j", JobWaiting}, JobState{5 * s, "h/j", JobFinished}, JobState{6 * s, "h/j", JobFinished}}},

	{"a process that applies an older state", RevisionDecreased, []Event{
		RevisionReported{1 * s, "e1/1", 7}, RevisionReported{2 * s, "e1/1", 6}}},
	{"a process that does not receive a change", ChangeNotPropagated, []Event{
		ChangeAccepted{1 * s, 7}, RevisionReported{2 * s, "e1/1", 7}, RevisionReported{2 * s, "e2/1", 6}}},
	{"changes accepted without any reported revision", Malformed, []Event{ChangeAccepted{1 * s, 7}}},
	{"two operators whose changes based on one version are both accepted", UpdateLost, []Event{
		ChangeApplied{1 * s, "e1/1", "zone a", 0, 5}, ChangeApplied{2 * s, "e1/1", "zone a", 0, 6}}},
	{"good: changes based on one another, and a change of another object", "", []Event{
		ChangeApplied{1 * s, "e1/1", "zone a", 0, 5}, ChangeApplied{2 * s, "e1/1", "zone a", 5, 6},
		ChangeApplied{2 * s, "e1/1", "zone b", 0, 7}, ChangeApplied{3 * s, "e2/1", "zone a", 0, 5}}},
	{"a record appended again after a lost reply and applied twice", RecordAppliedTwice, []Event{
		RecordApplied{1 * s, "e1/1", "config", "e2", 3, 9}, RecordApplied{2 * s, "e1/1", "config", "e2", 3, 9}}},
	{"good: one record applied by two readers, and two records", "", []Event{
		RecordApplied{1 * s, "e1/1", "config", "e2", 3, 9}, RecordApplied{2 * s, "e3/1", "config", "e2", 3, 9},
		RecordApplied{2 * s, "e1/1", "config", "e2", 3, 10}}},
	{"good: a restarted process starts at a lower revision, and an ended one needs no change", "", []Event{
		RevisionReported{1 * s, "e1/1", 6}, ProcessEnded{2 * s, "e1/1"}, ChangeAccepted{3 * s, 7},
		RevisionReported{4 * s, "e1/2", 0}, RevisionReported{5 * s, "e1/2", 8}}},
}

// Guards against a rule that does not report its violation, or that reports a good history or another rule's violation.
func TestCheck(t *testing.T) {
	for _, tc := range cases {
		t.Run(tc.guards, func(t *testing.T) {
			got := Check(tc.events)
			if tc.rule == "" {
				assert.Equal(t, len(got), 0, "%v", got)
				return
			}
			assert.Equal(t, len(got), 1, "%v", got)
			assert.Equal(t, got[0].Rule, tc.rule, "%v", got)
		})
	}
}

// Guards against a rule without a case that violates it.
// RequestAfterShutdown and RequestInterrupted have theirs in the tests of package side.
func TestEveryRuleHasABadHistory(t *testing.T) {
	fired := map[Rule]bool{}
	for _, tc := range cases {
		fired[tc.rule] = true
	}
	for _, rule := range []Rule{Malformed, ExecutedTwice, NotRunExecuted, AnswerCorrupt, AnswerMismatched, AnswersDiffer,
		TaskOverlap, NotResumed, ResumedTwice, StartInZoneOut, OverCapacity, JobUnaccounted, JobAccountChanged,
		RevisionDecreased, ChangeNotPropagated, UpdateLost, RecordAppliedTwice} {
		assert.Assert(t, fired[rule], "no case for %q", rule)
	}
}

// Guards against events lost when many goroutines record concurrently.
func TestRecorder(t *testing.T) {
	var r Recorder
	var all sync.WaitGroup
	for range 8 {
		all.Go(func() {
			for range 100 {
				r.Add(Request{}, Answer{})
			}
		})
	}
	all.Wait()
	assert.Equal(t, len(r.Events()), 1600)
}
