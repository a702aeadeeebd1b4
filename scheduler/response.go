package scheduler

import (
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"github.com/verbenakeel/verbenakeel/record"
)

// fullShare is the share of a task that is not throttled.
const fullShare = 1000

// throttleSteps are the shares a task is throttled to, one after the other, before it is moved.
var throttleSteps = []int64{fullShare, 500, 250}

// respond acts on the newest report of a worker: it throttles the batch task that is blamed most, moves it if that
// was not enough, and lifts throttles one step at a time once the worker has been calm for several reports.
func (s *State) respond(nowMs int64, w *worker, worst *task, slow float64) {
	s.repeatThrottles(nowMs, w)
	switch {
	case worst != nil && slow*1000 >= float64(s.cfg.HotMilli):
		w.hot++
		w.calm = 0
		if w.hot >= s.cfg.HotReports {
			w.hot = 0
			s.relieve(nowMs, w, worst, slow)
		}
	case slow*1000 < float64(s.cfg.CalmMilli):
		w.hot = 0
		if w.calm++; w.calm >= s.cfg.CalmReports {
			w.calm = 0
			s.lift(nowMs, w)
		}
	default:
		// Between the two limits nothing changes.
		w.hot, w.calm = 0, 0
	}
}

// relieve throttles the task blamed most for the slowdown of v, or moves it.
func (s *State) relieve(nowMs int64, w *worker, v *task, slow float64) {
	culprit := s.blame(nowMs, w, v)
	if culprit == nil {
		return
	}
	reason := fmt.Sprintf("%s on %s is slowed by %.0f%%; class %q is blamed most", v.id, w.id, slow*100, culprit.job.rec.Class)
	for _, share := range throttleSteps {
		if share < culprit.shareMilli {
			s.throttle(nowMs, culprit, share, reason)
			return
		}
	}
	s.move(nowMs, culprit, reason)
}

// blame returns the batch task that adds most to the slowdown of v, preferring those without deadline risk.
func (s *State) blame(nowMs int64, w *worker, v *task) *task {
	var best *task
	bestHarm := 0.0
	for _, t := range w.tasks {
		if t.phase != phaseRunning || t.job == nil || t.job.rec.Kind != record.BatchJob || t.job.rec.Urgent || t.evictMs != 0 {
			continue
		}
		h := harm(v.job.class, t.job.class) * t.pressure()
		if s.tight(nowMs, t) {
			h /= 4
		}
		// A task at the last step that may not be moved is no use; the next one is taken.
		if t.shareMilli <= throttleSteps[len(throttleSteps)-1] && s.mayMove(nowMs, t) != "" {
			continue
		}
		if h > bestHarm || best == nil && h > 0 {
			best, bestHarm = t, h
		}
	}
	return best
}

// tight reports whether a running task is expected to miss its deadline if it is slowed.
func (s *State) tight(nowMs int64, t *task) bool {
	j := t.job
	return j.rec.DeadlineMs > 0 && nowMs+t.remainingMs(nowMs)+s.cfg.RiskMarginMs/2 > j.rec.DeadlineMs
}

// remainingMs is the run time that a running task is expected to need still.
func (t *task) remainingMs(nowMs int64) int64 {
	return max(t.job.expectedRunMs()-t.checkpointMs-(nowMs-t.startMs), 0)
}

func (s *State) throttle(nowMs int64, t *task, share int64, reason string) {
	t.shareMilli, t.throttledMs, t.throttleRepeats = share, nowMs, 2
	t.worker.stale = true
	t.because("throttled to %d thousandths: %s", share, reason)
	s.pending = append(s.pending, ThrottleTask{Task: t.id, Attempt: t.attempt, Worker: t.worker.id, ShareMilli: share, Reason: reason})
}

// repeatThrottles decides the newest throttles of a worker twice again, since nothing confirms that one arrived.
func (s *State) repeatThrottles(nowMs int64, w *worker) {
	for _, t := range w.tasks {
		if t.throttleRepeats > 0 && t.phase == phaseRunning && nowMs-t.throttledMs >= s.cfg.RepeatMs {
			t.throttleRepeats--
			t.throttledMs = nowMs
			s.pending = append(s.pending, ThrottleTask{Task: t.id, Attempt: t.attempt, Worker: w.id, ShareMilli: t.shareMilli, Reason: "repeated"})
		}
	}
}

// takePending appends the decisions made while events were applied, without those about attempts that have ended.
func (s *State) takePending(out []Decision) []Decision {
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

// lift raises the most throttled task of w by one step.
func (s *State) lift(nowMs int64, w *worker) {
	var low *task
	for _, t := range w.tasks {
		if t.phase == phaseRunning && t.shareMilli < fullShare && (low == nil || t.shareMilli < low.shareMilli) {
			low = t
		}
	}
	if low == nil {
		return
	}
	up := int64(fullShare)
	for _, share := range throttleSteps {
		if share > low.shareMilli {
			up = share
		}
	}
	s.throttle(nowMs, low, up, "the services beside it answer as usual")
}

// mayMove returns why a task may not be evicted to relieve a service; empty if it may.
func (s *State) mayMove(nowMs int64, t *task) string {
	switch {
	case nowMs-t.startMs < s.cfg.MinStayMs:
		return "it started only now"
	case t.lostMs(nowMs) > s.cfg.MaxLostMs:
		return "too much work would be lost"
	case t.remainingMs(nowMs) < s.cfg.MinStayMs:
		return "it is nearly done"
	case t.evictions >= s.cfg.TaskEvictions:
		return "it was moved often enough"
	case t.job.evictions >= s.cfg.TaskEvictions+t.job.rec.Tasks/4:
		return "its job was moved often enough"
	}
	return ""
}

// lostMs is the run time that evicting the task would lose.
func (t *task) lostMs(nowMs int64) int64 {
	if t.job != nil && t.job.rec.Checkpoint {
		return 0
	}
	return nowMs - t.startMs
}

// move evicts a task to relieve a service, within the budgets of its worker, its job and itself.
func (s *State) move(nowMs int64, t *task, reason string) {
	if why := s.mayMove(nowMs, t); why != "" {
		return
	}
	w := t.worker
	if w.evictions == nil {
		w.evictions = rate.NewLimiter(rate.Every(time.Duration(s.cfg.EvictEveryMs)*time.Millisecond), 1)
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
	t.because("evicted from %s: %s", t.worker.id, reason)
	s.evicting = append(s.evicting, t)
	s.pending = append(s.pending, EvictTask{record.Eviction{Task: t.id, Attempt: t.attempt, Reason: reason}})
}

// repeatEvictions decides evictions again that were dropped or had no effect.
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
