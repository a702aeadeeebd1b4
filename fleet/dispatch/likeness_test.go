package dispatch

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/fleet/work"
)

// learnedOf returns what is known after pressures were measured well.
func learnedOf(pressures map[pair]float64) *interference {
	in := newInterference()
	for p, mean := range pressures {
		in.fills.add(p.fills, 1)
		in.serves.add(p.serves, 1)
		in.demand[p.fills] = 1
		in.pressure[p] = pressure{mean, 0.01}
	}
	return &in
}

// Guards against serving images kept apart that the same fillers press, and put together although other fillers press them.
func TestLikenessOfServingImages(t *testing.T) {
	in := learnedOf(map[pair]float64{{"f1", "a"}: 4, {"f1", "b"}: 3, {"f1", "c"}: 0, {"f2", "a"}: 0, {"f2", "b"}: 0.1, {"f2", "c"}: 4,
		{"f1", "d"}: 0, {"f2", "d"}: 0.1})
	assert.Assert(t, in.unlike("a", "b") < 0.1)
	assert.Equal(t, in.unlike("a", "c"), 1.0)
	assert.Equal(t, in.unlike("c", "a"), 1.0)
	assert.Assert(t, in.unlike("a", "d") > 0.9, "work that could run beside d finds no room beside a")
	assert.Equal(t, in.unlike("a", "never met"), 1.0)
	assert.Equal(t, in.unlike("a", "a"), 0.0)
}

// Guards against a pair that has to be measured although images like it were: fillers were tried beside every image once.
func TestPressureOfAPairIsPredicted(t *testing.T) {
	in := learnedOf(map[pair]float64{{"f1", "a"}: 4, {"f1", "b"}: 4, {"f2", "a"}: 0, {"f2", "b"}: 0, {"new", "b"}: 4, {"f1", "c"}: 0,
		{"f2", "c"}: 4, {"new", "c"}: 0, {"light", "b"}: 0})
	assert.Assert(t, in.predict(pair{"new", "a"}).mean > 3)
	assert.Assert(t, in.predict(pair{"light", "a"}).mean < 0.5)
	unknown := in.predict(pair{"never met", "a"})
	assert.Equal(t, unknown, pressure{pressUnknown, pressSpread * pressSpread})
}

// Guards against a decider whose memory grows with every image that was ever used.
func TestImagesAreBounded(t *testing.T) {
	in := newInterference()
	serve := &task{stage: &stage{step: &work.Step{TargetMs: 50, Image: "s"}}}
	in.meet(serve, 0)
	for i := range 3 * imagesMost {
		f := &task{stage: &stage{step: &work.Step{CPU: 1000, Filler: true, Image: fmt.Sprint(i)}}}
		in.meet(f, int64(i))
		in.pressure[pairOf(f, serve)] = pressure{1, 1}
	}
	assert.Equal(t, len(in.fills.names), imagesMost)
	assert.Equal(t, len(in.pressure), imagesMost)
	assert.Equal(t, len(in.demand), imagesMost)
	_, kept := in.pressure[pair{fmt.Sprint(3*imagesMost - 1), "s"}]
	assert.Assert(t, kept, "the oldest image goes first")
}
