package dispatch

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/fleet/link"
	"github.com/verbenakeel/verbenakeel/fleet/work"
)

// submit submits a job.
func (sim *simulation) submit(j *work.Job) {
	if j.Queue.Name == "" {
		j.Queue = work.Queue{Name: "q", Service: "app", Priority: 1, Attempts: 3, Stretch: 2, TargetMs: 1000}
	}
	j.AcceptedMs = sim.at().WallMs
	sim.jobs[j.ID] = j
	sim.submitToDecider(j.ID)
}

func jobID(n int) string { return fmt.Sprintf("%016x", n) }

// randomJob returns a random job of one or two steps. Every fifth job has overlapping occurrences.
func (sim *simulation) randomJob(n int) *work.Job {
	j := &work.Job{ID: jobID(n)}
	steps := 1 + sim.rng.IntN(2)
	for i := range steps {
		s := work.Step{Count: 1 + sim.rng.IntN(5), CPU: int64(200 + sim.rng.IntN(1200)), MemMB: 100, EstMs: int64(300 + sim.rng.IntN(1500))}
		if i > 0 {
			s.DependsOn = []int{i - 1}
		}
		switch sim.rng.IntN(6) {
		case 0:
			s.BestEffort, s.Image = true, []string{"fa", "fb"}[n%2]
		case 1:
			s.MaxPerWorker = 1
		case 2:
			s.Gang, s.Count = true, 1+sim.rng.IntN(3)
		}
		j.Steps = append(j.Steps, s)
	}
	if sim.rng.IntN(8) == 0 {
		j.Steps = []work.Step{{Count: 2, CPU: 500, MemMB: 100, EstMs: 400, LongRunning: true, TargetMs: 50, Image: []string{"sa", "sb"}[n%2], MaxUnavailable: n % 3}}
	}
	if n%5 == 0 && !j.LongRunning() {
		j.Repeat, j.IntervalMs, j.StartAtMs = 2+n%2, 700, sim.at().WallMs
	}
	return j
}

// seedsThatFailed holds seeds of TestSimulationInvariants that failed beyond those that always run, with the cause.
var seedsThatFailed = map[uint64]string{
	1781: "a failure that no decider had stored was lost with its worker, and the task was started once more; the rule allows that",
	771:  "a completion was acknowledged after the worker's lease had expired, and a replaced decider started the task again; the rule allows that",
	137:  "as 1781, whose course changed when the lease became one for the worker",
	1997: "as 137",
	2399: "as 137",
	460:  "a worker restarted, its next life carried out a start under the longest lease and was cut off before the decider knew of it",
	548:  "as 460",
	713:  "as 460",
}

// Guards against a task that has two active runs, runs again after its completion was acknowledged, starts before the
// steps it depends on, after its last permitted attempt or after its job was cancelled, and against an overcommitted
// worker. Faults: decider changes at any moment, replaced deciders that learn late that their last append was stored and
// still reach side processes, lost connections, worker restarts under the same id, delayed and refused starts. DISPATCH_SEEDS sets the number of seeds.
func TestSimulationInvariants(t *testing.T) {
	for _, seed := range simulatedSeeds(seedsThatFailed) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			newSimulation(t, seed, 4).checkInvariants()
		})
	}
}

// simulatedSeeds returns the kept seeds and as many others as DISPATCH_SEEDS sets.
func simulatedSeeds(kept map[uint64]string) []uint64 {
	seeds := uint64(150)
	if n, err := strconv.Atoi(os.Getenv("DISPATCH_SEEDS")); err == nil {
		seeds = uint64(n)
	}
	if testing.Short() {
		seeds = 10
	}
	list := slices.Collect(maps.Keys(kept))
	for seed := range seeds {
		if _, ok := kept[seed]; !ok {
			list = append(list, seed)
		}
	}
	return list
}

