package side

import (
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/verbenakeel/verbenakeel/fleet/clock"
	"github.com/verbenakeel/verbenakeel/fleet/link"
	"github.com/verbenakeel/verbenakeel/platform/platformtest"
)

// lateStart carries out a start that was sent to an earlier life of the worker, with a deadline by the clock of that life, and returns
// the response's status.
func (r *testSide) lateStart(task string, run int, fence uint64) int {
	r.t.Helper()
	body, err := json.Marshal(map[string]any{"task": task, "run": run, "spec": "", "deadline_ms": 1 << 40, "fence": fence})
	assert.NilError(r.t, err)
	resp, err := http.Post(r.server.URL+platformtest.PathStart, "application/json", strings.NewReader(string(body)))
	assert.NilError(r.t, err)
	defer resp.Body.Close()
	return resp.StatusCode
}

// runs reports whether a task runs on a worker.
func runs(worker *platformtest.Worker, task string) bool {
	worker.Lock()
	defer worker.Unlock()
	return worker.Running[task] > 0
}

// Guards against a task that runs on two workers (TWICE, late starts and a worker that restarts under its id behind a cut): its start to the
// earlier life of a worker is carried out late by the next one, where it holds the longest lease, while the decider, which does not hear of
// that life, takes the lease for the one that it had granted.
func TestStartsOfEarlierLifeEndBehindACut(t *testing.T) {
	for _, test := range []struct {
		name string
		// begun is true if the start is carried out before the next life is known, dropped if the earlier life did not answer it.
		begun, dropped bool
	}{{"begun before the heartbeat", true, true}, {"carried out later", false, true}, {"answered by the next life", true, false}} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			r := newTestSide(t)
			r.worker.StartedMs = r.incarnation.StartedMs
			r.register(r.incarnation, 1, false)
			r.connect(1)
			r.await("with a listing", func(rep *link.Report) bool { return rep.Listed && rep.AnsweredMs > 0 })
			if test.dropped {
				r.worker.Lock()
				r.worker.DropStarts = 1
				r.worker.Unlock()
			}
			r.order(link.Orders{Number: 1, Fence: 1 << 16, Incarnation: r.incarnation, Starts: []link.Start{{Task: task, Run: 1}}})
			r.await("with the run", func(rep *link.Report) bool { return rep.Listed && len(rep.Runs) == 1 && rep.OrdersDone == 1 })
			_ = r.conn.Close()
			next := link.Incarnation{ID: r.incarnation.ID, StartedMs: r.incarnation.StartedMs + 1000}
			worker := r.restartWorker(next.StartedMs)
			if test.begun {
				assert.Equal(t, r.lateStart(task, 1, 1<<16), http.StatusOK)
			}
			r.register(next, 1, false)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				worker.Lock()
				defer worker.Unlock()
				for _, path := range worker.Calls {
					if path == platformtest.PathStop {
						return poll.Success()
					}
				}
				return poll.Continue("the start of the earlier life was not stopped")
			}, poll.WithTimeout(5*time.Second), poll.WithDelay(10*time.Millisecond))
			if !test.begun {
				assert.Equal(t, r.lateStart(task, 1, 1<<16), http.StatusConflict, "the next life has carried out a start that was sent to the earlier one")
			}
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if !runs(worker, task) {
					return poll.Success()
				}
				return poll.Continue("the run goes on, for %s", worker.LeaseLeft())
			}, poll.WithTimeout(2*time.Second), poll.WithDelay(10*time.Millisecond))
		})
	}
}

// Guards against runs of the next life that are stopped although the decider knows of them: once it has raised the fence, it takes them over or
// stops them itself, and a run at work must not end without need (AVAIL).
func TestDeciderKeepsRunsOfTheNextLife(t *testing.T) {
	r := newTestSide(t)
	r.worker.StartedMs = r.incarnation.StartedMs
	r.register(r.incarnation, 1, false)
	r.connect(1)
	r.await("with a listing", func(rep *link.Report) bool { return rep.Listed && rep.AnsweredMs > 0 })
	r.order(link.Orders{Number: 1, Fence: 1 << 16, Incarnation: r.incarnation, Starts: []link.Start{{Task: task, Run: 1}}})
	r.await("with the run", func(rep *link.Report) bool { return rep.Listed && len(rep.Runs) == 1 })
	next := link.Incarnation{ID: r.incarnation.ID, StartedMs: r.incarnation.StartedMs + 1000}
	worker := r.restartWorker(next.StartedMs)
	assert.Equal(t, r.lateStart(task, 1, 1<<16), http.StatusOK)
	r.register(next, 1, false)
	r.await("of the next life", func(rep *link.Report) bool { return rep.Worker.Incarnation == next })
	const raised = 1<<16 + 1
	r.order(link.Orders{Fence: raised})
	r.await("with a list under the raised fence", func(rep *link.Report) bool { return rep.Listed && rep.Fence == raised && len(rep.Runs) == 1 })
	time.Sleep(2 * time.Second)
	assert.Assert(t, runs(worker, task), "a run that the decider knows of was stopped")
}

// leaseLeft returns the bound on the lease that the side process reports.
func (r *testSide) leaseLeft() time.Duration {
	r.side.mu.Lock()
	defer r.side.mu.Unlock()
	return time.Duration(r.side.leaseLeft(clock.BootMs())) * time.Millisecond
}

