package decider_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/verbenakeel/verbenakeel/core"
	"github.com/verbenakeel/verbenakeel/core/authority"
	"github.com/verbenakeel/verbenakeel/core/clock"
	"github.com/verbenakeel/verbenakeel/core/decider"
	"github.com/verbenakeel/verbenakeel/core/holder"
	"github.com/verbenakeel/verbenakeel/errdefs"
	"github.com/verbenakeel/verbenakeel/external"
	"github.com/verbenakeel/verbenakeel/record"
	"github.com/verbenakeel/verbenakeel/scheduler"
	_ "github.com/verbenakeel/verbenakeel/testkit/fixedseed"
)

const workerID = "w"

var size = record.Resources{CPUMilli: 10, MemoryMB: 10}

// rig connects a decider, whose log is kept in memory, to the holder of one worker.
type rig struct {
	state   *core.State
	records []*record.Record
	epoch   uint64
	now     clock.Now
	side    *holder.State
	run     uint64
	// running and ended map tasks to their attempt on the worker.
	running map[string]uint32
	ended   map[string]uint32
	jobs    int
}

func newRig() *rig {
	r := &rig{side: holder.New(), run: 1, now: clock.Now{Mono: time.Second, WallMs: 1}, running: map[string]uint32{}, ended: map[string]uint32{}}
	r.newDecider()
	r.join()
	return r
}

func (r *rig) appendRecord(rec record.Record) {
	rec.Writer, rec.Incarnation, rec.Seq = "e", 1, uint64(len(r.records)+1)
	r.records = append(r.records, &rec)
	core.Step(r.state, r.now, core.Folded{Stream: core.RegionStream, Offset: rec.Seq, Record: &rec})
}

// newDecider replaces the entry by one whose state comes from the log alone, and makes it the decider.
func (r *rig) newDecider() {
	r.state = core.New(core.Options{
		Self: "e", Incarnation: 1, Heartbeat: time.Second, Authority: authority.DefaultConfig(),
		Decider: decider.DefaultConfig(), Scheduler: scheduler.DefaultConfig(),
	})
	for i, rec := range r.records {
		core.Step(r.state, r.now, core.Folded{Stream: core.RegionStream, Offset: uint64(i + 1), Record: rec})
	}
	r.appendRecord(record.Record{DeciderClaim: &record.DeciderClaim{Address: "e"}})
	r.epoch = uint64(len(r.records))
	r.markCaughtUp()
}

func (r *rig) markCaughtUp() {
	for _, s := range []core.Stream{core.ConfigStream, core.RegionStream} {
		core.Step(r.state, r.now, core.CaughtUp{Stream: s, SentAt: r.now.Mono})
	}
}

func (r *rig) batch(b record.Batch) {
	b.Epoch = r.epoch
	r.appendRecord(record.Record{Batch: &b})
}

func (r *rig) join() {
	r.batch(record.Batch{Workers: []record.WorkerChange{{ID: workerID, Zone: "z", Capacity: record.Resources{CPUMilli: 16_000, MemoryMB: 16_000}, Incarnation: r.run}}})
}

// place records a start on the worker and returns the task's id.
func (r *rig) place() string {
	r.jobs++
	id := fmt.Sprintf("c/j%d", r.jobs)
	r.appendRecord(record.Record{Submits: []record.Job{{ID: id, Customer: "c", Kind: record.BatchJob, Tasks: 1, Size: size}}})
	r.batch(record.Batch{Starts: []record.Start{{Task: id + "#0", Attempt: 1, Worker: workerID, Size: size}}})
	return id + "#0"
}

func (r *rig) status() external.WorkerStatus {
	s := external.WorkerStatus{NowMs: r.now.Mono.Milliseconds(), Epoch: r.epoch}
	for set, state := range map[*map[string]uint32]external.TaskState{&r.running: external.TaskRunning, &r.ended: external.TaskEnded} {
		for id, n := range *set {
			s.Tasks = append(s.Tasks, external.TaskStatus{TaskSpec: external.TaskSpec{Task: id, Attempt: n}, State: state})
		}
	}
	return s
}

