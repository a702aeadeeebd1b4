package decider

import (
	"sort"

	"github.com/verbenakeel/verbenakeel/core/clock"
	"github.com/verbenakeel/verbenakeel/core/holder"
	"github.com/verbenakeel/verbenakeel/core/lifecycle"
	"github.com/verbenakeel/verbenakeel/core/tasks"
	"github.com/verbenakeel/verbenakeel/errdefs"
	"github.com/verbenakeel/verbenakeel/external"
	"github.com/verbenakeel/verbenakeel/internal/rule"
	"github.com/verbenakeel/verbenakeel/record"
	"github.com/verbenakeel/verbenakeel/scheduler"
)

// Poll is a worker's poll of the decider, sent by its side process.
type Poll struct {
	Worker      string
	Incarnation uint64
	Zone        string
	Rack        string
	Capacity    record.Resources
	Epoch       uint64
	Sequence    uint64
	WantStarts  bool
	Held        []holder.AttemptRef
	Ended       []record.End
	Usage       []external.TaskUsage
	// HeldByDigest is true if HeldDigest is sent in place of Held.
	HeldByDigest bool
	HeldDigest   uint64
	// UsagePartial is true if Usage holds only samples that changed. The others are as last reported, with age UsageAgeMs.
	// UsageDigest is the digest of all measured attempts.
	UsagePartial bool
	UsageAgeMs   int64
	UsageDigest  uint64
	// TakesRenewedAll is true if the side process understands RenewedAll.
	TakesRenewedAll bool
}

// Answer is the reply to a poll.
type Answer struct {
	holder.Reply
	// StartsWaiting is true when starts are pending and the worker should poll again with WantStarts set.
	StartsWaiting bool
}

// Sync answers a worker's poll. The error is of kind Unavailable when this entry may not act as the decider.
func (s *State) Sync(now clock.Now, p Poll) (Answer, error) {
	epoch, _ := s.auth.Epoch()
	if s.policy == nil || !s.auth.Valid(now) || (p.Epoch > epoch && rule.Enabled(rule.Epoch)) {
		return Answer{}, errdefs.New(errdefs.Unavailable, "this entry is not the decider of the region",
			"retry at the decider named in the reply, or retry later")
	}
	answer := Answer{Reply: holder.Reply{
		Epoch: epoch, Sequence: p.Sequence, LeaseMs: s.cfg.TaskLease.Milliseconds(),
		ServiceLeaseMs: s.cfg.ServiceLease.Milliseconds(), PermitMs: s.cfg.PermitTTL.Milliseconds(),
	}}
	c := s.ensureContact(now, p.Worker)
	if s.isStale(now, c, p) {
		return Answer{}, errdefs.New(errdefs.Refused, "a newer poll of this worker was already received", "poll again")
	}
	if c.incarnation != p.Incarnation {
		c.permitsExpiredSeq = 0
	}
	c.incarnation, c.sequence = p.Incarnation, p.Sequence
	s.fence(now, epoch, c, p)
	s.registerWorker(now, c, p)
	reported := make(map[string]bool)
	for _, e := range p.Ended {
		s.handleEnd(&answer, p, e, reported)
	}
	p, answer.HeldKnown = s.resolveHeld(c, p)
	if !answer.HeldKnown {
		// Nothing is renewed, so the lease expiries stay unchanged.
		return answer, nil
	}
	if c.cache.incarnation != p.Incarnation {
		c.cache = pollCache{incarnation: p.Incarnation}
	}
	for _, h := range p.Held {
		s.renew(&answer, c, p, h, reported)
	}
	if p.TakesRenewedAll && len(answer.Renewed) == len(p.Held) {
		answer.RenewedAll, answer.Renewed = true, nil
	}
	s.orderStarts(now, &answer, c, p, reported)
	p.Usage, answer.UsageKnown = resolveUsage(c, p)
	if answer.UsageKnown {
		s.applyUsage(now, p)
	}
	c.leaseExpiry = max(c.leaseExpiry, now.Mono+clock.WithMargin(s.cfg.TaskLease))
	c.serviceLeaseExpiry = max(c.serviceLeaseExpiry, now.Mono+clock.WithMargin(s.cfg.ServiceLease))
	if len(answer.Starts) > 0 {
		c.permitExpiry, c.permitsExpiredSeq = max(c.permitExpiry, now.Mono+clock.WithMargin(s.cfg.PermitTTL)), 0
	}
	return answer, nil
}

// isStale reports whether a poll was sent before one that was already accepted: its content is outdated and its sender no
// longer waits for the reply. Polls of a lower incarnation are stale only until SilentAfter has passed since the last poll.
// Incarnations derive from the wall clock, and a side process that restarted after the clock was set back must not be
// rejected forever.
func (s *State) isStale(now clock.Now, c *workerContact, p Poll) bool {
	if p.Incarnation != c.incarnation {
		return p.Incarnation < c.incarnation && now.Mono-c.lastPoll <= s.cfg.SilentAfter
	}
	return p.Sequence < c.sequence
}

