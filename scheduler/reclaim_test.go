package scheduler

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/record"
)

// Guards against a busy customer that keeps what it borrowed, and against an unbounded wait of its owner.
func TestLentRoomComesBack(t *testing.T) {
	s := fleetState(2, "busy")
	s.Apply(1, ContractChanged{record.Contract{Customer: "owner", MaxTasks: 10, MaxQueued: 10,
		Guaranteed: record.Resources{CPUMilli: 4000, MemoryMB: 8000}}})
	long := batchJob("busy", "long", 40)
	long.Checkpoint = true
	queue(s, 60_000, long)
	// The first tasks of a class run alone until they are measured.
	s.classOf(60_000, &long).measured = minSizeTasks
	s.classOf(60_000, &record.Job{Customer: "owner", Class: "c", Kind: record.BatchJob}).measured = minSizeTasks
	for _, w := range s.order {
		w.ramp = maxRamp
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

// Guards against evicting lent work that is about to end and would free the room by itself in time.
func TestLentRoomIsAwaitedWhenItFreesSoon(t *testing.T) {
	s := fleetState(2, "busy")
	s.Apply(1, ContractChanged{record.Contract{Customer: "owner", MaxTasks: 10, MaxQueued: 10,
		Guaranteed: record.Resources{CPUMilli: 4000, MemoryMB: 8000}}})
	short := batchJob("busy", "short", 32)
	short.RunMs = 25_000
	queue(s, 60_000, short)
	for _, j := range []record.Job{short, batchJob("owner", "j", 1)} {
		s.classOf(60_000, &j).measured = minSizeTasks
	}
	for _, w := range s.order {
		w.ramp = maxRamp
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
