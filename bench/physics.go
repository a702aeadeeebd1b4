package bench

import (
	"math"

	"github.com/verbenakeel/verbenakeel/record"
	"github.com/verbenakeel/verbenakeel/scheduler"
)

// baseLatencyUs is the median latency of an undisturbed, unloaded service.
const baseLatencyUs = 5000

// advance moves every task on by one tick.
func (f *fleet) advance() {
	// Load swings slowly by a fifth around its mean.
	load := f.load * (1 + 0.2*math.Sin(float64(f.now)/90_000))
	if f.tr.loadFrom > 0 && f.now >= f.tr.loadFrom {
		load *= 1.4
	}
	f.loadNow = load
	f.replica = [2]int{}
	for _, h := range f.hosts {
		for _, r := range h.tasks {
			if i := serviceIndex(r); i >= 0 {
				f.replica[i]++
			}
		}
	}
	for _, n := range f.replica {
		// Requests of a service without replicas time out after a second.
		if n == 0 && f.now > 5000 {
			f.m.latency(1_000_000, replicas)
		}
	}
	for _, h := range f.hosts {
		if !h.gone {
			f.advanceHost(h, load)
		}
	}
}

func serviceIndex(r *run) int {
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

// noise is the factor on harm of a task that is in a noisy phase.
func (f *fleet) noise(r *run) float64 {
	if r.class.burst && (f.now-r.started)%30_000 < 10_000 {
		return 4
	}
	return 1
}

func (f *fleet) demand(r *run, load float64) float64 {
	if i := serviceIndex(r); i >= 0 {
		return float64(r.class.size.CPUMilli) * f.rho(i, load)
	}
	d := float64(r.class.size.CPUMilli) * r.share * min(r.factor, 1.5)
	if f.noise(r) > 1 {
		d *= 2
	}
	return d
}

// rho is the use of each replica of a service: the replicas share the load evenly.
func (f *fleet) rho(i int, load float64) float64 {
	return min(0.95, load*replicas/float64(max(f.replica[i], 1)))
}

func (f *fleet) advanceHost(h *host, load float64) {
	var cpu float64
	var memory int64
	for _, r := range h.tasks {
		cpu += f.demand(r, load)
		memory += r.class.size.MemoryMB
	}
	if memory > h.capacity.MemoryMB {
		f.outOfMemory(h)
	}
	use := cpu / float64(h.capacity.CPUMilli)
	for _, r := range append([]*run(nil), h.tasks...) {
		switch i := serviceIndex(r); {
		case r.stopAt != 0 && f.now >= r.stopAt:
			f.stop(r)
		case f.tr.failing[h.index] && f.now-r.started >= 500 && f.rng.IntN(20) > 0:
			f.end(r, record.Failed)
		case i >= 0:
			f.serve(r, i, load, use)
		default:
			f.work(r, use)
		}
	}
}

// outOfMemory fails the batch task that uses most memory.
func (f *fleet) outOfMemory(h *host) {
	var worst *run
	for _, r := range h.tasks {
		if r.job.Kind == record.BatchJob && (worst == nil || r.class.size.MemoryMB > worst.class.size.MemoryMB) {
			worst = r
		}
	}
	if worst != nil {
		f.end(worst, record.Failed)
	}
}

// stop ends an attempt that was told to leave.
func (f *fleet) stop(r *run) {
	if r.job.Checkpoint {
		r.checkpoint = r.progress
		f.end(r, record.Checkpointed)
		return
	}
	f.m.lost += r.progress - r.checkpoint
	r.progress = r.checkpoint
	f.end(r, record.Stopped)
}

// serve draws the latency of a request to a replica: harm adds up over the batch tasks beside it, processors in
// demand beyond 85% add more, and the replica's own load stretches it as in a queue.
func (f *fleet) serve(r *run, i int, load, use float64) {
	slow := 1.0
	for _, o := range r.host.tasks {
		if o.job.Kind == record.BatchJob {
			slow += float64(o.class.harm[i]) / 1000 * f.noise(o) * o.share
		}
	}
	if use > 0.85 {
		slow += 6 * (use - 0.85)
	}
	us := baseLatencyUs * slow * 0.5 / (1 - f.rho(i, load))
	// The 99th percentile of a lognormal with sigma 0.25 is at exp(0.25*2.33).
	r.latencyUs = us * math.Exp(0.25*2.33) * math.Exp(0.05*f.rng.NormFloat64())
	f.m.latency(int64(us*math.Exp(0.25*f.rng.NormFloat64())), 1)
}

// work moves a batch task on.
func (f *fleet) work(r *run, use float64) {
	r.speed = r.share
	if use > 1 {
		r.speed /= use
	}
	step := tickMs * r.speed
	r.progress += step
	f.m.worked(f, step*float64(r.class.size.CPUMilli)/1000)
	if r.progress >= float64(r.class.runMs)*r.factor {
		f.end(r, record.Finished)
	}
}

// report sends the use of each worker with a lag of 1 s to 5 s; one report in twenty is lost.
func (f *fleet) report() {
	for _, h := range f.hosts {
		if h.gone {
			continue
		}
		rep := scheduler.UsageReported{Worker: h.id, MeasuredMs: f.now + settledMs}
		for _, r := range h.tasks {
			s := scheduler.Sample{Task: r.id, Attempt: r.attempt, Used: r.class.size}
			s.Used.CPUMilli = int64(f.demand(r, f.loadNow))
			if r.job.Kind == record.ServiceJob {
				s.LatencyP99Us, s.SpeedMilli = int64(r.latencyUs), 1000
			} else {
				s.SpeedMilli = int64(r.speed * 1000)
			}
			rep.Samples = append(rep.Samples, s)
		}
		if f.rng.IntN(20) > 0 {
			f.later(1000+int64(f.rng.IntN(4000)), rep)
		}
	}
}
