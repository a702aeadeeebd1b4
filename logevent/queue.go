package logevent

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLines is the number of lines that wait for a slow reader. At 300 bytes a line that is 0.6 MB.
	queueLines = 2048
	// flushBytes is how much is written at once: a pipe takes that much whole.
	flushBytes = 4 << 10
	// flushEvery is the longest time that a line waits for others, so that a burst takes few writes.
	flushEvery = 20 * time.Millisecond
	// closeWait bounds the wait for a blocked reader at the end of the process.
	closeWait = 300 * time.Millisecond
)

// Queue is a writer that never blocks: lines go through a queue of fixed size to one goroutine. A line that finds the
// queue full is dropped and counted.
type Queue struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Uint64
	total   atomic.Uint64
	once    sync.Once
	// OnDropped is called by the writing goroutine with the number of lines dropped since the last call, once there is
	// room again. Its result is written.
	OnDropped func(n uint64) []byte
}

// NewQueue returns a queue before w.
func NewQueue(w io.Writer, onDropped func(n uint64) []byte) *Queue {
	q := &Queue{lines: make(chan []byte, queueLines), done: make(chan struct{}), OnDropped: onDropped}
	go q.run(w)
	return q
}

// Write implements io.Writer. It always succeeds; the line may be dropped.
func (q *Queue) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case q.lines <- line:
	default:
		q.dropped.Add(1)
		q.total.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines dropped since the start.
func (q *Queue) Dropped() uint64 { return q.total.Load() }

func (q *Queue) run(w io.Writer) {
	defer close(q.done)
	buf := make([]byte, 0, flushBytes)
	for line := range q.lines {
		buf = append(buf[:0], line...)
		timer := time.NewTimer(flushEvery)
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
		if n := q.dropped.Swap(0); n > 0 && q.OnDropped != nil {
			buf = append(buf, q.OnDropped(n)...)
		}
		// A failed write of a log line has no other place to be reported; the next one is tried anyway.
		_, _ = w.Write(buf)
		if !open {
			return
		}
	}
}

// Close writes what is queued. It gives up on a reader that is blocked.
func (q *Queue) Close() {
	q.once.Do(func() { close(q.lines) })
	select {
	case <-q.done:
	case <-time.After(closeWait):
	}
}
