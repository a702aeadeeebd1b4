package dispatch

import "fmt"

const (
	// rebalanceIntervalMs is the minimum time between two moves of latency-critical tasks. A move takes a task down for
	// about 1 s.
	rebalanceIntervalMs = 200
	// minRebalanceAgeMs is the minimum time that a latency-critical task runs on a worker before it is moved again.
	minRebalanceAgeMs = 5000
	// minRebalanceGain is the minimum decrease of the co-location cost by a move.
	minRebalanceGain = 0.4
	// workersPerScan is the number of workers that one scan searches for a task to move.
	workersPerScan = 3
	// maxCandidates is the number of workers that are checked as a new place, which bounds the time of one scan.
	maxCandidates = 24
	// moveTimeoutMs is how long a moved task waits for its new place: for its own run to end and, in a swap, for the
	// other one.
	moveTimeoutMs = 1200
	// maxStoreAgeMs is the age of the store's last acknowledgement beyond which no task is moved, as it could not start
	// again.
	maxStoreAgeMs = 600
)

// rebalance moves one latency-critical task, or swaps two, so that tasks with interference from the same best-effort
// images share workers. They were placed before their images were measured, or when no better place was free.
func (s *State) rebalance() {
	now := s.now.BootMs
	if s.overload != keepsUp || len(s.sortedWorkers) == 0 || now-s.rebalancedMs < rebalanceIntervalMs || now-s.committedMs > maxStoreAgeMs {
		return
	}
	var best move
	var w *worker
	for range workersPerScan {
		w = s.sortedWorkers[s.rebalanceNext%len(s.sortedWorkers)]
		s.rebalanceNext++
		if !s.schedulable(w) || w.criticalTasks < 2 {
			continue
		}
		for _, t := range w.tasks {
			if s.movable(t) {
				s.findMove(t, w, &best)
			}
		}
		if best.to != nil {
			break
		}
	}
	if best.to == nil {
		return
	}
	s.rebalancedMs = now
	s.moveCritical(best.task, best.to, best.gain)
	if best.swap != nil {
		s.moveCritical(best.swap, w, best.gain)
	}
}

// awaitsMoveTarget reports whether a task is being moved to a worker that has no capacity for it yet.
func (s *State) awaitsMoveTarget(t *task) bool {
	return t.moveTarget != nil && s.now.BootMs < t.moveUntilMs && s.schedulable(t.moveTarget) && s.eligible(t, t.moveTarget) && !s.fits(t, t.moveTarget)
}

// readyMoveTarget returns the worker that a task is being moved to, if that has capacity, or nil.
func (s *State) readyMoveTarget(t *task) *worker {
	if t.moveTarget != nil && s.now.BootMs < t.moveUntilMs && s.schedulable(t.moveTarget) && s.fits(t, t.moveTarget) {
		return t.moveTarget
	}
	return nil
}

// move is a move of a latency-critical task to another worker; swap is the task that takes its place, or nil.
type move struct {
	task, swap *task
	to         *worker
	gain       float64
}

func (s *State) moveCritical(t *task, to *worker, gain float64) {
	from := t.worker.instance
	if s.stopRun(t, stopRebalanced, fmt.Sprintf("%s has more similar tasks, co-location cost %.2f less", to.instance, gain)) {
		t.avoidInstance, t.moveTarget, t.moveUntilMs = from, to, s.now.BootMs+moveTimeoutMs
	}
}

// movable reports whether a latency-critical task may be stopped to be started elsewhere: it is up, and no other task
// of its step is starting or stopping. If a step limits how many of its tasks may be unavailable (MaxUnavailable), all others must
// be at work.
func (s *State) movable(t *task) bool {
	if !s.isStable(t) {
		return false
	}
	if t.stage.step.MaxUnavailable > 0 {
		return s.unavailableBeside(t) == 0
	}
	for i := range t.stage.tasks {
		o := &t.stage.tasks[i]
		if o == t || o.phase == running && o.percent >= 100 {
			continue
		}
		if o.phase != waiting {
			return false
		}
	}
	return true
}

// isStable reports whether a long-running task has been up on its worker for minRebalanceAgeMs.
func (s *State) isStable(t *task) bool {
	return t.servesRequests() && t.stage.step.LongRunning && !t.stage.step.Gang && s.now.BootMs-t.startedMs > minRebalanceAgeMs
}

// findMove searches the next workers for a better place for a latency-critical task, and stores the move if it beats
// best.
func (s *State) findMove(t *task, w *worker, best *move) {
	here := s.colocationCost(t, w)
	if here < minRebalanceGain {
		return
	}
	for i := range min(maxCandidates, len(s.sortedWorkers)) {
		to := s.sortedWorkers[(s.rebalanceNext+s.rebalanceOffset+i)%len(s.sortedWorkers)]
		if to == w || !s.schedulable(to) || to.criticalTasks == 0 {
			continue
		}
		gain := here - s.colocationCost(t, to)
		if gain < max(minRebalanceGain, best.gain) {
			continue
		}
		if s.fits(t, to) {
			*best = move{task: t, to: to, gain: gain}
			continue
		}
		s.findSwap(t, w, to, gain, best)
	}
	s.rebalanceOffset += maxCandidates
}

// findSwap searches a worker for a latency-critical task to swap with t, where both fit and the total cost decreases.
func (s *State) findSwap(t *task, w, to *worker, gain float64, best *move) {
	for _, o := range to.tasks {
		if !s.isStable(o) || o.stage == t.stage || !s.swappable(t, w, o, to) {
			continue
		}
		if both := gain + s.colocationCost(o, to) - s.colocationCost(o, w); both > max(2*minRebalanceGain, best.gain) && s.movable(o) {
			*best = move{task: t, swap: o, to: to, gain: both}
		}
	}
}

// swappable reports whether two tasks fit in each other's place.
func (s *State) swappable(t *task, w *worker, o *task, to *worker) bool {
	a, b := t.stage.step, o.stage.step
	if w.committedCPU-a.CPU+b.CPU > w.info.CPU || to.committedCPU-b.CPU+a.CPU > to.info.CPU {
		return false
	}
	if w.committedMem-a.MemMB+b.MemMB > w.info.MemMB || to.committedMem-b.MemMB+a.MemMB > to.info.MemMB {
		return false
	}
	return a.GPU == b.GPU && s.eligible(t, to) && s.eligible(o, w)
}
