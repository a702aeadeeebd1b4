package dispatch

import (
	"fmt"
	"slices"

	"github.com/verbenakeel/verbenakeel/fleet/bounds"
	"github.com/verbenakeel/verbenakeel/fleet/link"
)

// simWorker is a worker and its side process.
type simWorker struct {
	instance    string
	info        link.Worker
	runs        map[string]*simRun
	completions []link.Completion
	// leaseUntil is when the worker's lease expires, 0 if it never had one. As on the platform there is one for everything that runs there,
	// also for what is started later, and it never shortens. lapsed is true since it expired until it is extended. lapses counts how often
	// it did, lapsesAtEnd holds that count at each completion.
	leaseUntil  int64
	lapsed      bool
	lapses      int
	lapsesAtEnd map[int64]int
	// driftPermille is by how much the worker's clock is slow.
	driftPermille int64
	// endedAt is when each completion was listed.
	endedAt         map[int64]int64
	lastCompletion  int64
	ackedCompletion int64
	fence           uint64
	blocked         map[string]int
	// downUntil is until when the worker's process is away, unresponsiveUntil until when it answers nothing while its runs go on.
	downUntil, unresponsiveUntil int64
	// cutAt is when its side process is cut off from the deciders next, 0 for never.
	cutAt int64

	connected         bool
	disconnectedUntil int64
	// linkedTo is the decider whose connection the side process still has while the current one has not connected; nil if
	// there is none.
	linkedTo *State
	side     simSide
}

// simSide is a side process, as fleet/side has it.
type simSide struct {
	// startedMs is when the process started. It may have sent leases before a restart, up to then.
	startedMs int64
	// heartbeatAt is when the heartbeat of the present life arrives, known is true once any has.
	heartbeatAt int64
	known       bool
	// info is what the worker said of itself in its last heartbeat.
	info link.Worker
	// answeredMs is when the worker last answered, clockKnown is true once it has, refusedConns counts consecutive refused connections.
	answeredMs   int64
	clockKnown   bool
	refusedConns int
	// leaseUntil is the latest lease that was sent to the worker. inheritedLease bounds the lease that calls to an earlier life have set,
	// until fenced by a higher fence than inheritedFence.
	leaseUntil, inheritedLease int64
	inheritedFence             uint64
	fenced                     bool
	forgetUpTo                 int64
	// answered is true once a worker has answered this process. sentStarts holds the starts that were sent within lateCallMs, and endStartsAt
	// is when those to an earlier life are ended if the decider has not raised the fence, 0 for never.
	answered    bool
	sentStarts  []sentStart
	endStartsAt int64
	// earlierStarts holds the runs whose start was sent to an earlier life when the present one became known, endings the stops of their runs.
	earlierStarts []link.Stop
	endings       []pendingOrder
	// fence is the highest that a decider has sent, leaseEnd when the lease ends by the newest answer of one.
	fence            uint64
	leaseEnd         int64
	answeredReportMs int64
	refusals         []link.Refusal
	ordersReceived   uint64
	pending          []pendingOrder
}

// pendingOrder is an order that the worker has not answered: a stop, or a start that is tried until triesUntil and then stopped.
type pendingOrder struct {
	number     uint64
	fence      uint64
	start      *link.Start
	stop       link.Stop
	triesUntil int64
}

// sentStart is a run whose start was sent to a worker, last at atMs.
type sentStart struct {
	stop link.Stop
	atMs int64
}

// workerCall is what decides the effect of a call on the worker's lease: the life that it is meant for, and the deadline, 0 if it has none.
type workerCall struct {
	meantFor link.Incarnation
	fence    uint64
	deadline int64
	sentMs   int64
}

// delayedCall is a call that is carried out later: a start, or a list call if start is nil.
type delayedCall struct {
	at     int64
	worker *simWorker
	call   workerCall
	start  *link.Start
	// answered is true if the life for which the call is meant has answered another attempt of it or a stop of its run.
	answered bool
}

const (
	// startTimeoutMs is how long a side process tries to start a run, minStartLeaseMs the lease that it needs for that.
	startTimeoutMs, minStartLeaseMs = 900, 600
	// transitMs is how long a call may be in transit.
	transitMs = 8000
	// acrossLivesMs is how long a start may be in transit and be carried out by the next life of a worker. A later one may come after the
	// decider has started the task elsewhere, which nobody can prevent.
	acrossLivesMs = 2000
	// lateCallMs is for how long a side process remembers starts, raisedFenceWaitMs how long it awaits a raised fence, and deciderSilentMs
	// the time without an answer of the decider after which it does not.
	lateCallMs, raisedFenceWaitMs, deciderSilentMs = 15_000, 1000, 700
	// unrenewedAfterMs is the time without an answer after which a side process does not renew the lease, refusedUntilUnrenewed the
	// number of refused connections.
	unrenewedAfterMs, refusedUntilUnrenewed = 1200, 3
)

