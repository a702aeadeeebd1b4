package modelcheck

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/verbenakeel/verbenakeel/internal/rule"
	"github.com/verbenakeel/verbenakeel/testkit/history"
)

// TestMain sets a fixed default seed for the model check, so that every run gives the same result. -rapid.seed on the
// command line overrides it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.checks": "60", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

func drawFault(t *rapid.T) fault {
	return fault{
		kind:   faultKind(rapid.IntRange(0, int(faultKinds)-1).Draw(t, "kind")),
		at:     time.Duration(rapid.IntRange(2_000, int(faultTime/time.Millisecond)-1_000).Draw(t, "at_ms")) * time.Millisecond,
		length: time.Duration(rapid.IntRange(100, 25_000).Draw(t, "length_ms")) * time.Millisecond,
		a:      rapid.IntRange(0, 11).Draw(t, "a"), b: rapid.IntRange(0, 11).Draw(t, "b"),
	}
}

// baseWorkload returns job submissions, so that there are running tasks for faults to affect.
func baseWorkload() []fault {
	var list []fault
	for i := range 8 {
		list = append(list, fault{kind: submitJob, at: time.Duration(3+9*i) * time.Second, length: time.Duration(4+3*i) * time.Second, a: i, b: i})
	}
	return append(list, fault{kind: submitService, at: 4 * time.Second, a: 1})
}

// Guards against combinations of faults by which a task runs twice, starts in a zone that is out of service or is lost, or
// by which a configuration change is reverted or overwritten.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sc := scenario{
			seed:   rapid.Uint64().Draw(t, "seed"),
			loss:   rapid.SampledFrom([]float64{0, 0.01, 0.1}).Draw(t, "loss"),
			dup:    rapid.SampledFrom([]float64{0, 0.05}).Draw(t, "dup"),
			faults: append(baseWorkload(), rapid.SliceOfN(rapid.Custom(drawFault), 0, 24).Draw(t, "faults")...),
		}
		w := sc.run()
		if v := history.Check(w.events); len(v) > 0 {
			t.Fatalf("%d violations, first: %v", len(v), v[0])
		}
		if open := w.unfinished(); len(open) > 0 {
			t.Fatalf("jobs did not finish: %v", open)
		}
	})
}

// randomFaults returns the base workload and n random faults drawn from the seed.
func randomFaults(seed uint64, n int) []fault {
	rng := rand.New(rand.NewPCG(seed, 2))
	list := baseWorkload()
	for range n {
		list = append(list, fault{
			kind: faultKind(rng.IntN(int(faultKinds))), at: 2*time.Second + time.Duration(rng.Int64N(int64(faultTime-3*time.Second))),
			length: time.Duration(rng.Int64N(int64(25 * time.Second))), a: rng.IntN(12), b: rng.IntN(12),
		})
	}
	return list
}

// partitionedDecider cuts the first decider and its witness off from the log, and the next decider off from both of them.
// Worker 3 reaches only the next decider and the other workers only the first, except that worker 0 reaches only the next
// one from 33 s to 38 s.
func partitionedDecider(seed uint64) scenario {
	faults := baseWorkload()
	add := func(kind faultKind, from, to time.Duration, a, b int) {
		faults = append(faults, fault{kind: kind, at: from * time.Second, length: (to - from) * time.Second, a: a, b: b})
	}
	for range 6 {
		add(submitJob, 18, 63, 1, 0)
	}
	add(cutEntryLog, 30, 70, 0, 0)
	add(cutEntryLog, 30, 70, 2, 0)
	add(cutEntries, 30, 70, 1, 2)
	add(cutEntries, 30, 70, 0, 1)
	add(cutSide, 30, 70, 1, 1)
	add(cutSide, 30, 70, 2, 1)
	add(cutSide, 30, 70, 3, 0)
	add(cutSide, 33, 38, 0, 0)
	add(cutSide, 39, 70, 0, 1)
	return scenario{seed: seed, faults: faults}
}

// Guards against two deciders that both consider their authority valid and act on different workers at the same time.
func TestModelPartitionedDecider(t *testing.T) {
	for seed := range uint64(10) {
		w := partitionedDecider(seed).run()
		v := history.Check(w.events)
		assert.Equal(t, len(v), 0, "seed %d: %v", seed, v)
		assert.Equal(t, len(w.unfinished()), 0, "seed %d", seed)
	}
}

// Guards against a model or history checker that does not detect a violated rule: each mutation must be found, and runs
// without one must show no violation.
func TestModelDetectsMutations(t *testing.T) {
	for name, tc := range map[string]struct {
		rule rule.Rule
		want []history.Rule
	}{
		"lease check removed":   {rule.Lease, []history.Rule{history.TaskOverlap}},
		"epoch check removed":   {rule.Epoch, []history.Rule{history.TaskOverlap, history.ResumedTwice}},
		"dedup removed":         {rule.Dedup, []history.Rule{history.RecordAppliedTwice}},
		"version check removed": {rule.Version, []history.Rule{history.UpdateLost}},
		"presumption removed":   {rule.AuthorityExpiry, []history.Rule{history.TaskOverlap}},
		"permit check removed":  {rule.Permit, []history.Rule{history.StartInZoneOut}},
	} {
		t.Run(name, func(t *testing.T) {
			defer rule.Disable(tc.rule)()
			for seed := range uint64(60) {
				sc := scenario{seed: seed, loss: 0.02, dup: 0.05, faults: randomFaults(seed, 24)}
				if tc.rule == rule.AuthorityExpiry || tc.rule == rule.Epoch {
					sc = partitionedDecider(seed)
				}
				w := sc.run()
				for _, v := range history.Check(w.events) {
					for _, r := range tc.want {
						if v.Rule == r {
							t.Logf("seed %d: %v", seed, v)
							return
						}
					}
				}
			}
			t.Errorf("no run violates %v", tc.want)
		})
	}
	for seed := range uint64(20) {
		w := scenario{seed: seed, loss: 0.02, dup: 0.05, faults: randomFaults(seed, 24)}.run()
		v := history.Check(w.events)
		assert.Equal(t, len(v), 0, "seed %d: %v", seed, v)
	}
}
