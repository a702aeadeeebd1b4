package dispatch

import "math"

const (
	// pressUnknown is the pressure of a filler whose image was not met beside a serving image yet, and pressSpread the
	// standard deviation of that guess.
	pressUnknown = 1.2
	pressSpread  = 2.0
	// pressMost bounds a pressure.
	pressMost = 12.0
	// measureSpread is the standard deviation of a measured slowdown: tails are whole milliseconds of half a second.
	measureSpread = 0.06
	// driftSpread is the standard deviation by which a pressure may change between two reports.
	driftSpread = 0.05
	// usualTargetFactor is how many times its idle tail the target of a serving task is taken to be at first.
	usualTargetFactor = 5
	// loadFreshMs is how long the load measured on tasks that nobody presses stands for the other tasks of the job.
	loadFreshMs = 900
	// lightMost is the pressure below which a filler is taken to press less than was measured: readings of half a second
	// err by about as much, and most fillers press an image not at all.
	lightMost = 0.5
	// caution is the number of standard deviations by which a filler that starts is taken to press more than expected: too
	// slow a start costs it half a second, too fast a one a serving task its target.
	caution = 0.5
	// outlierSpread is the number of standard deviations at which a reading counts for half.
	outlierSpread = 2.5
	// tailMargin is the part of its target that the tail of a serving task is held to.
	tailMargin = 0.87
)

// pair is a filler's image beside a serving image.
type pair struct{ fills, serves string }

// pressure is what is known of the pressure of a filler's image on a serving image.
type pressure struct{ mean, variance float64 }

// interference holds what is learned of how fillers slow down tasks that serve. A serving task is taken for a queue: at
// load r its tail is t/(1-r), with its idle tail t. Fillers beside it make its work take s times as long, which gives
// t*s/(1-r*s). s grows with the share of the worker's processors that a filler uses, times a pressure that depends on the
// two images. Pressures are learned by a Kalman filter (Kalman, 1960) without covariances: an error of prediction
// corrects the pressures that are least known most.
type interference struct {
	pressure map[pair]pressure
	// idle holds the shortest tail seen of an image, in milliseconds.
	idle map[string]float64
	// fills and serves are the images met as fillers and as serving tasks, demand the work of fillers that was placed, in
	// core-milliseconds.
	fills, serves imageSet
	demand        map[string]float64
	// guesses caches what likeness and predict derive from the pressures, for refreshMs from guessedMs on.
	guesses   guesses
	guessedMs int64
	// changed is true if something was learned since it was stored last, storedMs is when that was.
	changed  bool
	storedMs int64
	// storedBytes is the size of the newest record.
	storedBytes int64
}

func newInterference() interference {
	return interference{pressure: map[pair]pressure{}, idle: map[string]float64{}, demand: map[string]float64{}, guesses: newGuesses()}
}

func pairOf(f, t *task) pair { return pair{f.stage.step.Image, t.stage.step.Image} }

// known returns what is known of the pressure of a filler on a serving task.
func (in *interference) known(f, t *task) pressure {
	p := pairOf(f, t)
	if v, ok := in.pressure[p]; ok {
		return v
	}
	return in.predict(p)
}

// of returns the pressure of a filler on a serving task that is reckoned with.
func (in *interference) of(f, t *task) float64 {
	p := in.known(f, t).mean
	return p * min(p/lightMost, 1)
}

// share is the part of a worker's processors that a filler asks for.
func share(f *task, w *worker) float64 {
	return float64(f.stage.step.CPU) / float64(max(w.info.CPU, 1))
}

// effect is what a filler at full pace is expected to add to s of a serving task.
func (in *interference) effect(f, t *task, w *worker) float64 { return in.of(f, t) * share(f, w) }

// cautious is what a filler at full pace may add to s of a serving task, as long as little is known of its pressure.
func (in *interference) cautious(f, t *task, w *worker) float64 {
	k := in.known(f, t)
	return in.effect(f, t, w) + caution*math.Sqrt(k.variance)*share(f, w)
}

// idleTail returns the tail of a serving task without load, in milliseconds.
func (in *interference) idleTail(t *task) float64 {
	usual := float64(t.stage.step.TargetMs) / usualTargetFactor
	if seen, ok := in.idle[t.stage.step.Image]; ok {
		return min(seen, usual)
	}
	return usual
}

// atWork reports whether a task serves now.
func (t *task) atWork() bool {
	return t.stage.step.TargetMs > 0 && t.phase == running && t.percent >= 100 && t.load > 0
}

