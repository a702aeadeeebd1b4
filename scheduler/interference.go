package scheduler

import (
	"math"

	"github.com/DataDog/sketches-go/ddsketch"

	"github.com/verbenakeel/verbenakeel/record"
)

const (
	// unknownHarm is the slowdown per core assumed of a pair of classes that was never seen together.
	unknownHarm = 0.08
	// learnStep is the step of the filter that learns harm.
	learnStep = 0.15
	// levelStep is the weight of one report in the undisturbed latency of a service.
	levelStep = 0.05
	// usualWindowMs is over how long the usual undisturbed latency of a service is taken.
	usualWindowMs = 180_000
	// maxLoadFactor bounds how far the limit on harm is lowered at high load. Without it a lasting growth of the load by
	// two fifths left a sixth of the work undone.
	maxLoadFactor = 1.15
	// maxSlow bounds a learned slowdown per core, against reports that make no sense.
	maxSlow = 20.0
	// maxPast bounds the ended tasks remembered per worker to match late reports.
	maxPast = 48
)

// stay is the time that an ended task was on a worker.
type stay struct {
	task           *task
	attempt        uint32
	startMs, endMs int64
	share          float64
}

// remember keeps a stay that ended, for reports that were measured before.
func (w *worker) remember(nowMs int64, t *task) {
	if len(w.past) == maxPast {
		copy(w.past, w.past[1:])
		w.past = w.past[:maxPast-1]
	}
	w.past = append(w.past, stay{t, t.attempt, t.startMs, nowMs, t.pressure()})
}

// pressure is how many cores of the task bear on its neighbours.
func (t *task) pressure() float64 {
	return float64(t.size.CPUMilli) / 1000 * float64(t.shareMilli) / fullShare
}

// harm is the learned slowdown that one core of class a adds to a task of service class v.
func harm(v, a *class) float64 {
	if int(a.id) < len(v.harmedBy) {
		if h := v.harmedBy[a.id]; h >= 0 {
			return float64(h)
		}
	}
	return unknownHarm
}

// setHarm notes the harm of a to v; a negative value forgets it.
func (c *class) setHarm(a *class, h float64) {
	for len(c.harmedBy) <= int(a.id) {
		c.harmedBy = append(c.harmedBy, -1)
	}
	c.harmedBy[a.id] = float32(h)
}

// harmEveryMs is how long the mean harm of a class is kept before it is computed again.
const harmEveryMs = 2_000

// meanHarm is the mean slowdown that one core of class a adds to a task of any service.
func (s *State) meanHarm(nowMs int64, a *class) float64 {
	if a.meanMs != 0 && nowMs-a.meanMs < harmEveryMs {
		return a.mean
	}
	sum := 0.0
	for _, v := range s.services {
		sum += harm(v, a)
	}
	a.meanMs, a.mean = nowMs, unknownHarm
	if len(s.services) > 0 {
		a.mean = sum / float64(len(s.services))
	}
	return a.mean
}

// neighbour is what bore on the tasks of a worker when a report was measured.
type neighbour struct {
	task     *task
	class    *class
	pressure float64
}

// at returns the batch tasks that ran on w at a time.
func (w *worker) at(ms int64, buf []neighbour) []neighbour {
	for _, t := range w.tasks {
		if t.phase == phaseRunning && t.startMs <= ms && t.disturbs() {
			buf = append(buf, neighbour{t, t.job.class, t.pressure()})
		}
	}
	for _, p := range w.past {
		if p.startMs <= ms && ms < p.endMs && p.task.disturbs() {
			buf = append(buf, neighbour{p.task, p.task.job.class, p.share})
		}
	}
	return buf
}

// disturbs reports whether the task counts as a source of interference.
func (t *task) disturbs() bool { return t.job != nil && t.job.rec.Kind != record.ServiceJob }

