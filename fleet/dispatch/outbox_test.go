package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/fleet/link"
	"github.com/verbenakeel/verbenakeel/fleet/work"
)

// slowSide is a side process with its worker, which receives and answers only so much in a step.
type slowSide struct {
	t        *testing.T
	instance string
	info     link.Worker
	// receives is the number of messages received in a step, answers the number of orders answered.
	receives, answers int
	// earlierVersion leaves what it has received out of its reports.
	earlierVersion bool
	transit        []link.Orders
	open           []openOrder
	received       uint64
	reportWanted   bool
	runs           map[string]int
	ends           []link.Completion
	lastEnd        int64
	fence          uint64
	// stops counts how often each run was ordered to stop, since the last connection and in all.
	stops, allStops map[link.Stop]int
	starts          int
}

type openOrder struct {
	number uint64
	start  *link.Start
	stop   *link.Stop
}

// slowFleet is a decider with slow side processes.
type slowFleet struct {
	t     *testing.T
	now   int64
	s     *State
	sides []*slowSide
}

func newSlowFleet(t *testing.T, sides int, change func(*slowSide)) *slowFleet {
	f := &slowFleet{t: t, now: 100_000}
	f.s = New(newSimulation(t, 1, 1).bounds, 1, f.at(), Options{})
	f.step(ConfigChanged{Config: &work.Config{Version: 1, Services: map[string]work.Service{"app": {Name: "app"}}}})
	for i := range sides {
		side := &slowSide{t: t, instance: fmt.Sprintf("side-%d", i), receives: 8, answers: 64, runs: map[string]int{}, stops: map[link.Stop]int{}, allStops: map[link.Stop]int{}}
		side.info = link.Worker{Incarnation: link.Incarnation{ID: "i-" + side.instance, StartedMs: 5}, Service: "app", CPU: 16_000, MemMB: 64_000}
		change(side)
		f.sides = append(f.sides, side)
		f.step(SideConnected{Instance: side.instance})
		f.report(side)
	}
	return f
}

func (f *slowFleet) at() Now { return Now{BootMs: f.now, WallMs: f.now + 1_700_000_000_000} }

func (f *slowFleet) step(e Event) {
	for _, o := range f.s.Step(f.at(), e).Orders {
		for _, side := range f.sides {
			if side.instance == o.Instance {
				side.send(o.Orders)
			}
		}
	}
}

// send takes a message into transit and checks the bounds.
func (x *slowSide) send(o link.Orders) {
	x.fence = max(x.fence, o.Fence)
	if o.Number == 0 {
		return
	}
	bytes := 0
	orders := len(x.open) + o.Len()
	for _, m := range x.transit {
		bytes += len(work.Encode(m))
		orders += m.Len()
	}
	size := len(work.Encode(o))
	largest := 0
	for _, st := range o.Starts {
		largest = max(largest, len(work.Encode(st)))
	}
	assert.Assert(x.t, len(x.transit) < MaxTransitMessages, "%d messages to %s", len(x.transit)+1, x.instance)
	assert.Assert(x.t, bytes < maxTransitBytes, "a message follows %d bytes that were not received", bytes)
	assert.Assert(x.t, size <= maxMessageBytes+largest+200, "a message of %d bytes", size)
	assert.Assert(x.t, orders <= maxOpenOrders || x.earlierVersion, "%d orders without an answer", orders)
	for _, st := range o.Stops {
		assert.Assert(x.t, !x.holdsStop(st), "the stop of %v is ordered while it is unanswered", st)
		x.stops[st]++
		x.allStops[st]++
	}
	x.starts += len(o.Starts)
	x.transit = append(x.transit, o)
}

func (x *slowSide) holdsStop(st link.Stop) bool {
	return slices.ContainsFunc(x.open, func(o openOrder) bool { return o.stop != nil && *o.stop == st }) ||
		slices.ContainsFunc(x.transit, func(o link.Orders) bool { return slices.Contains(o.Stops, st) })
}

// reconnect replaces the connection: what was not answered is lost.
func (f *slowFleet) reconnect(x *slowSide) {
	x.transit, x.open, x.received, x.reportWanted = nil, nil, 0, false
	clear(x.stops)
	f.step(SideDisconnected{Instance: x.instance})
	f.step(SideConnected{Instance: x.instance})
}

