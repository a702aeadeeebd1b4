// Package stream writes and follows streams of records on the platform's log.
package stream

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/verbenakeel/verbenakeel/external"
	"github.com/verbenakeel/verbenakeel/record"
)

// Limits of a writer.
const (
	// maxPending bounds the parts that wait for the record in flight.
	maxPending = 4096
	// maxParts bounds the parts in one record.
	maxParts = 512
	// maxRecordBytes bounds the parts that share a record, in bytes as encoded alone. The log's interface takes at most
	// 1 MiB, and 512 kept answers of 64 KiB would be 32 MiB. A larger part gets a record of its own.
	maxRecordBytes = 256 << 10
	// attemptTimeout bounds one append.
	attemptTimeout = 2 * time.Second
	// appendPause is the longest time between attempts of an append, apart from jitter.
	appendPause = 2 * time.Second
	// stuckAfter is how long the outcome of a record may be unknown before further writes are refused at once. Nothing
	// can follow that record, so they could only wait.
	stuckAfter = time.Second
)

// WriterOptions identify a writer.
type WriterOptions struct {
	// ID is the process id of the writer.
	ID string
	// Incarnation is the process's incarnation.
	Incarnation uint64
	// Window is how long a writer waits for further parts before it appends.
	Window time.Duration
	// WallMs returns the wall clock in Unix milliseconds.
	WallMs func() int64
	// Budget limits appends of the whole process; nil for no limit.
	Budget *Budget
	// Bulk marks snapshots, which get a small share of the budget.
	Bulk bool
}

// States of a part.
const (
	partWaiting int32 = iota
	partTaken
	partWithdrawn
)

type part struct {
	rec record.Record
	// size is the length of rec as encoded alone, in bytes; 0 if the part shares no record.
	size  int
	done  chan result
	state atomic.Int32
}

// single reports whether the part must have a record of its own.
func (p *part) single() bool {
	return p.rec.DeciderClaim != nil || p.rec.Batch != nil || p.rec.Snapshot != nil
}

type result struct {
	offset uint64
	err    error
}

// Writer groups parts of records and appends them with one append in flight, so that sequence numbers reach the log in
// order.
type Writer struct {
	log    external.Log
	stream string
	opts   WriterOptions
	queue  chan *part
	closed chan struct{}
	// unknownSince is when the record in flight became unknown, in Unix nanoseconds; 0 if it is not.
	unknownSince atomic.Int64
	superseded   atomic.Bool

	mu  sync.Mutex
	seq uint64
}

// NewWriter returns a writer. Run must be running for writes to proceed.
func NewWriter(log external.Log, stream string, opts WriterOptions) *Writer {
	return &Writer{log: log, stream: stream, opts: opts, queue: make(chan *part, maxPending), closed: make(chan struct{})}
}

// ID returns the writer's id on its stream.
func (w *Writer) ID() string { return w.opts.ID }

// Supersede stops the writer because another run of the process writes under its id: readers drop what this run appends.
func (w *Writer) Supersede() { w.superseded.Store(true) }

// Write adds the part's contents to the next record and returns its offset. The error wraps ErrNotAppended if the part
// certainly never takes effect, and ErrOutcomeUnknown otherwise. It returns no later than ctx ends.
func (w *Writer) Write(ctx context.Context, rec record.Record) (uint64, error) {
	if reason := w.refusal(); reason != "" {
		return 0, w.notAppended(reason)
	}
	p := &part{rec: rec, done: make(chan result, 1)}
	if !p.single() {
		data, err := record.Encode(&rec)
		if err != nil {
			return 0, fmt.Errorf("write to %s: %w: %w", w.stream, external.ErrNotAppended, err)
		}
		p.size = len(data)
	}
	select {
	case w.queue <- p:
	default:
		return 0, w.notAppended("too many writes wait")
	}
	select {
	case r := <-p.done:
		return r.offset, r.err
	case <-w.closed:
		return w.withdraw(p, errors.New("the writer stopped"))
	case <-ctx.Done():
		return w.withdraw(p, ctx.Err())
	}
}

// refusal returns why a write cannot be taken now; empty if it can.
func (w *Writer) refusal() string {
	since := w.unknownSince.Load()
	switch {
	case w.superseded.Load():
		return "another run of this process writes under its id"
	case since > 0 && time.Since(time.Unix(0, since)) > stuckAfter:
		return "the log has not answered for an earlier record"
	}
	return ""
}

func (w *Writer) notAppended(reason string) error {
	return fmt.Errorf("write to %s: %s: %w", w.stream, reason, external.ErrNotAppended)
}

