// Package bounds derives timeouts and lease times from the bounds in the settings.
package bounds

import "time"

// Bounds holds the time bounds of a deployment. Derive sets the later fields from the earlier ones.
type Bounds struct {
	// MaxLease is the longest lease that workers grant.
	MaxLease time.Duration
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	// MaxOverTarget is how long a latency-critical task may be over its latency target.
	MaxOverTarget time.Duration
	// MaxStartDelay is how long a long-running task may take until it is running.
	MaxStartDelay time.Duration
	// StatusRetention is how long the state of a finished job is kept.
	StatusRetention time.Duration
	// OffRackFactor is the factor by which a task is slower off its preferred rack.
	OffRackFactor float64
	// Restore is the time that a task takes to resume from a checkpoint.
	Restore time.Duration
	// StarvationLimit is the maximum time for which a job may have no running task while there is free capacity.
	StarvationLimit time.Duration

	// Lease is how long a worker may keep running tasks without an answer of a decider.
	Lease time.Duration
	// AuthorityTimeout is how long a decider has authority without an answer of the store.
	AuthorityTimeout time.Duration
	// ClaimAfter is the time without a heartbeat of the decider after which another entry claims.
	ClaimAfter time.Duration
}

const (
	// leaseShare is the fraction of the longest lease that is used, so that a renewal may be late by a third.
	leaseShare = 0.66
	// minLease and maxLease bound the lease. It covers two lost pings and a change of the decider, but expires early
	// enough that work of a lost instance is restarted before users notice.
	minLease = 1500 * time.Millisecond
	maxLease = 4 * time.Second
	// authorityTimeout is how long a decider has authority without the store. Together with the lease it covers an outage of 9 s.
	authorityTimeout = 5 * time.Second
	// claimAfter covers two heartbeats and two calls to a store that is 80 times slower than usual.
	claimAfter = 1300 * time.Millisecond
)

// ClockSlack is how much longer a lease may last on a slow worker clock: 2% drift plus the timer granularity.
func ClockSlack(lease time.Duration) time.Duration { return lease/50 + 100*time.Millisecond }

// Derive returns b with the derived fields set.
func (b Bounds) Derive() Bounds {
	b.Lease = min(max(time.Duration(float64(b.MaxLease)*leaseShare), minLease), maxLease)
	b.AuthorityTimeout = authorityTimeout
	b.ClaimAfter = claimAfter
	return b
}
