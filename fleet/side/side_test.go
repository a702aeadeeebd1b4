package side

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/verbenakeel/verbenakeel/fleet/clock"
	"github.com/verbenakeel/verbenakeel/fleet/link"
	"github.com/verbenakeel/verbenakeel/fleet/work"
	"github.com/verbenakeel/verbenakeel/logevent"
	"github.com/verbenakeel/verbenakeel/platform"
	"github.com/verbenakeel/verbenakeel/platform/platformtest"
	"github.com/verbenakeel/verbenakeel/settings"
	"github.com/verbenakeel/verbenakeel/telemetry"
)

// nullStore is a store that accepts every append.
type nullStore struct{}

func (nullStore) Append(context.Context, work.Append) (work.Appended, error) {
	return work.Appended{}, nil
}
func (nullStore) Read(context.Context, string, int64, time.Duration) (work.Page, error) {
	return work.Page{}, nil
}
func (nullStore) Newest(context.Context, string) (work.Snapshot, error) { return work.Snapshot{}, nil }

// testSide is a side process with a fake worker and a decider's connection.
type testSide struct {
	t           *testing.T
	side        *Side
	worker      *platformtest.Worker
	server      *httptest.Server
	conn        net.Conn
	incarnation link.Incarnation
	// mu guards worker and reports.
	mu      sync.Mutex
	reports []link.Report
}

const service = "fitcheck"

// workerKey is the key of the worker that has accepted a connection in the context of the requests on it.
type workerKey struct{}

func newTestSide(t *testing.T) *testSide {
	t.Helper()
	return newTestSideWith(t, func(*settings.Fleet) {})
}

// newTestSideWith creates a testSide with changed settings.
func newTestSideWith(t *testing.T, change func(*settings.Fleet)) *testSide {
	t.Helper()
	worker := platformtest.NewWorker()
	r := &testSide{t: t, worker: worker, incarnation: link.Incarnation{ID: "i-1", StartedMs: 1000}}
	r.server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		req.Context().Value(workerKey{}).(*platformtest.Worker).ServeHTTP(w, req)
	}))
	// The incarnation that accepts a connection gets all requests on it, as with a process of its own.
	r.server.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		r.mu.Lock()
		defer r.mu.Unlock()
		return context.WithValue(ctx, workerKey{}, r.worker)
	}
	r.server.Start()
	server := r.server
	set := settings.DefaultFleet()
	set.Instance, set.Zone, set.Service = "side-1", "a", service
	set.Worker = strings.TrimPrefix(server.URL, "http://")
	set.Control, set.Peer = "127.0.0.1:0", "127.0.0.1:0"
	set.Bounds = set.Bounds.Derive()
	change(&set)
	registry, err := telemetry.New()
	assert.NilError(t, err)
	m, err := NewMeters(registry)
	assert.NilError(t, err)
	s, err := New(set, nullStore{}, logevent.Nop(), m)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
		s.mu.Lock()
		if s.incarnation != nil {
			s.incarnation.cancel()
		}
		s.mu.Unlock()
		r.mu.Lock()
		r.worker.Close()
		r.mu.Unlock()
		server.CloseClientConnections()
		server.Close()
	})
	r.side = s
	return r
}

// restartWorker replaces the worker by its next incarnation under the same id, at the same address, and returns it.
func (r *testSide) restartWorker(startedMs int64) *platformtest.Worker {
	next := platformtest.NewWorker()
	next.StartedMs = startedMs
	r.mu.Lock()
	r.worker.Close()
	r.worker = next
	r.mu.Unlock()
	r.server.CloseClientConnections()
	return next
}

// register sends a heartbeat of an incarnation.
func (r *testSide) register(incarnation link.Incarnation, seq int64, draining bool) {
	r.side.register(&link.Worker{Incarnation: incarnation, Service: service, Zone: "a", Address: r.side.set.Worker, CPU: 16000, MemMB: 64000, Seq: seq, Draining: draining})
}

