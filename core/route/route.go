// Package route chooses endpoints for requests and keeps the budgets and limits of one entry.
package route

import (
	"math/rand/v2"
	"time"

	"github.com/verbenakeel/verbenakeel/core/clock"
	"github.com/verbenakeel/verbenakeel/core/members"
)

// Policy names how endpoints are chosen.
type Policy string

// Policies.
const (
	// LeastLoaded takes the better of two random endpoints, by load and latency, in the own zone while it has room.
	LeastLoaded Policy = "least_loaded"
	// Random takes any endpoint. It is a baseline for measurements.
	Random Policy = "random"
	// RoundRobin takes endpoints in turn. It is a baseline for measurements.
	RoundRobin Policy = "round_robin"
)

// Limits of routing.
const (
	// ejectAfter is how many failures in a row stop new work to an endpoint.
	ejectAfter = 3
	// ejectFor is how long an endpoint is ejected at first; each further ejection without an answer doubles it.
	ejectFor = time.Second
	// ejectMax bounds the doubled time.
	ejectMax = 16 * time.Second
	// slowStart is the time over which a newcomer's share rises to a full one.
	slowStart = 10 * time.Second
	// slowStartFloor is the share of a full one that a newcomer begins with.
	slowStartFloor = 0.1
	// loadAge is how long a reported load counts; it fades linearly, because entries do not tell each other what they
	// send.
	loadAge = time.Second
	// latencyWeight is the weight of a new sample in the moving averages.
	latencyWeight = 0.2
	// minLatency keeps endpoints without samples comparable, in seconds.
	minLatency = 1e-4
	// hedgeFloor is the shortest time before a request is hedged.
	hedgeFloor = 25 * time.Millisecond
	// hedgeDeviations is how many mean deviations above the mean latency a request is hedged.
	hedgeDeviations = 8
)

// stats is what this entry knows about one endpoint beside its announcements.
type stats struct {
	inFlight int
	// latency and deviation are moving averages of answers in seconds.
	latency   float64
	deviation float64
	// failures counts failed tries in a row, ejections those that led to an ejection since the last answer.
	failures  int
	ejections int
	// ejected is when the ejection ends; probing is true from then until the next answer.
	ejected time.Duration
	probing bool
	// ready is when the endpoint came back from an ejection.
	ready time.Duration
	// others is how many requests of other entries the side process last reported, and queue its queue.
	others     float64
	queue      float64
	reportedAt time.Duration
}

// State holds the routing state of one entry.
type State struct {
	zone   string
	policy Policy
	stats  map[string]*stats
	turn   map[string]int
	retry  budget
	hedge  budget
	limits map[string]*customerUse
	peers  map[string]*peerUse
}

// New returns the state of an entry in the zone.
func New(zone string, policy Policy) *State {
	if policy == "" {
		policy = LeastLoaded
	}
	return &State{
		zone: zone, policy: policy, stats: make(map[string]*stats), turn: make(map[string]int),
		retry: newBudget(retryShare, retryReserve), hedge: newBudget(hedgeShare, hedgeReserve),
		limits: make(map[string]*customerUse), peers: make(map[string]*peerUse),
	}
}

// Request describes a request to route.
type Request struct {
	// Service is the service asked for.
	Service string
	// Candidates are the usable endpoints, ordered by id.
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
	var chosen *members.Endpoint
	switch s.policy {
	case RoundRobin:
		chosen = list[s.turn[r.Service]%len(list)]
		s.turn[r.Service]++
	case Random:
		chosen = list[rng.IntN(len(list))]
	default:
		chosen = s.better(now, list, rng)
	}
	s.get(chosen.ID).inFlight++
	return chosen, true
}

// better returns the better one of two distinct random endpoints.
func (s *State) better(now clock.Now, list []*members.Endpoint, rng *rand.Rand) *members.Endpoint {
	i := rng.IntN(len(list))
	if len(list) == 1 {
		return list[0]
	}
	j := rng.IntN(len(list) - 1)
	if j >= i {
		j++
	}
	typical := s.typical(list)
	if s.score(now, list[j], typical) < s.score(now, list[i], typical) {
		return list[j]
	}
	return list[i]
}

// eligible returns the candidates of the best tier: own zone with room, any zone with room, any. The baselines take all
// candidates that were not tried.
func (s *State) eligible(now clock.Now, r Request) []*members.Endpoint {
	var own, room, rest, avoided []*members.Endpoint
	ejected := s.ejectedNow(now, r.Candidates)
	for _, e := range r.Candidates {
		st := s.get(e.ID)
		if r.Exclude[e.ID] || ejected[e.ID] {
			continue
		}
		hasRoom := float64(st.inFlight)+st.othersNow(now)+1 <= float64(e.Slots)
		switch {
		case s.policy != LeastLoaded:
			rest = append(rest, e)
		case e.Zone == r.AvoidZone:
			avoided = append(avoided, e)
		case hasRoom && e.Zone == s.zone:
			own = append(own, e)
		case hasRoom:
			room = append(room, e)
		default:
			rest = append(rest, e)
		}
	}
	for _, tier := range [][]*members.Endpoint{own, room, rest, avoided} {
		if len(tier) > 0 {
			return tier
		}
	}
	return nil
}

