package dispatch

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/verbenakeel/verbenakeel/fleet/work"
)

const (
	// maxAllOpenTasks bounds the tasks of the open occurrences of all jobs with more occurrences than may be open, so that many such jobs
	// together take no more memory than a few: 12 MB with one task a step. Each may have one occurrence open in any case.
	maxAllOpenTasks = 5 * work.MaxOpenTasks
	// minRefill and maxRefill bound the occurrences of a job that are opened or resumed after a placement pass, and thereby the cost of one.
	minRefill, maxRefill = 10, 200
	// blockedMs is how long a step counts as blocked after no worker was found for it, if no open occurrence waits in it any more.
	blockedMs = 500
	// adviserTurnMs is the time between two refills of a job with an adviser that resume suspended occurrences: the adviser is asked anew
	// about each.
	adviserTurnMs = 250
	// minSuspendedLogMs is the time between the first two log entries on the suspended occurrences of a job. It doubles up to
	// maxSuspendedLogMs.
	minSuspendedLogMs, maxSuspendedLogMs = 2000, 64_000
)

// window is what refill knows of a windowed job.
type window struct {
	// triedMs is when a task of each step was last compared with the workers, blockedUntilMs until when the step counts as blocked.
	triedMs, blockedUntilMs []int64
	// batch is how many occurrences the next refill may open.
	batch int
	// next is the suspended occurrence from which on refill continues for a job with an adviser, turnMs when it last resumed some.
	next   int
	turnMs int64
	// loggedMs is when the suspended occurrences were last logged, logPauseMs the pause after that.
	loggedMs, logPauseMs int64
}

// recordTry records that a stage of a windowed job is compared with the workers.
func (s *State) recordTry(st *stage) {
	st.triedPass = s.pass
	if st.job.window != nil {
		st.job.window.triedMs[st.index] = s.now.BootMs
	}
}

// maxOpenOf returns the bound on the open occurrences of a job by itself.
func (s *State) maxOpenOf(def *work.Job) int {
	if limit := s.options.MaxOpenOccurrences; limit > 0 {
		return min(def.MaxOpen(), limit)
	}
	return def.MaxOpen()
}

// sharedMaxOpen returns the bound on the open occurrences of a job that may have so many open tasks.
func (s *State) sharedMaxOpen(def *work.Job, openTasks int) int {
	return min(max(openTasks/def.Tasks(), 1), s.maxOpenOf(def))
}

// sharingJobs returns how many windowed jobs share maxAllOpenTasks, and how many more tasks they may open together. Long-running jobs have a
// bound of their own, as their occurrences do not end.
func (s *State) sharingJobs() (jobs, left int) {
	left = maxAllOpenTasks
	for _, j := range s.windowedJobs {
		if !j.def.LongRunning() {
			jobs++
			left -= len(j.open) * j.def.Tasks()
		}
	}
	return jobs, left
}

// initialMaxOpen returns the bound for a job that is being loaded, until the next refill.
func (s *State) initialMaxOpen(def *work.Job) int {
	if def.LongRunning() {
		return s.maxOpenOf(def)
	}
	jobs, left := s.sharingJobs()
	return s.sharedMaxOpen(def, min(left, maxAllOpenTasks/(jobs+1)))
}

// shareOpenTasks sets the bounds of all jobs that share maxAllOpenTasks: the same number of tasks for each, but no more than others have left.
func (s *State) shareOpenTasks() {
	jobs, left := s.sharingJobs()
	for _, j := range s.windowedJobs {
		if j.def.LongRunning() {
			continue
		}
		open := len(j.open) * j.def.Tasks()
		j.maxOpen = s.sharedMaxOpen(j.def, min(maxAllOpenTasks/jobs, open+max(left, 0)))
		left -= max(j.maxOpen*j.def.Tasks()-open, 0)
	}
}

// refill lets windowed jobs go on of which all open occurrences wait. An occurrence that waits in steps for which the last placement pass
// found no worker is suspended, if another one has its turn in a step that is not known to be blocked. The tasks of a step are alike in
// all occurrences, so that one that stays open shows when there is room for the others.
func (s *State) refill() {
	kept := s.windowedJobs[:0]
	for _, j := range s.windowedJobs {
		if j.state.Final() {
			continue
		}
		kept = append(kept, j)
	}
	clear(s.windowedJobs[len(kept):])
	s.windowedJobs = kept
	s.shareOpenTasks()
	for _, j := range kept {
		if len(j.suspended.ranges) > 0 || len(j.open) > j.maxOpen || len(j.open) == j.maxOpen && s.nextIsDue(j) {
			s.refillJob(j)
		}
	}
}

