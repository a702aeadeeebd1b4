package dispatch

// Summary counts work and capacity.
type Summary struct {
	// Jobs counts unfinished jobs.
	Jobs int
	// WaitingLasting, WaitingFillers and WaitingOthers count tasks ready to be placed: long-running, best-effort and
	// other ones. At counts tasks whose run may be active.
	WaitingLasting, WaitingFillers, WaitingOthers, At int
	// Workers counts schedulable workers.
	Workers int
	// CPU, Committed and Fillers (the demand of best-effort tasks) are in thousandths of a core, on schedulable
	// workers.
	CPU, Committed, Fillers int64
	// FillersUsed is the measured CPU use of unthrottled best-effort tasks, FillersWant their CPU demand. OthersUsed
	// and OthersWant are those of other tasks without a latency target.
	FillersUsed, FillersWant, OthersUsed, OthersWant int64
	// MemMB and MemCommitted are in MB.
	MemMB, MemCommitted int64
	// Paced counts throttled best-effort tasks.
	Paced int
}

// Summarize counts work and capacity.
func (s *State) Summarize() Summary {
	m := Summary{Jobs: len(s.jobs)}
	for _, w := range s.sortedWorkers {
		m.At += len(w.tasks)
		if !s.schedulable(w) {
			continue
		}
		m.Workers++
		m.CPU += w.info.CPU
		m.Committed += w.committedCPU
		m.Fillers += w.bestEffortCPU
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
		case st.step.Lasting:
			m.WaitingLasting += st.waiting
		case st.step.Filler:
			m.WaitingFillers += st.waiting
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
		m.Paced++
	case t.phase != running || step.TargetMs > 0 || t.load == 0:
	case step.Filler:
		m.FillersUsed += t.load
		m.FillersWant += step.CPU
	default:
		m.OthersUsed += t.load
		m.OthersWant += step.CPU
	}
}
