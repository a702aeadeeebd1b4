package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/verbenakeel/verbenakeel/core/tasks"
	"github.com/verbenakeel/verbenakeel/external/memlog"
	"github.com/verbenakeel/verbenakeel/httpserver"
)

// jobsContract has the token "nilewater-token".
const jobsContract = `{"contract":{"customer":"nilewater","priority":"standard","max_tasks":10,"max_queued":10,
"burst":{"cpu_milli":1000,"memory_mb":1000},"token_sha256":["6034f0832cb3d2381166794f4422ccb171a2f3ff43cb62a2278e7fb87a1f44fd"]}}`

// send sends a request of the customer nilewater and returns the status and the body of the response.
func send(t *testing.T, method, url, body string) (int, []byte) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer nilewater-token")
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, data
}

// Guards against a job that is mistaken for another one with the same id, at one entry and in a race through two, and
// against a cancellation that gets "not found" because the entry has not read the job yet.
func TestSubmitAndCancelThroughTwoEntries(t *testing.T) {
	log := memlog.New(memlog.Options{})
	entries := startEntries(t, 2, log, &fakeSide{}, func(*Entry) {})
	status, body := post(t, "http://"+entries[0].OperatorAddress()+"/v1/config", "", "", jobsContract)
	assert.Equal(t, status, 200, string(body))
	url := func(i int) string { return "http://" + entries[i].PublicAddress() + "/v1/jobs" }
	job := func(runMs string) string {
		return `{"id":"plan","kind":"batch","tasks":1,"size":{"cpu_milli":1,"memory_mb":1},"run_ms":` + runMs + `}`
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if status, body = send(t, http.MethodPost, url(0), job("100")); status != 202 && status != 200 {
			return poll.Continue("%d %s", status, body)
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute))
	log.SetFaults(memlog.Faults{DelayMs: 100})

	status, body = send(t, http.MethodPost, url(0), job("100"))
	assert.Equal(t, status, 200, string(body))
	for i := range entries {
		status, body = send(t, http.MethodPost, url(i), job("200"))
		var p httpserver.Problem
		assert.NilError(t, json.Unmarshal(body, &p))
		assert.Equal(t, status, 409, string(body))
		assert.Assert(t, p.NotRun, string(body))
	}

	status, body = send(t, http.MethodPost, url(0), strings.Replace(job("100"), "plan", "next", 1))
	assert.Equal(t, status, 202, string(body))
	status, body = send(t, http.MethodDelete, url(1)+"/next", "")
	assert.Equal(t, status, 202, string(body))
	var a JobAccount
	assert.NilError(t, json.Unmarshal(body, &a))
	assert.Assert(t, a.Job.State == tasks.JobCancelled || a.Job.State == tasks.JobRefused, "%s", a.Job.State)
	status, _ = send(t, http.MethodDelete, url(1)+"/never", "")
	assert.Equal(t, status, 404)
}
