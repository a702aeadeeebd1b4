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

// Poll is a worker's question.
type Poll struct {
	Worker      string
	Incarnation uint64
	Zone        string
	Rack        string
	Capacity    record.Resources
	Epoch       uint64
	Sequence    uint64
	WantStarts  bool
	Held        []holder.Renewal
	Ended       []record.End
	Usage       []external.TaskUsage
	// HeldByDigest is true if HeldDigest stands for Held.
	HeldByDigest bool
	HeldDigest   uint64
	// UsagePartial is true if Usage holds only what moved; the rest is as known, as old as UsageAgeMs, and of the
	// attempts whose digest is UsageDigest.
	UsagePartial bool
	UsageAgeMs   int64
	UsageDigest  uint64
	// TakesRenewedAll is true if the side process understands RenewedAll.
	TakesRenewedAll bool
}

// Answer is the reply to a poll.
type Answer struct {
	holder.Reply
	// StartsWaiting is true when the worker should ask again with WantStarts.
	StartsWaiting bool
}

// Sync answers a worker's poll. The error is of kind Unavailable when this entry may not act as the decider.
func (s *State) Sync(now clock.Now, p Poll) (Answer, error) {
	epoch, _ := s.auth.Epoch()
	if s.policy == nil || !s.auth.Valid(now) || (p.Epoch > epoch && rule.On(rule.Epoch)) {
		return Answer{}, errdefs.New(errdefs.Unavailable, "this entry is not the decider of the region",
			"ask the decider that the reply names, or try again")
	}
	a := Answer{Reply: holder.Reply{
		Epoch: epoch, Sequence: p.Sequence, LeaseMs: s.cfg.TaskLease.Milliseconds(),
		ServiceLeaseMs: s.cfg.ServiceLease.Milliseconds(), PermitMs: s.cfg.PermitTTL.Milliseconds(),
	}}
	c := s.contact(now, p.Worker)
	if s.outdated(now, c, p) {
		return Answer{}, errdefs.New(errdefs.Refused, "a newer poll of this worker is known", "poll again")
	}
	if c.incarnation != p.Incarnation {
		c.overAt = 0
	}
	c.incarnation, c.sequence = p.Incarnation, p.Sequence
	s.fence(now, epoch, c, p)
	s.join(now, c, p)
	seen := make(map[string]bool)
	for _, e := range p.Ended {
		s.takeEnd(&a, p, e, seen)
	}
	p, a.HeldKnown = s.resolveHeld(c, p)
	if !a.HeldKnown {
		// Renews nothing, so the ends of leases stay as they were counted.
		return a, nil
	}
	if c.known.incarnation != p.Incarnation {
		c.known = known{incarnation: p.Incarnation}
	}
	for _, h := range p.Held {
		s.renew(&a, c, p, h, seen)
	}
	if p.TakesRenewedAll && len(a.Renewed) == len(p.Held) {
		a.RenewedAll, a.Renewed = true, nil
	}
	s.orderStarts(now, &a, c, p, seen)
	p.Usage, a.UsageKnown = resolveUsage(c, p)
	if a.UsageKnown {
		s.takeUsage(now, p)
	}
	c.leaseEnds = max(c.leaseEnds, now.Mono+clock.WithMargin(s.cfg.TaskLease))
	c.serviceEnds = max(c.serviceEnds, now.Mono+clock.WithMargin(s.cfg.ServiceLease))
	if len(a.Starts) > 0 {
		c.permitEnds, c.overAt = max(c.permitEnds, now.Mono+clock.WithMargin(s.cfg.PermitTTL)), 0
	}
	return a, nil
}

// outdated reports whether a poll was sent before one that was taken already. It tells what the worker held then, and its
// sender no longer waits for the answer. An earlier run of the side process counts as gone once it is silent, so that a
// clock that was set back does not keep a worker out.
func (s *State) outdated(now clock.Now, c *contact, p Poll) bool {
	if p.Incarnation != c.incarnation {
		return p.Incarnation < c.incarnation && now.Mono-c.heard <= s.cfg.SilentAfter
	}
	return p.Sequence < c.sequence
}

