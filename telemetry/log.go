package telemetry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/verbenakeel/verbenakeel/external"
)

// Log wraps a platform's log. It measures appends and records when each stream was last read.
type Log struct {
	external.Log
	appends Histogram

	mu       sync.Mutex
	lastRead map[string]time.Time
}

// NewLog returns a wrapper of log that records the duration of appends in the histogram.
func NewLog(log external.Log, appends Histogram) *Log {
	return &Log{Log: log, appends: appends, lastRead: make(map[string]time.Time)}
}

// Append implements external.Log.
func (l *Log) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	start := time.Now()
	offset, err := l.Log.Append(ctx, stream, data)
	outcome := "appended"
	switch {
	case errors.Is(err, external.ErrNotAppended):
		outcome = "not_appended"
	case err != nil:
		outcome = "unknown"
	}
	l.appends.Record(time.Since(start), stream, outcome)
	return offset, err
}

// Read implements external.Log.
func (l *Log) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (external.Page, error) {
	sent := time.Now()
	page, err := l.Log.Read(ctx, stream, from, limit, wait)
	if err == nil {
		l.mu.Lock()
		l.lastRead[stream] = sent
		l.mu.Unlock()
	}
	return page, err
}

// Ages returns, by stream, the time since the start of the last successful read.
func (l *Log) Ages() map[string]time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	ages := make(map[string]time.Duration, len(l.lastRead))
	for s, at := range l.lastRead {
		ages[s] = time.Since(at)
	}
	return ages
}