func (r *rig) begin() (holder.Poll, decider.Poll) {
	hp := r.side.Begin(r.status())
	rep := r.side.Report(hp)
	p := decider.Poll{
		Worker: workerID, Incarnation: r.run, Zone: "z", Capacity: record.Resources{CPUMilli: 16_000, MemoryMB: 16_000}, Epoch: r.epoch,
		Sequence: hp.Sequence, Held: rep.Held, HeldByDigest: rep.ByDigest, HeldDigest: rep.HeldDigest, TakesRenewedAll: true,
	}
	for id, n := range r.ended {
		p.Ended = append(p.Ended, record.End{Task: id, Attempt: n, Outcome: record.Finished})
	}
	return hp, p
}

func (r *rig) sync(p decider.Poll) (decider.Answer, error) {
	r.markCaughtUp()
	for _, e := range core.Step(r.state, r.now, core.AnswerRequested{Poll: p}) {
		if a, ok := e.(core.Answered); ok {
			return a.Answer, a.Err
		}
	}
	panic("no answer")
}

// agreedHeld returns the held attempts of a poll that are also committed to the worker on the log.
func (r *rig) agreedHeld(hp holder.Poll) []holder.AttemptRef {
	var list []holder.AttemptRef
	for _, h := range holder.RunningAttempts(hp.Status) {
		if t := r.state.Region.Tasks[h.Task]; t != nil && t.Attempt == h.Attempt && t.Worker == workerID && t.State.Placed() {
			list = append(list, h)
		}
	}
	return list
}

func sorted(list []holder.AttemptRef) []string {
	out := []string{}
	for _, l := range list {
		out = append(out, fmt.Sprint(l))
	}
	slices.Sort(out)
	return out
}

func renewals(e holder.Effects) []holder.AttemptRef {
	var list []holder.AttemptRef
	for _, l := range e.Renew {
		list = append(list, holder.AttemptRef{Task: l.Task, Attempt: l.Attempt})
	}
	return list
}

// injectFault randomly changes what the worker runs or what is on the log.
func (r *rig) injectFault(t *rapid.T) {
	pick := func(set map[string]uint32) (string, bool) {
		ids := []string{}
		for id := range set {
			ids = append(ids, id)
		}
		slices.Sort(ids)
		if len(ids) == 0 {
			return "", false
		}
		return rapid.SampledFrom(ids).Draw(t, "task"), true
	}
	switch rapid.IntRange(0, 8).Draw(t, "disturbance") {
	case 0, 1: // an ordered start that the worker has carried out
		r.running[r.place()] = 1
	case 2: // an ordered start that it has not carried out yet
		r.place()
	case 3: // an attempt that ended on the worker
		if id, ok := pick(r.running); ok {
			r.ended[id] = r.running[id]
			delete(r.running, id)
		}
	case 4: // an attempt that the worker lost
		if id, ok := pick(r.running); ok {
			delete(r.running, id)
		}
	case 5: // an attempt that is not on the log
		r.running[fmt.Sprintf("c/j%d#0", r.jobs)] = 2
	case 6: // an end on the log that the worker was not notified of
		if id, ok := pick(r.running); ok {
			r.batch(record.Batch{Ends: []record.End{{Task: id, Attempt: r.running[id], Outcome: record.LeaseExpired}}})
		}
	case 7:
		r.newDecider()
	case 8: // a restart of the side process
		r.side, r.run = holder.New(), r.run+1
		r.join()
	}
}

