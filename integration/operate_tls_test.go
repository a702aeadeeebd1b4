package integration

import (
	"net/http"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/verbenakeel/verbenakeel/core/config"
	"github.com/verbenakeel/verbenakeel/testkit/deploy"
	"github.com/verbenakeel/verbenakeel/testkit/testca"
	"github.com/verbenakeel/verbenakeel/tlsconf"
)

func tlsSettings(f tlsconf.Files) []deploy.Setting {
	return []deploy.Setting{{Key: "tls.cert", Value: f.Cert}, {Key: "tls.key", Value: f.Key}, {Key: "tls.ca", Value: f.CA}}
}

// Guards against connections that fail in a deployment with mutual TLS, against operator calls that are accepted without
// an operator's certificate, and against certificates that are reloaded only by a restart.
func TestOperateWithMutualTLS(t *testing.T) {
	dir := t.TempDir()
	first, err := testca.New("first")
	assert.NilError(t, err)
	second, err := testca.New("second")
	assert.NilError(t, err)
	issue := func(ca *testca.CA, name string, role tlsconf.Role, accepts ...*testca.CA) tlsconf.Files {
		files, err := ca.Issue(dir, name, role, time.Now().Add(time.Hour), accepts...)
		assert.NilError(t, err)
		return files
	}
	lines := &logLines{}
	entryKeys, sideKeys := issue(first, "entry", tlsconf.Entry, first), issue(first, "side", tlsconf.Side, first)
	d := deployment(t, func(o *deploy.Options) {
		o.Output, o.EntrySettings, o.SideSettings = lines, tlsSettings(entryKeys), tlsSettings(sideKeys)
	})
	c := newCLI(t, d)
	c.entries = ""
	for _, e := range d.Entries {
		c.entries += "," + e.Address("operator")
	}
	as := func(f tlsconf.Files, args ...string) []string {
		return append([]string{"--cert", f.Cert, "--key", f.Key, "--ca", f.CA}, args...)
	}
	operator := issue(first, "grace", tlsconf.Operator, first)
	var out config.Outcome
	c.mustRun(&out, as(operator, "contract", "publish", c.writeFile("hartwell.json", contract))...)
	assert.Equal(t, out.Change.Operator, "grace", "the operator is not taken from the certificate")
	wait(t, "answer over encrypted connections", func() bool {
		status, _, err := deploy.Call(t.Context(), http.MethodGet, d.Entries[0].URL("public")+"/fitcheck/ping", nil, nil)
		return err == nil && status == 200
	})
	assert.Equal(t, submit(t, d.Entries[0], `{"id":"plan","kind":"batch","tasks":2,"size":{"cpu_milli":1000,"memory_mb":1000},"run_ms":100}`), 202)
	wait(t, "job to finish", func() bool {
		a, ok := jobAccount(t.Context(), d.Entries[1], "plan")
		return ok && a.Job.State == "finished"
	})
	assert.Equal(t, len(lines.matching(`"event":103`)), 0)

	code, _, _ := c.run(as(sideKeys, "zone", "list")...)
	assert.Equal(t, code, 5, "a call with the certificate of a side process was not refused")
	_, _, err = deploy.Call(t.Context(), http.MethodGet, d.Entries[0].URL("operator")+"/v1/contracts", nil, nil)
	assert.Assert(t, err != nil, "an unencrypted operator call was accepted")
	_, _, err = deploy.Call(t.Context(), http.MethodGet, d.Instances[0].Side.URL("data")+"/-/metrics", nil, nil)
	assert.Assert(t, err != nil, "an unencrypted call to a side process was accepted")

	otherOperator := issue(second, "newcomer", tlsconf.Operator, first)
	code, _, errs := c.run(as(otherOperator, "zone", "list")...)
	assert.Equal(t, code, 5, errs)
	both := append(append([]byte(nil), first.PEM...), second.PEM...)
	assert.NilError(t, os.WriteFile(entryKeys.CA, both, 0o600))
	wait(t, "new authority to be accepted", func() bool {
		code, _, _ := c.run(as(otherOperator, "zone", "list")...)
		return code == 0
	})
	assert.Assert(t, is.Contains(lines.matching(`"event":104`)[0], "reloaded"))
}

// Guards against customers that can see or change each other's jobs, requests, contracts and explanations.
func TestCustomerIsolation(t *testing.T) {
	d := deployment(t, nil)
	publish(t, d)
	status, body := sendConfigChange(t, d, 0, `{"contract":{"customer":"nilewater","priority":"standard","burst":{"cpu_milli":9000,"memory_mb":9000},
"max_tasks":5,"max_queued":5,"services":[{"name":"puddle-line","deadline_ms":1000}],
"token_sha256":["d9298a10d1b0735837dc4bd85dac641b0f3cef27a47e5d53a54f2f3f5b2fcffa"]}}`)
	assert.Equal(t, status, 200, string(body))
	assert.Equal(t, submit(t, d.Entries[0], `{"id":"plan","kind":"standing","tasks":1,"size":{"cpu_milli":1000,"memory_mb":1000}}`), 202)
	other := map[string]string{"Authorization": "Bearer other"}
	public := d.Entries[0].URL("public")
	wait(t, "contract of the other customer", func() bool {
		status, _, err := deploy.Call(t.Context(), http.MethodGet, public+"/v1/explain", other, nil)
		return err == nil && status == 200
	})
	for _, c := range []struct {
		method, path string
		header       map[string]string
		status       int
	}{
		{"GET", "/v1/jobs/plan", auth, 200}, {"GET", "/v1/explain/job/plan", auth, 200},
		{"GET", "/v1/jobs/plan", other, 404}, {"DELETE", "/v1/jobs/plan", other, 404},
		{"GET", "/v1/explain/job/plan", other, 404}, {"GET", "/v1/explain/job/hartwell/plan", other, 404},
		{"GET", "/v1/explain/task/plan%230", other, 404}, {"GET", "/v1/explain/request/k", other, 404},
		{"GET", "/v1/explain/worker/instance-01", other, 400}, {"GET", "/v1/explain", nil, 401},
		{"GET", "/v1/jobs", nil, 401}, {"DELETE", "/v1/jobs/plan", nil, 401}, {"GET", "/puddle-line/x", auth, 401},
		{"GET", "/v1/contracts", other, 404}, {"GET", "/v1/audit", auth, 404}, {"POST", "/v1/config", auth, 404},
	} {
		status, body, err := deploy.Call(t.Context(), c.method, public+c.path, c.header, nil)
		assert.NilError(t, err)
		assert.Equal(t, status, c.status, "%s %s: %s", c.method, c.path, body)
	}
	_, body, err := deploy.Call(t.Context(), http.MethodGet, public+"/v1/jobs", other, nil)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "[]\n")
	_, body, err = deploy.Call(t.Context(), http.MethodGet, public+"/v1/explain", other, nil)
	assert.NilError(t, err)
	assert.Assert(t, !is.Contains(string(body), "hartwell")().Success(), "the explanation names another customer")
}
