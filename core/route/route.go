// Package route chooses endpoints for requests and keeps the budgets of one entry.
package route

import (
	"math/rand/v2"
	"time"

	"github.com/verbenakeel/verbenakeel/core/clock"
	"github.com/verbenakeel/verbenakeel/core/members"
)

// Budgets and limits of an entry.
const (
	// retryShare is the share of requests that may be retried.
	retryShare = 0.10
	// retryReserve lets an idle entry retry a few requests.
	retryReserve = 10
	// ejectAfter is how many failures in a row stop new work to an endpoint.
	ejectAfter = 3
	// ejectFor is how long an endpoint stays ejected.
	ejectFor = 2 * time.Second
	// latencyWeight is the weight of a new sample in the moving average.
	latencyWeight = 0.2
)

// stats is what this entry knows about one endpoint from its own requests.
type stats struct {
	inFlight int
	latency  float64
	failures int
	ejected  time.Duration
}

// State holds the routing state of one entry.
type State struct {
	zone   string
	stats  map[string]*stats
	tokens float64
}

// New returns the state of an entry in the zone.
func New(zone string) *State {
	return &State{zone: zone, stats: make(map[string]*stats), tokens: retryReserve}
}

// Request describes a request to route.
type Request struct {
	// Candidates are the usable endpoints.
	Candidates []*members.Endpoint
	// Exclude holds endpoints that were tried.
	Exclude map[string]bool
	// AvoidZone is a zone that a try just failed in; empty for none.
	AvoidZone string
	// Seed drives the random choice.
	Seed uint64
}

// Pick returns the endpoint for a request and counts it as in flight.
func (s *State) Pick(now clock.Now, r Request) (*members.Endpoint, bool) {
	list := s.eligible(now, r)
	if len(list) == 0 {
		return nil, false
	}
	rng := rand.New(rand.NewPCG(r.Seed, uint64(len(list))))
	a := list[rng.IntN(len(list))]
	b := list[rng.IntN(len(list))]
	if s.score(b) < s.score(a) {
		a = b
	}
	s.get(a.ID).inFlight++
	return a, true
}

// eligible returns the candidates of the best tier: own zone with room, any zone with room, any.
func (s *State) eligible(now clock.Now, r Request) []*members.Endpoint {
	var own, room, rest []*members.Endpoint
	for _, e := range r.Candidates {
		st := s.get(e.ID)
		if r.Exclude[e.ID] || st.ejected > now.Mono {
			continue
		}
		hasRoom := st.inFlight < e.Slots
		avoided := e.Zone == r.AvoidZone
		switch {
		case hasRoom && !avoided && e.Zone == s.zone:
			own = append(own, e)
		case hasRoom && !avoided:
			room = append(room, e)
		default:
			rest = append(rest, e)
		}
	}
	switch {
	case len(own) > 0:
		return own
	case len(room) > 0:
		return room
	default:
		return rest
	}
}

func (s *State) score(e *members.Endpoint) float64 {
	st := s.get(e.ID)
	return float64(st.inFlight+e.Queue+1) * max(st.latency, 1e-4)
}

func (s *State) get(id string) *stats {
	st := s.stats[id]
	if st == nil {
		st = new(stats)
		s.stats[id] = st
	}
	return st
}

// Outcome is the end of one try.
type Outcome int

// Outcomes.
const (
	// Answered means that the endpoint answered.
	Answered Outcome = iota
	// Refused means that the side process said not run.
	Refused
	// Failed means that no whole answer came.
	Failed
)

// Done ends a try.
func (s *State) Done(now clock.Now, endpoint string, outcome Outcome, took time.Duration) {
	st := s.get(endpoint)
	st.inFlight = max(0, st.inFlight-1)
	switch outcome {
	case Answered:
		st.failures = 0
		st.latency += latencyWeight * (took.Seconds() - st.latency)
		s.tokens = min(retryReserve, s.tokens+retryShare)
	case Failed:
		st.failures++
		if st.failures >= ejectAfter {
			st.ejected = now.Mono + ejectFor
		}
	}
}

// RetryTokens returns how many retries the budget allows now.
func (s *State) RetryTokens() float64 { return s.tokens }

// TakeRetry reports whether the budget allows a retry, and uses it.
func (s *State) TakeRetry() bool {
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}
