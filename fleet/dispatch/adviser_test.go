package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/fleet/work"
)

// maxSimWaiting is the number of waiting calls from which the simulated adviser refuses further ones.
const maxSimWaiting = 32

// simAdviser is a simulated adviser: it handles one call at a time, in the order of their arrival, also those whose caller has
// given up.
type simAdviser struct {
	decideMs, eachMs float64
	validMs          int64
	// permits reports whether the worker with an id may run a step; nil permits all.
	permits func(step, id string) bool
	// silent makes the adviser accept calls and answer none, refuses makes it refuse them.
	silent, refuses bool

	calls  []*simCall
	freeMs float64
	// handled, abandoned and refused count calls: those that were handled, those of them that had been given up, and those that
	// were refused. mostOutstanding is the largest number of calls that the decider waited for.
	handled, abandoned, refused, mostOutstanding int
	// named holds the ids that were named for each step, in the order of the calls.
	named map[string][][]string
}

// simCall is a call that the decider waits for or has given up.
type simCall struct {
	question Question
	doneMs   float64
	givenUp  bool
	timeout  int64
	accepted bool
}

func newSimAdviser(decideMs, eachMs float64) *simAdviser {
	return &simAdviser{decideMs: decideMs, eachMs: eachMs, validMs: 3000, named: map[string][][]string{}}
}

// advice returns the configuration of a queue that the adviser serves.
func (a *simAdviser) advice() *work.Advice {
	return &work.Advice{ValidMs: a.validMs, DecideMs: a.decideMs, EachMs: a.eachMs}
}

// call receives a question.
func (a *simAdviser) call(sim *simulation, q Question) {
	outstanding, waiting := 1, 0
	for _, c := range a.calls {
		if !c.givenUp {
			outstanding++
			assert.Assert(sim.t, c.question.Step != q.Step, "at %d ms %s is asked for while a call for it is outstanding", sim.now, q.Step)
		}
		if c.accepted && c.doneMs > float64(sim.now) {
			waiting++
		}
	}
	a.mostOutstanding = max(a.mostOutstanding, outstanding)
	assert.Assert(sim.t, len(q.Workers) > 0 && len(q.Workers) <= 100, "%d workers are named", len(q.Workers))
	c := &simCall{question: q, timeout: sim.now + q.Timeout.Milliseconds()}
	if !a.silent && !a.refuses && waiting <= maxSimWaiting {
		c.accepted = true
		a.freeMs = max(a.freeMs, float64(sim.now)) + a.decideMs + a.eachMs*float64(len(q.Workers))
		c.doneMs = a.freeMs
	} else if !a.silent {
		a.refused++
		c.timeout = sim.now
	}
	ids := []string{}
	for id := range q.Workers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	a.named[q.Step] = append(a.named[q.Step], ids)
	a.calls = append(a.calls, c)
}

// answer answers the calls that are handled by now and gives up those whose timeout has passed.
func (a *simAdviser) answer(sim *simulation) {
	var events []Event
	kept := a.calls[:0]
	for _, c := range a.calls {
		handled := c.accepted && c.doneMs <= float64(sim.now)
		if handled {
			a.handled++
		}
		switch {
		case handled && c.givenUp:
			a.abandoned++
		case handled:
			events = append(events, a.reply(c.question))
		case !c.givenUp && c.timeout <= sim.now:
			c.givenUp = true
			events = append(events, AdviceFailed{Step: c.question.Step})
		}
		if !handled && (c.accepted || !c.givenUp) {
			kept = append(kept, c)
		}
	}
	a.calls = kept
	for _, e := range events {
		sim.step(e)
	}
}

func (a *simAdviser) reply(q Question) Event {
	e := AdviceReceived{Step: q.Step, Tickets: map[string]string{}, IDs: map[string]string{}, ValidMs: a.validMs, Complete: true}
	for id, instance := range q.Workers {
		if a.permits == nil || a.permits(q.Step, id) {
			e.Tickets[instance], e.IDs[instance] = "ticket", id
		}
	}
	return e
}

// advisedLoad submits jobs of one task to a queue with an adviser.
type advisedLoad struct {
	sim   *simulation
	queue work.Queue
	n     int
}

func newAdvisedLoad(sim *simulation, a *simAdviser) *advisedLoad {
	sim.adviser = a
	return &advisedLoad{sim: sim, queue: work.Queue{Name: "advised", Service: "app", Priority: 1, Attempts: 3, Stretch: 2, TargetMs: 1000, Advice: a.advice()}}
}

// run submits perSecond jobs a second for a time.
func (l *advisedLoad) run(perSecond float64, ms int64) {
	due := 0.0
	for end := l.sim.now + ms; l.sim.now < end; {
		for due += perSecond * stepMs / 1000; due >= 1; due-- {
			l.submit(work.Step{Count: 1, CPU: 200, MemMB: 10, EstMs: 640})
		}
		l.sim.advance()
	}
}

func (l *advisedLoad) submit(steps ...work.Step) string {
	l.n++
	id := jobID(l.n)
	l.sim.submit(&work.Job{ID: id, Queue: l.queue, Steps: steps})
	return id
}