// refillJob opens and resumes occurrences of one job.
func (s *State) refillJob(j *job) {
	blocked, candidates := s.waitingOccurrences(j)
	wanted := s.occurrencesToOpen(j, blocked)
	before := len(j.open)
	// makeRoom suspends occurrences until at most most are open, and reports whether they are.
	makeRoom := func(most int) bool {
		for ; len(j.open) > most && len(candidates) > 0; candidates = candidates[1:] {
			s.suspend(j, candidates[0])
		}
		return len(j.open) <= most
	}
	makeRoom(j.maxOpen)
	opened := 0
	for _, k := range wanted {
		if !makeRoom(j.maxOpen - 1) {
			break
		}
		s.openOrResume(j, k)
		opened++
	}
	if len(j.open) < before+opened {
		s.dropRemovedStages()
	}
	if opened > 0 {
		s.placePending = true
		s.logSuspended(j)
	}
}

// waitingOccurrences returns the steps that are blocked, and the open occurrences that may be suspended, in this order: first those
// beyond one for each blocked step, the newest first, then the others.
func (s *State) waitingOccurrences(j *job) (blocked stepSet, candidates []int) {
	w := j.window
	advised := s.queue(j).Advice != nil
	now := s.now.BootMs
	var spare, checkpointed, witnesses []int
	stuckFresh := false
	steps := len(j.def.Steps)
	for n, k := range j.open {
		stages := j.stages[n*steps : (n+1)*steps]
		ready, stuck := s.stuckIn(stages, advised)
		stuckFresh = stuckFresh || stuck && stages[0].fresh
		stages[0].fresh = false
		switch {
		case !stuck:
		case ready.without(blocked) != 0 && !advised:
			witnesses = append(witnesses, k)
			blocked |= ready
		case j.hasCheckpoint(k):
			checkpointed = append(checkpointed, k)
		default:
			spare = append(spare, k)
		}
	}
	if !advised {
		blocked.each(func(i int) { w.blockedUntilMs[i] = now + blockedMs })
		for i, until := range w.blockedUntilMs {
			if now < until {
				blocked = blocked.with(i)
			}
		}
		slices.Reverse(spare)
	}
	if stuckFresh {
		w.batch = max(w.batch/2, minRefill)
	} else {
		w.batch = min(w.batch*2, maxRefill)
	}
	return blocked, slices.Concat(spare, checkpointed, witnesses)
}

// stuckIn returns the steps in which an open occurrence waits, and whether it goes on in none: it is due, none of its tasks has an active
// run, and the last placement pass found no worker for any of these steps.
func (s *State) stuckIn(stages []*stage, advised bool) (ready stepSet, stuck bool) {
	for i, st := range stages {
		if st.done+st.waiting < len(st.tasks) {
			return 0, false
		}
		if st.waiting == 0 || !st.ready(s.now.BootMs) {
			continue
		}
		if st.triedPass != s.pass || advised && !st.noneToAsk {
			return 0, false
		}
		ready = ready.with(i)
	}
	return ready, ready != 0
}

// occurrencesToOpen returns occurrences that are not open and have their turn in a step that is not blocked, those first whose steps were
// compared with the workers longest ago, and then in their order. The steps of a job with an adviser may run on other workers in each
// occurrence, so that all have their turn there.
func (s *State) occurrencesToOpen(j *job, blocked stepSet) []int {
	limit := j.window.batch
	due := j.opened
	for due < j.def.Occurrences() && due < j.opened+limit && s.occurrenceDue(j, due)-s.now.BootMs <= openAheadMs {
		due++
	}
	if s.queue(j).Advice != nil {
		return s.nextInTurn(j, due, limit)
	}
	type candidate struct {
		from, to int
		triedMs  int64
	}
	var ranges []candidate
	consider := func(from, to int, ready stepSet) {
		if ready.without(blocked) == 0 || from >= to {
			return
		}
		tried := s.now.BootMs
		ready.without(blocked).each(func(i int) { tried = min(tried, j.window.triedMs[i]) })
		ranges = append(ranges, candidate{from, to, tried})
	}
	for _, r := range j.suspended.ranges {
		consider(r.from, r.to, r.kind.ready)
	}
	consider(j.opened, due, j.firstSteps)
	slices.SortStableFunc(ranges, func(a, b candidate) int { return cmp.Compare(a.triedMs, b.triedMs) })
	var list []int
	for _, r := range ranges {
		for k := r.from; k < r.to && len(list) < limit; k++ {
			list = append(list, k)
		}
	}
	return list
}

