package route

import (
	"sort"
	"time"

	"golang.org/x/time/rate"

	"github.com/verbenakeel/verbenakeel/core/clock"
	"github.com/verbenakeel/verbenakeel/record"
)

// Parameters of the request limits, which hold over all entries together.
const (
	// demandWindow is the time over which the demand of a customer is averaged.
	demandWindow = time.Second
	// peerUseTTL is how long the use that a peer reported is taken into account.
	peerUseTTL = 3 * time.Second
	// idleTimeout is the time after which the use of an idle customer or of a peer that reports nothing is dropped.
	idleTimeout = time.Minute
	// shedBestEffort and shedStandard are the shares of the entry's capacity above which requests of the class are shed.
	shedBestEffort, shedStandard = 0.75, 0.9
	// fairShareThreshold is the share of a customer's concurrency above which each caller is limited to an equal share.
	fairShareThreshold = 0.75
)

// Denial is the reason why a request is not admitted. Empty means that it is admitted.
type Denial string

// Denials.
const (
	// OverRate means that the customer exceeds its request rate.
	OverRate Denial = "rate"
	// OverConcurrency means that the customer has too many requests in progress.
	OverConcurrency Denial = "concurrency"
	// OverShare means that the caller exceeds its share while its customer is near its concurrency limit.
	OverShare Denial = "caller_share"
	// Shed means that the entry is overloaded and sheds this class of work.
	Shed Denial = "overload"
)

// customerUse tracks one customer's requests at this entry.
type customerUse struct {
	bucket   *rate.Limiter
	inFlight int
	// refused counts requests refused for concurrency since the use was last reported to the peers.
	refused int
	callers map[string]int
	// demand is the moving average of offered requests per second, admitted or not.
	demand      float64
	offered     int
	windowStart time.Duration
	lastRequest time.Duration
	// reported is the use that was last reported to the other entries. Shares are computed from it, because it is what all
	// entries know.
	reported Use
}

// Use is one customer's use at one entry.
type Use struct {
	// PerSecond is the rate of offered requests.
	PerSecond float64
	// InFlight is the number of requests in progress.
	InFlight int
}

type peerUse struct {
	receivedAt time.Duration
	use        map[string]Use
}

// Arrival is a request to be admitted.
type Arrival struct {
	// Contract holds the limits.
	Contract record.Contract
	// Caller identifies one of the customer's callers; empty if unknown.
	Caller string
	// Entries is the number of live entries, including this one.
	Entries int
	// Busy is the share of this entry's capacity in use, from 0 to 1.
	Busy float64
}

// Admit applies the limits of the contract. The caller must report the end of an admitted request.
func (s *State) Admit(now clock.Now, a Arrival) Denial {
	u := s.ensureUse(now, a.Contract.Customer, a.Contract)
	u.lastRequest = now.Mono
	u.offered++
	u.updateDemand(now)
	switch {
	case a.Busy >= shedStandard && a.Contract.Priority != record.Critical,
		a.Busy >= shedBestEffort && a.Contract.Priority == record.BestEffort, a.Busy >= 1:
		return Shed
	}
	concurrency := s.concurrencyShare(now, a, u)
	if u.inFlight >= concurrency {
		u.refused++
		return OverConcurrency
	}
	if a.Caller != "" && float64(u.inFlight) >= fairShareThreshold*float64(concurrency) &&
		u.callers[a.Caller] >= max(1, concurrency/max(1, len(u.callers))) {
		return OverShare
	}
	at := limiterTime(now)
	u.bucket.SetLimitAt(at, rate.Limit(s.rateShare(now, a, u)))
	u.bucket.SetBurstAt(at, max(1, a.Contract.RequestBurst/max(1, a.Entries)))
	if !u.bucket.AllowN(at, 1) {
		return OverRate
	}
	u.inFlight++
	if a.Caller != "" {
		u.callers[a.Caller]++
	}
	return ""
}

// Release removes an admitted request that has ended.
func (s *State) Release(customer, caller string) {
	u := s.limits[customer]
	if u == nil {
		return
	}
	u.inFlight = max(0, u.inFlight-1)
	if u.callers[caller]--; u.callers[caller] <= 0 {
		delete(u.callers, caller)
	}
}

