package side

import "github.com/verbenakeel/verbenakeel/fleet/link"

// orderTracker tracks which numbered messages of one connection have been carried out. Each order ends in one of three
// ways: the worker answers it, it is given up with the worker's incarnation, or the tracker ends with its connection.
type orderTracker struct {
	// last is the highest message number, pending the number of unanswered orders of each message.
	last    uint64
	pending map[uint64]int
	// open is the number of all unanswered orders. reportDue is true if the decider waits for most of them to be answered.
	open      int
	reportDue bool
	refusals  []link.Refusal
}

// add records the orders of a message.
func (t *orderTracker) add(number uint64, orders int) {
	t.last = max(t.last, number)
	if orders > 0 {
		if t.pending == nil {
			t.pending = map[uint64]int{}
		}
		t.pending[number] += orders
		t.open += orders
	}
}

// finish records that an order of a message was answered.
func (t *orderTracker) finish(number uint64) {
	if t.pending[number] == 0 {
		return
	}
	t.open--
	if t.pending[number]--; t.pending[number] == 0 {
		delete(t.pending, number)
	}
}

// reportAtOpen is the number of unanswered orders from which a decider that waits for room is told.
const reportAtOpen = 64

// takeReportDue reports whether the decider waits for a report, which is due now, and that only once.
func (t *orderTracker) takeReportDue() bool {
	due := t.reportDue && t.open <= reportAtOpen
	if due {
		t.reportDue = false
	}
	return due
}

// giveUp ends all unanswered orders and returns their number. Their incarnation of the worker has ended: what it has not
// answered, it will not carry out. The next incarnation, if it has the same id, may still get a call in transit; the decider
// learns that from its list under a raised fence, as the report of a new incarnation tells it.
func (t *orderTracker) giveUp() int {
	orders := t.open
	t.open = 0
	clear(t.pending)
	return orders
}

// completedUpTo returns the highest number up to which all orders have ended.
func (t *orderTracker) completedUpTo() uint64 {
	upTo := t.last
	for n := range t.pending {
		upTo = min(upTo, n-1)
	}
	return upTo
}