// unstarted returns the jobs of which no task was ever started.
func (l *advisedLoad) unstarted() []string {
	var ids []string
	for i := range l.n {
		if id := jobID(i + 1); l.sim.started[id+".0.0.0"] == 0 {
			ids = append(ids, id)
		}
	}
	return ids
}

// Guards against an adviser that handles only calls that were given up (review/7, LOST): a burst of 2.6 times the usual traffic,
// which takes half of what the adviser can answer, left calls that waited longer than their timeout and were sent again.
func TestBurstOnAdvisedQueueIsServed(t *testing.T) {
	sim := newConnectedSimulation(t, 11)
	a := newSimAdviser(50, 2)
	l := newAdvisedLoad(sim, a)
	l.run(7, 8000)
	l.run(2.6*7, 4000)
	l.run(7, 12_000)
	l.run(0, 3000)
	assert.Equal(t, len(l.unstarted()), 0, "%d of %d jobs were never started", len(l.unstarted()), l.n)
	assert.Equal(t, a.abandoned, 0, "of %d calls", a.handled)
	assert.Equal(t, a.refused, 0)
}

// Guards against an adviser that is slow, as its queue says, and never heard (review-2 late-advice, LOST): the timeout of a call
// was a constant.
func TestTimeoutFollowsFromTheQueue(t *testing.T) {
	sim := newConnectedSimulation(t, 11)
	a := newSimAdviser(1000, 100)
	l := newAdvisedLoad(sim, a)
	l.run(1, 1000)
	l.run(0, 5000)
	assert.Equal(t, len(l.unstarted()), 0)
	assert.Equal(t, a.abandoned, 0)
}

// Guards against calls that pile up at an adviser that is silent or refuses, and against steps that are not asked for once it is
// back: the timeout of a call is 2 s here, so that one of 8 s can be outstanding after two failures.
func TestAdviserThatIsOutAndReturns(t *testing.T) {
	for _, silent := range []bool{true, false} {
		t.Run(fmt.Sprint("silent=", silent), func(t *testing.T) {
			sim := newConnectedSimulation(t, 3)
			a := newSimAdviser(20, 1)
			l := newAdvisedLoad(sim, a)
			a.silent, a.refuses = silent, !silent
			l.run(10, 10_000)
			calls := 0
			for _, named := range a.named {
				calls += len(named)
			}
			assert.Assert(t, calls <= 10, "%d calls in 10 s", calls)
			a.silent, a.refuses = false, false
			l.run(0, 8000+maxAdviserBackoffMs+8000)
			assert.Equal(t, len(l.unstarted()), 0)
		})
	}
}

// Guards against a step for which the adviser is not asked any more because an earlier call for its job, which has ended, was
// never counted as answered.
func TestCallOfEndedJobFreesItsPlace(t *testing.T) {
	sim := newConnectedSimulation(t, 2)
	a := newSimAdviser(500, 0)
	l := newAdvisedLoad(sim, a)
	for range 2 * maxAdviserCalls {
		id := l.submit(work.Step{Count: 1, CPU: 200, MemMB: 10, EstMs: 640})
		sim.advance()
		sim.cancels[id] = sim.now
		sim.step(JobCancelled{ID: id})
	}
	last := l.submit(work.Step{Count: 1, CPU: 200, MemMB: 10, EstMs: 640})
	l.run(0, 4000)
	assert.Assert(t, sim.started[last+".0.0.0"] > 0)
	assert.Equal(t, len(sim.state.adviser.outstanding), 0)
}

// Guards, with times of the adviser over two orders of magnitude, bursts and small fleets, against more calls outstanding than
// the adviser answers in time, a second call for a step while one is outstanding (checked by the simulated adviser), calls
// that are given up, and steps that are not started once the burst is over.
func TestAdviserCallsUnderBursts(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 41))
			workers := 1 + rng.IntN(20)
			sim := newConnectedSimulation(t, workers)
			each := 0.2 * float64(int(1)<<rng.IntN(7))
			a := newSimAdviser(10*float64(int(1)<<rng.IntN(7)), each)
			l := newAdvisedLoad(sim, a)
			callMs := a.decideMs + a.eachMs*float64(workers)
			// A step of the simulation passes between an answer and the next call.
			perSecond := min(0.4*1000/(callMs+stepMs), float64(workers)*6)
			l.run(perSecond, 4000)
			l.run(3*perSecond, 4000)
			waiting := float64(len(l.unstarted()))
			l.run(perSecond, 4000)
			l.run(0, int64(waiting*(callMs+stepMs))+6000)
			assert.Equal(t, len(l.unstarted()), 0, "of %d jobs, with %g ms and %g ms for each of %d workers", l.n, a.decideMs, a.eachMs, workers)
			assert.Assert(t, a.mostOutstanding <= maxAdviserCalls, "%d calls were outstanding", a.mostOutstanding)
			assert.Equal(t, a.abandoned+a.refused, 0, "of %d calls", a.handled)
		})
	}
}
