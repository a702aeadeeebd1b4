package dispatch

import "math"

const (
	// priorMean is the expected coefficient of a pair of images that was not observed yet, and priorStdDev its standard
	// deviation.
	priorMean   = 1.2
	priorStdDev = 2.0
	// maxCoefficient bounds a coefficient.
	maxCoefficient = 12.0
	// measurementStdDev is the standard deviation of a measured slowdown: tail latencies are in whole milliseconds
	// and cover half a second.
	measurementStdDev = 0.06
	// driftStdDev is the standard deviation by which a coefficient may change between two reports.
	driftStdDev = 0.05
	// defaultTargetFactor is the assumed ratio of the target of a latency-critical task to its idle tail latency. It is
	// the minimum ratio once the idle tail latency is measured.
	defaultTargetFactor = 5
	// loadFreshMs is how long the load measured on tasks without interference stands for the other tasks of the job.
	loadFreshMs = 900
	// minReliableCoefficient is the coefficient below which the interference is taken to be less than measured:
	// readings over half a second have errors of about that size, and most best-effort images do not interfere with a
	// given image at all.
	minReliableCoefficient = 0.5
	// cautionStdDevs is the number of standard deviations added to the expected interference of a task that starts.
	// Starting too slow costs the best-effort task half a second; starting too fast costs a latency-critical task its
	// target.
	cautionStdDevs = 0.5
	// outlierStdDevs is the number of standard deviations at which a reading has half the weight.
	outlierStdDevs = 2.5
	// targetFraction is the part of its target at which the tail latency of a latency-critical task is kept.
	targetFraction = 0.87
)

// pair is a best-effort image and a latency-critical image on the same worker.
type pair struct{ bestEffort, critical string }

// coefficient is the estimated interference coefficient of a pair.
type coefficient struct{ mean, variance float64 }

// interferenceModel estimates how best-effort tasks slow down latency-critical tasks. A latency-critical task is
// modelled as a queue: with idle tail latency t, its tail latency at load r is t/(1-r). Best-effort tasks on the same
// worker multiply its service time by a slowdown s, which gives t*s/(1-r*s). s is 1 plus, for each of them, the share
// of the worker's CPU that it uses times a coefficient that depends on the two images. Coefficients are estimated by a
// Kalman filter (Kalman, 1960) without covariances: a prediction error corrects the coefficients of the highest
// variance most.
type interferenceModel struct {
	coefficients map[pair]coefficient
	// idleTails holds the shortest tail latency observed for each latency-critical image, in milliseconds.
	idleTails map[string]float64
	// bestEffort and critical hold the images observed in each role. demand is the work of the best-effort tasks that
	// were placed, by image, in core-milliseconds.
	bestEffort, critical imageSet
	demand               map[string]float64
	// predictions caches the results of compare and predict for predictionTTLMs from predictedMs on.
	predictions predictionCache
	predictedMs int64
	// changed is true if coefficients changed since they were last stored, at storedMs.
	changed  bool
	storedMs int64
	// storedBytes is the size of the newest stored record.
	storedBytes int64
}

func newInterferenceModel() interferenceModel {
	return interferenceModel{coefficients: map[pair]coefficient{}, idleTails: map[string]float64{}, demand: map[string]float64{}, predictions: newPredictionCache()}
}

func pairOf(be, t *task) pair { return pair{be.stage.step.Image, t.stage.step.Image} }

// estimate returns the coefficient of a best-effort task on a latency-critical task, measured or predicted.
func (m *interferenceModel) estimate(be, t *task) coefficient {
	p := pairOf(be, t)
	if v, ok := m.coefficients[p]; ok {
		return v
	}
	return m.predict(p)
}

// expectedCoefficient returns the coefficient to plan with. It discounts small ones, which are mostly noise.
func (m *interferenceModel) expectedCoefficient(be, t *task) float64 {
	p := m.estimate(be, t).mean
	return p * min(p/minReliableCoefficient, 1)
}

