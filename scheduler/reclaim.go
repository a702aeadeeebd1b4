package scheduler

import (
	"fmt"

	"github.com/verbenakeel/verbenakeel/record"
)

// reclaim makes room for a task that is urgent or within its customer's guaranteed share and that found none for a
// while: it evicts batch work of customers beyond their guaranteed share, and keeps the room for the waiting job.
func (s *State) reclaim(nowMs int64, j *job, size record.Resources, owed bool) {
	wait := s.cfg.ReclaimMs
	if j.rec.Urgent {
		wait = s.cfg.ReclaimUrgentMs
	}
	if j.blockedMs == 0 {
		j.blockedMs = nowMs
	}
	if nowMs-j.blockedMs < wait || s.reclaims >= s.cfg.ReclaimsPerCall ||
		j.nominated != nil && j.nominated.nominee == j && nowMs < j.nominated.nomineeMs {
		return
	}
	var best *worker
	var bestVictims []*task
	var bestCost int64
	p := &placing{s: s, nowMs: nowMs, task: j.next(), job: j, size: size}
	n := len(s.order)
	for i := range min(n, 4*s.cfg.MaxCandidates) {
		w := s.order[(s.cursor+i)%n]
		if w.nominee != nil && nowMs < w.nomineeMs || w.probation || excludeDown(p, w) != "" || excludeZoneOut(p, w) != "" ||
			excludeAvoided(p, w) != "" || !size.Fits(w.capacity) {
			continue
		}
		victims, cost, ok := s.victims(nowMs, w, j, size, owed)
		if ok && (best == nil || cost < bestCost) {
			best, bestVictims, bestCost = w, victims, cost
		}
	}
	s.cursor = (s.cursor + 1) % max(n, 1)
	if best == nil {
		return
	}
	s.reclaims++
	best.nominee, best.nomineeMs, best.nomineeSize = j, nowMs+s.cfg.NominateMs, size
	j.nominated = best
	for _, t := range bestVictims {
		s.evict(nowMs, t, fmt.Sprintf("the room is lent and %s needs it back for job %s", j.rec.Customer, j.rec.ID))
	}
}

// victims returns the tasks to evict from w so that size fits, and the run time in milliseconds this loses or delays.
func (s *State) victims(nowMs int64, w *worker, j *job, size record.Resources, owed bool) (out []*task, cost int64, ok bool) {
	free := w.free()
	lent := make(map[*customer]record.Resources)
	for !size.Fits(free) {
		var best *task
		var bestCost int64
		for _, t := range w.tasks {
			if t.phase != phaseRunning || t.evictMs != 0 || !s.mayReclaim(nowMs, t, j, lent[t.custOrNil()], owed) || contains(out, t) {
				continue
			}
			// Room that is freed beyond need and work that is lost both count.
			c := t.lostMs(nowMs) + t.size.CPUMilli + 5000
			if best == nil || c < bestCost {
				best, bestCost = t, c
			}
		}
		if best == nil || len(out) >= 4 {
			return nil, 0, false
		}
		out = append(out, best)
		cost += bestCost
		free = free.Add(best.size)
		c := best.job.cust
		lent[c] = lent[c].Add(best.size)
	}
	return out, cost, len(out) > 0
}

func (t *task) custOrNil() *customer {
	if t.job == nil {
		return nil
	}
	return t.job.cust
}

func contains(ts []*task, t *task) bool {
	for _, o := range ts {
		if o == t {
			return true
		}
	}
	return false
}

// mayReclaim reports whether running task t may be evicted for job j: t is batch work, loses little, and belongs to
// the same customer's less urgent work or to a customer that stays at or above its guarantee without it.
func (s *State) mayReclaim(nowMs int64, t *task, j *job, taken record.Resources, owed bool) bool {
	if t.job == nil || t.job.rec.Kind != record.BatchJob || t.job.rec.Urgent || nowMs-t.startMs < s.cfg.MinStayMs/4 ||
		t.lostMs(nowMs) > s.cfg.MaxLostMs || t.evictions >= 2*s.cfg.TaskEvictions {
		return false
	}
	c := t.job.cust
	if c == j.cust {
		return j.rec.Urgent
	}
	if !owed || c.contract == nil {
		return owed
	}
	after := c.used.Sub(taken).Sub(t.size)
	g := c.contract.Guaranteed
	return after.CPUMilli >= g.CPUMilli || after.MemoryMB >= g.MemoryMB
}

// excludeNominated keeps room that was freed for one job from others.
func excludeNominated(p *placing, w *worker) string {
	if w.nominee == nil || w.nominee == p.job || p.nowMs >= w.nomineeMs {
		return ""
	}
	if !p.size.Fits(w.free().Sub(w.nomineeSize)) {
		return "its room is kept for a job that is owed it"
	}
	return ""
}
