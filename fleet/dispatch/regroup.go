package dispatch

import "fmt"

const (
	// regroupEveryMs is the least time between two moves of serving tasks, each of which is away for about a second.
	regroupEveryMs = 200
	// regroupRestMs is how long a serving task stays where it is after it came there.
	regroupRestMs = 5000
	// regroupGain is the least fall of the mix cost by a move: the tasks beside it differ from it in that much more of what
	// presses them than those at its new place.
	regroupGain = 0.4
	// regroupLooks is the number of workers from which a task to move is sought at a time.
	regroupLooks = 3
	// regroupTries is the number of workers that are looked at for a new place, which bounds the time of one look.
	regroupTries = 24
	// towardForMs is how long a moved task waits for its new place: for the end of its run, and of that which makes room.
	towardForMs = 1200
	// storeFreshMs is the age of the newest answer of the store from which no task is moved: it could not start again.
	storeFreshMs = 600
)

// regroup moves one serving task, or two that change places, so that serving tasks which the same fillers press share
// workers. They were placed when nothing was known of their images, or when no better place was free.
func (s *State) regroup() {
	now := s.now.BootMs
	if len(s.order) == 0 || now-s.regroupedMs < regroupEveryMs || now-s.committedMs > storeFreshMs {
		return
	}
	var best move
	var w *worker
	for range regroupLooks {
		w = s.order[s.regroupNext%len(s.order)]
		s.regroupNext++
		if !s.takesWork(w) || w.serving < 2 {
			continue
		}
		for _, t := range w.tasks {
			if s.movable(t) {
				s.findPlace(t, w, &best)
			}
		}
		if best.to != nil {
			break
		}
	}
	if best.to == nil {
		return
	}
	s.regroupedMs = now
	s.moveServing(best.task, best.to, best.gain)
	if best.back != nil {
		s.moveServing(best.back, w, best.gain)
	}
}

// underway reports whether a task is moved to a worker that has no room for it yet.
func (s *State) underway(t *task) bool {
	return t.toward != nil && s.now.BootMs < t.towardMs && s.takesWork(t.toward) && s.mayRun(t, t.toward) && !s.fits(t, t.toward)
}

// destination returns the worker that a task is moved to, if it has room, or nil.
func (s *State) destination(t *task) *worker {
	if t.toward != nil && s.now.BootMs < t.towardMs && s.takesWork(t.toward) && s.fits(t, t.toward) {
		return t.toward
	}
	return nil
}

// move is a move of a serving task to another worker, from which another one may have to come back.
type move struct {
	task, back *task
	to         *worker
	gain       float64
}

func (s *State) moveServing(t *task, to *worker, gain float64) {
	t.avoid, t.toward, t.towardMs = t.on.instance, to, s.now.BootMs+towardForMs
	s.stop(t, fmt.Sprintf("%s has tasks more like it, mix cost %.2f less", to.instance, gain))
}

// movable reports whether a serving task may be stopped to be started elsewhere: it is at work, and no other task of its step
// is on its way. Where a step says how many of its tasks may be away, none may be away for any cause.
func (s *State) movable(t *task) bool {
	if !s.atRest(t) {
		return false
	}
	for i := range t.stage.tasks {
		o := &t.stage.tasks[i]
		if o == t || o.phase == running && o.percent >= 100 {
			continue
		}
		if o.phase != waiting || t.stage.step.MayMiss > 0 {
			return false
		}
	}
	return true
}

// atRest reports whether a serving task has been at work where it is for a while.
func (s *State) atRest(t *task) bool {
	return t.atWork() && t.stage.step.Lasting && !t.stage.step.Gang && s.now.BootMs-t.startedMs > regroupRestMs
}

// findPlace looks for a better place for a serving task among the next workers, and keeps it if it is better than best.
func (s *State) findPlace(t *task, w *worker, best *move) {
	here := s.mixCost(t, w)
	if here < regroupGain {
		return
	}
	for i := range min(regroupTries, len(s.order)) {
		to := s.order[(s.regroupNext+s.regroupOffset+i)%len(s.order)]
		if to == w || !s.takesWork(to) || to.serving == 0 {
			continue
		}
		gain := here - s.mixCost(t, to)
		if gain < max(regroupGain, best.gain) {
			continue
		}
		if s.fits(t, to) {
			*best = move{task: t, to: to, gain: gain}
			continue
		}
		s.findExchange(t, w, to, gain, best)
	}
	s.regroupOffset += regroupTries
}

// findExchange looks for a serving task on another worker that is better off in the place of t, where there is room for
// each in the place of the other.
func (s *State) findExchange(t *task, w, to *worker, gain float64, best *move) {
	for _, o := range to.tasks {
		if !s.atRest(o) || o.stage == t.stage || !s.exchangeable(t, w, o, to) {
			continue
		}
		if both := gain + s.mixCost(o, to) - s.mixCost(o, w); both > max(2*regroupGain, best.gain) && s.movable(o) {
			*best = move{task: t, back: o, to: to, gain: both}
		}
	}
}

// exchangeable reports whether two tasks may take each other's place.
func (s *State) exchangeable(t *task, w *worker, o *task, to *worker) bool {
	a, b := t.stage.step, o.stage.step
	if w.cpu-a.CPU+b.CPU > w.info.CPU || to.cpu-b.CPU+a.CPU > to.info.CPU {
		return false
	}
	if w.mem-a.MemMB+b.MemMB > w.info.MemMB || to.mem-b.MemMB+a.MemMB > to.info.MemMB {
		return false
	}
	return a.GPU == b.GPU && s.mayRun(t, to) && s.mayRun(o, w)
}
