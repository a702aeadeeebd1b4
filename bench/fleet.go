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

// Policy is a scheduling policy that the fake fleet drives.
type Policy interface {
	Apply(nowMs int64, ev scheduler.Event)
	Decide(nowMs int64) []scheduler.Decision
}

// tickMs is the step of simulated time.
const tickMs = 100

// scenarioStartMs is the policy's time at the start of a scenario. Workers and contracts are reported at time 1, long before.
const scenarioStartMs = 60_000

// fakeWorker is a worker of the fake fleet.
type fakeWorker struct {
	id       string
	index    int
	zone     string
	rack     string
	capacity record.Resources
	used     record.Resources
	lost     bool
	tasks    []*fakeTask
}

// fakeTask is a task of the fake fleet with its latest run.
type fakeTask struct {
	id            string
	job           record.Job
	class         *class
	submittedMs   int64
	attempt       uint32
	worker        *fakeWorker
	size          record.Resources
	startedMs     int64
	everRan       bool
	runTimeFactor float64
	progressMs    float64
	checkpointMs  float64
	cpuShare      float64
	stopAtMs      int64
	failures      int
	state         string
	latencyUs     float64
	speed         float64
}

// fleet simulates the workers and delays the events on their way to the policy.
type fleet struct {
	trace        *trace
	policy       Policy
	rng          *rand.Rand
	now          int64
	workers      []*fakeWorker
	workersByID  map[string]*fakeWorker
	tasks        map[string]*fakeTask
	jobs         map[string][]*fakeTask
	pending      []delayedEvent
	zonesOut     map[string]bool
	meanLoad     float64
	currentLoad  float64
	replicaCount [2]int
	results      *results
}

// delayedEvent is an event that reaches the policy at atMs.
type delayedEvent struct {
	atMs int64
	ev   scheduler.Event
}

func newFleet(tr *trace, p Policy, seed uint64) *fleet {
	f := &fleet{trace: tr, policy: p, rng: rand.New(rand.NewPCG(seed, 1)), workersByID: map[string]*fakeWorker{}, tasks: map[string]*fakeTask{},
		jobs: map[string][]*fakeTask{}, zonesOut: map[string]bool{}, meanLoad: 0.5, results: newResults()}
	for i := range workers {
		h := &fakeWorker{id: fmt.Sprintf("w%02d", i), index: i, zone: string(rune('a' + i%3)), rack: fmt.Sprintf("r%d", i/9*3+i%3),
			capacity: resources(16_000, 60_000, 0)}
		if i%6 == 0 {
			h.capacity.Accelerators = 4
		}
		f.workers = append(f.workers, h)
		f.workersByID[h.id] = h
		p.Apply(1, f.workerUp(h))
	}
	for _, c := range tr.contracts {
		p.Apply(1, scheduler.ContractChanged{Contract: c})
	}
	return f
}

func (f *fleet) workerUp(h *fakeWorker) scheduler.WorkerUp {
	return scheduler.WorkerUp{ID: h.id, Zone: h.zone, Rack: h.rack, Capacity: h.capacity}
}

// simulate runs the whole trace.
func (f *fleet) simulate() {
	next := 0
	for f.now = 0; f.now < horizonMs; f.now += tickMs {
		for next < len(f.trace.steps) && f.trace.steps[next].atMs <= f.now {
			f.applyStep(f.trace.steps[next])
			next++
		}
		f.deliverEvents()
		f.advanceTick()
		if f.now%2000 == 0 {
			f.reportUsage()
		}
		f.applyDecisions(f.policy.Decide(f.now + scenarioStartMs))
	}
	f.results.recordUnstarted(f)
}

func (f *fleet) apply(ev scheduler.Event) { f.policy.Apply(f.now+scenarioStartMs, ev) }

func (f *fleet) applyStep(st traceStep) {
	switch {
	case st.job != nil:
		j := *st.job
		j.SubmittedMs += scenarioStartMs
		if j.DeadlineMs > 0 {
			j.DeadlineMs += scenarioStartMs
		}
		for i := range j.Tasks {
			id := fmt.Sprintf("%s#%d", j.ID, i)
			// The run time factor has a seed per task, so that it does not depend on the order of decisions.
			tr := rand.New(rand.NewPCG(xxhash.Sum64String(id), 2))
			r := &fakeTask{id: id, job: j, class: st.class, submittedMs: f.now, runTimeFactor: math.Exp(0.25 * tr.NormFloat64()), cpuShare: 1}
			f.tasks[id] = r
			f.jobs[j.ID] = append(f.jobs[j.ID], r)
			f.queueTask(r)
		}
	case st.cancel != "":
		for _, r := range f.jobs[st.cancel] {
			if r.worker != nil {
				r.stopAtMs = f.now
			}
			if r.state == "queued" || r.state == "running" {
				r.state = "cancelled"
			}
		}
		f.apply(scheduler.JobCancelled{Job: st.cancel})
		f.finishJobIfDone(st.cancel)
	case st.zoneAction == "out" || st.zoneAction == "back":
		f.zonesOut[st.zone] = st.zoneAction == "out"
		f.apply(scheduler.ZoneChanged{Zone: st.zone, Out: f.zonesOut[st.zone]})
		for _, h := range f.workers {
			if h.zone == st.zone && h.lost {
				h.lost = false
				f.apply(f.workerUp(h))
			}
		}
	case st.zoneAction == "gone":
		for _, h := range f.workers {
			if h.zone == st.zone {
				f.loseWorker(h)
			}
		}
	}
}

