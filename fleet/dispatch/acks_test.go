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
	report := Reported{Instance: sw.instance, Report: &link.Report{SentMs: sim.now, Worker: &info, OrdersDone: sw.side.ordersDone(), Fence: sw.side.fence, Completions: sw.completions}}
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

// Guards against ended runs that a worker lists for good: the acknowledgement was lost with the connection, and it was not
// repeated until another order was sent to the same worker. Ended runs beyond the list were then never seen (LOST).
func TestLostAcknowledgementIsRepeated(t *testing.T) {
	sim := newConnectedSimulation(t, 1)
	s, sw := sim.state, sim.workers[0]
	sim.submit(&work.Job{ID: jobID(1), Steps: []work.Step{{Count: 1, CPU: 100, MemMB: 10, EstMs: 60_000}}})
	for range 20 {
		sim.advance()
	}
	sim.end(sw, s.jobs[jobID(1)].stages[0].tasks[0].name().String(), link.Done)
	listed := func() int64 {
		info := sw.info
		s.Step(sim.at(), Reported{Instance: sw.instance, Report: &link.Report{SentMs: sim.now, Worker: &info, Listed: true, Complete: true,
			Fence: s.fence(s.workers[sw.instance]), OrdersDone: sw.side.ordersDone(), Completions: sw.completions}})
		forget := int64(0)
		for _, o := range s.Step(sim.at(), Committed{Batch: s.Collect()}).Orders {
			forget = max(forget, o.Orders.Forget)
		}
		return forget
	}
	assert.Equal(t, listed(), sw.lastCompletion)
	s.Step(sim.at(), SideDisconnected{Instance: sw.instance})
	s.Step(sim.at(), SideConnected{Instance: sw.instance})
	assert.Equal(t, listed(), sw.lastCompletion, "the acknowledgement was not repeated")
}
