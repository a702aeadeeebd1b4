package history

import (
	"slices"
	"strings"
	"time"

	"github.com/verbenakeel/verbenakeel/record"
)

// tasks is the state of the rules on tasks and jobs.
type tasks struct {
	workers  map[string]Worker
	used     map[string]record.Resources
	running  map[string][]AttemptStart
	last     map[string]AttemptEnd
	highest  map[string]uint32
	zoneOut  map[string]time.Duration
	accepted map[string]JobAccepted
	states   map[string]JobState
	final    map[string]JobState
}

func newTasks() tasks {
	return tasks{
		workers: map[string]Worker{}, used: map[string]record.Resources{}, running: map[string][]AttemptStart{},
		last: map[string]AttemptEnd{}, highest: map[string]uint32{}, zoneOut: map[string]time.Duration{},
		accepted: map[string]JobAccepted{}, states: map[string]JobState{}, final: map[string]JobState{},
	}
}

// jobOf returns the job of a task.
func jobOf(task string) string {
	return task[:max(0, strings.LastIndexByte(task, '#'))]
}

func (c *checker) attemptStart(e AttemptStart) {
	t := &c.tasks
	for _, other := range t.running[e.Task] {
		c.report(TaskOverlap, e.At, e.Task, "attempt %d starts on %s while attempt %d runs on %s since %v",
			e.Attempt, e.Worker, other.Attempt, other.Worker, other.At)
	}
	t.running[e.Task] = append(t.running[e.Task], e)
	c.checkNumber(e)
	c.checkResume(e)
	worker, ok := t.workers[e.Worker]
	if !ok {
		c.report(Malformed, e.At, e.Worker, "start of %s on a worker that was not introduced", e.Task)
		return
	}
	if out, ok := t.zoneOut[worker.Zone]; ok && e.At > out+ZoneLimit {
		c.report(StartInZoneOut, e.At, e.Task, "started on %s in %s, which is out since %v", e.Worker, worker.Zone, out)
	}
	t.used[e.Worker] = t.used[e.Worker].Add(e.Size)
	if !t.used[e.Worker].Fits(worker.Capacity) {
		c.report(OverCapacity, e.At, e.Worker, "%+v runs with %s, capacity is %+v", t.used[e.Worker], e.Task, worker.Capacity)
	}
}

// checkNumber reports an attempt whose number is not above all earlier ones, for example by a late start message.
func (c *checker) checkNumber(e AttemptStart) {
	if highest := c.tasks.highest[e.Task]; e.Attempt <= highest {
		c.report(ResumedTwice, e.At, e.Task, "attempt %d starts after attempt %d", e.Attempt, highest)
	}
	c.tasks.highest[e.Task] = max(c.tasks.highest[e.Task], e.Attempt)
}

// checkResume reports a start after the task was done. Standing and service tasks are restarted when they stop.
func (c *checker) checkResume(e AttemptStart) {
	last, ok := c.tasks.last[e.Task]
	kind := c.tasks.accepted[jobOf(e.Task)].Kind
	if ok && last.Outcome == record.Finished && kind != record.StandingJob && kind != record.ServiceJob {
		c.report(ResumedTwice, e.At, e.Task, "attempt %d starts although attempt %d finished the task at %v",
			e.Attempt, last.Attempt, last.At)
	}
}

func (c *checker) attemptEnd(e AttemptEnd) {
	t := &c.tasks
	i := slices.IndexFunc(t.running[e.Task], func(s AttemptStart) bool {
		return s.Attempt == e.Attempt && s.Worker == e.Worker
	})
	if i < 0 {
		c.report(Malformed, e.At, e.Task, "end of attempt %d on %s without its start", e.Attempt, e.Worker)
		return
	}
	t.used[e.Worker] = t.used[e.Worker].Sub(t.running[e.Task][i].Size)
	t.running[e.Task] = slices.Delete(t.running[e.Task], i, i+1)
	t.last[e.Task] = e
}

func (c *checker) commitment(e Commitment) {
	worker, ok := c.tasks.workers[e.Worker]
	if !ok {
		c.report(Malformed, e.At, e.Worker, "commitment on a worker that was not introduced")
	} else if !e.Committed.Fits(worker.Capacity) {
		c.report(OverCapacity, e.At, e.Worker, "%+v committed, capacity is %+v", e.Committed, worker.Capacity)
	}
}

// zoneState keeps the first of repeated orders to take a zone out.
func (c *checker) zoneState(e ZoneState) {
	if !e.Out {
		delete(c.tasks.zoneOut, e.Zone)
	} else if _, ok := c.tasks.zoneOut[e.Zone]; !ok {
		c.tasks.zoneOut[e.Zone] = e.At
	}
}

func isFinal(state JobAccount) bool { return state != JobWaiting && state != JobRunning }

func (c *checker) jobState(e JobState) {
	t := &c.tasks
	t.states[e.Job] = e
	if !isFinal(e.State) {
		return
	}
	if f, ok := t.final[e.Job]; ok && f.State != e.State {
		c.report(JobAccountChanged, e.At, e.Job, "accounted as %s, and as %s at %v", e.State, f.State, f.At)
		return
	}
	t.final[e.Job] = e
}

func (c *checker) finishTasks() {
	t := &c.tasks
	for job, accepted := range t.accepted {
		if _, ok := t.states[job]; !ok {
			c.report(JobUnaccounted, accepted.At, job, "no state was reported after acceptance")
		}
	}
	for job, state := range t.states {
		if f, ok := t.final[job]; ok && !isFinal(state.State) {
			c.report(JobAccountChanged, state.At, job, "last accounted as %s, and as %s at %v", state.State, f.State, f.At)
		}
	}
	for task, end := range t.last {
		c.checkResumed(task, end)
	}
}

// replicaRuns reports whether any task of the job runs at the end. A service replica whose worker was silent is replaced
// by a task with a new id, and a surplus replica is closed.
func (c *checker) replicaRuns(job string) bool {
	for task, attempts := range c.tasks.running {
		if jobOf(task) == job && len(attempts) > 0 {
			return true
		}
	}
	return false
}

// checkResumed reports a task whose last attempt was evicted, unless its job still waits or ended without it.
func (c *checker) checkResumed(task string, end AttemptEnd) {
	evicted := end.Outcome == record.Checkpointed || end.Outcome == record.Stopped || end.Outcome == record.Lapsed
	if !evicted || len(c.tasks.running[task]) > 0 {
		return
	}
	if c.tasks.accepted[jobOf(task)].Kind == record.ServiceJob && c.replicaRuns(jobOf(task)) {
		return
	}
	switch state := c.tasks.states[jobOf(task)].State; state {
	case JobWaiting, JobCancelled, JobFailed, JobLost:
	default:
		c.report(NotResumed, end.At, task, "attempt %d was %s on %s and the job is accounted as %q",
			end.Attempt, end.Outcome, end.Worker, state)
	}
}
