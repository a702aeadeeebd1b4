package dispatch

import "fmt"

const (
	// failuresToQuarantine is the number of consecutive failures, of different jobs or tasks, after which a worker is
	// considered broken. One task in fifty fails by itself, so three in a row have a probability of 1 in 125,000.
	failuresToQuarantine = 3
	// quarantineMs is how long a quarantined worker gets no work. One probe task follows.
	quarantineMs = 5000
	// fullBackoffMs is how long a worker that refused a start for lack of capacity gets no work.
	fullBackoffMs = 300
	// slowdownWeight is the weight of the newest measurement in a worker's mean slowdown.
	slowdownWeight = 0.3
	// maxSlowdown bounds a measured slowdown.
	maxSlowdown = 10.0
	// slowFactor is the slowdown from which a worker or a run counts as slow. Less is within the error of the estimates.
	slowFactor = 1.7
	// minSpeedSampleMs is the minimum age of a run whose speed is measured.
	minSpeedSampleMs = 400
	// stallTimeoutMs is how long a run may make no progress.
	stallTimeoutMs = 1500
	// bestEffortStallTimeoutMs is the same for a best-effort task, which may get no CPU for a while.
	bestEffortStallTimeoutMs = 5000
	// maxStallShift bounds the doubling of the stall timeout of a task: to 25 minutes, in which a task of 42 hours makes one percent.
	maxStallShift = 10
	// maxStartStallShift bounds it for the start of a long-running task.
	maxStartStallShift = 4
	// minMoveFactor is how many times longer the rest of a run must take than a new run elsewhere before it is moved.
	minMoveFactor = 1.6
	// minSuspectFactor is how many times longer than any estimate a run must take before it is compared with others, as that
	// costs a walk over the tasks of its step.
	minSuspectFactor = 1.2
	// minMoveGainMs is the minimum time that a move must gain.
	minMoveGainMs = 700
)

// health describes how well a worker performs.
type health struct {
	// streak counts failures since the last success.
	streak int
	// quarantinedUntilMs is when the quarantine ends. probe is the task that tests the worker after it, nil if there is
	// none.
	quarantinedUntilMs int64
	probe              *task
	fullUntilMs        int64
	// slowdown is the ratio of actual to estimated duration of runs on the worker; 0 if unknown.
	slowdown float64
}

// recordSuccess records that a run ended as done. The baseline is how long the task was expected to take.
func (h *health) recordSuccess(now int64, t *task, b baseline) {
	h.streak, h.probe, h.quarantinedUntilMs = 0, nil, 0
	if t.startedMs > 0 && !t.stage.step.BestEffort {
		since := t.startedMs
		if b.fromOrder && t.orderedMs > 0 {
			since = t.orderedMs
		}
		if ratio := float64(now-since) / float64(b.ms); ratio < slowFactor || !b.soundHere {
			h.updateSlowdown(ratio)
		}
	}
}

func (h *health) recordFailure(now int64, t *task) {
	h.streak++
	if h.streak >= failuresToQuarantine || h.probe == t {
		h.quarantinedUntilMs = now + quarantineMs
	}
}

// recordUp records that a long-running task is up. It has no end that could show whether the worker is sound, so being up
// counts as the success of a probe.
func (h *health) recordUp(t *task) {
	if h.probe == t {
		h.streak, h.probe, h.quarantinedUntilMs = 0, nil, 0
	}
}

// releaseProbe ends the probe if it was the task, however its run ended.
func (h *health) releaseProbe(t *task) {
	if h.probe == t {
		h.probe = nil
	}
}

func (h *health) recordRefusal(now int64) {
	h.quarantinedUntilMs = max(h.quarantinedUntilMs, now+quarantineMs/5)
}

func (h *health) recordFull(now int64) { h.fullUntilMs = now + fullBackoffMs }

func (h *health) updateSlowdown(ratio float64) {
	ratio = min(max(ratio, 0.2), maxSlowdown)
	if h.slowdown == 0 {
		h.slowdown = ratio
		return
	}
	h.slowdown += slowdownWeight * (ratio - h.slowdown)
}