// checkInvariants submits and cancels random jobs under faults, and then lets all of them end.
func (sim *simulation) checkInvariants() {
	n := 0
	for sim.now < 100_000+40_000 {
		if sim.rng.IntN(15) == 0 {
			n++
			sim.submit(sim.randomJob(n))
		}
		if n > 0 && sim.rng.IntN(120) == 0 {
			id := jobID(1 + sim.rng.IntN(n))
			if _, ok := sim.cancels[id]; !ok {
				sim.cancels[id] = sim.now
				sim.step(JobCancelled{ID: id})
			}
		}
		sim.advance()
	}
	sim.faultFree = true
	// Cancel some long-running jobs to free capacity, so that every other job can complete.
	for i := 1; i <= n; i++ {
		if id := jobID(i); sim.jobs[id].LongRunning() && i%4 != 0 {
			sim.cancels[id] = sim.now
			sim.step(JobCancelled{ID: id})
		}
	}
	for range 2400 {
		sim.advance()
	}
	sim.checkFinalStates(n)
}

// Guards against broken invariants where decisions use predicted loads: the same as TestSimulationInvariants with loads that
// are a wave.
func TestSimulationInvariantsWithForecast(t *testing.T) {
	predicted := make([]bool, 30)
	t.Run("seeds", func(t *testing.T) {
		for seed := range predicted {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				sim := newSimulation(t, uint64(seed), 4)
				sim.periodicLoad = true
				sim.options.LoadForecast, sim.options.PlaceByForecast = true, seed%2 != 0
				sim.electDecider()
				sim.checkInvariants()
				predicted[seed] = sim.state.summarizeForecast().Usable > 0
			})
		}
	})
	assert.Assert(t, slices.Contains(predicted, true), "no load was predicted")
}

// checkFinalStates checks that every job that can finish has finished, and its final state.
func (sim *simulation) checkFinalStates(n int) {
	for i := 1; i <= n; i++ {
		id := jobID(i)
		var p work.Progress
		if data := sim.stored[id]; data != nil {
			assert.NilError(sim.t, work.Decode(data, &p))
		}
		_, cancelled := sim.cancels[id]
		switch {
		case sim.jobs[id].LongRunning() && !cancelled:
			assert.Equal(sim.t, p.State, work.Running, "long-running job %s", id)
		case cancelled:
			assert.Assert(sim.t, p.State.Final(), "cancelled job %s is %s", id, p.State)
		default:
			assert.Assert(sim.t, p.State == work.Completed || p.State == work.Failed, "job %s is %s", id, p.State)
		}
		if p.State == work.Completed {
			for _, name := range taskNames(sim.jobs[id]) {
				assert.Assert(sim.t, sim.done[name.String()], "job %s is completed without %s", id, name)
			}
		}
		assert.Assert(sim.t, !p.State.Final() || !p.HasActiveRuns(), "job %s is finished with unfinished runs stored", id)
	}
}

// taskNames returns the names of all tasks of a job.
func taskNames(j *work.Job) []work.TaskName {
	var names []work.TaskName
	for occurrence := range j.Occurrences() {
		for step := range j.Steps {
			for k := range j.Steps[step].Count {
				names = append(names, work.TaskName{Job: j.ID, Occurrence: occurrence, Step: step, Index: k})
			}
		}
	}
	return names
}

// newConnectedSimulation returns a simulation without faults whose workers have connected and whose decider has every option
// but the published backlog.
func newConnectedSimulation(t *testing.T, workers int) *simulation {
	sim := newSimulation(t, 1, workers)
	sim.options = Options{Order: OrderScarcity, Durations: DurationsLearned, LoadForecast: true, PlaceByForecast: true}
	sim.state.options = sim.options
	sim.faultFree = true
	for range 40 {
		sim.advance()
	}
	sim.standstills = standstills{} // no run of an earlier decider is awaited
	return sim
}

