package side

import (
	"context"
	"errors"
	"time"

	"github.com/verbenakeel/verbenakeel/errdefs"
	"github.com/verbenakeel/verbenakeel/fleet/bounds"
	"github.com/verbenakeel/verbenakeel/fleet/clock"
	"github.com/verbenakeel/verbenakeel/fleet/link"
	"github.com/verbenakeel/verbenakeel/logevent"
	"github.com/verbenakeel/verbenakeel/platform"
	"github.com/verbenakeel/verbenakeel/settings"
)

const (
	// listWait is how long the worker may wait for a completion before it answers a list call. It bounds the age of the list.
	listWait = 400 * time.Millisecond
	// forgetWait is how long a reported completion may take to be stored before the worker is asked again.
	forgetWait = 200 * time.Millisecond
	// retryAfter is the pause after a failed call to the worker.
	retryAfter = 100 * time.Millisecond
	// minAttempt and maxAttempt bound one attempt of an order. A healthy worker answers within milliseconds, and an order
	// may be repeated: the worker starts a run once, and the retry makes it known while the first attempt is held up.
	minAttempt = 100 * time.Millisecond
	maxAttempt = 400 * time.Millisecond
	// retryOrderAfter is the pause after a failed attempt of an order.
	retryOrderAfter = 20 * time.Millisecond
	// startTimeout is how long a start is retried before its run is stopped and reported as refused.
	startTimeout = 900 * time.Millisecond
	// minStartLease is the minimum remaining lease with which a run is started.
	minStartLease = 600 * time.Millisecond
	// maxCalls bounds concurrent calls to the worker, not counting the list call.
	maxCalls = 4
	// refusalsUntilUnreachable is the number of consecutive refused connections from which the worker counts as unreachable:
	// this is logged, and its lease is no longer renewed. One or two may be due to a restart of the listener.
	refusalsUntilUnreachable = 3
	// unresponsiveAfterMs is the time without an answer after which the worker counts as unresponsive: this is logged, and its
	// lease is no longer renewed.
	unresponsiveAfterMs = 1200
)

// clockSlackMs is how much longer a lease may last by the worker's clock, in milliseconds.
func clockSlackMs(set settings.Fleet) int64 {
	return bounds.ClockSlack(set.Bounds.Lease).Milliseconds()
}

// maxLeaseMs is how long the longest lease of a worker may last from when it takes a call, in milliseconds.
func maxLeaseMs(set settings.Fleet) int64 {
	return (set.Bounds.MaxLease + bounds.ClockSlack(set.Bounds.MaxLease)).Milliseconds()
}

// incarnation is the state of one incarnation of the worker. Its fields are guarded by Side.mu unless noted.
type incarnation struct {
	side   *Side
	info   link.Worker
	client *platform.Worker
	cancel context.CancelFunc
	ctx    context.Context
	// stopOrders cancels orderCtx, the context of the current connection's orders.
	orderCtx   context.Context
	stopOrders context.CancelFunc
	// leaving is true once the worker announced that it terminates, at leftMs.
	leaving bool
	leftMs  int64
	// answeringStartMs is the start of the life that has answered calls to this one since it last answered itself, 0 if none has.
	answeringStartMs int64
	// otherLifeEnds holds the ended runs that this life has listed.
	otherLifeEnds []link.Completion
	// clockMs is the worker's clock at clockAtMs of the local clock.
	clockMs, clockAtMs int64
	// leaseUntilMs is the latest lease expiry that was sent to the worker, 0 if none was.
	leaseUntilMs int64
	// inheritedLeaseMs is when the lease has expired at the latest that calls to an earlier incarnation may have given to this one, 0 if
	// there are none. It holds for all runs, as a worker has one lease, which never shortens. inheritedFence is the highest fence of
	// those calls, and fenced is true once the worker has met a higher one, so that it refuses those that are still in transit.
	inheritedLeaseMs int64
	inheritedFence   uint64
	fenced           bool
	// answeredMs is when the worker last answered, unresponsive is true once a longer time without answers was logged.
	answeredMs   int64
	unresponsive bool
	// refusedConns is the number of consecutive refused connections.
	refusedConns int
	// lastRuns holds the runs in the worker's last list.
	lastRuns []link.Run
	// unreadable is the number of unreadable rows in the worker's last list.
	unreadable int
	forgetUpTo int64
	// ends holds the ended runs, by number, that the worker has listed and that no decider has stored yet.
	ends []link.Completion
	// oldestEnd is the lowest number in the worker's last list of ended runs, 0 if it was empty.
	oldestEnd int64
	triggered chan struct{}
	callSlots chan struct{}
}

// trigger wakes run, so that it lists the runs without waiting.
func (inc *incarnation) trigger() {
	select {
	case inc.triggered <- struct{}{}:
	default:
	}
}

