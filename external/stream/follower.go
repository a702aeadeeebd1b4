package stream

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/verbenakeel/verbenakeel/errdefs"
	"github.com/verbenakeel/verbenakeel/external"
	"github.com/verbenakeel/verbenakeel/record"
)

// Handler receives what a follower reads. Calls come from one goroutine.
type Handler interface {
	// Next returns the first offset that the state does not include. It grows by Apply and Restore, and whenever the
	// state was taken from a peer.
	Next() uint64
	// Apply folds one record.
	Apply(offset uint64, rec *record.Record)
	// CaughtUp tells that all records below next were applied, that the read which showed this was sent at sentAt, and
	// that the log still keeps the records from first.
	CaughtUp(first, next uint64, sentAt time.Time)
	// Restore replaces the state by a snapshot that includes all records below offset.
	Restore(offset uint64, state []byte) error
	// Skipped tells that the data at the offset is not a record. An empty record is applied in its place.
	Skipped(offset uint64, err error)
	// Failed tells that a read failed; the follower tries again.
	Failed(err error)
}

// FollowOptions tune a follower.
type FollowOptions struct {
	// PageSize is the most records per read.
	PageSize int
	// Wait is how long a read waits for new records.
	Wait time.Duration
	// Timeout bounds one read beyond Wait. It grows up to MaxTimeout while reads fail.
	Timeout, MaxTimeout time.Duration
}

// DefaultFollowOptions returns the options used by entries. Wait is well below the 1 s that configuration may be old.
func DefaultFollowOptions() FollowOptions {
	return FollowOptions{PageSize: 512, Wait: 250 * time.Millisecond, Timeout: time.Second, MaxTimeout: 15 * time.Second}
}

// readPause is the longest time between tries of a reader, apart from jitter. Readers that get answers ask four times a
// second, so a log that fails is asked less often. A longer pause delays starts and changes when the log is back.
const readPause = 500 * time.Millisecond

// follower reads one stream. After a failed read it asks for fewer records and waits longer, so that it also gets past
// records that are larger than usual, or a log that is slow.
type follower struct {
	log     external.Log
	stream  string
	opts    FollowOptions
	h       Handler
	size    int
	timeout time.Duration
}

// Follow reads the stream from where the handler's state ends and hands every record to h until ctx ends. It returns an
// error only for a record that it cannot read safely.
func Follow(ctx context.Context, log external.Log, stream string, opts FollowOptions, h Handler) error {
	f := &follower{log: log, stream: stream, opts: opts, h: h, size: opts.PageSize, timeout: opts.Timeout}
	b := newBackOff(readPause)
	for ctx.Err() == nil {
		err := f.once(ctx)
		if errdefs.KindOf(err) == errdefs.Incompatible || errdefs.KindOf(err) == errdefs.Invalid {
			return fmt.Errorf("follow %s: %w", stream, err)
		}
		if err == nil {
			b.Reset()
			continue
		}
		if ctx.Err() != nil {
			break
		}
		h.Failed(err)
		select {
		case <-time.After(b.NextBackOff()):
		case <-ctx.Done():
		}
	}
	return nil
}

// once reads and applies one page.
func (f *follower) once(ctx context.Context) error {
	sentAt, from := time.Now(), f.h.Next()
	page, err := f.read(ctx, from)
	if errors.Is(err, external.ErrOffsetExpired) {
		return f.restore(ctx, page)
	}
	if err != nil {
		return err
	}
	if page.Next < from {
		return fmt.Errorf("stream %s ends at %d, but records up to %d were read: %w", f.stream, page.Next, from, external.ErrLogDown)
	}
	next := from
	for _, e := range page.Entries {
		if e.Offset != next {
			return fmt.Errorf("stream %s: offset %d follows %d: %w", f.stream, e.Offset, next, external.ErrLogDown)
		}
		rec, err := record.Decode(e.Data)
		switch {
		case errors.Is(err, record.ErrForeign):
			f.h.Skipped(e.Offset, err)
			rec = new(record.Record)
		case err != nil:
			return fmt.Errorf("offset %d: %w", e.Offset, err)
		}
		f.h.Apply(e.Offset, rec)
		next++
	}
	if next >= page.Next {
		f.h.CaughtUp(page.First, next, sentAt)
	}
	return nil
}

func (f *follower) read(ctx context.Context, from uint64) (external.Page, error) {
	timed, cancel := context.WithTimeout(ctx, f.opts.Wait+f.timeout)
	defer cancel()
	page, err := f.log.Read(timed, f.stream, from, f.size, f.opts.Wait)
	if err != nil && !errors.Is(err, external.ErrOffsetExpired) {
		f.size = max(1, f.size/4)
		f.timeout = min(2*f.timeout, max(f.opts.MaxTimeout, f.opts.Timeout))
		return page, err
	}
	f.size = min(2*f.size, f.opts.PageSize)
	f.timeout = f.opts.Timeout
	return page, err
}

// restore scans the kept records for the newest whole snapshot and hands it over. The state stays as it is if there is
// none: records between it and the oldest kept one are missing.
func (f *follower) restore(ctx context.Context, page external.Page) error {
	var pieces Assembler
	for from := page.First; from < page.Next; {
		p, err := f.read(ctx, from)
		if err != nil {
			return err
		}
		for _, e := range p.Entries {
			from = e.Offset + 1
			rec, err := record.Decode(e.Data)
			switch {
			case errors.Is(err, record.ErrForeign):
			case err != nil:
				return fmt.Errorf("offset %d: %w", e.Offset, err)
			default:
				pieces.Add(rec)
			}
		}
		if len(p.Entries) == 0 {
			break
		}
	}
	offset, state, ok := pieces.Newest()
	if !ok || offset < page.First {
		return fmt.Errorf("stream %s: no whole snapshot among the kept records: %w", f.stream, external.ErrOffsetExpired)
	}
	if err := f.h.Restore(offset, state); err != nil {
		return fmt.Errorf("restore %s: %w", f.stream, err)
	}
	return nil
}
