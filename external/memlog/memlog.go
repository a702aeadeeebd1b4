// Package memlog simulates the platform's log in memory, with its limits and injected faults.
package memlog

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/verbenakeel/verbenakeel/external"
)

// Options are the limits of the log.
type Options struct {
	// AppendsPerSecond limits appends over all streams; 0 for no limit.
	AppendsPerSecond int
	// KeepRecords is the number of records retained per stream; 0 retains all.
	KeepRecords int
	// KeepFor is the retention time of records; 0 retains all.
	KeepFor time.Duration
}

// Faults are injected faults, which can be changed at run time.
type Faults struct {
	// Down makes every call fail without effect.
	Down bool `json:"down"`
	// DelayMs delays every call, in milliseconds.
	DelayMs int `json:"delay_ms"`
	// LoseReplies is the number of next appends that take effect but return ErrOutcomeUnknown.
	LoseReplies int `json:"lose_replies"`
}

type storedEntry struct {
	external.Entry
	at time.Time
}

type streamState struct {
	entries  []storedEntry
	first    uint64
	next     uint64
	appended chan struct{}
}

// Log is an in-memory external.Log.
type Log struct {
	opts    Options
	limiter *rate.Limiter

	mu      sync.Mutex
	faults  Faults
	streams map[string]*streamState
}

var _ external.Log = (*Log)(nil)

// New returns an empty log.
func New(opts Options) *Log {
	l := &Log{opts: opts, streams: make(map[string]*streamState)}
	if opts.AppendsPerSecond > 0 {
		l.limiter = rate.NewLimiter(rate.Limit(opts.AppendsPerSecond), max(1, opts.AppendsPerSecond/10))
	}
	return l
}

// SetFaults replaces the injected faults.
func (l *Log) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Append implements external.Log.
func (l *Log) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	if err := l.applyFaults(ctx); err != nil {
		return 0, fmt.Errorf("append to %s: %w: %w", stream, external.ErrNotAppended, err)
	}
	if l.limiter != nil {
		if err := l.limiter.Wait(ctx); err != nil {
			return 0, fmt.Errorf("append to %s: %w: %w", stream, external.ErrNotAppended, err)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down {
		return 0, fmt.Errorf("append to %s: %w", stream, external.ErrNotAppended)
	}
	s := l.stream(stream)
	offset := s.next
	s.entries = append(s.entries, storedEntry{external.Entry{Offset: offset, Data: data}, time.Now()})
	s.next++
	close(s.appended)
	s.appended = make(chan struct{})
	l.expireEntries(s)
	if l.faults.LoseReplies > 0 {
		l.faults.LoseReplies--
		return 0, fmt.Errorf("append to %s: %w", stream, external.ErrOutcomeUnknown)
	}
	return offset, nil
}

// Read implements external.Log.
func (l *Log) Read(ctx context.Context, stream string, from uint64, max int, wait time.Duration) (external.Page, error) {
	if err := l.applyFaults(ctx); err != nil {
		return external.Page{}, fmt.Errorf("read %s: %w: %w", stream, external.ErrLogDown, err)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, appended, err := l.readNow(stream, from, max)
		if err != nil || len(page.Entries) > 0 {
			return page, err
		}
		select {
		case <-appended:
		case <-timer.C:
			page, _, err := l.readNow(stream, from, max)
			return page, err
		case <-ctx.Done():
			return external.Page{}, fmt.Errorf("read %s: %w: %w", stream, external.ErrLogDown, ctx.Err())
		}
	}
}

func (l *Log) readNow(stream string, from uint64, max int) (external.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down {
		return external.Page{}, nil, fmt.Errorf("read %s: %w", stream, external.ErrLogDown)
	}
	s := l.stream(stream)
	l.expireEntries(s)
	page := external.Page{First: s.first, Next: s.next}
	if from < s.first {
		return page, nil, fmt.Errorf("read %s from %d: %w", stream, from, external.ErrOffsetExpired)
	}
	for i := from - s.first; i < uint64(len(s.entries)) && len(page.Entries) < max; i++ {
		page.Entries = append(page.Entries, s.entries[i].Entry)
	}
	return page, s.appended, nil
}

// applyFaults applies the injected delay and outage to a call.
func (l *Log) applyFaults(ctx context.Context) error {
	l.mu.Lock()
	f := l.faults
	l.mu.Unlock()
	if f.Down {
		return external.ErrLogDown
	}
	if f.DelayMs == 0 {
		return nil
	}
	select {
	case <-time.After(time.Duration(f.DelayMs) * time.Millisecond):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *Log) stream(name string) *streamState {
	s := l.streams[name]
	if s == nil {
		s = &streamState{first: 1, next: 1, appended: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (l *Log) expireEntries(s *streamState) {
	drop := 0
	if l.opts.KeepRecords > 0 {
		drop = max(0, len(s.entries)-l.opts.KeepRecords)
	}
	if l.opts.KeepFor > 0 {
		limit := time.Now().Add(-l.opts.KeepFor)
		for drop < len(s.entries) && s.entries[drop].at.Before(limit) {
			drop++
		}
	}
	if drop > 0 {
		s.entries = append([]storedEntry(nil), s.entries[drop:]...)
		s.first += uint64(drop)
	}
}