// cancelOrders cancels unanswered orders of an earlier connection. Calls that are still in transit carry a lower fence than
// those of the next connection, so the worker refuses them.
func (inc *incarnation) cancelOrders() {
	inc.stopOrders()
	inc.orderCtx, inc.stopOrders = context.WithCancel(inc.ctx)
}

// workerClock returns the worker's clock now; 0 if it is unknown.
func (inc *incarnation) workerClock(now int64) int64 {
	if inc.clockMs == 0 {
		return 0
	}
	return inc.clockMs + now - inc.clockAtMs
}

// recordAnswer records an answer of the worker.
func (inc *incarnation) recordAnswer(clockMs int64) {
	now := clock.BootMs()
	if clockMs > 0 {
		inc.clockMs, inc.clockAtMs = clockMs, now
	}
	if inc.unresponsive {
		inc.side.log.Log(logevent.WorkerRecovered, logevent.Str("id", inc.info.Incarnation.ID), logevent.Int("silent_ms", now-inc.answeredMs))
		inc.unresponsive = false
	}
	inc.answeredMs, inc.refusedConns, inc.answeringStartMs = now, 0, 0
	inc.side.answered = true
}

// leaseDeadline returns the lease expiry to send to the worker, by its clock, and records it. It returns 0 if less than minMs
// remains, the worker's clock is unknown or the worker is unresponsive or unreachable.
func (inc *incarnation) leaseDeadline(now, minMs int64) int64 {
	leaseEnd := inc.side.leaseEndMs
	if leaseEnd-now < minMs || inc.clockMs == 0 || now-inc.answeredMs > unresponsiveAfterMs || inc.refusedConns >= refusalsUntilUnreachable {
		// The lease of an unresponsive worker is not renewed: a call without an answer may have been carried out, and the runs
		// on the worker must be known to end.
		return 0
	}
	inc.leaseUntilMs = max(inc.leaseUntilMs, leaseEnd)
	return inc.workerClock(now) + leaseEnd - now
}

// run lists the worker's runs in a loop and renews its lease.
func (inc *incarnation) run() {
	s := inc.side
	var runsSentMs int64
	for first := true; inc.ctx.Err() == nil; first = false {
		s.mu.Lock()
		now := clock.BootMs()
		got := &listing{incarnation: inc, fence: s.fence, conn: s.conn}
		if s.conn != nil {
			got.ordersDone = s.conn.orders.completedUpTo()
		}
		deadline, forget := inc.leaseDeadline(now, 0), inc.endsToForget()
		s.mu.Unlock()
		wait := listWait
		if first || deadline == 0 {
			wait = 0
		}
		ans, err := inc.client.SyncRuns(inc.ctx, got.fence, deadline, forget, wait)
		if err != nil {
			clock.Sleep(inc.ctx, inc.listFailed(err))
			continue
		}
		s.mu.Lock()
		if ans.Unreadable != inc.unreadable {
			inc.unreadable = ans.Unreadable
			s.log.Log(logevent.RowsUnreadable, logevent.Str("id", inc.info.Incarnation.ID), logevent.Int("rows", ans.Unreadable))
		}
		inc.recordAnswer(ans.ClockMs)
		if !inc.fenced && got.fence > inc.inheritedFence {
			// Calls that are still in transit are refused from now on. One that came before may have set the lease, whether the
			// worker runs something or not.
			inc.fenced = true
			inc.boundInheritedLease("the worker has met a higher fence")
		}
		got.runs, got.completions, got.complete = ans.Runs, inc.keepEnds(ans.Ended), ans.Complete
		inc.lastRuns = ans.Runs
		s.mu.Unlock()
		now = clock.BootMs()
		includeRuns := now-runsSentMs >= runsInterval.Milliseconds() || len(got.completions) == 0
		if includeRuns {
			runsSentMs = now
		}
		s.report(got, includeRuns)
		inc.pause(wait == 0, len(got.completions) > 0)
	}
}

// runsInterval is the minimum time between two reports with all runs while there are completions.
const runsInterval = 250 * time.Millisecond

// pause waits before the next list call: the worker answers at once while it lists a completion.
func (inc *incarnation) pause(short, completions bool) {
	if !short && !completions {
		return
	}
	timer := time.NewTimer(forgetWait)
	defer timer.Stop()
	select {
	case <-inc.ctx.Done():
	case <-inc.triggered:
	case <-timer.C:
	}
}

