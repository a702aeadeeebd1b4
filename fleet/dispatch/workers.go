package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/verbenakeel/verbenakeel/fleet/bounds"
	"github.com/verbenakeel/verbenakeel/fleet/link"
	"github.com/verbenakeel/verbenakeel/fleet/work"
)

const (
	// stopResendMs is the time after which a stop without effect is ordered again.
	stopResendMs = 1500
	// maxUnresponsiveMs is the time without an answer after which a worker gets no new work. A healthy worker answers
	// within half a second, because its side process asks it to wait no longer.
	maxUnresponsiveMs = 1200
	// minDrainingMs is the minimum time that a draining worker is assumed to have left: shorter tasks stay on it.
	minDrainingMs = 500
)

// worker is the worker of one instance.
type worker struct {
	instance string
	// position is the worker's index in State.sortedWorkers.
	position int
	// version counts changes that placement depends on. changed is true while the worker is in State.changedWorkers.
	version uint64
	changed bool
	// wasSchedulable is schedulable as of the last tick.
	wasSchedulable bool
	// fit caches the headroom for best-effort tasks.
	fit *bestEffortFit
	// info is what the worker last reported of itself; nil until its side process reported it.
	info *link.Worker
	rack string
	// connected is true while the side process is connected, and listed once the worker's lists arrived since the
	// worker started and the side process connected.
	connected, listed, leaving bool
	// unresponsiveMs is for how long the worker had not answered its side process as of the last report.
	unresponsiveMs int64
	// lives counts incarnations of the worker under this decider.
	lives int
	// fenceSeq counts connections to the side process and incarnations of the worker under this decider.
	fenceSeq int
	// ordersSent counts messages with orders on this connection.
	ordersSent uint64
	// lastCompletion is the highest completion that was handled, ackedCompletion the highest that the worker may
	// forget.
	lastCompletion, ackedCompletion int64
	// lastReportMs is when the last report came, leaseExpiresMs when every run on the worker has ended unless its lease
	// is renewed.
	lastReportMs, leaseExpiresMs int64
	// leaseSource tells what leaseExpiresMs follows from, upMs when this decider learned of the present incarnation; 0 if it has not.
	leaseSource leaseSource
	upMs        int64
	// grantExpiresMs is when the lease expires that the newest answer to a report may have renewed.
	grantExpiresMs int64
	// ordersDone is the highest number of orders up to which the side process has answered all.
	ordersDone uint64
	// reported is true if the side process knew its worker in the last report.
	reported bool
	// sharesSetMs is when CPU shares were last set on the worker.
	sharesSetMs int64
	// answeredReportMs is Report.SentMs of the newest report on this connection whose answer renewed the lease.
	answeredReportMs int64
	// tasks holds the tasks whose run may be active on the worker, sorted by name.
	tasks []*task
	// unknownRuns holds active runs that belong to no task, unknownStops their stops.
	unknownRuns  map[string]int
	unknownStops map[string]unknownStop
	outbox       outbox
	// committedCPU, committedMem and committedGPU are reserved. bestEffortCPU is the CPU demand of best-effort tasks,
	// which is not reserved, and longRunningCPU that of long-running tasks.
	longRunningCPU                                          int64
	committedCPU, committedMem, committedGPU, bestEffortCPU int64
	// criticalTasks counts latency-critical tasks (those with a latency target), criticalCPU is what is reserved for
	// them.
	criticalTasks int
	criticalCPU   int64
	health        health
}

// leaseSource is what a bound on a lease follows from.
type leaseSource string

const (
	leaseFromClaim  leaseSource = "the claim of this decider"
	leaseFromGrant  leaseSource = "the last answer to a report"
	leaseFromReport leaseSource = "the last report"
)

// boundLease sets when every run on the worker has ended unless its lease is renewed.
func (w *worker) boundLease(untilMs int64, source leaseSource) {
	if untilMs != w.leaseExpiresMs {
		w.leaseExpiresMs, w.leaseSource = untilMs, source
	}
}

