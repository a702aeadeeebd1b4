package dispatch

// Summary counts work and capacity.
type Summary struct {
	// Jobs counts unfinished jobs.
	Jobs int
	// WaitingLongRunning, WaitingBestEffort and WaitingOthers count tasks ready to be placed: long-running, best-effort and
	// other ones. Active counts tasks whose run may be active.
	WaitingLongRunning, WaitingBestEffort, WaitingOthers, Active int
	// Workers counts schedulable workers.
	Workers int
	// CPU, Committed and BestEffort (the demand of best-effort tasks) are in thousandths of a core, on schedulable
	// workers.
	CPU, Committed, BestEffort int64
	// BestEffortUsed is the measured CPU use of unthrottled best-effort tasks, BestEffortDemand their CPU demand. OthersUsed
	// and OthersDemand are those of other tasks without a latency target.
	BestEffortUsed, BestEffortDemand, OthersUsed, OthersDemand int64
	// MemMB and MemCommitted are in MB.
	MemMB, MemCommitted int64
	// Throttled counts throttled best-effort tasks.
	Throttled int
	// Forecast tells how well the loads of long-running jobs are predicted.
	Forecast ForecastSummary
}

// Summarize counts work and capacity.
func (s *State) Summarize() Summary {
	m := Summary{Jobs: len(s.jobs), Forecast: s.summarizeForecast()}
	for _, w := range s.sortedWorkers {
		m.Active += len(w.tasks)
		if !s.schedulable(w) {
			continue
		}
		m.Workers++
		m.CPU += w.info.CPU
		m.Committed += w.committedCPU
		m.BestEffort += w.bestEffortCPU
		m.MemMB += w.info.MemMB
		m.MemCommitted += w.committedMem
		for _, t := range w.tasks {
			m.addMeasured(t)
		}
	}
	for _, st := range s.stages {
		if st.waiting == 0 || !st.ready(s.now.BootMs) {
			continue
		}
		switch {
		case st.step.LongRunning:
			m.WaitingLongRunning += st.waiting
		case st.step.BestEffort:
			m.WaitingBestEffort += st.waiting
		default:
			m.WaitingOthers += st.waiting
		}
	}
	return m
}

// addMeasured adds the measured CPU use of a task.
func (m *Summary) addMeasured(t *task) {
	step := t.stage.step
	switch {
	case t.cpuShare < fullCPUShare:
		m.Throttled++
	case t.phase != running || step.TargetMs > 0 || t.load == 0:
	case step.BestEffort:
		m.BestEffortUsed += t.load
		m.BestEffortDemand += step.CPU
	default:
		m.OthersUsed += t.load
		m.OthersDemand += step.CPU
	}
}

// OrderSummary describes the order of jobs and what was learned of durations.
type OrderSummary struct {
	// Deferred counts unfinished jobs that cannot meet their objective but can still be of use, TooLate those that cannot,
	// Yielding long-running ones that wait behind jobs on time, as of the last ranking.
	Deferred, TooLate, Yielding int
	// ReservedCores and BestEffortCores are the cores counted for jobs that reserve CPU and for best-effort jobs; 0 if the
	// order does not count them apart.
	ReservedCores, BestEffortCores int
	// Kinds counts the observed kinds of steps. RatioPercent is the mean ratio of actual to declared durations,
	// SpreadPercent the standard deviation of its logarithm.
	Kinds, RatioPercent, SpreadPercent int
}

// SummarizeOrder describes the order of jobs and what was learned of durations.
func (s *State) SummarizeOrder() OrderSummary {
	o := OrderSummary{ReservedCores: int(s.poolCapacity.reserved), BestEffortCores: int(s.poolCapacity.bestEffort)}
	kinds, ratio, spread := s.durations.Kinds()
	o.Kinds, o.RatioPercent, o.SpreadPercent = kinds, int(ratio*100), int(spread*100)
	for _, j := range s.jobs {
		switch {
		case j.state.Final():
		case j.rank.late == deferred:
			o.Deferred++
		case j.rank.late >= tooLate:
			o.TooLate++
		case j.rank.late == yielding:
			o.Yielding++
		}
	}
	return o
}
