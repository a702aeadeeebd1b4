// Package bench measures a scheduling policy on a small fake fleet. The fleet is far simpler than a cluster simulator: it
// has one formula for interference, one for overload and one for queueing. The policy receives delayed usage reports only.
package bench

import (
	"fmt"
	"math/rand/v2"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/verbenakeel/verbenakeel/record"
)

// horizonMs is the simulated length of each scenario.
const horizonMs = 900_000

// class describes the actual behaviour of its tasks. The policy receives only the values that the jobs declare.
type class struct {
	customer, name string
	kind           record.JobKind
	// size is the actual usage and runMs the run time without interference.
	size  record.Resources
	runMs int64
	// weight is the relative frequency of the class among batch jobs.
	weight int
	// slowdownMilli is the slowdown, in thousandths, that one task causes for each service class, in the order of services.
	slowdownMilli [2]int64
	// noisy tasks cause four times the slowdown and use twice the CPU for 10 of every 30 seconds.
	noisy      bool
	checkpoint bool
}

// services are the latency-critical classes.
var services = []class{
	{customer: "hartwell", name: "fitcheck", kind: record.ServiceJob, size: resources(1200, 4000, 0)},
	{customer: "nilewater", name: "puddle-line", kind: record.ServiceJob, size: resources(1200, 4000, 0)},
}

// batchClasses are the classes of the base load of batch jobs.
var batchClasses = []class{
	{customer: "hartwell", name: "findings", size: resources(1000, 2000, 0), runMs: 30_000, weight: 50, slowdownMilli: [2]int64{15, 15}, checkpoint: true},
	{customer: "nilewater", name: "routes", size: resources(2000, 6000, 0), runMs: 60_000, weight: 30, slowdownMilli: [2]int64{350, 40}, checkpoint: true},
	{customer: "hartwell", name: "models", size: resources(2000, 4000, 0), runMs: 90_000, weight: 15, slowdownMilli: [2]int64{40, 300}},
	{customer: "nilewater", name: "train", size: resources(4000, 8000, 1), runMs: 120_000, weight: 5, slowdownMilli: [2]int64{30, 30}, checkpoint: true},
}

// scanClass is the noisy class of the jobs that addBursts adds.
var scanClass = class{customer: "nilewater", name: "scan", size: resources(1000, 1500, 0), runMs: 45_000, slowdownMilli: [2]int64{250, 250}, noisy: true, checkpoint: true}

func resources(cpu, memory, accelerators int64) record.Resources {
	return record.Resources{CPUMilli: cpu, MemoryMB: memory, Accelerators: accelerators}
}

// traceStep is one event of a trace.
type traceStep struct {
	atMs   int64
	job    *record.Job
	class  *class
	cancel string
	// zoneAction says what happens to zone: "out" is its announced removal, "gone" the loss of its workers, "back" its return.
	zone, zoneAction string
}

// trace holds the events of one scenario. They are the same for every policy.
type trace struct {
	name      string
	steps     []traceStep
	contracts []record.Contract
	// loadIncreaseMs is the time at which the services' load grows by 40%; 0 for never.
	loadIncreaseMs int64
	// failingWorkers holds the indices of workers on which a run older than 500 ms fails with 95% probability per tick.
	failingWorkers map[int]bool
	// zoneLostFromMs and zoneLostUntilMs bound the time without one zone; both are 0 if none is lost.
	zoneLostFromMs, zoneLostUntilMs int64
}

// Scenarios lists the scenarios in the order of execution.
var Scenarios = []string{"steady", "load_shift_bursts", "workers_failing", "sizes_wrong", "zone_out", "cancel_wave", "busy_customer", "all"}

const (
	workers = 24
	// replicas is the number of replicas of each service.
	replicas = 10
)

type traceBuilder struct {
	*trace
	rng        *rand.Rand
	jobCount   int
	wrongSizes bool
}

func newTrace(name string, seed uint64) *trace {
	b := &traceBuilder{trace: &trace{name: name, failingWorkers: map[int]bool{}}, rng: rand.New(rand.NewPCG(seed, xxhash.Sum64String(name)))}
	all := name == "all"
	b.wrongSizes = all || name == "sizes_wrong"
	b.addBaseLoad()
	if all || name == "load_shift_bursts" {
		b.loadIncreaseMs = 300_000
		b.addBursts()
	}
	if all || name == "workers_failing" {
		for _, i := range b.rng.Perm(workers)[:(workers+9)/10] {
			b.failingWorkers[i] = true
		}
	}
	if all || name == "zone_out" {
		b.zoneLostFromMs, b.zoneLostUntilMs = 360_000, 660_000
		b.steps = append(b.steps, traceStep{atMs: 330_000, zone: "c", zoneAction: "out"},
			traceStep{atMs: b.zoneLostFromMs, zone: "c", zoneAction: "gone"}, traceStep{atMs: b.zoneLostUntilMs, zone: "c", zoneAction: "back"})
	}
	if all || name == "cancel_wave" {
		b.addCancelWave()
	}
	if all || name == "busy_customer" {
		b.addBusyCustomer()
	}
	sort.SliceStable(b.steps, func(i, j int) bool { return b.steps[i].atMs < b.steps[j].atMs })
	return b.trace
}

