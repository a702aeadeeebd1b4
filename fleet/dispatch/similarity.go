package dispatch

import (
	"slices"
)

const (
	// maxImages bounds the number of images of each role whose coefficients are kept.
	maxImages = 96
	// predictionTTLMs is how long values derived from the coefficients are cached.
	predictionTTLMs = 500
	// knownVariance is the variance below which a coefficient counts as known.
	knownVariance = 1.0
	// saturatingCoefficient is the coefficient from which on a best-effort task has almost no headroom beside a
	// latency-critical task at its peak load.
	saturatingCoefficient = 2.5
	// dissimilarityScale scales the part of the best-effort work that interferes with only one of two images: images
	// that are sensitive to different halves of the work are fully dissimilar.
	dissimilarityScale = 2.0
	// maxDissimilarity is the dissimilarity up to which the coefficients of one image are used to predict those of
	// another.
	maxDissimilarity = 0.5
	// priorWeight is the weight of the prior mean relative to that of one known coefficient of a similar image.
	priorWeight = 0.25
)

// imageSet is a sorted set of image names, so that sums over it are always computed in the same order.
type imageSet struct {
	names      []string
	lastUsedMs map[string]int64
}

// add adds an image that is in use now. It returns the name of an image that it removed to make space, or an empty
// string.
func (s *imageSet) add(name string, now int64) (dropped string) {
	if s.lastUsedMs == nil {
		s.lastUsedMs = map[string]int64{}
	}
	if _, ok := s.lastUsedMs[name]; !ok {
		if len(s.names) >= maxImages {
			dropped = s.oldest()
			s.drop(dropped)
		}
		i, _ := slices.BinarySearch(s.names, name)
		s.names = slices.Insert(s.names, i, name)
	}
	s.lastUsedMs[name] = now
	return dropped
}

func (s *imageSet) oldest() string {
	oldest := s.names[0]
	for _, n := range s.names {
		if s.lastUsedMs[n] < s.lastUsedMs[oldest] {
			oldest = n
		}
	}
	return oldest
}

func (s *imageSet) drop(name string) {
	delete(s.lastUsedMs, name)
	if i, ok := slices.BinarySearch(s.names, name); ok {
		s.names = slices.Delete(s.names, i, i+1)
	}
}

// recordImage records the image of a best-effort or latency-critical task that is placed.
func (m *interferenceModel) recordImage(t *task, now int64) {
	step := t.stage.step
	switch {
	case step.BestEffort:
		if old := m.bestEffort.add(step.Image, now); old != "" {
			m.dropPairs(func(p pair) bool { return p.bestEffort == old })
			delete(m.demand, old)
		}
		m.demand[step.Image] += float64(step.CPU) * float64(estimateMs(step)) / 1000
	case step.TargetMs > 0:
		if old := m.critical.add(step.Image, now); old != "" {
			m.dropPairs(func(p pair) bool { return p.critical == old })
			delete(m.idleTails, old)
		}
	}
}

func (m *interferenceModel) dropPairs(match func(pair) bool) {
	for p := range m.coefficients {
		if match(p) {
			delete(m.coefficients, p)
		}
	}
}

// predictionCache caches values derived from the coefficients.
type predictionCache struct {
	// comparisons compares latency-critical images, and coefficients holds the predicted coefficients of unmeasured
	// pairs.
	comparisons  map[[2]string]comparison
	coefficients map[pair]coefficient
}

func newPredictionCache() predictionCache {
	return predictionCache{map[[2]string]comparison{}, map[pair]coefficient{}}
}

// refresh discards cached values that are older than predictionTTLMs.
func (m *interferenceModel) refresh(now int64) {
	if now-m.predictedMs >= predictionTTLMs {
		m.predictions, m.predictedMs = newPredictionCache(), now
	}
}

// comparison tells how differently best-effort images interfere with two latency-critical images.
type comparison struct {
	// dissimilarity is the part of the known best-effort work that has headroom beside only one of them, scaled and
	// limited to 1.
	dissimilarity float64
	// knownShare is the part of the best-effort work whose coefficients on both are known.
	knownShare float64
}

// compare compares two latency-critical images.
func (m *interferenceModel) compare(a, b string) comparison {
	if a > b {
		a, b = b, a
	}
	key := [2]string{a, b}
	if v, ok := m.predictions.comparisons[key]; ok {
		return v
	}
	known, unknown, differ := 0.0, 0.0, 0.0
	for _, f := range m.bestEffort.names {
		d := m.demand[f]
		p, okA := m.coefficients[pair{f, a}]
		q, okB := m.coefficients[pair{f, b}]
		if !okA || !okB || p.variance > knownVariance || q.variance > knownVariance {
			unknown += d
			continue
		}
		known += d
		differ += d * max(blockedShare(p.mean)-blockedShare(q.mean), blockedShare(q.mean)-blockedShare(p.mean))
	}
	var v comparison
	if known > 0 {
		v = comparison{min(dissimilarityScale*differ/known, 1), known / (known + unknown)}
	}
	m.predictions.comparisons[key] = v
	return v
}

// dissimilarity returns how differently best-effort images interfere with two latency-critical images: 0 if the same
// images interfere with both, 1 if no image that interferes with one has headroom beside the other, or if nothing is
// known.
func (m *interferenceModel) dissimilarity(a, b string) float64 {
	if a == b {
		return 0
	}
	c := m.compare(a, b)
	return c.dissimilarity*c.knownShare + 1 - c.knownShare
}

// blockedShare is the part of its work for which a best-effort task has no headroom at a coefficient.
func blockedShare(p float64) float64 { return min(p/saturatingCoefficient, 1) }

// predict predicts the coefficient of an unmeasured pair: a weighted mean of the prior and of the coefficients of the
// same best-effort image on similar latency-critical images.
func (m *interferenceModel) predict(p pair) coefficient {
	if v, ok := m.predictions.coefficients[p]; ok {
		return v
	}
	sum, weights := priorMean*priorWeight, priorWeight
	for _, other := range m.critical.names {
		k, ok := m.coefficients[pair{p.bestEffort, other}]
		if !ok || other == p.critical || k.variance > knownVariance {
			continue
		}
		if c := m.compare(p.critical, other); c.dissimilarity < maxDissimilarity {
			similarity := (1 - c.dissimilarity) * c.knownShare
			sum += similarity * k.mean
			weights += similarity
		}
	}
	v := coefficient{sum / weights, priorStdDev * priorStdDev * priorWeight / weights}
	m.predictions.coefficients[p] = v
	return v
}

// colocationCost returns the mean dissimilarity of the latency-critical tasks on a worker to a latency-critical task: 0
// if no best-effort task loses headroom by their co-location.
func (s *State) colocationCost(t *task, w *worker) float64 {
	image := t.stage.step.Image
	sum, n := 0.0, 0
	for _, o := range w.tasks {
		if o == t || o.stage.step.TargetMs == 0 {
			continue
		}
		n++
		if o.stage.step.Image != image {
			sum += s.interference.dissimilarity(image, o.stage.step.Image)
		}
	}
	return sum / float64(max(n, 1))
}
