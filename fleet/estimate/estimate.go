// Package estimate learns how long tasks take. A declared duration may be off by a factor that is alike for the tasks of one
// step and often for the steps of one kind. The package is pure: the time comes with each observation.
package estimate

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
)

const (
	// maxKeys bounds the kinds of steps that are kept, as image names come from callers.
	maxKeys = 1024
	// maxLogRatio bounds the logarithm of a ratio: a factor of 16. Ratios beyond come from faulty workers or clocks.
	maxLogRatio = 2.77
	// halfLifeMs is the time in which an observation loses half of its weight.
	halfLifeMs = 60_000
	// maxWeight bounds the weight of the observations, so that a changed ratio is followed.
	maxWeight = 40
	// clipSpreads is the number of spreads beyond which the deviation of an observation no longer adds.
	clipSpreads = 2.0
	// priorWeight is the weight, in observations, of the more general estimate.
	priorWeight = 4.0
	// priorSpread is the spread of the logarithm of a ratio of which nothing is known: declared durations are off by up to
	// 0.9.
	priorSpread = 0.8
	// minSpread is the least spread of a kind, as tasks of one step already differ by 15%.
	minSpread = 0.15
	// siblingSpread is the spread of the logarithms of the durations of tasks of one step, which differ by 15 to 30%, and
	// of the durations that their progress shows.
	siblingSpread = 0.3
)

// Key names a kind of step.
type Key struct {
	// Queue is the name of the queue, Step the index of the step in its job and Image the program that it runs.
	Queue string
	Step  int
	Image string
	// BestEffort steps take longer where little CPU is left.
	BestEffort bool
}

// Estimate is how long a task is expected to take.
type Estimate struct {
	// MeanMs is the typical duration in milliseconds, at least 1. SpreadMs is by how much more a task at one standard
	// deviation takes.
	MeanMs, SpreadMs int64
	// Ratio is MeanMs over the declared duration, and Spread the standard deviation of its logarithm.
	Ratio, Spread float64
	// Weight is the number of observations that the estimate is based on, where older ones count for less; 0 if it is the
	// declared duration. AtMs is the time of the newest one.
	Weight float64
	AtMs   int64
}

// ratios is a robust mean of the logarithms of ratios of actual to declared durations.
type ratios struct {
	mean, spread, weight float64
	atMs                 int64
}

// add adds an observation around a prior mean that counts while there are few.
func (r *ratios) add(logRatio, prior float64, now int64) {
	if r.weight == 0 {
		r.mean, r.spread = prior, priorSpread
	}
	r.weight *= math.Exp2(-float64(max(now-r.atMs, 0)) / halfLifeMs)
	r.atMs = max(now, r.atMs)
	r.weight = min(r.weight+1, maxWeight)
	limit := clipSpreads * r.spread
	deviation := min(max(logRatio-r.mean, -limit), limit)
	step := 1 / (r.weight + priorWeight)
	r.mean += deviation / max(r.weight, 1)
	// The mean absolute deviation of a normal distribution is 0.8 of its standard deviation.
	r.spread = max(r.spread+step*(math.Abs(deviation)/0.8-r.spread), minSpread)
}

// Model learns the ratio of actual to declared durations for each queue and kind of step. The zero value is not usable; use
// New.
type Model struct {
	kinds  map[Key]*ratios
	queues map[string]*ratios
}

// New returns a model that has learned nothing.
func New() *Model { return &Model{kinds: map[Key]*ratios{}, queues: map[string]*ratios{}} }

// Observe records that a task or step took actualMs instead of declaredMs milliseconds. Values below 1 are ignored. now is
// in milliseconds of a clock that does not go back.
func (m *Model) Observe(k Key, declaredMs, actualMs int64, now int64) {
	if declaredMs < 1 || actualMs < 1 {
		return
	}
	x := min(max(math.Log(float64(actualMs)/float64(declaredMs)), -maxLogRatio), maxLogRatio)
	q := entry(m.queues, k.Queue, strings.Compare)
	prior := q.shrunk(0)
	entry(m.kinds, k, Key.compare).add(x, prior, now)
	q.add(x, 0, now)
}

