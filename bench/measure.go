package bench

import (
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/verbenakeel/verbenakeel/record"
	"github.com/verbenakeel/verbenakeel/scheduler"
	"github.com/verbenakeel/verbenakeel/scheduler/baseline"
	"github.com/verbenakeel/verbenakeel/scheduler/baseline/first"
)

// results collects the measurements of one simulation.
type results struct {
	latencies, idleStarts       *hdrhistogram.Histogram
	urgentMaxMs                 int64
	finishedTasks, deadlinesMet int64
	evictions, refusedJobs      int64
	// lostMs is the progress that has to be repeated.
	lostMs float64
	// awayWorkCoreMs is the work done while a zone is lost.
	awayWorkCoreMs float64
	// doneWorkCoreSeconds is the work of finished batch tasks.
	doneWorkCoreSeconds float64
	violations          int64
}

func newResults() *results {
	return &results{latencies: hdrhistogram.New(1, 60_000_000, 3), idleStarts: hdrhistogram.New(1, 10_000_000, 3)}
}

func (m *results) recordLatency(us, count int64) {
	_ = m.latencies.RecordValues(min(max(us, 1), 60_000_000), count)
}

func (m *results) countEviction(r *fakeTask) {
	if r.job.Kind == record.BatchJob {
		m.evictions++
	}
}

func (m *results) recordStart(f *fleet, r *fakeTask) {
	wait := f.now - r.submittedMs
	if r.job.Urgent {
		m.urgentMaxMs = max(m.urgentMaxMs, wait)
	}
	if idleCustomer(r.job.Customer) {
		_ = m.idleStarts.RecordValue(max(wait, 1))
	}
}

// idleCustomer reports whether the customer is one of the 200 mostly idle ones of scenario busy_customer.
func idleCustomer(name string) bool { return strings.HasPrefix(name, "c") && name != "c000" }

func (m *results) recordFinish(f *fleet, r *fakeTask) {
	if r.job.Kind != record.BatchJob {
		return
	}
	m.finishedTasks++
	m.doneWorkCoreSeconds += float64(r.class.size.CPUMilli) * float64(r.class.runMs) * r.runTimeFactor / 1e6
	if r.job.DeadlineMs > 0 && f.now+scenarioStartMs <= r.job.DeadlineMs {
		m.deadlinesMet++
	}
}

// countAwayWork adds work that is done while a zone is lost.
func (m *results) countAwayWork(f *fleet, coreMs float64) {
	if f.trace.zoneLostUntilMs > 0 && f.now >= f.trace.zoneLostFromMs && f.now < f.trace.zoneLostUntilMs {
		m.awayWorkCoreMs += coreMs
	}
}

// recordUnstarted records the waiting time of tasks that are still queued and never started. As for started tasks, it counts
// only for urgent tasks and tasks of idle customers.
func (m *results) recordUnstarted(f *fleet) {
	for _, rs := range f.jobs {
		for _, r := range rs {
			if !r.everRan && r.state == "queued" {
				m.recordStart(f, r)
			}
		}
	}
}

// Figure is the result of one measure in one scenario. Baseline, First and Value are those of the least-loaded policy, the
// first version of the scheduler and the present scheduler. Better is above 1 if Value is better than Baseline.
type Figure struct {
	Scenario string  `json:"scenario"`
	Measure  string  `json:"measure"`
	Unit     string  `json:"unit"`
	Baseline float64 `json:"baseline"`
	First    float64 `json:"first"`
	Value    float64 `json:"value"`
	Better   float64 `json:"better"`
}

type measure struct {
	name, unit     string
	higherIsBetter bool
	// onlyScenario restricts the measure to one scenario and "all"; if empty it is taken in every scenario.
	onlyScenario string
	value        func(m *results) float64
}

var measures = []measure{
	{"service_p99", "ms", false, "", func(m *results) float64 { return float64(m.latencies.ValueAtQuantile(99)) / 1000 }},
	{"service_p99.9", "ms", false, "", func(m *results) float64 { return float64(m.latencies.ValueAtQuantile(99.9)) / 1000 }},
	{"batch_finished", "tasks", true, "", func(m *results) float64 { return float64(m.finishedTasks) }},
	{"batch_work", "core_s", true, "", func(m *results) float64 { return m.doneWorkCoreSeconds }},
	{"deadlines_met", "tasks", true, "", func(m *results) float64 { return float64(m.deadlinesMet) }},
	{"evictions", "tasks", false, "", func(m *results) float64 { return float64(m.evictions) }},
	{"urgent_start_max", "ms", false, "", func(m *results) float64 { return float64(m.urgentMaxMs) }},
	{"zone_away_work", "core_s", true, "zone_out", func(m *results) float64 { return m.awayWorkCoreMs / 1000 }},
	{"idle_customer_start_p99", "ms", false, "busy_customer", func(m *results) float64 { return float64(m.idleStarts.ValueAtQuantile(99)) }},
	{"rule_violations", "decisions", false, "", func(m *results) float64 { return float64(m.violations) }},
}

// better returns the ratio of value and base such that above 1 is better. Both are raised to at least 1, so that zeros do not
// divide by zero and two zeros give 1.
func (me *measure) better(base, value float64) float64 {
	base, value = max(base, 1), max(value, 1)
	if me.higherIsBetter {
		return value / base
	}
	return base / value
}

// Run simulates one scenario with each of the three policies and returns its figures.
func Run(scenario string, seed uint64) []Figure {
	tr := newTrace(scenario, seed)
	var ms [3]*results
	for i, p := range []Policy{baseline.NewLeastLoaded(), first.New(), scheduler.New(scheduler.DefaultConfig())} {
		f := newFleet(tr, p, seed)
		f.simulate()
		ms[i] = f.results
	}
	var out []Figure
	for _, me := range measures {
		if me.onlyScenario != "" && me.onlyScenario != scenario && scenario != "all" {
			continue
		}
		b, fv, v := me.value(ms[0]), me.value(ms[1]), me.value(ms[2])
		out = append(out, Figure{scenario, me.name, me.unit, b, fv, v, me.better(b, v)})
	}
	return out
}
