package scheduler

import (
	"math"

	"github.com/DataDog/sketches-go/ddsketch"

	"github.com/verbenakeel/verbenakeel/record"
)

const (
	// defaultSlowdown is the slowdown per core that is assumed for a pair of classes that never shared a worker.
	defaultSlowdown = 0.08
	// slowdownStep is the step size of the filter that estimates slowdowns.
	slowdownStep = 0.15
	// baselineStep is the weight of one report in the baseline latency of a service.
	baselineStep = 0.05
	// usualWindowMs is the time over which the usual baseline latency of a service is averaged.
	usualWindowMs = 180_000
	// maxLoadFactor bounds how far the slowdown limit is lowered at high load. Without the bound, a permanent load
	// increase of two fifths left a sixth of the work undone.
	maxLoadFactor = 1.15
	// maxSlowdown bounds an estimated slowdown per core, against implausible reports.
	maxSlowdown = 20.0
	// maxPastRuns bounds the ended runs that are kept per worker to match late reports.
	maxPastRuns = 48
)

// pastRun is a run that ended on a worker, with its effective cores.
type pastRun struct {
	task           *task
	attempt        uint32
	startMs, endMs int64
	cores          float64
}

// recordPastRun keeps an ended run for reports that were measured before its end.
func (w *worker) recordPastRun(nowMs int64, t *task) {
	if len(w.pastRuns) == maxPastRuns {
		copy(w.pastRuns, w.pastRuns[1:])
		w.pastRuns = w.pastRuns[:maxPastRuns-1]
	}
	w.pastRuns = append(w.pastRuns, pastRun{t, t.attempt, t.startMs, nowMs, t.effectiveCores()})
}

// effectiveCores returns the committed cores of the task, reduced by its throttle. Interference with its neighbours is
// proportional to them.
func (t *task) effectiveCores() float64 {
	return float64(t.size.CPUMilli) / 1000 * float64(t.shareMilli) / fullShare
}

// slowdownPerCore returns the estimated slowdown that one core of class a adds to a task of service class v.
func slowdownPerCore(v, a *class) float64 {
	if int(a.id) < len(v.slowdownBy) {
		if slowdown := v.slowdownBy[a.id]; slowdown >= 0 {
			return float64(slowdown)
		}
	}
	return defaultSlowdown
}

// setSlowdown sets the slowdown per core of a on c; a negative value marks it as unknown.
func (c *class) setSlowdown(a *class, slowdown float64) {
	for len(c.slowdownBy) <= int(a.id) {
		c.slowdownBy = append(c.slowdownBy, -1)
	}
	c.slowdownBy[a.id] = float32(slowdown)
}

// meanSlowdownIntervalMs is how long the mean slowdown by a class is cached.
const meanSlowdownIntervalMs = 2_000

// meanSlowdown returns the mean slowdown that one core of class a adds to a task of any service.
func (s *State) meanSlowdown(nowMs int64, a *class) float64 {
	if a.meanSlowdownMs != 0 && nowMs-a.meanSlowdownMs < meanSlowdownIntervalMs {
		return a.meanSlowdown
	}
	sum := 0.0
	for _, v := range s.services {
		sum += slowdownPerCore(v, a)
	}
	a.meanSlowdownMs, a.meanSlowdown = nowMs, defaultSlowdown
	if len(s.services) > 0 {
		a.meanSlowdown = sum / float64(len(s.services))
	}
	return a.meanSlowdown
}

// neighbour is a source of interference on a worker at the time of a report. task is nil for the load of the worker.
type neighbour struct {
	task  *task
	class *class
	cores float64
}

// batchTasksAt appends the tasks that ran on w at the given time and cause interference to buf.
func (w *worker) batchTasksAt(ms int64, buf []neighbour) []neighbour {
	for _, t := range w.tasks {
		if t.phase == phaseRunning && t.startMs <= ms && t.causesInterference() {
			buf = append(buf, neighbour{t, t.job.class, t.effectiveCores()})
		}
	}
	for _, p := range w.pastRuns {
		if p.startMs <= ms && ms < p.endMs && p.task.causesInterference() {
			buf = append(buf, neighbour{p.task, p.task.job.class, p.cores})
		}
	}
	return buf
}

// causesInterference reports whether the task counts as a source of interference.
func (t *task) causesInterference() bool { return t.job != nil && t.job.rec.Kind != record.ServiceJob }

