// Package dispatch is the decider's reducer. Events go in, and records to store, orders for side processes and accounts
// of decisions come out as data. It has no I/O, clock, goroutine or randomness, so that a history of events always gives
// the same decisions.
//
// A start is ordered only after the record that names its run and worker is stored, so the next decider knows of every
// start that may have taken place. What is at work is learned from the workers.
package dispatch

import (
	"sort"

	"github.com/verbenakeel/verbenakeel/fleet/bounds"
	"github.com/verbenakeel/verbenakeel/fleet/link"
	"github.com/verbenakeel/verbenakeel/fleet/work"
)

// Now is the time of an event.
type Now struct {
	// BootMs is the decider's steady clock, which counts suspended time.
	BootMs int64
	// WallMs is the time of day in Unix milliseconds. Only due times of jobs and their age rest on it.
	WallMs int64
}

// phase is where a task is.
type phase uint8

const (
	// waiting tasks have no run at work.
	waiting phase = iota
	// starting tasks have a run on record that no list has shown yet.
	starting
	// running tasks were listed by their worker.
	running
	// stopping tasks have a run that was told to end.
	stopping
	// done tasks are done.
	done
)

// job is a job that is not over.
type job struct {
	def   *work.Job
	state work.JobState
	// dueMs is the boot time from which its objective counts, objectiveMs the objective.
	dueMs       int64
	objectiveMs int64
	stages      []*stage
	// opened is the number of occurrences whose stages exist.
	opened int
	// active is the number of tasks with a run that may be at work, activeMs when there was one last.
	active   int
	activeMs int64
	// begun is true once a task was started.
	begun bool
	dirty bool
	// load is the load of the tasks of a lasting job.
	load load
	// tailMs holds, for each step, the expected time from its start to the end of the job.
	tailMs []int64
}

// stage is a step of one occurrence.
type stage struct {
	job        *job
	step       *work.Step
	occurrence int
	index      int
	// dueMs is the boot time before which it must not start.
	dueMs int64
	tasks []task
	// done counts tasks that are done, idle those that wait.
	done, idle int
	// gangRun is the number of the last run of a gang.
	gangRun int
	// tickets holds the adviser's permissions by instance.
	tickets map[string]ticket
	// askedMs is when the adviser was asked last.
	askedMs int64
}

// ticket is the adviser's permission to run a step on one life of a worker.
type ticket struct {
	life    link.Life
	text    string
	untilMs int64
}

// task is one task of a stage.
type task struct {
	stage *stage
	index int
	phase phase
	run   int
	// failed holds the numbers of the runs that failed.
	failed []int
	// on is the worker on which run may be at work; nil if it is known to have ended.
	on         *worker
	checkpoint string
	// orderNumber is the number of the orders on the worker's connection that hold the start; 0 if it was ordered on an
	// earlier connection or by an earlier decider.
	orderNumber uint64
	// recorded is true once the start is on record.
	recorded bool
	// startedMs is when the run was first listed, percent its progress then last, and movedMs when that changed last.
	startedMs int64
	percent   int
	movedMs   int64
	// stalls counts runs that were stopped because they stood still.
	stalls int
	// load is the tail latency of a task that serves, and the processor use of others.
	load int64
	// narrow is the part of the model's allowance that fillers may use beside a serving task; 0 stands for all of it.
	narrow float64
	// overMs is since when a serving task is over its target; 0 if it is not.
	overMs int64
	// pace is the share at which a filler is to work, pacedTo the one that it was told, slowedMs when it was slowed down.
	pace, pacedTo int
	slowedMs      int64
	// pacedMs is when it was told its pace last.
	pacedMs int64
	// avoid is the instance on which it failed last.
	avoid string
	// toward is the worker that it is moved to, until towardMs.
	toward   *worker
	towardMs int64
	// notBeforeMs delays the next start.
	notBeforeMs int64
	// stopSentMs is when a stop was ordered last.
	stopSentMs int64
}

func (t *task) name() work.TaskName {
	return work.TaskName{Job: t.stage.job.def.ID, Occurrence: t.stage.occurrence, Step: t.stage.index, Index: t.index}
}

