package estimate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

var lookup = Key{Queue: "lookup", Image: "a"}

// Guards against estimates that differ from the declared durations before anything was learned.
func TestDeclaredDurationIsUsedFirst(t *testing.T) {
	e := New().Duration(lookup, 700)
	assert.Equal(t, e.MeanMs, int64(700))
	assert.Equal(t, e.Weight, 0.0)
}

// Guards against a wrong ratio for the declared durations of turbine monitoring, which are off by up to 0.9, and against
// the 3% of tasks of music previews that take 7 times as long, and values of faulty workers or clocks.
func TestRatioIsLearnedDespiteOutliers(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	m := New()
	for i := range 200 {
		actual := int64(1000 * 1.8 * (0.8 + 0.4*rng.Float64()))
		switch i % 33 {
		case 0:
			actual *= 7
		case 1:
			actual = 0
		case 2:
			actual = 1
		case 3:
			actual = 1 << 50
		}
		m.Observe(lookup, 1000, actual, int64(i)*100)
	}
	e := m.Duration(lookup, 500)
	assert.Assert(t, e.MeanMs > 800 && e.MeanMs < 1000, "%+v", e)
	assert.Assert(t, e.Spread < 0.5, "%+v", e)
	assert.Assert(t, e.AtMs == 19_800 && e.Weight > 30, "%+v", e)
}

// Guards against a kind that was never or seldom seen and does not follow its queue, or follows one observation entirely.
func TestKindsAreShrunkTowardsTheQueue(t *testing.T) {
	m := New()
	for i := range 50 {
		m.Observe(lookup, 1000, 2000, int64(i))
	}
	fresh := Key{Queue: "lookup", Step: 1}
	assert.Assert(t, m.Duration(fresh, 1000).MeanMs > 1700)
	m.Observe(fresh, 1000, 500, 60)
	one := m.Duration(fresh, 1000).MeanMs
	assert.Assert(t, one > 1000 && one < 2000, "%d", one)
	assert.Equal(t, m.Duration(Key{Queue: "other"}, 1000).MeanMs, int64(1000))
}

// Guards against a ratio that stays at what it was long ago.
func TestChangedRatioIsFollowed(t *testing.T) {
	m := New()
	for i := range 100 {
		m.Observe(lookup, 1000, 1000, int64(i)*100)
	}
	for i := range 30 {
		m.Observe(lookup, 1000, 3000, 200_000+int64(i)*100)
	}
	assert.Assert(t, m.Duration(lookup, 1000).MeanMs > 2200, "%+v", m.Duration(lookup, 1000))
}

// Guards against the rest of a step that keeps its declared duration although tasks of it have ended, and against one that
// follows the task that takes 7 times as long.
func TestSiblingsTellTheRestOfAStep(t *testing.T) {
	prior := New().Duration(lookup, 1000)
	e := prior.WithSiblings(1000, []int64{1900, 2000, 14_000, 2200})
	assert.Assert(t, e.MeanMs > 1700 && e.MeanMs < 2300, "%+v", e)
	assert.Assert(t, e.Spread < prior.Spread)
	assert.Equal(t, prior.WithSiblings(1000, nil), prior)
	assert.Assert(t, prior.WithSiblings(1000, []int64{2000, 14_000}).MeanMs < 2300)
}

// Guards against a model that grows with the image names that callers choose.
func TestNumberOfKeysIsBounded(t *testing.T) {
	m := New()
	for i := range 2 * maxKeys {
		m.Observe(Key{Queue: fmt.Sprint("q", i), Image: fmt.Sprint(i)}, 1000, 2000, int64(i))
	}
	kinds, ratio, spread := m.Kinds()
	assert.Equal(t, kinds, maxKeys)
	assert.Equal(t, len(m.queues), maxKeys)
	assert.Assert(t, ratio > 1 && spread > 0 && !math.IsNaN(ratio+spread))
}

// Guards against a decider that forgets other kinds than one with the same observations: steps that end at the same time
// were dropped in the order of a map.
func TestSameKindsAreDropped(t *testing.T) {
	kept := func() string {
		m := New()
		for i := range maxKeys + maxKeys/2 {
			m.Observe(Key{Queue: fmt.Sprint(i % 2), Step: i % 3, Image: fmt.Sprint(i), BestEffort: i%5 == 0}, 1000, 2000, 1)
		}
		list := make([]string, 0, maxKeys)
		for k := range m.kinds {
			list = append(list, fmt.Sprint(k))
		}
		slices.Sort(list)
		return fmt.Sprint(list)
	}
	first := kept()
	for range 3 {
		assert.Assert(t, kept() == first)
	}
}
