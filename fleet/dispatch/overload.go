package dispatch

import "time"

// overload tells how far the decider is behind its events, and so what it does not do. CPU shares of best-effort tasks go
// first, as they cost most, then starts that come too late anyway.
type overload int

const (
	// keepsUp is the state of a decider that does everything.
	keepsUp overload = iota
	// fewerShares sets CPU shares less often and moves no tasks.
	fewerShares
	// fewerStarts also starts no tasks of jobs that can't be on time.
	fewerStarts
)

const (
	// fewerSharesWait is the wait of an event from which shares are set less often: a report comes every 450 ms, and a
	// start has to reach its worker within an aim of 250 ms.
	fewerSharesWait = 200 * time.Millisecond
	// fewerStartsWait is the wait of an event from which late jobs get no starts.
	fewerStartsWait = time.Second
	// overloadSharesMs is the time between two settings of the shares on a worker while the decider is behind. It is less
	// than the part of the permitted time over target after which best-effort tasks are throttled to 0.
	overloadSharesMs = 1400
)

// EventsWaited is the longest wait of the events that were handled last.
type EventsWaited struct{ Wait time.Duration }

func (e EventsWaited) apply(s *State) {
	switch {
	case e.Wait >= fewerStartsWait:
		s.overload = fewerStarts
	case e.Wait >= fewerSharesWait:
		s.overload = fewerShares
	default:
		if s.overload == fewerStarts {
			s.placePending = true
		}
		s.overload = keepsUp
	}
}

// shedsShares reports whether the CPU shares on a worker are left as they are for now. They are always set where a
// latency-critical task exceeds its target.
func (s *State) shedsShares(w *worker) bool {
	if s.overload < fewerShares || s.now.BootMs-w.sharesSetMs >= overloadSharesMs {
		return false
	}
	for _, t := range w.tasks {
		if t.overTargetSinceMs > 0 || t.servesRequests() && t.load > t.stage.step.TargetMs {
			return false
		}
	}
	return true
}

// shedsStarts reports whether the tasks of a job are not started for now. Starved jobs are, as they may not wait for ever.
func (s *State) shedsStarts(st *stage) bool {
	return s.overload >= fewerStarts && st.job.rank.late > yielding && !s.starved(st)
}
