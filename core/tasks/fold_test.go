package tasks

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/core/lifecycle"
	"github.com/verbenakeel/verbenakeel/internal/rule"
	"github.com/verbenakeel/verbenakeel/record"
	"github.com/verbenakeel/verbenakeel/testkit/history"
)

type log struct {
	state *State
	next  uint64
}

func (l *log) append(rec record.Record) []Effect {
	l.next++
	rec.Writer, rec.Incarnation, rec.Seq = "e1", 1, l.next
	return l.state.Fold(l.next, &rec)
}

func newLog() *log {
	l := &log{state: New()}
	l.append(record.Record{DeciderClaim: &record.DeciderClaim{Address: "a"}})
	l.append(record.Record{Submits: []record.Job{{ID: "c/j", Customer: "c", Kind: record.BatchJob, Tasks: 2, Size: record.Resources{CPUMilli: 600, MemoryMB: 10}}}})
	l.append(record.Record{Batch: &record.Batch{Epoch: 1, Workers: []record.WorkerChange{{ID: "w", Zone: "z", Capacity: record.Resources{CPUMilli: 1000, MemoryMB: 100}}}}})
	return l
}

func start(task string, attempt uint32) record.Start {
	return record.Start{Task: task, Attempt: attempt, Worker: "w", Size: record.Resources{CPUMilli: 600, MemoryMB: 10}}
}

// Guards against a faulty decider that overcommits the CPU of a worker.
func TestStartBeyondCapacityIsVoid(t *testing.T) {
	l := newLog()
	l.append(record.Record{Batch: &record.Batch{Epoch: 1, Starts: []record.Start{start("c/j#0", 1), start("c/j#1", 1)}}})
	assert.Equal(t, l.state.Tasks["c/j#0"].State, lifecycle.TaskStarting)
	assert.Equal(t, l.state.Tasks["c/j#1"].State, lifecycle.TaskQueued)
	assert.Equal(t, l.state.Workers["w"].Committed.CPUMilli, int64(600))

	overflowing := start("c/j#1", 1)
	overflowing.Size.CPUMilli = math.MaxInt64
	l.append(record.Record{Batch: &record.Batch{Epoch: 1, Starts: []record.Start{overflowing}}})
	assert.Equal(t, l.state.Tasks["c/j#1"].State, lifecycle.TaskQueued)
}

// Guards against a removal of the capacity check in Fold that no check of the history detects.
func TestMissingCapacityCheckIsDetected(t *testing.T) {
	violations := func() []history.Violation {
		l := newLog()
		l.append(record.Record{Batch: &record.Batch{Epoch: 1, Starts: []record.Start{start("c/j#0", 1), start("c/j#1", 1)}}})
		w := l.state.Workers["w"]
		return history.Check([]history.Event{
			history.Worker{ID: "w", Zone: w.Zone, Capacity: w.Capacity},
			history.Commitment{Worker: "w", Committed: w.Committed},
		})
	}
	assert.Equal(t, len(violations()), 0)
	defer rule.Disable(rule.Capacity)()
	got := violations()
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Rule, history.OverCapacity)
}

// Guards against decisions of a replaced decider that still take effect.
func TestBatchOfOlderEpochIsVoid(t *testing.T) {
	l := newLog()
	l.append(record.Record{DeciderClaim: &record.DeciderClaim{Address: "b"}})
	l.append(record.Record{Batch: &record.Batch{Epoch: 1, Starts: []record.Start{start("c/j#0", 1)}}})
	assert.Equal(t, l.state.Tasks["c/j#0"].State, lifecycle.TaskQueued)
}

// Guards against a task that is requeued twice because the end of an attempt is recorded twice.
func TestRepeatedEndChangesNothing(t *testing.T) {
	l := newLog()
	l.append(record.Record{Batch: &record.Batch{Epoch: 1, Starts: []record.Start{start("c/j#0", 1)}}})
	end := record.End{Task: "c/j#0", Attempt: 1, Outcome: record.LeaseExpired, CheckpointMs: 40}
	l.append(record.Record{Batch: &record.Batch{Epoch: 1, Ends: []record.End{end}}})
	l.append(record.Record{Batch: &record.Batch{Epoch: 1, Ends: []record.End{end}, Starts: []record.Start{start("c/j#0", 2)}}})
	l.append(record.Record{Batch: &record.Batch{Epoch: 1, Ends: []record.End{end}}})
	task := l.state.Tasks["c/j#0"]
	assert.Equal(t, task.State, lifecycle.TaskStarting)
	assert.Equal(t, task.Attempt, uint32(2))
	assert.Equal(t, task.CheckpointMs, int64(40))
}

// Guards against a cancellation and a concurrent start that both take effect.
func TestCancelBeforeStartWins(t *testing.T) {
	l := newLog()
	l.append(record.Record{Cancels: []record.Cancel{{Job: "c/j", By: "x"}}})
	l.append(record.Record{Batch: &record.Batch{Epoch: 1, Starts: []record.Start{start("c/j#0", 1)}}})
	assert.Equal(t, l.state.Jobs["c/j"].State, JobCancelled)
	assert.Equal(t, l.state.Tasks["c/j#0"].State, lifecycle.TaskCancelled)
	assert.Equal(t, l.state.Workers["w"].Committed, record.Resources{})
}

// Guards against an entry that exceeds its memory because of the retained histories of jobs with many tasks.
func TestTrimBoundsEndedTasks(t *testing.T) {
	l := &log{state: New()}
	const perJob = 10_000
	for _, id := range []string{"c/1", "c/2", "c/3", "c/4", "c/5"} {
		l.append(record.Record{Submits: []record.Job{{ID: id, Customer: "c", Kind: record.BatchJob, Tasks: perJob}}})
		l.append(record.Record{Cancels: []record.Cancel{{Job: id}}})
	}
	assert.Equal(t, len(l.state.Tasks), maxEndedTasks)
	assert.Assert(t, l.state.Jobs["c/1"] == nil && l.state.JobExpired("c/1"))
}
