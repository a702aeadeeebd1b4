// Package holder decides at a side process which orders of a decider its worker carries out.
//
// Permits and leases count from the worker's clock reading in the status that was queried just before the poll was sent.
// The later a reply arrives, the less of them remains; after a long pause they have expired on arrival.
package holder

import (
	"github.com/verbenakeel/verbenakeel/external"
	"github.com/verbenakeel/verbenakeel/internal/rule"
	"github.com/verbenakeel/verbenakeel/record"
)

// Poll is one request to the decider.
type Poll struct {
	// Sequence identifies the poll.
	Sequence uint64
	// Status is the worker's report at the time of the poll.
	Status external.WorkerStatus
}

// Order is an order of the decider for one attempt.
type Order struct {
	Task       string
	Attempt    uint32
	Action     Action
	Reason     string
	ShareMilli int64
}

// Action is the kind of an order.
type Action string

// Actions.
const (
	Stop       Action = "stop"
	Checkpoint Action = "checkpoint"
	Throttle   Action = "throttle"
	Unthrottle Action = "unthrottle"
)

// AttemptRef identifies one attempt of a task.
type AttemptRef struct {
	Task    string
	Attempt uint32
}

// Reply is a decider's answer to a poll.
type Reply struct {
	Epoch          uint64
	Sequence       uint64
	LeaseMs        int64
	ServiceLeaseMs int64
	PermitMs       int64
	Starts         []external.TaskSpec
	Orders         []Order
	Renewed        []AttemptRef
	Acknowledged   []AttemptRef
	// RenewedAll is true if the leases of exactly the attempts that the poll reported as running are renewed; Renewed is
	// ignored then.
	RenewedAll bool
	// HeldKnown and UsageKnown are true if the decider has stored the running attempts and all measurements of the poll.
	// Only then may the next poll leave them out.
	HeldKnown, UsageKnown bool
}

// Effects are the requests of the side process to its worker, in order.
type Effects struct {
	// Epoch is passed with Renew, even if no lease is renewed, so that the worker refuses older deciders.
	Epoch  uint64
	Renew  []external.Lease
	Forget []AttemptRef
	Orders []Order
	Start  []external.TaskSpec
	// Missing holds attempts that are ordered again although they were started before. The worker no longer runs them,
	// so their end must be reported.
	Missing []AttemptRef
	// Refused is the reason why the reply was ignored; empty if it was accepted.
	Refused string
}

// State is the state of a side process about its deciders and the attempts that they ordered.
type State struct {
	epoch           uint64
	outstandingPoll uint64
	sequence        uint64
	newestAttempt   map[string]uint32
	isService       map[string]bool
	// heldKnown and usageKnown are true if, by the newest reply, the decider of the epoch has stored the list of running
	// attempts and the measurements.
	heldKnown, usageKnown bool
	// samples holds the measurements that the decider has acknowledged, pending those sent with the outstanding poll.
	samples, pending map[string]sample
}

// New returns an empty state.
func New() *State {
	return &State{newestAttempt: make(map[string]uint32), isService: make(map[string]bool), samples: make(map[string]sample)}
}

// Epoch returns the highest epoch seen.
func (s *State) Epoch() uint64 { return s.epoch }

// Sequence returns the sequence number of the newest poll.
func (s *State) Sequence() uint64 { return s.sequence }

// Begin starts a poll. It supersedes the outstanding one.
func (s *State) Begin(status external.WorkerStatus) Poll {
	s.sequence++
	s.outstandingPoll = s.sequence
	s.epoch = max(s.epoch, status.Epoch)
	for _, t := range status.Tasks {
		s.observeAttempt(t.TaskSpec)
	}
	return Poll{s.sequence, status}
}

func (s *State) observeAttempt(t external.TaskSpec) {
	s.newestAttempt[t.Task] = max(s.newestAttempt[t.Task], t.Attempt)
	s.epoch = max(s.epoch, t.Epoch)
	s.isService[t.Task] = t.Kind == record.ServiceJob
}

// Receive applies the reply to a poll and returns its effects.
func (s *State) Receive(p Poll, r Reply) Effects {
	switch {
	case r.Sequence != p.Sequence || p.Sequence != s.outstandingPoll:
		return Effects{Refused: "reply to an earlier poll"}
	case r.Epoch < s.epoch && rule.Enabled(rule.Epoch):
		return Effects{Refused: "reply of an older epoch"}
	}
	s.epoch, s.outstandingPoll = r.Epoch, 0
	s.updateAcknowledged(p, r)
	e := Effects{Epoch: r.Epoch, Orders: r.Orders, Forget: r.Acknowledged}
	renewed := r.Renewed
	if r.RenewedAll {
		renewed = RunningAttempts(p.Status)
	}
	for _, l := range renewed {
		e.Renew = append(e.Renew, external.Lease{Task: l.Task, Attempt: l.Attempt, ExpiresMs: s.expiry(p, r, l.Task)})
	}
	for _, t := range r.Starts {
		if t.Attempt <= s.newestAttempt[t.Task] {
			e.Missing = append(e.Missing, AttemptRef{t.Task, t.Attempt})
			continue
		}
		s.newestAttempt[t.Task] = t.Attempt
		s.isService[t.Task] = t.Kind == record.ServiceJob
		t.Epoch = r.Epoch
		t.ExpiresMs = s.expiry(p, r, t.Task)
		t.StartByMs = p.Status.NowMs + r.PermitMs
		e.Start = append(e.Start, t)
	}
	s.forget(r.Acknowledged)
	return e
}

func (s *State) expiry(p Poll, r Reply, task string) int64 {
	if s.isService[task] {
		return p.Status.NowMs + r.ServiceLeaseMs
	}
	return p.Status.NowMs + r.LeaseMs
}

// forget drops the state of attempts whose end is in the log. Their decider never orders them again, and a reply of an
// earlier decider or to an earlier poll is refused. The size of the state is thus bounded by the worker's attempts.
func (s *State) forget(ended []AttemptRef) {
	for _, t := range ended {
		if s.newestAttempt[t.Task] <= t.Attempt {
			delete(s.newestAttempt, t.Task)
			delete(s.isService, t.Task)
		}
	}
}

// StartFailed records that the worker refused a start, so that the same attempt may be ordered again.
func (s *State) StartFailed(task string, attempt uint32) {
	if s.newestAttempt[task] == attempt {
		s.newestAttempt[task] = attempt - 1
	}
}
