// Package precise provides waits that are more precise than Go timers. Those fire up to a millisecond late in an idle
// process, which would distort delays of 1.5 ms.
package precise

import "time"

// SleepUntil waits until due and returns false if done is closed before it returns.
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
	if remaining := time.Until(due); remaining > 0 {
		block(remaining)
	}
	select {
	case <-done:
		return false
	default:
		return true
	}
}
