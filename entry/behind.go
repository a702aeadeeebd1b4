package entry

import (
	"context"
	"time"

	"github.com/verbenakeel/verbenakeel/core"
	"github.com/verbenakeel/verbenakeel/core/members"
)

// Times of nudges after a change of configuration.
const (
	// nudgeStagger is the delay of nudges per live entry with a lower id. A side process that one entry has nudged tells all
	// of them its new revision, so that the others have nothing left to do.
	nudgeStagger = 500 * time.Millisecond
	// nudgeEvery is the time between nudges of a side process that stays behind, nudgeTimes how many it gets. After them
	// its next announcement brings the change.
	nudgeEvery = time.Second
	nudgeTimes = 3
)

// needed returns the revision that a side process has to report before it enforces everything up to want that concerns it:
// its own shutdown order and the contract of its service. Everything else is enforced by entries alone.
func needed(s *core.State, ep *members.Endpoint, want uint64) uint64 {
	var newest uint64
	if v := s.Config.Shutdowns[ep.ID]; v != nil {
		newest = v.Revision
	}
	if c, _, ok := s.Config.Service(ep.Service); ok {
		newest = max(newest, s.Config.Contracts[c.Customer].Revision)
	}
	// If its newest change came after want, an earlier one may be at want.
	return min(newest, want)
}

// kickBehind asks for a look at side processes that a change may concern.
func (e *Entry) kickBehind() {
	select {
	case e.behindNow <- struct{}{}:
	default:
	}
}

// watchBehind nudges the side processes that a change concerns, so that they do not enforce and report it only with their
// next announcement, which is 31 s away for an idle one in a large region. To nudge all side processes after each change
// would take the entry's whole budget of messages.
func (e *Entry) watchBehind(ctx context.Context) {
	pause := func(d time.Duration) bool {
		select {
		case <-time.After(d):
			return true
		case <-ctx.Done():
			return false
		}
	}
	for {
		select {
		case <-e.behindNow:
		case <-ctx.Done():
			return
		}
		if !pause(time.Duration(e.peers.rank(e.set.ID)) * nudgeStagger) {
			return
		}
		for range nudgeTimes {
			list := e.behind()
			for _, id := range list {
				if !e.nudges.allow(time.Now(), e.pace.mean()) || !pause(nudgeSpacing) {
					break
				}
				go e.nudge(id)
			}
			if len(list) == 0 {
				break
			}
			if !pause(nudgeEvery) {
				return
			}
		}
	}
}

// behind returns the endpoints whose side processes do not report the changes that concern them.
func (e *Entry) behind() []string {
	var list []string
	e.read(func(s *core.State) {
		for _, ep := range s.Members.All() {
			if ep.Revision < needed(s, ep, s.Config.Revision) {
				list = append(list, ep.ID)
			}
		}
	})
	return list
}
