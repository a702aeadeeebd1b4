package stream

import (
	"context"
	"fmt"

	"golang.org/x/time/rate"
)

// Budget limits the append rate of one process over all its writers. Snapshots have a lower limit of their own, which
// bounds the share that they take from decisions, submissions and claims.
type Budget struct {
	all  *rate.Limiter
	bulk *rate.Limiter
}

// NewBudget returns a budget of appends per second, of which snapshots get at most bulk.
func NewBudget(appends, bulk int) *Budget {
	return &Budget{all: rate.NewLimiter(rate.Limit(appends), max(1, appends/4)), bulk: rate.NewLimiter(rate.Limit(bulk), 1)}
}

// wait blocks until an append may be sent. A nil budget has no limit.
func (b *Budget) wait(ctx context.Context, bulk bool) error {
	if b == nil {
		return nil
	}
	if bulk {
		if err := b.bulk.Wait(ctx); err != nil {
			return fmt.Errorf("wait for the budget of snapshots: %w", err)
		}
	}
	if err := b.all.Wait(ctx); err != nil {
		return fmt.Errorf("wait for the budget of appends: %w", err)
	}
	return nil
}
