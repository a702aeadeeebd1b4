package dispatch

import (
	"slices"

	"github.com/verbenakeel/verbenakeel/fleet/forecast"
)

const (
	// defaultLoad is the load that a job is assumed to have before it is measured.
	defaultLoad = 0.6
	// maxLoad bounds a measured load.
	maxLoad = 0.98
	// loadSamples is the number of readings that are kept, loadWindowMs the age up to which they count.
	loadSamples  = 24
	loadWindowMs = 600
	// slopeIntervalMs is the time over which a change of the load is measured.
	slopeIntervalMs = 500
	// slopeWeight is the weight of the newest change in the exponentially weighted mean of the slope.
	slopeWeight = 0.5
	// peakWindowMs is how long a peak of the load is used.
	peakWindowMs = 15_000
	// minPeakSamples is the minimum number of readings that make a peak.
	minPeakSamples = 3
	// extrapolationSeconds is the time over which a rising load is extrapolated: the time for a report and a change of
	// a CPU share.
	extrapolationSeconds = 0.8
)

// load is the measured load of the tasks of a long-running job, which share their users. It is the median of recent
// readings from all of them, since single readings are sometimes off by half.
type load struct {
	samples [loadSamples]loadSample
	next    int
	current float64
	// slope is the change per second, measured from fromLoad at fromMs.
	slope, fromLoad float64
	fromMs          int64
	atMs            int64
	peak            float64
	peakMs          int64
	// unaffectedMs is when the load was last measured on a task without interference.
	unaffectedMs int64
	// series predicts the load; nil if it is not predicted. profile caches its predictions.
	series  *forecast.Series
	profile loadProfile
	// deviation is the current load less the one that was predicted for it, deviatedMs when it was last too large to use
	// the prediction.
	deviation  float64
	deviatedMs int64
}

// loadSample is one reading.
type loadSample struct {
	atMs int64
	load float64
}

// addSample adds a reading.
func (l *load) addSample(nowMs int64, r float64) {
	r = min(max(r, 0), maxLoad)
	if l.series != nil {
		l.series.Add(nowMs-readingAgeMs, r)
	}
	l.samples[l.next%loadSamples] = loadSample{nowMs, r}
	l.next++
	n := 0
	l.current, n = l.median(nowMs)
	if l.atMs == 0 {
		l.fromLoad, l.fromMs = l.current, nowMs
	}
	l.atMs = nowMs
	l.updateDeviation(nowMs, n)
	if gap := nowMs - l.fromMs; gap >= slopeIntervalMs {
		l.slope += slopeWeight * ((l.current-l.fromLoad)*1000/float64(gap) - l.slope)
		l.fromLoad, l.fromMs = l.current, nowMs
	}
	if n >= minPeakSamples && (l.current >= l.peak || nowMs-l.peakMs > peakWindowMs) {
		l.peak, l.peakMs = l.current, nowMs
	}
}

// median returns the median and the number of the readings within the window.
func (l *load) median(nowMs int64) (m float64, n int) {
	var list [loadSamples]float64
	for i := range min(l.next, loadSamples) {
		if s := l.samples[i]; nowMs-s.atMs <= loadWindowMs {
			list[n] = s.load
			n++
		}
	}
	slices.Sort(list[:n])
	return list[n/2], n
}

// projected returns the load expected until the next change of a CPU share.
func (l *load) projected() float64 {
	if l.atMs == 0 {
		return defaultLoad
	}
	return l.current + max(l.slope, 0)*extrapolationSeconds
}

// recentPeak returns the highest recent load.
func (l *load) recentPeak() float64 {
	if l.atMs == 0 {
		return defaultLoad
	}
	return max(l.peak, l.current)
}
