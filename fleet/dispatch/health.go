package dispatch

import (
	"fmt"
	"slices"
)

const (
	// failuresToQuarantine is the number of consecutive failures, of different jobs or tasks, after which a worker is
	// considered broken. One task in fifty fails by itself, so three in a row have a probability of 1 in 125,000.
	failuresToQuarantine = 3
	// maxFailures bounds the failures that are kept of a worker.
	maxFailures = 16
	// workersToBlameStage is the number of workers on which tasks of a stage must have failed, and none succeeded anywhere, for the
	// failures to be those of the stage. Two broken workers can fail all tasks of a narrow stage.
	workersToBlameStage = 3
	// quarantineMs is how long a quarantined worker gets no work. A trial with little work follows.
	quarantineMs = 5000
	// minTrialStepMs and maxTrialStepMs bound the time at work after which a worker on trial may have twice as many tasks: half of what
	// its tasks take, as a broken worker may fail them at their end. Most take less than the minimum, and have ended by then.
	minTrialStepMs = 2000
	maxTrialStepMs = 5000
	// maxTrialShift bounds the doubling.
	maxTrialShift = 12
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
	// failures holds, for the newest runs that failed here since the last success, what is known of their stages, at most maxFailures,
	// and stalls counts the runs that stalled since then.
	failures []*stageFailures
	stalls   int
	// quarantinedUntilMs is when the quarantine ends, forFailures is true if failed runs have caused it.
	quarantinedUntilMs int64
	forFailures        bool
	// trialTasks counts the tasks on the worker that were placed while it was on trial. trialBeganMs and trialSeenMs are when one of
	// them was first and last seen at work; 0 if none was.
	trialTasks                int
	trialBeganMs, trialSeenMs int64
	// trialStepMs is the time at work after which trialLimit doubles.
	trialStepMs int64
	fullUntilMs int64
	// slowdown is the ratio of actual to estimated duration of runs on the worker; 0 if unknown.
	slowdown float64
}