// unknownLease returns how long after the claim of a decider runs may last on a worker of which it has heard nothing. The previous decider
// has granted leases for as long as it had authority. A worker that restarted under its id shortly before may hold the longest lease, and
// what that one has placed there by then runs under it.
func unknownLease(b bounds.Bounds) time.Duration {
	return max(b.AuthorityTimeout+b.Lease+bounds.ClockSlack(b.Lease), longestLease(b))
}

// longestLease returns how long a lease may last that a call to an earlier life of the worker has set.
func longestLease(b bounds.Bounds) time.Duration { return b.MaxLease + bounds.ClockSlack(b.MaxLease) }

// ensureWorker returns the worker of an instance and creates it if needed. A worker that this decider does not know yet
// may hold a lease of the previous decider until that expires.
func (s *State) ensureWorker(instance string) *worker {
	if w := s.workers[instance]; w != nil {
		return w
	}
	w := &worker{instance: instance, unknownRuns: map[string]int{}, unknownStops: map[string]unknownStop{}, lastReportMs: s.now.BootMs}
	w.boundLease(s.claimedMs+unknownLease(s.bounds).Milliseconds(), leaseFromClaim)
	s.workers[instance] = w
	s.sortedWorkers = append(s.sortedWorkers, w)
	sort.Slice(s.sortedWorkers, func(i, k int) bool { return s.sortedWorkers[i].instance < s.sortedWorkers[k].instance })
	for i, other := range s.sortedWorkers {
		other.position = i
	}
	return w
}

// reserve reserves capacity for a task's run, which counts as active on the worker.
func (s *State) reserve(t *task, w *worker) {
	t.worker = w
	i, _ := slices.BinarySearchFunc(w.tasks, t, compareTasks)
	w.tasks = slices.Insert(w.tasks, i, t)
	w.version++
	if w.health.onTrial() {
		t.onTrial = true
		w.health.trialTasks++
	}
	t.stage.job.active++
	t.stage.waiting--
	st := t.stage.step
	if st.BestEffort {
		w.bestEffortCPU += st.CPU
	} else {
		w.committedCPU += st.CPU
	}
	if st.LongRunning {
		w.longRunningCPU += st.CPU
	}
	w.committedMem += st.MemMB
	w.committedGPU += st.GPU
	s.interference.recordImage(t, s.now.BootMs)
	if st.TargetMs > 0 {
		w.criticalTasks++
		w.criticalCPU += st.CPU
	}
}

// release frees what the task's ended run reserved.
func (s *State) release(t *task) {
	w := t.worker
	if w == nil {
		return
	}
	t.worker = nil
	if i, ok := slices.BinarySearchFunc(w.tasks, t, compareTasks); ok {
		w.tasks = slices.Delete(w.tasks, i, i+1)
	}
	if t.onTrial {
		w.health.trialTasks--
		t.onTrial = false
	}
	s.touch(w)
	t.stage.job.active--
	t.stage.job.lastActiveMs = s.now.BootMs
	st := t.stage.step
	if st.BestEffort {
		w.bestEffortCPU -= st.CPU
	} else {
		w.committedCPU -= st.CPU
	}
	if st.LongRunning {
		w.longRunningCPU -= st.CPU
	}
	w.committedMem -= st.MemMB
	w.committedGPU -= st.GPU
	if st.TargetMs > 0 {
		w.criticalTasks--
		w.criticalCPU -= st.CPU
	}
	if t.phase != done {
		t.phase = waiting
		if t.stage.waiting == 0 {
			t.stage.waitingSinceMs = s.now.BootMs
		}
		t.stage.waiting++
	}
	t.orderNumber, t.recorded, t.startedMs, t.percent, t.countedPercent, t.load, t.stopSentMs = 0, false, 0, 0, 0, 0, 0
	t.orderedMs, t.firstPercent, t.wasThrottled, t.resumed = 0, 0, false, false
	t.cpuShare, t.sentCPUShare, t.shareSentMs, t.headroomFactor, t.overTargetSinceMs = fullCPUShare, fullCPUShare, 0, 0, 0
	t.stopQueued = false
	s.placePending = true
	s.markDirty(t.stage.job)
}