// loseWorker removes a worker and the runs on it. The leases of the runs expire 10 s later.
func (f *fleet) loseWorker(h *fakeWorker) {
	h.lost = true
	f.apply(scheduler.WorkerDown{ID: h.id})
	for _, r := range append([]*fakeTask(nil), h.tasks...) {
		f.results.countEviction(r)
		f.results.lostMs += r.progressMs - r.checkpointMs
		r.progressMs = r.checkpointMs
		f.removeFromWorker(r)
		f.deliverLater(10_000, scheduler.TaskEnded{End: record.End{Task: r.id, Attempt: r.attempt, Outcome: record.LeaseExpired, CheckpointMs: int64(r.checkpointMs)}})
		f.deliverLater(10_000, f.taskQueued(r))
		r.state = "queued"
	}
	f.deliverLater(10_100, scheduler.WorkerGone{ID: h.id})
}

func (f *fleet) queueTask(r *fakeTask) {
	r.state = "queued"
	f.apply(f.taskQueued(r))
}

func (f *fleet) taskQueued(r *fakeTask) scheduler.TaskQueued {
	return scheduler.TaskQueued{Job: r.job, Task: r.id, NextAttempt: r.attempt + 1, CheckpointMs: int64(r.checkpointMs)}
}

func (f *fleet) deliverLater(inMs int64, ev scheduler.Event) {
	f.pending = append(f.pending, delayedEvent{f.now + inMs, ev})
}

func (f *fleet) deliverEvents() {
	sort.SliceStable(f.pending, func(i, j int) bool { return f.pending[i].atMs < f.pending[j].atMs })
	n := 0
	for n < len(f.pending) && f.pending[n].atMs <= f.now {
		// Tasks of a job that was cancelled in the meantime are not requeued.
		if q, ok := f.pending[n].ev.(scheduler.TaskQueued); !ok || f.tasks[q.Task].state == "queued" {
			f.apply(f.pending[n].ev)
		}
		n++
	}
	f.pending = append(f.pending[:0], f.pending[n:]...)
}

// removeFromWorker releases the worker and the resources of a task.
func (f *fleet) removeFromWorker(r *fakeTask) {
	h := r.worker
	h.used = h.used.Sub(r.size)
	for i, o := range h.tasks {
		if o == r {
			h.tasks = append(h.tasks[:i], h.tasks[i+1:]...)
			break
		}
	}
	r.worker, r.cpuShare, r.stopAtMs = nil, 1, 0
}

func (f *fleet) endRun(r *fakeTask, outcome record.Outcome) {
	e := record.End{Task: r.id, Attempt: r.attempt, Outcome: outcome, CheckpointMs: int64(r.checkpointMs), RanMs: f.now - r.startedMs}
	f.removeFromWorker(r)
	f.apply(scheduler.TaskEnded{End: e})
	switch {
	case r.state == "cancelled":
	case outcome == record.Finished:
		r.state = "finished"
		f.results.recordFinish(f, r)
	case outcome == record.Failed:
		// A batch task fails after five failed attempts. Package core also limits attempts.
		f.results.lostMs += r.progressMs - r.checkpointMs
		r.progressMs = r.checkpointMs
		if r.failures++; r.failures < 5 || r.job.Kind != record.BatchJob {
			f.queueTask(r)
		} else {
			r.state = "failed"
		}
	default:
		f.queueTask(r)
	}
	f.finishJobIfDone(r.job.ID)
}

// finishJobIfDone reports a job as done if none of its tasks is queued or running.
func (f *fleet) finishJobIfDone(id string) {
	for _, r := range f.jobs[id] {
		if r.state == "queued" || r.state == "running" || r.worker != nil {
			return
		}
	}
	f.apply(scheduler.JobDone{Job: id})
}

// applyDecisions executes decisions, reports the resulting events, and counts the starts that break a rule of the system.
func (f *fleet) applyDecisions(ds []scheduler.Decision) {
	for _, d := range ds {
		switch d := d.(type) {
		case scheduler.StartTask:
			f.startTask(d.Start)
		case scheduler.EvictTask:
			r := f.tasks[d.Task]
			if r == nil || r.worker == nil || r.attempt != d.Attempt || r.stopAtMs != 0 {
				continue
			}
			f.results.countEviction(r)
			r.stopAtMs = f.now + 1000
		case scheduler.ThrottleTask:
			if r := f.tasks[d.Task]; r != nil && r.worker != nil && r.attempt == d.Attempt {
				r.cpuShare = float64(d.ShareMilli) / 1000
			}
		case scheduler.RefuseJob:
			for _, r := range f.jobs[d.Job] {
				r.state = "refused"
			}
			f.results.refusedJobs++
			f.apply(scheduler.JobDone{Job: d.Job})
		}
	}
}

func (f *fleet) startTask(st record.Start) {
	r, h := f.tasks[st.Task], f.workersByID[st.Worker]
	if r == nil || h == nil || r.worker != nil || r.state != "queued" || st.Attempt <= r.attempt || f.zonesOut[h.zone] ||
		!st.Size.Fits(h.capacity.Sub(h.used)) {
		f.results.violations++
		return
	}
	r.attempt, r.worker, r.size, r.startedMs, r.state, r.cpuShare = st.Attempt, h, st.Size, f.now, "running", 1
	h.used = h.used.Add(st.Size)
	h.tasks = append(h.tasks, r)
	f.apply(scheduler.TaskStarted{Start: st})
	if !r.everRan {
		r.everRan = true
		f.results.recordStart(f, r)
	}
}
