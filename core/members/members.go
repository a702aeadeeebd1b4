// Package members keeps the endpoints and entries of a region as one entry has learned them from announcements.
package members

import (
	"sort"
	"time"

	"github.com/verbenakeel/verbenakeel/core/clock"
	"github.com/verbenakeel/verbenakeel/core/lifecycle"
)

// Limits of silence, as multiples of the heartbeat interval in force.
const (
	// suspectAfter is how many intervals an endpoint may be silent before it gets no new work.
	suspectAfter = 3
	// forgetAfter is how many intervals pass before a silent endpoint is dropped.
	forgetAfter = 30
)

// Announcement is what a side process says about its endpoint.
type Announcement struct {
	ID          string
	Incarnation uint64
	Sequence    uint64
	Zone        string
	Rack        string
	Service     string
	Address     string
	Slots       int
	SlotsFree   int
	Queue       int
	Latency     time.Duration
	Draining    bool
	Drained     bool
	EndpointUp  bool
	Revision    uint64
	// Age is how long ago the announcement was made, for one that a peer passed on.
	Age time.Duration
	// Relayed is true for one that a peer passed on. It leaves out the interval.
	Relayed bool
	// Interval is when the side process was told to announce again; zero for the interval in force.
	Interval time.Duration
}

// Endpoint is one endpoint as an entry knows it.
type Endpoint struct {
	Announcement
	// State is the endpoint's life cycle at this entry.
	State lifecycle.EndpointState
	// Heard is when the endpoint was last heard of.
	Heard time.Duration
	// Since is when this incarnation was first heard of.
	Since time.Duration
	// FirstHand is true once the side process announced this run here itself. A newer copy from a peer does not undo it.
	FirstHand bool
	// Change counts the changes of all endpoints up to the last one of this endpoint that peers should know.
	Change uint64
}

// Verdict says what became of an announcement.
type Verdict int

// Verdicts.
const (
	// Taken means that the announcement is the newest one.
	Taken Verdict = iota
	// Old means that a newer announcement of the same incarnation is known.
	Old
	// Superseded means that a higher incarnation is known.
	Superseded
)

// State holds the endpoints.
type State struct {
	// Interval is the heartbeat interval in force.
	Interval  time.Duration
	endpoints map[string]*Endpoint
	changes   uint64
}

// New returns an empty membership.
func New(interval time.Duration) *State {
	return &State{Interval: interval, endpoints: make(map[string]*Endpoint)}
}

// Announce takes an announcement. For a superseded one it returns the higher incarnation.
func (s *State) Announce(now clock.Now, a Announcement) (Verdict, uint64) {
	e := s.endpoints[a.ID]
	heard := now.Mono - a.Age
	if a.Interval == 0 {
		a.Interval = s.Interval
	}
	if e != nil {
		switch {
		case a.Incarnation < e.Incarnation:
			return Superseded, e.Incarnation
		case a.Incarnation == e.Incarnation && a.Sequence < e.Sequence,
			// One that came first through a peer is completed by the side process's own copy.
			a.Incarnation == e.Incarnation && a.Sequence == e.Sequence && (a.Relayed || !e.Relayed):
			e.FirstHand = e.FirstHand || !a.Relayed
			return Old, 0
		}
	}
	if e == nil || a.Incarnation > e.Incarnation {
		// A newcomer, or a restart, which begins anew even on the same address.
		e = &Endpoint{State: lifecycle.EndpointGone, Since: heard, Heard: heard}
		s.endpoints[a.ID] = e
	}
	if e.Address != a.Address || e.EndpointUp != a.EndpointUp || e.Draining != a.Draining || e.Drained != a.Drained || e.Incarnation != a.Incarnation {
		s.changes++
		e.Change = s.changes
	}
	e.FirstHand = e.FirstHand || !a.Relayed
	e.Announcement = a
	e.Heard = max(e.Heard, heard)
	e.fire(lifecycle.EndpointHeard)
	if a.Draining {
		e.fire(lifecycle.EndpointDrain)
	} else {
		e.fire(lifecycle.EndpointUndrain)
	}
	return Taken, 0
}

// ChangedAfter returns the endpoints that this entry heard of first-hand and that changed after the given count, and the
// count to ask for next. Endpoints known from peers only are left out, so that nothing circulates.
func (s *State) ChangedAfter(count uint64) ([]*Endpoint, uint64) {
	var list []*Endpoint
	for _, e := range s.All() {
		if e.FirstHand && e.Change > count && e.State != lifecycle.EndpointSuspect {
			list = append(list, e)
		}
	}
	return list, s.changes
}

// Drain marks an endpoint as shutting down before its own announcement says so.
func (s *State) Drain(id string) {
	if e := s.endpoints[id]; e != nil {
		e.fire(lifecycle.EndpointDrain)
	}
}

// Tick notes silence, forgets endpoints that were silent for long, and returns their ids.
func (s *State) Tick(now clock.Now) []string {
	var gone []string
	for id, e := range s.endpoints {
		silent := now.Mono - e.Heard
		if silent > suspectAfter*e.Interval {
			e.fire(lifecycle.EndpointSilent)
		}
		if silent > forgetAfter*e.Interval {
			e.fire(lifecycle.EndpointForget)
			delete(s.endpoints, id)
			gone = append(gone, id)
		}
	}
	sort.Strings(gone)
	return gone
}

// Pace sets the heartbeat interval so that announcements of the given size in bytes stay within the budget in bytes a
// second, and returns it.
func (s *State) Pace(least time.Duration, size, budget float64) time.Duration {
	s.Interval = max(least, time.Duration(float64(len(s.endpoints))*size/budget*float64(time.Second)))
	return s.Interval
}

func (e *Endpoint) fire(t lifecycle.EndpointTrigger) {
	if lifecycle.Endpoint.Can(e.State, t) {
		_ = lifecycle.Endpoint.Fire(&e.State, t)
	}
}

// Get returns an endpoint.
func (s *State) Get(id string) (*Endpoint, bool) {
	e, ok := s.endpoints[id]
	return e, ok
}

// Usable returns the endpoints of a service that may get new work, ordered by id.
func (s *State) Usable(service string) []*Endpoint {
	var list []*Endpoint
	for _, e := range s.endpoints {
		if e.Service == service && e.State == lifecycle.EndpointUp && e.EndpointUp {
			list = append(list, e)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// All returns all endpoints ordered by id.
func (s *State) All() []*Endpoint {
	list := make([]*Endpoint, 0, len(s.endpoints))
	for _, e := range s.endpoints {
		list = append(list, e)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}
