// Package integration tests the whole system: real processes that are connected through proxies which inject faults.
package integration

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/core/config"
	"github.com/verbenakeel/verbenakeel/entry"
	"github.com/verbenakeel/verbenakeel/external/memlog"
	"github.com/verbenakeel/verbenakeel/testkit/deploy"
	"github.com/verbenakeel/verbenakeel/testkit/launch"
)

func TestMain(m *testing.M) {
	code := m.Run()
	launch.RemoveBuilds()
	os.Exit(code)
}

// contract is the customer contract that the tests publish; its token is "token".
const contract = `{"contract":{"customer":"hartwell","priority":"critical",
"guaranteed":{"cpu_milli":16000,"memory_mb":60000},"burst":{"cpu_milli":96000,"memory_mb":360000},
"requests_per_second":5000,"request_burst":1000,"concurrency":500,"max_tasks":200,"max_queued":10000,
"services":[{"name":"fitcheck","deadline_ms":5000,"public":true,"once":[{"method":"POST","prefix":"/clearance"}]}],
"token_sha256":["3c469e9d6c5875d37a43f353d4f88e61fcf812c66eee3457465a40b0da4153e0"]}}`

var auth = map[string]string{"Authorization": "Bearer token"}

// deployment starts a deployment of three zones, three entries and three instances, whose options configure may change.
func deployment(t *testing.T, configure func(*deploy.Options)) *deploy.Deployment {
	t.Helper()
	opts := deploy.Options{
		Dir: t.TempDir(), Region: "midshire", Zones: []string{"midshire-a", "midshire-b", "midshire-c"}, Entries: 3, Instances: 3,
		Service: "fitcheck", ServiceTime: 5 * time.Millisecond, Log: memlog.Options{AppendsPerSecond: 300},
		Group: launch.ForTest(t),
	}
	if configure != nil {
		configure(&opts)
	}
	d, err := deploy.Start(t.Context(), opts)
	t.Cleanup(d.Close)
	assert.NilError(t, err)
	return d
}

// sendConfigChange sends a configuration change to the entry with index i, and returns the status and body of its answer.
func sendConfigChange(t *testing.T, d *deploy.Deployment, i int, change string) (int, []byte) {
	t.Helper()
	status, body, err := deploy.Call(t.Context(), http.MethodPost, d.Entries[i].URL("operator")+"/v1/config",
		map[string]string{"X-Operator": "test"}, []byte(change))
	assert.NilError(t, err)
	return status, body
}

// publish publishes contract and waits until every entry routes requests by it.
func publish(t *testing.T, d *deploy.Deployment) {
	t.Helper()
	publishContract(t, d, contract)
}

func publishContract(t *testing.T, d *deploy.Deployment, change string) {
	t.Helper()
	status, body := sendConfigChange(t, d, 0, change)
	assert.Equal(t, status, 200, string(body))
	for _, e := range d.Entries {
		wait(t, "routing at "+e.Name, func() bool {
			status, _, err := deploy.Call(t.Context(), http.MethodGet, e.URL("public")+"/fitcheck/ping", nil, nil)
			return err == nil && status == 200
		})
	}
}

func wait(t *testing.T, what string, cond func() bool) {
	t.Helper()
	assert.NilError(t, deploy.WaitFor(t.Context(), what, cond))
}

// jobAccount returns the account of a job as an entry has it, and false if the entry does not answer with one.
func jobAccount(ctx context.Context, e *deploy.Node, job string) (entry.JobAccount, bool) {
	var a entry.JobAccount
	status, body, err := deploy.Call(ctx, http.MethodGet, e.URL("public")+"/v1/jobs/"+job, auth, nil)
	if err != nil || status != 200 || json.Unmarshal(body, &a) != nil {
		return a, false
	}
	return a, true
}

// submit submits a job to an entry and returns the status of the answer.
func submit(t *testing.T, e *deploy.Node, job string) int {
	t.Helper()
	status, _, err := deploy.Call(t.Context(), http.MethodPost, e.URL("public")+"/v1/jobs", auth, []byte(job))
	assert.NilError(t, err)
	return status
}

// Guards against faults on the usual path of a request, a job, a zone that is taken out and in again, and a graceful
// shutdown.
func TestWholePath(t *testing.T) {
	d := deployment(t, nil)
	publish(t, d)

	key := map[string]string{"Idempotency-Key": "k1"}
	var first, second []byte
	for i, a := range []*[]byte{&first, &second} {
		status, body, err := deploy.Call(t.Context(), http.MethodPost, d.Entries[i].URL("public")+"/fitcheck/clearance", key, []byte("seat"))
		assert.NilError(t, err)
		assert.Equal(t, status, 200, string(body))
		*a = body
	}
	assert.Equal(t, string(first), string(second))

	assert.Equal(t, submit(t, d.Entries[0], `{"id":"plan","kind":"batch","tasks":6,"size":{"cpu_milli":1000,"memory_mb":1000},"run_ms":100}`), 202)
	wait(t, "job to finish", func() bool {
		a, ok := jobAccount(t.Context(), d.Entries[2], "plan")
		return ok && a.Job.State == "finished"
	})

	base := uint64(0)
	for _, out := range []bool{true, false} {
		change, err := json.Marshal(map[string]any{"base": base, "zone": map[string]any{"zone": "midshire-a", "out": out}})
		assert.NilError(t, err)
		status, body := sendConfigChange(t, d, 1, string(change))
		assert.Equal(t, status, 200, string(body))
		var accepted config.Outcome
		assert.NilError(t, json.Unmarshal(body, &accepted))
		assert.Assert(t, accepted.Revision > base, "%s", body)
		base = accepted.Revision
		// Another entry shows the change once it has read it.
		wait(t, "the zone's revision at another entry", func() bool { return zoneRevision(t, d, "midshire-a") == base })
	}

	status, body := sendConfigChange(t, d, 2, `{"shutdown":{"endpoint":"instance-01","drain":true}}`)
	assert.Equal(t, status, 200, string(body))
	wait(t, "endpoint to drain", func() bool {
		for _, ep := range endpoints(t, d.Entries[0]) {
			if ep.ID == "instance-01" {
				return ep.Drained
			}
		}
		return false
	})
}

func endpoints(t *testing.T, e *deploy.Node) []entry.EndpointView {
	t.Helper()
	var list []entry.EndpointView
	_, body, err := deploy.Call(t.Context(), http.MethodGet, e.URL("operator")+"/v1/endpoints", nil, nil)
	assert.NilError(t, err)
	assert.NilError(t, json.Unmarshal(body, &list))
	return list
}

func zoneRevision(t *testing.T, d *deploy.Deployment, zone string) uint64 {
	t.Helper()
	var list []struct {
		Zone     struct{ Zone string }
		Revision uint64
	}
	_, body, err := deploy.Call(t.Context(), http.MethodGet, d.Entries[0].URL("operator")+"/v1/zones", nil, nil)
	assert.NilError(t, err)
	assert.NilError(t, json.Unmarshal(body, &list))
	for _, z := range list {
		if z.Zone.Zone == zone {
			return z.Revision
		}
	}
	return 0
}
