package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/fleet/work"
)

// Guards against a decider that falls further behind because it does everything in the order of the events: on
// hartwell-keel-large some 800 starts and 800 ends a second pass through one entry, which may have 0.19 of a core. CPU
// shares wait first, but not where a latency-critical task exceeds its target.
func TestLaggingDeciderSetsFewerShares(t *testing.T) {
	sim := newConnectedSimulation(t, 1)
	sim.submit(criticalJob(1, 1, "s1a", 0))
	for range 40 {
		sim.advance()
	}
	s := sim.state
	sim.submit(&work.Job{ID: jobID(2), Steps: []work.Step{{Count: 1, CPU: 800, MemMB: 10, EstMs: 600_000, BestEffort: true, Image: "fb"}}})
	for range 20 {
		sim.advance()
	}
	w := s.workers[sim.workers[0].instance]
	be := &s.jobs[jobID(2)].stages[0].tasks[0]
	critical := &s.jobs[jobID(1)].stages[0].tasks[0]
	assert.Equal(t, be.phase, running)
	throttled := func() bool {
		be.cpuShare = 50 // an update would raise it, as the image does not interfere
		s.updateCPUShares(w)
		return be.cpuShare == 50
	}
	assert.Assert(t, !throttled())
	s.Step(sim.at(), EventsWaited{Wait: fewerSharesWait})
	assert.Assert(t, throttled(), "the shares were set by a decider that is behind")
	critical.overTargetSinceMs = sim.now
	assert.Assert(t, !throttled(), "the shares were not set beside a task over its target")
	critical.overTargetSinceMs = 0
	sim.now += overloadSharesMs
	s.now = sim.at()
	assert.Assert(t, !throttled(), "the shares are never set")
	s.Step(sim.at(), EventsWaited{Wait: time.Millisecond})
	assert.Assert(t, !throttled())
}

// Guards against starts of jobs that are late anyway before those of jobs that can still be on time, while the decider is
// behind, and against late jobs that never start again afterwards.
func TestLaggingDeciderStartsOnTimeJobsOnly(t *testing.T) {
	sim := newConnectedSimulation(t, 1)
	s := sim.state
	s.Step(sim.at(), EventsWaited{Wait: fewerStartsWait})
	late := &work.Job{ID: jobID(1), Queue: work.Queue{Name: "q", Service: "app", Priority: 1, Attempts: 3, Stretch: 1, TargetMs: 1},
		Steps: []work.Step{{Count: 1, CPU: 100, MemMB: 10, EstMs: 300}}}
	s.jobs = map[string]*job{}
	sim.submit(late)
	s.jobs[jobID(1)].dueMs -= 2000
	s.ranksStale = true
	sim.submit(&work.Job{ID: jobID(2), Steps: []work.Step{{Count: 1, CPU: 100, MemMB: 10, EstMs: 300}}})
	s.rescan()
	s.Step(sim.at(), Place{})
	assert.Assert(t, s.jobs[jobID(1)].rank.late != onTime)
	assert.Equal(t, s.jobs[jobID(2)].active, 1)
	assert.Equal(t, s.jobs[jobID(1)].active, 0)
	s.Step(sim.at(), EventsWaited{Wait: time.Millisecond})
	s.Step(sim.at(), Place{})
	assert.Equal(t, s.jobs[jobID(1)].active, 1)
}
