package scheduler

import (
	"container/heap"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/verbenakeel/verbenakeel/record"
)

// longRunningEnded restarts a long-running task after an attempt ended, once per incident. The backoff grows with each
// failure.
func (s *State) longRunningEnded(nowMs int64, t *task, e record.End, ranMs int64) {
	j := t.job
	if j == nil || j.cancelled || j.rec.Kind == record.BatchJob || t.phase != phaseIdle {
		return
	}
	moved := t.evictMs != 0 && !t.hung && (e.Outcome == record.Checkpointed || e.Outcome == record.Stopped)
	if j.rec.Kind == record.ServiceJob {
		// A replica is replaced by the caller: by the same task, or by a new one if its worker is unresponsive.
		if !moved {
			s.alert(Alert{Code: AlertLongRunningStopped, Job: j.rec.ID, Task: t.id, Message: fmt.Sprintf(
				"service replica ended in attempt %d as %s: %s", e.Attempt, e.Outcome, e.Reason)})
		}
		return
	}
	wait := int64(0)
	if !moved {
		if ranMs >= s.cfg.LongRunningStableMs {
			t.backoff = nil
		}
		if t.backoff == nil {
			t.backoff = backoff.NewExponentialBackOff()
			t.backoff.InitialInterval = time.Duration(s.cfg.BackoffMs) * time.Millisecond
			t.backoff.MaxInterval = time.Duration(s.cfg.BackoffMaxMs) * time.Millisecond
			t.backoff.Multiplier = 2
			// No jitter, since the policy is deterministic.
			t.backoff.RandomizationFactor = 0
		}
		wait = t.backoff.NextBackOff().Milliseconds()
		t.recordCause("attempt %d ended as %s: restarted in %d ms", e.Attempt, e.Outcome, wait)
		s.alert(Alert{Code: AlertLongRunningStopped, Job: j.rec.ID, Task: t.id, Message: fmt.Sprintf(
			"attempt %d ended as %s: %s; restarted in %d ms", e.Attempt, e.Outcome, e.Reason, wait)})
	}
	t.nextAttempt, t.queuedMs, t.notBeforeMs = max(t.nextAttempt, e.Attempt+1), nowMs, nowMs+wait
	if wait == 0 {
		s.enqueue(nowMs, t)
		return
	}
	t.phase = phaseDelayed
	heap.Push(&s.delayed, delayedTask{t, t.notBeforeMs})
}

// enqueueDelayed queues the tasks whose backoff has expired.
func (s *State) enqueueDelayed(nowMs int64) {
	for len(s.delayed) > 0 && s.delayed[0].atMs <= nowMs {
		d := heap.Pop(&s.delayed).(delayedTask)
		if d.task.phase == phaseDelayed && d.task.notBeforeMs == d.atMs {
			s.enqueue(nowMs, d.task)
		}
	}
}

type delayedTask struct {
	task *task
	atMs int64
}

type delayHeap []delayedTask

func (h delayHeap) Len() int      { return len(h) }
func (h delayHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h delayHeap) Less(a, b int) bool {
	if h[a].atMs != h[b].atMs {
		return h[a].atMs < h[b].atMs
	}
	return h[a].task.id < h[b].task.id
}
func (h *delayHeap) Push(x any) { *h = append(*h, x.(delayedTask)) }
func (h *delayHeap) Pop() any {
	old := *h
	d := old[len(old)-1]
	old[len(old)-1] = delayedTask{}
	*h = old[:len(old)-1]
	return d
}

// checkLongRunning checks a bounded number of running long-running tasks and restarts those without progress. Progress
// is checked only while the worker itself reports; tasks on an unresponsive worker are restarted when their leases
// expire.
func (s *State) checkLongRunning(nowMs int64) {
	for n := min(s.cfg.ChecksPerCall, len(s.longRunning)); n > 0; n-- {
		if s.nextLongRunning >= len(s.longRunning) {
			s.nextLongRunning = 0
		}
		t := s.longRunning[s.nextLongRunning]
		if t.phase != phaseRunning || t.job == nil || t.job.cancelled {
			last := len(s.longRunning) - 1
			s.longRunning[s.nextLongRunning] = s.longRunning[last]
			s.longRunning[last] = nil
			s.longRunning = s.longRunning[:last]
			t.supervised = false
			if last == 0 {
				return
			}
			continue
		}
		s.nextLongRunning++
		s.checkProgress(nowMs, t)
	}
}

func (s *State) checkProgress(nowMs int64, t *task) {
	w := t.worker
	alive := max(t.startMs, t.progressMs)
	if t.evictMs != 0 || w.reportMs-alive < s.cfg.HangTimeoutMs {
		// A worker without any report for twice HangTimeoutMs is reported once per incident.
		if w.up && t.evictMs == 0 && nowMs-max(w.reportMs, t.startMs) >= 2*s.cfg.HangTimeoutMs && !t.lostAlerted {
			t.lostAlerted = true
			s.alert(Alert{Code: AlertLongRunningLost, Job: t.job.rec.ID, Task: t.id, Worker: w.id,
				Message: fmt.Sprintf("its worker sent no usage report for %d s", (nowMs-max(w.reportMs, t.startMs))/1000)})
		}
		return
	}
	t.hung = true
	s.alert(Alert{Code: AlertLongRunningHung, Job: t.job.rec.ID, Task: t.id, Worker: w.id,
		Message: fmt.Sprintf("no progress for %d s; restarting it elsewhere", (w.reportMs-alive)/1000)})
	t.avoidWorker(w.id)
	s.evict(nowMs, t, "no progress")
}

// alertLongRunningLost raises an alert for each long-running task and service replica on a worker that is out of
// contact.
func (s *State) alertLongRunningLost(w *worker) {
	for _, t := range w.tasks {
		if t.phase == phaseRunning && t.job != nil && t.job.rec.Kind != record.BatchJob && !t.lostAlerted {
			t.lostAlerted = true
			s.alert(Alert{Code: AlertLongRunningLost, Job: t.job.rec.ID, Task: t.id, Worker: w.id,
				Message: "its worker is out of contact; it is restarted elsewhere when its lease has ended"})
		}
	}
}
