package entry

import (
	"math"
	"sync"
	"time"

	"github.com/verbenakeel/verbenakeel/core"
)

// Traffic budget of announcements.
const (
	// announceBudget is what an entry may spend on announcements, in bytes a second. Reads of the log and the exchange
	// with two other entries take 3.0 of the 5 KB/s of a daemon.
	announceBudget = 2000
	// announceOverhead is the size of the HTTP headers of an announcement (139 bytes) and its reply (75 bytes).
	announceOverhead = 214
	// minHeartbeatBudget is the part of announceBudget, in bytes a second, that stays reserved for heartbeats however
	// many announcements come early.
	minHeartbeatBudget = 1000
	// earlyWindow is the time constant of the mean rate of early announcements. It is well above the time between
	// changes of configuration, 38 s at 2,300 a day, so that one change hardly lengthens the heartbeat interval.
	earlyWindow = 2 * time.Minute
	// sizeWeight is the weight of a new sample in the moving average of sizes.
	sizeWeight = 0.05
)

// heartbeatPacer keeps the mean size of announcements and the traffic of early ones, those sent before they were due.
type heartbeatPacer struct {
	mu   sync.Mutex
	size float64
	// earlyBytes is the sum of bytes of early announcements, each weighted by exp(-age/earlyWindow) as of updatedAt.
	earlyBytes float64
	updatedAt  time.Duration
}

// recordAnnouncement records the size of one announcement with its reply. It is early if a change made the side process
// announce before its heartbeat was due.
func (p *heartbeatPacer) recordAnnouncement(now time.Duration, bytes int, early bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := float64(bytes + announceOverhead)
	if p.size == 0 {
		p.size = v
	}
	p.size += sizeWeight * (v - p.size)
	if early {
		p.decayEarly(now)
		p.earlyBytes += v
	}
}

// decayEarly decays the sum of early announcements to now. The lock is held.
func (p *heartbeatPacer) decayEarly(now time.Duration) {
	p.earlyBytes *= math.Exp(-max(0, now-p.updatedAt).Seconds() / earlyWindow.Seconds())
	p.updatedAt = max(p.updatedAt, now)
}

func (p *heartbeatPacer) mean() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(announceOverhead, p.size)
}

// remainingBudget returns the part of the budget that early announcements leave to heartbeats, in bytes a second.
func (p *heartbeatPacer) remainingBudget(now time.Duration) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.decayEarly(now)
	return max(minHeartbeatBudget, announceBudget-p.earlyBytes/earlyWindow.Seconds())
}

// heartbeatInterval returns the interval that keeps announcements within the budget.
func (e *Entry) heartbeatInterval() time.Duration {
	var d time.Duration
	size, left := e.pacer.mean(), e.pacer.remainingBudget(time.Since(e.start))
	e.read(func(s *core.State) { d = s.Members.AdjustInterval(e.set.Heartbeat, size, left) })
	return d
}

// announcedEarly reports whether an announcement of the endpoint received now is early.
func (e *Entry) announcedEarly(id string) bool {
	early, now := false, e.now().Mono
	e.read(func(s *core.State) {
		if ep, ok := s.Members.Get(id); ok {
			early = isEarly(now-ep.LastHeartbeat, ep.Interval)
		}
	})
	return early
}

// isEarly reports whether an announcement came before it was due, with a tenth of the interval as tolerance for network
// delay.
func isEarly(since, interval time.Duration) bool { return since < interval*9/10 }
