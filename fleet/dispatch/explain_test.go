package dispatch

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/fleet/work"
)

// dump returns all that a value refers to as text, so that two texts differ if any field of it has changed. Pointers are
// numbered in the order in which they are met.
func dump(v any) string {
	d := &dumper{seen: map[uintptr]int{}}
	return d.text(reflect.ValueOf(v))
}

type dumper struct{ seen map[uintptr]int }

func (d *dumper) text(v reflect.Value) string {
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			return "nil"
		}
		if n, ok := d.seen[v.Pointer()]; ok {
			return fmt.Sprint("&", n)
		}
		d.seen[v.Pointer()] = len(d.seen)
		return "&" + d.text(v.Elem())
	case reflect.Struct:
		var b strings.Builder
		for i := range v.NumField() {
			b.WriteString(v.Type().Field(i).Name + ":" + d.text(v.Field(i)) + " ")
		}
		return "{" + b.String() + "}"
	case reflect.Slice, reflect.Array:
		var b strings.Builder
		for i := range v.Len() {
			b.WriteString(d.text(v.Index(i)) + " ")
		}
		return "[" + b.String() + "]"
	case reflect.Map:
		keys := v.MapKeys()
		slices.SortFunc(keys, func(a, b reflect.Value) int { return strings.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
		var b strings.Builder
		for _, k := range keys {
			b.WriteString(fmt.Sprint(k) + "=" + d.text(v.MapIndex(k)) + " ")
		}
		return "map(" + b.String() + ")"
	default:
		return fmt.Sprint(v)
	}
}

// Guards against an explanation that differs from the decision: in many random states, the worker that Explain names is the
// one that placement takes next, and none is taken if it names none. Also guards against an explanation that changes the
// state, caches included.
func TestExplainNamesWorkerThatPlacementTakes(t *testing.T) {
	named, none, bestEffort := 0, 0, 0
	for seed := range uint64(120) {
		sim := newSimulation(t, seed, 4)
		sim.periodicLoad = seed%2 == 0
		sim.options = Options{Order: Order(seed % 2), Durations: Durations(seed / 2 % 2), PublishBacklog: true, LoadForecast: true, PlaceByForecast: seed%3 == 0}
		sim.electDecider()
		rng := rand.New(rand.NewPCG(seed, 11))
		n, until := 0, sim.now+3000+int64(rng.IntN(12_000))
		for sim.now < until {
			if rng.IntN(12) == 0 {
				n++
				sim.submit(sim.randomJob(n))
			}
			sim.advance()
		}
		s, now := sim.state, sim.at()
		// What is waiting now finds no room after a pass, so that only the new job is placed by the next one.
		s.rescan()
		s.Step(now, Place{})
		j := sim.randomJob(9999)
		j.Repeat, j.IntervalMs, j.StartAtMs = 0, 0, 0
		j.Queue = work.Queue{Name: "q", Service: "app", Priority: rng.IntN(3), Attempts: 3, Stretch: 2, TargetMs: 1000}
		j.AcceptedMs = now.WallMs
		j.Steps[0].Gang = false // the places of gangs are not named
		before := dump(s)
		e, err := s.Explain(now, Query{Job: j, Workers: true})
		assert.NilError(t, err)
		assert.Assert(t, dump(s) == before, "seed %d: the explanation has changed the state", seed)
		// A second later deadlines have passed and caches are too old, so that more is computed.
		_, err = s.Explain(Now{BootMs: now.BootMs + 1000, WallMs: now.WallMs + 1000}, Query{Job: j})
		assert.NilError(t, err)
		assert.Assert(t, dump(s) == before, "seed %d: a later explanation has changed the state", seed)
		able := 0
		for _, w := range e.Steps[0].Workers {
			if w.Obstacle == noObstacle {
				able++
			}
		}
		assert.Equal(t, able, e.Steps[0].Able)
		s.Step(now, JobSubmitted{Job: j})
		first, others := "", false
		for _, d := range s.Step(now, Place{}).Decisions {
			switch {
			case d.Kind != DecisionStart:
			case d.Job != j.ID:
				others = others || first == ""
			case first == "" && strings.HasPrefix(d.Task, j.ID+".0.0."):
				first = d.Instance
			}
		}
		if others {
			continue // older work went first and changed what is free
		}
		assert.Equal(t, e.Steps[0].Worker, first, "seed %d: %+v", seed, e.Steps[0])
		switch {
		case first == "":
			none++
		case j.Steps[0].BestEffort:
			bestEffort++
		default:
			named++
		}
	}
	t.Logf("%d workers named, %d for best-effort tasks, %d without one", named, bestEffort, none)
	assert.Assert(t, named > 30 && bestEffort > 0 && none > 0, "%d, %d, %d", named, bestEffort, none)
}

// Guards against a wrong reason: each worker has one obstacle, and the answer names it.
func TestExplainNamesObstacles(t *testing.T) {
	sim := newConnectedSimulation(t, 5)
	s := sim.state
	w := s.sortedWorkers
	w[0].info.Draining = true
	w[1].health.quarantinedUntilMs = sim.now + 1000
	w[2].connected = false
	w[3].committedMem = w[3].info.MemMB
	w[4].committedCPU = w[4].info.CPU
	j := &work.Job{ID: jobID(1), Steps: []work.Step{{Count: 1, CPU: 100, MemMB: 10, EstMs: 400}, {Count: 1, Requires: "gold", DependsOn: []int{0}}}}
	j.Queue = work.Queue{Name: "q", Service: "app", Priority: 1, Attempts: 3, Stretch: 2, TargetMs: 1000}
	e, err := s.Explain(sim.at(), Query{Job: j, Workers: true})
	assert.NilError(t, err)
	var got []Obstacle
	for _, row := range e.Steps[0].Workers {
		got = append(got, row.Obstacle)
	}
	assert.DeepEqual(t, got, []Obstacle{ObstacleDraining, ObstacleQuarantined, ObstacleUnreachable, ObstacleMemory, ObstacleCPU})
	assert.Equal(t, e.Steps[0].Worker, "")
	assert.Equal(t, e.Steps[1].Obstacles[ObstacleLabel], 2)
	assert.Assert(t, !e.Times.Known)
	w[4].committedCPU = 0
	e, err = s.Explain(sim.at(), Query{Job: j})
	assert.NilError(t, err)
	assert.Equal(t, e.Steps[0].Worker, w[4].instance)
	assert.Equal(t, e.Times.EndMs, int64(400+defaultEstMs))
}

// BenchmarkExplain measures an explanation on a large site.
func BenchmarkExplain(b *testing.B) {
	for _, workers := range []int{60, 240} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			l := newCostLoad(workers)
			for range 400 {
				l.advance()
			}
			j := &work.Job{ID: jobID(1 << 30), Queue: work.Queue{Name: "q1", Service: "app", Priority: 2, Attempts: 3, Stretch: 1.8, TargetMs: 500},
				Steps: []work.Step{{Count: 40, CPU: 1800, MemMB: 3200, EstMs: 2200, BestEffort: true, Image: "f1"}}}
			longest := time.Duration(0)
			for b.Loop() {
				began := time.Now()
				if _, err := l.state.Explain(l.at(), Query{Job: j, Workers: true}); err != nil {
					b.Fatal(err)
				}
				longest = max(longest, time.Since(began))
			}
			b.ReportMetric(float64(longest.Microseconds()), "longest-us")
		})
	}
}
