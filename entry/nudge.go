package entry

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"github.com/verbenakeel/verbenakeel/core"
	"github.com/verbenakeel/verbenakeel/core/members"
)

// Limits of nudges after a change of configuration.
const (
	// nudgeBudget is what the nudges of one entry may cost each entry, in bytes a second.
	nudgeBudget = 1000
	// nudgeBurst is how much of the budget may be saved up: one change for 500 endpoints at three entries, or 50 changes
	// in a row for 10. Side processes beyond it learn of a change by their heartbeats.
	nudgeBurst = 10 * time.Minute
	// nudgeEvery is the time between nudges, so that 240 endpoints at three entries do not all announce at once but
	// within 2 s.
	nudgeEvery = 20 * time.Millisecond
	// nudgeBytes is the size of a ping with its answer, in bytes.
	nudgeBytes = 400
	// announcementsPerNudge is what follows a nudge at every entry: one that asks for the change, one that reports it.
	announcementsPerNudge = 2
	// nudgeWindow groups changes that are folded together.
	nudgeWindow = 10 * time.Millisecond
)

// nudgeLimit bounds what nudges cost.
type nudgeLimit struct{ bytes *rate.Limiter }

func newNudgeLimit() *nudgeLimit {
	return &nudgeLimit{rate.NewLimiter(nudgeBudget, int(nudgeBudget*nudgeBurst.Seconds()))}
}

// allow reports whether one more side process may be nudged, given the mean size of announcements and the number of
// entries that it announces to.
func (l *nudgeLimit) allow(now time.Time, size float64, entries int) bool {
	return l.bytes.AllowN(now, nudgeBytes+announcementsPerNudge*int(size)*entries)
}

// nudgeAll nudges side processes after each change, so that it is in force and reported before their next heartbeats.
func (e *Entry) nudgeAll(ctx context.Context) {
	for {
		select {
		case <-e.newRevision:
		case <-ctx.Done():
			return
		}
		select {
		case <-time.After(nudgeWindow):
		case <-ctx.Done():
			return
		}
		// While the streams are read for the first time, every change ever made is folded.
		if !e.ready.Load() || e.draining.Load() {
			continue
		}
		entries := len(e.peers.live()) + 1
		for _, id := range e.toNudge(e.peers.rank(e.set.ID), entries) {
			if !e.nudges.allow(time.Now(), e.pace.mean(), entries) {
				break
			}
			go e.nudge(id)
			time.Sleep(nudgeEvery)
		}
	}
}

// toNudge returns the endpoints that did not report the changes that concern them and fall to the entry with this rank.
// Entries share them, because one nudge makes a side process announce to all entries. To nudge all side processes after
// each change would take half of the budget of announcements.
func (e *Entry) toNudge(rank, entries int) []string {
	var list []string
	e.read(func(s *core.State) {
		for _, ep := range s.Members.All() {
			if ep.Revision < needed(s, ep, s.Config.Revision) && nudgedBy(ep, entries) == rank {
				list = append(list, ep.ID)
			}
		}
	})
	return list
}

func nudgedBy(ep *members.Endpoint, entries int) int {
	return int(xxhash.Sum64String(ep.ID) % uint64(entries))
}
