package route

// Budgets of an entry.
const (
	// retryShare is the share of requests that may be retried.
	retryShare = 0.10
	// retryReserve lets an idle entry retry a few requests.
	retryReserve = 20
	// hedgeShare is the share of requests that may be hedged.
	hedgeShare = 0.02
	// hedgeReserve lets an idle entry hedge a few requests.
	hedgeReserve = 4
)

// budget allows an operation for a share of requests. Its reserve bounds how much may be saved up.
type budget struct {
	share   float64
	reserve float64
	tokens  float64
}

func newBudget(share, reserve float64) budget { return budget{share, reserve, reserve} }

// earn counts a request.
func (b *budget) earn() { b.tokens = min(b.reserve, b.tokens+b.share) }

// take uses the budget once if it allows it.
func (b *budget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Began counts a request towards the budgets. Tries beyond the first earn nothing.
func (s *State) Began() {
	s.retry.earn()
	s.hedge.earn()
}

// TakeRetry reports whether the budget allows a retry, and uses it.
func (s *State) TakeRetry() bool { return s.retry.take() }

// TakeHedge reports whether the budget allows a hedge, and uses it.
func (s *State) TakeHedge() bool { return s.hedge.take() }
