package slopes

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/verbenakeel/verbenakeel/core"
	"github.com/verbenakeel/verbenakeel/core/authority"
	"github.com/verbenakeel/verbenakeel/core/clock"
	"github.com/verbenakeel/verbenakeel/core/decider"
	"github.com/verbenakeel/verbenakeel/core/holder"
	"github.com/verbenakeel/verbenakeel/external"
	"github.com/verbenakeel/verbenakeel/record"
	"github.com/verbenakeel/verbenakeel/scheduler"
)

// Times of the fake region.
const (
	tickEvery = 50 * time.Millisecond
	// pollTicks is the number of ticks between polls of a worker without news.
	pollTicks = 40
	usageAge  = 500
	owners    = 20
)

// host is a worker of the fake region.
type host struct {
	poll  decider.Poll
	held  map[string]*attempt
	ended []record.End
}

type attempt struct {
	n      uint32
	size   record.Resources
	endsAt time.Duration
	ranMs  int64
}

// fakeRegion drives the reducer of one entry as its runner would, with a log and workers in memory. Time is simulated, so
// that only processor time is measured.
type fakeRegion struct {
	*writer
	state  *core.State
	rng    *rand.Rand
	now    clock.Now
	offset uint64
	hosts  []*host
	jobs   int
	tick   int

	cost regionCost
}

// regionCost is what the region used since it was last reset, in microseconds of processor time.
type regionCost struct {
	ticks, tickUs, maxTickUs float64
	foldUs                   float64
	polls, pollUs            float64
	starts, ends             float64
	batches, batchBytes      float64
}

func newRegion(workers int, seed uint64) (*fakeRegion, error) {
	auth := authority.DefaultConfig()
	f := &fakeRegion{
		writer: new(writer), rng: rand.New(rand.NewPCG(seed, 2)), now: clock.Now{Mono: time.Second, WallMs: time.Now().UnixMilli()},
		state: core.New(core.Options{
			Self: "slopes", Incarnation: 1, Zone: "midshire-a", Heartbeat: time.Second, Authority: auth,
			Decider: decider.DefaultConfig(), Scheduler: scheduler.DefaultConfig(),
		}),
	}
	f.caughtUp()
	f.fold(core.RegionStream, record.Record{DeciderClaim: &record.DeciderClaim{Address: "127.0.0.1:1", Zone: "midshire-a"}})
	f.caughtUp()
	for i := range owners {
		c := contract(owner(i), fmt.Sprintf("service-%d", i))
		f.state.Decider.ConfigChanged(f.now, f.state.Config.Fold(uint64(i+1), f.stamp(record.Record{
			Config: []record.ConfigChange{{ID: fmt.Sprint(i), Contract: &c}},
		})))
	}
	for i := range workers {
		p := identity(i)
		f.hosts = append(f.hosts, &host{held: make(map[string]*attempt), poll: decider.Poll{
			Worker: p.Id, Incarnation: 1, Zone: p.Zone, Rack: p.Rack, WantStarts: true,
			Capacity: record.Resources{CPUMilli: 16_000, MemoryMB: 60_000},
		}})
	}
	// Two rounds of polls bring the workers on record; then the fleet counts as complete.
	f.run(2 * pollTicks)
	f.skip(time.Duration(scheduler.DefaultConfig().SettleMs) * time.Millisecond)
	if got := len(f.state.Region.Workers); got != workers || !f.state.Decider.Active() {
		return nil, fmt.Errorf("%d of %d workers joined the region", got, workers)
	}
	return f, nil
}

func owner(i int) string { return fmt.Sprintf("customer-%d", i%owners) }

// skip lets time pass without work, but with polls so that no lease ends.
func (f *fakeRegion) skip(d time.Duration) { f.run(int(d / tickEvery)) }

func (f *fakeRegion) step(ev core.Event) []core.Effect { return core.Step(f.state, f.now, ev) }

func (f *fakeRegion) caughtUp() {
	for _, s := range []core.Stream{core.ConfigStream, core.RegionStream, core.ClaimStream} {
		f.step(core.CaughtUp{Stream: s, SentAt: f.now.Mono})
	}
}

func (f *fakeRegion) fold(s core.Stream, rec record.Record) {
	f.offset++
	f.step(core.Folded{Stream: s, Offset: f.offset, Record: f.stamp(rec)})
}

// submit submits a job of n tasks.
func (f *fakeRegion) submit(n int, runMs int64, size record.Resources) {
	f.jobs++
	job := batchJob(owner(f.jobs), fmt.Sprintf("job-%d", f.jobs), n)
	job.Class, job.RunMs, job.Size, job.SubmittedMs = "plan", runMs, size, f.now.WallMs
	f.fold(core.RegionStream, record.Record{Submits: []record.Job{job}})
}

