package entry

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/verbenakeel/verbenakeel/fleet/dispatch"
)

// WriteText writes the explanation for people. Times are in milliseconds.
func (x *Explanation) WriteText(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "queue\t%s, service %s, priority %d\n", x.Queue, x.Service, x.Order.Priority)
	verdict := "accepted"
	if x.Admission.Refused {
		verdict = fmt.Sprintf("refused, Retry-After %d s", x.Admission.RetryAfterS)
	}
	fmt.Fprintf(w, "admission\t%s: %s\n", verdict, x.Admission.Reason)
	fmt.Fprintf(w, "order\tclass %s, key %d, objective %d ms; before it %d jobs with %d waiting tasks, %d core-ms\n", x.Order.Class, x.Order.Key,
		x.Order.ObjectiveMs, x.Order.JobsBefore, x.Order.TasksBefore, x.Order.CoreMsBefore)
	if x.Order.Held {
		fmt.Fprintf(w, "\theld: the decider is behind its events and starts no jobs of this class\n")
	}
	for i := range x.Steps {
		writeStep(w, &x.Steps[i])
	}
	if x.StepsOmitted > 0 {
		fmt.Fprintf(w, "steps\t%d more were not compared\n", x.StepsOmitted)
	}
	writeTimes(w, &x.Times)
	backlog := "no backlog published"
	if x.Admission.BacklogAgeMs >= 0 {
		backlog = fmt.Sprintf("backlog %d ms old", x.Admission.BacklogAgeMs)
	}
	fmt.Fprintf(w, "rests on\tdecider %s, epoch %d; %d workers, %d of them silent, oldest report %d ms old; %s\n", x.Entry, x.Epoch, x.KnownWorkers,
		x.SilentWorkers, x.OldestReportMs, backlog)
	return w.Flush()
}

func writeStep(w io.Writer, p *dispatch.StepPlaces) {
	to := "none now"
	switch {
	case p.Gang:
		to = "not named for a gang, whose tasks start together"
	case p.Worker != "":
		to = p.Worker
	}
	after := ""
	if len(p.After) > 0 {
		after = fmt.Sprintf(" (after steps %s)", strings.Trim(fmt.Sprint(p.After), "[]"))
	}
	fmt.Fprintf(w, "step %d%s\tworker: %s\n", p.Step, after, to)
	fmt.Fprintf(w, "\t%d workers could take a task, %d of them slow, %d off the preferred rack\n", p.Able, p.Slow, p.OffRack)
	reasons := slices.SortedFunc(maps.Keys(p.Obstacles), func(a, b dispatch.Obstacle) int {
		return cmp.Or(cmp.Compare(p.Obstacles[b], p.Obstacles[a]), cmp.Compare(a, b))
	})
	for _, r := range reasons {
		fmt.Fprintf(w, "\t%d ruled out: %s\n", p.Obstacles[r], r)
	}
	basis := "declared"
	if p.Learned > 0 {
		basis = fmt.Sprintf("learned from %.1f observations, the newest %d ms old", p.Learned, p.LearnedAgeMs)
	}
	fmt.Fprintf(w, "\ta task takes %d ms, at one standard deviation %d ms more (%s)\n", p.TaskMs, p.TaskSpreadMs, basis)
	for _, row := range p.Workers {
		state := fmt.Sprintf("cost %.3f", row.Cost)
		if row.Obstacle != "" {
			state = string(row.Obstacle)
		}
		if row.Slow {
			state += ", slow"
		}
		fmt.Fprintf(w, "\t  %s  %s  zone %s, rack %s, report %d ms old\n", row.Instance, state, row.Zone, row.Rack, row.ReportMs)
	}
}

func writeTimes(w io.Writer, t *dispatch.ExpectedTimes) {
	if !t.Known {
		fmt.Fprintf(w, "expected\tunknown: %s\n", t.Basis)
		return
	}
	fmt.Fprintf(w, "expected\tstart in %d ms (%d to %d), by %s\n", t.StartMs, t.StartFromMs, t.StartUntilMs, t.Basis)
	if t.EndMs > 0 {
		fmt.Fprintf(w, "\tend in %d ms (%d to %d)\n", t.EndMs, t.EndFromMs, t.EndUntilMs)
	}
}