// startIncarnation starts a new incarnation of a worker under its id.
func (sim *simulation) startIncarnation(sw *simWorker) {
	zone := string(rune('a' + sim.rng.IntN(3)))
	sw.info = link.Worker{Incarnation: link.Incarnation{ID: "i-" + sw.instance, StartedMs: sim.now}, Service: "app", Zone: zone, CPU: 4000, MemMB: 16000,
		Labels: []string{"a", fmt.Sprintf("r%s-1", "1")}}
	for task := range sw.runs {
		sim.endedAt[task] = sim.now
	}
	sw.runs, sw.completions, sw.lastCompletion, sw.ackedCompletion, sw.fence, sw.blocked = map[string]*simRun{}, nil, 0, 0, 0, map[string]int{}
	sw.leaseUntil, sw.lapsed, sw.lapses, sw.lapsesAtEnd, sw.endedAt, sw.driftPermille = 0, false, 0, map[int64]int{}, map[int64]int64{}, 0
	sw.side.heartbeatAt = max(sw.side.heartbeatAt, sim.now)
	if sim.lives != nil {
		sw.driftPermille = sim.lives.Int64N(21)
		sw.side.heartbeatAt = max(sw.side.heartbeatAt, sim.now+sim.lives.Int64N(800))
	}
	sim.hearHeartbeat(sw)
}

// restartSide restarts a side process, whose worker sends a heartbeat after a while.
func (sim *simulation) restartSide(sw *simWorker, heartbeatAt int64) {
	sw.side = simSide{startedMs: sim.now, heartbeatAt: heartbeatAt}
}

// hearHeartbeat makes the life of a worker known to its side process.
func (sim *simulation) hearHeartbeat(sw *simWorker) {
	side := &sw.side
	switch {
	case sim.now < side.heartbeatAt || sim.now < sw.downUntil:
		return
	case side.known && side.info.Incarnation == sw.info.Incarnation:
		side.info = sw.info
		return
	}
	side.leaseUntil, side.inheritedFence, side.fenced = 0, 0, false
	side.endStartsAt = 0
	if side.known && side.answered {
		side.inheritedFence = side.fence
		side.endStartsAt = sim.now + raisedFenceWaitMs
	} else {
		side.leaseUntil = side.startedMs + sim.bounds.Lease.Milliseconds()
	}
	side.inheritedLease = sim.now + sim.longestLease()
	side.known, side.info, side.answeredMs, side.clockKnown, side.refusedConns, side.forgetUpTo, side.pending = true, sw.info, sim.now, false, 0, 0, nil
	side.earlierStarts, side.endings = nil, nil
	for _, e := range side.sentStarts {
		if sim.now-e.atMs <= lateCallMs {
			side.earlierStarts = append(side.earlierStarts, e.stop)
		}
	}
}

// longestLease is how long the longest lease may last in milliseconds.
func (sim *simulation) longestLease() int64 {
	return (sim.bounds.MaxLease + bounds.ClockSlack(sim.bounds.MaxLease)).Milliseconds()
}

// leaseLeft returns what the side process tells of the worker's lease.
func (sim *simulation) leaseLeft(sw *simWorker) int64 {
	side := &sw.side
	if !side.known {
		return max(side.startedMs+sim.longestLease()-sim.now, 0)
	}
	left := side.inheritedLease - sim.now
	if side.leaseUntil > 0 {
		left = max(left, side.leaseUntil+bounds.ClockSlack(sim.bounds.Lease).Milliseconds()-sim.now)
	}
	return max(left, 0)
}

// leaseDeadline returns the deadline that a call carries, 0 if less than minMs remains or the worker does not answer.
func (sim *simulation) leaseDeadline(sw *simWorker, minMs int64) int64 {
	side := &sw.side
	if side.leaseEnd-sim.now < minMs || !side.clockKnown || sim.now-side.answeredMs > unrenewedAfterMs || side.refusedConns >= refusedUntilUnrenewed {
		return 0
	}
	side.leaseUntil = max(side.leaseUntil, side.leaseEnd)
	return side.leaseEnd
}

// ordersDone returns the number up to which the worker has answered all orders.
func (s *simSide) ordersDone() uint64 {
	done := s.ordersReceived
	for _, p := range s.pending {
		done = min(done, p.number-1)
	}
	return done
}

