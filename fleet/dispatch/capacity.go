package dispatch

const (
	// poolWeight is the weight of the newest measurement in the mean CPU use of best-effort tasks. A measurement is taken
	// with every ranking, at most every rankIntervalMs, so that the mean covers about two seconds.
	poolWeight = 0.03
	// poolFullMs is how long a best-effort task that found no worker shows that the pool of best-effort tasks is full. Until
	// then their CPU use does not show what they could get.
	poolFullMs = 1000
	// longRunningPatienceMs is how long a long-running task waits behind jobs that can be on time although a worker has room
	// for it twice over. It has to be placed within 3 s, of which a start takes up to 1 s.
	longRunningPatienceMs = 1000
	// maxYieldFactor times the starvation limit is how long tasks of a long-running job that is partly active wait behind
	// other jobs.
	maxYieldFactor = 2
)

// capacity returns the cores that jobs other than long-running ones can use. For best-effort jobs it is what their tasks
// have got recently, at least the CPU that is not reserved and at most what latency-critical tasks are expected to leave.
func (s *State) capacity() poolCores {
	low, high, used := 0.0, 0.0, 0.0
	for _, w := range s.sortedWorkers {
		if !s.schedulable(w) {
			continue
		}
		free := max(float64(w.info.CPU-w.committedCPU), 0)
		low += free
		high += free + (1-criticalUtilization)*float64(w.criticalCPU)
		for _, t := range w.tasks {
			used += t.bestEffortUse()
		}
	}
	if s.bestEffortUsed == 0 {
		s.bestEffortUsed = used
	}
	s.bestEffortUsed += poolWeight * (used - s.bestEffortUsed)
	c := poolCores{reserved: s.usableCores(), bestEffort: high * usableShare / 1000}
	if s.poolFullAtMs > 0 && s.now.BootMs-s.poolFullAtMs < poolFullMs {
		c.bestEffort = min(max(s.bestEffortUsed, low*usableShare), high*usableShare) / 1000
	}
	return c
}

// bestEffortUse returns the CPU that a best-effort task uses, in thousandths of a core: what its worker reported, or what
// is expected of one that was not reported yet.
func (t *task) bestEffortUse() float64 {
	switch {
	case !t.stage.step.BestEffort || t.phase == stopping:
		return 0
	case t.load > 0 || t.phase == running && t.cpuShare == 0:
		return float64(t.load)
	}
	return float64(t.stage.step.CPU) * usableShare
}

// reservedCPUScarce reports whether the tasks that wait for reserved CPU need more than half of what is free.
func (s *State) reservedCPUScarce() bool {
	free, wanted := int64(0), int64(0)
	for _, w := range s.sortedWorkers {
		if s.schedulable(w) {
			free += max(w.info.CPU-w.committedCPU, 0)
		}
	}
	for _, st := range s.readyStages {
		if !st.step.BestEffort {
			wanted += int64(st.waiting) * st.step.CPU
		}
	}
	return wanted > free/2
}

// startOverdue reports whether one task of a job is placed before other jobs of its priority: that of a job that reserves
// CPU and has had no active run for long, or that of a long-running job that is being moved, or waits although a worker has
// room for it twice over. The rest of the job is placed in the ordinary order.
func (s *State) startOverdue(j *job, scarce bool) bool {
	if j.state.Final() {
		return false
	}
	for _, st := range j.stages {
		if st.step.BestEffort || st.waiting == 0 || !st.ready(s.now.BootMs) {
			continue
		}
		limit := (s.bounds.StarvationLimit - starvationMargin).Milliseconds()
		if j.active == 0 && s.now.BootMs-max(j.lastActiveMs, st.dueMs, j.dueMs) > limit {
			// Also where CPU is free: memory, a label or the workers of the service may be scarce.
			return true
		}
		if !scarce || !st.step.LongRunning {
			continue
		}
		for i := range st.tasks {
			if t := &st.tasks[i]; t.phase == waiting && t.moveTarget != nil {
				return true
			}
		}
		waited := s.now.BootMs - max(st.waitingSinceMs, st.dueMs, j.dueMs)
		if waited > maxYieldFactor*s.bounds.StarvationLimit.Milliseconds() || waited > longRunningPatienceMs && s.hasRoomTwice(st) {
			return true
		}
	}
	return false
}

// hasRoomTwice reports whether a worker has room for two tasks of a stage.
func (s *State) hasRoomTwice(st *stage) bool {
	t := &task{stage: st}
	for _, w := range s.sortedWorkers {
		if w.info != nil && w.committedCPU+2*st.step.CPU <= w.info.CPU && w.committedMem+2*st.step.MemMB <= w.info.MemMB &&
			s.schedulable(w) && s.fitsExceptCPU(t, w) {
			return true
		}
	}
	return false
}
