package dispatch

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/verbenakeel/verbenakeel/fleet/bounds"
	"github.com/verbenakeel/verbenakeel/fleet/link"
	"github.com/verbenakeel/verbenakeel/fleet/work"
)

// simulation runs the decider's state machine against simulated workers, side processes and a store in virtual time,
// with faults drawn from a seed. It checks invariants at each start of a run.
type simulation struct {
	t      *testing.T
	rng    *rand.Rand
	now    int64
	bounds bounds.Bounds
	// options are those of the deciders.
	options Options
	state   *State
	epoch   uint64

	workers []*simWorker
	// stored holds the stored progress by job, inFlight the batch that is being stored until commitAt.
	stored map[string][]byte
	// checkpoints holds the stored checkpoints by job.
	checkpoints map[string][]byte
	inFlight    *Batch
	commitAt    int64
	jobs        map[string]*work.Job
	cancels     map[string]int64
	// acknowledged holds tasks whose completion as done the workers were told to forget. As in the rule on tasks that run
	// twice, a completion does not count if the worker's lease has expired between it and the acknowledgement.
	acknowledged map[string]bool
	// startsOn counts the starts on each instance.
	startsOn map[string]int
	// started holds when each task was last started.
	started map[string]int64
	// done holds tasks that a worker completed as done.
	done map[string]bool
	// failures holds when the acknowledged runs of each task ended that failed.
	failures map[string][]int64
	// stopped holds the tasks whose last run an order has ended, until they are started again, and endedAt when the last run of a
	// task ended for any cause.
	stopped map[string]bool
	endedAt map[string]int64
	// stopsAtWork counts the runs of limited steps at work that an order has ended.
	stopsAtWork int
	// faultFree turns faults off, as at the end of a simulation.
	faultFree bool
	// listedEnds is the number of ended runs that a worker lists at once.
	listedEnds int
	// soundTasks makes no run fail by itself. With thousands of short runs those that do would put every worker into quarantine.
	soundTasks bool
	// failing holds the jobs whose runs all fail, stuck those whose runs make no progress and do not end, and broken the instances whose
	// worker fails every run.
	failing, stuck, broken map[string]bool
	// periodicLoad makes the load of latency-critical tasks a wave, so that the decider predicts it.
	periodicLoad bool
	// learned is the interference model that the decider stored last.
	learned []byte
	// backlog is the stored backlog, backlogAt when it or its removal was stored last.
	backlog   []byte
	backlogAt int64
	// delayedCalls holds calls to workers that are carried out later.
	delayedCalls []delayedCall
	// lives draws faults that involve several lives of a worker; nil for none. It is apart from rng, so that simulations without
	// them keep their course.
	lives *rand.Rand
	// changeAt is when the decider is replaced because of such a fault, 0 for never. replacedUntil is until when a replaced decider
	// answers reports.
	changeAt, replacedUntil int64
	// replaced holds deciders that do not know yet that another one has claimed.
	replaced []replacedDecider
	// adviser answers the questions of the decider; nil if no queue needs it.
	adviser *simAdviser
	// standstills tells which jobs stand still though they could go on.
	standstills standstills
}

// replacedDecider is a decider that was frozen or waits for the answer of the store, while another one has claimed. The
// store fences its next append off, but it may still learn that its last one was stored, and send the orders that
// depend on it.
type replacedDecider struct {
	state    *State
	batch    *Batch
	answerAt int64
}

type simRun struct {
	run             int
	beganAt, endsAt int64
	how             link.Outcome
	// stuck is true if the run makes no progress.
	stuck bool
}

// percent returns the progress of a run; 100 for a long-running one.
func (r *simRun) percent(now int64) int {
	switch {
	case r.stuck:
		return 0
	case r.endsAt == neverEnds:
		return 100
	}
	return int(min(100*(now-r.beganAt)/(r.endsAt-r.beganAt), 100))
}

const (
	// stepMs is the time between two steps of a simulation.
	stepMs = 50
	// gangWaitMs is how long members of a gang wait for each other.
	gangWaitMs = 3000
	// fewListedEnds is the number of ended runs that a worker lists at once, so that lists are cut. Workers list 500.
	fewListedEnds = 3
	// neverEnds is the end time of a long-running run.
	neverEnds = 1 << 60
)