// connect opens a decider's connection and answers reports.
func (r *testSide) connect(epoch uint64) {
	r.t.Helper()
	conn, err := net.Dial("tcp", r.side.peer.Addr().String())
	assert.NilError(r.t, err)
	r.t.Cleanup(func() { _ = conn.Close() })
	r.conn = conn
	assert.NilError(r.t, link.WriteMessage(conn, link.Hello{Epoch: epoch, Entry: "entry-1"}))
	assert.NilError(r.t, link.WriteMessage(conn, link.Orders{Fence: epoch << 16}))
	go func() {
		for {
			var rep link.Report
			if err := link.ReadMessage(conn, &rep); err != nil {
				return
			}
			r.mu.Lock()
			r.reports = append(r.reports, rep)
			_ = link.WriteMessage(conn, link.Orders{AnsweredMs: rep.SentMs})
			r.mu.Unlock()
		}
	}()
}

func (r *testSide) order(o link.Orders) {
	r.mu.Lock()
	defer r.mu.Unlock()
	assert.NilError(r.t, link.WriteMessage(r.conn, o))
}

// await waits for a report that matches.
func (r *testSide) await(what string, fits func(*link.Report) bool) link.Report {
	r.t.Helper()
	var found link.Report
	poll.WaitOn(r.t, func(poll.LogT) poll.Result {
		r.mu.Lock()
		defer r.mu.Unlock()
		for i := range r.reports {
			if fits(&r.reports[i]) {
				found = r.reports[i]
				return poll.Success()
			}
		}
		return poll.Continue("no report %s among %d", what, len(r.reports))
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(10*time.Millisecond))
	return found
}

const task = "0011223344556677.0.0.0"

// Guards against a start without an answer being reported as refused. The run may have been started and completed, and the
// decider would start the task a second time (TWICE on trouble-1 of nws-puddle-grown).
func TestUnansweredStartIsNotRefused(t *testing.T) {
	r := newTestSide(t)
	r.register(r.incarnation, 1, false)
	r.connect(1)
	r.await("with a listing", func(rep *link.Report) bool { return rep.Listed && rep.Fence == 1<<16 })
	r.worker.Lock()
	r.worker.DropStartResponses = true
	r.worker.Unlock()
	r.order(link.Orders{Number: 1, Fence: 1 << 16, Incarnation: r.incarnation, Starts: []link.Start{{Task: task, Run: 1, Spec: "x"}}})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		r.worker.Lock()
		defer r.worker.Unlock()
		if r.worker.Running[task] == 1 {
			return poll.Success()
		}
		return poll.Continue("not started")
	}, poll.WithTimeout(30*time.Second))
	r.worker.Finish(task, 1)
	rep := r.await("with the orders done", func(rep *link.Report) bool { return rep.Listed && rep.OrdersDone >= 1 })
	assert.Equal(t, len(rep.Runs), 0)
	r.mu.Lock()
	defer r.mu.Unlock()
	ends := 0
	for _, rep := range r.reports {
		assert.Equal(t, len(rep.Refusals), 0, "a start that may have run was reported as refused: %v", rep.Refusals)
		for _, e := range rep.Completions {
			assert.Equal(t, e.Outcome, link.Done)
			ends++
		}
	}
	assert.Equal(t, ends, 1, "the completion was reported %d times on one connection", ends)
}

// Guards against the loss of a definite refusal: the task would wait for lists that never contain it.
func TestRefusedStartIsReported(t *testing.T) {
	r := newTestSide(t)
	r.register(r.incarnation, 1, false)
	r.connect(1)
	r.await("with a listing", func(rep *link.Report) bool { return rep.Listed })
	r.worker.Lock()
	r.worker.Refuse = "room"
	r.worker.Unlock()
	r.order(link.Orders{Number: 1, Fence: 1 << 16, Incarnation: r.incarnation, Starts: []link.Start{{Task: task, Run: 1}}})
	rep := r.await("with a refusal", func(rep *link.Report) bool { return len(rep.Refusals) > 0 })
	assert.DeepEqual(t, rep.Refusals, []link.Refusal{{Task: task, Run: 1, Reason: link.ReasonNoCapacity}})
}

