package dispatch

import (
	"time"

	"github.com/verbenakeel/verbenakeel/fleet/link"
	"github.com/verbenakeel/verbenakeel/fleet/work"
)

const (
	// maxAdviserCalls is the maximum number of outstanding calls to the adviser. It handles the calls of an entry one after the
	// other; the second call keeps it busy for the time of a round trip.
	maxAdviserCalls = 2
	// adviserSlackMs is added to the timeout of a call for the network and a slow adviser.
	adviserSlackMs = 2000
	// adviserSlowdown is how many times longer than its queue says the adviser may take.
	adviserSlowdown = 2
	// maxAdviserTimeoutShift bounds the doubling of the timeout after failed calls. A call on a connection that went silent is
	// given up within four timeouts.
	maxAdviserTimeoutShift = 2
	// maxAdviserCallMs bounds the time of a call that a configuration can state.
	maxAdviserCallMs = 600_000
	// adviserBackoffMs is the pause after a failed call. It doubles with each further failure up to maxAdviserBackoffMs.
	adviserBackoffMs    = 250
	maxAdviserBackoffMs = 2000
	// adviserRescanMs is the time after which a step is compared with the workers again if there was none to ask about, and
	// rescanMsPerWorker is added for each worker.
	adviserRescanMs = 100
	// maxAdviserScans is the number of steps that one placement pass compares with all workers to ask about those that have room,
	// and maxAheadScans the number that it compares to ask about any.
	maxAdviserScans = 6
	maxAheadScans   = 2
	// renewalIntervalMs is the minimum time between two comparisons of a step that waits for room.
	renewalIntervalMs = 1000
)

// adviserCalls tracks the outstanding calls to the adviser. Steps wait here, in order, for their call: a call that is sent to an
// adviser which has more calls than it can handle is given up before it is answered, and still takes its time.
type adviserCalls struct {
	// outstanding holds the expected time of each outstanding call in milliseconds, by step.
	outstanding map[string]float64
	// failures counts failed calls since the last answer. No call is sent before notBeforeMs.
	failures    int
	notBeforeMs int64
}

func newAdviserCalls() adviserCalls { return adviserCalls{outstanding: map[string]float64{}} }

// mayCall reports whether another call may be sent. After a failure one call at a time tests the adviser.
func (a *adviserCalls) mayCall(nowMs int64) bool {
	if a.failures > 0 {
		return len(a.outstanding) == 0 && nowMs >= a.notBeforeMs
	}
	return len(a.outstanding) < maxAdviserCalls
}

// begin records a call for a step with its expected time and returns its timeout, which covers the calls before it.
func (a *adviserCalls) begin(step string, expectedMs float64) time.Duration {
	a.outstanding[step] = min(max(expectedMs, 0), maxAdviserCallMs)
	total := 0.0
	for _, ms := range a.outstanding {
		total += ms
	}
	timeoutMs := (adviserSlackMs + int64(adviserSlowdown*total)) << min(a.failures, maxAdviserTimeoutShift)
	return time.Duration(timeoutMs) * time.Millisecond
}

// answered records the answer to the call for a step.
func (a *adviserCalls) answered(step string) {
	delete(a.outstanding, step)
	a.failures = 0
}

// failed records that the call for a step failed.
func (a *adviserCalls) failed(step string, nowMs int64) {
	delete(a.outstanding, step)
	a.failures++
	backoff := int64(maxAdviserBackoffMs)
	if shift := a.failures - 1; shift < 3 {
		backoff = min(adviserBackoffMs<<shift, backoff)
	}
	a.notBeforeMs = nowMs + backoff
}

// askAdviser asks the adviser for the stages that still have waiting tasks, as many as may be asked for now.
func (s *State) askAdviser() {
	waiting := s.advisedStages[:0]
	for _, st := range s.advisedStages {
		if st.waiting > 0 && (st.advice == nil || st.advice.asked == nil) {
			waiting = append(waiting, st)
		}
	}
	clear(s.advisedStages[len(waiting):])
	s.advisedStages = waiting
	for scans := 0; scans < maxAdviserScans && s.adviser.mayCall(s.now.BootMs); scans++ {
		st := s.nextToAdvise()
		if st == nil {
			break
		}
		workers := s.unadvisedWorkers(st, false)
		st.consideredMs = s.now.BootMs
		st.askAfterMs = s.now.BootMs + adviserRescanMs + rescanMsPerWorker*int64(len(s.sortedWorkers))
		st.noneToAsk = !s.ask(st, workers)
	}
	if len(s.adviser.outstanding) == 0 && s.adviser.mayCall(s.now.BootMs) {
		s.askAhead()
	}
}

