// Package members tracks the endpoints of a region, as one entry knows them from announcements.
package members

import (
	"sort"
	"time"

	"github.com/verbenakeel/verbenakeel/core/clock"
	"github.com/verbenakeel/verbenakeel/core/lifecycle"
)

// Heartbeat timeouts, as multiples of the endpoint's announcement interval.
const (
	// suspectIntervals is the number of intervals without a heartbeat after which an endpoint gets no new requests.
	suspectIntervals = 3
	// removeIntervals is the number of intervals without a heartbeat after which an endpoint is removed.
	removeIntervals = 30
)

// Announcement is the report of a side process about its endpoint. It serves as the endpoint's heartbeat.
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
	// Age is the time since the announcement was made, if it was relayed by a peer.
	Age time.Duration
	// Relayed is true if it was relayed by a peer. A relayed announcement carries no interval.
	Relayed bool
	// Interval is the time after which the side process was asked to announce again; zero for the current interval.
	Interval time.Duration
}

// Endpoint is one endpoint as an entry knows it.
type Endpoint struct {
	Announcement
	// State is the endpoint's life cycle state at this entry.
	State lifecycle.EndpointState
	// LastHeartbeat is the time of the endpoint's last heartbeat.
	LastHeartbeat time.Duration
	// Since is the time of this incarnation's first heartbeat.
	Since time.Duration
	// Direct is true once the side process itself announced this incarnation to this entry. A newer copy relayed by a
	// peer does not reset it.
	Direct bool
	// Change is the value of the change counter at this endpoint's last change that peers must know of.
	Change uint64
}

// Verdict is the result of an announcement.
type Verdict int

// Verdicts.
const (
	// Applied means that the announcement was the newest one and was applied.
	Applied Verdict = iota
	// Stale means that a newer announcement of the same incarnation is known.
	Stale
	// Superseded means that a higher incarnation is known.
	Superseded
)

// State holds the endpoints.
type State struct {
	// Interval is the current heartbeat interval.
	Interval  time.Duration
	endpoints map[string]*Endpoint
	changes   uint64
}

// New returns a state without endpoints.
func New(interval time.Duration) *State {
	return &State{Interval: interval, endpoints: make(map[string]*Endpoint)}
}

// Announce applies an announcement. For a superseded one it returns the higher incarnation.
func (s *State) Announce(now clock.Now, a Announcement) (Verdict, uint64) {
	e := s.endpoints[a.ID]
	announcedAt := now.Mono - a.Age
	if a.Interval == 0 {
		a.Interval = s.Interval
	}
	if e != nil {
		switch {
		case a.Incarnation < e.Incarnation:
			return Superseded, e.Incarnation
		case a.Incarnation == e.Incarnation && a.Sequence < e.Sequence,
			// The side process's own copy replaces a relayed copy that arrived before it.
			a.Incarnation == e.Incarnation && a.Sequence == e.Sequence && (a.Relayed || !e.Relayed):
			e.Direct = e.Direct || !a.Relayed
			return Stale, 0
		}
	}
	if e == nil || a.Incarnation > e.Incarnation {
		// The endpoint is new or has restarted. A restart begins with a new state even at the same address.
		e = &Endpoint{State: lifecycle.EndpointRemoved, Since: announcedAt, LastHeartbeat: announcedAt}
		s.endpoints[a.ID] = e
	}
	if e.Address != a.Address || e.EndpointUp != a.EndpointUp || e.Draining != a.Draining || e.Drained != a.Drained || e.Incarnation != a.Incarnation {
		s.changes++
		e.Change = s.changes
	}
	e.Direct = e.Direct || !a.Relayed
	e.Announcement = a
	e.LastHeartbeat = max(e.LastHeartbeat, announcedAt)
	e.fire(lifecycle.EndpointAnnounced)
	if a.Draining {
		e.fire(lifecycle.EndpointDrain)
	} else {
		e.fire(lifecycle.EndpointUndrain)
	}
	return Applied, 0
}

// ChangedAfter returns the endpoints that announced themselves to this entry and changed after the given value of the
// change counter, and the counter's current value. Endpoints known only from peers are left out, so that announcements
// don't circulate among entries.
func (s *State) ChangedAfter(count uint64) ([]*Endpoint, uint64) {
	var list []*Endpoint
	for _, e := range s.All() {
		if e.Direct && e.Change > count && e.State != lifecycle.EndpointSuspect {
			list = append(list, e)
		}
	}
	return list, s.changes
}

// Drain marks an endpoint as draining before its own announcement says so.
func (s *State) Drain(id string) {
	if e := s.endpoints[id]; e != nil {
		e.fire(lifecycle.EndpointDrain)
	}
}

// Tick marks endpoints without recent heartbeats as suspect, removes those without one for long, and returns the ids of
// the removed ones.
func (s *State) Tick(now clock.Now) []string {
	var removed []string
	for id, e := range s.endpoints {
		sinceHeartbeat := now.Mono - e.LastHeartbeat
		if sinceHeartbeat > suspectIntervals*e.Interval {
			e.fire(lifecycle.EndpointTimeout)
		}
		if sinceHeartbeat > removeIntervals*e.Interval {
			e.fire(lifecycle.EndpointRemove)
			delete(s.endpoints, id)
			removed = append(removed, id)
		}
	}
	sort.Strings(removed)
	return removed
}

// AdjustInterval adjusts the heartbeat interval so that announcements of size bytes each stay within a budget in bytes
// per second, and returns it.
func (s *State) AdjustInterval(minInterval time.Duration, size, budget float64) time.Duration {
	s.Interval = max(minInterval, time.Duration(float64(len(s.endpoints))*size/budget*float64(time.Second)))
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

// Usable returns the endpoints of a service that may get new requests, ordered by id.
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