// acceptsWork reports whether the worker may get work.
func (h *health) acceptsWork(now int64) bool {
	return now >= h.quarantinedUntilMs && now >= h.fullUntilMs && h.probe == nil
}

// slowdownFactor returns the slowdown used for placement, at least 1.
func (h *health) slowdownFactor() float64 {
	if h.slowdown < slowFactor {
		return 1
	}
	return h.slowdown
}

// moveSlowRuns moves runs that make no progress or are far slower than they would be elsewhere.
func (s *State) moveSlowRuns(w *worker) {
	if !w.listed || !w.reachable() || s.now.BootMs-w.lastReportMs > maxUnresponsiveMs {
		return
	}
	stalled := 0
	for _, t := range w.copyTasks() {
		if t.phase != running || t.stage.step.Gang || t.cpuShare < fullCPUShare {
			continue
		}
		if s.stalled(w, t) {
			if s.stopRun(t, stopStalled, fmt.Sprintf("no progress at %d%% for %d ms", t.percent, s.now.BootMs-t.progressedMs)) {
				stalled++
				t.avoidInstance = w.instance
				t.stalls++
			}
			continue
		}
		s.moveIfSlow(w, t)
	}
	if stalled > 0 {
		w.health.streak += stalled
		if w.health.streak >= failuresToQuarantine-1 {
			w.health.quarantinedUntilMs = s.now.BootMs + quarantineMs
			s.logDecision(Decision{Kind: DecisionQuarantine, Instance: w.instance, Reason: fmt.Sprintf("%d runs stalled", stalled)})
		}
	}
}

// stalled reports whether a run makes no progress.
func (s *State) stalled(w *worker, t *task) bool {
	limit, shift := int64(stallTimeoutMs), maxStallShift
	step := t.stage.step
	if step.BestEffort {
		limit = bestEffortStallTimeoutMs
	}
	if step.LongRunning {
		if t.percent >= 100 {
			return false
		}
		limit, shift = s.bounds.MaxStartDelay.Milliseconds(), maxStartStallShift
	}
	// A task that stalled before may just be slow to report progress, so each attempt doubles its timeout.
	limit = max(limit, s.taskMs(t.stage)/8) << min(t.stalls, shift)
	if w.lastReportMs-t.progressedMs < limit {
		return false
	}
	return !step.BestEffort || w.info.CPU-w.committedCPU > step.CPU
}

// moveIfSlow measures the speed of a run and stops it if a new run elsewhere would end much sooner.
func (s *State) moveIfSlow(w *worker, t *task) {
	age := w.lastReportMs - t.startedMs
	step := t.stage.step
	if step.LongRunning || step.BestEffort || age < minSpeedSampleMs || t.percent >= 95 {
		return
	}
	rate := float64(t.percent+1) / float64(age) // percent a millisecond
	remainingMs := float64(100-t.percent) / rate
	if float64(age)+remainingMs < minSuspectFactor*float64(min(s.taskMs(t.stage), s.stepMs(t.stage.job, t.stage.index), estimateMs(step))) {
		return
	}
	b := s.baseline(t, w)
	estimate := b.ms
	if age < estimate/3 || b.soundHere {
		return
	}
	if float64(age)+remainingMs > slowFactor*float64(estimate) {
		w.health.updateSlowdown((float64(age) + remainingMs) / float64(estimate))
	}
	newRunMs := float64(estimate)
	if step.Checkpointable && t.checkpoint != "" {
		newRunMs = newRunMs*float64(100-t.percent)/100 + float64(s.bounds.Restore.Milliseconds())
	}
	if remainingMs < minMoveFactor*newRunMs+minMoveGainMs {
		return
	}
	if to := s.choose(t, w); to != nil && to.health.slowdownFactor() == 1 {
		t.avoidInstance = w.instance
		s.stopRun(t, stopSlow, fmt.Sprintf("at %d%% after %d ms, %.0f ms left; elsewhere %.0f ms", t.percent, age, remainingMs, newRunMs))
	}
}
