package telemetry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/verbenakeel/verbenakeel/external"
)

// Log counts the calls to a platform's log and remembers when each stream was read.
type Log struct {
	external.Log
	appends Histogram

	mu   sync.Mutex
	read map[string]time.Time
}

// NewLog wraps a log.
func NewLog(log external.Log, appends Histogram) *Log {
	return &Log{Log: log, appends: appends, read: make(map[string]time.Time)}
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
		l.read[stream] = sent
		l.mu.Unlock()
	}
	return page, err
}

// Ages returns the time since the newest answered read of each stream was sent.
func (l *Log) Ages() map[string]time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	ages := make(map[string]time.Duration, len(l.read))
	for s, at := range l.read {
		ages[s] = time.Since(at)
	}
	return ages
}
