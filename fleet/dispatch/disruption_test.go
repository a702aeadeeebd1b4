package dispatch

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/fleet/work"
)

// lastingBestEffort returns a long-running best-effort job that disturbs latency-critical tasks of an image that ends in the same letter.
func lastingBestEffort(n, count int, image string, maxUnavailable int) *work.Job {
	return &work.Job{ID: jobID(n), Steps: []work.Step{{Count: count, CPU: 1500, MemMB: 100, EstMs: 400, LongRunning: true, BestEffort: true,
		Image: image, MaxUnavailable: maxUnavailable}}}
}

// addWorker adds an empty worker.
func (sim *simulation) addWorker() *simWorker {
	sw := sim.newWorker(fmt.Sprintf("side-%d", len(sim.workers)))
	sim.workers = append(sim.workers, sw)
	return sw
}

// Guards against throttled tasks of one step that are moved together to a worker that has joined, more than the step allows (review/10,
// AVAIL), and against a limit that keeps them where they get no CPU.
func TestThrottledTasksMoveWithinTheLimit(t *testing.T) {
	for limit := range 3 {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			sim := newConnectedSimulation(t, 4)
			job := lastingBestEffort(2, 4, "fa", limit)
			for i, sw := range sim.workers {
				// One task of each job runs on each worker, placed by an earlier decider.
				for n, j := range []*work.Job{criticalJob(1, 4, "sa", 0), job} {
					name := work.TaskName{Job: jobID(n + 1), Index: i}.String()
					sw.runs[name] = &simRun{run: 1, endsAt: neverEnds}
					sim.jobs[j.ID] = j
				}
			}
			for n := range 2 {
				p := &work.Progress{State: work.Running, Stages: []work.StageProgress{{}}}
				for i, sw := range sim.workers {
					p.Workers = append(p.Workers, sw.instance)
					p.Stages[0].Tasks = append(p.Stages[0].Tasks, work.TaskProgress{Index: i, Run: 1, Worker: i + 1})
				}
				sim.jobs[jobID(n+1)].Queue = work.Queue{Name: "q", Service: "app", Priority: 1, Attempts: 3, Stretch: 2, TargetMs: 1000}
				sim.stored[jobID(n+1)] = work.Encode(p)
			}
			sim.electDecider()
			for range 120 {
				sim.advance()
			}
			for i := range 4 {
				assert.Assert(t, sim.state.findTask(work.TaskName{Job: job.ID, Index: i}.String()).cpuShare < moveShare, "task %d is not throttled", i)
			}
			joined := sim.addWorker()
			joined.info.CPU = 16_000
			for range 400 {
				sim.advance()
			}
			moved := 0
			for name := range joined.runs {
				if strings.HasPrefix(name, job.ID) {
					moved++
				}
			}
			assert.Assert(t, moved >= 2, "%d throttled tasks were moved", moved)
			if limit > 0 {
				assert.Assert(t, sim.stopsAtWork >= moved)
			}
		})
	}
}

// Guards, over random loads, moves, added workers, lost connections and changes of the decider, against more tasks of a step stopped
// than it allows (AVAIL; checked by the simulated workers).
func TestStopsByChoiceKeepTheLimit(t *testing.T) {
	stops := make([]int, 40)
	t.Run("seeds", func(t *testing.T) {
		for seed := range stops {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				sim := newConnectedSimulation(t, 4)
				rng := rand.New(rand.NewPCG(uint64(seed), 10))
				sim.periodicLoad = seed%2 == 0
				n := 0
				for _, kind := range []string{"a", "b"} {
					n++
					sim.submit(criticalJob(n, 2+rng.IntN(3), "s"+kind, 1+rng.IntN(2)))
					n++
					sim.submit(lastingBestEffort(n, 2+rng.IntN(4), "f"+kind, 1+rng.IntN(2)))
				}
				for range 1500 {
					switch {
					case rng.IntN(150) == 0 && len(sim.workers) < 9:
						sim.addWorker().info.CPU = int64(4000 * (1 + rng.IntN(3)))
					case rng.IntN(200) == 0:
						sim.changeDecider()
					case rng.IntN(200) == 0:
						sim.startIncarnation(sim.workers[rng.IntN(len(sim.workers))])
					case rng.IntN(100) == 0:
						n++
						sim.submit(&work.Job{ID: jobID(n), Steps: []work.Step{{Count: 2, CPU: 900, MemMB: 100, EstMs: 1500, BestEffort: true, Image: []string{"fa", "fb"}[n%2]}}})
					}
					sim.advance()
				}
				stops[seed] = sim.stopsAtWork
			})
		}
	})
	total := 0
	for _, n := range stops {
		total += n
	}
	assert.Assert(t, total >= 100, "only %d runs at work were stopped", total)
}

