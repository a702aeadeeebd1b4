package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/verbenakeel/verbenakeel/record"
	"github.com/verbenakeel/verbenakeel/scheduler"
)

// Policy is a scheduling policy.
type Policy interface {
	Apply(nowMs int64, ev scheduler.Event)
	Decide(nowMs int64) []scheduler.Decision
}

// tickMs is the step of the fake.
const tickMs = 100

// settledMs is the time at which a scenario starts; the workers joined at 1.
const settledMs = 60_000

type host struct {
	id       string
	index    int
	zone     string
	rack     string
	capacity record.Resources
	used     record.Resources
	gone     bool
	tasks    []*run
}

// run is a task in the fake.
type run struct {
	id         string
	job        record.Job
	class      *class
	submitted  int64
	attempt    uint32
	host       *host
	size       record.Resources
	started    int64
	everRan    bool
	factor     float64
	progress   float64
	checkpoint float64
	share      float64
	stopAt     int64
	failures   int
	state      string
	latencyUs  float64
	speed      float64
}

// fleet is the fake fleet with the events under way to the policy.
type fleet struct {
	tr      *trace
	policy  Policy
	rng     *rand.Rand
	now     int64
	hosts   []*host
	byID    map[string]*host
	tasks   map[string]*run
	jobs    map[string][]*run
	pending []delayed
	out     map[string]bool
	load    float64
	loadNow float64
	replica [2]int
	m       *measured
}

type delayed struct {
	atMs int64
	ev   scheduler.Event
}

func newFleet(tr *trace, p Policy, seed uint64) *fleet {
	f := &fleet{tr: tr, policy: p, rng: rand.New(rand.NewPCG(seed, 1)), byID: map[string]*host{}, tasks: map[string]*run{},
		jobs: map[string][]*run{}, out: map[string]bool{}, load: 0.5, m: newMeasured()}
	for i := range workers {
		h := &host{id: fmt.Sprintf("w%02d", i), index: i, zone: string(rune('a' + i%3)), rack: fmt.Sprintf("r%d", i/9*3+i%3),
			capacity: res(16_000, 60_000, 0)}
		if i%6 == 0 {
			h.capacity.Accelerators = 4
		}
		f.hosts = append(f.hosts, h)
		f.byID[h.id] = h
		p.Apply(1, f.up(h))
	}
	for _, c := range tr.contracts {
		p.Apply(1, scheduler.ContractChanged{Contract: c})
	}
	return f
}

func (f *fleet) up(h *host) scheduler.WorkerUp {
	return scheduler.WorkerUp{ID: h.id, Zone: h.zone, Rack: h.rack, Capacity: h.capacity}
}

// simulate runs the trace to its end.
func (f *fleet) simulate() {
	next := 0
	for f.now = 0; f.now < horizonMs; f.now += tickMs {
		for next < len(f.tr.steps) && f.tr.steps[next].atMs <= f.now {
			f.happen(f.tr.steps[next])
			next++
		}
		f.deliver()
		f.advance()
		if f.now%2000 == 0 {
			f.report()
		}
		f.carryOut(f.policy.Decide(f.now + settledMs))
	}
	f.m.finish(f)
}

func (f *fleet) apply(ev scheduler.Event) { f.policy.Apply(f.now+settledMs, ev) }

func (f *fleet) happen(st happening) {
	switch {
	case st.job != nil:
		j := *st.job
		j.SubmittedMs += settledMs
		if j.DeadlineMs > 0 {
			j.DeadlineMs += settledMs
		}
		for i := range j.Tasks {
			id := fmt.Sprintf("%s#%d", j.ID, i)
			// The factor is drawn per task so that it does not depend on the order of decisions.
			tr := rand.New(rand.NewPCG(xxhash.Sum64String(id), 2))
			r := &run{id: id, job: j, class: st.class, submitted: f.now, factor: math.Exp(0.25 * tr.NormFloat64()), share: 1}
			f.tasks[id] = r
			f.jobs[j.ID] = append(f.jobs[j.ID], r)
			f.queue(r)
		}
	case st.cancel != "":
		for _, r := range f.jobs[st.cancel] {
			if r.host != nil {
				r.stopAt = f.now
			}
			if r.state == "queued" || r.state == "running" {
				r.state = "cancelled"
			}
		}
		f.apply(scheduler.JobCancelled{Job: st.cancel})
		f.jobOver(st.cancel)
	case st.zoneDo == "out" || st.zoneDo == "back":
		f.out[st.zone] = st.zoneDo == "out"
		f.apply(scheduler.ZoneChanged{Zone: st.zone, Out: f.out[st.zone]})
		for _, h := range f.hosts {
			if h.zone == st.zone && h.gone {
				h.gone = false
				f.apply(f.up(h))
			}
		}
	case st.zoneDo == "gone":
		for _, h := range f.hosts {
			if h.zone == st.zone {
				f.lose(h)
			}
		}
	}
}