// PollArrived records that a poll was received, so that the worker does not count as unresponsive while its poll is held open.
// Leases are not affected. It returns the poll with a digest resolved to the list of held attempts, and whether the reply
// may be withheld until there is something to send.
func (s *State) PollArrived(now clock.Now, p Poll) (Poll, bool) {
	if s.policy == nil {
		return p, false
	}
	c := s.contacts[p.Worker]
	if c == nil || s.isStale(now, c, p) {
		return p, false
	}
	c.lastPoll = now.Mono
	p, ok := s.resolveHeld(c, p)
	return p, ok && !p.WantStarts && !s.HasUpdates(now, p)
}

// fence records that a worker has adopted this epoch. From then on it rejects renewals of older deciders, and its side
// process rejects their starts, so that leases and permits expire as this decider computes them. A later incarnation of the
// side process may not know the epoch, but accepts no start of an attempt that was placed for an earlier incarnation.
func (s *State) fence(now clock.Now, epoch uint64, c *workerContact, p Poll) {
	if c.fenced || p.Epoch != epoch {
		return
	}
	c.fenced = true
	c.leaseExpiry = now.Mono + clock.WithMargin(s.cfg.TaskLease)
	c.serviceLeaseExpiry = now.Mono + clock.WithMargin(s.cfg.ServiceLease)
	c.permitExpiry, c.permitsExpiredSeq = now.Mono+clock.WithMargin(s.cfg.PermitTTL), 0
}

// registerWorker records the time of the poll and proposes a worker record if there is none or it differs.
func (s *State) registerWorker(now clock.Now, c *workerContact, p Poll) {
	c.lastPoll = now.Mono
	w := s.region.Workers[p.Worker]
	if s.workerDiffers(p) {
		s.pendingWorkers[p.Worker] = record.WorkerChange{
			ID: p.Worker, Zone: p.Zone, Rack: p.Rack, Capacity: p.Capacity, Incarnation: p.Incarnation,
		}
	}
	if c.down && w != nil && !w.Lost {
		c.down = false
		s.policy.Apply(now.WallMs, scheduler.WorkerUp{ID: w.ID, Zone: w.Zone, Rack: w.Rack, Capacity: w.Capacity})
	}
}

// workerDiffers reports whether the worker's record is missing or differs from the poll.
func (s *State) workerDiffers(p Poll) bool {
	w := s.region.Workers[p.Worker]
	return w == nil || w.Lost || w.Incarnation != p.Incarnation || w.Capacity != p.Capacity || w.Zone != p.Zone || w.Rack != p.Rack
}

// handleEnd proposes the reported end of a current attempt and acknowledges the end of any other.
func (s *State) handleEnd(answer *Answer, p Poll, e record.End, reported map[string]bool) {
	t := s.region.Tasks[e.Task]
	if t == nil || t.Attempt != e.Attempt || t.Worker != p.Worker || !t.State.Placed() {
		answer.Acknowledged = append(answer.Acknowledged, holder.AttemptRef{Task: e.Task, Attempt: e.Attempt})
		return
	}
	reported[e.Task] = true
	s.pendingEnds[e.Task] = e
}

// presumeEnd proposes an end that the worker did not report. It never replaces a reported end, even if the worker becomes
// unresponsive before that end is on the log: finished work must not run again.
func (s *State) presumeEnd(e record.End) {
	if known, ok := s.pendingEnds[e.Task]; ok && known.Attempt == e.Attempt {
		return
	}
	s.pendingEnds[e.Task] = e
}

// renew extends the lease of a current attempt and orders anything else to stop.
func (s *State) renew(a *Answer, c *workerContact, p Poll, h holder.AttemptRef, reported map[string]bool) {
	t := s.region.Tasks[h.Task]
	if t == nil || t.Attempt != h.Attempt || t.Worker != p.Worker || !t.State.Placed() {
		a.Orders = append(a.Orders, holder.Order{Task: h.Task, Attempt: h.Attempt, Action: holder.Stop, Reason: "the attempt is not assigned to this worker"})
		return
	}
	reported[h.Task] = true
	firstReport := c.held[h.Task] != h.Attempt
	c.held[h.Task] = h.Attempt
	a.Renewed = append(a.Renewed, h)
	switch t.State {
	case lifecycle.TaskEvicting:
		a.Orders = append(a.Orders, holder.Order{Task: h.Task, Attempt: h.Attempt, Action: holder.Checkpoint, Reason: lastCause(t)})
	case lifecycle.TaskStopping:
		a.Orders = append(a.Orders, holder.Order{Task: h.Task, Attempt: h.Attempt, Action: holder.Stop, Reason: lastCause(t)})
	default:
		if th, ok := c.pendingThrottles[h.Task]; ok && th.Attempt == h.Attempt {
			a.Orders = append(a.Orders, throttleOrder(th))
			delete(c.pendingThrottles, h.Task)
		} else if firstReport && t.Epoch != a.Epoch {
			// Throttles are not on the log, so one set by an earlier decider would otherwise stay in force indefinitely.
			a.Orders = append(a.Orders, throttleOrder(scheduler.ThrottleTask{
				Task: h.Task, Attempt: h.Attempt, ShareMilli: 1000, Reason: "a new decider sets throttles anew",
			}))
		}
	}
}

