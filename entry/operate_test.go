package entry

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/verbenakeel/verbenakeel/core/tasks"
	"github.com/verbenakeel/verbenakeel/errdefs"
	"github.com/verbenakeel/verbenakeel/record"
)

// Guards against jobs that can never run or that make records grow without bound.
func TestCheckJob(t *testing.T) {
	good := record.Job{Kind: record.BatchJob, Tasks: 1, Size: record.Resources{CPUMilli: 1, MemoryMB: 1}, RunMs: 1}
	assert.NilError(t, CheckJob(good))
	for _, c := range []struct {
		field  string
		change func(*record.Job)
	}{
		{"kind", func(j *record.Job) { j.Kind = "cron" }}, {"tasks", func(j *record.Job) { j.Tasks = 0 }},
		{"tasks", func(j *record.Job) { j.Tasks = maxTasks + 1 }}, {"size", func(j *record.Job) { j.Size.CPUMilli = 0 }},
		{"size", func(j *record.Job) { j.Size.Accelerators = -1 }}, {"run_ms", func(j *record.Job) { j.RunMs = 0 }},
		{"run_ms", func(j *record.Job) { j.DeadlineMs = -1 }},
		{"class", func(j *record.Job) { j.Class = strings.Repeat("c", maxClassBytes+1) }},
		{"command", func(j *record.Job) { j.Command = strings.Repeat("c", maxCommandBytes+1) }},
	} {
		job := good
		c.change(&job)
		var e *errdefs.Error
		assert.Assert(t, errors.As(CheckJob(job), &e))
		assert.Equal(t, e.Field, c.field)
		assert.Assert(t, e.Remedy != "")
	}
}

// Guards against job accounts that omit the worker, the checkpoint or the cause of a state change.
func TestStepText(t *testing.T) {
	for _, c := range []struct {
		change tasks.Change
		first  bool
		want   string
	}{
		{tasks.Change{State: "queued", Cause: "submitted"}, true, "submitted"},
		{tasks.Change{State: "starting", Worker: "w", Attempt: 1, Cause: "best"}, false, "attempt 1 placed on w, from its beginning: best"},
		{tasks.Change{State: "starting", Worker: "w", Attempt: 2, CheckpointMs: 1500}, false, "from the checkpoint at 1.5s: no cause recorded"},
		{tasks.Change{State: "evicting", Worker: "w", Attempt: 2, Cause: "zone"}, false, "attempt 2 evicted from w: zone"},
		{tasks.Change{State: "queued", Worker: "w", Attempt: 2, Cause: "lapsed: "}, false, "attempt 2 on w ended, queued again (checkpoint: none): lapsed"},
		{tasks.Change{State: "stopping", Worker: "w", Attempt: 3, Cause: "job cancelled"}, false, "ordered to stop on w"},
		{tasks.Change{State: "cancelled", Cause: "job cancelled"}, false, "cancelled: job cancelled"},
		{tasks.Change{State: "lost", Worker: "w", Attempt: 1, Cause: "silent"}, false, "lost in attempt 1 on w: silent"},
	} {
		assert.Assert(t, is.Contains(stepText(c.change, c.first), c.want))
	}
}

// Guards against a metric series for every name in a reason, and against cancellations counted as evictions.
func TestEvictionClass(t *testing.T) {
	for reason, want := range map[string]string{
		"job cancelled": "", "its zone is taken out of service": "zone_out", "the room is lent and hartwell needs it back for job h/z": "reclaimed",
		"h/s#0 on w is slowed by 20%; class \"x\" is blamed most": "interference", "no progress": "no_progress",
		"replica is no longer needed": "replica_surplus", "something new": "other",
	} {
		assert.Equal(t, evictionClass(reason), want)
	}
}
