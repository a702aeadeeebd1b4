// Package bench runs a scheduling policy over a small fake fleet and measures it. The fake is no cluster simulator: it
// has one formula for interference, one for overload and one for queueing, and the policy sees only lagging reports.
package bench

import (
	"fmt"
	"math/rand/v2"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/verbenakeel/verbenakeel/record"
)

// horizonMs is how long each scenario runs.
const horizonMs = 900_000

// class describes what tasks of a class really do; the policy is told only declared values.
type class struct {
	customer, name string
	kind           record.JobKind
	// size is the true use; runMs the undisturbed run time.
	size  record.Resources
	runMs int64
	// weight is the share of this class among batch jobs.
	weight int
	// harm is the slowdown in thousandths that one task adds to each service class, in the order of services.
	harm [2]int64
	// burst makes a task noisy for 10 of every 30 seconds with four times the harm and twice the processors.
	burst      bool
	checkpoint bool
}

// services are the latency-critical classes.
var services = []class{
	{customer: "hartwell", name: "fitcheck", kind: record.ServiceJob, size: res(1200, 4000, 0)},
	{customer: "nilewater", name: "puddle-line", kind: record.ServiceJob, size: res(1200, 4000, 0)},
}

// batches are the batch classes.
var batches = []class{
	{customer: "hartwell", name: "findings", size: res(1000, 2000, 0), runMs: 30_000, weight: 50, harm: [2]int64{15, 15}, checkpoint: true},
	{customer: "nilewater", name: "routes", size: res(2000, 6000, 0), runMs: 60_000, weight: 30, harm: [2]int64{350, 40}, checkpoint: true},
	{customer: "hartwell", name: "models", size: res(2000, 4000, 0), runMs: 90_000, weight: 15, harm: [2]int64{40, 300}},
	{customer: "nilewater", name: "train", size: res(4000, 8000, 1), runMs: 120_000, weight: 5, harm: [2]int64{30, 30}, checkpoint: true},
}

// scan is the noisy class of the bursts.
var scan = class{customer: "nilewater", name: "scan", size: res(1000, 1500, 0), runMs: 45_000, harm: [2]int64{250, 250}, burst: true, checkpoint: true}

func res(cpu, memory, accelerators int64) record.Resources {
	return record.Resources{CPUMilli: cpu, MemoryMB: memory, Accelerators: accelerators}
}

// happening is one step of a trace.
type happening struct {
	atMs   int64
	job    *record.Job
	class  *class
	cancel string
	// zone leaves (announced), is gone, or returns.
	zone, zoneDo string
}

// trace is what happens in one scenario, the same for every policy.
type trace struct {
	name      string
	steps     []happening
	contracts []record.Contract
	// loadFrom is when the services' load grows by half; 0 for never.
	loadFrom int64
	// failing holds workers that fail nearly everything.
	failing map[int]bool
	// awayFrom and awayTo bound the time in which a zone is away; 0 for none.
	awayFrom, awayTo int64
}

// Scenarios lists the scenarios in the order in which they run.
var Scenarios = []string{"steady", "load_shift_bursts", "workers_failing", "sizes_wrong", "zone_out", "cancel_wave", "busy_customer", "all"}

const (
	workers = 24
	// replicas is the number of replicas of each service.
	replicas = 10
)

type traceBuilder struct {
	*trace
	rng   *rand.Rand
	n     int
	wrong bool
}

func newTrace(name string, seed uint64) *trace {
	b := &traceBuilder{trace: &trace{name: name, failing: map[int]bool{}}, rng: rand.New(rand.NewPCG(seed, xxhash.Sum64String(name)))}
	all := name == "all"
	b.wrong = all || name == "sizes_wrong"
	b.base()
	if all || name == "load_shift_bursts" {
		b.loadFrom = 300_000
		b.bursts()
	}
	if all || name == "workers_failing" {
		for _, i := range b.rng.Perm(workers)[:(workers+9)/10] {
			b.failing[i] = true
		}
	}
	if all || name == "zone_out" {
		b.awayFrom, b.awayTo = 360_000, 660_000
		b.steps = append(b.steps, happening{atMs: 330_000, zone: "c", zoneDo: "out"},
			happening{atMs: b.awayFrom, zone: "c", zoneDo: "gone"}, happening{atMs: b.awayTo, zone: "c", zoneDo: "back"})
	}
	if all || name == "cancel_wave" {
		b.cancelWave()
	}
	if all || name == "busy_customer" {
		b.busyCustomer()
	}
	sort.SliceStable(b.steps, func(i, j int) bool { return b.steps[i].atMs < b.steps[j].atMs })
	return b.trace
}

