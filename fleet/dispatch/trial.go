package dispatch

import (
	"maps"
	"slices"

	"github.com/verbenakeel/verbenakeel/fleet/estimate"
)

// trial holds what a trial of a placement changes: the lists that a trial job is added to, and the caches that placement code
// fills. Caches are restored as well, as a value that is computed earlier is also replaced earlier, which may change a
// decision.
type trial struct {
	state   State
	jobs    []jobCaches
	stages  []stageCaches
	workers []*bestEffortFit
}

type jobCaches struct {
	job             *job
	rank            rank
	remaining       remaining
	remainingMs     int64
	objectiveMs     int64
	remainingPathMs []int64
	servedRecorded  bool
	profile         loadProfile
}

type stageCaches struct {
	stage      *stage
	duration   estimate.Estimate
	durationMs int64
}

// beginTrial saves the state. Until end, the caller may rank jobs, compare tasks with workers and open stages of a job that is
// not in State.jobs. It may reserve nothing.
func (s *State) beginTrial() *trial {
	tr := &trial{state: *s}
	for _, j := range s.jobs {
		tr.jobs = append(tr.jobs, jobCaches{j, j.rank, j.remaining, j.remainingMs, j.objectiveMs, j.remainingPathMs, j.servedRecorded, j.load.profile})
		for _, st := range j.stages {
			tr.stages = append(tr.stages, stageCaches{stage: st, duration: st.duration, durationMs: st.durationMs})
		}
	}
	for _, w := range s.sortedWorkers {
		tr.workers = append(tr.workers, w.fit)
		if w.fit != nil {
			fit := *w.fit
			fit.coefficients = maps.Clone(fit.coefficients)
			w.fit = &fit
		}
	}
	s.stages = slices.Clone(s.stages)
	s.readyStages, s.unfinishedJobs = nil, nil
	s.interference.predictions = predictionCache{maps.Clone(s.interference.predictions.comparisons), maps.Clone(s.interference.predictions.coefficients)}
	s.sizes = make(map[string]*sizeBalance, len(tr.state.sizes))
	for name, b := range tr.state.sizes {
		balance := *b
		balance.sizes = slices.Clone(b.sizes)
		s.sizes[name] = &balance
	}
	return tr
}

// end restores the state.
func (tr *trial) end(s *State) {
	for i := range tr.jobs {
		c := &tr.jobs[i]
		j := c.job
		j.rank, j.remaining, j.remainingMs, j.objectiveMs, j.remainingPathMs = c.rank, c.remaining, c.remainingMs, c.objectiveMs, c.remainingPathMs
		j.servedRecorded, j.load.profile = c.servedRecorded, c.profile
	}
	for i := range tr.stages {
		c := &tr.stages[i]
		c.stage.duration, c.stage.durationMs = c.duration, c.durationMs
	}
	for i, w := range tr.state.sortedWorkers {
		w.fit = tr.workers[i]
	}
	*s = tr.state
}
