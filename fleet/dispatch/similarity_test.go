package dispatch

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/fleet/work"
)

// newModelWith returns a model in which the given coefficients are known.
func newModelWith(pressures map[pair]float64) *interferenceModel {
	in := newInterferenceModel()
	for p, mean := range pressures {
		in.bestEffort.add(p.bestEffort, 1)
		in.critical.add(p.critical, 1)
		in.demand[p.bestEffort] = 1
		in.coefficients[p] = coefficient{mean, 0.01}
	}
	return &in
}

// Guards against latency-critical images kept apart although the same best-effort images interfere with both, and
// against images placed together although different ones interfere with them.
func TestDissimilarityOfCriticalImages(t *testing.T) {
	in := newModelWith(map[pair]float64{{"f1", "a"}: 4, {"f1", "b"}: 3, {"f1", "c"}: 0, {"f2", "a"}: 0, {"f2", "b"}: 0.1, {"f2", "c"}: 4,
		{"f1", "d"}: 0, {"f2", "d"}: 0.1})
	assert.Assert(t, in.dissimilarity("a", "b") < 0.1)
	assert.Equal(t, in.dissimilarity("a", "c"), 1.0)
	assert.Equal(t, in.dissimilarity("c", "a"), 1.0)
	assert.Assert(t, in.dissimilarity("a", "d") > 0.9, "work that could run beside d has no headroom beside a")
	assert.Equal(t, in.dissimilarity("a", "never met"), 1.0)
	assert.Equal(t, in.dissimilarity("a", "a"), 0.0)
}

// Guards against pairs that must be measured although similar images were: each best-effort image was tried once beside
// every latency-critical image.
func TestCoefficientIsPredicted(t *testing.T) {
	in := newModelWith(map[pair]float64{{"f1", "a"}: 4, {"f1", "b"}: 4, {"f2", "a"}: 0, {"f2", "b"}: 0, {"new", "b"}: 4, {"f1", "c"}: 0,
		{"f2", "c"}: 4, {"new", "c"}: 0, {"light", "b"}: 0})
	assert.Assert(t, in.predict(pair{"new", "a"}).mean > 3)
	assert.Assert(t, in.predict(pair{"light", "a"}).mean < 0.5)
	unknown := in.predict(pair{"never met", "a"})
	assert.Equal(t, unknown, coefficient{priorMean, priorStdDev * priorStdDev})
}

// Guards against a model that grows with every image that was ever used.
func TestImagesAreBounded(t *testing.T) {
	in := newInterferenceModel()
	serve := &task{stage: &stage{step: &work.Step{TargetMs: 50, Image: "s"}}}
	in.recordImage(serve, 0)
	for i := range 3 * maxImages {
		f := &task{stage: &stage{step: &work.Step{CPU: 1000, BestEffort: true, Image: fmt.Sprint(i)}}}
		in.recordImage(f, int64(i))
		in.coefficients[pairOf(f, serve)] = coefficient{1, 1}
	}
	assert.Equal(t, len(in.bestEffort.names), maxImages)
	assert.Equal(t, len(in.coefficients), maxImages)
	assert.Equal(t, len(in.demand), maxImages)
	_, kept := in.coefficients[pair{fmt.Sprint(3*maxImages - 1), "s"}]
	assert.Assert(t, kept, "the newest image was removed instead of the oldest")
}