// usageReported applies a usage report to the estimates. A report is matched to the tasks that ran when it was
// measured, and its weight falls with its age. Only a report newer than all before it changes the current state of the
// worker.
func (s *State) usageReported(nowMs int64, e UsageReported) {
	w := s.workers[e.Worker]
	age := nowMs - e.MeasuredMs
	if w == nil || age < -s.cfg.ReportMaxAgeMs || age > s.cfg.ReportMaxAgeMs || w.recordReportTime(e.MeasuredMs) {
		return
	}
	newest := e.MeasuredMs > w.reportMs
	weight := 1 / (1 + float64(max(age, 0))/float64(s.cfg.ReportHalfMs))
	s.neighbours = w.batchTasksAt(e.MeasuredMs, s.neighbours[:0])
	var worst *task
	worstSlow, used := 0.0, int64(0)
	for i := range e.Samples {
		used += max(e.Samples[i].Used.CPUMilli, 0)
	}
	if load := overload(used, w.capacity.CPUMilli); load > 0 {
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
		s.recordSample(t, sm, e.MeasuredMs)
		slow := s.learnSlowdown(t, sm, e.MeasuredMs, weight)
		if newest {
			t.slowdown, t.reportedCPU, t.reportedMs = slow, sm.Used.CPUMilli, e.MeasuredMs
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

// recordReportTime reports whether a report measured at that time was applied before, and records the time.
func (w *worker) recordReportTime(ms int64) bool {
	for _, m := range w.reportTimes {
		if m == ms {
			return true
		}
	}
	w.reportTimes[w.nextReportTime%len(w.reportTimes)] = ms
	w.nextReportTime++
	return false
}

// recordSample records size, speed and progress of an attempt.
func (s *State) recordSample(t *task, sm *Sample, measuredMs int64) {
	t.job.class.learnSize(t, sm.Used)
	s.markVerified(t)
	t.speedSum += sm.SpeedMilli
	t.speedCount++
	if measuredMs > t.sampleMs {
		t.sampleMs = measuredMs
	}
	if (sm.SpeedMilli > 0 || sm.LatencyP99Us > 0) && measuredMs > t.progressMs {
		t.progressMs = measuredMs
	}
}

// updateBaseline applies one report and returns the latency of the class without interference at the same load. The
// load is measured by the replica's own processor usage. Since interference only adds latency, the baseline is a low
// quantile of the latencies reported at that load. Estimating baseline and slowdowns jointly let the baseline drift,
// because only their product is observed.
func (c *class) updateBaseline(latency, expected, weight float64, usedMilli, declaredMilli int64) float64 {
	if c.baselines == nil {
		c.baselines = new([loadBuckets]loadBaseline)
	}
	b := loadBucket(usedMilli, declaredMilli)
	l := &c.baselines[b]
	addToSketch(&l.latency, latency)
	if l.adds++; l.adds <= refreshEvery || l.adds%refreshEvery == 0 {
		l.low = float64(quantile(l.latency, 0.02, int64(latency)))
		l.high = float64(quantile(l.latency, 0.3, int64(latency)))
	}
	if l.baseline == 0 {
		l.baseline = l.low
	}
	l.baseline += baselineStep * weight * (latency/(1+expected) - l.baseline)
	l.baseline = min(max(l.baseline, l.low), l.high)
	baseline := l.baseline
	for i := b + 1; i < loadBuckets; i++ {
		// More load does not make a service faster.
		if c.baselines[i].adds >= refreshEvery {
			baseline = min(baseline, c.baselines[i].baseline)
		}
	}
	return baseline
}

// loadFactor updates the usual baseline latency and returns the ratio of the present one to it.
func (c *class) loadFactor(measuredMs int64, baseline float64) float64 {
	if c.usualBaseline == 0 {
		c.usualBaseline, c.usualMs = baseline, measuredMs
	}
	passed := max(measuredMs-c.usualMs, 0)
	c.usualBaseline += (baseline - c.usualBaseline) * float64(min(passed, usualWindowMs)) / usualWindowMs
	c.usualMs = max(c.usualMs, measuredMs)
	return min(baseline/c.usualBaseline, maxLoadFactor)
}

// loadBuckets is the number of load levels that are distinguished: quarters of a power of two, from 1/16 of the
// declared processors.
const loadBuckets = 24

// loadBaseline holds the latencies reported at one load level.
type loadBaseline struct {
	latency *ddsketch.DDSketch
	adds    int
	// baseline is the estimated latency without interference, kept between low and high, which are quantiles of
	// latency.
	baseline, low, high float64
}

func loadBucket(usedMilli, declaredMilli int64) int {
	if usedMilli <= 0 || declaredMilli <= 0 {
		return 0
	}
	b := math.Floor(4 * (math.Log2(float64(usedMilli)/float64(declaredMilli)) + 4))
	return int(min(max(b, 0), loadBuckets-1))
}

// loadClass represents the total processor load of a worker as a source of interference.
var loadClass = &class{}

// overload returns the use of processors beyond four fifths of a worker, in tenths of the worker.
func overload(used, capacity int64) float64 {
	if capacity <= 0 {
		return 0
	}
	return max(10*float64(used)/float64(capacity)-8, 0)
}

// learnSlowdown corrects the estimated slowdowns by the task's neighbours by the prediction error, and returns the
// observed slowdown of a service. It is a normalized least mean squares filter with slowdowns kept at or above zero.
func (s *State) learnSlowdown(t *task, sm *Sample, measuredMs int64, weight float64) float64 {
	if t.job.rec.Kind != record.ServiceJob || sm.LatencyP99Us == 0 {
		return 0
	}
	v := t.job.class
	expected, norm := 0.0, 0.0
	for _, n := range s.neighbours {
		if n.task != t {
			expected += slowdownPerCore(v, n.class) * n.cores
			norm += n.cores * n.cores
		}
	}
	latency := float64(sm.LatencyP99Us)
	baseline := v.updateBaseline(latency, expected, weight, sm.Used.CPUMilli, t.job.rec.Size.CPUMilli)
	t.loadFactor = v.loadFactor(measuredMs, baseline)
	slow := max(latency/baseline-1, 0)
	if norm == 0 {
		return slow
	}
	err := min(slow, maxSlowdown) - expected
	for _, n := range s.neighbours {
		if n.task != t {
			slowdown := slowdownPerCore(v, n.class) + weight*slowdownStep*err*n.cores/(1+norm)
			v.setSlowdown(n.class, min(max(slowdown, 0), maxSlowdown))
		}
	}
	return slow
}

// refreshSlowdowns computes the expected slowdown of each service task on w after its tasks changed.
func (w *worker) refreshSlowdowns() {
	if !w.stale {
		return
	}
	w.stale = false
	w.services = w.services[:0]
	for _, t := range w.tasks {
		if t.job == nil || t.job.rec.Kind != record.ServiceJob {
			continue
		}
		t.expectedSlowdown = slowdownPerCore(t.job.class, loadClass) * overload(w.usedCPU+w.sinceReport, w.capacity.CPUMilli)
		for _, o := range w.tasks {
			if o.causesInterference() {
				t.expectedSlowdown += slowdownPerCore(t.job.class, o.job.class) * o.effectiveCores()
			}
		}
		w.services = append(w.services, t)
	}
}

// addedSlowdown returns the largest slowdown that a service on w would have with the task, and the increase of the sum
// of slowdowns and their squares. The squares favour several small slowdowns over one large slowdown.
func (p *placement) addedSlowdown(w *worker) (worst, cost float64) {
	if p.slowdownWorker != w {
		p.slowdownWorker = w
		p.worstSlowdown, p.slowdownCost = p.computeSlowdown(w)
	}
	return p.worstSlowdown, p.slowdownCost
}

func (p *placement) computeSlowdown(w *worker) (worst, cost float64) {
	w.refreshSlowdowns()
	cores := float64(p.size.CPUMilli) / 1000
	if p.job.rec.Kind == record.ServiceJob {
		var slow float64
		for _, o := range w.tasks {
			if o.causesInterference() {
				slow += slowdownPerCore(p.job.class, o.job.class) * o.effectiveCores()
			}
		}
		return slow, slow + slow*slow
	}
	use := w.usedCPU + w.sinceReport
	load := overload(use+p.size.CPUMilli, w.capacity.CPUMilli) - overload(use, w.capacity.CPUMilli)
	for _, t := range w.services {
		now := max(t.expectedSlowdown, t.slowdown/2)
		then := now + slowdownPerCore(t.job.class, p.job.class)*cores + slowdownPerCore(t.job.class, loadClass)*load
		worst = max(worst, (1+then)*t.loadFactor-1)
		cost += then - now + then*then - now*now
	}
	return worst, cost
}
