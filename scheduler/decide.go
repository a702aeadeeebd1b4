package scheduler

import (
	"container/heap"
	"fmt"

	"github.com/verbenakeel/verbenakeel/record"
)

// genEveryMs is how often jobs without room are tried again although no room was freed.
const genEveryMs = 500

// Decide returns the decisions that are due. The caller calls it again only after each of them was applied or dropped.
func (s *State) Decide(nowMs int64) []Decision {
	s.takeBack(nowMs)
	s.reclaims = 0
	s.wakeDelayed(nowMs)
	s.watchStanding(nowMs)
	s.checkRisks(nowMs)
	s.evacuate(nowMs)
	if nowMs-s.lastGenMs >= genEveryMs {
		s.lastGenMs = nowMs
		s.freeGen++
	}
	out := s.alerts
	s.alerts = nil
	out = s.admit(nowMs, out)
	out = s.repeatEvictions(nowMs, out)
	out = s.startTasks(nowMs, out)
	// Room may have been taken back while tasks were placed.
	return s.takePending(out)
}

// takeBack queues tasks again whose start was decided by the last call and not confirmed.
func (s *State) takeBack(nowMs int64) {
	for _, t := range s.proposed {
		if t.phase == phaseProposed {
			s.release(nowMs, t)
			s.enqueue(nowMs, t)
		}
	}
	s.proposed = s.proposed[:0]
}

// turn is a customer's place in the order of one Decide.
type turn struct {
	cust   *customer
	job    *job
	urgent bool
	// owed is true while the next task is within the customer's guaranteed share.
	owed   bool
	atRisk bool
	// share is the customer's dominant share times the work of its next task.
	share int64
}

type turnHeap []turn

func (h turnHeap) Len() int      { return len(h) }
func (h turnHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h turnHeap) Less(a, b int) bool {
	x, y := &h[a], &h[b]
	switch {
	case x.urgent != y.urgent:
		return x.urgent
	case x.owed != y.owed:
		return x.owed
	case x.atRisk != y.atRisk:
		return x.atRisk
	case x.share != y.share:
		return x.share < y.share
	default:
		return x.cust.name < y.cust.name
	}
}
func (h *turnHeap) Push(x any) { *h = append(*h, x.(turn)) }
func (h *turnHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	*h = old[:len(old)-1]
	return t
}

// nextTurn returns the customer's turn, or false if it has no job to try in this call.
func (s *State) nextTurn(nowMs int64, c *customer, fleet record.Resources) (turn, bool) {
	j := c.fresh.top()
	if j == nil {
		return turn{}, false
	}
	size := s.sizeOf(j)
	owed := c.withinGuarantee(size)
	return turn{
		cust: c,
		job:  j,
		// Beyond its guarantee a customer has a few urgent tasks only, or it could mark all its work urgent and take
		// the guarantees of others.
		urgent: j.rec.Urgent && (owed || c.urgent < s.cfg.UrgentBeyond),
		owed:   owed,
		atRisk: j.rec.DeadlineMs > 0 && j.latestStartMs-s.cfg.RiskMarginMs < nowMs,
		share:  (c.dominantShare(size, fleet) + 1) * taskWork(j, size),
	}, true
}

// taskWork is the processor time that a task of the job is expected to take, in quarters of a core second. Lent room goes
// to short work first: a customer with tasks of a quarter of the work may have four times the share.
func taskWork(j *job, size record.Resources) int64 {
	return min(max(size.CPUMilli*(j.expectedRunMs()/1000)/250, 1), 1<<30)
}

// newRound makes parked jobs due again if room may have appeared since they were parked.
func (s *State) newRound(c *customer) {
	if c.roundGen == s.freeGen {
		return
	}
	if c.fresh.top() == nil {
		c.roundGen = s.freeGen
		c.fresh, c.parked = c.parked, c.fresh
		return
	}
	// The parked job nearest its deadline gets a try in every call, so that the rest of a long round does not delay it.
	if j := c.parked.take(); j != nil {
		c.fresh.add(j)
	}
}

