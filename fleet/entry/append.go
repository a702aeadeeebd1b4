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

// flush appends pending decisions, or a heartbeat if there are none. At most one append is in flight.
func (d *decider) flush() {
	now := clock.BootMs()
	if d.inFlight != nil || d.claimLost {
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
		records = []work.Record{{Key: work.KeyClaim, Value: work.Encode(&work.Claim{Epoch: d.epoch, Instance: d.entry.set.Instance})}}
	}
	d.dropRecords(batch.Tombstones)
	d.seq++
	d.inFlight = &inFlightAppend{batch: batch, append: work.Append{Topic: work.TopicSchedule, Producer: producer, Epoch: d.epoch, Seq: d.seq, Records: records}}
	d.sendAppend()
}

// scheduleFlush wakes the event loop after a delay, so that it flushes again.
func (d *decider) scheduleFlush(after time.Duration) {
	if d.flushScheduled {
		return
	}
	d.flushScheduled = true
	time.AfterFunc(after, func() { d.post(func() { d.flushScheduled = false }) })
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

// sendAppend sends the append in flight, for the first time or again.
func (d *decider) sendAppend() {
	d.sentMs = clock.BootMs()
	sent, a := d.sentMs, d.inFlight.append
	go func() {
		got, err := d.entry.store.Append(d.ctx, a)
		d.post(func() { d.appendDone(sent, got, err) })
	}()
}

// appendDone handles the result of an append. An append without an answer is resent with the same sequence number, which
// the store applies only once.
func (d *decider) appendDone(sent int64, got work.Appended, err error) {
	switch {
	case err == nil:
		f := d.inFlight
		d.inFlight = nil
		d.confirmedMs = sent
		d.entry.schedule.applyOwn(f.append.Records, got.End)
		d.applyEvent(dispatch.Committed{Batch: f.batch})
	case errors.Is(err, work.ErrFenced), errors.Is(err, work.ErrSequence):
		d.entry.log.Log(logevent.DeciderRoleLost, logevent.Int("epoch", d.epoch), logevent.Err(err))
		d.claimLost = true
	default:
		go func() {
			clock.Sleep(d.ctx, appendRetry)
			d.post(func() {
				if d.inFlight != nil && !d.claimLost {
					d.sendAppend()
				}
			})
		}()
	}
}
