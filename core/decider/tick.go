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

// Tick returns the next batch to append, or nil. At most one batch is in flight: no other is returned until BatchDone.
func (s *State) Tick(now clock.Now) *record.Batch {
	s.trackAuthority(now)
	if s.policy == nil || s.batchInFlight || !s.auth.Valid(now) {
		return nil
	}
	epoch, _ := s.auth.Epoch()
	b := &record.Batch{Epoch: epoch}
	s.handleUnresponsive(now, b)
	s.addWorkerChanges(b)
	s.enqueueDeferred(now)
	s.decide(now, b)
	s.addEnds(b)
	b.OlderEpochsExpired = s.auth.OlderEpochsEnded(now)
	if !s.batchInFlight {
		b.Witness = s.auth.WitnessProposal(now)
	}
	if isEmpty(b) && now.Mono < s.lastBatch+s.cfg.Heartbeat {
		return nil
	}
	s.batchInFlight, s.lastBatch = true, now.Mono
	return b
}

// trackAuthority records since when this entry has had authority, and so has answered polls, without interruption.
func (s *State) trackAuthority(now clock.Now) {
	if !s.auth.Valid(now) {
		s.hasAuthority = false
		return
	}
	if !s.hasAuthority {
		s.hasAuthority, s.authoritySince = true, now.Mono
	}
}

// unresponsive reports whether a worker has not polled for longer than SilentAfter, so that it gets no new work. This entry
// answers no polls while it has no authority, so the timeout counts from when authority was regained; workers thereby get
// to report attempts that ended in the meantime.
func (s *State) unresponsive(now clock.Now, c *workerContact) bool {
	return now.Mono-max(c.lastPoll, s.authoritySince) > s.cfg.SilentAfter
}

// BatchDone clears the batch in flight: it was applied or, if dropped, certainly never takes effect.
func (s *State) BatchDone(dropped bool) {
	s.batchInFlight = false
	if dropped {
		s.auth.ProposalDropped()
	}
}

func isEmpty(b *record.Batch) bool {
	return !b.OlderEpochsExpired && b.Witness == nil && len(b.Workers)+len(b.Starts)+len(b.Ends)+len(b.Evictions)+len(b.Refusals)+len(b.Replicas) == 0
}

// handleUnresponsive ends the attempts of unresponsive workers once their leases have expired, and marks workers lost that
// have no attempt left.
func (s *State) handleUnresponsive(now clock.Now, b *record.Batch) {
	anyUnresponsive := false
	for _, id := range s.region.WorkerIDs() {
		w := s.region.Workers[id]
		if w.Lost {
			continue
		}
		c := s.ensureContact(now, id)
		if !s.unresponsive(now, c) {
			continue
		}
		anyUnresponsive = true
		if !c.down {
			c.down = true
			s.policy.Apply(now.WallMs, scheduler.WorkerDown{ID: id})
		}
		if s.expireLeases(now, w, c) == 0 && now.Mono >= c.leaseExpiry {
			b.Workers = append(b.Workers, record.WorkerChange{ID: id, Lost: true})
		}
	}
	s.adjustReplicas(now, b, anyUnresponsive)
}

// expireLeases proposes the end of each attempt on the worker whose lease has expired and returns the number of attempts
// that remain.
func (s *State) expireLeases(now clock.Now, w *tasks.Worker, c *workerContact) int {
	remaining := 0
	for id := range w.Tasks {
		t := s.region.Tasks[id]
		expiry := c.leaseExpiry
		if isService(s.region.Jobs[t.Job]) {
			expiry = c.serviceLeaseExpiry
		}
		if now.Mono < expiry && rule.Enabled(rule.Lease) {
			remaining++
			continue
		}
		s.presumeEnd(record.End{
			Task: id, Attempt: t.Attempt, Outcome: record.LeaseExpired, CheckpointMs: t.CheckpointMs,
			Reason: "worker " + w.ID + " was silent until the lease ended",
		})
	}
	return remaining
}

// adjustReplicas adds replicas for service tasks on unresponsive workers and evicts replicas beyond the desired count.
func (s *State) adjustReplicas(now clock.Now, b *record.Batch, anyUnresponsive bool) {
	for _, id := range s.region.OpenServices() {
		job := s.region.Jobs[id]
		if job.Cancelling || (!anyUnresponsive && job.Open == job.Spec.Tasks) {
			continue
		}
		unresponsive := s.unresponsiveReplicas(now, job)
		for i := 0; i < job.Spec.Tasks-(job.Open-len(unresponsive)) && i < len(unresponsive); i++ {
			b.Replicas = append(b.Replicas, record.Replica{Job: id, Replaces: unresponsive[i]})
		}
		if len(unresponsive) == 0 && job.Open > job.Spec.Tasks {
			s.evictSurplusReplicas(job, b)
		}
	}
}

