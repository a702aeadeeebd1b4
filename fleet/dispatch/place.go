package dispatch

import (
	"fmt"
	"slices"
	"sort"
	"time"
)

const (
	// minPlacementShare is the minimum expected CPU share with which a best-effort task is placed.
	minPlacementShare = 0.6
	// minStartShare is the minimum CPU share for which there must be headroom where a best-effort task starts: it runs
	// unthrottled until its first CPU share reaches the worker.
	minStartShare = 0.8
	// minRunShare is the minimum CPU share that a best-effort task is expected to have at any moment of its run where it is
	// placed. Below it the task holds memory without making progress.
	minRunShare = 0.08
	// minDemandShare is the minimum part of its CPU demand that a best-effort task must be able to get.
	minDemandShare = 0.8
	// criticalUtilization is the part of their committed CPU that latency-critical tasks use.
	criticalUtilization = 0.4
	// packWeight is the cost of an empty worker over that of a full one for a latency-critical task. These tasks are
	// packed, so that best-effort tasks find workers on which they interfere with none.
	packWeight = 1.5
	// colocationWeight is the weight of colocationCost for a latency-critical task: if the tasks on each worker are
	// sensitive to the same best-effort images, a best-effort task finds more workers on which it interferes with none.
	colocationWeight = 4.0
	// avoidCost is the cost of the worker on which a task last failed, as a multiple of its duration.
	avoidCost = 4.0
	// distrustCost is the cost of a worker that gets no work because of what ran on it: more than anything else may cost.
	distrustCost = 1000.0
	// spreadWeight is the cost of a full worker over that of an empty one, as a multiple of a task's duration.
	// Spread-out work loses less when an instance is lost.
	spreadWeight = 0.2
)

// place starts waiting tasks where there is free capacity.
func (s *State) place() {
	s.placePending = false
	s.beginPass()
	readyStages, jobs := s.readyStages[:0], s.unfinishedJobs[:0]
	kept := s.stages[:0]
	for _, st := range s.stages {
		if st.job.state.Final() || st.done == len(st.tasks) {
			continue
		}
		kept = append(kept, st)
		if st.job.listedPass != s.pass {
			st.job.listedPass = s.pass
			jobs = append(jobs, st.job)
		}
		if st.waiting > 0 && st.ready(s.now.BootMs) {
			readyStages = append(readyStages, st)
		}
	}
	clear(s.stages[len(kept):])
	s.stages, s.readyStages, s.unfinishedJobs = kept, readyStages, jobs
	if len(readyStages) == 0 {
		return
	}
	s.rankIfStale(jobs)
	slices.SortStableFunc(readyStages, func(a, b *stage) int { return a.job.rank.compare(b.job.rank) })
	s.advisedStages = s.advisedStages[:0]
	for _, st := range readyStages {
		s.placeStage(st)
	}
	s.askAdviser()
	for _, st := range readyStages {
		st.overdue = false
	}
}

// placeStage places the waiting tasks of a stage.
func (s *State) placeStage(st *stage) {
	if s.shedsStarts(st) {
		return
	}
	s.recordTry(st)
	st.overdue = s.isOverdue(st)
	if s.queue(st.job).Advice != nil {
		s.advisedStages = append(s.advisedStages, st)
		if !s.hasTicket(st) {
			return
		}
	}
	if st.step.Gang {
		s.placeGang(st)
		return
	}
	c := s.findCandidates(st)
	for i := range st.tasks {
		t := &st.tasks[i]
		if t.phase != waiting || s.now.BootMs < t.notBeforeMs {
			continue
		}
		if s.awaitsMoveTarget(t) {
			continue
		}
		w := s.readyMoveTarget(t)
		if w == nil {
			w = c.take(t)
		}
		if w == nil && s.starved(st) {
			w = s.chooseOvercommitted(t)
		}
		if w == nil {
			st.exhaustedPass = s.pass
			if st.step.BestEffort {
				s.poolFullAtMs = s.now.BootMs
			}
			return // the other tasks are of the same size
		}
		distrusted := s.unavailability(w) == ObstacleQuarantined
		s.start(t, w, t.run+1)
		if distrusted && !st.step.LongRunning {
			return // the other tasks wait until one has shown that the worker is sound
		}
		c.update(s, w)
		if st.job.rank.late == dueFirst {
			// The other tasks of the job are placed in the ordinary order, after the next ranking.
			s.ranksStale, s.placePending = true, true
			return
		}
	}
}

