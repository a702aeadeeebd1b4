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

// Parameters of the fake region.
const (
	tickEvery = 50 * time.Millisecond
	// pollTicks is the poll interval in ticks of a worker that has nothing to report.
	pollTicks = 40
	// usageAgeMs is the reported age of usage samples.
	usageAgeMs = 500
	customers  = 20
)

// fakeWorker simulates one worker.
type fakeWorker struct {
	poll  decider.Poll
	held  map[string]*attempt
	ended []record.End
}

type attempt struct {
	number uint32
	size   record.Resources
	endsAt time.Duration
	ranMs  int64
}

// fakeRegion drives the state machine of one entry as its runner does, with an in-memory log and simulated workers. The
// clock is simulated as well, so that only CPU time is measured.
type fakeRegion struct {
	*recordWriter
	state   *core.State
	rng     *rand.Rand
	now     clock.Now
	offset  uint64
	workers []*fakeWorker
	jobs    int
	tick    int

	cost regionCost
}

// regionCost counts events since the last reset and the CPU time that they took in microseconds.
type regionCost struct {
	ticks, tickUs, maxTickUs float64
	applyUs                  float64
	polls, pollUs            float64
	starts, ends             float64
	batches, batchBytes      float64
}

func newRegion(workers int, seed uint64) (*fakeRegion, error) {
	auth := authority.DefaultConfig()
	f := &fakeRegion{
		recordWriter: new(recordWriter), rng: rand.New(rand.NewPCG(seed, 2)), now: clock.Now{Mono: time.Second, WallMs: time.Now().UnixMilli()},
		state: core.New(core.Options{
			Self: "slopes", Incarnation: 1, Zone: "midshire-a", Heartbeat: time.Second, Authority: auth,
			Decider: decider.DefaultConfig(), Scheduler: scheduler.DefaultConfig(),
		}),
	}
	f.caughtUp()
	f.applyRecord(core.RegionStream, record.Record{DeciderClaim: &record.DeciderClaim{Address: "127.0.0.1:1", Zone: "midshire-a"}})
	f.caughtUp()
	for i := range customers {
		c := contract(customerName(i), fmt.Sprintf("service-%d", i))
		f.state.Decider.ConfigChanged(f.now, f.state.Config.Fold(uint64(i+1), f.stamp(record.Record{
			Config: []record.ConfigChange{{ID: fmt.Sprint(i), Contract: &c}},
		})))
	}
	for i := range workers {
		p := processIdentity(i)
		f.workers = append(f.workers, &fakeWorker{held: make(map[string]*attempt), poll: decider.Poll{
			Worker: p.Id, Incarnation: 1, Zone: p.Zone, Rack: p.Rack, WantStarts: true,
			Capacity: record.Resources{CPUMilli: 16_000, MemoryMB: 60_000},
		}})
	}
	// Two poll intervals register all workers; after the settling time the scheduler considers the fleet complete.
	f.runTicks(2 * pollTicks)
	f.runFor(time.Duration(scheduler.DefaultConfig().SettleMs) * time.Millisecond)
	if got := len(f.state.Region.Workers); got != workers || !f.state.Decider.Active() {
		return nil, fmt.Errorf("%d of %d workers joined the region", got, workers)
	}
	return f, nil
}

func customerName(i int) string { return fmt.Sprintf("customer-%d", i%customers) }

// runFor advances the simulated clock by d. Workers keep polling, so that no lease expires.
func (f *fakeRegion) runFor(d time.Duration) { f.runTicks(int(d / tickEvery)) }

func (f *fakeRegion) step(ev core.Event) []core.Effect { return core.Step(f.state, f.now, ev) }

func (f *fakeRegion) caughtUp() {
	for _, s := range []core.Stream{core.ConfigStream, core.RegionStream, core.ClaimStream} {
		f.step(core.CaughtUp{Stream: s, SentAt: f.now.Mono})
	}
}

func (f *fakeRegion) applyRecord(s core.Stream, rec record.Record) {
	f.offset++
	f.step(core.Folded{Stream: s, Offset: f.offset, Record: f.stamp(rec)})
}

// submit adds a batch job of n tasks.
func (f *fakeRegion) submit(n int, runMs int64, size record.Resources) {
	f.jobs++
	job := batchJob(customerName(f.jobs), fmt.Sprintf("job-%d", f.jobs), n)
	job.Class, job.RunMs, job.Size, job.SubmittedMs = "plan", runMs, size, f.now.WallMs
	f.applyRecord(core.RegionStream, record.Record{Submits: []record.Job{job}})
}

