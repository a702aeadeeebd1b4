package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/verbenakeel/verbenakeel/core/config"
	"github.com/verbenakeel/verbenakeel/entry"
	"github.com/verbenakeel/verbenakeel/external"
	"github.com/verbenakeel/verbenakeel/record"
	"github.com/verbenakeel/verbenakeel/standin"
	"github.com/verbenakeel/verbenakeel/testkit/deploy"
	"github.com/verbenakeel/verbenakeel/testkit/history"
	"github.com/verbenakeel/verbenakeel/testkit/load"
)

// scenario runs the scripted load, jobs and operator actions of one deployment.
type scenario struct {
	user       user
	deployment *deploy.Deployment
	report     *report
	seed       uint64
	jobs       []string
}

func (s *scenario) elapsed() time.Duration { return time.Since(s.report.origin) }

func (s *scenario) run(ctx context.Context) error {
	if err := s.publishContract(ctx); err != nil {
		return err
	}
	var wg sync.WaitGroup
	errs := make(chan error, 3)
	for _, f := range []func(context.Context) error{s.sendRequests, s.submitJobs, s.runOperatorActions} {
		wg.Go(func() { errs <- f(ctx) })
	}
	wg.Wait()
	for range 3 {
		if err := <-errs; err != nil {
			return err
		}
	}
	if err := s.waitForJobs(ctx); err != nil {
		return err
	}
	return s.collectHistory(ctx)
}

// changeConfig publishes a configuration change and returns its outcome.
func (s *scenario) changeConfig(ctx context.Context, c record.ConfigChange) (config.Outcome, error) {
	body, err := json.Marshal(c)
	if err != nil {
		return config.Outcome{}, err
	}
	status, reply, err := deploy.Call(ctx, http.MethodPost, s.deployment.Entries[1].URL("operator")+"/v1/config",
		map[string]string{"X-Operator": "demo"}, body)
	if err != nil {
		return config.Outcome{}, err
	}
	var out config.Outcome
	if err := json.Unmarshal(reply, &out); err != nil || status != 200 {
		return out, fmt.Errorf("change configuration: status %d: %s", status, reply)
	}
	s.report.history.Add(history.ChangeAccepted{At: s.elapsed(), Revision: out.Revision})
	s.report.logEvent(s.elapsed(), "operator: %s accepted as revision %d", describe(c), out.Revision)
	return out, nil
}

func describe(c record.ConfigChange) string {
	switch {
	case c.Contract != nil:
		return "contract of " + c.Contract.Customer
	case c.Zone != nil && c.Zone.Out:
		return "zone " + c.Zone.Zone + " out of service"
	case c.Zone != nil:
		return "zone " + c.Zone.Zone + " back in service"
	case c.Shutdown.Drain:
		return "graceful shutdown of " + c.Shutdown.Endpoint
	default:
		return "shutdown of " + c.Shutdown.Endpoint + " cancelled"
	}
}

func (s *scenario) publishContract(ctx context.Context) error {
	contract := s.user.contract()
	if _, err := s.changeConfig(ctx, record.ConfigChange{Contract: &contract}); err != nil {
		return err
	}
	for _, e := range s.deployment.Entries {
		err := deploy.WaitFor(ctx, "all endpoints to be up at "+e.Name, func() bool {
			var list []entry.EndpointView
			if s.getJSON(ctx, e, "/v1/endpoints", &list) != nil || len(list) < instances {
				return false
			}
			for _, ep := range list {
				if !ep.Up {
					return false
				}
			}
			return true
		})
		if err != nil {
			return err
		}
	}
	s.report.logEvent(s.elapsed(), "%d endpoints of %s announced to %d entries", instances, s.user.service, entries)
	return deploy.WaitFor(ctx, "the contract to be in force at all entries", func() bool {
		for _, e := range s.deployment.Entries {
			status, _, err := deploy.Call(ctx, http.MethodGet, e.URL("public")+"/"+s.user.service+s.user.readPath, nil, nil)
			if err != nil || status != 200 {
				return false
			}
		}
		return true
	})
}

// getJSON decodes the JSON answer to a GET request to an entry's operator listener.
func (s *scenario) getJSON(ctx context.Context, e *deploy.Node, path string, into any) error {
	status, body, err := deploy.Call(ctx, http.MethodGet, e.URL("operator")+path, nil, nil)
	if err != nil {
		return err
	}
	if status != 200 {
		return fmt.Errorf("GET %s: status %d: %s", path, status, body)
	}
	return json.Unmarshal(body, into)
}

