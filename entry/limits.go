package entry

import (
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/verbenakeel/verbenakeel/errdefs"
)

// limits holds the request limits of one customer at this entry.
type limits struct {
	mu       sync.Mutex
	bucket   *rate.Limiter
	inFlight int
}

// limitTable holds limits of customers that sent requests lately. Idle customers have no entry.
type limitTable struct {
	mu   sync.Mutex
	byID map[string]*limits
}

func (t *limitTable) get(customer string, perSecond rate.Limit, burst int) *limits {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byID == nil {
		t.byID = make(map[string]*limits)
	}
	l := t.byID[customer]
	if l == nil {
		l = &limits{bucket: rate.NewLimiter(perSecond, burst)}
		t.byID[customer] = l
	}
	return l
}

// admit applies the contract's limits. Each live entry enforces an equal share, so that all together stay within the
// contract when the balancer spreads requests evenly.
func (e *Entry) admit(cl *call) (func(), error) {
	share := float64(len(e.peers.live()) + 1)
	perSecond := rate.Limit(float64(cl.contract.RequestsPerSecond) / share)
	burst := max(1, int(float64(cl.contract.RequestBurst)/share))
	l := e.limits.get(cl.customer, perSecond, burst)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.bucket.Limit() != perSecond || l.bucket.Burst() != burst {
		l.bucket.SetLimit(perSecond)
		l.bucket.SetBurst(burst)
	}
	if l.inFlight >= max(1, int(float64(cl.contract.Concurrency)/share)) {
		return nil, errdefs.New(errdefs.Refused, fmt.Sprintf("customer %s has too many requests in progress", cl.customer),
			"wait for Retry-After, or ask the operators for a higher concurrency in the contract")
	}
	if !l.bucket.AllowN(time.Now(), 1) {
		return nil, errdefs.New(errdefs.Refused, fmt.Sprintf("customer %s is over its request rate", cl.customer),
			"wait for Retry-After, or ask the operators for a higher rate in the contract")
	}
	l.inFlight++
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.inFlight--
	}, nil
}

// use returns a customer's requests in progress and how many more the bucket allows now; -1 if it sent none yet.
func (t *limitTable) use(customer string) (int, float64) {
	t.mu.Lock()
	l := t.byID[customer]
	t.mu.Unlock()
	if l == nil {
		return 0, -1
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight, max(0, l.bucket.Tokens())
}