// Guards against best-effort tasks kept off a worker by CPU that is committed to latency-critical tasks but not used by
// them. fit-report earned a tenth of its value on days whose latency-critical tasks had nine tenths of the CPU
// committed.
func TestBestEffortUsesIdleCriticalCPU(t *testing.T) {
	sim := newConnectedSimulation(t, 2)
	sim.submit(&work.Job{ID: jobID(1), Steps: []work.Step{{Count: 4, CPU: 2000, MemMB: 10, EstMs: 400, LongRunning: true, TargetMs: 50, Image: "s"}}})
	for range 20 {
		sim.advance()
	}
	sim.submit(&work.Job{ID: jobID(2), Steps: []work.Step{{Count: 2, CPU: 1000, MemMB: 10, EstMs: 60_000, BestEffort: true, Image: "f"}}})
	for range 20 {
		sim.advance()
	}
	assert.Equal(t, sim.state.jobs[jobID(2)].active, 2)
}

// Guards against an overdue best-effort job without an active run indefinitely while others come and go.
func TestStarvedBestEffortIsPlaced(t *testing.T) {
	sim := newConnectedSimulation(t, 1)
	sim.submit(&work.Job{ID: jobID(1), Steps: []work.Step{{Count: 8, CPU: 3000, MemMB: 10, EstMs: 600_000, BestEffort: true, Image: "f"}}})
	sim.submit(&work.Job{ID: jobID(2), Steps: []work.Step{{Count: 8, CPU: 3000, MemMB: 10, EstMs: 900_000, BestEffort: true, Image: "f"}}})
	for range int(sim.bounds.StarvationLimit.Milliseconds()/stepMs) + 40 {
		sim.advance()
	}
	assert.Assert(t, sim.state.jobs[jobID(1)].active > 0)
	assert.Assert(t, sim.state.jobs[jobID(2)].active > 0)
}

// Guards against a best-effort job without an active run for more than 3 s on a fleet that is less than half used (LOST
// on a day of zone-in-outage, seed 487088835955): beside latency-critical tasks near their peak load, no worker had
// headroom for it.
func TestStarvedBestEffortIsPlacedEarlyOnLightlyUsedService(t *testing.T) {
	sim := newConnectedSimulation(t, 1)
	critical := criticalJob(1, 1, "s1a", 0)
	critical.Steps[0].CPU = 1000
	sim.submit(critical)
	for range 60 {
		sim.advance()
	}
	s := sim.state
	s.interference.coefficients[pair{"fa", "s1a"}] = coefficient{4, 0.01}
	for i := range 40 {
		s.jobs[jobID(1)].load.addSample(s.now.BootMs-int64(i), 0.95)
	}
	sim.submit(&work.Job{ID: jobID(2), Steps: []work.Step{{Count: 3, CPU: 800, MemMB: 10, EstMs: 600_000, BestEffort: true, Image: "fa"}}})
	const step = 2500
	for range step / stepMs {
		sim.now += stepMs
		s.Step(sim.at(), Tick{})
		for i := range 40 {
			s.jobs[jobID(1)].load.addSample(s.now.BootMs-int64(i), 0.95)
		}
		if sim.now%450 == 0 {
			s.workers[sim.workers[0].instance].lastReportMs = sim.now
		}
		s.workers[sim.workers[0].instance].leaseExpiresMs = sim.now + 4000
	}
	assert.Assert(t, s.jobs[jobID(2)].active > 0)
}

