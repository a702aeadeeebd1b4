package dispatch

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/verbenakeel/verbenakeel/fleet/bounds"
	"github.com/verbenakeel/verbenakeel/fleet/link"
	"github.com/verbenakeel/verbenakeel/fleet/work"
)

// costLoad drives the decider's state machine with the mix of a large site: short wide jobs, wide best-effort jobs, and
// long-running latency-critical jobs that commit most of the CPU, in proportion to the number of workers. It uses the
// exported interface only, and measures the time of each kind of event.
type costLoad struct {
	rng     *rand.Rand
	state   *State
	now     int64
	workers []*costWorker
	index   map[string]*costWorker
	steps   map[string]*work.Step // by job, as every job of this load has steps of one kind
	next    int
	owed    [3]float64
	spent   map[string]time.Duration
	count   map[string]int
	bytes   int
	batch   int
}

type costWorker struct {
	info    link.Worker
	name    string
	runs    map[string]costRun
	ended   []link.Completion
	number  int64
	done    uint64
	fence   uint64
	reports int64
}

type costRun struct {
	run           int
	begun, endsAt int64
	lasts         bool
	load          int64
}

const (
	costStepMs   = 10
	costReportMs = 400
	// costWorkers is the number of workers for which the rates of costKinds stand.
	costWorkers = 240
)

// costKinds are the kinds of jobs: their rate a second, how many run at the start, and their steps.
var costKinds = [3]struct {
	perSecond    float64
	atStart      int
	steps, count int
	step         work.Step
	priority     int
}{
	{16.6, 0, 2, 13, work.Step{CPU: 650, MemMB: 1300, EstMs: 1000}, 0},
	{4.81, 11, 2, 40, work.Step{CPU: 1800, MemMB: 3200, EstMs: 2200, BestEffort: true, Checkpointable: true}, 2},
	{0.261, 45, 1, 24, work.Step{CPU: 3200, MemMB: 6400, EstMs: 400, LongRunning: true, TargetMs: 50}, 0},
}

func newCostLoad(workers int) *costLoad {
	b := bounds.Bounds{MaxLease: 10 * time.Second, MaxOverTarget: 5 * time.Second, MaxStartDelay: 6500 * time.Millisecond,
		StatusRetention: 120 * time.Second, OffRackFactor: 3, Restore: 250 * time.Millisecond, StarvationLimit: 14 * time.Second}.Derive()
	l := &costLoad{rng: rand.New(rand.NewPCG(7, uint64(workers))), now: 100_000, index: map[string]*costWorker{}, steps: map[string]*work.Step{},
		spent: map[string]time.Duration{}, count: map[string]int{}}
	l.state = New(b, 1, l.at(), allOptions)
	l.apply("config", ConfigChanged{Config: &work.Config{Version: 1, Services: map[string]work.Service{"app": {Name: "app"}}}})
	for i := range workers {
		w := &costWorker{name: fmt.Sprintf("side-%04d", i), runs: map[string]costRun{}, info: link.Worker{Service: "app", CPU: 16000, MemMB: 62_500,
			Zone: fmt.Sprint("z", i%5), Labels: []string{"a", fmt.Sprintf("r%d-1", i/8)}}}
		w.info.Incarnation = link.Incarnation{ID: "i-" + w.name, StartedMs: 1}
		l.workers, l.index[w.name] = append(l.workers, w), w
		l.apply("connect", SideConnected{Instance: w.name})
		l.report(w, true)
	}
	for k := range costKinds {
		for range costKinds[k].atStart * workers / costWorkers {
			l.submit(k)
		}
	}
	return l
}

func (l *costLoad) at() Now { return Now{BootMs: l.now, WallMs: l.now + 1_700_000_000_000} }

func (l *costLoad) apply(kind string, e Event) {
	began := time.Now()
	eff := l.state.Step(l.at(), e)
	l.spent[kind] += time.Since(began)
	l.count[kind]++
	for _, o := range eff.Orders {
		l.handle(l.index[o.Instance], o.Orders)
	}
}

func (l *costLoad) submit(k int) {
	kind := &costKinds[k]
	l.next++
	j := &work.Job{ID: jobID(l.next), AcceptedMs: l.at().WallMs, Queue: work.Queue{Name: fmt.Sprint("q", k), Service: "app", Priority: kind.priority,
		Attempts: 3, Stretch: 1.8, TargetMs: 500}}
	for i := range kind.steps {
		s := kind.step
		s.Count = max(1, int(float64(kind.count)*(0.4+1.2*l.rng.Float64())))
		s.CPU = int64(float64(s.CPU) * (0.6 + 0.8*l.rng.Float64()))
		if i > 0 {
			s.DependsOn = []int{i - 1}
		}
		switch k {
		case 1:
			s.Image = fmt.Sprint("f", l.rng.IntN(30))
		case 2:
			s.Image = fmt.Sprint("s", l.rng.IntN(16))
			s.MaxPerWorker = l.rng.IntN(2) * 2
		}
		j.Steps = append(j.Steps, s)
	}
	l.steps[j.ID] = &j.Steps[0]
	l.apply("submit", JobSubmitted{Job: j})
}

