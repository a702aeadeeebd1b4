// Package forecast predicts the load of long-running jobs some seconds ahead. A load is modelled as a mean, a linear trend
// and one harmonic, fitted to the samples of the last windowMs by weighted least squares. The period of the harmonic is
// shared by all series of a fleet, see Period. The package performs no I/O and uses no clock: times are passed with the
// calls.
package forecast

import (
	"math"
	"slices"
)

const (
	// windowMs is the age up to which samples are used: two periods of the usual 14 s.
	windowMs = 30_000
	// binMs is the time over which samples are combined into one observation, their median. It also bounds the rate of
	// fits.
	binMs = 500
	// maxBins is the number of observations that are kept.
	maxBins = windowMs/binMs + 4
	// maxBinSamples is the number of samples of one bin that are kept.
	maxBinSamples = 32
	// minFitBins is the number of observations from which on a series is fitted.
	minFitBins = 4
	// verifyBins is the number of bins ahead at which predictions are compared with observations: about the time until a
	// new CPU share shows in a report.
	verifyBins = 2
	// errorWeight is the weight of the newest prediction error in the exponentially weighted mean of the errors.
	errorWeight = 0.2
	// maxError is the mean prediction error up to which a forecast is used. Half of the load of a job varies by several
	// times that within a period.
	maxError = 0.07
	// maxErrorRatio is the mean prediction error relative to that of the current load and slope up to which a forecast is
	// used, and errorTolerance is added to it: below it neither is better.
	maxErrorRatio  = 1.1
	errorTolerance = 0.01
	// minVerified is the number of compared predictions from which on a forecast is used.
	minVerified = 3
	// jumpResidual is the residual that counts as a change of the load that the model does not describe if jumpBins
	// successive observations have it with the same sign. Earlier observations are dropped then.
	jumpResidual = 0.12
	jumpBins     = 3
	// residualWeight is the part of the residuals of the newest observations that is added to a prediction. It decays with
	// residualDecayMs, as the deviations of a load from its wave last for a while.
	residualWeight  = 0.5
	residualDecayMs = 1500
	// maxSlopeMs is the time over which the slope is extrapolated if there is no usable forecast.
	maxSlopeMs = 800
	// maxLoad bounds a prediction.
	maxLoad = 0.98
	// maxHorizonMs bounds the time from the newest observation to a predicted moment.
	maxHorizonMs = 8000
)

// bin is one observation: the median of the samples of about binMs.
type bin struct{ atMs, load float64 }

// Series holds the samples of the load of one job and predicts it. Its zero value is not usable, see NewSeries.
type Series struct {
	period *Period
	// samples holds the loads of the open bin, which began at startMs; sumMs is the sum of their times since then.
	samples []float64
	startMs int64
	sumMs   float64
	bins    []bin
	// fits holds the newest fits, the last one at fits[0].
	fits [verifyBins + 1]fit
	// err and slopeErr are the mean absolute errors of predictions by the model and by the current load and slope.
	err, slopeErr float64
	verified      int
	scoredMs      int64
}

// NewSeries returns an empty series whose period is estimated together with that of the other series of p.
func NewSeries(p *Period) *Series { return &Series{period: p} }

// Add adds a sample of the load, 0 to 1, measured at a time in milliseconds. Times must not decrease.
func (s *Series) Add(nowMs int64, load float64) {
	if len(s.samples) > 0 && nowMs-s.startMs >= binMs {
		s.closeBin()
	}
	if len(s.samples) == 0 {
		s.startMs, s.sumMs = nowMs, 0
	}
	if len(s.samples) < maxBinSamples {
		s.samples = append(s.samples, load)
		s.sumMs += float64(nowMs - s.startMs)
	}
}

// closeBin turns the samples of the open bin into an observation and fits the model again.
func (s *Series) closeBin() {
	n := len(s.samples)
	b := bin{atMs: float64(s.startMs) + s.sumMs/float64(n), load: median(s.samples)}
	s.samples = s.samples[:0]
	s.period.observe(b.load)
	s.verify(b)
	old := 0
	for old < len(s.bins) && (b.atMs-s.bins[old].atMs > windowMs || len(s.bins)-old >= maxBins) {
		old++
	}
	s.bins = append(slices.Delete(s.bins, 0, old), b)
	s.dropBeforeJump()
	if s.startMs-s.scoredMs >= scoreIntervalMs && len(s.bins) >= minScoreBins {
		s.scoredMs = s.startMs
		s.period.addScores(s.startMs, s.scores())
	}
	s.refit()
}

// verify compares an observation with the prediction that was made for it.
func (s *Series) verify(b bin) {
	f := &s.fits[verifyBins-1]
	if !f.valid {
		return
	}
	weight := max(errorWeight, 1/float64(s.verified+1))
	s.err += weight * (math.Abs(f.at(b.atMs)-b.load) - s.err)
	s.slopeErr += weight * (math.Abs(f.line(b.atMs)-b.load) - s.slopeErr)
	s.verified++
}

// dropBeforeJump drops the observations before a change of the load that the model does not describe, and the fits to them.
func (s *Series) dropBeforeJump() {
	n := len(s.bins)
	if !s.fits[0].valid || n <= jumpBins {
		return
	}
	sign := 0.0
	for _, b := range s.bins[n-jumpBins:] {
		r := b.load - s.fits[0].wave(b.atMs)
		if math.Abs(r) < jumpResidual || r*sign < 0 {
			return
		}
		sign = r
	}
	s.bins = slices.Delete(s.bins, 0, n-jumpBins)
	s.fits, s.verified = [verifyBins + 1]fit{}, 0
}

// refit fits the model to the observations.
func (s *Series) refit() {
	copy(s.fits[1:], s.fits[:])
	s.fits[0] = fit{}
	if len(s.bins) < minFitBins {
		return
	}
	periodMs, ok := s.period.Ms()
	if !ok {
		return
	}
	s.fits[0] = s.solve(periodMs)
}

// Usable reports whether the forecast may be used: the recent predictions have met the observations, and were not worse
// than the current load and slope.
func (s *Series) Usable() bool {
	return s.fits[0].valid && s.verified >= minVerified && s.err <= maxError && s.err <= maxErrorRatio*s.slopeErr+errorTolerance
}

// Error returns the mean absolute error of recent predictions about a second ahead, and whether there were any.
func (s *Series) Error() (float64, bool) { return s.err, s.verified > 0 }

// At returns the load expected at a time, 0 to 0.98. If ok is false, there is no usable forecast and the load is the
// newest one, extrapolated by its slope.
func (s *Series) At(ms int64) (load float64, ok bool) {
	f := &s.fits[0]
	if !s.Usable() || float64(ms)-f.originMs > maxHorizonMs {
		return s.extrapolate(float64(ms)), false
	}
	return f.at(float64(ms)), true
}

// extrapolate returns the newest load, extrapolated by its slope.
func (s *Series) extrapolate(ms float64) float64 {
	if len(s.bins) == 0 {
		return 0
	}
	f := fit{}
	f.setLine(s.bins)
	return f.line(ms)
}

// median returns the median of values, which it sorts.
func median(values []float64) float64 {
	slices.Sort(values)
	n := len(values)
	if n%2 == 1 {
		return values[n/2]
	}
	return (values[n/2-1] + values[n/2]) / 2
}