// State is the decider's state.
type State struct {
	bounds bounds.Bounds
	now    Now
	// epoch is the decider's epoch.
	epoch uint64
	// claimedMs is when this decider claimed. Grants of the one before may last for Lead and Lease from then.
	claimedMs int64

	jobs         map[string]*job
	over         map[string]int64 // jobs that are over, with the time at which they were found so
	queues       map[string]work.Queue
	sends        map[string]map[string]bool // services that any configuration sent a queue to
	services     map[string]work.Service
	workers      map[string]*worker
	order        []*worker // workers in the order of their instances, so that decisions do not depend on map order
	evac         map[string]bool
	interference interference
	stages       []*stage // stages that have waiting tasks

	dirty   []*job
	drops   []work.Record
	forgets map[string]bool // workers with ends that may be forgotten after the next commit
	starts  []*task
	// committedMs is when the store took the newest batch.
	committedMs int64
	// regroupedMs is when a serving task was moved last, regroupNext the next worker to look at, regroupOffset where the
	// look for another place goes on.
	regroupedMs                int64
	regroupNext, regroupOffset int
	// placePending is true if an event may have made a placement possible.
	placePending bool

	out Effects
}

// Effects is what follows from an event.
type Effects struct {
	// Orders are sent at once.
	Orders []SideOrders
	// Notes are accounts of decisions.
	Notes []Note
	// Questions go to the adviser.
	Questions []Question
}

// SideOrders are orders for one side process.
type SideOrders struct {
	Instance string
	Orders   link.Orders
}

// Question asks the adviser which workers may run a step.
type Question struct {
	// Step names the step as ID.OCCURRENCE.STEP.
	Step string
	// Workers maps ids of workers to their instances.
	Workers map[string]string
}

// Note is an account of a decision.
type Note struct {
	// Kind says what was decided.
	Kind NoteKind
	// Job, Task and Run name what it is about; empty if nothing.
	Job  string
	Task string
	Run  int
	// Instance is the worker's instance.
	Instance string
	// Reason holds the inputs that decided it.
	Reason string
	// AgeMs is the age of the newest input.
	AgeMs int64
}

// NoteKind is the kind of a decision.
type NoteKind uint8

// Kinds of decisions.
const (
	NoteJobTaken NoteKind = iota
	NoteJobOver
	NoteStart
	NoteStop
	NoteEnd
	NoteRequeued
	NoteRefused
	NoteWorkerUp
	NoteWorkerDown
	NoteQuarantine
	NotePace
)

// New returns the state of a decider that claimed the epoch.
func New(b bounds.Bounds, epoch uint64, now Now) *State {
	return &State{bounds: b, now: now, epoch: epoch, claimedMs: now.BootMs, jobs: map[string]*job{}, over: map[string]int64{},
		queues: map[string]work.Queue{}, sends: map[string]map[string]bool{}, services: map[string]work.Service{},
		workers: map[string]*worker{}, evac: map[string]bool{}, interference: newInterference(), forgets: map[string]bool{}}
}

// Event is something that the decider reacts to.
type Event interface{ apply(*State) }

// Step applies an event and returns what follows at once.
func (s *State) Step(now Now, e Event) Effects {
	s.now = now
	s.interference.refresh(now.BootMs)
	s.out = Effects{}
	e.apply(s)
	return s.out
}

func (s *State) note(n Note) { s.out.Notes = append(s.out.Notes, n) }

func (s *State) noteTask(kind NoteKind, t *task, reason string) {
	n := Note{Kind: kind, Job: t.stage.job.def.ID, Task: t.name().String(), Run: t.run, Reason: reason}
	if t.on != nil {
		n.Instance = t.on.instance
		n.AgeMs = s.now.BootMs - t.on.heardMs
	}
	s.note(n)
}

// touch marks a job's progress as changed.
func (s *State) touch(j *job) {
	if !j.dirty {
		j.dirty = true
		s.dirty = append(s.dirty, j)
	}
}

// Batch is what has to be stored before the starts and acknowledgements that follow from it.
type Batch struct {
	// Schedule goes to the topic of schedules, Drops to that of jobs.
	Schedule, Drops []work.Record
	starts          []*task
	runs            []int
	forgets         map[string]forget
}

// forget is the end up to which a life of a worker may forget.
type forget struct {
	life   link.Life
	number int64
}

// Empty reports whether there is nothing to store and nothing that waits for it.
func (b *Batch) Empty() bool {
	return len(b.Schedule) == 0 && len(b.Drops) == 0 && len(b.starts) == 0 && len(b.forgets) == 0
}

