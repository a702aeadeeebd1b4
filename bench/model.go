package bench

import (
	"math"

	"github.com/verbenakeel/verbenakeel/record"
	"github.com/verbenakeel/verbenakeel/scheduler"
)

// baseLatencyUs is the median latency of a service at 50% utilization and without interference.
const baseLatencyUs = 5000

// advanceTick simulates one tick of every task.
func (f *fleet) advanceTick() {
	// Load varies by 20% around its mean as a sine with a period of 565 s.
	load := f.meanLoad * (1 + 0.2*math.Sin(float64(f.now)/90_000))
	if f.trace.loadIncreaseMs > 0 && f.now >= f.trace.loadIncreaseMs {
		load *= 1.4
	}
	f.currentLoad = load
	f.replicaCount = [2]int{}
	for _, h := range f.workers {
		for _, r := range h.tasks {
			if i := serviceIndex(r); i >= 0 {
				f.replicaCount[i]++
			}
		}
	}
	for _, n := range f.replicaCount {
		// Requests to a service without replicas time out after 1 s. The first 5 s are left for its first start.
		if n == 0 && f.now > 5000 {
			f.results.recordLatency(1_000_000, replicas)
		}
	}
	for _, h := range f.workers {
		if !h.lost {
			f.advanceWorker(h, load)
		}
	}
}

func serviceIndex(r *fakeTask) int {
	if r.job.Kind != record.ServiceJob {
		return -1
	}
	for i := range services {
		if r.class == &services[i] {
			return i
		}
	}
	return -1
}

// noiseFactor returns the factor on the interference of a task: 4 in the noisy phase of a noisy class, 1 otherwise.
func (f *fleet) noiseFactor(r *fakeTask) float64 {
	if r.class.noisy && (f.now-r.startedMs)%30_000 < 10_000 {
		return 4
	}
	return 1
}

func (f *fleet) cpuDemand(r *fakeTask, load float64) float64 {
	if i := serviceIndex(r); i >= 0 {
		return float64(r.class.size.CPUMilli) * f.utilization(i, load)
	}
	d := float64(r.class.size.CPUMilli) * r.cpuShare * min(r.runTimeFactor, 1.5)
	if f.noiseFactor(r) > 1 {
		d *= 2
	}
	return d
}

// utilization returns the utilization of each replica of a service. The replicas share the load evenly.
func (f *fleet) utilization(i int, load float64) float64 {
	return min(0.95, load*replicas/float64(max(f.replicaCount[i], 1)))
}

func (f *fleet) advanceWorker(h *fakeWorker, load float64) {
	var cpu float64
	var memory int64
	for _, r := range h.tasks {
		cpu += f.cpuDemand(r, load)
		memory += r.class.size.MemoryMB
	}
	if memory > h.capacity.MemoryMB {
		f.outOfMemory(h)
	}
	use := cpu / float64(h.capacity.CPUMilli)
	for _, r := range append([]*fakeTask(nil), h.tasks...) {
		switch i := serviceIndex(r); {
		case r.stopAtMs != 0 && f.now >= r.stopAtMs:
			f.stopRun(r)
		case f.trace.failingWorkers[h.index] && f.now-r.startedMs >= 500 && f.rng.IntN(20) > 0:
			f.endRun(r, record.Failed)
		case i >= 0:
			f.sampleLatency(r, i, load, use)
		default:
			f.advanceBatchTask(r, use)
		}
	}
}

// outOfMemory fails the batch task that uses the most memory, as an OOM killer would.
func (f *fleet) outOfMemory(h *fakeWorker) {
	var worst *fakeTask
	for _, r := range h.tasks {
		if r.job.Kind == record.BatchJob && (worst == nil || r.class.size.MemoryMB > worst.class.size.MemoryMB) {
			worst = r
		}
	}
	if worst != nil {
		f.endRun(worst, record.Failed)
	}
}

// stopRun ends an evicted or cancelled run, with a checkpoint if the job supports checkpoints.
func (f *fleet) stopRun(r *fakeTask) {
	if r.job.Checkpoint {
		r.checkpointMs = r.progressMs
		f.endRun(r, record.Checkpointed)
		return
	}
	f.results.lostMs += r.progressMs - r.checkpointMs
	r.progressMs = r.checkpointMs
	f.endRun(r, record.Stopped)
}

// sampleLatency draws the latency of a request to a replica. The slowdowns of the batch tasks on the worker add up, CPU
// demand above 85% of the worker adds more, and the replica's own utilization lengthens the latency as in a queue.
func (f *fleet) sampleLatency(r *fakeTask, i int, load, use float64) {
	slow := 1.0
	for _, o := range r.worker.tasks {
		if o.job.Kind == record.BatchJob {
			slow += float64(o.class.slowdownMilli[i]) / 1000 * f.noiseFactor(o) * o.cpuShare
		}
	}
	if use > 0.85 {
		slow += 6 * (use - 0.85)
	}
	us := baseLatencyUs * slow * 0.5 / (1 - f.utilization(i, load))
	// The 99th percentile of a lognormal with sigma 0.25 is at exp(0.25*2.33).
	r.latencyUs = us * math.Exp(0.25*2.33) * math.Exp(0.05*f.rng.NormFloat64())
	f.results.recordLatency(int64(us*math.Exp(0.25*f.rng.NormFloat64())), 1)
}

// advanceBatchTask adds the progress of one tick to a batch task and finishes it at the end of its run time.
func (f *fleet) advanceBatchTask(r *fakeTask, use float64) {
	r.speed = r.cpuShare
	if use > 1 {
		r.speed /= use
	}
	step := tickMs * r.speed
	r.progressMs += step
	f.results.countAwayWork(f, step*float64(r.class.size.CPUMilli)/1000)
	if r.progressMs >= float64(r.class.runMs)*r.runTimeFactor {
		f.endRun(r, record.Finished)
	}
}

// reportUsage sends the usage of each worker with a lag of 1 s to 5 s. One report in twenty is lost.
func (f *fleet) reportUsage() {
	for _, h := range f.workers {
		if h.lost {
			continue
		}
		rep := scheduler.UsageReported{Worker: h.id, MeasuredMs: f.now + scenarioStartMs}
		for _, r := range h.tasks {
			s := scheduler.Sample{Task: r.id, Attempt: r.attempt, Used: r.class.size}
			s.Used.CPUMilli = int64(f.cpuDemand(r, f.currentLoad))
			if r.job.Kind == record.ServiceJob {
				s.LatencyP99Us, s.SpeedMilli = int64(r.latencyUs), 1000
			} else {
				s.SpeedMilli = int64(r.speed * 1000)
			}
			rep.Samples = append(rep.Samples, s)
		}
		if f.rng.IntN(20) > 0 {
			f.deliverLater(1000+int64(f.rng.IntN(4000)), rep)
		}
	}
}
