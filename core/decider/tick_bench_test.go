package decider

import (
	"fmt"
	"testing"
	"time"

	"github.com/verbenakeel/verbenakeel/core/authority"
	"github.com/verbenakeel/verbenakeel/core/clock"
	"github.com/verbenakeel/verbenakeel/core/config"
	"github.com/verbenakeel/verbenakeel/core/tasks"
	"github.com/verbenakeel/verbenakeel/record"
	"github.com/verbenakeel/verbenakeel/scheduler"
)

// BenchmarkTick measures a tick with no changes in a region that retains many ended jobs.
func BenchmarkTick(b *testing.B) {
	for _, ended := range []int{1_000, 5_000, 20_000} {
		b.Run(fmt.Sprintf("ended=%d", ended), func(b *testing.B) {
			region := tasks.New()
			var next uint64
			add := func(rec record.Record) {
				next++
				rec.Writer, rec.Incarnation, rec.Seq = "e", 1, next
				region.Fold(next, &rec)
			}
			add(record.Record{DeciderClaim: &record.DeciderClaim{}})
			for i := range ended {
				id := fmt.Sprintf("c/j%d", i)
				add(record.Record{Submits: []record.Job{{ID: id, Kind: record.BatchJob, Tasks: 1}}})
				add(record.Record{Cancels: []record.Cancel{{Job: id}}})
			}
			auth := authority.New(authority.DefaultConfig(), "e", 1)
			s := New(DefaultConfig(), scheduler.DefaultConfig(), auth, region, config.New())
			now := clock.Now{Mono: time.Second, WallMs: 1}
			auth.Claimed(now, 1, "e", 1, record.DeciderClaim{}, nil)
			s.ApplyEffects(now, []tasks.Effect{tasks.EpochChanged{Epoch: 1}})
			b.ResetTimer()
			for range b.N {
				now.Mono += 50 * time.Millisecond
				now.WallMs += 50
				auth.ObserveLogRead(now, now.Mono)
				s.Tick(now)
				s.BatchDone(false)
			}
		})
	}
}
