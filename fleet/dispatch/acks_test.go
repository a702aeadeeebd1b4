package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/fleet/link"
	"github.com/verbenakeel/verbenakeel/fleet/work"
)

// Guards against ends that workers list again and again because they are never taken note of, and against one that is
// forgotten before it is stored, after which its task would run again.
func TestCompletionsAreAcknowledgedOnceStored(t *testing.T) {
	sim := newConnectedSimulation(t, 1)
	s := sim.state
	sim.submit(&work.Job{ID: jobID(1), Steps: []work.Step{{Count: 2, CPU: 100, MemMB: 10, EstMs: 60_000}}})
	for range 20 {
		sim.advance()
	}
	sw := sim.workers[0]
	assert.Equal(t, len(sw.runs), 2)
	w := s.workers[sw.instance]
	acked := w.ackedCompletion
	name := s.jobs[jobID(1)].stages[0].tasks[0].name().String()
	sim.end(sw, name, link.Done)
	number := sw.lastCompletion
	info := sw.info
	report := Reported{Instance: sw.instance, Report: &link.Report{SentMs: sim.now, Worker: &info, OrdersDone: sw.ordersDone, Fence: sw.sideFence, Completions: sw.completions}}
	s.Step(sim.at(), report)
	b := s.Collect()
	assert.Assert(t, !b.Empty())
	s.Step(sim.at(), Tick{})
	assert.Equal(t, w.ackedCompletion, acked, "the end was acknowledged before it was stored")
	forget := int64(0)
	for _, o := range s.Step(sim.at(), Committed{Batch: b}).Orders {
		forget = max(forget, o.Orders.Forget)
	}
	assert.Equal(t, forget, number, "the stored end was not acknowledged")
}
