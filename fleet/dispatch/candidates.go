package dispatch

import (
	"container/heap"
	"slices"
)

// candidate is a worker with capacity for the tasks of a stage.
type candidate struct {
	worker *worker
	// cost is the placement cost and version is worker.version at its evaluation.
	cost    float64
	version uint64
}

// candidates holds the workers with capacity for the tasks of a stage. All tasks of a stage have the same size, and a
// placement changes one worker only, so that one evaluation of the fleet serves the whole stage.
type candidates struct {
	// task stands for any waiting task of the stage.
	task *task
	heap candidateHeap
}

// candidateHeap is a heap of candidates, cheapest first.
type candidateHeap []candidate

// Len implements heap.Interface.
func (h candidateHeap) Len() int { return len(h) }

// Less implements heap.Interface. Workers of equal cost are ordered by instance.
func (h candidateHeap) Less(i, k int) bool {
	if h[i].cost != h[k].cost {
		return h[i].cost < h[k].cost
	}
	return h[i].worker.position < h[k].worker.position
}

// Swap implements heap.Interface.
func (h candidateHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }

// Push implements heap.Interface.
func (h *candidateHeap) Push(x any) { *h = append(*h, x.(candidate)) }

// Pop implements heap.Interface.
func (h *candidateHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

const (
	// minRescanMs is the minimum time between two comparisons of a waiting best-effort stage with all workers.
	minRescanMs = 50
	// rescanMsPerWorker adds to that time for each worker, so that the cost of these comparisons does not grow with the
	// fleet.
	rescanMsPerWorker = 1
)

// findCandidates returns the candidates for the tasks of a stage. A stage for which the previous pass found no worker is
// compared only with the workers that have changed since. The headroom for best-effort tasks also changes with the load
// that other workers report, so that their stages are compared with all workers again from time to time.
func (s *State) findCandidates(st *stage) *candidates {
	from := s.sortedWorkers
	rescan := st.step.BestEffort && s.now.BootMs-st.scannedMs >= minRescanMs+rescanMsPerWorker*int64(len(s.sortedWorkers))
	if st.exhaustedPass != 0 && st.exhaustedPass == s.pass-1 && !rescan && !st.overdue {
		from = s.passWorkers
	} else {
		st.scannedMs = s.now.BootMs
	}
	c := &candidates{task: &task{stage: st}}
	for _, w := range from {
		if cost, ok := s.evaluate(c.task, w); ok {
			c.heap = append(c.heap, candidate{w, cost, w.version})
		}
	}
	heap.Init(&c.heap)
	return c
}

// evaluate returns the placement cost of a task that is not on the worker, without the cost of the instance that the
// task avoids, and whether the worker has capacity for it.
func (s *State) evaluate(t *task, w *worker) (float64, bool) {
	cost, o := s.assess(t, w)
	return cost, o == noObstacle
}

// update evaluates a worker again after its reservations have changed.
func (c *candidates) update(s *State, w *worker) {
	if cost, ok := s.evaluate(c.task, w); ok {
		heap.Push(&c.heap, candidate{w, cost, w.version})
	}
}

// pop removes and returns the cheapest candidate whose evaluation is current, or nil.
func (c *candidates) pop() *candidate {
	for len(c.heap) > 0 {
		if top := heap.Pop(&c.heap).(candidate); top.version == top.worker.version {
			return &top
		}
	}
	return nil
}

// take removes and returns the cheapest worker for a task, or nil.
func (c *candidates) take(t *task) *worker {
	best := c.pop()
	if best == nil || t.avoidInstance != best.worker.instance {
		return best.workerOrNil()
	}
	// The second cheapest is better unless it costs more than the instance to avoid.
	second := c.pop()
	if second == nil {
		return best.worker
	}
	if best.cost+avoidCost <= second.cost {
		best, second = second, best
	}
	heap.Push(&c.heap, *best)
	return second.worker
}

func (c *candidate) workerOrNil() *worker {
	if c == nil {
		return nil
	}
	return c.worker
}

// touch records that a worker has changed, so that stages for which it had no capacity are compared with it again.
func (s *State) touch(w *worker) {
	w.version++
	if !w.changed {
		w.changed = true
		s.changedWorkers = append(s.changedWorkers, w)
	}
}

// rescan makes the next pass compare every stage with all workers.
func (s *State) rescan() {
	s.pass++
	s.placePending = true
}

// beginPass starts a placement pass over the workers that have changed since the previous one.
func (s *State) beginPass() {
	s.pass++
	s.passWorkers, s.changedWorkers = s.changedWorkers, s.passWorkers[:0]
	slices.SortFunc(s.passWorkers, func(a, b *worker) int { return a.position - b.position })
	for _, w := range s.passWorkers {
		w.changed = false
	}
}

// touchRecovered touches the workers that may get work again because a quarantine or a pause has ended.
func (s *State) touchRecovered() {
	s.distrusted = false
	for _, w := range s.sortedWorkers {
		obstacle := s.unavailability(w)
		now := obstacle == noObstacle
		s.distrusted = s.distrusted || obstacle == ObstacleQuarantined
		if now && !w.wasSchedulable {
			s.touch(w)
			s.placePending = true
		}
		w.wasSchedulable = now
	}
}
