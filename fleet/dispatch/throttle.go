package dispatch

import (
	"fmt"
	"sort"

	"github.com/verbenakeel/verbenakeel/fleet/link"
)

const (
	// fullCPUShare is the CPU share of an unthrottled run, in percent.
	fullCPUShare = 100
	// unknownCPUShare stands for the share of a run that an earlier decider may have throttled.
	unknownCPUShare = -1
	// shareResendMs is the time after which a CPU share is sent again if the run's CPU use contradicts it: the order
	// may have been lost.
	shareResendMs = 1500
	// minCPUShare is the minimum share other than 0. Below it a best-effort task holds memory without making progress.
	minCPUShare = 8
	// minShareChange is the minimum change of a share that is ordered, as each order is a call to the worker.
	minShareChange = 8
	// moveShare is the share below which a best-effort task is moved to a worker where it can run.
	moveShare = 35
	// moveAfterMs is how long a best-effort task runs below moveShare before it is moved. A move costs a restore.
	moveAfterMs = 2500
	// minMoveSpeedup is the minimum ratio of the expected share elsewhere to the one here for a move.
	minMoveSpeedup = 2.5
)

// updateCPUShares updates the interference model from a report and sets the CPU shares of best-effort tasks such that
// the latency-critical tasks on the worker meet their targets.
func (s *State) updateCPUShares(w *worker) {
	if s.shedsShares(w) {
		return
	}
	w.sharesSetMs = s.now.BootMs
	bestEffort := w.runningBestEffort()
	s.updateModel(w, bestEffort)
	if len(bestEffort) == 0 {
		return
	}
	s.setCPUShares(w, bestEffort)
	s.sendCPUShares(w, bestEffort)
	s.moveThrottled(w, bestEffort)
}

// runningBestEffort returns the running best-effort tasks in the order of their names.
func (w *worker) runningBestEffort() []*task {
	var list []*task
	for _, t := range w.copyTasks() {
		if t.stage.step.BestEffort && t.phase == running {
			list = append(list, t)
		}
	}
	return list
}

// setCPUShares starts from unthrottled best-effort tasks and throttles them as far as each latency-critical task
// requires, those with the highest interference first.
func (s *State) setCPUShares(w *worker, bestEffort []*task) {
	shares := make(map[*task]float64, len(bestEffort))
	for _, be := range bestEffort {
		shares[be] = 1
	}
	for _, t := range w.copyTasks() {
		if t.stage.step.TargetMs > 0 && t.phase != stopping {
			s.limitInterference(t, w, bestEffort, shares)
		}
	}
	for _, be := range bestEffort {
		to := int(shares[be] * fullCPUShare)
		if to < minCPUShare {
			to = 0
		}
		if to < fullCPUShare && to > 0 && abs(to-be.cpuShare) < minShareChange {
			continue
		}
		if be.cpuShare >= moveShare && to < moveShare {
			be.throttledMs = s.now.BootMs
		}
		be.wasThrottled = be.wasThrottled || to < fullCPUShare
		if to != be.cpuShare {
			be.cpuShare, be.progressedMs = to, s.now.BootMs
		}
	}
}

func abs(v int) int {
	if v < 0 {
		return -v
	}
	return v
}

// limitInterference lowers shares until the interference on a latency-critical task is within its headroom.
func (s *State) limitInterference(t *task, w *worker, bestEffort []*task, shares map[*task]float64) {
	if s.overTargetTooLong(t) {
		for _, be := range bestEffort {
			shares[be] = 0
		}
		return
	}
	excess := -s.interference.headroom(t, t.stage.job.load.untilNextShare(s.now.BootMs, s.shareIntervalMs())) * t.headroomShare()
	for _, be := range bestEffort {
		excess += s.interference.expectedSlowdown(be, t, w) * shares[be]
	}
	if excess <= 0 {
		return
	}
	byCoefficient := append([]*task(nil), bestEffort...)
	sort.SliceStable(byCoefficient, func(i, k int) bool {
		return s.interference.expectedCoefficient(byCoefficient[i], t) > s.interference.expectedCoefficient(byCoefficient[k], t)
	})
	for _, be := range byCoefficient {
		slowdown := s.interference.expectedSlowdown(be, t, w) * shares[be]
		if excess <= 0 || slowdown < negligibleSlowdown {
			return
		}
		keep := max(1-excess/slowdown, 0)
		excess -= slowdown * (1 - keep)
		shares[be] *= keep
	}
}

