package integration

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/verbenakeel/verbenakeel/testkit/deploy"
	"github.com/verbenakeel/verbenakeel/testkit/history"
)

// singleInstance sets a deployment's instances to one, so that the endpoint of every request is known.
func singleInstance(o *deploy.Options) { o.Instances = 1 }

// mustChangeConfig sends a configuration change that must be accepted to the entry with index i, and returns its outcome.
func mustChangeConfig(t *testing.T, d *deploy.Deployment, i int, change string) []byte {
	t.Helper()
	status, body := sendConfigChange(t, d, i, change)
	assert.Equal(t, status, 200, string(body))
	return body
}

// withBaseRevision returns the change with the revision of the given outcome as its base.
func withBaseRevision(t *testing.T, outcome []byte, change string) string {
	t.Helper()
	var out struct {
		Revision uint64 `json:"revision"`
	}
	assert.NilError(t, json.Unmarshal(outcome, &out))
	return fmt.Sprintf(`{"base":%d,%s`, out.Revision, change[1:])
}

const (
	drainChange        = `{"shutdown":{"endpoint":"instance-01","drain":true}}`
	limitedDrainChange = `{"shutdown":{"endpoint":"instance-01","drain":true,"limit_ms":500}}`
)

// Guards against a graceful shutdown that aborts a request in progress, accepts new requests or does not finish. It is
// requested by a configuration change and by a signal to the side process at the same time.
func TestDrainKeepsWorkInProgress(t *testing.T) {
	d := deployment(t, singleInstance)
	publish(t, d)
	inProgress := get(t, d.Entries[0], "/fitcheck/seat?ms=6000")
	waitForRequests(t, d.Instances[0], 1)
	mustChangeConfig(t, d, 1, drainChange)
	side := d.Instances[0].Side.Process()
	assert.NilError(t, side.Terminate())
	wait(t, "refusal at all entries", func() bool {
		for _, e := range d.Entries {
			status, _, err := deploy.Call(t.Context(), http.MethodGet, e.URL("public")+"/fitcheck/seat", nil, nil)
			if err != nil || status != 503 {
				return false
			}
		}
		return true
	})
	tr := newTraffic(d)
	before := len(tr.executionsAt(t, 0))
	for _, e := range d.Entries {
		assert.Equal(t, <-get(t, e, "/fitcheck/seat"), 503)
	}
	assert.Equal(t, <-inProgress, 200)
	code, err := side.Wait(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, code, 0)
	assert.Equal(t, len(tr.executionsAt(t, 0)), before, "the endpoint received new requests during its shutdown")
}

// Guards against an endpoint that gets no requests after its shutdown was cancelled, and against a time limit of a
// shutdown that is not enforced, or that is enforced although the shutdown was cancelled.
func TestDrainCancelledAndLimited(t *testing.T) {
	d := deployment(t, singleInstance)
	publish(t, d)
	inProgress := get(t, d.Entries[0], "/fitcheck/seat?ms=4000")
	waitForRequests(t, d.Instances[0], 1)
	body := mustChangeConfig(t, d, 0, `{"shutdown":{"endpoint":"instance-01","drain":true,"limit_ms":3000}}`)
	wait(t, "endpoint to be draining", func() bool {
		state, _, _ := endpointState(t, d.Entries[2], "instance-01")
		return state == "draining"
	})
	body = mustChangeConfig(t, d, 1, withBaseRevision(t, body, `{"shutdown":{"endpoint":"instance-01","drain":false}}`))
	assert.Equal(t, <-inProgress, 200)
	wait(t, "request to succeed after the cancelled shutdown", func() bool { return <-get(t, d.Entries[2], "/fitcheck/seat") == 200 })

	interrupted := get(t, d.Entries[0], "/fitcheck/seat?ms=50000")
	waitForRequests(t, d.Instances[0], 1)
	mustChangeConfig(t, d, 0, withBaseRevision(t, body, limitedDrainChange))
	assert.Equal(t, <-interrupted, 502)
	wait(t, "endpoint to be drained", func() bool {
		_, _, drained := endpointState(t, d.Entries[1], "instance-01")
		return drained
	})
}

// Guards against requests that are aborted or needlessly refused when an entry behind a load balancer shuts down.
func TestEntryDrain(t *testing.T) {
	d := deployment(t, nil)
	publish(t, d)
	tr := newTraffic(d)
	inProgress := get(t, d.Entries[0], "/fitcheck/seat?ms=5000")
	waitForRequests(t, d.Instances[0], 1)
	const n = 600
	cfg := tr.noLossConfig(150, n, repeatableRequests("drain", ""))
	cfg.HealthPath, cfg.HealthInterval = "/-/health", 100*time.Millisecond
	finish := tr.start(t, cfg)
	time.Sleep(500 * time.Millisecond)
	stopping := d.Entries[0].Process()
	assert.NilError(t, stopping.Terminate())
	r := finish()
	assert.Equal(t, r.Outcomes[history.Answered], n, "%v", r.Outcomes)
	assert.Equal(t, <-inProgress, 200)
	code, err := stopping.Wait(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, code, 0)
	tr.check(t)
}

// Guards against lost requests when all side processes are restarted gracefully one after the other under load, and when
// one of them crashes during its shutdown.
func TestRollingShutdown(t *testing.T) {
	d := deployment(t, nil)
	publish(t, d)
	tr := newTraffic(d)
	const n = 1500
	finish := tr.start(t, tr.noLossConfig(150, n, repeatableRequests("rolling", "")))
	time.Sleep(500 * time.Millisecond)
	for i, in := range d.Instances {
		if i == 2 {
			assert.NilError(t, in.Side.Process().Terminate())
			assert.NilError(t, in.Side.Process().Kill())
		} else {
			assert.NilError(t, in.Side.Stop())
		}
		assert.NilError(t, in.Side.Start(t.Context()))
		wait(t, in.Side.Name+" to be up at all entries", func() bool {
			for _, e := range d.Entries {
				if state, up, _ := endpointState(t, e, in.Side.Name); state != "up" || !up {
					return false
				}
			}
			return true
		})
	}
	r := finish()
	assert.Equal(t, r.Outcomes[history.Answered], n, "%v", r.Outcomes)
	tr.check(t)
}
