package dispatch

// Obstacle is what keeps a worker from a task. Its text is part of the answer to operators.
type Obstacle string

// Obstacles, in the order in which they are examined: of several, the first one is named.
const (
	noObstacle Obstacle = ""
	// ObstacleUnreachable means that the worker or its side process has not answered recently, or has not listed its runs yet.
	ObstacleUnreachable Obstacle = "unreachable"
	// ObstacleDraining means that the worker is drained or terminates.
	ObstacleDraining Obstacle = "draining"
	// ObstacleUnknownRuns means that runs that belong to no task are still active on the worker.
	ObstacleUnknownRuns Obstacle = "unknown_runs"
	// ObstacleZone means that the availability zone of the worker is out of service.
	ObstacleZone Obstacle = "zone_out_of_service"
	// ObstacleQuarantined means that runs failed or stalled on the worker, or that it is on trial after that and has as many tasks as it may.
	ObstacleQuarantined Obstacle = "quarantined"
	// ObstaclePaused means that the worker has just refused a start for lack of capacity.
	ObstaclePaused Obstacle = "refused_start"
	// ObstacleMemory and ObstacleAccelerators mean that too much is reserved.
	ObstacleMemory       Obstacle = "memory"
	ObstacleAccelerators Obstacle = "accelerators"
	// ObstacleService means that the worker belongs to another service than the queue.
	ObstacleService Obstacle = "other_service"
	// ObstacleLabel means that the worker lacks the label that the step requires.
	ObstacleLabel Obstacle = "label"
	// ObstacleLimit means that the step has as many tasks on the worker as it may have.
	ObstacleLimit Obstacle = "limit_per_worker"
	// ObstacleCPU means that too much CPU is reserved or used.
	ObstacleCPU Obstacle = "cpu"
	// ObstacleHeadroom means that a best-effort task would get too little CPU beside the latency-critical tasks.
	ObstacleHeadroom Obstacle = "no_headroom"
	// ObstaclePermission means that the adviser has not permitted the step on the worker, or that the ticket has expired. It is
	// examined last: nothing else keeps the worker from the task.
	ObstaclePermission Obstacle = "no_permission"
)

// unavailability returns why the worker may not be given any new task.
func (s *State) unavailability(w *worker) Obstacle {
	switch {
	case !w.reachable() || !w.listed || s.now.BootMs-w.lastReportMs >= maxUnresponsiveMs:
		return ObstacleUnreachable
	case w.info.Draining || w.leaving:
		return ObstacleDraining
	case len(w.unknownRuns) > 0:
		return ObstacleUnknownRuns
	case s.evacuatedZones[w.info.Zone]:
		return ObstacleZone
	case w.health.acceptsWork(s.now.BootMs):
		return noObstacle
	case w.health.isDistrusted(s.now.BootMs):
		return ObstacleQuarantined
	}
	return ObstaclePaused
}

// misfit returns why the worker may not run the task or lacks the memory or accelerators for it.
func (s *State) misfit(t *task, w *worker) Obstacle {
	st := t.stage.step
	switch {
	case w.committedMem+st.MemMB > w.info.MemMB:
		return ObstacleMemory
	case w.committedGPU+st.GPU > w.info.GPU:
		return ObstacleAccelerators
	}
	return s.ineligibility(t, w)
}

// ineligibility returns why the worker may not run the task, whatever its capacity.
func (s *State) ineligibility(t *task, w *worker) Obstacle {
	st := t.stage.step
	q := s.queue(t.stage.job)
	if q.Service != w.info.Service {
		return ObstacleService
	}
	if st.Requires != "" && !hasLabel(w, st.Requires) {
		return ObstacleLabel
	}
	if st.MaxPerWorker != 0 && s.countSameStage(t, w) >= st.MaxPerWorker {
		return ObstacleLimit
	}
	if q.Advice != nil && !s.holdsTicket(t.stage, w) {
		return ObstaclePermission
	}
	return noObstacle
}

// assess returns the placement cost of a task that is not on the worker, without the cost of the instance that the task
// avoids, or what keeps the worker from it. The cost is also returned if that is only the adviser's permission.
func (s *State) assess(t *task, w *worker) (float64, Obstacle) {
	distrust := 0.0
	switch o := s.unavailability(w); {
	case o == ObstacleQuarantined && t.stage.overdue:
		distrust = distrustCost
	case o != noObstacle:
		return 0, o
	}
	permission := s.misfit(t, w)
	if permission != noObstacle && permission != ObstaclePermission {
		return 0, permission
	}
	if !t.stage.step.BestEffort {
		if w.committedCPU+t.stage.step.CPU > w.info.CPU {
			return 0, ObstacleCPU
		}
		return distrust + s.baseCost(t, w, 1), permission
	}
	if w.unusedCPU() < minDemandShare*float64(t.stage.step.CPU) {
		return 0, ObstacleCPU
	}
	shares := s.bestEffortShares(t, w)
	if !shares.suffice() {
		return 0, ObstacleHeadroom
	}
	return distrust + s.baseCost(t, w, shares.expected), permission
}
