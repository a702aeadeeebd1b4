package scheduler

import (
	"github.com/verbenakeel/verbenakeel/record"
)

func (s *State) taskStarted(nowMs int64, st record.Start) {
	if st.Task == "" || st.Worker == "" || st.Attempt == 0 || !validSize(st.Size) {
		return
	}
	t := s.tasks[st.Task]
	if t == nil {
		if s.jobFinished(st.Task) {
			return
		}
		t = &task{id: st.Task}
		s.tasks[st.Task] = t
	}
	if st.Attempt <= t.attempt || st.Attempt <= t.ended {
		return
	}
	if t.phase == phaseRunning {
		s.release(nowMs, t)
	}
	s.withdraw(nowMs, t)
	w := s.workers[st.Worker]
	if w == nil {
		w = newWorker(st.Worker)
		s.workers[st.Worker] = w
		s.insertWorker(w)
	}
	t.attempt, t.startMs = st.Attempt, nowMs
	t.speedSum, t.speedCount, t.sampleMs, t.progressMs, t.slowdown = 0, 0, 0, 0, 0
	t.lastLearnedCPU, t.reportedCPU, t.reportedMs = 0, 0, -1
	t.cpuSum, t.cpuCount, t.loadFactor = 0, 0, 1
	t.evictMs, t.shareMilli, t.throttleRepeats = 0, fullShare, 0
	t.hung, t.lostAlerted, t.trial, t.measured = false, false, w.probation, false
	if w.probation {
		w.trial = true
	}
	t.nextAttempt = max(t.nextAttempt, st.Attempt)
	s.commit(nowMs, t, w, st.Size, phaseRunning)
	s.superviseTask(t)
	if j := t.job; j != nil {
		if j.class.firstStartMs == 0 {
			j.class.firstStartMs = nowMs
		}
		j.blockedSinceMs, j.reclaimMs, j.cust.startedMs = 0, 0, nowMs
		if j.nominated != nil && j.nominated.nominee == j {
			j.nominated.nominee = nil
		}
		j.nominated = nil
	}
}

// superviseTask starts the supervision of a running long-running task.
func (s *State) superviseTask(t *task) {
	if t.job != nil && t.job.rec.Kind == record.StandingJob && !t.supervised {
		t.supervised = true
		s.longRunning = append(s.longRunning, t)
	}
}

// commit reserves capacity on a worker for a task.
func (s *State) commit(nowMs int64, t *task, w *worker, size record.Resources, p phase) {
	t.worker, t.size, t.phase = w, size, p
	t.slot = len(w.tasks)
	w.tasks = append(w.tasks, t)
	w.committed = w.committed.Add(size)
	s.free.update(w)
	w.sinceReport += size.CPUMilli
	w.stale, t.unverified, t.shareMilli = true, true, fullShare
	w.unverified++
	if t.job != nil {
		t.job.class.running++
		c := t.job.cust
		c.used = c.used.Add(size)
		if t.job.rec.Urgent {
			c.urgent++
		}
		if t.job.rec.Kind != record.ServiceJob {
			c.running++
		}
	}
}

// release removes a task from its worker and frees what was committed for it.
func (s *State) release(nowMs int64, t *task) {
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
	s.free.update(w)
	w.stale = true
	if t.phase == phaseRunning && t.causesInterference() {
		t.job.class.learnMean(t)
		w.recordPastRun(nowMs, t)
	}
	if t.unverified {
		t.unverified = false
		w.unverified--
	}
	if t.trial {
		t.trial, w.trial = false, false
	}
	// The task's usage is subtracted from the worker's load at once; the next report may be seconds away.
	switch {
	case t.phase == phaseProposed || t.startMs > w.reportMs:
		w.sinceReport = max(w.sinceReport-t.size.CPUMilli, 0)
	case t.reportedMs == w.reportMs:
		w.usedCPU = max(w.usedCPU-t.reportedCPU, 0)
	}
	if t.job != nil {
		t.job.class.running--
		c := t.job.cust
		c.used = c.used.Sub(t.size)
		if t.job.rec.Urgent {
			c.urgent--
		}
		if t.job.rec.Kind != record.ServiceJob {
			c.running--
		}
	}
	t.worker, t.phase = nil, phaseIdle
	s.capacityGen++
}

func (s *State) taskEnded(nowMs int64, e record.End) {
	t := s.tasks[e.Task]
	if t == nil {
		if e.Task == "" || e.Attempt == 0 || s.jobFinished(e.Task) {
			return
		}
		t = &task{id: e.Task}
		s.tasks[e.Task] = t
	}
	if e.Attempt <= t.ended {
		return
	}
	t.ended = e.Attempt
	w, ranMs := t.worker, int64(0)
	if t.phase == phaseRunning && t.attempt <= e.Attempt {
		ranMs = nowMs - t.startMs
		s.recordOutcome(nowMs, w, t, e.Outcome)
		if e.Outcome == record.Finished && t.job != nil && t.job.rec.Kind == record.BatchJob {
			// Time at reduced speed counts in proportion to the speed.
			ran := e.RanMs
			if ran <= 0 {
				ran = ranMs
			}
			t.job.class.learnRun(t.job.rec.RunMs, t.checkpointMs+ran*t.speedMilli()/fullShare)
		}
		s.release(nowMs, t)
	}
	if (t.phase == phaseQueued || t.phase == phaseProposed || t.phase == phaseDelayed) && t.nextAttempt <= e.Attempt {
		s.withdraw(nowMs, t)
	}
	t.checkpointMs = max(t.checkpointMs, e.CheckpointMs)
	if t.attempt <= e.Attempt {
		s.longRunningEnded(nowMs, t, e, ranMs)
	}
}

func (s *State) jobCancelled(nowMs int64, id string) {
	j := s.jobs[id]
	if j == nil || j.cancelled {
		return
	}
	j.cancelled = true
	for _, t := range j.tasks {
		if t.phase == phaseQueued || t.phase == phaseProposed || t.phase == phaseDelayed {
			s.withdraw(nowMs, t)
		}
	}
	j.queued, j.head = nil, 0
}

func (s *State) jobDone(nowMs int64, id string) {
	if id == "" {
		return
	}
	s.addTombstone(id)
	j := s.jobs[id]
	if j == nil {
		return
	}
	s.jobCancelled(nowMs, id)
	for _, t := range j.tasks {
		if t.phase == phaseRunning {
			s.release(nowMs, t)
		}
		delete(s.tasks, t.id)
	}
	delete(s.jobs, id)
	if j.cust.jobs--; j.cust.jobs == 0 && j.cust.contract == nil {
		delete(s.customers, j.cust.name)
	}
}
