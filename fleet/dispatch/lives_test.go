package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against fences that fall, so that a worker refuses all orders for good (LOST): connections and lives under one decider are counted in
// the low part of the fence, and a connection that ends every second exhausts that in 18 hours. The fences of the next decider must be higher too.
func TestFenceNeverFalls(t *testing.T) {
	sim := newConnectedSimulation(t, 1)
	s, sw := sim.state, sim.workers[0]
	w := s.ensureWorker(sw.instance)
	last := s.fence(w)
	for range 1<<fenceSeqBits + 10 {
		s.Step(sim.at(), SideConnected{Instance: sw.instance})
		fence := s.fence(w)
		assert.Assert(t, fence >= last, "%d after %d", fence, last)
		last = fence
	}
	assert.Assert(t, s.FencesExhausted(), "nobody is told that delayed orders are no longer refused")
	next := New(sim.bounds, sim.epoch+1, sim.at(), sim.options)
	next.Step(sim.at(), SideConnected{Instance: sw.instance})
	assert.Assert(t, next.fence(next.ensureWorker(sw.instance)) > last, "the fence of the next decider is not higher")
}
