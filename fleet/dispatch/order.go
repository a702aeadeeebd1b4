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

// lateness is the class of a job within its priority, in the order of placement.
type lateness int

const (
	// dueFirst jobs have waited so long that one of their tasks is placed before other jobs.
	dueFirst lateness = iota
	// onTime jobs can still meet their objective beside jobs with earlier deadlines.
	onTime
	// yielding jobs are long-running ones that wait while jobs that can be on time need the room.
	yielding
	// deferred jobs would make other ones late, or are late already.
	deferred
	// tooLate jobs are past any useful deadline.
	tooLate
	// notBegun jobs cannot end by a useful deadline and none of their tasks has started.
	notBegun
)

// rank is a job's position in the placement order.
type rank struct {
	priority int
	late     lateness
	// key orders jobs of equal priority and lateness.
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

// remaining is the work that is left of a job.
type remaining struct {
	// coreMs is the work in core-milliseconds, bestEffortCoreMs the part of it in best-effort steps, and wholeCoreMs the
	// work of the job with what is done.
	coreMs, bestEffortCoreMs, wholeCoreMs float64
	// spanMs is the shortest time that the work takes in milliseconds.
	spanMs int64
}

// cachedRemainingWork returns remainingWork as of at most remainingTTLMs ago.
func (s *State) cachedRemainingWork(j *job) remaining {
	now := s.now.BootMs
	if j.remainingMs == 0 || now-j.remainingMs >= remainingTTLMs {
		j.remaining, j.remainingMs = s.remainingWork(j), now
	}
	return j.remaining
}

// remainingWork returns the work that is left of a job.
func (s *State) remainingWork(j *job) remaining {
	s.updateObjective(j)
	var r remaining
	if finished := j.opened - len(j.open) - j.suspended.count(); finished > 0 {
		for i := range j.def.Steps {
			step := &j.def.Steps[i]
			r.wholeCoreMs += float64(finished) * float64(step.Count) * float64(s.stepMs(j, i)) * float64(max(step.CPU, 1)) / 1000
		}
	}
	for _, st := range j.stages {
		cpu := float64(max(st.step.CPU, 1))
		durationMs := s.taskMs(st)
		r.wholeCoreMs += float64(len(st.tasks)) * float64(durationMs) * cpu / 1000
		if st.done == len(st.tasks) {
			continue
		}
		longestMs := 0.0
		for i := range st.tasks {
			t := &st.tasks[i]
			if t.phase == done {
				continue
			}
			ms := s.remainingTaskMs(t)
			coreMs := ms * cpu / 1000
			r.coreMs += coreMs
			if st.step.BestEffort {
				r.bestEffortCoreMs += coreMs
			}
			longestMs = max(longestMs, ms)
		}
		r.spanMs = max(r.spanMs, j.remainingPathMs[st.index]-durationMs+int64(longestMs))
	}
	return r
}

// deadline returns the boot time at which the job's objective ends.
func (j *job) deadline() int64 { return j.dueMs + j.objectiveMs }

// occurrenceDeadline returns the boot time at which the objective of a job's oldest unfinished occurrence ends: that of a
// scheduled job counts from its start time.
func (s *State) occurrenceDeadline(j *job) int64 {
	if j.def.Repeat == 0 && j.def.StartAtMs == 0 {
		return j.deadline()
	}
	for _, st := range j.stages {
		if st.done < len(st.tasks) {
			return max(st.dueMs, j.dueMs) + j.objectiveMs
		}
	}
	return j.deadline()
}

// pendingJob is a job with the inputs of its rank, and its rank.
type pendingJob struct {
	remaining
	priority                int
	deadlineMs, objectiveMs int64
	longRunning, begun      bool
	// overdueStart is true if one task of the job has to be placed before other jobs.
	overdueStart bool
	// preferred is true if jobs of this size are served too seldom.
	preferred bool
	rank      rank
}

// bestEffort reports whether most of the remaining work is best-effort.
func (p *pendingJob) bestEffort() bool { return p.bestEffortCoreMs > p.coreMs/2 }

// setRank sets the rank in a class, by deadline.
func (p *pendingJob) setRank(late lateness) {
	p.rank = rank{priority: p.priority, late: late, key: p.deadlineMs}
}

// rankJobs decides the order in which jobs are placed: by priority, within it by deadline, and where capacity does not
// suffice by the order that the options select.
func (s *State) rankJobs(jobs []*job) {
	pending := make([]pendingJob, len(jobs))
	order := make([]*pendingJob, len(jobs))
	for i, j := range jobs {
		pending[i] = pendingJob{remaining: s.cachedRemainingWork(j), priority: s.queue(j).Priority, deadlineMs: j.deadline(), objectiveMs: j.objectiveMs,
			longRunning: j.def.LongRunning(), begun: j.started || j.active > 0}
		order[i] = &pending[i]
	}
	if s.options.Order == OrderDeadline {
		rankByDeadline(order, s.now.BootMs, s.usableCores())
	} else {
		scarce := s.reservedCPUScarce()
		for i, j := range jobs {
			s.recordServed(j, false)
			pending[i].deadlineMs = s.occurrenceDeadline(j)
			pending[i].overdueStart, pending[i].preferred = s.startOverdue(j, scarce), s.balance(j).prefers(j.size)
		}
		s.poolCapacity = s.capacity()
		rankByScarcity(order, s.now.BootMs, s.poolCapacity, scarce)
	}
	for i, j := range jobs {
		j.rank = pending[i].rank
	}
}

// sortByDeadline sorts by priority, then by deadline.
func sortByDeadline(list []*pendingJob) {
	sort.SliceStable(list, func(i, k int) bool {
		if list[i].priority != list[k].priority {
			return list[i].priority < list[k].priority
		}
		return list[i].deadlineMs < list[k].deadlineMs
	})
}

// rankByDeadline orders by deadline. Where capacity does not suffice for a job, the one with the most remaining work is
// deferred so that the others are on time. This is the algorithm of Moore and Hodgson (1968) for the minimum number of
// late jobs on one machine, with the free CPU of the fleet treated as one machine.
func rankByDeadline(list []*pendingJob, now int64, cores float64) {
	sortByDeadline(list)
	onTimeWork := 0.0 // core-milliseconds of the jobs accepted as on time so far
	var onTimeJobs []*pendingJob
	for _, p := range list {
		late := onTime
		switch lateMs := now + p.spanMs - p.deadlineMs; {
		case p.longRunning:
			// Long-running jobs have no completion time that could be late.
		case lateMs > (lateFactor-1)*p.objectiveMs:
			late = tooLate
		case lateMs > 0:
			late = deferred
		default:
			onTimeWork += p.coreMs
			onTimeJobs = append(onTimeJobs, p)
		}
		p.setRank(late)
		if late != onTime {
			p.rank.key = int64(p.coreMs)
		}
		for cores > 0 && len(onTimeJobs) > 0 && float64(now)+onTimeWork/cores > float64(p.deadlineMs) {
			largest := 0
			for i := range onTimeJobs {
				if onTimeJobs[i].coreMs > onTimeJobs[largest].coreMs {
					largest = i
				}
			}
			moved := onTimeJobs[largest]
			onTimeWork -= moved.coreMs
			onTimeJobs = append(onTimeJobs[:largest], onTimeJobs[largest+1:]...)
			moved.rank.late, moved.rank.key = deferred, int64(moved.coreMs)
		}
	}
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
