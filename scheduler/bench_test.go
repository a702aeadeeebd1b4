package scheduler

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/verbenakeel/verbenakeel/record"
)

// benchState is a state at a multiple of the target size, with the data needed to keep it busy.
type benchState struct {
	s       *State
	now     int64
	running []record.Start
	next    int
	class   map[string]record.Job
}

// newBenchState returns a state with 710 workers, 12,000 running tasks and 8,600 queued jobs, times scale.
func newBenchState(scale int) *benchState {
	l := &benchState{s: New(DefaultConfig()), now: 1, class: map[string]record.Job{}}
	workers := 710 * scale
	for i := range workers {
		c := record.Resources{CPUMilli: 16_000, MemoryMB: 60_000}
		if i%4 == 0 {
			c.Accelerators = 5
		}
		l.s.Apply(l.now, WorkerUp{ID: fmt.Sprintf("w%05d", i), Zone: fmt.Sprintf("z%d", i%9), Rack: fmt.Sprintf("r%d", i/3), Capacity: c})
	}
	huge := record.Resources{CPUMilli: 1 << 38, MemoryMB: 1 << 38, Accelerators: 1 << 20}
	customers := 190 * scale
	for i := range customers {
		l.s.Apply(l.now, ContractChanged{record.Contract{Customer: fmt.Sprintf("c%04d", i), MaxTasks: 1 << 20, MaxQueued: 1 << 20,
			Guaranteed: record.Resources{CPUMilli: 30_000, MemoryMB: 100_000}, Burst: huge}})
	}
	w := 0
	for i := range 12_000 * scale {
		j := record.Job{ID: fmt.Sprintf("c%04d/run%d", i%customers, i), Customer: fmt.Sprintf("c%04d", i%customers), Class: fmt.Sprint(i % 5),
			Kind: record.BatchJob, Tasks: 1, Size: record.Resources{CPUMilli: 900, MemoryMB: 3000}, RunMs: 60_000, SubmittedMs: 1}
		if i%3 == 0 {
			j.Kind, j.RunMs = record.ServiceJob, 0
		}
		st := record.Start{Task: j.ID + "#0", Attempt: 1, Worker: fmt.Sprintf("w%05d", w%workers), Size: j.Size}
		w++
		l.s.Apply(l.now, TaskQueued{Job: j, Task: st.Task, NextAttempt: 1})
		l.s.Apply(l.now, TaskStarted{st})
		if j.Kind == record.BatchJob {
			l.running = append(l.running, st)
		}
	}
	for i := range 8_600 * scale {
		l.queue(i, customers)
	}
	l.now += 60_000
	for _, wk := range l.s.workerOrder {
		l.report(wk)
	}
	for l.s.Decide(l.now); len(l.s.admissions) > 0; l.s.Decide(l.now) {
	}
	return l
}

func (l *benchState) queue(i, customers int) {
	j := record.Job{ID: fmt.Sprintf("c%04d/wait%d", i%customers, i), Customer: fmt.Sprintf("c%04d", i%customers), Class: fmt.Sprint(i % 5),
		Kind: record.BatchJob, Tasks: 1 + i%7, Size: record.Resources{CPUMilli: 500 + int64(i%9)*500, MemoryMB: 2000}, RunMs: 60_000,
		SubmittedMs: l.now, Urgent: i%50 == 0}
	if i%2 == 0 {
		j.DeadlineMs = l.now + int64(i%1000)*1000 + 300_000
	}
	for t := range j.Tasks {
		l.s.Apply(l.now, TaskQueued{Job: j, Task: fmt.Sprintf("%s#%d", j.ID, t), NextAttempt: 1})
	}
}

func (l *benchState) report(w *worker) {
	rep := UsageReported{Worker: w.id, MeasuredMs: l.now - 2000}
	for _, t := range w.tasks {
		sm := Sample{Task: t.id, Attempt: t.attempt, Used: t.size, SpeedMilli: 1000}
		if t.job.rec.Kind == record.ServiceJob {
			sm.LatencyP99Us = 9000
		}
		rep.Samples = append(rep.Samples, sm)
	}
	l.s.Apply(l.now, rep)
}

// step ends 12 tasks, as 240 starts a second in calls 50 ms apart require, applies reports of a fortieth of the workers
// and returns the wall time and the processor time of Decide. Decisions are applied.
func (l *benchState) step() (wall, cpu time.Duration) {
	l.now += 50
	n := len(l.running)
	for range 12 * n / 8000 {
		st := l.running[l.next%len(l.running)]
		l.running[l.next%len(l.running)] = l.running[len(l.running)-1]
		l.running = l.running[:len(l.running)-1]
		l.next += 7
		l.s.Apply(l.now, TaskEnded{record.End{Task: st.Task, Attempt: st.Attempt, Outcome: record.Finished, RanMs: 50_000}})
	}
	for i := range l.s.workerOrder {
		if i%40 == int(l.now/50)%40 {
			l.report(l.s.workerOrder[i])
		}
	}
	start, cpu := time.Now(), threadCPU()
	ds := l.s.Decide(l.now)
	cpu = threadCPU() - cpu
	took := time.Since(start)
	for _, d := range ds {
		if st, ok := d.(StartTask); ok {
			l.s.Apply(l.now, TaskStarted{st.Start})
			l.running = append(l.running, st.Start)
		}
	}
	return took, cpu
}

// threadCPU returns the processor time of the calling thread. On a shared machine the wall time includes the time of
// other processes.
func threadCPU() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}

// BenchmarkDecide measures one call of Decide at 1, 2 and 4 times the target size, with about 12 starts in each.
func BenchmarkDecide(b *testing.B) {
	for _, scale := range []int{1, 2, 4} {
		b.Run(fmt.Sprintf("x%d", scale), func(b *testing.B) {
			// Each benchmark has a goroutine of its own, which must stay on the thread whose processor time is read.
			runtime.LockOSThread()
			defer runtime.UnlockOSThread()
			l := newBenchState(scale)
			runtime.GC()
			var walls, cpus []time.Duration
			for b.Loop() {
				wall, cpu := l.step()
				walls, cpus = append(walls, wall), append(cpus, cpu)
			}
			report := func(name string, ds []time.Duration) {
				slices.Sort(ds)
				b.ReportMetric(float64(ds[len(ds)/2].Microseconds()), name+"-p50-µs")
				b.ReportMetric(float64(ds[len(ds)*99/100].Microseconds()), name+"-p99-µs")
			}
			report("wall", walls)
			report("cpu", cpus)
		})
	}
}

// BenchmarkCancelWave measures cancelling 5,000, 10,000 and 20,000 queued jobs at once and the next call of Decide.
func BenchmarkCancelWave(b *testing.B) {
	for _, n := range []int{5000, 10_000, 20_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				s := fleetState(2, "a")
				for i := range n {
					queue(s, 60_000, batchJob("a", fmt.Sprint(i), 1))
				}
				for now := int64(60_000); len(s.admissions) > 0; now += 100 {
					s.Decide(now)
				}
				b.StartTimer()
				for i := range n {
					s.Apply(70_000, JobCancelled{fmt.Sprintf("a/%d", i)})
				}
				s.Decide(70_000)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/job")
		})
	}
}
