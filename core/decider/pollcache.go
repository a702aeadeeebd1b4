package decider

import (
	"sort"

	"github.com/verbenakeel/verbenakeel/core/holder"
	"github.com/verbenakeel/verbenakeel/external"
)

// pollCache holds what one incarnation of a side process reported, so that its later polls can omit it.
type pollCache struct {
	// incarnation is that of the side process; 0 until a poll with the full list of held attempts was accepted.
	incarnation uint64
	// samples maps each measured task to its newest usage sample.
	samples map[string]external.TaskUsage
}

// resolveHeld returns the poll with its list of held attempts filled in. A digest replaces the list if this decider accepted
// a full list from the same incarnation before, and if the digest matches either the attempts last reported or those
// committed to the worker. Equal digests mean equal sets, so a lease is renewed only for an attempt that both sides agree
// on. Otherwise it returns false, and the poll shows of no attempt whether it runs or not.
func (s *State) resolveHeld(c *workerContact, p Poll) (Poll, bool) {
	if !p.HeldByDigest {
		return p, true
	}
	if c.cache.incarnation != p.Incarnation || c.cache.incarnation == 0 {
		return p, false
	}
	ended := make(map[holder.AttemptRef]bool, len(p.Ended))
	for _, e := range p.Ended {
		ended[holder.AttemptRef{Task: e.Task, Attempt: e.Attempt}] = true
	}
	lastHeld := make([]holder.AttemptRef, 0, len(c.held))
	for id, attempt := range c.held {
		if r := (holder.AttemptRef{Task: id, Attempt: attempt}); !ended[r] {
			lastHeld = append(lastHeld, r)
		}
	}
	if holder.Digest(lastHeld) == p.HeldDigest {
		return withHeld(p, lastHeld), true
	}
	w := s.region.Workers[p.Worker]
	if w == nil {
		return p, false
	}
	// The committed attempts include starts ordered since the last report.
	placed := make([]holder.AttemptRef, 0, len(w.Tasks))
	for id := range w.Tasks {
		if r := (holder.AttemptRef{Task: id, Attempt: s.region.Tasks[id].Attempt}); !ended[r] {
			placed = append(placed, r)
		}
	}
	if holder.Digest(placed) == p.HeldDigest {
		return withHeld(p, placed), true
	}
	return p, false
}

func withHeld(p Poll, held []holder.AttemptRef) Poll {
	sort.Slice(held, func(i, j int) bool { return held[i].Task < held[j].Task })
	p.Held, p.HeldByDigest = held, false
	return p
}

// resolveUsage caches the usage samples of a poll and returns the complete list, including samples that the poll omitted as
// unchanged. It returns false if omitted samples are not in the cache; nothing is known about those attempts then.
func resolveUsage(c *workerContact, p Poll) ([]external.TaskUsage, bool) {
	if !p.UsagePartial {
		c.cache.samples = make(map[string]external.TaskUsage, len(p.Usage))
	}
	if c.cache.samples == nil {
		return nil, false
	}
	for _, u := range p.Usage {
		c.cache.samples[u.Task] = u
	}
	if !p.UsagePartial {
		return p.Usage, true
	}
	var all []holder.AttemptRef
	for _, u := range c.cache.samples {
		all = append(all, holder.AttemptRef{Task: u.Task, Attempt: u.Attempt})
	}
	if holder.Digest(all) != p.UsageDigest && !c.pruneSamples(p) {
		return p.Usage, false
	}
	list := make([]external.TaskUsage, 0, len(c.cache.samples))
	for _, u := range c.cache.samples {
		u.AgeMs = p.UsageAgeMs
		list = append(list, u)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Task < list[j].Task })
	return list, true
}

// pruneSamples drops the samples of attempts that no longer run and reports whether the digest of the remaining ones matches
// the poll.
func (c *workerContact) pruneSamples(p Poll) bool {
	running := make(map[holder.AttemptRef]bool, len(p.Held))
	for _, h := range p.Held {
		running[h] = true
	}
	var remaining []holder.AttemptRef
	for id, u := range c.cache.samples {
		if r := (holder.AttemptRef{Task: id, Attempt: u.Attempt}); running[r] {
			remaining = append(remaining, r)
		} else {
			delete(c.cache.samples, id)
		}
	}
	return holder.Digest(remaining) == p.UsageDigest
}