// recordSuccess records that a run ended as done. The baseline is how long the task was expected to take.
func (h *health) recordSuccess(now int64, t *task, b baseline) {
	h.trust()
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

// trust forgets what counts against the worker.
func (h *health) trust() {
	h.failures, h.stalls, h.quarantinedUntilMs, h.forFailures = nil, 0, 0, false
	h.trialBeganMs, h.trialSeenMs, h.trialStepMs = 0, 0, minTrialStepMs
}

// streak counts the failures since the last success that nothing but the worker explains.
func (h *health) streak() int {
	n := h.stalls
	for _, f := range h.failures {
		if !f.everywhere() {
			n++
		}
	}
	return n
}

// onTrial reports whether the worker gets little work because of its failures.
func (h *health) onTrial() bool {
	return len(h.failures)+h.stalls >= failuresToQuarantine && h.streak() >= failuresToQuarantine
}

func (h *health) quarantine(now int64, forFailures bool) {
	h.quarantinedUntilMs, h.forFailures = now+quarantineMs, forFailures
	h.trialBeganMs, h.trialSeenMs, h.trialStepMs = 0, 0, minTrialStepMs
}

// recordFailure records a failed run and reports whether the worker is quarantined for it.
func (h *health) recordFailure(now int64, f *stageFailures) bool {
	h.failures = append(h.failures, f)
	h.failures = h.failures[max(len(h.failures)-maxFailures, 0):]
	if f.everywhere() || h.streak() < failuresToQuarantine {
		return false
	}
	h.quarantine(now, true)
	return true
}

// recordWork records that a task that was placed during the trial is at work. It is expected to take taskMs.
func (h *health) recordWork(now, taskMs int64) {
	if h.trialBeganMs == 0 {
		h.trialBeganMs = now
	}
	h.trialSeenMs = now
	h.trialStepMs = max(h.trialStepMs, min(taskMs/2, maxTrialStepMs), minTrialStepMs)
}

// trialLimit returns how many tasks the worker may have from its trial. It doubles with each trialStepMs in which one of them was at work:
// a task may work for hours before its end shows that the worker is sound.
func (h *health) trialLimit() int {
	return 1 << min((h.trialSeenMs-h.trialBeganMs)/max(h.trialStepMs, minTrialStepMs), maxTrialShift)
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
func (h *health) acceptsWork(now int64) bool { return !h.isDistrusted(now) && now >= h.fullUntilMs }

// isDistrusted reports whether the worker gets no work because of what ran on it.
func (h *health) isDistrusted(now int64) bool {
	return now < h.quarantinedUntilMs || h.onTrial() && h.trialTasks >= h.trialLimit()
}

// slowdownFactor returns the slowdown used for placement, at least 1.
func (h *health) slowdownFactor() float64 {
	if h.slowdown < slowFactor {
		return 1
	}
	return h.slowdown
}

// stageFailures is what is known of the failures of a stage. It is apart from the stage, so that a worker's health does not keep finished
// jobs in memory.
type stageFailures struct {
	// workers holds the first workers on which a run has failed, at most workersToBlameStage.
	workers []*worker
	// succeeded is true once a task has succeeded anywhere.
	succeeded bool
}

// everywhere reports whether the failures are those of the stage: its tasks have failed on several workers and succeeded on none.
func (f *stageFailures) everywhere() bool {
	return len(f.workers) >= workersToBlameStage && !f.succeeded
}

// recordSuccess records that a task of the stage has succeeded somewhere.
func (st *stage) recordSuccess() {
	if st.failures != nil {
		st.failures.succeeded = true
	}
}

// recordFailure records that a run of a stage failed on a worker. If the stage turns out to fail everywhere, the workers are cleared of its
// failures.
func (s *State) recordFailure(w *worker, st *stage) {
	if st.failures == nil {
		st.failures = &stageFailures{succeeded: st.done > 0}
	}
	if f := st.failures; len(f.workers) < workersToBlameStage && !slices.Contains(f.workers, w) {
		f.workers = append(f.workers, w)
		if f.everywhere() {
			s.clearWorkers(st)
		}
	}
	if w.health.recordFailure(s.now.BootMs, st.failures) {
		s.logDecision(Decision{Kind: DecisionQuarantine, Instance: w.instance, Job: st.job.def.ID, Reason: fmt.Sprintf("%d runs failed one after the other", w.health.streak())})
	}
}

// clearWorkers ends the quarantine of workers whose failures are explained by a stage that fails everywhere.
func (s *State) clearWorkers(st *stage) {
	for _, w := range s.sortedWorkers {
		h := &w.health
		if !slices.Contains(h.failures, st.failures) || h.streak() >= failuresToQuarantine {
			continue
		}
		if h.forFailures && s.now.BootMs < h.quarantinedUntilMs {
			h.quarantinedUntilMs, h.forFailures = 0, false
			s.logDecision(Decision{Kind: DecisionQuarantineLifted, Instance: w.instance, Job: st.job.def.ID, Reason: fmt.Sprintf("step %s fails on other workers too", st.stepName())})
		}
		s.touch(w)
		s.placePending = true
	}
}

// recordTrialWork records what a listed run tells of a worker on trial. A long-running task that is up counts as a success: it has no end
// that could show whether the worker is sound. A best-effort task may be listed without getting any CPU, and a member of a gang while it
// waits for the others, so that these count once they make progress.
func (s *State) recordTrialWork(t *task) {
	h, step := &t.worker.health, t.stage.step
	if step.LongRunning {
		if t.percent < 100 {
			return
		}
		t.stage.recordSuccess()
		t.stage.failures = nil // it may fail again at any time
		if t.onTrial {
			h.trust()
		}
		return
	}
	if t.onTrial && (t.percent > t.firstPercent || !step.BestEffort && !step.Gang) {
		h.recordWork(s.now.BootMs, s.taskMs(t.stage))
	}
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
		w.health.stalls += stalled
		if w.health.streak() >= failuresToQuarantine-1 {
			w.health.quarantine(s.now.BootMs, false)
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
