package dispatch

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// compareStepMs is the time between two decisions of the list scheduler.
const compareStepMs = 50

// loadJob is a job of a load: steps of equal tasks, one after the other.
type loadJob struct {
	atMs                int64
	steps, tasks, cpu   int
	taskMs, objectiveMs int64
	longRunning         bool
	balance             *sizeBalance // nil if sizes are not treated alike
	size                sizeClass
	recorded            bool
	// estimate returns how long the decider expects tasks to take; nil if it knows taskMs.
	estimate func(j *loadJob) int64
	// samplesMs holds the durations of the tasks that ended.
	samplesMs []int64

	step, started, ended int // steps done, tasks of the current step that began and ended
	endedMs              int64
}

func (j *loadJob) workMs() float64 { return float64(j.steps*j.tasks*j.cpu) * float64(j.taskMs) / 1000 }

func (j *loadJob) pending(now int64) *pendingJob {
	wrong, objectiveMs := 1.0, j.objectiveMs
	if j.estimate != nil {
		ms := j.estimate(j)
		wrong = float64(ms) / float64(j.taskMs)
		objectiveMs += 2 * int64(j.steps) * (ms - j.taskMs)
	}
	left := float64((j.steps-j.step)*j.tasks-j.ended) / float64(j.steps*j.tasks) * j.workMs()
	return &pendingJob{remaining: remaining{coreMs: left * wrong, wholeCoreMs: j.workMs() * wrong, spanMs: int64(float64(j.steps-j.step) * float64(j.taskMs) * wrong)},
		deadlineMs: j.atMs + objectiveMs, objectiveMs: objectiveMs, longRunning: j.longRunning, begun: j.step+j.started > 0,
		preferred:    j.balance != nil && j.balance.prefers(j.size),
		overdueStart: j.longRunning && j.started == 0 && now-j.atMs > 9000}
}

// record counts a job in the size balance once it ended or its objective has passed.
func (j *loadJob) record(now int64) {
	late := now-j.atMs > j.objectiveMs
	if j.balance == nil || j.recorded || j.step < j.steps && !late {
		return
	}
	j.recorded = true
	j.balance.record(j.size, !late)
}

// rankingFunc ranks jobs with the cores that jobs other than long-running ones can use.
type rankingFunc func(list []*pendingJob, now int64, cores float64)

var rankings = []struct {
	name string
	rank rankingFunc
}{
	{"deadline", rankByDeadline},
	{"least slack per core-second", func(list []*pendingJob, now int64, cores float64) {
		for _, p := range list {
			slack := float64(p.deadlineMs - now - p.spanMs)
			p.rank = rank{late: onTime, key: int64(slack / max(p.coreMs, 1) * keyScale)}
			if !p.longRunning && slack < 0 {
				p.rank = rank{late: deferred, key: int64(p.coreMs)}
			}
		}
	}},
	{"scarcity", func(list []*pendingJob, now int64, cores float64) {
		rankByScarcity(list, now, poolCores{reserved: cores}, true)
	}},
}

// listScheduler places tasks on workers in the order of the jobs' ranks.
type listScheduler struct {
	rng     *rand.Rand
	free    []int // thousandths of a core of each worker
	longCPU int
	// longStarts counts long-running tasks that were started within 30 s.
	longStarts int
	ends       map[int64][]func()
}

func (l *listScheduler) start(w int, j *loadJob, now int64) {
	// Tasks of a step differ by up to 0.15 from each other.
	d := int64(float64(j.taskMs) * (0.85 + 0.3*l.rng.Float64()))
	at := (now + d + compareStepMs - 1) / compareStepMs * compareStepMs
	l.free[w] -= j.cpu
	if j.longRunning {
		l.longCPU += j.cpu
		if now <= 30_000 {
			l.longStarts++
		}
	}
	j.started++
	l.ends[at] = append(l.ends[at], func() {
		l.free[w] += j.cpu
		if j.longRunning {
			l.longCPU -= j.cpu
		}
		j.ended++
		j.samplesMs = append(j.samplesMs, d)
		if j.ended == j.tasks {
			j.step, j.started, j.ended, j.endedMs = j.step+1, 0, 0, at
		}
	})
}

// run schedules jobs until endMs and sets when they ended.
func (l *listScheduler) run(jobs []*loadJob, rankJobs rankingFunc, endMs int64) {
	total := 0
	for _, f := range l.free {
		total += f
	}
	total += l.longCPU
	for now := int64(0); now < endMs; now += compareStepMs {
		for _, end := range l.ends[now] {
			end()
		}
		delete(l.ends, now)
		var open []*loadJob
		var list []*pendingJob
		ranks := map[*loadJob]*pendingJob{}
		for _, j := range jobs {
			j.record(now)
			if j.atMs <= now && j.step < j.steps {
				p := j.pending(now)
				open, list, ranks[j] = append(open, j), append(list, p), p
			}
		}
		rankJobs(list, now, float64(total-l.longCPU)/1000*usableShare)
		slices.SortStableFunc(open, func(a, b *loadJob) int { return ranks[a].rank.compare(ranks[b].rank) })
		unplaced := math.MaxInt // the smallest task that found no worker; larger ones find none either
		for _, j := range open {
			if j.cpu >= unplaced {
				continue
			}
			most := j.tasks
			if ranks[j].rank.late == dueFirst {
				most = 1
			}
			for w := 0; w < len(l.free) && j.started < most; w++ {
				for j.started < most && l.free[w] >= j.cpu {
					l.start(w, j, now)
				}
			}
			if j.started < most {
				unplaced = j.cpu
			}
		}
	}
}

