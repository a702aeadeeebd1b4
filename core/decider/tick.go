package decider

import (
	"slices"
	"sort"
	"time"

	"github.com/verbenakeel/verbenakeel/core/clock"
	"github.com/verbenakeel/verbenakeel/core/holder"
	"github.com/verbenakeel/verbenakeel/core/tasks"
	"github.com/verbenakeel/verbenakeel/internal/rule"
	"github.com/verbenakeel/verbenakeel/record"
	"github.com/verbenakeel/verbenakeel/scheduler"
)

// Tick returns the next batch to append, or nil. No further batch is returned until BatchDone.
func (s *State) Tick(now clock.Now) *record.Batch {
	s.noteAuthority(now)
	if s.policy == nil || s.inFlight || !s.auth.Valid(now) {
		return nil
	}
	epoch, _ := s.auth.Epoch()
	b := &record.Batch{Epoch: epoch}
	s.closeSilent(now, b)
	s.takeJoins(b)
	s.takeEarly(now)
	s.decide(now, b)
	s.takeEnds(b)
	b.Settled = s.auth.Settled(now)
	if !s.inFlight {
		b.Witness = s.auth.WitnessProposal(now)
	}
	if empty(b) && now.Mono < s.lastBatch+s.cfg.Heartbeat {
		return nil
	}
	s.inFlight, s.lastBatch = true, now.Mono
	return b
}

// noteAuthority notes since when workers get answers without a break.
func (s *State) noteAuthority(now clock.Now) {
	if !s.auth.Valid(now) {
		s.answering = false
		return
	}
	if !s.answering {
		s.answering, s.answeringSince = true, now.Mono
	}
}

// silent reports whether a worker was not heard for so long that it gets no new work. While this entry had no authority it
// answered nobody, so the silence counts from when it had it again: what ended meanwhile can be reported first.
func (s *State) silent(now clock.Now, c *contact) bool {
	return now.Mono-max(c.heard, s.answeringSince) > s.cfg.SilentAfter
}

// BatchDone tells that the batch was folded or, if dropped, that it certainly never takes effect.
func (s *State) BatchDone(dropped bool) {
	s.inFlight = false
	if dropped {
		s.auth.ProposalDropped()
	}
}

func empty(b *record.Batch) bool {
	return !b.Settled && b.Witness == nil && len(b.Workers)+len(b.Starts)+len(b.Ends)+len(b.Evictions)+len(b.Refusals)+len(b.Replicas) == 0
}

// closeSilent ends what silent workers held once their leases have ended.
func (s *State) closeSilent(now clock.Now, b *record.Batch) {
	anySilent := false
	for _, id := range s.region.WorkerIDs() {
		w := s.region.Workers[id]
		if w.Lost {
			continue
		}
		c := s.contact(now, id)
		if !s.silent(now, c) {
			continue
		}
		anySilent = true
		if !c.down {
			c.down = true
			s.policy.Apply(now.WallMs, scheduler.WorkerDown{ID: id})
		}
		if s.lapse(now, w, c) == 0 && now.Mono >= c.leaseEnds {
			b.Workers = append(b.Workers, record.WorkerChange{ID: id, Lost: true})
		}
	}
	s.replaceSilent(now, b, anySilent)
}

// lapse proposes the ends of attempts whose lease has ended and returns how many attempts remain.
func (s *State) lapse(now clock.Now, w *tasks.Worker, c *contact) int {
	remain := 0
	for id := range w.Tasks {
		t := s.region.Tasks[id]
		ends := c.leaseEnds
		if isService(s.region.Jobs[t.Job]) {
			ends = c.serviceEnds
		}
		if now.Mono < ends && rule.On(rule.Lease) {
			remain++
			continue
		}
		s.presumeEnd(record.End{
			Task: id, Attempt: t.Attempt, Outcome: record.Lapsed, CheckpointMs: t.CheckpointMs,
			Reason: "worker " + w.ID + " was silent until the lease ended",
		})
	}
	return remain
}

// replaceSilent adds replicas for service tasks on silent workers and retires replicas beyond the wanted number.
func (s *State) replaceSilent(now clock.Now, b *record.Batch, anySilent bool) {
	for _, id := range s.region.OpenServices() {
		job := s.region.Jobs[id]
		if job.Cancelling || (!anySilent && job.Open == job.Spec.Tasks) {
			continue
		}
		silent := s.silentReplicas(now, job)
		for i := 0; i < job.Spec.Tasks-(job.Open-len(silent)) && i < len(silent); i++ {
			b.Replicas = append(b.Replicas, record.Replica{Job: id, Replaces: silent[i]})
		}
		if len(silent) == 0 && job.Open > job.Spec.Tasks {
			s.retire(job, b)
		}
	}
}