// Guards against one large job making several smaller ones late: by the algorithm of Moore and Hodgson it is deferred. With
// the order under scarcity it also goes last, as its 60 core-seconds cannot end by its useful deadline of 10.5 s.
func TestLargeJobIsDeferred(t *testing.T) {
	for order, want := range map[Order]lateness{OrderDeadline: deferred, OrderScarcity: notBegun} {
		sim := newConnectedSimulation(t, 1)
		s := sim.state
		s.options.Order = order
		mk := func(n int, count int, est int64) *job {
			d := &work.Job{ID: jobID(n), Queue: work.Queue{Name: "q", Service: "app", Priority: 1, Attempts: 3, Stretch: 2, TargetMs: 500},
				Steps: []work.Step{{Count: count, CPU: 1000, EstMs: est}}, AcceptedMs: sim.at().WallMs}
			s.Step(sim.at(), JobSubmitted{Job: d})
			return s.jobs[d.ID]
		}
		large, small1, small2 := mk(1, 40, 1500), mk(2, 4, 1600), mk(3, 4, 1700)
		s.rankJobs([]*job{large, small1, small2})
		assert.Equal(t, large.rank.late, want)
		assert.Equal(t, small1.rank.late, onTime)
		assert.Equal(t, small2.rank.late, onTime)
	}
}

// Guards against a latency-critical task staying over its target beside best-effort tasks (HARM): after 0.4 of the
// bound they are throttled to 0, whatever the model predicts.
func TestBestEffortStopsBesideTaskOverTarget(t *testing.T) {
	sim := newConnectedSimulation(t, 1)
	s, sw := sim.state, sim.workers[0]
	sim.submit(&work.Job{ID: jobID(1), Steps: []work.Step{{Count: 1, CPU: 1000, EstMs: 400, LongRunning: true, TargetMs: 50, Image: "s"}}})
	sim.submit(&work.Job{ID: jobID(2), Steps: []work.Step{{Count: 2, CPU: 1000, EstMs: 600_000, BestEffort: true, Image: "f"}}})
	for range 20 {
		sim.advance()
	}
	critical, be := &s.jobs[jobID(1)].stages[0].tasks[0], &s.jobs[jobID(2)].stages[0].tasks[0]
	s.interference.coefficients[pair{"f", "s"}] = coefficient{} // the model is wrong
	for range int(sim.bounds.MaxOverTarget.Milliseconds()/stepMs) / 2 {
		sim.now += stepMs
		info := sw.info
		s.Step(sim.at(), Reported{Instance: sw.instance, Report: &link.Report{Worker: &info, Listed: true, Complete: true, Fence: sw.side.fence, OrdersDone: sw.side.ordersDone(),
			LeaseLeftMs: 4000, Runs: []link.Run{{Task: critical.name().String(), Run: critical.run, ProgressPercent: 100, Load: 300},
				{Task: be.name().String(), Run: be.run, ProgressPercent: 50, Load: 0}}}})
	}
	assert.Equal(t, be.cpuShare, 0)
}

// Guards against best-effort tasks that stay throttled to 0: the previous decider throttled them and the next one
// assumed full CPU shares, or the order of a CPU share was lost.
func TestCPUSharesAreResent(t *testing.T) {
	sim := newConnectedSimulation(t, 1)
	sw := sim.workers[0]
	sim.submit(&work.Job{ID: jobID(1), Steps: []work.Step{{Count: 1, CPU: 1000, EstMs: 600_000, BestEffort: true, Image: "f"}}})
	for range 20 {
		sim.advance()
	}
	sim.stored[jobID(1)] = work.Encode(sim.state.jobs[jobID(1)].progress())
	sim.electDecider()
	sw.connected = true
	sim.step(SideConnected{Instance: sw.instance})
	be := &sim.state.jobs[jobID(1)].stages[0].tasks[0]
	countShares := func() int {
		sim.now += 450
		info := sw.info
		fence := sim.state.fence(sim.state.ensureWorker(sw.instance))
		eff := sim.state.Step(sim.at(), Reported{Instance: sw.instance, Report: &link.Report{Worker: &info, Listed: true, Complete: true, Fence: fence,
			OrdersDone: sw.side.ordersDone(), LeaseLeftMs: 4000, Runs: []link.Run{{Task: be.name().String(), Run: be.run, ProgressPercent: 5}}}})
		n := 0
		for _, o := range eff.Orders {
			for _, p := range o.Orders.Throttles {
				assert.Equal(t, p.CPUPercent, fullCPUShare)
				n++
			}
		}
		return n
	}
	total := 0
	for range 3 {
		total += countShares()
	}
	assert.Equal(t, total, 1, "the CPU share of a run of an earlier decider was sent %d times", total)
	for range 8 {
		total += countShares()
	}
	assert.Assert(t, total >= 2, "the CPU share of a best-effort task that uses no CPU was not sent again")
}