func (s *State) startTasks(nowMs int64, out []Decision) []Decision {
	s.compactActive()
	fleet := s.fleet()
	turns := make(turnHeap, 0, len(s.active))
	for _, c := range s.active {
		s.newRound(c)
		if t, ok := s.nextTurn(nowMs, c, fleet); ok {
			turns = append(turns, t)
		}
	}
	heap.Init(&turns)
	starts := 0
	s.visits, s.full = 0, s.full[:0]
	for tries := 0; tries < s.cfg.MaxTries && starts < s.cfg.MaxStarts && s.visits < s.cfg.MaxVisits && len(turns) > 0; tries++ {
		tn := turns[0]
		if d, ok := s.startOne(nowMs, tn); ok {
			starts++
			out = append(out, d)
		}
		if next, ok := s.nextTurn(nowMs, tn.cust, fleet); ok {
			turns[0] = next
			heap.Fix(&turns, 0)
		} else {
			heap.Pop(&turns)
		}
	}
	return out
}

// startOne places the first queued task of a job, or parks the job.
func (s *State) startOne(nowMs int64, tn turn) (Decision, bool) {
	j := tn.job
	t := j.next()
	size := s.sizeOf(j)
	reason := why{text: j.cust.overQuota(j, size)}
	if reason.text == "" {
		reason.text = s.cautious(nowMs, j)
	}
	if t != nil && reason.text == "" {
		p := &s.placing
		*p = placing{s: s, nowMs: nowMs, task: t, job: j, size: size, pressing: tn.urgent || tn.atRisk}
		w, y := s.place(p)
		if w != nil {
			return s.propose(nowMs, t, w, size, tn), true
		}
		reason = y
		if size.Accelerators > 0 {
			s.accelMs = nowMs
		}
		if tn.urgent || tn.owed {
			s.reclaim(nowMs, j, size, tn.owed)
		} else {
			// What it waited while its customer used its whole guarantee does not count.
			j.blockedMs = 0
		}
	}
	s.park(nowMs, j, t, reason)
	return nil, false
}

// propose decides a start.
func (s *State) propose(nowMs int64, t *task, w *worker, size record.Resources, tn turn) Decision {
	j := t.job
	j.waitingTasks--
	s.commit(nowMs, t, w, size, phaseProposed)
	s.uncount(j)
	s.proposed = append(s.proposed, t)
	if w.probation {
		t.trial, w.trial = true, true
	}
	why := "fair share"
	switch {
	case tn.urgent:
		why = "urgent"
	case tn.atRisk:
		why = "deadline risk"
	case tn.owed:
		why = "within its guaranteed share"
	}
	cause := fmt.Sprintf("%s; waited %d ms; best of the workers with room", why, nowMs-t.queuedMs)
	t.because("attempt %d placed on %s with %d millicores and %d MB: %s", t.nextAttempt, w.id, size.CPUMilli, size.MemoryMB, cause)
	return StartTask{record.Start{Task: t.id, Attempt: t.nextAttempt, Worker: w.id, Size: size, Cause: cause}}
}

// park puts a job aside until room may have appeared.
func (s *State) park(nowMs int64, j *job, t *task, reason why) {
	j.why = reason
	if j.in == j.cust.fresh {
		heap.Pop(j.cust.fresh)
		j.cust.parked.add(j)
	}
	if t != nil && j.rec.Urgent && !j.urgentAlert && nowMs-t.queuedMs >= s.cfg.UrgentAlertMs {
		j.urgentAlert = true
		s.alert(Alert{Code: AlertUrgentLate, Job: j.rec.ID, Task: t.id, Message: reason.String()})
	}
}

// fleet is the capacity of all known workers.
func (s *State) fleet() record.Resources {
	var sum record.Resources
	for _, sh := range s.shapes {
		n := int64(sh.count)
		sum = sum.Add(record.Resources{CPUMilli: sh.capacity.CPUMilli * n, MemoryMB: sh.capacity.MemoryMB * n,
			Accelerators: sh.capacity.Accelerators * n})
	}
	return sum
}
