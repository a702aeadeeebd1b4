package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against announcements that follow changes of configuration and exceed the budget of control traffic at the users'
// size: 237 endpoints, three entries and 2,300 changes a day, each of the contract of a service with 24 endpoints. Side
// processes that a change does not concern announce it with their heartbeats.
func TestNudgesStayWithinTheBudget(t *testing.T) {
	const endpoints, entries, size = 237, 3, 361
	const changeEvery, step, end = 37600 * time.Millisecond, 100 * time.Millisecond, 2 * time.Hour
	var p pacer
	limits := [entries]*nudgeLimit{newNudgeLimit(), newNudgeLimit(), newNudgeLimit()}
	var next, heard, told [endpoints]time.Duration
	var known [endpoints]int
	bytes, nudged, wanted, revision := 0, 0, 0, 0
	concerns := func(revision, i int) bool { return (i+24*revision)%endpoints < 24 }
	interval := time.Second
	origin := time.Unix(0, 0)
	announce := func(now time.Duration, i int) {
		early := heard[i] > 0 && tooSoon(now-heard[i], told[i])
		interval = max(time.Second, time.Duration(float64(endpoints)*p.mean()/p.left(now)*float64(time.Second)))
		p.taken(now, size-announceOverhead, early)
		heard[i], next[i], told[i] = now, now+interval, interval
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
					nudged++
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
	t.Logf("%.0f B/s, interval %s, nudges %d for %d changes", mean, interval, nudged, revision)
	assert.Assert(t, mean <= 1.03*announceBudget, "%.0f B/s", mean)
	assert.Equal(t, nudged, wanted, "every side process that a change concerns is nudged")
}

// Guards against heartbeats that stay rare after a burst of changes.
func TestHeartbeatsRecoverAfterChanges(t *testing.T) {
	var p pacer
	for range 10_000 {
		p.taken(time.Minute, 146, true)
	}
	assert.Equal(t, p.left(time.Minute), float64(heartbeatBudget))
	assert.Assert(t, p.left(time.Minute+10*earlyWindow) > 0.99*announceBudget)
}
