package side

import (
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/verbenakeel/verbenakeel/fleet/link"
	"github.com/verbenakeel/verbenakeel/platform/platformtest"
)

// Guards against a task that runs on two workers (issue 45, TWICE): the order of a start comes while the worker is down, and the side
// process repeats the call until the next life under the same id carries it out, with a deadline by the earlier life's clock and so under
// the longest lease. A decider that is cut off before it learns of that life starts the task elsewhere while the run goes on.
func TestStartIsNotRepeatedIntoTheNextLife(t *testing.T) {
	r := newTestSide(t)
	r.worker.StartedMs = r.incarnation.StartedMs
	r.worker.AdvanceClock(time.Hour)
	r.register(r.incarnation, 1, false)
	r.connect(1)
	r.await("with a listing", func(rep *link.Report) bool { return rep.Listed && rep.AnsweredMs > 0 })
	address := r.server.Listener.Addr().String()
	_ = r.server.Listener.Close()
	r.server.CloseClientConnections()
	r.order(link.Orders{Number: 1, Fence: 1 << 16, Incarnation: r.incarnation, Starts: []link.Start{{Task: task, Run: 1}}})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		r.side.mu.Lock()
		defer r.side.mu.Unlock()
		if r.side.conn != nil && len(r.side.conn.orders.pending) > 0 {
			return poll.Success()
		}
		return poll.Continue("the order has not arrived")
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(time.Millisecond))
	time.Sleep(50 * time.Millisecond) // some attempts are refused, as nothing listens
	listener, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	next := platformtest.NewWorker()
	next.StartedMs = r.incarnation.StartedMs + 1000
	server := &http.Server{Handler: next}
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	defer next.Close()
	time.Sleep(startTimeout + maxAttempt) // by then the side process has given up the order
	next.Lock()
	defer next.Unlock()
	assert.Equal(t, len(next.Running), 0, "a life that has not registered has carried out a start that was ordered for the one before")
}
