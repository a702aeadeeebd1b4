package integration

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/external/memlog"
	"github.com/verbenakeel/verbenakeel/testkit/deploy"
	"github.com/verbenakeel/verbenakeel/testkit/history"
)

// Guards against task starts in a zone that was taken out, jobs that never finish, lost requests and false refusals while
// every call to the log takes hundreds of milliseconds.
func TestSlowLog(t *testing.T) {
	for _, ms := range []int{300, 700} {
		t.Run(fmt.Sprintf("%d ms", ms), func(t *testing.T) {
			t.Parallel()
			origin := time.Now()
			d := deployment(t, func(o *deploy.Options) { o.EntrySettings = quickSettings })
			publish(t, d)
			assert.NilError(t, d.SetLogFaults(t.Context(), memlog.Faults{DelayMs: ms}))
			tr := newTraffic(d)
			const n = 300
			finishReads := tr.start(t, tr.noLossConfig(50, n, repeatableRequests("slow", "")))
			finishWrites := tr.start(t, tr.config(20, 120, onceRequests("slow-once", "4000")))
			var jobs []string
			for i := range 6 {
				jobs = append(jobs, fmt.Sprintf("j%d", i))
				submitBatchJob(t, d.Entries[i%3], jobs[i], 4, 1500*time.Millisecond)
			}
			wait(t, "tasks to run", func() bool { return countRunningTasks(t, d) >= 1 })
			code, body := changeZone(t, d, 1, "midshire-a", true, 0)
			out := history.ZoneState{At: time.Since(origin), Zone: "midshire-a", Out: true}
			assert.Equal(t, code, 200, string(body))
			for i := range 3 {
				jobs = append(jobs, fmt.Sprintf("late%d", i))
				submitBatchJob(t, d.Entries[i], jobs[len(jobs)-1], 4, 500*time.Millisecond)
			}
			r := finishReads()
			assert.Equal(t, r.Outcomes[history.Answered], n, "%v", r.Outcomes)
			t.Log("requests that run at most once:", finishWrites().Outcomes)
			tr.check(t)
			checkTasks(t, d, origin, []history.Event{out}, jobs...)
		})
	}
}
