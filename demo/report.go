package demo

import (
	"fmt"
	"io"
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/verbenakeel/verbenakeel/core/lifecycle"
	"github.com/verbenakeel/verbenakeel/core/tasks"
	"github.com/verbenakeel/verbenakeel/entry"
	"github.com/verbenakeel/verbenakeel/testkit/history"
	"github.com/verbenakeel/verbenakeel/testkit/load"
)

// report collects the events and results of one deployment.
type report struct {
	user       user
	origin     time.Time
	history    *history.Recorder
	load       *load.Result
	accounts   []entry.JobAccount
	violations []history.Violation

	mu       sync.Mutex
	timeline []string
}

// logEvent adds a line to the timeline.
func (r *report) logEvent(at time.Duration, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.timeline = append(r.timeline, fmt.Sprintf("  %6.2f s  %s", at.Seconds(), fmt.Sprintf(format, args...)))
}

// addAccount records the final account of a job.
func (r *report) addAccount(at time.Duration, a entry.JobAccount) {
	r.accounts = append(r.accounts, a)
	r.history.Add(history.JobState{At: at, Job: a.Job.Spec.ID, State: accountState(a)})
}

// accountState returns the state of a job in the terms of package history.
func accountState(a entry.JobAccount) history.JobAccount {
	switch a.Job.State {
	case tasks.JobFinished:
		return history.JobFinished
	case tasks.JobFailed:
		return history.JobFailed
	case tasks.JobCancelled:
		return history.JobCancelled
	case tasks.JobRefused:
		return history.JobRefused
	}
	for _, t := range a.Tasks {
		if t.State == lifecycle.TaskQueued {
			return history.JobWaiting
		}
	}
	return history.JobRunning
}

func (r *report) print(out io.Writer) {
	r.printTimeline(out)
	r.printRequests(out)
	r.printJobs(out)
	r.printZone(out)
	if len(r.violations) == 0 {
		fmt.Fprintln(out, " invariants: all hold")
	}
	for _, v := range r.violations {
		fmt.Fprintf(out, " VIOLATED: %s\n", v)
	}
}

func (r *report) printTimeline(out io.Writer) {
	fmt.Fprintf(out, "\n%s: region %s, zones %v, service %s\n", r.user.customer, r.user.region, r.user.zones, r.user.service)
	fmt.Fprintln(out, " timeline")
	for _, l := range r.timeline {
		fmt.Fprintln(out, l)
	}
}

func (r *report) printRequests(out io.Writer) {
	fmt.Fprint(out, " requests:")
	var verdicts []string
	for v, n := range r.load.Outcomes {
		verdicts = append(verdicts, fmt.Sprintf(" %s %d", v, n))
	}
	sort.Strings(verdicts)
	for _, v := range verdicts {
		fmt.Fprint(out, v)
	}
	h := r.load.Answered
	fmt.Fprintf(out, "; latency p50 %s, p99 %s, p99.9 %s\n", formatQuantile(h, 50), formatQuantile(h, 99), formatQuantile(h, 99.9))
}

func formatQuantile(h *hdrhistogram.Histogram, q float64) string {
	return fmt.Sprintf("%.1f ms", float64(h.ValueAtQuantile(q))/1000)
}

func (r *report) printJobs(out io.Writer) {
	counts := make(map[tasks.JobState]int)
	evictions, attempts := 0, 0
	for _, a := range r.accounts {
		counts[a.Job.State]++
		for _, t := range a.Tasks {
			evictions += t.Evictions
			attempts += int(t.Attempt)
		}
	}
	fmt.Fprintf(out, " jobs: %d finished, %d refused, %d long-running or open, %d failed; %d attempts, %d evictions\n",
		counts[tasks.JobFinished], counts[tasks.JobRefused], counts[tasks.JobOpen], counts[tasks.JobFailed], attempts, evictions)
	for _, a := range r.accounts {
		if a.Job.State == tasks.JobRefused {
			fmt.Fprintf(out, "   refused %s: %s\n", a.Job.Spec.ID, a.Job.History[len(a.Job.History)-1].Cause)
		}
	}
}

// printZone prints the time from the order that took the zone out of service to the last start in it.
func (r *report) printZone(out io.Writer) {
	var outAt, backAt, last time.Duration
	zones := make(map[string]string)
	events := r.history.Events()
	for _, e := range events {
		switch e := e.(type) {
		case history.Worker:
			zones[e.ID] = e.Zone
		case history.ZoneState:
			if e.Out {
				outAt = e.At
			} else {
				backAt = e.At
			}
		}
	}
	for _, e := range events {
		if st, ok := e.(history.AttemptStart); ok && zones[st.Worker] == r.user.zones[0] && st.At > outAt && st.At < backAt {
			last = max(last, st.At-outAt)
		}
	}
	fmt.Fprintf(out, " zone %s: out at %.2f s, back at %.2f s, ", r.user.zones[0], outAt.Seconds(), backAt.Seconds())
	if last == 0 {
		fmt.Fprintln(out, "no start while it was out")
		return
	}
	fmt.Fprintf(out, "last start %.2f s after it was taken out\n", last.Seconds())
}
