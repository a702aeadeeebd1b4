package integration

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/verbenakeel/verbenakeel/core/config"
	"github.com/verbenakeel/verbenakeel/entry"
	"github.com/verbenakeel/verbenakeel/testkit/deploy"
	"github.com/verbenakeel/verbenakeel/testkit/launch"
)

// cli runs the command line for operators against a deployment.
type cli struct {
	t       *testing.T
	path    string
	entries string
	dir     string
}

func newCLI(t *testing.T, d *deploy.Deployment) *cli {
	t.Helper()
	path, err := launch.Build("github.com/verbenakeel/verbenakeel/cmd/verbenakeel")
	assert.NilError(t, err)
	var entries []string
	for _, e := range d.Entries {
		entries = append(entries, e.URL("operator"))
	}
	return &cli{t, path, strings.Join(entries, ","), t.TempDir()}
}

// run runs a command and returns its exit code, standard output and standard error.
func (c *cli) run(args ...string) (int, string, string) {
	c.t.Helper()
	cmd := exec.CommandContext(c.t.Context(), c.path, args...)
	cmd.Env = append(os.Environ(), "VERBENAKEEL_ENTRIES="+c.entries, "VERBENAKEEL_OPERATOR=ada")
	var out, errs bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errs
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		c.t.Fatal(err)
	}
	c.t.Logf("$ verbenakeel %s\n%s%s(exit code %d)", strings.Join(args, " "), out.String(), errs.String(), cmd.ProcessState.ExitCode())
	return cmd.ProcessState.ExitCode(), out.String(), errs.String()
}

// mustRun runs a command that must succeed, and decodes the first line of its JSON output into result unless that is nil.
func (c *cli) mustRun(result any, args ...string) {
	c.t.Helper()
	code, out, _ := c.run(append([]string{"--json"}, args...)...)
	assert.Equal(c.t, code, 0)
	if result != nil {
		assert.NilError(c.t, json.Unmarshal([]byte(strings.SplitN(out, "\n", 2)[0]), result))
	}
}