// Guards against coefficients that are not kept per pair of images.
func TestCoefficientsAreEstimatedByPair(t *testing.T) {
	sim := newConnectedSimulation(t, 2)
	s := sim.state
	serve := &work.Step{Count: 1, CPU: 1000, TargetMs: 50, LongRunning: true, Image: "s"}
	j := &job{def: &work.Job{ID: jobID(9), Steps: []work.Step{*serve}}}
	worker := s.sortedWorkers[0]
	st := &task{stage: &stage{job: j, step: serve}, phase: running, percent: 100}
	heavy := &task{stage: &stage{job: j, step: &work.Step{CPU: 1000, BestEffort: true, Image: "heavy"}}, phase: running, cpuShare: fullCPUShare, load: 900}
	light := &task{stage: &stage{job: j, step: &work.Step{CPU: 1000, BestEffort: true, Image: "light"}}, phase: running, cpuShare: fullCPUShare, load: 900}
	const idle, load = 10.0, 0.4
	s.interference.idleTails["s"] = idle
	for i := range 60 {
		s.now.BootMs += 450
		j.load.addSample(s.now.BootMs, load)
		j.load.unaffectedMs = s.now.BootMs
		f, actual := heavy, 3.0
		if i%2 == 0 {
			f, actual = light, 0.0
		}
		slowdown := 1 + actual*float64(f.load)/float64(worker.info.CPU)
		st.load = int64(idle * slowdown / (1 - load*slowdown))
		s.updateCoefficients(st, worker, []*task{f})
	}
	assert.Assert(t, s.interference.expectedCoefficient(heavy, st) > 2.5, "heavy: %g", s.interference.expectedCoefficient(heavy, st))
	assert.Assert(t, s.interference.expectedCoefficient(light, st) < 0.4, "light: %g", s.interference.expectedCoefficient(light, st))
}

// Guards against a decider that treats a disconnected worker as empty before its lease has expired.
func TestDisconnectedWorkerKeepsTasksUntilLeaseExpires(t *testing.T) {
	sim := newConnectedSimulation(t, 2)
	sim.submit(&work.Job{ID: jobID(1), Steps: []work.Step{{Count: 1, CPU: 1000, EstMs: 600_000}}})
	for range 20 {
		sim.advance()
	}
	tk := &sim.state.jobs[jobID(1)].stages[0].tasks[0]
	first := tk.worker
	for _, sw := range sim.workers {
		if sw.instance == first.instance {
			sw.connected, sw.disconnectedUntil = false, 1<<60
			sim.step(SideDisconnected{Instance: sw.instance})
		}
	}
	lost := sim.now
	for tk.worker == first && sim.now < lost+20_000 {
		sim.advance()
	}
	waited := sim.now - lost
	assert.Assert(t, waited >= sim.bounds.Lease.Milliseconds()-200, "given up after %d ms", waited)
	assert.Assert(t, waited <= sim.bounds.Lease.Milliseconds()+500, "given up after %d ms", waited)
}

