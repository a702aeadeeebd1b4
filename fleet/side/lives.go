package side

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/verbenakeel/verbenakeel/fleet/clock"
	"github.com/verbenakeel/verbenakeel/fleet/link"
	"github.com/verbenakeel/verbenakeel/logevent"
	"github.com/verbenakeel/verbenakeel/platform"
)

const (
	// lateCallMs is how long after it was sent a call that got no answer may still be carried out, with its retries. The platform
	// carries out such calls seconds later.
	lateCallMs = 15_000
	// maxSentStarts bounds the starts that are remembered: some hundred a second.
	maxSentStarts = 4096
	// raisedFenceWait is how long the decider may take to raise the fence of a new life, and deciderSilentMs the time without its answer
	// after which that is not awaited; a report is answered every 450 ms.
	raisedFenceWait = time.Second
	deciderSilentMs = 700
	// maxEarlierStops bounds concurrent stops of runs of an earlier life. There may be some hundred, of which each takes up to 400 ms if
	// its answer is lost, and the runs have to end within a lease.
	maxEarlierStops = 32
	// fencePoll is the time between two checks whether the fence has been raised.
	fencePoll = 20 * time.Millisecond
)

// sentStart is a start that was sent to a worker with an id, last at atMs.
type sentStart struct {
	id   string
	stop link.Stop
	atMs int64
}

// recordSentStart records a start that is about to be sent. The caller holds Side.mu.
func (inc *incarnation) recordSentStart(o link.Start, now int64) {
	s := inc.side
	sent := sentStart{id: inc.info.Incarnation.ID, stop: link.Stop{Task: o.Task, Run: o.Run}, atMs: now}
	s.sentStarts = slices.DeleteFunc(s.sentStarts, func(e sentStart) bool {
		return now-e.atMs > lateCallMs || e.id == sent.id && e.stop == sent.stop
	})
	s.sentStarts = append(s.sentStarts, sent)
	s.sentStarts = s.sentStarts[max(len(s.sentStarts)-maxSentStarts, 0):]
}

// startsSentTo returns the runs whose start an earlier life of the worker with an id may not have carried out yet, or its next life may have
// answered in its place. The caller holds Side.mu.
func (s *Side) startsSentTo(id string) []link.Stop {
	var stops []link.Stop
	for _, sent := range s.sentStarts {
		if sent.id == id && clock.BootMs()-sent.atMs <= lateCallMs {
			stops = append(stops, sent.stop)
		}
	}
	return stops
}

// endEarlierStarts makes the worker end, or refuse to begin, runs whose start was sent to an earlier life, unless the decider gets to know of
// this life: it then raises the fence and learns from the lists what runs. A decider that does not would start the tasks elsewhere once the
// lease that it has granted is over, and these runs hold the longest one.
func (inc *incarnation) endEarlierStarts(stops []link.Stop) {
	if len(stops) == 0 || inc.awaitRaisedFence() {
		return
	}
	s := inc.side
	s.mu.Lock()
	fence := s.fence
	running := make(map[link.Stop]bool, len(inc.lastRuns))
	for _, r := range inc.lastRuns {
		running[link.Stop{Task: r.Task, Run: r.Run}] = true
	}
	s.mu.Unlock()
	s.log.Log(logevent.EarlierStartsEnded, logevent.Str("id", inc.info.Incarnation.ID), logevent.Int("born", inc.info.Incarnation.StartedMs),
		logevent.Int("runs", len(stops)))
	// Those that run first, then the newest: the others may never come.
	slices.Reverse(stops)
	slices.SortStableFunc(stops, func(a, b link.Stop) int {
		switch {
		case running[a] == running[b]:
			return 0
		case running[a]:
			return -1
		}
		return 1
	})
	slots := make(chan struct{}, maxEarlierStops)
	next := make(chan link.Stop)
	go func() {
		defer close(next)
		for _, o := range stops {
			select {
			case next <- o:
			case <-inc.ctx.Done():
				return
			}
		}
	}()
	for range maxEarlierStops {
		go func() {
			for o := range next {
				inc.stopWithin(inc.ctx, slots, fence, o)
			}
		}()
	}
}

// awaitRaisedFence reports whether the worker meets a fence above that of calls to earlier lives before the decider has been silent for too
// long.
func (inc *incarnation) awaitRaisedFence() bool {
	for began := clock.BootMs(); inc.ctx.Err() == nil; clock.Sleep(inc.ctx, fencePoll) {
		s := inc.side
		s.mu.Lock()
		now, fenced, conn := clock.BootMs(), inc.fenced, s.conn
		silent := conn == nil || now-conn.answeredMs > deciderSilentMs
		s.mu.Unlock()
		if fenced {
			return true
		}
		if silent || now-began > raisedFenceWait.Milliseconds() {
			return false
		}
	}
	return true
}

// calledID is the id of a worker that another one has replaced, and when calls to it ended.
type calledID struct {
	id      string
	untilMs int64
}

