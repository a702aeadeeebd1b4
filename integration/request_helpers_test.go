package integration

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/standin"
	"github.com/verbenakeel/verbenakeel/testkit/deploy"
	"github.com/verbenakeel/verbenakeel/testkit/history"
	"github.com/verbenakeel/verbenakeel/testkit/load"
)

// traffic generates load on a deployment and records the history that check evaluates.
type traffic struct {
	d        *deploy.Deployment
	origin   time.Time
	recorder history.Recorder
}

func newTraffic(d *deploy.Deployment) *traffic { return &traffic{d: d, origin: time.Now()} }

func (tr *traffic) config(perSecond float64, n int, next func(i int) load.Request) load.Config {
	var targets []string
	for _, e := range tr.d.Entries {
		targets = append(targets, e.Address("public"))
	}
	return load.Config{
		Targets: targets, Arrivals: load.Arrivals(perSecond, n, true, 1), Next: next, MaxOutstanding: 2000,
		Timeout: 30 * time.Second, Deadline: 5 * time.Second, History: &tr.recorder, Origin: tr.origin,
	}
}

// noLossConfig returns the configuration of a load of which every request must be answered. The bound of its requests in
// progress is what the slots of the endpoints can accept while one endpoint is down. A test machine that stalls for a
// second thus delays the load and does not overload the endpoints, which would rightly refuse requests.
func (tr *traffic) noLossConfig(perSecond float64, n int, next func(i int) load.Request) load.Config {
	cfg := tr.config(perSecond, n, next)
	cfg.MaxOutstanding, cfg.WaitForSlot = 16, true
	return cfg
}

// start runs a load in the background and returns a function that waits for its result.
func (tr *traffic) start(t *testing.T, cfg load.Config) func() *load.Result {
	t.Helper()
	type loadResult struct {
		r   *load.Result
		err error
	}
	done := make(chan loadResult, 1)
	go func() {
		r, err := load.Run(t.Context(), cfg)
		done <- loadResult{r, err}
	}()
	return func() *load.Result {
		e := <-done
		assert.NilError(t, e.err)
		return e.r
	}
}

// repeatableRequests returns a generator of repeatable requests with the given query.
func repeatableRequests(prefix, query string) func(i int) load.Request {
	return func(i int) load.Request {
		return load.Request{ID: fmt.Sprintf("%s-%d", prefix, i), Method: "GET", Path: "/fitcheck/seat" + query}
	}
}

// onceRequests returns a generator of requests that may run at most once. It uses each key for two consecutive requests,
// which are sent through two entries.
func onceRequests(prefix, deadlineMs string) func(i int) load.Request {
	return func(i int) load.Request {
		return load.Request{
			ID: fmt.Sprintf("%s-%d", prefix, i), Method: "POST", Path: "/fitcheck/clearance", Customer: "hartwell",
			Key: fmt.Sprintf("%s-key-%d", prefix, i/2), Header: map[string]string{"X-Deadline-Ms": deadlineMs}, Body: []byte("seat"),
		}
	}
}

// recordExecutions adds the executions at all endpoints to the history and returns them.
func (tr *traffic) recordExecutions(t *testing.T) []standin.Execution {
	t.Helper()
	var all []standin.Execution
	for i := range tr.d.Instances {
		all = append(all, tr.executionsAt(t, i)...)
	}
	for _, x := range all {
		key := x.Key
		if key != "" {
			key = "hartwell/" + key
		}
		tr.recorder.Add(history.Execution{At: time.Unix(0, x.StartNs).Sub(tr.origin), ID: x.RequestID, Key: key, Endpoint: x.Endpoint})
	}
	return all
}

// check adds the executions to the history and reports every violation in it.
func (tr *traffic) check(t *testing.T) {
	t.Helper()
	tr.recordExecutions(t)
	for _, v := range history.Check(tr.recorder.Events()) {
		t.Error(v)
	}
}

// get sends a repeatable request in the background and returns a channel for its status, which is 0 if there is no answer.
func get(t *testing.T, e *deploy.Node, path string) <-chan int {
	t.Helper()
	return call(t, http.MethodGet, e, path)
}

func call(t *testing.T, method string, e *deploy.Node, path string) <-chan int {
	t.Helper()
	done := make(chan int, 1)
	go func() {
		status, _, _ := deploy.Call(t.Context(), method, e.URL("public")+path, map[string]string{"X-Deadline-Ms": "60000"}, nil)
		done <- status
	}()
	return done
}

// waitForRequests waits until at least want requests are in progress at the instance's endpoint.
func waitForRequests(t *testing.T, in *deploy.Instance, want int) {
	t.Helper()
	wait(t, "requests in progress at "+in.Endpoint.Name, func() bool {
		_, body, err := deploy.Call(t.Context(), http.MethodGet, in.Endpoint.URL("http")+"/-/history", nil, nil)
		var list []standin.Execution
		if err != nil || json.Unmarshal(body, &list) != nil {
			return false
		}
		n := 0
		for _, x := range list {
			if x.EndNs == 0 {
				n++
			}
		}
		return n >= want
	})
}

// endpointState returns the state of an endpoint as an entry has it.
func endpointState(t *testing.T, e *deploy.Node, id string) (state string, up, drained bool) {
	t.Helper()
	for _, ep := range endpoints(t, e) {
		if ep.ID == id {
			return ep.State, ep.Up, ep.Drained
		}
	}
	return "", false, false
}

// executionsAt returns the executions at the endpoint of the instance with index i.
func (tr *traffic) executionsAt(t *testing.T, i int) []standin.Execution {
	t.Helper()
	_, body, err := deploy.Call(t.Context(), http.MethodGet, tr.d.Instances[i].Endpoint.URL("http")+"/-/history", nil, nil)
	assert.NilError(t, err)
	var list []standin.Execution
	assert.NilError(t, json.Unmarshal(body, &list))
	return list
}
