package scheduler

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/verbenakeel/verbenakeel/record"
)

// reclaimIntervalMs is the minimum time between two attempts to reclaim capacity for one job.
const reclaimIntervalMs = 250

// maxReclaimWaits times ReclaimWaitMs is the longest time that a job waits before capacity is reclaimed for it although
// other jobs of its customer start.
const maxReclaimWaits = 4

// maxReclaimWorkers bounds the workers considered in one attempt.
const maxReclaimWorkers = 16

// reclaim frees capacity for a task that is urgent or within its customer's guaranteed share and could not be placed.
// First it reserves the free capacity of a worker, so that small tasks do not use each part of it that is freed. If the
// task still waits and running tasks are not expected to free enough capacity in time, it evicts lent batch tasks from
// one worker and reserves the freed capacity.
func (s *State) reclaim(nowMs int64, j *job, size record.Resources, guaranteed bool) {
	if j.blockedSinceMs == 0 || nowMs-j.lastBlockedMs > s.cfg.ReclaimWaitMs {
		// The job was not tried for a long time, so most of its wait fell in a time when its customer used its whole
		// guarantee.
		j.blockedSinceMs = nowMs
	}
	j.lastBlockedMs = nowMs
	nominateAfter, evictAfter := s.cfg.NominateAfterMs, s.cfg.ReclaimMs
	if j.rec.Urgent {
		nominateAfter, evictAfter = 0, s.cfg.ReclaimUrgentMs
	}
	waited := nowMs - j.blockedSinceMs
	if nowMs-j.reclaimTriedMs < reclaimIntervalMs {
		return
	}
	if waited < nominateAfter || s.reclaims >= s.cfg.ReclaimsPerCall || j.reclaimMs != 0 && nowMs-j.reclaimMs < s.cfg.NominateMs {
		return
	}
	p := &placement{s: s, nowMs: nowMs, task: j.next(), job: j, size: size}
	j.reclaimTriedMs = nowMs
	reserved := j.nominated != nil && j.nominated.nominee == j && nowMs < j.nominated.nomineeMs
	if waited < evictAfter || !j.rec.Urgent && (nowMs-j.cust.startedMs < s.cfg.ReclaimGapMs || s.freedInTime(p, reserved)) {
		if !reserved {
			s.reclaims++
			s.nominate(p, s.earliestFit(p))
		}
		return
	}
	s.reclaims++
	var best *worker
	var bestVictims []*task
	var bestCost int64
	s.forEachFeasible(p, func(w *worker) {
		victims, cost, ok := s.victims(nowMs, w, j, size, guaranteed)
		if ok && (best == nil || cost < bestCost) && excludeInterference(p, w) == "" {
			best, bestVictims, bestCost = w, victims, cost
		}
	})
	if best == nil {
		return
	}
	s.nominate(p, best)
	j.reclaimMs = nowMs
	for _, t := range bestVictims {
		s.evict(nowMs, t, fmt.Sprintf("the room is lent and %s needs it back for job %s", j.rec.Customer, j.rec.ID))
	}
}

// forEachFeasible calls f for a bounded number of workers that could run the task if they had free capacity.
func (s *State) forEachFeasible(p *placement, f func(w *worker)) {
	n := len(s.workerOrder)
	for i := range min(n, maxReclaimWorkers) {
		w := s.workerOrder[(s.reclaimCursor+i)%n]
		if w.nominee != nil && w.nominee != p.job && p.nowMs < w.nomineeMs || w.probation || !p.size.Fits(w.capacity) ||
			excludeDown(p, w) != "" || excludeZoneOut(p, w) != "" || excludeAvoided(p, w) != "" || excludeAccelerators(p, w) != "" {
			continue
		}
		f(w)
	}
	s.reclaimCursor = (s.reclaimCursor + maxReclaimWorkers) % max(n, 1)
}

// earliestFit returns the worker on which running tasks are expected to free enough capacity first. Ties go to the
// worker that lacks the least.
func (s *State) earliestFit(p *placement) *worker {
	var best *worker
	var bestMs, bestDeficit int64
	s.forEachFeasible(p, func(w *worker) {
		fitMs, free := s.timeToFit(p.nowMs, w, p.size), w.free()
		deficit := max(p.size.CPUMilli-free.CPUMilli, 0) + max(p.size.MemoryMB-free.MemoryMB, 0) +
			16_000*max(p.size.Accelerators-free.Accelerators, 0)
		if (best == nil || fitMs < bestMs || fitMs == bestMs && deficit < bestDeficit) && excludeInterference(p, w) == "" {
			best, bestMs, bestDeficit = w, fitMs, deficit
		}
	})
	return best
}