// Guards against tasks of a lost worker that wait for as long as its side process is up: on trouble-3 of hartwell-keel
// five jobs had no active run at the end of the day (LOST).
func TestTasksOfUnresponsiveWorkerAreRequeued(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		sim := newConnectedSimulation(t, 2)
		sim.submit(&work.Job{ID: jobID(1), Steps: []work.Step{{Count: 1, CPU: 1000, EstMs: 600_000}}})
		for range 20 {
			sim.advance()
		}
		tk := &sim.state.jobs[jobID(1)].stages[0].tasks[0]
		first := tk.worker
		for _, sw := range sim.workers {
			if sw.instance == first.instance {
				sw.unresponsiveUntil = 1 << 60
				if restarted {
					sim.restartSide(sw, 1<<60)
				}
			}
		}
		since := sim.now
		for tk.worker == first && sim.now < since+20_000 {
			sim.advance()
		}
		assert.Assert(t, tk.worker != first, "restarted %t: the task was not requeued after %d ms", restarted, sim.now-since)
	}
}

// Guards against starts in an availability zone that is out of service, and on a draining worker.
func TestNoStartsInEvacuatedZoneOrOnDrainingWorker(t *testing.T) {
	sim := newConnectedSimulation(t, 2)
	for _, sw := range sim.workers {
		sw.info.Zone = "a"
	}
	sim.workers[1].info.Zone = "b"
	sim.workers[1].info.Draining, sim.workers[1].info.RemainingMs = true, 100
	for range 10 {
		sim.advance()
	}
	sim.step(ZoneEvacuated{Zone: "a", Evacuated: true})
	sim.submit(&work.Job{ID: jobID(1), Steps: []work.Step{{Count: 2, CPU: 100, EstMs: 500}}})
	for range 40 {
		sim.advance()
	}
	assert.Equal(t, sim.state.jobs[jobID(1)].active, 0)
	sim.step(ZoneEvacuated{Zone: "a", Evacuated: false})
	for range 4 {
		sim.advance()
	}
	assert.Equal(t, sim.state.jobs[jobID(1)].active, 2)
}

// Guards against stored progress that a later decider cannot restore.
func TestProgressRoundTrip(t *testing.T) {
	sim := newConnectedSimulation(t, 3)
	sim.submit(&work.Job{ID: jobID(1), Steps: []work.Step{{Count: 9, CPU: 700, EstMs: 900}, {Count: 3, CPU: 100, EstMs: 900, DependsOn: []int{0}}}})
	for range 30 {
		sim.advance()
	}
	before := sim.state.jobs[jobID(1)].progress()
	sim.stored[jobID(1)] = work.Encode(before)
	sim.electDecider()
	after := sim.state.jobs[jobID(1)].progress()
	assert.DeepEqual(t, before.State, after.State)
	assert.Equal(t, len(before.Stages), len(after.Stages))
	for i := range before.Stages {
		assert.DeepEqual(t, before.Stages[i].Done, after.Stages[i].Done)
		assert.Equal(t, len(before.Stages[i].Tasks), len(after.Stages[i].Tasks))
	}
}

// Guards against starts without the adviser's permission, or with the permission for another incarnation of a worker.
func TestAdvisedStepsNeedATicket(t *testing.T) {
	sim := newConnectedSimulation(t, 2)
	j := &work.Job{ID: jobID(1), Queue: work.Queue{Name: "q", Service: "app", Attempts: 3, Stretch: 2, Advice: &work.Advice{ValidMs: 5000}},
		Steps: []work.Step{{Count: 2, CPU: 100, EstMs: 5000}}}
	j.AcceptedMs = sim.at().WallMs
	sim.jobs[j.ID] = j
	eff := sim.state.Step(sim.at(), JobSubmitted{Job: j})
	asked := eff.Questions
	asked = append(asked, sim.state.Step(sim.at(), Place{}).Questions...)
	assert.Equal(t, len(asked), 1)
	assert.Equal(t, asked[0].Step, j.ID+".0.0")
	assert.Equal(t, len(asked[0].Workers), 2)
	assert.Equal(t, sim.state.jobs[j.ID].active, 0)
	good, id := sim.workers[1].instance, sim.workers[1].info.Incarnation.ID
	sim.step(AdviceReceived{Step: asked[0].Step, Tickets: map[string]string{good: "other"}, IDs: map[string]string{good: "i-earlier"}, ValidMs: 5000})
	sim.step(Place{})
	assert.Equal(t, sim.state.jobs[j.ID].active, 0, "a ticket of an earlier incarnation was used")
	sim.step(AdviceReceived{Step: asked[0].Step, Tickets: map[string]string{good: "pass"}, IDs: map[string]string{good: id}, ValidMs: 5000})
	sim.step(Place{})
	tasks := sim.state.jobs[j.ID].stages[0].tasks
	for i := range tasks {
		assert.Equal(t, tasks[i].worker.instance, good)
		assert.Equal(t, sim.state.startOrder(&tasks[i]).Ticket, "pass")
	}
}