// lose takes a worker away with what runs on it; the leases end 10 s later.
func (f *fleet) lose(h *host) {
	h.gone = true
	f.apply(scheduler.WorkerDown{ID: h.id})
	for _, r := range append([]*run(nil), h.tasks...) {
		f.m.evicted(r)
		f.m.lost += r.progress - r.checkpoint
		r.progress = r.checkpoint
		f.leave(r)
		f.later(10_000, scheduler.TaskEnded{End: record.End{Task: r.id, Attempt: r.attempt, Outcome: record.Lapsed, CheckpointMs: int64(r.checkpoint)}})
		f.later(10_000, f.queued(r))
		r.state = "queued"
	}
	f.later(10_100, scheduler.WorkerGone{ID: h.id})
}

func (f *fleet) queue(r *run) {
	r.state = "queued"
	f.apply(f.queued(r))
}

func (f *fleet) queued(r *run) scheduler.TaskQueued {
	return scheduler.TaskQueued{Job: r.job, Task: r.id, NextAttempt: r.attempt + 1, CheckpointMs: int64(r.checkpoint)}
}

func (f *fleet) later(inMs int64, ev scheduler.Event) {
	f.pending = append(f.pending, delayed{f.now + inMs, ev})
}

func (f *fleet) deliver() {
	sort.SliceStable(f.pending, func(i, j int) bool { return f.pending[i].atMs < f.pending[j].atMs })
	n := 0
	for n < len(f.pending) && f.pending[n].atMs <= f.now {
		// A job that was cancelled meanwhile is not queued again.
		if q, ok := f.pending[n].ev.(scheduler.TaskQueued); !ok || f.tasks[q.Task].state == "queued" {
			f.apply(f.pending[n].ev)
		}
		n++
	}
	f.pending = append(f.pending[:0], f.pending[n:]...)
}

// leave takes a task off its host.
func (f *fleet) leave(r *run) {
	h := r.host
	h.used = h.used.Sub(r.size)
	for i, o := range h.tasks {
		if o == r {
			h.tasks = append(h.tasks[:i], h.tasks[i+1:]...)
			break
		}
	}
	r.host, r.share, r.stopAt = nil, 1, 0
}

func (f *fleet) end(r *run, outcome record.Outcome) {
	e := record.End{Task: r.id, Attempt: r.attempt, Outcome: outcome, CheckpointMs: int64(r.checkpoint), RanMs: f.now - r.started}
	f.leave(r)
	f.apply(scheduler.TaskEnded{End: e})
	switch {
	case r.state == "cancelled":
	case outcome == record.Finished:
		r.state = "finished"
		f.m.finished(f, r)
	case outcome == record.Failed:
		// A task is tried five times, as a core with a limit on attempts does.
		f.m.lost += r.progress - r.checkpoint
		r.progress = r.checkpoint
		if r.failures++; r.failures < 5 || r.job.Kind != record.BatchJob {
			f.queue(r)
		} else {
			r.state = "failed"
		}
	default:
		f.queue(r)
	}
	f.jobOver(r.job.ID)
}

func (f *fleet) jobOver(id string) {
	for _, r := range f.jobs[id] {
		if r.state == "queued" || r.state == "running" || r.host != nil {
			return
		}
	}
	f.apply(scheduler.JobDone{Job: id})
}

// carryOut turns decisions into events, and counts those that break a rule of the system.
func (f *fleet) carryOut(ds []scheduler.Decision) {
	for _, d := range ds {
		switch d := d.(type) {
		case scheduler.StartTask:
			f.start(d.Start)
		case scheduler.EvictTask:
			r := f.tasks[d.Task]
			if r == nil || r.host == nil || r.attempt != d.Attempt || r.stopAt != 0 {
				continue
			}
			f.m.evicted(r)
			r.stopAt = f.now + 1000
		case scheduler.ThrottleTask:
			if r := f.tasks[d.Task]; r != nil && r.host != nil && r.attempt == d.Attempt {
				r.share = float64(d.ShareMilli) / 1000
			}
		case scheduler.RefuseJob:
			for _, r := range f.jobs[d.Job] {
				r.state = "refused"
			}
			f.m.refused++
			f.apply(scheduler.JobDone{Job: d.Job})
		}
	}
}

func (f *fleet) start(st record.Start) {
	r, h := f.tasks[st.Task], f.byID[st.Worker]
	if r == nil || h == nil || r.host != nil || r.state != "queued" || st.Attempt <= r.attempt || f.out[h.zone] ||
		!st.Size.Fits(h.capacity.Sub(h.used)) {
		f.m.violations++
		return
	}
	r.attempt, r.host, r.size, r.started, r.state, r.share = st.Attempt, h, st.Size, f.now, "running", 1
	h.used = h.used.Add(st.Size)
	h.tasks = append(h.tasks, r)
	f.apply(scheduler.TaskStarted{Start: st})
	if !r.everRan {
		r.everRan = true
		f.m.started(f, r)
	}
}
