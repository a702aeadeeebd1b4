package entry

import (
	"errors"
	"strings"
	"time"

	"github.com/verbenakeel/verbenakeel/fleet/clock"
	"github.com/verbenakeel/verbenakeel/fleet/dispatch"
	"github.com/verbenakeel/verbenakeel/fleet/work"
	"github.com/verbenakeel/verbenakeel/logevent"
)

// inFlightAppend is an append that has not been acknowledged.
type inFlightAppend struct {
	batch  *dispatch.Batch
	append work.Append
}

// appendResult is the result of an append that was sent at a boot time.
type appendResult struct {
	sentMs int64
	got    work.Appended
	err    error
}

// flush appends pending decisions, or a heartbeat if there are none. At most one append is in flight.
func (d *decider) flush() {
	now := clock.BootMs()
	if d.claimLost || d.awaitsAppend(now) {
		return
	}
	if early := minAppendInterval.Milliseconds() - (now - d.sentMs); early > 0 {
		d.scheduleFlush(time.Duration(early) * time.Millisecond)
		return
	}
	batch := d.state.Collect()
	records := batch.Schedule
	if len(records) == 0 {
		if !batch.Empty() {
			// The batch only removes finished jobs. These need no schedule record before they are forgotten.
			d.dropRecords(batch.Tombstones)
			d.applyEvent(dispatch.Committed{Batch: batch})
			return
		}
		if now-d.sentMs < heartbeatInterval.Milliseconds() {
			return
		}
		records = d.heartbeatRecords()
	}
	d.dropRecords(batch.Tombstones)
	d.beginAppend(batch, records)
}

func (d *decider) heartbeatRecords() []work.Record {
	return []work.Record{{Key: work.KeyClaim, Value: work.Encode(&work.Claim{Epoch: d.epoch, Instance: d.entry.set.Instance})}}
}

func (d *decider) beginAppend(batch *dispatch.Batch, records []work.Record) {
	d.seq++
	d.inFlight = &inFlightAppend{batch: batch, append: work.Append{Topic: work.TopicSchedule, Producer: producer, Epoch: d.epoch, Seq: d.seq, Records: records}}
	d.sendAppend()
}

// awaitsAppend reports whether an append is in flight. It sends one that has failed again once its pause is over.
func (d *decider) awaitsAppend(now int64) bool {
	if d.inFlight == nil {
		return false
	}
	if d.resendAtMs != 0 && now >= d.resendAtMs {
		d.sendAppend()
	}
	return true
}

// heartbeatIfDue appends a heartbeat if one is due. It is called between units of work that may take long together, such as the jobs that are
// loaded or the events of one batch. A decider whose loop is stuck in one unit does not call it, so that another entry claims.
func (d *decider) heartbeatIfDue() {
	if time.Since(d.heartbeatCheckedAt) < heartbeatCheckInterval {
		return
	}
	d.heartbeatCheckedAt = time.Now()
	select {
	case r := <-d.appended:
		d.appendDone(r)
	default:
	}
	now := clock.BootMs()
	if d.claimLost || d.awaitsAppend(now) || now-d.sentMs < heartbeatInterval.Milliseconds() {
		return
	}
	d.beginAppend(&dispatch.Batch{}, d.heartbeatRecords())
}

// scheduleFlush wakes the event loop after a delay, so that it flushes again.
func (d *decider) scheduleFlush(after time.Duration) {
	if d.flushScheduled {
		return
	}
	d.flushScheduled = true
	time.AfterFunc(after, func() { d.post(func() { d.flushScheduled = false }) })
}

// dropOrphanedCancellations removes cancellations whose submission never came.
func (d *decider) dropOrphanedCancellations() {
	var records []work.Record
	for _, id := range d.entry.view.orphanedCancellations(clock.BootMs()) {
		records = append(records, work.Record{Key: work.PrefixCancellation + id})
	}
	d.dropRecords(records)
}

// dropRecords appends tombstones of jobs that finished long ago, and then removes their progress. The next decider retries
// those that fail.
func (d *decider) dropRecords(records []work.Record) {
	if len(records) == 0 {
		return
	}
	go func() {
		if _, err := d.entry.store.Append(d.ctx, work.Append{Topic: work.TopicJobs, Records: records}); err != nil {
			d.entry.log.Log(logevent.StoreUnavailable, logevent.Str("topic", work.TopicJobs), logevent.Err(err))
			return
		}
		var ids []string
		for _, r := range records {
			if id, ok := strings.CutPrefix(r.Key, work.PrefixSubmission); ok {
				ids = append(ids, id)
			}
		}
		d.post(func() { d.applyEvent(dispatch.JobsDropped{IDs: ids}) })
	}()
}

// sendAppend sends the append in flight, for the first time or again. Its result does not wait behind the queued events.
func (d *decider) sendAppend() {
	d.sentMs, d.resendAtMs = clock.BootMs(), 0
	sent, a := d.sentMs, d.inFlight.append
	go func() {
		got, err := d.entry.store.Append(d.ctx, a)
		select {
		case d.appended <- appendResult{sent, got, err}:
		case <-d.ctx.Done():
		}
	}()
}

// appendDone handles the result of an append. An append without an answer is resent with the same sequence number, which
// the store applies only once.
func (d *decider) appendDone(r appendResult) {
	switch {
	case r.err == nil:
		f := d.inFlight
		d.inFlight, d.appendFailing = nil, false
		d.confirmedMs = r.sentMs
		d.entry.schedule.applyOwn(f.append.Records, r.got.End)
		d.applyEvent(dispatch.Committed{Batch: f.batch})
	case errors.Is(r.err, work.ErrFenced), errors.Is(r.err, work.ErrSequence):
		d.entry.log.Log(logevent.DeciderRoleLost, logevent.Int("epoch", d.epoch), logevent.Err(r.err))
		d.claimLost = true
	default:
		if !d.appendFailing {
			d.appendFailing = true
			d.entry.log.Log(logevent.StoreUnavailable, logevent.Str("topic", work.TopicSchedule), logevent.Int("records", len(d.inFlight.append.Records)), logevent.Err(r.err))
		}
		d.resendAtMs = clock.BootMs() + appendRetry.Milliseconds()
		time.AfterFunc(appendRetry+time.Millisecond, func() { d.post(func() {}) }) // the loop flushes after each event
	}
}
