package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/verbenakeel/verbenakeel/core"
	"github.com/verbenakeel/verbenakeel/core/lifecycle"
	"github.com/verbenakeel/verbenakeel/core/tasks"
	"github.com/verbenakeel/verbenakeel/errdefs"
	"github.com/verbenakeel/verbenakeel/httpserver"
	"github.com/verbenakeel/verbenakeel/record"
)

const (
	// waitPath is the path on control listeners under which the decider returns why a job waits.
	waitPath = "/-/waits/"
	// waitTimeout bounds the request to the decider; without its response the rest of the explanation is still returned.
	waitTimeout = time.Second
	// maxWaitBodyBytes bounds the decider's response.
	maxWaitBodyBytes = 64 << 10
	// maxExplainedTasks bounds the tasks of a job whose steps are listed; each task can be explained by itself.
	maxExplainedTasks = 20
)

// Fact is a named value of an explanation.
type Fact struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Step is one change in an explanation.
type Step struct {
	// AtMs is the wall clock of the record's writer in Unix milliseconds.
	AtMs int64 `json:"at_ms"`
	// Offset is the offset of the record that made the change.
	Offset uint64 `json:"offset"`
	// Object is the job or task that changed.
	Object string `json:"object"`
	// State is its state after the change.
	State string `json:"state"`
	// Text describes the change and its cause.
	Text string `json:"text"`
}

// Explanation lists from the records how an object came to its state.
type Explanation struct {
	// Kind is job, task, request, worker or customer.
	Kind string `json:"kind"`
	// ID names the object.
	ID string `json:"id"`
	// State is its current state.
	State string `json:"state"`
	// Facts are the current values of the object.
	Facts []Fact `json:"facts"`
	// Steps are its changes, oldest first.
	Steps []Step `json:"steps"`
	// Waiting lists what waits and why.
	Waiting []string `json:"waiting"`
	// Notes list what the explanation lacks.
	Notes []string `json:"notes"`
	// AsOf is the first offset of the region's stream that is not included.
	AsOf uint64 `json:"as_of"`
}

func (x *Explanation) addFact(name, format string, args ...any) {
	x.Facts = append(x.Facts, Fact{name, fmt.Sprintf(format, args...)})
}

func (e *Entry) explainForOperator(ctx context.Context, c *app.RequestContext) {
	e.writeExplanation(ctx, c, c.Param("kind"), strings.TrimPrefix(c.Param("id"), "/"))
}

// explainForCustomer explains only what belongs to the customer of the request's token. Ids are relative to the customer.
func (e *Entry) explainForCustomer(ctx context.Context, c *app.RequestContext) {
	customer, err := e.customerOf(c)
	if err != nil {
		e.refuse(c, err, true)
		return
	}
	id := strings.TrimPrefix(c.Param("id"), "/")
	switch kind := c.Param("kind"); kind {
	case "", "customer":
		e.writeExplanation(ctx, c, "customer", customer)
	case "job", "task", "request":
		e.writeExplanation(ctx, c, kind, customer+"/"+id)
	default:
		e.refuse(c, errdefs.Field("kind", fmt.Sprintf("%q cannot be explained to customers", kind), "ask for customer, job, task or request"), true)
	}
}

func (e *Entry) writeExplanation(ctx context.Context, c *app.RequestContext, kind, id string) {
	x, err := e.explain(ctx, kind, id)
	if err != nil {
		e.refuse(c, err, true)
		return
	}
	httpserver.JSON(c, 200, x)
}

// explain returns the explanation of an object.
func (e *Entry) explain(ctx context.Context, kind, id string) (*Explanation, error) {
	x := &Explanation{Kind: kind, ID: id, Facts: []Fact{}, Steps: []Step{}, Waiting: []string{}, Notes: []string{}}
	found := false
	var waitingJobs []string
	e.read(func(s *core.State) {
		x.AsOf = s.Region.Next
		switch kind {
		case "job":
			waitingJobs, found = x.explainJob(s, id)
		case "task":
			waitingJobs, found = x.explainTask(s, id)
		case "worker":
			found = x.explainWorker(s, id)
		case "customer":
			waitingJobs, found = x.explainCustomer(s, id)
		}
	})
	switch kind {
	case "job", "task", "worker":
	case "request":
		found = x.explainRequest(e, id)
	case "customer":
		if found {
			e.addLocalUsage(x, id)
		}
	default:
		return nil, errdefs.Field("kind", fmt.Sprintf("%q cannot be explained", kind), "ask for job, task, request, worker or customer")
	}
	if !found {
		return nil, errdefs.New(errdefs.NotFound, fmt.Sprintf("no %s %s is on record", kind, id),
			"check the id; what was just sent may take a second, and accounts are kept for a limited time")
	}
	e.addWaitReasons(ctx, x, waitingJobs)
	return x, nil
}

