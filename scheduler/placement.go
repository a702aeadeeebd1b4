package scheduler

import (
	"fmt"

	"github.com/verbenakeel/verbenakeel/internal/rule"
	"github.com/verbenakeel/verbenakeel/record"
)

// Filter excludes workers for a task. It returns the reason, or an empty string if the worker is feasible.
type Filter interface {
	Exclude(p *placement, w *worker) string
}

// Score rates a worker for a task in thousandths; higher is better.
type Score interface {
	Rate(p *placement, w *worker) int64
}

// placement is the placement of one task in progress.
type placement struct {
	s     *State
	nowMs int64
	task  *task
	job   *job
	size  record.Resources
	// expedited is true for urgent tasks and tasks at risk of missing their deadline.
	expedited bool
	// slowdownWorker is the worker for which worstSlowdown and slowdownCost were computed.
	slowdownWorker              *worker
	worstSlowdown, slowdownCost float64
}

// filterFunc adapts a function to Filter.
type filterFunc func(p *placement, w *worker) string

// Exclude implements Filter.
func (f filterFunc) Exclude(p *placement, w *worker) string { return f(p, w) }

// scoreFunc adapts a function to Score.
type scoreFunc func(p *placement, w *worker) int64

// Rate implements Score.
func (f scoreFunc) Rate(p *placement, w *worker) int64 { return f(p, w) }

var filters = []Filter{
	filterFunc(excludeDown),
	filterFunc(excludeZoneOut),
	filterFunc(excludeFull),
	filterFunc(excludeUnverified),
	filterFunc(excludeAvoided),
	filterFunc(excludeNominated),
	filterFunc(excludeRampUp),
	filterFunc(excludeAccelerators),
	// The most expensive filter is last.
	filterFunc(excludeInterference),
}

// fullFilter is the index of excludeFull in filters.
const fullFilter = 2

var scores = []Score{
	scoreFunc(rateFreeCPU),
	scoreFunc(rateSpread),
	scoreFunc(rateAccelerators),
	scoreFunc(rateConsolidation),
	scoreFunc(rateLowInterference),
	scoreFunc(rateInterference),
	scoreFunc(rateReportAge),
}

func excludeDown(_ *placement, w *worker) string {
	if !w.known || !w.up {
		return "out of contact"
	}
	return ""
}

func excludeZoneOut(p *placement, w *worker) string {
	if w.zoneRef.out {
		return "its zone is out of service"
	}
	return ""
}

func excludeFull(p *placement, w *worker) string {
	if !p.size.Fits(w.free()) && rule.Enabled(rule.Capacity) {
		return "too little room"
	}
	return ""
}

// rateFreeCPU prefers workers with free processors, by the larger of commitment and usage.
func rateFreeCPU(p *placement, w *worker) int64 {
	if w.capacity.CPUMilli == 0 {
		return 0
	}
	use := max(w.committed.CPUMilli, w.usedCPU+w.sinceReport)
	return 1000 * (w.capacity.CPUMilli - use - p.size.CPUMilli) / w.capacity.CPUMilli
}

// excludeInterference excludes workers where a batch task would slow a service beyond the limit.
func excludeInterference(p *placement, w *worker) string {
	if p.job.rec.Kind == record.ServiceJob || p.expedited {
		return ""
	}
	if worst, _ := p.addedSlowdown(w); worst*1000 > float64(p.s.slowdownLimit(p.nowMs-p.task.queuedMs)) {
		return "a service there would be slowed too much"
	}
	return ""
}

// slowdownLimit returns the slowdown of a service that a task may cause after it has waited that long. It grows after
// SlowdownRelaxMs: if all workers run services, a task with strong interference would otherwise never start.
func (s *State) slowdownLimit(waitedMs int64) int64 {
	return s.cfg.SlowdownLimitMilli + s.cfg.SlowdownLimitMilli*max(waitedMs-s.cfg.SlowdownRelaxMs, 0)/max(s.cfg.SlowdownRelaxMs, 1)
}

