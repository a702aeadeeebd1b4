package dispatch

const (
	// pressUnknown is the effect of a filler of an unknown image on a serving task, as a share of its target for a whole
	// worker's processors. It is cautious enough that one filler more does not push a calm task over its target.
	pressUnknown = 1.5
	// learnRate is the share of an error of prediction that is corrected at once.
	learnRate = 0.25
	// baseRate is that for the tail of a task without fillers, which swings with its load.
	baseRate = 0.35
	// aloneRate is that where nothing fills, so the measured tail is the task's own.
	aloneRate = 0.6
	// pressMost bounds an effect.
	pressMost = 60
)

// pair is a filler's image beside a serving task's.
type pair struct{ fills, serves string }

// pressures holds what is learned of how much fillers of one image lengthen the tail of serving tasks of another:
// the increase, as a share of the target, for each share of the worker's processors that the filler may use. It is
// learned by normalized least mean squares from every report.
type pressures map[pair]float64

func (p pressures) coefficient(f, t *task) float64 {
	if v, ok := p[pair{f.stage.step.Image, t.stage.step.Image}]; ok {
		return v
	}
	return pressUnknown
}

// share is the part of the worker's processors that a filler demands.
func share(f *task, w *worker) float64 {
	return float64(f.stage.step.CPU) / float64(max(w.info.CPU, 1))
}

// full returns the expected effect of a filler at full pace on a serving task, 0 without one.
func (p pressures) full(f, t *task, w *worker) float64 {
	if t == nil {
		return 0
	}
	return p.coefficient(f, t) * share(f, w)
}

// on returns the expected effect of a filler at its pace.
func (p pressures) on(f, t *task, w *worker) float64 {
	return p.full(f, t, w) * float64(f.pace) / fullPace
}

// atWork reports whether a task serves now.
func (t *task) atWork() bool {
	return t.stage.step.TargetMs > 0 && t.phase == running && t.percent >= 100
}

// tail is the measured tail as a share of the target.
func (t *task) tail() float64 { return float64(t.load) / float64(t.stage.step.TargetMs) }

// learnAlone notes the tails of serving tasks on a worker without fillers.
func (s *State) learnAlone(w *worker) {
	for t := range w.tasks {
		if t.atWork() {
			t.baseTail += aloneRate * (t.tail() - t.baseTail)
		}
	}
}

// learnTails corrects what is known of pressures and returns the serving task with the longest tail.
func (s *State) learnTails(w *worker, fillers []*task) (*task, float64) {
	var worst *task
	longest := 0.0
	for _, t := range w.sorted() {
		if !t.atWork() {
			continue
		}
		s.learnTail(t, w, fillers)
		if tail := t.tail(); worst == nil || tail > longest {
			worst, longest = t, tail
		}
	}
	return worst, longest
}

func (s *State) learnTail(t *task, w *worker, fillers []*task) {
	predicted, norm := t.baseTail, 0.0
	for _, f := range fillers {
		predicted += s.press.on(f, t, w)
		x := share(f, w) * float64(f.pace) / fullPace
		norm += x * x
	}
	miss := t.tail() - predicted
	t.baseTail = max(t.baseTail+baseRate*miss*baseShare(norm), 0)
	if norm == 0 {
		return
	}
	for _, f := range fillers {
		x := share(f, w) * float64(f.pace) / fullPace
		k := s.press.coefficient(f, t) + learnRate*miss*x/norm
		s.press[pair{f.stage.step.Image, t.stage.step.Image}] = min(max(k, 0), pressMost)
	}
}

// baseShare is the part of an error that is put down to the task's own load: all of it without fillers.
func baseShare(norm float64) float64 {
	if norm == 0 {
		return 1
	}
	return 0.5
}

// pressed returns the longest tail that serving tasks on the worker are expected to have with one filler more.
func (s *State) pressed(f *task, w *worker) float64 {
	longest := 0.0
	for t := range w.tasks {
		if t.stage.step.TargetMs == 0 {
			continue
		}
		tail := max(t.baseTail, tailAssumed) + s.press.full(f, t, w)
		for o := range w.tasks {
			if o.stage.step.Filler {
				tail += s.press.on(o, t, w)
			}
		}
		longest = max(longest, tail)
	}
	return longest
}

// tailAssumed is the tail of a task without fillers that is reckoned with at least, since its load swings.
const tailAssumed = 0.25
