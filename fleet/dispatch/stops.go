package dispatch

import (
	"fmt"

	"github.com/verbenakeel/verbenakeel/fleet/link"
)

// stopRun orders the task's run to stop.
func (s *State) stopRun(t *task, reason string) {
	if t.worker == nil || t.phase == stopping {
		return
	}
	if !t.recorded {
		// The start was never ordered; Committed skips it.
		s.release(t)
		return
	}
	s.logTaskDecision(DecisionStop, t, reason)
	if t.phase != done {
		t.phase = stopping
	}
	s.touch(t.worker)
	s.sendStop(t)
}

func (s *State) sendStop(t *task) {
	t.stopSentMs = s.now.BootMs
	if t.worker.connected && t.worker.info != nil {
		s.send(t.worker, link.Orders{Stops: []link.Stop{{Task: t.name().String(), Run: t.run}}})
		t.orderNumber = t.worker.ordersSent
	}
}

// resendStops repeats stops that had no effect, and stops of runs that were ordered to stop while their worker was
// unreachable.
func (s *State) resendStops(w *worker) {
	if !w.connected || w.info == nil {
		return
	}
	for _, t := range w.copyTasks() {
		ending := t.phase == stopping || t.phase == done
		if ending && s.now.BootMs-t.stopSentMs > stopResendMs {
			s.sendStop(t)
		}
	}
}

// requeueExpired requeues the tasks on a worker whose lease has certainly expired.
func (s *State) requeueExpired(w *worker) {
	if s.now.BootMs < w.leaseExpiresMs {
		return
	}
	for _, t := range w.copyTasks() {
		if w.connected && w.listed && w.reported && w.unresponsiveMs < maxUnresponsiveMs && t.phase != stopping {
			continue // the worker answers, and its lists show which runs expired
		}
		if !t.recorded || w.connected && t.orderNumber > w.ordersDone {
			continue // not ordered yet, or the order is still unanswered
		}
		s.logTaskDecision(DecisionRequeued, t, "its lease has expired")
		s.handleRunEnded(t)
	}
}

// evictFromDraining stops runs on a draining worker that would not finish in time.
func (s *State) evictFromDraining(w *worker) {
	if !w.info.Draining {
		return
	}
	for _, t := range w.copyTasks() {
		if t.phase != running || s.now.BootMs-w.lastReportMs > maxUnresponsiveMs {
			continue
		}
		remainingMs := int64(s.remainingTaskMs(t))
		if t.stage.step.LongRunning || remainingMs > max(w.info.RemainingMs, minDrainingMs) {
			s.stopRun(t, fmt.Sprintf("its worker is draining and terminates in %d ms", w.info.RemainingMs))
		}
	}
}
