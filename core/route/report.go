package route

import "github.com/verbenakeel/verbenakeel/core/clock"

// RetryTokens returns how many retries the budget allows now.
func (s *State) RetryTokens() float64 { return s.retry.tokens }

// HedgeTokens returns how many hedges the budget allows now.
func (s *State) HedgeTokens() float64 { return s.hedge.tokens }

// LimitUse is the use of a customer's request limits at this entry.
type LimitUse struct {
	// InFlight is the number of requests in progress.
	InFlight int
	// Available is the number of tokens in the bucket now, Burst its size.
	Available, Burst float64
}

// LimitUse returns a customer's use; false if it has sent no request recently.
func (s *State) LimitUse(now clock.Now, customer string) (LimitUse, bool) {
	u := s.limits[customer]
	if u == nil {
		return LimitUse{}, false
	}
	return LimitUse{u.inFlight, max(0, u.bucket.TokensAt(limiterTime(now))), float64(u.bucket.Burst())}, true
}
