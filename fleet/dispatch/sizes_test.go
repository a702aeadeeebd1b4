package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against the largest tenth of the jobs of a kind, or the fifth below it, that are served less than half as often as
// the kind, with the long best-effort jobs of turbine monitoring on half of the CPU that they got.
func TestLargeJobsAreServedHalfAsOften(t *testing.T) {
	for _, balanced := range []bool{false, true} {
		var all [][]*loadJob
		for seed := uint64(200); seed < 205; seed++ {
			jobs, l, _ := burstOfLongJobs(seed)
			b := &sizeBalance{}
			for _, j := range jobs {
				if balanced {
					j.balance, j.size = b, b.add(j.workMs())
				}
			}
			l.free = l.free[:len(l.free)/2]
			l.run(jobs, rankings[2].rank, 100_000)
			all = append(all, jobs)
		}
		kind, largest, large := ofUse(all, 0, 1), ofUse(all, 0.9, 1), ofUse(all, 0.7, 0.9)
		var c served
		for _, jobs := range all {
			one := countServed(jobs)
			c.onTime, c.late, c.weight = c.onTime+one.onTime, c.late+one.late, c.weight+one.weight
		}
		t.Logf("balanced %t: of use: all %.2f, largest tenth %.2f, next fifth %.2f; %.0f on time, %.0f late, %.0f core-seconds on time",
			balanced, kind, largest, large, c.onTime, c.late, c.weight)
		if balanced {
			assert.Assert(t, largest >= kind/2 && large >= kind/2)
		}
	}
}
