package dispatch

import (
	"math"
	"slices"

	"github.com/verbenakeel/verbenakeel/fleet/link"
)

// Orders for a worker wait here until its side process has room for them, so that no number of them fills a connection or keeps the
// renewal of the lease waiting.
const (
	// maxOpenOrders bounds the orders that a side process has not answered, maxOpenStarts the starts while there are others: a side process
	// makes 4 calls at a time, and a worker on a small instance takes some milliseconds for each.
	maxOpenOrders = 1024
	maxOpenStarts = 256
	// maxTransitBytes and MaxTransitMessages bound the messages that a side process has not received.
	maxTransitBytes    = 256 << 10
	MaxTransitMessages = 256
	// maxMessageBytes is the size from which a message takes no further orders. It takes 50 ms over a link of 10 Mbit/s.
	maxMessageBytes = 64 << 10
	// orderBytes is the size of an order beside its texts, as an upper bound.
	orderBytes = 40
	// unsentOrder is the number of an order that was not sent yet.
	unsentOrder = math.MaxUint64
)

// queuedStop is a stop that was not sent yet. task is nil if the run belongs to none.
type queuedStop struct {
	task *task
	stop link.Stop
}

// sentMessage is a message that the side process has not received as of its last report.
type sentMessage struct {
	number        uint64
	orders, bytes int
}

// outbox holds the orders for a worker.
type outbox struct {
	stops     []queuedStop
	starts    []pendingStart
	throttles []link.Throttle
	// forget is true if an acknowledgement of completions is to be sent.
	forget bool
	// transit holds the messages that the side process has not received, with their orders and bytes. open is the number of the orders
	// that it had received and not answered as of its last report.
	transit                           []sentMessage
	transitOrders, transitBytes, open int
	// listed is true while the worker is in State.unsent.
	listed bool
}

func (b *outbox) empty() bool {
	return len(b.stops) == 0 && len(b.starts) == 0 && len(b.throttles) == 0 && !b.forget
}

// queued records that the worker has orders to send.
func (s *State) queued(w *worker) {
	if !w.outbox.listed {
		w.outbox.listed = true
		s.unsent = append(s.unsent, w)
	}
}

// queueStop queues the stop of a task's run.
func (s *State) queueStop(t *task) {
	if t.stopQueued {
		return
	}
	t.stopQueued = true
	t.worker.outbox.stops = append(t.worker.outbox.stops, queuedStop{t, link.Stop{Task: t.name().String(), Run: t.run}})
	s.queued(t.worker)
}

// queueStart queues the start of a task's run.
func (s *State) queueStart(t *task) {
	t.orderNumber = unsentOrder
	t.worker.outbox.starts = append(t.worker.outbox.starts, pendingStart{t, t.run})
	s.queued(t.worker)
}

// queueThrottle queues a CPU share, in place of an earlier one for the same run.
func (s *State) queueThrottle(w *worker, o link.Throttle) {
	list := slices.DeleteFunc(w.outbox.throttles, func(q link.Throttle) bool { return q.Task == o.Task && q.Run == o.Run })
	w.outbox.throttles = append(list, o)
	s.queued(w)
}

// dropQueued drops what was not sent: it is for a connection or a life of the worker that has ended. Stops are ordered again by
// resendStops, and starts that no side process has got leave their tasks to be placed again.
func (s *State) dropQueued(w *worker, reason string) {
	starts := w.outbox.starts
	for _, q := range w.outbox.stops {
		if q.task != nil {
			q.task.stopQueued = false
		}
	}
	w.outbox.stops, w.outbox.starts, w.outbox.throttles, w.outbox.forget = nil, nil, nil, false
	s.requeueUnsent(w, starts, reason)
}

// requeueUnsent places tasks again whose starts were never sent.
func (s *State) requeueUnsent(w *worker, starts []pendingStart, reason string) {
	for _, p := range starts {
		if p.unsentOn(w) {
			s.logTaskDecision(DecisionRequeued, p.task, reason)
			s.handleRunEnded(p.task)
		}
	}
}

// unsentOn reports whether the start is still to be sent to the worker.
func (p pendingStart) unsentOn(w *worker) bool {
	t := p.task
	return t.worker == w && t.run == p.run && t.phase == starting && t.orderNumber == unsentOrder
}

// received records which messages the side process has received and how many of their orders it has not answered. Earlier versions tell
// only which orders are answered.
func (w *worker) received(r *link.Report) {
	upTo, n := max(r.OrdersReceived, r.OrdersDone), 0
	b := &w.outbox
	for n < len(b.transit) && b.transit[n].number <= upTo {
		b.transitOrders -= b.transit[n].orders
		b.transitBytes -= b.transit[n].bytes
		n++
	}
	b.transit = slices.Delete(b.transit, 0, n)
	b.open = r.OrdersOpen
}