// sendRequests sends requests at a constant mean rate. Every tenth is an at-most-once request.
func (s *scenario) sendRequests(ctx context.Context) error {
	var targets []string
	for _, e := range s.deployment.Entries {
		targets = append(targets, e.Address("public"))
	}
	result, err := load.Run(ctx, load.Config{
		Targets: targets, Arrivals: load.Arrivals(requestsPerSecond, requestsPerSecond*int(loadTime/time.Second), true, s.seed),
		MaxOutstanding: 1000, Timeout: 5 * time.Second, Deadline: 500 * time.Millisecond, HealthPath: "/-/health",
		HealthInterval: time.Second, History: s.report.history, Origin: s.report.origin,
		Next: func(i int) load.Request {
			r := load.Request{ID: fmt.Sprintf("%s-%d", s.user.customer, i), Method: http.MethodGet, Path: "/" + s.user.service + s.user.readPath}
			if i%10 == 0 {
				r.Method, r.Path = http.MethodPost, "/"+s.user.service+s.user.oncePath
				r.Customer, r.Key, r.Body = s.user.customer, fmt.Sprintf("key-%d", i), []byte("findings")
			}
			return r
		},
	})
	s.report.load = result
	return err
}

// jobSpecs returns the jobs to submit: batch jobs that must finish, an urgent one, a long-running one, and two that must be
// refused: one past its deadline and one larger than any worker.
func (s *scenario) jobSpecs() []record.Job {
	size := record.Resources{CPUMilli: 4000, MemoryMB: 8000}
	deadline := time.Now().Add(time.Minute).UnixMilli()
	var jobs []record.Job
	for i := range 12 {
		jobs = append(jobs, record.Job{
			ID: fmt.Sprintf("plan-%02d", i), Kind: record.BatchJob, Class: "plan", Tasks: 3, Size: size, RunMs: 4000,
			DeadlineMs: deadline, Checkpoint: true,
		})
	}
	return append(jobs,
		record.Job{ID: "urgent", Kind: record.BatchJob, Class: "urgent", Tasks: 1, Size: size, RunMs: 1000, Urgent: true, DeadlineMs: deadline},
		record.Job{ID: "watchers", Kind: record.StandingJob, Class: "watch", Tasks: 3, Size: record.Resources{CPUMilli: 200, MemoryMB: 200}, Checkpoint: true},
		record.Job{ID: "late", Kind: record.BatchJob, Class: "plan", Tasks: 1, Size: size, RunMs: 4000, DeadlineMs: time.Now().UnixMilli() - 1000},
		record.Job{ID: "oversized", Kind: record.BatchJob, Class: "plan", Tasks: 1, Size: record.Resources{CPUMilli: 64_000, MemoryMB: 8000}, RunMs: 4000},
	)
}

// The jobs from index secondWaveIndex on are submitted secondWaveAfter later.
const (
	secondWaveIndex = 6
	secondWaveAfter = 3500 * time.Millisecond
)

func (s *scenario) submitJobs(ctx context.Context) error {
	for i, job := range s.jobSpecs() {
		if i == secondWaveIndex {
			// Batch jobs of the second wave are still running when the zone is taken out of service.
			time.Sleep(secondWaveAfter)
		}
		body, err := json.Marshal(job)
		if err != nil {
			return err
		}
		status, reply, err := deploy.Call(ctx, http.MethodPost, s.deployment.Entries[0].URL("public")+"/v1/jobs",
			map[string]string{"Authorization": "Bearer " + s.user.token}, body)
		if err != nil {
			return err
		}
		if status != 202 {
			return fmt.Errorf("submit %s: status %d: %s", job.ID, status, reply)
		}
		s.jobs = append(s.jobs, s.user.customer+"/"+job.ID)
		s.report.history.Add(history.JobAccepted{At: s.elapsed(), Job: s.user.customer + "/" + job.ID, Kind: job.Kind})
	}
	return nil
}

// runOperatorActions takes a zone out of service and back, then drains an endpoint and cancels the graceful shutdown.
func (s *scenario) runOperatorActions(ctx context.Context) error {
	begin := time.Now()
	until := func(at time.Duration) { time.Sleep(time.Until(begin.Add(at))) }
	zone := s.user.zones[0]
	until(zoneOutAt)
	out, err := s.changeConfig(ctx, record.ConfigChange{Zone: &record.ZoneChange{Zone: zone, Out: true, Reason: "demo"}})
	if err != nil {
		return err
	}
	s.report.history.Add(history.ZoneState{At: s.elapsed(), Zone: zone, Out: true})
	until(zoneBackAt)
	s.report.history.Add(history.ZoneState{At: s.elapsed(), Zone: zone, Out: false})
	if _, err = s.changeConfig(ctx, record.ConfigChange{Base: out.Revision, Zone: &record.ZoneChange{Zone: zone, Reason: "demo"}}); err != nil {
		return err
	}
	until(shutdownAt)
	endpoint := s.deployment.Instances[1].Side.Name
	order, err := s.changeConfig(ctx, record.ConfigChange{Shutdown: &record.ShutdownChange{Endpoint: endpoint, Drain: true}})
	if err != nil {
		return err
	}
	err = deploy.WaitFor(ctx, "endpoint to drain", func() bool {
		var list []entry.EndpointView
		if s.getJSON(ctx, s.deployment.Entries[0], "/v1/endpoints", &list) != nil {
			return false
		}
		for _, ep := range list {
			if ep.ID == endpoint && ep.Drained {
				return true
			}
		}
		return false
	})
	if err != nil {
		return err
	}
	s.report.logEvent(s.elapsed(), "endpoint %s is drained", endpoint)
	_, err = s.changeConfig(ctx, record.ConfigChange{Base: order.Revision, Shutdown: &record.ShutdownChange{Endpoint: endpoint}})
	return err
}