// Arrived notes that a poll arrived, so that a worker does not count as silent while its poll is withheld; it says nothing
// about leases. It returns the poll with the list that a digest stands for, and whether the answer may be withheld until
// there is news.
func (s *State) Arrived(now clock.Now, p Poll) (Poll, bool) {
	if s.policy == nil {
		return p, false
	}
	c := s.contacts[p.Worker]
	if c == nil || s.outdated(now, c, p) {
		return p, false
	}
	c.heard = now.Mono
	p, ok := s.resolveHeld(c, p)
	return p, ok && !p.WantStarts && !s.Waiting(now, p)
}

// fence notes that a worker is on this epoch. From then on it takes no renewal of an older decider, and its side process
// no start, so that its leases and permits end as this decider counts them. A later run of the side process may not know
// the epoch, but takes no start of an attempt that was placed for an earlier run.
func (s *State) fence(now clock.Now, epoch uint64, c *contact, p Poll) {
	if c.fenced || p.Epoch != epoch {
		return
	}
	c.fenced = true
	c.leaseEnds = now.Mono + clock.WithMargin(s.cfg.TaskLease)
	c.serviceEnds = now.Mono + clock.WithMargin(s.cfg.ServiceLease)
	c.permitEnds, c.overAt = now.Mono+clock.WithMargin(s.cfg.PermitTTL), 0
}

// join notes contact and proposes the worker's record when it is new or differs.
func (s *State) join(now clock.Now, c *contact, p Poll) {
	c.heard = now.Mono
	w := s.region.Workers[p.Worker]
	if s.differs(p) {
		s.joins[p.Worker] = record.WorkerChange{
			ID: p.Worker, Zone: p.Zone, Rack: p.Rack, Capacity: p.Capacity, Incarnation: p.Incarnation,
		}
	}
	if c.down && w != nil && !w.Lost {
		c.down = false
		s.policy.Apply(now.WallMs, scheduler.WorkerUp{ID: w.ID, Zone: w.Zone, Rack: w.Rack, Capacity: w.Capacity})
	}
}

// differs reports whether the worker's record is missing or differs from the poll.
func (s *State) differs(p Poll) bool {
	w := s.region.Workers[p.Worker]
	return w == nil || w.Lost || w.Incarnation != p.Incarnation || w.Capacity != p.Capacity || w.Zone != p.Zone || w.Rack != p.Rack
}

// takeEnd proposes the end of a current attempt and acknowledges ends that are on record.
func (s *State) takeEnd(a *Answer, p Poll, e record.End, seen map[string]bool) {
	t := s.region.Tasks[e.Task]
	if t == nil || t.Attempt != e.Attempt || t.Worker != p.Worker || !t.State.Placed() {
		a.Acknowledged = append(a.Acknowledged, holder.Renewal{Task: e.Task, Attempt: e.Attempt})
		return
	}
	seen[e.Task] = true
	s.ends[e.Task] = e
}

// presumeEnd proposes an end that no worker reported. An end that the worker reported stands, also if the worker is silent
// before the end is on record: finished work must not run again.
func (s *State) presumeEnd(e record.End) {
	if known, ok := s.ends[e.Task]; ok && known.Attempt == e.Attempt {
		return
	}
	s.ends[e.Task] = e
}

