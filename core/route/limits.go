package route

import (
	"sort"
	"time"

	"golang.org/x/time/rate"

	"github.com/verbenakeel/verbenakeel/core/clock"
	"github.com/verbenakeel/verbenakeel/record"
)

// Limits over all entries.
const (
	// useWindow is the time over which the demand of a customer is averaged.
	useWindow = time.Second
	// useFresh is how long the use that a peer reported counts.
	useFresh = 3 * time.Second
	// idleUse is when the use of an idle customer is dropped.
	idleUse = time.Minute
	// shedBestEffort and shedStandard are the shares of the entry's capacity above which requests of the class are shed.
	shedBestEffort, shedStandard = 0.75, 0.9
	// callerPressure is the share of a customer's concurrency above which callers are held to an equal share.
	callerPressure = 0.75
)

// Denial says why a request is not admitted. Empty means that it is admitted.
type Denial string

// Denials.
const (
	// OverRate means that the customer is over its request rate.
	OverRate Denial = "rate"
	// OverConcurrency means that the customer has too many requests in progress.
	OverConcurrency Denial = "concurrency"
	// OverShare means that the caller uses more than its share while its customer is near its limit.
	OverShare Denial = "caller_share"
	// Shed means that the entry is overloaded and sheds this class of work.
	Shed Denial = "overload"
)

// customerUse is what this entry knows of one customer's requests here.
type customerUse struct {
	bucket   *rate.Limiter
	inFlight int
	// wanted counts requests refused for concurrency since the use was told.
	wanted  int
	callers map[string]int
	// demand is the moving average of offered requests a second, admitted or not.
	demand  float64
	offered int
	since   time.Duration
	last    time.Duration
	// told is the use that the other entries were told of. Shares are made from it, because all entries know it.
	told Use
}

// Use is one customer's use at one entry.
type Use struct {
	// PerSecond is the rate of offered requests.
	PerSecond float64
	// InFlight is the number of requests in progress.
	InFlight int
}

type peerUse struct {
	heard time.Duration
	use   map[string]Use
}

// Arrival is a request that asks for admission.
type Arrival struct {
	// Contract holds the limits.
	Contract record.Contract
	// Caller tells callers of one customer apart; empty if unknown.
	Caller string
	// Entries is the number of live entries, this one included.
	Entries int
	// Busy is the share of this entry's capacity in use, from 0 to 1.
	Busy float64
}

// Admit applies the limits of the contract. An admitted request is ended by Leave.
func (s *State) Admit(now clock.Now, a Arrival) Denial {
	u := s.use(now, a.Contract.Customer, a.Contract)
	u.last = now.Mono
	u.offered++
	u.roll(now)
	switch {
	case a.Busy >= shedStandard && a.Contract.Priority != record.Critical,
		a.Busy >= shedBestEffort && a.Contract.Priority == record.BestEffort, a.Busy >= 1:
		return Shed
	}
	concurrency := s.concurrencyShare(now, a, u)
	if u.inFlight >= concurrency {
		u.wanted++
		return OverConcurrency
	}
	if a.Caller != "" && float64(u.inFlight) >= callerPressure*float64(concurrency) &&
		u.callers[a.Caller] >= max(1, concurrency/max(1, len(u.callers))) {
		return OverShare
	}
	at := instant(now)
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

// Leave ends an admitted request.
func (s *State) Leave(customer, caller string) {
	u := s.limits[customer]
	if u == nil {
		return
	}
	u.inFlight = max(0, u.inFlight-1)
	if u.callers[caller]--; u.callers[caller] <= 0 {
		delete(u.callers, caller)
	}
}

func (s *State) use(now clock.Now, customer string, c record.Contract) *customerUse {
	u := s.limits[customer]
	if u == nil {
		u = &customerUse{
			callers: make(map[string]int), since: now.Mono,
			bucket: rate.NewLimiter(rate.Limit(c.RequestsPerSecond), max(1, c.RequestBurst)),
		}
		s.limits[customer] = u
	}
	return u
}

// roll updates the demand once per quarter window.
func (u *customerUse) roll(now clock.Now) {
	passed := now.Mono - u.since
	if passed < useWindow/4 {
		return
	}
	weight := min(1, passed.Seconds()/useWindow.Seconds())
	u.demand += weight * (float64(u.offered)/passed.Seconds() - u.demand)
	u.offered, u.since = 0, now.Mono
}

// instant is the time of an event as package rate takes it.
func instant(now clock.Now) time.Time { return time.Unix(0, 0).Add(now.Mono) }

// rateShare is the part of the contract's rate that this entry may use.
func (s *State) rateShare(now clock.Now, a Arrival, u *customerUse) float64 {
	others := s.reported(now, a.Contract.Customer, func(p Use) float64 { return p.PerSecond })
	return share(float64(a.Contract.RequestsPerSecond), u.told.PerSecond, others, a.Entries)
}

// concurrencyShare is the part of the contract's concurrency that this entry may use.
func (s *State) concurrencyShare(now clock.Now, a Arrival, u *customerUse) int {
	others := s.reported(now, a.Contract.Customer, func(p Use) float64 { return float64(p.InFlight) })
	return max(1, int(share(float64(a.Contract.Concurrency), float64(u.told.InFlight), others, a.Entries)))
}

func (s *State) reported(now clock.Now, customer string, value func(Use) float64) []float64 {
	var list []float64
	for _, p := range s.peers {
		if now.Mono-p.heard < useFresh {
			list = append(list, value(p.use[customer]))
		}
	}
	sort.Float64s(list)
	return list
}

// share returns the part of a limit for an entry with the demand mine. All entries that know the same demands get parts
// that sum up to at most the limit: demands below an equal part are met, the rest is shared equally among the others, and
// what no entry asks for is shared equally among all, so that a sudden demand finds room. Entries that reported nothing
// count as idle ones. Entries know each other's demands as of the last exchange, so the parts can sum up to more than
// the limit until the next one.
func share(limit, mine float64, others []float64, entries int) float64 {
	demands := append([]float64{mine}, others...)
	for len(demands) < entries {
		demands = append(demands, 0)
	}
	sort.Float64s(demands)
	left, n := limit, len(demands)
	for i, d := range demands {
		equal := left / float64(n-i)
		if d > equal {
			// All demands from here on exceed an equal part.
			return min(mine, equal)
		}
		left -= d
	}
	return mine + left/float64(n)
}

// PeerUsed takes the use that another entry reported.
func (s *State) PeerUsed(now clock.Now, peer string, use map[string]Use) {
	s.peers[peer] = &peerUse{now.Mono, use}
}

// OwnUse returns the use at this entry, which is then told to the other entries. Requests that were refused for
// concurrency count as in flight, so that an entry in need gets a larger part.
func (s *State) OwnUse(now clock.Now) map[string]Use {
	out := make(map[string]Use)
	for customer, u := range s.limits {
		u.roll(now)
		u.told = Use{}
		if u.demand >= 0.5 || u.inFlight > 0 || u.wanted > 0 {
			u.told = Use{u.demand, u.inFlight + u.wanted}
			out[customer] = u.told
		}
		u.wanted = 0
	}
	return out
}

// Tick drops the use of idle customers and silent peers.
func (s *State) Tick(now clock.Now) {
	for customer, u := range s.limits {
		if u.inFlight == 0 && now.Mono-u.last > idleUse {
			delete(s.limits, customer)
		}
	}
	for id, p := range s.peers {
		if now.Mono-p.heard > idleUse {
			delete(s.peers, id)
		}
	}
}
