package entry

import (
	"context"
	"fmt"
	"runtime/debug"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/verbenakeel/verbenakeel/core"
	"github.com/verbenakeel/verbenakeel/core/claims"
	"github.com/verbenakeel/verbenakeel/core/config"
	"github.com/verbenakeel/verbenakeel/core/tasks"
	"github.com/verbenakeel/verbenakeel/errdefs"
	"github.com/verbenakeel/verbenakeel/external/stream"
	"github.com/verbenakeel/verbenakeel/logevent"
	"github.com/verbenakeel/verbenakeel/record"
)

const configStream = "config"

func (e *Entry) regionStream() string { return "sched." + e.set.Region }

func (e *Entry) claimStream() string { return "claims." + e.set.Region }

func (e *Entry) streamNames() map[core.Stream]string {
	return map[core.Stream]string{
		core.ConfigStream: configStream, core.RegionStream: e.regionStream(), core.ClaimStream: e.claimStream(),
	}
}

func (e *Entry) writers() []*stream.Writer {
	list := []*stream.Writer{e.configWriter, e.regionWriter, e.submitWriter, e.claimWriter}
	for _, w := range e.snapshots {
		list = append(list, w)
	}
	return list
}

// streamStatus is what an entry knows of a stream beyond its applied state. It is guarded by the entry's lock.
type streamStatus struct {
	// newestRead is when the newest log call that reached the end was sent, relative to the start of the entry; valid if
	// hasRead.
	newestRead time.Duration
	hasRead    bool
	// readsFailing is true while reads fail.
	readsFailing bool
	// first is the oldest offset that the log keeps.
	first uint64
	// snapshotOffset is the offset of the newest complete snapshot in the log, and snapshotWallMs when its last piece
	// was written, by its writer's wall clock.
	snapshotOffset uint64
	snapshotWallMs int64
	// piecesRead counts the pieces read of the snapshot at pieceOffset.
	piecesRead  int
	pieceOffset uint64
}

// recordPiece counts a piece of a snapshot that was read from the log.
func (v *streamStatus) recordPiece(rec *record.Record) {
	p := rec.Snapshot
	if p == nil {
		return
	}
	if p.Offset != v.pieceOffset || p.Index == 0 {
		v.piecesRead, v.pieceOffset = 0, p.Offset
	}
	v.piecesRead++
	if v.piecesRead == p.Count && p.Offset > v.snapshotOffset {
		v.snapshotOffset, v.snapshotWallMs = p.Offset, rec.AtMs
	}
}

// nextOffset returns the first offset of a stream that the state does not include. The lock is held.
func nextOffset(s *core.State, kind core.Stream) uint64 {
	switch kind {
	case core.ConfigStream:
		return s.Config.Next
	case core.RegionStream:
		return s.Region.Next
	default:
		return s.Claims.Next
	}
}

// startFollowers starts the followers of the three streams. A follower that cannot continue safely stops the entry.
func (e *Entry) startFollowers(run func(func(context.Context)), failed chan<- error) {
	for kind, name := range e.streamNames() {
		h := &follower{entry: e, kind: kind, name: name, failed: failed}
		run(func(ctx context.Context) {
			if err := stream.Follow(ctx, e.logReaders[kind], name, e.logReaders[kind].followOptions(), h); err != nil {
				e.log.Log(logevent.SchemaTooNew, logevent.Str("stream", name), logevent.Err(err))
				h.fail(err)
			}
		})
	}
}

// follower passes the records of one stream to the reducer.
type follower struct {
	entry  *Entry
	kind   core.Stream
	name   string
	failed chan<- error
}

func (f *follower) fail(err error) {
	select {
	case f.failed <- err:
	default:
	}
}

// Next implements stream.Handler.
func (f *follower) Next() uint64 {
	f.entry.mu.Lock()
	defer f.entry.mu.Unlock()
	return nextOffset(f.entry.state, f.kind)
}

// Apply implements stream.Handler.
func (f *follower) Apply(offset uint64, rec *record.Record) {
	e := f.entry
	e.checkOwnWriter(f, rec)
	if rec.Snapshot != nil {
		e.mu.Lock()
		e.streamStatuses[f.kind].recordPiece(rec)
		e.mu.Unlock()
	}
	e.applyMu[f.kind].Lock()
	e.step(core.Folded{Stream: f.kind, Offset: offset, Record: rec})
	e.applyMu[f.kind].Unlock()
	e.wakeWaiters()
}

// checkOwnWriter stops the entry when a later run with its id writes to the log, because readers then drop the records
// of this run.
func (e *Entry) checkOwnWriter(f *follower, rec *record.Record) {
	id, _, _ := strings.Cut(rec.Writer, "/")
	if id != e.set.ID+e.writerSuffix(f.kind) || rec.Incarnation <= e.incarnation {
		return
	}
	for _, w := range e.writers() {
		w.Supersede()
	}
	e.step(core.ShuttingDown{})
	e.log.Log(logevent.WriterSuperseded, logevent.Str("stream", f.name), logevent.Int("incarnation", rec.Incarnation))
	f.fail(errdefs.New(errdefs.Conflict, fmt.Sprintf("incarnation %d of entry %s writes to the log, this run is %d", rec.Incarnation, e.set.ID, e.incarnation),
		"give every entry an id of its own, stop the older run, and check the clock of the instance"))
}

