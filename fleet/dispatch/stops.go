package dispatch

import (
	"fmt"

	"github.com/verbenakeel/verbenakeel/fleet/link"
)

// stop orders the end of a task's run.
func (s *State) stop(t *task, reason string) {
	if t.on == nil || t.phase == stopping {
		return
	}
	if !t.recorded {
		// It was never ordered: Committed passes over it.
		s.release(t)
		return
	}
	s.noteTask(NoteStop, t, reason)
	if t.phase != done {
		t.phase = stopping
	}
	s.sendStop(t)
}

func (s *State) sendStop(t *task) {
	t.stopSentMs = s.now.BootMs
	if t.on.connected && t.on.info != nil {
		s.send(t.on, link.Orders{Stops: []link.Stop{{Task: t.name().String(), Run: t.run}}})
		t.orderNumber = t.on.orders
	}
}

// repeatStops orders stops again that had no effect, and stops of runs that were to end when their worker was away.
func (s *State) repeatStops(w *worker) {
	if !w.connected || w.info == nil {
		return
	}
	for _, t := range w.sorted() {
		over := t.phase == stopping || t.phase == done
		if over && s.now.BootMs-t.stopSentMs > repeatStopMs {
			s.sendStop(t)
		}
	}
}

// checkLease gives up what was at work on a worker whose lease has certainly ended.
func (s *State) checkLease(w *worker) {
	if s.now.BootMs < w.goneByMs {
		return
	}
	for _, t := range w.sorted() {
		if w.connected && w.listed && w.reported && w.silentMs < silentMs && t.phase != stopping {
			continue // it answers; its lists tell what has lapsed
		}
		if !t.recorded || w.connected && t.orderNumber > w.ordersDone {
			continue // not ordered yet, or the side process has still to answer the order
		}
		s.noteTask(NoteRequeued, t, "its lease has ended")
		s.ended(t)
	}
}

// leaveDraining moves work off a worker that ends soon.
func (s *State) leaveDraining(w *worker) {
	if !w.info.Draining {
		return
	}
	for _, t := range w.sorted() {
		if t.phase != running || s.now.BootMs-w.heardMs > silentMs {
			continue
		}
		left := est(t.stage.step) * int64(100-t.percent) / 100
		if t.stage.step.Lasting || left > max(w.info.RemainingMs, drainingLeastMs) {
			s.stop(t, fmt.Sprintf("its worker ends in %d ms", w.info.RemainingMs))
		}
	}
}
