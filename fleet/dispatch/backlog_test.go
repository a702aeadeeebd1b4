package dispatch

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/fleet/admission"
	"github.com/verbenakeel/verbenakeel/fleet/link"
	"github.com/verbenakeel/verbenakeel/fleet/work"
)

// admissionLoad submits jobs as callers do, whose entry decides by the stored backlog.
type admissionLoad struct {
	sim *simulation
	// admit is false where everything is accepted.
	admit bool
	// reserved makes long jobs reserve CPU instead of being best-effort.
	reserved bool
	n        int
	// owed is the work in core-milliseconds that is to be submitted.
	owed float64
	jobs []loadSubmission
}

// loadSubmission is a submission and the decision on it.
type loadSubmission struct {
	id              string
	atMs, limitMs   int64
	work            float64
	urgent, refused bool
	retryAfterS     int
}

const (
	loadWorkers = 8
	loadCores   = 4 * loadWorkers
)

func newAdmissionLoad(t *testing.T, admit bool) *admissionLoad {
	sim := newConnectedSimulation(t, loadWorkers)
	sim.options.PublishBacklog = true
	sim.electDecider()
	for range 40 {
		sim.advance()
	}
	return &admissionLoad{sim: sim, admit: admit}
}

// submit submits a job unless it is refused.
func (l *admissionLoad) submit(q work.Queue, steps []work.Step, urgent bool) {
	l.n++
	j := &work.Job{ID: jobID(l.n), Queue: q, Steps: steps}
	var b *admission.Backlog
	if len(l.sim.backlog) > 0 {
		var err error
		b, err = admission.Decode(l.sim.backlog)
		assert.NilError(l.sim.t, err)
	}
	s := loadSubmission{id: j.ID, atMs: l.sim.now, urgent: urgent}
	for i := range steps {
		s.work += declaredWork(&steps[i]) * float64(steps[i].Count)
		s.limitMs += steps[i].EstMs // the steps form a chain
	}
	s.limitMs = lateFactor * (int64(q.Stretch*float64(s.limitMs)) + q.TargetMs)
	if l.admit {
		d := admission.Decide(b, j, &q, l.sim.now-l.sim.backlogAt)
		s.refused, s.retryAfterS = d.Refused, d.RetryAfterS
	}
	l.jobs = append(l.jobs, s)
	if !s.refused {
		l.sim.submit(j)
	}
}

// run submits long jobs of priority 2 with the given multiple of all cores for some time, beside short jobs of
// priority 0, which use a tenth of the cores as reserved CPU and a twentieth as best-effort tasks.
func (l *admissionLoad) run(ms int64, factor float64) {
	long := work.Queue{Name: "long", Service: "app", Priority: 2, Attempts: 30, Stretch: 1.5, TargetMs: 500}
	short := work.Queue{Name: "short", Service: "app", Priority: 0, Attempts: 30, Stretch: 1.5, TargetMs: 250}
	for end := l.sim.now + ms; l.sim.now < end; l.sim.advance() {
		for l.owed += factor * loadCores * stepMs; l.owed > 0; l.owed -= l.jobs[len(l.jobs)-1].work {
			count := 1 + l.sim.rng.IntN(4)
			if l.sim.rng.IntN(8) == 0 {
				count = 20
			}
			step := work.Step{Count: count, CPU: 1000, MemMB: 50, EstMs: int64(800 + l.sim.rng.IntN(800)), BestEffort: !l.reserved, Image: "f"}
			second := step
			second.DependsOn = []int{0}
			l.submit(long, []work.Step{step, second}, false)
		}
		if l.sim.now%400 == 0 {
			l.submit(short, []work.Step{{Count: 5, CPU: 320, MemMB: 20, EstMs: 800}}, true)
			l.submit(short, []work.Step{{Count: 2, CPU: 400, MemMB: 20, EstMs: 800, BestEffort: true, Image: "f"}}, true)
		}
	}
}

// refusedShare returns the refused share of the jobs from an index on that a condition holds for, and their number.
func (l *admissionLoad) refusedShare(from int, of func(*loadSubmission) bool) (share float64, n int) {
	refused := 0
	for i := range l.jobs[from:] {
		j := &l.jobs[from+i]
		if !of(j) {
			continue
		}
		n++
		if j.refused {
			refused++
		}
	}
	return float64(refused) / float64(max(n, 1)), n
}

func isLong(j *loadSubmission) bool { return !j.urgent }