func throttleOrder(th scheduler.ThrottleTask) holder.Order {
	action := holder.Throttle
	if th.ShareMilli >= 1000 {
		action = holder.Unthrottle
	}
	return holder.Order{Task: th.Task, Attempt: th.Attempt, Action: action, Reason: th.Reason, ShareMilli: th.ShareMilli}
}

func lastCause(t *tasks.Task) string {
	if len(t.History) == 0 {
		return ""
	}
	return t.History[len(t.History)-1].Cause
}

// orderStarts orders the start of placed attempts that the worker does not hold, and proposes the end of those that cannot
// start any more.
func (s *State) orderStarts(now clock.Now, answer *Answer, c *workerContact, p Poll, reported map[string]bool) {
	w := s.region.Workers[p.Worker]
	if w == nil || w.Lost {
		return
	}
	ids := make([]string, 0, len(w.Tasks))
	for id := range w.Tasks {
		if !reported[id] {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	permitsExpired := c.permitsExpired(now, p)
	for _, id := range ids {
		t := s.region.Tasks[id]
		switch {
		case c.held[id] == t.Attempt:
			s.presumeEnd(record.End{Task: id, Attempt: t.Attempt, Outcome: record.LeaseExpired, CheckpointMs: t.CheckpointMs,
				Reason: "the worker no longer holds the attempt"})
		case t.Incarnation != p.Incarnation:
			// The incarnation that the attempt was placed for may have started it until its permit expired.
			if permitsExpired {
				s.presumeEnd(record.End{Task: id, Attempt: t.Attempt, Outcome: record.LeaseExpired, CheckpointMs: t.CheckpointMs,
					Reason: "the side process was replaced and the worker does not have the attempt"})
			}
		case isTerminating(t):
			// A start that was ordered earlier may still be under way until its permit expires.
			if permitsExpired {
				s.presumeEnd(record.End{Task: id, Attempt: t.Attempt, Outcome: record.NotStarted, Reason: "left before it started"})
			}
		case s.zoneClosed(w.Zone):
			// No permit is issued until the zone is back in service, so the task would wait here although other zones may
			// have free capacity.
			if permitsExpired {
				s.presumeEnd(record.End{Task: id, Attempt: t.Attempt, Outcome: record.LeaseExpired, CheckpointMs: t.CheckpointMs,
					Reason: "its zone was taken out of service before it started"})
			}
		case !s.mayStart(now, w.Zone):
		case !p.WantStarts:
			answer.StartsWaiting = true
		default:
			answer.Starts = append(answer.Starts, s.taskSpec(t))
		}
	}
}

// permitsExpired reports whether the poll was sent after the worker's last permit had expired, so that it lists every
// attempt started under a permit. A withheld poll shows what the worker held before the wait, so the first poll answered
// after the expiry is only recorded; later polls count.
func (c *workerContact) permitsExpired(now clock.Now, p Poll) bool {
	if now.Mono < c.permitExpiry {
		c.permitsExpiredSeq = 0
		return false
	}
	if c.permitsExpiredSeq == 0 {
		c.permitsExpiredSeq = p.Sequence
	}
	return p.Sequence > c.permitsExpiredSeq
}

func (s *State) taskSpec(t *tasks.Task) external.TaskSpec {
	job := s.region.Jobs[t.Job].Spec
	return external.TaskSpec{
		Task: t.ID, Attempt: t.Attempt, Customer: job.Customer, Kind: job.Kind, Size: t.Size,
		CheckpointMs: t.CheckpointMs, RunMs: job.RunMs, Command: job.Command,
	}
}

func (s *State) applyUsage(now clock.Now, p Poll) {
	byAge := make(map[int64][]scheduler.Sample)
	for _, u := range p.Usage {
		byAge[u.AgeMs] = append(byAge[u.AgeMs], scheduler.Sample{
			Task: u.Task, Attempt: u.Attempt, Used: u.Used, SpeedMilli: u.SpeedMilli, LatencyP99Us: u.LatencyP99Us,
		})
	}
	ages := make([]int64, 0, len(byAge))
	for age := range byAge {
		ages = append(ages, age)
	}
	sort.Slice(ages, func(i, j int) bool { return ages[i] > ages[j] })
	for _, age := range ages {
		s.policy.Apply(now.WallMs, scheduler.UsageReported{Worker: p.Worker, MeasuredMs: now.WallMs - age, Samples: byAge[age]})
	}
}
