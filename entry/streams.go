package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/verbenakeel/verbenakeel/core"
	"github.com/verbenakeel/verbenakeel/core/claims"
	"github.com/verbenakeel/verbenakeel/core/config"
	"github.com/verbenakeel/verbenakeel/core/tasks"
	"github.com/verbenakeel/verbenakeel/logevent"
	"github.com/verbenakeel/verbenakeel/platform/stream"
	"github.com/verbenakeel/verbenakeel/record"
)

const configStream = "config"

func (e *Entry) regionStream() string { return "sched." + e.set.Region }

func (e *Entry) claimStream() string { return "claims." + e.set.Region }

// follow starts the followers of the three streams. A follower that cannot go on safely stops the entry.
func (e *Entry) follow(run func(func(context.Context)), failed chan<- error) {
	for kind, name := range map[core.Stream]string{
		core.ConfigStream: configStream, core.RegionStream: e.regionStream(), core.ClaimStream: e.claimStream(),
	} {
		h := &follower{entry: e, kind: kind, name: name}
		run(func(ctx context.Context) {
			if err := stream.Follow(ctx, e.platform, name, 1, stream.DefaultFollowOptions(), h); err != nil {
				e.log.Log(logevent.SchemaTooNew, logevent.Str("stream", name), logevent.Err(err))
				failed <- err
			}
		})
	}
}

// follower hands records of one stream to the reducer.
type follower struct {
	entry *Entry
	kind  core.Stream
	name  string
	down  bool
}

// Apply implements stream.Handler.
func (f *follower) Apply(offset uint64, rec *record.Record) {
	f.entry.step(core.Folded{Stream: f.kind, Offset: offset, Record: rec})
	f.entry.notify(false)
}

// CaughtUp implements stream.Handler.
func (f *follower) CaughtUp(next uint64, sentAt time.Time) {
	f.entry.step(core.CaughtUp{Stream: f.kind, SentAt: sentAt.Sub(f.entry.start)})
	f.entry.caughtUp(f.kind)
	if f.down {
		f.down = false
		f.entry.log.Log(logevent.LogRecovered, logevent.Str("stream", f.name))
	}
}

// Failed implements stream.Handler.
func (f *follower) Failed(err error) {
	if !f.down {
		f.entry.log.Log(logevent.LogReadFailed, logevent.Str("stream", f.name), logevent.Err(err))
	}
	f.down = true
}

// Restore implements stream.Handler.
func (f *follower) Restore(offset uint64, data []byte) error {
	e := f.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := restore(e.state, f.kind, offset, data); err != nil {
		return err
	}
	if f.kind == core.RegionStream {
		r := e.state.Region
		e.state.Authority.Restored(e.now(), r.Epoch, r.DeciderID, r.DeciderIncarnation, r.Decider, r.Older, r.Resigned == r.Epoch)
	}
	e.state.Decider.Rebind(e.now(), e.state.Region, e.state.Config)
	e.log.Log(logevent.SnapshotRestored, logevent.Str("stream", f.name), logevent.Int("offset", offset))
	return nil
}

// restore replaces one folded state by a snapshot. It never goes back to an older state.
func restore(s *core.State, kind core.Stream, offset uint64, data []byte) error {
	switch kind {
	case core.ConfigStream:
		n := config.New()
		if err := cbor.Unmarshal(data, n); err != nil {
			return fmt.Errorf("decode snapshot of configuration: %w", err)
		}
		n.Reindex()
		if offset > s.Config.Next {
			s.Config = n
		}
	case core.RegionStream:
		n := tasks.New()
		if err := cbor.Unmarshal(data, n); err != nil {
			return fmt.Errorf("decode snapshot of region: %w", err)
		}
		n.Reindex()
		if offset > s.Region.Next {
			s.Region = n
		}
	case core.ClaimStream:
		n := claims.New()
		if err := cbor.Unmarshal(data, n); err != nil {
			return fmt.Errorf("decode snapshot of claims: %w", err)
		}
		n.Reindex()
		if offset > s.Claims.Next {
			s.Claims = n
		}
	}
	return nil
}

// caughtUp marks the entry ready once all streams were read to their end.
func (e *Entry) caughtUp(kind core.Stream) {
	if e.ready.Load() {
		return
	}
	e.mu.Lock()
	e.seen[kind] = true
	all := len(e.seen) == 3
	e.mu.Unlock()
	if all {
		e.ready.Store(true)
	}
}

func (e *Entry) logConfig(o config.Outcome) {
	ev := logevent.ConfigAccepted
	if o.Status != config.Accepted {
		ev = logevent.ConfigRefused
	}
	e.log.Log(ev, logevent.Str("change", o.Change.ID), logevent.Str("operator", o.Change.Operator),
		logevent.Int("revision", o.Revision), logevent.Str("status", string(o.Status)), logevent.Str("reason", o.Reason))
}

func (e *Entry) logRegion(eff tasks.Effect) {
	switch eff := eff.(type) {
	case tasks.EpochChanged:
		e.log.Log(logevent.DeciderChanged, logevent.Int("epoch", eff.Epoch), logevent.Str("decider", eff.Writer))
	case tasks.Voided:
		e.log.Log(logevent.DecisionVoid, logevent.Str("task", eff.Task), logevent.Str("reason", eff.Reason))
	}
}
