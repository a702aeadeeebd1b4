package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against single readings that are taken for load: one in fifteen is half as high again.
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

// Guards against fillers that are slowed down too late: a rising load is extrapolated over the time that a change takes.
func TestRisingLoadIsExtrapolated(t *testing.T) {
	var l load
	now := int64(0)
	for ; now < 8000; now += 60 {
		l.addSample(now, 0.2+0.05*float64(now)/1000)
	}
	actual := 0.2 + 0.05*float64(now)/1000
	assert.Assert(t, l.projected() > actual && l.projected() < actual+0.06, "%.3f at %.3f", l.projected(), actual)
}

// Guards against a guard that halves the room of fillers for one outlier, and one that does not act on a tail that stays over
// the target.
func TestGuardActsOnTheSecondReading(t *testing.T) {
	tk := servingTask(50)
	tk.load = 75
	tk.adjustHeadroom(1000)
	assert.Equal(t, tk.headroomShare(), 1.0)
	tk.adjustHeadroom(1450)
	assert.Equal(t, tk.headroomShare(), headroomCut)
	tk.load = 30
	tk.adjustHeadroom(1900)
	assert.Equal(t, tk.overTargetSinceMs, int64(0))
}
