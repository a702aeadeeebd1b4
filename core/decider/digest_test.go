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

// rig joins a decider over a log with the holder of one worker.
type rig struct {
	state   *core.State
	records []*record.Record
	epoch   uint64
	now     clock.Now
	side    *holder.State
	run     uint64
	// running and ended hold attempts at the worker.
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

func (r *rig) fold(rec record.Record) {
	rec.Writer, rec.Incarnation, rec.Seq = "e", 1, uint64(len(r.records)+1)
	r.records = append(r.records, &rec)
	core.Step(r.state, r.now, core.Folded{Stream: core.RegionStream, Offset: rec.Seq, Record: &rec})
}

// newDecider replaces the entry by one that knows only what is on the log, and makes it the decider.
func (r *rig) newDecider() {
	r.state = core.New(core.Options{
		Self: "e", Incarnation: 1, Heartbeat: time.Second, Authority: authority.DefaultConfig(),
		Decider: decider.DefaultConfig(), Scheduler: scheduler.DefaultConfig(),
	})
	for i, rec := range r.records {
		core.Step(r.state, r.now, core.Folded{Stream: core.RegionStream, Offset: uint64(i + 1), Record: rec})
	}
	r.fold(record.Record{DeciderClaim: &record.DeciderClaim{Address: "e"}})
	r.epoch = uint64(len(r.records))
	r.fresh()
}

func (r *rig) fresh() {
	for _, s := range []core.Stream{core.ConfigStream, core.RegionStream} {
		core.Step(r.state, r.now, core.CaughtUp{Stream: s, SentAt: r.now.Mono})
	}
}

func (r *rig) batch(b record.Batch) {
	b.Epoch = r.epoch
	r.fold(record.Record{Batch: &b})
}

func (r *rig) join() {
	r.batch(record.Batch{Workers: []record.WorkerChange{{ID: workerID, Zone: "z", Capacity: record.Resources{CPUMilli: 16_000, MemoryMB: 16_000}, Incarnation: r.run}}})
}

// place puts an attempt on record for the worker and returns its task.
func (r *rig) place() string {
	r.jobs++
	id := fmt.Sprintf("c/j%d", r.jobs)
	r.fold(record.Record{Submits: []record.Job{{ID: id, Customer: "c", Kind: record.BatchJob, Tasks: 1, Size: size}}})
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
	r.fresh()
	for _, e := range core.Step(r.state, r.now, core.Polled{Poll: p}) {
		if a, ok := e.(core.Answered); ok {
			return a.Answer, a.Err
		}
	}
	panic("no answer")
}

// agreed returns the attempts of a poll that are committed to the worker.
func (r *rig) agreed(hp holder.Poll) []holder.Renewal {
	var list []holder.Renewal
	for _, h := range holder.HeldOf(hp.Status) {
		if t := r.state.Region.Tasks[h.Task]; t != nil && t.Attempt == h.Attempt && t.Worker == workerID && t.State.Placed() {
			list = append(list, h)
		}
	}
	return list
}

func sorted(list []holder.Renewal) []string {
	out := []string{}
	for _, l := range list {
		out = append(out, fmt.Sprint(l))
	}
	slices.Sort(out)
	return out
}

func renewals(e holder.Effects) []holder.Renewal {
	var list []holder.Renewal
	for _, l := range e.Renew {
		list = append(list, holder.Renewal{Task: l.Task, Attempt: l.Attempt})
	}
	return list
}

// disturb changes what the worker runs or what is on record.
func (r *rig) disturb(t *rapid.T) {
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
	case 0, 1: // a start that the worker carried out
		r.running[r.place()] = 1
	case 2: // a start that it did not carry out yet
		r.place()
	case 3: // an end
		if id, ok := pick(r.running); ok {
			r.ended[id] = r.running[id]
			delete(r.running, id)
		}
	case 4: // an attempt that the worker lost
		if id, ok := pick(r.running); ok {
			delete(r.running, id)
		}
	case 5: // an attempt that is not on record
		r.running[fmt.Sprintf("c/j%d#0", r.jobs)] = 2
	case 6: // an end on record that the worker does not know of
		if id, ok := pick(r.running); ok {
			r.batch(record.Batch{Ends: []record.End{{Task: id, Attempt: r.running[id], Outcome: record.Lapsed}}})
		}
	case 7:
		r.newDecider()
	case 8: // a new side process
		r.side, r.run = holder.New(), r.run+1
		r.join()
	}
}

