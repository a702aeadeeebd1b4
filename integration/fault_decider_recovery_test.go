package integration

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/external/memlog"
	"github.com/verbenakeel/verbenakeel/testkit/deploy"
)

// Guards against work that is lost or runs twice when the log goes down while a new decider recovers, and again while the
// next one does. In the first round the log goes down before any entry claims authority, in the second right after.
func TestLogDownWhileDeciderRecovers(t *testing.T) {
	t.Parallel()
	origin := time.Now()
	d := deployment(t, func(o *deploy.Options) {
		// A new decider waits for authority_max if the witness of the old one is lost as well.
		o.EntrySettings = append(quickSettings[1:2:2], deploy.Setting{Key: "times.authority_max", Value: "10s"}, deploy.Setting{Key: "times.task_lease", Value: "6s"}, deploy.Setting{Key: "times.poll_every", Value: "2s"})
	})
	publish(t, d)
	var jobs []string
	for round := range 2 {
		oldDecider := waitForDecider(t, d)
		other := (oldDecider + 1) % len(d.Entries)
		epoch := status(t, d.Entries[oldDecider]).Epoch
		jobs = append(jobs, fmt.Sprintf("long%d", round), fmt.Sprintf("queued%d", round))
		submitBatchJob(t, d.Entries[other], jobs[len(jobs)-2], 3, 12*time.Second)
		submitBatchJob(t, d.Entries[other], jobs[len(jobs)-1], 60, 300*time.Millisecond)
		wait(t, "tasks to run", func() bool { return countRunningTasks(t, d) >= 3 })
		assert.NilError(t, d.Entries[oldDecider].Process().Kill())
		if round > 0 {
			waitForClaim(t, d, oldDecider, epoch)
		}
		assert.NilError(t, d.SetLogFaults(t.Context(), memlog.Faults{Down: true}))
		// The leases of 6 s expire during the outage unless a new decider renews them with the help of its witness.
		time.Sleep(8 * time.Second)
		// The old decider restarts as a new incarnation, which has only the state that its peers send.
		assert.NilError(t, d.Entries[oldDecider].Start(t.Context()))
		assert.NilError(t, d.WaitHealthy(t.Context(), d.Entries[oldDecider]))
		// The log answers for 300 ms, is down for another second, and is then slow and loses replies.
		assert.NilError(t, d.SetLogFaults(t.Context(), memlog.Faults{}))
		time.Sleep(300 * time.Millisecond)
		assert.NilError(t, d.SetLogFaults(t.Context(), memlog.Faults{Down: true}))
		time.Sleep(time.Second)
		assert.NilError(t, d.SetLogFaults(t.Context(), memlog.Faults{DelayMs: 200, LoseReplies: 5}))
		waitForSuccessor(t, d, -1, epoch)
	}
	assert.NilError(t, d.SetLogFaults(t.Context(), memlog.Faults{}))
	checkTasks(t, d, origin, nil, jobs...)
}

// waitForClaim waits until an entry other than the killed one reports a newer epoch.
func waitForClaim(t *testing.T, d *deploy.Deployment, killed int, epoch uint64) {
	t.Helper()
	wait(t, "a claim", func() bool {
		for i, e := range d.Entries {
			if i == killed {
				continue
			}
			if s, ok := tryStatus(t, e); ok && s.Epoch > epoch {
				return true
			}
		}
		return false
	})
}
