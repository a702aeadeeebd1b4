package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/fleet/link"
	"github.com/verbenakeel/verbenakeel/fleet/work"
)

// permitOnly makes the adviser permit workers by their ids.
func (a *simAdviser) permitOnly(ids ...string) {
	a.permits = func(_, id string) bool { return slices.Contains(ids, id) }
}

// small is a step that fits anywhere.
var small = work.Step{Count: 1, CPU: 200, MemMB: 10, EstMs: 640}

// Guards against workers that the adviser is never asked about (review/8, LOST): with more than one call may name, only the first
// hundred by name were asked about, each second anew.
func TestEveryWorkerIsAskedAbout(t *testing.T) {
	for _, permitted := range []int{0, 57, 99, 100, 104, 109} {
		t.Run(fmt.Sprint(permitted), func(t *testing.T) {
			t.Parallel()
			sim := newConnectedSimulation(t, 110)
			a := newSimAdviser(20, 0.2)
			l := newAdvisedLoad(sim, a)
			a.permitOnly(sim.workers[permitted].info.Incarnation.ID)
			id := l.submit(small)
			submitted := sim.now
			l.run(0, 3000)
			began := sim.started[id+".0.0.0"]
			assert.Assert(t, began > 0 && began <= submitted+1000, "started %d ms after the submission", began-submitted)
			for step, calls := range a.named {
				asked := map[string]bool{}
				for _, ids := range calls {
					for _, worker := range ids {
						assert.Assert(t, !asked[worker], "%s is named twice for %s", worker, step)
						asked[worker] = true
					}
				}
				assert.Assert(t, len(calls[0]) <= firstQuestionWorkers, "the first call names %d workers", len(calls[0]))
			}
		})
	}
}

// Guards against calls about workers that may not run a step, on which nothing changes, and against a next life of such a worker that is
// not asked about.
func TestNextLifeOfDeniedWorkerIsAskedAbout(t *testing.T) {
	sim := newConnectedSimulation(t, 3)
	a := newSimAdviser(20, 0.2)
	l := newAdvisedLoad(sim, a)
	a.permitOnly()
	id := l.submit(small)
	l.run(0, 10_000)
	assert.Equal(t, len(a.named[id+".0.0"]), 1, "calls about workers that were denied: %v", a.named)
	a.permits = nil
	sim.startIncarnation(sim.workers[1])
	l.run(0, 3000)
	assert.Assert(t, sim.started[id+".0.0.0"] > 0)
	assert.DeepEqual(t, a.named[id+".0.0"][1:], [][]string{{sim.workers[1].info.Incarnation.ID}})
}

// Guards against an answer about an earlier life of a worker that is taken for one about the present life, which has the same id.
func TestAnswerAboutEarlierLifeIsNotUsed(t *testing.T) {
	for _, good := range []bool{true, false} {
		sim := newConnectedSimulation(t, 1)
		j := &work.Job{ID: jobID(1), Queue: work.Queue{Name: "q", Service: "app", Attempts: 3, Stretch: 2, Advice: &work.Advice{ValidMs: 3000}}, Steps: []work.Step{small}}
		sim.submit(j)
		eff := sim.state.Step(sim.at(), Place{})
		assert.Equal(t, len(eff.Questions), 1)
		sw := sim.workers[0]
		sim.startIncarnation(sw)
		for !sim.state.schedulable(sim.state.workers[sw.instance]) || sim.state.workers[sw.instance].info.Incarnation != sw.info.Incarnation {
			sim.advance()
		}
		answer := AdviceReceived{Step: j.ID + ".0.0", Tickets: map[string]string{}, IDs: map[string]string{}, ValidMs: 3000, Complete: true}
		if good {
			answer.Tickets[sw.instance], answer.IDs[sw.instance] = "ticket", sw.info.Incarnation.ID
		}
		sim.step(answer)
		eff = sim.state.Step(sim.at(), Place{})
		assert.Equal(t, sim.state.jobs[j.ID].active, 0, "a ticket of an earlier life was used")
		assert.Equal(t, len(eff.Questions), 1, "the next life is not asked about")
	}
}

// Guards against an incomplete answer that is taken to deny the workers without a ticket: they are asked about again.
func TestIncompleteAnswerDeniesNothing(t *testing.T) {
	sim := newConnectedSimulation(t, 2)
	j := &work.Job{ID: jobID(1), Queue: work.Queue{Name: "q", Service: "app", Attempts: 3, Stretch: 2, Advice: &work.Advice{ValidMs: 3000}}, Steps: []work.Step{small}}
	sim.submit(j)
	assert.Equal(t, len(sim.state.Step(sim.at(), Place{}).Questions), 1)
	sim.step(AdviceReceived{Step: j.ID + ".0.0", ValidMs: 3000})
	again := 0
	for range 60 {
		sim.now += stepMs
		again += len(sim.state.Step(sim.at(), Tick{}).Questions)
	}
	assert.Equal(t, again, 1, "asked again, and not while that call is outstanding")
}

