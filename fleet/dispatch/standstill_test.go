package dispatch

import (
	"slices"

	"github.com/verbenakeel/verbenakeel/fleet/work"
)

const (
	// standstillMs is how long an accepted job may have nothing running by the rule on LOST while a task's turn has come, there is
	// capacity for it twice over and under half of the service's capacity is in use.
	standstillMs = 3000
	// lastingTaskGraceMs is the time after the last run of a long-running task from which the rule holds for it.
	lastingTaskGraceMs = 6000
	// settleMs is the time after a fault from which the rule is checked, beside twice the longest lease: a run that may be active on a
	// worker that was lost is awaited.
	settleMs = 10_000
)

// standstills tells since when jobs have stood still by the rule on LOST.
type standstills struct {
	// calmFromMs is from when on no earlier fault has an effect, sinceMs since when each job has stood still.
	calmFromMs int64
	sinceMs    map[string]int64
	// ranMs is when a run of each job last began or ended: it may be shorter than a step of the simulation.
	ranMs map[string]int64
	// lastingSinceMs is since when each long-running task that does not run could do so.
	lastingSinceMs map[string]int64
	// judged counts the checks of jobs with nothing running of which a task's turn had come.
	judged int
}

// disturbed records a fault or a change of the decider.
func (sim *simulation) disturbed() {
	x := &sim.standstills
	x.calmFromMs, x.sinceMs, x.lastingSinceMs = sim.now+2*sim.longestLease()+settleMs, nil, nil
}

// ran records that a run of a task begins or ends.
func (x *standstills) ran(task string, now int64) {
	if x.ranMs == nil {
		x.ranMs = map[string]int64{}
	}
	name, _ := work.ParseTaskName(task)
	x.ranMs[name.Job] = now
}

// isDisturbed reports whether faults are played, or a worker or the adviser does not answer.
func (sim *simulation) isDisturbed() bool {
	if !sim.faultFree || sim.adviser != nil && (sim.adviser.silent || sim.adviser.refuses) {
		return true
	}
	return slices.ContainsFunc(sim.workers, func(sw *simWorker) bool { return !sw.connected || !sim.answers(sw) })
}

// checkStandstill checks the rule on LOST for every accepted job, by what the workers run and not by what the decider knows.
func (sim *simulation) checkStandstill() {
	x := &sim.standstills
	if sim.isDisturbed() {
		sim.disturbed()
	}
	if sim.now < x.calmFromMs {
		return
	}
	sim.checkCancelledTasks()
	running := map[string]bool{}
	used, all := int64(0), int64(0)
	for _, sw := range sim.workers {
		all += sw.info.CPU
		for n := range sw.runs {
			name, _ := work.ParseTaskName(n)
			running[name.Job] = true
			used += sim.stepOf(n).CPU
		}
	}
	next := map[string]int64{}
	for id, j := range sim.jobs {
		if running[id] || 2*used >= all || sim.hasEnded(id) {
			continue
		}
		task, ok := sim.taskWithRoomTwice(j)
		if !ok {
			continue
		}
		x.judged++
		next[id] = sim.now
		if since, stood := x.sinceMs[id]; stood {
			next[id] = max(since, x.ranMs[id])
		}
		if sim.now-next[id] >= standstillMs {
			sim.t.Fatalf("%d: job %s has had nothing running for %d ms, while the turn of %s has come and there is room for it twice over", sim.now, id, sim.now-next[id], task)
		}
	}
	x.sinceMs = next
	sim.checkLastingTasks()
}

// cancelBoundMs and stopBoundMs are bounds of the rule on UNASKED: a task of a cancelled job may run until both have passed.
const cancelBoundMs, stopBoundMs = 3000, 200

// checkCancelledTasks checks the rule on UNASKED for every task of every cancelled job. calmFromMs leaves time for the effects of faults.
func (sim *simulation) checkCancelledTasks() {
	for _, sw := range sim.workers {
		for n, r := range sw.runs {
			name, _ := work.ParseTaskName(n)
			if at, ok := sim.cancels[name.Job]; ok && sim.now-max(at, sim.standstills.calmFromMs) > cancelBoundMs+stopBoundMs {
				sim.t.Fatalf("%d: run %d of %s goes on on %s, whose job was cancelled at %d", sim.now, r.run, n, sw.instance, at)
			}
		}
	}
}

// checkLastingTasks checks the part of the rule that holds for each long-running task, whether others of its job run or not and however full
// the service is.
func (sim *simulation) checkLastingTasks() {
	x := &sim.standstills
	next := map[string]int64{}
	for id, j := range sim.jobs {
		if !j.LongRunning() || sim.hasEnded(id) {
			continue
		}
		for _, name := range taskNames(j) {
			step := &j.Steps[name.Step]
			task := name.String()
			if !step.LongRunning || !sim.isDue(j, name.Occurrence) || sim.runs(task) || !sim.turnHasCome(j, name.Occurrence, name.Step) || !sim.hasRoomTwice(step, j.Queue.Advice != nil) {
				continue
			}
			next[task] = max(sim.now, sim.endedAt[task]+lastingTaskGraceMs)
			if since, waited := x.lastingSinceMs[task]; waited {
				next[task] = max(since, sim.endedAt[task]+lastingTaskGraceMs)
			}
			if sim.now-next[task] >= standstillMs {
				sim.t.Fatalf("%d: %s, which lasts, has not run since %d although there is room for it twice over", sim.now, task, sim.endedAt[task])
			}
		}
	}
	x.lastingSinceMs = next
}