// withdraw takes a part back that is not in a record yet. One that is has an unknown outcome unless it settled just now.
func (w *Writer) withdraw(p *part, cause error) (uint64, error) {
	if p.state.CompareAndSwap(partWaiting, partWithdrawn) {
		return 0, fmt.Errorf("write to %s: %w: %w", w.stream, external.ErrNotAppended, cause)
	}
	select {
	case r := <-p.done:
		return r.offset, r.err
	default:
		return 0, fmt.Errorf("write to %s: %w: %w", w.stream, external.ErrOutcomeUnknown, cause)
	}
}

// Run appends until ctx ends. Parts that still wait then are told that they are not appended.
func (w *Writer) Run(ctx context.Context) {
	defer close(w.closed)
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-w.queue:
			w.appendParts(ctx, w.collect(ctx, first))
		}
	}
}

// collect takes parts until the window has passed. Parts whose writers gave up are left out.
func (w *Writer) collect(ctx context.Context, first *part) []*part {
	var parts []*part
	take := func(p *part) {
		if p.state.CompareAndSwap(partWaiting, partTaken) {
			parts = append(parts, p)
		}
	}
	take(first)
	timer := time.NewTimer(w.opts.Window)
	defer timer.Stop()
	for len(parts) < maxParts {
		select {
		case p := <-w.queue:
			take(p)
		case <-timer.C:
			return parts
		case <-ctx.Done():
			return parts
		}
	}
	return parts
}

// appendParts appends parts as one or more records. Parts that cannot share a record get one each.
func (w *Writer) appendParts(ctx context.Context, parts []*part) {
	for len(parts) > 0 {
		rec, n := merge(parts)
		offset, err := w.appendRecord(ctx, rec)
		for _, p := range parts[:n] {
			p.done <- result{offset, err}
		}
		parts = parts[n:]
	}
}

// merge joins leading parts into one record and returns how many it took.
func merge(parts []*part) (*record.Record, int) {
	rec := new(record.Record)
	size := 0
	for i := range parts {
		size += parts[i].size
		if i > 0 && size > maxRecordBytes {
			return rec, i
		}
		p := &parts[i].rec
		if parts[i].single() {
			if i > 0 {
				return rec, i
			}
			*rec = *p
			return rec, 1
		}
		rec.Config = append(rec.Config, p.Config...)
		rec.Submits = append(rec.Submits, p.Submits...)
		rec.Cancels = append(rec.Cancels, p.Cancels...)
		rec.RequestClaims = append(rec.RequestClaims, p.RequestClaims...)
		rec.RequestAnswers = append(rec.RequestAnswers, p.RequestAnswers...)
	}
	return rec, len(parts)
}

// appendRecord appends one record. Once an attempt had an unknown outcome it repeats the same sequence number until the
// outcome is known or ctx ends, because a later sequence number would make readers drop this record. At the end of ctx
// an unknown outcome stays unknown, and the writer appends nothing more.
func (w *Writer) appendRecord(ctx context.Context, rec *record.Record) (uint64, error) {
	if w.superseded.Load() {
		return 0, w.notAppended("another run of this process writes under its id")
	}
	if ctx.Err() != nil {
		// An earlier record may have an unknown outcome, and its sequence number must not be used again.
		return 0, w.notAppended("the writer stops")
	}
	w.mu.Lock()
	rec.Seq = w.seq + 1
	w.mu.Unlock()
	rec.Writer, rec.Incarnation, rec.AtMs = w.opts.ID, w.opts.Incarnation, w.opts.WallMs()
	data, err := record.Encode(rec)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", external.ErrNotAppended, err)
	}
	if err := w.opts.Budget.wait(ctx, w.opts.Bulk); err != nil {
		return 0, w.notAppended(err.Error())
	}
	return w.repeat(ctx, data)
}

func (w *Writer) repeat(ctx context.Context, data []byte) (uint64, error) {
	defer w.unknownSince.Store(0)
	b := newBackOff(appendPause)
	for {
		offset, err := w.tryAppend(ctx, data)
		if err == nil {
			w.mu.Lock()
			w.seq++
			w.mu.Unlock()
			return offset, nil
		}
		if !errors.Is(err, external.ErrNotAppended) {
			w.unknownSince.CompareAndSwap(0, time.Now().UnixNano())
		}
		if w.unknownSince.Load() == 0 {
			return 0, err
		}
		select {
		case <-time.After(b.NextBackOff()):
		case <-ctx.Done():
			return 0, fmt.Errorf("append to %s: %w: %w", w.stream, external.ErrOutcomeUnknown, ctx.Err())
		}
	}
}

func (w *Writer) tryAppend(ctx context.Context, data []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return w.log.Append(ctx, w.stream, data)
}

// newBackOff returns the delays between attempts: exponential with jitter, so that processes that lost the log together
// do not return to it together.
func newBackOff(longest time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 20 * time.Millisecond
	b.MaxInterval = longest
	b.RandomizationFactor = 0.5
	b.Reset()
	return b
}
