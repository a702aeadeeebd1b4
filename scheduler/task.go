package scheduler

import (
	"fmt"
	"strings"

	"github.com/cenkalti/backoff/v5"

	"github.com/verbenakeel/verbenakeel/record"
)

// phase is the state of a task in the policy.
type phase int

const (
	// phaseIdle tasks are known and neither wait nor run.
	phaseIdle phase = iota
	// phaseQueued tasks wait for a placement.
	phaseQueued
	// phaseProposed tasks were placed by the last call of Decide; the start is not confirmed.
	phaseProposed
	// phaseDelayed tasks wait for the end of their backoff.
	phaseDelayed
	// phaseRunning tasks run, or may run on a worker that is out of contact.
	phaseRunning
)

// job is a job that has not ended.
type job struct {
	rec  record.Job
	cust *customer
	// queued holds waiting tasks in the order in which they were queued; head is the index of the first one.
	queued []*task
	head   int
	// waitingTasks counts tasks in phaseQueued.
	waitingTasks int
	// tasks holds all known tasks of the job.
	tasks []*task
	// latestStartMs is the latest start that meets the deadline, by the expected run time.
	latestStartMs int64
	// heap is the heap that holds the job, if any.
	heap *jobHeap
	// admitted is true once the job passed admission, pending while it waits for admission.
	admitted, pending bool
	// countedQueued is true while the job is included in its customer's queuedJobs.
	countedQueued bool
	// refusal is why the job can never run; empty if it may.
	refusal string
	// refusedMs is when the refusal was last decided.
	refusedMs int64
	// cancelled is true after JobCancelled.
	cancelled bool
	// why is why the job's first queued task waits.
	why    waitReason
	class  *class
	health *jobHealth
	// evictions counts evictions of its tasks.
	evictions int
	// blockedSinceMs is since when the job cannot be placed although it is urgent or within the guaranteed share; 0 if
	// it is not blocked.
	blockedSinceMs int64
	// lastBlockedMs is when the job was last found blocked in this sense.
	lastBlockedMs int64
	// nominated is the worker whose free capacity is reserved for the job; reclaimMs is when tasks were last evicted
	// for it, reclaimTriedMs when reclaim last considered it.
	nominated                 *worker
	reclaimMs, reclaimTriedMs int64
	// riskWatched is true once the deadline is watched; the other fields are true once the respective alert was raised.
	riskWatched, riskAlert, urgentAlert, failAlert bool
}

// waiting reports whether the job has queued tasks that may start.
func (j *job) waiting() bool { return j.waitingTasks > 0 && !j.cancelled && j.refusal == "" }

// next returns the first queued task, or nil.
func (j *job) next() *task {
	for j.head < len(j.queued) {
		t := j.queued[j.head]
		if t.phase == phaseQueued {
			return t
		}
		j.queued[j.head] = nil
		j.head++
	}
	j.queued, j.head = nil, 0
	return nil
}

// task is one task of a job.
type task struct {
	id    string
	job   *job
	phase phase
	// attempt is the running attempt, ended the highest that ended, nextAttempt the one to start.
	attempt, ended, nextAttempt uint32
	checkpointMs                int64
	// worker is where the attempt runs or is proposed.
	worker *worker
	// slot is the index of the task in worker.tasks.
	slot int
	// size is what is committed for the attempt.
	size     record.Resources
	queuedMs int64
	startMs  int64
	// causes holds the causes of the newest decisions on the task, oldest first.
	causes []string
	// shareMilli is the CPU share to which the task is throttled, in thousandths; it was last sent at throttledMs and
	// is repeated throttleRepeats more times.
	shareMilli      int64
	throttledMs     int64
	throttleRepeats int
	// evictMs is when the eviction of the running attempt was decided; 0 if it was not.
	evictMs   int64
	evictions int
	// reportedCPU is the processor usage in the worker's report measured at reportedMs.
	reportedCPU, reportedMs int64
	// lastLearnedCPU is the processor usage of the attempt that was last added to the estimates of its class.
	lastLearnedCPU int64
	// cpuSum and cpuCount give the mean processor usage since it was last added to the estimates of the class.
	cpuSum, cpuCount int64
	// speedSum and speedCount give the mean speed of the running attempt.
	speedSum, speedCount int64
	// sampleMs is when the attempt was last measured, progressMs when it last reported progress.
	sampleMs, progressMs int64
	// slowdown is the slowdown reported last, expectedSlowdown the one predicted by the estimates.
	slowdown, expectedSlowdown float64
	// loadFactor is the ratio of the baseline latency of a service replica at its present load to the usual one.
	loadFactor float64
	// unverified is true until the attempt is known to run; measured is true once a usage sample of the attempt was
	// added to the estimates.
	unverified, measured bool
	// hung is true once an eviction for lack of progress was decided, lostAlerted once AlertLongRunningLost was raised,
	// and supervised while the task is in State.longRunning.
	hung, lostAlerted, supervised bool
	// trial is true when the attempt is a trial of a worker on probation.
	trial          bool
	avoidedWorkers []string
	backoff        *backoff.ExponentialBackOff
	notBeforeMs    int64
}

