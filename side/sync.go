package side

import (
	"context"
	"time"

	"github.com/verbenakeel/verbenakeel/control"
	"github.com/verbenakeel/verbenakeel/core/holder"
	"github.com/verbenakeel/verbenakeel/external"
	"github.com/verbenakeel/verbenakeel/logevent"
	"github.com/verbenakeel/verbenakeel/record"
)

// Times of polls.
const (
	// pollWait is how long the decider may withhold an answer until it says otherwise.
	pollWait = 2 * time.Second
	// pollMargin is how long a poll may take beyond the wait.
	pollMargin = time.Second
	// pollPause keeps a worker with steady news from polling without pause.
	pollPause = 50 * time.Millisecond
	// watchEvery is the time between looks at the worker during a poll. It bounds how late an end is reported.
	watchEvery = 150 * time.Millisecond
	// retryPause follows a poll that no decider answered.
	retryPause = 200 * time.Millisecond
	// workerTimeout bounds one call to the worker.
	workerTimeout = time.Second
)

// syncer polls the decider for one worker.
type syncer struct {
	s        *Side
	state    *holder.State
	decider  string
	next     int
	wait     time.Duration
	starts   bool
	vanished []holder.Renewal
	// hurry is true while the next poll is not to be withheld: leases may not have been renewed for long.
	hurry bool
	// byDigest is true if the newest poll left out the list of running attempts.
	byDigest bool
	// workerEpoch is the highest epoch that the worker has confirmed.
	workerEpoch uint64
}

func (s *Side) syncLoop(ctx context.Context) {
	y := &syncer{s: s, state: holder.New(), wait: pollWait}
	for ctx.Err() == nil {
		pause := pollPause
		if !y.poll(ctx) {
			pause = retryPause
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// poll asks the decider once and carries out its orders. It reports whether a decider answered.
func (y *syncer) poll(ctx context.Context) bool {
	status, err := y.status(ctx)
	if err != nil {
		y.s.log.Log(logevent.WorkerFailed, logevent.Err(err))
		return false
	}
	y.workerEpoch = status.Epoch
	p := y.state.Begin(status)
	resp, ok := y.ask(ctx, p)
	if !ok {
		y.hurry = true
		return false
	}
	if resp == nil {
		return true
	}
	y.starts = resp.StartsWaiting
	y.wait = time.Duration(resp.NextPollMs) * time.Millisecond
	// A decider that does not know the list renewed nothing.
	y.hurry = y.byDigest && !resp.HeldKnown
	e := y.state.Receive(p, replyOf(resp))
	if e.Refused != "" {
		y.hurry = true
		y.s.log.Log(logevent.ReplyIgnored, logevent.Str("reason", e.Refused))
		return false
	}
	y.carryOut(ctx, e)
	return true
}

func (y *syncer) status(ctx context.Context) (external.WorkerStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, workerTimeout)
	defer cancel()
	return y.s.worker.Status(ctx)
}

// ask sends the poll to the decider it knows, or to the entries in turn until one names the decider.
func (y *syncer) ask(ctx context.Context, p holder.Poll) (*control.SyncResponse, bool) {
	address := y.decider
	if address == "" {
		y.s.mu.Lock()
		address = y.s.entries[y.next%len(y.s.entries)]
		y.s.mu.Unlock()
		y.next++
	}
	ctx, cancel := context.WithTimeout(ctx, y.withheld()+pollMargin)
	defer cancel()
	ended := make(chan struct{})
	watch, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	go func() {
		if y.watchEnds(watch, p) {
			close(ended)
			cancel()
		}
	}()
	resp, err := control.NewEntryProtobufClient(y.s.controlURL(address), y.s.rpc).Sync(ctx, y.request(p))
	if err != nil {
		select {
		case <-ended:
			// The poll was cut short to report an end. The decider stays known.
			return nil, true
		default:
		}
		y.decider = ""
		y.s.log.Log(logevent.SyncFailed, logevent.Str("entry", address), logevent.Err(err))
		return nil, false
	}
	if resp.Epoch == 0 {
		y.decider = resp.DeciderAddress
		return nil, false
	}
	y.decider = address
	y.s.metrics.synced.Store(time.Now().UnixMilli())
	y.s.metrics.held.Store(int64(len(p.Status.Tasks)))
	return resp, true
}

// withheld returns how long the decider may withhold the answer to the next poll. A poll after one that renewed nothing is
// answered at once: with a wait of 3 s, a lost reply and another wait the leases of 10 s would end.
func (y *syncer) withheld() time.Duration {
	if y.hurry {
		return 0
	}
	return y.wait
}

// watchEnds looks at the worker while the decider withholds its answer, and reports true once an attempt has ended that
// the poll showed as running.
func (y *syncer) watchEnds(ctx context.Context, p holder.Poll) bool {
	running := make(map[holder.Renewal]bool)
	for _, t := range p.Status.Tasks {
		if t.State == external.TaskRunning {
			running[holder.Renewal{Task: t.Task, Attempt: t.Attempt}] = true
		}
	}
	if len(running) == 0 {
		return false
	}
	t := time.NewTicker(watchEvery)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return false
		}
		status, err := y.status(ctx)
		if err != nil {
			continue
		}
		for _, s := range status.Tasks {
			if s.State != external.TaskRunning && running[holder.Renewal{Task: s.Task, Attempt: s.Attempt}] {
				return true
			}
		}
	}
}

