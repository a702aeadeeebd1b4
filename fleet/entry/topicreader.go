package entry

import (
	"cmp"
	"context"
	"errors"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/verbenakeel/verbenakeel/fleet/clock"
	"github.com/verbenakeel/verbenakeel/fleet/work"
	"github.com/verbenakeel/verbenakeel/logevent"
)

const (
	// readRetry is the pause after a failed read.
	readRetry = 250 * time.Millisecond
	// readWait is how long the store is asked to wait for a record. It bounds how long a dead connection goes unnoticed.
	readWait = 900 * time.Millisecond
)

// topicReader reads a topic: first a snapshot with the newest record of each key, then all later records. After records have
// expired that were not read, it reads another snapshot and applies what differs, as records: a key that is absent from the
// snapshot is applied as a tombstone.
type topicReader struct {
	topic string
	store work.Store
	log   logevent.Logger
	// batchPause is the pause after a read that returned records, so that a busy topic needs fewer reads.
	batchPause time.Duration
	// apply handles records in their order.
	apply func([]work.Record)
	// wait is how long the store is asked to wait for a record; 0 means readWait.
	wait time.Duration
	// onCaughtUp is called after a read that reached the end without a record, onFailure after a failed read.
	onCaughtUp, onFailure func()

	// applyMu serializes the application of records: a refresh for a caller runs concurrently with the long poll of run. It
	// guards next, loaded and offsets.
	applyMu sync.Mutex
	// next is the offset below which the effect of every record was applied.
	next int64
	// loaded is false until a snapshot was applied, at first and after records from next on have expired.
	loaded bool
	// offsets holds, for each key that the topic has as of the applied records, the offset of its newest applied record.
	offsets map[string]int64

	// sharedMu serializes refreshShared.
	sharedMu sync.Mutex

	mu sync.Mutex
	// okMs is when the last successful read was sent, 0 if there was none, failingSinceMs since when reads have failed; 0 if the last succeeded.
	okMs, failingSinceMs int64
	attempts             int
	// endMs is when the last read was sent that reached the end of the topic, 0 if there was none.
	endMs  int64
	paused bool
	// eager is true while reads aren't paused for batching.
	eager bool
}

// run reads the topic until ctx ends.
func (r *topicReader) run(ctx context.Context) {
	for ctx.Err() == nil {
		if r.isPaused() {
			clock.Sleep(ctx, readRetry)
			continue
		}
		wait := r.wait
		if wait == 0 {
			wait = readWait
		}
		n, _, err := r.read(ctx, wait)
		switch {
		case ctx.Err() != nil:
		case err != nil:
			clock.Sleep(ctx, readRetry)
		case n > 0:
			clock.Sleep(ctx, r.pauseAfter())
		}
	}
}

// pause stops or resumes reading: a decider applies its own records directly.
func (r *topicReader) pause(paused bool) {
	r.mu.Lock()
	r.paused = paused
	r.mu.Unlock()
}

// setBatching sets whether the reader pauses between reads to batch records.
func (r *topicReader) setBatching(batching bool) {
	r.mu.Lock()
	r.eager = !batching
	r.mu.Unlock()
}

func (r *topicReader) pauseAfter() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.eager {
		return 0
	}
	return r.batchPause
}

func (r *topicReader) isPaused() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.paused
}

// read performs one read. It returns the number of new records and whether the read reached the end of the topic.
func (r *topicReader) read(ctx context.Context, wait time.Duration) (n int, atEnd bool, err error) {
	sent := clock.BootMs()
	n, atEnd, err = r.readOnce(ctx, wait)
	if err != nil && ctx.Err() != nil {
		// The caller gave up, which says nothing about the store and must not hold up an election.
		return 0, false, err
	}
	r.recordResult(sent, err)
	if atEnd && err == nil {
		r.mu.Lock()
		r.endMs = max(r.endMs, sent)
		r.mu.Unlock()
	}
	return n, atEnd, err
}