// listFailed records a failed list call and returns the pause before the next one.
func (inc *incarnation) listFailed(err error) time.Duration {
	s := inc.side
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.BootMs()
	if errors.Is(err, platform.ErrNoListener) {
		// A process without a listener may have ended, or it may have closed the listener while its runs go on. Only the end
		// of its lease tells that they have ended too.
		if inc.refusedConns++; inc.refusedConns == refusalsUntilUnreachable {
			s.log.Log(logevent.WorkerUnresponsive, logevent.Str("id", inc.info.Incarnation.ID), logevent.Err(err))
		}
	} else {
		inc.refusedConns = 0
	}
	var other *platform.OtherIncarnation
	if errors.As(err, &other) {
		s.meters.otherLife("list")
		if inc.answeringStartMs != other.StartedMs {
			leaseMs := int64(0)
			if other.DeadlineMs > 0 {
				leaseMs = other.DeadlineMs - inc.workerClock(now)
			}
			s.log.Log(logevent.OtherLifeAnswered, logevent.Str("id", inc.info.Incarnation.ID), logevent.Int("born", inc.info.Incarnation.StartedMs),
				logevent.Int("answering", other.StartedMs), logevent.Int("lease_ms", leaseMs))
		}
		// That life takes deadlines by the clock of this one, and may have answered starts in its place.
		if inc.answeringStartMs != other.StartedMs {
			inc.boundInheritedLease("another life of the worker has answered")
		}
		inc.keepOtherLifeEnds(other)
		inc.answeringStartMs, inc.inheritedLeaseMs = other.StartedMs, now+maxLeaseMs(s.set)
	}
	if !inc.unresponsive && now-inc.answeredMs > unresponsiveAfterMs {
		inc.unresponsive = true
		s.log.Log(logevent.WorkerUnresponsive, logevent.Str("id", inc.info.Incarnation.ID), logevent.Int("silent_ms", now-inc.answeredMs), logevent.Err(err))
	}
	if inc.unresponsive {
		return reportInterval
	}
	return retryAfter
}

// executeOrders starts the execution of orders. The caller holds Side.mu.
func (inc *incarnation) executeOrders(c *connection, o *link.Orders) {
	if o.Forget > inc.forgetUpTo {
		inc.forgetUpTo = o.Forget
		inc.trigger()
	}
	c.orders.add(o.Number, len(o.Starts)+len(o.Stops))
	for _, st := range o.Starts {
		go inc.startRun(inc.orderCtx, c, o.Number, o.Fence, st)
	}
	for _, st := range o.Stops {
		go inc.stopRun(inc.orderCtx, c, o.Number, o.Fence, st)
	}
	for _, p := range o.Throttles {
		go inc.setCPUShare(inc.orderCtx, o.Fence, p)
	}
}

// acquireSlot waits until another call to the worker may be made.
func (inc *incarnation) acquireSlot(ctx context.Context) bool { return acquire(ctx, inc.callSlots) }