// Guards against refusals of short urgent jobs because of long ones of lower priority, and against refusals that follow the
// size of a job. Load: long jobs at three times the cores, as a burst of turbine monitoring that lasts (best-effort), and
// jobs that wait for cores beside long-running ones, as on music previews (reserved).
func TestBurstRefusesLongJobsOnly(t *testing.T) {
	for _, reserved := range []bool{false, true} {
		t.Run(fmt.Sprintf("reserved=%t", reserved), func(t *testing.T) {
			all := &admissionLoad{}
			for seed := range uint64(4) {
				l := newAdmissionLoad(t, true)
				l.reserved, l.sim.rng = reserved, rand.New(rand.NewPCG(seed, 2))
				l.run(60_000, 3)
				all.jobs = append(all.jobs, l.jobs...)
			}
			all.checkWhoIsRefused(t)
		})
	}
}

// checkWhoIsRefused checks the refused shares by priority and size.
func (l *admissionLoad) checkWhoIsRefused(t *testing.T) {
	all, n := l.refusedShare(0, isLong)
	urgent, urgents := l.refusedShare(0, func(j *loadSubmission) bool { return j.urgent })
	works := make([]float64, 0, n)
	for _, j := range l.jobs {
		if isLong(&j) {
			works = append(works, j.work)
		}
	}
	slices.SortFunc(works, func(a, b float64) int { return cmp.Compare(b, a) })
	largest, larger := works[len(works)/10], works[3*len(works)/10]
	tenth, tenths := l.refusedShare(0, func(j *loadSubmission) bool { return isLong(j) && j.work >= largest })
	fifth, fifths := l.refusedShare(0, func(j *loadSubmission) bool { return isLong(j) && j.work < largest && j.work >= larger })
	t.Logf("refused: %.2f of %d long jobs, %.2f of the %d largest, %.2f of the %d below, %.2f of %d urgent", all, n, tenth, tenths, fifth, fifths, urgent, urgents)
	assert.Assert(t, all > 0.2, "hardly any job was refused")
	assert.Equal(t, urgent, 0.0)
	assert.Assert(t, tenth <= 2*all && fifth <= 2*all, "large jobs are refused more than twice as often as all")
	assert.Assert(t, 1-tenth >= (1-all)/2 && 1-fifth >= (1-all)/2, "large jobs are accepted less than half as often as all")
	for _, j := range l.jobs {
		assert.Assert(t, !j.refused || j.retryAfterS >= 1 && j.retryAfterS <= 30)
	}
}

// Guards against refusals that do not help the jobs that are accepted: with them, fewer accepted jobs may end too late to be
// of use, and no less work in time. Load: long best-effort jobs at twice the cores.
func TestAcceptedJobsEndInTime(t *testing.T) {
	tooLate, inTime := map[bool]int{}, map[bool]float64{}
	for _, admit := range []bool{false, true} {
		l := newAdmissionLoad(t, admit)
		ended := map[string]int64{}
		for range 60 {
			l.run(1000, 2)
			maps.Copy(ended, l.sim.state.finished)
		}
		for _, j := range l.jobs {
			at, ok := ended[j.id]
			switch {
			case j.refused:
			case ok && at-j.atMs <= j.limitMs:
				inTime[admit] += j.work
			case l.sim.now-j.atMs > j.limitMs:
				tooLate[admit]++
			}
		}
	}
	t.Logf("too late: %d accepted jobs, %d without refusals; in time: %.0f core-ms of work, %.0f without", tooLate[true], tooLate[false], inTime[true], inTime[false])
	assert.Assert(t, tooLate[true] < tooLate[false]/2)
	assert.Assert(t, inTime[true] >= inTime[false])
}

// Guards against refusals that go on after the overload, and against a backlog that stays in the store.
func TestRefusalsEndWithOverload(t *testing.T) {
	l := newAdmissionLoad(t, true)
	l.run(40_000, 3)
	share, _ := l.refusedShare(0, isLong)
	assert.Assert(t, share > 0, "nothing was refused")
	from := len(l.jobs)
	l.run(20_000, 0.3)
	share, n := l.refusedShare(from, isLong)
	t.Logf("refused in the 20 s after the overload: %.2f of %d long jobs", share, n)
	from = len(l.jobs)
	l.run(60_000, 0.3)
	share, n = l.refusedShare(from, isLong)
	assert.Equal(t, share, 0.0, "of %d jobs", n)
	assert.Equal(t, len(l.sim.backlog), 0, "the backlog is still stored")
}

// Guards against refusals and records where there is room for everything.
func TestNoBacklogWithoutOverload(t *testing.T) {
	l := newAdmissionLoad(t, true)
	l.run(40_000, 0.4)
	share, _ := l.refusedShare(0, func(*loadSubmission) bool { return true })
	assert.Equal(t, share, 0.0)
}