// recordCalledID records that the worker with the id is replaced. The caller holds Side.mu.
func (s *Side) recordCalledID(id string, now int64) {
	s.calledIDs = slices.DeleteFunc(s.calledIDs, func(c calledID) bool { return c.id == id || now-c.untilMs > lateCallMs })
	s.calledIDs = append(s.calledIDs, calledID{id, now})
}

// mayBeCalled reports whether calls to an earlier life of a worker with the id may still be carried out. The caller holds Side.mu.
func (s *Side) mayBeCalled(id string) bool {
	return slices.ContainsFunc(s.calledIDs, func(c calledID) bool { return c.id == id && clock.BootMs()-c.untilMs <= lateCallMs })
}

// newIncarnation creates the state of a new incarnation of the worker. The caller holds Side.mu.
func (s *Side) newIncarnation(ctx context.Context, info *link.Worker) *incarnation {
	inc := &incarnation{side: s, info: *info, client: platform.NewWorker(info.Address, info.Incarnation), answeredMs: clock.BootMs(),
		triggered: make(chan struct{}, 1), callSlots: make(chan struct{}, maxCalls)}
	inc.ctx, inc.cancel = context.WithCancel(ctx)
	inc.orderCtx, inc.stopOrders = context.WithCancel(inc.ctx)
	if s.incarnation != nil {
		s.recordCalledID(s.incarnation.info.Incarnation.ID, clock.BootMs())
	}
	switch previous := s.incarnation; {
	case previous == nil || !s.answered:
		// No worker has answered this process yet, and one that it knows may have ended before. An earlier process of this instance
		// may have renewed the worker's lease, and the worker may have restarted since.
		inc.leaseUntilMs = s.startedMs + s.set.Bounds.Lease.Milliseconds()
		inc.boundInheritedLease("calls of an earlier process may reach the worker")
	case s.mayBeCalled(info.Incarnation.ID):
		// A call in transit to the earlier incarnation may reach this one, as it has the same id. Its deadline means nothing on
		// the new clock, so that the worker cuts the lease to the longest one.
		inc.inheritedFence = s.fence
		if s.incarnation.answeringStartMs == info.Incarnation.StartedMs {
			inc.ends = slices.Clone(s.incarnation.otherLifeEnds)
		}
		inc.boundInheritedLease("the worker's id was in use before")
		go inc.endEarlierStarts(s.startsSentTo(info.Incarnation.ID))
	default:
		inc.fenced = true
	}
	return inc
}

// boundInheritedLease bounds the lease that a call to an earlier incarnation may have set up to now. The caller holds Side.mu.
func (inc *incarnation) boundInheritedLease(reason string) {
	inc.inheritedLeaseMs = clock.BootMs() + maxLeaseMs(inc.side.set)
	inc.side.log.Log(logevent.LeaseBoundChanged, logevent.Str("id", inc.info.Incarnation.ID), logevent.Int("born", inc.info.Incarnation.StartedMs),
		logevent.Int("left_ms", max(inc.inheritedLeaseMs-clock.BootMs(), 0)), logevent.Str("reason", reason))
}

// endsToForget returns the number up to which the worker is to forget its ended runs, 0 if it lists none of these any more: the next life
// may execute the call late, and its ends have the same numbers. The caller holds Side.mu.
func (inc *incarnation) endsToForget() int64 {
	if inc.oldestEnd == 0 || inc.oldestEnd > inc.forgetUpTo {
		return 0
	}
	return inc.forgetUpTo
}

// keepEnds returns the ended runs that the worker lists, and those that it has listed before and that no decider has stored. Only a call
// to an earlier life can have let the worker forget these, as its numbers mean other ends here. The caller holds Side.mu.
func (inc *incarnation) keepEnds(listed []link.Completion) []link.Completion {
	inc.ends = slices.DeleteFunc(inc.ends, func(e link.Completion) bool { return e.Number <= inc.forgetUpTo })
	inc.oldestEnd = 0
	for _, e := range listed {
		if inc.oldestEnd == 0 || e.Number < inc.oldestEnd {
			inc.oldestEnd = e.Number
		}
	}
	inc.ends = mergeEnds(inc.ends, listed)
	return slices.Clone(inc.ends)
}

// keepOtherLifeEnds keeps the ended runs that another life has listed, which may forget them before it registers. The caller holds Side.mu.
func (inc *incarnation) keepOtherLifeEnds(other *platform.OtherIncarnation) {
	if inc.answeringStartMs != other.StartedMs {
		inc.otherLifeEnds = nil
	}
	inc.otherLifeEnds = mergeEnds(inc.otherLifeEnds, other.Ended)
}

// mergeEnds adds the listed ends to those that are sorted by number.
func mergeEnds(sorted, listed []link.Completion) []link.Completion {
	for _, e := range listed {
		at, known := slices.BinarySearchFunc(sorted, e.Number, func(e link.Completion, number int64) int { return cmp.Compare(e.Number, number) })
		if !known {
			sorted = slices.Insert(sorted, at, e)
		}
	}
	return sorted
}