// Guards against a lost worker keeping its tasks: the side process must not renew an unresponsive worker's lease, and must
// give up its orders once the lease has expired (LOST on trouble-3 of hartwell-keel).
func TestUnresponsiveWorkerLeaseExpires(t *testing.T) {
	r := newTestSideWith(t, func(set *settings.Fleet) { set.Bounds.Lease = 2500 * time.Millisecond })
	r.register(r.incarnation, 1, false)
	r.connect(1)
	r.await("with a listing", func(rep *link.Report) bool { return rep.Listed && rep.Fence == 1<<16 })
	r.worker.Lock()
	r.worker.Hang = true
	r.worker.Unlock()
	r.order(link.Orders{Number: 1, Fence: 1 << 16, Incarnation: r.incarnation, Starts: []link.Start{{Task: task, Run: 1}}})
	r.await("without a lease left", func(rep *link.Report) bool {
		return rep.LeaseLeftMs == 0 && rep.UnresponsiveMs > unresponsiveAfterMs && rep.OrdersDone >= 1
	})
}

// Guards against a task that is started elsewhere while its worker still runs it (TWICE): a worker that has closed its
// listener refuses connections as if its process had ended, but its runs go on until their leases expire.
func TestRunsOfClosedListenerKeepTheirLease(t *testing.T) {
	r := newTestSideWith(t, func(set *settings.Fleet) { set.Bounds.Lease = 2500 * time.Millisecond })
	r.register(r.incarnation, 1, false)
	r.connect(1)
	r.await("with a listing", func(rep *link.Report) bool { return rep.Listed && rep.Fence == 1<<16 })
	r.order(link.Orders{Number: 1, Fence: 1 << 16, Incarnation: r.incarnation, Starts: []link.Start{{Task: task, Run: 1}}})
	r.await("with the run", func(rep *link.Report) bool { return rep.Listed && len(rep.Runs) == 1 })
	_ = r.server.Listener.Close()
	r.server.CloseClientConnections()
	r.await("without a lease left", func(rep *link.Report) bool { return rep.Worker != nil && rep.LeaseLeftMs == 0 })
	r.worker.ExpireLease()
	r.worker.Lock()
	defer r.worker.Unlock()
	assert.Equal(t, r.worker.Running[task], 0, "the run is active although no lease is left")
}

// Guards against a lease that refused connections end, or that is renewed although no call reaches the worker.
func TestRefusedConnectionsEndRenewal(t *testing.T) {
	s := &Side{log: logevent.Nop(), set: settings.DefaultFleet()}
	inc := &incarnation{side: s, clockMs: 1, answeredMs: clock.BootMs()}
	s.incarnation, s.leaseEndMs = inc, clock.BootMs()+3_600_000
	assert.Assert(t, inc.leaseDeadline(clock.BootMs(), 0) > 0)
	for range refusalsUntilUnreachable {
		inc.listFailed(platform.ErrNoListener)
	}
	assert.Equal(t, inc.leaseUntilMs, s.leaseEndMs, "a run may be active until the lease that was sent has expired")
	s.leaseEndMs += 1000
	assert.Equal(t, inc.leaseDeadline(clock.BootMs(), 0), int64(0))
	assert.Equal(t, inc.leaseUntilMs, s.leaseEndMs-1000)
	inc.recordAnswer(0)
	assert.Assert(t, inc.leaseDeadline(clock.BootMs(), 0) > 0, "the worker answers again")
}

