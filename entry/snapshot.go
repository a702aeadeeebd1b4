package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/verbenakeel/verbenakeel/control"
	"github.com/verbenakeel/verbenakeel/core"
	"github.com/verbenakeel/verbenakeel/errdefs"
	"github.com/verbenakeel/verbenakeel/external/stream"
	"github.com/verbenakeel/verbenakeel/logevent"
	"github.com/verbenakeel/verbenakeel/record"
)

// Intervals and timeouts of snapshots.
const (
	// snapshotCheckInterval is the time between checks of which snapshots are due.
	snapshotCheckInterval = time.Second
	// pieceTimeout bounds the append of one piece; after it the snapshot is started over.
	pieceTimeout = 30 * time.Second
	// peerRecoveryInterval is the time between attempts to restore the state from a peer.
	peerRecoveryInterval = time.Second
	// exportTimeout bounds one export; at the target size the state is tens of megabytes.
	exportTimeout = 10 * time.Second
)

// snapshotMode encodes equal states to equal bytes.
var snapshotMode = func() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// snapshotLoop writes snapshots of the streams that this entry is responsible for.
func (e *Entry) snapshotLoop(ctx context.Context) {
	t := time.NewTicker(snapshotCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		for kind, name := range e.streamNames() {
			if !e.snapshotDue(kind) {
				continue
			}
			if err := e.writeSnapshot(ctx, kind, name); err != nil && ctx.Err() == nil {
				e.log.Log(logevent.SnapshotFailed, logevent.Str("stream", name), logevent.Err(err))
			}
		}
	}
}

// snapshotDue reports whether this entry has to write a snapshot of the stream now. The decider writes those of its
// region's stream, the live entry with the lowest id the others. A snapshot is due after a number of records, after the
// interval, and once a quarter of the records that the log keeps are newer than the last one.
func (e *Entry) snapshotDue(kind core.Stream) bool {
	if !e.ready.Load() || e.draining.Load() {
		return false
	}
	lowestID := e.peers.rank(e.set.ID) == 0
	e.mu.Lock()
	defer e.mu.Unlock()
	v, end := e.streamStatuses[kind], nextOffset(e.state, kind)
	responsible := lowestID
	if kind == core.RegionStream {
		responsible = e.state.Authority.Valid(e.now())
	}
	if !responsible || v.readsFailing || !v.hasRead || end <= 1 {
		return false
	}
	newer := end - min(end, v.snapshotOffset)
	switch {
	case newer >= uint64(e.set.SnapshotEvery):
		return true
	case v.first > 1 && newer >= 1+(end-v.first)/4:
		return true
	default:
		return wallMs()-v.snapshotWallMs >= e.set.SnapshotInterval.Milliseconds()
	}
}

// writeSnapshot appends the state of a stream in pieces, at the rate that the append budget leaves to snapshots.
func (e *Entry) writeSnapshot(ctx context.Context, kind core.Stream, name string) error {
	data, offset, pause, err := e.encodeState(kind)
	if err != nil {
		return err
	}
	pieces := stream.Split(offset, data)
	for i := range pieces {
		pieceCtx, cancel := context.WithTimeout(ctx, pieceTimeout)
		_, err := e.snapshots[kind].Write(pieceCtx, record.Record{Snapshot: &pieces[i]})
		cancel()
		if err != nil {
			return fmt.Errorf("piece %d of %d: %w", i+1, len(pieces), err)
		}
	}
	e.mu.Lock()
	v := e.streamStatuses[kind]
	v.snapshotOffset, v.snapshotWallMs = max(v.snapshotOffset, offset), wallMs()
	e.mu.Unlock()
	e.log.Log(logevent.SnapshotWritten, logevent.Str("stream", name), logevent.Int("offset", offset),
		logevent.Int("bytes", len(data)), logevent.Int("pieces", len(pieces)), logevent.Int("pause_us", pause.Microseconds()))
	return nil
}

// encodeState encodes the applied state of a stream. It also returns the offset of the first record that the state does
// not include and how long applying records was blocked. Only records of that stream are blocked, because only they
// change the state: with mu held instead, requests would wait 0.1 s at the target size.
func (e *Entry) encodeState(kind core.Stream) ([]byte, uint64, time.Duration, error) {
	e.applyMu[kind].Lock()
	defer e.applyMu[kind].Unlock()
	began := time.Now()
	state, offset := e.snapshotState(kind)
	data, err := snapshotMode.Marshal(state)
	if err != nil {
		return nil, 0, 0, fmt.Errorf("encode snapshot: %w", err)
	}
	return data, offset, time.Since(began), nil
}

func (e *Entry) snapshotState(kind core.Stream) (any, uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	offset := nextOffset(e.state, kind)
	switch kind {
	case core.ConfigStream:
		return e.state.Config, offset
	case core.RegionStream:
		if learned, err := e.state.Decider.Learned(); err == nil {
			e.state.Region.Learned = learned
		}
		return e.state.Region, offset
	default:
		return e.state.Claims, offset
	}
}

// exportState returns the state of a stream for a peer, with its offset and the age of the newest read of the log in
// it. It fails if this entry has not read the stream yet and so cannot date its state.
func (e *Entry) exportState(name string) ([]byte, uint64, time.Duration, error) {
	for kind, n := range e.streamNames() {
		if n != name {
			continue
		}
		age, ok := e.stateAge(kind)
		if !ok {
			return nil, 0, 0, errdefs.New(errdefs.Unavailable, "this entry has not read the stream yet", "ask another entry")
		}
		data, offset, _, err := e.encodeState(kind)
		return data, offset, age, err
	}
	return nil, 0, 0, errdefs.Field("stream", fmt.Sprintf("%q is unknown", name), "ask for a stream of this region")
}

// recoverFromPeers restores the state from a peer while the log is down and this entry has no state. It returns once
// the entry is ready.
func (e *Entry) recoverFromPeers(ctx context.Context) {
	t := time.NewTicker(peerRecoveryInterval)
	defer t.Stop()
	for !e.ready.Load() {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		for kind, name := range e.streamNames() {
			e.mu.Lock()
			wanted := e.streamStatuses[kind].readsFailing && !e.caughtUpStreams[kind]
			e.mu.Unlock()
			if wanted {
				e.restoreFromPeers(ctx, kind, name)
			}
		}
	}
}

// restoreFromPeers restores a stream's state from the first peer whose export is dated and can be decoded.
func (e *Entry) restoreFromPeers(ctx context.Context, kind core.Stream, name string) {
	for _, p := range e.peers.live() {
		ctx, cancel := context.WithTimeout(ctx, exportTimeout)
		r, err := e.client(p.address).Export(ctx, &control.ExportRequest{Stream: name})
		cancel()
		if err != nil {
			continue
		}
		if err := e.restore(kind, r.Offset, r.State); err != nil {
			e.log.Log(logevent.SnapshotFailed, logevent.Str("stream", name), logevent.Str("peer", p.id), logevent.Err(err))
			continue
		}
		e.mu.Lock()
		v := e.streamStatuses[kind]
		v.newestRead, v.hasRead = time.Since(e.start)-time.Duration(r.AgeMs)*time.Millisecond, true
		e.mu.Unlock()
		e.log.Log(logevent.PeerRestored, logevent.Str("stream", name), logevent.Str("peer", p.id),
			logevent.Int("offset", r.Offset), logevent.Int("age_ms", r.AgeMs))
		e.markCaughtUp(kind)
		return
	}
}
