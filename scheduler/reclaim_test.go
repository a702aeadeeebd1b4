package scheduler

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/record"
)

// Guards against a customer that keeps borrowed capacity, and against an unbounded wait of the customer whose guarantee
// it is.
func TestLentCapacityIsReclaimed(t *testing.T) {
	s := fleetState(2, "busy")
	s.Apply(1, ContractChanged{record.Contract{Customer: "owner", MaxTasks: 10, MaxQueued: 10,
		Guaranteed: record.Resources{CPUMilli: 4000, MemoryMB: 8000}}})
	long := batchJob("busy", "long", 40)
	long.Checkpoint = true
	queue(s, 60_000, long)
	// Mark the classes as measured, since an unmeasured class runs only a few tasks at a time.
	s.classOf(60_000, &long).measured = minSizeTasks
	s.classOf(60_000, &record.Job{Customer: "owner", Class: "c", Kind: record.BatchJob}).measured = minSizeTasks
	for _, w := range s.workerOrder {
		w.startWindow = maxStartWindow
	}
	run(s, 60_000, 61_000)
	assert.Equal(t, s.customers["busy"].used.CPUMilli, int64(32_000))
	queue(s, 80_000, batchJob("owner", "j", 2))
	started := 0
	for now := int64(80_000); now < 100_000; now += 100 {
		ds := s.Decide(now)
		for _, e := range evictions(ds) {
			assert.Assert(t, strings.HasPrefix(e.Task, "busy/"))
			s.Apply(now, TaskEnded{record.End{Task: e.Task, Attempt: e.Attempt, Outcome: record.Checkpointed}})
			s.Apply(now, TaskQueued{Job: long, Task: e.Task, NextAttempt: e.Attempt + 1})
		}
		for _, st := range confirm(s, now, ds) {
			if strings.HasPrefix(st.Task, "owner/") {
				started++
			}
		}
	}
	assert.Equal(t, started, 2)
}

// Guards against evicting lent work that is expected to end and free the capacity in time.
func TestNoReclaimWhenCapacityFreesInTime(t *testing.T) {
	s := fleetState(2, "busy")
	s.Apply(1, ContractChanged{record.Contract{Customer: "owner", MaxTasks: 10, MaxQueued: 10,
		Guaranteed: record.Resources{CPUMilli: 4000, MemoryMB: 8000}}})
	short := batchJob("busy", "short", 32)
	short.RunMs = 25_000
	queue(s, 60_000, short)
	for _, j := range []record.Job{short, batchJob("owner", "j", 1)} {
		s.classOf(60_000, &j).measured = minSizeTasks
	}
	for _, w := range s.workerOrder {
		w.startWindow = maxStartWindow
	}
	run(s, 60_000, 61_000)
	queue(s, 62_000, batchJob("owner", "j", 1))
	for now := int64(62_000); now < 85_000; now += 100 {
		assert.Equal(t, len(evictions(s.Decide(now))), 0, "at %d", now)
	}
	kept := s.jobs["owner/j"].nominated
	assert.Assert(t, kept != nil)
	end := kept.tasks[0]
	s.Apply(85_000, TaskEnded{record.End{Task: end.id, Attempt: end.attempt, Outcome: record.Finished, RanMs: 25_000}})
	starts := confirm(s, 85_000, s.Decide(85_000))
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Task, "owner/j#0")
}

// Guards against evicting lent work without the usual wait for a job that was queued while its customer used its whole
// guarantee.
func TestWaitBeyondTheGuaranteeDoesNotCount(t *testing.T) {
	s := fleetState(1, "busy")
	s.Apply(1, ContractChanged{record.Contract{Customer: "owner", MaxTasks: 10, MaxQueued: 10,
		Guaranteed: record.Resources{CPUMilli: 1000, MemoryMB: 1000}, Burst: big}})
	long := batchJob("busy", "long", 16)
	long.RunMs = 600_000
	for _, j := range []record.Job{long, batchJob("owner", "j", 1)} {
		s.classOf(60_000, &j).measured = minSizeTasks
	}
	s.workerOrder[0].startWindow = maxStartWindow
	queue(s, 60_000, long)
	run(s, 60_000, 61_000)
	assert.Equal(t, s.workerOrder[0].free().CPUMilli, int64(0))
	queue(s, 62_000, batchJob("owner", "second", 1))
	run(s, 62_000, 64_000)
	one := record.Resources{CPUMilli: 1000, MemoryMB: 1000}
	replace := func(now int64, ended, started string) {
		s.Apply(now, TaskEnded{record.End{Task: ended, Attempt: 1, Outcome: record.Finished, RanMs: 1000}})
		s.Apply(now, TaskStarted{record.Start{Task: started, Attempt: 1, Worker: "w00", Size: one}})
	}
	first := batchJob("owner", "first", 1)
	s.Apply(64_100, TaskQueued{Job: first, Task: "owner/first#0", NextAttempt: 1})
	replace(64_100, "busy/long#0", "owner/first#0")
	run(s, 64_200, 100_000)
	replace(100_000, "owner/first#0", "busy/late#0")
	evicted := int64(0)
	for now := int64(100_100); now < 140_000 && evicted == 0; now += 100 {
		if len(evictions(s.Decide(now))) > 0 {
			evicted = now
		}
	}
	cfg := DefaultConfig()
	assert.Assert(t, evicted >= 100_100+cfg.ReclaimMs && evicted <= 101_000+cfg.ReclaimMs, "%d", evicted)
}

// Guards against evicting lent work without the usual wait for a job that was not tried for a long time.
func TestWaitWithoutTriesDoesNotCount(t *testing.T) {
	s := fleetState(1, "busy")
	s.Apply(1, ContractChanged{record.Contract{Customer: "owner", MaxTasks: 10, MaxQueued: 10,
		Guaranteed: record.Resources{CPUMilli: 1000, MemoryMB: 1000}}})
	long := batchJob("busy", "long", 16)
	long.RunMs, long.Checkpoint = 600_000, true
	for _, j := range []record.Job{long, batchJob("owner", "j", 1)} {
		s.classOf(60_000, &j).measured = minSizeTasks
	}
	s.workerOrder[0].startWindow = maxStartWindow
	queue(s, 60_000, long)
	run(s, 60_000, 61_000)
	queue(s, 62_000, batchJob("owner", "j", 1))
	run(s, 62_000, 63_000)
	evicted := int64(0)
	for now := int64(200_000); now < 220_000 && evicted == 0; now += 100 {
		if len(evictions(s.Decide(now))) > 0 {
			evicted = now
		}
	}
	assert.Assert(t, evicted >= 200_000+DefaultConfig().ReclaimMs && evicted < 212_000, "%d", evicted)
}