// Guards against orders for an earlier incarnation of the worker being carried out by the next one.
func TestOrdersForEarlierIncarnationAreRefused(t *testing.T) {
	r := newTestSide(t)
	r.register(r.incarnation, 5, false)
	r.connect(1)
	r.await("of the first incarnation", func(rep *link.Report) bool { return rep.Worker != nil && rep.Worker.Incarnation == r.incarnation })
	second := link.Incarnation{ID: r.incarnation.ID, StartedMs: r.incarnation.StartedMs + 1}
	r.register(second, 1, false)
	r.await("of the second incarnation", func(rep *link.Report) bool { return rep.Worker != nil && rep.Worker.Incarnation == second })
	r.order(link.Orders{Number: 1, Fence: 1 << 16, Incarnation: r.incarnation, Starts: []link.Start{{Task: task, Run: 1}}})
	rep := r.await("with a refusal", func(rep *link.Report) bool { return len(rep.Refusals) > 0 })
	assert.Equal(t, rep.Refusals[0].Reason, link.ReasonTerminated)
	r.register(r.incarnation, 9, false)
	r.side.mu.Lock()
	defer r.side.mu.Unlock()
	assert.Equal(t, r.side.incarnation.info.Incarnation, second, "a delayed heartbeat of an earlier incarnation replaced the later one")
}

// Guards against a replaced decider renewing leases or giving orders.
func TestOlderDeciderIsRejected(t *testing.T) {
	r := newTestSide(t)
	r.register(r.incarnation, 1, false)
	r.connect(7)
	r.await("of the newer decider", func(rep *link.Report) bool { return rep.Epoch == 7 })
	conn, err := net.Dial("tcp", r.side.peer.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, link.WriteMessage(conn, link.Hello{Epoch: 6, Entry: "entry-2"}))
	var rep link.Report
	assert.NilError(t, link.ReadMessage(conn, &rep))
	assert.Equal(t, rep.Epoch, uint64(7))
	assert.ErrorContains(t, link.ReadMessage(conn, &rep), "EOF")
}

// Guards against a lease that starts when the decider's answer arrives instead of when the answered report was sent.
func TestLeaseCountsFromTheReport(t *testing.T) {
	r := newTestSide(t)
	r.register(r.incarnation, 1, false)
	r.connect(1)
	first := r.await("at all", func(rep *link.Report) bool { return rep.Worker != nil })
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		r.side.mu.Lock()
		defer r.side.mu.Unlock()
		if r.side.leaseEndMs > 0 {
			return poll.Success()
		}
		return poll.Continue("no lease")
	}, poll.WithTimeout(30*time.Second))
	r.side.mu.Lock()
	defer r.side.mu.Unlock()
	lease := r.side.set.Bounds.Lease.Milliseconds()
	assert.Assert(t, r.side.leaseEndMs >= first.SentMs+lease)
	assert.Assert(t, r.side.leaseEndMs <= clock.BootMs()+lease)
}

// Guards against lists being taken as complete although the worker had not yet answered an earlier order.
func TestTrackerWaitsForAllOrders(t *testing.T) {
	var tr orderTracker
	tr.add(1, 2)
	tr.add(2, 0)
	tr.add(3, 1)
	assert.Equal(t, tr.completedUpTo(), uint64(0))
	tr.finish(1)
	assert.Equal(t, tr.completedUpTo(), uint64(0))
	tr.finish(3)
	assert.Equal(t, tr.completedUpTo(), uint64(0))
	tr.finish(1)
	assert.Equal(t, tr.completedUpTo(), uint64(3))
}

// Guards against orders that are given up but counted when their calls return later, and against later orders that are given
// up with them.
func TestTrackerGivesUpOrders(t *testing.T) {
	var tr orderTracker
	tr.add(1, 2)
	tr.add(2, 1)
	tr.finish(1)
	assert.Equal(t, tr.giveUp(), 2)
	assert.Equal(t, tr.completedUpTo(), uint64(2))
	tr.add(3, 1)
	assert.Equal(t, tr.completedUpTo(), uint64(2))
	tr.finish(3)
	assert.Equal(t, tr.completedUpTo(), uint64(3))
	assert.Equal(t, tr.giveUp(), 0)
}