func (s *State) unresponsiveReplicas(now clock.Now, job *tasks.Job) []string {
	var unresponsive []string
	for _, id := range job.Tasks {
		t := s.region.Tasks[id]
		if !t.State.Placed() {
			continue
		}
		if c := s.contacts[t.Worker]; c != nil && s.unresponsive(now, c) {
			unresponsive = append(unresponsive, id)
		}
	}
	return unresponsive
}

// evictSurplusReplicas evicts the newest placed replicas beyond the desired count. When such an attempt ends, its task ends
// too.
func (s *State) evictSurplusReplicas(job *tasks.Job, b *record.Batch) {
	surplus := job.Open - job.Spec.Tasks
	for i := len(job.Tasks) - 1; i >= 0 && surplus > 0; i-- {
		t := s.region.Tasks[job.Tasks[i]]
		if t.State.Ended() {
			continue
		}
		surplus--
		if t.State.Placed() && !isTerminating(t) {
			b.Evictions = append(b.Evictions, record.Eviction{Task: t.ID, Attempt: t.Attempt, Reason: "replica is no longer needed"})
		}
	}
}

func (s *State) addWorkerChanges(b *record.Batch) {
	ids := make([]string, 0, len(s.pendingWorkers))
	for id := range s.pendingWorkers {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		b.Workers = append(b.Workers, s.pendingWorkers[id])
	}
}

func (s *State) decide(now clock.Now, b *record.Batch) {
	for _, d := range s.policy.Decide(now.WallMs) {
		switch d := d.(type) {
		case scheduler.StartTask:
			// A pending change of the worker's record may mean that its side process restarted.
			_, pendingChange := s.pendingWorkers[d.Worker]
			if w := s.region.Workers[d.Worker]; w != nil && !pendingChange && s.mayStart(now, w.Zone) {
				b.Starts = append(b.Starts, d.Start)
			}
		case scheduler.EvictTask:
			b.Evictions = append(b.Evictions, d.Eviction)
		case scheduler.RefuseJob:
			b.Refusals = append(b.Refusals, d.Refusal)
		case scheduler.ThrottleTask:
			if c := s.contacts[d.Worker]; c != nil {
				c.pendingThrottles[d.Task] = d
			}
		case scheduler.Alert:
			s.alerts = append(s.alerts, d)
		}
	}
}

func (s *State) addEnds(b *record.Batch) {
	ids := make([]string, 0, len(s.pendingEnds))
	for id := range s.pendingEnds {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		b.Ends = append(b.Ends, s.pendingEnds[id])
	}
}

// HasUpdates reports whether the reply to a poll would carry anything beyond lease renewals.
func (s *State) HasUpdates(now clock.Now, p Poll) bool {
	if s.policy == nil {
		return false
	}
	for _, e := range p.Ended {
		if known, ok := s.pendingEnds[e.Task]; !ok || known.Attempt != e.Attempt {
			return true
		}
	}
	if _, pendingChange := s.pendingWorkers[p.Worker]; !pendingChange && s.workerDiffers(p) {
		return true
	}
	w, c := s.region.Workers[p.Worker], s.contacts[p.Worker]
	if w == nil {
		return false
	}
	if c == nil || !c.fenced {
		return true
	}
	if len(c.pendingThrottles) > 0 {
		return true
	}
	for id := range w.Tasks {
		if s.hasOrder(now, p, s.region.Tasks[id], w, c) {
			return true
		}
	}
	return false
}

// hasOrder reports whether there is an order for a placed task. An attempt whose end is not on the log yet needs none;
// otherwise polls would return at once, over and over, while the log is down. An attempt that the poll reports as held has
// been started.
func (s *State) hasOrder(now clock.Now, p Poll, t *tasks.Task, w *tasks.Worker, c *workerContact) bool {
	if _, ending := s.pendingEnds[t.ID]; ending {
		return false
	}
	held := c.held[t.ID] == t.Attempt || slices.Contains(p.Held, holder.AttemptRef{Task: t.ID, Attempt: t.Attempt})
	if isTerminating(t) {
		return held || now.Mono >= c.permitExpiry
	}
	if s.zoneClosed(w.Zone) {
		return !held && now.Mono >= c.permitExpiry
	}
	return !held && s.mayStart(now, w.Zone)
}

// PollEvery returns how long a worker's poll may be held open.
func (s *State) PollEvery() time.Duration { return s.cfg.PollEvery }
