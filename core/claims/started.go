package claims

import (
	"time"

	"github.com/verbenakeel/verbenakeel/core/clock"
)

// StartState is what a side process knows about one sending that must not be started twice.
type StartState int

// States of a sending at a side process.
const (
	// StartNew means that it was not seen before and may start now.
	StartNew StartState = iota
	// StartRunning means that it was started and has no outcome yet.
	StartRunning
	// StartAnswered means that it ended with the answer that is kept.
	StartAnswered
	// StartUnknown means that it was started and its outcome cannot be known.
	StartUnknown
	// StartBarred means that it was not started and never will be.
	StartBarred
	// StartTooMany means that there is no room to remember it, so it must not start.
	StartTooMany
)

// started is one remembered sending.
type started[A any] struct {
	state   StartState
	expires time.Duration
	answer  A
	size    int
}

// Started remembers the sendings that a side process started, until they could not be accepted any more because their
// deadline has passed. A is the type of kept answers.
type Started[A any] struct {
	maxCount, maxBytes int
	byID               map[string]*started[A]
	bytes              int
	swept              time.Duration
}

// sweepEvery is the least time between two passes over all remembered sendings.
const sweepEvery = time.Second

// NewStarted returns an empty memory for at most maxCount sendings and maxBytes bytes of answers.
func NewStarted[A any](maxCount, maxBytes int) *Started[A] {
	return &Started[A]{maxCount: maxCount, maxBytes: maxBytes, byID: make(map[string]*started[A])}
}

// Begin asks to start a sending that is accepted until it expires. Only StartNew allows the start. The state is kept
// until the given time, which is not before the expiry.
func (s *Started[A]) Begin(now clock.Now, id string, keepUntil time.Duration) (StartState, A) {
	return s.remember(now, id, keepUntil, StartRunning, StartNew)
}

// Bar makes sure that a sending that was not started never starts, and returns its state.
func (s *Started[A]) Bar(now clock.Now, id string, keepUntil time.Duration) (StartState, A) {
	return s.remember(now, id, keepUntil, StartBarred, StartBarred)
}

// remember returns what is known of a sending. One that is not known is kept in state first, and answered with reply.
func (s *Started[A]) remember(now clock.Now, id string, keepUntil time.Duration, first, reply StartState) (StartState, A) {
	var none A
	if e := s.byID[id]; e != nil {
		return e.state, e.answer
	}
	s.sweep(now)
	if len(s.byID) >= s.maxCount {
		return StartTooMany, none
	}
	s.byID[id] = &started[A]{state: first, expires: keepUntil}
	return reply, none
}

// Refused notes that a sending was refused before it was passed on.
func (s *Started[A]) Refused(id string) { s.end(id, StartBarred) }

// Lost notes that the outcome of a sending cannot be known.
func (s *Started[A]) Lost(id string) { s.end(id, StartUnknown) }

func (s *Started[A]) end(id string, state StartState) {
	if e := s.byID[id]; e != nil && e.state == StartRunning {
		e.state = state
	}
}

// Answered keeps the answer of a sending. An answer beyond the memory's bound is not kept; the outcome then reads unknown.
func (s *Started[A]) Answered(id string, answer A, size int) {
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

// sweep drops sendings that have expired. Those that run are kept.
func (s *Started[A]) sweep(now clock.Now) {
	if now.Mono-s.swept < sweepEvery {
		return
	}
	s.swept = now.Mono
	for id, e := range s.byID {
		if e.state != StartRunning && e.expires < now.Mono {
			s.bytes -= e.size
			delete(s.byID, id)
		}
	}
}

// Len returns the number of sendings remembered.
func (s *Started[A]) Len() int { return len(s.byID) }
