// Package scheduler is the scheduling policy: admission, order, placement, response to interference and learning.
//
// The policy is pure. Apply folds events into the state and Decide returns decisions; neither does I/O, reads a clock
// or draws random numbers, and the same events and times give the same decisions. Decide does a bounded amount of
// work per call, so the caller calls it often.
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
	// order holds the workers sorted by id.
	order []*worker
	// zones holds what is known of availability zones.
	zones map[string]*zone
	// active holds the customers that have queued tasks.
	active []*customer
	// admissions holds jobs not yet admitted, oldest first.
	admissions []*job
	// proposed holds the tasks whose start was decided by the last Decide.
	proposed []*task
	// refused holds jobs whose refusal is not confirmed yet.
	refused []*job
	// shapes holds the distinct capacities of workers.
	shapes []*shape
	// firstWorkerMs is when the first worker joined; 0 before.
	firstWorkerMs int64
	// freeGen grows whenever room may have appeared, so that parked jobs are tried again.
	freeGen uint64
	// lastGenMs is when freeGen last grew because time passed.
	lastGenMs int64
	// cursor rotates the first worker looked at.
	cursor int
	// tombstones holds jobs that are over, so that late events do not bring them back; tombOrder is their order.
	tombstones map[string]struct{}
	tombOrder  []string
	// zoneOrder holds the zones sorted by name.
	zoneOrder []*zone
	classes   map[classKey]*class
	// services holds the classes of services in the order in which they were first seen.
	services []*class
	// lastClass is the highest id given to a class; freeIDs holds those of dropped classes.
	lastClass int32
	freeIDs   []int32
	// neighbours is reused between reports.
	neighbours []neighbour
	// alerts and pending hold decisions made while events were applied.
	alerts, pending []Decision
	// evicting holds tasks whose eviction was decided and has not taken effect.
	evicting []*task
	// standing holds running standing tasks; watchNext rotates through it.
	standing  []*task
	watchNext int
	delayed   delayHeap
	risks     riskHeap
	// placing is the placement in progress.
	placing placing
	// visits counts the workers looked at in this call, and full holds sizes for which no worker had room in it.
	visits int
	full   []record.Resources
	// reclaims counts the jobs for which room was taken back in this call.
	reclaims int
	// ending is reused between tries to find room that is freed soon.
	ending []ending
	// accelMs is when a task that needs accelerators last found no room.
	accelMs int64
	// free indexes workers by free processors.
	free freeIndex
	// up counts workers in contact.
	up int
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

// Apply folds an event into the state. Events that are malformed, repeated or older than what is known are ignored.
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
		s.workerGone(nowMs, e.ID)
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

// alert records an alert for the next Decide.
func (s *State) alert(a Alert) { s.alerts = append(s.alerts, a) }

// maxTombstones bounds the memory of jobs that are over. At 8,600 jobs a day it covers more than a day.
const maxTombstones = 16_384

// bury remembers that a job is over.
func (s *State) bury(id string) {
	if _, ok := s.tombstones[id]; ok {
		return
	}
	s.tombstones[id] = struct{}{}
	s.tombOrder = append(s.tombOrder, id)
	if len(s.tombOrder) > maxTombstones {
		delete(s.tombstones, s.tombOrder[0])
		s.tombOrder = s.tombOrder[1:]
	}
}

// insertWorker keeps order sorted by id.
func (s *State) insertWorker(w *worker) {
	i := sort.Search(len(s.order), func(i int) bool { return s.order[i].id >= w.id })
	s.order = append(s.order, nil)
	copy(s.order[i+1:], s.order[i:])
	s.order[i] = w
}

func (s *State) removeWorker(w *worker) {
	i := sort.Search(len(s.order), func(i int) bool { return s.order[i].id >= w.id })
	if i < len(s.order) && s.order[i] == w {
		s.order = append(s.order[:i], s.order[i+1:]...)
	}
}
