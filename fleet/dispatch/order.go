package dispatch

import (
	"cmp"
	"sort"
)

const (
	// lateFactor times its objective is the response time up to which a late job is still of use.
	lateFactor = 3
	// usableShare is the part of the free CPU that waiting work is expected to get. The rest is lost to pauses between
	// tasks and to best-effort tasks that yield.
	usableShare = 0.85
)

// lateness tells whether a job can meet its objective.
type lateness int

const (
	// onTime jobs can still meet their objective beside jobs with earlier deadlines.
	onTime lateness = iota
	// deferred jobs would make smaller ones late, or are late already.
	deferred
	// tooLate jobs are past any useful deadline.
	tooLate
)

// rank is a job's position in the placement order.
type rank struct {
	priority int
	late     lateness
	// key orders jobs of equal priority and lateness: by deadline if they are on time, else by remaining work.
	key int64
}

func (a rank) compare(b rank) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.late, b.late), cmp.Compare(a.key, b.key))
}

const (
	// rankIntervalMs is how long ranks are used while no stage is added.
	rankIntervalMs = 50
	// remainingTTLMs is how long the remaining work of a job is used: its tasks report progress every 450 ms.
	remainingTTLMs = 200
)

// rankIfStale ranks the jobs again if a stage was added or the ranks are too old.
func (s *State) rankIfStale(jobs []*job) {
	if !s.ranksStale && s.now.BootMs-s.rankedMs < rankIntervalMs {
		return
	}
	s.ranksStale, s.rankedMs = false, s.now.BootMs
	s.rankJobs(jobs)
}

// cachedRemainingWork returns remainingWork as of at most remainingTTLMs ago.
func (j *job) cachedRemainingWork(now int64) (coreMs float64, spanMs int64) {
	if j.remainingMs == 0 || now-j.remainingMs >= remainingTTLMs {
		j.remainingCoreMs, j.remainingSpanMs = j.remainingWork()
		j.remainingMs = now
	}
	return j.remainingCoreMs, j.remainingSpanMs
}

// remainingWork returns the remaining work of a job in core-milliseconds and the shortest time that it takes in
// milliseconds.
func (j *job) remainingWork() (coreMs float64, spanMs int64) {
	for _, st := range j.stages {
		if st.done == len(st.tasks) {
			continue
		}
		longestMs := 0.0
		for i := range st.tasks {
			t := &st.tasks[i]
			if t.phase == done {
				continue
			}
			ms := float64(estimateMs(st.step)) * float64(100-t.percent) / 100
			coreMs += ms * float64(max(st.step.CPU, 1)) / 1000
			longestMs = max(longestMs, ms)
		}
		spanMs = max(spanMs, j.remainingPathMs[st.index]-estimateMs(st.step)+int64(longestMs))
	}
	return coreMs, spanMs
}

// deadline returns the boot time at which the job's objective ends.
func (j *job) deadline() int64 { return j.dueMs + j.objectiveMs }

// rankJobs decides the order in which jobs are placed. Jobs of one priority are ordered by deadline. Where capacity
// does not suffice for one of them, the job with the most remaining work is deferred so that the others are on time.
// This is the algorithm of Moore and Hodgson (1968) for the minimum number of late jobs on one machine, with the free
// CPU of the fleet treated as one machine.
func (s *State) rankJobs(jobs []*job) {
	pending := make([]pendingJob, 0, len(jobs))
	for _, j := range jobs {
		p := pendingJob{job: j, priority: s.queue(j).Priority, deadlineMs: j.deadline()}
		p.coreMs, p.spanMs = j.cachedRemainingWork(s.now.BootMs)
		pending = append(pending, p)
	}
	sort.SliceStable(pending, func(i, k int) bool {
		if pending[i].priority != pending[k].priority {
			return pending[i].priority < pending[k].priority
		}
		return pending[i].deadlineMs < pending[k].deadlineMs
	})
	cores := s.usableCores()
	onTimeWork := 0.0 // core-milliseconds of the jobs accepted as on time so far
	var onTimeJobs []pendingJob
	for _, p := range pending {
		late := onTime
		switch lateMs := s.now.BootMs + p.spanMs - p.deadlineMs; {
		case p.job.def.LongRunning():
			// Long-running jobs have no completion time that could be late.
		case lateMs > (lateFactor-1)*p.job.objectiveMs:
			late = tooLate
		case lateMs > 0:
			late = deferred
		default:
			onTimeWork += p.coreMs
			onTimeJobs = append(onTimeJobs, p)
		}
		p.job.rank = p.rank(late)
		for cores > 0 && len(onTimeJobs) > 0 && float64(s.now.BootMs)+onTimeWork/cores > float64(p.deadlineMs) {
			largest := 0
			for i := range onTimeJobs {
				if onTimeJobs[i].coreMs > onTimeJobs[largest].coreMs {
					largest = i
				}
			}
			moved := onTimeJobs[largest]
			onTimeWork -= moved.coreMs
			onTimeJobs = append(onTimeJobs[:largest], onTimeJobs[largest+1:]...)
			moved.job.rank = moved.rank(deferred)
		}
	}
}

// pendingJob is a job with the inputs of its rank.
type pendingJob struct {
	job        *job
	priority   int
	deadlineMs int64
	coreMs     float64
	spanMs     int64
}

func (p *pendingJob) rank(late lateness) rank {
	r := rank{priority: p.priority, late: late, key: p.deadlineMs}
	if late != onTime {
		r.key = int64(p.coreMs)
	}
	return r
}

// usableCores returns the number of cores that jobs other than long-running ones can use.
func (s *State) usableCores() float64 {
	cores := 0.0
	for _, w := range s.sortedWorkers {
		if !s.schedulable(w) {
			continue
		}
		cores += float64(max(w.info.CPU-w.longRunningCPU, 0)) / 1000 * usableShare
	}
	return cores
}
