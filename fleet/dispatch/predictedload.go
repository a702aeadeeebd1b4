package dispatch

import (
	"math"
	"slices"

	"github.com/verbenakeel/verbenakeel/fleet/forecast"
)

const (
	// readingAgeMs is the mean age of a reading when it arrives: it covers the last half second and takes some
	// milliseconds.
	readingAgeMs = 275
	// shareEffectMs is the time until a CPU share that is ordered now takes effect: the way to the worker and pace_ms.
	shareEffectMs = 150
	// reportIntervalMs is the time between two reports of a worker, each of which may change its CPU shares.
	reportIntervalMs = 450
	// sharePoints is the number of moments within that interval whose load is predicted.
	sharePoints = 4
	// errorMargin is the part of the mean prediction error that is added to the highest load, if the current load is not above
	// the prediction by more.
	errorMargin = 1.0
	// maxDeviation is the difference between the current and the predicted load from which on the prediction is not used. It
	// shows a change of the load before the mean prediction error does.
	maxDeviation = 0.08
	// deviationHoldMs is the time after such a difference until predictions are used again.
	deviationHoldMs = 1500
	// startIntervalMs is the time from the start of a best-effort task until a CPU share that follows a report on it takes
	// effect.
	startIntervalMs = 1000
	// profileStepMs is the time between two predicted loads of a profile, the first being half of it ahead.
	profileStepMs = 600
	// profilePoints is the number of predicted loads of a profile. Predictions for later moments are less reliable, and
	// a task that is throttled then can be moved.
	profilePoints = 8
	// minRunMs is the minimum duration over which the CPU share of a run is predicted.
	minRunMs = 1000
	// correctedPoints is the number of points of a profile to which the headroom factor of a latency-critical task
	// applies: it recovers within some reports.
	correctedPoints = 2
)

// loadProfile holds the load expected of a job at profilePoints moments from atMs on.
type loadProfile struct {
	atMs int64
	ok   bool
	load [profilePoints]float64
}

// newSeries returns the series of the load of a long-running job, or nil if loads are not predicted.
func (s *State) newSeries(j *job) *forecast.Series {
	if !s.options.LoadForecast || !j.def.LongRunning() {
		return nil
	}
	return forecast.NewSeries(s.loadPeriod)
}

// updateDeviation compares the current load, the median of n readings, with the prediction.
func (l *load) updateDeviation(nowMs int64, n int) {
	l.deviation = 0
	if l.series == nil || n < minPeakSamples {
		return
	}
	r, ok := l.series.At(nowMs - readingAgeMs - loadWindowMs/2)
	if !ok {
		return
	}
	l.deviation = l.current - r
	if math.Abs(l.deviation) > maxDeviation {
		l.deviatedMs = nowMs
	}
}

// predictable reports whether the load is predicted.
func (l *load) predictable() bool {
	return l.series != nil && l.series.Usable() && (l.deviatedMs == 0 || l.atMs-l.deviatedMs > deviationHoldMs)
}

// predictedAt returns the load predicted for a moment, if it is predictable.
func (l *load) predictedAt(ms int64) (float64, bool) {
	if !l.predictable() {
		return 0, false
	}
	return l.series.At(ms)
}

// highest returns the highest load expected from a time on for a duration. If there is no usable forecast, it is the
// current load, extrapolated by a rising slope.
func (l *load) highest(fromMs, durationMs int64) float64 {
	if !l.predictable() {
		return l.projected()
	}
	err, _ := l.series.Error()
	highest := 0.0
	for i := range int64(sharePoints) {
		r, ok := l.series.At(fromMs + durationMs*i/(sharePoints-1))
		if !ok {
			return l.projected()
		}
		highest = max(highest, r)
	}
	return min(highest+max(errorMargin*err, l.deviation), maxLoad)
}

// untilNextShare returns the highest load expected while a CPU share that is ordered now is in effect.
func (l *load) untilNextShare(nowMs, intervalMs int64) float64 {
	return l.highest(nowMs+shareEffectMs, intervalMs)
}

// shareIntervalMs returns the time between two settings of the CPU shares on a worker.
func (s *State) shareIntervalMs() int64 {
	if s.overload >= fewerShares {
		return overloadSharesMs
	}
	return reportIntervalMs
}

// afterStart returns the highest load expected until the CPU share of a task that starts now can be changed.
func (l *load) afterStart(nowMs int64) float64 { return l.highest(nowMs, startIntervalMs) }

