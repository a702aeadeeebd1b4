package history

import (
	"slices"
	"strings"
	"time"

	"github.com/verbenakeel/verbenakeel/record"
)

// tasks is the state of the rules on tasks and jobs.
type tasks struct {
	workers         map[string]Worker
	committed       map[string]record.Resources
	running         map[string][]AttemptStart
	lastEnds        map[string]AttemptEnd
	highestAttempts map[string]uint32
	zoneOutSince    map[string]time.Duration
	accepted        map[string]JobAccepted
	states          map[string]JobState
	finalStates     map[string]JobState
}

func newTasks() tasks {
	return tasks{
		workers: map[string]Worker{}, committed: map[string]record.Resources{}, running: map[string][]AttemptStart{},
		lastEnds: map[string]AttemptEnd{}, highestAttempts: map[string]uint32{}, zoneOutSince: map[string]time.Duration{},
		accepted: map[string]JobAccepted{}, states: map[string]JobState{}, finalStates: map[string]JobState{},
	}
}

// jobOf returns the job of a task.
func jobOf(task string) string {
	return task[:max(0, strings.LastIndexByte(task, '#'))]
}

func (c *checker) onAttemptStart(e AttemptStart) {
	t := &c.tasks
	for _, other := range t.running[e.Task] {
		c.report(TaskOverlap, e.At, e.Task, "attempt %d starts on %s while attempt %d has been running on %s since %v",
			e.Attempt, e.Worker, other.Attempt, other.Worker, other.At)
	}
	t.running[e.Task] = append(t.running[e.Task], e)
	c.checkAttemptNumber(e)
	c.checkRestart(e)
	worker, ok := t.workers[e.Worker]
	if !ok {
		c.report(Malformed, e.At, e.Worker, "start of %s on an unknown worker", e.Task)
		return
	}
	if outSince, ok := t.zoneOutSince[worker.Zone]; ok && e.At > outSince+ZoneLimit {
		c.report(StartInZoneOut, e.At, e.Task, "started on %s in %s, out of service since %v", e.Worker, worker.Zone, outSince)
	}
	t.committed[e.Worker] = t.committed[e.Worker].Add(e.Size)
	if !t.committed[e.Worker].Fits(worker.Capacity) {
		c.report(OverCapacity, e.At, e.Worker, "%+v with %s, capacity is %+v", t.committed[e.Worker], e.Task, worker.Capacity)
	}
}

// checkAttemptNumber reports an attempt whose number is not higher than all earlier ones, for example because a start
// message arrived late.
func (c *checker) checkAttemptNumber(e AttemptStart) {
	if highest := c.tasks.highestAttempts[e.Task]; e.Attempt <= highest {
		c.report(ResumedTwice, e.At, e.Task, "attempt %d starts after attempt %d", e.Attempt, highest)
	}
	c.tasks.highestAttempts[e.Task] = max(c.tasks.highestAttempts[e.Task], e.Attempt)
}

// checkRestart reports a start after the task has finished. Long-running and service tasks are exempt, as they are
// restarted when they stop.
func (c *checker) checkRestart(e AttemptStart) {
	last, ok := c.tasks.lastEnds[e.Task]
	kind := c.tasks.accepted[jobOf(e.Task)].Kind
	if ok && last.Outcome == record.Finished && kind != record.StandingJob && kind != record.ServiceJob {
		c.report(ResumedTwice, e.At, e.Task, "attempt %d starts although attempt %d finished the task at %v",
			e.Attempt, last.Attempt, last.At)
	}
}

func (c *checker) onAttemptEnd(e AttemptEnd) {
	t := &c.tasks
	i := slices.IndexFunc(t.running[e.Task], func(s AttemptStart) bool {
		return s.Attempt == e.Attempt && s.Worker == e.Worker
	})
	if i < 0 {
		c.report(Malformed, e.At, e.Task, "end of attempt %d on %s without its start", e.Attempt, e.Worker)
		return
	}
	t.committed[e.Worker] = t.committed[e.Worker].Sub(t.running[e.Task][i].Size)
	t.running[e.Task] = slices.Delete(t.running[e.Task], i, i+1)
	t.lastEnds[e.Task] = e
}

func (c *checker) onCommitment(e Commitment) {
	worker, ok := c.tasks.workers[e.Worker]
	if !ok {
		c.report(Malformed, e.At, e.Worker, "commitment on an unknown worker")
	} else if !e.Committed.Fits(worker.Capacity) {
		c.report(OverCapacity, e.At, e.Worker, "%+v committed, capacity is %+v", e.Committed, worker.Capacity)
	}
}

// onZoneState records the first of repeated orders to take a zone out of service, so that a repeated order does not
// extend ZoneLimit.
func (c *checker) onZoneState(e ZoneState) {
	if !e.Out {
		delete(c.tasks.zoneOutSince, e.Zone)
	} else if _, ok := c.tasks.zoneOutSince[e.Zone]; !ok {
		c.tasks.zoneOutSince[e.Zone] = e.At
	}
}

func isFinal(state JobAccount) bool { return state != JobWaiting && state != JobRunning }

func (c *checker) onJobState(e JobState) {
	t := &c.tasks
	t.states[e.Job] = e
	if !isFinal(e.State) {
		return
	}
	if f, ok := t.finalStates[e.Job]; ok && f.State != e.State {
		c.report(JobAccountChanged, e.At, e.Job, "reported as %s, but as %s at %v", e.State, f.State, f.At)
		return
	}
	t.finalStates[e.Job] = e
}

func (c *checker) finishTasks() {
	t := &c.tasks
	for job, accepted := range t.accepted {
		if _, ok := t.states[job]; !ok {
			c.report(JobUnaccounted, accepted.At, job, "no state was reported after acceptance")
		}
	}
	for job, state := range t.states {
		if f, ok := t.finalStates[job]; ok && !isFinal(state.State) {
			c.report(JobAccountChanged, state.At, job, "last reported as %s, but as %s at %v", state.State, f.State, f.At)
		}
	}
	for task, end := range t.lastEnds {
		c.checkEvictionResumed(task, end)
	}
}

// hasRunningReplica reports whether any task of the job is running at the end of the history. A service replica whose
// worker was unresponsive is replaced by a task with a new id, and a surplus replica is stopped.
func (c *checker) hasRunningReplica(job string) bool {
	for task, attempts := range c.tasks.running {
		if jobOf(task) == job && len(attempts) > 0 {
			return true
		}
	}
	return false
}

// checkEvictionResumed reports a task whose last attempt was evicted, unless its job is waiting or ended without it.
func (c *checker) checkEvictionResumed(task string, end AttemptEnd) {
	evicted := end.Outcome == record.Checkpointed || end.Outcome == record.Stopped || end.Outcome == record.LeaseExpired
	if !evicted || len(c.tasks.running[task]) > 0 {
		return
	}
	if c.tasks.accepted[jobOf(task)].Kind == record.ServiceJob && c.hasRunningReplica(jobOf(task)) {
		return
	}
	switch state := c.tasks.states[jobOf(task)].State; state {
	case JobWaiting, JobCancelled, JobFailed, JobLost:
	default:
		c.report(NotResumed, end.At, task, "attempt %d was %s on %s, but the job is reported as %q",
			end.Attempt, end.Outcome, end.Worker, state)
	}
}
