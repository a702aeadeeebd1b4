package entry

import (
	"fmt"
	"math"

	"github.com/verbenakeel/verbenakeel/control"
	"github.com/verbenakeel/verbenakeel/core"
	"github.com/verbenakeel/verbenakeel/core/claims"
	"github.com/verbenakeel/verbenakeel/core/route"
	"github.com/verbenakeel/verbenakeel/errdefs"
)

// maxInFlight is the number of requests in flight at which an entry sheds all requests. Priority classes below critical are
// shed earlier.
const maxInFlight = 4096

// admit applies the contract's limits. The entries exchange their usage, so that together they stay within the contract
// however unevenly the load balancer spreads requests. The returned function ends the request's admission.
func (e *Entry) admit(cl *call) (func(), error) {
	arrival := route.Arrival{
		Contract: cl.contract, Caller: cl.caller, Entries: len(e.peers.live()) + 1,
		Busy: float64(e.inFlight.Load()) / maxInFlight,
	}
	e.mu.Lock()
	denial := e.state.Route.Admit(e.now(), arrival)
	e.mu.Unlock()
	if denial != "" {
		return nil, denialError(cl, denial)
	}
	e.inFlight.Add(1)
	return func() {
		e.inFlight.Add(-1)
		e.mu.Lock()
		defer e.mu.Unlock()
		e.state.Route.Release(cl.customer, cl.caller)
	}, nil
}

func denialError(cl *call, d route.Denial) error {
	switch d {
	case route.OverRate:
		return errdefs.New(errdefs.Refused, fmt.Sprintf("customer %s is over its request rate", cl.customer),
			"wait for Retry-After, or ask the operators for a higher rate in the contract")
	case route.OverConcurrency:
		return errdefs.New(errdefs.Refused, fmt.Sprintf("customer %s has too many requests in progress", cl.customer),
			"wait for Retry-After, or ask the operators for a higher concurrency in the contract")
	case route.OverShare:
		return errdefs.New(errdefs.Refused, fmt.Sprintf("caller %s has more requests in progress than its share", cl.caller),
			"wait for Retry-After and send fewer requests at once")
	}
	return errdefs.New(errdefs.Unavailable, "the entry is overloaded", "try again after Retry-After")
}

// claimsBudget returns the memory for claims in bytes.
func (e *Entry) claimsBudget() int64 { return int64(e.set.ClaimsMB) << 20 }

// checkKeyQuota refuses a request whose key would exceed the contract's number of keys or the memory for claims.
func (e *Entry) checkKeyQuota(cl *call) error {
	var denial claims.Denial
	e.read(func(s *core.State) {
		denial = s.Claims.CheckCapacity(cl.customer, cl.contract.MaxKeys, e.claimsBudget())
	})
	switch denial {
	case claims.OverKeys:
		return errdefs.New(errdefs.Refused, fmt.Sprintf("customer %s has as many keys of the last 24 h as its contract allows", cl.customer),
			"ask the operators for a higher max_keys in the contract")
	case claims.OverMemory:
		return errdefs.New(errdefs.Refused, fmt.Sprintf("the memory for keys is used up and customer %s has its share of it", cl.customer),
			"ask the operators for a higher claims.memory_mb in the settings of the entries")
	}
	return nil
}

// bodyFits reports whether the response body of a claimed request can be recorded for repeats.
func (e *Entry) bodyFits(cl *call, size int) bool {
	fits := false
	e.read(func(s *core.State) { fits = s.Claims.HasCapacityForBody(cl.customer, size, e.claimsBudget()) })
	return fits
}

// usageReport returns the request rate and concurrency of each customer at this entry, for the other entries.
func (e *Entry) usageReport() []*control.RateUse {
	var list []*control.RateUse
	e.read(func(s *core.State) {
		for customer, u := range s.Route.ReportUse(e.now()) {
			list = append(list, &control.RateUse{
				Customer: customer, RequestsPerSecond: uint32(math.Ceil(u.PerSecond)), InFlight: uint32(u.InFlight),
			})
		}
	})
	return list
}

func usageByCustomer(list []*control.RateUse) map[string]route.Use {
	use := make(map[string]route.Use, len(list))
	for _, r := range list {
		use[r.Customer] = route.Use{PerSecond: float64(r.RequestsPerSecond), InFlight: int(r.InFlight)}
	}
	return use
}
