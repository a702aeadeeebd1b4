package side

import "github.com/verbenakeel/verbenakeel/fleet/link"

// orderTracker tracks which numbered messages of one connection have been carried out. Each order ends in one of three
// ways: the worker answers it, it is given up with the worker's incarnation, or the tracker ends with its connection.
type orderTracker struct {
	// last is the highest message number, pending the number of unanswered orders of each message.
	last     uint64
	pending  map[uint64]int
	refusals []link.Refusal
}

// add records the orders of a message.
func (t *orderTracker) add(number uint64, orders int) {
	t.last = max(t.last, number)
	if orders > 0 {
		if t.pending == nil {
			t.pending = map[uint64]int{}
		}
		t.pending[number] += orders
	}
}

// finish records that an order of a message was answered.
func (t *orderTracker) finish(number uint64) {
	if t.pending[number]--; t.pending[number] <= 0 {
		delete(t.pending, number)
	}
}

// giveUp ends all unanswered orders and returns their number. Their incarnation of the worker has ended: what it has not
// answered, it will not carry out. The next incarnation, if it has the same id, may still get a call in transit; the decider
// learns that from its list under a raised fence, as the report of a new incarnation tells it.
func (t *orderTracker) giveUp() int {
	orders := 0
	for _, n := range t.pending {
		orders += n
	}
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