// Guards against occurrences of a scheduled job that start too early or not at all.
func TestOccurrencesStartAtTheirTime(t *testing.T) {
	sim := newConnectedSimulation(t, 1)
	due := sim.at().WallMs + 2000
	sim.submit(&work.Job{ID: jobID(1), Repeat: 2, StartAtMs: due, IntervalMs: 3000, Steps: []work.Step{{Count: 1, CPU: 100, EstMs: 60_000}}})
	began := map[int]int64{}
	for sim.at().WallMs < due+4000 {
		sim.advance()
		for _, st := range sim.state.jobs[jobID(1)].stages {
			if st.tasks[0].run > 0 && began[st.occurrence] == 0 {
				began[st.occurrence] = sim.at().WallMs
			}
		}
	}
	for k := range 2 {
		at := due + int64(k)*3000
		assert.Assert(t, began[k] >= at && began[k] < at+500, "occurrence %d began %d ms after its time", k, began[k]-at)
	}
}

// Guards against a gang that is started in part, and one that is spread over racks although one rack has the capacity.
func TestGangIsPlacedWholeAndOnOneRack(t *testing.T) {
	sim := newConnectedSimulation(t, 4)
	for i, sw := range sim.workers {
		sw.info.Labels = []string{"a", fmt.Sprintf("r1-%d", i/2)}
		sw.info.Incarnation.StartedMs++
	}
	for range 20 {
		sim.advance()
	}
	sim.submit(&work.Job{ID: jobID(1), Steps: []work.Step{{Count: 6, CPU: 1000, EstMs: 60_000, Gang: true, RackLocal: true}}})
	sim.submit(&work.Job{ID: jobID(2), Steps: []work.Step{{Count: 20, CPU: 1000, EstMs: 60_000, Gang: true}}})
	for range 20 {
		sim.advance()
	}
	racks := map[string]bool{}
	run := 0
	tasks := sim.state.jobs[jobID(1)].stages[0].tasks
	for i := range tasks {
		assert.Assert(t, tasks[i].worker != nil)
		racks[tasks[i].worker.rack] = true
		run = max(run, tasks[i].run)
	}
	assert.Equal(t, len(racks), 1)
	for i := range tasks {
		assert.Equal(t, tasks[i].run, run, "members of a gang have different runs")
	}
	assert.Equal(t, sim.state.jobs[jobID(2)].active, 0, "a gang without enough capacity was started in part")
}

