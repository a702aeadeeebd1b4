package scheduler

import (
	"fmt"

	"github.com/verbenakeel/verbenakeel/record"
)

const (
	// outcomesKept is how many outcomes of attempts are judged per worker.
	outcomesKept = 8
	// minOutcomes is how many unexplained failures make a worker suspect.
	minOutcomes = 3
	// failsEverywhere is on how many healthy workers a job must fail, and nowhere succeed, to be blamed itself.
	failsEverywhere = 3
	// startRamp is how many unproven attempts a new worker may have; it doubles with each proven attempt.
	startRamp, maxRamp = 4, 64
	// maxAvoid bounds the workers that a task avoids after failures there.
	maxAvoid = 4
)

// jobHealth tells failures of a job from failures of workers. It outlives the job while a worker's outcomes name it.
type jobHealth struct {
	failedOn []*worker
	ok       int
}

// bad reports whether the job itself is to blame: it succeeded nowhere and failed on several workers that run other
// jobs well. Failures on workers that fail everything say nothing about the job.
func (h *jobHealth) bad() bool {
	if h.ok > 0 || len(h.failedOn) < failsEverywhere {
		return false
	}
	n := 0
	for _, w := range h.failedOn {
		if w.runsOthers(h) {
			n++
		}
	}
	return n >= failsEverywhere
}

// runsOthers reports whether the worker ran another job well a short time ago.
func (w *worker) runsOthers(h *jobHealth) bool {
	if w.probation {
		return false
	}
	for _, o := range w.outcomes {
		if !o.failed && o.job != h {
			return true
		}
	}
	return false
}

func (h *jobHealth) failed(w *worker) {
	for _, o := range h.failedOn {
		if o == w {
			return
		}
	}
	if len(h.failedOn) < 4*failsEverywhere {
		h.failedOn = append(h.failedOn, w)
	}
}

type outcome struct {
	job    *jobHealth
	failed bool
}

// judgeWorker folds the end of an attempt into the health of its worker.
func (s *State) judgeWorker(nowMs int64, w *worker, t *task, o record.Outcome) {
	j := t.job
	if j == nil || w == nil {
		return
	}
	switch o {
	case record.Finished, record.Checkpointed:
		j.health.ok++
		s.prove(t)
		w.note(outcome{j.health, false})
		if w.probation {
			s.passTrial(w)
		}
	case record.Failed, record.NotStarted:
		j.health.failed(w)
		t.avoidWorker(w.id)
		if j.health.bad() && !j.failAlert {
			j.failAlert = true
			s.alert(Alert{Code: AlertJobFailsEverywhere, Job: j.rec.ID, Task: t.id, Message: fmt.Sprintf(
				"tasks failed on %d workers that run other jobs and succeeded nowhere; check the job", len(j.health.failedOn))})
		}
		w.note(outcome{j.health, true})
		w.ramp = max(w.ramp/2, 1)
		s.suspect(nowMs, w)
	}
}

func (w *worker) note(o outcome) {
	if len(w.outcomes) == outcomesKept {
		copy(w.outcomes, w.outcomes[1:])
		w.outcomes = w.outcomes[:outcomesKept-1]
	}
	w.outcomes = append(w.outcomes, o)
}

// suspect puts a worker on probation when nearly all its newest attempts failed and the jobs are not to blame.
func (s *State) suspect(nowMs int64, w *worker) {
	if w.probation {
		// A failed trial doubles the time until the next one.
		w.trial = false
		w.probationMs = min(w.probationMs*2, s.cfg.ProbationMaxMs)
		w.trialMs = nowMs + w.probationMs
		w.passed = 0
		return
	}
	unexplained, ok := 0, 0
	var other *jobHealth
	clear := false
	for _, o := range w.outcomes {
		switch {
		case !o.failed:
			ok++
		case !o.job.bad():
			unexplained++
			// Failures of one job that succeeded nowhere do not tell the job's fault from the worker's.
			clear = clear || o.job.ok > 0 || other != nil && other != o.job
			other = o.job
		}
	}
	// Nearly everything: at most one success for four failures.
	if unexplained < minOutcomes || ok*4 > unexplained || !clear {
		return
	}
	w.probation, w.passed, w.trial = true, 0, false
	w.probationMs = s.cfg.ProbationMs
	w.trialMs = nowMs + w.probationMs
	s.alert(Alert{Code: AlertWorkerProbation, Worker: w.id,
		Message: fmt.Sprintf("%d of the last %d attempts failed and other workers run the same jobs; one small task is tried in %d s",
			unexplained, len(w.outcomes), w.probationMs/1000)})
}

// passTrial ends the probation after two successful trials.
func (s *State) passTrial(w *worker) {
	w.trial = false
	if w.passed++; w.passed >= 2 {
		w.probation, w.outcomes, w.ramp = false, nil, startRamp
		s.freeGen++
	}
}

// prove notes that an attempt runs well on its worker, which may then have more attempts that are not proven yet.
func (s *State) prove(t *task) {
	if !t.unproven || t.worker == nil {
		return
	}
	t.unproven = false
	t.worker.unproven--
	t.worker.ramp = min(t.worker.ramp*2, maxRamp)
	s.freeGen++
}

// proveByTime counts attempts that have run for ProveMs as seen to run, for workers that send no usage reports.
func (s *State) proveByTime(nowMs int64, w *worker) {
	for _, t := range w.tasks {
		if t.unproven && t.phase == phaseRunning && nowMs-t.startMs >= s.cfg.ProveMs {
			s.prove(t)
		}
	}
}

// avoidWorker makes the task prefer other workers.
func (t *task) avoidWorker(id string) {
	if len(t.avoid) == maxAvoid {
		t.avoid = t.avoid[1:]
	}
	t.avoid = append(t.avoid, id)
}

func (t *task) avoids(id string) bool {
	for _, a := range t.avoid {
		if a == id {
			return true
		}
	}
	return false
}

// excludeUnproven keeps a worker from being given many tasks before any of them was seen to run. A worker that fails
// everything at once looks empty and would attract all work.
func excludeUnproven(p *placing, w *worker) string {
	if w.probation {
		return p.excludeProbation(w)
	}
	if w.unproven >= w.ramp {
		p.s.proveByTime(p.nowMs, w)
	}
	if w.unproven >= w.ramp {
		return "it has to prove its newest tasks first"
	}
	return ""
}

// excludeProbation lets one small batch task at a time on a worker on probation.
func (p *placing) excludeProbation(w *worker) string {
	small := p.size.CPUMilli*4 <= w.capacity.CPUMilli && p.size.MemoryMB*4 <= w.capacity.MemoryMB && p.size.Accelerators == 0
	switch {
	case p.nowMs < w.trialMs || w.trial:
		return "it is on probation"
	case !small || p.job.rec.Kind != record.BatchJob || p.job.rec.Urgent || p.job.health.bad() || len(p.task.avoid) > 0:
		return "it is on probation and gets small tasks only"
	}
	return ""
}

// excludeAvoided keeps a task from a worker on which it failed.
func excludeAvoided(p *placing, w *worker) string {
	// A small fleet may have no other worker left.
	if p.s.up > 2*len(p.task.avoid) && p.task.avoids(w.id) {
		return "the task failed there"
	}
	return ""
}