// profileAt returns the loads expected at the moments of a profile from now on. Its ok is false if there is no usable
// forecast.
func (l *load) profileAt(nowMs int64) *loadProfile {
	p := &l.profile
	if p.atMs > 0 && nowMs-p.atMs < fitTTLMs {
		return p
	}
	p.atMs, p.ok = nowMs, l.predictable()
	for i := 0; p.ok && i < profilePoints; i++ {
		p.load[i], p.ok = l.series.At(nowMs + profileStepMs/2 + int64(i)*profileStepMs)
	}
	return p
}

// runPoints returns the number of points of a profile that the run of a best-effort task is expected to last.
func runPoints(t *task) int {
	leftMs := max(estimateMs(t.stage.step)*int64(100-t.percent)/100, minRunMs)
	return int(min((leftMs+profileStepMs/2)/profileStepMs, profilePoints))
}

// criticalHeadroom is the headroom that a latency-critical task leaves best-effort tasks.
type criticalHeadroom struct {
	task *task
	// expected is the slowdown that the best-effort tasks on the worker are expected to cause without throttling.
	expected float64
	// predicted is true if the load of the task is predicted. points holds the headroom at the moments of its profile then,
	// else the headroom at the current and at the peak load.
	predicted bool
	points    [profilePoints]float64
	// startAvailable is what running best-effort tasks leave of the headroom until the share of a task that starts now can
	// be changed.
	startAvailable float64
}

// headroomOf returns the headroom of a latency-critical task, without expected.
func (s *State) headroomOf(t *task) criticalHeadroom {
	c := criticalHeadroom{task: t}
	l := &t.stage.job.load
	p := l.profileAt(s.now.BootMs)
	c.predicted = p.ok && s.options.PlaceByForecast
	if !c.predicted {
		c.points[0] = s.interference.headroom(t, l.projected()) * t.headroomShare()
		c.points[1] = s.interference.headroom(t, l.recentPeak())
		c.startAvailable = c.points[0]
		return c
	}
	for i := range c.points {
		c.points[i] = s.interference.headroom(t, p.load[i])
		if i < correctedPoints {
			c.points[i] *= t.headroomShare()
		}
	}
	c.startAvailable = s.interference.headroom(t, l.afterStart(s.now.BootMs)) * t.headroomShare()
	return c
}

// runShares is the CPU share that a best-effort task can have at each moment of its run.
type runShares struct {
	points [profilePoints]float64
	n      int
}

func newRunShares(t *task) runShares {
	r := runShares{n: runPoints(t)}
	for i := range r.n {
		r.points[i] = 1
	}
	return r
}

// limit lowers the shares to the headroom of a latency-critical task that the slowdown by all best-effort tasks leaves. If
// its load is not predicted, the share is the mean of that at the current and at the peak load.
func (r *runShares) limit(c *criticalHeadroom, slowdown float64) {
	mean := (min(c.points[0]/slowdown, 1) + min(c.points[1]/slowdown, 1)) / 2
	for i := range r.n {
		if c.predicted {
			r.points[i] = min(r.points[i], c.points[i]/slowdown)
		} else {
			r.points[i] = min(r.points[i], mean)
		}
	}
}

// mean returns the mean and the lowest share over the run. The mean of equal shares is not rounded.
func (r *runShares) mean() (mean, lowest float64) {
	lowest = r.points[0]
	for _, v := range r.points[1:r.n] {
		mean += (v - r.points[0]) / float64(r.n)
		lowest = min(lowest, v)
	}
	return r.points[0] + mean, lowest
}

// ForecastSummary tells how well the loads of long-running jobs are predicted.
type ForecastSummary struct {
	// PeriodMs is the period that the loads have in common, in milliseconds; 0 if there is none.
	PeriodMs int64
	// Measured counts jobs whose load is measured, Usable those of them with a usable forecast.
	Measured, Usable int
	// MeanError is the mean absolute error of usable forecasts a second ahead, in thousandths of the load.
	MeanError int64
}

// summarizeForecast summarizes the forecasts of all jobs.
func (s *State) summarizeForecast() ForecastSummary {
	var f ForecastSummary
	if ms, ok := s.loadPeriod.Ms(); ok {
		f.PeriodMs = int64(ms)
	}
	var errors []float64
	for _, j := range s.jobs {
		l := &j.load
		if l.series == nil || l.atMs == 0 {
			continue
		}
		f.Measured++
		if l.predictable() {
			err, _ := l.series.Error()
			errors = append(errors, err)
		}
	}
	slices.Sort(errors) // so that the sum does not depend on the order of the jobs
	sum := 0.0
	for _, err := range errors {
		sum += err
	}
	f.Usable = len(errors)
	f.MeanError = int64(math.Round(1000 * sum / float64(max(f.Usable, 1))))
	return f
}