// addWaitReasons adds why jobs wait. Only the decider has the reasons.
func (e *Entry) addWaitReasons(ctx context.Context, x *Explanation, jobs []string) {
	for i, job := range jobs {
		if i == maxExplainedTasks {
			x.Notes = append(x.Notes, fmt.Sprintf("%d more jobs wait", len(jobs)-i))
			return
		}
		reason, err := e.waitReason(ctx, job)
		if err != nil {
			x.Notes = append(x.Notes, "the decider did not answer, so the reason for waiting is not known here: "+err.Error())
			return
		}
		if reason != "" {
			x.Waiting = append(x.Waiting, job+": "+reason)
		}
	}
}

// waitReason returns why a job waits, from this entry if it is the decider, otherwise from the decider.
func (e *Entry) waitReason(ctx context.Context, job string) (string, error) {
	reason, active, address := "", false, ""
	e.read(func(s *core.State) {
		if active = s.Decider.Active(); active {
			reason = s.Decider.WaitReason(job)
		}
		address = s.Authority.Address()
	})
	if active {
		return reason, nil
	}
	if address == "" || address == e.advertised() {
		return "", errdefs.New(errdefs.Unavailable, "the region has no decider", "ask again in a few seconds")
	}
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.controlURL(address)+waitPath+url.PathEscape(job), nil)
	if err != nil {
		return "", fmt.Errorf("ask the decider: %w", err)
	}
	resp, err := e.rpc.Do(req)
	if err != nil {
		return "", fmt.Errorf("ask the decider: %w", err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxWaitBodyBytes))
	if err != nil {
		return "", fmt.Errorf("ask the decider: %w", err)
	}
	var answer waitAnswer
	if resp.StatusCode != http.StatusOK || json.Unmarshal(data, &answer) != nil || !answer.Active {
		return "", errdefs.New(errdefs.Unavailable, "the decider is changing", "ask again in a few seconds")
	}
	return answer.Reason, nil
}

// waitAnswer is the decider's response about a job that waits.
type waitAnswer struct {
	// Active is false if the entry is not the decider and so has no reason.
	Active bool `json:"active"`
	// Reason is empty if nothing of the job waits.
	Reason string `json:"reason"`
}

func (e *Entry) getWait(_ context.Context, c *app.RequestContext) {
	var a waitAnswer
	job, err := url.PathUnescape(strings.TrimPrefix(c.Param("job"), "/"))
	if err != nil {
		e.refuse(c, errdefs.Field("job", "is not a path", "escape the id of the job"), true)
		return
	}
	e.read(func(s *core.State) {
		if a.Active = s.Decider.Active(); a.Active {
			a.Reason = s.Decider.WaitReason(job)
		}
	})
	httpserver.JSON(c, 200, a)
}

func (x *Explanation) explainJob(s *core.State, id string) ([]string, bool) {
	j := s.Region.Jobs[id]
	if j == nil {
		return nil, false
	}
	x.State = string(j.State)
	x.addFact("customer", "%s", j.Spec.Customer)
	x.addFact("kind", "%s%s", j.Spec.Kind, map[bool]string{true: ", urgent"}[j.Spec.Urgent])
	x.addFact("tasks", "%d, of which %d are open", len(j.Tasks), j.Open)
	x.addFact("size of a task", "%s", formatResources(j.Spec.Size))
	if j.Spec.RunMs > 0 {
		x.addFact("declared run time", "%s", formatMs(j.Spec.RunMs))
	}
	if j.Spec.DeadlineMs > 0 {
		x.addFact("deadline", "%s", time.UnixMilli(j.Spec.DeadlineMs).UTC().Format(time.RFC3339))
	}
	for _, c := range j.History {
		x.Steps = append(x.Steps, Step{c.AtMs, c.Offset, id, c.State, "job " + c.State + ": " + c.Cause})
	}
	for i, t := range j.Tasks {
		if i == maxExplainedTasks {
			x.Notes = append(x.Notes, fmt.Sprintf("steps of %d further tasks are left out; explain a task by its id, for example %s", len(j.Tasks)-i, t))
			break
		}
		x.addTaskSteps(s.Region.Tasks[t])
	}
	sortSteps(x.Steps)
	if j.State == tasks.JobOpen && hasQueuedTask(s, j) {
		return []string{id}, true
	}
	return nil, true
}

func hasQueuedTask(s *core.State, j *tasks.Job) bool {
	for _, t := range j.Tasks {
		if s.Region.Tasks[t].State == lifecycle.TaskQueued {
			return true
		}
	}
	return false
}