// Collect returns all changes since the last call.
func (s *State) Collect() *Batch {
	b := &Batch{Drops: s.drops, starts: s.starts, forgets: map[string]forget{}}
	for _, t := range s.starts {
		b.runs = append(b.runs, t.run)
	}
	for _, j := range s.dirty {
		j.dirty = false
		b.Schedule = append(b.Schedule, work.Record{Key: work.PrefixProgress + j.def.ID, Value: work.Encode(j.progress())})
	}
	if r, due := s.keepLearned(); due {
		b.Schedule = append(b.Schedule, r)
	}
	for name := range s.forgets {
		if w := s.workers[name]; w != nil && w.info != nil {
			b.forgets[name] = forget{w.info.Life, w.seenEnd}
		}
	}
	s.dirty, s.drops, s.starts, s.forgets = nil, nil, nil, map[string]bool{}
	return b
}

// Committed is a batch that was stored. Its starts and acknowledgements are ordered now.
type Committed struct{ Batch *Batch }

func (e Committed) apply(s *State) {
	s.committedMs = s.now.BootMs
	byWorker := map[*worker][]link.Start{}
	for i, t := range e.Batch.starts {
		if t.run != e.Batch.runs[i] || t.phase != starting || t.on == nil {
			continue // the run was given up before it was ordered
		}
		t.recorded = true
		if t.on.connected && !t.on.reachable() {
			// It was not ordered, so it is free at once.
			s.noteTask(NoteRequeued, t, "its worker fell silent before the start was ordered")
			s.ended(t)
			continue
		}
		if t.on.connected {
			byWorker[t.on] = append(byWorker[t.on], s.startOrder(t))
			t.orderNumber = t.on.orders + 1
		}
	}
	for _, w := range s.order {
		f, forgets := e.Batch.forgets[w.instance]
		forgets = forgets && w.info != nil && f.life == w.info.Life
		if forgets {
			w.forget = max(w.forget, f.number)
		}
		if starts := byWorker[w]; w.connected && (len(starts) > 0 || forgets) {
			s.send(w, link.Orders{Starts: starts})
		}
	}
}

// startOrder returns the order that starts the task's run.
func (s *State) startOrder(t *task) link.Start {
	o := link.Start{Task: t.name().String(), Run: t.run, Spec: t.stage.job.def.Spec, Checkpoint: t.checkpoint}
	if t.stage.step.Filler && t.on.serving > 0 {
		t.pace = s.firstPace(t, t.on)
		t.pacedTo = t.pace
		if t.pace < fullPace {
			o.Percent = t.pace
		}
	}
	if tk, ok := t.stage.tickets[t.on.instance]; ok {
		o.Ticket = tk.text
	}
	return o
}

// send numbers orders and sends them to the worker's side process.
func (s *State) send(w *worker, o link.Orders) {
	w.orders++
	o.Number, o.Fence, o.Forget, o.Life = w.orders, s.fence(w), w.forget, w.info.Life
	s.out.Orders = append(s.out.Orders, SideOrders{w.instance, o})
}

const (
	// livesBits is the width of the part of a fence that counts connections and lives of a worker under one decider.
	livesBits = 16
)

// fence rises with each decider, connection and life of the worker, so that late orders of before are refused.
func (s *State) fence(w *worker) uint64 { return s.epoch<<livesBits | uint64(w.lives) }

// Tick lets time pass.
type Tick struct{}

func (Tick) apply(s *State) {
	for _, w := range s.order {
		s.checkLease(w)
		s.repeatStops(w)
		s.moveSlow(w)
	}
	s.regroup()
	s.openDue()
	s.dropExpired()
	s.place()
}

// Place places waiting tasks if an event since the last call may have made room.
type Place struct{}

func (Place) apply(s *State) {
	if s.placePending {
		s.place()
	}
}

// dropSlackMs is added to the time for which the state of an ended job is kept; a request for it may be on its way.
const dropSlackMs = 60_000

func (s *State) dropExpired() {
	keep := s.bounds.Status.Milliseconds() + dropSlackMs
	var ids []string
	for id, at := range s.over {
		if s.now.BootMs-at > keep {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	for _, id := range ids {
		delete(s.over, id)
		s.drops = append(s.drops, work.Record{Key: work.PrefixSubmission + id}, work.Record{Key: work.PrefixCancellation + id},
			work.Record{Key: work.PrefixProgress + id})
	}
}
