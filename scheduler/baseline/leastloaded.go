// Package baseline holds the policies that the benchmark measures against.
package baseline

import (
	"sort"

	"github.com/verbenakeel/verbenakeel/record"
	"github.com/verbenakeel/verbenakeel/scheduler"
)

// LeastLoaded starts tasks in the order in which they were queued, each on the worker with the most free processors.
// A task that finds no room is passed over by those of other sizes. It commits declared sizes.
//
// Its only reactions are the usual simple ones: it evicts the newest batch task of a worker when a service there reports
// twice its job's mean latency, at most once per worker in 10 s, and all batch tasks of a zone that is taken out.
type LeastLoaded struct {
	contracts map[string]record.Contract
	out       map[string]bool
	workers   map[string]*node
	order     []*node
	tasks     map[string]*item
	queue     []*item
	mean      map[string]float64
	evict     []*item
	refused   map[string]bool
	used      map[string]record.Resources
	running   map[string]int
	seq       int
}

type node struct {
	id, zone string
	capacity record.Resources
	used     record.Resources
	up       bool
	nextMs   int64
	tasks    map[string]*item
}

type item struct {
	id      string
	job     record.Job
	next    uint32
	attempt uint32
	size    record.Resources
	node    *node
	queued  bool
	listed  bool
	seq     int
	evicted bool
}

// NewLeastLoaded returns an empty state.
func NewLeastLoaded() *LeastLoaded {
	return &LeastLoaded{contracts: map[string]record.Contract{}, out: map[string]bool{}, workers: map[string]*node{},
		tasks: map[string]*item{}, mean: map[string]float64{}, refused: map[string]bool{},
		used: map[string]record.Resources{}, running: map[string]int{}}
}

// Apply folds an event.
func (l *LeastLoaded) Apply(nowMs int64, ev scheduler.Event) {
	switch e := ev.(type) {
	case scheduler.ContractChanged:
		l.contracts[e.Contract.Customer] = e.Contract
	case scheduler.ZoneChanged:
		l.out[e.Zone] = e.Out
		if e.Out {
			l.evictZone(e.Zone)
		}
	case scheduler.WorkerUp:
		n := l.workers[e.ID]
		if n == nil {
			n = &node{id: e.ID, tasks: map[string]*item{}}
			l.workers[e.ID] = n
			l.order = append(l.order, n)
			sort.Slice(l.order, func(i, j int) bool { return l.order[i].id < l.order[j].id })
		}
		n.zone, n.capacity, n.up = e.Zone, e.Capacity, true
	case scheduler.WorkerDown:
		if n := l.workers[e.ID]; n != nil {
			n.up = false
		}
	case scheduler.WorkerGone:
		if n := l.workers[e.ID]; n != nil {
			n.up = false
		}
	case scheduler.TaskQueued:
		l.enqueue(e)
	case scheduler.TaskStarted:
		l.start(e.Start)
	case scheduler.TaskEnded:
		if t := l.tasks[e.End.Task]; t != nil && t.node != nil && t.attempt == e.End.Attempt {
			l.release(t)
		}
	case scheduler.JobCancelled:
		l.drop(e.Job)
	case scheduler.JobDone:
		l.drop(e.Job)
	case scheduler.UsageReported:
		l.usage(nowMs, e)
	}
}

func (l *LeastLoaded) enqueue(e scheduler.TaskQueued) {
	t := l.tasks[e.Task]
	if t == nil {
		t = &item{id: e.Task}
		l.tasks[e.Task] = t
	}
	if t.queued || e.NextAttempt <= t.attempt {
		return
	}
	l.seq++
	t.job, t.next, t.queued, t.seq = e.Job, e.NextAttempt, true, l.seq
	if !t.listed {
		t.listed = true
		l.queue = append(l.queue, t)
	}
}

func (l *LeastLoaded) start(st record.Start) {
	t, n := l.tasks[st.Task], l.workers[st.Worker]
	if t == nil || n == nil || st.Attempt <= t.attempt {
		return
	}
	l.seq++
	t.queued, t.node, t.attempt, t.size, t.seq, t.evicted = false, n, st.Attempt, st.Size, l.seq, false
	n.tasks[t.id] = t
	n.used = n.used.Add(st.Size)
	l.used[t.job.Customer] = l.used[t.job.Customer].Add(st.Size)
	if t.job.Kind != record.ServiceJob {
		l.running[t.job.Customer]++
	}
}