// Guards against a decider that waits for room on a side process until its next periodic report, and against one report for each answer.
func TestTrackerTellsOfRoomOnce(t *testing.T) {
	var tr orderTracker
	tr.add(1, reportAtOpen+2)
	tr.reportDue = true
	assert.Assert(t, !tr.takeReportDue())
	tr.finish(1)
	assert.Assert(t, !tr.takeReportDue())
	tr.finish(1)
	assert.Equal(t, tr.open, reportAtOpen)
	assert.Assert(t, tr.takeReportDue())
	assert.Assert(t, !tr.takeReportDue(), "a report for each order")
	tr.add(2, 3)
	tr.finish(7) // of no message
	assert.Equal(t, tr.open, reportAtOpen+3)
	assert.Equal(t, tr.giveUp(), reportAtOpen+3)
	assert.Equal(t, tr.open, 0)
}

// Guards against a call that returns after its order was given up and leaves the number of unanswered orders below 0, so that
// no later order of the connection ever counts as carried out.
func TestTrackerIgnoresLateAnswers(t *testing.T) {
	var tr orderTracker
	tr.add(1, 2)
	assert.Equal(t, tr.giveUp(), 2)
	tr.add(2, 1)
	tr.finish(1)
	tr.finish(1)
	assert.Equal(t, tr.completedUpTo(), uint64(1), "the late answers do not end the order of the next message")
	tr.finish(2)
	assert.Equal(t, tr.completedUpTo(), uint64(2))
	assert.Equal(t, tr.giveUp(), 0)
}

// Guards against a call that returns after its order was given up and reports a refusal to the decider, which takes it as one
// by the next incarnation of the worker and starts the task again although the call of the earlier one may have reached it.
func TestLateRefusalIsNotReported(t *testing.T) {
	s := &Side{}
	inc := &incarnation{side: s}
	ctx, cancel := context.WithCancel(context.Background())
	c := &connection{}
	c.orders.add(1, 1)
	c.orders.giveUp()
	cancel()
	inc.finishOrder(ctx, c, 1, &link.Refusal{Task: task, Run: 1, Reason: link.ReasonUnhealthy})
	assert.Equal(t, len(c.orders.refusals), 0)
}

// Guards against a task that is started elsewhere while the next incarnation of its worker runs it (TWICE): a call in
// transit to the earlier incarnation may be carried out by the next one under the same id, and no lease that was sent to
// that one bounds the run.
func TestNextIncarnationMayRunCallsInTransit(t *testing.T) {
	r := newTestSide(t)
	r.register(r.incarnation, 1, false)
	r.connect(1)
	r.await("of the first incarnation", func(rep *link.Report) bool { return rep.Listed && rep.Fence == 1<<16 })
	maxLease := r.side.set.Bounds.MaxLease.Milliseconds()
	second := link.Incarnation{ID: r.incarnation.ID, StartedMs: r.incarnation.StartedMs + 1}
	r.register(second, 1, false)
	rep := r.await("of the second incarnation", func(rep *link.Report) bool { return rep.Worker != nil && rep.Worker.Incarnation == second })
	assert.Assert(t, rep.LeaseLeftMs > maxLease/2, "%d ms are left", rep.LeaseLeftMs)
	const raised = 1<<16 + 1
	r.order(link.Orders{Fence: raised})
	r.await("with a list under the raised fence", func(rep *link.Report) bool {
		return rep.Listed && rep.Fence == raised && len(rep.Runs) == 0 && rep.LeaseLeftMs <= r.side.set.Bounds.Lease.Milliseconds()+clockSlackMs(r.side.set)
	})

	other := link.Incarnation{ID: "i-2", StartedMs: second.StartedMs + 1}
	r.register(other, 1, false)
	rep = r.await("of a worker with another id", func(rep *link.Report) bool { return rep.Worker != nil && rep.Worker.Incarnation == other })
	assert.Assert(t, rep.LeaseLeftMs < maxLease/2, "no call for the earlier id reaches the worker, but %d ms are left", rep.LeaseLeftMs)
}