// isDue reports whether the time of an occurrence has come.
func (sim *simulation) isDue(j *work.Job, occurrence int) bool {
	return j.StartAtMs+int64(occurrence)*j.IntervalMs <= sim.at().WallMs
}

// hasEnded reports whether a job was cancelled or has a final state on record.
func (sim *simulation) hasEnded(id string) bool {
	if _, cancelled := sim.cancels[id]; cancelled {
		return true
	}
	var p struct {
		State work.JobState `cbor:"1,keyasint"`
	}
	if data := sim.stored[id]; data != nil {
		if err := work.Decode(data, &p); err != nil {
			sim.t.Fatal(err)
		}
	}
	return p.State.Final()
}

// taskWithRoomTwice returns a task of a job whose turn has come and for which there is capacity twice over.
func (sim *simulation) taskWithRoomTwice(j *work.Job) (string, bool) {
	due := j.Occurrences()
	if j.Repeat > 0 && j.IntervalMs > 0 {
		due = min(due, int(max(sim.at().WallMs-j.StartAtMs+j.IntervalMs, 0)/j.IntervalMs))
	}
	if j.StartAtMs > sim.at().WallMs {
		return "", false
	}
	for i := range j.Steps {
		if !sim.hasRoomTwice(&j.Steps[i], j.Queue.Advice != nil) {
			continue
		}
		for k := range due {
			if !sim.turnHasCome(j, k, i) {
				continue
			}
			if name, ok := sim.undone(j, k, i); ok && sim.permitted(j, k, i) {
				return name, true
			}
		}
	}
	return "", false
}

// turnHasCome reports whether the steps that a step depends on are done in an occurrence.
func (sim *simulation) turnHasCome(j *work.Job, occurrence, step int) bool {
	for _, d := range j.Steps[step].DependsOn {
		if _, undone := sim.undone(j, occurrence, d); undone {
			return false
		}
	}
	return true
}

// undone returns a task of a step that has not ended as done.
func (sim *simulation) undone(j *work.Job, occurrence, step int) (string, bool) {
	for k := range j.Steps[step].Count {
		name := work.TaskName{Job: j.ID, Occurrence: occurrence, Step: step, Index: k}.String()
		if !sim.done[name] {
			return name, true
		}
	}
	return "", false
}

// permitted reports whether the adviser permits a step on some worker, if it has to.
func (sim *simulation) permitted(j *work.Job, occurrence, step int) bool {
	if j.Queue.Advice == nil {
		return true
	}
	if sim.adviser == nil {
		return false // nobody answers
	}
	if sim.adviser.permits == nil {
		return true
	}
	name := (&stage{job: &job{def: j}, occurrence: occurrence, index: step}).stepName()
	return slices.ContainsFunc(sim.workers, func(sw *simWorker) bool { return sim.adviser.permits(name, sw.info.Incarnation.ID) })
}

// hasRoomTwice reports whether sound workers have room for a task twice over, or for all tasks of a gang; a step that the adviser
// permits on some workers only needs all of them to have room.
func (sim *simulation) hasRoomTwice(step *work.Step, everywhere bool) bool {
	places, fullWorkers := 0, 0
	for _, sw := range sim.workers {
		n := sim.placesOn(sw, step)
		if n < 2 {
			fullWorkers++
			n = 0
		}
		places += n
	}
	wanted := 2
	if step.Gang {
		wanted = 2 * step.Count
	}
	return places >= wanted && !(everywhere && fullWorkers > 0)
}

// placesOn returns for how many tasks of a step a worker has room; 0 if it may not run them.
func (sim *simulation) placesOn(sw *simWorker, step *work.Step) int {
	w := sim.state.workers[sw.instance]
	if !sw.connected || !sim.answers(sw) || sw.info.Draining || w == nil || w.info == nil {
		return 0
	}
	// A worker that the decider distrusts has room all the same.
	if o := sim.state.unavailability(w); o != noObstacle && o != ObstacleQuarantined {
		return 0
	}
	if step.Requires != "" && !slices.Contains(sw.info.Labels, step.Requires) {
		return 0
	}
	cpu, mem, gpu := sw.info.CPU, sw.info.MemMB, sw.info.GPU
	for n := range sw.runs {
		other := sim.stepOf(n)
		cpu, mem, gpu = cpu-other.CPU, mem-other.MemMB, gpu-other.GPU
	}
	places := cpu / max(step.CPU, 1)
	places = min(places, mem/max(step.MemMB, 1))
	if step.GPU > 0 {
		places = min(places, gpu/step.GPU)
	}
	if step.MaxPerWorker > 0 {
		places = min(places, int64(2*step.MaxPerWorker))
	}
	return int(max(places, 0))
}
