package integration

import (
	"bytes"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/verbenakeel/verbenakeel/telemetry"
	"github.com/verbenakeel/verbenakeel/testkit/deploy"
)

// logLines collects the log lines of all processes.
type logLines struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logLines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

// matching returns the lines that contain all parts.
func (l *logLines) matching(parts ...string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []string
next:
	for _, line := range strings.Split(l.buf.String(), "\n") {
		for _, p := range parts {
			if !strings.Contains(line, p) {
				continue next
			}
		}
		found = append(found, line)
	}
	return found
}

// Guards against metrics that are missing or count wrongly, against processes that never become ready, and against
// traces that are not passed on between processes.
func TestMetricsReadinessAndTraces(t *testing.T) {
	lines := &logLines{}
	debug := []deploy.Setting{{Key: "process.log_level", Value: "debug"}}
	d := deployment(t, func(o *deploy.Options) {
		o.Output, o.EntrySettings, o.SideSettings = lines, debug, debug
	})
	publish(t, d)
	assert.Equal(t, submit(t, d.Entries[0], `{"id":"plan","kind":"batch","tasks":3,"size":{"cpu_milli":1000,"memory_mb":1000},"run_ms":100}`), 202)
	wait(t, "job to finish", func() bool {
		a, ok := jobAccount(t.Context(), d.Entries[0], "plan")
		return ok && a.Job.State == "finished"
	})
	scrape := func(url string) string {
		status, body, err := deploy.Call(t.Context(), http.MethodGet, url, nil, nil)
		assert.NilError(t, err)
		assert.Equal(t, status, 200)
		return string(body)
	}
	finished := 0
	for _, e := range d.Entries {
		status, body, err := deploy.Call(t.Context(), http.MethodGet, e.URL("operator")+"/-/ready", nil, nil)
		assert.NilError(t, err)
		assert.Equal(t, status, 200, string(body))
		text := scrape(e.URL("operator") + "/metrics")
		assert.Assert(t, is.Contains(text, `verbenakeel_request_duration_seconds_count{outcome="answered",service="fitcheck"}`))
		assert.Assert(t, is.Contains(text, `verbenakeel_log_read_age_seconds{stream="config"}`))
		assert.Assert(t, is.Contains(text, `verbenakeel_limit_allowed{customer="hartwell",limit="max_tasks"} 200`))
		if strings.Contains(text, `verbenakeel_batch_tasks_finished_total{customer="hartwell"} 3`) {
			finished++
		}
		checkMetricNames(t, text)
	}
	assert.Equal(t, finished, 1, "exactly one entry, the decider, must count finished tasks")

	side := d.Instances[0].Side.URL("data")
	wait(t, "side process to be ready", func() bool {
		status, _, err := deploy.Call(t.Context(), http.MethodGet, side+"/-/ready", nil, nil)
		return err == nil && status == 200
	})
	text := scrape(side + "/-/metrics")
	assert.Assert(t, is.Contains(text, `verbenakeel_slots{state="free"} 8`))
	assert.Assert(t, is.Contains(text, `verbenakeel_control_bytes_total{direction="sent",message="Announce"}`))
	checkMetricNames(t, text)
	_, body, err := deploy.Call(t.Context(), http.MethodGet, d.Entries[0].URL("public")+"/fitcheck/-/metrics", nil, nil)
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(string(body), "verbenakeel_slots"), "the metrics of a side process can be read through a service")

	const trace = "0af7651916cd43dd8448eb211c80319c"
	status, _, err := deploy.Call(t.Context(), http.MethodGet, d.Entries[1].URL("public")+"/fitcheck/x",
		map[string]string{"traceparent": "00-" + trace + "-b7ad6b7169203331-01"}, nil)
	assert.NilError(t, err)
	assert.Equal(t, status, 200)
	wait(t, "trace in the logs of two processes", func() bool {
		return len(lines.matching(trace, `"event":704`)) == 1 && len(lines.matching(trace, `"event":705`)) == 1
	})
	assert.Assert(t, len(lines.matching(`"event":103`)) >= 6, "some process did not log at its start that connections are unencrypted")
}

// checkMetricNames checks that all metrics of a scrape are listed in telemetry.Catalogue.
func checkMetricNames(t *testing.T, text string) {
	t.Helper()
	known := make(map[string]bool)
	for _, d := range telemetry.Catalogue() {
		known[d.Name] = true
	}
	for _, line := range strings.Split(text, "\n") {
		if name, ok := strings.CutPrefix(line, "# TYPE verbenakeel_"); ok {
			name, _, _ = strings.Cut(name, " ")
			assert.Assert(t, known["verbenakeel_"+name], "metric %s is not in the catalogue", name)
		}
	}
}
