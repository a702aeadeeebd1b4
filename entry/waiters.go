package entry

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/verbenakeel/verbenakeel/core"
	"github.com/verbenakeel/verbenakeel/core/decider"
)

// waiter is a worker's long poll that has not been answered yet.
type waiter struct {
	poll decider.Poll
	// wake is closed when the poll is to be answered, or when a newer poll of the worker arrived.
	wake       chan struct{}
	superseded bool
}

// errSuperseded answers a poll whose sender has sent a newer one. The older poll is not applied, since its sender no longer
// reads the answer and its report is outdated.
var errSuperseded = twirp.NewError(twirp.Aborted, "a newer poll of this worker arrived; poll again")

// awaitPollReady blocks a poll until there is something to answer or the wait is over. It returns the poll to answer.
func (e *Entry) awaitPollReady(ctx context.Context, p decider.Poll, wait time.Duration) (decider.Poll, error) {
	if p.WantStarts || wait <= 0 {
		return p, nil
	}
	w := e.registerPoll(p)
	if w == nil {
		return p, nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-w.wake:
	case <-timer.C:
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.waiters[p.Worker] == w {
		delete(e.waiters, p.Worker)
	}
	if w.superseded {
		return p, errSuperseded
	}
	return w.poll, nil
}

// registerPoll registers a poll in place of an earlier one of its worker. It returns nil if the poll is to be answered now.
func (e *Entry) registerPoll(p decider.Poll) *waiter {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining.Load() {
		return nil
	}
	for _, eff := range core.Step(e.state, e.now(), core.PollArrived{Poll: p}) {
		withheld, ok := eff.(core.Withhold)
		if !ok {
			continue
		}
		if earlier := e.waiters[p.Worker]; earlier != nil {
			if earlier.poll.Incarnation == p.Incarnation && earlier.poll.Sequence > p.Sequence {
				// The poll was delayed: the reducer refuses it once the newer one has been answered.
				return nil
			}
			earlier.superseded = true
			close(earlier.wake)
		}
		w := &waiter{poll: withheld.Poll, wake: make(chan struct{})}
		e.waiters[p.Worker] = w
		return w
	}
	return nil
}

// wakePolls answers the polls of the named workers that have something to answer, or those of all workers if all is true.
func (e *Entry) wakePolls(workers []string, all bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if all {
		for id := range e.waiters {
			e.wakePoll(id)
		}
		return
	}
	for _, id := range workers {
		e.wakePoll(id)
	}
}

// wakePoll answers the registered poll of a worker if there is something to answer. The caller holds e.mu.
func (e *Entry) wakePoll(worker string) {
	w := e.waiters[worker]
	if w == nil {
		return
	}
	if d := e.state.Decider; e.draining.Load() || !d.Active() || d.HasUpdates(e.now(), w.poll) {
		delete(e.waiters, worker)
		close(w.wake)
	}
}
