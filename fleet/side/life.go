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
	// holdWait is how long the worker is asked to wait for an end. It bounds the age of what is known.
	holdWait = 400 * time.Millisecond
	// forgetWait is how long an end that was reported is waited for to be on record before the worker is asked again.
	forgetWait = 200 * time.Millisecond
	// retryAfter is the pause after a call to the worker that failed.
	retryAfter = 100 * time.Millisecond
	// startPatience is how long a start is tried before its run is stopped and reported as refused.
	startPatience = 900 * time.Millisecond
	// leaseLeast is the least rest of the lease with which a run is started.
	leaseLeast = 600 * time.Millisecond
	// calls bounds calls to the worker at once beside the one that lists.
	calls = 4
	// refusedToGone is the number of refused connections in a row that show that the worker's process has ended.
	refusedToGone = 3
	// silentToLog is the silence of the worker after which it is logged and its lease is not renewed.
	silentToLog = 1200
)

// slackMs is how much longer a lease may last on the worker's clock, in milliseconds.
func slackMs(set settings.Fleet) int64 { return bounds.ClockSlack(set.Bounds.Lease).Milliseconds() }

// life is one life of the worker. Its fields are guarded by Side.mu unless noted.
type life struct {
	side   *Side
	info   link.Worker
	client *platform.Worker
	cancel context.CancelFunc
	ctx    context.Context
	// stopOrders ends the orders of the current connection.
	orderCtx   context.Context
	stopOrders context.CancelFunc
	leaving    bool
	// clockMs is the worker's clock at clockAtMs of ours.
	clockMs, clockAtMs int64
	// heldUntilMs is the latest end of a lease that the worker was told, 0 if its process has ended.
	heldUntilMs int64
	// answeredMs is when it answered last, silent is true once its silence was logged.
	answeredMs int64
	silent     bool
	refused    int
	forget     int64
	kicked     chan struct{}
	slots      chan struct{}
}

// newLife starts a life of the worker. The caller holds Side.mu.
func (s *Side) newLife(ctx context.Context, info *link.Worker) *life {
	l := &life{side: s, info: *info, client: platform.NewWorker(info.Address, info.Life), answeredMs: clock.BootMs(),
		kicked: make(chan struct{}, 1), slots: make(chan struct{}, calls)}
	if s.life == nil {
		// An earlier run of this process may have renewed its lease.
		l.heldUntilMs = s.startedMs + s.set.Bounds.Lease.Milliseconds()
	}
	l.ctx, l.cancel = context.WithCancel(ctx)
	l.orderCtx, l.stopOrders = context.WithCancel(l.ctx)
	return l
}

// kick makes the worker be asked again soon.
func (l *life) kick() {
	select {
	case l.kicked <- struct{}{}:
	default:
	}
}

// dropOrders ends what an earlier connection ordered and is not answered yet. Late calls carry a lower fence than the
// next connection's, so the worker refuses them.
func (l *life) dropOrders() {
	l.stopOrders()
	l.orderCtx, l.stopOrders = context.WithCancel(l.ctx)
}

// workerClock returns the worker's clock now; 0 if it is not known.
func (l *life) workerClock(now int64) int64 {
	if l.clockMs == 0 {
		return 0
	}
	return l.clockMs + now - l.clockAtMs
}

// seeClock notes an answer of the worker.
func (l *life) seeClock(clockMs int64) {
	now := clock.BootMs()
	if clockMs > 0 {
		l.clockMs, l.clockAtMs = clockMs, now
	}
	if l.silent {
		l.side.log.Log(logevent.WorkerAnswers, logevent.Str("id", l.info.Life.ID), logevent.Int("silent_ms", now-l.answeredMs))
		l.silent = false
	}
	l.answeredMs, l.refused = now, 0
}

// deadline returns the end of the lease on the worker's clock, or 0 if no lease is left or its clock is unknown.
func (l *life) deadline(now, leastMs int64) int64 {
	end := l.side.leaseEndMs
	if end-now < leastMs || l.clockMs == 0 || now-l.answeredMs > silentToLog {
		// A worker that is silent is not renewed: a call without an answer may be carried out, and what it runs must be
		// known to end.
		return 0
	}
	l.heldUntilMs = max(l.heldUntilMs, end)
	return l.workerClock(now) + end - now
}

