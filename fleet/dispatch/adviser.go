package dispatch

import (
	"time"

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
	// adviserRetryMs is the time after which the adviser is asked again for a step that still has waiting tasks.
	adviserRetryMs = 1000
	// adviserRescanMs is the time after which a step is compared with the workers again if there was none to ask about.
	adviserRescanMs = 100
	// maxWorkersPerQuery is the maximum number of workers in one question.
	maxWorkersPerQuery = 100
	// ticketMarginMs is subtracted from the validity of a ticket to allow for its delivery to the worker.
	ticketMarginMs = 300
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

// hasTicket reports whether the stage has a valid ticket.
func (s *State) hasTicket(st *stage) bool {
	for instance, tk := range st.tickets {
		w := s.workers[instance]
		if w != nil && w.info != nil && w.info.Incarnation == tk.incarnation && s.now.BootMs < tk.expiresMs {
			return true
		}
	}
	return false
}

// askAdviser asks the adviser for the stages that still have waiting tasks, as many as may be asked for now.
func (s *State) askAdviser(readyStages []*stage) {
	for s.adviser.mayCall(s.now.BootMs) {
		next := s.nextToAdvise(readyStages)
		if next == nil {
			return
		}
		s.askAdviserFor(next)
	}
}

// nextToAdvise returns the stage for which the adviser is asked next, or nil: of those with the highest priority the one that has
// waited longest since it was due or was last asked for, so that no step is passed over for good.
func (s *State) nextToAdvise(readyStages []*stage) *stage {
	var next *stage
	for _, st := range readyStages {
		if st.waiting == 0 || st.asking || s.now.BootMs < st.askAfterMs || s.queue(st.job).Advice == nil || s.shedsStarts(st) {
			continue
		}
		if next == nil || st.job.rank.priority < next.job.rank.priority ||
			st.job.rank.priority == next.job.rank.priority && st.lacksAdviceSinceMs() < next.lacksAdviceSinceMs() {
			next = st
		}
	}
	return next
}

// lacksAdviceSinceMs returns since when the stage has waited without being asked for.
func (st *stage) lacksAdviceSinceMs() int64 { return max(st.dueMs, st.waitingSinceMs, st.askedMs) }

// askAdviserFor asks the adviser about the workers that could run a step.
func (s *State) askAdviserFor(st *stage) {
	queue := s.queue(st.job)
	q := Question{Step: st.stepName(), Workers: map[string]string{}}
	for _, w := range s.sortedWorkers {
		if len(q.Workers) < maxWorkersPerQuery && s.schedulable(w) && w.info.Service == queue.Service &&
			(st.step.Requires == "" || hasLabel(w, st.step.Requires)) {
			q.Workers[w.info.Incarnation.ID] = w.instance
		}
	}
	if len(q.Workers) == 0 {
		st.askAfterMs = s.now.BootMs + adviserRescanMs
		return
	}
	st.asking, st.askedMs, st.askAfterMs = true, s.now.BootMs, s.now.BootMs+adviserRetryMs
	q.Timeout = s.adviser.begin(q.Step, queue.Advice.CallMs(len(q.Workers)))
	s.effects.Questions = append(s.effects.Questions, q)
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
}

func (e AdviceReceived) apply(s *State) {
	s.adviser.answered(e.Step)
	s.placePending = true
	st := s.findStep(e.Step)
	if st == nil {
		return
	}
	st.asking = false
	st.tickets = map[string]ticket{}
	for instance, text := range e.Tickets {
		w := s.workers[instance]
		if w == nil || w.info == nil || w.info.Incarnation.ID != e.IDs[instance] {
			continue
		}
		st.tickets[instance] = ticket{incarnation: w.info.Incarnation, text: text, expiresMs: s.now.BootMs + e.ValidMs - ticketMarginMs}
	}
	st.exhaustedPass = 0
}

// AdviceFailed means that the call for a step has failed or was given up. The adviser may still handle it.
type AdviceFailed struct {
	// Step is the step of the question.
	Step string
}

func (e AdviceFailed) apply(s *State) {
	s.adviser.failed(e.Step, s.now.BootMs)
	s.placePending = true
	if st := s.findStep(e.Step); st != nil {
		st.asking = false
	}
}
