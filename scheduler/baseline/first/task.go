package first

import (
	"github.com/verbenakeel/verbenakeel/record"
	"github.com/verbenakeel/verbenakeel/scheduler"
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
	// reason is why the job's first queued task waits.
	reason string
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
}

// validSize reports whether no dimension is negative or so large that sums could overflow.
func validSize(r record.Resources) bool {
	const limit = int64(1) << 40
	ok := func(v int64) bool { return v >= 0 && v < limit }
	return ok(r.CPUMilli) && ok(r.MemoryMB) && ok(r.Accelerators)
}

func (s *State) taskQueued(nowMs int64, e scheduler.TaskQueued) {
	if e.Task == "" || e.Job.ID == "" || e.NextAttempt == 0 {
		return
	}
	if _, over := s.tombstones[e.Job.ID]; over {
		return
	}
	j := s.jobs[e.Job.ID]
	if j == nil {
		j = s.newJob(e.Job)
	}
	t := s.tasks[e.Task]
	if t == nil {
		t = &task{id: e.Task, job: j}
		s.tasks[e.Task] = t
		j.tasks = append(j.tasks, t)
	}
	if t.job == nil {
		s.adopt(t, j)
	}
	if t.job != j || j.cancelled || e.NextAttempt <= t.attempt || e.NextAttempt <= t.ended {
		return
	}
	switch t.phase {
	case phaseQueued, phaseProposed:
		if e.NextAttempt <= t.nextAttempt {
			return
		}
		s.withdraw(t)
	case phaseRunning:
		// The caller queues a task again only after its last attempt ended; the end itself may arrive later.
		t.ended = t.attempt
		s.release(t)
	}
	t.nextAttempt, t.checkpointMs, t.queuedMs = e.NextAttempt, max(e.CheckpointMs, 0), nowMs
	s.enqueue(t)
}

func (s *State) newJob(rec record.Job) *job {
	j := &job{rec: rec, cust: s.customerOf(rec.Customer), pending: true}
	s.jobs[rec.ID] = j
	s.admissions = append(s.admissions, j)
	return j
}

// adopt gives a task that was started before its job was known to its job.
func (s *State) adopt(t *task, j *job) {
	w := t.worker
	running := t.phase == phaseRunning
	if running {
		s.release(t)
	}
	t.job = j
	j.tasks = append(j.tasks, t)
	if running {
		s.commit(t, w, t.size, phaseRunning)
	}
}

// enqueue puts a task in its job's queue.
func (s *State) enqueue(t *task) {
	j := t.job
	t.phase = phaseQueued
	j.waitingTasks++
	j.queued = append(j.queued, t)
	if j.admitted {
		s.offer(j)
	}
}

// offer puts an admitted job with queued tasks in its customer's queue.
func (s *State) offer(j *job) {
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
		j.latestStartMs = j.rec.DeadlineMs - j.rec.RunMs
		return
	}
	j.latestStartMs = j.rec.SubmittedMs + s.cfg.NoDeadlineMs
}

// withdraw takes a task out of its queue, or back from the placement decided last.
func (s *State) withdraw(t *task) {
	switch t.phase {
	case phaseQueued:
		t.job.waitingTasks--
		s.uncount(t.job)
	case phaseProposed:
		s.release(t)
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

func (s *State) taskStarted(nowMs int64, st record.Start) {
	if st.Task == "" || st.Worker == "" || st.Attempt == 0 || !validSize(st.Size) {
		return
	}
	t := s.tasks[st.Task]
	if t == nil {
		t = &task{id: st.Task}
		s.tasks[st.Task] = t
	}
	if st.Attempt <= t.attempt || st.Attempt <= t.ended {
		return
	}
	if t.phase == phaseRunning {
		s.release(t)
	}
	s.withdraw(t)
	w := s.workers[st.Worker]
	if w == nil {
		w = &worker{id: st.Worker}
		s.workers[st.Worker] = w
		s.insertWorker(w)
	}
	t.attempt, t.startMs = st.Attempt, nowMs
	t.nextAttempt = max(t.nextAttempt, st.Attempt)
	s.commit(t, w, st.Size, phaseRunning)
}

// commit places a task on a worker.
func (s *State) commit(t *task, w *worker, size record.Resources, p phase) {
	t.worker, t.size, t.phase = w, size, p
	t.slot = len(w.tasks)
	w.tasks = append(w.tasks, t)
	w.committed = w.committed.Add(size)
	if t.job != nil {
		c := t.job.cust
		c.used = c.used.Add(size)
		if t.job.rec.Kind != record.ServiceJob {
			c.running++
		}
	}
}

// release takes a task off its worker.
func (s *State) release(t *task) {
	w := t.worker
	if w == nil {
		return
	}
	last := len(w.tasks) - 1
	w.tasks[t.slot] = w.tasks[last]
	w.tasks[t.slot].slot = t.slot
	w.tasks[last] = nil
	w.tasks = w.tasks[:last]
	w.committed = w.committed.Sub(t.size)
	if t.job != nil {
		c := t.job.cust
		c.used = c.used.Sub(t.size)
		if t.job.rec.Kind != record.ServiceJob {
			c.running--
		}
	}
	t.worker, t.phase = nil, phaseIdle
	s.freeGen++
}

func (s *State) taskEnded(nowMs int64, e record.End) {
	t := s.tasks[e.Task]
	if t == nil {
		if e.Task == "" || e.Attempt == 0 {
			return
		}
		t = &task{id: e.Task}
		s.tasks[e.Task] = t
	}
	if e.Attempt <= t.ended {
		return
	}
	t.ended = e.Attempt
	if t.phase == phaseRunning && t.attempt <= e.Attempt {
		s.release(t)
	}
	if (t.phase == phaseQueued || t.phase == phaseProposed) && t.nextAttempt <= e.Attempt {
		s.withdraw(t)
	}
	t.checkpointMs = max(t.checkpointMs, e.CheckpointMs)
	if t.job != nil && t.phase == phaseIdle && t.job.rec.Kind != record.BatchJob && !t.job.cancelled {
		t.nextAttempt, t.queuedMs = e.Attempt+1, nowMs
		s.enqueue(t)
	}
}

func (s *State) jobCancelled(id string) {
	j := s.jobs[id]
	if j == nil || j.cancelled {
		return
	}
	j.cancelled = true
	for _, t := range j.tasks {
		if t.phase == phaseQueued || t.phase == phaseProposed {
			s.withdraw(t)
		}
	}
	j.queued, j.head = nil, 0
}

func (s *State) jobDone(id string) {
	if id == "" {
		return
	}
	s.bury(id)
	j := s.jobs[id]
	if j == nil {
		return
	}
	s.jobCancelled(id)
	for _, t := range j.tasks {
		if t.phase == phaseRunning {
			s.release(t)
		}
		delete(s.tasks, t.id)
	}
	delete(s.jobs, id)
	if j.cust.contract == nil {
		delete(s.customers, j.cust.name)
	}
}
