package side

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/fleet/link"
)

// heartbeats sends heartbeats of an incarnation from a sequence number on until a report fits.
func (r *testSide) heartbeats(incarnation link.Incarnation, seq int64, what string, fits func(*link.Report) bool) {
	r.t.Helper()
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until); seq++ {
		r.register(incarnation, seq, false)
		time.Sleep(100 * time.Millisecond)
		r.mu.Lock()
		latest := r.reports[len(r.reports)-1]
		r.mu.Unlock()
		if fits(&latest) {
			return
		}
	}
	r.t.Fatalf("no report %s", what)
}

// Guards against a worker that gets no work for good because the message by which its earlier life left arrived late (review/9, LOST), and
// against one that leaves and is taken for a worker that goes on.
func TestLateLeaveOfEarlierLifeEnds(t *testing.T) {
	r := newTestSide(t)
	r.register(r.incarnation, 1, false)
	r.connect(1)
	r.await("with a listing", func(rep *link.Report) bool { return rep.Listed })
	next := link.Incarnation{ID: r.incarnation.ID, StartedMs: r.incarnation.StartedMs + 1000}
	r.restartWorker(next.StartedMs)
	r.register(next, 1, false)
	r.await("of the next life", func(rep *link.Report) bool {
		return rep.Listed && rep.Worker != nil && rep.Worker.Incarnation == next
	})
	r.side.handleLeave(next.ID)
	r.await("that it leaves", func(rep *link.Report) bool { return rep.Leaving })
	r.register(next, 2, false)
	r.mu.Lock()
	assert.Assert(t, r.reports[len(r.reports)-1].Leaving, "a heartbeat that may have been sent before the message took it back")
	r.mu.Unlock()
	r.heartbeats(next, 3, "that it goes on", func(rep *link.Report) bool { return !rep.Leaving })

	r.side.handleLeave(next.ID)
	r.worker.Lock()
	r.worker.Hang = true
	r.worker.Unlock()
	for seq := range int64(15) {
		r.register(next, 1000+seq, false)
		time.Sleep(100 * time.Millisecond)
	}
	r.side.mu.Lock()
	defer r.side.mu.Unlock()
	assert.Assert(t, r.side.incarnation.leaving, "late heartbeats of a worker that answers nothing took its leave back")
}