func (s *simSide) refuse(st link.Start, reason string) {
	s.refusals = append(s.refusals, link.Refusal{Task: st.Task, Run: st.Run, Reason: reason})
}

// answers reports whether the worker answers calls.
func (sim *simulation) answers(sw *simWorker) bool {
	return sim.now >= sw.downUntil && sim.now >= sw.unresponsiveUntil
}

// accept takes the fence and the lease of a call. It returns false if the fence is too low.
func (sim *simulation) accept(sw *simWorker, c workerCall) bool {
	if c.fence < sw.fence {
		return false
	}
	sw.fence = c.fence
	if until := sim.leaseOf(sw, c); until > sw.leaseUntil {
		sw.leaseUntil, sw.lapsed = until, until <= sim.now
	}
	return true
}

// leaseOf returns when the lease of a call ends: at most after the longest one, and exactly then if the deadline is by the clock of
// another life. A slow clock makes it longer.
func (sim *simulation) leaseOf(sw *simWorker, c workerCall) int64 {
	longest := sim.bounds.MaxLease.Milliseconds()
	switch {
	case c.deadline == 0:
		return 0
	case c.meantFor == sw.info.Incarnation:
		longest = min(longest, c.deadline-sim.now)
	}
	return sim.now + longest*(1000+sw.driftPermille)/1000
}

// list makes the list call of a side process and reports whether the life that it knows has answered.
func (sim *simulation) list(sw *simWorker) bool {
	side := &sw.side
	if !side.known {
		return false
	}
	c := workerCall{side.info.Incarnation, side.fence, sim.leaseDeadline(sw, 0), sim.now}
	switch {
	case sim.now < sw.downUntil:
		side.refusedConns++
		return false
	case sim.now < sw.unresponsiveUntil:
		sim.delayCall(sw, c, nil)
		return false
	case !sim.accept(sw, c):
		return false
	}
	side.refusedConns = 0
	if side.info.Incarnation != sw.info.Incarnation {
		side.inheritedLease = sim.now + sim.longestLease()
		return false
	}
	side.answeredMs, side.clockKnown, side.answered = sim.now, true, true
	if !side.fenced && c.fence > side.inheritedFence {
		side.fenced, side.inheritedLease = true, sim.now+sim.longestLease()
	}
	sim.forget(sw, side.forgetUpTo)
	if sim.lifeFault(40) {
		sim.delayCall(sw, c, nil) // an earlier attempt
	}
	return true
}

// forget makes a worker forget completions, which takes note of them.
func (sim *simulation) forget(sw *simWorker, upTo int64) {
	if upTo <= sw.ackedCompletion {
		return
	}
	for _, e := range sw.completions {
		if e.Number > sw.ackedCompletion && e.Number <= upTo && sw.lapses == sw.lapsesAtEnd[e.Number] {
			sim.acknowledge(e, sw.endedAt[e.Number])
		}
	}
	sw.ackedCompletion = upTo
}

// delayCall makes the worker, or its next life, carry a call out later.
func (sim *simulation) delayCall(sw *simWorker, c workerCall, st *link.Start) {
	if sim.lives != nil && !sim.faultFree {
		transit := sim.lives.Int64N(transitMs)
		if st != nil {
			transit %= acrossLivesMs
		}
		sim.delayedCalls = append(sim.delayedCalls, delayedCall{at: sim.now + stepMs + transit, worker: sw, call: c, start: st})
	}
}

// runDelayedCalls carries out delayed calls. A list call reaches the next life however late it is, a start only within acrossLivesMs,
// and not if the former life has answered another attempt or a stop of its run: nobody can tell that a start is still in transit then.
func (sim *simulation) runDelayedCalls() {
	kept := sim.delayedCalls[:0]
	for _, l := range sim.delayedCalls {
		same := l.call.meantFor == l.worker.info.Incarnation
		switch {
		case sim.now < l.at || !sim.answers(l.worker):
			kept = append(kept, l)
		case !same && l.start != nil && (l.answered || sim.now-l.call.sentMs > acrossLivesMs):
		case l.start == nil:
			sim.accept(l.worker, l.call)
		default:
			sim.startRun(l.worker, *l.start, l.call)
		}
	}
	sim.delayedCalls = kept
}

// settleCalls records that a life has answered a call about a run.
func (sim *simulation) settleCalls(sw *simWorker, task string, run int) {
	for i := range sim.delayedCalls {
		l := &sim.delayedCalls[i]
		if l.start != nil && l.worker == sw && l.start.Task == task && l.start.Run <= run && l.call.meantFor == sw.info.Incarnation {
			l.answered = true
		}
	}
}

