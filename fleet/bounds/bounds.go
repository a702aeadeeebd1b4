// Package bounds derives the times of the system from the bounds in the settings.
package bounds

import "time"

// Bounds are the figures of a deployment. Later fields follow from the earlier ones by Derive.
type Bounds struct {
	// HoldMax is the longest lease that workers grant.
	HoldMax time.Duration
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	// Harm is how long a task that serves may be over its target.
	Harm time.Duration
	// Notice is how long a lasting task may take to be at work.
	Notice time.Duration
	// Status is how long the state of an ended job is kept.
	Status time.Duration
	// FarFactor is how much longer a task takes away from its rack.
	FarFactor float64
	// Restore is the time to resume from a checkpoint.
	Restore time.Duration
	// Finish is the time after which every job must have something at work if there is room.
	Finish time.Duration

	// Lease is how long a worker may go on without word of a decider.
	Lease time.Duration
	// Lead is how long a decider may act without word of the store.
	Lead time.Duration
	// ClaimAfter is the silence of the decider after which another entry claims.
	ClaimAfter time.Duration
}

const (
	// shareOfHold is the part of the longest lease that is used, so that a renewal that is late by a third does no harm.
	shareOfHold = 0.66
	// leaseLeast and leaseMost bound the lease: it outlives two lost pings and a change of the decider, and work on an
	// instance that is gone is back before a user misses it.
	leaseLeast = 1500 * time.Millisecond
	leaseMost  = 4 * time.Second
	// leadMost bounds the time without the store. Together with the lease it outlives an outage of 9 s.
	leadMost = 5 * time.Second
	// claimAfter is two signs of life and two answers of a store that is 80 times slower than usual.
	claimAfter = 1300 * time.Millisecond
)

// ClockSlack is how much longer a lease may last on a worker's slow clock: 2%, and the granularity of timers.
func ClockSlack(lease time.Duration) time.Duration { return lease/50 + 100*time.Millisecond }

// Derive returns b with the derived fields set.
func (b Bounds) Derive() Bounds {
	b.Lease = min(max(time.Duration(float64(b.HoldMax)*shareOfHold), leaseLeast), leaseMost)
	b.Lead = leadMost
	b.ClaimAfter = claimAfter
	return b
}