// SideConnected means that the side process of an instance accepted the decider's hello message.
type SideConnected struct{ Instance string }

func (e SideConnected) apply(s *State) {
	w := s.ensureWorker(e.Instance)
	s.dropQueued(w, "the connection to its side process ended before the start was ordered")
	w.connected, w.listed, w.ordersSent, w.ordersDone, w.lastReportMs, w.answeredReportMs = true, false, 0, 0, s.now.BootMs, 0
	for _, t := range w.tasks {
		t.orderNumber = 0
		t.stopSentMs = 0 // what was not answered ended with the former connection
	}
	w.outbox = outbox{listed: w.outbox.listed}
	clear(w.unknownStops)
	s.raiseFence(w)
}

// raiseFence makes the worker refuse delayed orders that were sent before.
func (s *State) raiseFence(w *worker) {
	if w.fenceSeq == maxFenceSeq {
		s.fencesExhausted = true
	} else {
		w.fenceSeq++
	}
	s.effects.Orders = append(s.effects.Orders, SideOrders{w.instance, link.Orders{Fence: s.fence(w)}})
}

// SideDisconnected means that the connection to a side process ended.
type SideDisconnected struct{ Instance string }

func (e SideDisconnected) apply(s *State) {
	w := s.ensureWorker(e.Instance)
	if w.connected {
		s.logDecision(Decision{Kind: DecisionWorkerDown, Instance: w.instance, Reason: "the connection to its side process ended", AgeMs: s.now.BootMs - w.lastReportMs})
	}
	w.connected, w.listed = false, false
	s.dropQueued(w, "the connection to its side process ended before the start was ordered")
	// The side process may still use the whole lease that it was granted.
	w.boundLease(max(w.leaseExpiresMs, w.grantExpiresMs), leaseFromGrant)
}

// LeaseRenewed means that a report was answered, which renews the lease of the worker.
type LeaseRenewed struct {
	Instance string
	// SentMs is Report.SentMs of that report.
	SentMs int64
}

func (e LeaseRenewed) apply(s *State) {
	w := s.ensureWorker(e.Instance)
	lease := s.bounds.Lease
	w.answeredReportMs = max(w.answeredReportMs, e.SentMs)
	w.grantExpiresMs = s.now.BootMs + (lease + bounds.ClockSlack(lease)).Milliseconds()
	if w.reported {
		w.boundLease(max(w.leaseExpiresMs, w.grantExpiresMs), leaseFromGrant)
	}
}

// Reported is a report of a side process.
type Reported struct {
	Instance string
	Report   *link.Report
}

func (e Reported) apply(s *State) {
	w, r := s.ensureWorker(e.Instance), e.Report
	w.lastReportMs = s.now.BootMs
	w.reported = r.Worker != nil
	w.ordersDone = max(w.ordersDone, r.OrdersDone)
	w.received(r)
	if until := s.now.BootMs + r.LeaseLeftMs; until > w.leaseExpiresMs || r.AnsweredMs >= w.answeredReportMs {
		// The side process knows how long the lease can last, but for an answer that is in flight. It may last longer than was
		// granted, where calls to an earlier incarnation have set it.
		w.boundLease(until, leaseFromReport)
	}
	if r.Worker == nil {
		s.requeueExpired(w)
		return
	}
	if w.info == nil || w.info.Incarnation != r.Worker.Incarnation {
		s.startIncarnation(w, r.Worker)
	}
	if w.info.Draining != r.Worker.Draining || w.leaving != r.Leaving {
		s.logDecision(Decision{Kind: DecisionWorkerDown, Instance: w.instance,
			Reason: fmt.Sprintf("draining %t, terminating %t, %d ms left", r.Worker.Draining, r.Leaving, r.Worker.RemainingMs)})
	}
	w.info, w.leaving, w.unresponsiveMs = r.Worker, r.Leaving, r.UnresponsiveMs
	s.handleCompletions(w, r.Completions)
	s.handleRefusals(w, r.Refusals)
	if r.Listed && r.Fence == s.fence(w) {
		s.reconcileRuns(w, r)
	}
	s.requeueExpired(w)
	s.evictFromDraining(w)
	s.touch(w)
	s.placePending = true
}

