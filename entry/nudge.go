package entry

import (
	"time"

	"golang.org/x/time/rate"
)

// Limits of nudges after a change of configuration.
const (
	// nudgeBudget is what nudges may cost an entry, in bytes a second.
	nudgeBudget = 500
	// nudgeBurst is how much of the budget may be saved up: one change that concerns 250 endpoints. Side processes beyond
	// it learn of a change by their heartbeats.
	nudgeBurst = 10 * time.Minute
	// nudgeSpacing is the time between nudges, so that 240 endpoints do not all announce at once but within 5 s.
	nudgeSpacing = 20 * time.Millisecond
	// nudgeBytes is the size of a ping with its answer, in bytes.
	nudgeBytes = 400
	// announcementsPerNudge is what follows a nudge at every entry: one that asks for the change, one that reports it.
	announcementsPerNudge = 2
)

// nudgeLimit bounds what nudges cost.
type nudgeLimit struct{ bytes *rate.Limiter }

func newNudgeLimit() *nudgeLimit {
	return &nudgeLimit{rate.NewLimiter(nudgeBudget, int(nudgeBudget*nudgeBurst.Seconds()))}
}

// allow reports whether one more side process may be nudged, given the mean size of announcements.
func (l *nudgeLimit) allow(now time.Time, size float64) bool {
	return l.bytes.AllowN(now, nudgeBytes+announcementsPerNudge*int(size))
}
