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

// actingEntry is a decider without listeners whose log the test writes.
type actingEntry struct {
	*Entry
	seq uint64
}

func newActing() *actingEntry {
	e := &actingEntry{Entry: &Entry{start: time.Now(), waiters: make(map[string]*waiter), changed: make(chan struct{})}}
	e.state = core.New(core.Options{
		Self: "e", Incarnation: 1, Heartbeat: time.Second, Authority: authority.DefaultConfig(),
		Decider: decider.DefaultConfig(), Scheduler: scheduler.DefaultConfig(),
	})
	e.applyRecord(record.Record{DeciderClaim: &record.DeciderClaim{Address: "e"}})
	return e
}

// applyRecord folds a record and wakes polls as carryOut does.
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
		if w, ok := eff.(core.Wake); ok {
			e.wakePolls(w.Workers, w.All)
		}
	}
}

// addWorker brings a worker on record and answers its first poll.
func (e *actingEntry) addWorker(t *testing.T, id string) decider.Poll {
	p := decider.Poll{Worker: id, Incarnation: 1, Zone: "z", Capacity: pollSize, Epoch: 1, Sequence: 1}
	e.applyRecord(record.Record{Batch: &record.Batch{Epoch: 1, Workers: []record.WorkerChange{{ID: id, Zone: "z", Capacity: pollSize, Incarnation: 1}}}})
	_, err := e.state.Decider.Sync(e.now(), p)
	assert.NilError(t, err)
	p.Sequence++
	return p
}

// startPoll withholds a poll and returns a channel with the time it took.
func (e *actingEntry) startPoll(t *testing.T, p decider.Poll) chan error {
	done := make(chan error, 1)
	go func() {
		_, err := e.waitForNews(t.Context(), p, 3*time.Second)
		done <- err
	}()
	synctest.Wait()
	return done
}

func answered(done chan error) bool { return len(done) > 0 }

// Guards against a record that answers the polls of all workers instead of those that it is about, which cost a fifth of a
// core at 80 starts a second, and against a worker that is not told of its start.
func TestRecordWakesItsWorkersOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newActing()
		a, b := e.startPoll(t, e.addWorker(t, "a")), e.startPoll(t, e.addWorker(t, "b"))
		e.applyRecord(record.Record{Submits: []record.Job{{ID: "c/j", Customer: "c", Kind: record.BatchJob, Tasks: 1, Size: pollSize}}})
		synctest.Wait()
		assert.Assert(t, !answered(a) && !answered(b), "a submission is no news for a worker")
		e.applyRecord(record.Record{Batch: &record.Batch{Epoch: 1, Starts: []record.Start{{Task: "c/j#0", Attempt: 1, Worker: "a", Size: pollSize}}}})
		synctest.Wait()
		assert.Assert(t, answered(a), "a start answers the poll of its worker")
		assert.Assert(t, !answered(b), "and no other")
		e.applyRecord(record.Record{DeciderClaim: &record.DeciderClaim{Address: "e"}})
		synctest.Wait()
		assert.Assert(t, answered(b), "a new epoch answers all")
	})
}

// Guards against news that come with time only, such as the end of a hold: the look at all polls answers them.
func TestWakeAllAnswersPollsAfterHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newActing()
		p := e.addWorker(t, "a")
		e.step(core.ZoneHeld{Zone: "z", Duration: time.Second})
		done := e.startPoll(t, p)
		e.applyRecord(record.Record{Submits: []record.Job{{ID: "c/j", Customer: "c", Kind: record.BatchJob, Tasks: 1, Size: pollSize}}})
		e.applyRecord(record.Record{Batch: &record.Batch{Epoch: 1, Starts: []record.Start{{Task: "c/j#0", Attempt: 1, Worker: "a", Size: pollSize}}}})
		e.wakePolls(nil, true)
		synctest.Wait()
		assert.Assert(t, !answered(done), "starts in the zone are held")
		time.Sleep(time.Second)
		e.mu.Lock()
		core.Step(e.state, e.now(), core.CaughtUp{Stream: core.ConfigStream, SentAt: time.Since(e.start)})
		e.mu.Unlock()
		e.wakePolls(nil, true)
		synctest.Wait()
		assert.Assert(t, answered(done))
	})
}

// Guards against an earlier poll that is answered after its sender gave it up: its answer would reach nobody and take
// throttles with it.
func TestNewerPollSupersedesEarlier(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newActing()
		p := e.addWorker(t, "a")
		first := e.startPoll(t, p)
		newer := p
		newer.Sequence++
		second := e.startPoll(t, newer)
		assert.ErrorIs(t, <-first, errSuperseded)
		assert.Assert(t, !answered(second))
		late := e.startPoll(t, p)
		assert.NilError(t, <-late, "a late poll is left to the reducer and displaces nothing")
		assert.Assert(t, !answered(second))
		assert.NilError(t, <-second)
		assert.Equal(t, len(e.waiters), 0)
	})
}