// allOptions turns every option of a decider on.
var allOptions = Options{Order: OrderScarcity, Durations: DurationsLearned, PublishBacklog: true, LoadForecast: true, PlaceByForecast: true}

func newSimulation(t *testing.T, seed uint64, workers int) *simulation {
	return newLivesSimulation(t, seed, workers, 6*time.Second, nil)
}

// newLivesSimulation is newSimulation with the longest lease and what draws faults that involve several lives of a worker.
func newLivesSimulation(t *testing.T, seed uint64, workers int, longest time.Duration, lives *rand.Rand) *simulation {
	sim := &simulation{t: t, listedEnds: fewListedEnds, rng: rand.New(rand.NewPCG(seed, 1)), now: 100_000, stored: map[string][]byte{}, checkpoints: map[string][]byte{}, jobs: map[string]*work.Job{},
		cancels: map[string]int64{}, startsOn: map[string]int{}, failing: map[string]bool{}, stuck: map[string]bool{}, broken: map[string]bool{}, started: map[string]int64{}, acknowledged: map[string]bool{}, done: map[string]bool{}, failures: map[string][]int64{},
		stopped: map[string]bool{}, endedAt: map[string]int64{}, lives: lives}
	// Every other seed, so that the course of seedsThatFailed stays the same.
	if seed%2 == 0 {
		sim.options = allOptions
	}
	sim.bounds = bounds.Bounds{MaxLease: longest, MaxOverTarget: 4 * time.Second,
		MaxStartDelay: 4500 * time.Millisecond, StatusRetention: 120 * time.Second, OffRackFactor: 1.5,
		Restore: 600 * time.Millisecond, StarvationLimit: 14 * time.Second}.Derive()
	for i := range workers {
		sim.workers = append(sim.workers, sim.newWorker(fmt.Sprintf("side-%d", i)))
	}
	sim.electDecider()
	return sim
}

// newWorker returns a worker whose side process has been running for a minute.
func (sim *simulation) newWorker(instance string) *simWorker {
	sw := &simWorker{instance: instance}
	sim.now -= 60_000
	sim.restartSide(sw, sim.now)
	sim.startIncarnation(sw)
	sw.side.heartbeatAt = sim.now
	sim.hearHeartbeat(sw)
	sim.now += 60_000
	return sw
}

func (sim *simulation) at() Now { return Now{BootMs: sim.now, WallMs: sim.now + 1_700_000_000_000} }

// electDecider starts a new decider from the stored state.
func (sim *simulation) electDecider() {
	sim.disturbed()
	sim.epoch++
	sim.inFlight = nil
	for _, sw := range sim.workers {
		if sw.connected {
			sw.linkedTo = sim.state
		}
		sw.connected = false
	}
	sim.state = New(sim.bounds, sim.epoch, sim.at(), sim.options)
	sim.step(ConfigChanged{Config: &work.Config{Version: 1, Services: map[string]work.Service{"app": {Name: "app"}}}})
	if sim.learned != nil {
		var in work.Interference
		if err := work.Decode(sim.learned, &in); err != nil {
			sim.t.Fatal(err)
		}
		sim.step(ModelRestored{Interference: &in})
	}
	if len(sim.backlog) > 0 {
		sim.step(BacklogFound{})
	}
	ids := make([]string, 0, len(sim.jobs))
	for id := range sim.jobs {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		sim.submitToDecider(id)
	}
}

// submitToDecider submits a job, its stored progress and its cancellation to the decider.
func (sim *simulation) submitToDecider(id string) {
	var p *work.Progress
	if data := sim.stored[id]; data != nil {
		p = &work.Progress{}
		if err := work.Decode(data, p); err != nil {
			sim.t.Fatal(err)
		}
	}
	var c *work.Checkpoints
	if data := sim.checkpoints[id]; data != nil {
		c = &work.Checkpoints{}
		if err := work.Decode(data, c); err != nil {
			sim.t.Fatal(err)
		}
	}
	sim.step(JobSubmitted{Job: sim.jobs[id], Progress: p, Checkpoints: c})
	if _, ok := sim.cancels[id]; ok {
		sim.step(JobCancelled{ID: id})
	}
}

// step applies an event and carries out the resulting orders.
func (sim *simulation) step(e Event) {
	eff := sim.state.Step(sim.at(), e)
	for _, o := range eff.Orders {
		for _, sw := range sim.workers {
			if sw.instance == o.Instance && sw.connected {
				sim.handleOrders(sw, o.Orders)
			}
		}
	}
	if sim.adviser != nil {
		for _, q := range eff.Questions {
			sim.adviser.call(sim, q)
		}
	}
}