func (y *syncer) request(p holder.Poll) *control.SyncRequest {
	y.s.mu.Lock()
	inc, rev := y.s.incarnation, y.s.revision
	y.s.mu.Unlock()
	r := &control.SyncRequest{
		Process:  &control.Process{Id: y.s.set.ID, Incarnation: inc, Zone: y.s.set.Zone, Rack: y.s.set.Rack},
		Capacity: resources(p.Status.Capacity), Epoch: y.workerEpoch, Revision: rev,
		WaitMs: uint32(y.withheld().Milliseconds()), Sequence: p.Sequence, WantStarts: y.starts, TakesRenewedAll: true,
	}
	report := y.state.Report(p)
	y.byDigest = report.ByDigest
	r.HeldByDigest, r.HeldDigest = report.ByDigest, report.HeldDigest
	r.UsagePartial, r.UsageAgeMs, r.UsageDigest = report.UsagePartial, uint32(report.UsageAgeMs), report.UsageDigest
	for _, h := range report.Held {
		r.Held = append(r.Held, &control.HeldTask{Task: h.Task, Attempt: h.Attempt})
	}
	for _, t := range p.Status.Tasks {
		if t.State == external.TaskRunning {
			continue
		}
		r.Ended = append(r.Ended, &control.EndedTask{
			Task: t.Task, Attempt: t.Attempt, Outcome: string(t.Outcome), Reason: t.Reason,
			CheckpointMs: uint32(t.SavedMs), RanMs: uint32(t.RanMs),
		})
	}
	for _, v := range y.vanished {
		r.Ended = append(r.Ended, &control.EndedTask{
			Task: v.Task, Attempt: v.Attempt, Outcome: string(record.Lapsed), Reason: "the worker no longer has the attempt",
		})
	}
	for _, u := range report.Usage {
		r.Usage = append(r.Usage, &control.Usage{
			Task: u.Task, Attempt: u.Attempt, AgeMs: uint32(u.AgeMs), CpuMilli: uint32(u.Used.CPUMilli),
			MemoryMb: uint32(u.Used.MemoryMB), LatencyP99Us: uint32(u.LatencyP99Us), SpeedMilli: uint32(u.SpeedMilli),
		})
	}
	return r
}

func resources(r record.Resources) *control.Resources {
	return &control.Resources{CpuMilli: uint32(r.CPUMilli), MemoryMb: uint32(r.MemoryMB), Accelerators: uint32(r.Accelerators)}
}

func replyOf(resp *control.SyncResponse) holder.Reply {
	r := holder.Reply{
		Epoch: resp.Epoch, Sequence: resp.Sequence, LeaseMs: int64(resp.LeaseMs),
		ServiceLeaseMs: int64(resp.ServiceLeaseMs), PermitMs: int64(resp.PermitMs), RenewedAll: resp.RenewedAll,
		HeldKnown: resp.HeldKnown, UsageKnown: resp.UsageKnown,
	}
	for _, t := range resp.Starts {
		spec := external.TaskSpec{
			Task: t.Task, Attempt: t.Attempt, Customer: t.Customer, Kind: record.JobKind(t.Kind),
			CheckpointMs: int64(t.CheckpointMs), RunMs: int64(t.RunMs), Command: t.Command,
		}
		if t.Resources != nil {
			spec.Size = record.Resources{
				CPUMilli: int64(t.Resources.CpuMilli), MemoryMB: int64(t.Resources.MemoryMb), Accelerators: int64(t.Resources.Accelerators),
			}
		}
		r.Starts = append(r.Starts, spec)
	}
	for _, o := range resp.Orders {
		r.Orders = append(r.Orders, holder.Order{
			Task: o.Task, Attempt: o.Attempt, Action: holder.Action(o.Action), Reason: o.Reason, ShareMilli: int64(o.ShareMilli),
		})
	}
	for _, t := range resp.Renewed {
		r.Renewed = append(r.Renewed, holder.Renewal{Task: t.Task, Attempt: t.Attempt})
	}
	for _, t := range resp.Acknowledged {
		r.Acknowledged = append(r.Acknowledged, holder.Renewal{Task: t.Task, Attempt: t.Attempt})
	}
	return r
}

// carryOut asks the worker for what the decider ordered. Renewals go first, because leases may be about to end.
func (y *syncer) carryOut(ctx context.Context, e holder.Effects) {
	ctx, cancel := context.WithTimeout(ctx, 2*workerTimeout)
	defer cancel()
	w := y.s.worker
	note := func(err error) {
		if err != nil {
			y.s.log.Log(logevent.WorkerFailed, logevent.Err(err))
		}
	}
	if len(e.Renew) > 0 || e.Epoch > y.workerEpoch {
		note(w.Renew(ctx, e.Epoch, e.Renew))
	}
	for _, o := range e.Orders {
		note(y.order(ctx, o))
	}
	for _, t := range e.Start {
		if err := w.Start(ctx, t); err != nil {
			y.s.log.Log(logevent.TaskStartFailed, logevent.Str("task", t.Task), logevent.Err(err))
			y.state.StartFailed(t.Task, t.Attempt)
		}
	}
	for _, t := range e.Forget {
		note(w.Forget(ctx, t.Task, t.Attempt))
	}
	y.vanished = e.Vanished
}

func (y *syncer) order(ctx context.Context, o holder.Order) error {
	w := y.s.worker
	switch o.Action {
	case holder.Stop:
		return w.Stop(ctx, o.Task, o.Attempt, o.Reason)
	case holder.Checkpoint:
		return w.Checkpoint(ctx, o.Task, o.Attempt, o.Reason)
	case holder.Throttle:
		return w.Throttle(ctx, o.Task, o.Attempt, o.ShareMilli)
	case holder.Unthrottle:
		return w.Throttle(ctx, o.Task, o.Attempt, 1000)
	}
	return nil
}
