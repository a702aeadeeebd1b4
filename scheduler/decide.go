package scheduler

import (
	"container/heap"
	"fmt"

	"github.com/verbenakeel/verbenakeel/record"
)

// retryIntervalMs is the time after which unschedulable jobs are tried again although no capacity was freed.
const retryIntervalMs = 500

// Decide returns the decisions that are due. It must be called again only after each of them was applied or dropped.
func (s *State) Decide(nowMs int64) []Decision {
	s.requeueUnconfirmed(nowMs)
	s.reclaims = 0
	s.enqueueDelayed(nowMs)
	s.checkLongRunning(nowMs)
	s.checkRisks(nowMs)
	s.evacuate(nowMs)
	if nowMs-s.lastRetryMs >= retryIntervalMs {
		s.lastRetryMs = nowMs
		s.capacityGen++
	}
	out := s.alerts
	s.alerts = nil
	out = s.admit(nowMs, out)
	out = s.repeatEvictions(nowMs, out)
	out = s.startTasks(nowMs, out)
	// Evictions to reclaim capacity may have been decided while tasks were placed.
	return s.appendPending(out)
}

// requeueUnconfirmed queues the tasks again whose start was decided by the last call and not confirmed.
func (s *State) requeueUnconfirmed(nowMs int64) {
	for _, t := range s.proposed {
		if t.phase == phaseProposed {
			s.release(nowMs, t)
			s.enqueue(nowMs, t)
		}
	}
	s.proposed = s.proposed[:0]
}

// queueItem is a customer's next job with the keys by which customers are ordered in one call of Decide.
type queueItem struct {
	cust   *customer
	job    *job
	urgent bool
	// underGuarantee is true if the next task is within the customer's guaranteed share.
	underGuarantee bool
	atRisk         bool
	// weightedShare is the customer's dominant share times the work of its next task.
	weightedShare int64
}

type queueItemHeap []queueItem

func (h queueItemHeap) Len() int      { return len(h) }
func (h queueItemHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h queueItemHeap) Less(a, b int) bool {
	x, y := &h[a], &h[b]
	switch {
	case x.urgent != y.urgent:
		return x.urgent
	case x.underGuarantee != y.underGuarantee:
		return x.underGuarantee
	case x.atRisk != y.atRisk:
		return x.atRisk
	case x.weightedShare != y.weightedShare:
		return x.weightedShare < y.weightedShare
	default:
		return x.cust.name < y.cust.name
	}
}
func (h *queueItemHeap) Push(x any) { *h = append(*h, x.(queueItem)) }
func (h *queueItemHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	*h = old[:len(old)-1]
	return t
}

// nextItem returns the customer's next queue item, or false if it has no job to try in this call.
func (s *State) nextItem(nowMs int64, c *customer, fleet record.Resources) (queueItem, bool) {
	j := c.untried.peek()
	if j == nil {
		return queueItem{}, false
	}
	size := s.sizeOf(j)
	underGuarantee := c.withinGuarantee(size)
	return queueItem{
		cust: c,
		job:  j,
		// A customer beyond its guarantee may have a few urgent tasks only. Otherwise it could mark all its work urgent
		// and use the guarantees of others.
		urgent:         j.rec.Urgent && (underGuarantee || c.urgent < s.cfg.MaxUrgentOverGuarantee),
		underGuarantee: underGuarantee,
		atRisk:         j.rec.DeadlineMs > 0 && j.latestStartMs-s.cfg.RiskMarginMs < nowMs,
		weightedShare:  (c.dominantShare(size, fleet) + 1) * taskWork(j, size),
	}, true
}

// taskWork returns the processor time that a task of the job is expected to take, in quarters of a core second.
// Capacity is lent to short tasks first: a customer with tasks of a quarter of the work may use four times the share.
func taskWork(j *job, size record.Resources) int64 {
	return min(max(size.CPUMilli*(j.expectedRunMs()/1000)/250, 1), 1<<30)
}

// retryUnschedulable makes unschedulable jobs due again if capacity may have been freed since they were tried.
func (s *State) retryUnschedulable(c *customer) {
	if c.retriedGen == s.capacityGen {
		return
	}
	if c.untried.peek() == nil {
		c.retriedGen = s.capacityGen
		c.untried, c.unschedulable = c.unschedulable, c.untried
		return
	}
	// The first unschedulable job is tried in every call, so that a long list of untried jobs does not delay it.
	if j := c.unschedulable.popQueued(); j != nil {
		c.untried.add(j)
	}
}