func (sim *simulation) handleOrders(sw *simWorker, o link.Orders) {
	side := &sw.side
	side.fence = max(side.fence, o.Fence)
	if o.Number == 0 {
		return
	}
	side.ordersReceived = o.Number
	if !side.known || o.Incarnation != side.info.Incarnation {
		for _, st := range o.Starts {
			side.refuse(st, link.ReasonTerminated)
		}
		return
	}
	side.forgetUpTo = max(side.forgetUpTo, o.Forget)
	for _, st := range o.Starts {
		sim.orderStart(sw, st, o)
	}
	for _, st := range o.Stops {
		if !sim.stopRun(sw, st, o.Fence, false) {
			side.pending = append(side.pending, pendingOrder{number: o.Number, fence: o.Fence, stop: st})
		}
	}
}

// orderStart carries out a start at once, later, or not at all.
func (sim *simulation) orderStart(sw *simWorker, st link.Start, o link.Orders) {
	side := &sw.side
	c := workerCall{side.info.Incarnation, o.Fence, sim.leaseDeadline(sw, minStartLeaseMs), sim.now}
	if c.deadline > 0 {
		side.recordSentStart(link.Stop{Task: st.Task, Run: st.Run}, sim.now)
	}
	switch {
	case c.deadline == 0:
		side.refuse(st, link.ReasonTooLate)
	case !sim.answers(sw):
		side.pending = append(side.pending, pendingOrder{number: o.Number, fence: o.Fence, start: &st, stop: link.Stop{Task: st.Task, Run: st.Run}, triesUntil: sim.now + startTimeoutMs})
		if sim.now >= sw.downUntil {
			sim.delayCall(sw, c, &st)
		}
	case !sim.faultFree && sim.rng.IntN(20) == 0:
		// The call times out: the side process stops the run until the worker answers, and the worker carries out the
		// call later.
		sim.delayedCalls = append(sim.delayedCalls, delayedCall{at: sim.now + 2000 + int64(sim.rng.IntN(8000)), worker: sw, call: c, start: &st})
		if stop := (link.Stop{Task: st.Task, Run: st.Run}); sim.lifeFault(2) || !sim.stopRun(sw, stop, o.Fence, false) {
			side.pending = append(side.pending, pendingOrder{number: o.Number, fence: o.Fence, stop: stop})
		}
	case !sim.faultFree && sim.rng.IntN(25) == 0:
		sim.accept(sw, c)
		side.refuse(st, link.ReasonNoCapacity)
	case !sim.faultFree && sim.rng.IntN(60) == 0:
		// The worker restarts while the call is in transit. Its next incarnation under the same id carries the call out and
		// answers it before its first heartbeat.
		sim.startIncarnation(sw)
		sim.startRun(sw, st, c)
	default:
		sim.startRun(sw, st, c)
	}
}

func (s *simSide) recordSentStart(stop link.Stop, now int64) {
	s.sentStarts = slices.DeleteFunc(s.sentStarts, func(e sentStart) bool { return now-e.atMs > lateCallMs || e.stop == stop })
	s.sentStarts = append(s.sentStarts, sentStart{stop, now})
}

// endEarlierStarts ends runs whose start was sent to an earlier life, unless the decider raises the fence in time.
func (sim *simulation) endEarlierStarts(sw *simWorker) {
	side := &sw.side
	silent := !sw.connected && sw.linkedTo == nil || sim.now-side.answeredReportMs > deciderSilentMs
	switch {
	case side.endStartsAt == 0 || !side.fenced && !silent && sim.now < side.endStartsAt:
		return
	case !side.fenced:
		for _, stop := range side.earlierStarts {
			side.endings = append(side.endings, pendingOrder{fence: side.fence, stop: stop})
		}
	}
	side.endStartsAt = 0
}

// carryOutPending tries the orders again that the worker has not answered, and the stops of runs of an earlier life.
func (sim *simulation) carryOutPending(sw *simWorker) {
	side := &sw.side
	side.endings = slices.DeleteFunc(side.endings, func(p pendingOrder) bool {
		return sim.leaseLeft(sw) == 0 || sim.stopRun(sw, p.stop, p.fence, true)
	})
	kept := side.pending[:0]
	for _, p := range side.pending {
		if p.start == nil {
			if sim.leaseLeft(sw) > 0 && !sim.stopRun(sw, p.stop, p.fence, true) {
				kept = append(kept, p)
			}
			continue
		}
		deadline := sim.leaseDeadline(sw, minStartLeaseMs)
		switch {
		case sim.now > p.triesUntil || deadline == 0:
			p.start = nil
			kept = append(kept, p)
		case !sim.answers(sw):
			kept = append(kept, p)
		default:
			side.recordSentStart(p.stop, sim.now)
			sim.startRun(sw, *p.start, workerCall{side.info.Incarnation, p.fence, deadline, sim.now})
		}
	}
	side.pending = kept
}

