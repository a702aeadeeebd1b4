package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"

	"github.com/google/uuid"

	"github.com/verbenakeel/verbenakeel/entry"
	"github.com/verbenakeel/verbenakeel/errdefs"
	"github.com/verbenakeel/verbenakeel/record"
)

func (c *command) jobHandler() func(context.Context) error {
	a := c.args.Job
	switch {
	case a.Submit != nil:
		return c.submitJob
	case a.Cancel != nil:
		return c.cancelJob
	case a.List != nil:
		return c.listJobs
	case a.Show != nil:
		return c.showJob
	}
	return nil
}

// jobPath returns the URL path of the job with an id of the form CUSTOMER/NAME.
func jobPath(id string) (string, error) {
	customer, name, ok := strings.Cut(id, "/")
	if !ok || customer == "" || name == "" {
		return "", errdefs.New(errdefs.Invalid, fmt.Sprintf("%q is not a job id", id), "write CUSTOMER/NAME as `verbenakeel job list` prints it")
	}
	return "/v1/jobs/" + url.PathEscape(customer) + "/" + url.PathEscape(name), nil
}

func (c *command) submitJob(ctx context.Context) error {
	a := c.args.Job.Submit
	data, err := os.ReadFile(a.File)
	if err != nil {
		return errdefs.New(errdefs.Invalid, err.Error(), "name a readable JSON file")
	}
	var job record.Job
	dec := json.NewDecoder(strings.NewReader(string(data)))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&job); err != nil {
		return errdefs.New(errdefs.Invalid, a.File+": "+err.Error(), "docs/operators.md lists the fields of a job")
	}
	// The client generates the id, so that it can query the job if the response is lost.
	if job.ID == "" {
		job.ID = uuid.NewString()
	}
	if err := entry.CheckJob(job); err != nil {
		return err
	}
	body, err := json.Marshal(job)
	if err != nil {
		return fmt.Errorf("encode job: %w", err)
	}
	resp, err, known := c.client.sendAtMostOnce(ctx, http.MethodPost, "/v1/customers/"+url.PathEscape(a.Customer)+"/jobs", body)
	id := a.Customer + "/" + job.ID
	if !known {
		return c.awaitJob(ctx, id, err, func(entry.JobAccount) bool { return true })
	}
	if err != nil {
		return err
	}
	return c.printJobResponse(resp)
}

// awaitJob polls a job after the response to a command on it was lost, until done reports that the command took effect.
func (c *command) awaitJob(ctx context.Context, id string, cause error, done func(entry.JobAccount) bool) error {
	path, err := jobPath(id)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, outcomeTimeout)
	defer cancel()
	for {
		var a entry.JobAccount
		if err := c.client.Get(ctx, path, &a); err == nil && a.Job != nil && done(a) {
			return c.printJob(a)
		}
		if !sleepUntilPoll(ctx) {
			return errdefs.New(errdefs.Unknown, fmt.Sprintf("it is unknown whether the command on job %s took effect: %v", id, cause),
				"run `verbenakeel job show "+id+"` until it shows the outcome")
		}
	}
}

func (c *command) printJobResponse(resp response) error {
	if resp.status/100 != 2 {
		return responseError(resp)
	}
	var a entry.JobAccount
	if err := json.Unmarshal(resp.body, &a); err != nil || a.Job == nil {
		return errdefs.New(errdefs.Incompatible, "cannot decode the job in the response", "check that the versions are compatible")
	}
	return c.printJob(a)
}

func (c *command) printJob(a entry.JobAccount) error {
	return c.print(a, func(w io.Writer) {
		last := "no history"
		if n := len(a.Job.History); n > 0 {
			last = a.Job.History[n-1].Cause
		}
		fmt.Fprintf(w, "job %s: %s, %d of %d tasks open; %s\n", a.Job.Spec.ID, a.Job.State, a.Job.Open, len(a.Job.Tasks), last)
		if a.Waiting != "" {
			fmt.Fprintln(w, "waits:", a.Waiting)
		}
		writeRow(w, "TASK", "STATE", "ATTEMPT", "WORKER", "EVICTIONS", "CHECKPOINT", "LAST CAUSE")
		for _, t := range a.Tasks {
			cause := ""
			if n := len(t.History); n > 0 {
				cause = t.History[n-1].Cause
			}
			writeRow(w, t.ID, t.State, t.Attempt, orDash(t.Worker), t.Evictions, fmt.Sprintf("%d ms", t.CheckpointMs), cause)
		}
	})
}