// usageReported learns from a report. A report is matched to what ran when it was measured, and counts less the older
// it is. Only a report newer than all before it changes the view of the worker's present state.
func (s *State) usageReported(nowMs int64, e UsageReported) {
	w := s.workers[e.Worker]
	age := nowMs - e.MeasuredMs
	if w == nil || age < -s.cfg.ReportMaxAgeMs || age > s.cfg.ReportMaxAgeMs || w.sawReport(e.MeasuredMs) {
		return
	}
	newest := e.MeasuredMs > w.reportMs
	weight := 1 / (1 + float64(max(age, 0))/float64(s.cfg.ReportHalfMs))
	s.neighbours = w.at(e.MeasuredMs, s.neighbours[:0])
	var worst *task
	worstSlow, used := 0.0, int64(0)
	for i := range e.Samples {
		used += max(e.Samples[i].Used.CPUMilli, 0)
	}
	if load := loadPressure(used, w.capacity.CPUMilli); load > 0 {
		s.neighbours = append(s.neighbours, neighbour{nil, loadClass, load})
	}
	for i := range e.Samples {
		sm := &e.Samples[i]
		if !validSize(sm.Used) || sm.SpeedMilli < 0 || sm.LatencyP99Us < 0 {
			continue
		}
		t := s.tasks[sm.Task]
		if t == nil || t.job == nil || t.worker != w || t.attempt != sm.Attempt || t.startMs > e.MeasuredMs {
			continue
		}
		s.observe(t, sm, e.MeasuredMs)
		slow := s.learnSlow(t, sm, e.MeasuredMs, weight)
		if newest {
			t.slow, t.reportedCPU, t.reportedMs = slow, sm.Used.CPUMilli, e.MeasuredMs
			if t.job.rec.Kind == record.ServiceJob && slow > worstSlow {
				worst, worstSlow = t, slow
			}
		}
	}
	if !newest {
		return
	}
	w.reportMs, w.usedCPU, w.stale = e.MeasuredMs, used, true
	w.sinceReport = 0
	for _, t := range w.tasks {
		if t.startMs > e.MeasuredMs {
			w.sinceReport += t.size.CPUMilli
		}
	}
	s.respond(nowMs, w, worst, worstSlow)
}

// sawReport reports whether a report measured at that time was folded before, and remembers it.
func (w *worker) sawReport(ms int64) bool {
	for _, m := range w.seen {
		if m == ms {
			return true
		}
	}
	w.seen[w.seenNext%len(w.seen)] = ms
	w.seenNext++
	return false
}

// observe notes size, speed and progress of an attempt.
func (s *State) observe(t *task, sm *Sample, measuredMs int64) {
	t.job.class.learnSize(t, sm.Used)
	s.prove(t)
	t.speedSum += sm.SpeedMilli
	t.speedCount++
	if measuredMs > t.sampleMs {
		t.sampleMs = measuredMs
	}
	if (sm.SpeedMilli > 0 || sm.LatencyP99Us > 0) && measuredMs > t.progressMs {
		t.progressMs = measuredMs
	}
}

// follow folds one report and returns the latency that the class has undisturbed at the same load. The load is told
// by the replica's own use of processors. Interference only ever adds, so a low quantile of what was reported at that
// load is taken. Fitting level and harm together instead let the level drift, since only their product is seen.
func (c *class) follow(latency, expected, weight float64, usedMilli, declaredMilli int64) float64 {
	if c.levels == nil {
		c.levels = new([loadBuckets]loadLevel)
	}
	b := loadBucket(usedMilli, declaredMilli)
	l := &c.levels[b]
	add(&l.latency, latency)
	if l.adds++; l.adds <= refreshEvery || l.adds%refreshEvery == 0 {
		l.low = float64(quantile(l.latency, 0.02, int64(latency)))
		l.high = float64(quantile(l.latency, 0.3, int64(latency)))
	}
	if l.level == 0 {
		l.level = l.low
	}
	l.level += levelStep * weight * (latency/(1+expected) - l.level)
	l.level = min(max(l.level, l.low), l.high)
	level := l.level
	for i := b + 1; i < loadBuckets; i++ {
		// More load does not make a service faster.
		if c.levels[i].adds >= refreshEvery {
			level = min(level, c.levels[i].level)
		}
	}
	return level
}

// loadFactor folds the undisturbed latency at the present load and returns its ratio to the usual one.
func (c *class) loadFactor(measuredMs int64, level float64) float64 {
	if c.usualLevel == 0 {
		c.usualLevel, c.usualMs = level, measuredMs
	}
	passed := max(measuredMs-c.usualMs, 0)
	c.usualLevel += (level - c.usualLevel) * float64(min(passed, usualWindowMs)) / usualWindowMs
	c.usualMs = max(c.usualMs, measuredMs)
	return min(level/c.usualLevel, maxLoadFactor)
}

