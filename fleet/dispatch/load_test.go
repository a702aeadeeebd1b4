package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"
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
