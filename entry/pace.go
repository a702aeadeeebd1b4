package entry

import (
	"math"
	"sync"
	"time"

	"github.com/verbenakeel/verbenakeel/core"
)

// Budget of announcements.
const (
	// announceBudget is what an entry may spend on announcements, in bytes a second. Reads of the log and the exchange with
	// two other entries take 3.0 of the 5 KB/s of a daemon.
	announceBudget = 2000
	// announceOverhead is the size of the HTTP headers of an announcement and its reply, in bytes: 139 and 75 by the change
	// of their sum when headers were left out.
	announceOverhead = 214
	// heartbeatBudget is what is left to heartbeats at least, in bytes a second, however many announcements come early.
	heartbeatBudget = 1000
	// earlyWindow is the time over which early announcements are averaged. It is well above the time between changes of
	// configuration, 38 s at 2,300 a day, so that one change does not make heartbeats rare.
	earlyWindow = 2 * time.Minute
	// sizeWeight is the weight of a new sample in the moving average of sizes.
	sizeWeight = 0.05
)

// pacer keeps the mean size of announcements and what those that were not due yet cost.
type pacer struct {
	mu   sync.Mutex
	size float64
	// early is the sum of bytes of early announcements, each weighted by exp(-age/earlyWindow) at the time at.
	early float64
	at    time.Duration
}

// taken notes the size of the messages of one announcement. One is early if a change made the side process announce
// before its heartbeat was due.
func (p *pacer) taken(now time.Duration, bytes int, early bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := float64(bytes + announceOverhead)
	if p.size == 0 {
		p.size = v
	}
	p.size += sizeWeight * (v - p.size)
	if early {
		p.fade(now)
		p.early += v
	}
}

// fade brings the sum of early announcements to now. The lock is held.
func (p *pacer) fade(now time.Duration) {
	p.early *= math.Exp(-max(0, now-p.at).Seconds() / earlyWindow.Seconds())
	p.at = max(p.at, now)
}

func (p *pacer) mean() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(announceOverhead, p.size)
}

// left returns what early announcements leave of the budget to heartbeats, in bytes a second.
func (p *pacer) left(now time.Duration) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fade(now)
	return max(heartbeatBudget, announceBudget-p.early/earlyWindow.Seconds())
}

// nextHeartbeat returns the interval that keeps announcements within the budget.
func (e *Entry) nextHeartbeat() time.Duration {
	var d time.Duration
	size, left := e.pace.mean(), e.pace.left(time.Since(e.start))
	e.read(func(s *core.State) { d = s.Members.Pace(e.set.Heartbeat, size, left) })
	return d
}

// announcesEarly reports whether an announcement of the endpoint that comes now is not due yet.
func (e *Entry) announcesEarly(id string) bool {
	early, now := false, e.now().Mono
	e.read(func(s *core.State) {
		if ep, ok := s.Members.Get(id); ok {
			early = tooSoon(now-ep.Heard, ep.Interval)
		}
	})
	return early
}

// tooSoon reports whether an announcement came before it was due, apart from delays on the way.
func tooSoon(since, interval time.Duration) bool { return since < interval*9/10 }
