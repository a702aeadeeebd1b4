package dispatch

import (
	"fmt"

	"github.com/verbenakeel/verbenakeel/errdefs"
	"github.com/verbenakeel/verbenakeel/fleet/work"
)

const (
	// maxExplainedPairs bounds the pairs of a step and a worker that one answer compares, and so the time that it takes from the
	// decisions. Later steps are not compared.
	maxExplainedPairs = 4096
	// waitSpread is the part by which an expected wait may be wrong in either direction, as in admission.
	waitSpread = 0.5
)

// Query asks where a job would go if it were submitted now.
type Query struct {
	// Job is the job with its queue. It is not stored. A start time and repetitions are ignored.
	Job *work.Job
	// WaitMs is the published wait of new work of this kind in milliseconds; 0 if none is published.
	WaitMs int64
	// Workers makes the answer list each worker.
	Workers bool
}

// Explanation tells where a job would go if it were submitted now, and why.
type Explanation struct {
	Order OrderPlace `json:"order"`
	// Steps holds the steps that were compared with the workers; later ones are missing if the job or the fleet is large.
	Steps []StepPlaces `json:"steps"`
	// StepsOmitted counts the missing steps.
	StepsOmitted int `json:"steps_omitted,omitempty"`
	// Times tells when the job is expected to start and end.
	Times ExpectedTimes `json:"times"`
	// KnownWorkers counts the workers, SilentWorkers those of them that are unreachable. OldestReportMs is the age in
	// milliseconds of the oldest report of the others.
	KnownWorkers   int   `json:"known_workers"`
	SilentWorkers  int   `json:"silent_workers"`
	OldestReportMs int64 `json:"oldest_report_ms"`
}

// OrderPlace is the place of a job in the order of waiting work.
type OrderPlace struct {
	Priority int `json:"priority"`
	// Class is the class within the priority, and Key orders jobs of a class, the lowest first: a deadline in milliseconds of
	// the decider's clock, or for classes that may not be served a ratio of work to loss.
	Class string `json:"class"`
	Key   int64  `json:"key"`
	// JobsBefore and TasksBefore count the waiting work that is placed earlier, CoreMsBefore its remaining work in
	// core-milliseconds.
	JobsBefore   int   `json:"jobs_before"`
	TasksBefore  int   `json:"tasks_before"`
	CoreMsBefore int64 `json:"core_ms_before"`
	// ObjectiveMs is the objective of the job in milliseconds from its submission.
	ObjectiveMs int64 `json:"objective_ms"`
	// Held is true while the decider is too far behind to start jobs of this class.
	Held bool `json:"held,omitempty"`
}

// StepPlaces tells which workers could take a task of a step now.
type StepPlaces struct {
	Step int `json:"step"`
	// After names the steps that have to end first; the answer is for now all the same.
	After []int `json:"after,omitempty"`
	// Gang is true if all tasks have to start together. Their places are then not named.
	Gang bool `json:"gang,omitempty"`
	// Able counts the workers that could take a task now, Slow those of them on which tasks take longer. OffRack counts those
	// that are not on the rack that the step prefers.
	Able    int `json:"able"`
	Slow    int `json:"slow"`
	OffRack int `json:"off_rack"`
	// Obstacles counts the other workers by what keeps them from it.
	Obstacles map[Obstacle]int `json:"obstacles,omitempty"`
	// Worker is the instance that the first task would go to unless waiting work before it takes the room; empty if there is none
	// or the job is held.
	Worker string `json:"worker,omitempty"`
	// TaskMs is how long a task is expected to take, TaskSpreadMs by how much more one at a standard deviation takes. Learned
	// is the number of observations it is based on; 0 if it is the declared duration. LearnedAgeMs is the age of the newest.
	TaskMs       int64   `json:"task_ms"`
	TaskSpreadMs int64   `json:"task_spread_ms"`
	Learned      float64 `json:"learned"`
	LearnedAgeMs int64   `json:"learned_age_ms,omitempty"`
	// Workers lists the workers if the query asks for them.
	Workers []WorkerPlace `json:"workers,omitempty"`
}