// Guards against a digest that renews the lease of an attempt on which worker and decider disagree, or that fails to renew
// one on which they agree. Requests and replies are lost, repeated and delayed, and deciders and side processes replaced.
func TestDigestRenewsWhatBothAgreeOn(t *testing.T) {
	digests := 0
	rapid.Check(t, func(t *rapid.T) {
		r := newRig()
		var late []decider.Poll
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			r.now.Mono += time.Second
			if rapid.Bool().Draw(t, "disturbed") {
				r.injectFault(t)
			}
			hp, p := r.begin()
			fate := rapid.SampledFrom([]string{"taken", "taken", "taken", "request lost", "reply lost", "request late", "repeated"}).Draw(t, "fate")
			switch fate {
			case "request lost":
				continue
			case "request late":
				late = append(late, p)
				continue
			}
			a, err := r.sync(p)
			if err != nil {
				t.Fatalf("poll %+v: %v", p, err)
			}
			if p.HeldByDigest && a.HeldKnown {
				digests++
			}
			if fate == "repeated" {
				if a, err = r.sync(p); err != nil {
					t.Fatalf("repeated poll: %v", err)
				}
			}
			for _, old := range late {
				if _, err := r.sync(old); old.Incarnation == p.Incarnation && errdefs.KindOf(err) != errdefs.Refused {
					t.Fatalf("a stale poll was accepted: %v", err)
				}
			}
			if fate == "reply lost" {
				continue
			}
			want := r.agreedHeld(hp)
			if !a.HeldKnown {
				want = nil
				if len(a.Starts)+len(a.Orders) > 0 {
					t.Fatalf("the reply has orders although the held attempts are unknown: %+v", a)
				}
			}
			if got := renewals(r.side.Receive(hp, a.Reply)); !slices.Equal(sorted(got), sorted(want)) {
				t.Fatalf("renewed %v, but worker and decider agree on %v", got, want)
			}
		}
	})
	assert.Assert(t, digests > 100, "only %d polls were accepted by digest", digests)
}

// Guards against a decider that accepts a digest by matching it with its state from the log alone: a new decider must
// request the full list first.
func TestNewDeciderRequestsFullList(t *testing.T) {
	r := newRig()
	r.running[r.place()] = 1
	poll := func() (bool, decider.Answer) {
		hp, p := r.begin()
		a, err := r.sync(p)
		assert.NilError(t, err)
		r.side.Receive(hp, a.Reply)
		return p.HeldByDigest, a
	}
	for _, step := range []struct {
		name                  string
		before                func()
		byDigest, known, ends bool
	}{
		{"the first poll has the full list", func() {}, false, true, false},
		{"later polls have a digest", func() {}, true, true, false},
		{"a new decider rejects the digest", r.newDecider, true, false, false},
		{"and then gets the full list", func() {}, false, true, false},
		{"then digests again", func() {}, true, true, false},
		{"a new side process sends the list", func() { r.side, r.run = holder.New(), r.run+1; r.join() }, false, true, false},
		{"the digest after an attempt vanished is rejected", func() { clear(r.running) }, true, false, false},
		{"the full list shows that it vanished", func() {}, false, true, true},
	} {
		step.before()
		r.now.Mono += time.Second
		byDigest, a := poll()
		assert.Equal(t, byDigest, step.byDigest, step.name)
		assert.Equal(t, a.HeldKnown, step.known, step.name)
		assert.Equal(t, a.RenewedAll, step.known, step.name)
		var ends int
		for _, e := range core.Step(r.state, r.now, core.Ticked{}) {
			if b, ok := e.(core.Append); ok {
				ends += len(b.Batch.Ends)
				core.Step(r.state, r.now, core.BatchResolved{Dropped: true})
			}
		}
		assert.Equal(t, ends > 0, step.ends, step.name)
	}
}

// Guards against a poll that is withheld although the decider has to request the full list, and against a poll that is
// answered at once, with a start that the worker carried out already, because only its digest shows that start.
func TestUnknownDigestIsAnsweredAtOnce(t *testing.T) {
	r := newRig()
	held := func(p decider.Poll) bool {
		r.markCaughtUp()
		return len(core.Step(r.state, r.now, core.PollArrived{Poll: p})) > 0
	}
	hp, p := r.begin()
	a, err := r.sync(p)
	assert.NilError(t, err)
	r.side.Receive(hp, a.Reply)
	r.running[r.place()] = 1
	_, p = r.begin()
	assert.Equal(t, p.HeldByDigest, true)
	assert.Equal(t, held(p), true, "the worker already holds the start")
	p.HeldDigest++
	assert.Equal(t, held(p), false, "the digest does not match")
}