// loadBuckets is the number of loads told apart: quarters of a power of two, from 1/16 of the declared processors.
const loadBuckets = 24

// loadLevel holds the latencies reported at one load.
type loadLevel struct {
	latency *ddsketch.DDSketch
	adds    int
	// level is the undisturbed latency, kept between low and high, which are quantiles of latency.
	level, low, high float64
}

func loadBucket(usedMilli, declaredMilli int64) int {
	if usedMilli <= 0 || declaredMilli <= 0 {
		return 0
	}
	b := math.Floor(4 * (math.Log2(float64(usedMilli)/float64(declaredMilli)) + 4))
	return int(min(max(b, 0), loadBuckets-1))
}

// loadClass stands for the processors in use on a worker, whoever uses them.
var loadClass = &class{}

// loadPressure is the pressure of processors in use beyond four fifths of a worker.
func loadPressure(used, capacity int64) float64 {
	if capacity <= 0 {
		return 0
	}
	return max(10*float64(used)/float64(capacity)-8, 0)
}

// learnSlow corrects the learned harm of the task's neighbours by how far it was from what was expected, and returns
// the slowdown observed of a service. It is a normalized least mean squares filter with harm kept at or above zero.
func (s *State) learnSlow(t *task, sm *Sample, measuredMs int64, weight float64) float64 {
	if t.job.rec.Kind != record.ServiceJob || sm.LatencyP99Us == 0 {
		return 0
	}
	v := t.job.class
	expected, norm := 0.0, 0.0
	for _, n := range s.neighbours {
		if n.task != t {
			expected += harm(v, n.class) * n.pressure
			norm += n.pressure * n.pressure
		}
	}
	latency := float64(sm.LatencyP99Us)
	level := v.follow(latency, expected, weight, sm.Used.CPUMilli, t.job.rec.Size.CPUMilli)
	t.loadFactor = v.loadFactor(measuredMs, level)
	slow := max(latency/level-1, 0)
	if norm == 0 {
		return slow
	}
	err := min(slow, maxSlow) - expected
	for _, n := range s.neighbours {
		if n.task != t {
			h := harm(v, n.class) + weight*learnStep*err*n.pressure/(1+norm)
			v.setHarm(n.class, min(max(h, 0), maxSlow))
		}
	}
	return slow
}

// refreshSlow computes the slowdown expected of each service task on w after its tasks changed.
func (w *worker) refreshSlow() {
	if !w.stale {
		return
	}
	w.stale = false
	w.services = w.services[:0]
	for _, t := range w.tasks {
		if t.job == nil || t.job.rec.Kind != record.ServiceJob {
			continue
		}
		t.expectedSlow = harm(t.job.class, loadClass) * loadPressure(w.usedCPU+w.sinceReport, w.capacity.CPUMilli)
		for _, o := range w.tasks {
			if o.disturbs() {
				t.expectedSlow += harm(t.job.class, o.job.class) * o.pressure()
			}
		}
		w.services = append(w.services, t)
	}
}

// addedHarm is the largest slowdown that a service on w would have with the task, and the increase of the sum of
// slowdowns and their squares. Squares make it better to spread harm than to pile it up.
func (p *placing) addedHarm(w *worker) (worst, cost float64) {
	if p.harmOn != w {
		p.harmOn = w
		p.worst, p.cost = p.computeHarm(w)
	}
	return p.worst, p.cost
}

func (p *placing) computeHarm(w *worker) (worst, cost float64) {
	w.refreshSlow()
	cores := float64(p.size.CPUMilli) / 1000
	if p.job.rec.Kind == record.ServiceJob {
		var slow float64
		for _, o := range w.tasks {
			if o.disturbs() {
				slow += harm(p.job.class, o.job.class) * o.pressure()
			}
		}
		return slow, slow + slow*slow
	}
	use := w.usedCPU + w.sinceReport
	load := loadPressure(use+p.size.CPUMilli, w.capacity.CPUMilli) - loadPressure(use, w.capacity.CPUMilli)
	for _, t := range w.services {
		now := max(t.expectedSlow, t.slow/2)
		then := now + harm(t.job.class, p.job.class)*cores + harm(t.job.class, loadClass)*load
		worst = max(worst, (1+then)*t.loadFactor-1)
		cost += then - now + then*then - now*now
	}
	return worst, cost
}