func (l *costLoad) handle(w *costWorker, o link.Orders) {
	w.fence = max(w.fence, o.Fence)
	if o.Number == 0 {
		return
	}
	w.done = o.Number
	for _, st := range o.Starts {
		n, _ := work.ParseTaskName(st.Task)
		step := l.steps[n.Job]
		r := costRun{run: st.Run, begun: l.now, endsAt: l.now + int64(float64(step.EstMs)*(0.7+0.6*l.rng.Float64())), lasts: step.LongRunning, load: step.CPU}
		if r.lasts {
			r.load = int64(14 + l.rng.IntN(8))
		}
		w.runs[st.Task] = r
		l.count["start"]++
	}
	for _, st := range o.Stops {
		l.end(w, st.Task, link.Stopped)
	}
	for i := 0; i < len(w.ended) && w.ended[i].Number <= o.Forget; {
		w.ended = w.ended[1:]
	}
}

func (l *costLoad) end(w *costWorker, name string, how link.Outcome) {
	r, ok := w.runs[name]
	if !ok {
		return
	}
	delete(w.runs, name)
	w.number++
	w.ended = append(w.ended, link.Completion{Number: w.number, Task: name, Run: r.run, Outcome: how})
	l.count["end"]++
}

func (l *costLoad) report(w *costWorker, full bool) {
	info := w.info
	r := &link.Report{SentMs: l.now, Worker: &info, OrdersDone: w.done, LeaseLeftMs: 4000, AnsweredMs: l.now, Completions: w.ended}
	kind := "ends"
	if full {
		kind = "report"
		r.Listed, r.Complete, r.Fence = true, true, w.fence
		for name, run := range w.runs {
			percent := 100
			if !run.lasts {
				percent = int(min(99, 100*(l.now-run.begun)/max(run.endsAt-run.begun, 1)))
			}
			r.Runs = append(r.Runs, link.Run{Task: name, Run: run.run, ProgressPercent: percent, Load: run.load})
		}
		w.reports = l.now
	}
	l.apply(kind, Reported{Instance: w.name, Report: r})
	l.apply(kind, LeaseRenewed{Instance: w.name, SentMs: l.now})
}

// advance plays one step of virtual time.
func (l *costLoad) advance() {
	l.now += costStepMs
	for k := range costKinds {
		l.owed[k] += costKinds[k].perSecond * float64(len(l.workers)) / costWorkers * costStepMs / 1000
		for ; l.owed[k] >= 1; l.owed[k]-- {
			l.submit(k)
		}
	}
	for i, w := range l.workers {
		ended := false
		for name, r := range w.runs {
			if !r.lasts && r.endsAt <= l.now {
				l.end(w, name, link.Done)
				ended = true
			}
		}
		if l.now-w.reports >= costReportMs+int64(i%7) {
			l.report(w, true)
		} else if ended {
			l.report(w, false)
		}
	}
	l.apply("place", Place{})
	if l.now%100 == 0 {
		l.apply("tick", Tick{})
	}
	if l.now%30 == 0 {
		began := time.Now()
		b := l.state.Collect()
		l.spent["collect"] += time.Since(began)
		for _, r := range b.Schedule {
			l.bytes += len(r.Value)
		}
		l.batch = max(l.batch, len(b.Schedule))
		if !b.Empty() {
			l.apply("commit", Committed{Batch: b})
		}
	}
}

// BenchmarkDecider measures the processor time and the stored bytes of a decider by the number of workers.
func BenchmarkDecider(b *testing.B) {
	for _, workers := range []int{15, 60, 240, 710} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			for range b.N {
				l := newCostLoad(workers)
				for range 400 {
					l.advance()
				}
				l.spent, l.count, l.bytes, l.batch = map[string]time.Duration{}, map[string]int{}, 0, 0
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				const measuredSteps = 400
				for range measuredSteps {
					l.advance()
				}
				runtime.ReadMemStats(&after)
				total := time.Duration(0)
				for _, d := range l.spent {
					total += d
				}
				starts := float64(max(l.count["start"], 1))
				b.ReportMetric(float64(total.Nanoseconds())/starts, "ns/start")
				b.ReportMetric(100*total.Seconds()/(measuredSteps*costStepMs/1000.0), "%core")
				b.ReportMetric(float64(l.bytes)/starts, "bytes/start")
				b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/starts, "alloc/start")
				b.ReportMetric(starts/(measuredSteps*costStepMs/1000.0), "starts/s")
				for _, kind := range []string{"place", "report", "ends", "tick", "commit", "submit", "collect"} {
					b.ReportMetric(100*l.spent[kind].Seconds()/(measuredSteps*costStepMs/1000.0), "%"+kind)
				}
				b.ReportMetric(float64(l.spent["report"].Nanoseconds())/float64(max(l.count["report"], 1)), "ns/report")
				b.ReportMetric(float64(l.spent["tick"].Nanoseconds())/float64(max(l.count["tick"], 1)), "ns/tick")
				b.ReportMetric(float64(l.batch), "jobs/batch")
			}
		})
	}
}
