package logevent

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines is the number of lines that may wait for a slow reader. At 300 bytes a line they take 0.6 MB.
	maxQueuedLines = 2048
	// flushBytes is the buffer size that triggers a write; writes of up to this size to a pipe are atomic.
	flushBytes = 4 << 10
	// maxFlushDelay is the longest time that a line is buffered, so that a burst of lines takes few writes.
	maxFlushDelay = 20 * time.Millisecond
	// closeTimeout bounds the time that Close waits for a blocked reader.
	closeTimeout = 300 * time.Millisecond
)

// Queue is a writer that never blocks: one goroutine writes the lines from a queue of fixed size. A line is dropped and
// counted if the queue is full or closed.
type Queue struct {
	lines chan []byte
	// closing is closed by Close, and done once the lines that were queued before are written.
	closing, done chan struct{}
	// mu orders Write and Close, so that no line is queued after closing is closed.
	mu           sync.RWMutex
	closed       bool
	unreported   atomic.Uint64
	droppedTotal atomic.Uint64
	// OnDropped is called by the writing goroutine with the number of lines dropped since the last call, once the queue
	// has space again. Its result is written.
	OnDropped func(n uint64) []byte
}

// NewQueue returns a queue that writes to w, and starts its goroutine.
func NewQueue(w io.Writer, onDropped func(n uint64) []byte) *Queue {
	q := &Queue{lines: make(chan []byte, maxQueuedLines), closing: make(chan struct{}), done: make(chan struct{}), OnDropped: onDropped}
	go q.writeLoop(w)
	return q
}

// Write implements io.Writer. It always succeeds; the line may be dropped.
func (q *Queue) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	if !q.enqueue(line) {
		q.unreported.Add(1)
		q.droppedTotal.Add(1)
	}
	return len(p), nil
}

// enqueue queues a line and reports whether there was room for it.
func (q *Queue) enqueue(line []byte) bool {
	q.mu.RLock()
	defer q.mu.RUnlock()
	if q.closed {
		return false
	}
	select {
	case q.lines <- line:
		return true
	default:
		return false
	}
}

// Dropped returns the number of lines dropped since the start.
func (q *Queue) Dropped() uint64 { return q.droppedTotal.Load() }

func (q *Queue) writeLoop(w io.Writer) {
	defer close(q.done)
	buf := make([]byte, 0, flushBytes)
	for open := true; open; {
		buf, open = q.collect(buf[:0])
		if len(buf) == 0 {
			continue
		}
		if n := q.unreported.Swap(0); n > 0 && q.OnDropped != nil {
			buf = append(buf, q.OnDropped(n)...)
		}
		// There is nowhere to report a failed write of a log line; later lines are still written.
		_, _ = w.Write(buf)
	}
}

// collect waits for a line and appends it to buf, with those that follow soon. It returns false once the queue is closed and
// empty.
func (q *Queue) collect(buf []byte) ([]byte, bool) {
	select {
	case line := <-q.lines:
		buf = append(buf, line...)
	case <-q.closing:
		return q.drain(buf)
	}
	timer := time.NewTimer(maxFlushDelay)
	defer timer.Stop()
	for len(buf) < flushBytes {
		select {
		case line := <-q.lines:
			buf = append(buf, line...)
		case <-timer.C:
			return buf, true
		case <-q.closing:
			return q.drain(buf)
		}
	}
	return buf, true
}

// drain appends lines to buf without waiting. It returns false once there are no more.
func (q *Queue) drain(buf []byte) ([]byte, bool) {
	for len(buf) < flushBytes {
		select {
		case line := <-q.lines:
			buf = append(buf, line...)
		default:
			return buf, false
		}
	}
	return buf, true
}

// Close writes the queued lines; lines that come later are dropped and counted. It gives up after a timeout if the reader is
// blocked.
func (q *Queue) Close() {
	q.mu.Lock()
	if !q.closed {
		q.closed = true
		close(q.closing)
	}
	q.mu.Unlock()
	select {
	case <-q.done:
	case <-time.After(closeTimeout):
	}
}
