package dispatch

import (
	"fmt"
	"sort"

	"github.com/verbenakeel/verbenakeel/fleet/link"
)

const (
	// fullPace is the share at which a run starts, in percent.
	fullPace = 100
	// unknownPace stands for a run that an earlier decider may have slowed down.
	unknownPace = -1
	// paceAgainMs is the time after which a pace is ordered again that the run's use of processors contradicts: the order may
	// have been lost.
	paceAgainMs = 1500
	// paceLeast is the least pace other than a standstill; below it a filler holds memory and gets nothing done.
	paceLeast = 8
	// paceChange is the least change of a pace that is ordered; each order is a call to the worker.
	paceChange = 8
	// paceMove is the pace below which a filler is moved to a worker where it can work.
	paceMove = 35
	// moveAfterMs is how long a filler works below paceMove before it is moved. A move costs a restore.
	moveAfterMs = 2500
	// moveBetter is how many times faster a filler must be able to work elsewhere to be moved.
	moveBetter = 2.5
)

// judgePace learns from a report and sets the pace of fillers such that the tasks that serve beside them meet their
// targets.
func (s *State) judgePace(w *worker) {
	fillers := w.fillers()
	s.learn(w, fillers)
	if len(fillers) == 0 {
		return
	}
	s.setPaces(w, fillers)
	s.sendPaces(w, fillers)
	s.moveSlowed(w, fillers)
}

// fillers returns the fillers at work in the order of their names.
func (w *worker) fillers() []*task {
	var list []*task
	for _, t := range w.sorted() {
		if t.stage.step.Filler && t.phase == running {
			list = append(list, t)
		}
	}
	return list
}

// setPaces gives fillers full pace and takes as much back as each serving task needs, from those that press it most.
func (s *State) setPaces(w *worker, fillers []*task) {
	pace := make(map[*task]float64, len(fillers))
	for _, f := range fillers {
		pace[f] = 1
	}
	for _, t := range w.sorted() {
		if t.stage.step.TargetMs > 0 && t.phase != stopping {
			s.makeRoom(t, w, fillers, pace)
		}
	}
	for _, f := range fillers {
		to := int(pace[f] * fullPace)
		if to < paceLeast {
			to = 0
		}
		if to < fullPace && to > 0 && abs(to-f.pace) < paceChange {
			continue
		}
		if f.pace >= paceMove && to < paceMove {
			f.slowedMs = s.now.BootMs
		}
		if to != f.pace {
			f.pace, f.movedMs = to, s.now.BootMs
		}
	}
}

func abs(v int) int {
	if v < 0 {
		return -v
	}
	return v
}

// makeRoom lowers paces until the fillers' effect on a serving task is allowed.
func (s *State) makeRoom(t *task, w *worker, fillers []*task, pace map[*task]float64) {
	if s.harmed(t) {
		for _, f := range fillers {
			pace[f] = 0
		}
		return
	}
	over := -s.interference.allowance(t, t.stage.job.load.soon()) * t.allowed()
	for _, f := range fillers {
		over += s.interference.effect(f, t, w) * pace[f]
	}
	if over <= 0 {
		return
	}
	byPressure := append([]*task(nil), fillers...)
	sort.SliceStable(byPressure, func(i, k int) bool {
		return s.interference.of(byPressure[i], t) > s.interference.of(byPressure[k], t)
	})
	for _, f := range byPressure {
		effect := s.interference.effect(f, t, w) * pace[f]
		if over <= 0 || effect < negligible {
			return
		}
		keep := max(1-over/effect, 0)
		over -= effect * (1 - keep)
		pace[f] *= keep
	}
}

// firstPace is the pace with which a filler starts beside serving tasks; the next report sets it anew. Those that were
// ordered to start before it and are not listed yet take their part of the room.
func (s *State) firstPace(f *task, w *worker) int {
	return max(int(s.startRoom(f, w)*fullPace), paceLeast)
}

// startRoom returns the share of full pace for which there is room now beside the serving tasks of a worker.
func (s *State) startRoom(f *task, w *worker) float64 {
	pace := 1.0
	for _, t := range w.tasks {
		if t.stage.step.TargetMs == 0 || t.phase == stopping {
			continue
		}
		effect := s.interference.cautious(f, t, w)
		if effect < negligible {
			continue
		}
		room := s.interference.allowance(t, t.stage.job.load.soon()) * t.allowed()
		for _, o := range w.tasks {
			if o.stage.step.Filler && o != f && (o.phase == running || o.phase == starting && o.orderNumber > 0) {
				room -= s.interference.effect(o, t, w) * float64(max(o.pace, 0)) / fullPace
			}
		}
		pace = min(pace, max(room/effect, 0))
	}
	return pace
}

// sendPaces tells fillers their pace where it is not what they were told.
func (s *State) sendPaces(w *worker, fillers []*task) {
	var list []link.Pace
	text := ""
	for _, f := range fillers {
		if f.pace != f.pacedTo || s.contradicted(f) {
			f.pacedTo, f.pacedMs = f.pace, s.now.BootMs
			list = append(list, link.Pace{Task: f.name().String(), Run: f.run, Percent: f.pace})
			text += fmt.Sprintf(" %s %d%%", f.name(), f.pace)
		}
	}
	if len(list) > 0 && w.connected {
		s.send(w, link.Orders{Paces: list})
		s.note(Note{Kind: NotePace, Instance: w.instance, Reason: "so that serving tasks meet their targets:" + text})
	}
}

// contradicted reports whether a filler stands still although it may work, or works although it was told to stand still.
func (s *State) contradicted(f *task) bool {
	return (f.load == 0) != (f.pace == 0) && s.now.BootMs-max(f.pacedMs, f.startedMs) > paceAgainMs
}

// moveSlowed moves fillers that were slowed down for long to a worker where they can work.
func (s *State) moveSlowed(w *worker, fillers []*task) {
	for _, f := range fillers {
		if f.pace >= paceMove || s.now.BootMs-f.slowedMs < moveAfterMs {
			continue
		}
		if to := s.choose(f, w); to != nil && s.paceOf(f, to) > moveBetter*s.paceOf(f, w) {
			f.avoid = w.instance
			s.stop(f, fmt.Sprintf("it works at %d%%; %s has room for it", f.pace, to.instance))
			return // one at a time: the next decision sees the room taken
		}
	}
}
