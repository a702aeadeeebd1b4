package load

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// Arrivals returns the intended send times of n requests as offsets from the start of the load. The times are evenly
// spaced, or, if poisson is set, a Poisson process that is determined by the seed.
func Arrivals(perSecond float64, n int, poisson bool, seed uint64) []time.Duration {
	random := rand.New(rand.NewPCG(seed, 0))
	mean := float64(time.Second) / perSecond
	times := make([]time.Duration, n)
	at := 0.0
	for i := range times {
		if poisson {
			at += mean * random.ExpFloat64()
		} else {
			at = mean * float64(i)
		}
		times[i] = time.Duration(at)
	}
	return times
}

// balancer picks targets round-robin and skips unhealthy ones. If none is healthy it picks among all.
type balancer struct {
	unhealthy []atomic.Bool
	next      int // not synchronized: only one goroutine calls pick
}

func (b *balancer) pick() int {
	for range b.unhealthy {
		i := b.next
		b.next = (b.next + 1) % len(b.unhealthy)
		if !b.unhealthy[i].Load() {
			return i
		}
	}
	i := b.next
	b.next = (b.next + 1) % len(b.unhealthy)
	return i
}