// nextInTurn returns due occurrences that were never opened. Every adviserTurnMs suspended ones come before them, from window.next on and
// then those before it.
func (s *State) nextInTurn(j *job, due, limit int) []int {
	w := j.window
	var list []int
	if s.now.BootMs-w.turnMs >= adviserTurnMs {
		w.turnMs = s.now.BootMs
		take := func(from, to int) {
			for _, r := range j.suspended.ranges {
				for k := max(r.from, from); k < min(r.to, to) && len(list) < limit; k++ {
					list = append(list, k)
				}
			}
		}
		take(w.next, j.opened)
		take(0, w.next)
	}
	for k := j.opened; k < due; k++ {
		list = append(list, k)
	}
	return list
}

// openOrResume opens an occurrence that was never opened, or resumes a suspended one.
func (s *State) openOrResume(j *job, k int) {
	if k == j.opened {
		s.openOccurrence(j)
	} else {
		s.resume(j, k)
		j.window.next = k + 1
	}
	j.stage(k, 0).fresh = true
}

// resume opens a suspended occurrence and reports whether it was one.
func (s *State) resume(j *job, occurrence int) bool {
	p, ok := j.suspended.remove(occurrence)
	if !ok {
		return false
	}
	s.addOccurrence(j, occurrence)
	j.restoreSuspended(occurrence, p)
	return true
}

// suspend suspends an open occurrence and reports whether it did: it has no active run, and what it has done can be kept.
func (s *State) suspend(j *job, occurrence int) bool {
	if j.occurrenceActive(occurrence) {
		return false
	}
	p := j.suspendedProgress(occurrence)
	k := j.suspended.kindOf(j.def, p)
	if j.suspended.bytesWith(occurrence, k) > maxSuspendedBytes {
		j.suspended.dropUnused(k)
		return false
	}
	j.removeOccurrence(occurrence)
	j.suspended.add(occurrence, occurrence+1, k)
	return true
}

// dropRemovedStages removes the stages of suspended occurrences from the list of all stages.
func (s *State) dropRemovedStages() {
	s.stages = slices.DeleteFunc(s.stages, func(st *stage) bool { return st.removed })
}

// fillWindow opens occurrences in their order up to the bound.
func (s *State) fillWindow(j *job) {
	if j.state.Final() {
		return
	}
	for len(j.open) < j.maxOpen && len(j.suspended.ranges) > 0 {
		s.resume(j, j.suspended.ranges[0].from)
	}
	s.openOccurrences(j)
	s.dropRemovedStages()
}

// occurrenceActive reports whether a task of an open occurrence has a run that may be active.
func (j *job) occurrenceActive(occurrence int) bool {
	for i := range j.def.Steps {
		st := j.stage(occurrence, i)
		for k := range st.tasks {
			if st.tasks[k].worker != nil {
				return true
			}
		}
	}
	return false
}

// hasCheckpoint reports whether a task of an open occurrence would resume from a checkpoint.
func (j *job) hasCheckpoint(occurrence int) bool {
	for i, step := range j.def.Steps {
		if !step.Checkpointable {
			continue
		}
		st := j.stage(occurrence, i)
		if st.gangCheckpoint != "" || slices.ContainsFunc(st.tasks, func(t task) bool { return t.phase != done && t.checkpoint != "" }) {
			return true
		}
	}
	return false
}

// logSuspended logs the suspended occurrences of a job from time to time.
func (s *State) logSuspended(j *job) {
	w := j.window
	if len(j.suspended.ranges) == 0 || w.logPauseMs > 0 && s.now.BootMs-w.loggedMs < w.logPauseMs {
		return
	}
	w.loggedMs, w.logPauseMs = s.now.BootMs, min(max(2*w.logPauseMs, minSuspendedLogMs), maxSuspendedLogMs)
	var ready stepSet
	for _, r := range j.suspended.ranges {
		ready |= r.kind.ready
	}
	var steps []int
	ready.each(func(i int) { steps = append(steps, i) })
	s.logDecision(Decision{Kind: DecisionOccurrencesSuspended, Job: j.def.ID, Reason: fmt.Sprintf(
		"%d occurrences that wait in steps %v are suspended in %d ranges, %d of at most %d are open, %d of %d were opened",
		j.suspended.count(), steps, len(j.suspended.ranges), len(j.open), j.maxOpen, j.opened, j.def.Occurrences())})
}