// readOnce reads and applies the next records, or a snapshot at first and after records have expired.
func (r *topicReader) readOnce(ctx context.Context, wait time.Duration) (n int, atEnd bool, err error) {
	from, loaded := r.position()
	if loaded {
		page, err := r.store.Read(ctx, r.topic, from, wait)
		if err == nil {
			return r.applyPage(page), page.Next >= page.End, nil
		}
		if !errors.Is(err, work.ErrExpired) {
			return 0, false, err
		}
		r.markExpired(from)
	}
	snapshot, err := r.store.Newest(ctx, r.topic)
	if err != nil {
		return 0, false, err
	}
	// A snapshot does not show the end of the topic: the records from Next on have to be read in any case.
	return r.applySnapshot(snapshot), false, nil
}

// markExpired records that the records from an offset on have expired, unless another read has passed that offset since.
func (r *topicReader) markExpired(from int64) {
	r.applyMu.Lock()
	defer r.applyMu.Unlock()
	if r.next == from {
		r.loaded = false
	}
}

// applyPage applies the records of a page that were not applied before and returns their number.
func (r *topicReader) applyPage(page work.Page) int {
	r.applyMu.Lock()
	defer r.applyMu.Unlock()
	records := page.Records
	for len(records) > 0 && records[0].Offset < r.next {
		records = records[1:]
	}
	atEnd := page.Next >= page.End && page.Next >= r.next
	r.next = max(r.next, page.Next)
	if len(records) > 0 {
		r.applyRecords(records)
	} else if atEnd && r.onCaughtUp != nil {
		r.onCaughtUp()
	}
	return len(records)
}

// applySnapshot applies what a snapshot shows beyond the records that were applied before, and returns the number of
// changes. The snapshot may be older than those records, because reads run concurrently.
func (r *topicReader) applySnapshot(snapshot work.Snapshot) int {
	r.applyMu.Lock()
	defer r.applyMu.Unlock()
	changes := r.removedBy(snapshot)
	removed := len(changes)
	for _, rec := range snapshot.Records {
		if rec.Offset >= r.next {
			changes = append(changes, rec)
		}
	}
	if r.next > 0 {
		r.log.Log(logevent.RecordsExpired, logevent.Str("topic", r.topic), logevent.Int("offset", r.next),
			logevent.Int("keys", len(snapshot.Records)), logevent.Int("changed", len(changes)-removed), logevent.Int("removed", removed))
	}
	caughtUp := snapshot.Next >= r.next
	r.loaded = true
	r.next = max(r.next, snapshot.Next)
	if len(changes) > 0 {
		r.applyRecords(changes)
	} else if caughtUp && r.onCaughtUp != nil {
		r.onCaughtUp()
	}
	return len(changes)
}

// removedBy returns tombstones of the keys that a snapshot shows to be gone, sorted by key. A key whose newest applied
// record is at or behind Next may have been written after its page was read; it is kept.
func (r *topicReader) removedBy(snapshot work.Snapshot) []work.Record {
	present := make(map[string]struct{}, len(snapshot.Records))
	for _, rec := range snapshot.Records {
		present[rec.Key] = struct{}{}
	}
	var tombstones []work.Record
	for key, offset := range r.offsets {
		if _, ok := present[key]; !ok && offset < snapshot.Next {
			tombstones = append(tombstones, work.Record{Key: key, Offset: offset})
		}
	}
	slices.SortFunc(tombstones, func(a, b work.Record) int { return cmp.Compare(a.Key, b.Key) })
	return tombstones
}

// applyRecords applies records. If that panics it applies them one by one, which is safe to repeat as a record replaces the
// earlier one of its key, and skips those that panic.
func (r *topicReader) applyRecords(records []work.Record) {
	r.trackKeys(records)
	if r.tryApply(records) {
		return
	}
	for i := range records {
		if !r.tryApply(records[i : i+1]) {
			r.log.Log(logevent.RecordUnreadable, logevent.Str("topic", r.topic), logevent.Str("key", records[i].Key))
		}
	}
}