// advance receives and answers orders.
func (x *slowSide) advance() {
	n := min(x.receives, len(x.transit))
	for _, o := range x.transit[:n] {
		x.received = o.Number
		x.reportWanted = x.reportWanted || o.More
		for _, st := range o.Starts {
			x.open = append(x.open, openOrder{o.Number, &st, nil})
		}
		for _, st := range o.Stops {
			x.open = append(x.open, openOrder{o.Number, nil, &st})
		}
		x.ends = slices.DeleteFunc(x.ends, func(e link.Completion) bool { return e.Number <= o.Forget })
	}
	x.transit = x.transit[n:]
	n = min(x.answers, len(x.open))
	for _, o := range x.open[:n] {
		switch {
		case o.start != nil:
			x.runs[o.start.Task] = o.start.Run
		case x.runs[o.stop.Task] == o.stop.Run:
			delete(x.runs, o.stop.Task)
			x.lastEnd++
			x.ends = append(x.ends, link.Completion{Number: x.lastEnd, Task: o.stop.Task, Run: o.stop.Run, Outcome: link.Stopped})
		}
	}
	x.open = x.open[n:]
}

func (f *slowFleet) report(x *slowSide) {
	info := x.info
	r := &link.Report{SentMs: f.now, Worker: &info, LeaseLeftMs: 4000, Listed: true, Fence: x.fence, OrdersDone: x.received}
	if len(x.open) > 0 {
		r.OrdersDone = x.open[0].number - 1
	}
	if !x.earlierVersion {
		r.OrdersReceived, r.OrdersOpen = x.received, len(x.open)
	}
	for task, run := range x.runs {
		r.Runs = append(r.Runs, link.Run{Task: task, Run: run, ProgressPercent: 1})
	}
	slices.SortFunc(r.Runs, func(a, b link.Run) int { return strings.Compare(a.Task, b.Task) })
	r.Completions = x.ends[:min(len(x.ends), 500)]
	r.Complete = len(x.ends) < 500
	f.step(Reported{Instance: x.instance, Report: r})
	f.step(LeaseRenewed{Instance: x.instance, SentMs: f.now})
}

// advance advances by 50 ms. Each side process reports every 400 ms, or earlier if the decider waits for it.
func (f *slowFleet) advance() {
	f.now += 50
	for _, x := range f.sides {
		x.advance()
		early := x.reportWanted && len(x.open) <= 64 && !x.earlierVersion
		if early || f.now%400 == 0 {
			x.reportWanted = x.reportWanted && !early
			f.report(x)
		}
	}
	f.step(Place{})
	if f.now%100 == 0 {
		f.step(Tick{})
	}
	if b := f.s.Collect(); !b.Empty() {
		f.step(Committed{Batch: b})
	}
}

func (f *slowFleet) running() int {
	n := 0
	for _, x := range f.sides {
		n += len(x.runs)
	}
	return n
}

// Guards against orders for one worker that grow without a bound (review/12, UNASKED, and -case wide of the third review, LOST): any number of
// starts, stops and acknowledgements keeps within the bounds on what a side process has not received or answered, each run is started
// and stopped, and no stop is repeated while it may still be answered, also across connections and with side processes of earlier versions.
func TestOrdersForOneWorkerAreBounded(t *testing.T) {
	for _, seed := range simulatedSeeds(nil)[:10] {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 3))
			f := newSlowFleet(t, 3, func(x *slowSide) {
				x.receives, x.answers = 1+rng.IntN(8), 10+rng.IntN(100)
				x.earlierVersion = seed%4 == 3
			})
			jobs, tasks, spec := 40+rng.IntN(60), 36, strings.Repeat("s", rng.IntN(4000))
			if seed%2 == 1 {
				jobs, tasks = 1, 2500
			}
			for n := range jobs {
				f.step(JobSubmitted{Job: &work.Job{ID: jobID(n + 1), Spec: spec, Queue: work.Queue{Name: "q", Service: "app", Attempts: 3, Stretch: 2},
					Steps: []work.Step{{Count: tasks, CPU: 4, MemMB: 1, EstMs: 600_000}}, AcceptedMs: f.at().WallMs}})
			}
			for i := 0; i < 2000 && f.running() < jobs*tasks; i++ {
				f.advance()
			}
			assert.Equal(t, f.running(), jobs*tasks)
			for _, x := range f.sides {
				for i := range 300 {
					x.runs[work.TaskName{Job: jobID(1000), Index: i}.String()] = 1 // of a job that nobody knows any more
				}
			}
			for n := range jobs {
				f.step(JobCancelled{ID: jobID(n + 1)})
			}
			for i := 0; i < 2000 && f.running() > 0; i++ {
				if seed%3 == 2 && i%20 == 10 && i < 100 {
					f.reconnect(f.sides[i/20%3])
				}
				f.advance()
			}
			assert.Equal(t, f.running(), 0, "runs of cancelled jobs go on")
			for _, x := range f.sides {
				for st, n := range x.stops {
					assert.Assert(t, n <= 2, "%v was ordered to stop %d times on one connection", st, n)
				}
			}
			for range 40 {
				f.advance()
			}
			assert.Equal(t, len(f.s.jobs), 0, "jobs whose runs have ended are kept")
		})
	}
}