// sendQueued sends the queued orders for which the side processes have room.
func (s *State) sendQueued() {
	list := s.unsent
	s.unsent = nil
	for _, w := range list {
		w.outbox.listed = false
		if w.connected && w.info != nil {
			if !w.reachable() {
				starts := w.outbox.starts
				w.outbox.starts = nil
				s.requeueUnsent(w, starts, "its worker became unresponsive before the start was ordered")
			}
			for s.sendMessage(w) {
			}
		}
		if !w.outbox.empty() {
			s.queued(w)
		}
	}
}

// orderRoom is the room for further orders in a message.
type orderRoom struct{ orders, starts, bytes int }

// take takes the room for an order. The first order of a message always has room in bytes.
func (r *orderRoom) take(bytes int, first bool) bool {
	if r.orders <= 0 || r.bytes < bytes && !first {
		return false
	}
	r.orders--
	r.bytes -= bytes
	return true
}

// sendMessage sends one message with queued orders and reports whether there may be room for another one. Stops go first: they make room,
// and a stop that was never sent may end a run that is not permitted any more.
func (s *State) sendMessage(w *worker) bool {
	b := &w.outbox
	if b.empty() || len(b.transit) >= MaxTransitMessages || b.transitBytes >= maxTransitBytes {
		return false
	}
	unanswered := b.open + b.transitOrders
	r := orderRoom{orders: maxOpenOrders - unanswered, starts: maxOpenStarts - unanswered, bytes: maxMessageBytes}
	number := w.ordersSent + 1
	var o link.Orders
	s.takeStops(w, &o, &r, number)
	s.takeStarts(w, &o, &r, number)
	for len(b.throttles) > 0 && r.take(orderBytes+len(b.throttles[0].Task), o.Len() == 0) {
		o.Throttles = append(o.Throttles, b.throttles[0])
		b.throttles = b.throttles[1:]
	}
	if o.Len() == 0 && !b.forget {
		return false
	}
	b.forget = false
	o.More = !b.empty()
	w.ordersSent = number
	o.Number, o.Fence, o.Forget, o.Incarnation = number, s.fence(w), w.ackedCompletion, w.info.Incarnation
	m := sentMessage{number, o.Len(), maxMessageBytes - r.bytes}
	b.transit = append(b.transit, m)
	b.transitOrders += m.orders
	b.transitBytes += m.bytes
	s.effects.Orders = append(s.effects.Orders, SideOrders{w.instance, o})
	return o.More
}

// takeStops moves stops into a message.
func (s *State) takeStops(w *worker, o *link.Orders, r *orderRoom, number uint64) {
	b := &w.outbox
	for len(b.stops) > 0 {
		q := b.stops[0]
		if q.task != nil && !q.task.awaitsStop(w, q.stop.Run) {
			b.stops = b.stops[1:]
			continue
		}
		if !r.take(orderBytes+len(q.stop.Task), o.Len() == 0) {
			return
		}
		o.Stops = append(o.Stops, q.stop)
		b.stops = b.stops[1:]
		if t := q.task; t != nil {
			t.stopQueued, t.stopSentMs, t.orderNumber = false, s.now.BootMs, number
		} else {
			w.unknownStops[q.stop.Task] = unknownStop{q.stop.Run, number}
		}
	}
}

// takeStarts moves starts into a message.
func (s *State) takeStarts(w *worker, o *link.Orders, r *orderRoom, number uint64) {
	b := &w.outbox
	for len(b.starts) > 0 {
		p := b.starts[0]
		if !p.unsentOn(w) {
			b.starts = b.starts[1:] // the run was abandoned before it was ordered
			continue
		}
		if r.starts <= 0 || !r.take(orderBytes+p.task.startBytes(), o.Len() == 0) {
			return
		}
		r.starts--
		o.Starts = append(o.Starts, s.startOrder(p.task))
		p.task.orderNumber, p.task.orderedMs = number, s.now.BootMs
		b.starts = b.starts[1:]
	}
}

// awaitsStop reports whether the run is still to be stopped on the worker.
func (t *task) awaitsStop(w *worker, run int) bool {
	return t.worker == w && t.run == run && (t.phase == stopping || t.phase == done)
}

// startBytes returns the size of the texts of a start.
func (t *task) startBytes() int {
	return len(t.stage.job.def.ID) + len(t.stage.job.def.Spec) + len(t.checkpoint) + len(t.stage.advice.ticketText(t.worker)) + orderBytes
}
