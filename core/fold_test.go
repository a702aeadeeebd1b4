package core

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/verbenakeel/verbenakeel/core/authority"
	"github.com/verbenakeel/verbenakeel/core/clock"
	"github.com/verbenakeel/verbenakeel/core/decider"
	"github.com/verbenakeel/verbenakeel/core/tasks"
	"github.com/verbenakeel/verbenakeel/record"
	"github.com/verbenakeel/verbenakeel/scheduler"
)

// frame is one record of a fuzzed history. Its field names are part of the encoded corpus.
type frame struct {
	Stream int
	Record record.Record
}

// maxFuzzTasks bounds the tasks of a job, so that inputs stay small. Entries accept jobs of at most 10,000 tasks.
const maxFuzzTasks = 100

func fuzzState() *State {
	return New(Options{
		Self: "entry-1", Incarnation: 1, Zone: "midshire-a", Heartbeat: time.Second,
		Authority: authority.DefaultConfig(), Decider: decider.DefaultConfig(), Scheduler: scheduler.DefaultConfig(),
	})
}

// seedHistory returns a valid history, which is the fuzzer's seed input.
func seedHistory() []frame {
	size := record.Resources{CPUMilli: 1000, MemoryMB: 1000}
	rec := func(seq uint64, r record.Record) record.Record {
		r.Version, r.Writer, r.Incarnation, r.Seq, r.AtMs = record.SchemaVersion, "entry-1", 1, seq, int64(seq)
		return r
	}
	contract := record.Contract{Customer: "c", Priority: record.Standard, MaxTasks: 5, MaxQueued: 5, Burst: size}
	return []frame{
		{0, rec(1, record.Record{Config: []record.ConfigChange{{ID: "x", Contract: &contract}}})},
		{1, rec(1, record.Record{DeciderClaim: &record.DeciderClaim{Address: "127.0.0.1:1", Zone: "midshire-a"}})},
		{1, rec(2, record.Record{Submits: []record.Job{{ID: "c/1", Customer: "c", Kind: record.BatchJob, Tasks: 2, Size: size, RunMs: 5}}})},
		{1, rec(3, record.Record{Batch: &record.Batch{Epoch: 1, Workers: []record.WorkerChange{{ID: "w", Zone: "midshire-a", Capacity: size, Incarnation: 1}},
			Starts: []record.Start{{Task: "c/1#0", Attempt: 1, Worker: "w", Size: size}}}})},
		{1, rec(4, record.Record{Batch: &record.Batch{Epoch: 1, Evictions: []record.Eviction{{Task: "c/1#0", Attempt: 1}},
			Ends: []record.End{{Task: "c/1#0", Attempt: 1, Outcome: record.Checkpointed, CheckpointMs: 3}}}})},
		{1, rec(5, record.Record{Cancels: []record.Cancel{{Job: "c/1"}}})},
		{2, rec(1, record.Record{RequestClaims: []record.RequestClaim{{Customer: "c", Key: "k", Nonce: 1}}})},
		{2, rec(2, record.Record{RequestAnswers: []record.RequestAnswer{{Customer: "c", Key: "k", Nonce: 1, Status: 200, Body: []byte("a")}}})},
	}
}

// applyFrames applies the frames and returns the first violated invariant, or an empty string.
func applyFrames(frames []frame) string {
	s, offsets := fuzzState(), [3]uint64{}
	for i, f := range frames {
		for _, job := range f.Record.Submits {
			if job.Tasks > maxFuzzTasks {
				return ""
			}
		}
		stream := Stream(uint(f.Stream) % 3)
		offsets[stream]++
		now := clock.Now{Mono: time.Duration(i) * 100 * time.Millisecond, WallMs: int64(i)}
		for _, effect := range Step(s, now, Folded{stream, offsets[stream], &f.Record}) {
			placed, ok := effect.(RegionChanged)
			if start, isPlaced := placed.Effect.(tasks.TaskPlaced); ok && isPlaced {
				w := s.Region.Workers[start.Start.Worker]
				if !w.Committed.Fits(w.Capacity) {
					return "worker " + w.ID + " is committed beyond its capacity"
				}
			}
		}
		Step(s, now, Ticked{})
	}
	return ""
}

// FuzzFold guards against records that crash every entry that reads them, and against a batch that commits a worker
// beyond its capacity. CI runs the committed corpus.
func FuzzFold(f *testing.F) {
	data, err := cbor.Marshal(seedHistory())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		var frames []frame
		if cbor.Unmarshal(data, &frames) != nil || len(frames) > 100 {
			return
		}
		if breach := applyFrames(frames); breach != "" {
			t.Fatal(breach)
		}
	})
}