// submit adds a job whose declared values are off by a factor of up to 4 both ways if sizes are wrong.
func (b *traceBuilder) submit(atMs int64, c *class, customer string, tasks int, urgent bool, deadlineMs int64) string {
	b.n++
	j := record.Job{ID: fmt.Sprintf("%s/%s-%d", customer, c.name, b.n), Customer: customer, Kind: record.BatchJob, Class: c.name,
		Tasks: tasks, Size: c.size, RunMs: c.runMs, Urgent: urgent, Checkpoint: c.checkpoint, SubmittedMs: atMs}
	if c.kind != "" {
		j.Kind = c.kind
		j.Size.CPUMilli = 2000
	}
	if deadlineMs > 0 {
		j.DeadlineMs = atMs + deadlineMs
	}
	if b.wrong && c.kind == "" {
		// Half of the classes declare a quarter of what they use, the others four times as much.
		if xxhash.Sum64String(c.name)%2 == 0 {
			j.Size.CPUMilli, j.Size.MemoryMB, j.RunMs = j.Size.CPUMilli/4, j.Size.MemoryMB/4, j.RunMs/4
		} else {
			j.Size.CPUMilli, j.Size.MemoryMB, j.RunMs = min(j.Size.CPUMilli*4, 16_000), j.Size.MemoryMB*4, j.RunMs*4
		}
	}
	b.steps = append(b.steps, happening{atMs: atMs, job: &j, class: c})
	return j.ID
}

// base is the work that all scenarios share: two services of 10 replicas (the size that the design page
// names), batch jobs at about four fifths of the
// remaining room, and an urgent job every 10 s.
func (b *traceBuilder) base() {
	for _, c := range []string{"hartwell", "nilewater"} {
		b.contracts = append(b.contracts, record.Contract{Customer: c, Priority: record.Standard, MaxTasks: 4000, MaxQueued: 20_000,
			Guaranteed: res(100_000, 400_000, 4), Burst: res(1<<30, 1<<30, 1<<10)})
	}
	for i := range services {
		b.submit(0, &services[i], services[i].customer, replicas, false, 0)
	}
	var mean float64
	total := 0
	for _, c := range batches {
		mean += float64(c.weight) * float64(c.size.CPUMilli) * float64(c.runMs) / 1000
		total += c.weight
	}
	mean /= float64(total)
	// Processor milliseconds per millisecond that batch work offers.
	offered := 0.8 * float64(workers*16_000-2*replicas*2000)
	for at := 5000.0; at < horizonMs-30_000; {
		c := b.pick(total)
		tasks := 1 + b.rng.IntN(12)
		deadline := int64(0)
		if b.rng.IntN(2) == 0 {
			deadline = c.runMs*3 + int64(b.rng.IntN(300_000))
		}
		b.submit(int64(at), c, c.customer, tasks, false, deadline)
		// A job has 6.5 tasks on average.
		at += b.rng.ExpFloat64() * 6.5 * mean * 1000 / offered
	}
	for at := int64(10_000); at < horizonMs-30_000; at += 10_000 {
		b.submit(at+int64(b.rng.IntN(5000)), &batches[0], "hartwell", 1, true, 60_000)
	}
}

func (b *traceBuilder) pick(total int) *class {
	n := b.rng.IntN(total)
	for i := range batches {
		if n -= batches[i].weight; n < 0 {
			return &batches[i]
		}
	}
	return &batches[0]
}

func (b *traceBuilder) bursts() {
	for at := int64(60_000); at < horizonMs-60_000; at += 60_000 + int64(b.rng.IntN(60_000)) {
		for range 6 {
			b.submit(at+int64(b.rng.IntN(3000)), &scan, scan.customer, 6, false, 0)
		}
	}
}

func (b *traceBuilder) cancelWave() {
	var ids []string
	b.contracts = append(b.contracts, record.Contract{Customer: "bulk", MaxTasks: 100, MaxQueued: 20_000, Burst: res(100_000, 400_000, 0)})
	for range 5000 {
		ids = append(ids, b.submit(200_000+int64(b.rng.IntN(50_000)), &batches[0], "bulk", 1, false, 0))
	}
	for _, id := range ids {
		b.steps = append(b.steps, happening{atMs: 300_000 + int64(b.rng.IntN(500)), cancel: id})
	}
}

// busyCustomer adds 200 customers with small guarantees. One of them offers far more work than there is room for; the
// others are idle but for a few small jobs.
func (b *traceBuilder) busyCustomer() {
	for i := range 201 {
		b.contracts = append(b.contracts, record.Contract{Customer: fmt.Sprintf("c%03d", i), MaxTasks: 1000, MaxQueued: 20_000,
			Guaranteed: res(1000, 4000, 0), Burst: res(1<<30, 1<<30, 0)})
	}
	for at := int64(60_000); at < 600_000; at += 10_000 {
		for range 10 {
			b.submit(at, &batches[0], "c000", 10, false, 0)
		}
	}
	for at := int64(100_000); at < 800_000; at += 7_000 {
		b.submit(at, &batches[0], fmt.Sprintf("c%03d", 1+b.rng.IntN(200)), 1, false, 0)
	}
}
