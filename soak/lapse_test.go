package soak

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/platform/platformtest"
	"gotest.tools/v3/poll"
)

// Guards against a checker that reports a start after an end which does not count as acknowledged, as the lease of its worker had lapsed
// before (soak seed 20261206314), and against a system that starts a task again before that lease has lapsed: the side process of the
// first worker is cut off, its run ends done, the run elsewhere is held up until that end was acknowledged.
func TestStartAfterLapsedEndIsAllowed(t *testing.T) {
	t.Parallel()
	const job, task = "0000000100000004", "0000000100000004.0.0.0"
	d := newDeployment(t, 1, 1, 2)
	for _, n := range d.sides {
		n.heldPath, n.releaseStarts = "/-/run-", make(chan struct{})
	}
	duration, result := d.checker.drawRun(task, 1)
	assert.Assert(t, result == "done" && duration > time.Second, "the end must come after the cut")
	d.checker.jobs[job] = &submission{steps: []int{1}}
	client := &http.Client{Timeout: callTimeout}
	defer client.CloseIdleConnections()
	await := func(what string, is func(c *checker) bool) {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			d.checker.mu.Lock()
			defer d.checker.mu.Unlock()
			if is(d.checker) {
				return poll.Success()
			}
			return poll.Continue("%s; %v", what, d.checker.problems)
		}, poll.WithTimeout(60*time.Second), poll.WithDelay(time.Millisecond))
	}
	await("the job is not accepted", func(c *checker) bool {
		c.jobs[job].accepted = c.jobs[job].accepted || d.submitOnce(client, job)
		return c.jobs[job].accepted
	})
	first, second := d.sides[0], d.sides[1]
	await("nothing runs", func(c *checker) bool {
		if strings.HasPrefix(c.runningOn[task], second.name) {
			first, second = second, first
		}
		return c.runningOn[task] != ""
	})
	first.peerProxy.Cut()
	second.lateBy.Store(int64(2 * time.Minute))
	await("the run has not ended", func(c *checker) bool { return c.done[task] })
	await("the task is not started elsewhere", func(*checker) bool { return second.heldCalls.Load() > 0 })
	first.peerProxy.Restore()
	await("the end is not acknowledged", func(c *checker) bool { return c.lapsed[task] || c.acknowledgedDone[task] != "" })
	close(second.releaseStarts)
	await("the late start is not executed", func(c *checker) bool { return c.starts > 1 })
	second.lateBy.Store(0)
	d.finish()
	assert.Equal(t, len(d.checker.allowed), 1, "%v", d.checker.allowed)
}

// submitOnce hands in a job of one task and returns whether it was accepted.
func (d *deployment) submitOnce(client *http.Client, job string) bool {
	status, _ := d.exchange(client, d.entries[0], http.MethodPost, "/q/"+job, jobBody([]int{1}, false))
	return status >= 200 && status < 300
}

// Guards against a task that runs on two workers (TWICE, soak seed 20261206505): a start that got no answer is repeated, or executed late,
// and the next life of the worker takes it, while the side process is cut off. The deadline is by the clock of the former life, so that
// the run holds the longest lease from then on, and no report says so.
func TestLateStartOnNextLifeOfCutOffWorker(t *testing.T) {
	t.Parallel()
	const job = "0000000500000000"
	d := newDeployment(t, 1, 1, 2)
	d.checker.jobs[job] = &submission{steps: []int{1}}
	client := &http.Client{Timeout: callTimeout}
	defer client.CloseIdleConnections()
	time.Sleep(d.maxLease + 2*time.Second) // until then the side processes await calls of earlier processes
	for _, n := range d.sides {
		n.heldPath = platformtest.PathStart
		n.lateBy.Store(int64(2 * time.Second))
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if d.submitOnce(client, job) {
			d.checker.onAnswer(job, http.StatusOK)
			return poll.Success()
		}
		return poll.Continue("the job is not accepted")
	}, poll.WithTimeout(60*time.Second))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, n := range d.sides {
			if n.heldCalls.Load() > 0 {
				n.peerProxy.Cut()
				n.bootWorker(0)
				return poll.Success()
			}
		}
		return poll.Continue("no start is held back")
	}, poll.WithTimeout(60*time.Second), poll.WithDelay(time.Millisecond))
	for _, n := range d.sides {
		n.lateBy.Store(0)
	}
	d.finish()
	assert.Assert(t, d.lateCalls.Load() > 0, "no call was executed late")
}
