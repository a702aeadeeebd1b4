package decider

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/verbenakeel/verbenakeel/core/holder"
	"github.com/verbenakeel/verbenakeel/external"
	"github.com/verbenakeel/verbenakeel/record"
)

func drawUsage(t *rapid.T, n int) []external.TaskUsage {
	age := rapid.Int64Range(0, 3).Draw(t, "age")
	var list []external.TaskUsage
	for i := range n {
		if !rapid.Bool().Draw(t, "measured") {
			continue
		}
		u := external.TaskUsage{
			Task: fmt.Sprint(i), Attempt: rapid.Uint32Range(1, 2).Draw(t, "attempt"), AgeMs: age,
			Used:       record.Resources{CPUMilli: rapid.SampledFrom([]int64{0, 1000, 1040, 1080, 2000}).Draw(t, "cpu")},
			SpeedMilli: rapid.SampledFrom([]int64{0, 500, 1000}).Draw(t, "speed"),
		}
		if rapid.IntRange(0, 9).Draw(t, "late") == 0 {
			u.AgeMs++
		}
		list = append(list, u)
	}
	return list
}

func checkUsage(t *rapid.T, got, want []external.TaskUsage) {
	if len(got) != len(want) {
		t.Fatalf("got measurements %+v, want %+v", got, want)
	}
	byTask := make(map[string]external.TaskUsage)
	for _, u := range got {
		byTask[u.Task] = u
	}
	for _, u := range want {
		g := byTask[u.Task]
		d := max(g.Used.CPUMilli-u.Used.CPUMilli, u.Used.CPUMilli-g.Used.CPUMilli)
		if g.Attempt != u.Attempt || g.AgeMs != u.AgeMs || g.SpeedMilli != u.SpeedMilli || d*20 > g.Used.CPUMilli {
			t.Fatalf("measurement %+v, want %+v", g, u)
		}
	}
}

// Guards against usage samples that the worker never measured: with lost requests, lost replies and a new decider at any
// poll, the decider's samples equal the worker's within 5%, and an attempt that was not measured has no sample.
func TestOmittedSamplesAreKnown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		side, c := holder.New(), new(workerContact)
		epoch := uint64(1)
		for i := range rapid.IntRange(1, 30).Draw(t, "polls") {
			if rapid.IntRange(0, 7).Draw(t, "new decider") == 0 {
				c, epoch = new(workerContact), epoch+1
			}
			status := external.WorkerStatus{NowMs: int64(i) * 3000, Usage: drawUsage(t, 4)}
			for _, u := range status.Usage {
				status.Tasks = append(status.Tasks, external.TaskStatus{
					TaskSpec: external.TaskSpec{Task: u.Task, Attempt: u.Attempt}, State: external.TaskRunning,
				})
			}
			p := side.Begin(status)
			r := side.Report(p)
			fate := rapid.SampledFrom([]string{"taken", "taken", "request lost", "reply lost"}).Draw(t, "fate")
			if fate == "request lost" {
				continue
			}
			poll := Poll{Held: holder.RunningAttempts(status), Usage: r.Usage, UsagePartial: r.UsagePartial, UsageAgeMs: r.UsageAgeMs, UsageDigest: r.UsageDigest}
			got, ok := resolveUsage(c, poll)
			if ok {
				checkUsage(t, got, status.Usage)
			} else if !r.UsagePartial {
				t.Fatalf("a complete list of samples was rejected: %+v", r)
			}
			if fate == "taken" {
				side.Receive(p, holder.Reply{Epoch: epoch, Sequence: p.Sequence, HeldKnown: true, UsageKnown: ok})
			}
		}
	})
}
