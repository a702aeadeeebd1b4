package scheduler

import (
	"slices"
	"sort"

	"github.com/DataDog/sketches-go/ddsketch"

	"github.com/verbenakeel/verbenakeel/record"
)

const (
	// sketchAccuracy is the relative accuracy of the quantiles.
	sketchAccuracy = 0.02
	// sketchBins bounds the memory of a sketch; with 2% accuracy 512 bins span nine orders of magnitude.
	sketchBins = 512
	// sketchMax is the count at which the weight of the existing values is halved, so that estimates follow a class
	// that changes.
	sketchMax = 2000
	// refreshEvery is how many values are added before quantiles are computed again.
	refreshEvery = 16
	// minSizeTasks is how many attempts of a class must be measured before their sizes replace the declared ones.
	minSizeTasks = 3
	// meanSamples is how many samples of an attempt are added to the sketch as one mean; it covers 5 minutes at one
	// report every 2 s. A shorter attempt counts once. With 15 samples, long attempts, which use more, had too much
	// weight.
	meanSamples = 150
	// minRuns is how many run times must be known before they replace the declared ones.
	minRuns = 5
	// runsPerFinished is how many further tasks each finished run of a class allows before the class is measured. Tasks
	// that end before their first usage report are never measured, and the class would otherwise stay at
	// MaxUnmeasured.
	runsPerFinished = 2
	// minImpossibleRuns is how many run times must be known before a job is refused because its deadline cannot be met.
	minImpossibleRuns = 20
	// maxClasses bounds the classes in memory; beyond it the least recently used eighth of the classes without tasks is
	// dropped.
	maxClasses = 4096
)

// classKey identifies a class of tasks with similar resource usage.
type classKey struct {
	customer, class string
	kind            record.JobKind
}

// class holds the estimates for a class of tasks. Ratios are of measured to declared values, in thousandths.
type class struct {
	key classKey
	id  int32
	// cpu, memory and run hold ratios; nil until a value is known.
	cpu, memory, run *ddsketch.DDSketch
	// cpuMilli, memoryMilli, runLowMilli and runHighMilli are quantiles computed from the sketches.
	cpuMilli, memoryMilli, runLowMilli, runHighMilli int64
	sizeAdds, runAdds                                int
	// measured counts attempts with a usage sample, runs counts finished runs.
	measured, runs int
	// running counts running and proposed tasks; firstStartMs is when the first task was started.
	running      int
	firstStartMs int64
	lastUsedMs   int64
	// baselines holds the latency of a service without interference by load level; nil for other classes.
	baselines *[loadBuckets]loadBaseline
	// usualBaseline is the mean baseline latency of a service in the last minutes, and usualMs the newest report in it.
	usualBaseline float64
	usualMs       int64
	// slowdownBy holds the slowdown that one core of another class adds to a task of this service, by class id;
	// negative if unknown.
	slowdownBy []float32
	// meanSlowdown is the mean slowdown of services by one core of the class, computed at meanSlowdownMs.
	meanSlowdown   float64
	meanSlowdownMs int64
}

// classOf returns the class of a job and adds it if it is new.
func (s *State) classOf(nowMs int64, j *record.Job) *class {
	key := classKey{j.Customer, j.Class, j.Kind}
	c := s.classes[key]
	if c == nil {
		if len(s.classes) >= maxClasses {
			s.dropClasses()
		}
		c = &class{key: key, id: s.newClassID()}
		s.classes[key] = c
		if key.kind == record.ServiceJob {
			s.services = append(s.services, c)
		}
	}
	c.lastUsedMs = max(c.lastUsedMs, nowMs)
	return c
}

// dropClasses removes the least recently used eighth of the classes that have no tasks.
func (s *State) dropClasses() {
	idle := make([]*class, 0, len(s.classes))
	busy := make(map[*class]bool)
	for _, j := range s.jobs {
		busy[j.class] = true
	}
	for _, c := range s.classes {
		if !busy[c] {
			idle = append(idle, c)
		}
	}
	sort.Slice(idle, func(a, b int) bool {
		if idle[a].lastUsedMs != idle[b].lastUsedMs {
			return idle[a].lastUsedMs < idle[b].lastUsedMs
		}
		return idle[a].id < idle[b].id
	})
	for _, c := range idle[:min(len(idle), maxClasses/8)] {
		delete(s.classes, c.key)
		s.services = slices.DeleteFunc(s.services, func(v *class) bool { return v == c })
		s.freeIDs = append(s.freeIDs, c.id)
		for _, v := range s.services {
			if int(c.id) < len(v.slowdownBy) {
				v.slowdownBy[c.id] = -1
			}
		}
	}
}