func (s *State) startTasks(nowMs int64, out []Decision) []Decision {
	s.compactActive()
	fleet := s.fleetCapacity()
	items := make(queueItemHeap, 0, len(s.activeCustomers))
	for _, c := range s.activeCustomers {
		s.retryUnschedulable(c)
		if t, ok := s.nextItem(nowMs, c, fleet); ok {
			items = append(items, t)
		}
	}
	heap.Init(&items)
	starts := 0
	s.scanned, s.fullSizes = 0, s.fullSizes[:0]
	for tries := 0; tries < s.cfg.MaxPlacements && starts < s.cfg.MaxStarts && s.scanned < s.cfg.MaxScanned && len(items) > 0; tries++ {
		item := items[0]
		if d, ok := s.placeNext(nowMs, item); ok {
			starts++
			out = append(out, d)
		}
		if next, ok := s.nextItem(nowMs, item.cust, fleet); ok {
			items[0] = next
			heap.Fix(&items, 0)
		} else {
			heap.Pop(&items)
		}
	}
	return out
}

// placeNext places the first queued task of a job, or marks the job as unschedulable.
func (s *State) placeNext(nowMs int64, item queueItem) (Decision, bool) {
	j := item.job
	t := j.next()
	size := s.sizeOf(j)
	reason := waitReason{text: j.cust.overQuota(j, size)}
	if reason.text == "" {
		reason.text = s.unmeasuredReason(nowMs, j)
	}
	if t != nil && reason.text == "" {
		p := &s.current
		*p = placement{s: s, nowMs: nowMs, task: t, job: j, size: size, expedited: item.urgent || item.atRisk}
		w, unplaced := s.place(p)
		if w != nil {
			return s.propose(nowMs, t, w, size, item), true
		}
		reason = unplaced
		if size.Accelerators > 0 {
			s.acceleratorMissMs = nowMs
		}
		if item.urgent || item.underGuarantee {
			s.reclaim(nowMs, j, size, item.underGuarantee)
		} else {
			// The wait is not counted while the customer uses its whole guarantee.
			j.blockedSinceMs = 0
		}
	}
	s.markUnschedulable(nowMs, j, t, reason)
	return nil, false
}

// propose reserves the worker's capacity and returns the decision to start the task.
func (s *State) propose(nowMs int64, t *task, w *worker, size record.Resources, item queueItem) Decision {
	j := t.job
	j.waitingTasks--
	s.commit(nowMs, t, w, size, phaseProposed)
	s.uncountQueued(j)
	s.proposed = append(s.proposed, t)
	if w.probation {
		t.trial, w.trial = true, true
	}
	rank := "fair share"
	switch {
	case item.urgent:
		rank = "urgent"
	case item.atRisk:
		rank = "deadline risk"
	case item.underGuarantee:
		rank = "within its guaranteed share"
	}
	cause := fmt.Sprintf("%s; waited %d ms; best of the workers with room", rank, nowMs-t.queuedMs)
	t.recordCause("attempt %d placed on %s with %d millicores and %d MB: %s", t.nextAttempt, w.id, size.CPUMilli, size.MemoryMB, cause)
	return StartTask{record.Start{Task: t.id, Attempt: t.nextAttempt, Worker: w.id, Size: size, Cause: cause}}
}

// markUnschedulable sets a job aside until capacity may have been freed.
func (s *State) markUnschedulable(nowMs int64, j *job, t *task, reason waitReason) {
	j.why = reason
	if j.heap == j.cust.untried {
		heap.Pop(j.cust.untried)
		j.cust.unschedulable.add(j)
	}
	if t != nil && j.rec.Urgent && !j.urgentAlert && nowMs-t.queuedMs >= s.cfg.UrgentAlertMs {
		j.urgentAlert = true
		s.alert(Alert{Code: AlertUrgentLate, Job: j.rec.ID, Task: t.id, Message: reason.String()})
	}
}

// fleetCapacity returns the capacity of all known workers.
func (s *State) fleetCapacity() record.Resources {
	var sum record.Resources
	for _, sh := range s.shapes {
		n := int64(sh.count)
		sum = sum.Add(record.Resources{CPUMilli: sh.capacity.CPUMilli * n, MemoryMB: sh.capacity.MemoryMB * n,
			Accelerators: sh.capacity.Accelerators * n})
	}
	return sum
}
