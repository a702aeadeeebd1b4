package scheduler

import (
	"slices"
	"sort"

	"github.com/DataDog/sketches-go/ddsketch"

	"github.com/verbenakeel/verbenakeel/record"
)

const (
	// sketchAccuracy is the relative accuracy of learned quantiles.
	sketchAccuracy = 0.02
	// sketchBins bounds the memory of a sketch; with 2% accuracy 512 bins span nine orders of magnitude.
	sketchBins = 512
	// sketchMax is the count at which older values are halved in weight, so that a class that changes is learned again.
	sketchMax = 2000
	// refreshEvery is how many values are added before quantiles are computed again.
	refreshEvery = 16
	// minSizeTasks is how many attempts of a class must be measured before their sizes replace declared ones.
	minSizeTasks = 3
	// meanSamples is how many samples of an attempt are folded as one mean; it is 5 minutes at a report every 2 s. An
	// attempt that is shorter counts once. With 15 samples long attempts, which use more, weighed too much.
	meanSamples = 150
	// minRuns is how many run times must be known before they replace declared ones.
	minRuns = 5
	// runsPerFinished is how many further first runs each finished run of a class allows. Tasks that end before their
	// first usage report are never measured, and would otherwise stay at the first bound.
	runsPerFinished = 2
	// minImpossibleRuns is how many run times must be known before a deadline is called impossible.
	minImpossibleRuns = 20
	// maxClasses bounds the classes remembered; the least recently used eighth without tasks is dropped beyond it.
	maxClasses = 4096
)

// classKey names a class of tasks that behave alike.
type classKey struct {
	customer, class string
	kind            record.JobKind
}

// class holds what was learned of a class. Ratios are of true to declared values, in thousandths.
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
	// running counts tasks that run or are proposed; firstMs is when the first task was started.
	running int
	firstMs int64
	usedMs  int64
	// levels holds what is known of a service's undisturbed latency by load; nil for other classes.
	levels *[loadBuckets]loadLevel
	// usualLevel is the mean undisturbed latency of a service in the last minutes, and usualMs the newest report in it.
	usualLevel float64
	usualMs    int64
	// harmedBy is the slowdown that one core of another class adds to a task of this service, by class id; negative if
	// unknown.
	harmedBy []float32
	// mean is its mean harm to services, computed at meanMs.
	mean   float64
	meanMs int64
}

// classOf returns the class of a job.
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
	c.usedMs = max(c.usedMs, nowMs)
	return c
}

// dropClasses forgets the least recently used eighth of the classes that have no tasks.
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
		if idle[a].usedMs != idle[b].usedMs {
			return idle[a].usedMs < idle[b].usedMs
		}
		return idle[a].id < idle[b].id
	})
	for _, c := range idle[:min(len(idle), maxClasses/8)] {
		delete(s.classes, c.key)
		s.services = slices.DeleteFunc(s.services, func(v *class) bool { return v == c })
		s.freeIDs = append(s.freeIDs, c.id)
		for _, v := range s.services {
			if int(c.id) < len(v.harmedBy) {
				v.harmedBy[c.id] = -1
			}
		}
	}
}

// newClassID returns an id that no class has. Ids are used again, so that they stay small.
func (s *State) newClassID() int32 {
	if n := len(s.freeIDs); n > 0 {
		id := s.freeIDs[n-1]
		s.freeIDs = s.freeIDs[:n-1]
		return id
	}
	s.lastClass++
	return s.lastClass
}

// add puts a ratio in a sketch, which is created if needed.
func add(sk **ddsketch.DDSketch, ratioMilli float64) {
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
	// The only possible error is a value out of range, which is not learned from.
	_ = (*sk).Add(ratioMilli)
}

// quantile returns a quantile of a sketch in thousandths, or fallback if there is none.
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

// learnSize folds a usage sample of an attempt. A throttled attempt tells nothing of the processors it wants.
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
		add(&c.memory, 1000*float64(used.MemoryMB)/float64(declared.MemoryMB))
	}
	if c.sizeAdds++; c.sizeAdds%refreshEvery == 0 || c.measured <= minSizeTasks {
		c.refreshSize()
	}
}

