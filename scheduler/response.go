package scheduler

import (
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"github.com/verbenakeel/verbenakeel/record"
)

// fullShare is the CPU share of a task that is not throttled, in thousandths.
const fullShare = 1000

// throttleSteps are the CPU shares to which a task is throttled in turn before it is evicted.
var throttleSteps = []int64{fullShare, 500, 250}

// respond acts on the newest report of a worker. It throttles the batch task that contributes most to a slowdown,
// evicts it if throttling was not enough, and lifts throttles one step at a time after several consecutive reports
// without slowdown.
func (s *State) respond(nowMs int64, w *worker, worst *task, slow float64) {
	s.repeatThrottles(nowMs, w)
	switch {
	case worst != nil && slow*1000 >= float64(s.cfg.ThrottleAboveMilli):
		w.slowReports++
		w.normalReports = 0
		if w.slowReports >= s.cfg.ThrottleReports {
			w.slowReports = 0
			s.reduceInterference(nowMs, w, worst, slow)
		}
	case slow*1000 < float64(s.cfg.RestoreBelowMilli):
		w.slowReports = 0
		if w.normalReports++; w.normalReports >= s.cfg.RestoreReports {
			w.normalReports = 0
			s.relaxThrottle(nowMs, w)
		}
	default:
		// Between the two limits nothing changes (hysteresis).
		w.slowReports, w.normalReports = 0, 0
	}
}

// reduceInterference throttles or evicts the task that contributes most to the slowdown of v.
func (s *State) reduceInterference(nowMs int64, w *worker, v *task, slow float64) {
	contributor := s.largestContributor(nowMs, w, v)
	if contributor == nil {
		return
	}
	reason := fmt.Sprintf("%s on %s is slowed by %.0f%%; class %q is blamed most", v.id, w.id, slow*100, contributor.job.rec.Class)
	for _, share := range throttleSteps {
		if share < contributor.shareMilli {
			s.throttle(nowMs, contributor, share, reason)
			return
		}
	}
	s.evictForService(nowMs, contributor, reason)
}

// largestContributor returns the batch task that adds most to the slowdown of v, preferring tasks without deadline
// risk.
func (s *State) largestContributor(nowMs int64, w *worker, v *task) *task {
	var best *task
	bestHarm := 0.0
	for _, t := range w.tasks {
		if t.phase != phaseRunning || t.job == nil || t.job.rec.Kind != record.BatchJob || t.job.rec.Urgent || t.evictMs != 0 {
			continue
		}
		slowdown := slowdownPerCore(v.job.class, t.job.class) * t.effectiveCores()
		if s.deadlineTight(nowMs, t) {
			slowdown /= 4
		}
		// A task at the last throttle step that may not be evicted cannot be reduced further and is skipped.
		if t.shareMilli <= throttleSteps[len(throttleSteps)-1] && s.evictionBlocked(nowMs, t) != "" {
			continue
		}
		if slowdown > bestHarm || best == nil && slowdown > 0 {
			best, bestHarm = t, slowdown
		}
	}
	return best
}

// deadlineTight reports whether a running task is expected to miss its deadline if it is slowed.
func (s *State) deadlineTight(nowMs int64, t *task) bool {
	j := t.job
	return j.rec.DeadlineMs > 0 && nowMs+t.remainingMs(nowMs)+s.cfg.RiskMarginMs/2 > j.rec.DeadlineMs
}

// remainingMs returns the run time that a running task is still expected to need.
func (t *task) remainingMs(nowMs int64) int64 {
	return max(t.job.expectedRunMs()-t.checkpointMs-(nowMs-t.startMs), 0)
}

func (s *State) throttle(nowMs int64, t *task, share int64, reason string) {
	t.shareMilli, t.throttledMs, t.throttleRepeats = share, nowMs, 2
	t.worker.stale = true
	t.recordCause("throttled to %d thousandths: %s", share, reason)
	s.pending = append(s.pending, ThrottleTask{Task: t.id, Attempt: t.attempt, Worker: t.worker.id, ShareMilli: share, Reason: reason})
}

// repeatThrottles repeats the newest throttles of a worker twice, since no event confirms their delivery.
func (s *State) repeatThrottles(nowMs int64, w *worker) {
	for _, t := range w.tasks {
		if t.throttleRepeats > 0 && t.phase == phaseRunning && nowMs-t.throttledMs >= s.cfg.RepeatMs {
			t.throttleRepeats--
			t.throttledMs = nowMs
			s.pending = append(s.pending, ThrottleTask{Task: t.id, Attempt: t.attempt, Worker: w.id, ShareMilli: t.shareMilli, Reason: "repeated"})
		}
	}
}