// run lists what is at work again and again and renews the lease.
func (l *life) run() {
	s := l.side
	var fullMs int64
	for first := true; l.ctx.Err() == nil; first = false {
		s.mu.Lock()
		now := clock.BootMs()
		got := &listing{life: l, fence: s.fence, conn: s.conn}
		if s.conn != nil {
			got.ordersDone = s.conn.orders.done()
		}
		deadline, forget := l.deadline(now, 0), l.forget
		s.mu.Unlock()
		wait := holdWait
		if first || deadline == 0 {
			wait = 0
		}
		ans, err := l.client.Hold(l.ctx, got.fence, deadline, forget, wait)
		if err != nil {
			clock.Sleep(l.ctx, l.holdFailed(err))
			continue
		}
		if ans.BornMs != 0 && l.info.Life.BornMs != 0 && ans.BornMs != l.info.Life.BornMs {
			// Another life answered under the same id; its heartbeat will start it.
			clock.Sleep(l.ctx, retryAfter)
			continue
		}
		s.mu.Lock()
		l.seeClock(ans.ClockMs)
		got.runs, got.ends = ans.Runs, ans.Ends
		s.mu.Unlock()
		now = clock.BootMs()
		full := now-fullMs >= fullEvery.Milliseconds() || len(got.ends) == 0
		if full {
			fullMs = now
		}
		s.report(got, full)
		l.pause(wait == 0, len(got.ends) > 0)
	}
}

// fullEvery is the least time between two reports of all runs while ends come in.
const fullEvery = 250 * time.Millisecond

// pause waits before the worker is asked again: it answers at once while it lists an end.
func (l *life) pause(short, ends bool) {
	if !short && !ends {
		return
	}
	timer := time.NewTimer(forgetWait)
	defer timer.Stop()
	select {
	case <-l.ctx.Done():
	case <-l.kicked:
	case <-timer.C:
	}
}

// holdFailed notes a listing without an answer and returns the pause before the next one.
func (l *life) holdFailed(err error) time.Duration {
	s := l.side
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.BootMs()
	if errors.Is(err, platform.ErrNoListener) {
		if l.refused++; l.refused == refusedToGone {
			// The worker's process has ended, and what it ran with it.
			l.heldUntilMs = 0
			s.log.Log(logevent.WorkerSilent, logevent.Str("id", l.info.Life.ID), logevent.Err(err))
		}
	} else {
		l.refused = 0
	}
	if !l.silent && now-l.answeredMs > silentToLog {
		l.silent = true
		s.log.Log(logevent.WorkerSilent, logevent.Str("id", l.info.Life.ID), logevent.Int("silent_ms", now-l.answeredMs), logevent.Err(err))
	}
	if l.silent {
		return reportEvery
	}
	return retryAfter
}

// order carries out orders. The caller holds Side.mu.
func (l *life) order(c *connection, o *link.Orders) {
	if o.Forget > l.forget {
		l.forget = o.Forget
		l.kick()
	}
	c.orders.add(o.Number, len(o.Starts)+len(o.Stops))
	for _, st := range o.Starts {
		go l.start(l.orderCtx, c, o.Number, o.Fence, st)
	}
	for _, st := range o.Stops {
		go l.stopRun(l.orderCtx, c, o.Number, o.Fence, st)
	}
	for _, p := range o.Paces {
		go l.setPace(l.orderCtx, o.Fence, p)
	}
}

