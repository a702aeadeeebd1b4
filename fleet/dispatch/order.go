package dispatch

import "sort"

const (
	// lateFactor times its objective is how late a job may end and still be worth something.
	lateFactor = 3
	// usableShare is the part of the free processors that work which waits is taken to get: the rest is lost to pauses
	// between tasks and to fillers that yield.
	usableShare = 0.85
)

// lateness is how a job stands to its objective.
type lateness int

const (
	// onTime jobs can still meet their objective beside those of earlier deadlines.
	onTime lateness = iota
	// crowdedOut jobs would make smaller ones late, or are late already.
	crowdedOut
	// worthless jobs are so late that nothing is earned by them.
	worthless
)

// standing is a job's place in the order of work.
type standing struct {
	priority int
	late     lateness
	// key orders jobs of one priority and lateness: by deadline if they are on time, else by what is left to do.
	key int64
}

func (a standing) before(b standing) bool {
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	if a.late != b.late {
		return a.late < b.late
	}
	return a.key < b.key
}

// left returns the work that is left of a job in core-milliseconds and the least time that it takes in milliseconds.
func (j *job) left() (coreMs float64, spanMs int64) {
	for _, st := range j.stages {
		if st.done == len(st.tasks) {
			continue
		}
		most := 0.0
		for i := range st.tasks {
			t := &st.tasks[i]
			if t.phase == done {
				continue
			}
			ms := float64(est(st.step)) * float64(100-t.percent) / 100
			coreMs += ms * float64(max(st.step.CPU, 1)) / 1000
			most = max(most, ms)
		}
		spanMs = max(spanMs, j.tailMs[st.index]-est(st.step)+int64(most))
	}
	return coreMs, spanMs
}

// deadline returns the boot time of the job's objective.
func (j *job) deadline() int64 { return j.dueMs + j.objectiveMs }

// standings decides which jobs are worked on first. Those of a priority are taken by their deadline. Where the room does
// not suffice for one of them, the job with the most work left makes way: the others are on time for it. This is the rule
// of Moore and Hodgson (1968) for the least number of late jobs on one machine, with the fleet's free processors taken
// for one machine.
func (s *State) standings(jobs []*job) map[*job]standing {
	order := make([]pendingJob, 0, len(jobs))
	for _, j := range jobs {
		p := pendingJob{job: j, priority: s.queue(j).Priority, deadlineMs: j.deadline()}
		p.coreMs, p.spanMs = j.left()
		order = append(order, p)
	}
	sort.SliceStable(order, func(i, k int) bool {
		if order[i].priority != order[k].priority {
			return order[i].priority < order[k].priority
		}
		return order[i].deadlineMs < order[k].deadlineMs
	})
	result := make(map[*job]standing, len(jobs))
	room := s.roomForWork()
	taken := 0.0 // core-milliseconds of jobs that are on time so far
	var kept []pendingJob
	for _, p := range order {
		late := onTime
		switch over := s.now.BootMs + p.spanMs - p.deadlineMs; {
		case p.job.def.Lasting():
			// Lasting work has no end by which it could be late.
		case over > (lateFactor-1)*p.job.objectiveMs:
			late = worthless
		case over > 0:
			late = crowdedOut
		default:
			taken += p.coreMs
			kept = append(kept, p)
		}
		result[p.job] = p.standing(late)
		for room > 0 && len(kept) > 0 && float64(s.now.BootMs)+taken/room > float64(p.deadlineMs) {
			worst := 0
			for i := range kept {
				if kept[i].coreMs > kept[worst].coreMs {
					worst = i
				}
			}
			out := kept[worst]
			taken -= out.coreMs
			kept = append(kept[:worst], kept[worst+1:]...)
			result[out.job] = out.standing(crowdedOut)
		}
	}
	return result
}

// pendingJob is a job with what its standing rests on.
type pendingJob struct {
	job        *job
	priority   int
	deadlineMs int64
	coreMs     float64
	spanMs     int64
}

func (p *pendingJob) standing(late lateness) standing {
	st := standing{priority: p.priority, late: late, key: p.deadlineMs}
	if late != onTime {
		st.key = int64(p.coreMs)
	}
	return st
}

// roomForWork returns the cores that work which ends can use.
func (s *State) roomForWork() float64 {
	room := 0.0
	for _, w := range s.order {
		if !s.takesWork(w) {
			continue
		}
		free := w.info.CPU
		for _, t := range w.tasks {
			if t.stage.step.Lasting {
				free -= t.stage.step.CPU
			}
		}
		room += float64(max(free, 0)) / 1000 * usableShare
	}
	return room
}