// Guards against tasks of cancelled jobs that run on beyond the bounds of the rule on UNASKED: 100 jobs with 1,200 tasks on each worker are
// cancelled at once, and the side processes answer 600 orders a second. The rule is asked of every cancelled task.
func TestCancelledTasksEndInTime(t *testing.T) {
	const jobs, tasks, boundMs = 100, 36, 3000 + 200
	for _, reconnects := range []bool{false, true} {
		f := newSlowFleet(t, 3, func(x *slowSide) { x.answers = 30 })
		for n := range jobs {
			f.step(JobSubmitted{Job: &work.Job{ID: jobID(n + 1), Queue: work.Queue{Name: "q", Service: "app", Attempts: 3, Stretch: 2},
				Steps: []work.Step{{Count: tasks, CPU: 12, MemMB: 1, EstMs: 600_000}}, AcceptedMs: f.at().WallMs}})
		}
		for i := 0; i < 2000 && f.running() < jobs*tasks; i++ {
			f.advance()
		}
		assert.Equal(t, f.running(), jobs*tasks)
		began := f.now
		for n := range jobs {
			f.step(JobCancelled{ID: jobID(n + 1)})
		}
		f.advance()
		if reconnects {
			// What was ordered is lost with the connection, and ordered again at once.
			for _, x := range f.sides {
				f.reconnect(x)
			}
		}
		for f.now < began+boundMs {
			f.advance()
		}
		for _, x := range f.sides {
			for task, run := range x.runs {
				t.Fatalf("run %d of %s, whose job was cancelled %d ms ago, goes on", run, task, f.now-began)
			}
			for st, n := range x.allStops {
				assert.Assert(t, reconnects || n == 1, "%v was ordered to stop %d times", st, n)
			}
		}
	}
}

// Guards against a draining worker, and a new decider, that order more stops at once than a connection takes: the runs that would end with
// the worker are stopped and go on elsewhere.
func TestManyRunsLeaveADrainingWorker(t *testing.T) {
	const tasks = 3000
	for _, newDecider := range []bool{false, true} {
		f := newSlowFleet(t, 2, func(*slowSide) {})
		f.step(JobSubmitted{Job: &work.Job{ID: jobID(1), Queue: work.Queue{Name: "q", Service: "app", Attempts: 3, Stretch: 2},
			Steps: []work.Step{{Count: tasks, CPU: 4, MemMB: 1, EstMs: 600_000}}, AcceptedMs: f.at().WallMs}})
		for i := 0; i < 2000 && f.running() < tasks; i++ {
			f.advance()
		}
		assert.Equal(t, f.running(), tasks)
		if newDecider {
			job, progress := f.s.jobs[jobID(1)].def, f.s.jobs[jobID(1)].progress()
			f.s = New(f.s.bounds, 2, f.at(), Options{})
			f.step(ConfigChanged{Config: &work.Config{Version: 1, Services: map[string]work.Service{"app": {Name: "app"}}}})
			f.step(JobSubmitted{Job: job, Progress: progress})
			for _, x := range f.sides {
				x.transit, x.open, x.received = nil, nil, 0
				f.step(SideConnected{Instance: x.instance})
			}
		}
		f.sides[0].info.Draining = true
		for i := 0; i < 400 && (len(f.sides[0].runs) > 0 || f.running() < tasks); i++ {
			f.advance()
		}
		assert.Equal(t, len(f.sides[0].runs), 0)
		assert.Equal(t, f.running(), tasks)
	}
}

// Guards against stops that are never sent (UNASKED): they wait for room when a new connection takes the place of theirs without a word of
// the end of the former.
func TestQueuedStopsAreOrderedOnTheNextConnection(t *testing.T) {
	const tasks = maxOpenOrders + 500
	f := newSlowFleet(t, 1, func(x *slowSide) { x.answers = 200 })
	x := f.sides[0]
	f.step(JobSubmitted{Job: &work.Job{ID: jobID(1), Queue: work.Queue{Name: "q", Service: "app", Attempts: 3, Stretch: 2},
		Steps: []work.Step{{Count: tasks, CPU: 4, MemMB: 1, EstMs: 600_000}}, AcceptedMs: f.at().WallMs}})
	for i := 0; i < 400 && f.running() < tasks; i++ {
		f.advance()
	}
	x.receives = 0
	f.step(JobCancelled{ID: jobID(1)})
	assert.Assert(t, len(f.s.sortedWorkers[0].outbox.stops) > 0)
	x.transit, x.open, x.received, x.receives = nil, nil, 0, 8
	f.step(SideConnected{Instance: x.instance})
	for i := 0; i < 400 && f.running() > 0; i++ {
		f.advance()
	}
	assert.Equal(t, f.running(), 0)
}