func (x *Explanation) explainTask(s *core.State, id string) ([]string, bool) {
	t := s.Region.Tasks[id]
	if t == nil {
		return nil, false
	}
	x.State = string(t.State)
	x.addFact("job", "%s", t.Job)
	x.addFact("attempts", "%d, of which %d failed", t.Attempt, t.Failures)
	x.addFact("evictions", "%d", t.Evictions)
	if t.Worker != "" {
		x.addFact("worker", "%s, with %s", t.Worker, formatResources(t.Size))
	}
	x.addFact("last checkpoint", "%s", formatCheckpoint(t.CheckpointMs))
	x.addTaskSteps(t)
	if causes := s.Decider.ExplainPlacement(id); len(causes) > 0 {
		x.addFact("newest decisions", "%s", strings.Join(causes, "; "))
	}
	if t.State == lifecycle.TaskQueued {
		return []string{t.Job}, true
	}
	return nil, true
}

func (x *Explanation) explainWorker(s *core.State, id string) bool {
	w := s.Region.Workers[id]
	if w == nil {
		return false
	}
	x.State = map[bool]string{true: "lost", false: "known"}[w.Lost]
	x.addFact("zone and rack", "%s, %s", w.Zone, w.Rack)
	x.addFact("capacity", "%s", formatResources(w.Capacity))
	x.addFact("committed", "%s in %d tasks", formatResources(w.Committed), len(w.Tasks))
	if v := s.Config.Zones[w.Zone]; v != nil && v.Zone.Out {
		x.Waiting = append(x.Waiting, fmt.Sprintf("nothing starts here: zone %s is out of service since revision %d (%s)", w.Zone, v.Revision, v.Zone.Reason))
	}
	if w.Lost {
		x.Waiting = append(x.Waiting, "nothing starts here: the worker was silent until all its leases had ended")
	}
	for t := range w.Tasks {
		x.addTaskSteps(s.Region.Tasks[t])
	}
	sortSteps(x.Steps)
	return true
}

func (x *Explanation) explainRequest(e *Entry, id string) bool {
	customer, key, _ := strings.Cut(id, "/")
	k, ok := e.lookupClaim(&call{customer: customer, key: key})
	if !ok {
		return false
	}
	x.State = string(k.State)
	x.addFact("customer", "%s", k.Customer)
	x.addFact("claimed by", "entry %s, incarnation %d", k.Writer, k.Incarnation)
	if k.Status > 0 {
		x.addFact("answer", "status %d, %d bytes kept", k.Status, len(k.Body))
	}
	x.Steps = append(x.Steps, Step{k.AtMs, k.Offset, id, string(k.State), "the request " + e.describeRequest(k)})
	return true
}

// explainCustomer adds a contract, its usage and the jobs that wait, and returns these jobs.
func (x *Explanation) explainCustomer(s *core.State, id string) ([]string, bool) {
	v := s.Config.Contracts[id]
	if v == nil {
		return nil, false
	}
	c := v.Contract
	x.State = "revision " + fmt.Sprint(v.Revision)
	x.addFact("priority", "%s", c.Priority)
	var used record.Resources
	placed, queued := 0, 0
	var waitingJobs []string
	for _, name := range s.Region.JobIDs() {
		j := s.Region.Jobs[name]
		if j.Spec.Customer != id || j.State != tasks.JobOpen {
			continue
		}
		waiting := false
		for _, t := range j.Tasks {
			task := s.Region.Tasks[t]
			switch {
			case task.State.Placed():
				placed++
				used = used.Add(task.Size)
			case task.State == lifecycle.TaskQueued:
				waiting = true
			}
		}
		if waiting {
			queued++
			waitingJobs = append(waitingJobs, name)
		}
	}
	x.addFact("committed in this region", "%s", formatResources(used))
	x.addFact("guaranteed", "%s", formatResources(c.Guaranteed))
	x.addFact("burst", "%s", formatResources(c.Burst))
	x.addFact("tasks placed", "%d of at most %d", placed, c.MaxTasks)
	x.addFact("jobs that wait", "%d of at most %d", queued, c.MaxQueued)
	if keys := s.Claims.Use(id); c.MaxKeys > 0 {
		x.addFact("keys remembered", "%d of at most %d, %d KB with their answers", keys.Keys, c.MaxKeys, keys.Bytes/1000)
	} else {
		x.addFact("keys remembered", "%d, %d KB with their answers", keys.Keys, keys.Bytes/1000)
	}
	x.addFact("request limits", "%d a second, burst %d, %d at once, over all entries", c.RequestsPerSecond, c.RequestBurst, c.Concurrency)
	for _, svc := range c.Services {
		x.addFact("service "+svc.Name, "%d endpoints usable, default deadline %d ms", len(s.Members.Usable(svc.Name)), svc.DeadlineMs)
	}
	return waitingJobs, true
}

// addLocalUsage adds the customer's use of its request limits at this entry.
func (e *Entry) addLocalUsage(x *Explanation, customer string) {
	e.read(func(s *core.State) {
		if u, ok := s.Route.LimitUse(e.now(), customer); ok {
			x.addFact("requests in progress at entry "+e.set.ID, "%d", u.InFlight)
			x.addFact("requests allowed at once now at entry "+e.set.ID, "%.0f of %.0f", u.Available, u.Burst)
		}
	})
}
