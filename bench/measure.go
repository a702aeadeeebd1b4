package bench

import (
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/verbenakeel/verbenakeel/record"
	"github.com/verbenakeel/verbenakeel/scheduler"
	"github.com/verbenakeel/verbenakeel/scheduler/baseline"
	"github.com/verbenakeel/verbenakeel/scheduler/baseline/first"
)

// measured collects what one run did.
type measured struct {
	latencies, idleStarts *hdrhistogram.Histogram
	urgentMaxMs           int64
	done, inTime          int64
	evictions, refused    int64
	// lost is progress in milliseconds that has to be repeated; lostAway is the part lost while a zone was away.
	lost     float64
	awayWork float64
	// doneWork is the work of finished tasks in core seconds.
	doneWork   float64
	violations int64
}

func newMeasured() *measured {
	return &measured{latencies: hdrhistogram.New(1, 60_000_000, 3), idleStarts: hdrhistogram.New(1, 10_000_000, 3)}
}

func (m *measured) latency(us, count int64) {
	_ = m.latencies.RecordValues(min(max(us, 1), 60_000_000), count)
}

func (m *measured) evicted(r *run) {
	if r.job.Kind == record.BatchJob {
		m.evictions++
	}
}

func (m *measured) started(f *fleet, r *run) {
	wait := f.now - r.submitted
	if r.job.Urgent {
		m.urgentMaxMs = max(m.urgentMaxMs, wait)
	}
	if idleCustomer(r.job.Customer) {
		_ = m.idleStarts.RecordValue(max(wait, 1))
	}
}

// idleCustomer reports whether the customer is one of the 200 that are idle most of the time.
func idleCustomer(name string) bool { return strings.HasPrefix(name, "c") && name != "c000" }

func (m *measured) finished(f *fleet, r *run) {
	if r.job.Kind != record.BatchJob {
		return
	}
	m.done++
	m.doneWork += float64(r.class.size.CPUMilli) * float64(r.class.runMs) * r.factor / 1e6
	if r.job.DeadlineMs > 0 && f.now+settledMs <= r.job.DeadlineMs {
		m.inTime++
	}
}

// worked counts work, in core milliseconds, that is done while a zone is away.
func (m *measured) worked(f *fleet, coreMs float64) {
	if f.tr.awayTo > 0 && f.now >= f.tr.awayFrom && f.now < f.tr.awayTo {
		m.awayWork += coreMs
	}
}

// finish counts urgent and idle customers' tasks that never started with the time they waited.
func (m *measured) finish(f *fleet) {
	for _, rs := range f.jobs {
		for _, r := range rs {
			if !r.everRan && r.state == "queued" {
				m.started(f, r)
			}
		}
	}
}

// Figure is one measure of one scenario. Better is above 1 when the present policy is better than the baseline.
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
	name, unit string
	moreIsGood bool
	// only names the scenario, besides "all", that has the measure; empty for each.
	only string
	of   func(m *measured) float64
}

var measures = []measure{
	{"service_p99", "ms", false, "", func(m *measured) float64 { return float64(m.latencies.ValueAtQuantile(99)) / 1000 }},
	{"service_p99.9", "ms", false, "", func(m *measured) float64 { return float64(m.latencies.ValueAtQuantile(99.9)) / 1000 }},
	{"batch_finished", "tasks", true, "", func(m *measured) float64 { return float64(m.done) }},
	{"batch_work", "core_s", true, "", func(m *measured) float64 { return m.doneWork }},
	{"deadlines_met", "tasks", true, "", func(m *measured) float64 { return float64(m.inTime) }},
	{"evictions", "tasks", false, "", func(m *measured) float64 { return float64(m.evictions) }},
	{"urgent_start_max", "ms", false, "", func(m *measured) float64 { return float64(m.urgentMaxMs) }},
	{"zone_away_work", "core_s", true, "zone_out", func(m *measured) float64 { return m.awayWork / 1000 }},
	{"idle_customer_start_p99", "ms", false, "busy_customer", func(m *measured) float64 { return float64(m.idleStarts.ValueAtQuantile(99)) }},
	{"rule_violations", "decisions", false, "", func(m *measured) float64 { return float64(m.violations) }},
}

// better is baseline over value or its inverse, so that above 1 is better. Zero counts as one: both zero give 1.
func (me *measure) better(base, value float64) float64 {
	base, value = max(base, 1), max(value, 1)
	if me.moreIsGood {
		return value / base
	}
	return base / value
}

// Run runs one scenario with the three policies and returns its figures.
func Run(scenario string, seed uint64) []Figure {
	tr := newTrace(scenario, seed)
	var ms [3]*measured
	for i, p := range []Policy{baseline.NewLeastLoaded(), first.New(), scheduler.New(scheduler.DefaultConfig())} {
		f := newFleet(tr, p, seed)
		f.simulate()
		ms[i] = f.m
	}
	var out []Figure
	for _, me := range measures {
		if me.only != "" && me.only != scenario && scenario != "all" {
			continue
		}
		b, fv, v := me.of(ms[0]), me.of(ms[1]), me.of(ms[2])
		out = append(out, Figure{scenario, me.name, me.unit, b, fv, v, me.better(b, v)})
	}
	return out
}
