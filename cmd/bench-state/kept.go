package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sync"

	"github.com/verbenakeel/verbenakeel/external/memlog"
	"github.com/verbenakeel/verbenakeel/logevent"
	"github.com/verbenakeel/verbenakeel/record"
	"github.com/verbenakeel/verbenakeel/slopes"
	"github.com/verbenakeel/verbenakeel/testkit/deploy"
)

// Retained state of a region at today's size, assumed to be a tenth of the state of two days at the users' size in two
// years, because the design page states no number of jobs for today.
const (
	keptJobs      = 570
	tasksPerJob   = 4
	keptClaims    = 2000
	keptContracts = 120
)

// snapshotLog parses the log lines of entries. Per stream, it collects the maximum size of the snapshots and the longest
// pause of applying records for one.
type snapshotLog struct {
	mu           sync.Mutex
	pauseSeconds map[string]float64
	maxBytes     map[string]int
}

// Write implements io.Writer.
func (s *snapshotLog) Write(p []byte) (int, error) {
	for line := range bytes.Lines(p) {
		var l struct {
			Event  int    `json:"event"`
			Stream string `json:"stream"`
			Bytes  int    `json:"bytes"`
			Pause  int64  `json:"pause_us"`
		}
		if json.Unmarshal(line, &l) == nil && l.Event == logevent.SnapshotWritten.Number {
			s.mu.Lock()
			s.pauseSeconds[l.Stream] = max(s.pauseSeconds[l.Stream], float64(l.Pause)/1e6)
			s.maxBytes[l.Stream] = max(s.maxBytes[l.Stream], l.Bytes)
			s.mu.Unlock()
		}
	}
	return len(p), nil
}

// measureKeptState measures the recovery of an entry and the pauses for snapshots, with a retained state of factor times
// today's size.
func measureKeptState(a args, factor int) error {
	ctx := context.Background()
	dir, err := os.MkdirTemp("", "bench-state")
	if err != nil {
		return fmt.Errorf("make settings directory: %w", err)
	}
	defer os.RemoveAll(dir)
	mem := memlog.New(memlog.Options{})
	total := 0
	for stream, records := range slopes.KeptRecords(factor*keptJobs, tasksPerJob, factor*keptClaims, factor*keptContracts) {
		for _, rec := range records {
			data, err := record.Encode(rec)
			if err != nil {
				return err
			}
			if _, err := mem.Append(ctx, stream, data); err != nil {
				return err
			}
			total++
		}
	}
	snapshots := &snapshotLog{pauseSeconds: make(map[string]float64), maxBytes: make(map[string]int)}
	d, err := start(ctx, a, dir, func(o *deploy.Options) {
		o.Mem, o.Output = mem, snapshots
		// Snapshots may use 100 appends per second, so that the measurement does not wait for their rate limit.
		o.EntrySettings = []deploy.Setting{{Key: "snapshots.appends_per_second", Value: "100"}}
	})
	if err != nil {
		d.Close()
		return err
	}
	defer d.Close()
	b := &bench{args: a, ctx: ctx, d: d, out: json.NewEncoder(os.Stdout), condition: "healthy"}
	if err := b.printPauses(snapshots, factor); err != nil {
		return err
	}
	return b.measureRecoveries(factor, total)
}

// printPauses waits for a snapshot of each stream on the log and prints how long applying records paused while the snapshot
// was encoded.
func (b *bench) printPauses(snapshots *snapshotLog, factor int) error {
	streams := []string{"config", "sched.midshire", "claims.midshire"}
	err := deploy.WaitFor(b.ctx, "snapshots of all streams", func() bool {
		snapshots.mu.Lock()
		defer snapshots.mu.Unlock()
		return len(snapshots.pauseSeconds) == len(streams)
	})
	if err != nil {
		return err
	}
	snapshots.mu.Lock()
	defer snapshots.mu.Unlock()
	for _, s := range streams {
		if err := b.print(fmt.Sprintf("pause of folds of %s, kept state x%d", s, factor), snapshots.maxBytes[s], snapshots.pauseSeconds[s], 0, "s (size: bytes of the snapshot)"); err != nil {
			return err
		}
	}
	return nil
}

// measureRecoveries measures the restart of an entry under each condition, and while the log is down.
func (b *bench) measureRecoveries(factor, records int) error {
	down := condition{"log down, state taken from a peer", func() error { return b.d.SetLogFaults(b.ctx, memlog.Faults{Down: true}) }}
	for _, c := range append(b.conditions(), down) {
		if err := c.set(); err != nil {
			return err
		}
		b.condition = c.name
		took, err := b.restartEntry()
		if err != nil {
			return fmt.Errorf("%s: %w", c.name, err)
		}
		if err := b.print(fmt.Sprintf("recovery of an entry, kept state x%d", factor), records, took.Seconds(), 0, "s (size: records before the start)"); err != nil {
			return err
		}
	}
	return nil
}