// Guards against a task that is started elsewhere while the next incarnation of its worker runs it (TWICE): a list that lacks
// its runs, or shows one in a row that cannot be read, does not show that no call in transit has been carried out.
func TestIncompleteListKeepsInheritedLease(t *testing.T) {
	for _, body := range []string{`{"clock_ms":1000}`, `{"clock_ms":1000,"running":[["` + task + `","x"]],"ended":[]}`} {
		r := newTestSide(t)
		r.register(r.incarnation, 1, false)
		r.connect(1)
		r.await("of the first incarnation", func(rep *link.Report) bool { return rep.Listed && rep.Fence == 1<<16 })
		r.worker.Lock()
		r.worker.ListBody = body
		r.worker.Unlock()
		second := link.Incarnation{ID: r.incarnation.ID, StartedMs: r.incarnation.StartedMs + 1}
		r.register(second, 1, false)
		const raised = 1<<16 + 1
		r.order(link.Orders{Fence: raised})
		rep := r.await("with a list under the raised fence", func(rep *link.Report) bool { return rep.Listed && rep.Fence == raised })
		assert.Assert(t, !rep.Complete)
		r.side.mu.Lock()
		assert.Check(t, r.side.incarnation.inheritedLeaseMs != 0, "%s: the lease of calls in transit was ended", body)
		r.side.mu.Unlock()
	}
}

// Guards against reports that overtake each other: a list without a run that arrives before the report with the run's
// completion makes the decider start the task again (TWICE). A report must not be created before the one ahead of it is
// sent.
func TestReportsAreSentInOrder(t *testing.T) {
	r := newTestSide(t)
	r.register(r.incarnation, 1, false)
	r.connect(1)
	r.await("with a listing", func(rep *link.Report) bool { return rep.Listed && rep.Fence == 1<<16 })
	r.side.mu.Lock()
	c, inc := r.side.conn, r.side.incarnation
	r.side.mu.Unlock()
	c.write.Lock()
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		r.side.report(&listing{incarnation: inc, conn: c, completions: []link.Completion{{Number: 7, Task: task, Run: 1, Outcome: link.Done}}}, false)
	}()
	time.Sleep(100 * time.Millisecond)
	r.side.mu.Lock()
	created := c.reportedCompletion
	r.side.mu.Unlock()
	c.write.Unlock()
	<-sent
	assert.Equal(t, created, int64(0), "a report was created while another one was being sent")
	r.await("with the completion", func(rep *link.Report) bool { return len(rep.Completions) == 1 && rep.Completions[0].Number == 7 })
}

// Guards against a start that waits for half a second because its worker left the first attempt unanswered, as workers do
// that carry orders out late (scale-1 of hartwell-keel-large: two thirds of the jobs there have such a task). The second
// attempt follows soon, and the run needs neither a stop nor another worker.
func TestUnansweredStartIsRepeatedSoon(t *testing.T) {
	total := time.Duration(0)
	for attempt, want := range []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond, 400 * time.Millisecond} {
		assert.Equal(t, attemptTimeout(attempt), want)
		if attempt < 3 {
			total += want + retryOrderAfter
		}
	}
	assert.Assert(t, total < startTimeout, "fewer than three attempts fit")

	r := newTestSide(t)
	r.register(r.incarnation, 1, false)
	r.connect(1)
	r.await("with a listing", func(rep *link.Report) bool { return rep.Listed && rep.Fence == 1<<16 })
	r.worker.Lock()
	r.worker.DropStarts = 1
	r.worker.Unlock()
	r.order(link.Orders{Number: 1, Fence: 1 << 16, Incarnation: r.incarnation, Starts: []link.Start{{Task: task, Run: 1, Spec: "x"}}})
	rep := r.await("with the run", func(rep *link.Report) bool { return rep.Listed && rep.OrdersDone >= 1 })
	assert.Equal(t, len(rep.Runs), 1)
	r.worker.Lock()
	defer r.worker.Unlock()
	starts := 0
	for _, c := range r.worker.Calls {
		assert.Assert(t, c != platformtest.PathStop, "the run was stopped")
		if c == platformtest.PathStart {
			starts++
		}
	}
	assert.Equal(t, starts, 2)
}

