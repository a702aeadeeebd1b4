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
	// maxQueued bounds the writes that wait for the in-flight append.
	maxQueued = 4096
	// maxWritesPerRecord bounds the writes that are merged into one record.
	maxWritesPerRecord = 512
	// maxRecordBytes bounds the sum of the encoded sizes of the writes in one record. The log's interface accepts at most
	// 1 MiB, and 512 stored responses of 64 KiB would be 32 MiB. A larger write gets a record of its own.
	maxRecordBytes = 256 << 10
	// appendTimeout bounds one attempt of an append.
	appendTimeout = 2 * time.Second
	// maxAppendBackoff is the longest backoff between attempts of an append, without jitter.
	maxAppendBackoff = 2 * time.Second
	// unknownOutcomeTimeout is how long the outcome of an append may be unknown before further writes are refused
	// immediately. They could only wait, because no record can be appended before that outcome is known.
	unknownOutcomeTimeout = time.Second
)

// WriterOptions identify a writer.
type WriterOptions struct {
	// ID is the process id of the writer.
	ID string
	// Incarnation is the process's incarnation.
	Incarnation uint64
	// Window is how long a writer collects further writes before it appends a record.
	Window time.Duration
	// WallMs returns the wall clock in Unix milliseconds.
	WallMs func() int64
	// Budget limits appends of the whole process; nil for no limit.
	Budget *Budget
	// Bulk is true for a writer of snapshots, which gets a small share of the budget.
	Bulk bool
}

// States of a write.
const (
	writeQueued int32 = iota
	writeCollected
	writeCancelled
)

// pendingWrite is a write that waits for its result.
type pendingWrite struct {
	rec record.Record
	// size is the encoded size of rec in bytes; 0 if the write needs a record of its own.
	size  int
	done  chan result
	state atomic.Int32
}

// needsOwnRecord reports whether the write must not share a record with others.
func (p *pendingWrite) needsOwnRecord() bool {
	return p.rec.DeciderClaim != nil || p.rec.Batch != nil || p.rec.Snapshot != nil
}

type result struct {
	offset uint64
	err    error
}

// Writer merges writes into records and appends these one at a time, so that sequence numbers reach the log in order.
type Writer struct {
	log    external.Log
	stream string
	opts   WriterOptions
	queue  chan *pendingWrite
	closed chan struct{}
	// unknownSince is when the outcome of the in-flight append became unknown, in Unix nanoseconds; 0 if it did not.
	unknownSince atomic.Int64
	superseded   atomic.Bool

	mu  sync.Mutex
	seq uint64
}

// NewWriter returns a writer. Writes proceed only while Run is running.
func NewWriter(log external.Log, stream string, opts WriterOptions) *Writer {
	return &Writer{log: log, stream: stream, opts: opts, queue: make(chan *pendingWrite, maxQueued), closed: make(chan struct{})}
}

// ID returns the writer's id on its stream.
func (w *Writer) ID() string { return w.opts.ID }

// Supersede makes the writer refuse all further writes, because a newer run of the process writes under the same id and
// readers drop the records of this run.
func (w *Writer) Supersede() { w.superseded.Store(true) }

// Write adds the contents of rec to the next record and returns the offset of that record. The error wraps ErrNotAppended
// if the write certainly never takes effect, and ErrOutcomeUnknown otherwise. Write returns no later than ctx ends.
func (w *Writer) Write(ctx context.Context, rec record.Record) (uint64, error) {
	if reason := w.refusal(); reason != "" {
		return 0, w.notAppended(reason)
	}
	p := &pendingWrite{rec: rec, done: make(chan result, 1)}
	if !p.needsOwnRecord() {
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
		return w.cancelWrite(p, errors.New("the writer stopped"))
	case <-ctx.Done():
		return w.cancelWrite(p, ctx.Err())
	}
}

// refusal returns why a write cannot be accepted now; empty if it can.
func (w *Writer) refusal() string {
	since := w.unknownSince.Load()
	switch {
	case w.superseded.Load():
		return "another run of this process writes under its id"
	case since > 0 && time.Since(time.Unix(0, since)) > unknownOutcomeTimeout:
		return "the log has not answered for an earlier record"
	}
	return ""
}

func (w *Writer) notAppended(reason string) error {
	return fmt.Errorf("write to %s: %s: %w", w.stream, reason, external.ErrNotAppended)
}

// cancelWrite cancels a write that is still queued. A write that was already collected into a record has an unknown
// outcome unless its result has just arrived.
func (w *Writer) cancelWrite(p *pendingWrite, cause error) (uint64, error) {
	if p.state.CompareAndSwap(writeQueued, writeCancelled) {
		return 0, fmt.Errorf("write to %s: %w: %w", w.stream, external.ErrNotAppended, cause)
	}
	select {
	case r := <-p.done:
		return r.offset, r.err
	default:
		return 0, fmt.Errorf("write to %s: %w: %w", w.stream, external.ErrOutcomeUnknown, cause)
	}
}

// Run appends records until ctx ends. Writes that are still queued then return ErrNotAppended.
func (w *Writer) Run(ctx context.Context) {
	defer close(w.closed)
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-w.queue:
			w.appendWrites(ctx, w.collect(ctx, first))
		}
	}
}

// collect takes writes from the queue until the window has passed or a record is full. Cancelled writes are left out.
func (w *Writer) collect(ctx context.Context, first *pendingWrite) []*pendingWrite {
	var writes []*pendingWrite
	add := func(p *pendingWrite) {
		if p.state.CompareAndSwap(writeQueued, writeCollected) {
			writes = append(writes, p)
		}
	}
	add(first)
	timer := time.NewTimer(w.opts.Window)
	defer timer.Stop()
	for len(writes) < maxWritesPerRecord {
		select {
		case p := <-w.queue:
			add(p)
		case <-timer.C:
			return writes
		case <-ctx.Done():
			return writes
		}
	}
	return writes
}

// appendWrites appends the writes as one or more records and delivers their results. Writes that cannot share a record
// get one each.
func (w *Writer) appendWrites(ctx context.Context, writes []*pendingWrite) {
	for len(writes) > 0 {
		rec, n := mergeWrites(writes)
		offset, err := w.appendRecord(ctx, rec)
		for _, p := range writes[:n] {
			p.done <- result{offset, err}
		}
		writes = writes[n:]
	}
}

// mergeWrites merges leading writes into one record and returns how many it merged.
func mergeWrites(writes []*pendingWrite) (*record.Record, int) {
	rec := new(record.Record)
	size := 0
	for i := range writes {
		size += writes[i].size
		if i > 0 && size > maxRecordBytes {
			return rec, i
		}
		p := &writes[i].rec
		if writes[i].needsOwnRecord() {
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
	return rec, len(writes)
}

// appendRecord appends one record. Once an attempt has an unknown outcome, it retries with the same sequence number until
// the outcome is known or ctx ends, because a later sequence number would make readers drop this record. If ctx ends
// first, the outcome stays unknown and the writer appends nothing more.
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
	return w.appendUntilResolved(ctx, data)
}

func (w *Writer) appendUntilResolved(ctx context.Context, data []byte) (uint64, error) {
	defer w.unknownSince.Store(0)
	b := newBackoff(maxAppendBackoff)
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
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	return w.log.Append(ctx, w.stream, data)
}

// newBackoff returns an exponential backoff with jitter, so that processes that lost the log at the same time do not all
// retry at the same time.
func newBackoff(maxInterval time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 20 * time.Millisecond
	b.MaxInterval = maxInterval
	b.RandomizationFactor = 0.5
	b.Reset()
	return b
}