// fill places n running tasks on every worker by record, as an earlier decider would have.
func (f *fakeRegion) fill(n int, size record.Resources) {
	epoch := f.state.Region.Epoch
	for _, h := range f.hosts {
		f.jobs++
		job := batchJob(owner(f.jobs), fmt.Sprintf("long-%d", f.jobs), n)
		job.Class, job.RunMs, job.Size = "long", 86_400_000, size
		b := &record.Batch{Epoch: epoch}
		for t := range n {
			id := fmt.Sprintf("%s#%d", job.ID, t)
			b.Starts = append(b.Starts, record.Start{Task: id, Attempt: 1, Worker: h.poll.Worker, Size: size})
			h.held[id] = &attempt{n: 1, size: size, endsAt: 24 * time.Hour, ranMs: job.RunMs}
		}
		f.fold(core.RegionStream, record.Record{Submits: []record.Job{job}})
		f.fold(core.RegionStream, record.Record{Batch: b})
	}
	f.run(2 * pollTicks)
}

// run advances the region by ticks.
func (f *fakeRegion) run(ticks int) {
	for range ticks {
		f.tick++
		f.now.Mono += tickEvery
		f.now.WallMs += tickEvery.Milliseconds()
		f.caughtUp()
		f.decide()
		for i, h := range f.hosts {
			h.advance(f.now.Mono)
			p := h.poll
			p.Ended = h.ended
			if (f.tick+i)%pollTicks == 0 || f.state.Decider.HasUpdates(f.now, p) {
				f.pollHost(h)
			}
		}
	}
}

func (f *fakeRegion) decide() {
	var effects []core.Effect
	us := micros(func() { effects = f.step(core.Ticked{}) })
	f.cost.ticks++
	f.cost.tickUs += us
	f.cost.maxTickUs = max(f.cost.maxTickUs, us)
	for _, eff := range effects {
		a, ok := eff.(core.Append)
		if !ok {
			continue
		}
		f.cost.foldUs += micros(func() { f.appendBatch(a.Batch) })
	}
}

// appendBatch encodes a batch and folds it as read back.
func (f *fakeRegion) appendBatch(b *record.Batch) {
	data, err := record.Encode(f.stamp(record.Record{Batch: b}))
	if err != nil {
		panic(err) // a batch has no field that cannot be encoded
	}
	rec, err := record.Decode(data)
	if err != nil {
		panic(err)
	}
	f.offset++
	f.step(core.Folded{Stream: core.RegionStream, Offset: f.offset, Record: rec})
	f.step(core.BatchResolved{})
	f.cost.batches++
	f.cost.batchBytes += float64(len(data))
	f.cost.starts += float64(len(b.Starts))
	f.cost.ends += float64(len(b.Ends))
}

// advance ends attempts that ran their time.
func (h *host) advance(now time.Duration) {
	for id, a := range h.held {
		if now >= a.endsAt {
			delete(h.held, id)
			h.ended = append(h.ended, record.End{Task: id, Attempt: a.n, Outcome: record.Finished, RanMs: a.ranMs})
		}
	}
}

// report returns the worker's next poll.
func (h *host) report(withUsage bool) decider.Poll {
	p := h.poll
	p.Ended = h.ended
	for id, a := range h.held {
		p.Held = append(p.Held, holder.AttemptRef{Task: id, Attempt: a.n})
		if withUsage {
			p.Usage = append(p.Usage, external.TaskUsage{Task: id, Attempt: a.n, AgeMs: usageAge, Used: a.size, SpeedMilli: 1000})
		}
	}
	sort.Slice(p.Held, func(i, j int) bool { return p.Held[i].Task < p.Held[j].Task })
	sort.Slice(p.Usage, func(i, j int) bool { return p.Usage[i].Task < p.Usage[j].Task })
	return p
}

func (f *fakeRegion) pollHost(h *host) {
	p := h.report(true)
	var effects []core.Effect
	f.cost.pollUs += micros(func() { effects = f.step(core.AnswerRequested{Poll: p}) })
	f.cost.polls++
	for _, eff := range effects {
		if a, ok := eff.(core.Answered); ok && a.Err == nil {
			h.take(a.Answer, f.now.Mono, f.rng)
		}
	}
}

// take carries out an answer.
func (h *host) take(a decider.Answer, now time.Duration, rng *rand.Rand) {
	h.poll.Epoch = max(h.poll.Epoch, a.Epoch)
	for _, t := range a.Starts {
		ran := t.RunMs/2 + rng.Int64N(t.RunMs)
		h.held[t.Task] = &attempt{n: t.Attempt, size: t.Size, endsAt: now + time.Duration(ran)*time.Millisecond, ranMs: ran}
	}
	acknowledged := make(map[string]bool)
	for _, t := range a.Acknowledged {
		acknowledged[t.Task] = true
	}
	var left []record.End
	for _, e := range h.ended {
		if !acknowledged[e.Task] {
			left = append(left, e)
		}
	}
	h.ended = left
	for _, o := range a.Orders {
		t := h.held[o.Task]
		if t == nil || (o.Action != holder.Stop && o.Action != holder.Checkpoint) {
			continue
		}
		delete(h.held, o.Task)
		h.ended = append(h.ended, record.End{Task: o.Task, Attempt: t.n, Outcome: record.Checkpointed})
	}
}