func (c *command) fetchJob(ctx context.Context, id string) (entry.JobAccount, error) {
	var a entry.JobAccount
	path, err := jobPath(id)
	if err != nil {
		return a, err
	}
	if err := c.client.Get(ctx, path, &a); err != nil {
		return a, err
	}
	if a.Job == nil || len(a.Job.History) == 0 {
		return a, errdefs.New(errdefs.Incompatible, "cannot decode the job in the response", "check that the versions are compatible")
	}
	return a, nil
}

func (c *command) showJob(ctx context.Context) error {
	a, err := c.fetchJob(ctx, c.args.Job.Show.Job)
	if err != nil {
		return err
	}
	return c.printJob(a)
}

func (c *command) cancelJob(ctx context.Context) error {
	id := c.args.Job.Cancel.Job
	a, err := c.fetchJob(ctx, id)
	if err != nil {
		return err
	}
	placed := 0
	for _, t := range a.Tasks {
		if t.State.Placed() {
			placed++
		}
	}
	err = c.confirm("cancelling job "+id, []string{
		fmt.Sprintf("open tasks of a %s job of %s that end and never run again: %d, of which on workers: %d", a.Job.Spec.Kind, a.Job.Spec.Customer, a.Job.Open, placed),
	})
	if err != nil {
		return err
	}
	path, err := jobPath(id)
	if err != nil {
		return err
	}
	resp, err, known := c.client.sendAtMostOnce(ctx, http.MethodDelete, path, nil)
	if !known {
		return c.awaitJob(ctx, id, err, func(a entry.JobAccount) bool { return a.Job.Cancelling })
	}
	if err != nil {
		return err
	}
	return c.printJobResponse(resp)
}

func (c *command) listJobs(ctx context.Context) error {
	var list []entry.JobSummary
	if err := c.client.Get(ctx, "/v1/jobs?customer="+escapeQuery(c.args.Job.List.Customer), &list); err != nil {
		return err
	}
	return c.print(list, func(w io.Writer) {
		writeRow(w, "JOB", "KIND", "STATE", "OPEN", "TASKS", "LAST CAUSE")
		for _, j := range list {
			writeRow(w, j.ID, j.Kind, j.State, j.Open, j.Tasks, j.Cause)
		}
	})
}

func (c *command) explain(ctx context.Context) error {
	a := c.args.Explain
	var x entry.Explanation
	if err := c.client.Get(ctx, "/v1/explain/"+url.PathEscape(a.Kind)+"/"+escapeID(a.ID), &x); err != nil {
		return err
	}
	return c.print(x, func(w io.Writer) {
		fmt.Fprintf(w, "%s %s: %s\n", x.Kind, x.ID, x.State)
		for _, f := range x.Facts {
			writeRow(w, "  "+f.Name, f.Value)
		}
		if len(x.Steps) > 0 {
			fmt.Fprintln(w)
			writeRow(w, "TIME", "RECORD", "OBJECT", "WHAT HAPPENED AND WHY")
		}
		for _, s := range x.Steps {
			writeRow(w, formatTime(s.AtMs), s.Offset, s.Object, s.Text)
		}
		for _, s := range x.Waiting {
			fmt.Fprintln(w, "waits:", s)
		}
		for _, s := range x.Notes {
			fmt.Fprintln(w, "note:", s)
		}
	})
}

// escapeID path-escapes the segments of an id and keeps its slashes.
func escapeID(id string) string {
	parts := strings.Split(id, "/")
	for i := range parts {
		parts[i] = url.PathEscape(parts[i])
	}
	return strings.Join(parts, "/")
}
