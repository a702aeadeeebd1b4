package entry

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/verbenakeel/verbenakeel/core/lifecycle"
	"github.com/verbenakeel/verbenakeel/core/tasks"
	"github.com/verbenakeel/verbenakeel/record"
)

func formatResources(r record.Resources) string {
	s := fmt.Sprintf("%.3g cores, %d MB", float64(r.CPUMilli)/1000, r.MemoryMB)
	if r.Accelerators != 0 {
		s += fmt.Sprintf(", %d accelerators", r.Accelerators)
	}
	return s
}

func formatMs(ms int64) string { return (time.Duration(ms) * time.Millisecond).String() }

func formatCheckpoint(ms int64) string {
	if ms == 0 {
		return "none"
	}
	return formatMs(ms) + " of run time"
}

// addTaskSteps adds the changes of a task as text.
func (x *Explanation) addTaskSteps(t *tasks.Task) {
	if t == nil {
		return
	}
	for i, c := range t.History {
		x.Steps = append(x.Steps, Step{c.AtMs, c.Offset, t.ID, c.State, stepText(c, i == 0)})
	}
	if len(t.History) >= tasks.MaxHistory {
		x.Notes = append(x.Notes, fmt.Sprintf("task %s changed often; changes between its first and its newest %d are not kept", t.ID, tasks.MaxHistory-1))
	}
}

// stepText describes a change and its cause.
func stepText(c tasks.Change, first bool) string {
	switch lifecycle.TaskState(c.State) {
	case lifecycle.TaskStarting:
		from := "from its beginning"
		if c.CheckpointMs > 0 {
			from = "from the checkpoint at " + formatMs(c.CheckpointMs)
		}
		return fmt.Sprintf("attempt %d placed on %s, %s: %s", c.Attempt, c.Worker, from, causeOrNone(c.Cause))
	case lifecycle.TaskEvicting:
		return fmt.Sprintf("attempt %d evicted from %s: %s", c.Attempt, c.Worker, causeOrNone(c.Cause))
	case lifecycle.TaskStopping:
		return fmt.Sprintf("attempt %d ordered to stop on %s: %s", c.Attempt, c.Worker, causeOrNone(c.Cause))
	case lifecycle.TaskQueued:
		if first || c.Attempt == 0 {
			return causeOrNone(c.Cause)
		}
		return fmt.Sprintf("attempt %d on %s ended, queued again (checkpoint: %s): %s", c.Attempt, c.Worker, formatCheckpoint(c.CheckpointMs), causeOrNone(c.Cause))
	}
	if c.Attempt == 0 {
		return c.State + ": " + causeOrNone(c.Cause)
	}
	if c.Worker == "" {
		return fmt.Sprintf("%s in attempt %d: %s", c.State, c.Attempt, causeOrNone(c.Cause))
	}
	return fmt.Sprintf("%s in attempt %d on %s: %s", c.State, c.Attempt, c.Worker, causeOrNone(c.Cause))
}

func causeOrNone(cause string) string {
	if cause = strings.TrimSuffix(strings.TrimSpace(cause), ":"); cause == "" {
		return "no cause recorded"
	}
	return cause
}

// sortSteps orders steps by record; steps of one record keep their order.
func sortSteps(steps []Step) {
	sort.SliceStable(steps, func(i, j int) bool {
		if steps[i].Offset != steps[j].Offset {
			return steps[i].Offset < steps[j].Offset
		}
		return steps[i].Object < steps[j].Object
	})
}