// Guards against tasks placed off the rack that their step names while it has capacity, and on workers without the
// required label.
func TestPlacementHonorsRackAndLabel(t *testing.T) {
	sim := newConnectedSimulation(t, 3)
	for i, sw := range sim.workers {
		sw.info.Labels = []string{[]string{"a", "b", "b"}[i], fmt.Sprintf("r1-%d", i)}
		sw.info.Incarnation.StartedMs++
	}
	for range 20 {
		sim.advance()
	}
	sim.submit(&work.Job{ID: jobID(1), Steps: []work.Step{{Count: 3, CPU: 500, EstMs: 60_000, Rack: "r1-2"}}})
	sim.submit(&work.Job{ID: jobID(2), Steps: []work.Step{{Count: 3, CPU: 500, EstMs: 60_000, Requires: "a"}}})
	sim.submit(&work.Job{ID: jobID(3), Steps: []work.Step{{Count: 6, CPU: 100, EstMs: 60_000, MaxPerWorker: 2}}})
	for range 20 {
		sim.advance()
	}
	for i := range 3 {
		assert.Equal(t, sim.state.jobs[jobID(1)].stages[0].tasks[i].worker.rack, "r1-2")
		assert.Equal(t, sim.state.jobs[jobID(2)].stages[0].tasks[i].worker.instance, sim.workers[0].instance)
	}
	count := map[string]int{}
	for i := range 6 {
		count[sim.state.jobs[jobID(3)].stages[0].tasks[i].worker.instance]++
	}
	for instance, n := range count {
		assert.Equal(t, n, 2, "%s has %d tasks of the step", instance, n)
	}
}

// Guards against a worker that gets no more work because its trial after a quarantine is a long-running task, which never
// ends (LOST on scale-2 of hartwell-keel-large: long-running tasks waited for 13 s although that worker had room).
func TestLongRunningTrialOpensTheWorker(t *testing.T) {
	sim := newConnectedSimulation(t, 1)
	s := sim.state
	w := s.ensureWorker(sim.workers[0].instance)
	w.health.stalls = failuresToQuarantine
	sim.submit(&work.Job{ID: jobID(1), Steps: []work.Step{{Count: 1, CPU: 1000, MemMB: 10, EstMs: 400, LongRunning: true, TargetMs: 50, Image: "s"}}})
	sim.step(Place{})
	assert.Equal(t, w.health.trialTasks, 1)
	assert.Assert(t, !s.schedulable(w))
	sim.submit(&work.Job{ID: jobID(2), Steps: []work.Step{{Count: 1, CPU: 1000, MemMB: 10, EstMs: 60_000}}})
	for i := 0; i < 100 && s.jobs[jobID(2)].active == 0; i++ {
		sim.advance()
	}
	assert.Equal(t, s.jobs[jobID(2)].active, 1)
}

// Guards against a job that counts as begun although no start has reached a worker: its recorded start goes to a worker that
// is lost for good, so that entries would leave it out of the number of pending jobs (MIXED).
func TestJobIsPendingUntilAWorkerHasBegunIt(t *testing.T) {
	sim := newConnectedSimulation(t, 1)
	s, sw := sim.state, sim.workers[0]
	sim.submit(&work.Job{ID: jobID(1), Steps: []work.Step{{Count: 2, CPU: 100, MemMB: 10, EstMs: 5000}}})
	stored := func() work.JobState {
		t.Helper()
		b := s.Collect()
		assert.Assert(t, len(b.Schedule) > 0, "nothing is stored")
		sim.record(b)
		s.Step(sim.at(), Committed{Batch: b})
		var p work.Progress
		assert.NilError(t, work.Decode(sim.stored[jobID(1)], &p))
		return p.State
	}
	s.Step(sim.at(), Place{})
	assert.Equal(t, stored(), work.Queued)
	tasks := s.jobs[jobID(1)].stages[0].tasks
	assert.Assert(t, tasks[0].worker != nil && tasks[0].recorded)
	report := func(rep link.Report) {
		info := sw.info
		rep.Worker, rep.Listed, rep.Fence, rep.LeaseLeftMs = &info, true, s.fence(tasks[0].worker), 4000
		s.Step(sim.at(), Reported{Instance: sw.instance, Report: &rep})
	}
	report(link.Report{Runs: []link.Run{{Task: tasks[0].name().String(), Run: 1}}})
	assert.Equal(t, stored(), work.Running)
	sim.electDecider()
	assert.Assert(t, sim.state.jobs[jobID(1)].started, "a later decider shows the job as pending again")
}