// ejectedNow returns the endpoints that get no new work: at most half of the candidates, those ejected last first let
// back in. An endpoint whose ejection ended gets one request at a time until it answers.
func (s *State) ejectedNow(now clock.Now, candidates []*members.Endpoint) map[string]bool {
	out := make(map[string]bool)
	if s.policy != LeastLoaded {
		return out
	}
	for _, e := range candidates {
		st := s.get(e.ID)
		if len(out) >= len(candidates)/2 {
			break
		}
		if st.ejected > now.Mono || (st.probing && st.inFlight > 0) {
			out[e.ID] = true
		}
	}
	return out
}

// score is the expected cost of a further request. Lower is better.
func (s *State) score(now clock.Now, e *members.Endpoint, typical float64) float64 {
	st := s.get(e.ID)
	load := float64(st.inFlight) + st.othersNow(now) + st.queueNow(now) + 1
	latency := s.latency(e)
	if latency == 0 {
		latency = typical
	}
	since := max(e.Since, st.ready)
	ramp := min(1, max(slowStartFloor, float64(now.Mono-since)/float64(slowStart)))
	return load * max(latency, minLatency) / ramp
}

// latency returns the endpoint's latency as seen here or else as it announced it, in seconds; 0 if neither is known.
func (s *State) latency(e *members.Endpoint) float64 {
	if st := s.get(e.ID); st.latency > 0 {
		return st.latency
	}
	return e.Latency.Seconds()
}

// typical returns the mean of the known latencies, in seconds. Endpoints without one are taken to be like the others:
// with a latency near zero a restarted endpoint drew all requests until its first answer.
func (s *State) typical(list []*members.Endpoint) float64 {
	sum, n := 0.0, 0
	for _, e := range list {
		if v := s.latency(e); v > 0 {
			sum += v
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

// fade is the weight of a report of the given time.
func (st *stats) fade(now clock.Now) float64 {
	return max(0, 1-float64(now.Mono-st.reportedAt)/float64(loadAge))
}

func (st *stats) othersNow(now clock.Now) float64 { return st.others * st.fade(now) }

func (st *stats) queueNow(now clock.Now) float64 { return st.queue * st.fade(now) }

func (s *State) get(id string) *stats {
	st := s.stats[id]
	if st == nil {
		st = new(stats)
		s.stats[id] = st
	}
	return st
}

// Report takes the load that a side process reported with an announcement or an answer.
func (s *State) Report(now clock.Now, endpoint string, slots, free, queue int) {
	st := s.get(endpoint)
	st.others = max(0, float64(slots-free+queue-st.inFlight))
	st.queue = float64(queue)
	st.reportedAt = now.Mono
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
	// Abandoned means that the answer was not waited for, so that nothing was learned.
	Abandoned
	// Slow means that another try was answered first. The time so far is a lower bound of the latency.
	Slow
)

// Done ends a try.
func (s *State) Done(now clock.Now, endpoint string, outcome Outcome, took time.Duration) {
	st := s.get(endpoint)
	st.inFlight = max(0, st.inFlight-1)
	switch outcome {
	case Answered:
		if st.probing {
			st.ready = now.Mono
		}
		st.failures, st.ejections, st.probing, st.ejected = 0, 0, false, 0
		st.sample(took)
	case Slow:
		if took.Seconds() > st.latency {
			st.sample(took)
		}
	case Failed:
		if took.Seconds() > st.latency {
			st.sample(took)
		}
		st.failures++
		// Requests that were in flight when the ejection began say nothing new.
		if now.Mono >= st.ejected && (st.failures >= ejectAfter || st.probing) {
			st.ejected = now.Mono + min(ejectMax, ejectFor<<min(st.ejections, 4))
			st.ejections++
			st.probing = true
		}
	}
}

// sample updates the moving averages.
func (st *stats) sample(took time.Duration) {
	v := took.Seconds()
	if st.latency == 0 {
		st.latency, st.deviation = v, v/2
		return
	}
	st.deviation += latencyWeight * (max(v-st.latency, st.latency-v) - st.deviation)
	st.latency += latencyWeight * (v - st.latency)
}

// HedgeAfter returns how long a request at the endpoint may take before a second one is worth its cost.
func (s *State) HedgeAfter(endpoint string) time.Duration {
	st := s.get(endpoint)
	if st.latency == 0 {
		return 10 * hedgeFloor
	}
	return max(hedgeFloor, time.Duration((st.latency+hedgeDeviations*st.deviation)*float64(time.Second)))
}

// Forget drops what is known about an endpoint that has gone.
func (s *State) Forget(endpoint string) {
	if st := s.stats[endpoint]; st != nil && st.inFlight == 0 {
		delete(s.stats, endpoint)
	}
}
