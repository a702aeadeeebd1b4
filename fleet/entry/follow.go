package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/verbenakeel/verbenakeel/fleet/clock"
	"github.com/verbenakeel/verbenakeel/fleet/work"
	"github.com/verbenakeel/verbenakeel/logevent"
)

const (
	// followRetry is the pause after a failed read.
	followRetry = 250 * time.Millisecond
	// followWait is how long the store is asked to wait for a record. It bounds how long a connection that went silent
	// goes unnoticed.
	followWait = 900 * time.Millisecond
)

// follower keeps up with a topic. It reads the newest record of each key first.
type follower struct {
	topic string
	store work.Store
	log   logevent.Logger
	// gather is the pause after a read that brought records, so that a busy topic takes few reads.
	gather time.Duration
	// apply takes records in their order.
	apply func([]work.Record)
	// wait is how long the store is asked to wait for a record; followWait if it is 0.
	wait time.Duration
	// quiet is called after a read that reached the end without a record, failed after one that failed.
	quiet, failed func()

	// applying serializes what was read: a look at the store on behalf of a caller goes on beside the follower's read,
	// which waits at the store. next and loaded are guarded by it.
	applying sync.Mutex
	next     int64
	loaded   bool

	mu sync.Mutex
	// okMs is when the last answered read was sent; lostMs since when reads fail, 0 if they don't.
	okMs, lostMs int64
	attempts     int
	paused       bool
	// eager is true while records are wanted at once.
	eager bool
}

// run follows the topic until ctx ends.
func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		if f.isPaused() {
			clock.Sleep(ctx, followRetry)
			continue
		}
		wait := f.wait
		if wait == 0 {
			wait = followWait
		}
		n, err := f.read(ctx, wait)
		switch {
		case ctx.Err() != nil:
		case err != nil:
			clock.Sleep(ctx, followRetry)
		case n > 0:
			clock.Sleep(ctx, f.pauseAfter())
		}
	}
}

// pause stops or resumes following: a decider knows its own records.
func (f *follower) pause(paused bool) {
	f.mu.Lock()
	f.paused = paused
	f.mu.Unlock()
}

// setGather says whether reads may gather records.
func (f *follower) setGather(gather bool) {
	f.mu.Lock()
	f.eager = !gather
	f.mu.Unlock()
}

func (f *follower) pauseAfter() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.eager {
		return 0
	}
	return f.gather
}

func (f *follower) isPaused() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.paused
}

// read reads once and returns the number of new records.
func (f *follower) read(ctx context.Context, wait time.Duration) (int, error) {
	sent := clock.BootMs()
	from, loaded := f.position()
	page, err := f.fetch(ctx, from, loaded, wait)
	f.note(sent, err)
	if err != nil {
		return 0, err
	}
	return f.take(page), nil
}

// take applies a page but for records that are known by now, and returns the number of the others.
func (f *follower) take(page work.Page) int {
	f.applying.Lock()
	defer f.applying.Unlock()
	records := page.Records
	if f.loaded {
		for len(records) > 0 && records[0].Offset < f.next {
			records = records[1:]
		}
	}
	f.loaded = true
	atEnd := page.Next >= page.End && page.Next >= f.next
	f.next = max(f.next, page.Next)
	if len(records) > 0 {
		f.apply(records)
	} else if atEnd && f.quiet != nil {
		f.quiet()
	}
	return len(records)
}

// fetch returns the next records, or the newest of each key at first and after records have expired.
func (f *follower) fetch(ctx context.Context, from int64, loaded bool, wait time.Duration) (work.Page, error) {
	if loaded {
		page, err := f.store.Read(ctx, f.topic, from, wait)
		if !errors.Is(err, work.ErrExpired) {
			return page, err
		}
		f.log.Log(logevent.RecordsExpired, logevent.Str("topic", f.topic), logevent.Int("offset", from))
		f.applying.Lock()
		f.loaded = false
		f.applying.Unlock()
	}
	return f.store.Newest(ctx, f.topic)
}

// refresh reads to the end of the topic.
func (f *follower) refresh(ctx context.Context) error {
	for {
		n, err := f.read(ctx, 0)
		if err != nil || n == 0 {
			return err
		}
	}
}

// own applies records that this entry appended itself, up to their end. A read on its way may return them again and is
// passed over.
func (f *follower) own(records []work.Record, end int64) {
	f.applying.Lock()
	if end > f.next {
		f.apply(records)
		f.next = end
	}
	f.applying.Unlock()
	f.mu.Lock()
	f.okMs = clock.BootMs()
	f.mu.Unlock()
}

// position returns the offset that is read next and whether the topic was read at all.
func (f *follower) position() (int64, bool) {
	f.applying.Lock()
	defer f.applying.Unlock()
	return f.next, f.loaded
}

// note logs the first failure of a series and its end.
func (f *follower) note(sent int64, err error) {
	f.mu.Lock()
	lost, attempts := f.lostMs, f.attempts
	if err == nil {
		f.okMs, f.lostMs, f.attempts = sent, 0, 0
	} else {
		f.attempts++
		if f.lostMs == 0 {
			f.lostMs = sent
		}
	}
	f.mu.Unlock()
	switch {
	case err != nil:
		if lost == 0 {
			f.log.Log(logevent.StoreLost, logevent.Str("topic", f.topic), logevent.Err(err))
		}
		if f.failed != nil {
			f.failed()
		}
	case lost != 0:
		f.log.Log(logevent.StoreBack, logevent.Str("topic", f.topic), logevent.Int("away_ms", clock.BootMs()-lost), logevent.Int("attempts", attempts))
	}
}

// ageMs returns the time since the last answered read was sent.
func (f *follower) ageMs() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return clock.BootMs() - f.okMs
}
