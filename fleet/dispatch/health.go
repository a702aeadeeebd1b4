package dispatch

import "fmt"

const (
	// failuresToQuarantine is the number of failures in a row, of different jobs or tasks, after which a worker is taken
	// for broken. One task in fifty fails by itself, so three in a row are one in 125,000.
	failuresToQuarantine = 3
	// quarantineMs is how long a worker gets nothing after that; afterwards one task tries it.
	quarantineMs = 5000
	// fullMs is how long a worker that refused a start for want of room gets nothing.
	fullMs = 300
	// slowWeight is the weight of the newest measurement of a worker's speed.
	slowWeight = 0.3
	// slowMost bounds a measured slowness.
	slowMost = 10.0
	// slowSampleMs is the least age of a run whose speed is judged.
	slowSampleMs = 400
	// stuckMs is how long a run may stand still.
	stuckMs = 1500
	// stuckFillerMs is that of a filler, which may lack processor time for a while.
	stuckFillerMs = 5000
	// maxStallShift bounds the doubling of the time that a task may stand still.
	maxStallShift = 4
	// moveGain is how many times longer the rest of a run must take than a fresh one elsewhere before it is moved.
	moveGain = 1.6
	// moveLeastMs is the least time that a move must gain.
	moveLeastMs = 700
)

// health is what is known of how well a worker works.
type health struct {
	// streak counts failures since the last success.
	streak int
	// untilMs is when the quarantine ends; trial is the task that tries the worker after it, nil if there is none.
	untilMs int64
	trial   *task
	fullMs  int64
	// slow is how many times longer runs take here than estimated; 0 if unknown.
	slow float64
}

func (h *health) succeeded(now int64, t *task) {
	h.streak, h.trial, h.untilMs = 0, nil, 0
	if t.startedMs > 0 && !t.stage.step.Filler {
		h.learn(float64(now-t.startedMs) / float64(est(t.stage.step)))
	}
}

func (h *health) failed(now int64, t *task) {
	h.streak++
	if h.streak >= failuresToQuarantine || h.trial == t {
		h.untilMs = now + quarantineMs
	}
}

// released notes that a task's run has ended, however it did.
func (h *health) released(t *task) {
	if h.trial == t {
		h.trial = nil
	}
}

func (h *health) refused(now int64) { h.untilMs = max(h.untilMs, now+quarantineMs/5) }

func (h *health) full(now int64) { h.fullMs = now + fullMs }

func (h *health) learn(ratio float64) {
	ratio = min(max(ratio, 0.2), slowMost)
	if h.slow == 0 {
		h.slow = ratio
		return
	}
	h.slow += slowWeight * (ratio - h.slow)
}

// usable reports whether the worker may get work.
func (h *health) usable(now int64) bool { return now >= h.untilMs && now >= h.fullMs && h.trial == nil }

// slowness returns how many times longer than elsewhere a run takes, at least 1. Small differences are within the error
// of estimates.
func (h *health) slowness() float64 {
	if h.slow < 1.7 {
		return 1
	}
	return h.slow
}

// moveSlow moves runs that stand still or are far slower than they would be elsewhere.
func (s *State) moveSlow(w *worker) {
	if !w.listed || !w.reachable() || s.now.BootMs-w.heardMs > silentMs {
		return
	}
	stuck := 0
	for _, t := range w.sorted() {
		if t.phase != running || t.stage.step.Gang || t.pace < fullPace {
			continue
		}
		if s.stuck(w, t) {
			stuck++
			t.avoid = w.instance
			t.stalls++
			s.stop(t, fmt.Sprintf("it stood at %d%% for %d ms", t.percent, s.now.BootMs-t.movedMs))
			continue
		}
		s.moveIfSlow(w, t)
	}
	if stuck > 0 {
		w.health.streak += stuck
		if w.health.streak >= failuresToQuarantine-1 {
			w.health.untilMs = s.now.BootMs + quarantineMs
			s.note(Note{Kind: NoteQuarantine, Instance: w.instance, Reason: fmt.Sprintf("%d runs stand still", stuck)})
		}
	}
}

// stuck reports whether a run stands still.
func (s *State) stuck(w *worker, t *task) bool {
	limit := int64(stuckMs)
	step := t.stage.step
	if step.Filler {
		limit = stuckFillerMs
	}
	if step.Lasting {
		if t.percent >= 100 {
			return false
		}
		limit = s.bounds.Notice.Milliseconds()
	}
	// A task that stood still before may just be slow to show progress: it gets more time at each try.
	limit = max(limit, est(step)/8) << min(t.stalls, maxStallShift)
	if w.heardMs-t.movedMs < limit {
		return false
	}
	return !step.Filler || w.info.CPU-w.cpu > step.CPU
}

// moveIfSlow measures the speed of a run and moves it if a fresh start elsewhere ends much sooner.
func (s *State) moveIfSlow(w *worker, t *task) {
	age := w.heardMs - t.startedMs
	step := t.stage.step
	if step.Lasting || step.Filler || age < slowSampleMs || t.percent >= 95 {
		return
	}
	estimate := est(step)
	if age < estimate/3 {
		return
	}
	rate := float64(t.percent+1) / float64(age) // percent a millisecond
	left := float64(100-t.percent) / rate
	if float64(age)+left > 1.7*float64(estimate) {
		w.health.learn((float64(age) + left) / float64(estimate))
	}
	fresh := float64(estimate)
	if step.Checkpointable && t.checkpoint != "" {
		fresh = fresh*float64(100-t.percent)/100 + float64(s.bounds.Restore.Milliseconds())
	}
	if left < moveGain*fresh+moveLeastMs {
		return
	}
	if to := s.choose(t, w); to != nil && to.health.slowness() == 1 {
		t.avoid = w.instance
		s.stop(t, fmt.Sprintf("at %d%% after %d ms, %.0f ms left; elsewhere %.0f ms", t.percent, age, left, fresh))
	}
}