// Guards against a record of an earlier decider that stays although the next one has measured nothing, against a next one
// that publishes none, and against more than two records a second.
func TestNextDeciderReplacesBacklog(t *testing.T) {
	l := newAdmissionLoad(t, true)
	l.run(30_000, 3)
	assert.Assert(t, len(l.sim.backlog) > 0, "the decider published no backlog")
	l.sim.electDecider()
	for range 6 {
		l.sim.advance()
	}
	assert.Equal(t, len(l.sim.backlog), 0, "the record of the earlier decider was not removed")
	records, before := 0, l.sim.backlogAt
	for range 10 {
		l.run(1000, 3)
		if l.sim.backlogAt != before {
			records, before = records+1, l.sim.backlogAt
		}
	}
	assert.Assert(t, records >= 5 && len(l.sim.backlog) > 0, "the next decider published %d times", records)
	stored := &l.sim.state.backlog
	stored.rows, stored.sampledMs = slices.Clone(stored.rows), stored.storedMs
	_, due := l.sim.state.backlogRecord()
	assert.Assert(t, !due, "the same sample was stored twice")
	stored.sampledMs += backlogIntervalMs
	stored.rows = slices.Clone(stored.storedRows)
	_, due = l.sim.state.backlogRecord()
	assert.Assert(t, !due, "an unchanged backlog was stored again at once")
	stored.rows[0].WaitMs *= 2
	_, due = l.sim.state.backlogRecord()
	assert.Assert(t, due, "a changed backlog was not stored")
}

// Guards against a wait that is derived from the capacity during an outage: workers that cannot be reached come back within
// seconds, and nearly every job would be refused meanwhile.
func TestNoBacklogWhileMostWorkersAreAway(t *testing.T) {
	l := newAdmissionLoad(t, true)
	l.run(30_000, 3)
	assert.Assert(t, len(l.sim.backlog) > 0, "the decider published no backlog")
	for _, sw := range l.sim.workers[:loadWorkers/2+1] {
		sw.connected, sw.disconnectedUntil = false, l.sim.now+20_000
		l.sim.step(SideDisconnected{Instance: sw.instance})
	}
	l.run(1500, 3)
	assert.Equal(t, len(l.sim.backlog), 0)
}

// Guards against one job that no worker can run, or that waits for a certain worker, and that makes entries refuse others.
func TestJobWithoutWorkerIsNoBacklog(t *testing.T) {
	l := newAdmissionLoad(t, true)
	q := work.Queue{Name: "q", Service: "app", Priority: 0, Attempts: 3, Stretch: 1, TargetMs: 100}
	for _, step := range []work.Step{{CPU: 100, MemMB: 1 << 30}, {CPU: 100, MemMB: 1, Requires: "none"}, {CPU: 1 << 30, MemMB: 1}} {
		step.Count, step.EstMs, step.BestEffort = 500, 5000, true
		l.submit(q, []work.Step{step}, false)
	}
	l.run(15_000, 0.3)
	share, _ := l.refusedShare(0, func(*loadSubmission) bool { return true })
	assert.Equal(t, share, 0.0)
	assert.Equal(t, len(l.sim.state.backlog.rows), 0)
}

// Guards against new work that is refused because of work that is of no use any more, which it goes before: under the order
// by scarcity such work is of another class if none of it has begun.
func TestHopelessWorkIsNoLackOfRoom(t *testing.T) {
	for _, order := range []Order{OrderDeadline, OrderScarcity} {
		sim := newConnectedSimulation(t, 1)
		s := sim.state
		s.options.Order, s.backlog.enabled = order, true
		submit := func(n int, estMs int64) *job {
			sim.submit(&work.Job{ID: jobID(n), Steps: []work.Step{{Count: 1, CPU: sim.workers[0].info.CPU, MemMB: 10, EstMs: estMs}}})
			return s.jobs[jobID(n)]
		}
		run := func() {
			for range 3000 / stepMs {
				sim.advance()
			}
		}
		submit(1, 60_000)
		run()
		hopeless := submit(2, 400)
		hopeless.dueMs -= 2 * lateFactor * hopeless.objectiveMs
		run()
		assert.Equal(t, len(s.backlog.rows), 0, "order %d: %+v", order, s.backlog.rows)
		submit(3, 10_000)
		run()
		assert.Assert(t, len(s.backlog.rows) > 0, "order %d: work of use waits", order)
	}
}

// Guards against work of the time of an earlier decider that counts as done under this one: the first waits that it published
// were too short.
func TestProgressBeforeTakeoverIsNotMeasured(t *testing.T) {
	s, st, _ := newRunningStep(t, 1000)
	s.backlog.enabled = true
	st.tasks[0].orderedMs, st.tasks[1].orderedMs = 0, s.now.BootMs
	for i := range 2 {
		st.tasks[i].phase = starting
		s.updateRun(&st.tasks[i], link.Run{ProgressPercent: 60})
		s.measureTask(st.tasks[i].worker, &st.tasks[i])
	}
	assert.Equal(t, s.backlog.kind("app", false).doneWork, 300.0)
}
