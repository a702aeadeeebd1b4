// Package dispatch is the decider's scheduling state machine. It consumes events and returns, as data, records to
// store, orders for side processes and log entries on its decisions. It performs no I/O, starts no goroutines and uses
// neither a clock nor random numbers, so the same sequence of events always gives the same decisions.
//
// A start is ordered only after the record that names its run and worker is stored. The next decider therefore knows of
// every start that may have taken place, and learns from the workers which runs are active.
package dispatch

import (
	"sort"
	"time"

	"github.com/verbenakeel/verbenakeel/fleet/bounds"
	"github.com/verbenakeel/verbenakeel/fleet/estimate"
	"github.com/verbenakeel/verbenakeel/fleet/forecast"
	"github.com/verbenakeel/verbenakeel/fleet/link"
	"github.com/verbenakeel/verbenakeel/fleet/work"
)

// Now is the time of an event.
type Now struct {
	// BootMs is the decider's monotonic clock, which includes suspended time.
	BootMs int64
	// WallMs is the wall clock in Unix milliseconds. It is used only for start times of scheduled jobs and the age of
	// jobs.
	WallMs int64
}

// phase is the scheduling state of a task.
type phase uint8

const (
	// waiting tasks have no active run.
	waiting phase = iota
	// starting tasks have a stored start, but no worker has listed the run yet.
	starting
	// running tasks were listed by their worker.
	running
	// stopping tasks have a run that was ordered to stop.
	stopping
	// done tasks have completed.
	done
)

// job is an unfinished job.
type job struct {
	def   *work.Job
	state work.JobState
	// dueMs is the boot time from which the objective counts, and objectiveMs is the objective.
	dueMs       int64
	objectiveMs int64
	// size is the size of the job among those of its queue. servedRecorded is true once it was recorded how it was served.
	size           sizeClass
	servedRecorded bool
	// stages holds the stages of the open occurrences: all steps of one occurrence after those of the one before. opened is the number
	// of occurrences that were ever opened, and open holds in ascending order those of them that still are.
	stages []*stage
	opened int
	open   []int
	// windowed is true if finished occurrences are dropped, and at most maxOpen unfinished ones are open. window and suspended are used
	// only then: the latter holds occurrences that were opened, are not finished and are not open.
	windowed  bool
	maxOpen   int
	window    *window
	suspended suspendedOccurrences
	// firstSteps holds the steps that depend on no others.
	firstSteps stepSet
	// active counts tasks whose run may be active. lastActiveMs is when there last was one.
	active       int
	lastActiveMs int64
	// started is true once a worker has listed a run of any task. A start that was only recorded may never reach its worker.
	started bool
	dirty   bool
	// oversizeBytes is the size of the job's progress if the store would refuse it, else 0.
	oversizeBytes int
	// checkpointsDirty is true if checkpoints have changed since they were stored, at checkpointsStoredMs.
	checkpointsDirty    bool
	checkpointsStoredMs int64
	// load is the load on the tasks of a long-running job.
	load load
	// rank is the job's position in the placement order, listedPass the pass that listed the job last.
	rank       rank
	listedPass uint64
	// remaining is remainingWork as of remainingMs; 0 if it was not computed yet.
	remaining   remaining
	remainingMs int64
	// remainingPathMs holds, for each step, the expected time from its start to the end of the job (its critical path).
	remainingPathMs []int64
}

