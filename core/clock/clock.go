// Package clock holds the time that callers pass to the deterministic packages, which never read a clock themselves.
package clock

import "time"

// Now is the time of one event.
type Now struct {
	// Mono is the monotonic clock, counted from the start of the process.
	Mono time.Duration
	// WallMs is the wall clock in Unix milliseconds.
	WallMs int64
}

// rateMargin is the assumed maximum difference between the rates of two monotonic clocks, as a divisor: 1/50 is 2%.
const rateMargin = 50

// WithMargin returns d plus the margin for clocks that run at different rates.
func WithMargin(d time.Duration) time.Duration {
	return d + d/rateMargin
}
