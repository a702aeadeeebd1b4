package first

import (
	"container/heap"

	"github.com/verbenakeel/verbenakeel/record"
)

// customer is a customer with a contract or with work. An idle customer holds no queues.
type customer struct {
	name     string
	contract *record.Contract
	// used is what its running and proposed tasks are committed.
	used record.Resources
	// running counts batch and standing tasks that run or are proposed.
	running int
	// queuedJobs counts admitted batch and standing jobs with queued tasks.
	queuedJobs int
	// fresh holds jobs not tried in this round, parked those that found no room.
	fresh, parked jobHeap
	// roundGen is the state's freeGen when the round began.
	roundGen uint64
	// active is true while the customer is in State.active.
	active bool
}

func (s *State) customerOf(name string) *customer {
	c := s.customers[name]
	if c == nil {
		c = &customer{name: name}
		s.customers[name] = c
	}
	return c
}

func (s *State) contractChanged(con record.Contract) {
	if con.Customer == "" || !validSize(con.Guaranteed) || !validSize(con.Burst) {
		return
	}
	c := s.customerOf(con.Customer)
	c.contract = &con
	s.freeGen++
}

// burst is the most that a customer may use: a burst share below the guaranteed one counts as the guaranteed one.
func (c *customer) burst() record.Resources {
	g, b := c.contract.Guaranteed, c.contract.Burst
	return record.Resources{
		CPUMilli:     max(g.CPUMilli, b.CPUMilli),
		MemoryMB:     max(g.MemoryMB, b.MemoryMB),
		Accelerators: max(g.Accelerators, b.Accelerators),
	}
}

// withinGuarantee reports whether the customer still has all it uses, plus size, within its guaranteed share.
func (c *customer) withinGuarantee(size record.Resources) bool {
	return c.contract != nil && c.used.Add(size).Fits(c.contract.Guaranteed)
}

// dominantShare is the customer's largest use in any dimension relative to its guaranteed share, in thousandths.
// Weighting dominant resource fairness by the guarantee makes lent room go to customers in proportion to what they pay for.
func (c *customer) dominantShare(fleet record.Resources) int64 {
	var g record.Resources
	if c.contract != nil {
		g = c.contract.Guaranteed
	}
	share := func(used, guaranteed, total int64) int64 {
		if used <= 0 {
			return 0
		}
		// A customer without a guarantee weighs as if it had a thousandth of the fleet.
		base := max(guaranteed, total/1000, 1)
		return used * 1000 / base
	}
	return max(share(c.used.CPUMilli, g.CPUMilli, fleet.CPUMilli),
		share(c.used.MemoryMB, g.MemoryMB, fleet.MemoryMB),
		share(c.used.Accelerators, g.Accelerators, fleet.Accelerators))
}

// overQuota returns why the customer's contract lets no further task of j start; empty if it does.
func (c *customer) overQuota(j *job, size record.Resources) string {
	if c.contract == nil {
		return "the customer has no contract"
	}
	if !c.used.Add(size).Fits(c.burst()) {
		return "the customer uses its whole burst share"
	}
	if j.rec.Kind != record.ServiceJob && c.running >= c.contract.MaxTasks {
		return "the customer runs as many tasks as its contract allows"
	}
	return ""
}

func (s *State) activate(c *customer) {
	if !c.active {
		c.active = true
		s.active = append(s.active, c)
	}
}

// compactActive drops customers without queued tasks and frees their queues.
func (s *State) compactActive() {
	kept := s.active[:0]
	for _, c := range s.active {
		c.fresh.compact()
		c.parked.compact()
		if len(c.fresh.jobs)+len(c.parked.jobs) > 0 {
			kept = append(kept, c)
			continue
		}
		c.active = false
		c.fresh, c.parked = jobHeap{}, jobHeap{}
	}
	for i := len(kept); i < len(s.active); i++ {
		s.active[i] = nil
	}
	s.active = kept
}

// jobHeap orders jobs by urgency, latest start and id. Jobs without queued tasks stay until they reach the top or
// until they are more than half, so that removing a job costs constant time on average.
type jobHeap struct {
	jobs []*job
	dead int
}

func (h *jobHeap) Len() int           { return len(h.jobs) }
func (h *jobHeap) Less(a, b int) bool { return jobLess(h.jobs[a], h.jobs[b]) }
func (h *jobHeap) Swap(a, b int)      { h.jobs[a], h.jobs[b] = h.jobs[b], h.jobs[a] }
func (h *jobHeap) Push(x any)         { h.jobs = append(h.jobs, x.(*job)) }
func (h *jobHeap) Pop() any {
	last := len(h.jobs) - 1
	j := h.jobs[last]
	h.jobs[last] = nil
	h.jobs = h.jobs[:last]
	return j
}

func jobLess(a, b *job) bool {
	if a.rec.Urgent != b.rec.Urgent {
		return a.rec.Urgent
	}
	if a.latestStartMs != b.latestStartMs {
		return a.latestStartMs < b.latestStartMs
	}
	return a.rec.ID < b.rec.ID
}

// add inserts a job.
func (h *jobHeap) add(j *job) {
	j.in = h
	heap.Push(h, j)
}

// top returns the first job that has queued tasks, or nil.
func (h *jobHeap) top() *job {
	for len(h.jobs) > 0 {
		j := h.jobs[0]
		if j.waiting() && j.in == h {
			return j
		}
		heap.Pop(h)
		h.dead = max(0, h.dead-1)
		if j.in == h {
			j.in = nil
		}
	}
	return nil
}

// take removes and returns the first job that has queued tasks, or nil.
func (h *jobHeap) take() *job {
	j := h.top()
	if j != nil {
		heap.Pop(h)
		j.in = nil
	}
	return j
}

// compact rebuilds the heap when more than half of it has nothing queued.
func (h *jobHeap) compact() {
	h.top()
	if h.dead*2 <= len(h.jobs) {
		return
	}
	kept := h.jobs[:0]
	for _, j := range h.jobs {
		if j.waiting() && j.in == h {
			kept = append(kept, j)
		} else if j.in == h {
			j.in = nil
		}
	}
	for i := len(kept); i < len(h.jobs); i++ {
		h.jobs[i] = nil
	}
	h.jobs, h.dead = kept, 0
	heap.Init(h)
}
