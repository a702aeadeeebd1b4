package route

// Retry and hedge budgets of an entry.
const (
	// retryShare is the share of requests that may be retried.
	retryShare = 0.10
	// retryReserve is the number of retries that an idle entry may save up.
	retryReserve = 20
	// hedgeShare is the share of requests that may be hedged.
	hedgeShare = 0.02
	// hedgeReserve is the number of hedges that an idle entry may save up.
	hedgeReserve = 4
)

// budget is a token bucket that allows an operation for a share of requests. Its reserve bounds the saved tokens.
type budget struct {
	share   float64
	reserve float64
	tokens  float64
}

func newBudget(share, reserve float64) budget { return budget{share, reserve, reserve} }

// earn adds the tokens of one request.
func (b *budget) earn() { b.tokens = min(b.reserve, b.tokens+b.share) }

// take consumes a token and reports whether there was one.
func (b *budget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// CountRequest adds the tokens of one request to both budgets. Call it for the first try of a request only.
func (s *State) CountRequest() {
	s.retry.earn()
	s.hedge.earn()
}

// TakeRetry reports whether the budget allows a retry, and consumes its token.
func (s *State) TakeRetry() bool { return s.retry.take() }

// TakeHedge reports whether the budget allows a hedge, and consumes its token.
func (s *State) TakeHedge() bool { return s.hedge.take() }