// stage is a step of one occurrence.
type stage struct {
	job        *job
	step       *work.Step
	occurrence int
	index      int
	// dueMs is the boot time before which the stage must not start.
	dueMs int64
	tasks []task
	// done counts completed tasks, waiting those in phase waiting.
	done, waiting int
	// waitingSinceMs is since when a task of the stage waits; 0 if one has since the stage was due.
	waitingSinceMs int64
	// removed is true once the occurrence is not open any more, fresh if refill opened it and no placement pass has followed.
	removed, fresh bool
	// triedPass is the last placement pass that looked for workers for the stage.
	triedPass uint64
	// exhaustedPass is the last placement pass that found no worker for a task of the stage; 0 if there is none.
	exhaustedPass uint64
	// failures is what is known of failed runs; nil if there are none.
	failures *stageFailures
	// overdue is true if the stage may use distrusted workers in this placement pass.
	overdue bool
	// scannedMs is when the stage was last compared with all workers.
	scannedMs int64
	// duration is the estimate for the tasks of the stage as of durationMs; 0 if there is none yet.
	duration   estimate.Estimate
	durationMs int64
	// samples holds the durations of tasks that ended, from unthrottled runs on sound workers.
	samples []durationSample
	// gangRun is the run number of the newest run of a gang.
	gangRun int
	// gangCheckpoint is the newest known checkpoint of a gang, from any of its members. All members of a run start with it.
	gangCheckpoint string
	// advice is what is known of the adviser's policy for the stage; nil if it was not asked for.
	advice *advice
	// consideredMs is when the stage was last compared with the workers to ask the adviser about them. askAfterMs and askAheadAfterMs
	// are when it may next be compared with those that have room, and with all.
	consideredMs, askAfterMs, askAheadAfterMs int64
	// noneToAsk is true if there was none to ask about at the last comparison, and there has been no answer since.
	noneToAsk bool
}

// task is one task of a stage.
type task struct {
	stage *stage
	index int
	phase phase
	run   int
	// failed holds the numbers of failed runs.
	failed []int
	// worker is where the run may be active; nil if the run is known to have ended.
	worker     *worker
	checkpoint string
	// orderNumber numbers the message on the worker's connection that holds the start or the stop; 0 if it was ordered on an
	// earlier connection or by an earlier decider, unsentOrder while the start waits in the outbox of the worker.
	orderNumber uint64
	// recorded is true once the start is stored.
	recorded bool
	// startedMs is when the run was first listed, percent is its latest progress, and progressedMs is when that last
	// changed.
	startedMs    int64
	percent      int
	progressedMs int64
	// countedPercent is the progress that the measured capacity includes.
	countedPercent int
	// orderedMs is when the start was ordered; 0 if an earlier decider ordered it. firstPercent is the progress when the run
	// was first listed. wasThrottled tells whether its CPU share was ever reduced, resumed whether it began at a checkpoint.
	orderedMs    int64
	firstPercent int
	wasThrottled bool
	resumed      bool
	// onTrial is true if the run was placed while its worker was on trial.
	onTrial bool
	// stalls counts runs that were stopped for lack of progress.
	stalls int
	// load is the tail latency in milliseconds of a latency-critical task, and the CPU use of any other.
	load int64
	// headroomFactor scales the headroom that the model gives best-effort tasks beside a latency-critical task; 0
	// stands for 1.
	headroomFactor float64
	// overTargetSinceMs is since when a latency-critical task has exceeded its target; 0 if it meets the target.
	overTargetSinceMs int64
	// cpuShare is the CPU share that a best-effort task should have in percent, sentCPUShare the one that was last sent
	// to it, and throttledMs when it was throttled below moveShare.
	cpuShare, sentCPUShare int
	throttledMs            int64
	// shareSentMs is when the CPU share was last sent.
	shareSentMs int64
	// avoidInstance is the instance on which the task last failed or from which it was moved.
	avoidInstance string
	// moveTarget is the worker that the task is being moved to, until moveUntilMs.
	moveTarget  *worker
	moveUntilMs int64
	// notBeforeMs delays the next start.
	notBeforeMs int64
	// stopSentMs is when a stop was last ordered, stopQueued is true while it waits in the outbox of the worker.
	stopSentMs int64
	stopQueued bool
}

func (t *task) name() work.TaskName {
	return work.TaskName{Job: t.stage.job.def.ID, Occurrence: t.stage.occurrence, Step: t.stage.index, Index: t.index}
}

