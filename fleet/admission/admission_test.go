package admission

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/fleet/work"
)

// The long jobs of turbine monitoring: two steps of 2.2 s, so that a job may end 29,400 ms after its submission.
var longQueue = work.Queue{Name: "long", Service: "app", Priority: 2, Stretch: 2, TargetMs: 1000}

const tolerableMs = 2 * (3*(2*4400+1000) - 4400)

func longJob(id string) *work.Job {
	step := work.Step{Count: 20, CPU: 1800, EstMs: 2200, BestEffort: true}
	second := step
	second.DependsOn = []int{0}
	return &work.Job{ID: id, Steps: []work.Step{step, second}}
}

func backlogOf(waitMs, fall int64) *Backlog {
	return &Backlog{ComputedMs: 5, Rows: []Row{{Service: "app", Priority: 2, BestEffort: true, WaitMs: waitMs, FallMsPerS: fall}}}
}

// Guards against refusals of jobs that could still be of use or that are never refused, and against a submission that is
// accepted although it cannot end in time.
func TestDecide(t *testing.T) {
	for name, c := range map[string]struct {
		backlog *Backlog
		ageMs   int64
		change  func(*work.Job, *work.Queue)
		refused bool
	}{
		"too late by half of the wait": {backlogOf(tolerableMs+1, 0), MaxAgeMs, nil, true},
		"in time by half of the wait":  {backlogOf(tolerableMs, 0), 0, nil, false},
		"no record":                    {nil, 0, nil, false},
		"old record":                   {backlogOf(MaxWaitMs, 0), MaxAgeMs + 1, nil, false},
		"record of the future":         {backlogOf(MaxWaitMs, 0), -1, nil, false},
		"no row":                       {&Backlog{}, 0, nil, false},
		"lower priority":               {backlogOf(MaxWaitMs, 0), 0, func(_ *work.Job, q *work.Queue) { q.Priority = 3 }, true},
		"higher priority":              {backlogOf(MaxWaitMs, 0), 0, func(_ *work.Job, q *work.Queue) { q.Priority = 1 }, false},
		"other service":                {backlogOf(MaxWaitMs, 0), 0, func(_ *work.Job, q *work.Queue) { q.Service = "other" }, false},
		"reserved CPU": {backlogOf(MaxWaitMs, 0), 0, func(j *work.Job, _ *work.Queue) {
			j.Steps[0].BestEffort, j.Steps[1].BestEffort = false, false
		}, false},
		"one best-effort step": {backlogOf(MaxWaitMs, 0), 0, func(j *work.Job, _ *work.Queue) { j.Steps[0].BestEffort = false }, true},
		"wide job":             {backlogOf(tolerableMs, 0), 0, func(j *work.Job, _ *work.Queue) { j.Steps[0].Count = 4000 }, false},
		"long-running":         {backlogOf(MaxWaitMs, 0), 0, func(j *work.Job, _ *work.Queue) { j.Steps[1].LongRunning = true }, false},
		"start time":           {backlogOf(MaxWaitMs, 0), 0, func(j *work.Job, _ *work.Queue) { j.StartAtMs = 1 }, false},
		"occurrences":          {backlogOf(MaxWaitMs, 0), 0, func(j *work.Job, _ *work.Queue) { j.Repeat = 2 }, false},
		"no objective":         {backlogOf(MaxWaitMs, 0), 0, func(_ *work.Job, q *work.Queue) { q.Stretch, q.TargetMs = 0, 0 }, false},
		"too late without any wait": {backlogOf(MaxWaitMs, 0), 0, func(_ *work.Job, q *work.Queue) {
			q.Stretch, q.TargetMs = 0.3, 0
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			job, q := longJob("00112233445566aa"), longQueue
			if c.change != nil {
				c.change(job, &q)
			}
			d := Decide(c.backlog, job, &q, c.ageMs)
			assert.Equal(t, d.Refused, c.refused)
			assert.Equal(t, d.RetryAfterS > 0, c.refused)
			if !c.refused {
				return
			}
			for _, input := range []int64{d.Row.WaitMs, d.ChainMs, d.LimitMs} {
				assert.Assert(t, strings.Contains(d.Reason, fmt.Sprint(input)), "%q lacks the input %d", d.Reason, input)
			}
			assert.Assert(t, strings.Contains(d.Reason, "best-effort"))
		})
	}
}

