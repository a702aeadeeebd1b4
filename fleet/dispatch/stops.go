package dispatch

import "fmt"

// stopCause is why a run is stopped.
type stopCause uint8

const (
	// stopJobEnded stops the runs of a job that is cancelled or has failed, and stopRedundant runs of a task that is done.
	stopJobEnded stopCause = iota
	stopRedundant
	// stopGangEnded stops the members of a gang of which one has ended.
	stopGangEnded
	// stopDraining stops a run that would end with its worker.
	stopDraining
	// stopStalled and stopSlow stop a run that makes no progress, or would end much sooner elsewhere.
	stopStalled
	stopSlow
	// stopThrottled moves a best-effort task to a worker that has CPU for it, stopRebalanced a latency-critical one to where it is
	// disturbed less.
	stopThrottled
	stopRebalanced
)

// voluntary reports whether a stop can be left out or come later. Such stops keep to MaxUnavailable.
func (c stopCause) voluntary() bool { return c >= stopStalled }

// stopRun orders the task's run to stop and reports whether it did. A voluntary stop that the step does not allow now is left out.
func (s *State) stopRun(t *task, cause stopCause, reason string) bool {
	if t.worker == nil || t.phase == stopping {
		return false
	}
	if cause.voluntary() && !s.mayDisrupt(t) {
		return false
	}
	if !t.recorded || t.orderNumber == unsentOrder {
		// The start was never ordered, and will not be.
		s.release(t)
		return true
	}
	s.logTaskDecision(DecisionStop, t, reason)
	if t.phase != done {
		t.phase = stopping
	}
	s.touch(t.worker)
	s.sendStop(t)
	return true
}

// disruptionSettleMs is how long this decider must have seen a run at work. A run that an earlier decider has stopped may still be
// listed until the stop has taken effect, which takes up to 200 ms after it has arrived.
const disruptionSettleMs = 1000

// mayDisrupt reports whether a run may be stopped voluntarily. If the step limits how many of its tasks may be unavailable at once
// (MaxUnavailable), fewer others must be so, whatever the cause. A run that is not at work may always be stopped.
func (s *State) mayDisrupt(t *task) bool {
	limit := t.stage.step.MaxUnavailable
	return limit == 0 || t.phase != running || t.percent < 100 || s.unavailableBeside(t) < limit
}

// unavailableBeside counts the other tasks of the step that are not known to be at work.
func (s *State) unavailableBeside(t *task) int {
	n := 0
	for i := range t.stage.tasks {
		if o := &t.stage.tasks[i]; o != t && !s.atWork(o) {
			n++
		}
	}
	return n
}

// atWork reports whether a task of a long-running step is known to be at work.
func (s *State) atWork(t *task) bool {
	return t.phase == running && t.percent >= 100 && s.now.BootMs-t.startedMs >= disruptionSettleMs && t.worker.reachable() &&
		s.now.BootMs-t.worker.lastReportMs < maxUnresponsiveMs
}

func (s *State) sendStop(t *task) {
	t.stopSentMs = s.now.BootMs
	if t.worker.connected && t.worker.info != nil {
		s.queueStop(t)
	}
}

// resendStops repeats stops that the worker has answered and that had no effect, and orders those that ended with a connection or were
// decided while the worker was unreachable. Its side process repeats a stop until the worker answers.
func (s *State) resendStops(w *worker) {
	if !w.connected || w.info == nil {
		return
	}
	for _, t := range w.copyTasks() {
		ending := t.phase == stopping || t.phase == done
		unanswered := t.stopQueued || t.orderNumber > w.ordersDone
		if ending && !unanswered && s.now.BootMs-t.stopSentMs > stopResendMs {
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
		if !w.connected && t.phase == starting && t.orderedMs > 0 && s.now.BootMs < w.leaseExpiresMs+longestLease(s.bounds).Milliseconds() {
			// No list has shown the run. The next life of the worker may have taken its start, until the end of the known lease: the
			// deadline is by another clock, so that the run holds the longest lease from then on, and no report can say so.
			continue
		}
		s.logTaskDecision(DecisionRequeued, t, s.leaseExpiredReason(w))
		s.handleRunEnded(t)
	}
}

// leaseExpiredReason says which bound on the lease of a worker has passed.
func (s *State) leaseExpiredReason(w *worker) string {
	up := "its worker was not seen by this decider"
	if w.upMs > 0 {
		up = fmt.Sprintf("its worker was first seen %d ms ago", s.now.BootMs-w.upMs)
	}
	return fmt.Sprintf("its lease has expired, by %s; %s", w.leaseSource, up)
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
			s.stopRun(t, stopDraining, fmt.Sprintf("its worker is draining and terminates in %d ms", w.info.RemainingMs))
		}
	}
}