func acquire(ctx context.Context, slots chan struct{}) bool {
	select {
	case slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// finishOrder records that an order was answered. It ignores an order that was given up with its incarnation or that
// belongs to an earlier connection; both cancel ctx while Side.mu is held.
func (inc *incarnation) finishOrder(ctx context.Context, c *connection, number uint64, refusal *link.Refusal) {
	s := inc.side
	s.mu.Lock()
	if ctx.Err() != nil {
		s.mu.Unlock()
		return
	}
	c.orders.finish(number)
	if refusal != nil {
		c.orders.refusals = append(c.orders.refusals, *refusal)
	}
	due := c.orders.takeReportDue()
	s.mu.Unlock()
	if refusal != nil || due {
		s.report(nil, false)
	}
}

// startRun starts a run. It retries a start without an answer; the worker starts a run only once.
func (inc *incarnation) startRun(ctx context.Context, c *connection, number, fence uint64, o link.Start) {
	began := clock.BootMs()
	reason, unanswered, err := "", false, error(nil)
	for attempt := 0; reason == ""; attempt++ {
		var age time.Duration
		if age = time.Duration(clock.BootMs()-began) * time.Millisecond; age > startTimeout {
			reason = link.ReasonUnhealthy
			break
		}
		if !inc.acquireSlot(ctx) {
			return
		}
		inc.side.mu.Lock()
		deadline := inc.leaseDeadline(clock.BootMs(), minStartLease.Milliseconds())
		draining := inc.info.Draining || inc.leaving
		if deadline != 0 && !draining {
			inc.recordSentStart(o, clock.BootMs())
		}
		inc.side.mu.Unlock()
		if deadline == 0 || draining {
			<-inc.callSlots
			reason = link.ReasonTooLate
			break
		}
		var clockMs int64
		clockMs, err = inc.attemptStart(ctx, attempt, o, fence, deadline)
		<-inc.callSlots
		if ctx.Err() != nil {
			return
		}
		inc.side.mu.Lock()
		if clockMs > 0 {
			inc.recordAnswer(clockMs)
		}
		inc.side.mu.Unlock()
		var refused *platform.Refused
		switch {
		case err == nil:
			inc.side.log.Log(logevent.StartAnswered, logevent.Str("task", o.Task), logevent.Int("run", o.Run),
				logevent.Int("took_ms", clock.BootMs()-began), logevent.Str("outcome", "started"))
			if o.CPUPercent > 0 {
				inc.setCPUShare(ctx, fence, link.Throttle{Task: o.Task, Run: o.Run, CPUPercent: o.CPUPercent})
			}
			inc.finishOrder(ctx, c, number, nil)
			return
		case errors.As(err, &refused):
			reason = refused.Reason
		case errors.Is(err, platform.ErrOtherIncarnation):
			inc.side.meters.otherLife("start")
			reason = link.ReasonTerminated
		default:
			unanswered = unanswered || errdefs.KindOf(err) == errdefs.Unknown
			inc.side.meters.unanswered("start")
			inc.side.log.Log(logevent.StartUnanswered, logevent.Str("task", o.Task), logevent.Int("run", o.Run), logevent.Err(err))
			clock.Sleep(ctx, retryOrderAfter)
		}
	}
	inc.side.log.Log(logevent.StartAnswered, logevent.Str("task", o.Task), logevent.Int("run", o.Run),
		logevent.Int("took_ms", clock.BootMs()-began), logevent.Str("outcome", reason), logevent.Err(err))
	if !unanswered {
		inc.finishOrder(ctx, c, number, &link.Refusal{Task: o.Task, Run: o.Run, Reason: reason})
		return
	}
	// An attempt without an answer may have been carried out, and the run may already have ended. Only the worker's lists
	// tell, once no attempt can be carried out any more, which is after a stop of the run was answered.
	if reason == link.ReasonStale || inc.stopUntilAnswered(ctx, fence, link.Stop{Task: o.Task, Run: o.Run}) {
		inc.finishOrder(ctx, c, number, nil)
	}
}

// attemptTimeout returns how long the given attempt of an order, counted from 0, may take.
func attemptTimeout(attempt int) time.Duration { return min(minAttempt<<min(attempt, 8), maxAttempt) }

// attemptStart makes one attempt to start a run.
func (inc *incarnation) attemptStart(ctx context.Context, attempt int, o link.Start, fence uint64, deadline int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout(attempt))
	defer cancel()
	return inc.client.Start(ctx, o, fence, deadline)
}

// attemptStop makes one attempt to stop a run.
func (inc *incarnation) attemptStop(ctx context.Context, attempt int, o link.Stop, fence uint64) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout(attempt))
	defer cancel()
	return inc.client.Stop(ctx, o, fence)
}

// stopUntilAnswered retries a stop until the worker has answered it, or until every lease that was sent to it has expired:
// the worker refuses a start that arrives after that as too late.
func (inc *incarnation) stopUntilAnswered(ctx context.Context, fence uint64, o link.Stop) bool {
	return inc.stopWithin(ctx, inc.callSlots, fence, o)
}

// stopWithin is stopUntilAnswered for one of several calls that share slots.
func (inc *incarnation) stopWithin(ctx context.Context, slots chan struct{}, fence uint64, o link.Stop) bool {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		inc.side.mu.Lock()
		leaseExpired := inc.side.incarnation == inc && inc.side.leaseLeft(clock.BootMs()) == 0
		inc.side.mu.Unlock()
		if leaseExpired {
			return true
		}
		if !acquire(ctx, slots) {
			return false
		}
		err := inc.attemptStop(ctx, attempt, o, fence)
		<-slots
		if err == nil {
			return true
		}
		if errors.Is(err, platform.ErrOtherIncarnation) {
			// The heartbeat of the life that answers gives up this order.
			inc.side.meters.otherLife("stop")
			clock.Sleep(ctx, retryAfter)
			continue
		}
		inc.side.meters.unanswered("stop")
		clock.Sleep(ctx, retryOrderAfter)
	}
	return false
}

func (inc *incarnation) stopRun(ctx context.Context, c *connection, number, fence uint64, o link.Stop) {
	if inc.stopUntilAnswered(ctx, fence, o) {
		inc.finishOrder(ctx, c, number, nil)
	}
}

// setCPUShare tries twice to throttle a run; the decider sends the share again when it changes.
func (inc *incarnation) setCPUShare(ctx context.Context, fence uint64, p link.Throttle) {
	for try := 0; try < 2; try++ {
		if !inc.acquireSlot(ctx) {
			return
		}
		err := inc.client.Throttle(ctx, p, fence)
		<-inc.callSlots
		if err == nil {
			return
		}
		if errors.Is(err, platform.ErrOtherIncarnation) {
			inc.side.meters.otherLife("pace")
			return
		}
		inc.side.meters.unanswered("pace")
	}
}
