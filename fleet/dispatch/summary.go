package dispatch

// Summary is a count of work and room.
type Summary struct {
	// Jobs counts jobs that are not over.
	Jobs int
	// Waiting counts tasks whose turn has come, by whether they serve or last, fill, or neither; At counts tasks with a
	// run that may be at work.
	WaitingLasting, WaitingFillers, WaitingOthers, At int
	// Workers counts those that take work.
	Workers int
	// CPU, Committed and Fillers are in thousandths of a core, on workers that take work.
	CPU, Committed, Fillers int64
	// FillersUsed is the processor use of fillers that work at full pace and were measured, FillersWant what they asked
	// for, OthersUsed and OthersWant those of other tasks that end.
	FillersUsed, FillersWant, OthersUsed, OthersWant int64
	// MemMB and MemCommitted are in MB.
	MemMB, MemCommitted int64
	// Paced counts fillers that are slowed down.
	Paced int
}

// Summarize counts work and room.
func (s *State) Summarize() Summary {
	m := Summary{Jobs: len(s.jobs)}
	for _, w := range s.order {
		m.At += len(w.tasks)
		if !s.takesWork(w) {
			continue
		}
		m.Workers++
		m.CPU += w.info.CPU
		m.Committed += w.cpu
		m.Fillers += w.fillCPU
		m.MemMB += w.info.MemMB
		m.MemCommitted += w.mem
		for _, t := range w.tasks {
			m.measure(t)
		}
	}
	for _, st := range s.stages {
		if st.idle == 0 || !st.ready(s.now.BootMs) {
			continue
		}
		switch {
		case st.step.Lasting:
			m.WaitingLasting += st.idle
		case st.step.Filler:
			m.WaitingFillers += st.idle
		default:
			m.WaitingOthers += st.idle
		}
	}
	return m
}

// measure adds the measured processor use of a task.
func (m *Summary) measure(t *task) {
	step := t.stage.step
	switch {
	case t.pace < fullPace:
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