// newClassID returns an unused class id. Ids of dropped classes are reused, so that slowdownBy stays short.
func (s *State) newClassID() int32 {
	if n := len(s.freeIDs); n > 0 {
		id := s.freeIDs[n-1]
		s.freeIDs = s.freeIDs[:n-1]
		return id
	}
	s.lastClass++
	return s.lastClass
}

// addToSketch adds a value to a sketch, which is created if it is nil.
func addToSketch(sk **ddsketch.DDSketch, ratioMilli float64) {
	if *sk == nil {
		n, err := ddsketch.LogCollapsingLowestDenseDDSketch(sketchAccuracy, sketchBins)
		if err != nil {
			return
		}
		*sk = n
	}
	if (*sk).GetCount() >= sketchMax {
		if err := (*sk).Reweight(0.5); err != nil {
			return
		}
	}
	// The only possible error is a value out of range, which is ignored.
	_ = (*sk).Add(ratioMilli)
}

// quantile returns a quantile of a sketch, or fallback if there is none.
func quantile(sk *ddsketch.DDSketch, q float64, fallback int64) int64 {
	if sk == nil {
		return fallback
	}
	v, err := sk.GetValueAtQuantile(q)
	if err != nil || v < 1 {
		return fallback
	}
	return int64(v)
}

// learnSize adds a usage sample of an attempt to the size estimates. A throttled attempt gives no information about the
// processors that it needs.
func (c *class) learnSize(t *task, used record.Resources) {
	if !t.measured {
		t.measured = true
		c.measured++
	}
	declared := t.job.rec.Size
	if declared.CPUMilli > 0 && used.CPUMilli > 0 && t.shareMilli >= fullShare {
		t.cpuSum += used.CPUMilli
		t.cpuCount++
		switch {
		case t.job.rec.Kind == record.ServiceJob:
			c.learnPeak(t, used.CPUMilli)
		case t.cpuCount >= meanSamples || c.measured <= minSizeTasks && t.cpuCount == 1:
			c.learnMean(t)
		}
	}
	if declared.MemoryMB > 0 && used.MemoryMB > 0 {
		addToSketch(&c.memory, 1000*float64(used.MemoryMB)/float64(declared.MemoryMB))
	}
	if c.sizeAdds++; c.sizeAdds%refreshEvery == 0 || c.measured <= minSizeTasks {
		c.refreshSize()
	}
}

// learnPeak adds the processor usage of a service replica. A value is added once per attempt and when it changes by a
// quarter, so that long runs have no larger weight.
func (c *class) learnPeak(t *task, usedMilli int64) {
	if usedMilli*4 > t.lastLearnedCPU*5 || usedMilli*5 < t.lastLearnedCPU*4 {
		t.lastLearnedCPU = usedMilli
		addToSketch(&c.cpu, 1000*float64(usedMilli)/float64(t.job.rec.Size.CPUMilli))
	}
}

// learnMean adds the mean processor usage of a batch or long-running task since the last addition. Tasks with varying
// usage are committed by their mean: with single samples, short peaks would have as much weight as the longer time
// between them.
func (c *class) learnMean(t *task) {
	if t.cpuCount == 0 {
		return
	}
	addToSketch(&c.cpu, 1000*float64(t.cpuSum)/float64(t.cpuCount*t.job.rec.Size.CPUMilli))
	if t.cpuCount > 1 {
		t.cpuSum, t.cpuCount = 0, 0
	}
}