func (c *cli) writeFile(name, content string) string {
	c.t.Helper()
	path := filepath.Join(c.dir, name)
	assert.NilError(c.t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

// Guards against faults of the command line against a running deployment: publishing a contract, conflicting changes,
// taking a zone out and in again, waiting until a revision is in force, shutdown of an endpoint, and the audit trail.
func TestOperateByCommandLine(t *testing.T) {
	d := deployment(t, nil)
	c := newCLI(t, d)
	path := c.writeFile("hartwell.json", contract)

	var first config.Outcome
	c.mustRun(&first, "contract", "publish", path)
	c.mustRun(nil, "wait", "--revision", "1")
	var differences struct{ Changes []any }
	c.mustRun(&differences, "contract", "diff", path)
	assert.Assert(t, is.Len(differences.Changes, 0))

	t.Run("a conflict names the change that won", func(t *testing.T) {
		c := &cli{t, c.path, c.entries, c.dir}
		code, _, errs := c.run("contract", "publish", "--base", "0", path)
		assert.Equal(t, code, 3)
		assert.Assert(t, is.Contains(errs, "change "+first.Change.ID+" by ada"))
	})
	t.Run("a lowered contract needs confirmation", func(t *testing.T) {
		c := &cli{t, c.path, c.entries, c.dir}
		low := c.writeFile("low.json", strings.Replace(contract, `"max_tasks":200`, `"max_tasks":100`, 1))
		code, _, errs := c.run("contract", "publish", low)
		assert.Equal(t, code, 1)
		assert.Assert(t, is.Contains(errs, "max_tasks is lowered from 200 to 100"))
	})
	t.Run("a zone is taken out and in again", func(t *testing.T) {
		c := &cli{t, c.path, c.entries, c.dir}
		wait(t, "zone to be listed", func() bool {
			code, out, _ := c.run("zone", "list")
			return code == 0 && strings.Contains(out, "midshire-a")
		})
		code, _, errs := c.run("zone", "out", "midshire-a")
		assert.Equal(t, code, 1)
		assert.Assert(t, is.Contains(errs, "--yes"))
		var out config.Outcome
		c.mustRun(&out, "--yes", "zone", "out", "midshire-a", "--reason", "power work", "--wait")
		assert.Equal(t, out.Status, config.Accepted)
		var back config.Outcome
		c.mustRun(&back, "zone", "in", "midshire-a")
		assert.Equal(t, back.Change.Base, out.Revision)
	})
	t.Run("an endpoint drains", func(t *testing.T) {
		c := &cli{t, c.path, c.entries, c.dir}
		c.mustRun(nil, "--yes", "endpoint", "shutdown", "instance-02")
		c.mustRun(nil, "endpoint", "watch", "instance-02")
		c.mustRun(nil, "endpoint", "cancel-shutdown", "instance-02")
	})
	t.Run("the audit trail names operators and objects", func(t *testing.T) {
		c := &cli{t, c.path, c.entries, c.dir}
		var list []config.Outcome
		c.mustRun(&list, "audit", "--object", "zone/midshire-a", "--by", "ada")
		assert.Assert(t, is.Len(list, 2))
		assert.Equal(t, list[0].Change.Zone.Reason, "power work")
		c.mustRun(&list, "audit", "--by", "nobody")
		assert.Assert(t, is.Len(list, 0))
		c.run("audit")
	})
}

// Guards against explanations that leave out why a job waits, where its tasks ran or how they ended.
func TestExplainByCommandLine(t *testing.T) {
	d := deployment(t, nil)
	publish(t, d)
	c := newCLI(t, d)
	c.mustRun(nil, "job", "submit", "hartwell", c.writeFile("plan.json", `{"id":"plan","kind":"batch","tasks":2,"size":{"cpu_milli":1000,"memory_mb":1000},"run_ms":100}`))
	c.mustRun(nil, "job", "submit", "hartwell", c.writeFile("wide.json", `{"id":"wide","kind":"batch","tasks":60,"size":{"cpu_milli":4000,"memory_mb":1000},"run_ms":600000}`))
	wait(t, "job to finish", func() bool {
		a, ok := jobAccount(t.Context(), d.Entries[0], "plan")
		return ok && a.Job.State == "finished"
	})

	var explanation entry.Explanation
	c.mustRun(&explanation, "explain", "job", "hartwell/plan")
	text := stepsText(explanation)
	for _, part := range []string{"accepted", "submitted", "attempt 1 placed on instance-", "finished in attempt 1", "all 2 tasks ended"} {
		assert.Assert(t, is.Contains(text, part))
	}
	c.mustRun(&explanation, "explain", "task", "hartwell/plan#1")
	assert.Equal(t, explanation.State, "finished")
	wait(t, "reason for waiting", func() bool {
		c.mustRun(&explanation, "explain", "job", "hartwell/wide")
		return len(explanation.Waiting) == 1
	})
	c.mustRun(&explanation, "explain", "customer", "hartwell")
	assert.Assert(t, len(explanation.Waiting) == 1, "waits: %v, notes: %v", explanation.Waiting, explanation.Notes)
	c.mustRun(&explanation, "explain", "worker", "instance-01")
	c.run("explain", "customer", "hartwell")
	c.run("explain", "job", "hartwell/plan")

	key := map[string]string{"Idempotency-Key": "k1"}
	status, body, err := deploy.Call(t.Context(), "POST", d.Entries[0].URL("public")+"/fitcheck/clearance", key, []byte("seat"))
	assert.NilError(t, err)
	assert.Equal(t, status, 200, string(body))
	wait(t, "answer on record", func() bool {
		c.mustRun(&explanation, "explain", "request", "hartwell/k1")
		return explanation.State == "answered"
	})

	code, _, errs := c.run("job", "cancel", "hartwell/wide")
	assert.Equal(t, code, 1)
	assert.Assert(t, is.Contains(errs, "never run again: 60"))
	c.mustRun(nil, "--yes", "job", "cancel", "hartwell/wide")
	wait(t, "job to be cancelled", func() bool {
		c.mustRun(&explanation, "explain", "job", "hartwell/wide")
		return explanation.State == "cancelled"
	})
	assert.Assert(t, is.Contains(stepsText(explanation), "cancel by operator ada"))

	code, _, _ = c.run("explain", "job", "hartwell/none")
	assert.Equal(t, code, 1)
	code, _, _ = c.run("status")
	assert.Equal(t, code, 0)
}

func stepsText(x entry.Explanation) string {
	var b strings.Builder
	for _, s := range x.Steps {
		b.WriteString(s.Text + "\n")
	}
	return b.String()
}

// Guards against explanations of an eviction that leave out its reason, its checkpoint or the next placement.
func TestExplainEviction(t *testing.T) {
	d := deployment(t, nil)
	publish(t, d)
	c := newCLI(t, d)
	c.mustRun(nil, "job", "submit", "hartwell", c.writeFile("routes.json",
		`{"id":"routes","kind":"batch","tasks":1,"size":{"cpu_milli":1000,"memory_mb":1000},"run_ms":600000,"checkpoint":true}`))
	zone := ""
	wait(t, "task to be placed", func() bool {
		a, ok := jobAccount(t.Context(), d.Entries[0], "routes")
		if ok && a.Tasks[0].Worker != "" {
			var workers []entry.WorkerView
			c.mustRun(&workers, "worker", "list")
			for _, w := range workers {
				if w.ID == a.Tasks[0].Worker {
					zone = w.Zone
				}
			}
		}
		return zone != ""
	})
	c.run("--yes", "zone", "out", zone, "--reason", "power work", "--wait")
	var x entry.Explanation
	wait(t, "task to be placed again", func() bool {
		c.mustRun(&x, "explain", "task", "hartwell/routes#0")
		return strings.Contains(stepsText(x), "attempt 2 placed on")
	})
	assert.Assert(t, is.Contains(stepsText(x), "evicted from"))
	assert.Assert(t, is.Contains(stepsText(x), "zone"))
	c.run("explain", "task", "hartwell/routes#0")
	c.run("zone", "list")
	c.run("audit")
}
