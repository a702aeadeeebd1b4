package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/fleet/link"
	"github.com/verbenakeel/verbenakeel/fleet/work"
)

// startOneRun returns the task of a job of one long task whose run has begun.
func startOneRun(sim *simulation) *task {
	sim.submit(&work.Job{ID: jobID(1), Steps: []work.Step{{Count: 1, CPU: 1000, EstMs: 600_000}}})
	for range 20 {
		sim.advance()
	}
	return &sim.state.jobs[jobID(1)].stages[0].tasks[0]
}

// Guards against a run that is started elsewhere while it goes on (issue 45, TWICE): a side process that was started again, or whose worker
// was, may report a longer lease than this decider has granted, also for an incarnation that is known already.
func TestReportedLeaseIsAwaited(t *testing.T) {
	sim := newConnectedSimulation(t, 2)
	tk := startOneRun(sim)
	first := tk.worker
	var sw *simWorker
	for _, w := range sim.workers {
		if w.instance == first.instance {
			sw = w
		}
	}
	longest := sim.bounds.MaxLease.Milliseconds()
	info := sw.info
	sim.step(Reported{Instance: sw.instance, Report: &link.Report{SentMs: sim.now, Worker: &info, LeaseLeftMs: longest}})
	sw.connected, sw.disconnectedUntil = false, 1<<60
	sim.step(SideDisconnected{Instance: sw.instance})
	lost := sim.now
	for tk.worker == first && sim.now < lost+60_000 {
		sim.advance()
	}
	waited := sim.now - lost
	assert.Assert(t, waited >= longest, "given up after %d ms, the lease lasts %d ms", waited, longest)
	assert.Assert(t, waited <= longest+500, "given up after %d ms, the lease lasts %d ms", waited, longest)
}

// Guards against a next decider that starts the runs of a worker elsewhere which it has not heard of while they go on (issue 45, TWICE): the
// worker may have restarted under its id before, and hold the longest lease.
func TestNextDeciderAwaitsTheLongestLease(t *testing.T) {
	for _, longest := range []time.Duration{6 * time.Second, 10 * time.Second, 30 * time.Second} {
		sim := newConnectedSimulation(t, 2)
		sim.bounds.MaxLease = longest
		sim.bounds = sim.bounds.Derive()
		instance := startOneRun(sim).worker.instance
		for _, sw := range sim.workers {
			if sw.instance == instance {
				sw.disconnectedUntil = 1 << 60
			}
		}
		sim.electDecider()
		claimed := sim.now
		tk := &sim.state.jobs[jobID(1)].stages[0].tasks[0]
		for tk.worker != nil && tk.worker.instance == instance && sim.now < claimed+120_000 {
			sim.advance()
		}
		waited := time.Duration(sim.now-claimed) * time.Millisecond
		assert.Assert(t, waited >= longest, "given up after %s, a lease may last %s", waited, longest)
		assert.Assert(t, waited >= sim.bounds.AuthorityTimeout+sim.bounds.Lease, "given up after %s, the previous decider may have granted more", waited)
	}
}

// Guards against a run that is started elsewhere while it goes on (TWICE, soak seed 20261206505): a start that no list has shown may be
// carried out by the next life of a worker that is cut off, under the longest lease from then on.
func TestUnlistedStartAwaitsTheLongestLease(t *testing.T) {
	for _, unlisted := range []bool{true, false} {
		sim := newConnectedSimulation(t, 2)
		tk := startOneRun(sim)
		first := tk.worker
		assert.Equal(t, tk.phase, running)
		if unlisted {
			tk.phase = starting
		}
		for _, sw := range sim.workers {
			if sw.instance == first.instance {
				sw.connected, sw.disconnectedUntil = false, 1<<60
			}
		}
		sim.step(SideDisconnected{Instance: first.instance})
		lost, longest := sim.now, sim.bounds.MaxLease
		until := first.leaseExpiresMs - lost
		for tk.worker == first && sim.now < lost+60_000 {
			sim.advance()
		}
		waited := sim.now - lost
		if unlisted {
			until += longest.Milliseconds()
		}
		assert.Assert(t, waited >= until, "given up after %d ms, a lease may last %d ms; not listed: %t", waited, until, unlisted)
		assert.Assert(t, waited <= until+500, "given up after %d ms, a lease may last %d ms; not listed: %t", waited, until, unlisted)
	}
}
