package decider

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/core/authority"
	"github.com/verbenakeel/verbenakeel/core/clock"
	"github.com/verbenakeel/verbenakeel/core/config"
	"github.com/verbenakeel/verbenakeel/core/holder"
	"github.com/verbenakeel/verbenakeel/core/tasks"
	"github.com/verbenakeel/verbenakeel/record"
	"github.com/verbenakeel/verbenakeel/scheduler"
)

// placedTask returns a decider with a task placed on worker w, and that worker's next poll.
func placedTask(t *testing.T) (*State, *authority.State, clock.Now, Poll) {
	t.Helper()
	region := tasks.New()
	next := uint64(0)
	apply := func(rec record.Record) {
		next++
		rec.Writer, rec.Incarnation, rec.Seq = "e", 1, next
		region.Fold(next, &rec)
	}
	size := record.Resources{CPUMilli: 1000, MemoryMB: 100}
	w := record.WorkerChange{ID: "w", Zone: "z", Capacity: record.Resources{CPUMilli: 8000, MemoryMB: 8000}, Incarnation: 1}
	apply(record.Record{DeciderClaim: &record.DeciderClaim{}})
	apply(record.Record{Submits: []record.Job{{ID: "c/j", Customer: "c", Kind: record.BatchJob, Tasks: 1, Size: size, RunMs: 500}}})
	apply(record.Record{Batch: &record.Batch{Epoch: 1, Workers: []record.WorkerChange{w}}})
	apply(record.Record{Batch: &record.Batch{Epoch: 1, Starts: []record.Start{{Task: "c/j#0", Attempt: 1, Worker: "w", Size: size}}}})

	auth := authority.New(authority.DefaultConfig(), "e", 1)
	s := New(DefaultConfig(), scheduler.DefaultConfig(), auth, region, config.New())
	now := clock.Now{Mono: time.Second, WallMs: 1}
	auth.Claimed(now, 1, "e", 1, record.DeciderClaim{}, nil)
	auth.ObserveLogRead(now, now.Mono)
	s.ApplyEffects(now, []tasks.Effect{tasks.EpochChanged{Epoch: 1}})
	return s, auth, now, Poll{Worker: "w", Incarnation: 1, Zone: "z", Capacity: w.Capacity, Epoch: 1, Sequence: 1}
}

// Guards against finished work that runs again: the worker reported the end, and the log was then unavailable for longer
// than the lease. Without a valid decider workers get no answer and count as unresponsive, so the decider recorded the
// attempt as lapsed.
func TestReportedEndOutlivesLeaseInOutage(t *testing.T) {
	s, auth, now, poll := placedTask(t)
	poll.Ended = []record.End{{Task: "c/j#0", Attempt: 1, Outcome: record.Finished}}
	_, err := s.Sync(now, poll)
	assert.NilError(t, err)

	now.Mono += time.Hour
	auth.ObserveLogRead(now, now.Mono)
	s.Tick(now)
	now.Mono += s.cfg.SilentAfter + time.Second
	s.BatchDone(true)
	auth.ObserveLogRead(now, now.Mono)
	b := s.Tick(now)
	assert.Assert(t, b != nil)
	assert.Equal(t, len(b.Ends), 1)
	assert.Equal(t, b.Ends[0].Outcome, record.Finished)
}

// Guards against finished work that runs again because it ended during an outage of the log: the worker's polls were not
// answered, so the decider must give the worker time to report the end once this entry may act again.
func TestEndDuringOutageIsWaitedFor(t *testing.T) {
	s, auth, now, poll := placedTask(t)
	poll.Held = []holder.AttemptRef{{Task: "c/j#0", Attempt: 1}}
	_, err := s.Sync(now, poll)
	assert.NilError(t, err)
	s.Tick(now)
	s.BatchDone(true)

	now.Mono += time.Hour
	assert.Assert(t, s.Tick(now) == nil)
	auth.ObserveLogRead(now, now.Mono)
	b := s.Tick(now)
	assert.Assert(t, b == nil || len(b.Ends) == 0, "the worker had no time to report: %+v", b)
	s.BatchDone(true)

	// The attempts of a worker that stays unresponsive are still ended.
	now.Mono += s.cfg.SilentAfter + time.Second
	auth.ObserveLogRead(now, now.Mono)
	b = s.Tick(now)
	assert.Assert(t, b != nil)
	assert.Equal(t, len(b.Ends), 1)
	assert.Equal(t, b.Ends[0].Outcome, record.LeaseExpired)
}