// initialCPUShare returns the CPU share with which a best-effort task starts beside latency-critical tasks. The next
// report sets it anew.
func (s *State) initialCPUShare(be *task, w *worker) int {
	return max(int(s.startShare(be, w)*fullCPUShare), minCPUShare)
}

// startShare returns the CPU share for which there is headroom on a worker until it can be changed. Tasks that were ordered to start and
// are not listed yet use part of the headroom.
func (s *State) startShare(be *task, w *worker) float64 {
	share := 1.0
	for _, t := range w.tasks {
		if t.stage.step.TargetMs == 0 || t.phase == stopping {
			continue
		}
		slowdown := s.interference.conservativeSlowdown(be, t, w)
		if slowdown < negligibleSlowdown {
			continue
		}
		available := s.interference.headroom(t, t.stage.job.load.afterStart(s.now.BootMs)) * t.headroomShare()
		for _, o := range w.tasks {
			if o.stage.step.BestEffort && o != be && (o.phase == running || o.phase == starting && o.orderNumber > 0) {
				available -= s.interference.expectedSlowdown(o, t, w) * float64(max(o.cpuShare, 0)) / fullCPUShare
			}
		}
		share = min(share, max(available/slowdown, 0))
	}
	return share
}

// sendCPUShares sends CPU shares that differ from the ones last sent or that were not applied.
func (s *State) sendCPUShares(w *worker, bestEffort []*task) {
	text := ""
	for _, be := range bestEffort {
		if w.connected && (be.cpuShare != be.sentCPUShare || s.shareNotApplied(be)) {
			be.sentCPUShare, be.shareSentMs = be.cpuShare, s.now.BootMs
			s.queueThrottle(w, link.Throttle{Task: be.name().String(), Run: be.run, CPUPercent: be.cpuShare})
			text += fmt.Sprintf(" %s %d%%", be.name(), be.cpuShare)
		}
	}
	if text != "" {
		s.logDecision(Decision{Kind: DecisionCPUShare, Instance: w.instance, Reason: "so that latency-critical tasks meet their targets:" + text})
	}
}

// shareNotApplied reports whether a best-effort task uses no CPU although its share allows it, or uses CPU at a share
// of 0.
func (s *State) shareNotApplied(be *task) bool {
	return (be.load == 0) != (be.cpuShare == 0) && s.now.BootMs-max(be.shareSentMs, be.startedMs) > shareResendMs
}

// moveThrottled moves best-effort tasks that were throttled for long, and are expected to stay throttled, to a worker where
// they can run.
func (s *State) moveThrottled(w *worker, bestEffort []*task) {
	for _, be := range bestEffort {
		if be.cpuShare >= moveShare || s.now.BootMs-be.throttledMs < moveAfterMs {
			continue
		}
		here, predicted := s.expectedCPUShare(be, w)
		if predicted && here*fullCPUShare >= moveShare {
			continue // the load is about to fall
		}
		to := s.choose(be, w)
		if to == nil {
			continue
		}
		there, _ := s.expectedCPUShare(be, to)
		if there > minMoveSpeedup*here && s.stopRun(be, stopThrottled, fmt.Sprintf("throttled to %d%%; %s has capacity for it", be.cpuShare, to.instance)) {
			be.avoidInstance = w.instance
			return // one at a time, so that the next decision takes this reservation into account
		}
	}
}
