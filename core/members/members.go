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
}

// New returns an empty membership.
func New(interval time.Duration) *State {
	return &State{Interval: interval, endpoints: make(map[string]*Endpoint)}
}

// Announce takes an announcement. For a superseded one it returns the higher incarnation.
func (s *State) Announce(now clock.Now, a Announcement) (Verdict, uint64) {
	e := s.endpoints[a.ID]
	heard := now.Mono - a.Age
	switch {
	case e == nil:
		e = &Endpoint{State: lifecycle.EndpointGone, Since: heard}
		s.endpoints[a.ID] = e
	case a.Incarnation < e.Incarnation:
		return Superseded, e.Incarnation
	case a.Incarnation == e.Incarnation && a.Sequence <= e.Sequence:
		return Old, 0
	case a.Incarnation > e.Incarnation:
		e.Since = heard
		e.State = lifecycle.EndpointGone
	}
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

// Drain marks an endpoint as shutting down before its own announcement says so.
func (s *State) Drain(id string) {
	if e := s.endpoints[id]; e != nil {
		e.fire(lifecycle.EndpointDrain)
	}
}

// Tick notes silence and forgets endpoints that were silent for long.
func (s *State) Tick(now clock.Now) {
	for id, e := range s.endpoints {
		silent := now.Mono - e.Heard
		if silent > suspectAfter*s.Interval {
			e.fire(lifecycle.EndpointSilent)
		}
		if silent > forgetAfter*s.Interval {
			e.fire(lifecycle.EndpointForget)
			delete(s.endpoints, id)
		}
	}
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
