// Package scheduler implements the scheduling policy: admission, ordering, placement, response to interference, and
// estimation of task sizes, run times and interference.
//
// The policy is a deterministic state machine. Apply applies events to the state and Decide returns decisions; neither
// does I/O, reads a clock or draws random numbers, and the same events and times give the same decisions. Decide does a
// bounded amount of work per call, so the caller must call it often.
package scheduler

import (
	"sort"

	"github.com/verbenakeel/verbenakeel/record"
)

// State is the state of the policy for one region. It is not safe for concurrent use.
type State struct {
	cfg       Config
	customers map[string]*customer
	jobs      map[string]*job
	tasks     map[string]*task
	workers   map[string]*worker
	// workerOrder holds the workers sorted by id.
	workerOrder []*worker
	// zones holds the availability zones by name.
	zones map[string]*zone
	// activeCustomers holds the customers that have queued tasks.
	activeCustomers []*customer
	// admissions holds the jobs not yet admitted, oldest first.
	admissions []*job
	// proposed holds the tasks whose start was decided by the last call of Decide.
	proposed []*task
	// refused holds the jobs whose refusal is not confirmed yet.
	refused []*job
	// shapes holds the distinct capacities of workers.
	shapes []*shape
	// firstWorkerMs is when the first worker joined; 0 before.
	firstWorkerMs int64
	// capacityGen is incremented whenever capacity may have been freed, so that unschedulable jobs are tried again.
	capacityGen uint64
	// lastRetryMs is when capacityGen was last incremented because of elapsed time.
	lastRetryMs int64
	// reclaimCursor rotates the first worker that reclaim considers.
	reclaimCursor int
	// tombstones holds the ids of jobs that have ended, so that late events do not restore them; tombstoneOrder holds
	// them oldest first.
	tombstones     map[string]struct{}
	tombstoneOrder []string
	// zoneOrder holds the zones sorted by name.
	zoneOrder []*zone
	classes   map[classKey]*class
	// services holds the classes of services in the order in which they were added.
	services []*class
	// lastClass is the highest id assigned to a class; freeIDs holds the ids of dropped classes.
	lastClass int32
	freeIDs   []int32
	// neighbours is a buffer reused between reports.
	neighbours []neighbour
	// alerts and pending hold decisions made while events were applied.
	alerts, pending []Decision
	// evicting holds the tasks whose eviction was decided and has not taken effect.
	evicting []*task
	// longRunning holds the running long-running tasks; nextLongRunning rotates through it.
	longRunning     []*task
	nextLongRunning int
	delayed         delayHeap
	risks           riskHeap
	// current is the placement in progress.
	current placement
	// scanned counts the workers scanned in this call, and fullSizes holds sizes for which no worker had free
	// capacity in it.
	scanned   int
	fullSizes []record.Resources
	// reclaims counts the jobs for which capacity was reclaimed in this call.
	reclaims int
	// expectedEnds is a buffer reused by timeToFit.
	expectedEnds []expectedEnd
	// acceleratorMissMs is when a task that needs accelerators could last not be placed.
	acceleratorMissMs int64
	// free indexes workers by free processors.
	free freeIndex
	// workersUp counts the workers in contact.
	workersUp int
}

// shape is a capacity that workers have or recently had.
type shape struct {
	capacity record.Resources
	count    int
	lastMs   int64
}

// New returns an empty state.
func New(cfg Config) *State {
	return &State{
		cfg:        cfg,
		customers:  make(map[string]*customer),
		jobs:       make(map[string]*job),
		tasks:      make(map[string]*task),
		workers:    make(map[string]*worker),
		zones:      make(map[string]*zone),
		tombstones: make(map[string]struct{}),
		classes:    make(map[classKey]*class),
	}
}

// Apply applies an event to the state. Events that are malformed, repeated or older than the state are ignored.
func (s *State) Apply(nowMs int64, ev Event) {
	switch e := ev.(type) {
	case ContractChanged:
		s.contractChanged(e.Contract)
	case ZoneChanged:
		s.zoneChanged(nowMs, e)
	case WorkerUp:
		s.workerUp(nowMs, e)
	case WorkerDown:
		s.workerDown(e.ID)
	case WorkerGone:
		s.workerRemoved(nowMs, e.ID)
	case TaskQueued:
		s.taskQueued(nowMs, e)
	case TaskStarted:
		s.taskStarted(nowMs, e.Start)
	case TaskEnded:
		s.taskEnded(nowMs, e.End)
	case JobCancelled:
		s.jobCancelled(nowMs, e.Job)
	case JobDone:
		s.jobDone(nowMs, e.Job)
	case UsageReported:
		s.usageReported(nowMs, e)
	}
}

// alert records an alert for the next call of Decide.
func (s *State) alert(a Alert) { s.alerts = append(s.alerts, a) }

// maxTombstones bounds the tombstones. At 8,600 jobs a day they cover more than a day.
const maxTombstones = 16_384

// addTombstone records that a job has ended.
func (s *State) addTombstone(id string) {
	if _, ok := s.tombstones[id]; ok {
		return
	}
	s.tombstones[id] = struct{}{}
	s.tombstoneOrder = append(s.tombstoneOrder, id)
	if len(s.tombstoneOrder) > maxTombstones {
		delete(s.tombstones, s.tombstoneOrder[0])
		s.tombstoneOrder = s.tombstoneOrder[1:]
	}
}

// insertWorker adds a worker to workerOrder, which stays sorted by id.
func (s *State) insertWorker(w *worker) {
	i := sort.Search(len(s.workerOrder), func(i int) bool { return s.workerOrder[i].id >= w.id })
	s.workerOrder = append(s.workerOrder, nil)
	copy(s.workerOrder[i+1:], s.workerOrder[i:])
	s.workerOrder[i] = w
}

func (s *State) removeWorker(w *worker) {
	i := sort.Search(len(s.workerOrder), func(i int) bool { return s.workerOrder[i].id >= w.id })
	if i < len(s.workerOrder) && s.workerOrder[i] == w {
		s.workerOrder = append(s.workerOrder[:i], s.workerOrder[i+1:]...)
	}
}
