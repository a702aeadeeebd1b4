package dispatch

import "slices"

const (
	// loadUnknown is the load that a job is taken to have before it was measured.
	loadUnknown = 0.6
	// loadMost bounds a measured load.
	loadMost = 0.98
	// loadSamples is the number of readings that are kept, loadWindowMs the age up to which they count.
	loadSamples  = 24
	loadWindowMs = 600
	// slopeEveryMs is the time over which a change of the load is taken.
	slopeEveryMs = 500
	// slopeRate is the share of the newest change in what is taken for the slope.
	slopeRate = 0.5
	// peakKeepMs is how long a peak of the load is reckoned with.
	peakKeepMs = 15_000
	// peakSamples is the least number of readings that make a peak.
	peakSamples = 3
	// ahead is the time in seconds over which a rising load is extrapolated: a report and a change of pace take as long.
	ahead = 0.8
)

// load is the measured load of the tasks of a lasting job, which share their users. It is the median of the readings of
// late on all of them, since single readings are off by half now and then.
type load struct {
	samples [loadSamples]loadSample
	next    int
	now     float64
	// slope is the change a second, by the load fromLoad at fromMs.
	slope, fromLoad float64
	fromMs          int64
	atMs            int64
	peak            float64
	peakMs          int64
	// freshMs is when it was measured last on a task that nobody pressed.
	freshMs int64
}

// loadSample is one reading.
type loadSample struct {
	atMs int64
	load float64
}

// measure takes a new reading.
func (l *load) measure(nowMs int64, r float64) {
	r = min(max(r, 0), loadMost)
	l.samples[l.next%loadSamples] = loadSample{nowMs, r}
	l.next++
	n := 0
	l.now, n = l.median(nowMs)
	if l.atMs == 0 {
		l.fromLoad, l.fromMs = l.now, nowMs
	}
	l.atMs = nowMs
	if gap := nowMs - l.fromMs; gap >= slopeEveryMs {
		l.slope += slopeRate * ((l.now-l.fromLoad)*1000/float64(gap) - l.slope)
		l.fromLoad, l.fromMs = l.now, nowMs
	}
	if n >= peakSamples && (l.now >= l.peak || nowMs-l.peakMs > peakKeepMs) {
		l.peak, l.peakMs = l.now, nowMs
	}
}

// median returns the median of the readings within the window, and their number.
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

// soon returns the load that is to be reckoned with until the next change of pace.
func (l *load) soon() float64 {
	if l.atMs == 0 {
		return loadUnknown
	}
	return l.now + max(l.slope, 0)*ahead
}

// high returns the highest load of late.
func (l *load) high() float64 {
	if l.atMs == 0 {
		return loadUnknown
	}
	return max(l.peak, l.now)
}
