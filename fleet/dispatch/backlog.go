package dispatch

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/verbenakeel/verbenakeel/fleet/admission"
	"github.com/verbenakeel/verbenakeel/fleet/work"
)

const (
	// backlogIntervalMs is the time between two computations of the backlog, and so the minimum between two records.
	backlogIntervalMs = 500
	// backlogRefreshMs is the age at which an unchanged record is stored again: entries use it for admission.MaxAgeMs.
	backlogRefreshMs = 1000
	// capacityWindowMs is the time over which capacity is measured: tasks take some seconds, and an availability zone may
	// leave at any time.
	capacityWindowMs = 5000
	// minSamples is the number of intervals with too little room from which a wait is published. A single wide job fills the
	// room for less.
	minSamples = 2
	// settledSamples is the number of intervals from which the measured progress alone counts. Before, tasks that have just
	// started show none, and the CPU that they have counts if it is more.
	settledSamples = 4
	// minProgressShare is the minimum capacity relative to the CPU that tasks have, for workers that report no progress.
	minProgressShare = 0.25
	// minWaitMs is the shortest wait that is published. Starting a task takes up to a second, and no usual objective makes a
	// shorter wait matter.
	minWaitMs = 2000
	// scatteredShare is the part of the CPU that stays unreserved in pieces too small for a task where there is too little room.
	scatteredShare = 0.02
	// minReachableShare is the part of a service's workers that must be schedulable. Where fewer are, a fault that ends
	// within seconds is more likely than a lack of capacity, and the measured capacity means nothing.
	minReachableShare = 0.5
	// changedShare is the relative change of a wait that is stored before the record is due again.
	changedShare = 0.15
	// fallWeight is the weight of the newest change in the exponentially weighted mean of the fall of a wait.
	fallWeight = 0.5
)

// capacityKind is a kind of capacity of a service.
type capacityKind struct {
	service    string
	bestEffort bool
}

// backlog measures the capacity that tasks get and derives the expected wait of new work.
type backlog struct {
	enabled bool
	kinds   map[capacityKind]*kindBacklog
	// rows holds the expected waits as of sampledMs, sampledWallMs by the wall clock.
	rows                     []admission.Row
	sampledMs, sampledWallMs int64
	// stored is true while the store has a record, of this decider or an earlier one. storedRows is the content of the
	// newest one of this decider, storedMs its sampledMs.
	stored     bool
	storedRows []admission.Row
	storedMs   int64
}

// kindBacklog is the backlog of one kind of capacity. Work is in core-milliseconds of declared durations, so that wrong
// declarations affect the work and the capacity alike.
type kindBacklog struct {
	// doneWork is the work done since the last sample, usedCores the CPU of active tasks, freeCores the unreserved CPU less
	// what is scattered: some waiting tasks may need more room at once than others.
	doneWork, usedCores, freeCores float64
	// waiting and work hold, by priority, whether a task that can still be of use found no room in the last placement pass, and
	// the remaining work.
	waiting map[int]bool
	work    map[int]float64
	// workers and schedulable count the known and the schedulable workers of the service.
	workers, schedulable int
	// maxCPU and maxMem are the size of the largest schedulable workers of the service.
	maxCPU, maxMem int64
	// short is true if there was too little room at the last sample. samples holds intervals that began and ended so.
	short   bool
	samples []capacitySample
	// waits holds the last expected wait by priority.
	waits map[int]expectedWait
}

// capacitySample is the work that was done in an interval that ended at atMs.
type capacitySample struct {
	atMs, durationMs int64
	doneWork         float64
}

// expectedWait is an expected wait and its fall.
type expectedWait struct {
	ms, fallMsPerS float64
}

// kind returns the backlog of a kind of capacity.
func (b *backlog) kind(service string, bestEffort bool) *kindBacklog {
	key := capacityKind{service, bestEffort}
	k := b.kinds[key]
	if k == nil {
		k = &kindBacklog{}
		if b.kinds == nil {
			b.kinds = map[capacityKind]*kindBacklog{}
		}
		b.kinds[key] = k
	}
	return k
}

