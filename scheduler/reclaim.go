package scheduler

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/verbenakeel/verbenakeel/record"
)

// reclaimEveryMs is the least time between two tries to take back room for one job.
const reclaimEveryMs = 250

// maxWaits times ReclaimWaitMs is how long a job is blocked at most before room is taken back although other jobs of its
// customer get room.
const maxWaits = 4

// maxReclaimed bounds the workers looked at in one try.
const maxReclaimed = 16

// reclaim makes room for a task that is urgent or within its customer's guaranteed share and found none. First a worker
// is kept for it, so that small tasks do not take each bit of room that appears; if it still waits and running tasks are
// not expected to free the room in time, batch work of customers beyond their guaranteed share is evicted there.
func (s *State) reclaim(nowMs int64, j *job, size record.Resources, owed bool) {
	if j.blockedMs == 0 || nowMs-j.askedMs > s.cfg.ReclaimWaitMs {
		// It was not tried for long, so what it waited was mostly while its customer used its whole guarantee.
		j.blockedMs = nowMs
	}
	j.askedMs = nowMs
	keep, evict := s.cfg.KeepMs, s.cfg.ReclaimMs
	if j.rec.Urgent {
		keep, evict = 0, s.cfg.ReclaimUrgentMs
	}
	waited := nowMs - j.blockedMs
	if nowMs-j.triedMs < reclaimEveryMs {
		return
	}
	if waited < keep || s.reclaims >= s.cfg.ReclaimsPerCall || j.reclaimMs != 0 && nowMs-j.reclaimMs < s.cfg.NominateMs {
		return
	}
	p := &placing{s: s, nowMs: nowMs, task: j.next(), job: j, size: size}
	j.triedMs = nowMs
	kept := j.nominated != nil && j.nominated.nominee == j && nowMs < j.nominated.nomineeMs
	if waited < evict || !j.rec.Urgent && (nowMs-j.cust.startedMs < s.cfg.ReclaimGapMs || s.freesInTime(p, kept)) {
		if !kept {
			s.reclaims++
			s.nominate(p, s.soonestFit(p))
		}
		return
	}
	s.reclaims++
	var best *worker
	var bestVictims []*task
	var bestCost int64
	s.eachUsable(p, func(w *worker) {
		victims, cost, ok := s.victims(nowMs, w, j, size, owed)
		if ok && (best == nil || cost < bestCost) && excludeHarmful(p, w) == "" {
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

// eachUsable calls f for a bounded number of workers on which the task could run if they had room.
func (s *State) eachUsable(p *placing, f func(w *worker)) {
	n := len(s.order)
	for i := range min(n, maxReclaimed) {
		w := s.order[(s.cursor+i)%n]
		if w.nominee != nil && w.nominee != p.job && p.nowMs < w.nomineeMs || w.probation || !p.size.Fits(w.capacity) ||
			excludeDown(p, w) != "" || excludeZoneOut(p, w) != "" || excludeAvoided(p, w) != "" || excludeAccelerators(p, w) != "" {
			continue
		}
		f(w)
	}
	s.cursor = (s.cursor + maxReclaimed) % max(n, 1)
}

// soonestFit returns the worker on which running tasks are expected to free the room first. Of those that free it at the
// same time it is the one that lacks least.
func (s *State) soonestFit(p *placing) *worker {
	var best *worker
	var bestIn, bestLack int64
	s.eachUsable(p, func(w *worker) {
		in, free := s.freesIn(p.nowMs, w, p.size), w.free()
		lack := max(p.size.CPUMilli-free.CPUMilli, 0) + max(p.size.MemoryMB-free.MemoryMB, 0) +
			16_000*max(p.size.Accelerators-free.Accelerators, 0)
		if (best == nil || in < bestIn || in == bestIn && lack < bestLack) && excludeHarmful(p, w) == "" {
			best, bestIn, bestLack = w, in, lack
		}
	})
	return best
}

// freesInTime reports whether running tasks are expected to free room for the job within ReclaimWaitMs of when it was
// blocked or its customer last got room, so that nothing need be evicted for it.
func (s *State) freesInTime(p *placing, kept bool) bool {
	j := p.job
	waitLeft := max(j.blockedMs, j.cust.startedMs) + s.cfg.ReclaimWaitMs - p.nowMs
	if p.nowMs-j.blockedMs > maxWaits*s.cfg.ReclaimWaitMs {
		waitLeft = 0
	}
	w := j.nominated
	if !kept {
		w = s.soonestFit(p)
	}
	return w != nil && s.freesIn(p.nowMs, w, p.size) <= waitLeft
}

// never is the time in which room is freed that no running batch task holds.
const never = math.MaxInt64

// freesIn returns in how many milliseconds running batch tasks are expected to have freed room for size on w.
func (s *State) freesIn(nowMs int64, w *worker, size record.Resources) int64 {
	free, in := w.free(), int64(0)
	s.ending = s.ending[:0]
	for _, t := range w.tasks {
		if t.phase != phaseRunning || t.job == nil || t.job.rec.Kind != record.BatchJob {
			continue
		}
		// Nothing is known of when a task ends that runs longer than expected.
		if left := t.remainingMs(nowMs); left > 0 {
			s.ending = append(s.ending, ending{left, t.size})
		}
	}
	slices.SortFunc(s.ending, func(a, b ending) int { return cmp.Compare(a.inMs, b.inMs) })
	for _, e := range s.ending {
		if size.Fits(free) {
			return in
		}
		in, free = e.inMs, free.Add(e.size)
	}
	if size.Fits(free) {
		return in
	}
	return never
}

// ending is when a task is expected to end, and the room that it frees.
type ending struct {
	inMs int64
	size record.Resources
}

// nominate keeps the room of a worker for the job.
func (s *State) nominate(p *placing, w *worker) {
	j := p.job
	if j.nominated != nil && j.nominated.nominee == j {
		j.nominated.nominee = nil
	}
	j.nominated = w
	if w != nil {
		w.nominee, w.nomineeMs, w.nomineeSize = j, p.nowMs+s.cfg.NominateMs, p.size
	}
}

// victims returns the tasks to evict from w so that size fits, and the run time in milliseconds this loses or delays.
func (s *State) victims(nowMs int64, w *worker, j *job, size record.Resources, owed bool) (out []*task, cost int64, ok bool) {
	free := w.free()
	var lent map[*customer]record.Resources
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
		if lent == nil {
			lent = make(map[*customer]record.Resources)
		}
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