// Guards against a worker that runs tasks for longer than its side process says (TWICE): a call for its earlier life is carried out once
// its id is in use again, after a worker with another id in between.
func TestIDInUseAgainInheritsLease(t *testing.T) {
	r := newTestSide(t)
	r.register(r.incarnation, 1, false)
	r.connect(1)
	r.await("with a listing", func(rep *link.Report) bool { return rep.Listed && rep.AnsweredMs > 0 })
	between := link.Incarnation{ID: "i-2", StartedMs: r.incarnation.StartedMs + 1000}
	r.restartWorker(between.StartedMs)
	r.register(between, 1, false)
	r.await("of the worker with another id", func(rep *link.Report) bool { return rep.Listed && rep.Worker.Incarnation == between })
	again := link.Incarnation{ID: r.incarnation.ID, StartedMs: between.StartedMs + 1000}
	worker := r.restartWorker(again.StartedMs)
	assert.Equal(t, r.lateStart(task, 1, 1<<16), http.StatusOK)
	r.register(again, 1, false)
	assert.Assert(t, r.leaseLeft() >= worker.LeaseLeft(), "runs last %s, the side process allows for %s", worker.LeaseLeft(), r.leaseLeft())
}

// Guards against a worker that runs tasks for longer than its side process says (TWICE): the process was started again, and the first heartbeat
// that it gets is a late one of a worker that has ended, so that it does not take the present worker for one that its earlier process has called.
func TestLateHeartbeatKeepsLeaseOfEarlierProcess(t *testing.T) {
	r := newTestSide(t)
	ended := link.Incarnation{ID: "i-0", StartedMs: r.incarnation.StartedMs - 500}
	r.worker.Lock()
	r.worker.StartedMs = r.incarnation.StartedMs
	r.worker.Unlock()
	// The earlier process has ordered this run, and its last calls are carried out.
	assert.Equal(t, r.lateStart(task, 1, 1<<16), http.StatusOK)
	r.register(ended, 7, false)
	time.Sleep(300 * time.Millisecond)
	r.register(r.incarnation, 3, false)
	assert.Assert(t, r.leaseLeft() >= r.worker.LeaseLeft(), "runs last %s, the side process allows for %s", r.worker.LeaseLeft(), r.leaseLeft())
}

// Guards against a worker that runs tasks for longer than its side process says (TWICE): the next life answers calls before its first heartbeat,
// and the decider is cut off before that comes. The lease that the calls have set is known from the answer on.
func TestLeaseIsBoundedOnceAnotherLifeAnswers(t *testing.T) {
	r := newTestSide(t)
	r.worker.StartedMs = r.incarnation.StartedMs
	r.worker.AdvanceClock(time.Hour)
	r.register(r.incarnation, 1, false)
	r.connect(1)
	r.await("with a listing", func(rep *link.Report) bool { return rep.Listed && rep.AnsweredMs > 0 })
	worker := r.restartWorker(r.incarnation.StartedMs + 1000)
	assert.Equal(t, r.lateStart(task, 1, 1<<16), http.StatusOK)
	assert.Assert(t, worker.LeaseLeft() > 0)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		r.side.mu.Lock()
		defer r.side.mu.Unlock()
		if r.side.incarnation.answeringStartMs != 0 {
			return poll.Success()
		}
		return poll.Continue("no call was answered by the next life")
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
	for range 20 {
		assert.Assert(t, r.leaseLeft() >= worker.LeaseLeft(), "runs last %s, the side process allows for %s", worker.LeaseLeft(), r.leaseLeft())
		time.Sleep(50 * time.Millisecond)
	}
}

// Guards against a side process that was paused for a minute and acts on what it had been allowed before (TWICE): it neither renews the lease nor
// starts what the decider had ordered, although the messages lie ready to be read.
func TestPausedProcessActsOnNothingThatRanOut(t *testing.T) {
	r := newTestSide(t)
	r.register(r.incarnation, 1, false)
	r.connect(1)
	r.await("with a listing", func(rep *link.Report) bool { return rep.Listed && rep.AnsweredMs > 0 })
	_ = r.conn.Close()
	const pauseMs = 60_000
	conn, err := net.Dial("tcp", r.side.peer.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, link.WriteMessage(conn, link.Hello{Epoch: 1, Entry: "entry-1"}))
	r.side.mu.Lock()
	inc := r.side.incarnation
	r.side.leaseEndMs -= pauseMs
	inc.clockAtMs -= pauseMs
	inc.answeredMs -= pauseMs
	inc.leaseUntilMs -= pauseMs
	assert.Equal(t, inc.leaseDeadline(clock.BootMs(), 0), int64(0), "the lease of before the pause was renewed")
	r.side.mu.Unlock()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		r.side.mu.Lock()
		defer r.side.mu.Unlock()
		if clock.BootMs()-inc.answeredMs < unresponsiveAfterMs/2 {
			return poll.Success()
		}
		return poll.Continue("the worker has not answered since the pause")
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(time.Millisecond))
	assert.NilError(t, link.WriteMessage(conn, link.Orders{Number: 1, AnsweredMs: clock.BootMs() - pauseMs, Fence: 1<<16 + 1, Incarnation: r.incarnation,
		Starts: []link.Start{{Task: task, Run: 1}}}))
	refused := false
	for !refused {
		var rep link.Report
		_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
		assert.NilError(t, link.ReadMessage(conn, &rep))
		for _, f := range rep.Refusals {
			assert.Equal(t, f.Reason, link.ReasonTooLate)
			refused = true
		}
	}
	assert.Assert(t, !runs(r.worker, task))
}