// starved reports whether a best-effort job has had no active run for so long that it is placed on an overcommitted
// worker. Best-effort tasks share the CPU, so each of them makes progress.
func (s *State) starved(st *stage) bool {
	j := st.job
	if !st.step.BestEffort || j.active > 0 {
		return false
	}
	after := s.bounds.StarvationLimit - starvationMargin
	if s.lightlyUsed(s.queue(j).Service) {
		after = lightStarvationTimeout
	}
	return s.now.BootMs-max(j.lastActiveMs, st.dueMs, j.dueMs) > after.Milliseconds()
}

// isOverdue reports whether a stage has waited for so long while workers are distrusted that it may use these. What ran there may have
// failed by its own fault, and then no worker would be left for anybody. Only one task of a job is risked, but each task that lasts.
func (s *State) isOverdue(st *stage) bool {
	if !s.distrusted {
		return false
	}
	j := st.job
	waitedMs := s.now.BootMs - max(st.dueMs, j.dueMs)
	if st.step.LongRunning {
		return min(waitedMs, s.now.BootMs-st.waitingSinceMs) > lightStarvationTimeout.Milliseconds()
	}
	return j.active == 0 && min(waitedMs, s.now.BootMs-j.lastActiveMs) > lightStarvationTimeout.Milliseconds() && s.lightlyUsed(s.queue(j).Service)
}

// lightlyUsed reports whether a large part of a service's CPU is not committed. Distrusted workers count, as they may be sound.
func (s *State) lightlyUsed(service string) bool {
	used, all := int64(0), int64(0)
	for _, w := range s.sortedWorkers {
		if s.usable(w) && w.info.Service == service {
			used += w.committedCPU
			all += w.info.CPU
		}
	}
	return float64(used) < lightUseThreshold*float64(all)
}

const (
	// lightUseThreshold is the committed part of a service's CPU below which the service counts as lightly used: half,
	// with a margin for tasks that end in the meantime.
	lightUseThreshold = 0.6
	// lightStarvationTimeout is how long a best-effort job may have no active run on a lightly used service. A job for
	// which there is twice the capacity it needs may wait 3 s, of which a start takes up to 1 s.
	lightStarvationTimeout = 1800 * time.Millisecond
)

// starvationMargin is subtracted from the time within which every job must have an active run.
const starvationMargin = 5 * time.Second

// chooseOvercommitted returns the worker with enough free memory on which one more best-effort task interferes least,
// or nil.
func (s *State) chooseOvercommitted(t *task) *worker {
	var best *worker
	bestCost := 0.0
	for _, w := range s.sortedWorkers {
		if !s.schedulable(w) || !s.fitsExceptCPU(t, w) {
			continue
		}
		share, _ := s.expectedCPUShare(t, w)
		cost := -share + float64(w.committedCPU+w.bestEffortCPU)/float64(max(w.info.CPU, 1))
		if best == nil || cost < bestCost {
			best, bestCost = w, cost
		}
	}
	return best
}

// start reserves capacity for a run. The run is ordered once it is stored.
func (s *State) start(t *task, w *worker, run int) {
	t.run = run
	t.phase = starting
	t.recorded = false
	t.moveTarget = nil
	if win := t.stage.job.window; win != nil {
		win.blockedUntilMs[t.stage.index] = 0
	}
	s.reserve(t, w)
	s.pendingStarts = append(s.pendingStarts, pendingStart{t, run})
	if !t.stage.step.LongRunning {
		t.stage.overdue = false
	}
	s.markDirty(t.stage.job)
	s.logTaskDecision(DecisionStart, t, fmt.Sprintf("objective in %d ms, %d mCPU and %d MB free before the start", t.stage.job.deadline()-s.now.BootMs,
		w.info.CPU-w.committedCPU+t.stage.step.CPU, w.info.MemMB-w.committedMem+t.stage.step.MemMB))
}

// placeGang places all tasks of a gang or none.
func (s *State) placeGang(st *stage) {
	for i := range st.tasks {
		if st.tasks[i].phase != waiting {
			return
		}
	}
	run := st.gangRun
	for i := range st.tasks {
		run = max(run, st.tasks[i].run)
	}
	racks := []string{""}
	if st.step.RackLocal {
		racks = append(s.racks(), "")
	}
	for _, rack := range racks {
		if s.tryGang(st, run+1, rack) {
			st.gangRun = run + 1
			return
		}
	}
}