// Guards against a server that has left being in use again: a new instance may get the address of one that was removed,
// and a decider that still connects to that one would take the reports of the new instance for its own.
func TestConnectionForAnotherInstanceIsRejected(t *testing.T) {
	r := newTestSide(t)
	r.register(r.incarnation, 1, false)
	r.connect(1)
	r.await("with a listing", func(rep *link.Report) bool { return rep.Listed })
	conn, err := net.Dial("tcp", r.side.peer.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, link.WriteMessage(conn, link.Hello{Epoch: 2, Entry: "entry-1", Instance: "side-0"}))
	var rep link.Report
	assert.ErrorContains(t, link.ReadMessage(conn, &rep), "EOF")
	r.side.mu.Lock()
	defer r.side.mu.Unlock()
	assert.Equal(t, r.side.epoch, uint64(1), "the side process took the epoch of a connection for another instance")
}

// Guards against a lease that a delayed answer renews from its arrival: the decider may have lost its authority since, or
// this process may have been paused. It counts from the report that was answered.
func TestDelayedAnswerRenewsFromItsReport(t *testing.T) {
	set := settings.DefaultFleet()
	set.Bounds = set.Bounds.Derive()
	registry, err := telemetry.New()
	assert.NilError(t, err)
	m, err := NewMeters(registry)
	assert.NilError(t, err)
	s := &Side{set: set, log: logevent.Nop(), meters: m}
	s.conn = &connection{}
	sent := clock.BootMs() - 1500
	s.handleOrders(&connection{}, &link.Orders{AnsweredMs: sent})
	assert.Equal(t, s.leaseEndMs, int64(0), "an answer on a replaced connection renewed the lease")
	s.handleOrders(s.conn, &link.Orders{AnsweredMs: sent})
	assert.Equal(t, s.leaseEndMs, sent+set.Bounds.Lease.Milliseconds())
	s.handleOrders(s.conn, &link.Orders{AnsweredMs: sent - 500})
	assert.Equal(t, s.leaseEndMs, sent+set.Bounds.Lease.Milliseconds(), "an older answer shortened the lease")
}

// Guards against a decider that takes runs as gone which the worker has left out of its list, because it lists only 500 ended
// runs at once: the report says that the list is not complete, until the worker was told to forget enough of them.
func TestCutListIsReportedAsIncomplete(t *testing.T) {
	r := newTestSide(t)
	const runs = 600
	r.worker.Lock()
	for i := range runs {
		r.worker.Running[fmt.Sprintf("0011223344556677.0.0.%d", i)] = 1
	}
	r.worker.Unlock()
	for i := range runs {
		r.worker.Finish(fmt.Sprintf("0011223344556677.0.0.%d", i), 1)
	}
	r.register(r.incarnation, 1, false)
	r.connect(1)
	cut := r.await("with a list", func(rep *link.Report) bool { return rep.Listed && rep.Fence == 1<<16 })
	assert.Assert(t, !cut.Complete)
	r.order(link.Orders{Number: 1, Fence: 1 << 16, Forget: 300, Incarnation: r.incarnation})
	r.await("with a complete list", func(rep *link.Report) bool { return rep.Listed && rep.Complete })
	r.mu.Lock()
	defer r.mu.Unlock()
	ended := 0
	for i := range r.reports {
		ended += len(r.reports[i].Completions)
		if r.reports[i].Complete {
			break
		}
	}
	assert.Equal(t, ended, runs, "a complete list comes with or after all ended runs")
}