// compare orders keys.
func (k Key) compare(o Key) int {
	return cmp.Or(strings.Compare(k.Queue, o.Queue), cmp.Compare(k.Step, o.Step), strings.Compare(k.Image, o.Image), compareBools(k.BestEffort, o.BestEffort))
}

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// entry returns the ratios of a key. It makes room by dropping the one that was observed longest ago, of those the lowest
// key, so that the result does not depend on map order.
func entry[K comparable](list map[K]*ratios, k K, compare func(a, b K) int) *ratios {
	if r := list[k]; r != nil {
		return r
	}
	if len(list) >= maxKeys {
		var oldest K
		found := false
		for key, r := range list {
			if !found || cmp.Or(cmp.Compare(r.atMs, list[oldest].atMs), compare(key, oldest)) < 0 {
				oldest, found = key, true
			}
		}
		delete(list, oldest)
	}
	r := &ratios{}
	list[k] = r
	return r
}

// shrunk returns the mean, drawn towards a prior mean while there are few observations.
func (r *ratios) shrunk(prior float64) float64 {
	if r == nil {
		return prior
	}
	return (r.weight*r.mean + priorWeight*prior) / (r.weight + priorWeight)
}

// Duration returns the expected duration of a task of which nothing is known but its kind. With nothing learned it is the
// declared duration.
func (m *Model) Duration(k Key, declaredMs int64) Estimate {
	q, kind := m.queues[k.Queue], m.kinds[k]
	e := Estimate{Ratio: 1, Spread: priorSpread}
	if q != nil {
		e.Ratio, e.Spread, e.Weight, e.AtMs = math.Exp(q.shrunk(0)), q.spread, q.weight, q.atMs
	}
	if kind != nil {
		e.Ratio, e.Spread, e.Weight, e.AtMs = math.Exp(kind.shrunk(q.shrunk(0))), kind.spread, kind.weight, kind.atMs
	}
	return e.withDeclared(declaredMs)
}

func (e Estimate) withDeclared(declaredMs int64) Estimate {
	mean := float64(max(declaredMs, 1)) * e.Ratio
	e.MeanMs = max(int64(math.Round(mean)), 1)
	e.SpreadMs = int64(mean * (math.Exp(e.Spread) - 1))
	return e
}

// WithSiblings returns the estimate for the rest of the tasks of a step, some of which took or are seen to take the given
// times in milliseconds. The lower median is used, so that a task that takes many times as long as the others has little
// weight. The durations are sorted in place.
func (e Estimate) WithSiblings(declaredMs int64, durationsMs []int64) Estimate {
	median := Median(durationsMs)
	if median < 1 {
		return e
	}
	x := math.Log(float64(median) / float64(max(declaredMs, 1)))
	n := float64(len(durationsMs))
	own, learned := n/(siblingSpread*siblingSpread), 1/(e.Spread*e.Spread)
	e.Ratio = math.Exp((own*x + learned*math.Log(e.Ratio)) / (own + learned))
	e.Spread = max(math.Sqrt(1/(own+learned)), siblingSpread/2)
	e.Weight += n
	return e.withDeclared(declaredMs)
}

// Median sorts a list in place and returns its lower median, or 0 if it is empty.
func Median(list []int64) int64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[(len(list)-1)/2]
}

// Kinds returns the number of kinds of steps that were observed, and the mean ratio and spread of the queues, weighted by
// their observations; 1 and 0 if there is none.
func (m *Model) Kinds() (kinds int, ratio, spread float64) {
	mean, weight := 0.0, 0.0
	for _, name := range slices.Sorted(maps.Keys(m.queues)) {
		q := m.queues[name]
		mean, spread, weight = mean+q.weight*q.mean, spread+q.weight*q.spread, weight+q.weight
	}
	if weight == 0 {
		return len(m.kinds), 1, 0
	}
	return len(m.kinds), math.Exp(mean / weight), spread / weight
}
