package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/core"
	"github.com/verbenakeel/verbenakeel/core/authority"
	"github.com/verbenakeel/verbenakeel/core/decider"
	"github.com/verbenakeel/verbenakeel/record"
	"github.com/verbenakeel/verbenakeel/scheduler"
)

var pollSize = record.Resources{CPUMilli: 1000, MemoryMB: 1000}

// actingEntry is an acting decider without listeners; the test supplies its log records.
type actingEntry struct {
	*Entry
	seq uint64
}

func newActingEntry() *actingEntry {
	e := &actingEntry{Entry: &Entry{start: time.Now(), waiters: make(map[string]*waiter), changed: make(chan struct{})}}
	e.state = core.New(core.Options{
		Self: "e", Incarnation: 1, Heartbeat: time.Second, Authority: authority.DefaultConfig(),
		Decider: decider.DefaultConfig(), Scheduler: scheduler.DefaultConfig(),
	})
	e.applyRecord(record.Record{DeciderClaim: &record.DeciderClaim{Address: "e"}})
	return e
}

// applyRecord applies a record and wakes polls as runEffects does.
func (e *actingEntry) applyRecord(rec record.Record) {
	e.seq++
	rec.Writer, rec.Incarnation, rec.Seq = "e", 1, e.seq
	e.mu.Lock()
	effects := core.Step(e.state, e.now(), core.Folded{Stream: core.RegionStream, Offset: e.seq, Record: &rec})
	for _, s := range []core.Stream{core.ConfigStream, core.RegionStream} {
		core.Step(e.state, e.now(), core.CaughtUp{Stream: s, SentAt: time.Since(e.start) + time.Nanosecond})
	}
	e.mu.Unlock()
	for _, eff := range effects {
		if w, ok := eff.(core.NotifyPolls); ok {
			e.wakePolls(w.Workers, w.All)
		}
	}
}

// addWorker records a worker and answers its first poll.
func (e *actingEntry) addWorker(t *testing.T, id string) decider.Poll {
	p := decider.Poll{Worker: id, Incarnation: 1, Zone: "z", Capacity: pollSize, Epoch: 1, Sequence: 1}
	e.applyRecord(record.Record{Batch: &record.Batch{Epoch: 1, Workers: []record.WorkerChange{{ID: id, Zone: "z", Capacity: pollSize, Incarnation: 1}}}})
	_, err := e.state.Decider.Sync(e.now(), p)
	assert.NilError(t, err)
	p.Sequence++
	return p
}

// startPoll starts a long poll and returns a channel that receives its error when it is answered.
func (e *actingEntry) startPoll(t *testing.T, p decider.Poll) chan error {
	done := make(chan error, 1)
	go func() {
		_, err := e.awaitPollReady(t.Context(), p, 3*time.Second)
		done <- err
	}()
	synctest.Wait()
	return done
}

func answered(done chan error) bool { return len(done) > 0 }

// Guards against a record that answers the polls of all workers instead of those that it concerns, which cost a fifth of a
// core at 80 starts a second, and against a worker that is not notified of its start.
func TestRecordWakesItsWorkersOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newActingEntry()
		a, b := e.startPoll(t, e.addWorker(t, "a")), e.startPoll(t, e.addWorker(t, "b"))
		e.applyRecord(record.Record{Submits: []record.Job{{ID: "c/j", Customer: "c", Kind: record.BatchJob, Tasks: 1, Size: pollSize}}})
		synctest.Wait()
		assert.Assert(t, !answered(a) && !answered(b), "a submission must not answer the poll of a worker")
		e.applyRecord(record.Record{Batch: &record.Batch{Epoch: 1, Starts: []record.Start{{Task: "c/j#0", Attempt: 1, Worker: "a", Size: pollSize}}}})
		synctest.Wait()
		assert.Assert(t, answered(a), "a start must answer the poll of its worker")
		assert.Assert(t, !answered(b), "a start must not answer the poll of another worker")
		e.applyRecord(record.Record{DeciderClaim: &record.DeciderClaim{Address: "e"}})
		synctest.Wait()
		assert.Assert(t, answered(b), "a new epoch must answer all polls")
	})
}

// Guards against an answer that becomes due by time alone, such as at the expiry of a hold, and is not sent: waking all
// polls must send it.
func TestWakeAllAnswersPollsAfterHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newActingEntry()
		p := e.addWorker(t, "a")
		e.step(core.ZoneHoldRequested{Zone: "z", Duration: time.Second})
		done := e.startPoll(t, p)
		e.applyRecord(record.Record{Submits: []record.Job{{ID: "c/j", Customer: "c", Kind: record.BatchJob, Tasks: 1, Size: pollSize}}})
		e.applyRecord(record.Record{Batch: &record.Batch{Epoch: 1, Starts: []record.Start{{Task: "c/j#0", Attempt: 1, Worker: "a", Size: pollSize}}}})
		e.wakePolls(nil, true)
		synctest.Wait()
		assert.Assert(t, !answered(done), "a start in a zone on hold must not answer the poll")
		time.Sleep(time.Second)
		e.mu.Lock()
		core.Step(e.state, e.now(), core.CaughtUp{Stream: core.ConfigStream, SentAt: time.Since(e.start)})
		e.mu.Unlock()
		e.wakePolls(nil, true)
		synctest.Wait()
		assert.Assert(t, answered(done))
	})
}

// Guards against answering an earlier poll that its sender has given up: the answer would be lost together with the
// throttles in it.
func TestNewerPollSupersedesEarlier(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newActingEntry()
		p := e.addWorker(t, "a")
		first := e.startPoll(t, p)
		newer := p
		newer.Sequence++
		second := e.startPoll(t, newer)
		assert.ErrorIs(t, <-first, errSuperseded)
		assert.Assert(t, !answered(second))
		delayed := e.startPoll(t, p)
		assert.NilError(t, <-delayed, "a delayed poll is passed to the reducer and supersedes nothing")
		assert.Assert(t, !answered(second))
		assert.NilError(t, <-second)
		assert.Equal(t, len(e.waiters), 0)
	})
}