// Guards against tasks that stay with a worker for good because the side process counts orders of its earlier incarnation as
// unanswered: the decider then waits for the answer of every later order (review/4, LOST; TestSoak/7002).
func TestOrdersEndWithTheirIncarnation(t *testing.T) {
	r := newTestSide(t)
	r.register(r.incarnation, 1, false)
	r.connect(1)
	r.await("with a listing", func(rep *link.Report) bool { return rep.Listed && rep.Fence == 1<<16 })
	r.worker.Lock()
	r.worker.HangOrders = true // it still tells which life it is, or no order would be sent
	r.worker.Unlock()
	r.order(link.Orders{Number: 1, Fence: 1 << 16, Incarnation: r.incarnation, Starts: []link.Start{{Task: task, Run: 1}},
		Stops: []link.Stop{{Task: "0011223344556677.0.0.1", Run: 4}}})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		r.worker.Lock()
		defer r.worker.Unlock()
		if slices.Contains(r.worker.Calls, platformtest.PathStart) && slices.Contains(r.worker.Calls, platformtest.PathStop) {
			return poll.Success()
		}
		return poll.Continue("the orders are not with the worker")
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(10*time.Millisecond))
	r.worker.Lock()
	r.worker.Hang, r.worker.HangOrders = true, false
	r.worker.Unlock()
	next := link.Incarnation{ID: "i-2", StartedMs: r.incarnation.StartedMs + 1000}
	r.register(next, 1, false)
	first := r.await("of the next incarnation", func(rep *link.Report) bool { return rep.Worker != nil && rep.Worker.Incarnation == next })
	assert.Equal(t, first.OrdersDone, uint64(1))
	r.worker.Lock()
	r.worker.Hang = false
	r.worker.Unlock()
	r.await("with a listing of the next incarnation", func(rep *link.Report) bool { return rep.Listed && rep.Worker.Incarnation == next })
	r.order(link.Orders{Number: 2, Fence: 1<<16 + 1, Incarnation: next, Starts: []link.Start{{Task: task, Run: 2}}})
	r.await("with the run and its order done", func(rep *link.Report) bool {
		return rep.Listed && rep.OrdersDone == 2 && len(rep.Runs) == 1 && rep.Runs[0].Run == 2
	})
}

// Guards against tasks that run again because the ends of their runs were dropped unseen (review/1, TWICE): a worker that has
// restarted under its id carries out starts before its first heartbeat, and is told to drop ends by the numbers of its
// earlier incarnation.
func TestRestartedWorkerKeepsItsEnds(t *testing.T) {
	r := newTestSide(t)
	r.worker.StartedMs = r.incarnation.StartedMs
	r.register(r.incarnation, 1, false)
	r.connect(1)
	const ends = 5
	finish := func(w *platformtest.Worker, run int) {
		for i := range ends {
			name := fmt.Sprintf("0011223344556677.0.0.%d", i)
			w.Lock()
			w.Running[name] = run
			w.Unlock()
			w.Finish(name, run)
		}
	}
	dropped := make(chan int, 2*ends)
	r.worker.Lock()
	r.worker.OnAcknowledge = func(_ string, run int, _ string, _ bool) { dropped <- run }
	r.worker.Unlock()
	finish(r.worker, 1)
	r.await("with the ends", func(rep *link.Report) bool {
		return len(rep.Completions) > 0 && rep.Completions[len(rep.Completions)-1].Number == ends
	})
	r.order(link.Orders{Number: 1, Fence: 1 << 16, Forget: ends, Incarnation: r.incarnation})
	for range ends {
		assert.Equal(t, <-dropped, 1)
	}
	restarted := r.restartWorker(r.incarnation.StartedMs + 1000)
	restarted.Lock()
	restarted.OnAcknowledge = func(_ string, run int, _ string, _ bool) { dropped <- run }
	restarted.Unlock()
	finish(restarted, 2)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		restarted.Lock()
		defer restarted.Unlock()
		if len(restarted.Calls) >= 5 {
			return poll.Success()
		}
		return poll.Continue("%d calls of the restarted worker", len(restarted.Calls))
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(10*time.Millisecond))
	assert.Equal(t, len(dropped), 0, "ends of the next incarnation were dropped before it was known")
	next := link.Incarnation{ID: r.incarnation.ID, StartedMs: r.incarnation.StartedMs + 1000}
	r.register(next, 1, false)
	seen := 0
	r.await("with the ends of the next incarnation", func(rep *link.Report) bool {
		if rep.Worker == nil || rep.Worker.Incarnation != next {
			return false
		}
		for _, c := range rep.Completions {
			if c.Run == 2 {
				seen++
			}
		}
		return seen >= ends
	})
}