// acquire waits for a free call to the worker.
func (l *life) acquire(ctx context.Context) bool {
	select {
	case l.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// finish notes that an order is answered.
func (l *life) finish(ctx context.Context, c *connection, number uint64, refusal *link.Refusal) {
	if ctx.Err() != nil {
		return
	}
	s := l.side
	s.mu.Lock()
	c.orders.finish(number)
	if refusal != nil {
		c.orders.refusals = append(c.orders.refusals, *refusal)
	}
	s.mu.Unlock()
	if refusal != nil {
		s.report(nil, false)
	}
}

// start starts a run. A start without an answer is repeated; the worker starts a run once.
func (l *life) start(ctx context.Context, c *connection, number, fence uint64, o link.Start) {
	began := clock.BootMs()
	reason, unanswered, err := "", false, error(nil)
	for reason == "" {
		var age time.Duration
		if age = time.Duration(clock.BootMs()-began) * time.Millisecond; age > startPatience {
			reason = link.ReasonUnhealthy
			break
		}
		if !l.acquire(ctx) {
			return
		}
		l.side.mu.Lock()
		deadline := l.deadline(clock.BootMs(), leaseLeast.Milliseconds())
		draining := l.info.Draining || l.leaving
		l.side.mu.Unlock()
		if deadline == 0 || draining {
			<-l.slots
			reason = link.ReasonLate
			break
		}
		var clockMs int64
		clockMs, err = l.client.Start(ctx, o, fence, deadline)
		<-l.slots
		if ctx.Err() != nil {
			return
		}
		l.side.mu.Lock()
		if clockMs > 0 {
			l.seeClock(clockMs)
		}
		l.side.mu.Unlock()
		var refused *platform.Refused
		switch {
		case err == nil:
			l.side.log.Log(logevent.StartAnswered, logevent.Str("task", o.Task), logevent.Int("run", o.Run),
				logevent.Int("took_ms", clock.BootMs()-began), logevent.Str("outcome", "started"))
			if o.Percent > 0 {
				l.setPace(ctx, fence, link.Pace{Task: o.Task, Run: o.Run, Percent: o.Percent})
			}
			l.finish(ctx, c, number, nil)
			return
		case errors.As(err, &refused):
			reason = refused.Reason
		case errors.Is(err, platform.ErrOtherLife):
			reason = link.ReasonGone
		default:
			unanswered = unanswered || errdefs.KindOf(err) == errdefs.Unknown
			l.side.meters.unanswered("start")
			l.side.log.Log(logevent.StartUnanswered, logevent.Str("task", o.Task), logevent.Int("run", o.Run), logevent.Err(err))
			clock.Sleep(ctx, retryAfter)
		}
	}
	l.side.log.Log(logevent.StartAnswered, logevent.Str("task", o.Task), logevent.Int("run", o.Run),
		logevent.Int("took_ms", clock.BootMs()-began), logevent.Str("outcome", reason), logevent.Err(err))
	if !unanswered {
		l.finish(ctx, c, number, &link.Refusal{Task: o.Task, Run: o.Run, Reason: reason})
		return
	}
	// An attempt without an answer may have been carried out, and the run may even have ended. Only the lists tell,
	// once no attempt can be carried out any more: that is after a stop of the run was answered.
	if reason == link.ReasonOld || l.stopUntilAnswered(ctx, fence, link.Stop{Task: o.Task, Run: o.Run}) {
		l.finish(ctx, c, number, nil)
	}
}

// stopUntilAnswered repeats a stop until the worker has answered it, or every lease that it was told has ended: a start
// that is carried out after that is refused as late.
func (l *life) stopUntilAnswered(ctx context.Context, fence uint64, o link.Stop) bool {
	for ctx.Err() == nil {
		l.side.mu.Lock()
		over := l.side.life == l && l.side.leaseLeft(clock.BootMs()) == 0
		l.side.mu.Unlock()
		if over {
			return true
		}
		if !l.acquire(ctx) {
			return false
		}
		err := l.client.Stop(ctx, o, fence)
		<-l.slots
		if err == nil {
			return true
		}
		l.side.meters.unanswered("stop")
		clock.Sleep(ctx, retryAfter)
	}
	return false
}

func (l *life) stopRun(ctx context.Context, c *connection, number, fence uint64, o link.Stop) {
	if l.stopUntilAnswered(ctx, fence, o) {
		l.finish(ctx, c, number, nil)
	}
}

// setPace is tried twice; the decider sends the pace again when it changes.
func (l *life) setPace(ctx context.Context, fence uint64, p link.Pace) {
	for try := 0; try < 2; try++ {
		if !l.acquire(ctx) {
			return
		}
		err := l.client.Pace(ctx, p, fence)
		<-l.slots
		if err == nil {
			return
		}
		l.side.meters.unanswered("pace")
	}
}

// tracker tracks which numbered messages are carried out.
type tracker struct {
	// last is the highest number, open holds how many orders of a message are not answered.
	last     uint64
	open     map[uint64]int
	refusals []link.Refusal
}

func (t *tracker) add(number uint64, orders int) {
	t.last = max(t.last, number)
	if orders > 0 {
		if t.open == nil {
			t.open = map[uint64]int{}
		}
		t.open[number] += orders
	}
}

func (t *tracker) finish(number uint64) {
	if t.open[number]--; t.open[number] <= 0 {
		delete(t.open, number)
	}
}

// done returns the highest number up to which all orders are answered.
func (t *tracker) done() uint64 {
	low := t.last
	for n := range t.open {
		low = min(low, n-1)
	}
	return low
}