// refreshSize computes the ratios by which sizes are committed. Processors are committed by the median of attempts,
// since a task that needs more is only slowed. Memory is committed by a high quantile plus a tenth, since a task fails
// when it runs out.
func (c *class) refreshSize() {
	q := 0.5
	if c.key.kind == record.ServiceJob {
		q = 0.99
	}
	c.cpuMilli = nearDeclared(quantile(c.cpu, q, 1000))
	c.memoryMilli = nearDeclared(quantile(c.memory, 0.99, 1000) * 11 / 10)
}

// nearDeclared keeps the declared size if the estimated one is at most a sixth below or a third above it. Sizes
// slightly above the declared ones broke bin packing: a fourth task of a quarter of a worker no longer fitted.
func nearDeclared(ratioMilli int64) int64 {
	if ratioMilli > 833 && ratioMilli < 1333 {
		return 1000
	}
	return ratioMilli
}

// learnRun adds the run time of a finished task, as it would be without interference.
func (c *class) learnRun(declaredMs, ranMs int64) {
	if declaredMs <= 0 || ranMs <= 0 {
		return
	}
	addToSketch(&c.run, 1000*float64(ranMs)/float64(declaredMs))
	c.runs++
	if c.runAdds++; c.runAdds%refreshEvery == 0 || c.runs <= minRuns || c.runs == minImpossibleRuns {
		c.refreshRun()
	}
}

// refreshRun computes the quantiles of run times.
func (c *class) refreshRun() {
	c.runLowMilli = quantile(c.run, 0.01, 1000)
	c.runHighMilli = quantile(c.run, 0.9, 1000)
}

// expectedRunMs returns the run time that nine of ten tasks of the job do not exceed.
func (j *job) expectedRunMs() int64 {
	if j.class.runs < minRuns {
		return j.rec.RunMs
	}
	return j.rec.RunMs * j.class.runHighMilli / 1000
}

// shortestRunMs returns a run time that practically all tasks of the job exceed; 0 if too little is known.
func (j *job) shortestRunMs() int64 {
	if j.class.runs < minImpossibleRuns {
		return 0
	}
	return j.rec.RunMs * j.class.runLowMilli / 1000
}

// sizeOf returns what is committed for a task of the job: the estimate for its class, or the declared size.
func (s *State) sizeOf(j *job) record.Resources {
	size := j.rec.Size
	if j.class.measured < minSizeTasks {
		return size
	}
	ratio := func(milli int64) int64 {
		if milli <= 0 {
			return 1000
		}
		return milli
	}
	learned := record.Resources{
		CPUMilli:     max(size.CPUMilli*ratio(j.class.cpuMilli)/1000, min(size.CPUMilli, 50)),
		MemoryMB:     max(size.MemoryMB*ratio(j.class.memoryMilli)/1000, min(size.MemoryMB, 32)),
		Accelerators: size.Accelerators,
	}
	// An estimate is limited to the largest worker and the burst share; otherwise the job would wait forever.
	var limit record.Resources
	for _, sh := range s.shapes {
		if sh.count > 0 && size.Fits(sh.capacity) {
			limit.CPUMilli = max(limit.CPUMilli, sh.capacity.CPUMilli)
			limit.MemoryMB = max(limit.MemoryMB, sh.capacity.MemoryMB)
		}
	}
	if limit != (record.Resources{}) {
		learned.CPUMilli, learned.MemoryMB = min(learned.CPUMilli, limit.CPUMilli), min(learned.MemoryMB, limit.MemoryMB)
	}
	if j.cust.contract != nil {
		b := j.cust.burst()
		learned.CPUMilli, learned.MemoryMB = min(learned.CPUMilli, max(b.CPUMilli, size.CPUMilli)), min(learned.MemoryMB, max(b.MemoryMB, size.MemoryMB))
	}
	return learned
}

// unmeasuredReason returns why no further task of a class that was not measured yet may start; empty if one may.
func (s *State) unmeasuredReason(nowMs int64, j *job) string {
	c := j.class
	if c.firstStartMs != 0 && nowMs-c.firstStartMs >= s.cfg.UnmeasuredBoundMs {
		return ""
	}
	if j.class.measured >= minSizeTasks || j.rec.Kind == record.ServiceJob || j.rec.Urgent || j.class.running < s.cfg.MaxUnmeasured+runsPerFinished*j.class.runs {
		return ""
	}
	return "the first tasks of this class run and are not measured yet"
}
