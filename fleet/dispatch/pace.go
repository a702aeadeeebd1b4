package dispatch

import (
	"fmt"
	"sort"

	"github.com/verbenakeel/verbenakeel/fleet/link"
)

const (
	// fullPace is the share at which a run starts, in percent.
	fullPace = 100
	// paceEveryMs is the least time between two cuts of fillers on a worker: a change shows in the next half second.
	paceEveryMs = 500
	// raiseEveryMs is the least time between two raises. They are slower than cuts, so that the pace settles.
	raiseEveryMs = 800
	// tailHigh is the share of its target from which the tail of a serving task makes fillers yield, tailAim what is
	// aimed at then, and tailLow the share below which fillers are sped up. A quarter is kept for swings of the load.
	tailHigh = 0.85
	tailAim  = 0.7
	tailLow  = 0.65
	// paceStep is what is added to the pace of a filler at once, in percent.
	paceStep = 25
	// paceLeast is the least pace other than a standstill; below it a filler holds memory and gets nothing done.
	paceLeast = 10
	// paceMove is the pace below which a filler is moved to a worker where it can work.
	paceMove = 35
	// moveAfterMs is how long a filler works below paceMove before it is moved. A move costs a restore.
	moveAfterMs = 1200
)

// judgePace slows fillers down where they make tasks that serve miss their target, and speeds them up again.
func (s *State) judgePace(w *worker) {
	if w.fillCPU == 0 {
		s.learnAlone(w)
		return
	}
	fillers := w.fillers()
	worst, worstTail := s.learnTails(w, fillers)
	switch {
	case worst == nil:
		s.raise(w, fillers, nil, 0)
	case worstTail > tailHigh && s.now.BootMs-w.pacedMs >= paceEveryMs:
		s.cut(w, fillers, worst, worstTail)
	case worstTail < tailLow && s.now.BootMs-w.pacedMs >= raiseEveryMs:
		s.raise(w, fillers, worst, worstTail)
	}
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

// cut slows down the fillers that press the worst task most, by as much as its tail is over the aim.
func (s *State) cut(w *worker, fillers []*task, worst *task, tail float64) {
	sort.SliceStable(fillers, func(i, k int) bool {
		return s.press.on(fillers[i], worst, w) > s.press.on(fillers[k], worst, w)
	})
	need := tail - tailAim
	for _, f := range fillers {
		effect := s.press.on(f, worst, w)
		if need <= 0 || f.pace == 0 {
			continue
		}
		keep := 0.0
		if effect > need {
			keep = 1 - need/effect
		}
		need -= effect * (1 - keep)
		s.setPace(f, int(float64(f.pace)*keep))
	}
	w.pacedMs = s.now.BootMs
	s.note(Note{Kind: NotePace, Instance: w.instance, Task: worst.name().String(), Run: worst.run,
		Reason: fmt.Sprintf("tail at %.2f of its target: fillers cut to %s", tail, paces(fillers))})
	s.sendPaces(w, fillers)
}

// raise speeds fillers up, those that press least first, while the worst tail is expected to stay below the aim.
func (s *State) raise(w *worker, fillers []*task, worst *task, tail float64) {
	sort.SliceStable(fillers, func(i, k int) bool {
		return s.press.full(fillers[i], worst, w) < s.press.full(fillers[k], worst, w)
	})
	room := tailAim - tail
	raised := false
	for _, f := range fillers {
		if f.pace >= fullPace {
			continue
		}
		to := min(f.pace+paceStep, fullPace)
		if worst == nil {
			to = fullPace
		}
		if more := s.press.full(f, worst, w) * float64(to-f.pace) / fullPace; worst == nil || more <= room {
			room -= more
			s.setPace(f, to)
			raised = true
		}
	}
	if raised {
		w.pacedMs = s.now.BootMs
		s.sendPaces(w, fillers)
	}
}

// setPace changes the pace of a filler; it is sent by sendPaces.
func (s *State) setPace(f *task, pace int) {
	if pace < paceLeast {
		pace = 0
	}
	if f.pace >= paceMove && pace < paceMove {
		f.slowedMs = s.now.BootMs
	}
	f.pace = pace
	f.movedMs = s.now.BootMs
}

func paces(fillers []*task) string {
	text := ""
	for _, f := range fillers {
		text += fmt.Sprintf("%d ", f.pace)
	}
	return text
}

// sendPaces tells fillers their pace where it is not what they were told.
func (s *State) sendPaces(w *worker, fillers []*task) {
	var list []link.Pace
	for _, f := range fillers {
		if f.pace != f.pacedTo {
			f.pacedTo = f.pace
			list = append(list, link.Pace{Task: f.name().String(), Run: f.run, Percent: f.pace})
		}
	}
	if len(list) > 0 && w.connected {
		s.send(w, link.Orders{Paces: list})
	}
}

// moveSlowed moves fillers that were slowed down for long to a worker where they can work.
func (s *State) moveSlowed(w *worker, fillers []*task) {
	for _, f := range fillers {
		if f.pace >= paceMove || s.now.BootMs-f.slowedMs < moveAfterMs {
			continue
		}
		if to := s.choose(f, w); to != nil {
			f.avoid = w.instance
			s.stop(f, fmt.Sprintf("it works at %d%%; %s has room for it", f.pace, to.instance))
			return // one at a time: the next decision sees the room taken
		}
	}
}
