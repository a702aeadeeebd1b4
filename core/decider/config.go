// Package decider makes the decisions of a region while its entry holds the region's epoch: it joins the folded state,
// the scheduling policy and the contact with workers, and proposes batches of decisions for the log.
package decider

import "time"

// Config holds the times of the decider.
type Config struct {
	// TaskLease is the lease of batch and standing tasks.
	TaskLease time.Duration
	// ServiceLease is the lease of service tasks.
	ServiceLease time.Duration
	// PermitTTL is how long a start is permitted after the worker asked.
	PermitTTL time.Duration
	// ConfigFreshness is the greatest age of the configuration by which starts are permitted.
	ConfigFreshness time.Duration
	// PollEvery is how long a worker's poll may wait for news.
	PollEvery time.Duration
	// SilentAfter is how long a worker may be silent before it gets no new work.
	SilentAfter time.Duration
	// Heartbeat is the longest time without a batch.
	Heartbeat time.Duration
	// MaxHold bounds one hold of a zone.
	MaxHold time.Duration
}

// DefaultConfig returns the times of the design. ConfigFreshness and PermitTTL together stay below the 3 s in which
// starts in a zone must end after it was taken out.
func DefaultConfig() Config {
	return Config{
		TaskLease: 10 * time.Second, ServiceLease: 75 * time.Minute, PermitTTL: 1500 * time.Millisecond,
		ConfigFreshness: time.Second, PollEvery: 3 * time.Second, SilentAfter: 5 * time.Second,
		Heartbeat: 500 * time.Millisecond, MaxHold: 30 * time.Second,
	}
}