// Guards against a start that is sent although its task was given up while it waited for room (UNASKED), and against a task that then waits
// for the end of a run that never began.
func TestQueuedStartOfCancelledJobIsNotSent(t *testing.T) {
	f := newSlowFleet(t, 1, func(x *slowSide) { x.receives = 0 })
	x := f.sides[0]
	f.step(JobSubmitted{Job: &work.Job{ID: jobID(1), Queue: work.Queue{Name: "q", Service: "app", Attempts: 3, Stretch: 2},
		Steps: []work.Step{{Count: 3 * maxOpenStarts, CPU: 4, MemMB: 1, EstMs: 600_000}}, AcceptedMs: f.at().WallMs}})
	for range 20 {
		f.advance()
	}
	assert.Equal(t, x.starts, maxOpenStarts)
	f.step(JobCancelled{ID: jobID(1)})
	x.receives, x.answers = 100, 1000
	for range 40 {
		f.advance()
	}
	assert.Equal(t, x.starts, maxOpenStarts, "starts of a cancelled job were sent")
	assert.Equal(t, f.running(), 0)
	assert.Equal(t, len(f.s.jobs), 0, "the job waits for runs that never began")
	assert.Equal(t, len(x.allStops), maxOpenStarts, "runs that never began were ordered to stop")
}

// Guards against large starts that wait for one periodic report after the other: a side process tells at once when it has room.
func TestLargeStartsDoNotWaitForPeriodicReports(t *testing.T) {
	const tasks, boundMs = 1000, 3000
	f := newSlowFleet(t, 1, func(x *slowSide) { x.receives, x.answers = 100, 1000 })
	f.step(JobSubmitted{Job: &work.Job{ID: jobID(1), Spec: strings.Repeat("s", 4000), Queue: work.Queue{Name: "q", Service: "app", Attempts: 3, Stretch: 2},
		Steps: []work.Step{{Count: tasks, CPU: 4, MemMB: 1, EstMs: 600_000}}, AcceptedMs: f.at().WallMs}})
	for began := f.now; f.now < began+boundMs; {
		f.advance()
	}
	assert.Equal(t, f.running(), tasks)
}

// Guards against small messages that pile up for a side process that receives nothing: acknowledgements of ends wait as well.
func TestAcknowledgementsForSilentSideAreBounded(t *testing.T) {
	f := newSlowFleet(t, 1, func(x *slowSide) { x.receives = 0 })
	x := f.sides[0]
	for n := range 2 * MaxTransitMessages {
		x.ends = []link.Completion{{Number: int64(n + 1), Task: work.TaskName{Job: jobID(1), Index: n}.String(), Run: 1, Outcome: link.Done}}
		f.report(x)
		f.advance()
	}
	assert.Equal(t, len(x.transit), MaxTransitMessages)
	x.receives = MaxTransitMessages
	for range 40 {
		f.advance()
	}
	assert.Equal(t, len(x.ends), 0, "the last end was never acknowledged")
}

// Guards against tasks that stay with a worker that has not got their starts: its connection ends, it restarts, or it stops answering, and
// the tasks are placed again at once.
func TestQueuedStartsLeaveAWorkerThatIsLost(t *testing.T) {
	lose := map[string]func(f *slowFleet, x *slowSide){
		"connection": func(f *slowFleet, x *slowSide) { f.step(SideDisconnected{Instance: x.instance}) },
		"restart": func(f *slowFleet, x *slowSide) {
			x.info.Incarnation.StartedMs++
			f.report(x)
		},
		"silence": func(f *slowFleet, x *slowSide) {
			info := x.info
			f.step(Reported{Instance: x.instance, Report: &link.Report{Worker: &info, UnresponsiveMs: maxUnresponsiveMs, LeaseLeftMs: 4000}})
			f.step(Tick{})
		},
	}
	for name, f := range lose {
		t.Run(name, func(t *testing.T) {
			fleet := newSlowFleet(t, 1, func(x *slowSide) { x.receives = 0 })
			fleet.step(JobSubmitted{Job: &work.Job{ID: jobID(1), Queue: work.Queue{Name: "q", Service: "app", Attempts: 3, Stretch: 2},
				Steps: []work.Step{{Count: 2 * maxOpenStarts, CPU: 4, MemMB: 1, EstMs: 600_000}}, AcceptedMs: fleet.at().WallMs}})
			for range 20 {
				fleet.advance()
			}
			f(fleet, fleet.sides[0])
			waits := 0
			for i := range fleet.s.jobs[jobID(1)].stages[0].tasks {
				if fleet.s.jobs[jobID(1)].stages[0].tasks[i].phase == waiting {
					waits++
				}
			}
			assert.Equal(t, waits, maxOpenStarts)
		})
	}
}