func (l *LeastLoaded) release(t *item) {
	t.node.used = t.node.used.Sub(t.size)
	delete(t.node.tasks, t.id)
	t.node = nil
	l.used[t.job.Customer] = l.used[t.job.Customer].Sub(t.size)
	if t.job.Kind != record.ServiceJob {
		l.running[t.job.Customer]--
	}
}

func (l *LeastLoaded) drop(job string) {
	for _, t := range l.queue {
		if t.job.ID == job {
			t.queued = false
		}
	}
}

func (l *LeastLoaded) usage(nowMs int64, e scheduler.UsageReported) {
	n := l.workers[e.Worker]
	if n == nil {
		return
	}
	for _, s := range e.Samples {
		t := l.tasks[s.Task]
		if t == nil || s.LatencyP99Us == 0 {
			continue
		}
		us := float64(s.LatencyP99Us)
		if l.mean[t.job.ID] == 0 {
			l.mean[t.job.ID] = us
		}
		l.mean[t.job.ID] += 0.01 * (us - l.mean[t.job.ID])
		if us > 2*l.mean[t.job.ID] && nowMs >= n.nextMs {
			n.nextMs = nowMs + 10_000
			if newest := n.newestBatch(); newest != nil {
				newest.evicted = true
				l.evict = append(l.evict, newest)
			}
			return
		}
	}
}

func (n *node) newestBatch() *item {
	var newest *item
	for _, t := range n.tasks {
		if t.job.Kind == record.BatchJob && !t.evicted && (newest == nil || t.seq > newest.seq) {
			newest = t
		}
	}
	return newest
}

func (l *LeastLoaded) evictZone(zone string) {
	for _, n := range l.order {
		if n.zone != zone {
			continue
		}
		for t := n.newestBatch(); t != nil; t = n.newestBatch() {
			t.evicted = true
			l.evict = append(l.evict, t)
		}
	}
}

// Decide returns evictions and starts.
func (l *LeastLoaded) Decide(_ int64) []scheduler.Decision {
	var out []scheduler.Decision
	for _, t := range l.evict {
		if t.node != nil {
			out = append(out, scheduler.EvictTask{Eviction: record.Eviction{Task: t.id, Attempt: t.attempt}})
		}
	}
	l.evict = nil
	planned := map[*node]record.Resources{}
	usedBy, runningBy := map[string]record.Resources{}, map[string]int{}
	kept := l.queue[:0]
	full := map[record.Resources]bool{}
	for _, t := range l.queue {
		if !t.queued {
			t.listed = false
			continue
		}
		kept = append(kept, t)
		if full[t.job.Size] {
			continue
		}
		c, ok := l.contracts[t.job.Customer]
		if !ok || c.MaxTasks == 0 || !l.fitsFleet(t.job.Size) {
			if !l.refused[t.job.ID] {
				l.refused[t.job.ID] = true
				out = append(out, scheduler.RefuseJob{Refusal: record.Refusal{Job: t.job.ID, Reason: "can never run"}})
			}
			continue
		}
		name, size := t.job.Customer, t.job.Size
		if t.job.Kind != record.ServiceJob && l.running[name]+runningBy[name] >= c.MaxTasks ||
			!l.used[name].Add(usedBy[name]).Add(size).Fits(c.Burst) {
			continue
		}
		n := l.leastLoaded(size, planned)
		if n == nil {
			full[size] = true
			continue
		}
		planned[n] = planned[n].Add(size)
		usedBy[name] = usedBy[name].Add(size)
		if t.job.Kind != record.ServiceJob {
			runningBy[name]++
		}
		out = append(out, scheduler.StartTask{Start: record.Start{Task: t.id, Attempt: t.next, Worker: n.id, Size: size,
			Cause: "least loaded"}})
	}
	l.queue = kept
	return out
}

func (l *LeastLoaded) fitsFleet(size record.Resources) bool {
	for _, n := range l.order {
		if size.Fits(n.capacity) {
			return true
		}
	}
	return false
}

func (l *LeastLoaded) leastLoaded(size record.Resources, planned map[*node]record.Resources) *node {
	var best *node
	var bestFree int64
	for _, n := range l.order {
		free := n.capacity.Sub(n.used).Sub(planned[n])
		if !n.up || l.out[n.zone] || !size.Fits(free) {
			continue
		}
		if best == nil || free.CPUMilli > bestFree {
			best, bestFree = n, free.CPUMilli
		}
	}
	return best
}