// Guards against callers that return together or outside of 1 to 30 s, and against a Retry-After that does not follow the
// backlog: a burst of 280 jobs is refused within a second.
func TestRetryAfterFollowsBacklogAndIsSpread(t *testing.T) {
	retries := func(waitMs, fall int64) (counts map[int]int, mean float64) {
		counts = map[int]int{}
		for i := range 280 {
			d := Decide(backlogOf(waitMs, fall), longJob(fmt.Sprintf("%016x", i*7919)), &longQueue, 0)
			assert.Assert(t, d.Refused && d.RetryAfterS >= 1 && d.RetryAfterS <= 30)
			counts[d.RetryAfterS]++
			mean += float64(d.RetryAfterS) / 280
		}
		return counts, mean
	}
	previous := 0.0
	for _, excessMs := range []int64{1, 6000, 40_000} {
		counts, mean := retries(tolerableMs+excessMs, 1000)
		assert.Assert(t, mean > previous)
		previous = mean
		for s, n := range counts {
			assert.Assert(t, n <= 280/2, "%d of 280 callers return after %d s, %d ms over the limit", n, s, excessMs)
		}
	}
	_, fast := retries(tolerableMs+8000, 2000)
	_, slow := retries(tolerableMs+8000, 1000)
	_, grows := retries(tolerableMs+8000, -1000)
	assert.Assert(t, fast < slow && slow < grows, "%g, %g, %g", fast, slow, grows)
	a := Decide(backlogOf(tolerableMs+8000, 0), longJob("00112233445566aa"), &longQueue, 0)
	b := Decide(backlogOf(tolerableMs+8000, 0), longJob("00112233445566aa"), &longQueue, 0)
	assert.DeepEqual(t, a, b)
}

// Guards against a record of a later release that this one rejects, and against a damaged one that is used.
func TestBacklogCodec(t *testing.T) {
	b := backlogOf(7000, -20)
	got, err := Decode(Encode(b))
	assert.NilError(t, err)
	assert.DeepEqual(t, got, b)
	later, err := cbor.Marshal(map[int]any{1: 5, 9: "x", 2: []any{map[int]any{1: "app", 2: 2, 3: true, 4: 7000, 5: -20, 30: []int{1}}}})
	assert.NilError(t, err)
	got, err = Decode(later)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, b)
	rows := func(n int, r Row) []byte {
		list := make([]Row, n)
		for i := range list {
			list[i] = r
		}
		return work.Encode(&Backlog{Rows: list})
	}
	for name, data := range map[string][]byte{
		"no CBOR":      []byte("not a record"),
		"cut off":      Encode(b)[:9],
		"other type":   {0x83, 1, 2, 3},
		"too long":     bytes.Repeat([]byte{0}, maxRecordBytes+1),
		"many rows":    rows(MaxRows+1, Row{}),
		"long name":    rows(1, Row{Service: strings.Repeat("s", maxName+1)}),
		"long wait":    rows(1, Row{WaitMs: MaxWaitMs + 1}),
		"negative":     rows(1, Row{WaitMs: -1}),
		"out of range": {0xa1, 2, 0x81, 0xa1, 4, 0x1b, 255, 255, 255, 255, 255, 255, 255, 255},
	} {
		_, err := Decode(data)
		assert.Assert(t, err != nil, "%s was read", name)
	}
	full := &Backlog{Rows: make([]Row, 2*MaxRows)}
	for i := range full.Rows {
		full.Rows[i] = Row{Service: strings.Repeat("s", maxName), Priority: 1 << 40, BestEffort: true, WaitMs: MaxWaitMs, FallMsPerS: -1 << 40}
	}
	got, err = Decode(Encode(full))
	assert.NilError(t, err, "the largest record that is written cannot be read")
	assert.Equal(t, len(got.Rows), MaxRows)
}