// CaughtUp implements stream.Handler.
func (f *follower) CaughtUp(first, _ uint64, sentAt time.Time) {
	e := f.entry
	sent := sentAt.Sub(e.start)
	e.step(core.CaughtUp{Stream: f.kind, SentAt: sent})
	e.mu.Lock()
	v := e.streamStatuses[f.kind]
	recovered := v.readsFailing
	v.newestRead, v.hasRead, v.first, v.readsFailing = max(v.newestRead, sent), true, first, false
	e.mu.Unlock()
	e.markCaughtUp(f.kind)
	e.wakeWaiters()
	if recovered {
		e.log.Log(logevent.LogRecovered, logevent.Str("stream", f.name))
	}
}

// Skipped implements stream.Handler.
func (f *follower) Skipped(offset uint64, err error) {
	f.entry.log.Log(logevent.ForeignEntry, logevent.Str("stream", f.name), logevent.Int("offset", offset), logevent.Err(err))
}

// Failed implements stream.Handler.
func (f *follower) Failed(err error) {
	e := f.entry
	e.mu.Lock()
	v := e.streamStatuses[f.kind]
	wasFailing := v.readsFailing
	v.readsFailing = true
	e.mu.Unlock()
	if !wasFailing {
		e.log.Log(logevent.LogReadFailed, logevent.Str("stream", f.name), logevent.Err(err))
	}
}

// Restore implements stream.Handler.
func (f *follower) Restore(offset uint64, data []byte) error {
	if err := f.entry.restore(f.kind, offset, data); err != nil {
		return err
	}
	f.entry.log.Log(logevent.SnapshotRestored, logevent.Str("stream", f.name), logevent.Int("offset", offset))
	return nil
}

// restore replaces the state of one stream by a snapshot that includes all records below offset. It ignores a snapshot
// that is not newer than the current state.
func (e *Entry) restore(kind core.Stream, offset uint64, data []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if offset <= nextOffset(e.state, kind) {
		return nil
	}
	s := e.state
	fresh := core.State{Config: config.New(), Region: tasks.New(), Claims: claims.New()}
	target := map[core.Stream]any{core.ConfigStream: fresh.Config, core.RegionStream: fresh.Region, core.ClaimStream: fresh.Claims}[kind]
	if err := cbor.Unmarshal(data, target); err != nil {
		return fmt.Errorf("decode snapshot: %w", err)
	}
	if got := nextOffset(&fresh, kind); got != offset {
		return fmt.Errorf("the snapshot at offset %d holds the state at %d", offset, got)
	}
	switch kind {
	case core.ConfigStream:
		fresh.Config.Reindex()
		s.Config = fresh.Config
	case core.RegionStream:
		fresh.Region.Reindex()
		s.Region = fresh.Region
		r := s.Region
		s.Authority.Restore(e.now(), r.Epoch, r.DeciderID, r.DeciderIncarnation, r.Decider, r.OlderEpochs, r.ResignedEpoch == r.Epoch)
	case core.ClaimStream:
		fresh.Claims.Reindex()
		s.Claims = fresh.Claims
		return nil
	}
	s.Decider.Rebind(e.now(), s.Region, s.Config)
	return nil
}

// markCaughtUp marks the entry ready once all streams have been read to their end or restored from a peer.
func (e *Entry) markCaughtUp(kind core.Stream) {
	if e.ready.Load() {
		return
	}
	e.mu.Lock()
	e.caughtUpStreams[kind] = true
	all := len(e.caughtUpStreams) == len(e.streamStatuses)
	e.mu.Unlock()
	if all && e.ready.CompareAndSwap(false, true) {
		// Replaying the streams leaves garbage of several times the size of the state, which the process would
		// otherwise keep.
		go debug.FreeOSMemory()
	}
}

// awaitFreshRead waits until a read of the stream that was sent after the call has reached the end. It reports false if the
// log does not answer in time: the absence of a record in the state then proves nothing.
func (e *Entry) awaitFreshRead(ctx context.Context, kind core.Stream) bool {
	ctx, cancel := context.WithTimeout(ctx, freshReadTimeout)
	defer cancel()
	since := time.Since(e.start)
	e.logReaders[kind].expedite(freshReadTimeout)
	return e.waitFor(ctx, func(*core.State) bool {
		v := e.streamStatuses[kind]
		return v.hasRead && v.newestRead >= since
	}) == nil
}

// freshReadTimeout bounds the wait for a fresh read of the log before something is reported as not recorded.
const freshReadTimeout = 2 * time.Second

// stateAge returns how old a stream's state is: the time since the newest read of the log that reached the end was sent.
func (e *Entry) stateAge(kind core.Stream) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	v := e.streamStatuses[kind]
	return time.Since(e.start) - v.newestRead, v.hasRead
}

func (e *Entry) logConfigOutcome(o config.Outcome) {
	ev := logevent.ConfigAccepted
	if o.Status != config.Accepted {
		ev = logevent.ConfigRefused
	}
	e.log.Log(ev, logevent.Str("change", o.Change.ID), logevent.Str("operator", o.Change.Operator),
		logevent.Int("revision", o.Revision), logevent.Str("status", string(o.Status)), logevent.Str("reason", o.Reason))
}

func (e *Entry) logRegionEffect(eff tasks.Effect) {
	switch eff := eff.(type) {
	case tasks.EpochChanged:
		e.log.Log(logevent.DeciderChanged, logevent.Int("epoch", eff.Epoch), logevent.Str("decider", eff.Writer))
	case tasks.Voided:
		e.log.Log(logevent.DecisionVoid, logevent.Str("task", eff.Task), logevent.Str("reason", eff.Reason))
	}
}