// served counts jobs other than long-running ones, and their work in core-seconds.
type served struct{ onTime, late, failed, weight float64 }

func countServed(jobs []*loadJob) (c served) {
	for _, j := range jobs {
		switch took := j.endedMs - j.atMs; {
		case j.longRunning:
		case j.step == j.steps && took <= j.objectiveMs:
			c.onTime++
			c.weight += j.workMs() / 1000
		case j.step == j.steps && took <= lateFactor*j.objectiveMs:
			c.late++
		default:
			c.failed++
		}
	}
	return c
}

// ofUse returns the part of the jobs that ended while they were of use, of those between two quantiles of size.
func ofUse(loads [][]*loadJob, from, to float64) float64 {
	ended, all := 0.0, 0.0
	for _, jobs := range loads {
		var list []*loadJob
		for _, j := range jobs {
			if !j.longRunning {
				list = append(list, j)
			}
		}
		slices.SortStableFunc(list, func(a, b *loadJob) int { return cmp.Compare(a.workMs(), b.workMs()) })
		n := float64(len(list))
		part := list[int(n*from):int(n*to)]
		c := countServed(part)
		ended, all = ended+c.onTime+c.late, all+float64(len(part))
	}
	return ended / all
}

// upperBound returns the largest sum of values of jobs in their objective if work could be split at will, and the work that
// has to be done before each deadline, or after each arrival, only had to fit the capacity: a fractional knapsack with
// nested bounds, which is solved by taking the work of highest value first.
func upperBound(jobs []*loadJob, capacity func(fromMs, toMs int64) float64, value func(*loadJob) float64) float64 {
	var list []*loadJob
	first, last := int64(1)<<60, int64(0)
	for _, j := range jobs {
		if !j.longRunning {
			list = append(list, j)
			first, last = min(first, j.atMs), max(last, j.atMs+j.objectiveMs)
		}
	}
	slices.SortFunc(list, func(a, b *loadJob) int { return cmp.Compare(value(b)/b.workMs(), value(a)/a.workMs()) })
	// bound takes the limits in their order: a job counts for its own limit and for all later ones.
	bound := func(order func(a, b *loadJob) int, room func(*loadJob) float64) float64 {
		limits := slices.SortedStableFunc(slices.Values(list), order)
		left := make([]float64, len(limits))
		for i, k := range limits {
			left[i] = room(k)
		}
		sum := 0.0
		for _, j := range list {
			from, _ := slices.BinarySearchFunc(limits, j, order)
			can := max(min(j.workMs(), slices.Min(left[from:])), 0)
			for i := from; i < len(left); i++ {
				left[i] -= can
			}
			sum += value(j) * can / j.workMs()
		}
		return sum
	}
	byDeadline := bound(func(a, b *loadJob) int { return cmp.Compare(a.atMs+a.objectiveMs, b.atMs+b.objectiveMs) },
		func(k *loadJob) float64 { return capacity(first, k.atMs+k.objectiveMs) })
	byArrival := bound(func(a, b *loadJob) int { return cmp.Compare(b.atMs, a.atMs) },
		func(k *loadJob) float64 { return capacity(k.atMs, last) })
	return min(byDeadline, byArrival)
}

// arrivals returns jobs that arrive at a rate in jobs a second, times a factor from burstMs for burstLenMs.
func arrivals(rng *rand.Rand, rate, factor float64, burstMs, burstLenMs, endMs int64, newJob func(atMs int64) *loadJob) (jobs []*loadJob) {
	for at := 0.0; ; {
		r := rate
		if int64(at) >= burstMs && int64(at) < burstMs+burstLenMs {
			r *= factor
		}
		at += rng.ExpFloat64() / r * 1000
		if int64(at) >= endMs {
			return jobs
		}
		jobs = append(jobs, newJob(int64(at)))
	}
}

func vary(rng *rand.Rand, v float64) float64 { return v * (0.5 + rng.Float64()) }

// burstOfLongJobs is the load of long best-effort jobs of turbine monitoring, on the CPU that they got.
func burstOfLongJobs(seed uint64) ([]*loadJob, *listScheduler, func(fromMs, toMs int64) float64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	jobs := arrivals(rng, 2.56, 2.35, 8000, 6000, 30_000, func(at int64) *loadJob {
		j := &loadJob{atMs: at, steps: 2, tasks: int(vary(rng, 20)), cpu: 1800, taskMs: int64(vary(rng, 2200))}
		j.objectiveMs = 2*2*j.taskMs + 1000
		return j
	})
	const workers, cpu = 64, 4400
	l := &listScheduler{rng: rng, free: make([]int, workers), ends: map[int64][]func(){}}
	for i := range l.free {
		l.free[i] = cpu
	}
	return jobs, l, func(from, to int64) float64 { return float64(workers*cpu/1000) * float64(to-from) }
}

