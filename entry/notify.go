package entry

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"github.com/verbenakeel/verbenakeel/core"
	"github.com/verbenakeel/verbenakeel/core/members"
)

// Limits of the notifications that follow a change of configuration. A notification is a ping that makes a side process
// announce at once.
const (
	// notifyBytesPerSecond bounds what the notifications of one entry may cost each entry.
	notifyBytesPerSecond = 1000
	// notifyBurstWindow is the time over which unused budget accumulates: enough for one change for 500 endpoints at
	// three entries, or for 50 changes in a row for 10. Side processes beyond it learn of a change by their heartbeats.
	notifyBurstWindow = 10 * time.Minute
	// notifySpacing is the time between notifications, so that 240 endpoints at three entries announce within 2 s
	// rather than all at once.
	notifySpacing = 20 * time.Millisecond
	// notifyBytes is the size of a ping with its answer.
	notifyBytes = 400
	// announcementsPerNotification is the number of announcements that follow at every entry: one that fetches the
	// change, one that reports it.
	announcementsPerNotification = 2
	// notifyDelay groups changes that are applied together.
	notifyDelay = 10 * time.Millisecond
)

// notifyLimiter bounds the traffic that notifications cause.
type notifyLimiter struct{ bytes *rate.Limiter }

func newNotifyLimiter() *notifyLimiter {
	return &notifyLimiter{rate.NewLimiter(notifyBytesPerSecond, int(notifyBytesPerSecond*notifyBurstWindow.Seconds()))}
}

// allow reports whether one more side process may be notified, given the mean size of announcements and the number of
// entries that it announces to.
func (l *notifyLimiter) allow(now time.Time, size float64, entries int) bool {
	return l.bytes.AllowN(now, notifyBytes+announcementsPerNotification*int(size)*entries)
}

// notifySidesLoop notifies side processes after each change, so that the change is in force and reported before their
// next heartbeats.
func (e *Entry) notifySidesLoop(ctx context.Context) {
	for {
		select {
		case <-e.configChanged:
		case <-ctx.Done():
			return
		}
		select {
		case <-time.After(notifyDelay):
		case <-ctx.Done():
			return
		}
		// While the streams are replayed at the start, every earlier change is applied.
		if !e.ready.Load() || e.draining.Load() {
			continue
		}
		entries := len(e.peers.live()) + 1
		for _, id := range e.sidesToNotify(e.peers.rank(e.set.ID), entries) {
			if !e.notifyLimiter.allow(time.Now(), e.pacer.mean(), entries) {
				break
			}
			go e.notifySide(id)
			time.Sleep(notifySpacing)
		}
	}
}

// sidesToNotify returns the endpoints that have not reported the changes that concern them and that are assigned to the
// entry with this rank. Entries share them, because one notification makes a side process announce to all entries.
// Notifying all side processes after each change would take half of the budget of announcements.
func (e *Entry) sidesToNotify(rank, entries int) []string {
	var list []string
	e.read(func(s *core.State) {
		for _, ep := range s.Members.All() {
			if ep.Revision < requiredRevision(s, ep, s.Config.Revision) && notifierRank(ep, entries) == rank {
				list = append(list, ep.ID)
			}
		}
	})
	return list
}

func notifierRank(ep *members.Endpoint, entries int) int {
	return int(xxhash.Sum64String(ep.ID) % uint64(entries))
}
