package claims

import (
	"time"

	"github.com/verbenakeel/verbenakeel/core/clock"
)

// StartState is what a side process knows about one transmission of a request, which it must not start twice.
type StartState int

// States of a transmission at a side process.
const (
	// StartNew means that its id is new and it may start now.
	StartNew StartState = iota
	// StartRunning means that it was started and has no outcome yet.
	StartRunning
	// StartAnswered means that it ended with the answer that is stored.
	StartAnswered
	// StartUnknown means that it was started and its outcome can't be known.
	StartUnknown
	// StartExcluded means that it was not started and never will be.
	StartExcluded
	// StartTableFull means that its id can't be stored because the table is full, so it must not start.
	StartTableFull
)

// startRecord is the stored state of one transmission.
type startRecord[A any] struct {
	state   StartState
	expires time.Duration
	answer  A
	size    int
}

// StartTable stores which transmissions a side process started, until a repeat would be refused anyway because the
// deadline has passed. A is the type of stored answers.
type StartTable[A any] struct {
	maxCount, maxBytes int
	byID               map[string]*startRecord[A]
	bytes              int
	sweptAt            time.Duration
}

// sweepEvery is the minimum time between two scans for expired transmissions.
const sweepEvery = time.Second

// NewStartTable returns an empty table for at most maxCount transmissions and maxBytes bytes of answers.
func NewStartTable[A any](maxCount, maxBytes int) *StartTable[A] {
	return &StartTable[A]{maxCount: maxCount, maxBytes: maxBytes, byID: make(map[string]*startRecord[A])}
}

// Begin requests the start of a transmission. Only the result StartNew allows it. The state is stored until keepUntil,
// which must not be before the transmission's deadline.
func (s *StartTable[A]) Begin(now clock.Now, id string, keepUntil time.Duration) (StartState, A) {
	return s.getOrAdd(now, id, keepUntil, StartRunning, StartNew)
}

// Exclude makes sure that a transmission that was not started never starts, and returns its state.
func (s *StartTable[A]) Exclude(now clock.Now, id string, keepUntil time.Duration) (StartState, A) {
	return s.getOrAdd(now, id, keepUntil, StartExcluded, StartExcluded)
}

// getOrAdd returns the state and answer of a transmission. An unknown one is added in state initial, and reply is returned.
func (s *StartTable[A]) getOrAdd(now clock.Now, id string, keepUntil time.Duration, initial, reply StartState) (StartState, A) {
	var zero A
	if e := s.byID[id]; e != nil {
		return e.state, e.answer
	}
	s.sweep(now)
	if len(s.byID) >= s.maxCount {
		return StartTableFull, zero
	}
	s.byID[id] = &startRecord[A]{state: initial, expires: keepUntil}
	return reply, zero
}

// Refused records that a transmission was refused before it was passed on to the endpoint.
func (s *StartTable[A]) Refused(id string) { s.resolve(id, StartExcluded) }

// Lost records that the outcome of a transmission can't be known.
func (s *StartTable[A]) Lost(id string) { s.resolve(id, StartUnknown) }

func (s *StartTable[A]) resolve(id string, state StartState) {
	if e := s.byID[id]; e != nil && e.state == StartRunning {
		e.state = state
	}
}

// Answered stores the answer of a transmission. If the answer does not fit into the table, the outcome becomes unknown.
func (s *StartTable[A]) Answered(id string, answer A, size int) {
	e := s.byID[id]
	if e == nil || e.state != StartRunning {
		return
	}
	if s.bytes+size > s.maxBytes {
		e.state = StartUnknown
		return
	}
	e.state, e.answer, e.size = StartAnswered, answer, size
	s.bytes += size
}

// sweep removes expired transmissions, except those that still run.
func (s *StartTable[A]) sweep(now clock.Now) {
	if now.Mono-s.sweptAt < sweepEvery {
		return
	}
	s.sweptAt = now.Mono
	for id, e := range s.byID {
		if e.state != StartRunning && e.expires < now.Mono {
			s.bytes -= e.size
			delete(s.byID, id)
		}
	}
}

// Len returns the number of stored transmissions.
func (s *StartTable[A]) Len() int { return len(s.byID) }
