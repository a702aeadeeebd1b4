package scheduler

import (
	"fmt"

	"github.com/verbenakeel/verbenakeel/internal/rule"
	"github.com/verbenakeel/verbenakeel/record"
)

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
	// pressing is true for urgent tasks and tasks at risk of missing their deadline.
	pressing bool
	// harmOn is the worker that worst and cost were computed for.
	harmOn      *worker
	worst, cost float64
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
	filterFunc(excludeUnproven),
	filterFunc(excludeAvoided),
	filterFunc(excludeNominated),
	filterFunc(excludeFilling),
	filterFunc(excludeAccelerators),
	// The costly filter is last.
	filterFunc(excludeHarmful),
}

// fullFilter is the place of excludeFull in filters.
const fullFilter = 2

var scores = []Score{
	scoreFunc(rateRoom),
	scoreFunc(rateSpread),
	scoreFunc(rateAccelerators),
	scoreFunc(rateConsolidation),
	scoreFunc(rateGentle),
	scoreFunc(rateHarm),
	scoreFunc(rateReports),
}

func excludeDown(_ *placing, w *worker) string {
	if !w.known || !w.up {
		return "out of contact"
	}
	return ""
}

func excludeZoneOut(p *placing, w *worker) string {
	if w.zoneRef.out {
		return "its zone is out of service"
	}
	return ""
}

func excludeFull(p *placing, w *worker) string {
	if !p.size.Fits(w.free()) && rule.On(rule.Capacity) {
		return "too little room"
	}
	return ""
}

// rateRoom prefers workers with free processors, by what is committed or what is in use, whichever is more.
func rateRoom(p *placing, w *worker) int64 {
	if w.capacity.CPUMilli == 0 {
		return 0
	}
	use := max(w.committed.CPUMilli, w.usedCPU+w.sinceReport)
	return 1000 * (w.capacity.CPUMilli - use - p.size.CPUMilli) / w.capacity.CPUMilli
}

// excludeHarmful keeps a batch task from a worker where a service would be slowed too much.
func excludeHarmful(p *placing, w *worker) string {
	if p.job.rec.Kind == record.ServiceJob || p.pressing {
		return ""
	}
	if worst, _ := p.addedHarm(w); worst*1000 > float64(p.s.harmLimit(p.nowMs-p.task.queuedMs)) {
		return "a service there would be slowed too much"
	}
	return ""
}

// harmLimit is the slowdown of a service that a task may cause after it has waited that long. It grows after HarmWaitMs,
// since where all workers have services a harmful task would otherwise never start.
func (s *State) harmLimit(waitedMs int64) int64 {
	return s.cfg.HarmLimitMilli + s.cfg.HarmLimitMilli*max(waitedMs-s.cfg.HarmWaitMs, 0)/max(s.cfg.HarmWaitMs, 1)
}

// rateHarm prefers workers where the task slows services least.
func rateHarm(p *placing, w *worker) int64 {
	_, cost := p.addedHarm(w)
	return -int64(min(cost, 100) * 20_000)
}

// rateReports counts silence against a worker: without reports its load is not known to be low.
func rateReports(p *placing, w *worker) int64 {
	if w.reportMs == 0 {
		return 0
	}
	late := p.nowMs - w.reportMs - p.s.cfg.ReportStaleMs
	return -min(max(late, 0)/10, 3000)
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

// rateConsolidation puts replicas of different services on the same workers, up to half of each, so that other workers
// have no service that batch work could slow. Replicas of one service stay apart.
func rateConsolidation(p *placing, w *worker) int64 {
	if p.job.rec.Kind != record.ServiceJob {
		return 0
	}
	var cpu int64
	for _, t := range w.tasks {
		if t.job != nil && t.job.rec.Kind == record.ServiceJob {
			cpu += t.size.CPUMilli
		}
	}
	if cpu == 0 || 2*(cpu+p.size.CPUMilli) > w.capacity.CPUMilli {
		return 0
	}
	return 1500
}

// rateGentle puts batch tasks that harm services little beside services, so that workers without a service stay free
// for tasks that would harm one.
func rateGentle(p *placing, w *worker) int64 {
	if p.job.rec.Kind == record.ServiceJob {
		return 0
	}
	w.refreshSlow()
	if len(w.services) == 0 {
		return 0
	}
	// A task of a class without any learned harm gains 2000, one with the harm assumed of unknown classes nothing.
	return int64(max(1-p.s.meanHarm(p.nowMs, p.job.class)/unknownHarm, 0) * 2000)
}

// accelWaitMs is how long after a task found no room with accelerators other batch work stays away from them.
const accelWaitMs = 5_000

// excludeAccelerators keeps other batch work off workers with free accelerators while some task waits for them.
func excludeAccelerators(p *placing, w *worker) string {
	if p.size.Accelerators == 0 && w.free().Accelerators > 0 && p.job.rec.Kind != record.ServiceJob && !p.pressing &&
		p.s.accelMs != 0 && p.nowMs-p.s.accelMs < accelWaitMs {
		return "its accelerators are kept for tasks that wait for them"
	}
	return ""
}

// rateAccelerators keeps workers with free accelerators for tasks that need them.
func rateAccelerators(p *placing, w *worker) int64 {
	if p.size.Accelerators == 0 && w.free().Accelerators > 0 {
		return -8000
	}
	return 0
}

// why is why a task was not placed. It is formatted only when it is asked for.
type why struct {
	// count of n workers were excluded for the reason in text; n is 0 if the reason is not about single workers.
	count, n int
	text     string
}

// String implements fmt.Stringer.
func (y why) String() string {
	if y.n == 0 {
		return y.text
	}
	return fmt.Sprintf("no worker has room: %d of %d workers: %s", y.count, y.n, y.text)
}

// place returns the best worker for a task, or the most common reason why workers are excluded.
func (s *State) place(p *placing) (*worker, why) {
	for _, size := range s.full {
		if size.Fits(p.size) {
			return nil, why{text: "all workers are full"}
		}
	}
	var best *worker
	var bestScore int64
	var counts [16]int
	var reasons [16]string
	scored, visited := 0, 0
	s.free.search(p.size.CPUMilli, 4*s.cfg.MaxCandidates, func(w *worker) bool {
		visited++
		if f, r := excluded(p, w); r != "" {
			counts[f]++
			reasons[f] = r
			return true
		}
		scored++
		var score int64
		for _, f := range scores {
			score += f.Rate(p, w)
		}
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
		return scored < s.cfg.MaxCandidates
	})
	s.visits += visited + 1
	if best != nil {
		return best, why{}
	}
	if counts[fullFilter] == visited && visited < 4*s.cfg.MaxCandidates {
		s.full = append(s.full, p.size)
	}
	if s.free.n == 0 {
		return nil, why{text: "no worker is in contact in a zone that is in service"}
	}
	most := 0
	for f := range counts {
		if counts[f] > counts[most] {
			most = f
		}
	}
	if counts[most] <= s.free.n-visited {
		return nil, why{s.free.n - visited, s.free.n, "too few free processors"}
	}
	return nil, why{counts[most], s.free.n, reasons[most]}
}

// excluded returns the first filter that excludes the worker, and why.
func excluded(p *placing, w *worker) (int, string) {
	for i, f := range filters {
		if r := f.Exclude(p, w); r != "" {
			return i, r
		}
	}
	return 0, ""
}
