package dispatch

import (
	"cmp"
	"slices"

	"github.com/verbenakeel/verbenakeel/fleet/link"
)

const (
	// maxWorkersPerQuestion is the maximum number of workers that one call to the adviser names.
	maxWorkersPerQuestion = 100
	// firstQuestionWorkers is the number of workers that the first call for a step names, as the adviser takes longer for each of
	// them. The objective of a job includes one call for 30 workers a step.
	firstQuestionWorkers = 30
	// ticketMarginMs is subtracted from the validity of a ticket to allow for its delivery to the worker.
	ticketMarginMs = 300
	// sameWorkerRetryMs is the minimum time between two answers about a step on one worker.
	sameWorkerRetryMs = 1000
)

// advice is what the adviser has said of the workers that may run a step. That does not change during the life of a worker; a
// ticket has to be renewed.
type advice struct {
	// tickets holds the workers that may run the step, by instance.
	tickets map[string]ticket
	// denied holds the workers that may not, each with its worker.lives. Workers in neither of the two were not asked about.
	denied map[*worker]int
	// asked holds the incarnations that the outstanding call names, by instance; nil if there is none.
	asked map[string]link.Incarnation
}

// ticket is the adviser's permission to run a step on one incarnation of a worker.
type ticket struct {
	incarnation link.Incarnation
	text        string
	// expiresMs is when the ticket expires, 0 if the worker has refused it; answeredMs is when it was received.
	expiresMs, answeredMs int64
}

func newAdvice() *advice {
	return &advice{tickets: map[string]ticket{}, denied: map[*worker]int{}}
}

// ticketOf returns the newest ticket for the present life of a worker.
func (a *advice) ticketOf(w *worker) (ticket, bool) {
	if a == nil || w.info == nil {
		return ticket{}, false
	}
	tk, ok := a.tickets[w.instance]
	return tk, ok && tk.incarnation == w.info.Incarnation
}

// ticketText returns the ticket to send with a start, or "".
func (a *advice) ticketText(w *worker) string {
	tk, _ := a.ticketOf(w)
	return tk.text
}

// dropTicket removes a ticket that the worker has refused. The worker may still run the step.
func (a *advice) dropTicket(w *worker) {
	if tk, ok := a.ticketOf(w); ok {
		tk.expiresMs = 0
		a.tickets[w.instance] = tk
	}
}

// answered reports whether the adviser has said anything yet.
func (a *advice) answered() bool { return a != nil && len(a.tickets)+len(a.denied) > 0 }

// denies reports whether the step may not run on the present life of a worker.
func (a *advice) denies(w *worker) bool {
	if a == nil {
		return false
	}
	life, ok := a.denied[w]
	return ok && life == w.lives
}

// record records the answer to the outstanding call.
func (a *advice) record(s *State, e AdviceReceived) {
	asked := a.asked
	a.asked = nil
	for instance, incarnation := range asked {
		w := s.workers[instance]
		if w == nil || w.info == nil || w.info.Incarnation != incarnation {
			continue // the answer is of an earlier life
		}
		if _, ok := e.Tickets[instance]; !ok && e.Complete {
			a.denied[w] = w.lives
		}
	}
	for instance, text := range e.Tickets {
		w := s.workers[instance]
		if w == nil || w.info == nil || w.info.Incarnation.ID != e.IDs[instance] {
			continue
		}
		if incarnation, ok := asked[instance]; ok && incarnation != w.info.Incarnation {
			continue
		}
		a.tickets[instance] = ticket{incarnation: w.info.Incarnation, text: text, expiresMs: s.now.BootMs + max(e.ValidMs-ticketMarginMs, e.ValidMs/2), answeredMs: s.now.BootMs}
	}
}

// holdsTicket reports whether the stage has a valid ticket for a worker.
func (s *State) holdsTicket(st *stage, w *worker) bool {
	tk, ok := st.advice.ticketOf(w)
	return ok && s.now.BootMs < tk.expiresMs
}

// hasTicket reports whether the stage has any valid ticket.
func (s *State) hasTicket(st *stage) bool {
	if st.advice == nil {
		return false
	}
	for instance := range st.advice.tickets {
		if w := s.workers[instance]; w != nil && s.holdsTicket(st, w) {
			return true
		}
	}
	return false
}

// unadvised is a worker that the adviser may be asked about.
type unadvised struct {
	worker *worker
	// renewal is true if the worker may run the step and needs a new ticket only.
	renewal bool
	cost    float64
}

// unadvisedWorkers returns the workers to ask about for a stage, the ones to prefer first: all workers that have room for a task and
// that nothing but the adviser's permission keeps from it, or those without room too if withoutRoom is set.
func (s *State) unadvisedWorkers(st *stage, withoutRoom bool) []unadvised {
	t := &task{stage: st}
	starved := s.starved(st)
	var list []unadvised
	for _, w := range s.sortedWorkers {
		tk, renewal := st.advice.ticketOf(w)
		if st.advice.denies(w) || renewal && (s.now.BootMs < tk.expiresMs || s.now.BootMs-tk.answeredMs < sameWorkerRetryMs) {
			continue
		}
		cost, obstacle := s.assess(t, w)
		if obstacle != ObstaclePermission && (withoutRoom || starved) && s.usable(w) {
			// A starved task needs memory only; one that waits for room needs it later.
			cost, obstacle = s.baseCost(t, w, 1), s.misfit(t, w)
			if withoutRoom {
				obstacle = s.ineligibility(t, w)
			}
		}
		if obstacle == ObstaclePermission {
			list = append(list, unadvised{w, renewal, cost})
		}
	}
	slices.SortStableFunc(list, func(a, b unadvised) int {
		if a.renewal != b.renewal {
			if a.renewal {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.cost, b.cost)
	})
	return list[:st.questionSize(list)]
}

// questionSize returns how many of the workers to ask about are named in the next call. Renewals suffice where they have room for
// all waiting tasks.
func (st *stage) questionSize(list []unadvised) int {
	renewals := 0
	for renewals < len(list) && list[renewals].renewal {
		renewals++
	}
	size := maxWorkersPerQuestion
	switch {
	case renewals >= st.waiting:
		size = renewals
	case !st.advice.answered():
		size = max(firstQuestionWorkers, st.waiting)
	}
	return min(size, maxWorkersPerQuestion, len(list))
}