// learnPeak folds the processor use of a service. A value is added once per attempt and when it changes by a quarter, so
// that long runs do not count more.
func (c *class) learnPeak(t *task, usedMilli int64) {
	if usedMilli*4 > t.addedCPU*5 || usedMilli*5 < t.addedCPU*4 {
		t.addedCPU = usedMilli
		add(&c.cpu, 1000*float64(usedMilli)/float64(t.job.rec.Size.CPUMilli))
	}
}

// learnMean folds the mean processor use of a batch or standing task since it was folded last. A task with noisy phases
// is committed by its mean: by single samples its peaks would count as much as the longer time between them.
func (c *class) learnMean(t *task) {
	if t.cpuCount == 0 {
		return
	}
	add(&c.cpu, 1000*float64(t.cpuSum)/float64(t.cpuCount*t.job.rec.Size.CPUMilli))
	if t.cpuCount > 1 {
		t.cpuSum, t.cpuCount = 0, 0
	}
}

// refreshSize computes the ratios that sizes are committed by. Processors are shared out by the median of attempts, since
// a task that wants more only slows tasks. Memory has a high quantile and a tenth in hand, since a task fails when it runs
// out.
func (c *class) refreshSize() {
	q := 0.5
	if c.key.kind == record.ServiceJob {
		q = 0.99
	}
	c.cpuMilli = nearDeclared(quantile(c.cpu, q, 1000))
	c.memoryMilli = nearDeclared(quantile(c.memory, 0.99, 1000) * 11 / 10)
}

// nearDeclared keeps the declared size when the learned one is at most a sixth below or a third above it. Sizes a little
// above the declared ones broke packing: a fourth task of a quarter of a worker no longer fitted.
func nearDeclared(ratioMilli int64) int64 {
	if ratioMilli > 833 && ratioMilli < 1333 {
		return 1000
	}
	return ratioMilli
}

// learnRun folds the undisturbed run time of a finished task.
func (c *class) learnRun(declaredMs, ranMs int64) {
	if declaredMs <= 0 || ranMs <= 0 {
		return
	}
	add(&c.run, 1000*float64(ranMs)/float64(declaredMs))
	c.runs++
	if c.runAdds++; c.runAdds%refreshEvery == 0 || c.runs <= minRuns || c.runs == minImpossibleRuns {
		c.refreshRun()
	}
}

// refreshRun computes the run times that are expected.
func (c *class) refreshRun() {
	c.runLowMilli = quantile(c.run, 0.01, 1000)
	c.runHighMilli = quantile(c.run, 0.9, 1000)
}

// expectedRunMs is the run time that nine of ten tasks of the job stay within.
func (j *job) expectedRunMs() int64 {
	if j.class.runs < minRuns {
		return j.rec.RunMs
	}
	return j.rec.RunMs * j.class.runHighMilli / 1000
}

// shortestRunMs is a run time that practically all tasks of the job exceed; 0 if too little is known.
func (j *job) shortestRunMs() int64 {
	if j.class.runs < minImpossibleRuns {
		return 0
	}
	return j.rec.RunMs * j.class.runLowMilli / 1000
}

// sizeOf is what is committed for a task of the job: what the class was seen to use, or what was declared.
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
	// A learned size is never beyond the largest worker or the burst share, or the job would wait forever.
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

// cautious returns why no further task of a class that was not measured yet may start; empty if one may.
func (s *State) cautious(nowMs int64, j *job) string {
	c := j.class
	if c.firstMs != 0 && nowMs-c.firstMs >= s.cfg.FirstRunsMs {
		return ""
	}
	if j.class.measured >= minSizeTasks || j.rec.Kind == record.ServiceJob || j.rec.Urgent || j.class.running < s.cfg.FirstRuns+runsPerFinished*j.class.runs {
		return ""
	}
	return "the first tasks of this class run and are not measured yet"
}