// Guards against a lease renewed by digest for an attempt on which worker and decider do not agree, or not renewed for one
// on which they do: with requests and replies lost, repeated and late, new deciders and new side processes.
func TestDigestRenewsWhatBothAgreeOn(t *testing.T) {
	digests := 0
	rapid.Check(t, func(t *rapid.T) {
		r := newRig()
		var late []decider.Poll
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			r.now.Mono += time.Second
			if rapid.Bool().Draw(t, "disturbed") {
				r.disturb(t)
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
					t.Fatalf("a late poll was taken: %v", err)
				}
			}
			if fate == "reply lost" {
				continue
			}
			want := r.agreed(hp)
			if !a.HeldKnown {
				want = nil
				if len(a.Starts)+len(a.Orders) > 0 {
					t.Fatalf("orders without knowing what the worker runs: %+v", a)
				}
			}
			if got := renewals(r.side.Receive(hp, a.Reply)); !slices.Equal(sorted(got), sorted(want)) {
				t.Fatalf("renewed %v, both agree on %v", got, want)
			}
		}
	})
	assert.Assert(t, digests > 100, "only %d polls were taken by digest", digests)
}

// Guards against a decider that takes a digest by what it has from the log alone: a new one asks for the list first.
func TestNewDeciderAsksForTheList(t *testing.T) {
	r := newRig()
	r.running[r.place()] = 1
	take := func() (bool, decider.Answer) {
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
		{"the first poll has the list", func() {}, false, true, false},
		{"later ones a digest", func() {}, true, true, false},
		{"a new decider does not know it", r.newDecider, true, false, false},
		{"and gets the list", func() {}, false, true, false},
		{"then digests again", func() {}, true, true, false},
		{"a new side process sends the list", func() { r.side, r.run = holder.New(), r.run+1; r.join() }, false, true, false},
		{"an attempt that vanished", func() { clear(r.running) }, true, false, false},
		{"shows by the list", func() {}, false, true, true},
	} {
		step.before()
		r.now.Mono += time.Second
		byDigest, a := take()
		assert.Equal(t, byDigest, step.byDigest, step.name)
		assert.Equal(t, a.HeldKnown, step.known, step.name)
		assert.Equal(t, a.RenewedAll, step.known, step.name)
		var ends int
		for _, e := range core.Step(r.state, r.now, core.Ticked{}) {
			if b, ok := e.(core.Append); ok {
				ends += len(b.Batch.Ends)
				core.Step(r.state, r.now, core.BatchSettled{Dropped: true})
			}
		}
		assert.Equal(t, ends > 0, step.ends, step.name)
	}
}

// Guards against a poll that is withheld although the decider has to ask for the list, and against a start that is
// answered a second time because the poll shows it by digest only.
func TestUnknownDigestIsAnsweredAtOnce(t *testing.T) {
	r := newRig()
	held := func(p decider.Poll) bool {
		r.fresh()
		return len(core.Step(r.state, r.now, core.PollArrived{Poll: p})) > 0
	}
	hp, p := r.begin()
	a, err := r.sync(p)
	assert.NilError(t, err)
	r.side.Receive(hp, a.Reply)
	r.running[r.place()] = 1
	_, p = r.begin()
	assert.Equal(t, p.HeldByDigest, true)
	assert.Equal(t, held(p), true, "the start is held by the worker")
	p.HeldDigest++
	assert.Equal(t, held(p), false, "the digest is of another list")
}
