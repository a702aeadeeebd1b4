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
// counted if the queue is full.
type Queue struct {
	lines        chan []byte
	done         chan struct{}
	unreported   atomic.Uint64
	droppedTotal atomic.Uint64
	closeOnce    sync.Once
	// OnDropped is called by the writing goroutine with the number of lines dropped since the last call, once the queue
	// has space again. Its result is written.
	OnDropped func(n uint64) []byte
}

// NewQueue returns a queue that writes to w, and starts its goroutine.
func NewQueue(w io.Writer, onDropped func(n uint64) []byte) *Queue {
	q := &Queue{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{}), OnDropped: onDropped}
	go q.writeLoop(w)
	return q
}

// Write implements io.Writer. It always succeeds; the line may be dropped.
func (q *Queue) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case q.lines <- line:
	default:
		q.unreported.Add(1)
		q.droppedTotal.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines dropped since the start.
func (q *Queue) Dropped() uint64 { return q.droppedTotal.Load() }

func (q *Queue) writeLoop(w io.Writer) {
	defer close(q.done)
	buf := make([]byte, 0, flushBytes)
	for line := range q.lines {
		buf = append(buf[:0], line...)
		timer := time.NewTimer(maxFlushDelay)
		open := true
	collect:
		for open && len(buf) < flushBytes {
			select {
			case next, ok := <-q.lines:
				open = ok
				buf = append(buf, next...)
			case <-timer.C:
				break collect
			}
		}
		timer.Stop()
		if n := q.unreported.Swap(0); n > 0 && q.OnDropped != nil {
			buf = append(buf, q.OnDropped(n)...)
		}
		// There is nowhere to report a failed write of a log line; later lines are still written.
		_, _ = w.Write(buf)
		if !open {
			return
		}
	}
}

// Close writes the queued lines. It gives up after a timeout if the reader is blocked.
func (q *Queue) Close() {
	q.closeOnce.Do(func() { close(q.lines) })
	select {
	case <-q.done:
	case <-time.After(closeTimeout):
	}
}
