// Package route chooses endpoints for requests and enforces the retry and hedge budgets and the request limits of one
// entry.
package route

import (
	"math/rand/v2"
	"time"

	"github.com/verbenakeel/verbenakeel/core/clock"
	"github.com/verbenakeel/verbenakeel/core/members"
)

// Policy is a load balancing policy.
type Policy string

// Policies.
const (
	// LeastLoaded picks the better of two random endpoints by load and latency, in the entry's own zone while it has
	// free slots.
	LeastLoaded Policy = "least_loaded"
	// Random picks a random endpoint. It is a baseline for measurements.
	Random Policy = "random"
	// RoundRobin picks endpoints one after the other. It is a baseline for measurements.
	RoundRobin Policy = "round_robin"
)

// Parameters of outlier ejection, load balancing and hedging.
const (
	// ejectAfter is the number of consecutive failures after which an endpoint is ejected and gets no new requests.
	ejectAfter = 3
	// initialEjection is the duration of the first ejection; each further one without an answer in between doubles it.
	initialEjection = time.Second
	// maxEjection is the longest duration of an ejection.
	maxEjection = 16 * time.Second
	// slowStartPeriod is the time over which the weight of a new or recovered endpoint rises to 1.
	slowStartPeriod = 10 * time.Second
	// slowStartMinShare is the weight with which a new or recovered endpoint begins.
	slowStartMinShare = 0.1
	// loadReportTTL is how long a reported load is used. Its weight decays linearly, because entries don't tell each other
	// which requests they send.
	loadReportTTL = time.Second
	// latencyWeight is the weight of a new sample in the moving averages.
	latencyWeight = 0.2
	// minLatencySeconds is the lower bound of the latency in a score, so that scores of endpoints without samples differ by
	// load.
	minLatencySeconds = 1e-4
	// minHedgeDelay is the minimum time before a request is hedged.
	minHedgeDelay = 25 * time.Millisecond
	// hedgeDeviations is the number of mean deviations above the mean latency after which a request is hedged.
	hedgeDeviations = 8
)

// endpointStats holds this entry's own measurements of one endpoint and the load that it last reported.
type endpointStats struct {
	inFlight int
	// latency and deviation are the moving mean latency of answers and its mean deviation, in seconds.
	latency   float64
	deviation float64
	// failures counts consecutive failed tries, ejections the ejections since the last answer.
	failures  int
	ejections int
	// ejectedUntil is when the ejection ends. probing is true from its begin until the next answer.
	ejectedUntil time.Duration
	probing      bool
	// recoveredAt is when the endpoint first answered after an ejection.
	recoveredAt time.Duration
	// otherLoad is the number of requests of other entries in the side process's last report, queue its queue length.
	otherLoad  float64
	queue      float64
	reportedAt time.Duration
}

// State holds the routing state of one entry.
type State struct {
	zone      string
	policy    Policy
	stats     map[string]*endpointStats
	nextIndex map[string]int
	retry     budget
	hedge     budget
	limits    map[string]*customerUse
	peers     map[string]*peerUse
}

// New returns the state of an entry in the zone.
func New(zone string, policy Policy) *State {
	if policy == "" {
		policy = LeastLoaded
	}
	return &State{
		zone: zone, policy: policy, stats: make(map[string]*endpointStats), nextIndex: make(map[string]int),
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
	// Exclude holds the endpoints that were tried already.
	Exclude map[string]bool
	// AvoidZone is the zone of a try that just failed; empty for none.
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
		chosen = list[s.nextIndex[r.Service]%len(list)]
		s.nextIndex[r.Service]++
	case Random:
		chosen = list[rng.IntN(len(list))]
	default:
		chosen = s.pickLeastLoaded(now, list, rng)
	}
	s.statsFor(chosen.ID).inFlight++
	return chosen, true
}

// pickLeastLoaded returns the one with the lower score of two distinct random endpoints.
func (s *State) pickLeastLoaded(now clock.Now, list []*members.Endpoint, rng *rand.Rand) *members.Endpoint {
	i := rng.IntN(len(list))
	if len(list) == 1 {
		return list[0]
	}
	j := rng.IntN(len(list) - 1)
	if j >= i {
		j++
	}
	mean := s.meanLatency(list)
	if s.score(now, list[j], mean) < s.score(now, list[i], mean) {
		return list[j]
	}
	return list[i]
}

// eligible returns the candidates of the best tier: those with free slots in the own zone, those with free slots in
// other zones, those without free slots, those in the zone to avoid. For the baseline policies all candidates that were
// not tried are in one tier.
func (s *State) eligible(now clock.Now, r Request) []*members.Endpoint {
	var ownZone, withCapacity, rest, avoided []*members.Endpoint
	ejected := s.ejectedEndpoints(now, r.Candidates)
	for _, e := range r.Candidates {
		st := s.statsFor(e.ID)
		if r.Exclude[e.ID] || ejected[e.ID] {
			continue
		}
		hasCapacity := float64(st.inFlight)+st.weightedOtherLoad(now)+1 <= float64(e.Slots)
		switch {
		case s.policy != LeastLoaded:
			rest = append(rest, e)
		case e.Zone == r.AvoidZone:
			avoided = append(avoided, e)
		case hasCapacity && e.Zone == s.zone:
			ownZone = append(ownZone, e)
		case hasCapacity:
			withCapacity = append(withCapacity, e)
		default:
			rest = append(rest, e)
		}
	}
	for _, tier := range [][]*members.Endpoint{ownZone, withCapacity, rest, avoided} {
		if len(tier) > 0 {
			return tier
		}
	}
	return nil
}