// acknowledge records the acknowledgement of a completion and checks the starts since that completion.
func (sim *simulation) acknowledge(e link.Completion, endedAt int64) {
	switch e.Outcome {
	case link.Done:
		sim.acknowledged[e.Task] = true
		if at := sim.started[e.Task]; at > endedAt {
			sim.t.Fatalf("%d: %s was started at %d after run %d had ended done at %d, which is acknowledged", sim.now, e.Task, at, e.Run, endedAt)
		}
	case link.Failed:
		sim.failures[e.Task] = append(sim.failures[e.Task], endedAt)
		sim.checkFailures(e.Task)
	}
}

// checkFailures checks that a task was not started after as many acknowledged failures as its queue permits.
func (sim *simulation) checkFailures(task string) {
	name, _ := work.ParseTaskName(task)
	before := 0
	for _, at := range sim.failures[task] {
		if at < sim.started[task] {
			before++
		}
	}
	if j := sim.jobs[name.Job]; before >= j.Queue.Attempts && !j.Steps[name.Step].LongRunning {
		sim.t.Fatalf("%d: %s was started at %d after %d failures", sim.now, task, sim.started[task], before)
	}
}

// noticeMs is how long a task may be away for any cause before the rule on AVAIL counts it.
const noticeMs = 4500

// checkUnavailable checks the rule on AVAIL when an order ends a run: of a step that limits how many of its tasks may be unavailable
// fewer others are so, by an order or for longer than noticeMs.
func (sim *simulation) checkUnavailable(sw *simWorker, stopped string) {
	name, _ := work.ParseTaskName(stopped)
	step := sim.stepOf(stopped)
	if _, cancelled := sim.cancels[name.Job]; cancelled || step.MaxUnavailable == 0 || !step.LongRunning || sw.info.Draining ||
		sw.runs[stopped].percent(sim.now) < 100 {
		return
	}
	sim.stopsAtWork++
	away := 0
	for k := range step.Count {
		name.Index = k
		other := name.String()
		if other != stopped && !sim.runs(other) && (sim.stopped[other] || sim.now-sim.endedAt[other] > noticeMs) {
			away++
		}
	}
	if away >= step.MaxUnavailable {
		sim.t.Fatalf("%d: %s, which is at work on %s, is stopped while %d others of its step are away; it allows %d", sim.now, stopped, sw.instance, away, step.MaxUnavailable)
	}
}

// runs reports whether a run of a task is active.
func (sim *simulation) runs(task string) bool {
	for _, sw := range sim.workers {
		if sw.runs[task] != nil {
			return true
		}
	}
	return false
}

func (sim *simulation) end(sw *simWorker, name string, how link.Outcome) {
	r := sw.runs[name]
	delete(sw.runs, name)
	sim.endedAt[name] = sim.now
	sim.standstills.ran(name, sim.now)
	sw.lastCompletion++
	sw.blocked[name] = max(sw.blocked[name], r.run)
	sw.lapsesAtEnd[sw.lastCompletion], sw.endedAt[sw.lastCompletion] = sw.lapses, sim.now
	sw.completions = append(sw.completions, link.Completion{Number: sw.lastCompletion, Task: name, Run: r.run, Outcome: how})
}