// appendPending appends the decisions made while events were applied, except those for attempts that have ended.
func (s *State) appendPending(out []Decision) []Decision {
	runs := func(id string, attempt uint32) bool {
		t := s.tasks[id]
		return t != nil && t.phase == phaseRunning && t.attempt == attempt
	}
	for _, d := range s.pending {
		switch d := d.(type) {
		case ThrottleTask:
			if runs(d.Task, d.Attempt) {
				out = append(out, d)
			}
		case EvictTask:
			if runs(d.Task, d.Attempt) {
				out = append(out, d)
			}
		}
	}
	clear(s.pending)
	s.pending = s.pending[:0]
	return out
}

// relaxThrottle raises the CPU share of the most throttled task of w by one step.
func (s *State) relaxThrottle(nowMs int64, w *worker) {
	var lowest *task
	for _, t := range w.tasks {
		if t.phase == phaseRunning && t.shareMilli < fullShare && (lowest == nil || t.shareMilli < lowest.shareMilli) {
			lowest = t
		}
	}
	if lowest == nil {
		return
	}
	next := int64(fullShare)
	for _, share := range throttleSteps {
		if share > lowest.shareMilli {
			next = share
		}
	}
	s.throttle(nowMs, lowest, next, "the services beside it answer as usual")
}

// evictionBlocked returns why a task may not be evicted for a service; empty if it may.
func (s *State) evictionBlocked(nowMs int64, t *task) string {
	switch {
	case nowMs-t.startMs < s.cfg.MinStayMs:
		return "it started only now"
	case t.lostMs(nowMs) > s.cfg.MaxLostMs:
		return "too much work would be lost"
	case t.remainingMs(nowMs) < s.cfg.MinStayMs:
		return "it is nearly done"
	case t.evictions >= s.cfg.MaxTaskEvictions:
		return "it was moved often enough"
	case t.job.evictions >= s.cfg.MaxTaskEvictions+t.job.rec.Tasks/4:
		return "its job was moved often enough"
	}
	return ""
}

// lostMs returns the run time that an eviction of the task would lose.
func (t *task) lostMs(nowMs int64) int64 {
	if t.job != nil && t.job.rec.Checkpoint {
		return 0
	}
	return nowMs - t.startMs
}

// evictForService evicts a task to reduce interference with a service, within the limits of its worker, its job and
// itself.
func (s *State) evictForService(nowMs int64, t *task, reason string) {
	if blocked := s.evictionBlocked(nowMs, t); blocked != "" {
		return
	}
	w := t.worker
	if w.evictions == nil {
		w.evictions = rate.NewLimiter(rate.Every(time.Duration(s.cfg.EvictionIntervalMs)*time.Millisecond), 1)
	}
	if !w.evictions.AllowN(time.UnixMilli(nowMs), 1) {
		return
	}
	s.evict(nowMs, t, reason)
}

// evict decides an eviction. It is repeated if the attempt has not ended after RepeatMs.
func (s *State) evict(nowMs int64, t *task, reason string) {
	t.evictMs = nowMs
	t.evictions++
	t.job.evictions++
	t.recordCause("evicted from %s: %s", t.worker.id, reason)
	s.evicting = append(s.evicting, t)
	s.pending = append(s.pending, EvictTask{record.Eviction{Task: t.id, Attempt: t.attempt, Reason: reason}})
}

// repeatEvictions repeats evictions that were dropped or had no effect.
func (s *State) repeatEvictions(nowMs int64, out []Decision) []Decision {
	kept := s.evicting[:0]
	for _, t := range s.evicting {
		if t.phase != phaseRunning || t.evictMs == 0 {
			continue
		}
		if nowMs-t.evictMs >= s.cfg.RepeatMs {
			t.evictMs = nowMs
			out = append(out, EvictTask{record.Eviction{Task: t.id, Attempt: t.attempt, Reason: "repeated: the attempt still runs"}})
		}
		kept = append(kept, t)
	}
	for i := len(kept); i < len(s.evicting); i++ {
		s.evicting[i] = nil
	}
	s.evicting = kept
	return out
}