// nextToAdvise returns the stage to ask for next if a worker has room for it, or nil: of those with the highest priority the one that
// has waited longest since it was due or was last considered, so that no step is passed over for good.
func (s *State) nextToAdvise() *stage {
	var next *stage
	for _, st := range s.advisedStages {
		if s.now.BootMs < st.askAfterMs || st.advice != nil && st.advice.asked != nil {
			continue
		}
		if next == nil || st.job.rank.priority < next.job.rank.priority ||
			st.job.rank.priority == next.job.rank.priority && st.lacksAdviceSinceMs() < next.lacksAdviceSinceMs() {
			next = st
		}
	}
	return next
}

// lacksAdviceSinceMs returns since when the stage has waited without being considered.
func (st *stage) lacksAdviceSinceMs() int64 {
	return max(st.dueMs, st.waitingSinceMs, st.consideredMs)
}

// askAhead asks for the first stage in the placement order that waits for room and has no valid ticket. Without one it would lose
// the next room to a step that needs none, whatever its rank.
func (s *State) askAhead() {
	scans := 0
	for _, st := range s.advisedStages {
		if s.now.BootMs < st.askAheadAfterMs || s.hasTicket(st) {
			continue
		}
		if scans++; scans > maxAheadScans {
			return
		}
		st.askAheadAfterMs = s.now.BootMs + renewalIntervalMs
		if s.ask(st, s.unadvisedWorkers(st, true)) {
			return
		}
	}
}

// ask asks the adviser about workers that could run a step, and reports whether there are any.
func (s *State) ask(st *stage, workers []unadvised) bool {
	if len(workers) == 0 {
		return false
	}
	if st.advice == nil {
		st.advice = newAdvice()
	}
	q := Question{Step: st.stepName(), Workers: map[string]string{}}
	st.advice.asked = map[string]link.Incarnation{}
	for _, u := range workers {
		incarnation := u.worker.info.Incarnation
		if _, taken := q.Workers[incarnation.ID]; taken {
			continue // two instances that report one id; an answer is for one of them
		}
		q.Workers[incarnation.ID] = u.worker.instance
		st.advice.asked[u.worker.instance] = incarnation
	}
	q.Timeout = s.adviser.begin(q.Step, s.queue(st.job).Advice.CallMs(len(q.Workers)))
	s.effects.Questions = append(s.effects.Questions, q)
	return true
}

// findStep returns the stage of the step that a question names, or nil.
func (s *State) findStep(step string) *stage {
	n, ok := work.ParseTaskName(step + ".0")
	if !ok || s.jobs[n.Job] == nil {
		return nil
	}
	return s.jobs[n.Job].stage(n.Occurrence, n.Step)
}

// AdviceReceived is the adviser's answer.
type AdviceReceived struct {
	// Step is the step of the question.
	Step string
	// Tickets maps instances to permissions.
	Tickets map[string]string
	// IDs maps instances to the ids of the workers that the permissions are for.
	IDs map[string]string
	// ValidMs is the validity of the tickets.
	ValidMs int64
	// Complete is true if the answer covers all workers of the question: one without a ticket may not run the step.
	Complete bool
}

func (e AdviceReceived) apply(s *State) {
	if !e.Complete && len(e.Tickets) == 0 {
		AdviceFailed{Step: e.Step}.apply(s) // an answer that says nothing
		return
	}
	s.adviser.answered(e.Step)
	s.placePending = true
	st := s.findStep(e.Step)
	if st == nil || st.advice == nil {
		return
	}
	st.advice.record(s, e)
	st.askAfterMs, st.exhaustedPass, st.noneToAsk = 0, 0, false
	if !e.Complete {
		st.askAfterMs = s.now.BootMs + sameWorkerRetryMs
	}
}

// AdviceFailed means that the call for a step has failed or was given up. The adviser may still handle it.
type AdviceFailed struct {
	// Step is the step of the question.
	Step string
}

func (e AdviceFailed) apply(s *State) {
	s.adviser.failed(e.Step, s.now.BootMs)
	s.placePending = true
	if st := s.findStep(e.Step); st != nil && st.advice != nil {
		st.advice.asked, st.askAfterMs, st.noneToAsk = nil, 0, false
	}
}