// Guards against a run that a new decider counts as at work while a stop by the earlier one is on its way.
func TestRunIsAtWorkOnceItHasSettled(t *testing.T) {
	sim := newConnectedSimulation(t, 2)
	sim.submit(lastingBestEffort(1, 2, "fa", 1))
	for range 100 {
		sim.advance()
	}
	tasks := sim.state.jobs[jobID(1)].stages[0].tasks
	assert.Assert(t, sim.state.mayDisrupt(&tasks[0]))
	sim.electDecider()
	tasks = sim.state.jobs[jobID(1)].stages[0].tasks
	elected := sim.now
	for tasks[0].phase != running || tasks[1].phase != running {
		sim.advance()
	}
	assert.Assert(t, !sim.state.mayDisrupt(&tasks[0]), "%d ms after the change of decider", sim.now-elected)
	for range 2 * disruptionSettleMs / stepMs {
		sim.advance()
	}
	assert.Assert(t, sim.state.mayDisrupt(&tasks[0]))
	tasks[1].worker.lastReportMs = sim.now - maxUnresponsiveMs
	assert.Assert(t, !sim.state.mayDisrupt(&tasks[0]), "the other task has not been heard of lately")
}

// Guards against a stop that does not pass stopRun, or that names a cause without regard to the limit on unavailable tasks: the causes of
// each function are listed, orders to stop are queued in two places only, and one function writes them into messages.
func TestEveryStopPassesStopRun(t *testing.T) {
	paths, err := filepath.Glob("*.go")
	assert.NilError(t, err)
	var stops, orders, sends, queues []string
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		assert.NilError(t, err)
		for _, decl := range file.Decls {
			f, ok := decl.(*ast.FuncDecl)
			if !ok {
				continue
			}
			ast.Inspect(f, func(n ast.Node) bool {
				switch n := n.(type) {
				case *ast.CallExpr:
					if sel, ok := n.Fun.(*ast.SelectorExpr); ok && sel.Sel.Name == "stopRun" {
						cause, ok := n.Args[1].(*ast.Ident)
						assert.Assert(t, ok, "%s passes a computed cause", f.Name.Name)
						stops = append(stops, f.Name.Name+" "+cause.Name)
					} else if ok && sel.Sel.Name == "sendStop" {
						sends = append(sends, f.Name.Name)
					} else if ok && sel.Sel.Name == "queueStop" {
						queues = append(queues, f.Name.Name)
					}
				case *ast.CompositeLit:
					if typ, ok := n.Type.(*ast.Ident); ok && typ.Name == "queuedStop" {
						orders = append(orders, f.Name.Name)
					}
				case *ast.KeyValueExpr:
					key, ok := n.Key.(*ast.Ident)
					assert.Assert(t, !ok || key.Name != "Stops", "%s makes orders to stop", f.Name.Name)
				case *ast.SelectorExpr:
					assert.Assert(t, n.Sel.Name != "Stops" || f.Name.Name == "takeStops", "%s changes orders to stop", f.Name.Name)
				}
				return true
			})
		}
	}
	slices.Sort(stops)
	slices.Sort(orders)
	slices.Sort(sends)
	assert.DeepEqual(t, stops, []string{"evictFromDraining stopDraining", "finishJob stopJobEnded", "handleRunEnded stopGangEnded", "markTaskDone stopRedundant",
		"moveCritical stopRebalanced", "moveIfSlow stopSlow", "moveSlowRuns stopStalled", "moveThrottled stopThrottled"})
	// stopUnknownRuns stops runs that belong to no task, resendStops repeats stops.
	assert.DeepEqual(t, orders, []string{"queueStop", "stopUnknownRuns"})
	assert.DeepEqual(t, queues, []string{"sendStop"})
	assert.DeepEqual(t, sends, []string{"resendStops", "stopRun"})
	for _, c := range []stopCause{stopJobEnded, stopRedundant, stopGangEnded, stopDraining} {
		assert.Assert(t, !c.voluntary())
	}
	for _, c := range []stopCause{stopStalled, stopSlow, stopThrottled, stopRebalanced} {
		assert.Assert(t, c.voluntary())
	}
}
