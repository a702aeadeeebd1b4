package entry

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/verbenakeel/verbenakeel/errdefs"
	"github.com/verbenakeel/verbenakeel/fleet/clock"
	"github.com/verbenakeel/verbenakeel/fleet/work"
)

const (
	// slowStore is the duration of a call from which the store counts as slow. It answers within 4 ms otherwise.
	slowStore = 150 * time.Millisecond
	// slowForMs is how long the store counts as slow after the last slow call.
	slowForMs = 2000
	// maxAppendsInFlight bounds concurrent appends of callers' records. While the store is slow there is one: a partition
	// takes appends one at a time, and a caller's record costs it as much as a batch.
	maxAppendsInFlight = 16
	// maxBatchRecords and maxBatchBytes bound a batch, below the store's limit of 2 MB a call.
	maxBatchRecords = 256
	maxBatchBytes   = 512 << 10
)

// batcher appends records of callers to the topic of jobs. Records that wait while appends are in flight are appended
// together.
type batcher struct {
	append func(context.Context, work.Append) (work.Appended, error)

	mu       sync.Mutex
	queue    []*waitingRecords
	inFlight int
	// slowUntilMs is until when the store counts as slow.
	slowUntilMs int64
}

// waitingRecords are the records of one request.
type waitingRecords struct {
	records []work.Record
	done    chan error
}

func (w *waitingRecords) size() int {
	n := 0
	for _, r := range w.records {
		n += len(r.Key) + len(r.Value)
	}
	return n
}

// recordDuration records how long a call to the store took.
func (b *batcher) recordDuration(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if d >= slowStore {
		b.slowUntilMs = clock.BootMs() + slowForMs
	}
}

// slow reports whether the store was slow lately.
func (b *batcher) slow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return clock.BootMs() < b.slowUntilMs
}

// add appends records and waits for the result. An error of kind Unavailable guarantees that they were not appended.
func (b *batcher) add(ctx context.Context, records []work.Record) error {
	w := &waitingRecords{records: records, done: make(chan error, 1)}
	b.mu.Lock()
	b.queue = append(b.queue, w)
	b.start()
	b.mu.Unlock()
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := slices.Index(b.queue, w); i >= 0 {
		b.queue = slices.Delete(b.queue, i, i+1)
		return fmt.Errorf("append to %s: %w", work.TopicJobs, errdefs.New(errdefs.Unavailable, "given up before it was sent", "try again later"))
	}
	return fmt.Errorf("append to %s: %w", work.TopicJobs, errdefs.New(errdefs.Unknown, ctx.Err().Error(), "repeat the call; it may have been carried out"))
}

// start sends batches while appends may be in flight. The caller holds mu.
func (b *batcher) start() {
	limit := maxAppendsInFlight
	if clock.BootMs() < b.slowUntilMs {
		limit = 1
	}
	for len(b.queue) > 0 && b.inFlight < limit {
		var batch []*waitingRecords
		records, size := 0, 0
		for _, w := range b.queue {
			if len(batch) > 0 && (records+len(w.records) > maxBatchRecords || size+w.size() > maxBatchBytes) {
				break
			}
			batch = append(batch, w)
			records, size = records+len(w.records), size+w.size()
		}
		b.queue = b.queue[len(batch):]
		b.inFlight++
		go b.flush(batch)
	}
}

// flush appends a batch. Its requests share the result: the store appends all records or none.
func (b *batcher) flush(batch []*waitingRecords) {
	var records []work.Record
	for _, w := range batch {
		records = append(records, w.records...)
	}
	began := time.Now()
	_, err := b.append(context.Background(), work.Append{Topic: work.TopicJobs, Records: records})
	b.recordDuration(time.Since(began))
	for _, w := range batch {
		w.done <- err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight--
	b.start()
}

// collector returns the entry through which records of callers are appended while the store is slow: the largest one, so
// that they share few appends. It returns false if this is the largest entry itself.
func (r *relay) collector(ownCores float64) (work.ProcessAddress, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	best, found := work.ProcessAddress{Instance: r.self, Cores: ownCores}, false
	now := clock.BootMs()
	for _, p := range r.peers {
		if now < p.backoffUntilMs {
			continue
		}
		if p.Cores > best.Cores || p.Cores == best.Cores && p.Instance < best.Instance {
			best, found = p.ProcessAddress, true
		}
	}
	return best, found
}