// State is the decider's scheduling state.
type State struct {
	bounds  bounds.Bounds
	options Options
	now     Now
	epoch   uint64
	// fencesExhausted is true once a worker's fence could not be raised.
	fencesExhausted bool
	// claimedMs is when this decider claimed its epoch. Leases granted by the previous decider may last for Lead and
	// Lease from then.
	claimedMs int64

	jobs           map[string]*job
	finished       map[string]int64 // when each finished job was found finished, in boot time
	queues         map[string]work.Queue
	queueServices  map[string]map[string]bool // services that any configuration assigned to a queue
	services       map[string]work.Service
	workers        map[string]*worker
	sortedWorkers  []*worker // by instance, so that decisions do not depend on map order
	evacuatedZones map[string]bool
	interference   interferenceModel
	backlog        backlog
	adviser        adviserCalls
	durations      *estimate.Model
	sizes          map[string]*sizeBalance // by queue
	// loadPeriod is the period that the loads of the long-running jobs have in common.
	loadPeriod *forecast.Period
	stages     []*stage // stages of unfinished jobs with unfinished tasks
	// windowedJobs holds the unfinished windowed jobs in the order in which they were loaded.
	windowedJobs []*job

	dirty []*job
	// checkpointsDirty holds jobs whose checkpoints have changed since they were stored.
	checkpointsDirty []*job
	// tombstones go to the topic of jobs, scheduleTombstones to the topic of schedules.
	tombstones, scheduleTombstones []work.Record
	pendingAcks                    map[string]bool // instances whose completions may be acknowledged after the next commit
	pendingStarts                  []pendingStart
	// unsent holds the workers with queued orders.
	unsent []*worker
	// committedMs is when the store last acknowledged a batch.
	committedMs int64
	// rebalancedMs is when a latency-critical task was last moved, rebalanceNext the next worker to scan, and
	// rebalanceOffset where the search for a new place continues.
	rebalancedMs                   int64
	rebalanceNext, rebalanceOffset int
	// placePending is true if an event may have made a placement possible.
	placePending bool
	// pass counts placement passes. passWorkers holds the workers that had changed before the current pass,
	// changedWorkers those that have changed since it began.
	pass                        uint64
	passWorkers, changedWorkers []*worker
	// rankedMs is when jobs were ranked, ranksStale is true if a stage was added since.
	rankedMs   int64
	ranksStale bool
	// bestEffortUsed is the mean CPU use of best-effort tasks in thousandths of a core, and poolFullAtMs when one of them last
	// found no worker.
	bestEffortUsed float64
	poolCapacity   poolCores // as of the last ranking
	poolFullAtMs   int64
	// distrusted is true if a worker was kept from work by what ran on it, as of the last tick.
	distrusted bool
	// overload tells what is not done because the decider is behind.
	overload overload
	// readyStages, advisedStages and unfinishedJobs are buffers of place.
	readyStages, advisedStages []*stage
	unfinishedJobs             []*job

	effects Effects
}

// Effects holds the results of an event.
type Effects struct {
	// Orders are sent immediately.
	Orders []SideOrders
	// Decisions are log entries on decisions.
	Decisions []Decision
	// Questions go to the adviser. Each of them is followed by an AdviceReceived or an AdviceFailed event.
	Questions []Question
}

// SideOrders holds orders for one side process.
type SideOrders struct {
	Instance string
	Orders   link.Orders
}

// Question asks the adviser which workers may run a step.
type Question struct {
	// Step names the step as ID.OCCURRENCE.STEP.
	Step string
	// Workers maps worker ids to their instances.
	Workers map[string]string
	// Timeout is how long the call may take, at least 2 s. The runner reports AdviceReceived or AdviceFailed within it.
	Timeout time.Duration
}

// Decision is a log entry on a decision.
type Decision struct {
	// Kind is the kind of decision.
	Kind DecisionKind
	// Job, Task and Run name the subject; empty or 0 if there is none.
	Job  string
	Task string
	Run  int
	// Instance is the worker's instance.
	Instance string
	// Reason holds the inputs of the decision.
	Reason string
	// AgeMs is the age of the newest input.
	AgeMs int64
}

// DecisionKind is the kind of a decision.
type DecisionKind uint8

