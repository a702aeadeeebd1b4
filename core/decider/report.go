package decider

import (
	"sort"

	"github.com/verbenakeel/verbenakeel/core/holder"
	"github.com/verbenakeel/verbenakeel/external"
)

// known is what a decider remembers of a run of a side process, so that polls can leave it out.
type known struct {
	// incarnation is the run that it is of; 0 until a poll with the whole list was taken.
	incarnation uint64
	// samples holds the newest measurement of each attempt that was measured.
	samples map[string]external.TaskUsage
}

// resolveHeld returns the poll with its list of running attempts. A digest stands for the list if this decider took a
// whole list from the same run before, and if it is the digest of a set that the worker may run by what the decider
// knows. Equal digests mean equal sets, so that a lease is renewed only for an attempt that both sides name. Otherwise it
// returns false: nothing may be concluded about any attempt, neither that it runs nor that it does not.
func (s *State) resolveHeld(c *contact, p Poll) (Poll, bool) {
	if !p.HeldByDigest {
		return p, true
	}
	if c.known.incarnation != p.Incarnation || c.known.incarnation == 0 {
		return p, false
	}
	ended := make(map[holder.Renewal]bool, len(p.Ended))
	for _, e := range p.Ended {
		ended[holder.Renewal{Task: e.Task, Attempt: e.Attempt}] = true
	}
	seen := make([]holder.Renewal, 0, len(c.held))
	for id, attempt := range c.held {
		if r := (holder.Renewal{Task: id, Attempt: attempt}); !ended[r] {
			seen = append(seen, r)
		}
	}
	if holder.Digest(seen) == p.HeldDigest {
		return withHeld(p, seen), true
	}
	w := s.region.Workers[p.Worker]
	if w == nil {
		return p, false
	}
	// Starts that were ordered since are among what is committed to the worker.
	placed := make([]holder.Renewal, 0, len(w.Tasks))
	for id := range w.Tasks {
		if r := (holder.Renewal{Task: id, Attempt: s.region.Tasks[id].Attempt}); !ended[r] {
			placed = append(placed, r)
		}
	}
	if holder.Digest(placed) == p.HeldDigest {
		return withHeld(p, placed), true
	}
	return p, false
}

func withHeld(p Poll, held []holder.Renewal) Poll {
	sort.Slice(held, func(i, j int) bool { return held[i].Task < held[j].Task })
	p.Held, p.HeldByDigest = held, false
	return p
}

// resolveUsage remembers the measurements of a poll and returns all of them, those that the poll left out included. It
// returns false if measurements were left out that this decider does not know: what is missing says nothing.
func resolveUsage(c *contact, p Poll) ([]external.TaskUsage, bool) {
	if !p.UsagePartial {
		c.known.samples = make(map[string]external.TaskUsage, len(p.Usage))
	}
	if c.known.samples == nil {
		return nil, false
	}
	for _, u := range p.Usage {
		c.known.samples[u.Task] = u
	}
	if !p.UsagePartial {
		return p.Usage, true
	}
	var all []holder.Renewal
	for _, u := range c.known.samples {
		all = append(all, holder.Renewal{Task: u.Task, Attempt: u.Attempt})
	}
	if holder.Digest(all) != p.UsageDigest && !c.pruneSamples(p) {
		return p.Usage, false
	}
	list := make([]external.TaskUsage, 0, len(c.known.samples))
	for _, u := range c.known.samples {
		u.AgeMs = p.UsageAgeMs
		list = append(list, u)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Task < list[j].Task })
	return list, true
}

// pruneSamples drops the measurements of attempts that do not run any more, and reports whether the others are those
// that the poll is about.
func (c *contact) pruneSamples(p Poll) bool {
	running := make(map[holder.Renewal]bool, len(p.Held))
	for _, h := range p.Held {
		running[h] = true
	}
	var left []holder.Renewal
	for id, u := range c.known.samples {
		if r := (holder.Renewal{Task: id, Attempt: u.Attempt}); running[r] {
			left = append(left, r)
		} else {
			delete(c.known.samples, id)
		}
	}
	return holder.Digest(left) == p.UsageDigest
}
