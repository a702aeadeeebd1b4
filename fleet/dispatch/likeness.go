package dispatch

import (
	"slices"
)

const (
	// imagesMost bounds the images of each kind whose pressures are kept.
	imagesMost = 96
	// refreshMs is how long what is derived from the pressures is used before it is derived anew.
	refreshMs = 500
	// knownVariance is the variance below which a pressure counts as known.
	knownVariance = 1.0
	// pressFull is the pressure from which on a filler finds next to no room beside a serving task at the peak of its load.
	pressFull = 2.5
	// unlikeScale stretches the part of the fillers' work that presses one of two images alone: images that react to
	// different halves of the work are wholly unlike.
	unlikeScale = 2.0
	// unlikeMost is the contrast up to which the pressures on one image say something of those on another.
	unlikeMost = 0.5
	// guessWeight is the weight of the general guess against one known pressure on an image that is alike.
	guessWeight = 0.25
)

// imageSet is a set of image names in their order, so that sums over it are always taken in the same order.
type imageSet struct {
	names []string
	seen  map[string]int64
}

// add adds an image that is in use now and returns one that was dropped for it, or an empty string.
func (s *imageSet) add(name string, now int64) (dropped string) {
	if s.seen == nil {
		s.seen = map[string]int64{}
	}
	if _, ok := s.seen[name]; !ok {
		if len(s.names) >= imagesMost {
			dropped = s.oldest()
			s.drop(dropped)
		}
		i, _ := slices.BinarySearch(s.names, name)
		s.names = slices.Insert(s.names, i, name)
	}
	s.seen[name] = now
	return dropped
}

func (s *imageSet) oldest() string {
	oldest := s.names[0]
	for _, n := range s.names {
		if s.seen[n] < s.seen[oldest] {
			oldest = n
		}
	}
	return oldest
}

func (s *imageSet) drop(name string) {
	delete(s.seen, name)
	if i, ok := slices.BinarySearch(s.names, name); ok {
		s.names = slices.Delete(s.names, i, i+1)
	}
}

// meet notes that a task of a filler's or a serving image is placed.
func (in *interference) meet(t *task, now int64) {
	step := t.stage.step
	switch {
	case step.Filler:
		if old := in.fills.add(step.Image, now); old != "" {
			in.forget(func(p pair) bool { return p.fills == old })
			delete(in.demand, old)
		}
		in.demand[step.Image] += float64(step.CPU) * float64(est(step)) / 1000
	case step.TargetMs > 0:
		if old := in.serves.add(step.Image, now); old != "" {
			in.forget(func(p pair) bool { return p.serves == old })
			delete(in.idle, old)
		}
	}
}

func (in *interference) forget(match func(pair) bool) {
	for p := range in.pressure {
		if match(p) {
			delete(in.pressure, p)
		}
	}
}

// guesses caches what is derived from the pressures.
type guesses struct {
	// contrast compares serving images, pressure holds what is expected of pairs not measured yet.
	contrast map[[2]string]contrast
	pressure map[pair]pressure
}

func newGuesses() guesses {
	return guesses{map[[2]string]contrast{}, map[pair]pressure{}}
}

// refresh drops guesses that rest on pressures of before.
func (in *interference) refresh(now int64) {
	if now-in.guessedMs >= refreshMs {
		in.guesses, in.guessedMs = newGuesses(), now
	}
}

// contrast is how differently fillers press two serving images.
type contrast struct {
	// differ is the part of the known work that finds room beside one of them alone, stretched to 0 to 1.
	differ float64
	// known is the part of the fillers' work whose pressure on both is known.
	known float64
}

// compare compares two serving images.
func (in *interference) compare(a, b string) contrast {
	if a > b {
		a, b = b, a
	}
	key := [2]string{a, b}
	if v, ok := in.guesses.contrast[key]; ok {
		return v
	}
	known, unknown, differ := 0.0, 0.0, 0.0
	for _, f := range in.fills.names {
		d := in.demand[f]
		p, okA := in.pressure[pair{f, a}]
		q, okB := in.pressure[pair{f, b}]
		if !okA || !okB || p.variance > knownVariance || q.variance > knownVariance {
			unknown += d
			continue
		}
		known += d
		differ += d * max(closed(p.mean)-closed(q.mean), closed(q.mean)-closed(p.mean))
	}
	var v contrast
	if known > 0 {
		v = contrast{min(unlikeScale*differ/known, 1), known / (known + unknown)}
	}
	in.guesses.contrast[key] = v
	return v
}

// unlike returns how differently fillers press two serving images: 0 if the same fillers press both, 1 if no filler that
// presses one finds room beside the other or if nothing is known.
func (in *interference) unlike(a, b string) float64 {
	if a == b {
		return 0
	}
	c := in.compare(a, b)
	return c.differ*c.known + 1 - c.known
}

// closed is the part of its work for which a filler of a pressure finds no room.
func closed(p float64) float64 { return min(p/pressFull, 1) }

// predict returns what is expected of a pair that was not measured yet: a serving image reacts to a filler as the images do
// that react to other fillers as it does.
func (in *interference) predict(p pair) pressure {
	if v, ok := in.guesses.pressure[p]; ok {
		return v
	}
	sum, weights := pressUnknown*guessWeight, guessWeight
	for _, other := range in.serves.names {
		k, ok := in.pressure[pair{p.fills, other}]
		if !ok || other == p.serves || k.variance > knownVariance {
			continue
		}
		if c := in.compare(p.serves, other); c.differ < unlikeMost {
			like := (1 - c.differ) * c.known
			sum += like * k.mean
			weights += like
		}
	}
	v := pressure{sum / weights, pressSpread * pressSpread * guessWeight / weights}
	in.guesses.pressure[p] = v
	return v
}

// mixCost returns how much the serving tasks on a worker differ from a task that serves in what presses them: 0 if no
// filler finds less room there because of it.
func (s *State) mixCost(t *task, w *worker) float64 {
	image := t.stage.step.Image
	sum, n := 0.0, 0
	for _, o := range w.tasks {
		if o == t || o.stage.step.TargetMs == 0 {
			continue
		}
		n++
		if o.stage.step.Image != image {
			sum += s.interference.unlike(image, o.stage.step.Image)
		}
	}
	return sum / float64(max(n, 1))
}