// startRun starts a run and checks the invariants.
func (sim *simulation) startRun(sw *simWorker, st link.Start, c workerCall) {
	sim.settleCalls(sw, st.Task, st.Run)
	if !sim.accept(sw, c) || st.Run <= sw.blocked[st.Task] || sim.leaseOf(sw, c) <= sim.now || sw.runs[st.Task] != nil {
		return
	}
	name, ok := work.ParseTaskName(st.Task)
	if !ok || sim.jobs[name.Job] == nil {
		sim.t.Fatalf("a task of no submitted job was started: %s", st.Task)
	}
	j := sim.jobs[name.Job]
	step := &j.Steps[name.Step]
	if sim.acknowledged[st.Task] {
		sim.t.Fatalf("%d: %s run %d started after its completion was acknowledged", sim.now, st.Task, st.Run)
	}
	for _, other := range sim.workers {
		if r := other.runs[st.Task]; r != nil {
			sim.t.Fatalf("%d: %s run %d started on %s while run %d is active on %s", sim.now, st.Task, st.Run, sw.instance, r.run, other.instance)
		}
	}
	for _, d := range step.DependsOn {
		for i := range j.Steps[d].Count {
			before := work.TaskName{Job: j.ID, Occurrence: name.Occurrence, Step: d, Index: i}.String()
			if !sim.done[before] {
				sim.t.Fatalf("%d: %s started before %s was done", sim.now, st.Task, before)
			}
		}
	}
	// The rule does not count orders that a worker has carried out late.
	if at, ok := sim.cancels[j.ID]; ok && c.sentMs-at > 3000 {
		sim.t.Fatalf("%d: %s started by a call that was made %d ms after its cancellation", sim.now, st.Task, c.sentMs-at)
	}
	used := step.CPU
	for n := range sw.runs {
		o, _ := work.ParseTaskName(n)
		if os := &sim.jobs[o.Job].Steps[o.Step]; !os.BestEffort {
			used += os.CPU
		}
	}
	if !step.BestEffort && used > sw.info.CPU {
		sim.t.Fatalf("%d: %s commits %s to %d of %d mCPU", sim.now, st.Task, sw.instance, used, sw.info.CPU)
	}
	r := &simRun{run: st.Run, how: link.Done, beganAt: sim.now, endsAt: sim.now + step.EstMs/2 + sim.rng.Int64N(step.EstMs)}
	if step.LongRunning || sim.stuck[j.ID] {
		r.endsAt = neverEnds
	}
	r.stuck = sim.stuck[j.ID]
	if sim.rng.IntN(15) == 0 && !sim.soundTasks || sim.failing[j.ID] || sim.broken[sw.instance] {
		r.how = link.Failed
	}
	sim.startsOn[sw.instance]++
	sw.runs[st.Task] = r
	sim.started[st.Task] = sim.now
	sim.standstills.ran(st.Task, sim.now)
	delete(sim.stopped, st.Task)
	sim.checkFailures(st.Task)
}

// advance advances the simulation by one step.
func (sim *simulation) advance() {
	sim.now += stepMs
	if sim.adviser != nil {
		sim.adviser.answer(sim)
	}
	for _, sw := range sim.workers {
		sim.expireLease(sw)
	}
	sim.runDelayedCalls()
	sim.runReplacedDeciders()
	for _, sw := range sim.workers {
		sim.finishRuns(sw)
		sim.injectFaults(sw)
		sim.hearHeartbeat(sw)
		sim.endEarlierStarts(sw)
		sim.carryOutPending(sw)
		sim.report(sw)
	}
	if sim.faultFree {
		sim.step(EventsWaited{})
	} else {
		sim.step(EventsWaited{Wait: eventWait(sim.now)})
	}
	sim.step(Place{})
	if sim.now%100 == 0 {
		sim.step(Tick{})
	}
	sim.storeBatch()
	sim.checkStandstill()
	if !sim.faultFree && sim.rng.IntN(600) == 0 || sim.changeAt > 0 && sim.now >= sim.changeAt {
		sim.changeDecider()
		sim.changeAt = 0
	}
}

// eventWait returns how far the decider is behind at a time: for two of every ten seconds far enough to set fewer shares,
// and for one to start fewer tasks.
func eventWait(now int64) time.Duration {
	switch now / 1000 % 10 {
	case 3, 4:
		return fewerSharesWait
	case 5:
		return fewerStartsWait
	}
	return 0
}

// finishRuns ends runs that are finished or whose lease has expired, in the order of their names.
func (sim *simulation) finishRuns(sw *simWorker) {
	sim.expireLease(sw)
	for _, n := range sw.runNames() {
		r := sw.runs[n]
		if r == nil {
			continue // ended together with its gang
		}
		name, _ := work.ParseTaskName(n)
		gang := sim.jobs[name.Job].Steps[name.Step].Gang
		switch {
		case r.endsAt > sim.now:
		case gang && sim.countMembers(name, r.run) < sim.jobs[name.Job].Steps[name.Step].Count:
			if sim.now-r.endsAt > gangWaitMs {
				sim.end(sw, n, link.GangIncomplete)
			}
		case gang && r.how == link.Done:
			sim.endGang(name, r.run, link.Done)
		default:
			if r.how == link.Done {
				sim.done[n] = true
			}
			sim.end(sw, n, r.how)
			if gang {
				sim.endGang(name, r.run, link.GangMemberEnded)
			}
		}
	}
}