// freedInTime reports whether running tasks are expected to free capacity for the job within ReclaimWaitMs of the time
// when it was blocked or its customer last started a task, so that no eviction is needed.
func (s *State) freedInTime(p *placement, reserved bool) bool {
	j := p.job
	waitLeft := max(j.blockedSinceMs, j.cust.startedMs) + s.cfg.ReclaimWaitMs - p.nowMs
	if p.nowMs-j.blockedSinceMs > maxReclaimWaits*s.cfg.ReclaimWaitMs {
		waitLeft = 0
	}
	w := j.nominated
	if !reserved {
		w = s.earliestFit(p)
	}
	return w != nil && s.timeToFit(p.nowMs, w, p.size) <= waitLeft
}

// never is the time to fit if running batch tasks do not free enough capacity.
const never = math.MaxInt64

// timeToFit returns in how many milliseconds running batch tasks are expected to have freed capacity for size on w.
func (s *State) timeToFit(nowMs int64, w *worker, size record.Resources) int64 {
	free, inMs := w.free(), int64(0)
	s.expectedEnds = s.expectedEnds[:0]
	for _, t := range w.tasks {
		if t.phase != phaseRunning || t.job == nil || t.job.rec.Kind != record.BatchJob {
			continue
		}
		// The end of a task that runs longer than expected is unknown.
		if left := t.remainingMs(nowMs); left > 0 {
			s.expectedEnds = append(s.expectedEnds, expectedEnd{left, t.size})
		}
	}
	slices.SortFunc(s.expectedEnds, func(a, b expectedEnd) int { return cmp.Compare(a.inMs, b.inMs) })
	for _, e := range s.expectedEnds {
		if size.Fits(free) {
			return inMs
		}
		inMs, free = e.inMs, free.Add(e.size)
	}
	if size.Fits(free) {
		return inMs
	}
	return never
}

// expectedEnd is when a task is expected to end, and the capacity that it frees.
type expectedEnd struct {
	inMs int64
	size record.Resources
}

// nominate reserves the free capacity of a worker for the job. Without a worker it only removes the job's reservation.
func (s *State) nominate(p *placement, w *worker) {
	j := p.job
	if j.nominated != nil && j.nominated.nominee == j {
		j.nominated.nominee = nil
	}
	j.nominated = w
	if w != nil {
		w.nominee, w.nomineeMs, w.nomineeSize = j, p.nowMs+s.cfg.NominateMs, p.size
	}
}

// victims returns the tasks to evict from w so that size fits, and their cost: the run time in milliseconds that is
// lost, plus costs per eviction and per millicore.
func (s *State) victims(nowMs int64, w *worker, j *job, size record.Resources, guaranteed bool) (out []*task, cost int64, ok bool) {
	free := w.free()
	var reclaimed map[*customer]record.Resources
	for !size.Fits(free) {
		var best *task
		var bestCost int64
		for _, t := range w.tasks {
			if t.phase != phaseRunning || t.evictMs != 0 || !s.mayReclaim(nowMs, t, j, reclaimed[t.custOrNil()], guaranteed) || contains(out, t) {
				continue
			}
			// The cost includes lost work and the size of the task, which may be more than is needed.
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
		if reclaimed == nil {
			reclaimed = make(map[*customer]record.Resources)
		}
		reclaimed[c] = reclaimed[c].Add(best.size)
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

// mayReclaim reports whether running task t may be evicted for job j: t is batch work, loses little, and belongs to the
// same customer's non-urgent work or to a customer that stays at or above its guarantee without t.
func (s *State) mayReclaim(nowMs int64, t *task, j *job, taken record.Resources, guaranteed bool) bool {
	if t.job == nil || t.job.rec.Kind != record.BatchJob || t.job.rec.Urgent || nowMs-t.startMs < s.cfg.MinStayMs/4 ||
		t.lostMs(nowMs) > s.cfg.MaxLostMs || t.evictions >= 2*s.cfg.MaxTaskEvictions {
		return false
	}
	c := t.job.cust
	if c == j.cust {
		return j.rec.Urgent
	}
	if !guaranteed || c.contract == nil {
		return guaranteed
	}
	after := c.used.Sub(taken).Sub(t.size)
	g := c.contract.Guaranteed
	return after.CPUMilli >= g.CPUMilli || after.MemoryMB >= g.MemoryMB
}

// excludeNominated excludes workers whose free capacity is reserved for another job.
func excludeNominated(p *placement, w *worker) string {
	if w.nominee == nil || w.nominee == p.job || p.nowMs >= w.nomineeMs {
		return ""
	}
	if !p.size.Fits(w.free().Sub(w.nomineeSize)) {
		return "its room is kept for a job that is owed it"
	}
	return ""
}
