// Package slots shares the slots of one endpoint at its side process.
package slots

import (
	"container/heap"
	"time"

	"github.com/verbenakeel/verbenakeel/core/clock"
	"github.com/verbenakeel/verbenakeel/internal/rule"
)

// Refusal is why a request was not let in. Such a request certainly did not run.
type Refusal string

// Reasons of refusals.
const (
	// Draining means that the endpoint is shutting down.
	Draining Refusal = "draining"
	// QueueFull means that slots and queue are taken.
	QueueFull Refusal = "queue_full"
	// TooLate means that the request cannot be answered by its deadline.
	TooLate Refusal = "too_late"
	// OverLimit means that the customer's concurrency at this endpoint is used up.
	OverLimit Refusal = "over_limit"
)

// Admission is the result of an arrival.
type Admission int

// Results of an arrival.
const (
	// Run means that the request has a slot.
	Run Admission = iota
	// Wait means that the request is queued.
	Wait
	// Refuse means that the request is refused.
	Refuse
)

// latencyWeight is the weight of a new sample in the moving average of service times.
const latencyWeight = 0.2

type waiting struct {
	id       uint64
	deadline time.Duration
	index    int
}

// State holds the slots and the queue.
type State struct {
	slots    int
	queueMax int
	busy     int
	draining bool
	service  time.Duration
	queue    queue
	byID     map[uint64]*waiting
	// limit bounds requests in slots and queue by the customer's contract; 0 for no bound.
	limit int
}

// New returns the state of an endpoint with so many slots and places in its queue.
func New(slots, queueMax int) *State {
	return &State{slots: slots, queueMax: queueMax, byID: make(map[uint64]*waiting)}
}

// Arrive asks for a slot until the deadline.
func (s *State) Arrive(now clock.Now, id uint64, deadline time.Duration) (Admission, Refusal) {
	switch {
	case s.draining && rule.On(rule.Leave):
		return Refuse, Draining
	case deadline <= now.Mono:
		return Refuse, TooLate
	case s.limit > 0 && s.busy+len(s.queue) >= s.limit:
		return Refuse, OverLimit
	case s.busy < s.slots:
		s.busy++
		return Run, ""
	case now.Mono+s.expectedWait()+s.service > deadline:
		return Refuse, TooLate
	case len(s.queue) >= s.queueMax:
		return Refuse, QueueFull
	}
	w := &waiting{id: id, deadline: deadline}
	s.byID[id] = w
	heap.Push(&s.queue, w)
	return Wait, ""
}

func (s *State) expectedWait() time.Duration {
	return s.service * time.Duration(len(s.queue)+1) / time.Duration(max(1, s.slots))
}

// Grant is a queued request that got a slot or was given up.
type Grant struct {
	// ID names the request.
	ID uint64
	// Refusal is empty when the request has a slot.
	Refusal Refusal
}

// Finish frees a slot and returns the queued requests that this decides.
func (s *State) Finish(now clock.Now, took time.Duration) []Grant {
	s.busy--
	s.service += time.Duration(latencyWeight * float64(took-s.service))
	return s.next(now)
}

// Cancel frees a slot whose request was not passed on, so that its time says nothing about the service.
func (s *State) Cancel(now clock.Now) []Grant {
	s.busy--
	return s.next(now)
}

// Extra takes a free slot for a second sending of a request in progress. Queued requests go first.
func (s *State) Extra() bool {
	if s.busy >= s.slots || len(s.queue) > 0 {
		return false
	}
	s.busy++
	return true
}

// Flush refuses all queued requests.
func (s *State) Flush() []Grant {
	var grants []Grant
	for len(s.queue) > 0 {
		w := heap.Pop(&s.queue).(*waiting)
		delete(s.byID, w.id)
		grants = append(grants, Grant{w.id, Draining})
	}
	return grants
}

// SetLimit bounds requests in slots and queue together; 0 lifts the bound.
func (s *State) SetLimit(limit int) { s.limit = limit }

// Abandon frees the place of a queued request that is not waited for any more.
func (s *State) Abandon(now clock.Now, id uint64) []Grant {
	if w := s.byID[id]; w != nil {
		heap.Remove(&s.queue, w.index)
		delete(s.byID, id)
	}
	return s.next(now)
}

func (s *State) next(now clock.Now) []Grant {
	var grants []Grant
	for len(s.queue) > 0 && s.busy < s.slots {
		w := heap.Pop(&s.queue).(*waiting)
		delete(s.byID, w.id)
		if w.deadline <= now.Mono+s.service/2 {
			grants = append(grants, Grant{w.id, TooLate})
			continue
		}
		s.busy++
		grants = append(grants, Grant{w.id, ""})
	}
	return grants
}

// Drain refuses new requests from now on, or lets them in again. Queued requests keep their places.
func (s *State) Drain(on bool) { s.draining = on }

// Draining reports whether new requests are refused.
func (s *State) Draining() bool { return s.draining }

// Drained reports whether the endpoint is draining and nothing is in progress.
func (s *State) Drained() bool { return s.draining && s.busy == 0 && len(s.queue) == 0 }

// Free returns the free slots.
func (s *State) Free() int { return s.slots - s.busy }

// Queued returns the number of queued requests.
func (s *State) Queued() int { return len(s.queue) }

// ServiceTime returns the moving average of service times.
func (s *State) ServiceTime() time.Duration { return s.service }

// queue orders waiting requests by deadline.
type queue []*waiting

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].deadline < q[j].deadline }
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	w := x.(*waiting)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	w := old[len(old)-1]
	*q = old[:len(old)-1]
	return w
}
