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
	fillers := w.runningBestEffort()
	s.updateModel(w, fillers)
	if len(fillers) == 0 {
		return
	}
	s.setCPUShares(w, fillers)
	s.sendCPUShares(w, fillers)
	s.moveThrottled(w, fillers)
}

// runningBestEffort returns the running best-effort tasks in the order of their names.
func (w *worker) runningBestEffort() []*task {
	var list []*task
	for _, t := range w.copyTasks() {
		if t.stage.step.Filler && t.phase == running {
			list = append(list, t)
		}
	}
	return list
}

// setCPUShares starts from unthrottled best-effort tasks and throttles them as far as each latency-critical task
// requires, those with the highest interference first.
func (s *State) setCPUShares(w *worker, fillers []*task) {
	pace := make(map[*task]float64, len(fillers))
	for _, f := range fillers {
		pace[f] = 1
	}
	for _, t := range w.copyTasks() {
		if t.stage.step.TargetMs > 0 && t.phase != stopping {
			s.limitInterference(t, w, fillers, pace)
		}
	}
	for _, f := range fillers {
		to := int(pace[f] * fullCPUShare)
		if to < minCPUShare {
			to = 0
		}
		if to < fullCPUShare && to > 0 && abs(to-f.cpuShare) < minShareChange {
			continue
		}
		if f.cpuShare >= moveShare && to < moveShare {
			f.throttledMs = s.now.BootMs
		}
		if to != f.cpuShare {
			f.cpuShare, f.progressedMs = to, s.now.BootMs
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
func (s *State) limitInterference(t *task, w *worker, fillers []*task, pace map[*task]float64) {
	if s.overTargetTooLong(t) {
		for _, f := range fillers {
			pace[f] = 0
		}
		return
	}
	over := -s.interference.headroom(t, t.stage.job.load.projected()) * t.headroomShare()
	for _, f := range fillers {
		over += s.interference.expectedSlowdown(f, t, w) * pace[f]
	}
	if over <= 0 {
		return
	}
	byPressure := append([]*task(nil), fillers...)
	sort.SliceStable(byPressure, func(i, k int) bool {
		return s.interference.expectedCoefficient(byPressure[i], t) > s.interference.expectedCoefficient(byPressure[k], t)
	})
	for _, f := range byPressure {
		effect := s.interference.expectedSlowdown(f, t, w) * pace[f]
		if over <= 0 || effect < negligibleSlowdown {
			return
		}
		keep := max(1-over/effect, 0)
		over -= effect * (1 - keep)
		pace[f] *= keep
	}
}

// initialCPUShare returns the CPU share with which a best-effort task starts beside latency-critical tasks. The next
// report sets it anew.
func (s *State) initialCPUShare(f *task, w *worker) int {
	return max(int(s.startShare(f, w)*fullCPUShare), minCPUShare)
}

// startShare returns the CPU share for which there is headroom on a worker now. Tasks that were ordered to start and
// are not listed yet use part of the headroom.
func (s *State) startShare(f *task, w *worker) float64 {
	pace := 1.0
	for _, t := range w.tasks {
		if t.stage.step.TargetMs == 0 || t.phase == stopping {
			continue
		}
		effect := s.interference.conservativeSlowdown(f, t, w)
		if effect < negligibleSlowdown {
			continue
		}
		room := s.interference.headroom(t, t.stage.job.load.projected()) * t.headroomShare()
		for _, o := range w.tasks {
			if o.stage.step.Filler && o != f && (o.phase == running || o.phase == starting && o.orderNumber > 0) {
				room -= s.interference.expectedSlowdown(o, t, w) * float64(max(o.cpuShare, 0)) / fullCPUShare
			}
		}
		pace = min(pace, max(room/effect, 0))
	}
	return pace
}

// sendCPUShares sends CPU shares that differ from the ones last sent or that were not applied.
func (s *State) sendCPUShares(w *worker, fillers []*task) {
	var list []link.Pace
	text := ""
	for _, f := range fillers {
		if f.cpuShare != f.sentCPUShare || s.shareNotApplied(f) {
			f.sentCPUShare, f.shareSentMs = f.cpuShare, s.now.BootMs
			list = append(list, link.Pace{Task: f.name().String(), Run: f.run, Percent: f.cpuShare})
			text += fmt.Sprintf(" %s %d%%", f.name(), f.cpuShare)
		}
	}
	if len(list) > 0 && w.connected {
		s.send(w, link.Orders{Paces: list})
		s.logDecision(Note{Kind: NotePace, Instance: w.instance, Reason: "so that latency-critical tasks meet their targets:" + text})
	}
}

// shareNotApplied reports whether a best-effort task uses no CPU although its share allows it, or uses CPU at a share
// of 0.
func (s *State) shareNotApplied(f *task) bool {
	return (f.load == 0) != (f.cpuShare == 0) && s.now.BootMs-max(f.shareSentMs, f.startedMs) > shareResendMs
}

// moveThrottled moves best-effort tasks that were throttled for long to a worker where they can run.
func (s *State) moveThrottled(w *worker, fillers []*task) {
	for _, f := range fillers {
		if f.cpuShare >= moveShare || s.now.BootMs-f.throttledMs < moveAfterMs {
			continue
		}
		if to := s.choose(f, w); to != nil && s.expectedCPUShare(f, to) > minMoveSpeedup*s.expectedCPUShare(f, w) {
			f.avoidInstance = w.instance
			s.stopRun(f, fmt.Sprintf("throttled to %d%%; %s has capacity for it", f.cpuShare, to.instance))
			return // one at a time, so that the next decision takes this reservation into account
		}
	}
}
