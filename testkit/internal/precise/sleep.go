// Package precise waits with less lateness than Go timers, which are up to a millisecond late in an idle process and
// would distort delays of 1.5 ms.
package precise

import "time"

// SleepUntil waits until due and returns false if done was closed meanwhile.
func SleepUntil(due time.Time, done <-chan struct{}) bool {
	if wait := time.Until(due) - timerSlack; wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-done:
			return false
		}
	}
	if rest := time.Until(due); rest > 0 {
		block(rest)
	}
	select {
	case <-done:
		return false
	default:
		return true
	}
}