// updateBacklog computes the expected waits, at most every backlogIntervalMs. It follows a placement pass.
func (s *State) updateBacklog() {
	b := &s.backlog
	elapsed := s.now.BootMs - b.sampledMs
	if !b.enabled || elapsed < backlogIntervalMs {
		return
	}
	b.sampledMs, b.sampledWallMs = s.now.BootMs, s.now.WallMs
	for _, k := range b.kinds {
		k.usedCores, k.freeCores, k.workers, k.schedulable, k.maxCPU, k.maxMem = 0, 0, 0, 0, 0, 0
		k.waiting, k.work = map[int]bool{}, map[int]float64{}
	}
	s.measureWorkers()
	s.measureStages()
	before := len(b.rows)
	b.rows = nil
	for key, k := range b.kinds {
		k.addSample(s.now.BootMs, elapsed)
		b.rows = append(b.rows, k.rows(key, elapsed)...)
	}
	slices.SortFunc(b.rows, func(x, y admission.Row) int {
		return cmp.Or(cmp.Compare(x.Service, y.Service), cmp.Compare(x.Capacity(), y.Capacity()), cmp.Compare(x.Priority, y.Priority))
	})
	if (before == 0) != (len(b.rows) == 0) {
		s.logDecision(Decision{Kind: DecisionBacklog, Reason: describeRows(b.rows)})
	}
}

// describeRows returns the expected waits for the log.
func describeRows(rows []admission.Row) string {
	if len(rows) == 0 {
		return "new work is not expected to wait"
	}
	parts := make([]string, 0, len(rows))
	for _, r := range rows {
		parts = append(parts, fmt.Sprintf("%s %s priority %d: %d ms", r.Service, r.Capacity(), r.Priority, r.WaitMs))
	}
	return "expected wait of new work: " + strings.Join(parts, ", ")
}

// measureWorkers adds up the workers, their CPU and the progress of their tasks.
func (s *State) measureWorkers() {
	for _, w := range s.sortedWorkers {
		if w.info == nil {
			continue
		}
		schedulable := s.schedulable(w)
		for _, bestEffort := range []bool{false, true} {
			k := s.backlog.kind(w.info.Service, bestEffort)
			k.workers++
			if schedulable {
				k.schedulable++
				k.maxCPU, k.maxMem = max(k.maxCPU, w.info.CPU), max(k.maxMem, w.info.MemMB)
			}
			if schedulable && !bestEffort {
				k.freeCores += (float64(max(w.info.CPU-w.committedCPU, 0)) - scatteredShare*float64(w.info.CPU)) / 1000
			}
		}
		for _, t := range w.tasks {
			s.measureTask(w, t)
		}
	}
}

// measureTask adds the progress of a task since the last sample and the CPU that it has.
func (s *State) measureTask(w *worker, t *task) {
	st := t.stage.step
	if st.LongRunning || t.phase != starting && t.phase != running {
		return
	}
	k := s.backlog.kind(w.info.Service, st.BestEffort)
	share := 1.0
	if st.BestEffort {
		share = float64(min(max(t.cpuShare, 0), fullCPUShare)) / fullCPUShare
	}
	k.usedCores += share * float64(max(st.CPU, 1)) / 1000
	if t.percent > t.countedPercent {
		k.doneWork += declaredWork(st) * float64(t.percent-t.countedPercent) / 100
		t.countedPercent = t.percent
	}
}

// countDone adds the work of a task that is done now.
func (s *State) countDone(t *task) {
	st := t.stage.step
	if t.worker == nil || t.worker.info == nil || st.LongRunning || !s.backlog.enabled {
		return
	}
	s.backlog.kind(t.worker.info.Service, st.BestEffort).doneWork += declaredWork(st) * float64(100-t.countedPercent) / 100
	t.countedPercent = 100
}

// declaredWork returns the work of a task in core-milliseconds, by its declared duration.
func declaredWork(st *work.Step) float64 {
	return float64(estimateMs(st)) * float64(max(st.CPU, 1)) / 1000
}

// measureStages adds up the remaining work of unfinished jobs, and finds out which of it has no room. All accepted work has to
// be done, so that work that is too late counts, although new work goes first. There is too little room only while work
// waits that can still be of use: otherwise capacity would be spent on work that is too late while new work is refused.
func (s *State) measureStages() {
	for _, st := range s.stages {
		j := st.job
		if j.state.Final() || st.step.LongRunning || s.now.BootMs < st.dueMs || st.done == len(st.tasks) {
			continue
		}
		q := s.queue(j)
		if needsCertainWorkers(st, q) {
			continue
		}
		k := s.backlog.kind(q.Service, st.step.BestEffort)
		if st.step.CPU > k.maxCPU || st.step.MemMB > k.maxMem {
			continue // it fits no worker and takes no capacity from others
		}
		if k.work == nil {
			k.waiting, k.work = map[int]bool{}, map[int]float64{}
		}
		for i := range st.tasks {
			if t := &st.tasks[i]; t.phase != done {
				k.work[q.Priority] += declaredWork(st.step) * float64(100-t.percent) / 100
			}
		}
		if j.rank.late < tooLate && st.waiting > 0 && st.exhaustedPass == s.pass && st.ready(s.now.BootMs) {
			k.waiting[q.Priority] = true
		}
	}
}

