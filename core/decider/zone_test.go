package decider

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/core/authority"
	"github.com/verbenakeel/verbenakeel/core/clock"
	"github.com/verbenakeel/verbenakeel/core/config"
	"github.com/verbenakeel/verbenakeel/core/tasks"
	"github.com/verbenakeel/verbenakeel/record"
	"github.com/verbenakeel/verbenakeel/scheduler"
)

// Guards against tasks that were placed in a zone just before it was taken out of service and wait there until it is back:
// short batch tasks and services are not evicted from the zone.
func TestPlacedTaskLeavesZoneTakenOut(t *testing.T) {
	for _, kind := range []record.JobKind{record.BatchJob, record.ServiceJob} {
		region, conf := tasks.New(), config.New()
		next := uint64(0)
		apply := func(rec record.Record) []tasks.Effect {
			next++
			rec.Writer, rec.Incarnation, rec.Seq = "e", 1, next
			return region.Fold(next, &rec)
		}
		size := record.Resources{CPUMilli: 1000, MemoryMB: 100}
		apply(record.Record{DeciderClaim: &record.DeciderClaim{}})
		apply(record.Record{Submits: []record.Job{{ID: "c/j", Customer: "c", Kind: kind, Tasks: 1, Size: size, RunMs: 500}}})
		w := record.WorkerChange{ID: "w", Zone: "z", Capacity: record.Resources{CPUMilli: 8000, MemoryMB: 8000}, Incarnation: 1}
		apply(record.Record{Batch: &record.Batch{Epoch: 1, Workers: []record.WorkerChange{w}}})
		apply(record.Record{Batch: &record.Batch{Epoch: 1, Starts: []record.Start{{Task: "c/j#0", Attempt: 1, Worker: "w", Size: size}}}})

		auth := authority.New(authority.DefaultConfig(), "e", 1)
		s := New(DefaultConfig(), scheduler.DefaultConfig(), auth, region, conf)
		now := clock.Now{Mono: time.Second, WallMs: 1}
		auth.Claimed(now, 1, "e", 1, record.DeciderClaim{}, nil)
		s.ApplyEffects(now, []tasks.Effect{tasks.EpochChanged{Epoch: 1}})
		poll := Poll{Worker: "w", Incarnation: 1, Zone: "z", Capacity: w.Capacity, Epoch: 1, WantStarts: true}
		at := func(mono time.Duration) Answer {
			now.Mono = mono
			poll.Sequence++
			auth.ObserveLogRead(now, mono)
			s.ConfigRead(mono)
			a, err := s.Sync(now, poll)
			assert.NilError(t, err)
			return a
		}
		assert.Equal(t, len(at(4*time.Second).Starts), 1)
		out := record.Record{Writer: "e", Incarnation: 1, Seq: 1, Config: []record.ConfigChange{{ID: "o", Zone: &record.ZoneChange{Zone: "z", Out: true}}}}
		s.ConfigChanged(now, conf.Fold(1, &out))

		assert.Equal(t, len(at(5*time.Second).Starts), 0)
		assert.Equal(t, len(s.pendingEnds), 0, "%s: a start ordered earlier may be under way until its permit expires", kind)
		assert.Assert(t, !s.HasUpdates(now, poll))
		now.Mono = 8 * time.Second
		assert.Assert(t, s.HasUpdates(now, poll), "the poll must be answered once the permit has expired")
		at(8 * time.Second)
		assert.Equal(t, len(s.pendingEnds), 0, "%s: a withheld poll does not show starts during the wait", kind)
		at(8 * time.Second)
		end, ok := s.pendingEnds["c/j#0"]
		assert.Assert(t, ok, "%s: the attempt stays placed in the zone", kind)
		apply(record.Record{Batch: &record.Batch{Epoch: 1, Ends: []record.End{end}}})
		assert.Equal(t, string(region.Tasks["c/j#0"].State), "queued")
	}
}

// Guards against a zone that is back in service but stays held until the hold of the earlier order expires, also at entries
// that are not the decider.
func TestZoneBackEndsHold(t *testing.T) {
	conf := config.New()
	s := New(DefaultConfig(), scheduler.DefaultConfig(), authority.New(authority.DefaultConfig(), "e", 1), tasks.New(), conf)
	now := clock.Now{Mono: time.Second, WallMs: 1}
	s.ConfigRead(now.Mono)
	change := func(seq, base uint64, out bool) {
		rec := record.Record{Writer: "e", Incarnation: 1, Seq: seq, Config: []record.ConfigChange{{ID: fmt.Sprint(seq), Base: base, Zone: &record.ZoneChange{Zone: "z", Out: out}}}}
		s.ConfigChanged(now, conf.Fold(seq, &rec))
	}
	assert.Assert(t, s.mayStart(now, "z"))
	s.Hold(now, "z", 30*time.Second, false)
	change(1, 0, true)
	assert.Assert(t, !s.mayStart(now, "z"))
	change(2, 0, false)
	assert.Assert(t, !s.mayStart(now, "z"), "a rejected change does not end the hold")
	change(3, 1, false)
	assert.Assert(t, s.mayStart(now, "z"))
	assert.Equal(t, len(s.LocalHolds(now)), 0)
}
