// Package decider makes the scheduling decisions of a region while its entry holds the region's epoch. It combines the
// state applied from the log, the scheduling policy and the polls of workers, and proposes batches of decisions to append
// to the log.
package decider

import "time"

// Config holds the timeouts and intervals of the decider.
type Config struct {
	// TaskLease is the lease duration of batch and long-running tasks.
	TaskLease time.Duration
	// ServiceLease is the lease duration of service tasks.
	ServiceLease time.Duration
	// PermitTTL is how long after its poll a worker may begin an ordered start.
	PermitTTL time.Duration
	// ConfigFreshness is the maximum age of the configuration at which starts are still permitted.
	ConfigFreshness time.Duration
	// PollEvery is how long a worker's poll may be held open (long polling) while there is nothing to send.
	PollEvery time.Duration
	// SilentAfter is how long after its last poll a worker counts as unresponsive and gets no new work.
	SilentAfter time.Duration
	// Heartbeat is the maximum interval between batches; an empty batch is appended if there is nothing else.
	Heartbeat time.Duration
	// MaxHold is the maximum duration of one hold of a zone.
	MaxHold time.Duration
}

// DefaultConfig returns the default times. ConfigFreshness plus PermitTTL stays below 3 s, the limit within which starts in
// a zone must cease after the zone was taken out of service.
func DefaultConfig() Config {
	return Config{
		TaskLease: 10 * time.Second, ServiceLease: 75 * time.Minute, PermitTTL: 1500 * time.Millisecond,
		ConfigFreshness: time.Second, PollEvery: 3 * time.Second, SilentAfter: 5 * time.Second,
		Heartbeat: 500 * time.Millisecond, MaxHold: 30 * time.Second,
	}
}