// runNames returns the names of the tasks of active runs in their order.
func (sw *simWorker) runNames() []string { return slices.Sorted(maps.Keys(sw.runs)) }

// countMembers counts the active members of a gang's run.
func (sim *simulation) countMembers(name work.TaskName, run int) int {
	n := 0
	for _, sw := range sim.workers {
		for other, r := range sw.runs {
			o, _ := work.ParseTaskName(other)
			if o.Job == name.Job && o.Occurrence == name.Occurrence && o.Step == name.Step && r.run == run {
				n++
			}
		}
	}
	return n
}

// endGangOf ends the other members of a gang of which one has ended.
func (sim *simulation) endGangOf(task string, run int) {
	if name, _ := work.ParseTaskName(task); sim.jobs[name.Job].Steps[name.Step].Gang {
		sim.endGang(name, run, link.GangMemberEnded)
	}
}

// endGang ends all active members of a gang's run. One completion as done stands for all.
func (sim *simulation) endGang(name work.TaskName, run int, how link.Outcome) {
	for i := range sim.jobs[name.Job].Steps[name.Step].Count {
		name.Index = i
		if how == link.Done {
			sim.done[name.String()] = true
		}
		for _, sw := range sim.workers {
			if r := sw.runs[name.String()]; r != nil && r.run == run {
				sim.end(sw, name.String(), how)
			}
		}
	}
}

// injectFaults disconnects side processes and restarts workers at random.
func (sim *simulation) injectFaults(sw *simWorker) {
	if !sim.faultFree && sim.rng.IntN(400) == 0 {
		if sw.connected {
			sw.connected = false
			sim.step(SideDisconnected{Instance: sw.instance})
		}
		sw.disconnectedUntil = sim.now + int64(sim.rng.IntN(9000))
	}
	if !sim.faultFree && sim.rng.IntN(1500) == 0 {
		sim.startIncarnation(sw)
	}
	if !sim.faultFree && sim.rng.IntN(700) == 0 {
		sw.unresponsiveUntil = sim.now + int64(sim.rng.IntN(12_000))
	}
	if !sim.faultFree && sim.rng.IntN(900) == 0 {
		sim.restartSide(sw, sim.now+int64(sim.rng.IntN(8000)))
		sw.linkedTo = nil
		if sim.lifeFault(2) {
			sim.startIncarnation(sw)
		}
		if sw.connected {
			sw.connected = false
			sim.step(SideDisconnected{Instance: sw.instance})
		}
	}
	sim.injectLifeFaults(sw)
	if !sw.connected && sim.now >= sw.disconnectedUntil {
		sw.linkedTo = nil // the side process closes the connection of an earlier epoch
		sw.connected = true
		sw.side.ordersReceived, sw.side.pending, sw.side.refusals, sw.side.answeredReportMs = 0, nil, nil, 0
		sim.step(SideConnected{Instance: sw.instance})
	}
}

// lifeFault draws whether a fault happens that involves several lives of a worker.
func (sim *simulation) lifeFault(n int) bool {
	return sim.lives != nil && !sim.faultFree && sim.lives.IntN(n) == 0
}

// injectLifeFaults restarts workers under their ids, cuts their side processes off soon after, and changes the decider around that.
func (sim *simulation) injectLifeFaults(sw *simWorker) {
	if sim.lifeFault(500) {
		if sim.lives.IntN(4) == 0 {
			sw.cutAt = sim.now + sim.lives.Int64N(500) // before the next life is known
		}
		sw.downUntil = sim.now + sim.lives.Int64N(2000)
		sim.startIncarnation(sw)
		sw.side.heartbeatAt = max(sw.side.heartbeatAt, sw.downUntil+sim.lives.Int64N(800))
		if sw.cutAt == 0 {
			sw.cutAt = sw.side.heartbeatAt + sim.lives.Int64N(3000)
		}
	}
	if sw.cutAt == 0 || sim.now < sw.cutAt {
		return
	}
	sw.cutAt = 0
	if sim.faultFree {
		return
	}
	sw.linkedTo = nil
	sw.disconnectedUntil = sim.now + sim.lives.Int64N(2*sim.longestLease())
	if sw.connected {
		sw.connected = false
		sim.step(SideDisconnected{Instance: sw.instance})
	}
	if sim.lives.IntN(3) == 0 {
		sim.changeAt = sim.now + sim.lives.Int64N(5000)
	}
}