// Guards against an adviser whose answers say nothing, or not everything, and that is asked again without a pause.
func TestIncompleteAnswersSpaceOutCalls(t *testing.T) {
	for _, tickets := range []bool{false, true} {
		sim := newConnectedSimulation(t, 2)
		j := &work.Job{ID: jobID(1), Queue: work.Queue{Name: "q", Service: "app", Attempts: 3, Stretch: 2, Advice: &work.Advice{ValidMs: 3000}},
			Steps: []work.Step{{Count: 1, CPU: 3000, MemMB: 10, EstMs: 640, Gang: true}, {Count: 2, CPU: 3000, MemMB: 10, EstMs: 640, Gang: true}}}
		sim.submit(j)
		asked := 0
		for range 200 {
			sim.now += stepMs
			for _, q := range sim.state.Step(sim.at(), Tick{}).Questions {
				asked++
				answer := AdviceReceived{Step: q.Step, ValidMs: 3000}
				if tickets {
					answer.Tickets = map[string]string{sim.workers[0].instance: "ticket"}
					answer.IDs = map[string]string{sim.workers[0].instance: sim.workers[0].info.Incarnation.ID}
				}
				sim.step(answer)
			}
		}
		assert.Assert(t, asked > 2 && asked <= 22, "asked %d times in 10 s", asked)
	}
}

// Guards against a ticket that a worker refuses and that is used again, and against a worker that counts as denied for that.
func TestRefusedTicketIsRenewed(t *testing.T) {
	sim := newConnectedSimulation(t, 1)
	a := newSimAdviser(20, 0.2)
	l := newAdvisedLoad(sim, a)
	id := l.submit(small)
	for sim.started[id+".0.0.0"] == 0 {
		sim.advance()
	}
	tk := sim.state.findTask(id + ".0.0.0")
	w := tk.worker
	tk.phase = starting
	sim.state.handleRefusals(w, []link.Refusal{{Task: id + ".0.0.0", Run: tk.run, Reason: link.ReasonTicket}})
	assert.Assert(t, !sim.state.holdsTicket(tk.stage, w))
	first := sim.now
	for len(a.named[id+".0.0"]) < 2 && sim.now < first+3000 {
		sim.advance()
	}
	assert.Equal(t, len(a.named[id+".0.0"]), 2)
	assert.Assert(t, sim.now-first >= sameWorkerRetryMs/2, "asked again after %d ms", sim.now-first)
}

// Guards against a step of a queue with an adviser that loses room to steps of lower priority that need no ticket: on a full fleet it
// has its ticket when room comes.
func TestAdvisedStepGetsTheNextRoom(t *testing.T) {
	sim := newConnectedSimulation(t, 4)
	a := newSimAdviser(50, 2)
	l := newAdvisedLoad(sim, a)
	n := 1000
	// Each worker has room for two of these tasks, and they always wait.
	plain := func() {
		n++
		sim.submit(&work.Job{ID: jobID(n), Queue: work.Queue{Name: "plain", Service: "app", Priority: 2, Attempts: 3, Stretch: 2, TargetMs: 1000},
			Steps: []work.Step{{Count: 1, CPU: 2000, MemMB: 10, EstMs: 2000}}})
	}
	for range 40 {
		plain()
	}
	for range 100 {
		sim.advance()
	}
	id := l.submit(work.Step{Count: 1, CPU: 2000, MemMB: 10, EstMs: 2000})
	submitted := sim.now
	before := n
	for sim.started[id+".0.0.0"] == 0 && sim.now < submitted+20_000 {
		if sim.now%200 == 0 {
			plain()
		}
		sim.advance()
	}
	assert.Assert(t, sim.started[id+".0.0.0"] > 0, "not started in 20 s, %d others were submitted meanwhile", n-before)
	assert.Assert(t, sim.started[id+".0.0.0"]-submitted < 3000, "started after %d ms", sim.started[id+".0.0.0"]-submitted)
}

// Guards against a gang that never has tickets for enough workers at one time.
func TestGangWithAdviceStarts(t *testing.T) {
	sim := newConnectedSimulation(t, 12)
	a := newSimAdviser(50, 2)
	l := newAdvisedLoad(sim, a)
	var even []string
	for i, sw := range sim.workers {
		if i%2 == 0 {
			even = append(even, sw.info.Incarnation.ID)
		}
	}
	a.permitOnly(even...)
	id := l.submit(work.Step{Count: 6, CPU: 3000, MemMB: 10, EstMs: 900, Gang: true})
	l.run(0, 3000)
	for k := range 6 {
		assert.Assert(t, sim.started[fmt.Sprintf("%s.0.0.%d", id, k)] > 0, "task %d", k)
	}
}

// Guards, for random policies, fleets of up to 150 workers, steps that wait for room and workers that restart, against a step that is not
// started, a worker that is named again while its ticket is valid or after it was denied, and calls that are given up.
func TestAdviceForRandomPolicies(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 8))
			workers := 1 + rng.IntN(150)
			sim := newConnectedSimulation(t, workers)
			a := newSimAdviser(20, 0.2)
			l := newAdvisedLoad(sim, a)
			allowed := 1 + rng.IntN(workers)
			order := rng.Perm(workers)
			ids := map[string]bool{}
			for _, i := range order[:allowed] {
				ids[sim.workers[i].info.Incarnation.ID] = true
			}
			a.permits = func(_, id string) bool { return ids[id] }
			for range 40 {
				switch rng.IntN(4) {
				case 0:
					sim.startIncarnation(sim.workers[rng.IntN(workers)])
				default:
					l.submit(work.Step{Count: 1 + rng.IntN(5), CPU: 1000, MemMB: 10, EstMs: 640})
				}
				for range 4 {
					sim.advance()
				}
			}
			l.run(0, 30_000)
			assert.Equal(t, len(l.unstarted()), 0, "of %d jobs, %d of %d workers may run them", l.n, allowed, workers)
			assert.Equal(t, a.abandoned+a.refused, 0)
			assert.Equal(t, len(sim.state.adviser.outstanding), 0)
		})
	}
}
