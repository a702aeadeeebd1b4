package entry

import (
	"context"
	"sync"

	"github.com/verbenakeel/verbenakeel/fleet/dispatch"
	"github.com/verbenakeel/verbenakeel/fleet/link"
)

// maxFences is the number of messages beside those with orders that may wait for a connection: raised fences, one for each life of a worker.
const maxFences = 64

// sideQueue holds the messages that wait for a connection to a side process. The dispatch state bounds those with orders. Answers to
// reports go first, as they renew the lease of the worker, and only the newest one counts.
type sideQueue struct {
	mu         sync.Mutex
	messages   []link.Orders
	answeredMs int64
	// wake has an element while something may wait.
	wake chan struct{}
}

func newSideQueue() *sideQueue { return &sideQueue{wake: make(chan struct{}, 1)} }

// put queues a message. It returns false if too many wait.
func (q *sideQueue) put(o link.Orders) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.answeredMs = max(q.answeredMs, o.AnsweredMs)
	if o.Number > 0 || o.Fence > 0 {
		if len(q.messages) >= dispatch.MaxTransitMessages+maxFences {
			return false
		}
		o.AnsweredMs = 0
		q.messages = append(q.messages, o)
	}
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return true
}

// next waits for a message and removes it. It returns false once ctx has ended.
func (q *sideQueue) next(ctx context.Context) (link.Orders, bool) {
	for {
		if o, ok := q.take(); ok {
			return o, true
		}
		select {
		case <-ctx.Done():
			return link.Orders{}, false
		case <-q.wake:
		}
	}
}

func (q *sideQueue) take() (link.Orders, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if at := q.answeredMs; at > 0 {
		q.answeredMs = 0
		return link.Orders{AnsweredMs: at}, true
	}
	if len(q.messages) == 0 {
		return link.Orders{}, false
	}
	o := q.messages[0]
	q.messages = q.messages[1:]
	return o, true
}