// WorkerPlace tells whether a worker could take a task of a step now.
type WorkerPlace struct {
	Instance string `json:"instance"`
	// Obstacle is what keeps the worker from it; empty if it could take a task. Of several, the first examined is named.
	Obstacle Obstacle `json:"obstacle,omitempty"`
	// Cost is the cost by which able workers are compared, the lowest first. It is relative to the duration of the task.
	Cost float64 `json:"cost,omitempty"`
	Slow bool    `json:"slow,omitempty"`
	Zone string  `json:"zone,omitempty"`
	Rack string  `json:"rack,omitempty"`
	// ReportMs is the age of its newest report in milliseconds.
	ReportMs int64 `json:"report_ms"`
}

// ExpectedTimes holds expected times in milliseconds from now.
type ExpectedTimes struct {
	// Known is false if there is no room and nothing tells how long that lasts; the times are then 0.
	Known bool `json:"known"`
	// Basis says what the wait is derived from.
	Basis        string `json:"basis"`
	StartMs      int64  `json:"start_ms"`
	StartFromMs  int64  `json:"start_from_ms"`
	StartUntilMs int64  `json:"start_until_ms"`
	// EndMs is 0 for a long-running job, which has no end.
	EndMs      int64 `json:"end_ms"`
	EndFromMs  int64 `json:"end_from_ms"`
	EndUntilMs int64 `json:"end_until_ms"`
}

// latenessNames holds the classes of a priority as operators see them.
var latenessNames = map[lateness]string{dueFirst: "due_first", onTime: "on_time", yielding: "yielding", deferred: "deferred", tooLate: "too_late",
	notBegun: "not_begun"}

// Explain tells where a job would go if it were submitted now. It uses the code that places tasks, with the job added for the
// time of the call, and leaves the state as it was. An error is of kind Invalid and names the field at fault.
func (s *State) Explain(now Now, q Query) (*Explanation, error) {
	if err := work.Check(q.Job); err != nil {
		return nil, fmt.Errorf("explain a job: %w", err)
	}
	for i := range q.Job.Steps {
		if n := len(q.Job.Steps[i].DependsOn); n > work.MaxSteps {
			return nil, fmt.Errorf("explain a job: %w", errdefs.Field(fmt.Sprintf("steps[%d].depends_on", i), fmt.Sprintf("has %d entries", n), "name each earlier step once"))
		}
	}
	if s.jobs[q.Job.ID] != nil {
		return nil, fmt.Errorf("explain a job: %w", errdefs.Field("id", q.Job.ID, "choose an id that no accepted job has"))
	}
	trial := s.beginTrial()
	defer trial.end(s)
	s.now = now
	s.interference.refresh(now.BootMs)
	def := *q.Job
	def.Repeat, def.IntervalMs, def.StartAtMs = 0, 0, 0
	j := &job{def: &def, dueMs: now.BootMs}
	j.computeObjective(func(i int) int64 { return s.stepMs(j, i) })
	s.classifySize(j)
	s.openOccurrence(j)
	e := &Explanation{Order: s.explainOrder(j)}
	compared := 0
	for _, st := range j.stages {
		if compared += len(s.sortedWorkers); compared > maxExplainedPairs && len(e.Steps) > 0 {
			e.StepsOmitted = len(j.stages) - len(e.Steps)
			break
		}
		e.Steps = append(e.Steps, s.explainStep(st, q.Workers, e.Order.Held))
	}
	for _, w := range s.sortedWorkers {
		e.KnownWorkers++
		if s.unavailability(w) == ObstacleUnreachable {
			e.SilentWorkers++
			continue
		}
		e.OldestReportMs = max(e.OldestReportMs, now.BootMs-w.lastReportMs)
	}
	e.Times = s.explainTimes(j, e, q.WaitMs)
	return e, nil
}

// explainOrder ranks a new job among the unfinished ones.
func (s *State) explainOrder(j *job) OrderPlace {
	jobs, waitingTasks := []*job(nil), map[*job]int{}
	listed := map[*job]bool{}
	s.readyStages = nil
	for _, st := range s.stages {
		if st.job.state.Final() || st.done == len(st.tasks) {
			continue
		}
		if !listed[st.job] {
			listed[st.job] = true
			jobs = append(jobs, st.job)
		}
		if st.waiting > 0 && st.ready(s.now.BootMs) {
			s.readyStages = append(s.readyStages, st)
			waitingTasks[st.job] += st.waiting
		}
	}
	s.rankJobs(jobs)
	p := OrderPlace{Priority: j.rank.priority, Class: latenessNames[j.rank.late], Key: j.rank.key, ObjectiveMs: j.objectiveMs,
		Held: s.shedsStarts(j.stages[0])}
	before := 0.0
	for _, other := range jobs {
		if other != j && waitingTasks[other] > 0 && other.rank.compare(j.rank) <= 0 {
			p.JobsBefore++
			p.TasksBefore += waitingTasks[other]
			before += other.remaining.coreMs
		}
	}
	p.CoreMsBefore = int64(before)
	return p
}