// needsCertainWorkers reports whether only some workers can run the tasks of a stage, or all of its tasks must start
// together. Such tasks may wait where there is room for others.
func needsCertainWorkers(st *stage, q *work.Queue) bool {
	return st.step.Requires != "" || st.step.Gang || st.step.GPU > 0 || st.step.MaxPerWorker > 0 || q.Advice != nil
}

// addSample adds the interval that ends now if there was too little room from its beginning to its end.
func (k *kindBacklog) addSample(nowMs, elapsedMs int64) {
	short := len(k.waiting) > 0 && float64(k.schedulable) >= minReachableShare*float64(k.workers)
	if short && k.short {
		k.samples = append(k.samples, capacitySample{nowMs, elapsedMs, k.doneWork})
	}
	k.samples = slices.DeleteFunc(k.samples, func(c capacitySample) bool { return nowMs-c.atMs >= capacityWindowMs })
	k.short, k.doneWork = short, 0
}

// capacity returns the work that is done per millisecond while there is too little room, that is, in cores.
func (k *kindBacklog) capacity() float64 {
	done, duration := 0.0, int64(0)
	for _, c := range k.samples {
		done += c.doneWork
		duration += c.durationMs
	}
	cores := max(done/float64(max(duration, 1)), minProgressShare*k.usedCores)
	if len(k.samples) < settledSamples {
		cores = max(cores, k.usedCores)
	}
	return cores + max(k.freeCores, 0)
}

// rows returns the expected waits of new work by priority. New work follows all work of its own and of higher priorities.
func (k *kindBacklog) rows(key capacityKind, elapsedMs int64) []admission.Row {
	cores := k.capacity()
	if !k.short || len(k.samples) < minSamples || cores <= 0 {
		k.waits = nil
		return nil
	}
	var rows []admission.Row
	waits := map[int]expectedWait{}
	ahead, waiting := 0.0, false
	for _, priority := range slices.Sorted(maps.Keys(k.work)) {
		ahead += k.work[priority]
		waiting = waiting || k.waiting[priority]
		wait := expectedWait{ms: min(ahead/cores, admission.MaxWaitMs)}
		if !waiting || wait.ms < minWaitMs {
			continue
		}
		if old, ok := k.waits[priority]; ok {
			wait.fallMsPerS = old.fallMsPerS + fallWeight*((old.ms-wait.ms)*1000/float64(elapsedMs)-old.fallMsPerS)
		}
		waits[priority] = wait
		rows = append(rows, admission.Row{Service: key.service, Priority: priority, BestEffort: key.bestEffort,
			WaitMs: int64(wait.ms), FallMsPerS: int64(wait.fallMsPerS)})
	}
	k.waits = waits
	return rows
}

// backlogRecord returns the record of the backlog if one is due: while there is too little room, after a change that
// matters or when the stored one gets old, and a tombstone when there is room again.
func (s *State) backlogRecord() (work.Record, bool) {
	b := &s.backlog
	if len(b.rows) == 0 {
		due := b.stored
		b.stored, b.storedRows, b.storedMs = false, nil, b.sampledMs
		return work.Record{Key: work.KeyBacklog}, due
	}
	if b.sampledMs == b.storedMs || b.stored && b.sampledMs-b.storedMs < backlogRefreshMs && !rowsChanged(b.storedRows, b.rows) {
		return work.Record{}, false
	}
	b.stored, b.storedRows, b.storedMs = true, b.rows, b.sampledMs
	return work.Record{Key: work.KeyBacklog, Value: admission.Encode(&admission.Backlog{ComputedMs: b.sampledWallMs, Rows: b.rows})}, true
}

// rowsChanged reports whether other work waits, or a wait has changed by changedShare.
func rowsChanged(stored, rows []admission.Row) bool {
	return !slices.EqualFunc(stored, rows, func(x, y admission.Row) bool {
		return x.Service == y.Service && x.Priority == y.Priority && x.BestEffort == y.BestEffort &&
			math.Abs(float64(x.WaitMs-y.WaitMs)) <= changedShare*float64(x.WaitMs)
	})
}

// BacklogFound means that the store has a backlog of an earlier decider, which this one replaces or removes.
type BacklogFound struct{}

func (BacklogFound) apply(s *State) { s.backlog.stored = true }