// startIncarnation resets the state of a worker that restarted. Its recorded runs have ended with the earlier
// incarnation, but the new one may have carried out their starts again: it has the same id, has received no fence, and
// may have answered orders before its first heartbeat. The runs are kept until it lists its runs under the raised fence.
func (s *State) startIncarnation(w *worker, info *link.Worker) {
	s.logDecision(Decision{Kind: DecisionWorkerUp, Instance: w.instance,
		Reason: fmt.Sprintf("id %s, started at %d, %d mCPU, %d MB, labels %v", info.Incarnation.ID, info.Incarnation.StartedMs, info.CPU, info.MemMB, info.Labels)})
	s.dropQueued(w, "its worker restarted before the start was ordered")
	if w.info != nil {
		for _, t := range w.copyTasks() {
			t.orderNumber, t.stopSentMs = 0, 0
			if !t.recorded {
				s.logTaskDecision(DecisionRunEnded, t, "its worker restarted")
				s.handleRunEnded(t)
				continue
			}
			t.beginAnew()
		}
	}
	s.raiseFence(w)
	w.lives++
	w.upMs = s.now.BootMs
	w.info, w.listed, w.lastCompletion, w.ackedCompletion, w.unresponsiveMs = info, false, 0, 0, 0
	clear(w.unknownRuns)
	clear(w.unknownStops)
	w.health = health{}
	for _, t := range w.tasks {
		t.onTrial = false
	}
	w.rack = rackOf(info.Labels)
}

// beginAnew forgets what is known of a run that ended with its worker's life. If the next life lists it, it has begun anew, at its full CPU
// share.
func (t *task) beginAnew() {
	if t.phase == running {
		t.phase = starting
	}
	t.startedMs, t.percent, t.countedPercent, t.load, t.orderedMs, t.firstPercent = 0, 0, 0, 0, 0, 0
	t.sentCPUShare, t.shareSentMs, t.overTargetSinceMs = fullCPUShare, 0, 0
}

// copyTasks returns a copy of the worker's tasks, so that the caller may release tasks while iterating.
func (w *worker) copyTasks() []*task { return slices.Clone(w.tasks) }

// compareTasks orders tasks by name.
func compareTasks(a, b *task) int {
	return cmp.Or(cmp.Compare(a.stage.job.def.ID, b.stage.job.def.ID), cmp.Compare(a.stage.occurrence, b.stage.occurrence),
		cmp.Compare(a.stage.index, b.stage.index), cmp.Compare(a.index, b.index))
}

// rackOf returns the label that names the rack: "r", a number, "-" and a number.
func rackOf(labels []string) string {
	for _, l := range labels {
		if len(l) > 1 && l[0] == 'r' && l[1] >= '0' && l[1] <= '9' {
			return l
		}
	}
	return ""
}

// resumeOccurrenceOf opens the occurrence of a task if it is suspended, and reports whether it was.
func (s *State) resumeOccurrenceOf(name string) bool {
	n, ok := work.ParseTaskName(name)
	if !ok {
		return false
	}
	j := s.jobs[n.Job]
	return j != nil && !j.state.Final() && s.resume(j, n.Occurrence)
}

// findTask returns the task of a name, or nil.
func (s *State) findTask(name string) *task {
	n, ok := work.ParseTaskName(name)
	if !ok {
		return nil
	}
	j := s.jobs[n.Job]
	if j == nil {
		return nil
	}
	st := j.stage(n.Occurrence, n.Step)
	if st == nil || n.Index >= len(st.tasks) {
		return nil
	}
	return &st.tasks[n.Index]
}