// renew extends the lease of a current attempt and orders anything else to stop.
func (s *State) renew(a *Answer, c *contact, p Poll, h holder.Renewal, seen map[string]bool) {
	t := s.region.Tasks[h.Task]
	if t == nil || t.Attempt != h.Attempt || t.Worker != p.Worker || !t.State.Placed() {
		a.Orders = append(a.Orders, holder.Order{Task: h.Task, Attempt: h.Attempt, Action: holder.Stop, Reason: "the attempt is not assigned to this worker"})
		return
	}
	seen[h.Task] = true
	first := c.held[h.Task] != h.Attempt
	c.held[h.Task] = h.Attempt
	a.Renewed = append(a.Renewed, h)
	switch t.State {
	case lifecycle.TaskEvicting:
		a.Orders = append(a.Orders, holder.Order{Task: h.Task, Attempt: h.Attempt, Action: holder.Checkpoint, Reason: lastCause(t)})
	case lifecycle.TaskStopping:
		a.Orders = append(a.Orders, holder.Order{Task: h.Task, Attempt: h.Attempt, Action: holder.Stop, Reason: lastCause(t)})
	default:
		if th, ok := c.throttles[h.Task]; ok && th.Attempt == h.Attempt {
			a.Orders = append(a.Orders, throttleOrder(th))
			delete(c.throttles, h.Task)
		} else if first && t.Epoch != a.Epoch {
			// Throttles are not on the log: one that an earlier decider set would otherwise stay for ever.
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

// orderStarts orders placed attempts that the worker does not hold, and closes those that never will be.
func (s *State) orderStarts(now clock.Now, a *Answer, c *contact, p Poll, seen map[string]bool) {
	w := s.region.Workers[p.Worker]
	if w == nil || w.Lost {
		return
	}
	ids := make([]string, 0, len(w.Tasks))
	for id := range w.Tasks {
		if !seen[id] {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	permitsOver := c.permitsOver(now, p)
	for _, id := range ids {
		t := s.region.Tasks[id]
		switch {
		case c.held[id] == t.Attempt:
			s.presumeEnd(record.End{Task: id, Attempt: t.Attempt, Outcome: record.Lapsed, CheckpointMs: t.CheckpointMs,
				Reason: "the worker no longer holds the attempt"})
		case t.Incarnation != p.Incarnation:
			// The run of the side process that the attempt was placed for may have started it until its permit ended.
			if permitsOver {
				s.presumeEnd(record.End{Task: id, Attempt: t.Attempt, Outcome: record.Lapsed, CheckpointMs: t.CheckpointMs,
					Reason: "the side process was replaced and the worker does not have the attempt"})
			}
		case leaving(t):
			// A start ordered before may still be under way until its permit has ended.
			if permitsOver {
				s.presumeEnd(record.End{Task: id, Attempt: t.Attempt, Outcome: record.NotStarted, Reason: "left before it started"})
			}
		case s.closed(w.Zone):
			// No permit is given until the zone is back, so the task would wait here although others have room.
			if permitsOver {
				s.presumeEnd(record.End{Task: id, Attempt: t.Attempt, Outcome: record.Lapsed, CheckpointMs: t.CheckpointMs,
					Reason: "its zone was taken out of service before it started"})
			}
		case !s.mayStart(now, w.Zone):
		case !p.WantStarts:
			a.StartsWaiting = true
		default:
			a.Starts = append(a.Starts, s.spec(t))
		}
	}
}

// permitsOver reports whether the poll was sent after the last permit of the worker had ended, so that it shows every
// attempt that a permit started. A withheld poll tells what the worker held before the wait, so the first poll that is
// answered after the end only marks it.
func (c *contact) permitsOver(now clock.Now, p Poll) bool {
	if now.Mono < c.permitEnds {
		c.overAt = 0
		return false
	}
	if c.overAt == 0 {
		c.overAt = p.Sequence
	}
	return p.Sequence > c.overAt
}

func (s *State) spec(t *tasks.Task) external.TaskSpec {
	job := s.region.Jobs[t.Job].Spec
	return external.TaskSpec{
		Task: t.ID, Attempt: t.Attempt, Customer: job.Customer, Kind: job.Kind, Size: t.Size,
		CheckpointMs: t.CheckpointMs, RunMs: job.RunMs, Command: job.Command,
	}
}

func (s *State) takeUsage(now clock.Now, p Poll) {
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
