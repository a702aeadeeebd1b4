package scheduler

import (
	"fmt"
	"strings"

	"github.com/cenkalti/backoff/v5"

	"github.com/verbenakeel/verbenakeel/record"
)

// phase is where a task is in the policy's view.
type phase int

const (
	// phaseIdle tasks are known and neither wait nor run.
	phaseIdle phase = iota
	// phaseQueued tasks wait.
	phaseQueued
	// phaseProposed tasks were placed by the last Decide; the start is not confirmed.
	phaseProposed
	// phaseDelayed tasks wait for their backoff to pass.
	phaseDelayed
	// phaseRunning tasks run, or may run on a worker out of contact.
	phaseRunning
)

// job is a job with tasks that wait or run.
type job struct {
	rec  record.Job
	cust *customer
	// queued holds waiting tasks in the order in which they were queued; head is the first one.
	queued []*task
	head   int
	// waitingTasks counts tasks in phaseQueued.
	waitingTasks int
	// tasks holds all known tasks of the job.
	tasks []*task
	// latestStartMs is the latest start that meets the deadline, by the expected run time.
	latestStartMs int64
	// in is the heap that holds the job, if any.
	in *jobHeap
	// admitted is true once the job passed admission, pending while it waits for it.
	admitted, pending bool
	// counted is true while the job counts as queued for its customer.
	counted bool
	// refusal is why the job can never run; empty if it may.
	refusal string
	// refusedMs is when the refusal was last decided.
	refusedMs int64
	// cancelled is true after JobCancelled.
	cancelled bool
	// why is why the job's first queued task waits.
	why    why
	class  *class
	health *jobHealth
	// evictions counts evictions of its tasks.
	evictions int
	// blockedMs is since when the job finds no room although it is owed some; 0 if it is not blocked.
	blockedMs int64
	// askedMs is when it found no room last although it is owed some.
	askedMs int64
	// nominated is the worker on which room is kept for the job; reclaimMs is when tasks were last evicted for it.
	nominated          *worker
	reclaimMs, triedMs int64
	// riskWatched is true once the deadline is watched; the others once the alert was given.
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
	// attempt is the attempt that runs, ended the highest that ended, nextAttempt the one to start.
	attempt, ended, nextAttempt uint32
	checkpointMs                int64
	// worker holds the attempt that runs or is proposed.
	worker *worker
	// slot is the task's place in worker.tasks.
	slot int
	// size is what is committed.
	size     record.Resources
	queuedMs int64
	startMs  int64
	// causes holds the newest causes of decisions on the task, oldest first.
	causes []string
	// shareMilli is the share it is throttled to, decided at throttledMs and to be repeated throttleRepeats times.
	shareMilli      int64
	throttledMs     int64
	throttleRepeats int
	// evictMs is when the eviction of the running attempt was decided; 0 if it was not.
	evictMs   int64
	evictions int
	// reportedCPU is the processor use in the worker's report measured at reportedMs.
	reportedCPU, reportedMs int64
	// addedCPU is the processor use of the attempt that its class learned from last.
	addedCPU int64
	// cpuSum and cpuCount give the mean processor use since the class learned from it last.
	cpuSum, cpuCount int64
	// speedSum and speedCount give the mean speed of the running attempt.
	speedSum, speedCount int64
	// sampleMs is when the attempt was last measured, progressMs when it was last seen to progress.
	sampleMs, progressMs int64
	// slow is the slowdown reported last, expectedSlow the one expected by what was learned.
	slow, expectedSlow float64
	// loadFactor is the undisturbed latency of a service replica at its present load over the usual one.
	loadFactor float64
	// unproven is true until the attempt is seen to run; measured is true once its size was learned from.
	unproven, measured bool
	// hung, silent and watched belong to the supervision of standing tasks.
	hung, silent, watched bool
	// trial is true when the attempt is a trial of a worker on probation.
	trial       bool
	avoid       []string
	backoff     *backoff.ExponentialBackOff
	notBeforeMs int64
}

// maxCauses bounds the causes kept per task.
const maxCauses = 8

func (t *task) because(format string, args ...any) {
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
		s.adopt(nowMs, t, j)
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
		// The caller queues a task again only after its last attempt ended; the end itself may arrive later.
		t.ended = t.attempt
		s.release(nowMs, t)
	}
	t.nextAttempt, t.checkpointMs, t.queuedMs = e.NextAttempt, max(e.CheckpointMs, 0), nowMs
	s.enqueue(nowMs, t)
}

// isOver reports whether the task belongs to a job that is over. A task's id is its job's id, '#' and an index.
func (s *State) isOver(id string) bool {
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
	s.estimate(j)
	s.jobs[rec.ID] = j
	s.admissions = append(s.admissions, j)
	return j
}

// adopt gives a task that was started before its job was known to its job.
func (s *State) adopt(nowMs int64, t *task, j *job) {
	w := t.worker
	running := t.phase == phaseRunning
	if running {
		s.release(nowMs, t)
	}
	t.job = j
	j.tasks = append(j.tasks, t)
	if running {
		s.commit(nowMs, t, w, t.size, phaseRunning)
		s.watch(t)
	}
}

// enqueue puts a task in its job's queue.
func (s *State) enqueue(nowMs int64, t *task) {
	j := t.job
	t.phase = phaseQueued
	j.waitingTasks++
	j.queued = append(j.queued, t)
	if j.admitted {
		s.offer(nowMs, j)
	}
}

// offer puts an admitted job with queued tasks in its customer's queue.
func (s *State) offer(nowMs int64, j *job) {
	if !j.waiting() || j.in != nil {
		return
	}
	s.estimate(j)
	if !j.counted && j.rec.Kind != record.ServiceJob {
		j.counted = true
		j.cust.queuedJobs++
	}
	j.cust.fresh.add(j)
	s.activate(j.cust)
}

// estimate sets the job's latest start.
func (s *State) estimate(j *job) {
	if j.rec.DeadlineMs > 0 {
		j.latestStartMs = j.rec.DeadlineMs - j.expectedRunMs()
		return
	}
	// Short jobs go before long ones that were submitted a little earlier: the wait is bounded in proportion to the run.
	j.latestStartMs = j.rec.SubmittedMs + min(s.cfg.NoDeadlineFactor*j.expectedRunMs(), s.cfg.NoDeadlineMs)
}

// withdraw takes a task out of its queue, or back from the placement decided last.
func (s *State) withdraw(nowMs int64, t *task) {
	switch t.phase {
	case phaseQueued:
		t.job.waitingTasks--
		s.uncount(t.job)
	case phaseProposed:
		s.release(nowMs, t)
	}
	t.phase = phaseIdle
}

// uncount stops counting a job without queued tasks as queued.
func (s *State) uncount(j *job) {
	if j.waitingTasks > 0 {
		return
	}
	if j.counted {
		j.counted = false
		j.cust.queuedJobs--
	}
	if j.in != nil {
		j.in.dead++
	}
}
