package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/fleet/work"
)

// criticalTask returns a latency-critical task.
func criticalTask(targetMs int64) *task {
	return &task{stage: &stage{job: &job{}, step: &work.Step{CPU: 1000, TargetMs: targetMs, LongRunning: true, Image: "s"}}}
}

// Guards against a new decider that relearns the interference model at the cost of latency-critical tasks.
func TestModelSurvivesDeciderChange(t *testing.T) {
	sim := newConnectedSimulation(t, 1)
	s := sim.state
	s.interference.recordImage(criticalTask(50), s.now.BootMs)
	be := &task{stage: &stage{step: &work.Step{CPU: 2000, EstMs: 3000, BestEffort: true, Image: "f"}}}
	s.interference.recordImage(be, s.now.BootMs)
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

	next := New(sim.bounds, 2, sim.at(), Options{LoadForecast: true, PlaceByForecast: true})
	next.Step(sim.at(), ModelRestored{Interference: &in})
	got := next.interference.coefficients[pair{"f", "s"}]
	assert.Assert(t, got.mean > 3.4 && got.mean < 3.6 && got.variance > 0.03 && got.variance < 0.06, "%+v", got)
	assert.Equal(t, next.interference.idleTails["s"], 10.0)
	assert.Equal(t, next.interference.demand["f"], 6000.0)

	// The model is stored only after a change and no more often than its size allows.
	assert.Equal(t, len(s.Collect().Schedule), 0)
	s.interference.changed = true
	assert.Equal(t, len(s.Collect().Schedule), 0)
	s.now.BootMs += minStoreIntervalMs
	assert.Equal(t, len(s.Collect().Schedule), 1)
}

// Guards against a decider that panics on, or learns wrong coefficients from, a record of another version.
func TestInvalidPairsInModelRecordAreIgnored(t *testing.T) {
	s := New(newConnectedSimulation(t, 1).bounds, 2, Now{BootMs: 1}, Options{})
	s.Step(Now{BootMs: 2}, ModelRestored{Interference: &work.Interference{BestEffortImages: []string{"f"}, LatencyCriticalImages: []string{"s"}, Slowdowns: []work.PairSlowdown{
		{BestEffort: 5, LatencyCritical: 0, Mean: 1}, {BestEffort: -1, LatencyCritical: 0}, {BestEffort: 0, LatencyCritical: 1}, {BestEffort: 0, LatencyCritical: 0, Mean: 1 << 30, Variance: -4}}}})
	assert.Equal(t, len(s.interference.coefficients), 1)
	assert.Equal(t, s.interference.coefficients[pair{"f", "s"}].mean, float64(maxCoefficient))
	assert.Assert(t, s.interference.coefficients[pair{"f", "s"}].variance > 0)
}
