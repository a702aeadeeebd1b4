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

// Intervals and timeouts of polls.
const (
	// pollWait is the wait of a long poll until the decider sets another.
	pollWait = 2 * time.Second
	// pollMargin is the time that a poll may take in addition to its wait.
	pollMargin = time.Second
	// pollDelay is the least time between polls, also when every poll is answered immediately.
	pollDelay = 50 * time.Millisecond
	// watchInterval is the time between checks of the worker during a poll. It bounds the delay until an ended attempt is
	// reported.
	watchInterval = 150 * time.Millisecond
	// retryDelay is the delay after a poll that no decider answered.
	retryDelay = 200 * time.Millisecond
	// workerTimeout bounds one call to the worker.
	workerTimeout = time.Second
)

// syncer polls the decider for one worker.
type syncer struct {
	side          *Side
	state         *holder.State
	decider       string
	nextEntry     int
	wait          time.Duration
	startsWaiting bool
	vanished      []holder.Renewal
	// pollAtOnce is true if the next poll must be answered without waiting, because leases may not have been renewed for a
	// while.
	pollAtOnce bool
	// byDigest is true if the last poll had a digest in place of the list of running attempts.
	byDigest bool
	// workerEpoch is the highest epoch that the worker has confirmed.
	workerEpoch uint64
}

func (s *Side) syncLoop(ctx context.Context) {
	y := &syncer{side: s, state: holder.New(), wait: pollWait}
	for ctx.Err() == nil {
		pause := pollDelay
		if !y.poll(ctx) {
			pause = retryDelay
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// poll polls the decider once and executes its orders. It reports whether a decider answered.
func (y *syncer) poll(ctx context.Context) bool {
	status, err := y.status(ctx)
	if err != nil {
		y.side.log.Log(logevent.WorkerFailed, logevent.Err(err))
		return false
	}
	y.workerEpoch = status.Epoch
	p := y.state.Begin(status)
	resp, ok := y.sendPoll(ctx, p)
	if !ok {
		y.pollAtOnce = true
		return false
	}
	if resp == nil {
		return true
	}
	y.startsWaiting = resp.StartsWaiting
	y.wait = time.Duration(resp.NextPollMs) * time.Millisecond
	// A decider that does not know the list of running attempts has renewed no lease.
	y.pollAtOnce = y.byDigest && !resp.HeldKnown
	e := y.state.Receive(p, decodeReply(resp))
	if e.Refused != "" {
		y.pollAtOnce = true
		y.side.log.Log(logevent.ReplyIgnored, logevent.Str("reason", e.Refused))
		return false
	}
	y.applyEffects(ctx, e)
	return true
}

func (y *syncer) status(ctx context.Context) (external.WorkerStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, workerTimeout)
	defer cancel()
	return y.side.worker.Status(ctx)
}

// sendPoll sends the poll to the known decider, or to the entries in turn until one names the decider.
func (y *syncer) sendPoll(ctx context.Context, p holder.Poll) (*control.SyncResponse, bool) {
	address := y.decider
	if address == "" {
		y.side.mu.Lock()
		address = y.side.entries[y.nextEntry%len(y.side.entries)]
		y.side.mu.Unlock()
		y.nextEntry++
	}
	ctx, cancel := context.WithTimeout(ctx, y.maxWait()+pollMargin)
	defer cancel()
	ended := make(chan struct{})
	watch, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	go func() {
		if y.watchCompletions(watch, p) {
			close(ended)
			cancel()
		}
	}()
	resp, err := control.NewEntryProtobufClient(y.side.controlURL(address), y.side.rpc).Sync(ctx, y.newRequest(p))
	if err != nil {
		select {
		case <-ended:
			// The poll was cancelled to report an ended attempt. The decider stays known.
			return nil, true
		default:
		}
		y.decider = ""
		y.side.log.Log(logevent.SyncFailed, logevent.Str("entry", address), logevent.Err(err))
		return nil, false
	}
	if resp.Epoch == 0 {
		y.decider = resp.DeciderAddress
		return nil, false
	}
	y.decider = address
	y.side.metrics.lastSynced.Store(time.Now().UnixMilli())
	y.side.metrics.held.Store(int64(len(p.Status.Tasks)))
	return resp, true
}

// maxWait returns how long the decider may wait before it answers the next poll. A poll after one that renewed nothing is
// answered immediately: with a wait of 3 s, a lost reply and another wait the leases of 10 s would expire.
func (y *syncer) maxWait() time.Duration {
	if y.pollAtOnce {
		return 0
	}
	return y.wait
}

// watchCompletions checks the worker during a poll, and returns true once an attempt has ended that the poll reported as
// running.
func (y *syncer) watchCompletions(ctx context.Context, p holder.Poll) bool {
	running := make(map[holder.Renewal]bool)
	for _, t := range p.Status.Tasks {
		if t.State == external.TaskRunning {
			running[holder.Renewal{Task: t.Task, Attempt: t.Attempt}] = true
		}
	}
	if len(running) == 0 {
		return false
	}
	t := time.NewTicker(watchInterval)
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

func (y *syncer) newRequest(p holder.Poll) *control.SyncRequest {
	y.side.mu.Lock()
	inc, rev := y.side.incarnation, y.side.revision
	y.side.mu.Unlock()
	r := &control.SyncRequest{
		Process:  &control.Process{Id: y.side.cfg.ID, Incarnation: inc, Zone: y.side.cfg.Zone, Rack: y.side.cfg.Rack},
		Capacity: resources(p.Status.Capacity), Epoch: y.workerEpoch, Revision: rev,
		WaitMs: uint32(y.maxWait().Milliseconds()), Sequence: p.Sequence, WantStarts: y.startsWaiting, TakesRenewedAll: true,
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

func decodeReply(resp *control.SyncResponse) holder.Reply {
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

// applyEffects executes the decider's orders on the worker. Renewals go first, because leases may be about to expire.
func (y *syncer) applyEffects(ctx context.Context, e holder.Effects) {
	ctx, cancel := context.WithTimeout(ctx, 2*workerTimeout)
	defer cancel()
	w := y.side.worker
	logError := func(err error) {
		if err != nil {
			y.side.log.Log(logevent.WorkerFailed, logevent.Err(err))
		}
	}
	if len(e.Renew) > 0 || e.Epoch > y.workerEpoch {
		logError(w.Renew(ctx, e.Epoch, e.Renew))
	}
	for _, o := range e.Orders {
		logError(y.applyOrder(ctx, o))
	}
	for _, t := range e.Start {
		if err := w.Start(ctx, t); err != nil {
			y.side.log.Log(logevent.TaskStartFailed, logevent.Str("task", t.Task), logevent.Err(err))
			y.state.StartFailed(t.Task, t.Attempt)
		}
	}
	for _, t := range e.Forget {
		logError(w.Forget(ctx, t.Task, t.Attempt))
	}
	y.vanished = e.Vanished
}

func (y *syncer) applyOrder(ctx context.Context, o holder.Order) error {
	w := y.side.worker
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