// learn learns from a report on a worker.
func (s *State) learn(w *worker, fillers []*task) {
	var pressed []*task
	for _, t := range w.sorted() {
		if !t.atWork() {
			continue
		}
		image := t.stage.step.Image
		if seen, ok := s.interference.idle[image]; !ok || float64(t.load) < seen {
			s.interference.idle[image] = float64(t.load)
		}
		t.watch(s.now.BootMs)
		if anyAtWork(fillers) {
			pressed = append(pressed, t)
			continue
		}
		idle := s.interference.idleTail(t)
		t.stage.job.load.measure(s.now.BootMs, 1-idle/float64(t.load))
		t.stage.job.load.freshMs = s.now.BootMs
	}
	for _, t := range pressed {
		s.learnPressed(t, w, fillers)
	}
}

// anyAtWork reports whether a filler used processors lately.
func anyAtWork(fillers []*task) bool {
	for _, f := range fillers {
		if f.load > 0 {
			return true
		}
	}
	return false
}

// learnPressed corrects the pressures on one serving task if the load of its job is known from others, and the load if
// it is not.
func (s *State) learnPressed(t *task, w *worker, fillers []*task) {
	in, l := &s.interference, &t.stage.job.load
	slowdown, spread := 1.0, measureSpread*measureSpread
	for _, f := range fillers {
		x := used(f, w)
		k := in.known(f, t)
		slowdown += k.mean * x
		spread += k.variance * x * x
	}
	idle, tail := in.idleTail(t), float64(t.load)
	if s.now.BootMs-l.freshMs > loadFreshMs {
		l.measure(s.now.BootMs, (1-idle*slowdown/tail)/slowdown)
		return
	}
	miss := tail/(idle+l.now*tail) - slowdown
	// One reading in fifteen is half as high again as its neighbours, so the further off it is the less it counts.
	trust := 1 / (1 + miss*miss/(spread*outlierSpread*outlierSpread))
	for _, f := range fillers {
		x := used(f, w)
		if x == 0 {
			continue
		}
		k := in.known(f, t)
		gain := trust * k.variance * x / spread
		in.changed = true
		in.pressure[pairOf(f, t)] = pressure{min(max(k.mean+gain*miss, 0), pressMost), k.variance*(1-gain*x) + driftSpread*driftSpread}
	}
}

// used is the part of a worker's processors that a filler used lately.
func used(f *task, w *worker) float64 { return float64(f.load) / float64(max(w.info.CPU, 1)) }

// allowance returns how much fillers may add to s of a serving task at a load so that its tail meets its target.
func (in *interference) allowance(t *task, load float64) float64 {
	tail := tailMargin * float64(t.stage.step.TargetMs)
	return max(tail/(in.idleTail(t)+load*tail)-1, 0)
}

// paceOf returns the share of full pace at which a filler more could work on a worker, averaged over the swing of the
// loads there: halfway between now and the peak.
func (s *State) paceOf(f *task, w *worker) float64 {
	low := 1.0
	for _, t := range w.tasks {
		if t.stage.step.TargetMs == 0 || t.phase == stopping {
			continue
		}
		own := s.interference.effect(f, t, w)
		if own < negligible {
			continue
		}
		sum := own
		for _, o := range w.tasks {
			if o.stage.step.Filler && o != f {
				sum += s.interference.effect(o, t, w)
			}
		}
		l := &t.stage.job.load
		atNow, atPeak := s.interference.allowance(t, l.soon())*t.allowed()/sum, s.interference.allowance(t, l.high())/sum
		low = min(low, (min(atNow, 1)+min(atPeak, 1))/2)
	}
	return low
}

const (
	// guardCut is the factor by which a serving task over its target narrows what fillers may add, whatever the model
	// says, at each report.
	guardCut = 0.5
	// guardRise is the factor by which the allowance widens again at each report within the target.
	guardRise = 1.6
	// guardLeast is the narrowest allowance.
	guardLeast = 0.1
)

// watch narrows or widens the allowance of a serving task by its measured tail: an error of the model must not keep it
// over its target. One reading over it may be an outlier, the second in a row is not.
func (t *task) watch(now int64) {
	if t.load > t.stage.step.TargetMs {
		if t.overMs == 0 {
			t.overMs = now
			return
		}
		t.narrow = max(t.allowed()*guardCut, guardLeast)
		return
	}
	t.overMs = 0
	t.narrow = min(t.allowed()*guardRise, 1)
}

// harmed reports whether a serving task was over its target for so long that whatever fills beside it must stand still.
func (s *State) harmed(t *task) bool {
	return t.overMs > 0 && s.now.BootMs-t.overMs > int64(harmShare*float64(s.bounds.Harm.Milliseconds()))
}

// harmShare is the part of the time for which a serving task may be over its target after which fillers stand still. A
// change of pace shows in its tail a second later.
const harmShare = 0.4

// allowed is the part of the model's allowance that fillers may use.
func (t *task) allowed() float64 {
	if t.narrow == 0 {
		return 1
	}
	return t.narrow
}

// negligible is an effect that is within the error of measurement.
const negligible = 0.01