// placeTasks starts n long-running tasks on every worker through log records, as written by an earlier decider.
func (f *fakeRegion) placeTasks(n int, size record.Resources) {
	epoch := f.state.Region.Epoch
	for _, h := range f.workers {
		f.jobs++
		job := batchJob(customerName(f.jobs), fmt.Sprintf("long-%d", f.jobs), n)
		job.Class, job.RunMs, job.Size = "long", 86_400_000, size
		b := &record.Batch{Epoch: epoch}
		for t := range n {
			id := fmt.Sprintf("%s#%d", job.ID, t)
			b.Starts = append(b.Starts, record.Start{Task: id, Attempt: 1, Worker: h.poll.Worker, Size: size})
			h.held[id] = &attempt{number: 1, size: size, endsAt: 24 * time.Hour, ranMs: job.RunMs}
		}
		f.applyRecord(core.RegionStream, record.Record{Submits: []record.Job{job}})
		f.applyRecord(core.RegionStream, record.Record{Batch: b})
	}
	f.runTicks(2 * pollTicks)
}

// runTicks runs the given number of ticks: a decision of the entry, then the polls that are due.
func (f *fakeRegion) runTicks(ticks int) {
	for range ticks {
		f.tick++
		f.now.Mono += tickEvery
		f.now.WallMs += tickEvery.Milliseconds()
		f.caughtUp()
		f.stepTick()
		for i, h := range f.workers {
			h.finishAttempts(f.now.Mono)
			p := h.poll
			p.Ended = h.ended
			if (f.tick+i)%pollTicks == 0 || f.state.Decider.HasUpdates(f.now, p) {
				f.pollWorker(h)
			}
		}
	}
}

func (f *fakeRegion) stepTick() {
	var effects []core.Effect
	us := cpuMicros(func() { effects = f.step(core.Ticked{}) })
	f.cost.ticks++
	f.cost.tickUs += us
	f.cost.maxTickUs = max(f.cost.maxTickUs, us)
	for _, eff := range effects {
		a, ok := eff.(core.Append)
		if !ok {
			continue
		}
		f.cost.applyUs += cpuMicros(func() { f.appendBatch(a.Batch) })
	}
}

// appendBatch encodes a batch, then decodes and applies it as if it were read back from the log.
func (f *fakeRegion) appendBatch(b *record.Batch) {
	data, err := record.Encode(f.stamp(record.Record{Batch: b}))
	if err != nil {
		panic(err) // every field of a batch is encodable
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

// finishAttempts finishes the attempts whose run time is over.
func (h *fakeWorker) finishAttempts(now time.Duration) {
	for id, a := range h.held {
		if now >= a.endsAt {
			delete(h.held, id)
			h.ended = append(h.ended, record.End{Task: id, Attempt: a.number, Outcome: record.Finished, RanMs: a.ranMs})
		}
	}
}

// nextPoll returns the worker's next poll with its held tasks, ended runs and, if withUsage, usage samples.
func (h *fakeWorker) nextPoll(withUsage bool) decider.Poll {
	p := h.poll
	p.Ended = h.ended
	for id, a := range h.held {
		p.Held = append(p.Held, holder.AttemptRef{Task: id, Attempt: a.number})
		if withUsage {
			p.Usage = append(p.Usage, external.TaskUsage{Task: id, Attempt: a.number, AgeMs: usageAgeMs, Used: a.size, SpeedMilli: 1000})
		}
	}
	sort.Slice(p.Held, func(i, j int) bool { return p.Held[i].Task < p.Held[j].Task })
	sort.Slice(p.Usage, func(i, j int) bool { return p.Usage[i].Task < p.Usage[j].Task })
	return p
}

func (f *fakeRegion) pollWorker(h *fakeWorker) {
	p := h.nextPoll(true)
	var effects []core.Effect
	f.cost.pollUs += cpuMicros(func() { effects = f.step(core.AnswerRequested{Poll: p}) })
	f.cost.polls++
	for _, eff := range effects {
		if a, ok := eff.(core.Answered); ok && a.Err == nil {
			h.applyAnswer(a.Answer, f.now.Mono, f.rng)
		}
	}
}

// applyAnswer executes the starts, acknowledgements and orders of an answer.
func (h *fakeWorker) applyAnswer(a decider.Answer, now time.Duration, rng *rand.Rand) {
	h.poll.Epoch = max(h.poll.Epoch, a.Epoch)
	for _, t := range a.Starts {
		ran := t.RunMs/2 + rng.Int64N(t.RunMs)
		h.held[t.Task] = &attempt{number: t.Attempt, size: t.Size, endsAt: now + time.Duration(ran)*time.Millisecond, ranMs: ran}
	}
	acknowledged := make(map[string]bool)
	for _, t := range a.Acknowledged {
		acknowledged[t.Task] = true
	}
	var remaining []record.End
	for _, e := range h.ended {
		if !acknowledged[e.Task] {
			remaining = append(remaining, e)
		}
	}
	h.ended = remaining
	for _, o := range a.Orders {
		t := h.held[o.Task]
		if t == nil || (o.Action != holder.Stop && o.Action != holder.Checkpoint) {
			continue
		}
		delete(h.held, o.Task)
		h.ended = append(h.ended, record.End{Task: o.Task, Attempt: t.number, Outcome: record.Checkpointed})
	}
}
