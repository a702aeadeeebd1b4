package dispatch

import (
	"fmt"

	"github.com/verbenakeel/verbenakeel/fleet/link"
)

const (
	// fullPace is the share at which a run starts, in percent.
	fullPace = 100
	// paceEveryMs is the least time between two changes of the pace on a worker; a change shows after half a second.
	paceEveryMs = 700
	// Fillers are slowed down from paceDown of the target of a task that serves, and sped up below paceUp.
	paceDown = 0.85
	paceUp   = 0.6
	// paceCut is the factor when they are slowed down, paceCutHard the one over the target, paceStep what is added.
	paceCut     = 0.6
	paceCutHard = 0.3
	paceStep    = 15
)

// judgePace slows fillers down where they make tasks that serve miss their target, and speeds them up again.
func (s *State) judgePace(w *worker) {
	if w.fillCPU == 0 {
		w.pace = fullPace
		return
	}
	worst := 0.0
	for t := range w.tasks {
		if t.stage.step.TargetMs > 0 && t.phase == running && t.percent >= 100 {
			worst = max(worst, float64(t.load)/float64(t.stage.step.TargetMs))
		}
	}
	pace := w.pace
	if s.now.BootMs-w.pacedMs >= paceEveryMs {
		switch {
		case worst > 1:
			pace = int(float64(pace) * paceCutHard)
		case worst > paceDown:
			pace = int(float64(pace) * paceCut)
		case worst < paceUp:
			pace = min(pace+paceStep, fullPace)
		}
	}
	if pace != w.pace {
		s.note(Note{Kind: NotePace, Instance: w.instance, Reason: fmt.Sprintf("%d%% to %d%%, worst tail at %.2f of its target", w.pace, pace, worst)})
		w.pace, w.pacedMs = pace, s.now.BootMs
	}
	s.sendPaces(w)
}

// sendPaces tells fillers that work at another share than the worker's.
func (s *State) sendPaces(w *worker) {
	var paces []link.Pace
	for _, t := range w.sorted() {
		if t.stage.step.Filler && t.phase == running && t.pace != w.pace {
			t.pace = w.pace
			t.movedMs = s.now.BootMs
			paces = append(paces, link.Pace{Task: t.name().String(), Run: t.run, Percent: w.pace})
		}
	}
	if len(paces) > 0 && w.connected {
		s.send(w, link.Orders{Paces: paces})
	}
}
