// Package first is the frozen first version of the scheduling policy: deadline order with weighted dominant resource
// fairness and placement by score, without learning, without response to interference and without evictions. The
// benchmark measures the present policy against it. It is not developed further.
package first

import (
	"sort"

	"github.com/verbenakeel/verbenakeel/record"
	"github.com/verbenakeel/verbenakeel/scheduler"
)

// State is the state of the policy for one region. It is not safe for concurrent use.
type State struct {
	cfg       config
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
}

// config holds the settings of this version; times are in milliseconds.
type config struct {
	SettleMs, RepeatMs, RiskMarginMs, NoDeadlineMs    int64
	MaxStarts, MaxTries, MaxAdmissions, MaxCandidates int
}

var frozen = config{SettleMs: 30_000, RepeatMs: 5_000, RiskMarginMs: 60_000, NoDeadlineMs: 24 * 3_600_000,
	MaxStarts: 48, MaxTries: 96, MaxAdmissions: 256, MaxCandidates: 48}

// zone is an availability zone.
type zone struct {
	out bool
}

// shape is a capacity that workers have or recently had.
type shape struct {
	capacity record.Resources
	count    int
	lastMs   int64
}

// New returns an empty state.
func New() *State {
	return &State{
		cfg:        frozen,
		customers:  make(map[string]*customer),
		jobs:       make(map[string]*job),
		tasks:      make(map[string]*task),
		workers:    make(map[string]*worker),
		zones:      make(map[string]*zone),
		tombstones: make(map[string]struct{}),
	}
}

// Apply folds an event into the state. Events that are malformed, repeated or older than what is known are ignored.
func (s *State) Apply(nowMs int64, ev scheduler.Event) {
	switch e := ev.(type) {
	case scheduler.ContractChanged:
		s.contractChanged(e.Contract)
	case scheduler.ZoneChanged:
		s.zoneChanged(nowMs, e)
	case scheduler.WorkerUp:
		s.workerUp(nowMs, e)
	case scheduler.WorkerDown:
		s.workerDown(nowMs, e.ID)
	case scheduler.WorkerGone:
		s.workerGone(nowMs, e.ID)
	case scheduler.TaskQueued:
		s.taskQueued(nowMs, e)
	case scheduler.TaskStarted:
		s.taskStarted(nowMs, e.Start)
	case scheduler.TaskEnded:
		s.taskEnded(nowMs, e.End)
	case scheduler.JobCancelled:
		s.jobCancelled(e.Job)
	case scheduler.JobDone:
		s.jobDone(e.Job)
	}
}

func (s *State) zoneChanged(_ int64, e scheduler.ZoneChanged) {
	if e.Zone == "" {
		return
	}
	z := s.zoneOf(e.Zone)
	if z.out == e.Out {
		return
	}
	z.out = e.Out
	s.freeGen++
}

func (s *State) zoneOf(name string) *zone {
	z := s.zones[name]
	if z == nil {
		z = &zone{}
		s.zones[name] = z
	}
	return z
}

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
