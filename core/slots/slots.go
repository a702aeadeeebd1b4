// Package slots controls admission to one endpoint at its side process: a fixed number of slots and a bounded queue,
// earliest deadline first.
package slots

import (
	"container/heap"
	"time"

	"github.com/verbenakeel/verbenakeel/core/clock"
	"github.com/verbenakeel/verbenakeel/internal/rule"
)

// Refusal is the reason why a request was not admitted. Such a request certainly did not run.
type Refusal string

// Reasons for refusals.
const (
	// Draining means that the endpoint is shutting down.
	Draining Refusal = "draining"
	// QueueFull means that all slots are in use and the queue is full.
	QueueFull Refusal = "queue_full"
	// TooLate means that the request can't be answered by its deadline.
	TooLate Refusal = "too_late"
	// OverLimit means that the limit of the customer's concurrency at this endpoint is reached.
	OverLimit Refusal = "over_limit"
)

// Admission is the result of a request for a slot.
type Admission int

// Results of a request for a slot.
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

type waiter struct {
	id       uint64
	deadline time.Duration
	index    int
}

// State holds the slots and the queue.
type State struct {
	slots       int
	maxQueued   int
	busy        int
	draining    bool
	serviceTime time.Duration
	queue       queue
	waiters     map[uint64]*waiter
	// limit is the maximum number of requests in slots and queue by the customer's contract; 0 for no limit.
	limit int
}

// New returns the state of an endpoint with the given number of slots and of places in its queue.
func New(slots, maxQueued int) *State {
	return &State{slots: slots, maxQueued: maxQueued, waiters: make(map[uint64]*waiter)}
}

// Arrive requests a slot for a request with the given deadline.
func (s *State) Arrive(now clock.Now, id uint64, deadline time.Duration) (Admission, Refusal) {
	switch {
	case s.draining && rule.Enabled(rule.RefuseWhileDraining):
		return Refuse, Draining
	case deadline <= now.Mono:
		return Refuse, TooLate
	case s.limit > 0 && s.busy+len(s.queue) >= s.limit:
		return Refuse, OverLimit
	case s.busy < s.slots:
		s.busy++
		return Run, ""
	case now.Mono+s.expectedWait()+s.serviceTime > deadline:
		return Refuse, TooLate
	case len(s.queue) >= s.maxQueued:
		return Refuse, QueueFull
	}
	w := &waiter{id: id, deadline: deadline}
	s.waiters[id] = w
	heap.Push(&s.queue, w)
	return Wait, ""
}

func (s *State) expectedWait() time.Duration {
	return s.serviceTime * time.Duration(len(s.queue)+1) / time.Duration(max(1, s.slots))
}

// Grant is the result for a queued request: it got a slot or was refused.
type Grant struct {
	// ID names the request.
	ID uint64
	// Refusal is empty when the request has a slot.
	Refusal Refusal
}

// Finish frees a slot and returns the queued requests that are admitted or refused as a result.
func (s *State) Finish(now clock.Now, took time.Duration) []Grant {
	s.busy--
	s.serviceTime += time.Duration(latencyWeight * float64(took-s.serviceTime))
	return s.grantNext(now)
}

// Cancel frees a slot whose request was not passed on to the endpoint, so that it does not affect the service time.
func (s *State) Cancel(now clock.Now) []Grant {
	s.busy--
	return s.grantNext(now)
}

// AcquireExtra takes a free slot for a second transmission of a request in progress and reports whether it got one. Queued
// requests take precedence.
func (s *State) AcquireExtra() bool {
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
		w := heap.Pop(&s.queue).(*waiter)
		delete(s.waiters, w.id)
		grants = append(grants, Grant{w.id, Draining})
	}
	return grants
}

// SetLimit limits the number of requests in slots and queue together; 0 removes the limit.
func (s *State) SetLimit(limit int) { s.limit = limit }

// Abandon removes a queued request whose caller no longer waits for it.
func (s *State) Abandon(now clock.Now, id uint64) []Grant {
	if w := s.waiters[id]; w != nil {
		heap.Remove(&s.queue, w.index)
		delete(s.waiters, id)
	}
	return s.grantNext(now)
}

func (s *State) grantNext(now clock.Now) []Grant {
	var grants []Grant
	for len(s.queue) > 0 && s.busy < s.slots {
		w := heap.Pop(&s.queue).(*waiter)
		delete(s.waiters, w.id)
		if w.deadline <= now.Mono+s.serviceTime/2 {
			grants = append(grants, Grant{w.id, TooLate})
			continue
		}
		s.busy++
		grants = append(grants, Grant{w.id, ""})
	}
	return grants
}

// Drain refuses new requests from now on, or admits them again. Queued requests stay queued.
func (s *State) Drain(on bool) { s.draining = on }

// Draining reports whether new requests are refused.
func (s *State) Draining() bool { return s.draining }

// Drained reports whether the endpoint is draining and nothing is in progress.
func (s *State) Drained() bool { return s.draining && s.busy == 0 && len(s.queue) == 0 }

// Free returns the number of free slots.
func (s *State) Free() int { return s.slots - s.busy }

// Queued returns the number of queued requests.
func (s *State) Queued() int { return len(s.queue) }

// ServiceTime returns the moving average of service times.
func (s *State) ServiceTime() time.Duration { return s.serviceTime }

// queue is a heap of waiting requests, ordered by deadline.
type queue []*waiter

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].deadline < q[j].deadline }
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	w := x.(*waiter)
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
