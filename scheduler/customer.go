package scheduler

import (
	"container/heap"

	"github.com/verbenakeel/verbenakeel/record"
)

// customer is a customer with a contract or with jobs. It holds queues only while it has queued tasks.
type customer struct {
	name     string
	contract *record.Contract
	// used is the sum of what is committed for its running and proposed tasks.
	used record.Resources
	// running counts its running and proposed batch and long-running tasks.
	running int
	// urgent counts its running and proposed urgent tasks.
	urgent int
	// startedMs is when a task of the customer was last started.
	startedMs int64
	// jobs counts its unfinished jobs.
	jobs int
	// queuedJobs counts its admitted batch and long-running jobs with queued tasks.
	queuedJobs int
	// untried holds the jobs not tried since the last retry of all jobs, unschedulable those that could not be placed
	// since.
	untried, unschedulable *jobHeap
	// retriedGen is the state's capacityGen at the last retry of all jobs.
	retriedGen uint64
	// active is true while the customer is in State.activeCustomers.
	active bool
}

func (s *State) customerOf(name string) *customer {
	c := s.customers[name]
	if c == nil {
		c = &customer{name: name, untried: &jobHeap{}, unschedulable: &jobHeap{}}
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
	s.capacityGen++
}

// burst returns the most that a customer may use: a burst share below the guaranteed one counts as the guaranteed one.
func (c *customer) burst() record.Resources {
	g, b := c.contract.Guaranteed, c.contract.Burst
	return record.Resources{
		CPUMilli:     max(g.CPUMilli, b.CPUMilli),
		MemoryMB:     max(g.MemoryMB, b.MemoryMB),
		Accelerators: max(g.Accelerators, b.Accelerators),
	}
}

// withinGuarantee reports whether the customer stays within its guaranteed share with a further task of that size. Only
// the resources that the task requests count: a customer that borrows accelerators keeps its guarantee of processors.
func (c *customer) withinGuarantee(size record.Resources) bool {
	if c.contract == nil {
		return false
	}
	within := func(asked, used, guaranteed int64) bool { return asked == 0 || used+asked <= guaranteed }
	g := c.contract.Guaranteed
	return within(size.CPUMilli, c.used.CPUMilli, g.CPUMilli) && within(size.MemoryMB, c.used.MemoryMB, g.MemoryMB) &&
		within(size.Accelerators, c.used.Accelerators, g.Accelerators)
}

// dominantShare returns the customer's largest share of the fleet, in millionths, of the resources that its next task
// requests, weighted by priority. Capacity beyond guarantees is lent in the order of this share (dominant resource
// fairness). Accelerators do not count for a task that requests none: a customer that uses all of the few accelerators
// would get no other resources.
func (c *customer) dominantShare(size, fleet record.Resources) int64 {
	share := func(asked, used, total int64) int64 {
		if asked == 0 {
			return 0
		}
		return used * 1_000_000 / max(total, 1)
	}
	return c.weight() * max(share(size.CPUMilli, c.used.CPUMilli, fleet.CPUMilli),
		share(size.MemoryMB, c.used.MemoryMB, fleet.MemoryMB),
		share(size.Accelerators, c.used.Accelerators, fleet.Accelerators))
}

// weight returns the factor of the usage of a customer in the order of customers; it is larger for lower priorities.
func (c *customer) weight() int64 {
	if c.contract == nil {
		return 4
	}
	switch c.contract.Priority {
	case record.Critical:
		return 1
	case record.BestEffort:
		return 4
	default:
		return 2
	}
}

// overQuota returns why the customer's contract permits no further task of j; empty if it permits one.
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
		s.activeCustomers = append(s.activeCustomers, c)
	}
}

// compactActive removes customers without queued tasks from activeCustomers and frees their queues.
func (s *State) compactActive() {
	kept := s.activeCustomers[:0]
	for _, c := range s.activeCustomers {
		c.untried.compact()
		c.unschedulable.compact()
		if len(c.untried.jobs)+len(c.unschedulable.jobs) > 0 {
			kept = append(kept, c)
			continue
		}
		c.active = false
		c.untried.jobs, c.unschedulable.jobs, c.untried.dead, c.unschedulable.dead = nil, nil, 0, 0
	}
	for i := len(kept); i < len(s.activeCustomers); i++ {
		s.activeCustomers[i] = nil
	}
	s.activeCustomers = kept
}

// jobHeap is a priority queue of jobs, ordered by urgency, latest start and id. Jobs without queued tasks remain until
// they reach the top or are more than half of the heap, so that removing a job costs constant time on average. dead
// counts them.
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
	j.heap = h
	heap.Push(h, j)
}

// peek returns the first job that has queued tasks, or nil.
func (h *jobHeap) peek() *job {
	for len(h.jobs) > 0 {
		j := h.jobs[0]
		if j.waiting() && j.heap == h {
			return j
		}
		heap.Pop(h)
		h.dead = max(0, h.dead-1)
		if j.heap == h {
			j.heap = nil
		}
	}
	return nil
}

// popQueued removes and returns the first job that has queued tasks, or nil.
func (h *jobHeap) popQueued() *job {
	j := h.peek()
	if j != nil {
		heap.Pop(h)
		j.heap = nil
	}
	return j
}

// compact rebuilds the heap when more than half of its jobs have no queued tasks.
func (h *jobHeap) compact() {
	h.peek()
	if h.dead*2 <= len(h.jobs) {
		return
	}
	kept := h.jobs[:0]
	for _, j := range h.jobs {
		if j.waiting() && j.heap == h {
			kept = append(kept, j)
		} else if j.heap == h {
			j.heap = nil
		}
	}
	for i := len(kept); i < len(h.jobs); i++ {
		h.jobs[i] = nil
	}
	h.jobs, h.dead = kept, 0
	heap.Init(h)
}