// maxCauses bounds the causes kept per task.
const maxCauses = 8

func (t *task) recordCause(format string, args ...any) {
	if len(t.causes) == maxCauses {
		copy(t.causes, t.causes[1:])
		t.causes = t.causes[:maxCauses-1]
	}
	t.causes = append(t.causes, fmt.Sprintf(format, args...))
}

// validSize reports whether no dimension is negative or so large that sums could overflow.
func validSize(r record.Resources) bool {
	const limit = int64(1) << 40
	ok := func(v int64) bool { return v >= 0 && v < limit }
	return ok(r.CPUMilli) && ok(r.MemoryMB) && ok(r.Accelerators)
}

func (s *State) taskQueued(nowMs int64, e TaskQueued) {
	if e.Task == "" || e.Job.ID == "" || e.NextAttempt == 0 {
		return
	}
	if _, over := s.tombstones[e.Job.ID]; over {
		return
	}
	j := s.jobs[e.Job.ID]
	if j == nil {
		j = s.newJob(nowMs, e.Job)
	}
	t := s.tasks[e.Task]
	if t == nil {
		t = &task{id: e.Task, job: j}
		s.tasks[e.Task] = t
		j.tasks = append(j.tasks, t)
	}
	if t.job == nil {
		s.adoptTask(nowMs, t, j)
	}
	if t.job != j || j.cancelled || e.NextAttempt <= t.attempt || e.NextAttempt <= t.ended {
		return
	}
	switch t.phase {
	case phaseQueued, phaseProposed, phaseDelayed:
		if e.NextAttempt <= t.nextAttempt {
			return
		}
		s.withdraw(nowMs, t)
	case phaseRunning:
		// The caller queues a task again only after its last attempt ended; the event of that end may arrive later.
		t.ended = t.attempt
		s.release(nowMs, t)
	}
	t.nextAttempt, t.checkpointMs, t.queuedMs = e.NextAttempt, max(e.CheckpointMs, 0), nowMs
	s.enqueue(nowMs, t)
}

// jobFinished reports whether the task belongs to a job that has ended. A task's id is its job's id, '#' and an index.
func (s *State) jobFinished(id string) bool {
	i := strings.LastIndexByte(id, '#')
	if i < 0 {
		return false
	}
	_, over := s.tombstones[id[:i]]
	return over
}

func (s *State) newJob(nowMs int64, rec record.Job) *job {
	j := &job{rec: rec, cust: s.customerOf(rec.Customer), pending: true,
		class: s.classOf(nowMs, &rec), health: &jobHealth{}}
	j.cust.jobs++
	s.estimateLatestStart(j)
	s.jobs[rec.ID] = j
	s.admissions = append(s.admissions, j)
	return j
}

// adoptTask attaches a task that was started before its job was known to its job.
func (s *State) adoptTask(nowMs int64, t *task, j *job) {
	w := t.worker
	running := t.phase == phaseRunning
	if running {
		s.release(nowMs, t)
	}
	t.job = j
	j.tasks = append(j.tasks, t)
	if running {
		s.commit(nowMs, t, w, t.size, phaseRunning)
		s.superviseTask(t)
	}
}

// enqueue adds a task to its job's queue.
func (s *State) enqueue(nowMs int64, t *task) {
	j := t.job
	t.phase = phaseQueued
	j.waitingTasks++
	j.queued = append(j.queued, t)
	if j.admitted {
		s.queueJob(nowMs, j)
	}
}

// queueJob adds an admitted job with queued tasks to its customer's queue.
func (s *State) queueJob(nowMs int64, j *job) {
	if !j.waiting() || j.heap != nil {
		return
	}
	s.estimateLatestStart(j)
	if !j.countedQueued && j.rec.Kind != record.ServiceJob {
		j.countedQueued = true
		j.cust.queuedJobs++
	}
	j.cust.untried.add(j)
	s.activate(j.cust)
}

// estimateLatestStart sets the job's latest start.
func (s *State) estimateLatestStart(j *job) {
	if j.rec.DeadlineMs > 0 {
		j.latestStartMs = j.rec.DeadlineMs - j.expectedRunMs()
		return
	}
	// Short jobs go before long ones that were submitted slightly earlier: the wait is bounded in proportion to the run
	// time.
	j.latestStartMs = j.rec.SubmittedMs + min(s.cfg.NoDeadlineFactor*j.expectedRunMs(), s.cfg.NoDeadlineMs)
}

// withdraw removes a task from its queue or cancels its unconfirmed placement.
func (s *State) withdraw(nowMs int64, t *task) {
	switch t.phase {
	case phaseQueued:
		t.job.waitingTasks--
		s.uncountQueued(t.job)
	case phaseProposed:
		s.release(nowMs, t)
	}
	t.phase = phaseIdle
}

// uncountQueued removes a job without queued tasks from its customer's queuedJobs and counts it as dead in its heap.
func (s *State) uncountQueued(j *job) {
	if j.waitingTasks > 0 {
		return
	}
	if j.countedQueued {
		j.countedQueued = false
		j.cust.queuedJobs--
	}
	if j.heap != nil {
		j.heap.dead++
	}
}