func (s *State) silentReplicas(now clock.Now, job *tasks.Job) []string {
	var silent []string
	for _, id := range job.Tasks {
		t := s.region.Tasks[id]
		if !t.State.Placed() {
			continue
		}
		if c := s.contacts[t.Worker]; c != nil && s.silent(now, c) {
			silent = append(silent, id)
		}
	}
	return silent
}

// retire evicts the newest placed replicas beyond the wanted number; their end closes them.
func (s *State) retire(job *tasks.Job, b *record.Batch) {
	extra := job.Open - job.Spec.Tasks
	for i := len(job.Tasks) - 1; i >= 0 && extra > 0; i-- {
		t := s.region.Tasks[job.Tasks[i]]
		if t.State.Ended() {
			continue
		}
		extra--
		if t.State.Placed() && !leaving(t) {
			b.Evictions = append(b.Evictions, record.Eviction{Task: t.ID, Attempt: t.Attempt, Reason: "replica is no longer needed"})
		}
	}
}

func (s *State) takeJoins(b *record.Batch) {
	ids := make([]string, 0, len(s.joins))
	for id := range s.joins {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		b.Workers = append(b.Workers, s.joins[id])
	}
}

func (s *State) decide(now clock.Now, b *record.Batch) {
	for _, d := range s.policy.Decide(now.WallMs) {
		switch d := d.(type) {
		case scheduler.StartTask:
			// A worker whose record is about to change may have a new run of its side process.
			_, joining := s.joins[d.Worker]
			if w := s.region.Workers[d.Worker]; w != nil && !joining && s.mayStart(now, w.Zone) {
				b.Starts = append(b.Starts, d.Start)
			}
		case scheduler.EvictTask:
			b.Evictions = append(b.Evictions, d.Eviction)
		case scheduler.RefuseJob:
			b.Refusals = append(b.Refusals, d.Refusal)
		case scheduler.ThrottleTask:
			if c := s.contacts[d.Worker]; c != nil {
				c.throttles[d.Task] = d
			}
		case scheduler.Alert:
			s.alerts = append(s.alerts, d)
		}
	}
}

func (s *State) takeEnds(b *record.Batch) {
	ids := make([]string, 0, len(s.ends))
	for id := range s.ends {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		b.Ends = append(b.Ends, s.ends[id])
	}
}

// Waiting reports whether a poll has something to answer beyond renewals.
func (s *State) Waiting(now clock.Now, p Poll) bool {
	if s.policy == nil {
		return false
	}
	for _, e := range p.Ended {
		if known, ok := s.ends[e.Task]; !ok || known.Attempt != e.Attempt {
			return true
		}
	}
	if _, joining := s.joins[p.Worker]; !joining && s.differs(p) {
		return true
	}
	w, c := s.region.Workers[p.Worker], s.contacts[p.Worker]
	if w == nil {
		return false
	}
	if c == nil || !c.fenced {
		return true
	}
	if len(c.throttles) > 0 {
		return true
	}
	for id := range w.Tasks {
		if s.taskWaits(now, p, s.region.Tasks[id], w, c) {
			return true
		}
	}
	return false
}

// taskWaits reports whether there is an order for a placed task. An attempt whose end waits for the log needs none, so
// that polls do not spin while the log is down. A start that the poll shows as held was carried out.
func (s *State) taskWaits(now clock.Now, p Poll, t *tasks.Task, w *tasks.Worker, c *contact) bool {
	if _, ending := s.ends[t.ID]; ending {
		return false
	}
	held := c.held[t.ID] == t.Attempt || slices.Contains(p.Held, holder.Renewal{Task: t.ID, Attempt: t.Attempt})
	if leaving(t) {
		return held || now.Mono >= c.permitEnds
	}
	if s.closed(w.Zone) {
		return !held && now.Mono >= c.permitEnds
	}
	return !held && s.mayStart(now, w.Zone)
}

// PollEvery returns how long a worker's poll may wait.
func (s *State) PollEvery() time.Duration { return s.cfg.PollEvery }