// demandShare is the part of a worker's CPU that a best-effort task requests.
func demandShare(be *task, w *worker) float64 {
	return float64(be.stage.step.CPU) / float64(max(w.info.CPU, 1))
}

// expectedSlowdown returns the expected increase of the slowdown s of a latency-critical task by an unthrottled
// best-effort task.
func (m *interferenceModel) expectedSlowdown(be, t *task, w *worker) float64 {
	return m.expectedCoefficient(be, t) * demandShare(be, w)
}

// conservativeSlowdown returns the expected slowdown plus a margin that grows with the uncertainty of the coefficient.
func (m *interferenceModel) conservativeSlowdown(be, t *task, w *worker) float64 {
	k := m.estimate(be, t)
	return m.expectedSlowdown(be, t, w) + cautionStdDevs*math.Sqrt(k.variance)*demandShare(be, w)
}

// idleTail returns the tail latency of a latency-critical task without load, in milliseconds.
func (m *interferenceModel) idleTail(t *task) float64 {
	usual := float64(t.stage.step.TargetMs) / defaultTargetFactor
	if seen, ok := m.idleTails[t.stage.step.Image]; ok {
		return min(seen, usual)
	}
	return usual
}

// servesRequests reports whether a latency-critical task is up and has a measured tail latency.
func (t *task) servesRequests() bool {
	return t.stage.step.TargetMs > 0 && t.phase == running && t.percent >= 100 && t.load > 0
}

// updateModel updates loads and coefficients from a report on a worker.
func (s *State) updateModel(w *worker, bestEffort []*task) {
	var affected []*task
	for _, t := range w.copyTasks() {
		if !t.servesRequests() {
			continue
		}
		image := t.stage.step.Image
		if shortest, ok := s.interference.idleTails[image]; !ok || float64(t.load) < shortest {
			s.interference.idleTails[image] = float64(t.load)
		}
		t.adjustHeadroom(s.now.BootMs)
		if anyUsesCPU(bestEffort) {
			affected = append(affected, t)
			continue
		}
		idle := s.interference.idleTail(t)
		t.stage.job.load.addSample(s.now.BootMs, 1-idle/float64(t.load))
		t.stage.job.load.unaffectedMs = s.now.BootMs
	}
	for _, t := range affected {
		s.updateCoefficients(t, w, bestEffort)
	}
}

// anyUsesCPU reports whether a best-effort task used CPU in the last report.
func anyUsesCPU(bestEffort []*task) bool {
	for _, be := range bestEffort {
		if be.load > 0 {
			return true
		}
	}
	return false
}

// updateCoefficients corrects the coefficients on one latency-critical task if the load of its job is predicted or known from
// other tasks, and the load of the job if it is not. The predicted load is that of the time of the reading, while a load
// that was measured without interference may be up to loadFreshMs old.
func (s *State) updateCoefficients(t *task, w *worker, bestEffort []*task) {
	m, jobLoad := &s.interference, &t.stage.job.load
	slowdown, variance := 1.0, measurementStdDev*measurementStdDev
	for _, be := range bestEffort {
		used := usedShare(be, w)
		k := m.estimate(be, t)
		slowdown += k.mean * used
		variance += k.variance * used * used
	}
	idle, tail := m.idleTail(t), float64(t.load)
	r, ok := jobLoad.predictedAt(s.now.BootMs - readingAgeMs)
	if !ok {
		if s.now.BootMs-jobLoad.unaffectedMs > loadFreshMs {
			jobLoad.addSample(s.now.BootMs, (1-idle*slowdown/tail)/slowdown)
			return
		}
		r = jobLoad.current
	}
	residual := tail/(idle+r*tail) - slowdown
	// One reading in fifteen is 1.5 times its neighbours, so a reading has less weight the larger its residual is.
	weight := 1 / (1 + residual*residual/(variance*outlierStdDevs*outlierStdDevs))
	for _, be := range bestEffort {
		used := usedShare(be, w)
		if used == 0 {
			continue
		}
		k := m.estimate(be, t)
		gain := weight * k.variance * used / variance
		m.changed = true
		m.coefficients[pairOf(be, t)] = coefficient{min(max(k.mean+gain*residual, 0), maxCoefficient), k.variance*(1-gain*used) + driftStdDev*driftStdDev}
	}
}