// stopRun stops a run and reports whether the worker has answered. The rule on AVAIL does not count orders that were held up.
func (sim *simulation) stopRun(sw *simWorker, st link.Stop, fence uint64, heldUp bool) bool {
	if !sim.answers(sw) {
		return false
	}
	sim.settleCalls(sw, st.Task, st.Run)
	if fence < sw.fence {
		return true
	}
	sw.fence = fence
	sw.blocked[st.Task] = max(sw.blocked[st.Task], st.Run)
	if r := sw.runs[st.Task]; r != nil && r.run <= st.Run {
		if !heldUp {
			sim.checkUnavailable(sw, st.Task)
		}
		sim.end(sw, st.Task, link.Stopped)
		sim.stopped[st.Task] = true
	}
	return true
}

// report makes the list call of a side process and sends what it gives to the decider, whose answer renews the lease.
func (sim *simulation) report(sw *simWorker) {
	if !sw.connected {
		sim.reportToReplaced(sw)
		return
	}
	if sim.rng.IntN(3) > 0 {
		return
	}
	rep := sim.createReport(sw)
	sim.step(Reported{Instance: sw.instance, Report: rep})
	sim.step(LeaseRenewed{Instance: sw.instance, SentMs: sim.now})
	sw.side.answeredReportMs, sw.side.leaseEnd = sim.now, sim.now+sim.bounds.Lease.Milliseconds()
}

// reportToReplaced makes the list call of a side process that is not connected to the decider. It may still have the connection of
// one that was replaced, which answers its reports for as long as it has authority.
func (sim *simulation) reportToReplaced(sw *simWorker) {
	if sim.lives == nil || sim.lives.IntN(3) > 0 {
		return
	}
	if sw.linkedTo == nil || sim.now >= sim.replacedUntil {
		sim.list(sw)
		return
	}
	rep, old := sim.createReport(sw), sw.linkedTo
	orders := old.Step(sim.at(), Reported{Instance: sw.instance, Report: rep}).Orders
	orders = append(orders, old.Step(sim.at(), LeaseRenewed{Instance: sw.instance, SentMs: sim.now}).Orders...)
	sw.side.answeredReportMs, sw.side.leaseEnd = sim.now, sim.now+sim.bounds.Lease.Milliseconds()
	for _, o := range orders {
		if o.Instance == sw.instance {
			sim.handleOrders(sw, o.Orders)
		}
	}
}

// createReport makes the list call and returns the report of it.
func (sim *simulation) createReport(sw *simWorker) *link.Report {
	side := &sw.side
	ordersDone := side.ordersDone()
	listed := sim.list(sw)
	rep := &link.Report{SentMs: sim.now, AnsweredMs: side.answeredReportMs, OrdersDone: ordersDone, OrdersReceived: side.ordersReceived, OrdersOpen: len(side.pending), Refusals: side.refusals, LeaseLeftMs: sim.leaseLeft(sw)}
	side.refusals = nil
	if !side.known {
		return rep
	}
	info := side.info
	rep.Worker, rep.UnresponsiveMs = &info, sim.now-side.answeredMs
	if !listed {
		return rep
	}
	rep.Listed, rep.Complete, rep.Fence = true, true, side.fence
	for _, n := range sw.runNames() {
		rep.Runs = append(rep.Runs, link.Run{Task: n, Run: sw.runs[n].run, ProgressPercent: sw.runs[n].percent(sim.now), Load: sim.reportedLoad(sw, n)})
	}
	for _, e := range sw.completions {
		if e.Number <= sw.ackedCompletion {
			continue
		}
		if len(rep.Completions) == sim.listedEnds {
			rep.Complete = false
			break
		}
		rep.Completions = append(rep.Completions, e)
	}
	return rep
}

// expireLease ends everything on a worker whose lease has expired.
func (sim *simulation) expireLease(sw *simWorker) {
	if sw.leaseUntil == 0 || sw.lapsed || sw.leaseUntil > sim.now {
		return
	}
	for _, n := range sw.runNames() {
		if r := sw.runs[n]; r != nil {
			sim.end(sw, n, link.Expired)
			sim.endGangOf(n, r.run)
		}
	}
	sw.lapsed = true
	sw.lapses++
}