// tryGang places a gang on the workers of one rack, or on any if rack is empty.
func (s *State) tryGang(st *stage, run int, rack string) bool {
	placed := make([]*worker, 0, len(st.tasks))
	lastActiveMs := st.job.lastActiveMs
	for i := range st.tasks {
		t := &st.tasks[i]
		w := s.chooseIn(t, nil, rack)
		if w == nil {
			break
		}
		s.reserve(t, w)
		placed = append(placed, w)
	}
	// Roll back the tentative reservations before the real ones, which also record the starts.
	for i := range placed {
		t := &st.tasks[i]
		t.phase = starting
		s.release(t)
	}
	st.job.lastActiveMs = lastActiveMs
	if len(placed) < len(st.tasks) {
		return false
	}
	for i, w := range placed {
		st.tasks[i].checkpoint = st.gangCheckpoint
		s.start(&st.tasks[i], w, run)
	}
	return true
}

// racks returns the racks in the order of their names.
func (s *State) racks() []string {
	var racks []string
	for _, w := range s.sortedWorkers {
		if w.rack != "" {
			racks = append(racks, w.rack)
		}
	}
	sort.Strings(racks)
	kept := racks[:0]
	for i, r := range racks {
		if i == 0 || r != racks[i-1] {
			kept = append(kept, r)
		}
	}
	return kept
}

// choose returns the cheapest worker with capacity for the task, or nil. It skips the excluded worker.
func (s *State) choose(t *task, excluded *worker) *worker { return s.chooseIn(t, excluded, "") }

func (s *State) chooseIn(t *task, excluded *worker, rack string) *worker {
	var best *worker
	bestCost := 0.0
	for _, w := range s.sortedWorkers {
		if w == excluded || rack != "" && w.rack != rack {
			continue
		}
		cost, ok := s.evaluate(t, w)
		if !ok {
			continue
		}
		if t.avoidInstance == w.instance {
			cost += avoidCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = w, cost
		}
	}
	return best
}

// reachable reports whether the side process knows its worker and has recently received an answer from it.
func (w *worker) reachable() bool {
	return w.connected && w.reported && w.info != nil && w.unresponsiveMs < maxUnresponsiveMs
}

// schedulable reports whether the worker may be given new tasks.
func (s *State) schedulable(w *worker) bool { return s.unavailability(w) == noObstacle }

// usable reports whether the worker may be given new tasks, or would be if it were trusted.
func (s *State) usable(w *worker) bool {
	o := s.unavailability(w)
	return o == noObstacle || o == ObstacleQuarantined
}

// fits reports whether the worker has the capacity for the task and may run it.
func (s *State) fits(t *task, w *worker) bool {
	if !s.fitsExceptCPU(t, w) {
		return false
	}
	st := t.stage.step
	if st.BestEffort {
		if w.unusedCPU() < minDemandShare*float64(st.CPU) {
			return false
		}
		return s.bestEffortShares(t, w).suffice()
	}
	return w.committedCPU+st.CPU <= w.info.CPU
}

// unusedCPU returns the CPU that best-effort tasks are expected to find on a worker, in thousandths of a core.
func (w *worker) unusedCPU() float64 {
	return float64(w.info.CPU-w.committedCPU-w.bestEffortCPU) + (1-criticalUtilization)*float64(w.criticalCPU)
}

// fitsExceptCPU reports whether the worker may run the task and has the memory and accelerators for it.
func (s *State) fitsExceptCPU(t *task, w *worker) bool { return s.misfit(t, w) == noObstacle }

// eligible reports whether the worker may run the task, whatever its capacity.
func (s *State) eligible(t *task, w *worker) bool { return s.ineligibility(t, w) == noObstacle }

func hasLabel(w *worker, label string) bool {
	for _, l := range w.info.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// countSameStage counts other tasks of the same stage on the worker.
func (s *State) countSameStage(t *task, w *worker) int {
	n := 0
	for _, o := range w.tasks {
		if o.stage == t.stage && o != t {
			n++
		}
	}
	return n
}

// baseCost returns the expected duration on the worker, relative to a healthy worker on the preferred rack, plus
// penalties. expected is the expected CPU share of a best-effort task.
func (s *State) baseCost(t *task, w *worker, expected float64) float64 {
	st := t.stage.step
	c := w.health.slowdownFactor()
	if st.Rack != "" && st.Rack != w.rack {
		c *= s.bounds.OffRackFactor
	}
	cpu := float64(max(w.info.CPU, 1))
	if st.BestEffort {
		free := w.unusedCPU()
		if free < float64(st.CPU) {
			c *= float64(st.CPU) / max(free, 1)
		}
		c /= max(expected, 0.05)
	}
	if st.TargetMs > 0 {
		return c + packWeight*(1-float64(w.committedCPU)/cpu) + colocationWeight*s.colocationCost(t, w)
	}
	return c + spreadWeight*float64(w.committedCPU+w.bestEffortCPU)/cpu
}