// Kinds of decisions.
const (
	DecisionJobAccepted DecisionKind = iota
	DecisionJobFinished
	DecisionStart
	DecisionStop
	DecisionRunEnded
	DecisionRequeued
	DecisionStartRefused
	DecisionWorkerUp
	DecisionWorkerDown
	DecisionQuarantine
	DecisionQuarantineLifted
	DecisionCPUShare
	DecisionBacklog
	DecisionOccurrencesSuspended
)

// New returns the initial state of a decider that claimed the epoch.
func New(b bounds.Bounds, epoch uint64, now Now, o Options) *State {
	return &State{bounds: b, options: o, loadPeriod: forecast.NewPeriod(), now: now, epoch: epoch, claimedMs: now.BootMs, jobs: map[string]*job{}, finished: map[string]int64{},
		queues: map[string]work.Queue{}, queueServices: map[string]map[string]bool{}, services: map[string]work.Service{},
		workers: map[string]*worker{}, evacuatedZones: map[string]bool{}, interference: newInterferenceModel(), adviser: newAdviserCalls(), durations: estimate.New(), sizes: map[string]*sizeBalance{}, pendingAcks: map[string]bool{},
		backlog: backlog{enabled: o.PublishBacklog}}
}

// Event is an input of the state machine.
type Event interface{ apply(*State) }

// Step applies an event and returns its immediate effects.
func (s *State) Step(now Now, e Event) Effects {
	s.now = now
	s.interference.refresh(now.BootMs)
	s.effects = Effects{}
	e.apply(s)
	s.sendQueued()
	return s.effects
}

func (s *State) logDecision(n Decision) { s.effects.Decisions = append(s.effects.Decisions, n) }

func (s *State) logTaskDecision(kind DecisionKind, t *task, reason string) {
	n := Decision{Kind: kind, Job: t.stage.job.def.ID, Task: t.name().String(), Run: t.run, Reason: reason}
	if t.worker != nil {
		n.Instance = t.worker.instance
		n.AgeMs = s.now.BootMs - t.worker.lastReportMs
	}
	s.logDecision(n)
}

// markDirty marks the progress of a job to be stored with the next batch.
func (s *State) markDirty(j *job) {
	if !j.dirty {
		j.dirty = true
		s.dirty = append(s.dirty, j)
	}
}

// Tick advances time.
type Tick struct{}

func (Tick) apply(s *State) {
	for _, w := range s.sortedWorkers {
		s.requeueExpired(w)
		s.resendStops(w)
		s.moveSlowRuns(w)
	}
	s.rebalance()
	s.touchRecovered()
	s.openDueOccurrences()
	s.failOversized()
	s.dropFinishedJobs()
	s.place()
	s.refill()
	s.updateBacklog()
}

// Place places waiting tasks if an event since the previous call may have freed capacity.
type Place struct{}

func (Place) apply(s *State) {
	if s.placePending {
		s.place()
		s.refill()
	}
}

// retentionMarginMs is added to the time for which the state of a finished job is kept, as a request for it may be in
// flight.
const retentionMarginMs = 60_000

func (s *State) dropFinishedJobs() {
	keep := s.bounds.StatusRetention.Milliseconds() + retentionMarginMs
	var ids []string
	for id, at := range s.finished {
		if s.now.BootMs-at > keep {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	for _, id := range ids {
		delete(s.finished, id)
		s.tombstones = append(s.tombstones, work.Record{Key: work.PrefixSubmission + id}, work.Record{Key: work.PrefixCancellation + id})
	}
}

// JobsDropped means that the submissions of jobs were removed from the store. Their progress is removed only now: without
// it a job whose submission is left would run again.
type JobsDropped struct{ IDs []string }

func (e JobsDropped) apply(s *State) {
	for _, id := range e.IDs {
		if s.jobs[id] == nil {
			s.scheduleTombstones = append(s.scheduleTombstones, work.Record{Key: work.PrefixProgress + id}, work.Record{Key: work.PrefixCheckpoints + id})
		}
	}
}