// shortBesideLongRunning is the load of short and long-running jobs of music previews after a third of the workers went
// away: long-running tasks hold the remaining cores, and those of the lost workers wait.
func shortBesideLongRunning(seed uint64) ([]*loadJob, *listScheduler, func(fromMs, toMs int64) float64) {
	rng := rand.New(rand.NewPCG(seed, 2))
	const workers, cpu, longCPU, endMs = 39, 39_000, 6400, 30_000
	l := &listScheduler{rng: rng, free: make([]int, workers), ends: map[int64][]func(){}}
	jobs := arrivals(rng, 10.3, 1.75, 8000, 3500, endMs, func(at int64) *loadJob {
		j := &loadJob{atMs: at, steps: 1 + rng.IntN(10)/4%2, tasks: int(vary(rng, 10)), cpu: 620, taskMs: int64(vary(rng, 850))}
		j.objectiveMs = 3*int64(j.steps)*j.taskMs/2 + 300
		return j
	})
	newLong := func(at int64) *loadJob {
		return &loadJob{atMs: at, steps: 1, tasks: 14, cpu: longCPU, taskMs: 70_000, objectiveMs: 1000, longRunning: true}
	}
	jobs = append(jobs, arrivals(rng, 0.098, 1, 0, 0, endMs, newLong)...)
	for range 7 {
		jobs = append(jobs, newLong(-20_000)) // tasks of the lost workers
	}
	held := make([]int, endMs*4/compareStepMs) // by long-running tasks from before
	for w := range l.free {
		l.free[w] = cpu
		for l.free[w] >= longCPU {
			end := 1 + rng.Int64N(70_000/compareStepMs)
			l.free[w] -= longCPU
			l.longCPU += longCPU
			l.ends[end*compareStepMs] = append(l.ends[end*compareStepMs], func() { l.free[w] += longCPU; l.longCPU -= longCPU })
			for k := range end {
				held[k] += longCPU
			}
		}
	}
	return jobs, l, func(from, to int64) float64 {
		sum := 0.0
		for k := max(from, 0) / compareStepMs; k <= to/compareStepMs && int(k) < len(held); k++ {
			sum += float64(workers*cpu-held[k]) / 1000 * compareStepMs
		}
		return sum
	}
}

// Guards against an order under scarcity that serves fewer jobs, or less of their work, in their objective than an order by
// deadline, in a burst of long best-effort jobs (turbine monitoring) and with short jobs beside waiting long-running ones
// after a third of the workers went away (music previews).
func TestScarcityServesMoreThanDeadline(t *testing.T) {
	for _, load := range []struct {
		name string
		new  func(seed uint64) ([]*loadJob, *listScheduler, func(fromMs, toMs int64) float64)
	}{{"burst of long jobs", burstOfLongJobs}, {"short beside long-running jobs", shortBesideLongRunning}} {
		results := map[string]served{}
		boundJobs, boundWeight := 0.0, 0.0
		const seeds, endMs = 5, 100_000
		for _, r := range rankings {
			sum := results[r.name]
			longStarts := 0
			var all [][]*loadJob
			for seed := uint64(100); seed < 100+seeds; seed++ {
				jobs, l, capacity := load.new(seed)
				if r.name == rankings[0].name {
					boundJobs += upperBound(jobs, capacity, func(*loadJob) float64 { return 1 })
					boundWeight += upperBound(jobs, capacity, func(j *loadJob) float64 { return j.workMs() / 1000 })
				}
				l.run(jobs, r.rank, endMs)
				longStarts += l.longStarts
				all = append(all, jobs)
				c := countServed(jobs)
				sum.onTime, sum.late, sum.failed, sum.weight = sum.onTime+c.onTime, sum.late+c.late, sum.failed+c.failed, sum.weight+c.weight
			}
			results[r.name] = sum
			t.Logf("%s, %s: %.0f on time, %.0f late, %.0f failed, %.0f core-seconds on time; %d long-running tasks started within 30 s; of use: all %.2f, largest tenth %.2f, next fifth %.2f",
				load.name, r.name, sum.onTime, sum.late, sum.failed, sum.weight, longStarts, ofUse(all, 0, 1), ofUse(all, 0.9, 1), ofUse(all, 0.7, 0.9))
		}
		t.Logf("%s: upper bound %.0f on time, %.0f core-seconds", load.name, boundJobs, boundWeight)
		byDeadline, scarcity := results["deadline"], results["scarcity"]
		assert.Assert(t, scarcity.onTime >= byDeadline.onTime, "%s", load.name)
		assert.Assert(t, scarcity.weight >= byDeadline.weight, "%s", load.name)
		assert.Assert(t, scarcity.failed <= byDeadline.failed, "%s", load.name)
		assert.Assert(t, scarcity.onTime <= boundJobs && scarcity.weight <= boundWeight, "%s: the bound is wrong", load.name)
	}
}