// submit adds a job and returns its ID. With wrongSizes, a batch job declares a quarter or four times its actual values.
func (b *traceBuilder) submit(atMs int64, c *class, customer string, tasks int, urgent bool, deadlineMs int64) string {
	b.jobCount++
	j := record.Job{ID: fmt.Sprintf("%s/%s-%d", customer, c.name, b.jobCount), Customer: customer, Kind: record.BatchJob, Class: c.name,
		Tasks: tasks, Size: c.size, RunMs: c.runMs, Urgent: urgent, Checkpoint: c.checkpoint, SubmittedMs: atMs}
	if c.kind != "" {
		j.Kind = c.kind
		j.Size.CPUMilli = 2000
	}
	if deadlineMs > 0 {
		j.DeadlineMs = atMs + deadlineMs
	}
	if b.wrongSizes && c.kind == "" {
		// Depending on a hash of its name, a class declares a quarter of its actual values or four times as much.
		if xxhash.Sum64String(c.name)%2 == 0 {
			j.Size.CPUMilli, j.Size.MemoryMB, j.RunMs = j.Size.CPUMilli/4, j.Size.MemoryMB/4, j.RunMs/4
		} else {
			j.Size.CPUMilli, j.Size.MemoryMB, j.RunMs = min(j.Size.CPUMilli*4, 16_000), j.Size.MemoryMB*4, j.RunMs*4
		}
	}
	b.steps = append(b.steps, traceStep{atMs: atMs, job: &j, class: c})
	return j.ID
}

// addBaseLoad adds the work that all scenarios share: two services of 10 replicas (the size that the design page names),
// batch jobs at about four fifths of the remaining capacity, and an urgent job every 10 s.
func (b *traceBuilder) addBaseLoad() {
	for _, c := range []string{"hartwell", "nilewater"} {
		b.contracts = append(b.contracts, record.Contract{Customer: c, Priority: record.Standard, MaxTasks: 4000, MaxQueued: 20_000,
			Guaranteed: resources(100_000, 400_000, 4), Burst: resources(1<<30, 1<<30, 1<<10)})
	}
	for i := range services {
		b.submit(0, &services[i], services[i].customer, replicas, false, 0)
	}
	var mean float64
	total := 0
	for _, c := range batchClasses {
		mean += float64(c.weight) * float64(c.size.CPUMilli) * float64(c.runMs) / 1000
		total += c.weight
	}
	mean /= float64(total)
	// offered is the CPU demand of batch work in thousandths of a core.
	offered := 0.8 * float64(workers*16_000-2*replicas*2000)
	for at := 5000.0; at < horizonMs-30_000; {
		c := b.pickBatchClass(total)
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
		b.submit(at+int64(b.rng.IntN(5000)), &batchClasses[0], "hartwell", 1, true, 60_000)
	}
}

func (b *traceBuilder) pickBatchClass(total int) *class {
	n := b.rng.IntN(total)
	for i := range batchClasses {
		if n -= batchClasses[i].weight; n < 0 {
			return &batchClasses[i]
		}
	}
	return &batchClasses[0]
}

func (b *traceBuilder) addBursts() {
	for at := int64(60_000); at < horizonMs-60_000; at += 60_000 + int64(b.rng.IntN(60_000)) {
		for range 6 {
			b.submit(at+int64(b.rng.IntN(3000)), &scanClass, scanClass.customer, 6, false, 0)
		}
	}
}

func (b *traceBuilder) addCancelWave() {
	var ids []string
	b.contracts = append(b.contracts, record.Contract{Customer: "bulk", MaxTasks: 100, MaxQueued: 20_000, Burst: resources(100_000, 400_000, 0)})
	for range 5000 {
		ids = append(ids, b.submit(200_000+int64(b.rng.IntN(50_000)), &batchClasses[0], "bulk", 1, false, 0))
	}
	for _, id := range ids {
		b.steps = append(b.steps, traceStep{atMs: 300_000 + int64(b.rng.IntN(500)), cancel: id})
	}
}

// addBusyCustomer adds 201 customers with small guarantees. One of them, c000, submits far more work than fits; the other
// 200 are idle except for a few small jobs.
func (b *traceBuilder) addBusyCustomer() {
	for i := range 201 {
		b.contracts = append(b.contracts, record.Contract{Customer: fmt.Sprintf("c%03d", i), MaxTasks: 1000, MaxQueued: 20_000,
			Guaranteed: resources(1000, 4000, 0), Burst: resources(1<<30, 1<<30, 0)})
	}
	for at := int64(60_000); at < 600_000; at += 10_000 {
		for range 10 {
			b.submit(at, &batchClasses[0], "c000", 10, false, 0)
		}
	}
	for at := int64(100_000); at < 800_000; at += 7_000 {
		b.submit(at, &batchClasses[0], fmt.Sprintf("c%03d", 1+b.rng.IntN(200)), 1, false, 0)
	}
}
