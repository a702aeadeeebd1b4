package scheduler

import (
	"fmt"

	"github.com/verbenakeel/verbenakeel/record"
)

// admit checks the jobs that wait for admission and appends refusals to out.
func (s *State) admit(nowMs int64, out []Decision) []Decision {
	kept := s.refused[:0]
	for _, j := range s.refused {
		if s.jobs[j.rec.ID] != j || j.cancelled {
			continue
		}
		if nowMs-j.refusedMs >= s.cfg.RepeatMs {
			j.refusedMs = nowMs
			out = append(out, RefuseJob{record.Refusal{Job: j.rec.ID, Reason: j.refusal}})
		}
		kept = append(kept, j)
	}
	s.refused = kept
	for n := min(len(s.admissions), s.cfg.MaxAdmissions); n > 0; n-- {
		j := s.admissions[0]
		s.admissions[0] = nil
		s.admissions = s.admissions[1:]
		if s.jobs[j.rec.ID] != j || j.cancelled {
			continue
		}
		reason, wait := s.checkAdmission(nowMs, j)
		switch {
		case reason != "":
			j.refusal, j.refusedMs, j.pending = reason, nowMs, false
			s.refused = append(s.refused, j)
			out = append(out, RefuseJob{record.Refusal{Job: j.rec.ID, Reason: reason}})
		case wait != "":
			j.why = waitReason{text: wait}
			s.admissions = append(s.admissions, j)
		default:
			j.admitted, j.pending = true, false
			s.queueJob(nowMs, j)
			s.watchDeadline(j)
		}
	}
	return out
}

// submitLagMs is the longest expected time between the submission of a job at an entry and its arrival here.
const submitLagMs = 5_000

// checkAdmission returns why a job can never run, or why that cannot be decided yet.
func (s *State) checkAdmission(nowMs int64, j *job) (refusal, wait string) {
	if r := malformed(&j.rec); r != "" {
		return "malformed job: " + r, ""
	}
	for _, t := range j.tasks {
		if t.attempt > 0 {
			// A job that already ran was admitted before; it is not refused after a change of decider.
			return "", ""
		}
	}
	// Deadlines are checked as of the submission, so that a new decider does not refuse a job that its predecessor
	// accepted.
	asOf := nowMs
	if j.rec.SubmittedMs > 0 {
		asOf = min(nowMs, j.rec.SubmittedMs+submitLagMs)
	}
	c := j.cust
	switch {
	case c.contract == nil:
		return fmt.Sprintf("unknown customer %q: publish its contract first", j.rec.Customer), ""
	case c.contract.MaxTasks <= 0:
		return "the contract's batch quota is zero (max_tasks)", ""
	case j.rec.Kind != record.ServiceJob && c.queuedJobs >= c.contract.MaxQueued:
		return fmt.Sprintf("the contract allows %d queued jobs and as many wait (max_queued)", c.contract.MaxQueued), ""
	case !j.rec.Size.Fits(c.burst()):
		return "one task is larger than the contract's burst share", ""
	case j.rec.DeadlineMs > 0 && j.rec.DeadlineMs <= asOf:
		return "the deadline has passed", ""
	case j.rec.DeadlineMs > 0 && asOf+j.shortestRunMs() > j.rec.DeadlineMs:
		return fmt.Sprintf("the deadline is in %d s and tasks of this class never ran shorter than %d s",
			(j.rec.DeadlineMs-asOf)/1000, j.shortestRunMs()/1000), ""
	}
	if !s.fitsFleet(nowMs, j.rec.Size) {
		if s.firstWorkerMs == 0 || nowMs-s.firstWorkerMs < s.cfg.SettleMs {
			return "", "no worker known so far is large enough; the fleet is still joining"
		}
		return "no worker is large enough for one task", ""
	}
	return "", ""
}

// malformed returns the first invalid field of a job; empty if all are valid.
func malformed(r *record.Job) string {
	switch {
	case r.Customer == "":
		return "customer is empty"
	case r.Kind != record.BatchJob && r.Kind != record.StandingJob && r.Kind != record.ServiceJob:
		return fmt.Sprintf("kind %q is not batch, standing or service", r.Kind)
	case r.Tasks < 1:
		return "tasks is below 1"
	case !validSize(r.Size):
		return "size is negative or too large"
	case r.Size == (record.Resources{}):
		return "size is zero"
	case r.RunMs < 0 || r.DeadlineMs < 0:
		return "run time or deadline is negative"
	}
	return ""
}