// rateInterference prefers workers where the task slows services least.
func rateInterference(p *placement, w *worker) int64 {
	_, cost := p.addedSlowdown(w)
	return -int64(min(cost, 100) * 20_000)
}

// rateReportAge reduces the score of a worker without recent reports, since its load is unknown.
func rateReportAge(p *placement, w *worker) int64 {
	if w.reportMs == 0 {
		return 0
	}
	late := p.nowMs - w.reportMs - p.s.cfg.ReportStaleMs
	return -min(max(late, 0)/10, 3000)
}

// rateSpread spreads the service replicas of a job over workers, racks and zones.
func rateSpread(p *placement, w *worker) int64 {
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

// rateConsolidation places replicas of different services on the same workers, up to half of the processors of each, so
// that more workers run no service that batch work could slow. Replicas of one service are still spread.
func rateConsolidation(p *placement, w *worker) int64 {
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

// rateLowInterference prefers workers with services for batch tasks that slow services little, so that workers without
// services remain free for tasks with more interference.
func rateLowInterference(p *placement, w *worker) int64 {
	if p.job.rec.Kind == record.ServiceJob {
		return 0
	}
	w.refreshSlowdowns()
	if len(w.services) == 0 {
		return 0
	}
	// A task of a class that causes no slowdown scores 2000, one with the slowdown assumed for unknown classes 0.
	return int64(max(1-p.s.meanSlowdown(p.nowMs, p.job.class)/defaultSlowdown, 0) * 2000)
}

// acceleratorReserveMs is how long other batch work is excluded from workers with free accelerators after a task that needs
// accelerators could not be placed.
const acceleratorReserveMs = 5_000

// excludeAccelerators excludes other batch work from workers with free accelerators while a task waits for
// accelerators.
func excludeAccelerators(p *placement, w *worker) string {
	if p.size.Accelerators == 0 && w.free().Accelerators > 0 && p.job.rec.Kind != record.ServiceJob && !p.expedited &&
		p.s.acceleratorMissMs != 0 && p.nowMs-p.s.acceleratorMissMs < acceleratorReserveMs {
		return "its accelerators are kept for tasks that wait for them"
	}
	return ""
}

// rateAccelerators avoids workers with free accelerators for tasks that need none.
func rateAccelerators(p *placement, w *worker) int64 {
	if p.size.Accelerators == 0 && w.free().Accelerators > 0 {
		return -8000
	}
	return 0
}

// waitReason is why a task was not placed. The text is formatted only on request.
type waitReason struct {
	// count of n workers were excluded for the reason in text; n is 0 if the reason is not about individual workers.
	count, n int
	text     string
}

// String implements fmt.Stringer.
func (r waitReason) String() string {
	if r.n == 0 {
		return r.text
	}
	return fmt.Sprintf("no worker has room: %d of %d workers: %s", r.count, r.n, r.text)
}

// place returns the best worker for a task, or the most common reason for which workers were excluded.
func (s *State) place(p *placement) (*worker, waitReason) {
	for _, size := range s.fullSizes {
		if size.Fits(p.size) {
			return nil, waitReason{text: "all workers are full"}
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
	s.scanned += visited + 1
	if best != nil {
		return best, waitReason{}
	}
	if counts[fullFilter] == visited && visited < 4*s.cfg.MaxCandidates {
		s.fullSizes = append(s.fullSizes, p.size)
	}
	if s.free.count == 0 {
		return nil, waitReason{text: "no worker is in contact in a zone that is in service"}
	}
	most := 0
	for f := range counts {
		if counts[f] > counts[most] {
			most = f
		}
	}
	if counts[most] <= s.free.count-visited {
		return nil, waitReason{s.free.count - visited, s.free.count, "too few free processors"}
	}
	return nil, waitReason{counts[most], s.free.count, reasons[most]}
}

// excluded returns the index of the first filter that excludes the worker, and its reason.
func excluded(p *placement, w *worker) (int, string) {
	for i, f := range filters {
		if r := f.Exclude(p, w); r != "" {
			return i, r
		}
	}
	return 0, ""
}