// explainStep compares a step with all workers.
func (s *State) explainStep(st *stage, list, held bool) StepPlaces {
	p := StepPlaces{Step: st.index, After: st.step.DependsOn, Gang: st.step.Gang, Obstacles: map[Obstacle]int{}}
	p.TaskMs = s.taskMs(st)
	p.TaskSpreadMs, p.Learned = st.duration.SpreadMs, st.duration.Weight
	if st.duration.AtMs > 0 {
		p.LearnedAgeMs = s.now.BootMs - st.duration.AtMs
	}
	t := &task{stage: st}
	for _, w := range s.sortedWorkers {
		cost, o := s.assess(t, w)
		slow := w.health.slowdownFactor() > 1
		if o != noObstacle {
			p.Obstacles[o]++
		} else {
			p.Able++
			if slow {
				p.Slow++
			}
			if st.step.Rack != "" && st.step.Rack != w.rack {
				p.OffRack++
			}
		}
		if list {
			row := WorkerPlace{Instance: w.instance, Obstacle: o, Cost: cost, Slow: slow, Rack: w.rack, ReportMs: s.now.BootMs - w.lastReportMs}
			if w.info != nil {
				row.Zone = w.info.Zone
			}
			p.Workers = append(p.Workers, row)
		}
	}
	if !st.step.Gang && !held {
		if w := s.findCandidates(st).take(&st.tasks[0]); w != nil {
			p.Worker = w.instance
		}
	}
	return p
}

// explainTimes returns the expected start and end of a job.
func (s *State) explainTimes(j *job, e *Explanation, publishedMs int64) ExpectedTimes {
	room := !e.Order.Held
	for i := range e.Steps {
		if p := &e.Steps[i]; len(p.After) == 0 && p.Able == 0 {
			room = false
		}
	}
	var r ExpectedTimes
	cores := s.poolCapacity.reserved
	if j.remaining.bestEffortCoreMs > j.remaining.coreMs/2 {
		cores = s.poolCapacity.bestEffort
	}
	switch {
	case publishedMs > 0:
		r = ExpectedTimes{Known: true, Basis: "published wait", StartMs: publishedMs}
	case room && e.Order.TasksBefore == 0:
		return j.withEnd(ExpectedTimes{Known: true, Basis: "room now"}, s)
	case e.Order.CoreMsBefore > 0 && cores > 0:
		r = ExpectedTimes{Known: true, Basis: "work before it", StartMs: int64(float64(e.Order.CoreMsBefore) / cores)}
	default:
		return ExpectedTimes{Basis: "no room, and no wait is published"}
	}
	r.StartFromMs, r.StartUntilMs = int64(float64(r.StartMs)*(1-waitSpread)), int64(float64(r.StartMs)*(1+waitSpread))
	return j.withEnd(r, s)
}

// withEnd adds the end to the expected start, by the longest chain of dependent steps. The durations of the steps of a job err
// alike, so that their spreads add up.
func (j *job) withEnd(r ExpectedTimes, s *State) ExpectedTimes {
	if j.def.LongRunning() {
		return r
	}
	ends, longs, shorts := make([]int64, len(j.stages)), make([]int64, len(j.stages)), make([]int64, len(j.stages))
	var chain, long, short int64
	for i, st := range j.stages {
		for _, d := range st.step.DependsOn {
			ends[i], longs[i], shorts[i] = max(ends[i], ends[d]), max(longs[i], longs[d]), max(shorts[i], shorts[d])
		}
		ms := max(s.taskMs(st), 1)
		ends[i] += ms
		longs[i] += ms + st.duration.SpreadMs
		shorts[i] += int64(float64(ms) / (1 + float64(st.duration.SpreadMs)/float64(ms)))
		chain, long, short = max(chain, ends[i]), max(long, longs[i]), max(short, shorts[i])
	}
	r.EndMs, r.EndFromMs, r.EndUntilMs = r.StartMs+chain, r.StartFromMs+short, r.StartUntilMs+long
	return r
}
