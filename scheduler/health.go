package scheduler

import (
	"fmt"

	"github.com/verbenakeel/verbenakeel/record"
)

const (
	// maxOutcomes is the number of newest outcomes that are kept and evaluated per worker.
	maxOutcomes = 8
	// minUnexplainedFailures is the number of failures not caused by their jobs from which a worker is suspect.
	minUnexplainedFailures = 3
	// minFailedWorkers is the number of healthy workers on which a job must fail, without any success, to count as the
	// cause of its failures.
	minFailedWorkers = 3
	// initialStartWindow is how many unverified attempts a new worker may have (slow start). The window doubles with
	// each verified attempt up to maxStartWindow.
	initialStartWindow, maxStartWindow = 4, 64
	// maxAvoidedWorkers bounds the workers that a task avoids after failures there.
	maxAvoidedWorkers = 4
)

// jobHealth distinguishes failures caused by a job from failures caused by workers. It outlives the job while the
// outcomes of a worker refer to it.
type jobHealth struct {
	failedOn []*worker
	ok       int
}

// atFault reports whether the job causes its failures: it succeeded nowhere and failed on several workers on which
// other jobs succeed. Failures on workers that fail all jobs are no evidence against the job.
func (h *jobHealth) atFault() bool {
	if h.ok > 0 || len(h.failedOn) < minFailedWorkers {
		return false
	}
	n := 0
	for _, w := range h.failedOn {
		if w.succeedsWithOthers(h) {
			n++
		}
	}
	return n >= minFailedWorkers
}

// succeedsWithOthers reports whether an attempt of another job succeeded on the worker recently.
func (w *worker) succeedsWithOthers(h *jobHealth) bool {
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

func (h *jobHealth) recordFailure(w *worker) {
	for _, o := range h.failedOn {
		if o == w {
			return
		}
	}
	if len(h.failedOn) < 4*minFailedWorkers {
		h.failedOn = append(h.failedOn, w)
	}
}

type outcome struct {
	job    *jobHealth
	failed bool
}

// recordOutcome updates the health of a worker and of a job with the end of an attempt.
func (s *State) recordOutcome(nowMs int64, w *worker, t *task, o record.Outcome) {
	j := t.job
	if j == nil || w == nil {
		return
	}
	switch o {
	case record.Finished, record.Checkpointed:
		j.health.ok++
		s.markVerified(t)
		w.addOutcome(outcome{j.health, false})
		if w.probation {
			s.passTrial(w)
		}
	case record.Failed, record.NotStarted:
		j.health.recordFailure(w)
		t.avoidWorker(w.id)
		if j.health.atFault() && !j.failAlert {
			j.failAlert = true
			s.alert(Alert{Code: AlertJobFailsEverywhere, Job: j.rec.ID, Task: t.id, Message: fmt.Sprintf(
				"tasks failed on %d workers that run other jobs and succeeded nowhere; check the job", len(j.health.failedOn))})
		}
		w.addOutcome(outcome{j.health, true})
		w.startWindow = max(w.startWindow/2, 1)
		s.checkProbation(nowMs, w)
	}
}

func (w *worker) addOutcome(o outcome) {
	if len(w.outcomes) == maxOutcomes {
		copy(w.outcomes, w.outcomes[1:])
		w.outcomes = w.outcomes[:maxOutcomes-1]
	}
	w.outcomes = append(w.outcomes, o)
}

// checkProbation puts a worker on probation when nearly all its newest attempts failed and the jobs did not cause it.
func (s *State) checkProbation(nowMs int64, w *worker) {
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
	conclusive := false
	for _, o := range w.outcomes {
		switch {
		case !o.failed:
			ok++
		case !o.job.atFault():
			unexplained++
			// Failures of a single job that succeeded nowhere may be caused by the job or by the worker.
			conclusive = conclusive || o.job.ok > 0 || other != nil && other != o.job
			other = o.job
		}
	}
	// A worker needs at least four unexplained failures per success.
	if unexplained < minUnexplainedFailures || ok*4 > unexplained || !conclusive {
		return
	}
	w.probation, w.passed, w.trial = true, 0, false
	w.probationMs = s.cfg.ProbationMs
	w.trialMs = nowMs + w.probationMs
	s.alert(Alert{Code: AlertWorkerProbation, Worker: w.id,
		Message: fmt.Sprintf("%d of the last %d attempts failed and other workers run the same jobs; one small task is tried in %d s",
			unexplained, len(w.outcomes), w.probationMs/1000)})
}

// passTrial counts a successful trial. Two of them in a row end the probation.
func (s *State) passTrial(w *worker) {
	w.trial = false
	if w.passed++; w.passed >= 2 {
		w.probation, w.outcomes, w.startWindow = false, nil, initialStartWindow
		s.capacityGen++
	}
}

// markVerified records that an attempt runs on its worker, which may then have more unverified attempts.
func (s *State) markVerified(t *task) {
	if !t.unverified || t.worker == nil {
		return
	}
	t.unverified = false
	t.worker.unverified--
	t.worker.startWindow = min(t.worker.startWindow*2, maxStartWindow)
	s.capacityGen++
}

// verifyByAge marks the attempts that have run for VerifyMs as verified, for workers that send no usage reports.
func (s *State) verifyByAge(nowMs int64, w *worker) {
	for _, t := range w.tasks {
		if t.unverified && t.phase == phaseRunning && nowMs-t.startMs >= s.cfg.VerifyMs {
			s.markVerified(t)
		}
	}
}

// avoidWorker makes the task prefer workers other than this one.
func (t *task) avoidWorker(id string) {
	if len(t.avoidedWorkers) == maxAvoidedWorkers {
		t.avoidedWorkers = t.avoidedWorkers[1:]
	}
	t.avoidedWorkers = append(t.avoidedWorkers, id)
}

func (t *task) avoids(id string) bool {
	for _, a := range t.avoidedWorkers {
		if a == id {
			return true
		}
	}
	return false
}

// excludeUnverified bounds the tasks that are started on a worker before any of them is known to run. A worker on which
// every task fails at once has free capacity and would otherwise attract all work.
func excludeUnverified(p *placement, w *worker) string {
	if w.probation {
		return p.excludeProbation(w)
	}
	if w.unverified >= w.startWindow {
		p.s.verifyByAge(p.nowMs, w)
	}
	if w.unverified >= w.startWindow {
		return "it has to prove its newest tasks first"
	}
	return ""
}

// excludeProbation admits one small batch task at a time to a worker on probation.
func (p *placement) excludeProbation(w *worker) string {
	small := p.size.CPUMilli*4 <= w.capacity.CPUMilli && p.size.MemoryMB*4 <= w.capacity.MemoryMB && p.size.Accelerators == 0
	switch {
	case p.nowMs < w.trialMs || w.trial:
		return "it is on probation"
	case !small || p.job.rec.Kind != record.BatchJob || p.job.rec.Urgent || p.job.health.atFault() || len(p.task.avoidedWorkers) > 0:
		return "it is on probation and gets small tasks only"
	}
	return ""
}

// excludeAvoided excludes workers on which the task failed.
func excludeAvoided(p *placement, w *worker) string {
	// A small fleet may have no other worker left.
	if p.s.workersUp > 2*len(p.task.avoidedWorkers) && p.task.avoids(w.id) {
		return "the task failed there"
	}
	return ""
}
