package side

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/verbenakeel/verbenakeel/fleet/clock"
	"github.com/verbenakeel/verbenakeel/fleet/link"
	"github.com/verbenakeel/verbenakeel/platform/platformtest"
	"github.com/verbenakeel/verbenakeel/settings"
)

// Guards against a task that runs on two workers (issue 45, TWICE): the order of a start comes while the worker is down, and the side
// process repeats the call until the next life under the same id carries it out, with a deadline by the earlier life's clock and so under
// the longest lease. A decider that is cut off before it learns of that life starts the task elsewhere while the run goes on.
func TestStartIsNotRepeatedIntoTheNextLife(t *testing.T) {
	r := newTestSide(t)
	r.worker.StartedMs = r.incarnation.StartedMs
	r.worker.AdvanceClock(time.Hour)
	r.register(r.incarnation, 1, false)
	r.connect(1)
	r.await("with a listing", func(rep *link.Report) bool { return rep.Listed && rep.AnsweredMs > 0 })
	address := r.server.Listener.Addr().String()
	_ = r.server.Listener.Close()
	r.server.CloseClientConnections()
	r.order(link.Orders{Number: 1, Fence: 1 << 16, Incarnation: r.incarnation, Starts: []link.Start{{Task: task, Run: 1}}})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		r.side.mu.Lock()
		defer r.side.mu.Unlock()
		if r.side.conn != nil && r.side.conn.orders.last == 1 {
			return poll.Success()
		}
		return poll.Continue("the order has not arrived")
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(time.Millisecond))
	time.Sleep(50 * time.Millisecond) // some attempts are refused, as nothing listens
	listener, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	next := platformtest.NewWorker()
	next.StartedMs = r.incarnation.StartedMs + 1000
	server := &http.Server{Handler: next}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	defer next.Close()
	time.Sleep(startTimeout + maxAttempt) // by then the side process has given up the order
	next.Lock()
	defer next.Unlock()
	assert.Equal(t, len(next.Running), 0, "a life that has not registered has carried out a start that was ordered for the one before")
}

// lateHold makes the worker carry out a list call now that was sent to an earlier life, with a deadline by that life's clock.
func lateHold(t *testing.T, worker *platformtest.Worker, fence uint64) {
	t.Helper()
	body := platformtest.ListCallBody(time.Hour.Milliseconds()*24, fence, 0)
	answer := httptest.NewRecorder()
	worker.ServeHTTP(answer, httptest.NewRequest(http.MethodPost, platformtest.PathList, strings.NewReader(body)))
	assert.Equal(t, answer.Code, http.StatusOK, "%s", answer.Body)
}

// assertLeaseCovered checks that what the side process tells the decider covers the lease of its worker.
func assertLeaseCovered(t *testing.T, r *testSide, worker *platformtest.Worker) {
	t.Helper()
	runsUntil := time.Now().Add(worker.LeaseLeft())
	r.side.mu.Lock()
	bound := time.Now().Add(time.Duration(r.side.leaseLeft(clock.BootMs())) * time.Millisecond)
	r.side.mu.Unlock()
	assert.Assert(t, !runsUntil.After(bound), "runs last %s longer than the side process tells the decider", runsUntil.Sub(bound))
}

// Guards against a task that runs on two workers (issue 45, TWICE): a call for the earlier life of a worker arrives after the next life has
// registered and before it meets a higher fence. Only a bound that counts from that fence covers the lease that such a call gives.
func TestLateCallBeforeTheHigherFenceIsCovered(t *testing.T) {
	r := newTestSide(t)
	r.worker.StartedMs = r.incarnation.StartedMs
	r.register(r.incarnation, 1, false)
	r.connect(1)
	r.await("with a listing", func(rep *link.Report) bool { return rep.Listed && rep.AnsweredMs > 0 })
	next := link.Incarnation{ID: r.incarnation.ID, StartedMs: r.incarnation.StartedMs + 1000}
	worker := r.restartWorker(next.StartedMs)
	r.register(next, 1, false)
	r.await("of the next life", func(rep *link.Report) bool { return rep.Listed && rep.Worker != nil && rep.Worker.Incarnation == next })
	time.Sleep(time.Second)
	lateHold(t, worker, 1<<16)
	const raised = 1<<16 + 1
	r.order(link.Orders{Fence: raised})
	r.await("under the raised fence", func(rep *link.Report) bool { return rep.Listed && rep.Fence == raised })
	assertLeaseCovered(t, r, worker)
}

// Guards against a task that runs on two workers (issue 45, TWICE): a call of the process before this one, meant for an earlier life of the
// worker, has given the worker the longest lease. The bound covers it before the worker registers and after.
func TestCallsOfTheEarlierProcessAreCovered(t *testing.T) {
	r := newTestSide(t)
	worker := r.worker
	lateHold(t, worker, 0)
	assertLeaseCovered(t, r, worker)
	r.register(r.incarnation, 1, false)
	assertLeaseCovered(t, r, worker)
	r.connect(1)
	r.await("with a listing", func(rep *link.Report) bool { return rep.Listed && rep.Fence == 1<<16 })
	assertLeaseCovered(t, r, worker)
}

// Guards against a bound that ends before a lease on the slowest clock of a worker, which may be 2% slow.
func TestLongestLeaseCoversSlowClocks(t *testing.T) {
	set := settings.DefaultFleet()
	longest := set.Bounds.MaxLease.Milliseconds()
	assert.Assert(t, maxLeaseMs(set) >= longest+longest/50, "%d ms for a lease of %d ms", maxLeaseMs(set), longest)
}
