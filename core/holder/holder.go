// Package holder decides at a side process which orders of a decider its worker carries out.
//
// Permits and leases count from the worker's clock when it was asked for its status, just before the poll was sent. A
// reply that arrives late is therefore worth less, and one that arrives after a pause is worth nothing.
package holder

import (
	"github.com/verbenakeel/verbenakeel/external"
	"github.com/verbenakeel/verbenakeel/internal/rule"
	"github.com/verbenakeel/verbenakeel/record"
)

// Poll is one question to the decider.
type Poll struct {
	// Sequence identifies the poll.
	Sequence uint64
	// Status is the worker's report at the time of the poll.
	Status external.WorkerStatus
}

// Order acts on one attempt.
type Order struct {
	Task       string
	Attempt    uint32
	Action     Action
	Reason     string
	ShareMilli int64
}

// Action is what an order does.
type Action string

// Actions.
const (
	Stop       Action = "stop"
	Checkpoint Action = "checkpoint"
	Throttle   Action = "throttle"
	Unthrottle Action = "unthrottle"
)

// Renewal extends the lease of an attempt.
type Renewal struct {
	Task    string
	Attempt uint32
}

// Reply is a decider's answer.
type Reply struct {
	Epoch          uint64
	Sequence       uint64
	LeaseMs        int64
	ServiceLeaseMs int64
	PermitMs       int64
	Starts         []external.TaskSpec
	Orders         []Order
	Renewed        []Renewal
	Acknowledged   []Renewal
	// RenewedAll is true when the leases of exactly the attempts that ran by the poll are renewed, instead of Renewed.
	RenewedAll bool
	// HeldKnown and UsageKnown are true when the decider knows the running attempts and all measurements of the poll. Only
	// then may the next poll leave them out.
	HeldKnown, UsageKnown bool
}

// Effects are what the side process asks of its worker, in order.
type Effects struct {
	// Epoch is passed with Renew, also if no lease is renewed, so that the worker refuses older deciders.
	Epoch  uint64
	Renew  []external.Lease
	Forget []Renewal
	Orders []Order
	Start  []external.TaskSpec
	// Vanished holds attempts that were started before and that the worker no longer has. Their end must be reported.
	Vanished []Renewal
	// Refused says why the reply was ignored; empty if it was taken.
	Refused string
}

// State is what a side process remembers of deciders.
type State struct {
	epoch       uint64
	outstanding uint64
	sequence    uint64
	newest      map[string]uint32
	services    map[string]bool
	// heldKnown and usageKnown are true while the decider of the epoch said in the newest reply that it knows the list and
	// the measurements.
	heldKnown, usageKnown bool
	// samples holds the measurements that the decider has, pending those sent with the outstanding poll.
	samples, pending map[string]sample
}

// New returns an empty state.
func New() *State {
	return &State{newest: make(map[string]uint32), services: make(map[string]bool), samples: make(map[string]sample)}
}

// Epoch returns the highest epoch seen.
func (s *State) Epoch() uint64 { return s.epoch }

// Sequence returns the sequence number of the newest poll.
func (s *State) Sequence() uint64 { return s.sequence }

// Begin opens a poll.
func (s *State) Begin(status external.WorkerStatus) Poll {
	s.sequence++
	s.outstanding = s.sequence
	s.epoch = max(s.epoch, status.Epoch)
	for _, t := range status.Tasks {
		s.see(t.TaskSpec)
	}
	return Poll{s.sequence, status}
}

func (s *State) see(t external.TaskSpec) {
	s.newest[t.Task] = max(s.newest[t.Task], t.Attempt)
	s.epoch = max(s.epoch, t.Epoch)
	s.services[t.Task] = t.Kind == record.ServiceJob
}

// Receive takes the reply to a poll.
func (s *State) Receive(p Poll, r Reply) Effects {
	switch {
	case r.Sequence != p.Sequence || p.Sequence != s.outstanding:
		return Effects{Refused: "reply to an earlier poll"}
	case r.Epoch < s.epoch && rule.On(rule.Epoch):
		return Effects{Refused: "reply of an older epoch"}
	}
	s.epoch, s.outstanding = r.Epoch, 0
	s.told(p, r)
	e := Effects{Epoch: r.Epoch, Orders: r.Orders, Forget: r.Acknowledged}
	renewed := r.Renewed
	if r.RenewedAll {
		renewed = HeldOf(p.Status)
	}
	for _, l := range renewed {
		e.Renew = append(e.Renew, external.Lease{Task: l.Task, Attempt: l.Attempt, ExpiresMs: s.expiry(p, r, l.Task)})
	}
	for _, t := range r.Starts {
		if t.Attempt <= s.newest[t.Task] {
			e.Vanished = append(e.Vanished, Renewal{t.Task, t.Attempt})
			continue
		}
		s.newest[t.Task] = t.Attempt
		s.services[t.Task] = t.Kind == record.ServiceJob
		t.Epoch = r.Epoch
		t.ExpiresMs = s.expiry(p, r, t.Task)
		t.StartByMs = p.Status.NowMs + r.PermitMs
		e.Start = append(e.Start, t)
	}
	s.forget(r.Acknowledged)
	return e
}

func (s *State) expiry(p Poll, r Reply, task string) int64 {
	if s.services[task] {
		return p.Status.NowMs + r.ServiceLeaseMs
	}
	return p.Status.NowMs + r.LeaseMs
}

// forget drops what is known of attempts whose end is on record. Their decider never orders them again, and a reply of
// an earlier decider or to an earlier poll is refused, so the state stays as small as what the worker holds.
func (s *State) forget(ended []Renewal) {
	for _, t := range ended {
		if s.newest[t.Task] <= t.Attempt {
			delete(s.newest, t.Task)
			delete(s.services, t.Task)
		}
	}
}

// StartFailed tells that the worker refused a start, so that the same attempt may be ordered again.
func (s *State) StartFailed(task string, attempt uint32) {
	if s.newest[task] == attempt {
		s.newest[task] = attempt - 1
	}
}
