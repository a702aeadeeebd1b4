package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/fleet/work"
)

// servingTask returns a task that serves.
func servingTask(targetMs int64) *task {
	return &task{stage: &stage{job: &job{}, step: &work.Step{CPU: 1000, TargetMs: targetMs, Lasting: true, Image: "s"}}}
}

// Guards against a new decider that learns again, at the cost of those that serve, what the one before knew.
func TestNextDeciderKnowsWhatWasLearned(t *testing.T) {
	w := settleWorld(t, 1)
	s := w.state
	s.interference.recordImage(servingTask(50), s.now.BootMs)
	filler := &task{stage: &stage{step: &work.Step{CPU: 2000, EstMs: 3000, Filler: true, Image: "f"}}}
	s.interference.recordImage(filler, s.now.BootMs)
	s.interference.idleTails["s"] = 10
	s.interference.coefficients[pair{"f", "s"}] = coefficient{3.5, 0.04}
	s.interference.changed = true
	s.now.BootMs += minStoreIntervalMs
	var kept work.Record
	for _, r := range s.Collect().Schedule {
		if r.Key == work.KeyInterference {
			kept = r
		}
	}
	var in work.Interference
	assert.NilError(t, work.Decode(kept.Value, &in))

	next := New(w.bounds, 2, w.at())
	next.Step(w.at(), Learned{Interference: &in})
	got := next.interference.coefficients[pair{"f", "s"}]
	assert.Assert(t, got.mean > 3.4 && got.mean < 3.6 && got.variance > 0.03 && got.variance < 0.06, "%+v", got)
	assert.Equal(t, next.interference.idleTails["s"], 10.0)
	assert.Equal(t, next.interference.demand["f"], 6000.0)

	// It is stored only when it has changed and not more often than its size allows.
	assert.Equal(t, len(s.Collect().Schedule), 0)
	s.interference.changed = true
	assert.Equal(t, len(s.Collect().Schedule), 0)
	s.now.BootMs += minStoreIntervalMs
	assert.Equal(t, len(s.Collect().Schedule), 1)
}

// Guards against a decider that ends, or learns nonsense, by a record of another version.
func TestRecordOfStrangePairsIsPassedOver(t *testing.T) {
	s := New(settleWorld(t, 1).bounds, 2, Now{BootMs: 1})
	s.Step(Now{BootMs: 2}, Learned{Interference: &work.Interference{Fillers: []string{"f"}, Serving: []string{"s"}, Pressures: []work.PairPressure{
		{Filler: 5, Serving: 0, Mean: 1}, {Filler: -1, Serving: 0}, {Filler: 0, Serving: 1}, {Filler: 0, Serving: 0, Mean: 1 << 30, Variance: -4}}}})
	assert.Equal(t, len(s.interference.coefficients), 1)
	assert.Equal(t, s.interference.coefficients[pair{"f", "s"}].mean, float64(maxCoefficient))
	assert.Assert(t, s.interference.coefficients[pair{"f", "s"}].variance > 0)
}