// ejectedEndpoints returns the ejected candidates, which get no new requests: the first ones in the order of the list, at
// most half of it. An endpoint whose ejection has ended gets one request at a time until it answers.
func (s *State) ejectedEndpoints(now clock.Now, candidates []*members.Endpoint) map[string]bool {
	out := make(map[string]bool)
	if s.policy != LeastLoaded {
		return out
	}
	for _, e := range candidates {
		st := s.statsFor(e.ID)
		if len(out) >= len(candidates)/2 {
			break
		}
		if st.ejectedUntil > now.Mono || (st.probing && st.inFlight > 0) {
			out[e.ID] = true
		}
	}
	return out
}

// score returns the expected cost of a further request at the endpoint. Lower is better.
func (s *State) score(now clock.Now, e *members.Endpoint, meanLatency float64) float64 {
	st := s.statsFor(e.ID)
	load := float64(st.inFlight) + st.weightedOtherLoad(now) + st.weightedQueue(now) + 1
	latency := s.latency(e)
	if latency == 0 {
		latency = meanLatency
	}
	rampStart := max(e.Since, st.recoveredAt)
	ramp := min(1, max(slowStartMinShare, float64(now.Mono-rampStart)/float64(slowStartPeriod)))
	return load * max(latency, minLatencySeconds) / ramp
}

// latency returns the endpoint's latency as measured here or else as announced, in seconds; 0 if neither is known.
func (s *State) latency(e *members.Endpoint) float64 {
	if st := s.statsFor(e.ID); st.latency > 0 {
		return st.latency
	}
	return e.Latency.Seconds()
}

// meanLatency returns the mean of the known latencies, in seconds. It stands in for an unknown latency: with one near
// zero a restarted endpoint got all requests until its first answer.
func (s *State) meanLatency(list []*members.Endpoint) float64 {
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

// reportWeight returns the weight of the last load report, which decays with its age.
func (st *endpointStats) reportWeight(now clock.Now) float64 {
	return max(0, 1-float64(now.Mono-st.reportedAt)/float64(loadReportTTL))
}

func (st *endpointStats) weightedOtherLoad(now clock.Now) float64 {
	return st.otherLoad * st.reportWeight(now)
}

func (st *endpointStats) weightedQueue(now clock.Now) float64 { return st.queue * st.reportWeight(now) }

func (s *State) statsFor(id string) *endpointStats {
	st := s.stats[id]
	if st == nil {
		st = new(endpointStats)
		s.stats[id] = st
	}
	return st
}

// Report stores the load that a side process reported with an announcement or an answer.
func (s *State) Report(now clock.Now, endpoint string, slots, free, queue int) {
	st := s.statsFor(endpoint)
	st.otherLoad = max(0, float64(slots-free+queue-st.inFlight))
	st.queue = float64(queue)
	st.reportedAt = now.Mono
}

// Outcome is the result of one try.
type Outcome int

// Outcomes.
const (
	// Answered means that the endpoint answered.
	Answered Outcome = iota
	// Refused means that the side process refused the request without running it.
	Refused
	// Failed means that no complete answer was received.
	Failed
	// Abandoned means that the caller stopped waiting for the answer, so that the try says nothing about the endpoint.
	Abandoned
	// Slow means that another try was answered first. The time until then is a lower bound of the latency.
	Slow
)

// Done records the outcome of a try.
func (s *State) Done(now clock.Now, endpoint string, outcome Outcome, took time.Duration) {
	st := s.statsFor(endpoint)
	st.inFlight = max(0, st.inFlight-1)
	switch outcome {
	case Answered:
		if st.probing {
			st.recoveredAt = now.Mono
		}
		st.failures, st.ejections, st.probing, st.ejectedUntil = 0, 0, false, 0
		st.addSample(took)
	case Slow:
		if took.Seconds() > st.latency {
			st.addSample(took)
		}
	case Failed:
		if took.Seconds() > st.latency {
			st.addSample(took)
		}
		st.failures++
		// Failures of requests that were in flight when the ejection began don't extend it.
		if now.Mono >= st.ejectedUntil && (st.failures >= ejectAfter || st.probing) {
			st.ejectedUntil = now.Mono + min(maxEjection, initialEjection<<min(st.ejections, 4))
			st.ejections++
			st.probing = true
		}
	}
}

// addSample updates the moving averages by the latency of one try.
func (st *endpointStats) addSample(took time.Duration) {
	v := took.Seconds()
	if st.latency == 0 {
		st.latency, st.deviation = v, v/2
		return
	}
	st.deviation += latencyWeight * (max(v-st.latency, st.latency-v) - st.deviation)
	st.latency += latencyWeight * (v - st.latency)
}

// HedgeAfter returns how long a request at the endpoint may take before a hedge is worth its cost.
func (s *State) HedgeAfter(endpoint string) time.Duration {
	st := s.statsFor(endpoint)
	if st.latency == 0 {
		return 10 * minHedgeDelay
	}
	return max(minHedgeDelay, time.Duration((st.latency+hedgeDeviations*st.deviation)*float64(time.Second)))
}

// Forget drops the statistics of an endpoint that was removed.
func (s *State) Forget(endpoint string) {
	if st := s.stats[endpoint]; st != nil && st.inFlight == 0 {
		delete(s.stats, endpoint)
	}
}
