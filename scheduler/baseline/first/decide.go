package first

import (
	"container/heap"
	"fmt"

	"github.com/verbenakeel/verbenakeel/record"
	"github.com/verbenakeel/verbenakeel/scheduler"
)

// genEveryMs is how often jobs without room are tried again although no room was freed.
const genEveryMs = 500

// Decide returns the decisions that are due. The caller calls it again only after each of them was applied or dropped.
func (s *State) Decide(nowMs int64) []scheduler.Decision {
	s.takeBack()
	if nowMs-s.lastGenMs >= genEveryMs {
		s.lastGenMs = nowMs
		s.freeGen++
	}
	out := s.admit(nowMs, nil)
	return s.startTasks(nowMs, out)
}

// takeBack queues tasks again whose start was decided by the last call and not confirmed.
func (s *State) takeBack() {
	for _, t := range s.proposed {
		if t.phase == phaseProposed {
			s.release(t)
			s.enqueue(t)
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
	share  int64
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
	return turn{
		cust:   c,
		job:    j,
		urgent: j.rec.Urgent,
		owed:   c.withinGuarantee(s.sizeOf(j)),
		atRisk: j.latestStartMs-s.cfg.RiskMarginMs < nowMs,
		share:  c.dominantShare(fleet),
	}, true
}

// newRound makes parked jobs due again if room may have appeared since they were parked.
func (s *State) newRound(c *customer) {
	if c.roundGen == s.freeGen {
		return
	}
	if c.fresh.top() == nil {
		c.roundGen = s.freeGen
		c.fresh, c.parked = c.parked, c.fresh
		for _, j := range c.fresh.jobs {
			j.in = &c.fresh
		}
		return
	}
	// The parked job nearest its deadline gets a try in every call, so that the rest of a long round does not delay it.
	if j := c.parked.take(); j != nil {
		c.fresh.add(j)
	}
}

func (s *State) startTasks(nowMs int64, out []scheduler.Decision) []scheduler.Decision {
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
	for tries := 0; tries < s.cfg.MaxTries && starts < s.cfg.MaxStarts && len(turns) > 0; tries++ {
		tn := turns[0]
		if d, ok := s.startOne(nowMs, tn.job); ok {
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
func (s *State) startOne(nowMs int64, j *job) (scheduler.Decision, bool) {
	t := j.next()
	size := s.sizeOf(j)
	reason := j.cust.overQuota(j, size)
	if t != nil && reason == "" {
		p := &placing{s: s, nowMs: nowMs, task: t, job: j, size: size}
		w, why := s.place(p)
		if w != nil {
			t.job.waitingTasks--
			s.commit(t, w, size, phaseProposed)
			s.uncount(j)
			s.proposed = append(s.proposed, t)
			cause := fmt.Sprintf("waited %d ms; best of the workers with room", nowMs-t.queuedMs)
			return scheduler.StartTask{Start: record.Start{Task: t.id, Attempt: t.nextAttempt, Worker: w.id, Size: size, Cause: cause}}, true
		}
		reason = "no worker has room: " + why
	}
	j.reason = reason
	if j.in == &j.cust.fresh {
		heap.Pop(&j.cust.fresh)
		j.cust.parked.add(j)
	}
	return nil, false
}

// sizeOf is what is committed for a task of the job.
func (s *State) sizeOf(j *job) record.Resources { return j.rec.Size }

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