// waitForJobs waits until all batch jobs have ended.
func (s *scenario) waitForJobs(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	var list []entry.JobSummary
	err := deploy.WaitFor(ctx, "jobs of "+s.user.customer+" to end", func() bool {
		if s.getJSON(ctx, s.deployment.Entries[2], "/v1/jobs", &list) != nil || len(list) < len(s.jobs) {
			return false
		}
		for _, j := range list {
			if j.State == "open" && j.Kind == record.BatchJob {
				return false
			}
		}
		return true
	})
	if err != nil {
		return fmt.Errorf("%w; %s", err, s.describeOpenJobs(list))
	}
	return nil
}

// describeOpenJobs describes the state of the batch jobs that have not ended.
func (s *scenario) describeOpenJobs(list []entry.JobSummary) string {
	var b strings.Builder
	for _, j := range list {
		if j.State != "open" || j.Kind != record.BatchJob {
			continue
		}
		var a entry.JobAccount
		if s.getJSON(context.Background(), s.deployment.Entries[0], "/v1/jobs/"+j.ID, &a) != nil {
			continue
		}
		fmt.Fprintf(&b, "\n  %s, waiting: %q", j.ID, a.Waiting)
		for _, t := range a.Tasks {
			last := t.History[len(t.History)-1]
			fmt.Fprintf(&b, "\n    %s %s attempt %d on %s: %s", t.ID, t.State, t.Attempt, t.Worker, last.Cause)
		}
	}
	return b.String()
}

// collectHistory adds the histories of entries, endpoints and workers to the report.
func (s *scenario) collectHistory(ctx context.Context) error {
	for _, id := range s.jobs {
		var a entry.JobAccount
		if err := s.getJSON(ctx, s.deployment.Entries[0], "/v1/jobs/"+id, &a); err != nil {
			return err
		}
		s.report.addAccount(s.elapsed(), a)
	}
	for _, in := range s.deployment.Instances {
		if err := s.collectInstance(ctx, in); err != nil {
			return err
		}
	}
	return s.collectRevisions(ctx)
}

func (s *scenario) collectInstance(ctx context.Context, in *deploy.Instance) error {
	var runs []standin.Execution
	if err := fetchJSON(ctx, in.Endpoint.URL("http")+"/-/history", &runs); err != nil {
		return err
	}
	for _, e := range runs {
		key := e.Key
		if key != "" {
			key = s.user.customer + "/" + key
		}
		s.report.history.Add(history.Execution{At: s.sinceOrigin(e.StartNs), ID: e.RequestID, Key: key, Endpoint: e.Endpoint})
	}
	var status external.WorkerStatus
	if err := fetchJSON(ctx, in.Worker.URL("http")+"/status", &status); err != nil {
		return err
	}
	s.report.history.Add(history.Worker{ID: in.Side.Name, Zone: in.Side.Zone, Capacity: status.Capacity})
	var events []standin.TaskEvent
	if err := fetchJSON(ctx, in.Worker.URL("http")+"/history", &events); err != nil {
		return err
	}
	for _, e := range events {
		if e.Kind == "start" {
			s.report.history.Add(history.AttemptStart{At: s.sinceOrigin(e.AtNs), Task: e.Task, Attempt: e.Attempt, Worker: e.Worker, Size: e.Size})
			continue
		}
		s.report.history.Add(history.AttemptEnd{At: s.sinceOrigin(e.AtNs), Task: e.Task, Attempt: e.Attempt, Worker: e.Worker, Outcome: e.Outcome})
	}
	return nil
}

func (s *scenario) collectRevisions(ctx context.Context) error {
	for _, e := range s.deployment.Entries {
		var st entry.Status
		if err := s.getJSON(ctx, e, "/v1/status", &st); err != nil {
			return err
		}
		s.report.history.Add(history.RevisionReported{At: s.elapsed(), Process: e.Name, Revision: st.Revision})
	}
	return nil
}

// sinceOrigin converts a wall clock time of this machine to the time since the origin of the history.
func (s *scenario) sinceOrigin(unixNs int64) time.Duration {
	return time.Unix(0, unixNs).Sub(s.report.origin)
}

func fetchJSON(ctx context.Context, url string, into any) error {
	status, body, err := deploy.Call(ctx, http.MethodGet, url, nil, nil)
	if err != nil {
		return err
	}
	if status != 200 {
		return fmt.Errorf("GET %s: status %d", url, status)
	}
	return json.Unmarshal(body, into)
}