// tryApply applies records and reports whether that did not panic.
func (r *topicReader) tryApply(records []work.Record) (ok bool) {
	defer r.log.Recover(logevent.RecordPanicked, logevent.Str("topic", r.topic), logevent.Int("records", len(records)))
	r.apply(records)
	return true
}

// trackKeys records which keys the topic has after records.
func (r *topicReader) trackKeys(records []work.Record) {
	if r.offsets == nil {
		r.offsets = map[string]int64{}
	}
	for _, rec := range records {
		if len(rec.Value) == 0 {
			delete(r.offsets, rec.Key)
		} else {
			r.offsets[rec.Key] = rec.Offset
		}
	}
}

// refresh reads to the end that the topic has now. A page without new records is not the end: run reads concurrently.
func (r *topicReader) refresh(ctx context.Context) error {
	for {
		_, atEnd, err := r.read(ctx, 0)
		if err != nil || atEnd {
			return err
		}
	}
}

// refreshShared reads to the end that the topic has now, or waits for another caller's read that was sent since.
func (r *topicReader) refreshShared(ctx context.Context) error {
	arrivedMs := clock.BootMs()
	r.sharedMu.Lock()
	defer r.sharedMu.Unlock()
	return r.refreshSince(ctx, arrivedMs)
}

// refreshSince reads to the end unless a read that was sent after a time has reached it.
func (r *topicReader) refreshSince(ctx context.Context, sinceMs int64) error {
	r.mu.Lock()
	reached := r.endMs > sinceMs
	r.mu.Unlock()
	if reached {
		return nil
	}
	return r.refresh(ctx)
}

// applyOwn applies records that this entry appended itself, which end at offset end. A concurrent read may return them
// again; applyPage skips them then.
func (r *topicReader) applyOwn(records []work.Record, end int64) {
	r.applyMu.Lock()
	if end > r.next {
		r.applyRecords(withOffsets(records, end))
		r.next = end
	}
	r.applyMu.Unlock()
	r.mu.Lock()
	r.okMs = clock.BootMs()
	r.mu.Unlock()
}

// withOffsets returns consecutive records that end at offset end, with their offsets.
func withOffsets(records []work.Record, end int64) []work.Record {
	numbered := slices.Clone(records)
	for i := range numbered {
		numbered[i].Offset = end - int64(len(numbered)-i)
	}
	return numbered
}

// position returns the next offset to read and whether the topic has been read at all.
func (r *topicReader) position() (int64, bool) {
	r.applyMu.Lock()
	defer r.applyMu.Unlock()
	return r.next, r.loaded
}

// recordResult records the result of a read. It logs the first failure of a series and the recovery.
func (r *topicReader) recordResult(sent int64, err error) {
	r.mu.Lock()
	failingSince, attempts := r.failingSinceMs, r.attempts
	if err == nil {
		r.okMs, r.failingSinceMs, r.attempts = sent, 0, 0
	} else {
		r.attempts++
		if r.failingSinceMs == 0 {
			r.failingSinceMs = sent
		}
	}
	r.mu.Unlock()
	switch {
	case err != nil:
		if failingSince == 0 {
			r.log.Log(logevent.StoreUnavailable, logevent.Str("topic", r.topic), logevent.Err(err))
		}
		if r.onFailure != nil {
			r.onFailure()
		}
	case failingSince != 0:
		r.log.Log(logevent.StoreRecovered, logevent.Str("topic", r.topic), logevent.Int("away_ms", clock.BootMs()-failingSince), logevent.Int("attempts", attempts))
	}
}

// neverRead is the age of a topic that was not read yet.
const neverRead = math.MaxInt64

// lastReadMs returns when the last successful read was sent; 0 if there was none.
func (r *topicReader) lastReadMs() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.okMs
}

// ageMs returns the time since the last successful read was sent, or neverRead.
func (r *topicReader) ageMs() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.okMs == 0 {
		return neverRead
	}
	return clock.BootMs() - r.okMs
}