// usedShare is the part of a worker's CPU that a best-effort task used in the last report.
func usedShare(be *task, w *worker) float64 { return float64(be.load) / float64(max(w.info.CPU, 1)) }

// headroom returns how much best-effort tasks may add to s of a latency-critical task at a load while its tail latency
// meets its target.
func (m *interferenceModel) headroom(t *task, load float64) float64 {
	tail := targetFraction * float64(t.stage.step.TargetMs)
	return max(tail/(m.idleTail(t)+load*tail)-1, 0)
}

// expectedCPUShare returns the CPU share at which a best-effort task could run on a worker, on which it may be already: the
// mean over its run of the share at the predicted loads, or the mean of the share at the current loads and that at their
// recent peaks. It also reports whether the loads of all latency-critical tasks with interference are predicted.
func (s *State) expectedCPUShare(be *task, w *worker) (share float64, predicted bool) {
	shares := newRunShares(be)
	predicted = true
	for _, t := range w.tasks {
		if t.stage.step.TargetMs == 0 || t.phase == stopping {
			continue
		}
		sum := s.interference.expectedSlowdown(be, t, w)
		if sum < negligibleSlowdown {
			continue
		}
		for _, o := range w.tasks {
			if o.stage.step.BestEffort && o != be {
				sum += s.interference.expectedSlowdown(o, t, w)
			}
		}
		c := s.headroomOf(t)
		shares.limit(&c, sum)
		predicted = predicted && c.predicted
	}
	share, _ = shares.mean()
	return share, predicted
}

const (
	// headroomCut is the factor applied to the headroom at each report while a latency-critical task exceeds its
	// target, whatever the model predicts.
	headroomCut = 0.5
	// headroomRise is the factor by which the headroom recovers at each report within the target.
	headroomRise = 1.6
	// minHeadroomFactor is the minimum headroom factor.
	minHeadroomFactor = 0.1
)

// adjustHeadroom adjusts the headroom factor of a latency-critical task to its measured tail latency, so that an error
// of the model does not keep the task over its target. One reading over it may be an outlier, so only the second in a
// row counts.
func (t *task) adjustHeadroom(now int64) {
	if t.load > t.stage.step.TargetMs {
		if t.overTargetSinceMs == 0 {
			t.overTargetSinceMs = now
			return
		}
		t.headroomFactor = max(t.headroomShare()*headroomCut, minHeadroomFactor)
		return
	}
	t.overTargetSinceMs = 0
	t.headroomFactor = min(t.headroomShare()*headroomRise, 1)
}

// overTargetTooLong reports whether a latency-critical task has exceeded its target for so long that the best-effort
// tasks on its worker must stop using CPU.
func (s *State) overTargetTooLong(t *task) bool {
	return t.overTargetSinceMs > 0 && s.now.BootMs-t.overTargetSinceMs > int64(overTargetFraction*float64(s.bounds.MaxOverTarget.Milliseconds()))
}

// overTargetFraction is the part of the permitted time over target after which best-effort tasks are throttled to 0. A
// change of a CPU share shows in the tail latency a second later.
const overTargetFraction = 0.4

// headroomShare returns the headroom factor in effect.
func (t *task) headroomShare() float64 {
	if t.headroomFactor == 0 {
		return 1
	}
	return t.headroomFactor
}

// negligibleSlowdown is a slowdown within the measurement error.
const negligibleSlowdown = 0.01
