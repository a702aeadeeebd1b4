package entry

import (
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
	// sizeWeight is the weight of a new sample in the moving average of sizes.
	sizeWeight = 0.05
)

// pacer keeps the mean size of announcements.
type pacer struct {
	mu   sync.Mutex
	size float64
}

// sized takes the size of the messages of one announcement.
func (p *pacer) sized(bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := float64(bytes + announceOverhead)
	if p.size == 0 {
		p.size = v
	}
	p.size += sizeWeight * (v - p.size)
}

func (p *pacer) mean() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(announceOverhead, p.size)
}

// nextHeartbeat returns the interval that keeps announcements within the budget.
func (e *Entry) nextHeartbeat() time.Duration {
	var d time.Duration
	size := e.pace.mean()
	e.read(func(s *core.State) { d = s.Members.Pace(e.set.Heartbeat, size, announceBudget) })
	return d
}