// stepOf returns the step of a task.
func (sim *simulation) stepOf(name string) *work.Step {
	n, _ := work.ParseTaskName(name)
	return &sim.jobs[n.Job].Steps[n.Step]
}

// reportedLoad returns the load that a worker reports of a run: the tail latency of a latency-critical task, else the
// CPU use. A best-effort task interferes with a latency-critical task whose image ends in the same letter.
func (sim *simulation) reportedLoad(sw *simWorker, name string) int64 {
	step := sim.stepOf(name)
	if step.TargetMs == 0 {
		return step.CPU
	}
	const idle, heavy = 10.0, 4.0
	load := 0.4
	if sim.periodicLoad {
		load += 0.2 * math.Sin(2*math.Pi*float64(sim.now)/14_000)
	}
	slowdown := 1.0
	for other := range sw.runs {
		o := sim.stepOf(other)
		if o.BestEffort && o.Image != "" && o.Image[len(o.Image)-1] == step.Image[len(step.Image)-1] {
			slowdown += heavy * float64(o.CPU) / float64(sw.info.CPU)
		}
	}
	return int64(min(idle*slowdown/max(1-load*slowdown, 0.02), 500))
}

// storeBatch stores the decider's changes after a delay.
func (sim *simulation) storeBatch() {
	if sim.inFlight != nil {
		if sim.now >= sim.commitAt {
			b := sim.inFlight
			sim.inFlight = nil
			sim.record(b)
			sim.step(Committed{Batch: b})
		}
		return
	}
	if b := sim.state.Collect(); !b.Empty() {
		sim.inFlight, sim.commitAt = b, sim.now+stepMs*int64(1+sim.rng.IntN(2))
		if !sim.faultFree && sim.rng.IntN(40) == 0 {
			sim.commitAt += 3000
		}
	}
}

func (sim *simulation) record(b *Batch) {
	for _, r := range b.Schedule {
		if r.Key == work.KeyInterference {
			sim.learned = r.Value
		}
		if r.Key == work.KeyBacklog {
			sim.backlog, sim.backlogAt = r.Value, sim.now
		}
		if id, ok := strings.CutPrefix(r.Key, work.PrefixProgress); ok {
			sim.stored[id] = r.Value
		}
		if id, ok := strings.CutPrefix(r.Key, work.PrefixCheckpoints); ok {
			sim.checkpoints[id] = r.Value
		}
	}
}

// runReplacedDeciders delivers late answers of the store to replaced deciders, whose orders reach the side processes
// that the current decider has not connected to.
func (sim *simulation) runReplacedDeciders() {
	kept := sim.replaced[:0]
	for _, r := range sim.replaced {
		if sim.now < r.answerAt {
			kept = append(kept, r)
			continue
		}
		for _, o := range r.state.Step(sim.at(), Committed{Batch: r.batch}).Orders {
			for _, sw := range sim.workers {
				if sw.instance == o.Instance && sw.linkedTo == r.state {
					sim.handleOrders(sw, o.Orders)
				}
			}
		}
	}
	sim.replaced = kept
}

// changeDecider replaces the decider. The batch in flight may or may not have been stored, and if it was, the replaced
// decider may learn so only after the other one has claimed. Sides that are slow to connect keep the old connection.
func (sim *simulation) changeDecider() {
	if sim.inFlight != nil && sim.rng.IntN(2) == 0 {
		sim.record(sim.inFlight)
		sim.replaced = append(sim.replaced, replacedDecider{sim.state, sim.inFlight, sim.now + int64(sim.rng.IntN(3000))})
	}
	for _, sw := range sim.workers {
		if sim.rng.IntN(2) == 0 {
			sw.disconnectedUntil = max(sw.disconnectedUntil, sim.now+int64(sim.rng.IntN(4000)))
		}
	}
	sim.replacedUntil = sim.now + sim.bounds.AuthorityTimeout.Milliseconds()
	sim.now += int64(sim.rng.IntN(40)) * stepMs
	for _, sw := range sim.workers {
		sim.finishRuns(sw)
	}
	sim.electDecider()
}
