package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/fleet/work"
)

// Guards against outliers in the load: one reading in fifteen is 1.5 times its neighbours.
func TestOutliersAreNotLoad(t *testing.T) {
	var l load
	for i := range 200 {
		r := 0.4
		if i%7 == 0 {
			r = 0.6
		}
		l.addSample(int64(i)*60, r)
	}
	assert.Equal(t, l.current, 0.4)
	assert.Equal(t, l.projected(), 0.4)
	assert.Equal(t, l.recentPeak(), 0.4)
}

// Guards against best-effort tasks that are throttled too late: a rising load is extrapolated over the time that a
// change takes.
func TestRisingLoadIsExtrapolated(t *testing.T) {
	var l load
	now := int64(0)
	for ; now < 8000; now += 60 {
		l.addSample(now, 0.2+0.05*float64(now)/1000)
	}
	actual := 0.2 + 0.05*float64(now)/1000
	assert.Assert(t, l.projected() > actual && l.projected() < actual+0.06, "%.3f at %.3f", l.projected(), actual)
}

// Guards against headroom that is halved for a single outlier, and headroom that is not reduced while the tail latency
// stays over the target.
func TestHeadroomIsCutOnSecondReading(t *testing.T) {
	tk := criticalTask(50)
	tk.load = 75
	tk.adjustHeadroom(1000)
	assert.Equal(t, tk.headroomShare(), 1.0)
	tk.adjustHeadroom(1450)
	assert.Equal(t, tk.headroomShare(), headroomCut)
	tk.load = 30
	tk.adjustHeadroom(1900)
	assert.Equal(t, tk.overTargetSinceMs, int64(0))
}

// Guards against best-effort tasks that wait for the next report of a worker although there is headroom already: the load
// of a latency-critical job falls with the reports of other workers too (fit-report on hartwell-keel).
func TestHeadroomByOtherReportsIsUsed(t *testing.T) {
	sim := newConnectedSimulation(t, 2)
	s := sim.state
	sim.submit(&work.Job{ID: jobID(1), Steps: []work.Step{{Count: 2, CPU: 2000, MemMB: 10, EstMs: 400, LongRunning: true, TargetMs: 50, Image: "sa", MaxPerWorker: 1}}})
	for range 60 {
		sim.advance()
	}
	j := s.jobs[jobID(1)]
	assert.Equal(t, j.active, 2)
	busy := func(load float64) { j.load = measuredLoad(s.now.BootMs, load) }
	busy(0.95)
	sim.submit(&work.Job{ID: jobID(2), Steps: []work.Step{{Count: 1, CPU: 1000, MemMB: 10, EstMs: 400, BestEffort: true, Image: "fa"}}})
	s.Step(sim.at(), Place{})
	s.Step(sim.at(), Tick{})
	assert.Equal(t, s.jobs[jobID(2)].active, 0)
	sim.now += minRescanMs + rescanMsPerWorker*2 + fitTTLMs
	busy(0.01)
	s.Step(sim.at(), Tick{})
	assert.Equal(t, s.jobs[jobID(2)].active, 1, "the task waits for a report of its worker")
}

// measuredLoad returns a measured load without a slope.
func measuredLoad(nowMs int64, current float64) load {
	return load{current: current, atMs: nowMs, peak: current, peakMs: nowMs, fromMs: nowMs, fromLoad: current, unaffectedMs: nowMs}
}
