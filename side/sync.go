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
	vanished      []holder.AttemptRef
	// pollAtOnce is true if the next poll must be answered without waiting, because leases may not have been renewed for a
	// while.
	pollAtOnce bool
	// byDigest is true if the last poll had a digest in place of the list of running attempts.
	byDigest bool
	// workerEpoch is the highest epoch that the worker has confirmed.
	workerEpoch uint64
}

func (s *Side) syncLoop(ctx context.Context) {
	poller := &syncer{side: s, state: holder.New(), wait: pollWait}
	for ctx.Err() == nil {
		pause := pollDelay
		if !poller.poll(ctx) {
			pause = retryDelay
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// poll polls the decider once and executes its orders. It reports whether a decider answered.
func (s *syncer) poll(ctx context.Context) bool {
	status, err := s.status(ctx)
	if err != nil {
		s.side.log.Log(logevent.WorkerFailed, logevent.Err(err))
		return false
	}
	s.workerEpoch = status.Epoch
	p := s.state.Begin(status)
	resp, ok := s.sendPoll(ctx, p)
	if !ok {
		s.pollAtOnce = true
		return false
	}
	if resp == nil {
		return true
	}
	s.startsWaiting = resp.StartsWaiting
	s.wait = time.Duration(resp.NextPollMs) * time.Millisecond
	// A decider that does not know the list of running attempts has renewed no lease.
	s.pollAtOnce = s.byDigest && !resp.HeldKnown
	e := s.state.Receive(p, decodeReply(resp))
	if e.Refused != "" {
		s.pollAtOnce = true
		s.side.log.Log(logevent.ReplyIgnored, logevent.Str("reason", e.Refused))
		return false
	}
	s.applyEffects(ctx, e)
	return true
}

func (s *syncer) status(ctx context.Context) (external.WorkerStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, workerTimeout)
	defer cancel()
	return s.side.worker.Status(ctx)
}

// sendPoll sends the poll to the known decider, or to the entries in turn until one names the decider.
func (s *syncer) sendPoll(ctx context.Context, p holder.Poll) (*control.SyncResponse, bool) {
	address := s.decider
	if address == "" {
		s.side.mu.Lock()
		address = s.side.entries[s.nextEntry%len(s.side.entries)]
		s.side.mu.Unlock()
		s.nextEntry++
	}
	ctx, cancel := context.WithTimeout(ctx, s.maxWait()+pollMargin)
	defer cancel()
	ended := make(chan struct{})
	watch, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	go func() {
		if s.watchCompletions(watch, p) {
			close(ended)
			cancel()
		}
	}()
	resp, err := control.NewEntryProtobufClient(s.side.controlURL(address), s.side.rpc).Sync(ctx, s.newRequest(p))
	if err != nil {
		select {
		case <-ended:
			// The poll was cancelled to report an ended attempt. The decider stays known.
			return nil, true
		default:
		}
		s.decider = ""
		s.side.log.Log(logevent.SyncFailed, logevent.Str("entry", address), logevent.Err(err))
		return nil, false
	}
	if resp.Epoch == 0 {
		s.decider = resp.DeciderAddress
		return nil, false
	}
	s.decider = address
	s.side.metrics.lastSynced.Store(time.Now().UnixMilli())
	s.side.metrics.held.Store(int64(len(p.Status.Tasks)))
	return resp, true
}

// maxWait returns how long the decider may wait before it answers the next poll. A poll after one that renewed nothing is
// answered immediately: with a wait of 3 s, a lost reply and another wait the leases of 10 s would expire.
func (s *syncer) maxWait() time.Duration {
	if s.pollAtOnce {
		return 0
	}
	return s.wait
}

// watchCompletions checks the worker during a poll, and returns true once an attempt has ended that the poll reported as
// running.
func (s *syncer) watchCompletions(ctx context.Context, p holder.Poll) bool {
	running := make(map[holder.AttemptRef]bool)
	for _, t := range p.Status.Tasks {
		if t.State == external.TaskRunning {
			running[holder.AttemptRef{Task: t.Task, Attempt: t.Attempt}] = true
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
		status, err := s.status(ctx)
		if err != nil {
			continue
		}
		for _, task := range status.Tasks {
			if task.State != external.TaskRunning && running[holder.AttemptRef{Task: task.Task, Attempt: task.Attempt}] {
				return true
			}
		}
	}
}

func (s *syncer) newRequest(p holder.Poll) *control.SyncRequest {
	s.side.mu.Lock()
	inc, rev := s.side.incarnation, s.side.revision
	s.side.mu.Unlock()
	r := &control.SyncRequest{
		Process:  &control.Process{Id: s.side.cfg.ID, Incarnation: inc, Zone: s.side.cfg.Zone, Rack: s.side.cfg.Rack},
		Capacity: resources(p.Status.Capacity), Epoch: s.workerEpoch, Revision: rev,
		WaitMs: uint32(s.maxWait().Milliseconds()), Sequence: p.Sequence, WantStarts: s.startsWaiting, TakesRenewedAll: true,
	}
	report := s.state.Report(p)
	s.byDigest = report.ByDigest
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
	for _, v := range s.vanished {
		r.Ended = append(r.Ended, &control.EndedTask{
			Task: v.Task, Attempt: v.Attempt, Outcome: string(record.LeaseExpired), Reason: "the worker no longer has the attempt",
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
		r.Renewed = append(r.Renewed, holder.AttemptRef{Task: t.Task, Attempt: t.Attempt})
	}
	for _, t := range resp.Acknowledged {
		r.Acknowledged = append(r.Acknowledged, holder.AttemptRef{Task: t.Task, Attempt: t.Attempt})
	}
	return r
}

// applyEffects executes the decider's orders on the worker. Renewals go first, because leases may be about to expire.
func (s *syncer) applyEffects(ctx context.Context, e holder.Effects) {
	ctx, cancel := context.WithTimeout(ctx, 2*workerTimeout)
	defer cancel()
	w := s.side.worker
	logError := func(err error) {
		if err != nil {
			s.side.log.Log(logevent.WorkerFailed, logevent.Err(err))
		}
	}
	if len(e.Renew) > 0 || e.Epoch > s.workerEpoch {
		logError(w.Renew(ctx, e.Epoch, e.Renew))
	}
	for _, o := range e.Orders {
		logError(s.applyOrder(ctx, o))
	}
	for _, t := range e.Start {
		if err := w.Start(ctx, t); err != nil {
			s.side.log.Log(logevent.TaskStartFailed, logevent.Str("task", t.Task), logevent.Err(err))
			s.state.StartFailed(t.Task, t.Attempt)
		}
	}
	for _, t := range e.Forget {
		logError(w.Forget(ctx, t.Task, t.Attempt))
	}
	s.vanished = e.Missing
}

func (s *syncer) applyOrder(ctx context.Context, o holder.Order) error {
	w := s.side.worker
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
