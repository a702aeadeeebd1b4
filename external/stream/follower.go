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

// Handler receives the records that a follower reads. All calls come from one goroutine.
type Handler interface {
	// Next returns the first offset that the state does not include. It advances with Apply and Restore, and whenever the
	// state is fetched from a peer.
	Next() uint64
	// Apply applies one record to the state.
	Apply(offset uint64, rec *record.Record)
	// CaughtUp reports that all records below next are applied. sentAt is when the read that showed this was sent, and
	// first is the oldest offset that the log retains.
	CaughtUp(first, next uint64, sentAt time.Time)
	// Restore replaces the state with a snapshot that includes all records below offset.
	Restore(offset uint64, state []byte) error
	// Skipped reports that the data at the offset is not a record. An empty record is applied in its place.
	Skipped(offset uint64, err error)
	// Failed reports that a read failed; the follower retries it.
	Failed(err error)
}

// FollowOptions configure a follower.
type FollowOptions struct {
	// PageSize is the maximum number of records per read.
	PageSize int
	// Wait is how long a read waits for new records.
	Wait time.Duration
	// Timeout bounds one read, in addition to Wait. It doubles up to MaxTimeout while reads fail.
	Timeout, MaxTimeout time.Duration
}

// DefaultFollowOptions returns the options used by entries. Wait is well below 1 s, the maximum age of the configuration.
func DefaultFollowOptions() FollowOptions {
	return FollowOptions{PageSize: 512, Wait: 250 * time.Millisecond, Timeout: time.Second, MaxTimeout: 15 * time.Second}
}

// maxReadBackoff is the longest backoff between read attempts, without jitter. A caught-up reader reads four times a
// second, so a failing log is read less often. A longer backoff would delay starts and configuration changes after an
// outage of the log.
const maxReadBackoff = 500 * time.Millisecond

// follower reads one stream. After a failed read it requests fewer records with a longer timeout, so that it also gets
// past unusually large records and copes with a slow log.
type follower struct {
	log      external.Log
	stream   string
	opts     FollowOptions
	handler  Handler
	pageSize int
	timeout  time.Duration
}

// Follow reads the stream from h.Next on and passes every record to h until ctx ends. It returns an error only for a
// record that it cannot decode safely.
func Follow(ctx context.Context, log external.Log, stream string, opts FollowOptions, h Handler) error {
	f := &follower{log: log, stream: stream, opts: opts, handler: h, pageSize: opts.PageSize, timeout: opts.Timeout}
	b := newBackoff(maxReadBackoff)
	for ctx.Err() == nil {
		err := f.followPage(ctx)
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

// followPage reads one page and applies its records.
func (f *follower) followPage(ctx context.Context) error {
	sentAt, from := time.Now(), f.handler.Next()
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
			f.handler.Skipped(e.Offset, err)
			rec = new(record.Record)
		case err != nil:
			return fmt.Errorf("offset %d: %w", e.Offset, err)
		}
		f.handler.Apply(e.Offset, rec)
		next++
	}
	if next >= page.Next {
		f.handler.CaughtUp(page.First, next, sentAt)
	}
	return nil
}

func (f *follower) read(ctx context.Context, from uint64) (external.Page, error) {
	timed, cancel := context.WithTimeout(ctx, f.opts.Wait+f.timeout)
	defer cancel()
	page, err := f.log.Read(timed, f.stream, from, f.pageSize, f.opts.Wait)
	if err != nil && !errors.Is(err, external.ErrOffsetExpired) {
		f.pageSize = max(1, f.pageSize/4)
		f.timeout = min(2*f.timeout, max(f.opts.MaxTimeout, f.opts.Timeout))
		return page, err
	}
	f.pageSize = min(2*f.pageSize, f.opts.PageSize)
	f.timeout = f.opts.Timeout
	return page, err
}

// restore scans the retained records for the newest complete snapshot and restores it. Without one the state stays
// unchanged, because the records between it and the oldest retained one are missing.
func (f *follower) restore(ctx context.Context, page external.Page) error {
	var assembler Assembler
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
				assembler.Add(rec)
			}
		}
		if len(p.Entries) == 0 {
			break
		}
	}
	offset, state, ok := assembler.Newest()
	if !ok || offset < page.First {
		return fmt.Errorf("stream %s: no complete snapshot among the retained records: %w", f.stream, external.ErrOffsetExpired)
	}
	if err := f.handler.Restore(offset, state); err != nil {
		return fmt.Errorf("restore %s: %w", f.stream, err)
	}
	return nil
}
