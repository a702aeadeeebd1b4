package dispatch

import "math"

// fitTTLMs is how long the cached headroom of a worker is used: the load of a latency-critical task also follows from
// the reports of other workers.
const fitTTLMs = 100

// bestEffortFit caches what the placement of best-effort tasks on a worker depends on, so that a waiting task is
// compared with a worker without a walk over all pairs of tasks there.
type bestEffortFit struct {
	// version is worker.version at builtMs.
	version uint64
	builtMs int64
	// critical holds the latency-critical tasks on the worker.
	critical []criticalHeadroom
	// coefficients holds the coefficients of best-effort images on these tasks, in their order.
	coefficients map[string][]fitCoefficient
}

// fitCoefficient is the coefficient of a best-effort image on a latency-critical task: the expected one, and one with a
// margin for its uncertainty.
type fitCoefficient struct{ expected, conservative float64 }

// bestEffortFit returns the cached headroom of a worker and builds it if the worker has changed.
func (s *State) bestEffortFit(w *worker) *bestEffortFit {
	f := w.fit
	if f != nil && f.version == w.version && s.now.BootMs-f.builtMs < fitTTLMs {
		return f
	}
	f = &bestEffortFit{version: w.version, builtMs: s.now.BootMs, coefficients: map[string][]fitCoefficient{}}
	w.fit = f
	for _, t := range w.tasks {
		if t.stage.step.TargetMs == 0 || t.phase == stopping {
			continue
		}
		c := s.headroomOf(t)
		for _, o := range w.tasks {
			if !o.stage.step.BestEffort {
				continue
			}
			slowdown := s.interference.expectedSlowdown(o, t, w)
			c.expected += slowdown
			if o.usesHeadroom() {
				c.startAvailable -= slowdown * float64(max(o.cpuShare, 0)) / fullCPUShare
			}
		}
		f.critical = append(f.critical, c)
	}
	return f
}

// usesHeadroom reports whether a best-effort task runs or was ordered to.
func (t *task) usesHeadroom() bool {
	return t.phase == running || t.phase == starting && t.orderNumber > 0
}

// coefficientsOf returns the coefficients of the image of a best-effort task.
func (f *bestEffortFit) coefficientsOf(m *interferenceModel, be *task) []fitCoefficient {
	image := be.stage.step.Image
	if list, ok := f.coefficients[image]; ok {
		return list
	}
	list := make([]fitCoefficient, len(f.critical))
	for i, c := range f.critical {
		expected := m.expectedCoefficient(be, c.task)
		list[i] = fitCoefficient{expected, expected + cautionStdDevs*math.Sqrt(m.estimate(be, c.task).variance)}
	}
	f.coefficients[image] = list
	return list
}

// placementShares tells what CPU share another best-effort task could have on a worker.
type placementShares struct {
	// expected is the mean share over its run, lowest the lowest one, and start the share for which there is headroom at its
	// start.
	expected, lowest, start float64
}

// suffice reports whether the shares suffice to place the task.
func (p placementShares) suffice() bool {
	return p.expected >= minPlacementShare && p.lowest >= minRunShare && p.start >= minStartShare
}

// bestEffortShares returns the CPU shares that another best-effort task could have on a worker, on which it is not: the
// expected one as expectedCPUShare does, and the one at its start as startShare does.
func (s *State) bestEffortShares(be *task, w *worker) placementShares {
	f := s.bestEffortFit(w)
	demand := demandShare(be, w)
	shares := newRunShares(be)
	p := placementShares{start: 1}
	for i, k := range f.coefficientsOf(&s.interference, be) {
		c := &f.critical[i]
		if own := k.expected * demand; own >= negligibleSlowdown {
			shares.limit(c, own+c.expected)
		}
		if own := k.conservative * demand; own >= negligibleSlowdown {
			p.start = min(p.start, max(c.startAvailable/own, 0))
		}
	}
	p.expected, p.lowest = shares.mean()
	return p
}