func (s *State) ensureUse(now clock.Now, customer string, c record.Contract) *customerUse {
	u := s.limits[customer]
	if u == nil {
		u = &customerUse{
			callers: make(map[string]int), windowStart: now.Mono,
			bucket: rate.NewLimiter(rate.Limit(c.RequestsPerSecond), max(1, c.RequestBurst)),
		}
		s.limits[customer] = u
	}
	return u
}

// updateDemand updates the average demand at most once per quarter of demandWindow.
func (u *customerUse) updateDemand(now clock.Now) {
	passed := now.Mono - u.windowStart
	if passed < demandWindow/4 {
		return
	}
	weight := min(1, passed.Seconds()/demandWindow.Seconds())
	u.demand += weight * (float64(u.offered)/passed.Seconds() - u.demand)
	u.offered, u.windowStart = 0, now.Mono
}

// limiterTime converts the time of an event for package rate.
func limiterTime(now clock.Now) time.Time { return time.Unix(0, 0).Add(now.Mono) }

// rateShare returns the part of the contract's rate that this entry may use.
func (s *State) rateShare(now clock.Now, a Arrival, u *customerUse) float64 {
	others := s.peerDemands(now, a.Contract.Customer, func(p Use) float64 { return p.PerSecond })
	return fairShare(float64(a.Contract.RequestsPerSecond), u.reported.PerSecond, others, a.Entries)
}

// concurrencyShare returns the part of the contract's concurrency that this entry may use.
func (s *State) concurrencyShare(now clock.Now, a Arrival, u *customerUse) int {
	others := s.peerDemands(now, a.Contract.Customer, func(p Use) float64 { return float64(p.InFlight) })
	return max(1, int(fairShare(float64(a.Contract.Concurrency), float64(u.reported.InFlight), others, a.Entries)))
}

func (s *State) peerDemands(now clock.Now, customer string, value func(Use) float64) []float64 {
	var list []float64
	for _, p := range s.peers {
		if now.Mono-p.receivedAt < peerUseTTL {
			list = append(list, value(p.use[customer]))
		}
	}
	sort.Float64s(list)
	return list
}

// fairShare returns the max-min fair share of a limit for an entry whose demand is own. If all entries know the same
// demands, the shares sum up to at most the limit: demands below an equal share are met in full, the rest is divided
// equally among the other entries, and what no entry demands is divided equally among all, which leaves headroom for
// bursts. Entries that reported nothing count as idle. Entries know each other's demands as of the last exchange, so
// the shares can sum up to more than the limit until the next one.
func fairShare(limit, own float64, others []float64, entries int) float64 {
	demands := append([]float64{own}, others...)
	for len(demands) < entries {
		demands = append(demands, 0)
	}
	sort.Float64s(demands)
	remaining, n := limit, len(demands)
	for i, d := range demands {
		equalShare := remaining / float64(n-i)
		if d > equalShare {
			// All demands from here on exceed an equal share.
			return min(own, equalShare)
		}
		remaining -= d
	}
	return own + remaining/float64(n)
}

// SetPeerUse stores the use that another entry reported.
func (s *State) SetPeerUse(now clock.Now, peer string, use map[string]Use) {
	s.peers[peer] = &peerUse{now.Mono, use}
}

// ReportUse returns the use at this entry, which the caller must then report to the other entries. Requests that were
// refused for concurrency count as in flight, so that an entry short of concurrency gets a larger share.
func (s *State) ReportUse(now clock.Now) map[string]Use {
	out := make(map[string]Use)
	for customer, u := range s.limits {
		u.updateDemand(now)
		u.reported = Use{}
		if u.demand >= 0.5 || u.inFlight > 0 || u.refused > 0 {
			u.reported = Use{u.demand, u.inFlight + u.refused}
			out[customer] = u.reported
		}
		u.refused = 0
	}
	return out
}

// Tick drops the use of idle customers and of peers that report nothing any more.
func (s *State) Tick(now clock.Now) {
	for customer, u := range s.limits {
		if u.inFlight == 0 && now.Mono-u.lastRequest > idleTimeout {
			delete(s.limits, customer)
		}
	}
	for id, p := range s.peers {
		if now.Mono-p.receivedAt > idleTimeout {
			delete(s.peers, id)
		}
	}
}
