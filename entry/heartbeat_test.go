package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against announcements after changes of configuration that exceed the budget of control traffic at the users'
// size: 237 endpoints, three entries and 2,300 changes a day, each of the contract of a service with 24 endpoints. Side
// processes that a change does not concern report it with their next heartbeats.
func TestNotificationsStayWithinBudget(t *testing.T) {
	const endpoints, entries, size = 237, 3, 361
	const changeEvery, step, end = 37600 * time.Millisecond, 100 * time.Millisecond, 2 * time.Hour
	var p heartbeatPacer
	limits := [entries]*notifyLimiter{newNotifyLimiter(), newNotifyLimiter(), newNotifyLimiter()}
	var next, lastAnnounced, assigned [endpoints]time.Duration
	var known [endpoints]int
	bytes, notified, wanted, revision := 0, 0, 0, 0
	concerns := func(revision, i int) bool { return (i+24*revision)%endpoints < 24 }
	interval := time.Second
	origin := time.Unix(0, 0)
	announce := func(now time.Duration, i int) {
		early := lastAnnounced[i] > 0 && isEarly(now-lastAnnounced[i], assigned[i])
		interval = max(time.Second, time.Duration(float64(endpoints)*p.mean()/p.remainingBudget(now)*float64(time.Second)))
		p.recordAnnouncement(now, size-announceOverhead, early)
		lastAnnounced[i], next[i], assigned[i] = now, now+interval, interval
		if now > end/2 {
			bytes += size
		}
		for ; known[i] < revision; known[i]++ {
			if concerns(known[i]+1, i) {
				next[i] = now + step
			}
		}
	}
	for i := range next {
		next[i] = time.Duration(i) * step
	}
	for now := step; now < end; now += step {
		if now/changeEvery != (now-step)/changeEvery {
			revision++
			for i := range endpoints {
				if !concerns(revision, i) {
					continue
				}
				wanted++
				if limits[i%entries].allow(origin.Add(now), p.mean(), entries) {
					notified++
					next[i] = now
				}
			}
		}
		for i := range next {
			if next[i] <= now {
				announce(now, i)
			}
		}
	}
	mean := float64(bytes) / (end / 2).Seconds()
	t.Logf("%.0f B/s, interval %s, %d notifications for %d changes", mean, interval, notified, revision)
	assert.Assert(t, mean <= 1.03*announceBudget, "%.0f B/s", mean)
	assert.Equal(t, notified, wanted, "every side process that a change concerns is notified")
}

// Guards against a heartbeat interval that stays long after a burst of changes.
func TestHeartbeatsRecoverAfterChanges(t *testing.T) {
	var p heartbeatPacer
	for range 10_000 {
		p.recordAnnouncement(time.Minute, 146, true)
	}
	assert.Equal(t, p.remainingBudget(time.Minute), float64(minHeartbeatBudget))
	assert.Assert(t, p.remainingBudget(time.Minute+10*earlyWindow) > 0.99*announceBudget)
}
