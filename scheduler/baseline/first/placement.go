package first

import "github.com/verbenakeel/verbenakeel/record"

// Filter excludes workers for a task. It returns why, or an empty string if the worker may be used.
type Filter interface {
	Exclude(p *placing, w *worker) string
}

// Score rates a worker for a task in thousandths; higher is better.
type Score interface {
	Rate(p *placing, w *worker) int64
}

// placing is one placement in progress.
type placing struct {
	s     *State
	nowMs int64
	task  *task
	job   *job
	size  record.Resources
}

// filterFunc makes a Filter of a function.
type filterFunc func(p *placing, w *worker) string

// Exclude implements Filter.
func (f filterFunc) Exclude(p *placing, w *worker) string { return f(p, w) }

// scoreFunc makes a Score of a function.
type scoreFunc func(p *placing, w *worker) int64

// Rate implements Score.
func (f scoreFunc) Rate(p *placing, w *worker) int64 { return f(p, w) }

var filters = []Filter{
	filterFunc(excludeDown),
	filterFunc(excludeZoneOut),
	filterFunc(excludeFull),
}

var scores = []Score{
	scoreFunc(rateRoom),
	scoreFunc(rateSpread),
	scoreFunc(rateAccelerators),
}

func excludeDown(_ *placing, w *worker) string {
	if !w.known || !w.up {
		return "out of contact"
	}
	return ""
}

func excludeZoneOut(p *placing, w *worker) string {
	if p.s.zones[w.zone].out {
		return "its zone is out of service"
	}
	return ""
}

func excludeFull(p *placing, w *worker) string {
	if !p.size.Fits(w.free()) {
		return "too little room"
	}
	return ""
}

// rateRoom prefers workers with free processors.
func rateRoom(p *placing, w *worker) int64 {
	if w.capacity.CPUMilli == 0 {
		return 0
	}
	return 1000 * (w.free().CPUMilli - p.size.CPUMilli) / w.capacity.CPUMilli
}

// rateSpread keeps service replicas of one job on different workers, racks and zones.
func rateSpread(p *placing, w *worker) int64 {
	if p.job.rec.Kind != record.ServiceJob {
		return 0
	}
	var score int64
	for _, t := range p.job.tasks {
		if t.worker == nil {
			continue
		}
		switch {
		case t.worker == w:
			score -= 4000
		case t.worker.zone == w.zone && t.worker.rack == w.rack:
			score -= 1000
		case t.worker.zone == w.zone:
			score -= 500
		}
	}
	return score
}

// rateAccelerators keeps workers with free accelerators for tasks that need them.
func rateAccelerators(p *placing, w *worker) int64 {
	if p.size.Accelerators == 0 && w.free().Accelerators > 0 {
		return -2000
	}
	return 0
}

// place returns the best worker for a task, or why there is none.
func (s *State) place(p *placing) (*worker, string) {
	var best *worker
	var bestScore int64
	reason, scored := "no worker is known", 0
	n := len(s.order)
	for i := 0; i < n && scored < s.cfg.MaxCandidates; i++ {
		w := s.order[(s.cursor+i)%n]
		if r := excluded(p, w); r != "" {
			reason = r
			continue
		}
		scored++
		var score int64
		for _, f := range scores {
			score += f.Rate(p, w)
		}
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	if n > 0 {
		s.cursor = (s.cursor + 1) % n
	}
	return best, reason
}

func excluded(p *placing, w *worker) string {
	for _, f := range filters {
		if r := f.Exclude(p, w); r != "" {
			return r
		}
	}
	return ""
}
