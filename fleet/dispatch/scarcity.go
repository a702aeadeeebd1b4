package dispatch

import "container/heap"

const (
	// keyScale scales the ratio of remaining work to weight to the integer key of a rank.
	keyScale = 1 << 20
	// spanShare is the part of its own shortest time that a job needs after the work ahead of it is done. It is below 1 as the
	// first tasks of a job start while the last ones of the jobs ahead still run.
	spanShare = 0.75
)

// poolCores is the capacity in cores for jobs that reserve CPU and for best-effort jobs, which use what others leave.
type poolCores struct{ reserved, bestEffort float64 }

// rankByScarcity orders by deadline where there is room for everything. Where there is not, it chooses the jobs that are on
// time, then from the others those that can still end while they are of use, so that each choice defers the jobs with the
// most remaining work for their weight. The jobs of both pools are chosen apart.
func rankByScarcity(list []*pendingJob, now int64, cores poolCores, scarce bool) {
	sortByDeadline(list)
	for _, p := range list {
		p.setRank(onTime)
		if p.longRunning && scarce {
			p.setRank(yielding)
		}
	}
	for _, pool := range []struct {
		bestEffort bool
		cores      float64
	}{{false, cores.reserved}, {true, cores.bestEffort}} {
		ahead := 0.0 // core-milliseconds of the jobs of higher priorities
		for start := 0; start < len(list); {
			end := start
			var class []*pendingJob
			for ; end < len(list) && list[end].priority == list[start].priority; end++ {
				if p := list[end]; !p.longRunning && p.bestEffort() == pool.bestEffort {
					class = append(class, p)
				}
			}
			ahead += rankClass(class, now, pool.cores, ahead)
			start = end
		}
	}
	for _, p := range list {
		if p.overdueStart {
			p.rank.late = dueFirst
		}
	}
}

// rankClass ranks the jobs of one priority and pool, sorted by deadline, and returns the core-milliseconds of those that
// can end while they are of use.
func rankClass(class []*pendingJob, now int64, cores, ahead float64) float64 {
	if len(class) == 0 {
		return 0
	}
	ownWeight := 0.0
	for _, p := range class {
		ownWeight += p.wholeCoreMs / float64(len(class))
	}
	kept, rest := selectJobs(class, now, cores, ahead, ownWeight, 1)
	useful, late := selectJobs(rest, now, cores, ahead+kept, ownWeight, lateFactor)
	for _, p := range rest {
		p.rank.late = deferred
	}
	for _, p := range late {
		p.rank.late, p.rank.key = notBegun, int64(p.lossRatio(ownWeight)*keyScale)
		if p.begun {
			p.rank.late = tooLate
		}
	}
	return kept + useful
}

// lossRatio returns the remaining work that is saved by deferring a job for each unit of weight that is lost. The weight is
// the whole work, so that a job that is nearly done is finished, and a part that is equal for all jobs, so that a small one
// counts as well.
func (p *pendingJob) lossRatio(ownWeight float64) float64 {
	if p.wholeCoreMs+ownWeight <= 0 {
		return 0
	}
	ratio := p.coreMs / (p.wholeCoreMs + ownWeight)
	if p.preferred {
		ratio *= preferredFactor
	}
	return ratio
}

// selectJobs chooses from jobs that are sorted by deadline those that can end within a multiple of their objective, after
// ahead core-milliseconds of other work. Where one cannot, the job with the highest loss ratio so far is left out. It
// returns the work of the chosen jobs and the others, by deadline.
func selectJobs(list []*pendingJob, now int64, cores, ahead, ownWeight float64, objectives int64) (work float64, rest []*pendingJob) {
	left := make(map[*pendingJob]bool)
	var kept ratioHeap
	for _, p := range list {
		deadlineMs := p.deadlineMs + (objectives-1)*p.objectiveMs
		if now+p.spanMs > deadlineMs {
			left[p] = true
			continue
		}
		work += p.coreMs
		heap.Push(&kept, ratioJob{p.lossRatio(ownWeight), p})
		for cores > 0 && len(kept) > 0 && float64(now)+p.endAfter(ahead+work, cores) > float64(deadlineMs) {
			out := heap.Pop(&kept).(ratioJob).job
			work -= out.coreMs
			left[out] = true
			if out == p {
				break // the others were chosen without it
			}
		}
	}
	for _, p := range list {
		if left[p] {
			rest = append(rest, p)
		}
	}
	return work, rest
}

// endAfter returns in how many milliseconds a job ends if work core-milliseconds, the last of them its own, are done on a
// number of cores.
func (p *pendingJob) endAfter(work, cores float64) float64 {
	return max(work/cores, max(work-p.coreMs, 0)/cores+spanShare*float64(p.spanMs))
}

// ratioJob is a job with its loss ratio.
type ratioJob struct {
	ratio float64
	job   *pendingJob
}

// ratioHeap is a heap of jobs, the highest loss ratio first, of equal ones that with the latest deadline.
type ratioHeap []ratioJob

// Len implements heap.Interface.
func (h ratioHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h ratioHeap) Less(i, k int) bool {
	if h[i].ratio != h[k].ratio {
		return h[i].ratio > h[k].ratio
	}
	return h[i].job.deadlineMs > h[k].job.deadlineMs
}

// Swap implements heap.Interface.
func (h ratioHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }

// Push implements heap.Interface.
func (h *ratioHeap) Push(x any) { *h = append(*h, x.(ratioJob)) }

// Pop implements heap.Interface.
func (h *ratioHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
